package container

// Heap is a priority queue that returns the least entry first.
type Heap[V any] struct {
	// entries is a binary heap ordered by less.
	entries []V
	less    func(a, b V) bool
}

// NewHeap returns an empty heap ordered by less.
func NewHeap[V any](less func(a, b V) bool) *Heap[V] { return &Heap[V]{less: less} }

// Len returns the number of entries.
func (h *Heap[V]) Len() int { return len(h.entries) }

// Push adds an entry.
func (h *Heap[V]) Push(v V) {
	h.entries = append(h.entries, v)
	i := len(h.entries) - 1
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(h.entries[i], h.entries[parent]) {
			return
		}
		h.entries[i], h.entries[parent] = h.entries[parent], h.entries[i]
		i = parent
	}
}

// Pop removes and returns the least entry. It returns false if the heap is empty.
func (h *Heap[V]) Pop() (V, bool) {
	var zero V
	if len(h.entries) == 0 {
		return zero, false
	}
	first := h.entries[0]
	last := len(h.entries) - 1
	h.entries[0] = h.entries[last]
	h.entries[last] = zero
	h.entries = h.entries[:last]
	h.sink(0)
	return first, true
}

// sink moves the entry at position i down to its place in the heap order.
func (h *Heap[V]) sink(i int) {
	for {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(h.entries); child++ {
			if h.less(h.entries[child], h.entries[least]) {
				least = child
			}
		}
		if least == i {
			return
		}
		h.entries[i], h.entries[least] = h.entries[least], h.entries[i]
		i = least
	}
}
