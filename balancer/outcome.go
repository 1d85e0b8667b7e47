package balancer

import (
	"time"

	"monsoonswitch/allocator"
	"monsoonswitch/descriptor"
	"monsoonswitch/detector"
)

// outcomesInterval is the time between messages about successful work. Failures are
// sent at once.
const (
	outcomesInterval = 300 * time.Millisecond
	// crowdedOutcomesInterval replaces it while most slots are in use, because the
	// other owners then need the load reported to this instance sooner. It also
	// applies to reports of requests that ended without an answer.
	crowdedOutcomesInterval = 100 * time.Millisecond
	// crowdedThreshold is the part of the slots in use above which a service is
	// crowded.
	crowdedThreshold = 0.6
	// fullThreshold is the number of requests for each slot above which less urgent requests yield.
	// Below it slots are free, and what yields would be lost without use to others.
	fullThreshold = 1
)

// queueOutcome records how a request ended, to be sent to the other instances. A
// failure is sent at once, because they send work to the same backend server until
// they receive it.
func (b *Balancer[E, D, P, L]) queueOutcome(id string, failed bool) {
	o, _ := b.unsentOutcomes.Get(id)
	o.Backend = id
	b.unsentOutcomes.Put(id, o.WithOutcome(failed))
	if failed {
		b.publishOutcomes()
	}
}

// countsAsUnserved reports whether a request that ended for a reason should have been
// served.
func countsAsUnserved(reason descriptor.Reason) bool {
	switch reason {
	case descriptor.Served, descriptor.Abandoned, descriptor.Poisoned:
		return false
	}
	return true
}

// recordUnserved counts a request that ended without an answer. Connections that
// break together are one failure of their backend server, but each request counts in
// the share of failures.
func (b *Balancer[E, D, P, L]) recordUnserved() {
	b.recentOutcomes = b.recentOutcomes.WithOutcome(b.now, true)
	b.unsentUnserved++
}

// queueLateOutcome records that a request runs far too long, to be sent to the other
// instances.
func (b *Balancer[E, D, P, L]) queueLateOutcome(id string) {
	o, _ := b.unsentOutcomes.Get(id)
	o.Backend = id
	o.Late++
	b.unsentOutcomes.Put(id, o)
}

// queueLeaving records that a backend server announced that it is leaving, and sends it to
// the other instances at once.
func (b *Balancer[E, D, P, L]) queueLeaving(id string) {
	o, _ := b.unsentOutcomes.Get(id)
	o.Backend = id
	o.Leaving = true
	b.unsentOutcomes.Put(id, o)
	b.publishOutcomes()
}

// publishOutcomes sends the outcomes of this instance to the other owners. A
// non-owner sends them to one owner, which relays them.
func (b *Balancer[E, D, P, L]) publishOutcomes() {
	if b.unsentOutcomes.Len() == 0 && b.unsentUnserved == 0 {
		return
	}
	var list []descriptor.BackendOutcomes
	wait := outcomesInterval
	if b.crowded || b.unsentUnserved > 0 {
		wait = crowdedOutcomesInterval
	}
	urgent := b.now.Sub(b.outcomesSentAt) >= wait
	for _, o := range b.unsentOutcomes.All {
		list = append(list, b.withReport(o))
		urgent = urgent || o.Leaving || o.Bad+o.Late > 0
	}
	if !urgent {
		return
	}
	b.outcomesSentAt = b.now
	for _, o := range list {
		b.unsentOutcomes.Delete(o.Backend)
	}
	m := descriptor.Outcomes{Service: b.service.Name, List: list, Unserved: b.unsentUnserved, Limits: b.limitsOf(list), Refused: b.unsentRefusal}
	b.unsentUnserved, b.unsentRefusal = 0, nil
	if b.position >= 0 {
		b.sendByDomain(m)
		return
	}
	if len(b.owners) > 0 {
		m.Relay = true
		b.emit(descriptor.Send{To: b.relayInstance(), Message: m})
	}
}

// sendByDomain sends outcomes to the other owners of this failure domain, and to one owner in
// each other one, which forwards them there: bytes between failure domains are dear.
func (b *Balancer[E, D, P, L]) sendByDomain(m descriptor.Outcomes) {
	b.sendToLocalOwners(m)
	m.Local = true
	for _, p := range b.gateways {
		b.emit(descriptor.Send{To: p, Message: m})
	}
}

