package forwarder

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"monsoonswitch/asserter"
	"monsoonswitch/declarer"
	"monsoonswitch/descriptor"
	"monsoonswitch/recorder"
)

// callerDialect is a dialect in which all attempts of a request bear the caller's identifier.
type callerDialect struct{ StandardDialect }

// PrepareRequest implements Dialect.
func (callerDialect) PrepareRequest(h http.Header, r *http.Request, _ descriptor.Backend, _ time.Duration) string {
	id := r.Header.Get("Identifier")
	h.Set(headerAttempt, id)
	return id
}

// copyingBackend refuses each request at first. When the same request comes again it runs, and if
// that is on the connection that was refused, a copy of the refusal is written before the answer.
type copyingBackend struct {
	mu sync.Mutex
	// refusal holds the status and headers of the refusal.
	refusal string
	// refusedOn holds the connection on which each request was refused, by identifier.
	refusedOn map[string]net.Conn
	// ran and again count the requests that ran, and those that came to the connection on which
	// they had been refused.
	ran, again int
}

func (b *copyingBackend) serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		id := r.Header.Get(headerAttempt)
		refusal := fmt.Sprintf("HTTP/1.1 %s\r\nBackend-Attempt: %s\r\nContent-Length: 0\r\n\r\n", b.refusal, id)
		text := fmt.Sprintf("HTTP/1.1 200 OK\r\nBackend-Attempt: %s\r\nContent-Length: 3\r\n\r\nran", id)
		b.mu.Lock()
		switch on, refused := b.refusedOn[id]; {
		case !refused:
			b.refusedOn[id] = conn
			text = refusal
		case on == conn:
			b.again++
			text = refusal + text
			fallthrough
		default:
			b.ran++
		}
		b.mu.Unlock()
		if _, err := fmt.Fprint(conn, text); err != nil {
			return
		}
	}
}

// ledgerOnly returns a directory with one service and one class of work.
func ledgerOnly(idempotent bool) *descriptor.Directory {
	return &descriptor.Directory{Ready: true, Services: map[string]*descriptor.ServiceEntry{"ledger": {
		Service: declarer.Service{
			Name:    "ledger",
			Classes: []declarer.Class{{Name: "all", Idempotent: idempotent}},
			Routes:  []declarer.Route{{Name: "all", Path: "/", Class: "all"}},
		},
	}}}
}

// TestCopyOfRefusal guards against a refusal that is written once more when its request comes
// again on the same connection. The request runs, so it must not be taken for refused again.
func TestCopyOfRefusal(t *testing.T) {
	for _, idempotent := range []bool{false, true} {
		for _, body := range []string{"", "work", strings.Repeat("work", 20<<10)} {
			t.Run(fmt.Sprintf("idempotent %v, %d bytes", idempotent, len(body)), func(t *testing.T) {
				b := &copyingBackend{refusal: "503 Service Unavailable\r\nBackend-Refused: not-run", refusedOn: make(map[string]net.Conn)}
				control := &retrying{
					singleBackend: &singleBackend{address: listenRaw(t, b.serve), open: make(map[descriptor.RequestID]chan descriptor.RequestAction)},
					attempts:      make(map[descriptor.RequestID]descriptor.AttemptID),
				}
				o := Options{StallTimeout: 10 * time.Second}
				f := New(o, callerDialect{NewStandardDialect(o)}, control, recorder.New())
				f.SetDirectory(ledgerOnly(idempotent))
				front := httptest.NewServer(f)
				t.Cleanup(front.Close)
				x := &fixture{t: t, front: front, control: control.singleBackend, forwarder: f}
				const requests = 5
				for i := range requests {
					r := x.request(http.MethodPut, "/a", strings.NewReader(body))
					r.Header.Set("Identifier", fmt.Sprint("id", i))
					response, text, err := x.do(r)
					asserter.NoError(t, "send", err)
					asserter.Equal(t, "status", response.StatusCode, http.StatusOK)
					asserter.Equal(t, "body", text, "ran")
				}
				b.mu.Lock()
				defer b.mu.Unlock()
				asserter.Equal(t, "came again on the connection", b.again, 0)
				asserter.Equal(t, "ran", b.ran, requests)
			})
		}
	}
}
