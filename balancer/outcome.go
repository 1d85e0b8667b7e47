package balancer

import (
	"time"

	"monsoonswitch/allocator"
	"monsoonswitch/descriptor"
)

// outcomesEvery is the time between messages about work that went well; failures
// are told at once.
const outcomesEvery = 300 * time.Millisecond

// noteOutcome remembers how a request ended for the other instances.
func (b *Balancer[E, D, P, L]) noteOutcome(id string, failed bool) {
	o, _ := b.untold.Get(id)
	o.Backend = id
	b.untold.Put(id, o.WithOutcome(failed))
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
	if b.untold.Len() == 0 {
		return
	}
	var list []descriptor.BackendOutcomes
	urgent := b.now.Sub(b.toldAt) >= outcomesEvery
	for _, o := range b.untold.All {
		list = append(list, o)
		urgent = urgent || o.Bad+o.Late > 0
	}
	if !urgent {
		return
	}
	b.toldAt = b.now
	for _, o := range list {
		b.untold.Delete(o.Backend)
	}
	m := descriptor.Outcomes{Service: b.service.Name, List: list}
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

// passOn remembers the outcomes at a guest for the other instances.
func (b *Balancer[E, D, P, L]) passOn(o descriptor.BackendOutcomes) {
	mine, ok := b.untold.Get(o.Backend)
	if !ok {
		mine.Backend = o.Backend
	}
	b.untold.Put(o.Backend, mine.WithOutcomes(o))
}

// maxOutcomes bounds the outcomes of one kind taken from one message: more of
// them change the belief no further.
const maxOutcomes = 8

// HearOutcomes takes in how work ended at other instances.
func (b *Balancer[E, D, P, L]) HearOutcomes(now time.Time, m descriptor.Outcomes) {
	b.advance(now)
	for _, o := range m.List {
		p := b.backends.Position(o.Backend)
		if p < 0 {
			continue
		}
		_, s := b.backends.At(p)
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
}
