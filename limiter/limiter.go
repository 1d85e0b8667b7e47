// Package limiter decides how work shares the slots of a service: in which order
// queued work starts, how long it may wait, and how many slots long work holds.
package limiter

import "time"

// Work describes the queue of one class of work.
type Work struct {
	// Target is the declared target.
	Target time.Duration
	// Typical is the usual service time.
	Typical time.Duration
	// Oldest is how long the oldest queued request has waited.
	Oldest time.Duration
	// Ahead counts the queued requests that start before a new one, and InFlight
	// those that run.
	Ahead, InFlight int
}

// Policy decides the order of queued work and the share of long work.
type Policy interface {
	// Patience returns how long a request may wait before it is refused.
	Patience(w Work) time.Duration
	// Newest tells whether the newest queued request starts first.
	Newest(w Work) bool
	// LongLimit returns how many of slots long work may hold while the service
	// also has short work.
	LongLimit(slots int) int
	// LongShare returns how many of slots long work gets ahead of short work.
	LongShare(slots int) int
	// Admits tells whether a new request is to join the queue.
	Admits(w Work) bool
	// Hedges tells whether overdue work is sent to a second backend server.
	Hedges() bool
}

// Parameters of Adaptive.
const (
	// leastPatience is the least share of the target that work may wait.
	leastPatience = 0.25
	// overload is the share of its patience after which the oldest request
	// shows that the queue does not drain.
	overload = 0.5
	// longShare is the share of slots that long work may hold.
	longShare = 0.34
	// longLeast is the share of slots that long work gets first.
	longLeast = 0.2
)

// Adaptive starts the oldest request first until the queue stops draining and
// the newest first from then on: under overload the newest requests are those
// that can still meet their target.
type Adaptive struct{}

// Patience implements Policy.
func (Adaptive) Patience(w Work) time.Duration {
	least := time.Duration(leastPatience * float64(w.Target))
	return max(w.Target-w.Typical, least)
}

// Newest implements Policy.
func (a Adaptive) Newest(w Work) bool {
	return float64(w.Oldest) > overload*float64(a.Patience(w))
}

// LongLimit implements Policy.
func (Adaptive) LongLimit(slots int) int { return max(1, int(longShare*float64(slots))) }

// LongShare implements Policy.
func (Adaptive) LongShare(slots int) int { return max(1, int(longLeast*float64(slots))) }

// Admits implements Policy.
func (Adaptive) Admits(Work) bool { return true }

// Hedges implements Policy.
func (Adaptive) Hedges() bool { return true }

// Ordered starts the oldest request first, always.
type Ordered struct{ Adaptive }

// Newest implements Policy.
func (Ordered) Newest(Work) bool { return false }

// Parameters of Bounded.
const (
	// queuePart is the part of its spare time that work may be expected to wait.
	queuePart = 0.45
	// meanFactor is the mean service time of work with a long tail, in usual ones.
	meanFactor = 1.3
)

// Bounded refuses a request at once when the work ahead of it takes so long that
// it could not be answered within its target. It answers crests above what the
// backend servers can do: what is admitted is served in time, and what is not
// learns so without a wait.
type Bounded struct{ Adaptive }

// Admits implements Policy.
func (b Bounded) Admits(w Work) bool {
	if w.InFlight == 0 || w.Typical <= 0 {
		return true
	}
	wait := meanFactor * float64(w.Ahead) * float64(w.Typical) / float64(w.InFlight)
	return wait <= queuePart*float64(b.Patience(w))
}

// Newest implements Policy: the bound keeps the queue short, so its order is that
// of arrival.
func (Bounded) Newest(Work) bool { return false }

// Open is the baseline: the oldest request first, no early refusal and no limit
// on long work.
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
