package forwarder

import (
	"net/http"
	"regexp"
	"strings"
)

const protocolPrefix = "HTTP/1."

// statusLine matches the beginning of a status line.
var statusLine = regexp.MustCompile(`HTTP/1\.[0-9] [1-5][0-9][0-9]`)

// hasSecondStatusLine reports whether another status line is part of the head of an answer. Bytes
// that the backend server sent behind an earlier answer then begin the head and join its lines, so
// that nothing in it can be relied on.
func hasSecondStatusLine(r *http.Response) bool {
	if isStatusLineIn(r.Status) {
		return true
	}
	for _, values := range r.Header {
		for _, v := range values {
			if isStatusLineIn(v) {
				return true
			}
		}
	}
	return false
}

func isStatusLineIn(text string) bool {
	return strings.Contains(text, protocolPrefix) && statusLine.MatchString(text)
}
