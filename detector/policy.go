package detector

import "math"

// Observation is one ended request as evidence about its backend server.
type Observation struct {
	// Failed tells that no whole answer below status 500 came.
	Failed bool
	// Late tells that the request was given up while it was still open.
	Late bool
	// Tail is the probability that a healthy peer takes longer; it is in
	// (0, 1].
	Tail float64
	// Base is the failure rate of the peers at the class of work.
	Base float64
}

// Policy judges a backend server by an immutable record E of its evidence.
type Policy[E any] interface {
	// Observe returns e with one ended request taken into account.
	Observe(e E, o Observation) E
	// Score returns the weight of e; larger is worse and 0 is harmless.
	Score(e E) float64
	// Overdue returns the weight of one open request whose age a healthy peer
	// exceeds with probability tail.
	Overdue(tail float64) float64
	// Restart returns the evidence to begin with after a conviction that
	// stood for a while.
	Restart(e E) E
	// Limit returns the score from which a backend server is convicted.
	Limit() float64
	// Caution returns the score from which other backend servers are
	// preferred.
	Caution() float64
}

// Parameters of the sequential test. Under the hypothesis that a backend
// server is gray, a share graySlow of its work has a tail probability with the
// density graySkew*u^(graySkew-1), and a share grayFailing fails.
const (
	graySlow    = 0.3
	graySkew    = 0.2
	grayFailing = 0.2
	// leastBase bounds the peers' failure rate from below.
	leastBase = 0.005
	// sequentialLimit is the logarithm of the mean number of observations of
	// a healthy backend server between two false convictions.
	sequentialLimit = 20
	// sequentialCaution is the score at which work is routed elsewhere.
	sequentialCaution = 8
	// sequentialCap bounds the evidence, so that recovery takes bounded time.
	sequentialCap = 2 * sequentialLimit
)

// Evidence holds two cumulative log-likelihood ratios of gray against healthy.
// Failures have one of their own too, so that fast answers do not make up for
// them.
type Evidence struct {
	// All sums up service times and failures, and Failing failures alone. Both
	// are never negative and at most sequentialCap.
	All, Failing float64
}

// WithSteps returns e with the log-likelihood ratios of one request added.
func (e Evidence) WithSteps(slow, failing float64) Evidence {
	e.All = bounded(e.All + slow + failing)
	e.Failing = bounded(e.Failing + failing)
	return e
}

func bounded(sum float64) float64 { return min(sequentialCap, max(0, sum)) }

// Sequential is a cumulative sum test on the tail probabilities and failures
// of the work itself.
type Sequential struct{}

// Observe implements Policy.
func (Sequential) Observe(e Evidence, o Observation) Evidence {
	base := max(leastBase, o.Base)
	if o.Failed {
		return e.WithSteps(0, math.Log(grayFailing/base))
	}
	if o.Late {
		return e.WithSteps(overdueStep(o.Tail), 0)
	}
	slow := math.Log(1 - graySlow + graySlow*graySkew*math.Pow(o.Tail, graySkew-1))
	sound := math.Log((1 - grayFailing) / (1 - min(base, grayFailing)))
	return e.WithSteps(slow, sound)
}

// Score implements Policy.
func (Sequential) Score(e Evidence) float64 { return max(e.All, e.Failing) }

// Overdue implements Policy.
func (Sequential) Overdue(tail float64) float64 { return overdueStep(tail) }

func overdueStep(tail float64) float64 {
	return math.Log(1 - graySlow + graySlow*math.Pow(tail, graySkew-1))
}

// Restart implements Policy.
func (Sequential) Restart(Evidence) Evidence {
	return Evidence{All: sequentialCaution / 2, Failing: sequentialCaution / 2}
}

// Limit implements Policy.
func (Sequential) Limit() float64 { return sequentialLimit }

// Caution implements Policy.
func (Sequential) Caution() float64 { return sequentialCaution }

// consecutiveLimit is the number of failures in a row that convicts.
const consecutiveLimit = 5

// Consecutive convicts after a number of failures in a row. Work that is given
// up counts as failed; open work does not count.
type Consecutive struct{}

// Observe implements Policy.
func (Consecutive) Observe(e int, o Observation) int {
	if o.Failed || o.Late {
		return e + 1
	}
	return 0
}

// Score implements Policy.
func (Consecutive) Score(e int) float64 { return float64(e) }

// Overdue implements Policy.
func (Consecutive) Overdue(float64) float64 { return 0 }

// Restart implements Policy.
func (Consecutive) Restart(int) int { return 0 }

// Limit implements Policy.
func (Consecutive) Limit() float64 { return consecutiveLimit }

// Caution implements Policy.
func (Consecutive) Caution() float64 { return consecutiveLimit }

// outlierWeight is the weight of one request in the moving rates of Outlier.
const outlierWeight = 0.05

// Rate is a moving success rate.
type Rate struct {
	// Bad is the moving share of failed or slow requests, from 0 to 1.
	Bad float64
}

// WithResult returns r with one request added.
func (r Rate) WithResult(bad bool) Rate {
	r.Bad *= 1 - outlierWeight
	if bad {
		r.Bad += outlierWeight
	}
	return r
}

// Outlier convicts by a moving share of requests that failed or were slower
// than nearly all of the peers' requests.
type Outlier struct{}

// outlierTail is the tail probability below which a request counts as slow.
const outlierTail = 0.01

// Observe implements Policy.
func (Outlier) Observe(e Rate, o Observation) Rate {
	return e.WithResult(o.Failed || o.Late || o.Tail < outlierTail)
}

// Score implements Policy.
func (Outlier) Score(e Rate) float64 { return e.Bad }

// Overdue implements Policy.
func (Outlier) Overdue(float64) float64 { return 0 }

// Restart implements Policy.
func (Outlier) Restart(Rate) Rate { return Rate{} }

// Limit implements Policy.
func (Outlier) Limit() float64 { return 0.3 }

// Caution implements Policy.
func (Outlier) Caution() float64 { return 0.2 }

// None never convicts.
type None struct{}

// Nothing is the empty evidence of None.
type Nothing struct{}

// Observe implements Policy.
func (None) Observe(e Nothing, _ Observation) Nothing { return e }

// Score implements Policy.
func (None) Score(Nothing) float64 { return 0 }

// Overdue implements Policy.
func (None) Overdue(float64) float64 { return 0 }

// Restart implements Policy.
func (None) Restart(e Nothing) Nothing { return e }

// Limit implements Policy.
func (None) Limit() float64 { return math.Inf(1) }

// Caution implements Policy.
func (None) Caution() float64 { return math.Inf(1) }
