package storer

import (
	"sort"
	"time"

	"monsoonswitch/container"
	"monsoonswitch/descriptor"
)

// returnTime is how long after an outage of the store entries that lapsed
// meanwhile may still come back: about two seconds by the platform's promise.
const returnTime = 2200 * time.Millisecond

// listing is the entry of one backend server.
type listing struct {
	service string
	backend descriptor.Backend
	// missing is when the entry was first not there; zero while it is.
	missing time.Time
}

// WithMissing returns l as it was found missing at t; zero means that it is there.
func (l listing) WithMissing(t time.Time) listing {
	l.missing = t
	return l
}

// Roster puts the lists of backend servers together from single entries. After
// an outage of the store it waits for entries that lapsed meanwhile, as their
// backend servers may be well. It belongs to one goroutine.
type Roster struct {
	entries *container.Table[string, listing]
	// recovered is when the store came back last.
	recovered time.Time
	// changed lists the services whose lists changed since the last flush.
	changed map[string]bool
}

// NewRoster returns a roster without entries.
func NewRoster() *Roster {
	return &Roster{entries: container.NewTable[string, listing](), changed: make(map[string]bool)}
}

// Recover takes in that the store is back after an outage.
func (r *Roster) Recover(now time.Time) { r.recovered = now }

// Put adds or replaces an entry.
func (r *Roster) Put(key, service string, b descriptor.Backend) {
	before, ok := r.entries.Get(key)
	if ok && before.service == service && before.backend == b {
		r.entries.Put(key, before.WithMissing(time.Time{}))
		return
	}
	if ok {
		r.changed[before.service] = true
	}
	r.changed[service] = true
	r.entries.Put(key, listing{service: service, backend: b})
}

// Remove takes in that an entry is not there.
func (r *Roster) Remove(key string, now time.Time) {
	if l, ok := r.entries.Get(key); ok && l.missing.IsZero() {
		r.entries.Put(key, l.WithMissing(now))
	}
}

// Keep takes in that the given entries are all there are.
func (r *Roster) Keep(keys []string, now time.Time) {
	present := make(map[string]bool, len(keys))
	for _, k := range keys {
		present[k] = true
	}
	for i := range r.entries.Len() {
		if key, _ := r.entries.At(i); !present[key] {
			r.Remove(key, now)
		}
	}
}

// Flush returns the lists that changed, as of a revision of the store. An entry
// that is missing counts as gone, unless it may come back after an outage.
func (r *Roster) Flush(revision uint64, now time.Time) []descriptor.Document {
	var gone []string
	for key, l := range r.entries.All {
		mayReturn := now.Sub(r.recovered) < returnTime && !l.backend.Leaving
		if !l.missing.IsZero() && !mayReturn {
			gone = append(gone, key)
			r.changed[l.service] = true
		}
	}
	for _, key := range gone {
		r.entries.Delete(key)
	}
	var result []descriptor.Document
	for service := range r.changed {
		result = append(result, r.list(service, revision))
	}
	clear(r.changed)
	sort.Slice(result, func(i, j int) bool { return result[i].Name < result[j].Name })
	return result
}

// list returns the document of one service.
func (r *Roster) list(service string, revision uint64) descriptor.Document {
	d := descriptor.Document{Kind: descriptor.KindBackends, Name: service, Revision: revision}
	for _, l := range r.entries.All {
		if l.service == service {
			d.Backends = append(d.Backends, l.backend)
		}
	}
	sort.Slice(d.Backends, func(i, j int) bool { return d.Backends[i].ID < d.Backends[j].ID })
	return d
}
