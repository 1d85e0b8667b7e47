// Package gossiper decides which instances are members of the fleet. Each
// instance watches a bounded number of others; changes spread over their links.
package gossiper

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoonswitch/container"
	"monsoonswitch/descriptor"
)

// Times and bounds of membership.
const (
	// heartbeatEvery is the time between heartbeats on a link.
	heartbeatEvery = time.Second
	// silenceLimit is the silence after which an instance is accused.
	silenceLimit = 3 * time.Second
	// refuteTime is how long an accused instance has to refute.
	refuteTime = 3 * time.Second
	// accuserTime is how long one that suspected this instance is taken to watch it.
	accuserTime = 5 * time.Minute
	// forgetTime is how long the record of a dead instance is kept.
	forgetTime = 10 * time.Minute
	// accusersNeeded is the number of instances that must agree.
	accusersNeeded = 2
	// maxRecords bounds the records of one message.
	maxRecords = 256
	// maxWelcome is the number of members up to which an instance that just
	// started is told of all; in larger fleets digests do that bucket by bucket.
	maxWelcome = 512
	// digestLeast is the least time between digests on a link, and digestShare
	// that between digests on any link.
	digestLeast = 10 * time.Second
	digestShare = 1200 * time.Millisecond
)

// DigestInterval returns the time between digests on one of a number of links:
// the more links, the more others compare.
func DigestInterval(links int) time.Duration {
	return max(digestLeast, time.Duration(links)*digestShare)
}

// entry is what this instance knows of a member.
type entry struct {
	member descriptor.Member
	// since is when the state of the record changed last.
	since time.Time
}

// link is an open link to an instance.
type link struct {
	// heard is when the last message came.
	heard time.Time
	// beaten is when the last heartbeat was sent.
	beaten time.Time
	// digested is when the last digest was sent.
	digested time.Time
	// differing is the set of buckets in which the last digest differed.
	differing uint64
}

// WithHeard returns l after a message at t.
func (l link) WithHeard(t time.Time) link {
	l.heard = t
	return l
}

// WithBeat returns l after a heartbeat at t.
func (l link) WithBeat(t time.Time) link {
	l.beaten = t
	return l
}

// WithDiffering returns l after a digest that differed in a set of buckets.
func (l link) WithDiffering(set uint64) link {
	l.differing = set
	return l
}

// WithDigest returns l after a digest at t.
func (l link) WithDigest(t time.Time) link {
	l.digested = t
	return l
}

// spot is the place of a member on the ring.
type spot struct {
	hash uint64
	id   string
}

// Change is a member whose record changed.
type Change struct{ Before, After descriptor.Member }

// Gossiper holds the members known to one instance. It belongs to one goroutine.
type Gossiper struct {
	self    descriptor.Member
	members *container.Table[string, entry]
	links   *container.Table[string, link]
	// ring holds the members that are not dead or left, sorted by hash.
	ring []spot
	// wanted holds the IDs of the instances that this one watches.
	wanted []string
	// watchers holds the instances that watch this one, if they know the same
	// members.
	watchers map[string]bool
	// accusers holds when instances last suspected this one: they watch it, whatever
	// members they know.
	accusers map[string]time.Time
	// wantedAt is when each was first wanted without being heard.
	wantedAt *container.Table[string, time.Time]
	// ticked is when the last tick was.
	ticked time.Time
	// source is the instance whose records are taken in now.
	source string
	// pending holds the members whose records changed since the last flush, with
	// the instance that told of each.
	pending  *container.Table[string, string]
	sequence uint64
	// digest sums up all records.
	digest  container.Sums
	stale   bool
	changes []Change
	actions []descriptor.Action
}

// New returns a gossiper that knows its own instance only.
func New(self descriptor.Member, now time.Time) *Gossiper {
	g := &Gossiper{
		self:     self,
		members:  container.NewTable[string, entry](),
		links:    container.NewTable[string, link](),
		wantedAt: container.NewTable[string, time.Time](),
		pending:  container.NewTable[string, string](),
		accusers: make(map[string]time.Time),
	}
	g.store(self, now)
	return g
}

// Self returns the record of this instance.
func (g *Gossiper) Self() descriptor.Member { return g.self }

// Member returns the record of an instance.
func (g *Gossiper) Member(id string) (descriptor.Member, bool) {
	e, ok := g.members.Get(id)
	return e.member, ok
}

// Members returns all records.
func (g *Gossiper) Members() []descriptor.Member {
	result := make([]descriptor.Member, 0, g.members.Len())
	for _, e := range g.members.All {
		result = append(result, e.member)
	}
	return result
}

// Digest sums up all records.
func (g *Gossiper) Digest() container.Sums { return g.digest }

