// Package gossiper maintains the membership of the fleet. Each instance monitors a
// bounded number of others, and changes of records spread over their links.
package gossiper

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoonswitch/container"
	"monsoonswitch/descriptor"
)

// Intervals and limits of the membership protocol.
const (
	// heartbeatInterval is the time between heartbeats to a watcher.
	heartbeatInterval = time.Second
	// silenceTimeout is the time without a message after which a watched instance
	// is suspected.
	silenceTimeout = 3 * time.Second
	// accusedTimeout is that time for an instance that this one has only just begun to watch
	// and that another one suspects already. It is two heartbeats.
	accusedTimeout = 2 * time.Second
	// refutationTimeout is the time that a suspected instance has to refute the
	// suspicion before it is declared dead.
	refutationTimeout = 3 * time.Second
	// accuserRetention is the time for which an instance that suspected this one is
	// treated as one of its watchers.
	accuserRetention = 5 * time.Minute
	// deadRetention is the time for which the record of a dead or left instance is
	// kept.
	deadRetention = 10 * time.Minute
	// minAccusers is the number of instances that must suspect an instance
	// before it is declared dead; small fleets need fewer.
	minAccusers = 2
	// incarnationStep is the step, in microseconds, by which an instance raises its
	// incarnation to replace the record of an earlier start. Starts at different times
	// thereby get different incarnations.
	incarnationStep = 1 << 20
	// maxMessageRecords is the maximum number of records in one message.
	maxMessageRecords = 256
	// maxInitialMembers is the number of members up to which an instance that just
	// started is sent all records at once. In larger fleets it receives them
	// bucket by bucket after digests.
	maxInitialMembers = 512
	// introducedRatio is the inverse of the part of the members that an instance must know
	// to be sent only the record of the other end of a new link. It learns of the others
	// from the changes that spread, and from digests.
	introducedRatio = 2
	// minDigestInterval is the minimum time between digests on one link.
	// digestIntervalPerLink is the minimum mean time between digests over all links
	// together: the interval on each link is at least this times the number of links.
	minDigestInterval     = 10 * time.Second
	digestIntervalPerLink = 1200 * time.Millisecond
)

// DigestInterval returns the time between digests on each of the given number of
// links. It grows with that number, because every link is a comparison with
// another instance.
func DigestInterval(links int) time.Duration {
	return max(minDigestInterval, time.Duration(links)*digestIntervalPerLink)
}

// entry is the record of a member with local bookkeeping.
type entry struct {
	member descriptor.Member
	// since is the time of the last change of the member's state or incarnation.
	since time.Time
}

// link is the state of an open link to an instance.
type link struct {
	// receivedAt is the time of the last message received.
	receivedAt time.Time
	// heartbeatAt is the time of the last heartbeat sent.
	heartbeatAt time.Time
	// digestAt is the time of the last digest sent.
	digestAt time.Time
	// differing is the set of buckets in which the last received digest differed.
	differing uint64
	// types is the largest message type that the peer is known to decode.
	types descriptor.MessageType
}

// WithReceived returns l after a message was received at t.
func (l link) WithReceived(t time.Time) link {
	l.receivedAt = t
	return l
}

// WithHeartbeat returns l after a heartbeat was sent at t.
func (l link) WithHeartbeat(t time.Time) link {
	l.heartbeatAt = t
	return l
}

// WithDiffering returns l after a received digest differed in a set of buckets.
func (l link) WithDiffering(set uint64) link {
	l.differing = set
	return l
}

// WithTypes returns l after the peer showed that it decodes message types up to t.
func (l link) WithTypes(t descriptor.MessageType) link {
	l.types = max(l.types, t)
	return l
}

// WithDigest returns l after a digest was sent at t.
func (l link) WithDigest(t time.Time) link {
	l.digestAt = t
	return l
}

// ringPosition is the position of a member on the ring. Members of one failure domain are
// neighbors, so that most links and most bytes stay within it; the longer distances lead to
// others.
type ringPosition struct {
	domain string
	hash   uint64
	id     string
}

func positionOf(m descriptor.Member) ringPosition {
	return ringPosition{domain: m.Domain, hash: xxhash.Sum64String(m.ID), id: m.ID}
}

// Change is a change of a member's record. Before is zero for a new member.
type Change struct{ Before, After descriptor.Member }

