package detector

import (
	"math"
	"time"
)

// Parameters of the model behind GrayEstimate: backend servers turn gray and recover by
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
	// HealthyGray is the probability of being gray that is assumed for a backend
	// server that no suspicion list names.
	HealthyGray = 0.05
)

// GrayEstimate is the estimated probability that a backend server is gray, computed
// from the outcomes of its requests and their age. It is meant for requests that
// may not run twice, on backend servers that fail most requests within a
// millisecond while they are gray and therefore look idle.
type GrayEstimate struct {
	// Gray is the probability as of At, from 0 to 1.
	Gray float64
	At   time.Time
}

// stationaryGray is the probability of being gray that holds without any
// observations.
const stationaryGray = grayOnsetPerSecond / (grayOnsetPerSecond + grayRecoveryPerSecond)

// NewGrayEstimate returns the first estimate for a backend server. One that has just
// started is almost never gray; for others the estimate is that without
// observations.
func NewGrayEstimate(now time.Time, started bool) GrayEstimate {
	if started {
		return GrayEstimate{Gray: minStateProbability, At: now}
	}
	return GrayEstimate{Gray: stationaryGray, At: now}
}

// WithTime returns e as of now. Without observations it approaches
// stationaryGray.
func (e GrayEstimate) WithTime(now time.Time) GrayEstimate {
	elapsed := now.Sub(e.At).Seconds()
	if elapsed <= 0 {
		return e
	}
	e.Gray = stationaryGray + (e.Gray-stationaryGray)*math.Exp(-(grayOnsetPerSecond+grayRecoveryPerSecond)*elapsed)
	e.At = now
	return e
}

// WithOutcome returns e updated by a request that ended at now. base is the share
// of requests that fail at healthy backend servers.
func (e GrayEstimate) WithOutcome(now time.Time, failed bool, base float64) GrayEstimate {
	e = e.WithTime(now)
	base = min(max(base, healthyFailureShare), grayFailureShare/2)
	grayLikelihood, healthyLikelihood := 1-grayFailureShare, 1-base
	if failed {
		grayLikelihood, healthyLikelihood = grayFailureShare, base
	}
	p := e.Gray * grayLikelihood / (e.Gray*grayLikelihood + (1-e.Gray)*healthyLikelihood)
	e.Gray = min(1-minStateProbability, max(minStateProbability, p))
	return e
}

// ServeProbability returns the estimated probability that a request sent at now does
// not fail.
func (e GrayEstimate) ServeProbability(now time.Time) float64 {
	gray := e.WithTime(now).Gray
	return 1 - gray*grayFailureShare - (1-gray)*healthyFailureShare
}
