package forwarder

import (
	"net/http"
	"time"

	"monsoonswitch/descriptor"
)

// Dialect maps HTTP headers and statuses of callers and backend servers to the terms
// of the fleet. It encodes and decodes only and makes no decisions.
type Dialect interface {
	// ServeLocal answers a request that is addressed to the instance itself. It
	// reports whether the request was one.
	ServeLocal(w http.ResponseWriter, r *http.Request, d *descriptor.Directory) bool
	// Label returns the caller's identifier of a request, for logs.
	Label(r *http.Request) string
	// CallerTimeout returns how long the caller of a request waits; 0 means that the
	// request does not specify it.
	CallerTimeout(r *http.Request) time.Duration
	// PrepareRequest changes the headers of a caller's request into those of a
	// request to a backend server. left is the time until the deadline; 0 means that
	// there is none.
	PrepareRequest(h http.Header, r *http.Request, to descriptor.Backend, left time.Duration)
	// ParseHead returns the information in the head of a backend server's answer.
	// label is the caller's identifier of the request.
	ParseHead(response *http.Response, label string) Head
	// AddAnswerHeaders adds the fleet's headers to an answer that is delivered to a
	// caller.
	AddAnswerHeaders(h http.Header)
	// Refuse writes the head of a refusal. It reports whether a body that gives the
	// reason follows.
	Refuse(w http.ResponseWriter, r *http.Request, a descriptor.Refuse) bool
}

// Head is the information in the head of a backend server's answer.
type Head struct {
	// NotRun reports whether the backend server refused the work without running it.
	NotRun bool
	// Foreign reports whether another backend server answered at the address; the
	// work did not run.
	Foreign bool
	// Mismatched reports whether the answer belongs to another request.
	Mismatched bool
	Health     descriptor.Health
	Load       descriptor.Load
}

// StandardDialect implements the headers and statuses of docs/CALLERS.md and
// docs/PLATFORM.md.
type StandardDialect struct{ options Options }

// NewStandardDialect returns the dialect of a forwarder with the given options.
func NewStandardDialect(o Options) StandardDialect { return StandardDialect{options: o} }

// ServeLocal implements Dialect.
func (p StandardDialect) ServeLocal(w http.ResponseWriter, r *http.Request, d *descriptor.Directory) bool {
	if !isLocalPath(r.URL.Path) {
		return false
	}
	p.serveLocal(w, r, d)
	return true
}

// Label implements Dialect. This dialect has no identifiers of requests.
func (StandardDialect) Label(*http.Request) string { return "" }

// CallerTimeout implements Dialect.
func (StandardDialect) CallerTimeout(r *http.Request) time.Duration { return callerTimeout(r) }

// PrepareRequest implements Dialect. The remaining time is not forwarded.
func (StandardDialect) PrepareRequest(h http.Header, r *http.Request, _ descriptor.Backend, _ time.Duration) {
	addForwardedHeaders(h, r)
}

// ParseHead implements Dialect.
func (StandardDialect) ParseHead(response *http.Response, _ string) Head {
	return Head{
		NotRun: response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(headerRefused) != "",
		Health: descriptor.ParseHealth(response.Header.Get(headerState)),
		Load:   loadOf(response.Header.Get(headerLoad)),
	}
}

// AddAnswerHeaders implements Dialect.
func (StandardDialect) AddAnswerHeaders(h http.Header) { h.Set("Via", via) }

// Refuse implements Dialect.
func (StandardDialect) Refuse(w http.ResponseWriter, r *http.Request, a descriptor.Refuse) bool {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(headerReason, a.Reason.String())
	h.Set(headerOutcome, a.Outcome.String())
	if a.Retry > 0 {
		h.Set("Retry-After", wholeSeconds(a.Retry))
	}
	if r.ContentLength != 0 {
		// The rest of the body is not read, so the connection can't be reused.
		h.Set("Connection", "close")
	}
	w.WriteHeader(statusOf(a.Reason))
	return true
}
