// Package allocator decides which instances serve a service and how they share
// the slots of its backend servers. Every instance that knows the same members
// computes the same result.
package allocator

import (
	"encoding/binary"
	"math/bits"

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

// callersPerDomain is the number of instances that the callers of a failure domain
// are sent to at least: they need another one when one is lost.
const callersPerDomain = 2

// CallerCount returns how many instances callers are sent to if all services
// together have a total of slots and the instances are in a number of failure
// domains: as many in each of them.
func CallerCount(total, domains int) int {
	domains = max(1, domains)
	each := (1 + total/slotsPerServing + domains - 1) / domains
	return domains * max(callersPerDomain, each)
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

// Serving returns the n instances of members that serve service, highest weight
// first. Failure domains take turns, so that no domain gives two instances
// while another that has members gives none.
func Serving(service string, members []descriptor.Member, n int) []descriptor.Member {
	g := newGroups()
	for _, m := range members {
		g.put(m)
	}
	return g.serving(service, n)
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
