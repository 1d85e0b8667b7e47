// Package retrier bounds retries and hedges by a share of recent work.
package retrier

import "time"

// Parameters of a budget without bounds of the fleet.
const (
	// share is the number of retries earned by one success.
	share = 0.1
	// limit bounds the retries saved up.
	limit = 10
	// MaxAttempts bounds the attempts of one request that may have run.
	MaxAttempts = 3
	// MaxTries bounds all attempts of one request, those that are known not to
	// have run among them.
	MaxTries = 5
)

// Bounds is what all instances together may send again to a service.
type Bounds struct {
	// Ratio is the number of retries for each request.
	Ratio float64
	// Extra is the number of retries beyond that in each Window.
	Extra  float64
	Window time.Duration
}

// Parts of the bounds that are used. What is left covers instances that do not
// know of each other, and requests that others count at another moment.
const (
	ratioPart  = 0.9
	burstPart  = 0.25
	refillPart = 0.6
)

// Terms is how a budget grows.
type Terms struct {
	// Share is the number of retries earned by one request, and PerSecond that
	// earned by time alone.
	Share, PerSecond float64
	// Limit bounds the retries saved up; it is positive.
	Limit float64
}

// leastSharing is the number of instances that are taken to share bounds at least:
// one that knows few others may know too few.
const leastSharing = 4

// Standard returns the terms of an instance without bounds of the fleet.
func Standard() Terms { return Terms{Share: share, Limit: limit} }

// Part returns the terms of one of a number of instances that share b.
func (b Bounds) Part(instances int) Terms {
	n := float64(max(leastSharing, instances))
	return Terms{
		Share:     b.Ratio * ratioPart,
		PerSecond: b.Extra * refillPart / b.Window.Seconds() / n,
		Limit:     max(1, b.Extra*burstPart/n),
	}
}

// Guest returns the terms of an instance that has no part of b.
func (b Bounds) Guest() Terms { return Terms{Share: b.Ratio * ratioPart, Limit: 1} }

// Budget is the number of retries that may be spent now.
type Budget struct {
	// Left is from 0 to the limit of the terms.
	Left float64
	// At is as of when Left holds; zero means since ever.
	At time.Time
}

// NewBudget returns a full budget, and NewEmptyBudget one that time and requests
// fill: many instances may have started at the same moment.
func NewBudget(t Terms) Budget { return Budget{Left: t.Limit} }

// NewEmptyBudget returns a budget without retries.
func NewEmptyBudget() Budget { return Budget{} }

// WithTime returns b as of now.
func (b Budget) WithTime(now time.Time, t Terms) Budget {
	if passed := now.Sub(b.At).Seconds(); !b.At.IsZero() && passed > 0 {
		b.Left += t.PerSecond * passed
	}
	b.At = now
	b.Left = min(t.Limit, b.Left)
	return b
}

// WithRequest returns b after one request that earns retries.
func (b Budget) WithRequest(t Terms) Budget {
	b.Left = min(t.Limit, b.Left+t.Share)
	return b
}

// WithRetry returns b after one retry and whether there was room for it.
func (b Budget) WithRetry() (Budget, bool) {
	if b.Left < 1 {
		return b, false
	}
	b.Left--
	return b, true
}
