package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// wireItem is an item of the platform's store as it goes over the wire.
type wireItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// platformStore is a stand-in of the platform's store.
type platformStore struct {
	mu       sync.Mutex
	items    map[string]wireItem
	events   []wireItem
	revision uint64
	changed  chan struct{}
	down     bool
	// oldest is the first revision of the history that is kept.
	oldest uint64
	calls  int
}

func newPlatformStore() *platformStore {
	return &platformStore{items: make(map[string]wireItem), changed: make(chan struct{}), revision: 1, oldest: 1}
}

// set writes a value as the operator or a backend server does.
func (s *platformStore) set(key string, value any) {
	data, _ := json.Marshal(value)
	s.change(wireItem{Key: key, Value: data})
}

// drop removes a key.
func (s *platformStore) drop(key string) { s.change(wireItem{Key: key, Deleted: true}) }

func (s *platformStore) change(i wireItem) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	i.Revision = s.revision
	if i.Deleted {
		delete(s.items, i.Key)
	} else {
		s.items[i.Key] = i
	}
	s.events = append(s.events, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// setDown starts or ends an outage.
func (s *platformStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// forget drops the history.
func (s *platformStore) forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = nil
	s.oldest = s.revision + 1
}

// pageSize is small, so that pages must be followed.
const pageSize = 3

func (s *platformStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	down := s.down
	s.mu.Unlock()
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	q := r.URL.Query()
	switch r.URL.Path {
	case "/kv-range":
		s.serveRange(w, q.Get("path_prefix"), q.Get("after"))
	case "/kv-watch":
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		s.serveWatch(w, r, q.Get("path_prefix"), after, time.Duration(wait)*time.Millisecond)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *platformStore) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []wireItem
	for k, i := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			list = append(list, i)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	more := len(list) > pageSize
	list = list[:min(len(list), pageSize)]
	_ = json.NewEncoder(w).Encode(map[string]any{"items": list, "has_more": more, "current_rev": s.revision})
}

func (s *platformStore) serveWatch(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		gone, changed, current := after+1 < s.oldest, s.changed, s.revision
		var list []wireItem
		for _, e := range s.events {
			if strings.HasPrefix(e.Key, prefix) && e.Revision > after {
				list = append(list, e)
			}
		}
		s.mu.Unlock()
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(list) == 0 {
			select {
			case <-changed:
				continue
			case <-timer.C:
			case <-r.Context().Done():
				return
			}
		}
		_ = json.NewEncoder(w).Encode(map[string]any{"events": list, "current_rev": current})
		return
	}
}

// platformBackend is a stand-in of a backend server on the platform.
type platformBackend struct {
	id, service string
	server      *httptest.Server

	mu sync.Mutex
	// runs counts how often each request ran.
	runs map[string]int
	// gray makes it fail all work at once; shed makes it refuse all work.
	gray, shed bool
	// work is how long a request runs.
	work time.Duration
	last time.Time
}

func newPlatformBackend(service string, n int) *platformBackend {
	b := &platformBackend{id: fmt.Sprintf("i-%s-%d", service, n), service: service, runs: make(map[string]int), work: 5 * time.Millisecond}
	b.server = httptest.NewServer(b)
	return b
}

func (b *platformBackend) entry(state string) map[string]any {
	return map[string]any{
		"service": b.service, "address": strings.TrimPrefix(b.server.URL, "http://"), "zone": "a",
		"version": "v1", "slots": 3, "state": state, "cold_remaining_s": 0, "sequence": 1, "born": 1,
	}
}

// signature marks the answers of a backend server.
const signature = "stand-in"

func (b *platformBackend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if want := r.Header.Get("Expect-Instance"); want != b.id {
		w.Header().Set("Instance-Id", b.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	b.mu.Lock()
	gray, shed, work := b.gray, b.shed, b.work
	if !shed {
		b.runs[id]++
		b.last = time.Now()
	}
	b.mu.Unlock()
	w.Header().Set("Backend-Load", "1,0,3")
	if shed {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Server-Signature", signature)
	if gray {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	time.Sleep(work)
	fmt.Fprintf(w, "%s %s by %s", r.Method, r.URL.Path, b.service)
}

// set changes how the backend server behaves.
func (b *platformBackend) set(change func(*platformBackend)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	change(b)
}

// counts returns the number of requests that ran and the most runs of one.
func (b *platformBackend) counts() (total, most int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, n := range b.runs {
		total += n
		most = max(most, n)
	}
	return total, most
}
