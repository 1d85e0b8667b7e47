// Package imitator holds stand-ins for what surrounds the fleet: the platform's
// services and backend servers with faults that can be switched on.
package imitator

import (
	"encoding/json"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"time"

	"monsoonswitch/descriptor"
	"monsoonswitch/storer"
)

// StoreFault is what is wrong with the stand-in of the platform.
type StoreFault struct {
	// Outage refuses every call.
	Outage bool `json:"outage"`
	// Slow delays every call.
	Slow time.Duration `json:"slow"`
	// Lost is the share of writes that take effect without a reply.
	Lost float64 `json:"lost"`
	// Lag delays changes of the list of backend servers.
	Lag time.Duration `json:"lag"`
}

// StoreCalls counts the calls at the stand-in.
type StoreCalls struct {
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Watches uint64 `json:"watches"`
	Lists   uint64 `json:"lists"`
	// Waiting is the number of watches that wait now.
	Waiting int `json:"waiting"`
	// Refused counts the calls during outages.
	Refused uint64 `json:"refused"`
}

// Total returns the calls that were served.
func (c StoreCalls) Total() uint64 { return c.Reads + c.Writes + c.Watches + c.Lists }

// value is one value in the store.
type value struct {
	item storer.Item
	// ends is when its lease ends; zero means never.
	ends time.Time
}

// listed is the list of one service and when each change becomes visible.
type listed struct {
	version  uint64
	backends map[string]descriptor.Backend
}

// Store is the state of the stand-in of the platform.
type Store struct {
	mu       sync.Mutex
	values   map[string]value
	revision uint64
	lists    map[string]listed
	version  uint64
	changed  chan struct{}
	fault    StoreFault
	calls    StoreCalls
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		values:  make(map[string]value),
		lists:   make(map[string]listed),
		changed: make(chan struct{}),
	}
}

// SetFault replaces the faults.
func (s *Store) SetFault(f StoreFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	s.wake()
}

// Fault returns the faults.
func (s *Store) Fault() StoreFault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault
}

// Calls returns the counted calls.
func (s *Store) Calls() StoreCalls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// wake ends all waits; the caller holds the lock.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// get returns a value that has not expired; the caller holds the lock.
func (s *Store) get(key string, now time.Time) (storer.Item, bool) {
	v, ok := s.values[key]
	if ok && !v.ends.IsZero() && !now.Before(v.ends) {
		delete(s.values, key)
		ok = false
	}
	return v.item, ok
}

// put writes a value by compare-and-swap and returns the item in the store.
func (s *Store) put(key string, data json.RawMessage, expect uint64, lease time.Duration, now time.Time) (storer.Item, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	item, ok := s.get(key, now)
	if ok && item.Revision != expect || !ok && expect != 0 {
		return item, false
	}
	s.revision++
	v := value{item: storer.Item{Key: key, Revision: s.revision, At: now, Value: data}}
	if lease > 0 {
		v.ends = now.Add(lease)
	}
	s.values[key] = v
	s.wake()
	return v.item, true
}

// page returns the values under a prefix that are newer than after.
func (s *Store) page(prefix string, after uint64, now time.Time) storer.Page {
	p := storer.Page{Revision: s.revision}
	for key := range s.values {
		if !strings.HasPrefix(key, prefix) {
			continue
		}
		if item, ok := s.get(key, now); ok && item.Revision > after {
			p.Items = append(p.Items, item)
		}
	}
	sort.Slice(p.Items, func(i, j int) bool { return p.Items[i].Revision < p.Items[j].Revision })
	return p
}

// Register adds or replaces a backend server in the list, after the lag.
func (s *Store) Register(service string, b descriptor.Backend) {
	s.later(func() {
		l := s.list(service)
		l.backends[b.ID] = b
		s.setList(service, l)
	})
}

// Deregister takes a backend server off the list, after the lag.
func (s *Store) Deregister(service, id string) {
	s.later(func() {
		l := s.list(service)
		delete(l.backends, id)
		s.setList(service, l)
	})
}

func (s *Store) later(change func()) {
	lag := s.Fault().Lag
	apply := func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		change()
	}
	if lag == 0 {
		apply()
		return
	}
	time.AfterFunc(lag, apply)
}

func (s *Store) list(service string) listed {
	l, ok := s.lists[service]
	if !ok {
		l.backends = make(map[string]descriptor.Backend)
	}
	return l
}

func (s *Store) setList(service string, l listed) {
	s.version++
	l.version = s.version
	s.lists[service] = l
	s.wake()
}

// listing returns the services whose lists are newer than after.
func (s *Store) listing(after uint64) storer.Listing {
	result := storer.Listing{Version: s.version}
	for name, l := range s.lists {
		if l.version > after {
			result.Services = append(result.Services, listingOf(name, l))
		}
	}
	sort.Slice(result.Services, func(i, j int) bool { return result.Services[i].Name < result.Services[j].Name })
	return result
}

func listingOf(name string, l listed) storer.ServiceListing {
	result := storer.ServiceListing{Name: name, Version: l.version}
	for _, b := range l.backends {
		result.Backends = append(result.Backends, b)
	}
	sort.Slice(result.Backends, func(i, j int) bool { return result.Backends[i].ID < result.Backends[j].ID })
	return result
}

// drops tells whether the reply to a write is lost.
func (s *Store) drops() bool {
	share := s.Fault().Lost
	return share > 0 && rand.Float64() < share
}

// Peek returns a value whatever faults are on.
func (s *Store) Peek(key string) (storer.Item, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.get(key, time.Now())
}
