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
