package balancer

import "time"

// Parameters of a window.
const (
	// windowStep is the width of one step of a window and windowSteps their number.
	// Together they span the two seconds over which operators judge a service.
	windowStep  = 200 * time.Millisecond
	windowSteps = 10
	// operatorFailureShare is the share of failures above which operators expect most
	// of the capacity to be in use. Spreading increases earlier, from
	// elevatedFailureShare on, to be in time. With few requests it increases from
	// elevatedFailureMargin failures below the limit.
	operatorFailureShare  = 0.1
	elevatedFailureShare  = 0.06
	elevatedFailureMargin = 2
	// highFailureShare is the share of failures from which suspected backend servers
	// count too. It is above what their own failures add, so that these alone cannot
	// keep spreading active.
	highFailureShare = 0.12
)

// window counts the outcomes of the last two seconds.
type window struct {
	// origin is when the first step began. Zero means that there is no outcome yet.
	origin time.Time
	// newest is the number of the newest step since origin.
	newest int64
	// all and failed are counts by step. Step n has index n modulo windowSteps.
	all, failed [windowSteps]int
}

// WithTime returns w as of now.
func (w window) WithTime(now time.Time) window {
	if w.origin.IsZero() {
		w.origin = now
		return w
	}
	newest := int64(now.Sub(w.origin) / windowStep)
	for n := max(w.newest+1, newest-windowSteps+1); n <= newest; n++ {
		w.all[n%windowSteps], w.failed[n%windowSteps] = 0, 0
	}
	w.newest = max(w.newest, newest)
	return w
}

// WithOutcome returns w after a request that ended at now.
func (w window) WithOutcome(now time.Time, failed bool) window {
	w = w.WithTime(now)
	step := w.newest % windowSteps
	w.all[step]++
	if failed {
		w.failed[step]++
	}
	return w
}

// counts returns how many requests ended, and how many of them failed.
func (w window) counts() (all, failed int) {
	for i := range w.all {
		all += w.all[i]
		failed += w.failed[i]
	}
	return all, failed
}

// failuresElevated reports whether more than elevatedFailureShare of the requests
// failed, or so many that elevatedFailureMargin more would reach
// operatorFailureShare.
func (w window) failuresElevated() bool {
	all, failed := w.counts()
	if failed == 0 {
		return false
	}
	return float64(failed) > elevatedFailureShare*float64(all) || float64(failed+elevatedFailureMargin) >= operatorFailureShare*float64(all)
}

// failuresHigh reports whether more than highFailureShare of the requests failed.
func (w window) failuresHigh() bool {
	all, failed := w.counts()
	return float64(failed) > highFailureShare*float64(all)
}