// Gossiper holds the members known to one instance. It is not safe for concurrent
// use.
type Gossiper struct {
	self    descriptor.Member
	members *container.Table[string, entry]
	links   *container.Table[string, link]
	// ring holds the members that are neither dead nor left, sorted by hash.
	ring []ringPosition
	// watched holds the IDs of the instances that this one monitors.
	watched []string
	// watchers holds the instances that monitor this one, provided that they know
	// the same members.
	watchers map[string]bool
	// accusers holds the time at which each instance last suspected this one.
	// Such an instance monitors this one even if the lists of members differ.
	accusers map[string]time.Time
	// watchedAt holds the time at which each watched instance was chosen or its
	// last link was closed. silenceTimeout runs from this time at the earliest.
	watchedAt *container.Table[string, time.Time]
	// lastTick is the time of the last tick.
	lastTick time.Time
	// source is the instance whose records are being merged, or empty.
	source string
	// pending holds the members whose records changed since the last flush, with
	// the instances that sent each change.
	pending *container.Table[string, []string]
	// marked holds the member of each mark, and wanted the marks of members that are not
	// known and whose records were requested.
	marked *container.Table[uint64, string]
	wanted *container.Table[uint64, wantedRecord]
	// introduction is how far this instance is in learning of all members from another one.
	introduction introduction
	// introducer is the instance that answered the last introduction, introducedAt is when
	// that ended, or the start of this instance, and reviews counts the comparisons since.
	introducer string
	// answers holds when this instance sent all members to one that starts, lately.
	answers      []time.Time
	introducedAt time.Time
	reviews      int
	// startedAt is the start of this instance.
	startedAt time.Time
	sequence  uint64
	// digest holds the hash sums of the records of all members that are neither
	// dead nor left.
	digest container.BucketSums
	// callers is the hash of the instances that callers are sent to; see SetCallers.
	callers uint64
	// ringChanged is set when the ring changed since the watched instances were
	// chosen.
	ringChanged bool
	changes     []Change
	actions     []descriptor.Action
}

