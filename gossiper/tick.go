package gossiper

import (
	"sort"
	"time"

	"monsoonswitch/container"
	"monsoonswitch/descriptor"
)

// Tick sends heartbeats and digests, suspects silent instances, declares suspected
// ones dead and spreads changes. documents is the digest of the documents, which is
// sent together with that of the members.
func (g *Gossiper) Tick(now time.Time, documents container.BucketSums) {
	g.compensatePause(now)
	if g.ringChanged {
		g.chooseWatched(now)
	}
	g.sendHeartbeats(now, documents)
	g.suspectSilent(now)
	g.confirmDead(now)
	g.retryRequests(now)
	g.review(now, documents)
	g.Flush()
}

// minPause is the time between two ticks above which this process is assumed to
// have been suspended.
const minPause = time.Second

// compensatePause subtracts a suspension of this process from the silence of
// the other instances, because their messages could not be received during that
// time. It also drops expired accusers.
func (g *Gossiper) compensatePause(now time.Time) {
	gap := now.Sub(g.lastTick)
	if !g.lastTick.IsZero() && gap > minPause {
		for i := range g.links.Len() {
			_, l := g.links.At(i)
			g.links.SetAt(i, l.WithReceived(l.receivedAt.Add(gap)))
		}
		for i := range g.watchedAt.Len() {
			_, at := g.watchedAt.At(i)
			g.watchedAt.SetAt(i, at.Add(gap))
		}
	}
	g.lastTick = now
	for id, at := range g.accusers {
		if now.Sub(at) >= accuserRetention {
			delete(g.accusers, id)
		}
	}
}

// chooseWatched selects the instances to watch: those at distances 1, 2, 4, ...
// on the ring. Each instance then has as many watchers, and a change reaches
// all instances in a logarithmic number of steps.
func (g *Gossiper) chooseWatched(now time.Time) {
	g.ringChanged = false
	self := positionOf(g.self)
	i := sort.Search(len(g.ring), func(i int) bool { return !less(g.ring[i], self) })
	n := len(g.ring)
	var watched []string
	var peers []descriptor.Member
	for distance := 1; distance < n; distance *= 2 {
		id := g.ring[(i+distance)%n].id
		if id == g.self.ID || contains(watched, id) {
			continue
		}
		watched = append(watched, id)
		e, _ := g.members.Get(id)
		peers = append(peers, e.member)
		if !contains(g.watched, id) {
			// LinkClosed may have set an older time while it was not watched.
			g.watchedAt.Put(id, now)
		}
	}
	g.watched = watched
	g.watchers = g.watchersOf(i, n)
	for _, id := range unwatched(g, watched) {
		g.watchedAt.Delete(id)
	}
	g.actions = append(g.actions, descriptor.Connect{Peers: peers, Known: len(g.ring)})
}

// watchersOf returns the instances that watch the one at position i of a ring of n
// instances, provided that they know the same ring.
func (g *Gossiper) watchersOf(i, n int) map[string]bool {
	result := make(map[string]bool)
	for distance := 1; distance < n; distance *= 2 {
		result[g.ring[(i-distance+n)%n].id] = true
	}
	return result
}

func unwatched(g *Gossiper, watched []string) []string {
	var result []string
	for id := range g.watchedAt.All {
		if !contains(watched, id) {
			result = append(result, id)
		}
	}
	return result
}

// sendHeartbeats sends the heartbeats and digests whose interval has passed.
func (g *Gossiper) sendHeartbeats(now time.Time, documents container.BucketSums) {
	every := DigestInterval(g.links.Len())
	for i := range g.links.Len() {
		id, l := g.links.At(i)
		if now.Sub(l.heartbeatAt) < g.heartbeatIntervalOf(id, now) {
			continue
		}
		g.sequence++
		g.send(id, descriptor.Heartbeat{Sequence: g.sequence})
		l = l.WithHeartbeat(now)
		if now.Sub(l.digestAt) >= every && (g.watchers[id] || contains(g.watched, id)) {
			g.sendDigest(id, l, documents)
			l = l.WithDigest(now)
		}
		g.links.SetAt(i, l)
	}
}

