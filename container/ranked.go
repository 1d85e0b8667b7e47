package container

import "slices"

// RankedQueue holds a FairQueue for each rank. Rank 0 is the most urgent.
type RankedQueue[K comparable, V any] struct {
	// queues holds a queue for each rank that ever had entries.
	queues map[int]*FairQueue[K, V]
	// ranks lists the keys of queues in ascending order.
	ranks []int
}

// NewRankedQueue returns an empty queue.
func NewRankedQueue[K comparable, V any]() *RankedQueue[K, V] {
	return &RankedQueue[K, V]{queues: make(map[int]*FairQueue[K, V])}
}

// Len returns the number of entries of all ranks.
func (q *RankedQueue[K, V]) Len() int {
	n := 0
	for _, rank := range q.ranks {
		n += q.queues[rank].Len()
	}
	return n
}

// Ranks returns the ranks with entries in ascending order.
func (q *RankedQueue[K, V]) Ranks() []int {
	var result []int
	for _, rank := range q.ranks {
		if q.queues[rank].Len() > 0 {
			result = append(result, rank)
		}
	}
	return result
}

// At returns the queue of a rank, which may be empty.
func (q *RankedQueue[K, V]) At(rank int) *FairQueue[K, V] {
	queue, ok := q.queues[rank]
	if !ok {
		queue = NewFairQueue[K, V]()
		q.queues[rank] = queue
		at, _ := slices.BinarySearch(q.ranks, rank)
		q.ranks = slices.Insert(q.ranks, at, rank)
	}
	return queue
}

// Filter removes the entries for which drop returns true.
func (q *RankedQueue[K, V]) Filter(drop func(V) bool) {
	for _, rank := range q.ranks {
		q.queues[rank].Filter(drop)
	}
}
