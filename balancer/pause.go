package balancer

import (
	"time"

	"monsoonswitch/descriptor"
)

// pauseSpread is the part of a pause that is added to it at random when callers are told to
// come back after it. Otherwise all of them would return at its end.
const pauseSpread = 0.5

// recordPause returns s after an answer that asked for no requests for a time. The pause
// takes precedence over spreading and checks.
func (b *Balancer[E, D, P, L]) recordPause(s backend[E], pause time.Duration) backend[E] {
	if pause <= 0 {
		return s
	}
	if !b.now.Before(b.lastPauseEnd) {
		b.note(descriptor.NotePaused, s.listed.ID, pause.String())
	}
	s = s.WithPause(b.now, pause)
	if s.pausedUntil.After(b.lastPauseEnd) {
		b.lastPauseEnd = s.pausedUntil
	}
	return s
}

// pauseOfAll returns the time until the first pause ends, and whether all backend servers
// that could take work are paused.
func (b *Balancer[E, D, P, L]) pauseOfAll() (time.Duration, bool) {
	if !b.now.Before(b.lastPauseEnd) {
		return 0, false
	}
	var first time.Time
	for _, s := range b.backends.All {
		switch {
		case s.mode != modeReady && s.mode != modeTrial:
		case !s.paused(b.now):
			return 0, false
		case first.IsZero() || s.pausedUntil.Before(first):
			first = s.pausedUntil
		}
	}
	return first.Sub(b.now), !first.IsZero()
}

// pausedBeyond reports whether all backend servers are paused until after t, so that a
// request which can wait until t is not served. It also returns the wait to ask its caller
// for.
func (b *Balancer[E, D, P, L]) pausedBeyond(t time.Time) (time.Duration, bool) {
	left, all := b.pauseOfAll()
	if !all || !b.now.Add(left).After(t) {
		return 0, false
	}
	return b.spreadWait(left), true
}

// waitHint returns the wait to ask the caller of refused work for.
func (b *Balancer[E, D, P, L]) waitHint() time.Duration {
	if left, all := b.pauseOfAll(); all {
		return b.spreadWait(left)
	}
	return retryAfter
}

// spreadWait returns a wait with a random addition, so that callers do not return together.
func (b *Balancer[E, D, P, L]) spreadWait(wait time.Duration) time.Duration {
	part := b.draw()
	return wait + time.Duration(part*pauseSpread*float64(wait))
}
