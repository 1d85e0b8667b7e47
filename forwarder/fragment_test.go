package forwarder

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"

	"monsoonswitch/asserter"
	"monsoonswitch/descriptor"
)

// TestFragmentBeforeAnswer guards against the first bytes of an earlier refusal, written once more
// after a complete answer. They run into the head of the next answer, which then has the
// identifier of its own request and the status and headers of the refusal. The work runs.
func TestFragmentBeforeAnswer(t *testing.T) {
	for name, fragment := range map[string]string{
		"cut in the value of the refusal":  "HTTP/1.1 503 Service Unavailable\r\nBackend-Refused: not-run",
		"cut in a value after the refusal": "HTTP/1.1 503 Service Unavailable\r\nBackend-Refused: not-run\r\nServer: one",
	} {
		t.Run(name, func(t *testing.T) {
			var ran atomic.Int32
			x := newFixture(t, nil)
			x.forwarder.SetDirectory(ledgerOnly(false))
			x.control.address = rawBackend(t, func(n int, r *http.Request) string {
				_, _ = io.Copy(io.Discard, r.Body)
				ran.Add(1)
				text := fmt.Sprintf("HTTP/1.1 200 OK\r\nBackend-Attempt: %s\r\nContent-Length: 3\r\n\r\nran", r.Header.Get(headerAttempt))
				if n == 0 {
					return text
				}
				return fragment + text
			})
			for i := range 2 {
				_, _, err := x.do(x.request(http.MethodPut, fmt.Sprint("/a/", i), nil))
				asserter.NoError(t, "send", err)
			}
			asserter.Equal(t, "ran", ran.Load(), int32(2))
			asserter.Equal(t, "fault of work that ran", x.control.fault(), descriptor.FaultBroken)
		})
	}
}