// New returns a gossiper that knows only its own instance.
func New(self descriptor.Member, now time.Time) *Gossiper {
	g := &Gossiper{
		self:      self,
		members:   container.NewTable[string, entry](),
		links:     container.NewTable[string, link](),
		watchedAt: container.NewTable[string, time.Time](),
		pending:   container.NewTable[string, []string](),
		marked:    container.NewTable[uint64, string](),
		wanted:    container.NewTable[uint64, wantedRecord](),
		accusers:  make(map[string]time.Time),

		introducedAt: now, startedAt: now,
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

// Digest returns the hash sums of the records of all members that are neither dead
// nor left.
func (g *Gossiper) Digest() container.BucketSums { return g.digest }

// Linked reports whether there is an open link to an instance.
func (g *Gossiper) Linked(id string) bool { return g.links.Has(id) }

// Links returns the IDs of the instances with an open link, sorted.
func (g *Gossiper) Links() []string {
	result := make([]string, 0, g.links.Len())
	for id := range g.links.All {
		result = append(result, id)
	}
	sort.Strings(result)
	return result
}

// Drain returns the actions and changes collected since the last call and clears
// them.
func (g *Gossiper) Drain() ([]descriptor.Action, []Change) {
	actions, changes := g.actions, g.changes
	g.actions = nil
	g.changes = nil
	return actions, changes
}

// SetReady publishes whether this instance serves callers.
func (g *Gossiper) SetReady(now time.Time, ready bool) {
	if g.self.Ready != ready {
		g.updateSelf(now, g.self.WithReady(ready))
	}
}

// Leave publishes that this instance left, and the successor for its keys.
func (g *Gossiper) Leave(now time.Time, successor string) {
	g.updateSelf(now, g.self.WithReady(false).WithSuccessor(successor).WithState(descriptor.Left, nil))
	g.Flush()
}

// updateSelf replaces the record of this instance with m under a new version.
func (g *Gossiper) updateSelf(now time.Time, m descriptor.Member) {
	g.self = m.WithVersion(g.self.Version + 1)
	g.store(g.self, now)
}

// LinkClosed handles the loss of the last link to an instance.
func (g *Gossiper) LinkClosed(e descriptor.LinkClosed) {
	g.links.Delete(e.Peer)
	g.watchedAt.Put(e.Peer, e.At)
}

// RecordReceived records that a message from an instance was received. It also
// restores a missing link entry, because the close of an older link may be reported
// after a newer link was opened.
func (g *Gossiper) RecordReceived(now time.Time, from string) {
	if l, ok := g.links.Get(from); ok || g.members.Has(from) {
		g.links.Put(from, l.WithReceived(now))
	}
}

// HandleMembers merges received records. If the message is complete for some
// buckets, the answer carries the records of these buckets that the sender lacks
// or holds in older versions.
func (g *Gossiper) HandleMembers(now time.Time, from string, m descriptor.Members) {
	g.mergeRecords(now, from, m.Records, m.Buckets)
	g.endIntroduction(now, from, m.Records)
}

// HandleDigest answers a digest with the records of the buckets that differ.
func (g *Gossiper) HandleDigest(from string, digest container.BucketSums) {
	if l, ok := g.links.Get(from); ok {
		g.sendDiffering(from, l, g.digest.Differ(digest), g.digest.DiffersWidely(digest))
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
		n := min(len(records), maxMessageRecords)
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

// merge applies one received record.
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
	// Either record may lack what the other one tells of their incarnation.
	held := e.member.WithMissing(m)
	m = m.WithMissing(held)
	if m.Newer(e.member) {
		if m.Incarnation == e.member.Incarnation && m.Version == e.member.Version {
			m.Accusers = union(m.Accusers, e.member.Accusers)
		}
		g.store(m, now)
		return
	}
	if held.Capacity != e.member.Capacity {
		g.store(held, now)
		e.member = held
	}
	g.noteSource(m, e.member)
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

// mergeSelf applies a received record of this instance, and publishes a newer one
// if the received one is wrong.
func (g *Gossiper) mergeSelf(m descriptor.Member, now time.Time) {
	if g.self.State == descriptor.Left {
		return
	}
	if m.Incarnation > g.self.Incarnation {
		// An earlier start of this instance had a clock ahead of the present one.
		g.self.Incarnation += (m.Incarnation-g.self.Incarnation)/incarnationStep*incarnationStep + incarnationStep
		g.updateSelf(now, g.self)
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
		g.updateSelf(now, g.self)
	}
}

// union returns the accusers in either list, sorted and limited to MaxAccusers.
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

// store replaces a record and queues it for the next flush.
func (g *Gossiper) store(m descriptor.Member, now time.Time) {
	before, ok := g.members.Get(m.ID)
	since := now
	if ok {
		g.digest = removeRecord(g.digest, before.member)
		if before.member.State == m.State && before.member.Incarnation == m.Incarnation {
			since = before.since
		}
	}
	g.digest = addRecord(g.digest, m)
	g.members.Put(m.ID, entry{member: m, since: since})
	g.pending.Put(m.ID, []string{g.source})
	g.marked.Put(m.Mark(), m.ID)
	g.wanted.Delete(m.Mark())
	g.changes = append(g.changes, Change{Before: before.member, After: m})
	g.updateRing(m)
}

// addRecord adds a record to hash sums. Records of dead and left members are
// omitted, because instances drop them at different times.
func addRecord(s container.BucketSums, m descriptor.Member) container.BucketSums {
	if m.State >= descriptor.Dead {
		return s
	}
	return s.With(xxhash.Sum64String(m.ID), recordHash(m))
}

func removeRecord(s container.BucketSums, m descriptor.Member) container.BucketSums {
	if m.State >= descriptor.Dead {
		return s
	}
	return s.Without(xxhash.Sum64String(m.ID), recordHash(m))
}

// recordHash returns the hash of a record. Accusers are omitted, because they
// differ between instances while a suspicion spreads. Of what belongs to an incarnation only the
// capacity may be missing at an instance; known ones leave the hash as in earlier builds.
func recordHash(m descriptor.Member) uint64 {
	h := xxhash.Sum64String(m.ID)
	h = h*31 + uint64(m.Incarnation)
	h = h*31 + uint64(m.Version)
	if m.Capacity <= 0 {
		h = h*31 + 1
	}
	return container.Scramble(h*31 + uint64(m.State))
}

// updateRing adds the member of a record to the ring or removes it, by its state.
func (g *Gossiper) updateRing(m descriptor.Member) {
	s := positionOf(m)
	i := sort.Search(len(g.ring), func(i int) bool { return !less(g.ring[i], s) })
	present := i < len(g.ring) && g.ring[i] == s
	listed := m.State < descriptor.Dead
	switch {
	case listed && !present:
		g.ring = append(g.ring, ringPosition{})
		copy(g.ring[i+1:], g.ring[i:])
		g.ring[i] = s
		g.ringChanged = true
	case !listed && present:
		g.ring = append(g.ring[:i], g.ring[i+1:]...)
		g.ringChanged = true
	}
}

func less(a, b ringPosition) bool {
	if a.domain != b.domain {
		return a.domain < b.domain
	}
	if a.hash != b.hash {
		return a.hash < b.hash
	}
	return a.id < b.id
}
