// Package limiter decides how requests share the slots of a service: in which
// order queued requests start, how long they may wait, and how many slots long
// requests hold.
package limiter

import "time"

// Work describes the queue of one class of work.
type Work struct {
	// Target is the declared target latency of the class.
	Target time.Duration
	// Typical is the median service time; 0 if it is unknown.
	Typical time.Duration
	// Oldest is how long the oldest queued request has waited.
	Oldest time.Duration
	// Ahead is the number of queued requests that start before a new one, and
	// InFlight the number of requests that run.
	Ahead, InFlight int
}

// Policy decides the order of queued requests, their longest wait and the slots
// of long requests.
type Policy interface {
	// Patience returns how long a request may wait before it is refused.
	Patience(w Work) time.Duration
	// Newest reports whether the newest queued request starts first.
	Newest(w Work) bool
	// LongLimit returns how many of slots long requests may hold while the
	// service also has short ones.
	LongLimit(slots int) int
	// LongShare returns how many of slots long requests get ahead of short ones.
	LongShare(slots int) int
	// Admits reports whether a new request may join the queue.
	Admits(w Work) bool
	// Hedges reports whether overdue requests are also sent to a second backend
	// server.
	Hedges() bool
}

// Parameters of Adaptive.
const (
	// minWaitShare is the least share of the target that a request may wait.
	minWaitShare = 0.25
	// overloadShare is the share of its longest wait after which the oldest
	// request shows that the queue does not drain.
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

// Patience implements Policy.
func (Adaptive) Patience(w Work) time.Duration {
	minWait := time.Duration(minWaitShare * float64(w.Target))
	return max(w.Target-w.Typical, minWait)
}

// Newest implements Policy.
func (a Adaptive) Newest(w Work) bool {
	return float64(w.Oldest) > overloadShare*float64(a.Patience(w))
}

// LongLimit implements Policy.
func (Adaptive) LongLimit(slots int) int { return max(1, int(longMaxShare*float64(slots))) }

// LongShare implements Policy.
func (Adaptive) LongShare(slots int) int { return max(1, int(longReservedShare*float64(slots))) }

// Admits implements Policy.
func (Adaptive) Admits(Work) bool { return true }

// Hedges implements Policy.
func (Adaptive) Hedges() bool { return true }

// Ordered always starts the oldest request first.
type Ordered struct{ Adaptive }

// Newest implements Policy.
func (Ordered) Newest(Work) bool { return false }

// Parameters of Bounded.
const (
	// maxExpectedWaitShare is the share of its longest wait that a request may be
	// expected to wait at its arrival.
	maxExpectedWaitShare = 0.45
	// meanToMedian is the ratio of the mean to the median service time, since
	// service times have a long tail.
	meanToMedian = 1.3
)

// Bounded refuses a request at once if the requests ahead of it are expected to
// take so long that it could not be answered within its target. It suits peak
// loads above the capacity of the backend servers: admitted requests are served
// in time, and the others are refused without a wait.
type Bounded struct{ Adaptive }

// Admits implements Policy.
func (b Bounded) Admits(w Work) bool {
	if w.InFlight == 0 || w.Typical <= 0 {
		return true
	}
	wait := meanToMedian * float64(w.Ahead) * float64(w.Typical) / float64(w.InFlight)
	return wait <= maxExpectedWaitShare*float64(b.Patience(w))
}

// Newest implements Policy. The queue is short because of Admits, so it keeps the
// order of arrival.
func (Bounded) Newest(Work) bool { return false }

// Open is the baseline: the oldest request first, no early refusal, no limit on
// long requests and no hedging.
type Open struct{}

// Patience implements Policy.
func (Open) Patience(w Work) time.Duration { return w.Target }

// Newest implements Policy.
func (Open) Newest(Work) bool { return false }

// LongLimit implements Policy.
func (Open) LongLimit(slots int) int { return slots }

// LongShare implements Policy.
func (Open) LongShare(int) int { return 0 }

// Admits implements Policy.
func (Open) Admits(Work) bool { return true }

// Hedges implements Policy.
func (Open) Hedges() bool { return false }
