package forwarder

import (
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// Statuses of final answers. net/http ends the process when it is told to write a status below 100,
// and takes all others below 200 for interim ones.
const (
	minStatus = http.StatusOK
	maxStatus = 599
)

// isDeliverable reports whether the head of an answer can be written to any caller as it is.
// net/http drops a header whose name is not valid without an error, and some callers reject a
// status that HTTP does not define.
func isDeliverable(r *http.Response) bool {
	if r.StatusCode < minStatus || r.StatusCode > maxStatus {
		return false
	}
	for name := range r.Trailer {
		if !httpguts.ValidTrailerHeader(name) {
			return false
		}
	}
	return areValidFields(r.Header) && areValidFields(r.Trailer)
}

// areValidFields reports whether the names and values of headers or trailers are valid.
func areValidFields(h http.Header) bool {
	for name, values := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return false
		}
		for _, v := range values {
			if !httpguts.ValidHeaderFieldValue(v) {
				return false
			}
		}
	}
	return true
}
