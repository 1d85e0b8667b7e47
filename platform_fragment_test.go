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

// fragmentBackend is a backend server that runs all work. From the second request of a connection
// on, it writes additional bytes before the answer.
type fragmentBackend struct {
	listener net.Listener
	// fragment holds the additional bytes, and status the status line of the answers after them.
	fragment, status string

	mu sync.Mutex
	// ran counts the runs of each request by path, and after those that ran with the
	// additional bytes before their answer.
	ran   map[string]int
	after int
}

func newFragmentBackend(t *testing.T, fragment, status string) *fragmentBackend {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	asserter.NoError(t, "listen", err)
	t.Cleanup(func() { _ = l.Close() })
	b := &fragmentBackend{listener: l, fragment: fragment, status: status, ran: make(map[string]int)}
	acceptAll(l, b.serve)
	return b
}

func (b *fragmentBackend) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for n := 0; ; n++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		status, fragment := "200 OK", ""
		b.mu.Lock()
		b.ran[r.URL.Path]++
		if n > 0 {
			b.after++
			status, fragment = b.status, b.fragment
		}
		b.mu.Unlock()
		text := fmt.Sprintf("HTTP/1.1 %s\r\nRequest-Id: %s\r\nServer-Signature: %s\r\nContent-Length: 3\r\n\r\nran", status, r.Header.Get("Request-Id"), signature)
		if _, err := io.WriteString(conn, fragment+text); err != nil {
			return
		}
	}
}

// entry returns the encoded entry of the backend server.
func (b *fragmentBackend) entry() map[string]any {
	return map[string]any{
		"service": "moving", "address": b.listener.Addr().String(), "zone": "a", "version": "v1",
		"slots": 3, "state": "ready", "cold_remaining_s": 0, "sequence": 1, "born": 1,
	}
}

// TestPlatformFragment guards against additional bytes after a complete answer that are the first
// bytes of another one, a copy that breaks off. They run into the head of the next answer, which
// then has the identifier of its own request and the status and headers of the copy.
func TestPlatformFragment(t *testing.T) {
	f := newPlatformFleet(t, 1, 1)
	f.store.set("op/config", routing(2, "ledger", "moving"))
	// A started instance has an empty retry budget, which grows with time.
	time.Sleep(2 * time.Second)
	for i, c := range []struct {
		name, fragment, status string
		// wrong are the statuses that the caller must not get for the work.
		wrong []int
	}{
		{"status line of a 421", "HTTP/1.1 421 Misdirected Request", "200 OK", []int{408, 421, 429, 503}},
		{"head of a 503", "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1", "200 OK", []int{408, 421, 429, 503}},
		{"head of a 429", "HTTP/1.1 429 Too Many Requests\r\nNot-Executed: 1\r\nRetry-After: 1", "200 OK", []int{408, 421, 429, 503}},
		{"status line of a 500", "HTTP/1.1 500 Internal Server Error", "200 OK", []int{500}},
		{"status line of a 200", "HTTP/1.1 200 OK", "500 Internal Server Error", []int{200}},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newFragmentBackend(t, c.fragment, c.status)
			key := fmt.Sprint("servers/fragment-", i)
			f.store.set(key, b.entry())
			time.Sleep(listTime)
			first, _ := f.send(f.instances[0], "POST", "moving.example", fmt.Sprint("/once/", i, "/first"), "work")
			asserter.Equal(t, "status of the first request of the connection", first, 200)
			path := fmt.Sprint("/once/", i, "/second")
			status, _ := f.send(f.instances[0], "POST", "moving.example", path, "work")
			f.store.drop(key)
			time.Sleep(listTime)
			b.mu.Lock()
			defer b.mu.Unlock()
			t.Logf("status %d, ran %d times", status, b.ran[path])
			asserter.Equal(t, "answers after additional bytes", b.after, 1)
			asserter.Equal(t, "runs", b.ran[path], 1)
			for _, wrong := range c.wrong {
				asserter.True(t, fmt.Sprintf("status %d of work that ran and was answered %s is not %d", status, c.status, wrong), status != wrong)
			}
		})
	}
}

// TestPlatformFragmentLeaving guards against what such additional bytes say of the backend server:
// one that is taken for leaving gets no request again. The bytes with an identifier show that the
// backend server is used on if the answer doesn't count.
func TestPlatformFragmentLeaving(t *testing.T) {
	f := newPlatformFleet(t, 1, 1)
	f.store.set("op/config", routing(2, "ledger", "moving"))
	time.Sleep(2 * time.Second)
	for i, c := range []struct{ name, fragment string }{
		{"with an identifier", "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nServer-Leaving: 1\r\nX-Cut: a"},
		{"without an identifier", "HTTP/1.1 200 OK\r\nServer-Leaving: 1\r\nX-Cut: a"},
		{"with a long pause", "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 60\r\nX-Cut: a"},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newFragmentBackend(t, c.fragment, "200 OK")
			key := fmt.Sprint("servers/leaving-", i)
			f.store.set(key, b.entry())
			time.Sleep(listTime)
			for n := range 2 {
				status, _ := f.send(f.instances[0], "POST", "moving.example", fmt.Sprint("/once/leaving/", i, "/", n), "work")
				t.Logf("request %d: status %d", n, status)
			}
			b.mu.Lock()
			b.fragment = ""
			b.mu.Unlock()
			time.Sleep(time.Second)
			status, _ := f.send(f.instances[0], "POST", "moving.example", fmt.Sprint("/once/leaving/", i, "/after"), "work")
			f.store.drop(key)
			time.Sleep(listTime)
			asserter.Equal(t, "status of a later request", status, 200)
		})
	}
}

// TestPlatformFragmentTwice guards against work running at two backend servers because additional
// bytes before the answer of the first one made it look refused.
func TestPlatformFragmentTwice(t *testing.T) {
	f := newPlatformFleet(t, 1, 1)
	f.store.set("op/config", routing(2, "ledger", "moving"))
	// A started instance has an empty retry budget, which grows with time.
	time.Sleep(2 * time.Second)
	var backends []*fragmentBackend
	for i := range 3 {
		b := newFragmentBackend(t, "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1", "200 OK")
		f.store.set(fmt.Sprint("servers/twice-", i), b.entry())
		backends = append(backends, b)
	}
	time.Sleep(listTime)
	var statuses []int
	for i := range 12 {
		status, _ := f.send(f.instances[0], "POST", "moving.example", fmt.Sprint("/once/twice/", i), "work")
		statuses = append(statuses, status)
	}
	t.Logf("statuses %v", statuses)
	ran := make(map[string]int)
	most := 0
	for _, b := range backends {
		b.mu.Lock()
		for path, n := range b.ran {
			ran[path] += n
			most = max(most, ran[path])
		}
		b.mu.Unlock()
	}
	asserter.AtMost(t, "runs of one request", most, 1)
}
