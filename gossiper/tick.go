package gossiper

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoonswitch/container"
	"monsoonswitch/descriptor"
)

// Tick sends heartbeats, accuses silent instances and spreads changes.
func (g *Gossiper) Tick(now time.Time, documents container.Sums) {
	g.excuse(now)
	if g.stale {
		g.choose(now)
	}
	g.beat(now, documents)
	g.accuse(now)
	g.confirm(now)
	g.Flush()
}

// pauseLimit is the time between two ticks from which on this process must have
// been stopped in between.
const pauseLimit = time.Second

// excuse takes a time in which this process was stopped out of the silence of the
// others: it could not have heard them.
func (g *Gossiper) excuse(now time.Time) {
	gap := now.Sub(g.ticked)
	if !g.ticked.IsZero() && gap > pauseLimit {
		for i := range g.links.Len() {
			_, l := g.links.At(i)
			g.links.SetAt(i, l.WithHeard(l.heard.Add(gap)))
		}
		for i := range g.wantedAt.Len() {
			_, at := g.wantedAt.At(i)
			g.wantedAt.SetAt(i, at.Add(gap))
		}
	}
	g.ticked = now
	for id, at := range g.accusers {
		if now.Sub(at) >= accuserTime {
			delete(g.accusers, id)
		}
	}
}

// choose picks the instances to watch: those at distances 1, 2, 4, ... on the
// ring. Everyone is watched by as many, and a change reaches everyone in a
// logarithmic number of steps.
func (g *Gossiper) choose(now time.Time) {
	g.stale = false
	self := spot{hash: xxhash.Sum64String(g.self.ID), id: g.self.ID}
	i := sort.Search(len(g.ring), func(i int) bool { return !less(g.ring[i], self) })
	n := len(g.ring)
	var wanted []string
	var peers []descriptor.Member
	for distance := 1; distance < n; distance *= 2 {
		id := g.ring[(i+distance)%n].id
		if id == g.self.ID || contains(wanted, id) {
			continue
		}
		wanted = append(wanted, id)
		e, _ := g.members.Get(id)
		peers = append(peers, e.member)
		if !g.wantedAt.Has(id) {
			g.wantedAt.Put(id, now)
		}
	}
	g.wanted = wanted
	g.watchers = g.watchersOf(i, n)
	for _, id := range keysNotIn(g, wanted) {
		g.wantedAt.Delete(id)
	}
	g.actions = append(g.actions, descriptor.Connect{Peers: peers})
}

// watchersOf lists the instances that watch the one at position i of a ring of n
// instances, if they know the same ring.
func (g *Gossiper) watchersOf(i, n int) map[string]bool {
	result := make(map[string]bool)
	for distance := 1; distance < n; distance *= 2 {
		result[g.ring[(i-distance+n)%n].id] = true
	}
	return result
}

func keysNotIn(g *Gossiper, wanted []string) []string {
	var result []string
	for id := range g.wantedAt.All {
		if !contains(wanted, id) {
			result = append(result, id)
		}
	}
	return result
}

// beat sends heartbeats and digests that are due.
func (g *Gossiper) beat(now time.Time, documents container.Sums) {
	every := DigestInterval(g.links.Len())
	for i := range g.links.Len() {
		id, l := g.links.At(i)
		if now.Sub(l.beaten) < g.beatEvery(id, now) {
			continue
		}
		g.sequence++
		g.send(id, descriptor.Heartbeat{Sequence: g.sequence})
		l = l.WithBeat(now)
		if now.Sub(l.digested) >= every && (g.watchers[id] || contains(g.wanted, id)) {
			g.send(id, descriptor.Digest{Members: g.digest, Documents: documents})
			l = l.WithDigest(now)
		}
		g.links.SetAt(i, l)
	}
}

// beatEvery returns the time between heartbeats on a link: often to those that
// watch this instance, less often to those that may come to, and hardly ever on
// links that carry something else.
func (g *Gossiper) beatEvery(id string, now time.Time) time.Duration {
	switch {
	case g.watchers[id] || len(g.watchers) == 0 || now.Sub(g.accusers[id]) < accuserTime:
		return heartbeatEvery
	case contains(g.wanted, id):
		return 2 * heartbeatEvery
	}
	return 10 * heartbeatEvery
}

// accuse marks watched instances that were silent for too long.
func (g *Gossiper) accuse(now time.Time) {
	for _, id := range g.wanted {
		e, ok := g.members.Get(id)
		if !ok || e.member.State >= descriptor.Dead || contains(e.member.Accusers, g.self.ID) {
			continue
		}
		if now.Sub(g.lastHeard(id, now)) < silenceLimit {
			continue
		}
		accusers := union([]string{g.self.ID}, e.member.Accusers)
		g.store(e.member.WithState(descriptor.Suspect, accusers), now)
	}
}

func (g *Gossiper) lastHeard(id string, now time.Time) time.Time {
	if l, ok := g.links.Get(id); ok {
		return l.heard
	}
	if t, ok := g.wantedAt.Get(id); ok {
		return t
	}
	return now
}

// confirm gives up instances that enough others accuse and that did not refute,
// and forgets those that are gone for long.
func (g *Gossiper) confirm(now time.Time) {
	needed := min(accusersNeeded, max(1, len(g.ring)-2))
	var dead []descriptor.Member
	var forgotten []string
	for id, e := range g.members.All {
		age := now.Sub(e.since)
		if e.member.State == descriptor.Suspect && age >= refuteTime && len(e.member.Accusers) >= needed {
			dead = append(dead, e.member)
		}
		if e.member.State >= descriptor.Dead && age >= forgetTime {
			forgotten = append(forgotten, id)
		}
	}
	for _, m := range dead {
		g.store(m.WithState(descriptor.Dead, m.Accusers), now)
	}
	for _, id := range forgotten {
		g.members.Delete(id)
	}
}

// Flush spreads the changed records over all links.
func (g *Gossiper) Flush() {
	if g.pending.Len() == 0 {
		return
	}
	for _, to := range g.spreadTo() {
		var records []descriptor.Member
		for id, from := range g.pending.All {
			if e, ok := g.members.Get(id); ok && from != to {
				records = append(records, e.member)
			}
		}
		g.sendRecords(to, records)
	}
	g.pending = container.NewTable[string, string]()
}

// spreadTo lists the instances that changes go to: those that this one watches.
// They reach everyone by that; an instance without links to them tells all it has.
func (g *Gossiper) spreadTo() []string {
	var result []string
	for _, id := range g.wanted {
		if g.links.Has(id) {
			result = append(result, id)
		}
	}
	if len(result) < min(leastSpread, len(g.wanted)) || len(result) == 0 {
		return g.Links()
	}
	return result
}

// leastSpread is the number of watched instances linked to from which on changes
// go to these alone.
const leastSpread = 2
