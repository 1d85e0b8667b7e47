package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// heartbeat is the time between two entries of a backend in the store.
const heartbeat = 1500 * time.Millisecond

// visit is one request that reached a backend.
type visit struct {
	id, path string
	// arrived is when its head was read, and ended when the work on it ended; ended is zero while it runs.
	arrived, ended time.Time
	// ran is set if the backend began to work on it.
	ran bool
	// dropped is set if the work ended early because the connection was closed.
	dropped bool
}

// backend is a stand-in for a backend. It runs up to slots requests at once, lets some wait, and ends the
// work on a request whose connection closes.
type backend struct {
	id, service string
	slots       int
	// work returns how long a request runs.
	work     func(*http.Request) time.Duration
	listener net.Listener
	record   *record
	busy     chan struct{}
	born     int64

	mu     sync.Mutex
	visits []*visit
	queued int
}

// newBackend starts a backend and has it publish its entry.
func newBackend(s *store, rec *record, service string, n, slots int, work func(*http.Request) time.Duration) (*backend, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &backend{
		id: fmt.Sprintf("i-%s%d", service, n), service: service, slots: slots, work: work,
		listener: l, record: rec, busy: make(chan struct{}, slots), born: time.Now().UnixMilli(),
	}
	go func() { _ = http.Serve(l, b) }()
	go func() {
		for sequence := 1; ; sequence++ {
			s.put("servers/"+b.id, b.entry(sequence))
			time.Sleep(heartbeat)
		}
	}()
	return b, nil
}

// entry returns the value that the backend keeps in the store.
func (b *backend) entry(sequence int) map[string]any {
	return map[string]any{
		"service": b.service, "address": b.listener.Addr().String(), "zone": "a", "version": "v1",
		"slots": b.slots, "state": "ready", "cold_remaining_s": 0, "sequence": sequence, "born": b.born,
	}
}

// ServeHTTP implements http.Handler.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	if r.URL.Path == healthPath {
		w.Header().Set("Instance-Id", b.id)
		return
	}
	w.Header().Set("Request-Id", id)
	if want := r.Header.Get("Expect-Instance"); want != "" && want != b.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	v := &visit{id: id, path: r.URL.Path, arrived: time.Now()}
	b.mu.Lock()
	b.visits = append(b.visits, v)
	full := b.queued >= 2*b.slots
	if !full {
		b.queued++
	}
	b.mu.Unlock()
	if full {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	b.record.write("backend %s: request %s arrives", b.id, shortID(id))
	_, _ = io.Copy(io.Discard, r.Body)
	b.serve(w, r, v)
}

// serve waits for a slot and runs a request.
func (b *backend) serve(w http.ResponseWriter, r *http.Request, v *visit) {
	select {
	case b.busy <- struct{}{}:
	case <-r.Context().Done():
		b.end(v, true)
		return
	}
	b.mu.Lock()
	v.ran = true
	b.mu.Unlock()
	timer := time.NewTimer(b.work(r))
	defer timer.Stop()
	dropped := false
	select {
	case <-timer.C:
	case <-r.Context().Done():
		dropped = true
	}
	<-b.busy
	b.end(v, dropped)
	if dropped {
		return
	}
	w.Header().Set("Server-Signature", b.id+"."+v.id)
	w.Header().Set("Backend-Load", fmt.Sprintf("%d,%d,%d", len(b.busy), 0, b.slots))
	_, _ = fmt.Fprintf(w, "answer to %s by %s\n", v.id, b.id)
}

// end records the end of the work on a request.
func (b *backend) end(v *visit, dropped bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.queued--
	v.ended, v.dropped = time.Now(), dropped
	b.record.write("backend %s: request %s ends after %d ms, dropped %v", b.id, shortID(v.id), v.ended.Sub(v.arrived).Milliseconds(), dropped)
}

// seen returns copies of all visits so far.
func (b *backend) seen() []visit {
	b.mu.Lock()
	defer b.mu.Unlock()
	result := make([]visit, 0, len(b.visits))
	for _, v := range b.visits {
		result = append(result, *v)
	}
	return result
}

// shortID returns the start of an identifier.
func shortID(id string) string { return id[:min(len(id), 16)] }
