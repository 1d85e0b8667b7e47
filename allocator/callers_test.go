package allocator

import (
	"fmt"
	"testing"

	"monsoonswitch/asserter"
	"monsoonswitch/descriptor"
)

// fleetOf returns members of some failure domains. Each domain has, for each pair of a
// number and a capacity, so many members of that capacity.
func fleetOf(domains int, groups ...[2]int) []descriptor.Member {
	var result []descriptor.Member
	for d := range domains {
		for g, group := range groups {
			for i := range group[0] {
				result = append(result, descriptor.Member{ID: fmt.Sprintf("entry-%d-%d-%d", d, g, i), Domain: fmt.Sprint("domain-", d), Capacity: int32(group[1])})
			}
		}
	}
	return result
}

// TestCallers guards against callers being sent to many instances with little processor
// while a few large ones could serve them: work is then late, and each of the many
// exchanges outcomes with all others.
func TestCallers(t *testing.T) {
	for _, c := range []struct {
		name    string
		slots   int
		members []descriptor.Member
		// want is the number of callers' instances in each failure domain, and least the
		// least capacity of them.
		want, least int
	}{
		{"a small fleet of equal instances", 114, fleetOf(3, [2]int{16, 320}), 2, 320},
		{"of unknown capacity", 114, fleetOf(3, [2]int{16, 0}), 2, 0},
		{"293 instances, 15 of them large", 2160, fleetOf(5, [2]int{3, 800}, [2]int{55, 160}), 3, 800},
		{"119 instances, 10 of them large", 1728, fleetOf(5, [2]int{2, 800}, [2]int{22, 160}), 2, 800},
		{"no large instance left", 2160, fleetOf(5, [2]int{55, 160}), 11, 160},
		{"one large instance is left", 2160, fleetOf(5, [2]int{1, 800}, [2]int{55, 160}), 11, 160},
		{"fewer than needed", 2160, fleetOf(5, [2]int{4, 160}), 4, 160},
		{"a single instance", 2160, fleetOf(1, [2]int{1, 160}), 1, 160},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := NewIndex()
			x.SetCallers("callers", 0)
			for _, m := range c.members {
				x.Put(m)
			}
			x.SetCallers("callers", c.slots)
			got := make(map[string]int)
			for _, m := range x.Get("callers") {
				got[m.Domain]++
				asserter.AtLeast(t, "capacity", int(m.Capacity), c.least)
			}
			domains := make(map[string]int)
			for _, m := range c.members {
				domains[m.Domain] = c.want
			}
			asserter.Equal(t, "instances by failure domain", got, domains)
		})
	}
	t.Run("a record without a capacity changes the place of that member alone", func(t *testing.T) {
		x, y := NewIndex(), NewIndex()
		members := fleetOf(5, [2]int{3, 800}, [2]int{55, 160})
		x.SetCallers("callers", 2160)
		y.SetCallers("callers", 2160)
		for i, m := range members {
			x.Put(m)
			if i == len(members)-1 {
				m.Capacity = 0
			}
			y.Put(m)
		}
		x.Settle()
		y.Settle()
		asserter.Equal(t, "instances", y.Get("callers"), x.Get("callers"))
	})
	t.Run("a capacity that becomes known counts", func(t *testing.T) {
		x := NewIndex()
		members := fleetOf(1, [2]int{1, 800}, [2]int{4, 160})
		large := members[0]
		members[0].Capacity = 0
		x.SetCallers("callers", 100)
		for _, m := range members {
			x.Put(m)
		}
		x.Settle()
		asserter.Equal(t, "before", contains(x.Get("callers"), large.ID), false)
		x.Put(large)
		x.Settle()
		asserter.Equal(t, "after", contains(x.Get("callers"), large.ID), true)
	})
	t.Run("a lost one is replaced", func(t *testing.T) {
		x := NewIndex()
		x.SetCallers("callers", 2160)
		for _, m := range fleetOf(5, [2]int{4, 800}, [2]int{50, 160}) {
			x.Put(m)
		}
		x.Settle()
		before := x.Get("callers")
		x.Delete(before[0].ID)
		asserter.Equal(t, "changed", x.Settle(), []string{"callers"})
		asserter.Equal(t, "changed again", len(x.Settle()), 0)
		asserter.Equal(t, "instances", len(x.Get("callers")), len(before))
		asserter.Equal(t, "is among them", contains(x.Get("callers"), before[0].ID), false)
	})
	t.Run("all instances compute the same, in whatever order they learn of members", func(t *testing.T) {
		x, y := NewIndex(), NewIndex()
		members := fleetOf(5, [2]int{3, 800}, [2]int{20, 160})
		x.SetCallers("callers", 1000)
		for i := range members {
			x.Put(members[i])
			y.Put(members[len(members)-1-i])
		}
		y.SetCallers("callers", 1000)
		x.Settle()
		asserter.Equal(t, "instances", x.Get("callers"), y.Get("callers"))
	})
}
