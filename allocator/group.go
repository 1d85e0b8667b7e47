package allocator

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"monsoonswitch/container"
	"monsoonswitch/descriptor"
)

// group holds the members of one failure domain.
type group struct {
	members *container.Table[string, descriptor.Member]
	// hashes holds the hash of each member's ID, by the member's position in
	// members.
	hashes []uint64
}

// groups holds members by failure domain, so that ranking them for a service
// reads little more than their hashes.
type groups struct {
	domains *container.Table[string, *group]
}

func newGroups() *groups { return &groups{domains: container.NewTable[string, *group]()} }

func (g *groups) put(m descriptor.Member) {
	d, ok := g.domains.Get(m.Domain)
	if !ok {
		d = &group{members: container.NewTable[string, descriptor.Member]()}
		g.domains.Put(m.Domain, d)
	}
	if !d.members.Has(m.ID) {
		d.hashes = append(d.hashes, xxhash.Sum64String(m.ID))
	}
	d.members.Put(m.ID, m)
}

func (g *groups) remove(m descriptor.Member) {
	d, ok := g.domains.Get(m.Domain)
	if !ok {
		return
	}
	i := d.members.Position(m.ID)
	if i < 0 {
		return
	}
	d.members.Delete(m.ID)
	last := len(d.hashes) - 1
	d.hashes[i] = d.hashes[last]
	d.hashes = d.hashes[:last]
	if last == 0 {
		g.domains.Delete(m.Domain)
	}
}

// weighted is a member with its rendezvous weight.
type weighted struct {
	member descriptor.Member
	weight uint64
}

func precedes(a, b weighted) bool {
	if a.weight != b.weight {
		return a.weight > b.weight
	}
	return a.member.ID < b.member.ID
}

// top returns the n members of highest weight for a service, highest first.
// service is the hash of the service's name.
func (d *group) top(service uint64, n int) []weighted {
	result := make([]weighted, 0, n+1)
	for i, h := range d.hashes {
		weight := combineHashes(service, h)
		if len(result) == n && weight < result[n-1].weight {
			continue
		}
		_, m := d.members.At(i)
		result = insertSorted(result, weighted{m, weight}, n)
	}
	return result
}

// insertSorted inserts r into a sorted list and keeps the first n entries.
func insertSorted(list []weighted, r weighted, n int) []weighted {
	i := sort.Search(len(list), func(i int) bool { return precedes(r, list[i]) })
	list = append(list, weighted{})
	copy(list[i+1:], list[i:])
	list[i] = r
	return list[:min(len(list), n)]
}

// serving returns the n instances that serve a service.
func (g *groups) serving(service string, n int) []descriptor.Member {
	if n <= 0 {
		return nil
	}
	hash := xxhash.Sum64String(service)
	domains := make([][]weighted, 0, g.domains.Len())
	for _, d := range g.domains.All {
		domains = append(domains, d.top(hash, n))
	}
	result := interleave(domains)
	return result[:min(len(result), n)]
}

// interleave returns the members of all lists, in rounds of one from each list. No list is
// empty.
func interleave(lists [][]weighted) []descriptor.Member {
	sort.Slice(lists, func(i, j int) bool { return precedes(lists[i][0], lists[j][0]) })
	var result []descriptor.Member
	for round, more := 0, true; more; round++ {
		more = false
		for _, list := range lists {
			if round < len(list) {
				result = append(result, list[round].member)
				more = true
			}
		}
	}
	return result
}
