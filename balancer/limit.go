package balancer

import (
	"fmt"
	"math"
	"time"

	"monsoonswitch/allocator"
	"monsoonswitch/descriptor"
	"monsoonswitch/limiter"
)

const (
	// notedLimitChange is the change of a limit, as a part of it, from which it is logged.
	notedLimitChange = 0.1
	// limitReportTime is how long after an answer its limit is reported to other instances.
	limitReportTime = 15 * time.Second
)

// recordLimit returns s after an answer to an attempt that was sent at sentAt. An answer without
// a limit ends one only if it was asked for after the limit was named.
func (b *Balancer[E, D, P, L]) recordLimit(s backend[E], limit float64, sentAt time.Time) backend[E] {
	if limit == 0 && (s.allowance.Limit == 0 || !sentAt.After(s.allowance.NamedAt)) {
		return s
	}
	return b.withLimit(s, b.now, limit, "named here")
}

// withLimit returns s after news as of at about its limit.
func (b *Balancer[E, D, P, L]) withLimit(s backend[E], at time.Time, limit float64, source string) backend[E] {
	before := s.allowance
	s.allowance = before.WithLimit(b.now, at, limit)
	if s.allowance == before {
		return s
	}
	s = b.withLimitPart(s)
	if limit > 0 && at.After(b.lastLimitAt) {
		b.lastLimitAt = at
	}
	if math.Abs(limit-before.Limit) >= notedLimitChange*max(limit, before.Limit) && limit != before.Limit {
		b.note(descriptor.NoteLimit, s.listed.ID, fmt.Sprintf("%.3g a second, of these here %.3g, %s", limit, s.allowance.Rate, source))
	}
	return s
}

// withLimitPart returns s with the part of its limit that this instance may send.
func (b *Balancer[E, D, P, L]) withLimitPart(s backend[E]) backend[E] {
	turn := -1
	if b.position >= 0 {
		turn = allocator.Turn(len(b.owners), b.position, s.listed.ID)
	}
	s.allowance = s.allowance.WithPart(b.now, limiter.Part(s.allowance.Limit, len(b.owners), turn))
	return s
}

// limitedRate returns the requests a second that this instance may send to the backend servers
// that could take work, if all of them named a limit. It returns false if one did not.
func (b *Balancer[E, D, P, L]) limitedRate() (float64, bool) {
	if b.lastLimitAt.IsZero() {
		return 0, false
	}
	rate, limited := 0.0, false
	for _, s := range b.backends.All {
		if s.mode != modeReady && s.mode != modeTrial || s.paused(b.now) {
			continue
		}
		if !s.allowance.Active(b.now) {
			return 0, false
		}
		limited = true
		rate += s.allowance.Rate
	}
	return rate, limited
}

// limitedBeyond reports whether the limits of all backend servers leave no request for one of
// level l until it can no longer be served before expires. It also returns the wait to ask its
// caller for.
func (b *Balancer[E, D, P, L]) limitedBeyond(l level, expires time.Time) (time.Duration, bool) {
	rate, ok := b.limitedRate()
	if !ok {
		return 0, false
	}
	if rate <= 0 {
		return b.spreadWait(retryAfter), true
	}
	// The allowances are due at random times, so that the mean wait for one is half of the time
	// between two.
	wait := time.Duration((float64(b.ahead(l)) + 0.5) / rate * float64(time.Second))
	if !b.now.Add(wait).After(expires) {
		return 0, false
	}
	return b.spreadWait(max(wait, retryAfter)), true
}

// limitReport returns the limit that a backend server named or dropped lately, to be sent to
// other instances, and false if there is none.
func (b *Balancer[E, D, P, L]) limitReport(s backend[E]) (descriptor.BackendLimit, bool) {
	age := b.now.Sub(s.allowance.NamedAt)
	if s.allowance.NamedAt.IsZero() || age >= limitReportTime {
		return descriptor.BackendLimit{}, false
	}
	return descriptor.BackendLimit{Mark: descriptor.MarkOf(s.listed.ID), Limit: s.allowance.Limit, Age: age.Milliseconds()}, true
}

// limitsOf returns the limits of the backend servers in a list of outcomes.
func (b *Balancer[E, D, P, L]) limitsOf(list []descriptor.BackendOutcomes) []descriptor.BackendLimit {
	if b.lastLimitAt.IsZero() {
		return nil
	}
	var result []descriptor.BackendLimit
	for _, o := range list {
		if s, ok := b.backends.Get(o.Backend); ok {
			if l, ok := b.limitReport(s); ok {
				result = append(result, l)
			}
		}
	}
	return result
}

// Limits returns the limits that backend servers named or dropped lately, for a suspicion list.
func (b *Balancer[E, D, P, L]) Limits(now time.Time) []descriptor.BackendLimit {
	b.advance(now)
	var list []descriptor.BackendLimit
	for _, s := range b.backends.All {
		if l, ok := b.limitReport(s); ok {
			list = append(list, l)
		}
	}
	return list
}

// applyLimits applies limits that another instance reported.
func (b *Balancer[E, D, P, L]) applyLimits(list []descriptor.BackendLimit) {
	for _, l := range list {
		p := b.backends.Position(b.marks[l.Mark])
		if p < 0 || !(l.Limit >= 0) || l.Age < 0 {
			continue
		}
		_, s := b.backends.At(p)
		b.putBackend(p, b.withLimit(s, b.now.Add(-time.Duration(l.Age)*time.Millisecond), l.Limit, "reported"))
	}
}