// sendToLocalOwners sends a message to the other owners of this failure domain.
func (b *Balancer[E, D, P, L]) sendToLocalOwners(m descriptor.Message) {
	for _, p := range b.owners {
		if p.ID != b.options.Self && p.Domain == b.options.Domain {
			b.emit(descriptor.Send{To: p, Message: m})
		}
	}
}

// gatewaysOf returns one owner of each failure domain other than that of this instance.
// Instances choose different ones, so that each forwards the outcomes of a few.
func gatewaysOf(owners []descriptor.Member, o Options) []descriptor.Member {
	chosen := make(map[string]descriptor.Member)
	weight := func(m descriptor.Member) uint64 { return allocator.Weight(o.Self, m.ID) }
	for _, m := range owners {
		best, ok := chosen[m.Domain]
		if m.Domain != o.Domain && (!ok || weight(m) > weight(best)) {
			chosen[m.Domain] = m
		}
	}
	var result []descriptor.Member
	for _, m := range owners {
		if best, ok := chosen[m.Domain]; ok && best.ID == m.ID {
			result = append(result, m)
		}
	}
	return result
}

// relayInstance returns the owner to which a non-owner sends its outcomes. It stays
// the same while the owners do, so that a non-owner needs only one link.
func (b *Balancer[E, D, P, L]) relayInstance() descriptor.Member {
	n := len(b.owners)
	first := int(allocator.Weight(b.service.Name, b.options.Self) % uint64(n))
	for k := range n {
		if m := b.owners[(first+k)%n]; m.Domain == b.options.Domain {
			return m
		}
	}
	return b.owners[first]
}

// suspicionThreshold is the probability of being gray from which a backend server is
// included in suspicion lists. It is above that of one without recent work, because these
// can be most of a large service.
const suspicionThreshold = 0.35

// Suspicions returns the suspected backend servers, and the mean probability that another
// one is gray.
func (b *Balancer[E, D, P, L]) Suspicions(now time.Time) ([]descriptor.Suspicion, float32) {
	var list []descriptor.Suspicion
	rest := 0.0
	for id, s := range b.backends.All {
		gray := s.estimate.WithTime(now).Gray
		if gray >= suspicionThreshold {
			list = append(list, descriptor.Suspicion{Mark: descriptor.MarkOf(id), Gray: float32(gray)})
			continue
		}
		rest += gray
	}
	return list, float32(rest / float64(max(1, b.backends.Len()-len(list))))
}

// Leaving returns the backend servers that announced in an answer that they are leaving.
func (b *Balancer[E, D, P, L]) Leaving() []uint64 {
	var list []uint64
	for id, s := range b.backends.All {
		if s.announced {
			list = append(list, descriptor.MarkOf(id))
		}
	}
	return list
}

// HandleSuspicionList applies the suspicion list of the owners, which the given instance sent.
// An owner applies the suspicions only of the first one after its start, because its own
// estimates are more recent afterwards.
func (b *Balancer[E, D, P, L]) HandleSuspicionList(now time.Time, origin descriptor.Member, m descriptor.SuspicionList) {
	b.advance(now)
	b.mergeCrashes(origin, m.Crashes)
	b.applyLimits(m.Limits)
	for _, mark := range m.Leaving {
		b.learnLeaving(mark)
	}
	if b.position >= 0 && b.suspicionsReceived {
		return
	}
	b.suspicionsReceived = true
	base := detector.HealthyGray
	if m.Base > 0 {
		base = min(float64(m.Base), suspicionThreshold)
	}
	suspected := make(map[uint64]float64, len(m.List))
	for _, d := range m.List {
		suspected[d.Mark] = float64(d.Gray)
	}
	for i := range b.backends.Len() {
		id, s := b.backends.At(i)
		gray, ok := suspected[descriptor.MarkOf(id)]
		if !ok {
			gray = base
		}
		s.estimate = detector.GrayEstimate{Gray: min(1, max(0, gray)), At: now}
		b.putBackend(i, s)
	}
}

// queueRelayed records the outcomes of a non-owner, to be sent to the other owners.
func (b *Balancer[E, D, P, L]) queueRelayed(o descriptor.BackendOutcomes) {
	queued, ok := b.unsentOutcomes.Get(o.Backend)
	if !ok {
		queued.Backend = o.Backend
	}
	b.unsentOutcomes.Put(o.Backend, queued.WithOutcomes(o))
}

