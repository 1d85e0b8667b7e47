package gossiper

import (
	"time"

	"monsoonswitch/container"
	"monsoonswitch/descriptor"
)

// Limits of introductions.
const (
	// introductionTimeout is how long an instance that was asked for all members has to
	// answer before another one is asked.
	introductionTimeout = 500 * time.Millisecond
	// reviewTime is the time after an introduction during which a bucket that differs counts
	// at once; see reviewTimes.
	reviewTime = 6 * time.Second
	// maxAsked is the number of instances from which on the next one asked must answer.
	maxAsked = 4
	// maxAnswers is the number of starts that an instance answers within answerPeriod before
	// it names others. Each answer is all members, and all documents follow: 60 KB at 219
	// instances.
	maxAnswers   = 2
	answerPeriod = 30 * time.Second
	// maxNear is the number of members in its own failure domain that an instance in
	// another one names to an instance that asks for all.
	maxNear = 3
)

// reviewTimes holds the times after an introduction at which the members are compared with those
// of another instance. A change may have passed that instance after it sent all records, and the
// watchers of this one before they had a link to it. Ordinary digests find it only after some ten
// seconds, or a minute on many links.
var reviewTimes = [...]time.Duration{500 * time.Millisecond, 1500 * time.Millisecond, 4 * time.Second}

// introduction is the request of an instance that starts for the records of all members. It is
// sent to one instance of its own failure domain: when each peer sent them all by itself, an
// instance that started got them some twenty times.
type introduction struct {
	// from is the instance that was asked last, or empty if no answer is awaited.
	from string
	at   time.Time
	// asked lists the instances that were asked, and near those in this failure domain that
	// were named.
	asked []string
	near  []string
	// early holds the changes of members that arrived before their records.
	early []earlyChange
}

// open reports whether an answer is awaited.
func (i introduction) open() bool { return i.from != "" }

// startTime is the time after the start of an instance in which it sends all records to others that
// know few. Where the whole fleet starts, nobody knows it yet, and what an instance told of the
// number of members that it knows is out of date at once.
const startTime = 6 * time.Second

// LinkOpened handles a new link to an instance. An instance that knows few members asks for
// the others. One of an earlier build does not: if it just started, knows few members, and the
// fleet has at most maxInitialMembers members, it is sent all live records, and otherwise only
// the record of this instance.
func (g *Gossiper) LinkOpened(e descriptor.LinkOpened) {
	before, known := g.members.Get(e.Peer.ID)
	g.links.Put(e.Peer.ID, link{receivedAt: e.At, types: e.Types})
	g.merge(e.Peer, e.At)
	introduced := e.Known > 0 && e.Known*introducedRatio >= len(g.ring)
	if e.Types >= descriptor.TypeMemberChanges {
		g.sendChanges(e.Peer.ID, []descriptor.Member{g.self})
		g.introduce(e.At, e.Peer.ID, e.Known)
		if !introduced && e.At.Sub(g.startedAt) < startTime {
			g.sendRecords(e.Peer.ID, g.liveRecords())
		}
		return
	}
	if known && before.member.Incarnation == e.Peer.Incarnation || introduced || g.members.Len() > maxInitialMembers {
		g.send(e.Peer.ID, descriptor.Members{Records: []descriptor.Member{g.self}})
		return
	}
	g.sendRecords(e.Peer.ID, g.liveRecords())
}

// liveRecords returns the records of the members that are neither dead nor left.
func (g *Gossiper) liveRecords() []descriptor.Member {
	var result []descriptor.Member
	for _, e := range g.members.All {
		if e.member.State < descriptor.Dead {
			result = append(result, e.member)
		}
	}
	return result
}

// introduce asks an instance that knows the given number of members for all of them, if this
// one knows few.
func (g *Gossiper) introduce(now time.Time, from string, known int) {
	if known < len(g.ring)*introducedRatio || known <= introducedRatio || g.introduction.open() {
		return
	}
	g.introduction.asked = nil
	g.ask(now, from, false)
}

// ask asks an instance for the records of all members.
func (g *Gossiper) ask(now time.Time, from string, here bool) {
	i := &g.introduction
	i.from, i.at = from, now
	i.asked = append(i.asked, from)
	g.send(from, descriptor.MemberChanges{All: true, Here: here, Must: len(i.asked) >= maxAsked})
}

// answerIntroduction sends all live records to an instance that asks for them, or names some
// members of its failure domain to ask, so that the seeds do not answer all.
func (g *Gossiper) answerIntroduction(now time.Time, to string, m descriptor.MemberChanges) {
	e, ok := g.members.Get(to)
	if !m.All || !ok {
		return
	}
	for len(g.answers) > 0 && now.Sub(g.answers[0]) >= answerPeriod {
		g.answers = g.answers[1:]
	}
	if !m.Must && (!m.Here || len(g.answers) >= maxAnswers) {
		if near := g.nearest(e.member); len(near) > 0 {
			g.send(to, descriptor.MemberChanges{Near: near})
			return
		}
	}
	g.answers = append(g.answers, now)
	g.sendRecords(to, g.liveRecords())
}