// heartbeatIntervalOf returns the time between heartbeats on a link. It is
// heartbeatInterval for the watchers of this instance, for instances that suspected
// it within accuserRetention, and for all links while no watchers are known. It is
// twice as long for the instances that this one watches, which may become watchers,
// and ten times as long for other links.
func (g *Gossiper) heartbeatIntervalOf(id string, now time.Time) time.Duration {
	switch {
	case g.watchers[id] || len(g.watchers) == 0 || now.Sub(g.accusers[id]) < accuserRetention:
		return heartbeatInterval
	case contains(g.watched, id):
		return 2 * heartbeatInterval
	}
	return 10 * heartbeatInterval
}

// suspectSilent suspects the watched instances that were silent for silenceTimeout.
func (g *Gossiper) suspectSilent(now time.Time) {
	for _, id := range g.watched {
		e, ok := g.members.Get(id)
		if !ok || e.member.State >= descriptor.Dead || contains(e.member.Accusers, g.self.ID) {
			continue
		}
		if now.Sub(g.lastReceived(id, now)) < g.silenceTimeoutOf(e.member) {
			continue
		}
		accusers := union([]string{g.self.ID}, e.member.Accusers)
		g.store(e.member.WithState(descriptor.Suspect, accusers), now)
	}
}

// silenceTimeoutOf returns the time of silence after which a member is suspected. It is shorter
// if another instance suspects the member and this one has only just begun to watch it: while
// many instances restart, an instance watches another one for a few seconds only, and a second
// accuser would be missing for long.
func (g *Gossiper) silenceTimeoutOf(m descriptor.Member) time.Duration {
	l, _ := g.links.Get(m.ID)
	if chosen, ok := g.watchedAt.Get(m.ID); ok && m.State == descriptor.Suspect && chosen.After(l.receivedAt) {
		return accusedTimeout
	}
	return silenceTimeout
}

// lastReceived returns when a watched instance was last heard of. An instance that was just
// chosen may have sent nothing for long on an open link, since it sends heartbeats every second
// to its watchers only. It gets the same time as one without a link.
func (g *Gossiper) lastReceived(id string, now time.Time) time.Time {
	l, linked := g.links.Get(id)
	chosen, watched := g.watchedAt.Get(id)
	switch {
	case linked && l.receivedAt.After(chosen):
		return l.receivedAt
	case watched:
		return chosen
	}
	return now
}

// confirmDead declares instances dead that enough others suspect and that did not
// refute it in time, and drops expired records of dead and left instances.
func (g *Gossiper) confirmDead(now time.Time) {
	needed := min(minAccusers, max(1, len(g.ring)-2))
	var dead []descriptor.Member
	var forgotten []string
	for id, e := range g.members.All {
		age := now.Sub(e.since)
		if e.member.State == descriptor.Suspect && age >= refutationTimeout && len(e.member.Accusers) >= needed {
			dead = append(dead, e.member)
		}
		if e.member.State >= descriptor.Dead && age >= deadRetention {
			forgotten = append(forgotten, id)
		}
	}
	for _, m := range dead {
		g.store(m.WithState(descriptor.Dead, m.Accusers), now)
	}
	for _, id := range forgotten {
		e, _ := g.members.Get(id)
		g.marked.Delete(e.member.Mark())
		g.members.Delete(id)
	}
}

// Flush sends the changed records to the instances that changes are spread to.
func (g *Gossiper) Flush() {
	if g.pending.Len() == 0 {
		return
	}
	for _, to := range g.spreadTargets() {
		var records []descriptor.Member
		for id, sources := range g.pending.All {
			if e, ok := g.members.Get(id); ok && !contains(sources, to) {
				records = append(records, e.member)
			}
		}
		g.sendChanges(to, records)
	}
	g.pending = container.NewTable[string, []string]()
}

// spreadTargets returns the instances that changes are sent to. These are the
// linked ones among the watched instances, which is enough to reach all
// instances. If fewer than minSpreadPeers of them are linked, changes are sent
// over all links.
func (g *Gossiper) spreadTargets() []string {
	var result []string
	for _, id := range g.watched {
		if g.links.Has(id) {
			result = append(result, id)
		}
	}
	if len(result) < min(minSpreadPeers, len(g.watched)) || len(result) == 0 {
		return g.Links()
	}
	return result
}

// minSpreadPeers is the number of linked watched instances from which on
// changes are sent to these only.
const minSpreadPeers = 2