// withReport returns o with the load that its backend server last reported to this
// instance, if that is recent.
func (b *Balancer[E, D, P, L]) withReport(o descriptor.BackendOutcomes) descriptor.BackendOutcomes {
	s, ok := b.backends.Get(o.Backend)
	age := b.now.Sub(s.reportedAt)
	if !ok || age >= otherWorkLifetime {
		return o
	}
	o.Reported = true
	o.Work = s.otherWork + s.inFlight
	o.Age = int(age.Milliseconds())
	return o
}

// updateOtherWork computes the mean number of requests that other instances have at a
// backend server in use, which is assumed for those without a recent report. It also
// updates whether the service is crowded.
func (b *Balancer[E, D, P, L]) updateOtherWork() {
	if !b.options.PooledOutcomes {
		return
	}
	sum, n := 0.0, 0
	for _, s := range b.backends.All {
		if s.mode == modeReady && b.now.Sub(s.otherWorkAt) < otherWorkLifetime {
			sum += float64(s.otherWork)
			n++
		}
	}
	typical := sum / float64(max(1, n))
	requests, slots := 0.0, 0
	for i := range b.backends.Len() {
		_, s := b.backends.At(i)
		s = s.WithTypicalOtherWork(typical)
		b.backends.SetAt(i, s)
		if s.mode == modeReady && b.inUse(s, idleThreshold) {
			requests += s.load(b.now) * float64(s.listed.Slots)
			slots += s.listed.Slots
		}
	}
	b.crowded = requests > crowdedThreshold*float64(slots)
	b.full = requests > fullThreshold*float64(slots)
}

// maxOutcomes bounds the outcomes of one kind used from one message. More of them
// would hardly change the estimate.
const maxOutcomes = 8

// HandleOutcomes applies outcomes reported by another instance.
func (b *Balancer[E, D, P, L]) HandleOutcomes(now time.Time, m descriptor.Outcomes) {
	b.advance(now)
	if m.Local {
		m.Local = false
		b.sendToLocalOwners(m)
	}
	for range min(m.Unserved, maxOutcomes) {
		b.recentOutcomes = b.recentOutcomes.WithOutcome(now, true)
	}
	b.applyLimits(m.Limits)
	if m.Refused != nil {
		b.applyRoomRefusal(*m.Refused, m.Relay)
	}
	if m.Relay {
		b.unsentUnserved += max(0, m.Unserved)
	}
	for _, o := range m.List {
		o = b.withID(o)
		if o.Leaving {
			b.learnLeaving(o.Mark)
		}
		if b.applyOutcomes(o) && m.Relay {
			b.queueRelayed(o)
		}
	}
	if m.Relay {
		b.publishOutcomes()
	}
}

// withID returns received outcomes with both the ID and the mark of their backend server. The
// ID is empty if the backend server is not known.
func (b *Balancer[E, D, P, L]) withID(o descriptor.BackendOutcomes) descriptor.BackendOutcomes {
	if o.Backend == "" {
		o.Backend = b.marks[o.Mark]
	} else {
		o.Mark = descriptor.MarkOf(o.Backend)
	}
	return o
}

// applyOutcomes applies the outcomes at one backend server and reports whether it is known.
func (b *Balancer[E, D, P, L]) applyOutcomes(o descriptor.BackendOutcomes) bool {
	p := b.backends.Position(o.Backend)
	if p < 0 {
		return false
	}
	_, s := b.backends.At(p)
	// The reported work was sent earlier: by about outcomesInterval for the report
	// and defaultServiceTime for the work itself.
	s = s.WithUse(b.now.Add(-outcomesInterval - defaultServiceTime))
	if o.Reported && o.Age >= 0 {
		s = s.WithWork(o.Work, b.now.Add(-time.Duration(o.Age)*time.Millisecond))
	}
	for _, group := range []struct {
		count  int
		failed bool
		base   float64
	}{{o.Before, false, 0}, {o.Bad, true, 0}, {o.Late, true, lateFailureBase}, {o.After, false, 0}} {
		for range min(group.count, maxOutcomes) {
			s = s.WithOutcome(b.now, group.failed, group.base)
			b.recentOutcomes = b.recentOutcomes.WithOutcome(b.now, group.failed)
		}
	}
	b.putBackend(p, s)
	return true
}
