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

// Names of headers, as documented in docs/CALLERS.md and docs/PLATFORM.md.
const (
	headerService = "Service"
	headerKey     = "Idempotency-Key"
	headerReason  = "Monsoon-Reason"
	headerOutcome = "Monsoon-Outcome"
	headerPrefer  = "Prefer"
	headerTimeout = "Request-Timeout"
	// headerState, headerLoad and headerRefused are set by backend servers.
	headerState   = "Backend-State"
	headerLoad    = "Backend-Load"
	headerLimit   = "Backend-Limit"
	headerRefused = "Backend-Refused"
	// headerAttempt is the identifier of one attempt, which the backend server repeats
	// in its answer.
	headerAttempt = "Backend-Attempt"
	// instanceHeaderPrefix is the prefix of headers that only instances set.
	instanceHeaderPrefix = "Monsoon-"
	// backendHeaderPrefix is the prefix of headers that only backend servers set.
	backendHeaderPrefix = "Backend-"
	// via is the value of the header Via.
	via = "1.1 monsoonswitch"
)

// hopHeaders are the hop-by-hop headers, which are not forwarded.
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// copyHeader copies the end-to-end headers, except those that only instances or
// backend servers set.
func copyHeader(to, from http.Header) {
	named := connectionHeaders(from)
	for name, values := range from {
		if named[name] || strings.HasPrefix(name, instanceHeaderPrefix) || strings.HasPrefix(name, backendHeaderPrefix) {
			continue
		}
		to[name] = append([]string(nil), values...)
	}
	for _, name := range hopHeaders {
		to.Del(name)
	}
}

// connectionHeaders returns the names of the headers that Connection declares as
// hop-by-hop.
func connectionHeaders(h http.Header) map[string]bool {
	named := make(map[string]bool)
	for _, line := range h["Connection"] {
		for _, name := range strings.Split(line, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return named
}

// addForwardedHeaders adds the X-Forwarded headers and Via to a request for a backend
// server.
func addForwardedHeaders(h http.Header, r *http.Request) {
	client := hostOf(r.RemoteAddr)
	if before := r.Header.Values("X-Forwarded-For"); len(before) > 0 {
		client = strings.Join(before, ", ") + ", " + client
	}
	h.Set("X-Forwarded-For", client)
	h.Set("X-Forwarded-Host", r.Host)
	h.Set("X-Forwarded-Proto", "http")
	h.Set("Via", via)
}

// lowercaseKeyNames writes the names of idempotency key headers in lower case. Backend
// servers treat them alike, but net/http takes the canonical spelling as permission to
// resend a request by itself when a reused connection breaks.
func lowercaseKeyNames(h http.Header) {
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

// callerTimeout returns how long the caller waits, from Prefer: wait=SECONDS (RFC 7240)
// or else from Request-Timeout in seconds. Zero means that it is unspecified, invalid or
// longer than maxCallerTimeout.
func callerTimeout(r *http.Request) time.Duration {
	text := r.Header.Get(headerTimeout)
	for _, line := range r.Header.Values(headerPrefer) {
		for _, part := range strings.Split(line, ",") {
			if v, ok := strings.CutPrefix(strings.TrimSpace(part), "wait="); ok {
				text = v
			}
		}
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || !(seconds > 0) || seconds > maxCallerTimeout.Seconds() {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// maxCallerTimeout is the longest caller timeout that is used. A longer one is ignored, as
// if the caller had specified none.
const maxCallerTimeout = 24 * time.Hour

// wholeSeconds formats a duration in whole seconds, rounded up.
func wholeSeconds(d time.Duration) string { return strconv.Itoa(int(math.Ceil(d.Seconds()))) }

// loadOf parses a load of the form USED/SLOTS. A malformed load is returned as unknown.
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
