package forwarder

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"monsoonswitch/asserter"
	"monsoonswitch/descriptor"
)

// leavingCaller is a caller that disconnects as soon as it has the whole answer, before the
// write of the last bytes returns.
type leavingCaller struct {
	*httptest.ResponseRecorder
	size  int
	leave context.CancelFunc
}

// Flush implements http.Flusher.
func (c *leavingCaller) Flush() {
	if c.Body.Len() == c.size {
		c.leave()
		time.Sleep(100 * time.Millisecond)
	}
}

// posted counts the events of a kind.
func posted[T descriptor.Event](c *singleBackend) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, e := range c.events {
		if _, ok := e.(T); ok {
			n++
		}
	}
	return n
}

// TestCallerLeavesAfterAnswer guards against counting a request as abandoned if its caller
// closed the connection as soon as it had the whole answer, as it does in a shutdown.
func TestCallerLeavesAfterAnswer(t *testing.T) {
	for _, size := range []int{1, 3 * copyBufferBytes} {
		t.Run(fmt.Sprintf("%d bytes", size), func(t *testing.T) {
			x := newFixture(t, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Length", fmt.Sprint(size))
				_, _ = w.Write(make([]byte, size))
			})
			ctx, leave := context.WithCancel(context.Background())
			r := httptest.NewRequestWithContext(ctx, http.MethodGet, "/lines/7", http.NoBody)
			r.Header.Set("Service", "ledger")
			x.forwarder.ServeHTTP(&leavingCaller{httptest.NewRecorder(), size, leave}, r)
			asserter.Equal(t, "finished", posted[descriptor.Finished](x.control), 1)
			asserter.Equal(t, "caller gone", posted[descriptor.CallerGone](x.control), 0)
		})
	}
}
