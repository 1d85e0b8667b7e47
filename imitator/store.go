// Package imitator holds stand-ins for the environment of the fleet: the platform's
// store with its list of backend servers, and backend servers, both with faults that
// can be switched on.
package imitator

import (
	"encoding/json"
	"maps"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"time"

	"monsoonswitch/descriptor"
	"monsoonswitch/storer"
)

// StoreFault describes the faults of the platform's stand-in.
type StoreFault struct {
	// Outage answers every call with status 503.
	Outage bool `json:"outage"`
	// Slow delays every call.
	Slow time.Duration `json:"slow"`
	// Lost is the share of writes, from 0 to 1, that take effect but whose reply
	// is lost.
	Lost float64 `json:"lost"`
	// Lag delays changes to the list of backend servers.
	Lag time.Duration `json:"lag"`
}

// StoreCalls counts the calls that the stand-in received.
type StoreCalls struct {
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Watches uint64 `json:"watches"`
	Lists   uint64 `json:"lists"`
	// Waiting is the number of calls that currently wait for changes.
	Waiting int `json:"waiting"`
	// Refused counts the calls refused during outages.
	Refused uint64 `json:"refused"`
}

// Total returns the number of calls served.
func (c StoreCalls) Total() uint64 { return c.Reads + c.Writes + c.Watches + c.Lists }

// value is one item in the store with the end of its lease.
type value struct {
	item storer.Item
	// expires is the end of the lease; zero means never.
	expires time.Time
}

// backendList is the list of a service's backend servers; version is the version of
// the whole listing at its last change.
type backendList struct {
	version  uint64
	backends map[string]descriptor.Backend
}

// Store is the platform's stand-in. It is safe for use by many goroutines.
type Store struct {
	mu       sync.Mutex
	values   map[string]value
	revision uint64
	lists    map[string]backendList
	version  uint64
	// changed is closed and replaced at each change.
	changed chan struct{}
	fault   StoreFault
	calls   StoreCalls
	// era is how often the store went back to an earlier copy.
	era uint64
}

// StoreCopy is a copy of the values and lists of a store.
type StoreCopy struct {
	values            map[string]value
	lists             map[string]backendList
	revision, version uint64
}

// Copy returns a copy of the store.
func (s *Store) Copy() StoreCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return StoreCopy{values: maps.Clone(s.values), lists: cloneLists(s.lists), revision: s.revision, version: s.version}
}

// Restore goes back to an earlier copy of the store: revisions fall and are assigned again, and
// the era rises.
func (s *Store) Restore(c StoreCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.values, s.lists = maps.Clone(c.values), cloneLists(c.lists)
	s.revision, s.version = c.revision, c.version
	s.era++
	s.notifyChange()
}

// cloneLists returns a copy of the lists of all services.
func cloneLists(lists map[string]backendList) map[string]backendList {
	result := make(map[string]backendList, len(lists))
	for name, l := range lists {
		l.backends = maps.Clone(l.backends)
		result[name] = l
	}
	return result
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		values:  make(map[string]value),
		lists:   make(map[string]backendList),
		changed: make(chan struct{}),
	}
}

// SetFault replaces the faults.
func (s *Store) SetFault(f StoreFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	s.notifyChange()
}

// Fault returns the current faults.
func (s *Store) Fault() StoreFault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault
}

// Calls returns a copy of the counters.
func (s *Store) Calls() StoreCalls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// notifyChange wakes all waiting calls. The caller must hold the lock.
func (s *Store) notifyChange() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// get returns an item that has not expired. The caller must hold the lock.
func (s *Store) get(key string, now time.Time) (storer.Item, bool) {
	v, ok := s.values[key]
	if ok && !v.expires.IsZero() && !now.Before(v.expires) {
		delete(s.values, key)
		ok = false
	}
	return v.item, ok
}

// put writes a value if the stored revision equals expect, which is as Item.Stamp returns it; 0
// means that there is no value. It returns the item now in the store and whether the write was accepted.
// A lease of 0 never expires.
func (s *Store) put(key string, data json.RawMessage, expect uint64, lease time.Duration, now time.Time) (storer.Item, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	item, ok := s.get(key, now)
	if ok && item.Stamp() != expect || !ok && expect != 0 {
		return item, false
	}
	s.revision++
	v := value{item: storer.Item{Key: key, Revision: s.revision, Era: s.era, At: now, Value: data}}
	if lease > 0 {
		v.expires = now.Add(lease)
	}
	s.values[key] = v
	s.notifyChange()
	return v.item, true
}

// page returns the items under a prefix whose revision is newer than after. The
// caller must hold the lock.
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

// Register adds a backend server to the list, or replaces it, after the lag.
func (s *Store) Register(service string, b descriptor.Backend) {
	s.afterLag(func() {
		l := s.list(service)
		l.backends[b.ID] = b
		s.setList(service, l)
	})
}

// Deregister removes a backend server from the list, after the lag.
func (s *Store) Deregister(service, id string) {
	s.afterLag(func() {
		l := s.list(service)
		delete(l.backends, id)
		s.setList(service, l)
	})
}

// afterLag applies a change to the lists after the lag, with the lock held.
func (s *Store) afterLag(change func()) {
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

// list returns the list of a service. The caller must hold the lock.
func (s *Store) list(service string) backendList {
	l, ok := s.lists[service]
	if !ok {
		l.backends = make(map[string]descriptor.Backend)
	}
	return l
}

// setList stores a list under a new version. The caller must hold the lock.
func (s *Store) setList(service string, l backendList) {
	s.version++
	l.version = s.version
	s.lists[service] = l
	s.notifyChange()
}

// listing returns the services whose lists are newer than after. The caller must
// hold the lock.
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

func listingOf(name string, l backendList) storer.ServiceListing {
	result := storer.ServiceListing{Name: name, Version: l.version}
	var list []descriptor.Backend
	for _, b := range l.backends {
		list = append(list, b)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	for _, b := range list {
		// A descriptor.Backend has only fields that can be encoded.
		data, _ := json.Marshal(b)
		result.Backends = append(result.Backends, data)
	}
	return result
}

// losesReply draws whether the reply to a write is lost.
func (s *Store) losesReply() bool {
	share := s.Fault().Lost
	return share > 0 && rand.Float64() < share
}

// Peek returns an item that has not expired, regardless of the current faults.
func (s *Store) Peek(key string) (storer.Item, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.get(key, time.Now())
}
