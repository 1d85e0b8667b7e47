package balancer

import (
	"time"

	"monsoonswitch/descriptor"
)

// Times of what serving instances tell each other.
const (
	// evidenceEvery is the time between evidence messages.
	evidenceEvery = 200 * time.Millisecond
	// evidenceFull is the time between evidence messages in which nothing
	// changed.
	evidenceFull = 3 * time.Second
	// demandEvery is the time between demands for slots.
	demandEvery = 100 * time.Millisecond
	// loanTime is how long a borrower may start work on a slot.
	loanTime = time.Second
	// loanGrace is how much longer the lender leaves the slot unused.
	loanGrace = 250 * time.Millisecond
	// leastScore is the smallest score worth telling.
	leastScore = 0.5
)

// share tells the other serving instances what they need.
func (b *Balancer[E, D, P, L]) share() {
	if b.options.Guests {
		b.tellOutcomes()
		return
	}
	if b.position < 0 || len(b.serving) < 2 {
		return
	}
	b.shareEvidence()
	b.demand()
}

func (b *Balancer[E, D, P, L]) shareEvidence() {
	since := b.now.Sub(b.lastEvidence)
	if since < evidenceEvery {
		return
	}
	scores, urgent := b.scores()
	if !urgent && b.now.Sub(b.lastFull) < evidenceFull {
		return
	}
	b.lastEvidence = b.now
	if b.now.Sub(b.lastFull) >= evidenceFull {
		b.lastFull = b.now
		b.rotateRecent()
	}
	b.tell(descriptor.Evidence{Service: b.service.Name, Scores: scores})
}

// rotateRecent begins a new window of recent observations.
func (b *Balancer[E, D, P, L]) rotateRecent() {
	for i := range b.backends.Len() {
		_, s := b.backends.At(i)
		b.backends.SetAt(i, s.WithWindow())
	}
}

// scores returns the evidence worth telling and whether any of it is urgent.
func (b *Balancer[E, D, P, L]) scores() ([]descriptor.Score, bool) {
	var scores []descriptor.Score
	urgent := false
	for id, s := range b.backends.All {
		value := b.detector.Score(s.evidence) + s.open
		if !s.healthy() || value < leastScore && s.seen() == 0 {
			continue
		}
		urgent = urgent || value >= urgentShare*b.detector.Limit()
		scores = append(scores, descriptor.Score{Backend: id, Value: value, Recent: s.seen()})
	}
	return scores, urgent
}

// demand asks the other serving instances for slots while work is queued.
func (b *Balancer[E, D, P, L]) demand() {
	if b.queued == 0 || b.now.Sub(b.lastDemand) < demandEvery {
		return
	}
	b.lastDemand = b.now
	b.tell(descriptor.Demand{Service: b.service.Name, Slots: min(b.queued, b.slots+1)})
}

// HearDemand lends free slots to another serving instance, at most half of
// those free, if no work is queued here.
func (b *Balancer[E, D, P, L]) HearDemand(now time.Time, from descriptor.Member, m descriptor.Demand) {
	b.advance(now)
	if b.queued > 0 || b.position < 0 {
		return
	}
	left := min(m.Slots, b.idle()/2)
	for i := 0; i < b.backends.Len() && left > 0; i++ {
		id, s := b.backends.At(i)
		if s.mode != modeReady || s.avoided || b.now.Before(s.lentUntil) || s.limit(b.now)-s.inFlight < 1 {
			continue
		}
		s.lent = 1
		s.lentUntil = b.now.Add(loanTime + loanGrace)
		b.place(i, s)
		left--
		loan := descriptor.Loan{Service: m.Service, Backend: id, Slots: 1, Millis: loanTime.Milliseconds()}
		b.emit(descriptor.Send{To: from, Message: loan})
	}
}

func (b *Balancer[E, D, P, L]) idle() int {
	n := 0
	for _, s := range b.backends.All {
		n += max(0, s.limit(b.now)-s.inFlight)
	}
	return n
}

// HearLoan uses slots lent by another serving instance.
func (b *Balancer[E, D, P, L]) HearLoan(now time.Time, m descriptor.Loan) {
	b.advance(now)
	p := b.backends.Position(m.Backend)
	if p < 0 || m.Slots <= 0 || m.Millis <= 0 || m.Millis > loanTime.Milliseconds() {
		return
	}
	_, s := b.backends.At(p)
	if !b.now.Before(s.borrowedUntil) {
		s.borrowed = 0
	}
	s.borrowed = min(s.borrowed+m.Slots, s.listed.Slots-s.share)
	s.borrowedUntil = b.now.Add(time.Duration(m.Millis) * time.Millisecond)
	b.place(p, s)
	b.pump()
}