// nearest returns some ready members in the failure domain of a member that starts. Different
// starts get different ones, since each of them answers with all members and documents, and
// from different instances too.
func (g *Gossiper) nearest(m descriptor.Member) []descriptor.Member {
	var ready []descriptor.Member
	for _, p := range g.ring {
		e, _ := g.members.Get(p.id)
		l, linked := g.links.Get(p.id)
		earlier := linked && l.types < descriptor.TypeMemberChanges
		if p.domain == m.Domain && p.id != m.ID && p.id != g.self.ID && e.member.Ready && e.member.State == descriptor.Alive && !earlier {
			ready = append(ready, e.member)
		}
	}
	var result []descriptor.Member
	first := container.Scramble(m.Mark() + uint64(m.Incarnation) + g.self.Mark())
	for k := range min(maxNear, len(ready)) {
		result = append(result, ready[(first%uint64(len(ready))+uint64(k))%uint64(len(ready))])
	}
	return result
}

// introduceNear asks the first of the members that an instance in another failure domain
// named.
func (g *Gossiper) introduceNear(now time.Time, from string, near []descriptor.Member) {
	for _, m := range near {
		g.merge(m, now)
		g.introduction.near = append(g.introduction.near, m.ID)
	}
	if g.introduction.from == from {
		g.askNext(now)
	}
}

// askNext asks the next instance that was not asked: one in this failure domain, or one with
// a link.
func (g *Gossiper) askNext(now time.Time) {
	for _, id := range g.introduction.near {
		if !contains(g.introduction.asked, id) {
			g.ask(now, id, true)
			return
		}
	}
	for i := range g.links.Len() {
		id, l := g.links.At(i)
		if l.types >= descriptor.TypeMemberChanges && !contains(g.introduction.asked, id) {
			g.ask(now, id, true)
			return
		}
	}
	// The next link or digest begins again.
	g.resetIntroduction(now)
}

// retryIntroduction asks another instance if the last one did not answer in time.
func (g *Gossiper) retryIntroduction(now time.Time) {
	if g.introduction.open() && now.Sub(g.introduction.at) >= introductionTimeout {
		g.askNext(now)
	}
}

// startedTogether is the largest difference between the starts of two instances, by their own
// clocks, from which on one may know the fleet when the other starts.
const startedTogether = 10 * time.Second

// establishedBefore reports whether an instance started so long before this one that it knows
// the fleet, by their incarnations, which are start times in microseconds.
func (g *Gossiper) establishedBefore(id string) bool {
	e, ok := g.members.Get(id)
	return ok && g.self.Incarnation-e.member.Incarnation >= startedTogether.Microseconds()
}

// endIntroduction notes that the asked instance sent records. They are not spread again if that
// instance knows the fleet: then it has spread what is new. Where the whole fleet starts, each
// instance knows few, and passes on what it learns.
func (g *Gossiper) endIntroduction(now time.Time, from string, records []descriptor.Member) {
	if g.introduction.from != from {
		return
	}
	if !g.establishedBefore(from) {
		records = nil
	}
	for _, m := range records {
		if sources, ok := g.pending.Get(m.ID); ok && m.ID != g.self.ID && len(sources) == 1 && sources[0] == from {
			g.pending.Delete(m.ID)
		}
	}
	g.introducer = from
	g.resetIntroduction(now)
}

// Introducing reports whether the records of all members are about to arrive. The documents are
// requested from the same instance then.
func (g *Gossiper) Introducing(now time.Time) bool {
	return g.introduction.open() && now.Sub(g.introduction.at) < introductionTimeout/2
}

// Introducer returns the instance that sent this one the records of all members, or "".
func (g *Gossiper) Introducer() string { return g.introducer }

// resetIntroduction ends the wait for all records, and handles the changes that came during it.
func (g *Gossiper) resetIntroduction(now time.Time) {
	early := g.introduction.early
	g.introduction = introduction{}
	g.introducedAt, g.reviews = now, 0
	for _, e := range early {
		g.HandleChanges(now, e.from, descriptor.MemberChanges{List: []descriptor.MemberChange{e.change}})
	}
}

// review compares the members with those of an instance in this failure domain, or any other
// one, at each of reviewTimes.
func (g *Gossiper) review(now time.Time, documents container.BucketSums) {
	if g.reviews == len(reviewTimes) || now.Sub(g.introducedAt) < reviewTimes[g.reviews] {
		return
	}
	g.reviews++
	var near, far []string
	for i := range g.links.Len() {
		id, l := g.links.At(i)
		e, ok := g.members.Get(id)
		switch {
		case !ok || !e.member.Ready || l.types < descriptor.TypeComparison:
		case e.member.Domain == g.self.Domain:
			near = append(near, id)
		default:
			far = append(far, id)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) > 0 {
		// The reviews ask different instances.
		id := near[g.reviews%len(near)]
		l, _ := g.links.Get(id)
		g.sendDigest(id, l, documents)
	}
}

// reviewing reports whether the introduction was so short ago that buckets that differ count at
// once.
func (g *Gossiper) reviewing() bool {
	return g.lastTick.Sub(g.introducedAt) < reviewTime
}

// maxEarly bounds the changes that are kept during an introduction.
const maxEarly = 1024

// earlyChange is a change of a member that is not known yet.
type earlyChange struct {
	from   string
	change descriptor.MemberChange
}

// keep keeps a change until all records have arrived, which may be older than it.
func (i *introduction) keep(from string, c descriptor.MemberChange) {
	if len(i.early) < maxEarly {
		i.early = append(i.early, earlyChange{from: from, change: c})
	}
}
