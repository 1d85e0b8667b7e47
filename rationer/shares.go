package rationer

import (
	"math"
	"time"

	"monsoonswitch/container"
	"monsoonswitch/limiter"
)

const (
	// pledgeLife is the time for which an instance gives its share away. If a grantor is lost, the
	// shares that it held are idle for that time.
	pledgeLife = 3 * time.Second
	// pollInterval is the time between the requests of a grantor for the shares of the others.
	pollInterval = time.Second
	// repollInterval is that time for instances that have not given theirs yet.
	repollInterval = 250 * time.Millisecond
	// startWait is the time after the start of an instance in which it gives nothing: what its
	// former incarnation gave may still be in use.
	startWait = pledgeLife + maxLife
)

// pledge is a share that an instance gave to a grantor.
type pledge struct {
	// until is when the pledge ends on the clock of the holder of this record.
	until time.Duration
	// stamp is that of the demand that it answers.
	stamp int64
	// plan is the plan by which it was given, and fleet the number of instances that the giver
	// divides limits among.
	plan  uint64
	fleet int
	// counted reports whether the share is included in held.part.
	counted bool
}

// given is the record of an instance of what it gave of its own share.
type given struct {
	// byGrantor holds the last pledge to each grantor.
	byGrantor *container.Table[string, pledge]
	// notBefore is the time before which the instance gives and uses nothing.
	notBefore time.Duration
}

func newGiven(now time.Duration) *given {
	return &given{byGrantor: container.NewTable[string, pledge](), notBefore: now + startWait}
}

// give answers the demand of a grantor and reports whether the share is given. A demand by another
// plan shows that the grantor has dropped what it was given by the former one.
func (g *given) give(now time.Duration, from string, stamp int64, plan, own uint64) bool {
	last, ok := g.byGrantor.Get(from)
	if ok && plan != last.plan && stamp > last.stamp {
		g.byGrantor.Delete(from)
		ok = false
	}
	if plan != own || now < g.freeAt("", own) || ok && now < last.until && stamp <= last.stamp {
		return false
	}
	g.byGrantor.Put(from, pledge{until: now + pledgeLife, stamp: stamp, plan: plan})
	return true
}

// freeAt returns the time from which this instance may use its own share of a customer whose
// grantor by plan is the given one, if it gives nothing more.
func (g *given) freeAt(grantor string, plan uint64) time.Duration {
	at := g.notBefore
	for id, p := range g.byGrantor.All {
		if id == grantor || p.plan != plan {
			at = max(at, p.until)
		}
	}
	return at
}

// held holds the shares that a grantor was given, and the time for which it could grant.
type held struct {
	plan uint64
	// since is the least stamp of pledges by this plan, and fleet the number of instances that this
	// one divides limits among.
	since    int64
	fleet    int
	byMember *container.Table[string, pledge]
	// polled holds when each instance was asked last.
	polled *container.Table[string, time.Duration]
	// at is when part was computed, nextEnd the first end of a pledge included in it, and part the
	// sum of all shares, from 0 to 1.
	at, nextEnd time.Duration
	part        float64
	// full is the integral of part over time: the time for which whole limits would have given
	// the same number of permits.
	full time.Duration
	// loss is the last time at which shares were lost.
	loss loss
}

// loss says that at full, only the given part was held.
type loss struct {
	full time.Duration
	part float64
}

// lossMemory is the time after which an earlier loss counts no more when shares are lost again.
const lossMemory = time.Minute

func newHeld(now time.Duration, plan uint64, since int64) *held {
	return &held{
		plan: plan, since: since, at: now, loss: loss{part: 1},
		byMember: container.NewTable[string, pledge](), polled: container.NewTable[string, time.Duration](),
	}
}

// receive records the pledge of an instance that answers a demand with a stamp of at most last.
func (h *held) receive(now time.Duration, from string, p pledge, last int64) {
	before, ok := h.byMember.Get(from)
	if p.plan != h.plan || p.stamp < h.since || p.stamp > last || ok && p.stamp <= before.stamp {
		return
	}
	p.counted = before.counted && before.until > now
	h.byMember.Put(from, p)
}

// advance computes part and full at now. A share counts from the first call of count after it was
// received to the last call of advance before it ends, so that part is never too large in between.
func (h *held) advance(now time.Duration) {
	if now <= h.at {
		return
	}
	if now >= h.nextEnd {
		h.setPart(h.sum(now))
	}
	h.full += time.Duration(h.part * float64(now-h.at))
	h.at = now
}

// sum returns the sum of the counted shares that have not ended, and the first end of one.
func (h *held) sum(now time.Duration) (float64, time.Duration) {
	part, end := 0.0, time.Duration(math.MaxInt64)
	for _, p := range h.byMember.All {
		if p.counted && p.until > now {
			part += 1 / float64(max(1, h.fleet, p.fleet))
			end = min(end, p.until)
		}
	}
	return min(1, part), end
}

// setPart puts another part in force, and records if shares were lost.
func (h *held) setPart(part float64, end time.Duration) {
	if part < h.part {
		least := part
		if h.full-h.loss.full < lossMemory {
			least = min(part, h.loss.part)
		}
		h.loss = loss{full: h.full, part: least}
	}
	h.part, h.nextEnd = part, end
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
		p.counted = true
		h.byMember.SetAt(i, p)
	}
	for _, id := range ended {
		h.byMember.Delete(id)
	}
	h.setPart(h.sum(now))
}

// mustPoll reports whether an instance is to be asked for its share now, and records that it is.
func (h *held) mustPoll(now time.Duration, id string) bool {
	interval := repollInterval
	if h.byMember.Has(id) {
		interval = pollInterval
	}
	at, ok := h.polled.Get(id)
	if ok && now-at < interval {
		return false
	}
	h.polled.Put(id, now)
	return true
}

// epoch is the time of a bucket at which nothing could be granted yet.
var epoch = time.Unix(0, 0)

// fill returns the bucket of a customer with what may be granted now.
func (h *held) fill(b limiter.Bucket, t Terms) limiter.Bucket {
	if at := epoch.Add(h.loss.full); h.loss.part < 1 && !b.At().After(at) {
		b = b.WithTime(at, t.Rate, t.Size*h.loss.part)
	}
	return b.WithTime(epoch.Add(h.full), t.Rate, t.Size*h.part)
}

// grant returns b after as many permits were granted as are needed, and half of what is left after
// that at most for requests that are expected next. It returns their number and the time until one
// more can be granted, or 0 if enough were.
func (h *held) grant(b limiter.Bucket, t Terms, needed, ahead int) (limiter.Bucket, int, time.Duration) {
	b = h.fill(b, t)
	n := min(max(0, needed), b.Whole())
	extra := min(max(0, ahead), (b.Whole()-n)/2)
	b = b.WithRequests(n + extra)
	if n >= needed {
		return b, n + extra, 0
	}
	if h.part <= 0 {
		return b, n, unknownWait
	}
	return b, n, max(time.Millisecond, b.Wait(t.Rate*h.part))
}

// unknownWait is the time after which a refused caller may try again if no better one is known.
const unknownWait = time.Second
