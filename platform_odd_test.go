package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"monsoonswitch/asserter"
)

// oddBackend is a backend server that answers each request whose path names one of its answers with
// that, and all others with 200. %s in an answer is the identifier of the request.
type oddBackend struct {
	listener net.Listener
	answers  map[string]string

	mu sync.Mutex
	// ran counts the runs of each request by path.
	ran map[string]int
}

func newOddBackend(t *testing.T, answers map[string]string) *oddBackend {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	asserter.NoError(t, "listen", err)
	t.Cleanup(func() { _ = l.Close() })
	b := &oddBackend{listener: l, answers: answers, ran: make(map[string]int)}
	acceptAll(l, b.serve)
	return b
}

func (b *oddBackend) serve(conn net.Conn) {
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
		b.mu.Lock()
		b.ran[r.URL.Path]++
		b.mu.Unlock()
		text, odd := b.answers[r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:]]
		if !odd {
			text = "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Signature: stand-in\r\nContent-Length: 3\r\n\r\nran"
		}
		if _, err := fmt.Fprintf(conn, strings.Replace(text, "%s", "%[1]s", 1), r.Header.Get("Request-Id")); err != nil {
			return
		}
	}
}

func (b *oddBackend) runs(path string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ran[path]
}

// oddAnswers are answers that net/http can't write or that callers can't take. The name is the last
// part of the path of a request.
var oddAnswers = map[string]string{
	"status-000":     "HTTP/1.1 000 Odd\r\nRequest-Id: %s\r\nContent-Length: 3\r\n\r\nodd",
	"status-099":     "HTTP/1.1 099 Odd\r\nRequest-Id: %s\r\nContent-Length: 3\r\n\r\nodd",
	"status-signed":  "HTTP/1.1 +20 Odd\r\nRequest-Id: %s\r\nContent-Length: 3\r\n\r\nodd",
	"status-101":     "HTTP/1.1 101 Odd\r\nRequest-Id: %s\r\nContent-Length: 3\r\n\r\nodd",
	"status-600":     "HTTP/1.1 600 Odd\r\nRequest-Id: %s\r\nContent-Length: 3\r\n\r\nodd",
	"status-999":     "HTTP/1.1 999 Odd\r\nRequest-Id: %s\r\nContent-Length: 3\r\n\r\nodd",
	"refused-600":    "HTTP/1.1 600 Odd\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 3\r\n\r\nodd",
	"name-space":     "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nOdd Name: a\r\nContent-Length: 3\r\n\r\nodd",
	"value-nul":      "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nOdd: a\x00b\r\nContent-Length: 3\r\n\r\nodd",
	"value-return":   "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nOdd: a\rb\r\nContent-Length: 3\r\n\r\nodd",
	"value-delete":   "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nOdd: a\x7fb\r\nContent-Length: 3\r\n\r\nodd",
	"trailer-value":  "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nTrailer: Sum\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nodd\r\n0\r\nSum: a\x00b\r\n\r\n",
	"trailer-name":   "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nTrailer: Odd Name\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nodd\r\n0\r\nOdd Name: a\r\n\r\n",
	"trailer-length": "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nTrailer: Content-Length\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nodd\r\n0\r\nContent-Length: 2\r\n\r\n",
}

// TestPlatformOddAnswers guards against answers of a backend server that net/http can't write:
// a status below 100 ended the process. The others reached callers as answers.
func TestPlatformOddAnswers(t *testing.T) {
	f := newPlatformFleet(t, 1, 1)
	f.store.set("op/config", routing(2, "ledger", "odd"))
	b := newOddBackend(t, oddAnswers)
	f.store.set("servers/odd", map[string]any{
		"service": "odd", "address": b.listener.Addr().String(), "zone": "a", "version": "v1",
		"slots": 64, "state": "ready", "cold_remaining_s": 0, "sequence": 1, "born": 1,
	})
	time.Sleep(listTime)
	for name := range oddAnswers {
		for _, kind := range []string{"once", "safe"} {
			t.Run(name+" "+kind, func(t *testing.T) {
				method := map[string]string{"once": "POST", "safe": "GET"}[kind]
				status, body := f.send(f.instances[0], method, "odd.example", "/"+kind+"/"+name, "")
				t.Logf("status %d, body %q", status, body)
				// The end of an answer whose trailers are odd comes after its head.
				asserter.True(t, fmt.Sprintf("status %d is that of a failure", status), status == http.StatusBadGateway || status == 0 && strings.HasPrefix(name, "trailer"))
				if kind == "once" {
					asserter.Equal(t, "runs", b.runs("/once/"+name), 1)
				}
				status, _ = f.send(f.instances[0], "GET", "ledger.example", "/safe/after-"+name, "")
				asserter.Equal(t, "status of an ordinary request", status, http.StatusOK)
			})
		}
	}
}
