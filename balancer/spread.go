package balancer

import (
	"time"

	"monsoonswitch/allocator"
)

// Parameters of spreading. Most work goes to the backend servers with the best
// estimates, but most of the probably healthy ones get a request now and then.
// Otherwise too few would be in use at a moment when much work fails at once.
const (
	// usedRatio is the part of the expected number of healthy backend servers that
	// must be in use. It is a little above the 0.7 that operators expect. A backend
	// server whose work failed is not counted for failureExclusion.
	// usedRatioHighFailures applies from a failure share of highFailureShare on, when
	// those in use may be the faulty ones.
	usedRatio             = 0.74
	usedRatioHighFailures = 1
	failureExclusion      = 2 * time.Second
	// minRepeatableShare is the share of work that may run twice from which it alone
	// is used to check suspected backend servers, unless failures are elevated.
	// repeatableShareWeight is the weight of one request in the moving average of that
	// share.
	minRepeatableShare    = 0.3
	repeatableShareWeight = 0.03
	// spreadInterval is the time without work after which a backend server is overdue
	// for a request. It is below the two-second window of the operators, so that an
	// instance with little work still sends one in time.
	spreadInterval = 1800 * time.Millisecond
	// firstTurnRatio shortens spreadInterval at the owner whose turn comes first for a
	// backend server. The other owners follow one after the other until spreadInterval, so
	// that they do not all send work at once.
	firstTurnRatio = 0.8
	// spreadProbability is the probability of serving a request from which a backend
	// server counts as possibly healthy. spreadProbabilityFailing applies while the
	// share of failures is elevated.
	spreadProbability        = 0.4
	spreadProbabilityFailing = 0.35
	// spreadBonus adds to the score of an overdue backend server, in units of the
	// probability of serving the request. It ranks it ahead of all others.
	spreadBonus = 0.7
	// maxOverdueIntervals bounds the factor by which the bonus for a check grows with the
	// time without work, in spread intervals. It grows so that a backend server with a
	// low estimate is not passed over for as long as others are overdue.
	maxOverdueIntervals = 2
)

// spreadBonusFor returns the addition to the score of s for r because s had no work
// for a while.
func (b *Balancer[E, D, P, L]) spreadBonusFor(r request, s backend[E]) float64 {
	if b.position < 0 || !b.overdue(s) {
		return 0
	}
	if b.mayCheck(r) && b.now.Sub(s.failedAt) >= spreadInterval {
		return b.checkBonus(s)
	}
	if !b.spreading || b.failedRecently(s) || s.estimate.ServeProbability(b.now) < b.spreadThreshold {
		return 0
	}
	if !b.repeatable(r) && b.repeatableShare >= minRepeatableShare && !b.recentOutcomes.failuresElevated() {
		// Work that may run twice checks s at a lower cost.
		return 0
	}
	return spreadBonus
}

// checkBonus returns the addition to the score of s for a request that checks it. It grows
// with the time without work.
func (b *Balancer[E, D, P, L]) checkBonus(s backend[E]) float64 {
	intervals := float64(b.now.Sub(s.usedAt)) / float64(spreadInterval)
	return spreadBonus * min(maxOverdueIntervals, intervals)
}

// mayCheck reports whether r may find out whether a suspected backend server recovered: a
// failure costs it only one of the retries that are left. dispatch reserves that one, so
// that the checks in progress do not count on the same retry.
func (b *Balancer[E, D, P, L]) mayCheck(r request) bool {
	return r.last == 0 && b.repeatable(r) && b.attemptLimit(r) > 1 && b.budget.Left >= minCheckBudget
}

// updateRepeatableShare adds r to the moving average share of work that may run
// twice.
func (b *Balancer[E, D, P, L]) updateRepeatableShare(r request) {
	repeatable := 0.0
	if b.repeatable(r) {
		repeatable = 1
	}
	b.repeatableShare += repeatableShareWeight * (repeatable - b.repeatableShare)
}

// overdue reports whether s had no work for so long that this instance sends it a request.
// Most had work within the shortest interval, which saves computing the turn.
func (b *Balancer[E, D, P, L]) overdue(s backend[E]) bool {
	const shortest = time.Duration(firstTurnRatio * float64(spreadInterval))
	return !b.inUse(s, shortest) && !b.inUse(s, b.spreadIntervalFor(s))
}

// spreadIntervalFor returns the time without work after which s is overdue for a
// request of this instance.
func (b *Balancer[E, D, P, L]) spreadIntervalFor(s backend[E]) time.Duration {
	owners := len(b.owners)
	turn := float64(allocator.Turn(owners, b.position, s.listed.ID)) / float64(owners)
	return time.Duration((firstTurnRatio + (1-firstTurnRatio)*turn) * float64(spreadInterval))
}

// inUse reports whether a backend server had work within the given time.
func (b *Balancer[E, D, P, L]) inUse(s backend[E], within time.Duration) bool {
	return b.now.Sub(s.usedAt) < within
}

// failedRecently reports whether work failed at a backend server within
// failureExclusion.
func (b *Balancer[E, D, P, L]) failedRecently(s backend[E]) bool {
	return b.now.Sub(s.failedAt) < failureExclusion
}

// updateSpreading decides whether work is spread over more backend servers.
func (b *Balancer[E, D, P, L]) updateSpreading() {
	b.recentOutcomes = b.recentOutcomes.WithTime(b.now)
	b.spreading = false
	if !b.options.PooledOutcomes || b.position < 0 {
		return
	}
	high := b.recentOutcomes.failuresHigh()
	ratio := usedRatio
	switch {
	case high:
		ratio, b.spreadThreshold = usedRatioHighFailures, 0
	case b.recentOutcomes.failuresElevated():
		b.spreadThreshold = spreadProbabilityFailing
	default:
		b.spreadThreshold = spreadProbability
	}
	expected, used := 0.0, 0.0
	for _, s := range b.backends.All {
		if s.mode != modeReady || b.failedRecently(s) || !s.allowance.Open(b.now) {
			continue
		}
		probability := 1.0
		if !high {
			probability = 1 - s.estimate.WithTime(b.now).Gray
		}
		expected += probability
		if !b.overdue(s) {
			used += probability
		}
	}
	b.spreading = used < ratio*expected
}
