package rationer

import (
	"math"
	"math/bits"
	"time"

	"monsoonswitch/container"
	"monsoonswitch/limiter"
)

const (
	// slotCount is the number of slots that customers are divided among. A share is given away
	// slot by slot, so that the loss of a grantor concerns its slots alone.
	slotCount = 64
	// pledgeLife is the time for which an instance gives its share away. If a grantor is lost, the
	// shares that it held are idle for that time.
	pledgeLife = 3 * time.Second
	// pollInterval is the time between the requests of a grantor for the shares of the others. Two
	// of them may be lost before shares end.
	pollInterval = 1200 * time.Millisecond
	// repollInterval is that time for instances that have not given all that is wanted yet.
	repollInterval = 200 * time.Millisecond
	// gainInterval is that time in the first gainTime after slots were gained, when their former
	// grantor may free them at any moment.
	gainInterval = 50 * time.Millisecond
	gainTime     = time.Second
	// startWait is the time after the start of an instance in which it gives and uses nothing: what
	// its former incarnation gave may still be in use.
	startWait = pledgeLife + maxLife
)

// slots is a set of slots, one bit each.
type slots uint64

func slotOf(mark uint64) int { return int(mark % slotCount) }

func slotSet(slot int) slots { return 1 << slot }

// all yields the slots of the set in ascending order.
func (s slots) all(yield func(int) bool) {
	for ; s != 0; s &= s - 1 {
		if !yield(bits.TrailingZeros64(uint64(s))) {
			return
		}
	}
}

// given is the record of an instance of what it gave of its own share, by slot.
type given struct {
	bySlot [slotCount]gift
	// notBefore is the time before which the instance gives and uses nothing.
	notBefore time.Duration
}

// gift is a share of one slot that was given to a grantor, until the given time on the clock of the
// giver. stamp is that of the demand for it. to is empty after the grantor has freed it.
type gift struct {
	to    string
	until time.Duration
	stamp int64
}

func newGiven(now time.Duration) *given { return &given{notBefore: now + startWait} }

// give answers the demand of a grantor for the wanted slots, and returns those that it is given. own
// holds the slots that are the grantor's in the view of this instance. Slots that the demand leaves
// out are not used by the grantor any more, unless it sent a later one.
func (g *given) give(now time.Duration, from string, stamp int64, wanted, own slots) slots {
	var result slots
	for slot := range slotCount {
		last := &g.bySlot[slot]
		set := slotSet(slot)
		if last.to == from && wanted&set == 0 && stamp > last.stamp {
			*last = gift{until: now}
		}
		taken := now < last.until && (last.to != from || stamp <= last.stamp)
		if wanted&own&set != 0 && !taken && now >= g.notBefore {
			*last = gift{to: from, until: now + pledgeLife, stamp: stamp}
			result |= set
		}
	}
	return result
}

// freeAt returns the time from which this instance may use its own share of a slot, if it gives
// nothing more.
func (g *given) freeAt(slot int) time.Duration { return max(g.notBefore, g.bySlot[slot].until) }

// pledge is the share of an instance that a grantor holds until the given time on its own clock.
type pledge struct {
	until time.Duration
	stamp int64
	slots slots
	// counted holds the slots that are included in the parts of the grantor.
	counted slots
	// fleet is the number of instances that the giver divides limits among.
	fleet int
}

// slotState is a slot of a grantor.
type slotState struct {
	// since is the least stamp of pledges that count.
	since int64
	// part is the sum of all shares, from 0 to 1.
	part float64
	// full is the integral of part over time: the time in which whole limits would have given the
	// same number of permits.
	full time.Duration
	// changes holds the last changes of part, oldest first.
	changes []change
}

// change is a change of the part of a slot. At that time, no bucket held more than least of its size.
type change struct {
	full  time.Duration
	least float64
}

const (
	// maxChanges bounds the changes that are kept one by one. The oldest ones are merged.
	maxChanges = 16
	// changeMemory is the time after which buckets have filled again since a change.
	changeMemory = 5 * time.Minute
)

// setPart puts another part in force.
func (s *slotState) setPart(part float64) {
	if part == s.part {
		return
	}
	next := change{s.full, min(part, s.part)}
	s.part = part
	last := len(s.changes) - 1
	if last >= 0 && s.changes[last].full == next.full {
		s.changes[last].least = min(s.changes[last].least, next.least)
		return
	}
	s.changes = append(s.changes, next)
	if len(s.changes) <= maxChanges {
		return
	}
	if s.changes[1].full-s.changes[0].full < changeMemory {
		s.changes[1].least = min(s.changes[0].least, s.changes[1].least)
	}
	s.changes = append(s.changes[:0], s.changes[1:]...)
}

// epoch is the time of a bucket at which nothing could be granted yet.
var epoch = time.Unix(0, 0)

// fill returns the bucket of a customer with what may be granted now.
func (s *slotState) fill(b limiter.Bucket, t Terms) limiter.Bucket {
	for _, c := range s.changes {
		if at := epoch.Add(c.full); !b.At().After(at) {
			b = b.WithTime(at, t.Rate, t.Size*c.least)
		}
	}
	return b.WithTime(epoch.Add(s.full), t.Rate, t.Size*s.part)
}

