// Package allocator decides which instances serve a service and how they share
// the slots of its backend servers. All instances that know the same members
// compute the same result.
package allocator

import (
	"encoding/binary"
	"math/bits"

	"github.com/cespare/xxhash/v2"

	"monsoonswitch/descriptor"
)

// Parameters of the number of serving instances.
const (
	// MinServing is the number of serving instances of a small service, if the
	// fleet has that many.
	MinServing = 3
	// slotsPerServing is the number of slots for which one more serving instance
	// is added.
	slotsPerServing = 64
)

// ServingCount returns how many instances serve a service whose backend servers
// have total slots together and smallest slots at the smallest one. It grows with
// total, but does not exceed smallest, or 2 if smallest is below that.
func ServingCount(total, smallest int) int {
	n := max(MinServing, 1+total/slotsPerServing)
	return max(1, min(n, max(smallest, 2)))
}

// minCallersPerDomain is the least number of instances of a failure domain that
// callers are sent to. Callers need a second one when one is lost.
const minCallersPerDomain = 2

// CallerCount returns how many instances callers are sent to, where the backend
// servers of all services have total slots together and the instances are in the
// given number of failure domains. The result is a multiple of that number.
func CallerCount(total, domains int) int {
	domains = max(1, domains)
	each := (1 + total/slotsPerServing + domains - 1) / domains
	return domains * max(minCallersPerDomain, each)
}

// Weight returns the rendezvous weight of a member for a service.
func Weight(service, id string) uint64 {
	return combineHashes(xxhash.Sum64String(service), xxhash.Sum64String(id))
}

func combineHashes(a, b uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], a)
	binary.LittleEndian.PutUint64(buf[8:], b)
	return xxhash.Sum64(buf[:])
}

// Serving returns the n members that serve a service, highest weight first.
// Failure domains take turns, so that none provides two instances while another
// one with members provides none.
func Serving(service string, members []descriptor.Member, n int) []descriptor.Member {
	g := newGroups()
	for _, m := range members {
		g.put(m)
	}
	return g.serving(service, n)
}

// Share returns how many of the slots of a backend server the serving instance
// with index i of n may use. The shares of all n instances add up to slots. The
// remainder of the division goes to different instances for different backend
// servers.
func Share(slots, n, i int, backend string) int {
	if n <= 0 || i < 0 || i >= n {
		return 0
	}
	share := slots / n
	if Turn(n, i, backend) < slots%n {
		share++
	}
	return share
}

// Turn returns the position of the serving instance with index i of n in an order that
// differs by backend server, from 0 to n-1. n is positive and i is from 0 to n-1.
func Turn(n, i int, backend string) int {
	first, _ := bits.Mul64(xxhash.Sum64String(backend), uint64(n))
	return (i - int(first) + n) % n
}
