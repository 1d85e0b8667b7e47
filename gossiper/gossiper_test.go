package gossiper

import (
	"fmt"
	"testing"
	"time"

	"monsoonswitch/asserter"
	"monsoonswitch/container"
	"monsoonswitch/descriptor"
)

// network simulates gossipers with links between them in fake time.
type network struct {
	t         *testing.T
	now       time.Time
	gossipers map[string]*Gossiper
	order     []string
	// cut holds the directions in which messages are lost, as sender and receiver.
	cut map[[2]string]bool
	// hidden holds, for each receiver, the members whose records are removed from
	// its messages.
	hidden map[string][]string
	// links holds the open links, as dialer and listener.
	links map[[2]string]bool
	// earlier holds the instances of an earlier build, which decodes no changes.
	earlier map[string]bool
	// domain is the prefix of the failure domain of instances that are added.
	domain string
	// onSend is called for each message that is delivered, unless it is nil.
	onSend func(from, to string, m descriptor.Message)
}

func newNetwork(t *testing.T, n int) *network { return newMixedNetwork(t, n) }

// newMixedNetwork returns a network in which some instances are of an earlier build.
func newMixedNetwork(t *testing.T, n int, earlier ...string) *network {
	x := &network{
		t:         t,
		now:       time.Unix(1000, 0),
		gossipers: make(map[string]*Gossiper),
		cut:       make(map[[2]string]bool),
		links:     make(map[[2]string]bool),
		earlier:   make(map[string]bool),
	}
	for _, id := range earlier {
		x.earlier[id] = true
	}
	for i := range n {
		x.add(fmt.Sprintf("n%02d", i), 1)
	}
	for _, id := range x.order[1:] {
		x.link(id, x.order[0])
	}
	x.run(10 * time.Second)
	return x
}

func (x *network) add(id string, incarnation int64) {
	if _, ok := x.gossipers[id]; !ok {
		x.order = append(x.order, id)
	}
	m := descriptor.Member{ID: id, Incarnation: incarnation, Domain: x.domain + "d", Inner: id}
	x.gossipers[id] = New(m, x.now)
	x.gossipers[id].SetReady(x.now, true)
}

func (x *network) link(from, to string) {
	if x.links[[2]string{from, to}] || x.gossipers[from] == nil || x.gossipers[to] == nil {
		return
	}
	x.links[[2]string{from, to}] = true
	a, b := x.opened(from, to), x.opened(to, from)
	x.gossipers[from].LinkOpened(b)
	x.gossipers[to].LinkOpened(a)
}

// opened returns the event of a new link to an instance at another one.
func (x *network) opened(id, at string) descriptor.LinkOpened {
	g := x.gossipers[id]
	e := descriptor.LinkOpened{At: x.now, Peer: g.Self(), Known: len(g.ring), Types: descriptor.TypeComparison}
	if x.earlier[id] || x.earlier[at] {
		e.Types = 0
	}
	return e
}

// kill removes an instance without an announced shutdown and closes its links.
func (x *network) kill(id string) {
	delete(x.gossipers, id)
	for pair := range x.links {
		other := pair[0]
		if other == id {
			other = pair[1]
		}
		if pair[0] != id && pair[1] != id {
			continue
		}
		delete(x.links, pair)
		if g := x.gossipers[other]; g != nil {
			g.LinkClosed(descriptor.LinkClosed{At: x.now, Peer: id})
		}
	}
}

func (x *network) run(d time.Duration) {
	for end := x.now.Add(d); x.now.Before(end); {
		x.now = x.now.Add(200 * time.Millisecond)
		for _, id := range x.order {
			if g := x.gossipers[id]; g != nil {
				g.Tick(x.now, container.BucketSums{})
				x.execute(id, g)
				for _, peer := range g.watched {
					x.link(id, peer)
				}
			}
		}
	}
}

func (x *network) execute(id string, g *Gossiper) {
	actions, _ := g.Drain()
	for _, a := range actions {
		switch a := a.(type) {
		case descriptor.Connect:
			for _, p := range a.Peers {
				x.link(id, p.ID)
			}
		case descriptor.Send:
			x.deliver(id, a)
		}
	}
}

