package forwarder

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoonswitch/descriptor"
	"monsoonswitch/keeper"
)

// Paths that instances serve themselves.
const (
	// localPath is the prefix of all of them.
	localPath = "/-/"
	// AddressPath lists the addresses to use for a service.
	AddressPath = "/-/addresses"
	// ReadyPath reports whether the instance is ready.
	ReadyPath = "/-/ready"
)

func isLocalPath(path string) bool { return strings.HasPrefix(path, localPath) }

// AddressAnswer lists the addresses that a caller uses for a service.
type AddressAnswer struct {
	Service string `json:"service"`
	// Addresses are in the order in which the caller tries them.
	Addresses []Address `json:"addresses"`
	// Keep is how long the caller may cache this answer, in seconds.
	Keep     float64 `json:"keep"`
	Revision uint64  `json:"revision"`
	State    string  `json:"state"`
}

// Address is one instance that serves a service.
type Address struct {
	// Address is host:port.
	Address string `json:"address"`
	// Ticket is the prefix for the idempotency keys of work that is sent to this
	// address first.
	Ticket string `json:"ticket"`
}

// problem is the JSON body of the answers about readiness and of errors.
type problem struct {
	Reason string `json:"reason"`
}

func (p StandardDialect) serveLocal(w http.ResponseWriter, r *http.Request, directory *descriptor.Directory) {
	switch {
	case r.Method != http.MethodGet && r.Method != http.MethodHead:
		writeJSON(w, http.StatusMethodNotAllowed, problem{"method"})
	case r.URL.Path == ReadyPath && directory.Ready && !directory.Leaving:
		writeJSON(w, http.StatusOK, problem{"ready"})
	case r.URL.Path == ReadyPath:
		writeJSON(w, http.StatusServiceUnavailable, problem{descriptor.Starting.String()})
	case r.URL.Path == AddressPath:
		p.serveAddresses(w, r, directory)
	default:
		writeJSON(w, http.StatusNotFound, problem{"path"})
	}
}

// serveAddresses answers with the addresses to use for a service.
func (p StandardDialect) serveAddresses(w http.ResponseWriter, r *http.Request, d *descriptor.Directory) {
	if !d.Ready {
		w.Header().Set("Retry-After", "1")
		writeJSON(w, http.StatusServiceUnavailable, problem{descriptor.Starting.String()})
		return
	}
	name := r.URL.Query().Get("service")
	entry, ok := d.Services[name]
	if !ok {
		writeJSON(w, http.StatusNotFound, problem{descriptor.UnknownService.String()})
		return
	}
	domain := r.URL.Query().Get("domain")
	if domain == "" {
		domain = p.options.Domain
	}
	writeJSON(w, http.StatusOK, AddressAnswer{
		Service:   name,
		Addresses: addresses(entry, domain, hostOf(r.RemoteAddr)+r.URL.Query().Get("caller")),
		Keep:      p.options.Keep.Seconds(),
		Revision:  entry.Revision,
		State:     entry.Service.State.String(),
	})
}

// addresses lists the serving instances, with those in the given failure domain first.
// Within each of the two groups the hash of the caller chooses the first instance,
// which distributes callers over the instances.
func addresses(e *descriptor.ServiceEntry, domain, caller string) []Address {
	var sameDomain, otherDomains []Address
	now := time.Now()
	for _, m := range e.Serving {
		a := Address{Address: m.Public, Ticket: keeper.TicketOf(m, now).String()}
		if m.Domain == domain {
			sameDomain = append(sameDomain, a)
		} else {
			otherDomains = append(otherDomains, a)
		}
	}
	start := xxhash.Sum64String(caller)
	return append(rotate(sameDomain, start), rotate(otherDomains, start)...)
}

// rotate returns list rotated left by start modulo its length.
func rotate(list []Address, start uint64) []Address {
	if len(list) == 0 {
		return nil
	}
	k := int(start % uint64(len(list)))
	return append(append([]Address(nil), list[k:]...), list[:k]...)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Date", time.Now().UTC().Format(http.TimeFormat))
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
