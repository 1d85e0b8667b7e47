package forwarder

import (
	"crypto/rand"
	"net/http"
	"strconv"
	"strings"
	"time"

	"monsoonswitch/descriptor"
)

// Dialect maps HTTP headers and statuses of callers and backend servers to the terms
// of the fleet. It encodes and decodes only and makes no decisions.
type Dialect interface {
	// Reserved reports whether the path is reserved for the instance itself on the
	// listener for callers, whose work then can't use it.
	Reserved(path string) bool
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
	// there is none. It returns the identifier that the answer repeats, or "" if the
	// request has none.
	PrepareRequest(h http.Header, r *http.Request, to descriptor.Backend, left time.Duration) string
	// APIKey returns the API key of a request, or "" if it has none.
	APIKey(r *http.Request) string
	// SetCustomer removes the API key from the headers of a request to a backend server and sets
	// the name of the customer. It removes the name that the caller sent also if customer is "".
	SetCustomer(h http.Header, customer string)
	// ParseHead returns the information in the head of a backend server's answer.
	ParseHead(response *http.Response, e Expected) Head
	// AddAnswerHeaders adds the fleet's headers to an answer that is delivered to a
	// caller.
	AddAnswerHeaders(h http.Header)
	// Refuse writes the head of a refusal. It reports whether a body that gives the
	// reason follows.
	Refuse(w http.ResponseWriter, r *http.Request, a descriptor.Refuse) bool
}

// Expected describes the request that an answer should belong to.
type Expected struct {
	// ID is the identifier that the answer repeats, or "" if the request has none.
	ID string
	// Reused reports whether the connection carried other requests before. A late
	// answer to one of them may then be read as the answer to this request.
	Reused bool
}

// Matches reports whether an answer with an identifier belongs to the request. It does if the
// identifiers are equal, because a connection carries each of them once. An answer without one
// belongs to the request only if no other request used the connection.
func (e Expected) Matches(id string) bool {
	if id == "" {
		return !e.Reused
	}
	return id == e.ID
}

// Head is the information in the head of a backend server's answer.
type Head struct {
	// NotRun reports whether the backend server refused the work without running it.
	NotRun bool
	// Foreign reports whether another backend server answered at the address; the
	// work did not run.
	Foreign bool
	// Unstated reports whether the status tells callers that the work did not run, which the
	// backend server did not state.
	Unstated bool
	// Mismatched reports whether the answer belongs to another request.
	Mismatched bool
	// Malformed reports whether the answer can't be delivered as it is. The forwarder sets it, not
	// the dialect.
	Malformed bool
	// Pause is how long the backend server wants no requests of this instance; 0 means
	// that it did not ask for a pause.
	Pause time.Duration
	// Limit is how many requests a second the backend server takes from all instances
	// together; 0 means that it named no limit.
	Limit  float64
	Health descriptor.Health
	Load   descriptor.Load
}

// StandardDialect implements the headers and statuses of docs/CALLERS.md and
// docs/PLATFORM.md.
type StandardDialect struct{ options Options }

// NewStandardDialect returns the dialect of a forwarder with the given options.
func NewStandardDialect(o Options) StandardDialect { return StandardDialect{options: o} }

// Reserved implements Dialect. No route that is declared may have such a path.
func (StandardDialect) Reserved(path string) bool { return isLocalPath(path) }

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
func (p StandardDialect) PrepareRequest(h http.Header, r *http.Request, _ descriptor.Backend, _ time.Duration) string {
	addForwardedHeaders(h, r)
	id := p.options.Instance + "." + rand.Text()
	h.Set(headerAttempt, id)
	return id
}

// APIKey implements Dialect. This dialect has no customers.
func (StandardDialect) APIKey(*http.Request) string { return "" }

// SetCustomer implements Dialect.
func (StandardDialect) SetCustomer(http.Header, string) {}

// ParseHead implements Dialect. Only a refusal must repeat the identifier of the attempt:
// an earlier one that is written again would otherwise pass work off as not run.
func (StandardDialect) ParseHead(response *http.Response, e Expected) Head {
	id := response.Header.Get(headerAttempt)
	notRun := response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(headerRefused) != ""
	return Head{
		NotRun:     notRun,
		Mismatched: (notRun || id != "") && !e.Matches(id),
		Pause:      ParsePause(response),
		Health:     descriptor.ParseHealth(response.Header.Get(headerState)),
		Load:       loadOf(response.Header.Get(headerLoad)),
		Limit:      ParseLimit(response.Header.Get(headerLimit)),
	}
}

// minLimit and maxLimit bound the limit that a backend server can name, in requests a second. A
// lower one would not show when it ends, and a higher one limits nothing.
const (
	minLimit = 0.1
	maxLimit = 1e6
)

// ParseLimit returns how many requests a second the backend server takes from all instances
// together. It returns 0, which is no limit, if the value is empty, malformed or over maxLimit. A
// lower limit than minLimit counts as minLimit.
func ParseLimit(value string) float64 {
	v, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
	if err != nil || !(v >= 0) || v > maxLimit {
		return 0
	}
	return max(v, minLimit)
}

// maxPause bounds the pause that a backend server can ask for.
const maxPause = time.Minute

// ParsePause returns how long the backend server wants no requests, by the Retry-After of
// a 503, in seconds with an optional fraction. A longer time than maxPause is cut to it.
// It returns 0 if the header is missing, malformed or a date.
func ParsePause(response *http.Response) time.Duration {
	if response.StatusCode != http.StatusServiceUnavailable {
		return 0
	}
	v, err := strconv.ParseFloat(strings.TrimSpace(response.Header.Get("Retry-After")), 64)
	if err != nil || !(v > 0) {
		return 0
	}
	return time.Duration(min(v, maxPause.Seconds()) * float64(time.Second))
}

// AddAnswerHeaders implements Dialect.
func (StandardDialect) AddAnswerHeaders(h http.Header) { h.Set("Via", via) }

// Refuse implements Dialect.
func (StandardDialect) Refuse(w http.ResponseWriter, _ *http.Request, a descriptor.Refuse) bool {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(headerReason, a.Reason.String())
	h.Set(headerOutcome, a.Outcome.String())
	if a.Retry > 0 {
		h.Set("Retry-After", wholeSeconds(a.Retry))
	}
	w.WriteHeader(statusOf(a.Reason))
	return true
}
