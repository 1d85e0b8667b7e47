package main

import (
	"bufio"
	"bytes"
	"context"
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

// endlessAnswers holds answers that never end: bytes that are sent once, and bytes that are
// then sent again and again. The path of a request names the answer. %s is the identifier of
// the request.
var endlessAnswers = map[string]struct{ once, again string }{
	"head-line":     {"", "aaaaaaaaaaaaaaaa"},
	"head-fields":   {"HTTP/1.1 200 OK\r\n", "Filler: aaaaaaaaaaaaaaaa\r\n"},
	"informational": {"", "HTTP/1.1 102 Processing\r\n\r\n"},
	"chunks":        {"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n", "10\r\naaaaaaaaaaaaaaaa\r\n"},
	"unframed":      {"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nConnection: close\r\n\r\n", "aaaaaaaaaaaaaaaa"},
	"trailer":       {"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n", "Filler: aaaaaaaaaaaaaaaa\r\n"},
	"silence":       {"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: 1000\r\n\r\nabc", ""},
	"refusal":       {"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nBackend-Load: 1,0,64\r\nRequest-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n", "10\r\naaaaaaaaaaaaaaaa\r\n"},
}

// endlessBackend is a backend server whose answers never end.
type endlessBackend struct {
	listener net.Listener
	mu       sync.Mutex
	// closedAt holds when the instance closed the connection of a request, by path.
	closedAt map[string]time.Time
}

func newEndlessBackend(t *testing.T) *endlessBackend {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	asserter.NoError(t, "listen", err)
	b := &endlessBackend{listener: l, closedAt: make(map[string]time.Time)}
	t.Cleanup(func() { _ = l.Close() })
	acceptAll(l, b.serve)
	return b
}

// serve answers the first request of a connection until the instance closes it.
func (b *endlessBackend) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	answer, ok := endlessAnswers[r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:]]
	if !ok {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nConnection: close\r\nContent-Length: 7\r\n\r\nendless", r.Header.Get("Request-Id"))
		return
	}
	once := answer.once
	if strings.Contains(once, "%s") {
		once = fmt.Sprintf(once, r.Header.Get("Request-Id"))
	}
	_, err = io.WriteString(conn, once)
	again := bytes.Repeat([]byte(answer.again), 1000)
	if len(again) == 0 {
		_, err = io.Copy(io.Discard, conn)
	}
	for err == nil && len(again) > 0 {
		_, err = conn.Write(again)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closedAt[r.URL.Path] = time.Now()
}

// closed returns when the connection of a request was closed.
func (b *endlessBackend) closed(path string) (time.Time, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	at, ok := b.closedAt[path]
	return at, ok
}

const (
	// routeTimeout is the timeout of the routes of newPlatformFleet.
	routeTimeout = 2 * time.Second
	// endingTime is the time within which a request ends after the timeout of its route
	// or after its caller left.
	endingTime = 500 * time.Millisecond
)

// TestEndlessAnswers guards against answers without end, in a head or a body, that occupy
// an instance after the timeout of the route or after the caller left.
func TestEndlessAnswers(t *testing.T) {
	f := newPlatformFleet(t, 1, 1)
	b := newEndlessBackend(t)
	entry := f.backends[0].entry("ready")
	entry["address"], entry["slots"] = b.listener.Addr().String(), 64
	f.store.set("servers/endless", entry)
	f.store.drop("servers/" + f.backends[0].id)
	asserter.Eventually(t, "only the endless backend server is used", waitLimit, func() bool {
		_, body := f.send(f.instances[0], "GET", "ledger.example", "/safe/first", "")
		return body == "endless"
	})
	for answer := range endlessAnswers {
		for _, kind := range []string{"safe", "once"} {
			for _, leaves := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %s request, caller leaves %v", answer, kind, leaves), func(t *testing.T) {
					t.Parallel()
					b.check(t, f, fmt.Sprintf("/%s/%v/%s", kind, leaves, answer), leaves)
				})
			}
		}
	}
}

// check sends a request, leaves early if told to, and compares the times at which the
// request ended for the caller and for the backend server with endingTime.
func (b *endlessBackend) check(t *testing.T, f *platformFleet, path string, leaves bool) {
	started := time.Now()
	end := started.Add(routeTimeout)
	ctx, cancel := context.WithTimeout(context.Background(), 4*routeTimeout)
	defer cancel()
	if leaves {
		end = started.Add(300 * time.Millisecond)
		time.AfterFunc(300*time.Millisecond, cancel)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.instances[0].front+path, nil)
	asserter.NoError(t, "request", err)
	r.Host = "ledger.example"
	r.Header.Set("Request-Id", path)
	response, err := http.DefaultTransport.RoundTrip(r)
	if err == nil {
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	asserter.AtMost(t, "end for the caller", time.Since(started), end.Add(endingTime).Sub(started))
	asserter.Eventually(t, "end for the backend server", 4*routeTimeout, func() bool { _, ok := b.closed(path); return ok })
	at, _ := b.closed(path)
	asserter.AtMost(t, "end for the backend server", at.Sub(started), end.Add(endingTime).Sub(started))
}
