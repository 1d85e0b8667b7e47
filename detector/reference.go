// Package detector judges from real requests whether a backend server is gray: it
// compares the server with its peers at the same class of work.
package detector

import (
	"math"
	"time"

	"monsoonswitch/descriptor"
)

// Parameters of Reference.
const (
	// maxReferenceWeight is the weight, in requests, at which all weights are
	// halved, so that the distribution follows slow changes of the load.
	maxReferenceWeight = 4000
	// minReferenceWeight is the weight, in requests, below which the target of
	// the class is used instead of observations.
	minReferenceWeight = 30
	// minTailWeight is the weight, in requests, that must lie above a duration
	// for the observed share to be used. Beyond that duration the tail follows a
	// power law.
	minTailWeight = 6
	// tailExponent is the exponent of that power law.
	tailExponent = 1.7
	// targetTailShare is the assumed share of work that takes longer than its
	// target while there are few observations.
	targetTailShare = 0.05
	// minTailProbability is the lower bound of tail probabilities.
	minTailProbability = 1e-9
)

// Reference is the distribution of service times and the failure rate of one
// class of work over the backend servers whose score is below half of
// Policy.AvoidLimit.
type Reference struct {
	// counts holds the number of requests in each latency bucket, halved from
	// time to time.
	counts [descriptor.LatencyBuckets]float32
	// total is the sum of counts.
	total float32
	// failed is the number of failures; it is halved together with counts.
	failed float32
}

// WithDuration returns r with one answered request added.
func (r Reference) WithDuration(d time.Duration) Reference {
	r.counts[descriptor.Bucket(d)]++
	r.total++
	r.halveIfLarge()
	return r
}

// WithFailure returns r with one failed request added.
func (r Reference) WithFailure() Reference {
	r.failed++
	r.halveIfLarge()
	return r
}

// halveIfLarge halves all weights once they reach maxReferenceWeight. It must
// only be called on a copy that no other code holds yet.
func (r *Reference) halveIfLarge() {
	if r.total+r.failed < maxReferenceWeight {
		return
	}
	for i := range r.counts {
		r.counts[i] /= 2
	}
	r.total /= 2
	r.failed /= 2
}

// FailureRate returns the share of failures among all requests.
func (r *Reference) FailureRate() float64 {
	return float64(r.failed) / float64(r.total+r.failed+1)
}

// Known reports whether r has enough observations to be used instead of the
// target.
func (r *Reference) Known() bool { return r.total >= minReferenceWeight }

// Tail returns the probability that a healthy backend server takes longer than d
// for work with the given target.
func (r *Reference) Tail(d, target time.Duration) float64 {
	if !r.Known() {
		return clampTail(targetTailShare * math.Pow(float64(target)/float64(d+1), tailExponent))
	}
	above := r.weightAbove(descriptor.Bucket(d))
	if above < minTailWeight {
		return r.extrapolate(d)
	}
	return clampTail(float64(above) / float64(r.total))
}

func (r *Reference) weightAbove(last int) float32 {
	var sum float32
	for i := last + 1; i < descriptor.LatencyBuckets; i++ {
		sum += r.counts[i]
	}
	return sum
}

// extrapolate continues the tail from the slowest bucket that has enough weight
// above it.
func (r *Reference) extrapolate(d time.Duration) float64 {
	var above float32
	i := descriptor.LatencyBuckets - 1
	for ; i > 0; i-- {
		above += r.counts[i]
		if above >= minTailWeight {
			break
		}
	}
	anchor := descriptor.BucketBound(max(i-1, 0))
	base := float64(above) / float64(r.total)
	if d <= anchor {
		return clampTail(base)
	}
	return clampTail(base * math.Pow(float64(anchor)/float64(d), tailExponent))
}

// Quantile returns the service time within which a share q of the work is
// answered, or fallback if there are too few observations.
func (r *Reference) Quantile(q float64, fallback time.Duration) time.Duration {
	if !r.Known() {
		return fallback
	}
	want := float32(q) * r.total
	var sum float32
	for i, c := range r.counts {
		sum += c
		if sum >= want {
			return descriptor.BucketBound(i)
		}
	}
	return descriptor.BucketBound(descriptor.LatencyBuckets - 1)
}

func clampTail(p float64) float64 { return min(1, max(minTailProbability, p)) }