// Linked tells whether there is a link to an instance.
func (g *Gossiper) Linked(id string) bool { return g.links.Has(id) }

// Links returns the instances linked to.
func (g *Gossiper) Links() []string {
	result := make([]string, 0, g.links.Len())
	for id := range g.links.All {
		result = append(result, id)
	}
	sort.Strings(result)
	return result
}

// Drain returns the actions and the changes since the last call.
func (g *Gossiper) Drain() ([]descriptor.Action, []Change) {
	actions, changes := g.actions, g.changes
	g.actions = nil
	g.changes = nil
	return actions, changes
}

// SetReady spreads whether this instance serves callers.
func (g *Gossiper) SetReady(now time.Time, ready bool) {
	if g.self.Ready != ready {
		g.restate(now, g.self.WithReady(ready))
	}
}

// Leave spreads that this instance left, and the heir of its keys.
func (g *Gossiper) Leave(now time.Time, heir string) {
	g.restate(now, g.self.WithReady(false).WithHeir(heir).WithState(descriptor.Left, nil))
	g.Flush()
}

// restate replaces the own record by a newer version.
func (g *Gossiper) restate(now time.Time, m descriptor.Member) {
	g.self = m.WithVersion(g.self.Version + 1)
	g.store(g.self, now)
}

// LinkOpened takes in a link to an instance.
func (g *Gossiper) LinkOpened(e descriptor.LinkOpened) {
	before, known := g.members.Get(e.Peer.ID)
	g.links.Put(e.Peer.ID, link{heard: e.At})
	g.merge(e.Peer, e.At)
	if known && before.member.Incarnation == e.Peer.Incarnation || g.members.Len() > maxWelcome {
		g.send(e.Peer.ID, descriptor.Members{Records: []descriptor.Member{g.self}})
		return
	}
	// One that just started learns of everybody at once.
	g.sendRecords(e.Peer.ID, g.living())
}

// living returns the records of the members that are not given up.
func (g *Gossiper) living() []descriptor.Member {
	var result []descriptor.Member
	for _, e := range g.members.All {
		if e.member.State < descriptor.Dead {
			result = append(result, e.member)
		}
	}
	return result
}

// LinkClosed takes in that there is no link to an instance any more.
func (g *Gossiper) LinkClosed(e descriptor.LinkClosed) {
	g.links.Delete(e.Peer)
	g.wantedAt.Put(e.Peer, e.At)
}

// Heard takes in that an instance sent anything. The end of an older link may be
// told after the begin of this one, so a link is also known from what comes over it.
func (g *Gossiper) Heard(now time.Time, from string) {
	if l, ok := g.links.Get(from); ok || g.members.Has(from) {
		g.links.Put(from, l.WithHeard(now))
	}
}

// HearMembers takes in records. A message that holds every record of some
// buckets is answered with the records that it lacks or has in older versions.
func (g *Gossiper) HearMembers(now time.Time, from string, m descriptor.Members) {
	g.source = from
	defer func() { g.source = "" }()
	seen := make(map[string]descriptor.Member, len(m.Records))
	for _, r := range m.Records {
		seen[r.ID] = r
		g.merge(r, now)
	}
	if m.Buckets == 0 {
		return
	}
	var missing []descriptor.Member
	for _, r := range g.bucketRecords(m.Buckets) {
		if other, ok := seen[r.ID]; !ok || r.Newer(other) {
			missing = append(missing, r)
		}
	}
	g.sendRecords(from, missing)
}

// HearDigest answers a digest with the records of the buckets that differ. A
// change on its way makes digests differ for a moment, so only a difference
// that stays or a large one counts.
func (g *Gossiper) HearDigest(from string, digest container.Sums) {
	l, ok := g.links.Get(from)
	if !ok {
		return
	}
	differing := g.digest.Differ(digest)
	lasting := differing & l.differing
	if g.digest.Far(digest) {
		lasting = differing
	}
	g.links.Put(from, l.WithDiffering(differing))
	for bucket := range container.Buckets {
		if set := lasting & (1 << bucket); set != 0 {
			g.send(from, descriptor.Members{Records: g.bucketRecords(set), Buckets: set})
		}
	}
}

// bucketRecords returns the records in a set of buckets.
func (g *Gossiper) bucketRecords(set uint64) []descriptor.Member {
	var result []descriptor.Member
	for id, e := range g.members.All {
		if container.InBuckets(set, xxhash.Sum64String(id)) {
			result = append(result, e.member)
		}
	}
	return result
}

func (g *Gossiper) sendRecords(to string, records []descriptor.Member) {
	for len(records) > 0 {
		n := min(len(records), maxRecords)
		g.send(to, descriptor.Members{Records: records[:n]})
		records = records[n:]
	}
}

