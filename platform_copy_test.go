package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"monsoonswitch/asserter"
)

// movingBackend is a backend server that shows under a new ID while it holds a request. It then
// refuses the request, and runs it when it comes again; if that is on the same connection, a copy
// of the refusal goes first.
type movingBackend struct {
	fleet    *platformFleet
	listener net.Listener
	// refusal holds the status and headers of a refusal.
	refusal string

	mu sync.Mutex
	// entries counts the IDs under which the backend server was listed.
	entries int
	// refusedOn holds the connection on which each request was refused, by identifier, and
	// ran how often work ran.
	refusedOn map[string]net.Conn
	ran       int
}

// runs returns how often work ran.
func (b *movingBackend) runs() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ran
}

func newMovingBackend(f *platformFleet, refusal string) *movingBackend {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	asserter.NoError(f.t, "listen", err)
	f.t.Cleanup(func() { _ = l.Close() })
	b := &movingBackend{fleet: f, listener: l, refusal: refusal, refusedOn: make(map[string]net.Conn)}
	acceptAll(l, b.serve)
	return b
}

// list adds an entry under the next ID, beside the earlier ones.
func (b *movingBackend) list() {
	b.mu.Lock()
	b.entries++
	id := fmt.Sprint("servers/moving-", b.entries)
	b.mu.Unlock()
	b.fleet.store.set(id, map[string]any{
		"service": "moving", "address": b.listener.Addr().String(), "zone": "a", "version": "v1",
		"slots": 3, "state": "ready", "cold_remaining_s": 0, "sequence": 1, "born": 1,
	})
}

// listTime is how long a refusal is held back, so that the instance knows the new entry.
const listTime = 600 * time.Millisecond

func (b *movingBackend) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		id := r.Header.Get("Request-Id")
		b.mu.Lock()
		on, refused := b.refusedOn[id]
		if refused {
			b.ran++
		} else {
			b.refusedOn[id] = conn
		}
		b.mu.Unlock()
		refusal := fmt.Sprintf("HTTP/1.1 %s\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", b.refusal, id)
		text := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Signature: %s\r\nContent-Length: 3\r\n\r\nran", id, signature)
		switch {
		case !refused:
			b.list()
			time.Sleep(listTime)
			text = refusal
		case on == conn:
			text = refusal + text
		}
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
	}
}

// copiedRequests is the number of requests with each kind of refusal.
const copiedRequests = 4

// TestPlatformCopyOfRefusal guards against work that runs after its caller was told that it never
// will: its backend server, which stands in the list under two IDs, refused it and repeats the
// refusal on the connection on which the work came again.
func TestPlatformCopyOfRefusal(t *testing.T) {
	f := newPlatformFleet(t, 1, 1)
	f.store.set("op/config", routing(2, "ledger", "moving"))
	// A started instance has an empty retry budget, which grows with time.
	time.Sleep(2 * time.Second)
	for _, refusal := range []string{
		"503 Service Unavailable\r\nNot-Executed: 1",
		"429 Too Many Requests\r\nNot-Executed: 1",
		"421 Misdirected Request",
	} {
		t.Run(refusal[:3], func(t *testing.T) {
			b := newMovingBackend(f, refusal)
			b.list()
			time.Sleep(listTime)
			for i := range copiedRequests {
				before := b.runs()
				status, _ := f.send(f.instances[0], "POST", "moving.example", fmt.Sprintf("/once/%s/%d", refusal[:3], i), "work")
				ran := b.runs() - before
				t.Logf("status %d, ran %d times", status, ran)
				asserter.AtMost(t, "runs", ran, 1)
				asserter.True(t, "a status that promises that the work did not run is true", status != http.StatusServiceUnavailable || ran == 0)
			}
			asserter.AtLeast(t, "requests that ran after their refusal", b.runs(), 1)
			b.mu.Lock()
			defer b.mu.Unlock()
			for i := range b.entries {
				f.store.drop(fmt.Sprint("servers/moving-", i+1))
			}
		})
	}
}
