package balancer

import "time"

// Parameters of a window.
const (
	// windowStep is the width of a part of a window, and windowSteps the number of
	// parts: together the two seconds over which operators look at a service.
	windowStep  = 200 * time.Millisecond
	windowSteps = 10
	// alarmLimit is the share of failures above which operators expect that most of
	// the capacity is in use. Work is spread more from alarmShare, so that there is
	// time, and from alarmMargin failures below the limit where requests are few.
	alarmLimit  = 0.1
	alarmShare  = 0.06
	alarmMargin = 2
	// graveShare is the share of failures from which backend servers in any doubt
	// count too. It is above what their own failures add, so that these alone can't
	// keep work spread.
	graveShare = 0.12
)

// window counts the outcomes of the last two seconds.
type window struct {
	// origin is when the first part began; zero means that there is no outcome.
	origin time.Time
	// newest is the number of the newest part since origin.
	newest int64
	// all and failed are counts by part; part n is at n modulo windowSteps.
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
	part := w.newest % windowSteps
	w.all[part]++
	if failed {
		w.failed[part]++
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

// failing tells whether a notable share of the work failed.
func (w window) failing() bool {
	all, failed := w.counts()
	if failed == 0 {
		return false
	}
	return float64(failed) > alarmShare*float64(all) || float64(failed+alarmMargin) >= alarmLimit*float64(all)
}

// grave tells whether so much work failed that operators look at what is in use.
func (w window) grave() bool {
	all, failed := w.counts()
	return float64(failed) > graveShare*float64(all)
}
