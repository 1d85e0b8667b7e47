package experimenter

import (
	"fmt"
	"math"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoonswitch/allocator"
	"monsoonswitch/descriptor"
)

// Placement is a strategy to choose the serving instances of all services.
type Placement struct {
	Name string
	// Standard reports whether it is the production strategy.
	Standard bool
	// Place returns the IDs of the members that serve each service; places is
	// their number.
	Place func(services []string, members []descriptor.Member, places int) [][]string
}

// Placements returns the compared strategies.
func Placements() []Placement {
	return []Placement{
		{Name: "rendezvous, domains in turn", Standard: true, Place: placeRendezvous},
		{Name: "bounded-load consistent hashing", Place: placeBounded},
		{Name: "greedy least loaded", Place: placeGreedy},
	}
}

// PlacementResult holds the measurements of one strategy.
type PlacementResult struct {
	// Imbalance is the largest number of services of a member divided by the
	// mean.
	Imbalance float64
	// Moved is the number of assignments that changed when one member left,
	// divided by the assignments that it had; 1 is the minimum.
	Moved float64
	// Domains is the share of services placed in the largest possible number of
	// failure domains.
	Domains float64
	// Short counts the services that got fewer different members than places.
	Short int
	// Time is the time to place all services.
	Time time.Duration
}

// MeasurePlacement measures a strategy at a fleet size. Moved is the mean over the
// removal of several members that serve, one at a time.
func MeasurePlacement(p Placement, services, members, domains, places int) PlacementResult {
	names, list := placementInput(services, members, domains)
	began := time.Now()
	before := p.Place(names, list, places)
	r := PlacementResult{Time: time.Since(began)}
	r.Imbalance = imbalance(before, members)
	r.Domains = spreadOverDomains(before, list, min(domains, places))
	r.Short = short(before, min(places, members))
	const removals = 5
	moved, had := 0, 0
	serving := servingMembers(before, list)
	for k := range min(removals, len(serving)) {
		i := serving[k*len(serving)/min(removals, len(serving))]
		rest := append(append([]descriptor.Member(nil), list[:i]...), list[i+1:]...)
		after := p.Place(names, rest, places)
		for s := range names {
			moved += len(difference(after[s], before[s]))
			had += len(difference([]string{list[i].ID}, difference([]string{list[i].ID}, before[s])))
		}
	}
	r.Moved = float64(moved) / math.Max(1, float64(had))
	return r
}

// short returns the number of services with fewer than places different members.
func short(placed [][]string, places int) int {
	n := 0
	for _, list := range placed {
		if len(slices.Compact(slices.Sorted(slices.Values(list)))) < places {
			n++
		}
	}
	return n
}

// servingMembers returns the indices of the members that serve a service.
func servingMembers(placed [][]string, members []descriptor.Member) []int {
	serving := make(map[string]bool)
	for _, list := range placed {
		for _, id := range list {
			serving[id] = true
		}
	}
	var result []int
	for i, m := range members {
		if serving[m.ID] {
			result = append(result, i)
		}
	}
	return result
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

// difference returns the entries of a that are not in b.
func difference(a, b []string) []string {
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

// imbalance returns the largest number of services of a member divided by the mean.
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

// spreadOverDomains returns the share of services placed in the given number of
// failure domains.
func spreadOverDomains(placed [][]string, members []descriptor.Member, domains int) float64 {
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
		if len(seen) == domains {
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

// Parameters of bounded-load consistent hashing. loadBound is the largest load of a
// member as a multiple of the mean.
const (
	virtualNodes = 20
	loadBound    = 1.25
)

// ringPoint is a virtual node on the hash ring.
type ringPoint struct {
	hash uint64
	id   string
}

// placeBounded walks the hash ring from each service's hash and skips members that
// have reached the load bound.
func placeBounded(services []string, members []descriptor.Member, places int) [][]string {
	ring := make([]ringPoint, 0, len(members)*virtualNodes)
	for _, m := range members {
		for v := range virtualNodes {
			ring = append(ring, ringPoint{xxhash.Sum64String(fmt.Sprintf("%s/%d", m.ID, v)), m.ID})
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
			if load[id] < bound && len(difference([]string{id}, result[i])) == 1 {
				result[i] = append(result[i], id)
				load[id]++
			}
		}
	}
	return result
}

// placeGreedy assigns the least loaded members to each service in turn, each in a
// different failure domain. If there are too few failure domains, it chooses again
// without regard to them.
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

// greedyPick returns the indices of the least loaded members; ties go to the first
// one from start on. distinctDomains limits it to one member for each failure domain.
func greedyPick(members []descriptor.Member, load []int, places, start int, distinctDomains bool) []int {
	var chosen []int
	used := make(map[string]bool)
	taken := make(map[int]bool)
	for len(chosen) < places {
		best := -1
		for k := range members {
			i := (start + k) % len(members)
			if taken[i] || distinctDomains && used[members[i].Domain] {
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
