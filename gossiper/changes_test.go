package gossiper

import (
	"fmt"
	"testing"
	"time"

	"monsoonswitch/asserter"
	"monsoonswitch/descriptor"
)

// counts counts the records and changes that are sent.
type counts struct {
	records, changes int
	// toNew holds the records that one instance got, by sender.
	toNew map[string]int
}

func (x *network) count(id string) *counts {
	c := &counts{toNew: make(map[string]int)}
	x.onSend = func(from, to string, m descriptor.Message) {
		switch m := m.(type) {
		case descriptor.Members:
			c.records += len(m.Records)
			if to == id {
				c.toNew[from] += len(m.Records)
			}
		case descriptor.MemberChanges:
			c.changes += len(m.List)
		}
	}
	return c
}

// TestChanges guards against complete records for members that are known, and against changes
// that are lost where they are not.
func TestChanges(t *testing.T) {
	t.Run("a change of a known member sends no complete record", func(t *testing.T) {
		x := newNetwork(t, 24)
		c := x.count("")
		x.gossipers["n05"].SetReady(x.now, false)
		x.run(2 * time.Second)
		for id, g := range x.gossipers {
			m, _ := g.Member("n05")
			asserter.Equal(t, "ready at "+id, m.Ready, false)
		}
		asserter.Equal(t, "complete records", c.records, 0)
		asserter.AtMost(t, "changes", c.changes, 24*5)
	})
	t.Run("a restart at the same address sends complete records to the new start alone", func(t *testing.T) {
		x := newNetwork(t, 24)
		c := x.count("n05")
		x.kill("n05")
		x.add("n05", 2)
		x.link("n05", "n00")
		x.run(2 * time.Second)
		asserter.Equal(t, "members at the new start", len(x.gossipers["n05"].Members()), 24)
		asserter.Equal(t, "instances that sent it records", len(c.toNew), 1)
		asserter.AtMost(t, "complete records", c.records, 25)
		for id, g := range x.gossipers {
			m, _ := g.Member("n05")
			asserter.Equal(t, "incarnation at "+id, m.Incarnation, int64(2))
			asserter.True(t, "ready at "+id, m.Ready)
		}
	})
	t.Run("a restart at another address sends the complete record", func(t *testing.T) {
		x := newNetwork(t, 24)
		x.kill("n05")
		x.add("n05", 2)
		g := x.gossipers["n05"]
		g.self.Inner = "elsewhere"
		g.updateSelf(x.now, g.self)
		x.link("n05", "n00")
		x.run(2 * time.Second)
		for id, g := range x.gossipers {
			m, _ := g.Member("n05")
			asserter.Equal(t, "address at "+id, m.Inner, "elsewhere")
		}
	})
	t.Run("a record that is requested from an instance that does not answer is requested from another one", func(t *testing.T) {
		x := newNetwork(t, 24)
		x.add("n99", 1)
		lost := 0
		x.link("n99", "n00")
		for id := range x.gossipers {
			x.cut[[2]string{"n00", id}] = true
		}
		x.onSend = func(string, string, descriptor.Message) { lost++ }
		x.run(200 * time.Millisecond)
		x.cut = map[[2]string]bool{}
		x.run(15 * time.Second)
		for id, g := range x.gossipers {
			_, ok := g.Member("n99")
			asserter.True(t, "known at "+id, ok)
		}
	})
	for _, earlier := range [][]string{{"n00"}, {"n01", "n03", "n05", "n07", "n09", "n11"}} {
		t.Run(fmt.Sprintf("instances of an earlier build understand all, %d of them", len(earlier)), func(t *testing.T) {
			x := newMixedNetwork(t, 12, earlier...)
			x.gossipers["n04"].Leave(x.now, "n01")
			x.execute("n04", x.gossipers["n04"])
			x.kill("n04")
			x.run(time.Second)
			asserter.Equal(t, "states", x.states("n04"), map[descriptor.Liveness]int{descriptor.Left: 11})
			for _, id := range []string{"n04", "n07"} {
				x.kill(id)
				x.add(id, 2)
				x.link(id, "n00")
				x.run(2 * time.Second)
				for other, g := range x.gossipers {
					m, _ := g.Member(id)
					asserter.Equal(t, id+" at "+other, m.Incarnation, int64(2))
					asserter.Equal(t, "members at "+other, len(g.Members()), 12)
				}
			}
		})
	}
}

