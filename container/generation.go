package container

import (
	"cmp"
	"slices"
)

// Generations is a bounded map that evicts keys by whole generations. When the
// current generation is full, the previous one is dropped and a new one begins.
type Generations[K cmp.Ordered, V any] struct {
	// current and previous have no key in common.
	current  map[K]V
	previous map[K]V
	// limit is the maximum number of keys in one generation.
	limit int
}

// NewGenerations returns a map that holds at most 2*limit keys.
func NewGenerations[K cmp.Ordered, V any](limit int) *Generations[K, V] {
	return &Generations[K, V]{current: make(map[K]V), previous: make(map[K]V), limit: limit}
}

// Get returns the value of k and whether there is one.
func (g *Generations[K, V]) Get(k K) (V, bool) {
	if v, ok := g.current[k]; ok {
		return v, true
	}
	v, ok := g.previous[k]
	return v, ok
}

// Put stores v under k. It reports whether that began a new generation, and how many keys
// were dropped with the previous one: none the first time.
func (g *Generations[K, V]) Put(k K, v V) (began bool, dropped int) {
	delete(g.previous, k)
	if _, ok := g.current[k]; !ok && len(g.current) >= g.limit {
		dropped = len(g.previous)
		g.previous = g.current
		g.current = map[K]V{k: v}
		return true, dropped
	}
	g.current[k] = v
	return false, 0
}

// Delete removes k.
func (g *Generations[K, V]) Delete(k K) {
	delete(g.current, k)
	delete(g.previous, k)
}

// Len returns the number of keys held.
func (g *Generations[K, V]) Len() int { return len(g.current) + len(g.previous) }

// Keys returns all keys in ascending order.
func (g *Generations[K, V]) Keys() []K {
	result := make([]K, 0, g.Len())
	for k := range g.current {
		result = append(result, k)
	}
	for k := range g.previous {
		result = append(result, k)
	}
	slices.Sort(result)
	return result
}
