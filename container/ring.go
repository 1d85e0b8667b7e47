package container

// Ring is a ring buffer that keeps a fixed number of the newest records.
type Ring[V any] struct {
	// records has at most limit entries.
	records []V
	// next is the position that the next record overwrites once the ring is full.
	next  int
	limit int
}

// NewRing returns a ring of at most limit records.
func NewRing[V any](limit int) *Ring[V] { return &Ring[V]{limit: limit} }

// Add stores v and removes the oldest record if the ring is full.
func (r *Ring[V]) Add(v V) {
	if len(r.records) < r.limit {
		r.records = append(r.records, v)
		return
	}
	r.records[r.next] = v
	r.next = (r.next + 1) % r.limit
}

// Slice returns a copy of the records, oldest first.
func (r *Ring[V]) Slice() []V {
	result := make([]V, 0, len(r.records))
	result = append(result, r.records[r.next:]...)
	return append(result, r.records[:r.next]...)
}