// grant returns b after as many permits were granted as are needed, and half of what is left after
// that at most for requests that are expected next. It returns their number and the time until one
// more can be granted, or 0 if enough were.
func (s *slotState) grant(b limiter.Bucket, t Terms, needed, ahead int) (limiter.Bucket, int, time.Duration) {
	b = s.fill(b, t)
	n := min(max(0, needed), b.Whole())
	extra := min(max(0, ahead), (b.Whole()-n)/2)
	b = b.WithRequests(n + extra)
	if n >= needed {
		return b, n + extra, 0
	}
	if t.Rate <= 0 {
		return b, n, unknownWait
	}
	return b, n, max(time.Millisecond, b.Wait(t.Rate*s.part))
}

// unknownWait is the time after which a refused caller may try again if no better one is known.
const unknownWait = time.Second

// held holds the shares that a grantor was given. It belongs to an instance that is the grantor of
// some slots.
type held struct {
	// own holds the slots of this grantor, and bySlot their states.
	own    slots
	bySlot [slotCount]slotState
	// fleet is the number of instances that this one divides limits among.
	fleet    int
	byMember *container.Table[string, pledge]
	// polled holds when each instance was asked last.
	polled *container.Table[string, time.Duration]
	// at is the time of the states, and nextEnd the first end of a counted pledge.
	at, nextEnd time.Duration
	// gainedAt is when slots were gained or lost last.
	gainedAt time.Duration
}

func newHeld(now time.Duration) *held {
	return &held{
		at: now, nextEnd: math.MaxInt64,
		byMember: container.NewTable[string, pledge](), polled: container.NewTable[string, time.Duration](),
	}
}

// setOwn has this instance be the grantor of the given slots. Slots that it gains start empty, and
// count pledges with a stamp of since or more.
func (h *held) setOwn(now time.Duration, own slots, since int64) {
	h.advance(now)
	changed := own ^ h.own
	h.own = own
	for slot := range changed.all {
		h.bySlot[slot] = slotState{since: since}
		h.gainedAt = now
	}
	for i := range h.byMember.Len() {
		_, p := h.byMember.At(i)
		p.slots &^= changed
		p.counted &^= changed
		h.byMember.SetAt(i, p)
	}
	// All instances are asked at once, also for what this grantor no longer wants.
	h.polled = container.NewTable[string, time.Duration]()
}

// receive records the pledge of an instance that answers a demand with a stamp of at most last.
func (h *held) receive(now time.Duration, from string, p pledge, last int64) {
	h.advance(now)
	before, ok := h.byMember.Get(from)
	if p.stamp > last || ok && p.stamp <= before.stamp {
		return
	}
	p.slots &= h.own
	for slot := range p.slots.all {
		if p.stamp < h.bySlot[slot].since {
			p.slots &^= slotSet(slot)
		}
	}
	if before.until > now {
		p.counted = before.counted & p.slots
	}
	h.byMember.Put(from, p)
	if before.counted&^p.slots != 0 {
		h.sum(now)
	}
}

// advance brings the states to the time now. A share counts from the first call of count after it
// was received to the last call of advance before it ends, so that no part is ever too large.
func (h *held) advance(now time.Duration) {
	if now <= h.at {
		return
	}
	if now >= h.nextEnd {
		h.sum(now)
	}
	for slot := range h.own.all {
		s := &h.bySlot[slot]
		s.full += time.Duration(s.part * float64(now-h.at))
	}
	h.at = now
}

// sum computes the part of each slot from the counted shares that have not ended.
func (h *held) sum(now time.Duration) {
	var parts [slotCount]float64
	h.nextEnd = math.MaxInt64
	for _, p := range h.byMember.All {
		if p.counted == 0 || p.until <= now {
			continue
		}
		h.nextEnd = min(h.nextEnd, p.until)
		for slot := range p.counted.all {
			parts[slot] += 1 / float64(max(1, h.fleet, p.fleet))
		}
	}
	for slot := range h.own.all {
		h.bySlot[slot].setPart(min(1, parts[slot]))
	}
}

// count includes newly received pledges, where this instance divides limits among fleet instances.
func (h *held) count(now time.Duration, fleet int) {
	h.advance(now)
	h.fleet = fleet
	var ended []string
	for i := range h.byMember.Len() {
		id, p := h.byMember.At(i)
		if p.until <= now {
			ended = append(ended, id)
			continue
		}
		p.counted = p.slots
		h.byMember.SetAt(i, p)
	}
	for _, id := range ended {
		h.byMember.Delete(id)
	}
	h.sum(now)
}

// mustPoll reports whether an instance is to be asked for its share now, and records that it is. A
// former grantor tells those whose shares it held once that it does not use them any more.
func (h *held) mustPoll(now time.Duration, id string) bool {
	if h.own == 0 {
		told := !h.byMember.Has(id)
		h.byMember.Delete(id)
		return !told
	}
	interval := pollInterval
	if p, _ := h.byMember.Get(id); p.slots != h.own {
		interval = repollInterval
		if now-h.gainedAt < gainTime {
			interval = gainInterval
		}
	}
	at, ok := h.polled.Get(id)
	if ok && now-at < interval {
		return false
	}
	h.polled.Put(id, now)
	return true
}
