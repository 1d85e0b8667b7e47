package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// run is one request that a backend server began to work on.
type run struct {
	id, path, backend, service string
	at                         time.Time
	bytes                      int64
}

// backend is a stand-in of a backend server. behave, if it is set, may serve a request instead of the
// default and reports whether it did.
type backend struct {
	fleet   *fleet
	service string
	name    string
	slots   int
	address string
	work    time.Duration
	behave  func(b *backend, w http.ResponseWriter, r *http.Request) bool

	mu       sync.Mutex
	born     int64
	sequence int
	server   *http.Server
	stop     chan struct{}
}

// start starts an incarnation, which registers itself and writes heartbeats.
func (b *backend) start() error {
	l, err := net.Listen("tcp", b.address)
	if err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.address = l.Addr().String()
	b.born, b.sequence = time.Now().UnixMilli(), 0
	b.server = &http.Server{Handler: b}
	b.stop = make(chan struct{})
	go func(s *http.Server) { _ = s.Serve(l) }(b.server)
	go b.beat(b.stop)
	return nil
}

// crash ends the incarnation as a crash does: all connections break and nothing is said to the store. Its
// entry goes after three heartbeats.
func (b *backend) crash() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.server == nil {
		return
	}
	close(b.stop)
	_ = b.server.Close()
	b.server = nil
}

// entry returns what the backend server writes to the store.
func (b *backend) entry(state string) map[string]any {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sequence++
	return map[string]any{
		"service": b.service, "address": b.address, "zone": "a", "version": "v1", "slots": b.slots,
		"state": state, "cold_remaining_s": 0, "sequence": b.sequence, "born": b.born,
	}
}

// beat writes the entry each heartbeatTime.
func (b *backend) beat(stop chan struct{}) {
	for {
		b.fleet.store.put("servers/"+b.name, b.entry("ready"))
		select {
		case <-time.After(heartbeatTime):
		case <-stop:
			return
		}
	}
}

// ServeHTTP implements http.Handler.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != b.name {
		w.Header().Set("Instance-Id", b.name)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if b.behave != nil && b.behave(b, w, r) {
		return
	}
	n, _ := io.Copy(io.Discard, r.Body)
	b.fleet.ran(b, r, n)
	time.Sleep(b.work)
	b.answer(w, r)
}

// answer answers a request that has run.
func (b *backend) answer(w http.ResponseWriter, r *http.Request) {
	body := fmt.Sprintf("%s %s by %s", r.Method, r.URL.Path, b.name)
	w.Header().Set("Server-Signature", fmt.Sprintf("%s.%s", b.name, r.Header.Get("Request-Id")))
	w.Header().Set("Backend-Load", fmt.Sprintf("1,0,%d", b.slots))
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	_, _ = io.Copy(w, strings.NewReader(body))
}
