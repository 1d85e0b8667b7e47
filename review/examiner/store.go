package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a value of the store as calls return it.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// pageItems is the largest number of items in one page of a range.
const pageItems = 500

// store is a stand-in for the platform's store: ranges, watches and single keys. It keeps its whole
// history.
type store struct {
	mu       sync.Mutex
	items    map[string]item
	events   []item
	revision uint64
	// changed is closed and replaced at each change.
	changed  chan struct{}
	listener net.Listener
}

// newStore starts a store on a free port of the loopback interface.
func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{items: make(map[string]item), revision: 1, changed: make(chan struct{}), listener: l}
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

// address returns host:port of the store.
func (s *store) address() string { return s.listener.Addr().String() }

// put writes a value, encoded as JSON.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.change(item{Key: key, Value: data})
}

// change applies a write or a deletion.
func (s *store) change(i item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	i.Revision, i.Created = s.revision, s.revision
	if before, ok := s.items[i.Key]; ok {
		i.Created = before.Created
	}
	if i.Deleted {
		delete(s.items, i.Key)
	} else {
		s.items[i.Key] = i
	}
	s.events = append(s.events, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	switch r.URL.Path {
	case "/kv-key":
		s.serveKey(w, q.Get("key"))
	case "/kv-range":
		s.serveRange(w, q.Get("path_prefix"), q.Get("after"))
	case "/kv-watch":
		s.serveWatch(w, r, q.Get("path_prefix"), after, time.Duration(wait)*time.Millisecond)
	default:
		// The cases need no writes; nothing was done.
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (s *store) serveKey(w http.ResponseWriter, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[key]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, i)
}

func (s *store) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			list = append(list, i)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	more := len(list) > pageItems
	writeJSON(w, map[string]any{"items": list[:min(len(list), pageItems)], "has_more": more, "current_rev": s.revision})
}

// since returns the events under a prefix after a revision, the present revision and the channel that
// the next change closes.
func (s *store) since(prefix string, after uint64) ([]item, uint64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := []item{}
	for i := len(s.events) - 1; i >= 0 && s.events[i].Revision > after; i-- {
		if strings.HasPrefix(s.events[i].Key, prefix) {
			list = append([]item{s.events[i]}, list...)
		}
	}
	return list, s.revision, s.changed
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for waiting := true; ; {
		list, current, changed := s.since(prefix, after)
		if len(list) > 0 || !waiting {
			writeJSON(w, map[string]any{"events": list, "current_rev": current})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
