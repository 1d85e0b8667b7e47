package detector

import (
	"math"
	"time"
)

// Parameters of the model behind Belief: backend servers turn gray and recover by
// themselves.
const (
	// grayOnsetPerSecond and grayRecoveryPerSecond are the rates, per second, at
	// which a healthy backend server turns gray and a gray one recovers. They
	// stand for fault periods of about ten seconds, with about three backend
	// servers in ten gray at a time.
	grayOnsetPerSecond    = 0.035
	grayRecoveryPerSecond = 0.09
	// grayFailureShare is the share of its requests that a gray backend server
	// fails.
	grayFailureShare = 0.85
	// healthyFailureShare is the least share of its requests that a healthy
	// backend server is assumed to fail.
	healthyFailureShare = 0.01
	// minStateProbability is the lower bound of the probability of either state.
	minStateProbability = 1e-3
	// SoundGray is the probability of being gray that is assumed for a backend
	// server that no suspicion list names.
	SoundGray = 0.05
)

// Belief is the estimated probability that a backend server is gray, computed
// from the outcomes of its requests and their age. It is meant for requests that
// may not run twice, on backend servers that fail most requests within a
// millisecond while they are gray and therefore look idle.
type Belief struct {
	// Gray is the probability as of At, from 0 to 1.
	Gray float64
	At   time.Time
}

// stationaryGray is the probability of being gray that holds without any
// observations.
const stationaryGray = grayOnsetPerSecond / (grayOnsetPerSecond + grayRecoveryPerSecond)

// NewBelief returns the first estimate for a backend server. One that has just
// started is almost never gray; for others the estimate is that without
// observations.
func NewBelief(now time.Time, started bool) Belief {
	if started {
		return Belief{Gray: minStateProbability, At: now}
	}
	return Belief{Gray: stationaryGray, At: now}
}

// WithTime returns b as of now. Without observations it approaches
// stationaryGray.
func (b Belief) WithTime(now time.Time) Belief {
	elapsed := now.Sub(b.At).Seconds()
	if elapsed <= 0 {
		return b
	}
	b.Gray = stationaryGray + (b.Gray-stationaryGray)*math.Exp(-(grayOnsetPerSecond+grayRecoveryPerSecond)*elapsed)
	b.At = now
	return b
}

// WithOutcome returns b updated by a request that ended at now. base is the share
// of requests that fail at healthy backend servers.
func (b Belief) WithOutcome(now time.Time, failed bool, base float64) Belief {
	b = b.WithTime(now)
	base = min(max(base, healthyFailureShare), grayFailureShare/2)
	grayLikelihood, healthyLikelihood := 1-grayFailureShare, 1-base
	if failed {
		grayLikelihood, healthyLikelihood = grayFailureShare, base
	}
	p := b.Gray * grayLikelihood / (b.Gray*grayLikelihood + (1-b.Gray)*healthyLikelihood)
	b.Gray = min(1-minStateProbability, max(minStateProbability, p))
	return b
}

// Trust returns the estimated probability that a request sent at now does not
// fail.
func (b Belief) Trust(now time.Time) float64 {
	gray := b.WithTime(now).Gray
	return 1 - gray*grayFailureShare - (1-gray)*healthyFailureShare
}
