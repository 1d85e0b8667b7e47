// Package retrier bounds retries and hedges to a share of recent requests.
package retrier

import "time"

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
const (
	usedRatioShare  = 0.9
	usedBurstShare  = 0.25
	usedRefillShare = 0.6
)

// Terms are the rates at which a budget grows, and its limit.
type Terms struct {
	// PerRequest is the number of retries earned by one request, and PerSecond the
	// number earned per second regardless of requests.
	PerRequest, PerSecond float64
	// Limit is the largest number of saved retries; it is positive.
	Limit float64
}

// minAssumedInstances is the least number of instances that are assumed to share
// the bounds, because an instance that knows only a few may not know all.
const minAssumedInstances = 4

// StandardTerms returns the terms of an instance where no bounds for the whole fleet
// are set.
func StandardTerms() Terms { return Terms{PerRequest: retriesPerSuccess, Limit: maxSavedRetries} }

// OwnerTerms returns the terms of one slot owner, where the given number of instances
// share b.
func (b Bounds) OwnerTerms(instances int) Terms {
	n := float64(max(minAssumedInstances, instances))
	return Terms{
		PerRequest: b.Ratio * usedRatioShare,
		PerSecond:  b.Extra * usedRefillShare / b.Window.Seconds() / n,
		Limit:      max(1, b.Extra*usedBurstShare/n),
	}
}

// NonOwnerTerms returns the terms of a non-owner, which has no share of Extra.
func (b Bounds) NonOwnerTerms() Terms { return Terms{PerRequest: b.Ratio * usedRatioShare, Limit: 1} }

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
	if elapsed := now.Sub(b.At).Seconds(); !b.At.IsZero() && elapsed > 0 {
		b.Left += t.PerSecond * elapsed
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

// WithRetry returns b after one retry and reports whether the budget allowed it.
func (b Budget) WithRetry() (Budget, bool) {
	if b.Left < 1 {
		return b, false
	}
	b.Left--
	return b, true
}