func (x *network) deliver(from string, a descriptor.Send) {
	to := x.gossipers[a.To.ID]
	if m, ok := a.Message.(descriptor.MemberChanges); ok && m.All {
		// As package linker does for each message.
		x.link(from, a.To.ID)
	}
	linked := x.links[[2]string{from, a.To.ID}] || x.links[[2]string{a.To.ID, from}]
	if to == nil || !linked || x.cut[[2]string{from, a.To.ID}] {
		return
	}
	if x.onSend != nil {
		x.onSend(from, a.To.ID, a.Message)
	}
	to.RecordReceived(x.now, from)
	switch m := a.Message.(type) {
	case descriptor.Members:
		to.HandleMembers(x.now, from, x.visible(a.To.ID, m))
	case descriptor.MemberChanges:
		if x.earlier[a.To.ID] {
			// An earlier build skips the request for all members, and is not asked again.
			if !m.All {
				x.t.Errorf("%s of an earlier build got changes from %s", a.To.ID, from)
			}
			return
		}
		to.HandleChanges(x.now, from, x.visibleChanges(a.To.ID, m))
	case descriptor.Comparison:
		x.compare(from, a.To.ID, m)
	case descriptor.Digest:
		to.HandleDigest(from, m.Members)
	}
}

// compare delivers a comparison and its answer, as package decider does.
func (x *network) compare(from, id string, m descriptor.Comparison) {
	to := x.gossipers[id]
	if m.Answer {
		to.HandleChecks(from, m, container.BucketSums{})
		return
	}
	if checks := to.Compare(from, m); checks != nil {
		answer := descriptor.Comparison{Members: to.digest.Hash(), Count: to.digest.Count, Checks: checks, Answer: true}
		x.deliver(id, descriptor.Send{To: x.gossipers[from].Self(), Message: answer})
	}
}

// visible returns m without the records that are hidden from an instance.
func (x *network) visible(to string, m descriptor.Members) descriptor.Members {
	var records []descriptor.Member
	for _, r := range m.Records {
		if !contains(x.hidden[to], r.ID) {
			records = append(records, r)
		}
	}
	m.Records = records
	return m
}

// visibleChanges returns m without the changes that are hidden from an instance.
func (x *network) visibleChanges(to string, m descriptor.MemberChanges) descriptor.MemberChanges {
	marks := make(map[uint64]bool)
	for _, id := range x.hidden[to] {
		for _, g := range x.gossipers {
			if other, ok := g.Member(id); ok {
				marks[other.Mark()] = true
			}
		}
	}
	var list []descriptor.MemberChange
	for _, c := range m.List {
		if !marks[c.Mark] {
			list = append(list, c)
		}
	}
	m.List = list
	return m
}

// newSuspicions runs the network for d in steps of 200 ms and returns the number of
// steps after which more instances suspect a member than before.
func (x *network) newSuspicions(id string, d time.Duration) int {
	n, before := 0, 0
	for range d / (200 * time.Millisecond) {
		x.run(200 * time.Millisecond)
		now := x.states(id)[descriptor.Suspect]
		if now > before {
			n++
		}
		before = now
	}
	return n
}

// states counts the states in which the other instances hold a member.
func (x *network) states(id string) map[descriptor.Liveness]int {
	result := make(map[descriptor.Liveness]int)
	for other, g := range x.gossipers {
		if other == id {
			continue
		}
		if m, ok := g.Member(id); ok {
			result[m.State]++
		}
	}
	return result
}

// TestWatchedAnew guards against false suspicions while the ring changes. Each start and end of
// an instance made many others suspected, which all instances then told each other.
func TestWatchedAnew(t *testing.T) {
	t.Run("an instance that is watched anew over an old link is not suspected at once", func(t *testing.T) {
		// It sends its new watcher heartbeats from now on. Until then it may have sent nothing
		// for 10 s, and each start of an instance made others suspected.
		x := newNetwork(t, 6)
		g := x.gossipers["n01"]
		for id := range x.gossipers {
			if !contains(g.watched, id) && id != "n01" {
				x.link("n01", id)
				g.RecordReceived(x.now.Add(-9*time.Second), id)
			}
		}
		x.add("n06", 1)
		x.link("n06", "n00")
		for i := range 10 {
			x.add(fmt.Sprintf("n1%d", i), 1)
			x.link(fmt.Sprintf("n1%d", i), "n00")
			x.run(200 * time.Millisecond)
			for id := range x.gossipers {
				asserter.Equal(t, "suspected "+id, x.states(id)[descriptor.Suspect], 0)
			}
		}
	})
	t.Run("an instance that is watched anew without a link is not suspected at once", func(t *testing.T) {
		// The time of the last close of a link to it counted, however long ago that was.
		x := newNetwork(t, 6)
		for from, g := range x.gossipers {
			for to := range x.gossipers {
				if !contains(g.watched, to) && from != to {
					g.LinkClosed(descriptor.LinkClosed{At: x.now, Peer: to})
				}
			}
		}
		x.now = x.now.Add(900 * time.Millisecond)
		x.run(9 * time.Second)
		for i := range 10 {
			x.add(fmt.Sprintf("n1%d", i), 1)
			x.link(fmt.Sprintf("n1%d", i), "n00")
			x.run(200 * time.Millisecond)
			for id := range x.gossipers {
				asserter.Equal(t, "suspected "+id, x.states(id)[descriptor.Suspect], 0)
			}
		}
	})
}

