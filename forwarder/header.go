package forwarder

import (
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"monsoonswitch/descriptor"
)

// Names of headers; docs/CALLERS.md and docs/PLATFORM.md explain them.
const (
	headerService = "Service"
	headerKey     = "Idempotency-Key"
	headerReason  = "Monsoon-Reason"
	headerOutcome = "Monsoon-Outcome"
	headerPrefer  = "Prefer"
	headerTimeout = "Request-Timeout"
	// headerState, headerLoad and headerRefused are those of backend servers.
	headerState   = "Backend-State"
	headerLoad    = "Backend-Load"
	headerRefused = "Backend-Refused"
	// ownPrefix begins the headers that only instances set.
	ownPrefix     = "Monsoon-"
	backendPrefix = "Backend-"
	via           = "1.1 monsoonswitch"
)

// hopHeaders are the headers that concern one connection only.
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// copyHeader copies end-to-end headers that may cross the fleet.
func copyHeader(to, from http.Header) {
	named := connectionHeaders(from)
	for name, values := range from {
		if named[name] || strings.HasPrefix(name, ownPrefix) || strings.HasPrefix(name, backendPrefix) {
			continue
		}
		to[name] = append([]string(nil), values...)
	}
	for _, name := range hopHeaders {
		to.Del(name)
	}
}

func connectionHeaders(h http.Header) map[string]bool {
	named := make(map[string]bool)
	for _, line := range h["Connection"] {
		for _, name := range strings.Split(line, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return named
}

// offerPlain adds what a backend server is told of the way of a request.
func offerPlain(h http.Header, r *http.Request) {
	client := hostOf(r.RemoteAddr)
	if before := r.Header.Values("X-Forwarded-For"); len(before) > 0 {
		client = strings.Join(before, ", ") + ", " + client
	}
	h.Set("X-Forwarded-For", client)
	h.Set("X-Forwarded-Host", r.Host)
	h.Set("X-Forwarded-Proto", "http")
	h.Set("Via", via)
}

// hideKey spells the names of idempotency keys in lower case. They mean the same
// to the backend server, but net/http takes the usual spelling as leave to send
// a request a second time.
func hideKey(h http.Header) {
	for _, name := range []string{headerKey, "X-Idempotency-Key"} {
		if values, ok := h[name]; ok {
			delete(h, name)
			h[strings.ToLower(name)] = values
		}
	}
}

func announceTrailers(h http.Header, response *http.Response) {
	for name := range response.Trailer {
		h.Add("Trailer", name)
	}
}

func copyTrailers(h http.Header, response *http.Response) {
	for name, values := range response.Trailer {
		h[name] = values
	}
}

// patience returns how long the caller waits: from Prefer: wait=SECONDS of RFC
// 7240, or Request-Timeout in seconds. Zero means that it does not say.
func patience(r *http.Request) time.Duration {
	text := r.Header.Get(headerTimeout)
	for _, line := range r.Header.Values(headerPrefer) {
		for _, part := range strings.Split(line, ",") {
			if v, ok := strings.CutPrefix(strings.TrimSpace(part), "wait="); ok {
				text = v
			}
		}
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || !(seconds > 0) || seconds > maxPatience.Seconds() {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// maxPatience is the longest patience that is taken into account.
const maxPatience = 24 * time.Hour

// wholeSeconds returns a time in whole seconds, rounded up.
func wholeSeconds(d time.Duration) string { return strconv.Itoa(int(math.Ceil(d.Seconds()))) }

// loadOf reads a load of the form USED/SLOTS; one that can't be read is unknown.
func loadOf(text string) descriptor.Load {
	used, slots, ok := strings.Cut(text, "/")
	if !ok {
		return descriptor.Load{}
	}
	u, err := strconv.Atoi(used)
	if err != nil || u < 0 {
		return descriptor.Load{}
	}
	n, err := strconv.Atoi(slots)
	if err != nil || n < u {
		return descriptor.Load{}
	}
	return descriptor.Load{Known: true, Running: u, Slots: n}
}

func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}
