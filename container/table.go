// Package container provides the generic containers of the control state. Stored
// records are immutable values: a change stores a new value.
package container

// Table is a map from keys to immutable records. Keys and records are stored in
// slices, so a scan reads consecutive memory, and its order depends only on past
// operations.
type Table[K comparable, V any] struct {
	// index holds the position of each key in keys and values.
	index map[K]int
	// keys and values have equal lengths; values[i] belongs to keys[i].
	keys   []K
	values []V
}

// NewTable returns an empty table.
func NewTable[K comparable, V any]() *Table[K, V] {
	return &Table[K, V]{index: make(map[K]int)}
}

// Len returns the number of records.
func (t *Table[K, V]) Len() int { return len(t.keys) }

// Get returns the record of k and whether there is one.
func (t *Table[K, V]) Get(k K) (V, bool) {
	i, ok := t.index[k]
	if !ok {
		var zero V
		return zero, false
	}
	return t.values[i], true
}

// Has reports whether k has a record.
func (t *Table[K, V]) Has(k K) bool {
	_, ok := t.index[k]
	return ok
}

// Put stores v under k and replaces any earlier record.
func (t *Table[K, V]) Put(k K, v V) {
	if i, ok := t.index[k]; ok {
		t.values[i] = v
		return
	}
	t.index[k] = len(t.keys)
	t.keys = append(t.keys, k)
	t.values = append(t.values, v)
}

// Delete removes the record of k; the last record takes its position.
func (t *Table[K, V]) Delete(k K) {
	i, ok := t.index[k]
	if !ok {
		return
	}
	last := len(t.keys) - 1
	t.keys[i] = t.keys[last]
	t.values[i] = t.values[last]
	t.index[t.keys[i]] = i
	delete(t.index, k)
	var zero V
	t.values[last] = zero
	t.keys = t.keys[:last]
	t.values = t.values[:last]
}

// At returns the key and record at position i, with 0 <= i < Len().
func (t *Table[K, V]) At(i int) (K, V) { return t.keys[i], t.values[i] }

// SetAt replaces the record at position i.
func (t *Table[K, V]) SetAt(i int, v V) { t.values[i] = v }

// Position returns the position of the record of k, or -1 if there is none.
func (t *Table[K, V]) Position(k K) int {
	if i, ok := t.index[k]; ok {
		return i
	}
	return -1
}

// All calls yield for each record in position order until it returns false.
func (t *Table[K, V]) All(yield func(K, V) bool) {
	for i, k := range t.keys {
		if !yield(k, t.values[i]) {
			return
		}
	}
}
