package detector

import "math"

// Observation is the result of one ended attempt, as evidence about its backend
// server.
type Observation struct {
	// Failed reports whether there was no complete answer with a status below
	// 500.
	Failed bool
	// Late reports whether the attempt was cancelled while it was still open.
	Late bool
	// Tail is the probability that a healthy peer takes longer; it is in (0, 1].
	Tail float64
	// Base is the failure rate of the peers at the same class of work.
	Base float64
}

// Policy scores a backend server by an immutable record E of the evidence about
// it.
type Policy[E any] interface {
	// Observe returns e updated by one ended attempt.
	Observe(e E, o Observation) E
	// Score returns the score of e. Larger is worse; 0 is no evidence against the
	// backend server.
	Score(e E) float64
	// OverdueScore returns what one open request adds to the score if a healthy peer
	// takes longer than its age with probability tail.
	OverdueScore(tail float64) float64
	// Restart returns the evidence to start with when the time for which a backend
	// server was avoided is over.
	Restart(e E) E
	// Limit returns the score from which a backend server is judged gray.
	Limit() float64
	// AvoidLimit returns the score from which other backend servers are preferred.
	AvoidLimit() float64
}

// Parameters of the sequential test. Its hypothesis for a gray backend server is
// that a share graySlowShare of its work has a tail probability with the density
// grayTailExponent*u^(grayTailExponent-1), and that a share grayFailingShare
// fails.
const (
	graySlowShare    = 0.3
	grayTailExponent = 0.2
	grayFailingShare = 0.2
	// minPeerFailureRate is the lower bound of the peers' failure rate.
	minPeerFailureRate = 0.005
	// sequentialLimit is the natural logarithm of the mean number of observations
	// of a healthy backend server between two false positives.
	sequentialLimit = 20
	// sequentialAvoidScore is the score from which work goes to other backend
	// servers.
	sequentialAvoidScore = 8
	// sequentialMaxScore bounds the score, so that a recovered backend server
	// gets below the limit in bounded time.
	sequentialMaxScore = 2 * sequentialLimit
)

// Evidence holds two cumulative log-likelihood ratios of gray against healthy.
// Failures have a sum of their own, so that fast answers do not compensate for
// them.
type Evidence struct {
	// All sums up service times and failures, Failing only failures. Both are
	// between 0 and sequentialMaxScore.
	All, Failing float64
}

// WithSteps returns e with the log-likelihood ratios of one request added: slow
// by its service time, failing by its outcome.
func (e Evidence) WithSteps(slow, failing float64) Evidence {
	e.All = clampScore(e.All + slow + failing)
	e.Failing = clampScore(e.Failing + failing)
	return e
}

func clampScore(sum float64) float64 { return min(sequentialMaxScore, max(0, sum)) }

// Sequential is a cumulative sum (CUSUM) test on the tail probabilities and
// failures of real requests.
type Sequential struct{}

// Observe implements Policy.
func (Sequential) Observe(e Evidence, o Observation) Evidence {
	base := max(minPeerFailureRate, o.Base)
	if o.Failed {
		return e.WithSteps(0, math.Log(grayFailingShare/base))
	}
	if o.Late {
		return e.WithSteps(overdueLogRatio(o.Tail), 0)
	}
	slow := math.Log(1 - graySlowShare + graySlowShare*grayTailExponent*math.Pow(o.Tail, grayTailExponent-1))
	notFailed := math.Log((1 - grayFailingShare) / (1 - min(base, grayFailingShare)))
	return e.WithSteps(slow, notFailed)
}

// Score implements Policy.
func (Sequential) Score(e Evidence) float64 { return max(e.All, e.Failing) }

// OverdueScore implements Policy.
func (Sequential) OverdueScore(tail float64) float64 { return overdueLogRatio(tail) }

// overdueLogRatio returns the log-likelihood ratio of a request that has not ended
// after a duration with the given tail probability. It compares the probabilities of a
// longer service time, tail and tail^grayTailExponent, not densities.
func overdueLogRatio(tail float64) float64 {
	return math.Log(1 - graySlowShare + graySlowShare*math.Pow(tail, grayTailExponent-1))
}

// Restart implements Policy.
func (Sequential) Restart(Evidence) Evidence {
	return Evidence{All: sequentialAvoidScore / 2, Failing: sequentialAvoidScore / 2}
}

// Limit implements Policy.
func (Sequential) Limit() float64 { return sequentialLimit }

// AvoidLimit implements Policy.
func (Sequential) AvoidLimit() float64 { return sequentialAvoidScore }

// consecutiveLimit is the number of failures in a row from which a backend server
// is judged gray.
const consecutiveLimit = 5

// Consecutive judges a backend server gray after a number of failures in a row.
// Attempts cancelled while open count as failures; open ones do not count.
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

// OverdueScore implements Policy.
func (Consecutive) OverdueScore(float64) float64 { return 0 }

// Restart implements Policy.
func (Consecutive) Restart(int) int { return 0 }

// Limit implements Policy.
func (Consecutive) Limit() float64 { return consecutiveLimit }

// AvoidLimit implements Policy.
func (Consecutive) AvoidLimit() float64 { return consecutiveLimit }

// outlierSampleWeight is the weight of one request in the moving share of
// Outlier.
const outlierSampleWeight = 0.05

// Rate is a moving share of bad requests.
type Rate struct {
	// Bad is the moving share of failed or slow requests, from 0 to 1.
	Bad float64
}

// WithResult returns r with one request added.
func (r Rate) WithResult(bad bool) Rate {
	r.Bad *= 1 - outlierSampleWeight
	if bad {
		r.Bad += outlierSampleWeight
	}
	return r
}

// Outlier judges a backend server gray by the moving share of its requests that
// failed or were slower than nearly all requests of its peers.
type Outlier struct{}

// outlierTail is the tail probability below which a request counts as slow.
const outlierTail = 0.01

// Observe implements Policy.
func (Outlier) Observe(e Rate, o Observation) Rate {
	return e.WithResult(o.Failed || o.Late || o.Tail < outlierTail)
}

// Score implements Policy.
func (Outlier) Score(e Rate) float64 { return e.Bad }

// OverdueScore implements Policy.
func (Outlier) OverdueScore(float64) float64 { return 0 }

// Restart implements Policy.
func (Outlier) Restart(Rate) Rate { return Rate{} }

// Limit implements Policy.
func (Outlier) Limit() float64 { return 0.3 }

// AvoidLimit implements Policy.
func (Outlier) AvoidLimit() float64 { return 0.2 }

// None never judges a backend server gray.
type None struct{}

// Nothing is the empty evidence of None.
type Nothing struct{}

// Observe implements Policy.
func (None) Observe(e Nothing, _ Observation) Nothing { return e }

// Score implements Policy.
func (None) Score(Nothing) float64 { return 0 }

// OverdueScore implements Policy.
func (None) OverdueScore(float64) float64 { return 0 }

// Restart implements Policy.
func (None) Restart(e Nothing) Nothing { return e }

// Limit implements Policy.
func (None) Limit() float64 { return math.Inf(1) }

// AvoidLimit implements Policy.
func (None) AvoidLimit() float64 { return math.Inf(1) }
