// Package allocator decides which instances serve a service and how they share
// the slots of its backend servers. Every instance that knows the same members
// computes the same result.
package allocator

import (
	"encoding/binary"
	"math/bits"
	"sort"

	"github.com/cespare/xxhash/v2"

	"monsoonswitch/descriptor"
)

// Parameters of the number of serving instances.
const (
	// LeastServing is the number of serving instances that a service has even
	// if it is small, as far as there are as many.
	LeastServing = 3
	// slotsPerServing is the number of slots from which one more is added.
	slotsPerServing = 64
)

// Count returns how many instances serve a service with the given total of
// slots, whose smallest backend server has the given number of slots.
func Count(total, smallest int) int {
	n := max(LeastServing, 1+total/slotsPerServing)
	return max(1, min(n, max(smallest, 2)))
}

// Weight is the rendezvous weight of member id for service.
func Weight(service, id string) uint64 {
	return mix(xxhash.Sum64String(service), xxhash.Sum64String(id))
}

func mix(a, b uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], a)
	binary.LittleEndian.PutUint64(buf[8:], b)
	return xxhash.Sum64(buf[:])
}

// ranked is a member with its weight.
type ranked struct {
	member descriptor.Member
	weight uint64
}

func before(a, b ranked) bool {
	if a.weight != b.weight {
		return a.weight > b.weight
	}
	return a.member.ID < b.member.ID
}

// Serving returns the n instances of members that serve service, highest weight
// first. Failure domains take turns, so that no domain gives two instances
// while another that has members gives none.
func Serving(service string, members []descriptor.Member, n int) []descriptor.Member {
	domains := rankDomains(service, members)
	result := make([]descriptor.Member, 0, n)
	for round := 0; len(result) < n; round++ {
		before := len(result)
		for _, list := range domains {
			if round < len(list) && len(result) < n {
				result = append(result, list[round].member)
			}
		}
		if len(result) == before {
			break
		}
	}
	return result
}

// rankDomains returns the members of each failure domain by weight, the domains
// in the order of their best members.
func rankDomains(service string, members []descriptor.Member) [][]ranked {
	hash := xxhash.Sum64String(service)
	index := make(map[string]int)
	var domains [][]ranked
	for _, m := range members {
		r := ranked{m, mix(hash, xxhash.Sum64String(m.ID))}
		i, ok := index[m.Domain]
		if !ok {
			i = len(domains)
			index[m.Domain] = i
			domains = append(domains, nil)
		}
		domains[i] = append(domains[i], r)
	}
	for _, list := range domains {
		sort.Slice(list, func(i, j int) bool { return before(list[i], list[j]) })
	}
	sort.Slice(domains, func(i, j int) bool { return before(domains[i][0], domains[j][0]) })
	return domains
}

// Share returns how many of slots of a backend server serving instance i of n
// may use. The shares of all n instances add up to slots, and what does not
// divide evenly goes to different instances for different backend servers.
func Share(slots, n, i int, backend string) int {
	if n <= 0 || i < 0 || i >= n {
		return 0
	}
	share := slots / n
	rest := slots % n
	first, _ := bits.Mul64(xxhash.Sum64String(backend), uint64(n))
	if (i-int(first)+n)%n < rest {
		share++
	}
	return share
}
