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
	if g.stale {
		g.choose(now)
	}
	g.beat(now, documents)
	g.accuse(now)
	g.confirm(now)
	g.Flush()
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
	for _, id := range keysNotIn(g, wanted) {
		g.wantedAt.Delete(id)
	}
	g.actions = append(g.actions, descriptor.Connect{Peers: peers})
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
		if now.Sub(l.beaten) < heartbeatEvery {
			continue
		}
		g.sequence++
		g.send(id, descriptor.Heartbeat{Sequence: g.sequence})
		l = l.WithBeat(now)
		if now.Sub(l.digested) >= every {
			g.send(id, descriptor.Digest{Members: g.digest, Documents: documents})
			l = l.WithDigest(now)
		}
		g.links.SetAt(i, l)
	}
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
	var records []descriptor.Member
	for id := range g.pending.All {
		if e, ok := g.members.Get(id); ok {
			records = append(records, e.member)
		}
	}
	for _, id := range g.pendingIDs() {
		g.pending.Delete(id)
	}
	for _, id := range g.Links() {
		g.sendRecords(id, records)
	}
}

func (g *Gossiper) pendingIDs() []string {
	ids := make([]string, 0, g.pending.Len())
	for id := range g.pending.All {
		ids = append(ids, id)
	}
	return ids
}
