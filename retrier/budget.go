// Package retrier bounds retries and hedges to a share of recent requests.
package retrier

import (
	"math"
	"time"
)

// Parameters of a budget where no bounds for the whole fleet are set.
const (
	// retriesPerSuccess is the number of retries earned by one successful
	// request.
	retriesPerSuccess = 0.1
	// maxSavedRetries is the largest number of saved retries.
	maxSavedRetries = 10
	// MaxAttempts bounds the attempts of one request that may have run.
	MaxAttempts = 3
	// MaxTries bounds all attempts of one request, including those that are known
	// not to have run.
	MaxTries = 5
)

// Bounds bounds the retries that all instances together send to a service.
type Bounds struct {
	// Ratio is the number of retries allowed for each request.
	Ratio float64
	// Extra is the number of retries allowed in each Window in addition.
	Extra  float64
	Window time.Duration
}

// Shares of the bounds that are used: usedRatioShare of Ratio, and of Extra
// usedBurstShare as saved retries and usedRefillShare as retries earned in each Window,
// by all instances together. The rest is a margin for instances that do not know of each
// other, and for requests that fall into different windows at different observers.
//
// Non-owners have no part of Extra, however many there are. They earn passingRatioShare of
// Ratio and lose what they saved in about a Window, so that all of them together send no more
// in a Window than Ratio allows for its requests and those of the Window before.
const (
	usedRatioShare    = 0.9
	usedBurstShare    = 0.25
	usedRefillShare   = 0.6
	passingRatioShare = usedRatioShare / 2
)

// Terms are the rates at which a budget grows, and its limit.
type Terms struct {
	// PerRequest is the number of retries earned by one request, and PerSecond the
	// number earned per second regardless of requests.
	PerRequest, PerSecond float64
	// Limit is the largest number of saved retries; it is positive.
	Limit float64
	// Decay is the time in which saved retries fall to 1/e; 0 means that they are kept. Where
	// they fall, a part of a retry is spent as a whole one with that probability: an instance
	// that rarely has more would never retry.
	Decay time.Duration
}

// minAssumedInstances is the least number of instances that are assumed to share
// the bounds, because an instance that knows only a few may not know all.
const minAssumedInstances = 4

// StandardTerms returns the terms of an instance where no bounds for the whole fleet
// are set.
func StandardTerms() Terms { return Terms{PerRequest: retriesPerSuccess, Limit: maxSavedRetries} }

// OwnerTerms returns the terms of one slot owner, where the given number of instances
// share b. heard is the share of the fleet that the owner hears of, over 0 and at most 1. The
// rest may be on the other side of a cut, with owners of its own.
//
// An owner can save one retry at least, so that it can check a backend server; what that takes
// beyond usedBurstShare is taken from the refill. An owner whose part of Extra is below one retry
// loses what it saved, as a non-owner does.
func (b Bounds) OwnerTerms(instances int, heard float64) Terms {
	n := float64(max(minAssumedInstances, instances)) / heard
	part := b.Extra * (usedBurstShare + usedRefillShare) / n
	if part < 1 {
		t := b.NonOwnerTerms()
		// Half is saved, and half is earned again in each Window.
		t.PerSecond = part / 2 / b.Window.Seconds()
		return t
	}
	limit := max(1, b.Extra*usedBurstShare/n)
	return Terms{PerRequest: b.Ratio * usedRatioShare, PerSecond: (part - limit) / b.Window.Seconds(), Limit: limit}
}

// NonOwnerTerms returns the terms of a non-owner.
func (b Bounds) NonOwnerTerms() Terms {
	return Terms{PerRequest: b.Ratio * passingRatioShare, Limit: 1, Decay: b.Window}
}

// Budget is the number of retries that may be sent now.
type Budget struct {
	// Left is the number of retries left, from 0 to the limit of the terms.
	Left float64
	// At is the time until which PerSecond is included in Left. It is zero before the
	// first call of WithTime.
	At time.Time
}

// NewBudget returns a full budget.
func NewBudget(t Terms) Budget { return Budget{Left: t.Limit} }

// NewEmptyBudget returns a budget without retries, which time and requests fill.
// It is used where many instances may have started at the same moment.
func NewEmptyBudget() Budget { return Budget{} }

// WithTime returns b with the retries earned until now.
func (b Budget) WithTime(now time.Time, t Terms) Budget {
	if elapsed := now.Sub(b.At); !b.At.IsZero() && elapsed > 0 {
		if t.Decay > 0 {
			b.Left *= math.Exp(-elapsed.Seconds() / t.Decay.Seconds())
		}
		b.Left += t.PerSecond * elapsed.Seconds()
	}
	b.At = now
	b.Left = min(t.Limit, b.Left)
	return b
}

// WithRequest returns b after one request that earns retries.
func (b Budget) WithRequest(t Terms) Budget {
	b.Left = min(t.Limit, b.Left+t.PerRequest)
	return b
}

// WithReturned returns b after a retry that was taken and not sent.
func (b Budget) WithReturned(t Terms) Budget {
	b.Left = min(t.Limit, b.Left+1)
	return b
}

// WithRetry returns b after one retry and reports whether the budget allowed it. draw is a
// random number from 0 to 1, which decides about a part of a retry; see Terms.Decay.
func (b Budget) WithRetry(t Terms, draw float64) (Budget, bool) {
	if b.Left >= 1 {
		b.Left--
		return b, true
	}
	if t.Decay == 0 {
		return b, false
	}
	// The part is used up in any case, so that many draws yield as many retries as were earned.
	ok := draw < b.Left
	b.Left = 0
	return b, ok
}