func TestMembership(t *testing.T) {
	t.Run("all instances know all others over few links", func(t *testing.T) {
		x := newNetwork(t, 24)
		for _, id := range x.order {
			asserter.Equal(t, "members of "+id, len(x.gossipers[id].Members()), 24)
			asserter.AtMost(t, "watched by "+id, len(x.gossipers[id].watched), 5)
		}
	})
	t.Run("all instances declare a crashed instance dead", func(t *testing.T) {
		x := newNetwork(t, 12)
		x.kill("n05")
		x.run(15 * time.Second)
		asserter.Equal(t, "states", x.states("n05"), map[descriptor.Liveness]int{descriptor.Dead: 11})
	})
	t.Run("lost messages to half of the instances do not make an instance dead", func(t *testing.T) {
		x := newNetwork(t, 12)
		for _, id := range x.order[:6] {
			x.cut[[2]string{"n07", id}] = true
		}
		worst := 0
		for range 60 {
			x.run(time.Second)
			worst = max(worst, x.states("n07")[descriptor.Dead])
		}
		asserter.Equal(t, "instances that declared it dead", worst, 0)
	})
	t.Run("an instance that receives nothing cannot make others dead", func(t *testing.T) {
		x := newNetwork(t, 12)
		for _, id := range x.order {
			x.cut[[2]string{id, "n03"}] = true
		}
		x.run(30 * time.Second)
		for _, id := range x.order {
			if id != "n03" {
				asserter.Equal(t, "instances that declared dead: "+id, x.states(id)[descriptor.Dead], 0)
			}
		}
	})
	t.Run("an instance wrongly declared dead is restored", func(t *testing.T) {
		x := newNetwork(t, 8)
		for _, id := range x.order {
			x.cut[[2]string{"n02", id}] = true
			x.cut[[2]string{id, "n02"}] = true
		}
		x.run(15 * time.Second)
		asserter.Equal(t, "declared dead", x.states("n02")[descriptor.Dead], 7)
		x.cut = make(map[[2]string]bool)
		x.link("n02", "n00")
		x.run(30 * time.Second)
		asserter.Equal(t, "states", x.states("n02"), map[descriptor.Liveness]int{descriptor.Alive: 7})
	})
	t.Run("a new incarnation replaces the old one", func(t *testing.T) {
		x := newNetwork(t, 6)
		x.kill("n01")
		x.add("n01", 2)
		x.link("n01", "n00")
		x.run(10 * time.Second)
		for _, id := range x.order {
			m, _ := x.gossipers[id].Member("n01")
			asserter.Equal(t, "incarnation at "+id, m.Incarnation, int64(2))
		}
	})
	t.Run("two starts that replace the same record do so with different incarnations", func(t *testing.T) {
		var got []int64
		for _, incarnation := range []int64{2, 3} {
			g := New(descriptor.Member{ID: "n01", Incarnation: incarnation}, time.Unix(1000, 0))
			g.mergeSelf(descriptor.Member{ID: "n01", Incarnation: 100}, time.Unix(1000, 0))
			got = append(got, g.Self().Incarnation)
			asserter.True(t, "newer than the record", g.Self().Incarnation > 100)
		}
		asserter.True(t, "different", got[0] != got[1])
	})
	t.Run("an instance with an incomplete list of members is not suspected repeatedly", func(t *testing.T) {
		x := newNetwork(t, 24)
		x.kill("n03")
		x.hidden = map[string][]string{"n03": {"n01", "n05", "n10", "n11", "n17", "n20"}}
		x.add("n03", 2)
		x.link("n03", "n00")
		x.run(20 * time.Second)
		asserter.Equal(t, "new suspicions", x.newSuspicions("n03", 20*time.Second), 0)
	})
	t.Run("a link closed by a late report is restored by the next message", func(t *testing.T) {
		x := newNetwork(t, 12)
		g := x.gossipers["n04"]
		peer := g.watched[0]
		g.LinkClosed(descriptor.LinkClosed{At: x.now, Peer: peer})
		x.run(5 * time.Second)
		asserter.True(t, "linked", g.Linked(peer))
		asserter.Equal(t, "new suspicions", x.newSuspicions(peer, 10*time.Second), 0)
	})
	t.Run("an announced shutdown is known within 2 s", func(t *testing.T) {
		x := newNetwork(t, 12)
		x.gossipers["n04"].Leave(x.now, "n01")
		x.execute("n04", x.gossipers["n04"])
		x.kill("n04")
		x.run(2 * time.Second)
		asserter.Equal(t, "states", x.states("n04"), map[descriptor.Liveness]int{descriptor.Left: 11})
	})
}
