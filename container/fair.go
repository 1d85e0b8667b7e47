package container

// Fair is a queue that takes owners in turn, so that an owner with many
// entries delays other owners by at most one entry a round.
type Fair[K comparable, V any] struct {
	// queues holds one non-empty queue for each owner in order.
	queues map[K][]V
	// order lists the owners with entries; order[0] is served next.
	order []K
	// size is the number of entries in all queues.
	size int
}

// NewFair returns an empty queue.
func NewFair[K comparable, V any]() *Fair[K, V] {
	return &Fair[K, V]{queues: make(map[K][]V)}
}

// Len returns the number of entries.
func (f *Fair[K, V]) Len() int { return f.size }

// Push adds v behind the entries of its owner.
func (f *Fair[K, V]) Push(owner K, v V) {
	q, ok := f.queues[owner]
	if !ok {
		f.order = append(f.order, owner)
	}
	f.queues[owner] = append(q, v)
	f.size++
}

// Pop removes the next entry: the newest of the owner whose turn it is if
// newest is set, otherwise its oldest.
func (f *Fair[K, V]) Pop(newest bool) (V, bool) {
	if f.size == 0 {
		var zero V
		return zero, false
	}
	owner := f.order[0]
	q := f.queues[owner]
	v := q[0]
	rest := q[1:]
	if newest {
		v = q[len(q)-1]
		rest = q[:len(q)-1]
	}
	f.order = f.order[1:]
	f.size--
	if len(rest) == 0 {
		delete(f.queues, owner)
		return v, true
	}
	f.queues[owner] = rest
	f.order = append(f.order, owner)
	return v, true
}

// Front returns the oldest entry of the owner whose turn it is.
func (f *Fair[K, V]) Front() (V, bool) {
	if f.size == 0 {
		var zero V
		return zero, false
	}
	return f.queues[f.order[0]][0], true
}

// Return puts back an entry that was just popped, with the same order, and
// makes it the turn of its owner again.
func (f *Fair[K, V]) Return(owner K, v V, newest bool) {
	q, ok := f.queues[owner]
	if ok {
		f.order = without(f.order, owner)
	}
	f.order = append([]K{owner}, f.order...)
	if newest {
		q = append(q, v)
	} else {
		q = append([]V{v}, q...)
	}
	f.queues[owner] = q
	f.size++
}

func without[K comparable](list []K, k K) []K {
	result := make([]K, 0, len(list))
	for _, v := range list {
		if v != k {
			result = append(result, v)
		}
	}
	return result
}

// Filter removes the entries for which drop returns true.
func (f *Fair[K, V]) Filter(drop func(V) bool) {
	order := f.order[:0]
	f.size = 0
	for _, owner := range f.order {
		q := f.queues[owner]
		kept := q[:0]
		for _, v := range q {
			if !drop(v) {
				kept = append(kept, v)
			}
		}
		f.size += len(kept)
		if len(kept) == 0 {
			delete(f.queues, owner)
			continue
		}
		f.queues[owner] = kept
		order = append(order, owner)
	}
	f.order = order
}
