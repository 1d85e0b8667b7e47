// Package limiter decides how requests share the slots of a service: in which
// order queued requests start, how long they may wait, and how many slots long
// requests hold. It also divides the limits that backend servers name.
package limiter

import "time"

// QueueState describes the queue of one class of work for a new request of that class.
type QueueState struct {
	// Target is the declared target latency of the class.
	Target time.Duration
	// Typical is the median service time; 0 if it is unknown.
	Typical time.Duration
	// Oldest is how long the oldest queued request has waited.
	Oldest time.Duration
	// Ahead is the number of queued requests of all classes that start before a new
	// one, and InFlight the number of open attempts of all classes.
	Ahead, InFlight int
}

// Policy decides the order of queued requests, their maximum wait and the slots
// of long requests.
type Policy interface {
	// MaxWait returns how long a request may wait before it is refused.
	MaxWait(q QueueState) time.Duration
	// NewestFirst reports whether the newest queued request starts first.
	NewestFirst(q QueueState) bool
	// MaxLongSlots returns how many of slots long requests may hold while the
	// service also has short ones.
	MaxLongSlots(slots int) int
	// ReservedLongSlots returns how many of slots long requests get ahead of short
	// ones.
	ReservedLongSlots(slots int) int
	// Admits reports whether a new request may join the queue.
	Admits(q QueueState) bool
	// Hedges reports whether overdue requests are also sent to a second backend
	// server.
	Hedges() bool
}

// Parameters of Adaptive.
const (
	// minWaitShare is the least share of the target that a request may wait.
	minWaitShare = 0.25
	// overloadShare is a share of MaxWait. A queue whose oldest request has waited
	// longer is taken not to drain.
	overloadShare = 0.5
	// longMaxShare is the share of slots that long requests may hold.
	longMaxShare = 0.34
	// longReservedShare is the share of slots that long requests get ahead of
	// short ones.
	longReservedShare = 0.2
)

// Adaptive starts the oldest request first while the queue drains, and the newest
// first once it does not. Under overload only the newest requests can still meet
// their target.
type Adaptive struct{}

// MaxWait implements Policy.
func (Adaptive) MaxWait(q QueueState) time.Duration {
	minWait := time.Duration(minWaitShare * float64(q.Target))
	return max(q.Target-q.Typical, minWait)
}

// NewestFirst implements Policy.
func (a Adaptive) NewestFirst(q QueueState) bool {
	return float64(q.Oldest) > overloadShare*float64(a.MaxWait(q))
}

// MaxLongSlots implements Policy.
func (Adaptive) MaxLongSlots(slots int) int { return max(1, int(longMaxShare*float64(slots))) }

// ReservedLongSlots implements Policy.
func (Adaptive) ReservedLongSlots(slots int) int {
	return max(1, int(longReservedShare*float64(slots)))
}

// Admits implements Policy.
func (Adaptive) Admits(QueueState) bool { return true }

// Hedges implements Policy.
func (Adaptive) Hedges() bool { return true }

// Ordered always starts the oldest request first.
type Ordered struct{ Adaptive }

// NewestFirst implements Policy.
func (Ordered) NewestFirst(QueueState) bool { return false }

// Parameters of Bounded.
const (
	// maxExpectedWaitShare is the share of MaxWait that a request may be expected to
	// wait at its arrival.
	maxExpectedWaitShare = 0.45
	// meanToMedian is the ratio of the mean to the median service time, since
	// service times have a long tail.
	meanToMedian = 1.3
)

// Bounded refuses a request at once if its expected wait exceeds
// maxExpectedWaitShare of its maximum wait. It suits peak loads above the capacity of
// the backend servers: admitted requests are served in time, and the others are
// refused without a wait.
type Bounded struct{ Adaptive }

// Admits implements Policy.
func (b Bounded) Admits(q QueueState) bool {
	if q.InFlight == 0 || q.Typical <= 0 {
		return true
	}
	wait := meanToMedian * float64(q.Ahead) * float64(q.Typical) / float64(q.InFlight)
	return wait <= maxExpectedWaitShare*float64(b.MaxWait(q))
}

// NewestFirst implements Policy. The queue is short because of Admits, so it keeps the
// order of arrival.
func (Bounded) NewestFirst(QueueState) bool { return false }

// Open is the baseline: the oldest request first, no early refusal, no limit on
// long requests and no hedging.
type Open struct{}

// MaxWait implements Policy.
func (Open) MaxWait(q QueueState) time.Duration { return q.Target }

// NewestFirst implements Policy.
func (Open) NewestFirst(QueueState) bool { return false }

// MaxLongSlots implements Policy.
func (Open) MaxLongSlots(slots int) int { return slots }

// ReservedLongSlots implements Policy.
func (Open) ReservedLongSlots(int) int { return 0 }

// Admits implements Policy.
func (Open) Admits(QueueState) bool { return true }

// Hedges implements Policy.
func (Open) Hedges() bool { return false }
