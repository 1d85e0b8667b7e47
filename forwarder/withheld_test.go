package forwarder

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/zeromicro/go-zero/rest/httpc"

	"monsoonswitch/asserter"
	"monsoonswitch/descriptor"
	"monsoonswitch/recorder"
)

// scheduleTime is how long a goroutine of net/http is not scheduled in scriptedConn.
const scheduleTime = 5 * time.Millisecond

// scriptedConn is a connection to a backend server that refuses the first request. Additional bytes
// have arrived when the connection is closed: the read in progress returns them, as a read does
// that has ended before the close but whose goroutine is scheduled after it. Nothing is written
// after the close.
type scriptedConn struct {
	net.Conn
	// refuse answers the first request, and late holds the additional bytes, given its head.
	refuse, late func(head string) string

	mu     sync.Mutex
	head   string
	input  chan []byte
	closed chan struct{}
	once   sync.Once
	ended  bool
}

func newScriptedConn(refuse, late func(string) string) *scriptedConn {
	return &scriptedConn{refuse: refuse, late: late, input: make(chan []byte, 1), closed: make(chan struct{})}
}

// Write implements net.Conn.
func (c *scriptedConn) Write(p []byte) (int, error) {
	select {
	case <-c.closed:
		time.Sleep(10 * scheduleTime)
		return 0, net.ErrClosed
	default:
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head += string(p)
	if strings.HasSuffix(c.head, "\r\n\r\n") {
		c.input <- []byte(c.refuse(c.head))
	}
	return len(p), nil
}

// Read implements net.Conn. It must get a buffer that is large enough.
func (c *scriptedConn) Read(p []byte) (int, error) {
	select {
	case data := <-c.input:
		return copy(p, data), nil
	case <-c.closed:
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.ended {
			return 0, net.ErrClosed
		}
		c.ended = true
		time.Sleep(scheduleTime)
		return copy(p, c.late(c.head)), nil
	}
}

// Close implements net.Conn.
func (c *scriptedConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return nil
}

// TestAnswerOfWithheldRequest guards against taking what is read on a connection that must not
// carry a request for the answer to that request, of which no byte was written.
func TestAnswerOfWithheldRequest(t *testing.T) {
	refusal := func(head string) string {
		r, err := http.ReadRequest(bufio.NewReader(bytes.NewBufferString(head)))
		if err != nil {
			return ""
		}
		return fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nBackend-Refused: not-run\r\nBackend-Attempt: %s\r\nContent-Length: 4\r\n\r\nbusy", r.Header.Get(headerAttempt))
	}
	for name, late := range map[string]func(string) string{
		"a copy of its refusal":     refusal,
		"a failure without an ID":   func(string) string { return "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 5\r\n\r\nother" },
		"a success that names none": func(string) string { return "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother" },
	} {
		t.Run(name, func(t *testing.T) {
			backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set(headerAttempt, r.Header.Get(headerAttempt))
				_, _ = io.WriteString(w, "ran")
			}))
			t.Cleanup(backend.Close)
			address := strings.TrimPrefix(backend.URL, "http://")
			control := &retrying{
				singleBackend: &singleBackend{address: address, open: make(map[descriptor.RequestID]chan descriptor.RequestAction)},
				attempts:      make(map[descriptor.RequestID]descriptor.AttemptID),
			}
			o := Options{StallTimeout: 10 * time.Second}
			f := New(o, callerDialect{NewStandardDialect(o)}, control, recorder.New())
			first := true
			f.idempotentClient = httpc.NewServiceWithClient(clientName, &http.Client{Transport: &http.Transport{
				DialContext: func(ctx context.Context, network, a string) (net.Conn, error) {
					if first {
						first = false
						return &connection{Conn: newScriptedConn(refusal, late)}, nil
					}
					return newBoundedDialer(&net.Dialer{}, 0).dial(ctx, network, a)
				},
			}})
			f.SetDirectory(ledgerOnly(true))
			front := httptest.NewServer(f)
			t.Cleanup(front.Close)
			x := &fixture{t: t, front: front, control: control.singleBackend, forwarder: f}
			r := x.request(http.MethodGet, "/a", nil)
			r.Header.Set("Identifier", "id")
			response, body, err := x.do(r)
			asserter.NoError(t, "send", err)
			asserter.Equal(t, "status", response.StatusCode, http.StatusOK)
			asserter.Equal(t, "body", body, "ran")
			control.mu.Lock()
			defer control.mu.Unlock()
			asserter.Equal(t, "refusals", control.attempts[1], descriptor.AttemptID(1))
		})
	}
}
