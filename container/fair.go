package container

// FairQueue serves the owners of entries round-robin, so an owner
// with many entries delays the others by at most one entry per round.
type FairQueue[K comparable, V any] struct {
	// queues holds a non-empty queue for each owner in order.
	queues map[K][]V
	// order lists the owners that have entries; order[0] is served next.
	order []K
	// size is the number of entries in all queues.
	size int
}

// NewFairQueue returns an empty queue.
func NewFairQueue[K comparable, V any]() *FairQueue[K, V] {
	return &FairQueue[K, V]{queues: make(map[K][]V)}
}

// Len returns the number of entries.
func (f *FairQueue[K, V]) Len() int { return f.size }

// Push appends v to the entries of its owner.
func (f *FairQueue[K, V]) Push(owner K, v V) {
	q, ok := f.queues[owner]
	if !ok {
		f.order = append(f.order, owner)
	}
	f.queues[owner] = append(q, v)
	f.size++
}

// Pop removes and returns the next entry: the newest of the next owner if newest is
// set, otherwise its oldest. It returns false if the queue is empty.
func (f *FairQueue[K, V]) Pop(newest bool) (V, bool) {
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

// Front returns the oldest entry of the next owner without removing it. It returns
// false if the queue is empty.
func (f *FairQueue[K, V]) Front() (V, bool) {
	if f.size == 0 {
		var zero V
		return zero, false
	}
	return f.queues[f.order[0]][0], true
}

// LenOf returns the number of entries of an owner.
func (f *FairQueue[K, V]) LenOf(owner K) int { return len(f.queues[owner]) }

// Longest returns the owner with the most entries and their number. Of several such owners it
// returns the one that is served next. The number is 0 if the queue is empty.
func (f *FairQueue[K, V]) Longest() (K, int) {
	var longest K
	n := 0
	for _, owner := range f.order {
		if len(f.queues[owner]) > n {
			longest, n = owner, len(f.queues[owner])
		}
	}
	return longest, n
}

// PopNewestOf removes and returns the newest entry of an owner. It returns false if the owner has
// none.
func (f *FairQueue[K, V]) PopNewestOf(owner K) (V, bool) {
	q := f.queues[owner]
	if len(q) == 0 {
		var zero V
		return zero, false
	}
	v := q[len(q)-1]
	f.size--
	if f.queues[owner] = q[:len(q)-1]; len(q) == 1 {
		delete(f.queues, owner)
		f.order = without(f.order, owner)
	}
	return v, true
}

// PutBack undoes a Pop: it puts the entry back at the same end of its owner's queue
// and makes that owner the next one. newest must be the argument of the Pop.
func (f *FairQueue[K, V]) PutBack(owner K, v V, newest bool) {
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

// without returns a copy of list without k.
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
func (f *FairQueue[K, V]) Filter(drop func(V) bool) {
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
