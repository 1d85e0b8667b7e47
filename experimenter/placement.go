package experimenter

import (
	"fmt"
	"math"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoonswitch/allocator"
	"monsoonswitch/descriptor"
)

// Placement is a way to choose the serving instances of all services.
type Placement struct {
	Name string
	// Place returns the members that serve each service, places of them.
	Place func(services []string, members []descriptor.Member, places int) [][]string
}

// Placements returns the ways that were weighed.
func Placements() []Placement {
	return []Placement{
		{"rendezvous, domains in turn", placeRendezvous},
		{"bounded-load consistent hashing", placeBounded},
		{"greedy least loaded", placeGreedy},
	}
}

// PlacementResult is what a way to place amounts to.
type PlacementResult struct {
	// Imbalance is the largest load of a member over the mean.
	Imbalance float64
	// Moved is the number of places that changed when one member left, over
	// the places that it had.
	Moved float64
	// Domains is the share of services with as many failure domains as can be.
	Domains float64
	// Time is the time to place everything.
	Time time.Duration
}

// MeasurePlacement measures a way to place at a size, as the mean over the
// leaving of several members.
func MeasurePlacement(p Placement, services, members, domains, places int) PlacementResult {
	names, list := placementInput(services, members, domains)
	began := time.Now()
	before := p.Place(names, list, places)
	r := PlacementResult{Time: time.Since(began)}
	r.Imbalance = imbalance(before, members)
	r.Domains = spreadOverDomains(before, list, min(domains, places))
	const leaving = 5
	moved, had := 0, 0
	for k := range leaving {
		i := k * members / leaving
		rest := append(append([]descriptor.Member(nil), list[:i]...), list[i+1:]...)
		after := p.Place(names, rest, places)
		for s := range names {
			moved += len(missing(after[s], before[s]))
			had += len(missing([]string{list[i].ID}, missing([]string{list[i].ID}, before[s])))
		}
	}
	r.Moved = float64(moved) / math.Max(1, float64(had))
	return r
}

func placementInput(services, members, domains int) ([]string, []descriptor.Member) {
	names := make([]string, services)
	for i := range names {
		names[i] = fmt.Sprintf("service-%d", i)
	}
	list := make([]descriptor.Member, members)
	for i := range list {
		list[i] = descriptor.Member{ID: fmt.Sprintf("entry-%d", i), Domain: fmt.Sprintf("domain-%d", i%domains)}
	}
	return names, list
}

// missing returns the entries of a that are not in b.
func missing(a, b []string) []string {
	var result []string
	for _, v := range a {
		found := false
		for _, w := range b {
			found = found || v == w
		}
		if !found {
			result = append(result, v)
		}
	}
	return result
}

func imbalance(placed [][]string, members int) float64 {
	load := make(map[string]int)
	sum, largest := 0, 0
	for _, list := range placed {
		for _, id := range list {
			load[id]++
			sum++
			largest = max(largest, load[id])
		}
	}
	return float64(largest) * float64(members) / math.Max(1, float64(sum))
}

func spreadOverDomains(placed [][]string, members []descriptor.Member, most int) float64 {
	domainOf := make(map[string]string, len(members))
	for _, m := range members {
		domainOf[m.ID] = m.Domain
	}
	full := 0
	for _, list := range placed {
		seen := make(map[string]bool)
		for _, id := range list {
			seen[domainOf[id]] = true
		}
		if len(seen) == most {
			full++
		}
	}
	return float64(full) / float64(len(placed))
}

func placeRendezvous(services []string, members []descriptor.Member, places int) [][]string {
	x := allocator.NewIndex()
	for _, m := range members {
		x.Put(m)
	}
	result := make([][]string, len(services))
	for i, s := range services {
		x.SetService(s, places)
		for _, m := range x.Get(s) {
			result[i] = append(result[i], m.ID)
		}
	}
	return result
}

// Parameters of bounded-load consistent hashing.
const (
	virtualNodes = 20
	loadBound    = 1.25
)

type ringSpot struct {
	hash uint64
	id   string
}

// placeBounded walks a ring from each service's hash and skips members that are
// full.
func placeBounded(services []string, members []descriptor.Member, places int) [][]string {
	ring := make([]ringSpot, 0, len(members)*virtualNodes)
	for _, m := range members {
		for v := range virtualNodes {
			ring = append(ring, ringSpot{xxhash.Sum64String(fmt.Sprintf("%s/%d", m.ID, v)), m.ID})
		}
	}
	sort.Slice(ring, func(i, j int) bool { return ring[i].hash < ring[j].hash })
	bound := int(math.Ceil(loadBound * float64(len(services)*places) / float64(len(members))))
	load := make(map[string]int)
	result := make([][]string, len(services))
	for i, s := range services {
		h := xxhash.Sum64String(s)
		at := sort.Search(len(ring), func(k int) bool { return ring[k].hash >= h })
		for k := 0; k < len(ring) && len(result[i]) < places; k++ {
			id := ring[(at+k)%len(ring)].id
			if load[id] < bound && len(missing([]string{id}, result[i])) == 1 {
				result[i] = append(result[i], id)
				load[id]++
			}
		}
	}
	return result
}

// placeGreedy gives each service in turn the least loaded members, each of
// another failure domain where it can; a service that finds too few takes what
// it was given back and starts again without the domains.
func placeGreedy(services []string, members []descriptor.Member, places int) [][]string {
	load := make([]int, len(members))
	next := 0
	result := make([][]string, len(services))
	for i := range services {
		chosen := greedyPick(members, load, places, next, true)
		if len(chosen) < places {
			chosen = greedyPick(members, load, places, next, false)
		}
		for _, k := range chosen {
			load[k]++
			result[i] = append(result[i], members[k].ID)
		}
		next = (next + places) % len(members)
	}
	return result
}

// greedyPick returns the positions of the least loaded members from a start on.
func greedyPick(members []descriptor.Member, load []int, places, start int, apart bool) []int {
	var chosen []int
	used := make(map[string]bool)
	taken := make(map[int]bool)
	for len(chosen) < places {
		best := -1
		for k := range members {
			i := (start + k) % len(members)
			if taken[i] || apart && used[members[i].Domain] {
				continue
			}
			if best < 0 || load[i] < load[best] {
				best = i
			}
			if load[i] == 0 {
				break
			}
		}
		if best < 0 {
			return chosen
		}
		chosen = append(chosen, best)
		taken[best] = true
		used[members[best].Domain] = true
	}
	return chosen
}
