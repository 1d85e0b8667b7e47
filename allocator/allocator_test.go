package allocator

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"monsoonswitch/asserter"
	"monsoonswitch/descriptor"
)

func members(n, domains int) []descriptor.Member {
	var list []descriptor.Member
	for i := range n {
		list = append(list, descriptor.Member{
			ID:     fmt.Sprintf("entry-%d", i),
			Domain: fmt.Sprintf("domain-%d", i%domains),
			Public: fmt.Sprintf("10.0.0.%d", i),
		})
	}
	return list
}

func TestServing(t *testing.T) {
	t.Run("three serving instances are in three failure domains", func(t *testing.T) {
		for s := range 50 {
			got := Serving(fmt.Sprintf("service-%d", s), members(12, 3), 3)
			seen := make(map[string]bool)
			for _, m := range got {
				seen[m.Domain] = true
			}
			asserter.Equal(t, "domains", len(seen), 3)
		}
	})
	t.Run("fewer members than wanted", func(t *testing.T) {
		asserter.Equal(t, "serving", len(Serving("s", members(2, 1), 5)), 2)
	})
	t.Run("the loss of a member moves only its own services", func(t *testing.T) {
		all := members(30, 3)
		moved := 0
		for s := range 300 {
			name := fmt.Sprintf("service-%d", s)
			before := Serving(name, all, 3)
			after := Serving(name, all[1:], 3)
			for _, m := range after {
				if !contains(before, m.ID) {
					moved++
				}
			}
		}
		// One of 30 members holds 300*3/30 = 30 of the serving places.
		asserter.AtMost(t, "moved", moved, 60)
		asserter.AtLeast(t, "moved", moved, 5)
	})
}

// TestShare guards against shares of the slots that add up to more than a backend
// server has, or to fewer.
func TestShare(t *testing.T) {
	for n := 1; n <= 6; n++ {
		for slots := 1; slots <= 8; slots++ {
			sum := 0
			for i := range n {
				sum += Share(slots, n, i, "b7")
			}
			asserter.Equal(t, fmt.Sprintf("sum for %d slots at %d", slots, n), sum, slots)
		}
	}
	asserter.Equal(t, "share of an instance that does not serve", Share(3, 3, -1, "b"), 0)
}

func TestServingCount(t *testing.T) {
	for _, c := range []struct{ total, smallest, want int }{{18, 3, 3}, {33, 3, 3}, {63, 3, 3}, {96, 6, 3}, {400, 6, 6}, {2, 1, 2}, {0, 0, 2}} {
		asserter.Equal(t, fmt.Sprintf("count for %d slots", c.total), ServingCount(c.total, c.smallest), c.want)
	}
}

// TestIndex compares the index with a complete ranking while members are added
// and removed at random.
func TestIndex(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	all := members(40, 5)
	x := NewIndex()
	live := make(map[string]descriptor.Member)
	services := make(map[string]int)
	for s := range 60 {
		name := fmt.Sprintf("service-%d", s)
		services[name] = 1 + s%7
		x.SetService(name, services[name])
	}
	for step := range 400 {
		m := all[random.IntN(len(all))]
		if _, ok := live[m.ID]; ok {
			delete(live, m.ID)
			x.Delete(m.ID)
		} else {
			live[m.ID] = m
			x.Put(m)
		}
		var list []descriptor.Member
		for _, v := range live {
			list = append(list, v)
		}
		for name, n := range services {
			if !sameMembers(x.Get(name), Serving(name, list, n)) {
				t.Fatalf("step %d: %s: got %v, want %v", step, name, x.Get(name), Serving(name, list, n))
			}
		}
	}
}

func BenchmarkMemberChange(b *testing.B) {
	for _, size := range []struct{ members, services int }{{48, 3}, {710, 270}, {7100, 2700}} {
		b.Run(fmt.Sprintf("%d members %d services", size.members, size.services), func(b *testing.B) {
			x := NewIndex()
			for s := range size.services {
				x.SetService(fmt.Sprintf("service-%d", s), 3)
			}
			list := members(size.members, 24)
			for _, m := range list {
				x.members.Put(m.ID, m)
				x.groups.put(m)
			}
			for s := range size.services {
				name := fmt.Sprintf("service-%d", s)
				r, _ := x.services.Get(name)
				x.rank(name, r)
			}
			for i := 0; b.Loop(); i++ {
				m := list[i%len(list)]
				x.Delete(m.ID)
				x.Put(m)
			}
		})
	}
}
