package balancer

import (
	"math"
	"time"
)

// Parameters of spreading. When part of the work fails although backend servers
// in doubt are avoided, too few of the others may be in use: every one that may
// be sound then gets a request now and then.
const (
	// recentTime is the time constant of the recent outcomes.
	recentTime = time.Second
	// recentLeast is the weight of outcomes from which they say anything.
	recentLeast = 8
	// spreadShare is the share of failures from which work is spread: a
	// little less than the one in ten above which the use of the capacity is an operator's concern.
	spreadShare = 0.08
	// spreadPart is the part of the backend servers that may be sound from which
	// on enough of them are in use.
	spreadPart = 0.8
	// spreadAfter is the time without work after which a backend server is due.
	spreadAfter = 1500 * time.Millisecond
	// spreadTrust is the trust from which one may be sound.
	spreadTrust = 0.35
	// spreadBonus puts a backend server that is due ahead of all others.
	spreadBonus = 0.7
)

// recent are weights of outcomes that fade with time.
type recent struct {
	all, failed float64
	at          time.Time
}

// WithTime returns r as of now.
func (r recent) WithTime(now time.Time) recent {
	if passed := now.Sub(r.at); passed > 0 {
		left := math.Exp(-float64(passed) / float64(recentTime))
		r.all *= left
		r.failed *= left
		r.at = now
	}
	return r
}

// WithOutcome returns r after a request that ended at now.
func (r recent) WithOutcome(now time.Time, failed bool) recent {
	r = r.WithTime(now)
	r.all++
	if failed {
		r.failed++
	}
	return r
}

// failing tells whether a notable share of the recent work failed.
func (r recent) failing() bool { return r.all >= recentLeast && r.failed > spreadShare*r.all }

// spreadTo returns what it is worth to send work to a backend server because it
// had none for a while.
func (b *Balancer[E, D, P, L]) spreadTo(s backend[E], trust float64) float64 {
	if !b.spreading || trust < spreadTrust || b.inUse(s) {
		return 0
	}
	return spreadBonus
}

// inUse tells whether a backend server had work lately.
func (b *Balancer[E, D, P, L]) inUse(s backend[E]) bool {
	return s.inFlight > 0 || b.now.Sub(s.usedAt) < spreadAfter
}

// watchSpread finds out whether work is to be spread.
func (b *Balancer[E, D, P, L]) watchSpread() {
	b.recent = b.recent.WithTime(b.now)
	b.spreading = false
	if !b.options.Guests || !b.recent.failing() {
		return
	}
	sound, used := 0, 0
	for _, s := range b.backends.All {
		if s.mode != modeReady || s.belief.Trust(b.now) < spreadTrust {
			continue
		}
		sound++
		if b.inUse(s) {
			used++
		}
	}
	b.spreading = float64(used) < spreadPart*float64(sound)
}
