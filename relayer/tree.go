package relayer

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"monsoonswitch/descriptor"
)

// node is a member with its place in the order of a tree.
type node struct {
	hash   uint64
	member descriptor.Member
}

// Children returns the instances to which self forwards the messages of an origin. They are
// its children in a tree that holds every instance once, in an order that depends on the
// origin. A message crosses to each other failure domain once: the origin sends it to the
// first instance there, which is the root of the tree within its failure domain.
func Children(self, origin string, members []descriptor.Member) []descriptor.Member {
	domain, known := domainOf(self, members)
	if !known {
		return nil
	}
	local := nodesOf(domain, origin, members)
	if self == origin {
		return append(childrenAt(0, local), firstOfOthers(domain, origin, members)...)
	}
	position := 0
	for i, n := range local {
		if n.member.ID == self {
			position = i
		}
	}
	if originDomain, ok := domainOf(origin, members); ok && originDomain == domain {
		return childrenAt(position+1, local)
	}
	return childrenAt(position, local[1:])
}

// domainOf returns the failure domain of a live member, and false if there is none.
func domainOf(id string, members []descriptor.Member) (string, bool) {
	for _, m := range members {
		if m.ID == id && m.State < descriptor.Dead {
			return m.Domain, true
		}
	}
	return "", false
}

// nodesOf returns the live members of a failure domain without the origin, in the order of
// the origin's tree.
func nodesOf(domain, origin string, members []descriptor.Member) []node {
	var list []node
	for _, m := range members {
		if m.Domain == domain && m.ID != origin && m.State < descriptor.Dead {
			list = append(list, node{xxhash.Sum64String(origin + "/" + m.ID), m})
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].hash < list[j].hash })
	return list
}

// firstOfOthers returns the first member, in the order of the origin's tree, of each failure
// domain other than the given one.
func firstOfOthers(domain, origin string, members []descriptor.Member) []descriptor.Member {
	first := make(map[string]node)
	for _, m := range members {
		if m.Domain == domain || m.State >= descriptor.Dead {
			continue
		}
		n := node{xxhash.Sum64String(origin + "/" + m.ID), m}
		if best, ok := first[m.Domain]; !ok || n.hash < best.hash {
			first[m.Domain] = n
		}
	}
	var result []descriptor.Member
	for _, n := range first {
		result = append(result, n.member)
	}
	sort.Slice(result, func(i, j int) bool { return result[i].ID < result[j].ID })
	return result
}

// childrenAt returns the children of the node at a position of a tree whose root is at
// position 0, and whose other nodes are list in order.
func childrenAt(position int, list []node) []descriptor.Member {
	var result []descriptor.Member
	for i := position*fanout + 1; i <= position*fanout+fanout && i <= len(list); i++ {
		result = append(result, list[i-1].member)
	}
	return result
}
