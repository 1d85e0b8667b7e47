// Package detector judges from real work whether a backend server is gray: it
// compares the server with its peers at the same class of work.
package detector

import (
	"math"
	"time"

	"monsoonswitch/descriptor"
)

// Parameters of a reference.
const (
	// referenceLimit is the weight at which a reference halves its counts, so
	// that it follows slow changes of the load.
	referenceLimit = 4000
	// referenceLeast is the weight below which the target of the class stands
	// in for observations.
	referenceLeast = 30
	// tailWeight is the least weight above a duration for the counts to be
	// used as they are; beyond, the tail follows a power law.
	tailWeight = 6
	// tailExponent is the exponent of that power law.
	tailExponent = 1.7
	// targetTail is the assumed share of work slower than its target while
	// there are few observations.
	targetTail = 0.05
	// tailFloor is the smallest tail probability.
	tailFloor = 1e-9
)

// Reference is the distribution of service times and the failure rate of one
// class of work over all backend servers that are not suspected.
type Reference struct {
	// counts holds the weight of each latency bucket.
	counts [descriptor.LatencyBuckets]float32
	// total is the sum of counts.
	total float32
	// failed is the weight of failures; it is halved along with counts.
	failed float32
}

// WithDuration returns r with one answered request added.
func (r Reference) WithDuration(d time.Duration) Reference {
	r.counts[descriptor.Bucket(d)]++
	r.total++
	r.bound()
	return r
}

// WithFailure returns r with one failed request added.
func (r Reference) WithFailure() Reference {
	r.failed++
	r.bound()
	return r
}

// bound halves all weights once they are large. It is called on copies that
// nobody else has yet.
func (r *Reference) bound() {
	if r.total+r.failed < referenceLimit {
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

// Known tells whether r rests on enough observations.
func (r *Reference) Known() bool { return r.total >= referenceLeast }

// Tail returns the probability that a healthy backend server takes longer than
// d for work whose target is target.
func (r *Reference) Tail(d, target time.Duration) float64 {
	if !r.Known() {
		return clampTail(targetTail * math.Pow(float64(target)/float64(d+1), tailExponent))
	}
	above := r.above(descriptor.Bucket(d))
	if above < tailWeight {
		return r.extrapolate(d)
	}
	return clampTail(float64(above) / float64(r.total))
}

func (r *Reference) above(last int) float32 {
	var sum float32
	for i := last + 1; i < descriptor.LatencyBuckets; i++ {
		sum += r.counts[i]
	}
	return sum
}

// extrapolate continues the tail from the slowest bucket with enough weight
// above it.
func (r *Reference) extrapolate(d time.Duration) float64 {
	var above float32
	i := descriptor.LatencyBuckets - 1
	for ; i > 0; i-- {
		above += r.counts[i]
		if above >= tailWeight {
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

// Quantile returns the service time below which a share q of the work is
// answered, or fallback while too little is known.
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

func clampTail(p float64) float64 { return min(1, max(tailFloor, p)) }
