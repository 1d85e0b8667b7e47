package balancer

import (
	"math"
	"time"

	"monsoonswitch/allocator"
)

// Parameters of spreading. Work goes to the backend servers known best, but most
// of those that may be sound get a request now and then, whatever happens next:
// when much work fails at once, too few may be in use otherwise.
const (
	// recentTime is the time constant of the recent outcomes.
	recentTime = time.Second
	// recentLeast is the weight of outcomes from which they say anything.
	recentLeast = 8
	// spreadShare is the share of failures from which those in deeper doubt get
	// work too: a little less than one in ten, above which operators expect that
	// most of the capacity is in use.
	spreadShare = 0.08
	// spreadPart is the part of the expected number of sound backend servers from
	// which on enough of them are in use: a little more than the seven in ten that
	// operators expect.
	spreadPart = 0.74
	// repeatedLeast is the share of work that may run twice from which on it alone
	// finds out about backend servers in doubt, and repeatedWeight the weight of
	// one request in that share.
	repeatedLeast  = 0.3
	repeatedWeight = 0.03
	// spreadAfter is the time without work after which a backend server is due.
	spreadAfter = 1900 * time.Millisecond
	// homePart is the part of that time after which the instance does so that a
	// backend server belongs to; the others come in if it does not.
	homePart = 0.8
	// calmTrust is the trust from which one may be sound, and spreadTrust that
	// while work fails.
	calmTrust   = 0.4
	spreadTrust = 0.35
	// calmBonus puts a backend server that is due ahead of most others, and
	// spreadBonus ahead of all while work fails.
	calmBonus   = 0.65
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
func (b *Balancer[E, D, P, L]) spreadTo(r request, s backend[E], trust float64) float64 {
	if !b.repeatable(r) && b.repeated >= repeatedLeast && !b.recent.failing() {
		// Work that can be sent again finds out at a lower price.
		return 0
	}
	if !b.spreading || trust < b.leastTrust() || b.inUse(s, b.spreadTime(s)) {
		return 0
	}
	if b.recent.failing() {
		return spreadBonus
	}
	return calmBonus
}

// noteKind keeps count of the share of work that may run twice.
func (b *Balancer[E, D, P, L]) noteKind(r request) {
	kind := 0.0
	if b.repeatable(r) {
		kind = 1
	}
	b.repeated += repeatedWeight * (kind - b.repeated)
}

// leastTrust returns the trust from which a backend server may be sound.
func (b *Balancer[E, D, P, L]) leastTrust() float64 {
	if b.recent.failing() {
		return spreadTrust
	}
	return calmTrust
}

// spreadTime returns the time without work after which a backend server is due
// here.
func (b *Balancer[E, D, P, L]) spreadTime(s backend[E]) time.Duration {
	if allocator.Share(1, len(b.serving), b.position, s.listed.ID) == 0 {
		return spreadAfter
	}
	home := homePart * float64(spreadAfter)
	return time.Duration(home)
}

// inUse tells whether a backend server had work lately.
func (b *Balancer[E, D, P, L]) inUse(s backend[E], within time.Duration) bool {
	return b.now.Sub(s.usedAt) < within
}

// watchSpread finds out whether work is to be spread.
func (b *Balancer[E, D, P, L]) watchSpread() {
	b.recent = b.recent.WithTime(b.now)
	b.spreading = false
	if !b.options.Guests || b.position < 0 {
		return
	}
	sound, used := 0.0, 0.0
	for _, s := range b.backends.All {
		if s.mode != modeReady {
			continue
		}
		likely := 1 - s.belief.WithTime(b.now).Gray
		sound += likely
		if b.inUse(s, b.spreadTime(s)) {
			used += likely
		}
	}
	b.spreading = used < spreadPart*sound
}
