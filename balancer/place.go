package balancer

import (
	"time"

	"monsoonswitch/descriptor"
	"monsoonswitch/picker"
)

// Parameters of the placement where the slots are not divided among instances.
const (
	// soundTrust is the trust from which a backend server gets any work.
	soundTrust = 0.55
	// holdPart is the part of the time that it has to spare for which work waits for
	// a backend server with that trust.
	holdPart = 0.5
	// nearBonus is what a backend server of the same failure domain is worth, and
	// nearByteBonus that for each byte of a body, up to nearMost: bytes between
	// domains cost, and an upload of 60 kB as much as a fifth of what it is worth.
	nearBonus     = 0.03
	nearByteBonus = 0.2 / 60e3
	nearMost      = 0.2
	// warmBonus is what a backend server is worth to which a connection is open,
	// and warmTime how long after work there one can be used for any work.
	warmBonus = 0.02
	warmTime  = 4 * time.Second
	// retryCost is what a failure costs work that is sent again, as a part of what
	// it costs other work.
	retryCost = 0.35
	// canaryEvery is the number of idempotent requests of which one asks the
	// backend server that was not heard of for longest, if it is in doubt.
	canaryEvery = 16
	// guestCanaryEvery is that number at guests, which have few requests but hear
	// from nobody else what became of a doubt.
	guestCanaryEvery = 3
	// canaryBudget is the least budget for retries that a canary leaves.
	canaryBudget = 2
)

// pickOpen returns the position of a backend server for r by pooled trust and
// estimated load, or -1 if r is to wait. Work that may not run twice waits a
// while for a sound backend server rather than go to one in doubt.
func (b *Balancer[E, D, P, L]) pickOpen(r request) int {
	positions := b.untried(r)
	if len(positions) == 0 {
		return -1
	}
	if p := b.canary(r, positions); p >= 0 {
		return p
	}
	b.turn++
	at := func(i int) picker.Candidate { return b.openCandidate(r, positions[i]) }
	best := positions[b.picker.Pick(len(positions), at, b.turn, b.random)]
	_, s := b.backends.At(best)
	if trust := s.belief.Trust(b.now); trust < soundTrust && b.spreadTo(r, s) == 0 && b.waits(r) {
		return -1
	}
	return best
}

// untried returns the positions of the free backend servers that r was not sent
// to, those that are not avoided first.
func (b *Balancer[E, D, P, L]) untried(r request) []int {
	b.scratch = b.scratch[:0]
	for _, set := range b.freeSets() {
		for i := range set.Len() {
			position := set.At(i)
			if id, _ := b.backends.At(position); !r.triedAt(id) {
				b.scratch = append(b.scratch, position)
			}
		}
		if len(b.scratch) > 0 {
			return b.scratch
		}
	}
	return nil
}

func (b *Balancer[E, D, P, L]) openCandidate(r request, position int) picker.Candidate {
	_, s := b.backends.At(position)
	c := picker.Candidate{
		Position: position,
		InFlight: s.inFlight,
		Share:    s.listed.Slots,
		Trust:    b.trustFor(r, s),
		Load:     s.load(b.now),
		Wait:     b.waitPart(r, s),
	}
	if s.listed.Domain == b.options.Domain {
		c.Bonus = r.nearBonus()
	}
	if b.now.Sub(s.startedAt) < warmTime {
		c.Bonus += warmBonus
	}
	c.Bonus += b.spreadTo(r, s)
	return c
}

// nearBonus returns what a backend server of the same failure domain is worth to r.
// A body of unknown size counts as a large one.
func (r request) nearBonus() float64 {
	if r.size < 0 {
		return nearMost
	}
	return min(nearMost, nearBonus+nearByteBonus*float64(r.size))
}

// trustFor returns the probability that r is served if it goes to a backend server
// first. A failure of work that may be sent again costs little but a retry.
func (b *Balancer[E, D, P, L]) trustFor(r request, s backend[E]) float64 {
	trust := s.belief.Trust(b.now)
	if !b.repeatable(r) || b.budget.Left < canaryBudget || int(r.last)-r.unrun+1 >= b.attemptLimit(r) {
		return trust
	}
	return 1 - retryCost*(1-trust)
}

// waitPart estimates for which part of the time that r has to spare it would wait
// at a backend server. Within this instance's own part of the slots it does not.
func (b *Balancer[E, D, P, L]) waitPart(r request, s backend[E]) float64 {
	if s.inFlight < s.share {
		return 0
	}
	typical := b.references[r.class].Quantile(0.5, defaultTypical)
	spare := max(b.classes[r.class].declared.Target-typical, typical/2)
	ahead := s.load(b.now) + 1/float64(s.listed.Slots) - 1
	if ahead <= 0 {
		// A slot that looks free may be taken by the instance whose part it is.
		ahead = foreignSlot
	}
	return ahead * float64(typical) / float64(spare)
}

const (
	// defaultTypical stands in for the usual service time while it is not known.
	defaultTypical = 200 * time.Millisecond
	// foreignSlot is the expected wait for a free slot that belongs to the part
	// of another instance, in service times.
	foreignSlot = 0.12
)

// waits tells whether r waits rather than go to a backend server in doubt: for
// part of its patience, if there is any sound one.
func (b *Balancer[E, D, P, L]) waits(r request) bool {
	if r.unrun > 0 {
		// It cost nothing to ask and may cost nothing again.
		return false
	}
	declared := b.classes[r.class].declared
	spare := declared.Target - b.references[r.class].Quantile(0.5, declared.Target/2)
	if float64(b.now.Sub(r.arrived)) > holdPart*float64(spare) {
		return false
	}
	for _, s := range b.backends.All {
		if s.mode == modeReady && !s.avoided && s.belief.Trust(b.now) >= soundTrust {
			return true
		}
	}
	return false
}

// canary returns a backend server in doubt for one of several idempotent
// requests, or -1. It finds out who is back without spending work that can't be
// sent again.
func (b *Balancer[E, D, P, L]) canary(r request, positions []int) int {
	every, budget := uint64(canaryEvery), float64(canaryBudget)
	if b.position < 0 {
		every, budget = guestCanaryEvery, 1
	}
	if r.last > 0 || !b.repeatable(r) || b.queued > 0 || b.budget.Left < budget {
		return -1
	}
	if b.random.Uint64()%every != 0 {
		return -1
	}
	oldest := -1
	for _, p := range positions {
		_, s := b.backends.At(p)
		if s.belief.Trust(b.now) >= soundTrust || s.inFlight > 0 {
			continue
		}
		if oldest < 0 {
			oldest = p
			continue
		}
		if _, o := b.backends.At(oldest); s.belief.At.Before(o.belief.At) {
			oldest = p
		}
	}
	return oldest
}

// repeatable tells whether r may run more than once.
func (b *Balancer[E, D, P, L]) repeatable(r request) bool {
	return b.classes[r.class].declared.Idempotent && r.replayable
}

// fullShed tells whether a backend server that refused work had no room by its
// own report. One that refuses work with room is ill.
func fullShed(l descriptor.Load) bool {
	return !l.Known || l.Running >= l.Slots
}
