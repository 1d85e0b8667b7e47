package balancer

import (
	"time"

	"monsoonswitch/descriptor"
)

// Parameters of the messages between owners.
const (
	// evidenceInterval is the minimum time between evidence messages.
	evidenceInterval = 200 * time.Millisecond
	// fullEvidenceInterval is the time between evidence messages when nothing is
	// urgent, and the least width of a window of observations.
	fullEvidenceInterval = 3 * time.Second
	// slotDemandInterval is the minimum time between requests for slots.
	slotDemandInterval = 100 * time.Millisecond
	// slotLeaseTime is how long a lessee may start work on a leased slot.
	slotLeaseTime = time.Second
	// slotLeaseGrace is how much longer the lessor keeps the slot unused.
	slotLeaseGrace = 250 * time.Millisecond
	// minReportedScore is the smallest score that is reported for a backend server
	// without recent observations.
	minReportedScore = 0.5
)

// publish sends the outcomes of this instance if outcomes are pooled. Otherwise an
// owner sends the other owners its evidence and its requests for slots.
func (b *Balancer[E, D, P, L]) publish() {
	if b.options.PooledOutcomes {
		b.publishOutcomes()
		return
	}
	if b.position < 0 || len(b.owners) < 2 {
		return
	}
	b.publishEvidence()
	b.requestSlots()
}

func (b *Balancer[E, D, P, L]) publishEvidence() {
	since := b.now.Sub(b.lastEvidence)
	if since < evidenceInterval {
		return
	}
	scores, urgent := b.scores()
	if !urgent && b.now.Sub(b.lastFullEvidence) < fullEvidenceInterval {
		return
	}
	b.lastEvidence = b.now
	if b.now.Sub(b.lastFullEvidence) >= fullEvidenceInterval {
		b.lastFullEvidence = b.now
		b.startObservationWindow()
	}
	b.sendToOwners(descriptor.Evidence{Service: b.service.Name, Scores: scores})
}

// startObservationWindow starts a new window of recent observations.
func (b *Balancer[E, D, P, L]) startObservationWindow() {
	for i := range b.backends.Len() {
		_, s := b.backends.At(i)
		b.backends.SetAt(i, s.WithNewWindow())
	}
}

// scores returns the evidence to report and whether any of it is urgent.
func (b *Balancer[E, D, P, L]) scores() ([]descriptor.Score, bool) {
	var scores []descriptor.Score
	urgent := false
	for id, s := range b.backends.All {
		value := b.detector.Score(s.evidence) + s.overdueScore
		if !s.healthy() || value < minReportedScore && s.recentObservations() == 0 {
			continue
		}
		urgent = urgent || value >= urgentScoreRatio*b.detector.Limit()
		scores = append(scores, descriptor.Score{Backend: id, Value: value, Recent: s.recentObservations()})
	}
	return scores, urgent
}

// requestSlots asks the other owners for slots while work is queued.
func (b *Balancer[E, D, P, L]) requestSlots() {
	if b.queued == 0 || b.now.Sub(b.lastSlotDemandAt) < slotDemandInterval {
		return
	}
	b.lastSlotDemandAt = b.now
	b.sendToOwners(descriptor.SlotDemand{Service: b.service.Name, Slots: min(b.queued, b.slots+1)})
}

// HandleSlotDemand leases out at most half of the free slots of this instance to
// another owner, if this instance has no queued work.
func (b *Balancer[E, D, P, L]) HandleSlotDemand(now time.Time, from descriptor.Member, m descriptor.SlotDemand) {
	b.advance(now)
	if b.queued > 0 || b.position < 0 {
		return
	}
	remaining := min(m.Slots, b.freeSlots()/2)
	for i := 0; i < b.backends.Len() && remaining > 0; i++ {
		id, s := b.backends.At(i)
		if s.mode != modeReady || s.avoided || b.now.Before(s.leasedOutUntil) || s.limit(b.now)-s.inFlight < 1 {
			continue
		}
		s.leasedOut = 1
		s.leasedOutUntil = b.now.Add(slotLeaseTime + slotLeaseGrace)
		b.putBackend(i, s)
		remaining--
		lease := descriptor.SlotLease{Service: m.Service, Backend: id, Slots: 1, Millis: slotLeaseTime.Milliseconds()}
		b.emit(descriptor.Send{To: from, Message: lease})
	}
}

func (b *Balancer[E, D, P, L]) freeSlots() int {
	n := 0
	for _, s := range b.backends.All {
		n += max(0, s.limit(b.now)-s.inFlight)
	}
	return n
}

// HandleSlotLease makes slots leased from another owner available.
func (b *Balancer[E, D, P, L]) HandleSlotLease(now time.Time, m descriptor.SlotLease) {
	b.advance(now)
	p := b.backends.Position(m.Backend)
	if p < 0 || m.Slots <= 0 || m.Millis <= 0 || m.Millis > slotLeaseTime.Milliseconds() {
		return
	}
	_, s := b.backends.At(p)
	if !b.now.Before(s.leasedInUntil) {
		s.leasedIn = 0
	}
	s.leasedIn = min(s.leasedIn+m.Slots, s.listed.Slots-s.share)
	s.leasedInUntil = b.now.Add(time.Duration(m.Millis) * time.Millisecond)
	b.putBackend(p, s)
	b.startQueued()
}
