package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// item is a key of the store as the platform's pages spell it.
type item struct {
	Key      string `json:"key"`
	Value    string `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store is a stand-in of the platform's metadata store. It answers reads and watches; the system under
// review writes nothing on the small deployments.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	changed  chan struct{}
	calls    int
}

func newStore() *store {
	return &store{revision: 100, items: make(map[string]item), changed: make(chan struct{})}
}

// put writes a key with a JSON value and returns when the store has acknowledged it.
func (s *store) put(key string, value any) time.Time {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return s.putBytes(key, data)
}

func (s *store) putBytes(key string, data []byte) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	i := item{Key: key, Value: base64.StdEncoding.EncodeToString(data), Revision: s.revision, Created: s.revision}
	if before, ok := s.items[key]; ok {
		i.Created = before.Created
	}
	s.items[key] = i
	s.record(i)
	return time.Now()
}

// record adds a change to the history and wakes the watches. mu is held.
func (s *store) record(i item) {
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// entrance is an address of the store for one machine, which the store may turn away.
type entrance struct {
	store    *store
	address  string
	turnAway atomic.Bool
}

// open opens an entrance.
func (s *store) open() (*entrance, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &entrance{store: s, address: l.Addr().String()}
	go func() { _ = http.Serve(l, e) }()
	return e, nil
}

// ServeHTTP implements http.Handler.
func (e *entrance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if e.turnAway.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.store.ServeHTTP(w, r)
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	s.mu.Unlock()
	switch r.URL.Path {
	case "/kv-key":
		s.serveKey(w, r)
	case "/kv-range":
		s.serveRange(w, r)
	case "/kv-watch":
		s.serveWatch(w, r)
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func answerJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answerJSON(w, i)
}

// Limits of a page.
const (
	pageItems = 500
	pageBytes = 1 << 20
)

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("path_prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	page := struct {
		Items   []item `json:"items"`
		More    bool   `json:"has_more"`
		Current uint64 `json:"current_rev"`
	}{Items: []item{}, Current: s.revision}
	size := 0
	for _, key := range keys {
		if size += len(s.items[key].Value); len(page.Items) == pageItems || len(page.Items) > 0 && size > pageBytes {
			page.More = true
			break
		}
		page.Items = append(page.Items, s.items[key])
	}
	answerJSON(w, page)
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	for {
		events, current, changed := s.since(query.Get("path_prefix"), after)
		if len(events) > 0 {
			answerJSON(w, map[string]any{"events": events, "current_rev": current})
			return
		}
		select {
		case <-changed:
		case <-end.C:
			answerJSON(w, map[string]any{"events": []item{}, "current_rev": current})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// since returns the changes after a revision, the present one, and a channel that is closed at the next
// change.
func (s *store) since(prefix string, after uint64) ([]item, uint64, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var events []item
	for _, i := range s.history {
		if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
			events = append(events, i)
		}
	}
	return events, s.revision, s.changed
}
