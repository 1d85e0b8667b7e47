package balancer

import (
	"time"

	"monsoonswitch/allocator"
	"monsoonswitch/descriptor"
	"monsoonswitch/detector"
)

// outcomesEvery is the time between messages about work that went well; failures
// are told at once.
const (
	outcomesEvery = 300 * time.Millisecond
	// crowdedEvery is that time while most slots are in use: what one instance
	// hears of the load of a backend server, the others have to know then.
	crowdedEvery = 100 * time.Millisecond
	// crowdedLoad is the part of the slots in use from which it is so.
	crowdedLoad = 0.6
)

// noteOutcome remembers how a request ended for the other instances, and tells them
// at once of a failure: until they know, they send work to the same place.
func (b *Balancer[E, D, P, L]) noteOutcome(id string, failed bool) {
	o, _ := b.untold.Get(id)
	o.Backend = id
	b.untold.Put(id, o.WithOutcome(failed))
	if failed {
		b.tellOutcomes()
	}
}

// unserved tells whether a request that ended for a reason was to be served.
func unserved(reason descriptor.Reason) bool {
	switch reason {
	case descriptor.Served, descriptor.Abandoned, descriptor.Poisoned:
		return false
	}
	return true
}

// noteUnserved counts a request that ended without an answer: connections that
// break together count once against their backend server, but each request does
// in the share that fails.
func (b *Balancer[E, D, P, L]) noteUnserved() {
	b.recent = b.recent.WithOutcome(b.now, true)
	b.unserved++
}

// noteLate remembers for the other instances that a request runs far too long.
func (b *Balancer[E, D, P, L]) noteLate(id string) {
	o, _ := b.untold.Get(id)
	o.Backend = id
	o.Late++
	b.untold.Put(id, o)
}

// tellOutcomes tells the instances that share the slots how work ended here.
func (b *Balancer[E, D, P, L]) tellOutcomes() {
	if b.untold.Len() == 0 && b.unserved == 0 {
		return
	}
	var list []descriptor.BackendOutcomes
	wait := outcomesEvery
	if b.crowded || b.unserved > 0 {
		wait = crowdedEvery
	}
	urgent := b.now.Sub(b.toldAt) >= wait
	for _, o := range b.untold.All {
		list = append(list, b.withReport(o))
		urgent = urgent || o.Bad+o.Late > 0
	}
	if !urgent {
		return
	}
	b.toldAt = b.now
	for _, o := range list {
		b.untold.Delete(o.Backend)
	}
	m := descriptor.Outcomes{Service: b.service.Name, List: list, Unserved: b.unserved}
	b.unserved = 0
	if b.position >= 0 {
		b.tell(m)
		return
	}
	if len(b.serving) > 0 {
		m.Relay = true
		b.emit(descriptor.Send{To: b.confidant(), Message: m})
	}
}

// confidant returns the instance that a guest tells how work ended: always the
// same one, which passes it on, so that a guest needs one link.
func (b *Balancer[E, D, P, L]) confidant() descriptor.Member {
	n := len(b.serving)
	first := int(allocator.Weight(b.service.Name, b.options.Self) % uint64(n))
	for k := range n {
		if m := b.serving[(first+k)%n]; m.Domain == b.options.Domain {
			return m
		}
	}
	return b.serving[first]
}

// bulletinDoubt is the probability of being gray from which a backend server is
// told of in bulletins.
const bulletinDoubt = 0.25

// Doubts returns the backend servers in doubt.
func (b *Balancer[E, D, P, L]) Doubts(now time.Time) []descriptor.Doubt {
	var list []descriptor.Doubt
	for id, s := range b.backends.All {
		if gray := s.belief.WithTime(now).Gray; gray >= bulletinDoubt {
			list = append(list, descriptor.Doubt{Backend: id, Gray: float32(gray)})
		}
	}
	return list
}