// TestIntroduction guards against an instance that starts getting all members from each peer,
// from another failure domain, or not at all if the instance that it asked is lost.
func TestIntroduction(t *testing.T) {
	newNetworkOfTwoDomains := func(t *testing.T) *network {
		x := newNetwork(t, 12)
		x.domain = "e"
		for i := range 6 {
			x.add(fmt.Sprintf("m%02d", i), 1)
			x.link(fmt.Sprintf("m%02d", i), "n00")
		}
		x.run(5 * time.Second)
		return x
	}
	t.Run("the members come from the failure domain of the new instance", func(t *testing.T) {
		x := newNetworkOfTwoDomains(t)
		x.add("m99", 1)
		c := x.count("m99")
		x.link("m99", "n00")
		x.run(2 * time.Second)
		asserter.Equal(t, "members", len(x.gossipers["m99"].Members()), 19)
		for from := range c.toNew {
			asserter.Equal(t, "domain of "+from, x.gossipers[from].Self().Domain, "ed")
		}
	})
	t.Run("another instance is asked if the first does not answer", func(t *testing.T) {
		x := newNetworkOfTwoDomains(t)
		x.add("m99", 1)
		asked := ""
		x.onSend = func(from, to string, m descriptor.Message) {
			if c, ok := m.(descriptor.MemberChanges); ok && from == "m99" && c.All && to != "n00" && asked == "" {
				asked = to
				x.cut[[2]string{to, "m99"}] = true
			}
		}
		x.link("m99", "n00")
		x.run(1600 * time.Millisecond)
		asserter.True(t, "asked one of its failure domain", asked != "")
		asserter.Equal(t, "members", len(x.gossipers["m99"].Members()), 19)
	})
	t.Run("an instance that answered others lately names others", func(t *testing.T) {
		x := newNetworkOfTwoDomains(t)
		x.domain = "f"
		x.add("f00", 1)
		x.link("f00", "n00")
		x.run(2 * time.Second)
		answered := make(map[string]int)
		for i := range 8 {
			id := fmt.Sprintf("f%02d", i+1)
			x.add(id, 1)
			c := x.count(id)
			x.link(id, "n00")
			x.run(2 * time.Second)
			asserter.Equal(t, "members", len(x.gossipers[id].Members()), 20+i)
			for from := range c.toNew {
				answered[from]++
			}
		}
		for from, n := range answered {
			asserter.AtMost(t, "answers of "+from, n, maxAnswers+1)
		}
	})
}

// TestMissingCapacity guards against a record that lacks its capacity for good, since a record of the same
// version is not merged and the digests of both are equal.
func TestMissingCapacity(t *testing.T) {
	now := time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)
	whole := descriptor.Member{ID: "b", Incarnation: 1, Version: 2, Domain: "d", Capacity: 800}
	lacking := whole
	lacking.Capacity = 0
	newOne := func(m descriptor.Member) *Gossiper {
		g := New(descriptor.Member{ID: "a", Incarnation: 1, Domain: "d", Capacity: 160}, now)
		g.HandleMembers(now, "c", descriptor.Members{Records: []descriptor.Member{m}})
		g.Drain()
		return g
	}
	capacity := func(g *Gossiper) int32 {
		m, _ := g.Member("b")
		return m.Capacity
	}
	t.Run("digests differ", func(t *testing.T) {
		asserter.True(t, "differ", newOne(whole).Digest().Hash() != newOne(lacking).Digest().Hash())
	})
	t.Run("a record of the same version brings it", func(t *testing.T) {
		g := newOne(lacking)
		g.HandleMembers(now, "c", descriptor.Members{Records: []descriptor.Member{whole}})
		asserter.Equal(t, "capacity", capacity(g), 800)
		_, changes := g.Drain()
		asserter.Equal(t, "changes", len(changes), 1)
		asserter.Equal(t, "digest", g.Digest().Hash(), newOne(whole).Digest().Hash())
	})
	t.Run("a newer record of the same incarnation doesn't lose it", func(t *testing.T) {
		g := newOne(whole)
		g.HandleMembers(now, "c", descriptor.Members{Records: []descriptor.Member{lacking.WithVersion(3)}})
		asserter.Equal(t, "capacity", capacity(g), 800)
	})
	t.Run("another incarnation may have another one", func(t *testing.T) {
		g := newOne(whole)
		restarted := lacking
		restarted.Incarnation = 2
		g.HandleMembers(now, "c", descriptor.Members{Records: []descriptor.Member{restarted}})
		asserter.Equal(t, "capacity", capacity(g), 0)
	})
}
