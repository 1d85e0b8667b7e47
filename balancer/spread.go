package balancer

import (
	"time"

	"monsoonswitch/allocator"
)

// Parameters of spreading. Work goes to the backend servers known best, but most
// of those that may be sound get a request now and then, whatever happens next:
// when much work fails at once, too few may be in use otherwise.
const (
	// spreadPart is the part of the expected number of sound backend servers from
	// which on enough of them are in use: a little more than the seven in ten that
	// operators expect. One that failed by itself does not count for failedTime.
	// gravePart is that part from graveShare on: those in use may be the ones in
	// trouble.
	spreadPart = 0.74
	gravePart  = 1
	failedTime = 2 * time.Second
	// repeatedLeast is the share of work that may run twice from which on it alone
	// finds out about backend servers in doubt, and repeatedWeight the weight of
	// one request in that share.
	repeatedLeast  = 0.3
	repeatedWeight = 0.03
	// spreadAfter is the time without work after which a backend server is due: so
	// much less than two seconds that an instance with little work still comes to it
	// in time.
	spreadAfter = 1800 * time.Millisecond
	// homePart is the part of that time after which the instance does so that a
	// backend server belongs to; the others come in if it does not.
	homePart = 0.8
	// calmTrust is the trust from which one may be sound, and spreadTrust that
	// while work fails.
	calmTrust   = 0.4
	spreadTrust = 0.35
	// spreadBonus puts a backend server that is due ahead of all others.
	spreadBonus = 0.7
)

// spreadTo returns what it is worth to send r to a backend server because it had
// no work for a while.
func (b *Balancer[E, D, P, L]) spreadTo(r request, s backend[E]) float64 {
	if !b.spreading || b.failedLately(s) || s.belief.Trust(b.now) < b.spreadFrom || b.inUse(s, b.spreadTime(s)) {
		return 0
	}
	if !b.repeatable(r) && b.repeated >= repeatedLeast && !b.recent.failing() {
		// Work that can be sent again finds out at a lower price.
		return 0
	}
	return spreadBonus
}

// noteKind keeps count of the share of work that may run twice.
func (b *Balancer[E, D, P, L]) noteKind(r request) {
	kind := 0.0
	if b.repeatable(r) {
		kind = 1
	}
	b.repeated += repeatedWeight * (kind - b.repeated)
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

// failedLately tells whether a backend server just failed work.
func (b *Balancer[E, D, P, L]) failedLately(s backend[E]) bool {
	return b.now.Sub(s.failedAt) < failedTime
}

// watchSpread finds out whether work is to be spread.
func (b *Balancer[E, D, P, L]) watchSpread() {
	b.recent = b.recent.WithTime(b.now)
	b.spreading = false
	if !b.options.Guests || b.position < 0 {
		return
	}
	grave := b.recent.grave()
	part := spreadPart
	switch {
	case grave:
		part, b.spreadFrom = gravePart, 0
	case b.recent.failing():
		b.spreadFrom = spreadTrust
	default:
		b.spreadFrom = calmTrust
	}
	sound, used := 0.0, 0.0
	for _, s := range b.backends.All {
		if s.mode != modeReady || b.failedLately(s) {
			continue
		}
		likely := 1.0
		if !grave {
			likely = 1 - s.belief.WithTime(b.now).Gray
		}
		sound += likely
		if b.inUse(s, b.spreadTime(s)) {
			used += likely
		}
	}
	b.spreading = used < part*sound
}