// HearBulletin takes over what the instances that share the slots have in doubt.
// One of these knows better itself, unless it just began.
func (b *Balancer[E, D, P, L]) HearBulletin(now time.Time, m descriptor.Bulletin) {
	b.advance(now)
	if b.position >= 0 && b.heardAll {
		return
	}
	b.heardAll = true
	doubts := make(map[string]float64, len(m.List))
	for _, d := range m.List {
		doubts[d.Backend] = float64(d.Gray)
	}
	for i := range b.backends.Len() {
		id, s := b.backends.At(i)
		gray, ok := doubts[id]
		if !ok {
			gray = detector.SoundGray
		}
		s.belief = detector.Belief{Gray: min(1, max(0, gray)), At: now}
		b.place(i, s)
	}
}

// passOn remembers the outcomes at a guest for the other instances.
func (b *Balancer[E, D, P, L]) passOn(o descriptor.BackendOutcomes) {
	mine, ok := b.untold.Get(o.Backend)
	if !ok {
		mine.Backend = o.Backend
	}
	b.untold.Put(o.Backend, mine.WithOutcomes(o))
}

// withReport returns o with what its backend server said here of its work.
func (b *Balancer[E, D, P, L]) withReport(o descriptor.BackendOutcomes) descriptor.BackendOutcomes {
	s, ok := b.backends.Get(o.Backend)
	age := b.now.Sub(s.reportedAt)
	if !ok || age >= othersTime {
		return o
	}
	o.Reported = true
	o.Work = s.others + s.inFlight
	o.Age = int(age.Milliseconds())
	return o
}

// watchLoad finds out how much work other instances have at a backend server in
// use: what is not known of one is taken to be so.
func (b *Balancer[E, D, P, L]) watchLoad() {
	if !b.options.Guests {
		return
	}
	sum, n := 0.0, 0
	for _, s := range b.backends.All {
		if s.mode == modeReady && b.now.Sub(s.othersAt) < othersTime {
			sum += float64(s.others)
			n++
		}
	}
	usual := sum / float64(max(1, n))
	busy, slots := 0.0, 0
	for i := range b.backends.Len() {
		_, s := b.backends.At(i)
		s = s.WithUsual(usual)
		b.backends.SetAt(i, s)
		if s.mode == modeReady && b.inUse(s, idleTime) {
			busy += s.load(b.now) * float64(s.listed.Slots)
			slots += s.listed.Slots
		}
	}
	b.crowded = busy > crowdedLoad*float64(slots)
}

// maxOutcomes bounds the outcomes of one kind taken from one message: more of
// them change the belief no further.
const maxOutcomes = 8

// HearOutcomes takes in how work ended at other instances.
func (b *Balancer[E, D, P, L]) HearOutcomes(now time.Time, m descriptor.Outcomes) {
	b.advance(now)
	for range min(m.Unserved, maxOutcomes) {
		b.recent = b.recent.WithOutcome(now, true)
	}
	if m.Relay {
		b.unserved += max(0, m.Unserved)
	}
	for _, o := range m.List {
		p := b.backends.Position(o.Backend)
		if p < 0 {
			continue
		}
		_, s := b.backends.At(p)
		s = s.WithUse(now.Add(-outcomesEvery - defaultTypical))
		if o.Reported && o.Age >= 0 {
			s = s.WithWork(o.Work, now.Add(-time.Duration(o.Age)*time.Millisecond))
		}
		for _, part := range []struct {
			count  int
			failed bool
			base   float64
		}{{o.Before, false, 0}, {o.Bad, true, 0}, {o.Late, true, lateBase}, {o.After, false, 0}} {
			for range min(part.count, maxOutcomes) {
				s = s.WithOutcome(now, part.failed, part.base)
				b.recent = b.recent.WithOutcome(now, part.failed)
			}
		}
		if m.Relay {
			b.passOn(o)
		}
		b.place(p, s)
	}
	if m.Relay {
		b.tellOutcomes()
	}
}
