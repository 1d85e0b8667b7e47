package forwarder

import (
	"net/http"
	"time"

	"monsoonswitch/descriptor"
)

// Dialect is how callers and backend servers say in HTTP what concerns the
// fleet. It reads and writes headers and statuses, and decides nothing.
type Dialect interface {
	// Own answers a request that is for the instance itself, and tells whether
	// it was one.
	Own(w http.ResponseWriter, r *http.Request, d *descriptor.Directory) bool
	// Label returns the caller's own identifier of a request, for logs.
	Label(r *http.Request) string
	// Patience returns how long the caller of a request waits; 0 means that it
	// does not say.
	Patience(r *http.Request) time.Duration
	// Offer makes the head of a caller's request that of one for a backend
	// server, which has left as its time; 0 means that there is no limit.
	Offer(h http.Header, r *http.Request, to descriptor.Backend, left time.Duration)
	// Read returns what the head of a backend server's answer says. label is that
	// of the request.
	Read(response *http.Response, label string) Head
	// Pass adds what the caller of a delivered answer is told of its way.
	Pass(h http.Header)
	// Refuse writes the head of an answer without a backend server's answer, and
	// tells whether a body that explains it follows.
	Refuse(w http.ResponseWriter, r *http.Request, a descriptor.Refuse) bool
}

// Head is what the head of a backend server's answer says of the fleet's matters.
type Head struct {
	// NotRun tells that the work did not run.
	NotRun bool
	// Foreign tells that another backend server answers at the address; the work
	// did not run.
	Foreign bool
	// Stray tells that the answer belongs to another request.
	Stray  bool
	Health descriptor.Health
	Load   descriptor.Load
}

// Plain is the dialect of docs/CALLERS.md and docs/PLATFORM.md.
type Plain struct{ options Options }

// NewPlain returns the dialect of a forwarder with the given options.
func NewPlain(o Options) Plain { return Plain{options: o} }

// Own implements Dialect.
func (p Plain) Own(w http.ResponseWriter, r *http.Request, d *descriptor.Directory) bool {
	if !isOwnPath(r.URL.Path) {
		return false
	}
	p.serveOwn(w, r, d)
	return true
}

// Label implements Dialect; callers have no identifiers of requests.
func (Plain) Label(*http.Request) string { return "" }

// Patience implements Dialect.
func (Plain) Patience(r *http.Request) time.Duration { return patience(r) }

// Offer implements Dialect. The time that is left is not passed on.
func (Plain) Offer(h http.Header, r *http.Request, _ descriptor.Backend, _ time.Duration) {
	offerPlain(h, r)
}

// Read implements Dialect.
func (Plain) Read(response *http.Response, _ string) Head {
	return Head{
		NotRun: response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(headerRefused) != "",
		Health: descriptor.ParseHealth(response.Header.Get(headerState)),
		Load:   loadOf(response.Header.Get(headerLoad)),
	}
}

// Pass implements Dialect.
func (Plain) Pass(h http.Header) { h.Set("Via", via) }

// Refuse implements Dialect.
func (Plain) Refuse(w http.ResponseWriter, r *http.Request, a descriptor.Refuse) bool {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(headerReason, a.Reason.String())
	h.Set(headerOutcome, a.Outcome.String())
	if a.Retry > 0 {
		h.Set("Retry-After", wholeSeconds(a.Retry))
	}
	if r.ContentLength != 0 {
		// The rest of the body is not read.
		h.Set("Connection", "close")
	}
	w.WriteHeader(statusOf(a.Reason))
	return true
}
