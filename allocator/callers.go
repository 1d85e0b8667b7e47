package allocator

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"monsoonswitch/descriptor"
)

// capacityPerSlot is the processor, in thousandths of a core, that the instances which
// callers are sent to have together for each slot of the backend servers. A slot that runs
// two requests a second needs about a third of it, which leaves room for bursts and for the
// loss of an instance.
const capacityPerSlot = 4

// SetCallers has a role filled by the instances that callers are sent to, where the
// backend servers of all services have the given number of slots together. It reports
// whether these instances changed.
func (x *Index) SetCallers(role string, slots int) bool {
	r, ok := x.services.Get(role)
	if ok && r.callers && r.count == slots {
		return false
	}
	r.callers = true
	r.count = slots
	return x.rank(role, r)
}

// Settle ranks the roles of callers again if members changed since the last call, and
// returns those whose instances changed. Members change many at a time, and a ranking reads
// all of them.
func (x *Index) Settle() []string {
	if !x.callersStale {
		return nil
	}
	x.callersStale = false
	return x.rerank(func(_ string, r serviceRecord) bool { return r.callers })
}

// callers returns the instances that callers are sent to. Callers choose evenly among the
// instances of their failure domain, so that the least capable one bounds what they serve
// together.
func (g *groups) callers(role string, slots int) []descriptor.Member {
	if !g.anyCapacityKnown() {
		return g.serving(role, CallerCount(slots, g.domains.Len()))
	}
	hash := xxhash.Sum64String(role)
	need := slots * capacityPerSlot / max(1, g.domains.Len())
	var lists [][]weighted
	for _, d := range g.domains.All {
		list := d.byCapacity(hash)
		lists = append(lists, list[:callersOf(list, need)])
	}
	return interleave(lists)
}

// anyCapacityKnown reports whether the capacity of a member is known. A member of unknown capacity
// counts as the least capable one then, so that one odd record doesn't change the whole choice.
func (g *groups) anyCapacityKnown() bool {
	for _, d := range g.domains.All {
		for _, m := range d.members.All {
			if m.Capacity > 0 {
				return true
			}
		}
	}
	return false
}

// byCapacity returns all members with the largest capacity first, and those of one capacity
// by their weight.
func (d *group) byCapacity(role uint64) []weighted {
	list := make([]weighted, 0, d.members.Len())
	for i, h := range d.hashes {
		_, m := d.members.At(i)
		list = append(list, weighted{m, combineHashes(role, h)})
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].member.Capacity != list[j].member.Capacity {
			return list[i].member.Capacity > list[j].member.Capacity
		}
		return precedes(list[i], list[j])
	})
	return list
}

// callersOf returns how many of the members of a failure domain, sorted by capacity,
// callers are sent to: the smallest number that has the needed capacity if each gets the
// same part of the work, or else the number that has the most.
func callersOf(list []weighted, need int) int {
	best, most := 0, 0
	for i, w := range list {
		n := i + 1
		together := n * int(w.member.Capacity)
		if together > most || n <= minCallersPerDomain {
			best, most = n, max(most, together)
		}
		if n >= minCallersPerDomain && most >= need {
			break
		}
	}
	return best
}
