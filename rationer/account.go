package rationer

import (
	"math"
	"time"

	"monsoonswitch/descriptor"
	"monsoonswitch/limiter"
)

const (
	// estimateTime is the time over which the arrivals of a customer are averaged.
	estimateTime = 300 * time.Millisecond
	// maxHorizon bounds the time for which permits are asked ahead, and horizonPart the part of
	// their life. Permits beyond that would end unused.
	maxHorizon  = 100 * time.Millisecond
	horizonPart = 1.0 / 3
	// refillPart is the part of the permits wanted ahead below which more are asked for.
	refillPart = 0.5
)

// batch is a number of permits that end at the same uptime.
type batch struct {
	ends time.Duration
	n    int
}

// waiter is a request that waits for a permit until an uptime.
type waiter struct {
	arrived descriptor.Arrived
	until   time.Duration
}

// account is what an instance knows of a customer whose requests it receives.
type account struct {
	permits []batch
	waiting []waiter
	// rate is the estimated number of arrivals a second at usedAt.
	rate   float64
	usedAt time.Duration
	// asked reports whether a demand for the customer is to be sent or not answered yet.
	asked bool
	// emptyUntil is the time until which the grantor is not asked again, because it had none
	// left, and retryAt the time at which it may have one.
	emptyUntil, retryAt time.Duration
	// static is the part of the limit that this instance may use without a grantor. Its times
	// are uptimes.
	static limiter.Bucket
	// notedAt is when a refusal was last logged, or negative.
	notedAt time.Duration
}

func newAccount(now time.Duration) *account {
	return &account{usedAt: now, notedAt: -1}
}

// arrive counts an arrival in the estimate.
func (a *account) arrive(now time.Duration) {
	elapsed := max(0, now-a.usedAt)
	a.rate = a.rate*math.Exp(-elapsed.Seconds()/estimateTime.Seconds()) + 1/estimateTime.Seconds()
	a.usedAt = max(a.usedAt, now)
}

// add adds permits.
func (a *account) add(ends time.Duration, n int) {
	if n > 0 {
		a.permits = append(a.permits, batch{ends, n})
	}
}

// take uses one permit that is valid at now, and returns when it ends.
func (a *account) take(now time.Duration) (time.Duration, bool) {
	a.drop(now)
	if len(a.permits) == 0 {
		return 0, false
	}
	first := &a.permits[0]
	first.n--
	ends := first.ends
	if first.n == 0 {
		a.permits = a.permits[1:]
	}
	return ends, true
}

// drop removes the permits that have ended.
func (a *account) drop(now time.Duration) {
	kept := a.permits[:0]
	for _, b := range a.permits {
		if b.ends > now {
			kept = append(kept, b)
		}
	}
	a.permits = kept
}

// count returns the number of permits that are held, some of which may have ended.
func (a *account) count() int {
	n := 0
	for _, b := range a.permits {
		n += b.n
	}
	return n
}

// ahead returns the number of permits to be asked for beside those for the requests that wait, and
// whether that is to be done now although none waits.
func (a *account) ahead(t Terms) (int, bool) {
	horizon := min(maxHorizon, time.Duration(horizonPart*float64(t.Life)))
	target := int(a.rate * horizon.Seconds())
	have := a.count()
	return max(0, target-have), target > 0 && float64(have) < refillPart*float64(target)
}
