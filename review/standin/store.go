package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an item of the platform's store in its JSON form.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store is a stand-in of the platform's store for reading nodes. The operator and the
// backend servers write to it by set and drop.
type store struct {
	mu       sync.Mutex
	items    map[string]item
	events   []item
	revision uint64
	// changed is closed and replaced at each change.
	changed chan struct{}
}

// pageItems is the number of items in one page of a range.
const pageItems = 50

// maxWatchWait bounds the wait of a watch.
const maxWatchWait = 30 * time.Second

func newStore() *store {
	return &store{items: make(map[string]item), changed: make(chan struct{}), revision: 1}
}

// set writes a value.
func (s *store) set(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.change(item{Key: key, Value: data})
}

// drop removes a key.
func (s *store) drop(key string) { s.change(item{Key: key, Deleted: true}) }

func (s *store) change(i item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	i.Revision = s.revision
	before, ok := s.items[i.Key]
	i.Created = i.Revision
	if ok {
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
	w.Header().Set("Content-Type", "application/json")
	switch r.URL.Path {
	case "/kv-key":
		s.serveKey(w, q.Get("key"))
	case "/kv-range":
		s.serveRange(w, q.Get("path_prefix"), q.Get("after"))
	case "/kv-watch":
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		s.serveWatch(w, r, q.Get("path_prefix"), after, min(time.Duration(wait)*time.Millisecond, maxWatchWait))
	default:
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
	_ = json.NewEncoder(w).Encode(struct {
		item
		Current uint64 `json:"current_rev"`
	}{i, s.revision})
}

func (s *store) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := []item{}
	for k, i := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			list = append(list, i)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	more := len(list) > pageItems
	list = list[:min(len(list), pageItems)]
	_ = json.NewEncoder(w).Encode(map[string]any{"items": list, "has_more": more, "current_rev": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		changed, current := s.changed, s.revision
		list := []item{}
		for _, e := range s.events {
			if strings.HasPrefix(e.Key, prefix) && e.Revision > after {
				list = append(list, e)
			}
		}
		s.mu.Unlock()
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