func (g *Gossiper) send(to string, m descriptor.Message) {
	e, ok := g.members.Get(to)
	if ok {
		g.actions = append(g.actions, descriptor.Send{To: e.member, Message: m})
	}
}

// merge takes in one record.
func (g *Gossiper) merge(m descriptor.Member, now time.Time) {
	if m.ID == g.self.ID {
		g.mergeSelf(m, now)
		return
	}
	e, ok := g.members.Get(m.ID)
	if !ok {
		if m.State < descriptor.Dead {
			g.store(m, now)
		}
		return
	}
	if m.Newer(e.member) {
		if m.Incarnation == e.member.Incarnation && m.Version == e.member.Version {
			m.Accusers = union(m.Accusers, e.member.Accusers)
		}
		g.store(m, now)
		return
	}
	if sameVersion(m, e.member) && m.State == descriptor.Suspect && e.member.State == descriptor.Suspect {
		accusers := union(m.Accusers, e.member.Accusers)
		if len(accusers) > len(e.member.Accusers) {
			g.store(e.member.WithState(descriptor.Suspect, accusers), now)
		}
	}
}

func sameVersion(a, b descriptor.Member) bool {
	return a.Incarnation == b.Incarnation && a.Version == b.Version
}

// mergeSelf refutes what others believe of this instance if it is wrong.
func (g *Gossiper) mergeSelf(m descriptor.Member, now time.Time) {
	if g.self.State == descriptor.Left {
		return
	}
	if m.Incarnation > g.self.Incarnation {
		// The clock of an earlier start was ahead of the present one.
		g.self.Incarnation = m.Incarnation + 1
		g.restate(now, g.self)
		return
	}
	if m.Incarnation < g.self.Incarnation {
		return
	}
	for _, id := range m.Accusers {
		g.accusers[id] = now
	}
	if m.Version > g.self.Version || m.Version == g.self.Version && m.State != g.self.State {
		g.self = g.self.WithVersion(m.Version)
		g.restate(now, g.self)
	}
}

// union returns the accusers in either list, sorted, at most MaxAccusers.
func union(a, b []string) []string {
	result := append([]string(nil), a...)
	for _, id := range b {
		if !contains(result, id) {
			result = append(result, id)
		}
	}
	sort.Strings(result)
	return result[:min(len(result), descriptor.MaxAccusers)]
}

func contains(list []string, id string) bool {
	for _, v := range list {
		if v == id {
			return true
		}
	}
	return false
}

// store replaces a record and marks it for spreading.
func (g *Gossiper) store(m descriptor.Member, now time.Time) {
	before, ok := g.members.Get(m.ID)
	since := now
	if ok {
		g.digest = without(g.digest, before.member)
		if before.member.State == m.State && before.member.Incarnation == m.Incarnation {
			since = before.since
		}
	}
	g.digest = with(g.digest, m)
	g.members.Put(m.ID, entry{member: m, since: since})
	g.pending.Put(m.ID, g.source)
	g.changes = append(g.changes, Change{Before: before.member, After: m})
	g.place(m)
}

// with adds a record to a digest. Dead members are left out: instances forget
// them at different times.
func with(s container.Sums, m descriptor.Member) container.Sums {
	if m.State >= descriptor.Dead {
		return s
	}
	return s.With(xxhash.Sum64String(m.ID), recordHash(m))
}

func without(s container.Sums, m descriptor.Member) container.Sums {
	if m.State >= descriptor.Dead {
		return s
	}
	return s.Without(xxhash.Sum64String(m.ID), recordHash(m))
}

// recordHash sums up a record. Accusers are left out: they differ for a while.
func recordHash(m descriptor.Member) uint64 {
	h := xxhash.Sum64String(m.ID)
	h = h*31 + uint64(m.Incarnation)
	h = h*31 + uint64(m.Version)
	return h*31 + uint64(m.State)
}

// place keeps the ring in step with a record.
func (g *Gossiper) place(m descriptor.Member) {
	s := spot{hash: xxhash.Sum64String(m.ID), id: m.ID}
	i := sort.Search(len(g.ring), func(i int) bool { return !less(g.ring[i], s) })
	present := i < len(g.ring) && g.ring[i] == s
	wanted := m.State < descriptor.Dead
	switch {
	case wanted && !present:
		g.ring = append(g.ring, spot{})
		copy(g.ring[i+1:], g.ring[i:])
		g.ring[i] = s
		g.stale = true
	case !wanted && present:
		g.ring = append(g.ring[:i], g.ring[i+1:]...)
		g.stale = true
	}
}

func less(a, b spot) bool {
	if a.hash != b.hash {
		return a.hash < b.hash
	}
	return a.id < b.id
}
