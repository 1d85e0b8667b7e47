package storer

import (
	"sort"

	"monsoonswitch/container"
	"monsoonswitch/descriptor"
)

// Entry is the record that one backend server publishes about itself.
type Entry struct {
	Service string
	Backend descriptor.Backend
	// Order grows with every entry of one incarnation.
	Order uint64
}

// ordersPerGeneration is the number of incarnations whose order is kept in one
// generation, which bounds the memory.
const ordersPerGeneration = 1 << 16

// Roster assembles the lists of backend servers from their entries. It belongs to one
// goroutine.
type Roster struct {
	entries *container.Table[string, Entry]
	// orders holds the largest order of each incarnation, including removed ones,
	// because a delayed entry may arrive after a newer one.
	orders *container.Generations[string, uint64]
	// changed lists the services whose lists changed since the last flush.
	changed map[string]bool
}

// NewRoster returns a roster without entries.
func NewRoster() *Roster {
	return &Roster{
		entries: container.NewTable[string, Entry](),
		orders:  container.NewGenerations[string, uint64](ordersPerGeneration),
		changed: make(map[string]bool),
	}
}

// Put adds or replaces an entry. It ignores the entry if a later one of the same
// incarnation was received before.
func (r *Roster) Put(key string, e Entry) {
	if last, ok := r.orders.Get(e.Backend.ID); ok && e.Order < last {
		return
	}
	r.orders.Put(e.Backend.ID, e.Order)
	before, ok := r.entries.Get(key)
	if ok && before.Service == e.Service && before.Backend == e.Backend {
		return
	}
	if ok {
		r.changed[before.Service] = true
	}
	r.changed[e.Service] = true
	r.entries.Put(key, e)
}

// Remove removes an entry.
func (r *Roster) Remove(key string) {
	if e, ok := r.entries.Get(key); ok {
		r.changed[e.Service] = true
		r.entries.Delete(key)
	}
}

// Retain removes all entries except the given ones.
func (r *Roster) Retain(keys []string) {
	present := make(map[string]bool, len(keys))
	for _, k := range keys {
		present[k] = true
	}
	var gone []string
	for key := range r.entries.All {
		if !present[key] {
			gone = append(gone, key)
		}
	}
	for _, key := range gone {
		r.Remove(key)
	}
}

// Flush returns the lists that changed since the last call, sorted by service, with the
// given revision of the store.
func (r *Roster) Flush(revision uint64) []descriptor.Document {
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
	for _, e := range r.entries.All {
		if e.Service == service {
			d.Backends = append(d.Backends, e.Backend)
		}
	}
	sort.Slice(d.Backends, func(i, j int) bool { return d.Backends[i].ID < d.Backends[j].ID })
	return d
}
