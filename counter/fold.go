package counter

import (
	"slices"
	"time"

	"monsoonswitch/descriptor"
)

// Parameters of folding, which bounds the number of tallies in the store.
const (
	// FoldedInstance is the instance name of the folded tally, which sums up
	// incarnations that ended long ago. No instance can have this name.
	FoldedInstance = "~folded"
	// minFoldTallies is the number of tallies of a service from which on tallies of
	// ended incarnations are folded.
	minFoldTallies = 128
	// minFoldAge is the age of a final tally above which no newer tally of its
	// incarnation is expected.
	minFoldAge = time.Hour
)

// Fold returns the tallies with those of incarnations that ended long ago summed up
// into one folded tally. The folded tally lists their owners, so that a late copy
// of one of them can be recognized and dropped. The list must be sorted by owner.
func Fold(list []descriptor.Tally, now time.Time) []descriptor.Tally {
	list = DropFolded(list)
	if len(list) < minFoldTallies {
		return list
	}
	sum := descriptor.Tally{Instance: FoldedInstance, Final: true, Latency: make([]uint64, descriptor.LatencyBuckets)}
	var kept []descriptor.Tally
	for _, t := range list {
		switch {
		case t.Instance == FoldedInstance:
			sum = withTally(sum, t)
			sum.Folded = append(sum.Folded, t.Folded...)
			sum.Version = t.Version
		case t.Final && t.Open == 0 && now.Sub(t.At) >= minFoldAge:
			sum = withTally(sum, t)
			sum.Folded = append(sum.Folded, Owner(t))
		default:
			kept = append(kept, t)
		}
	}
	if len(sum.Folded) == 0 {
		return list
	}
	sum.Version++
	slices.Sort(sum.Folded)
	return append([]descriptor.Tally{sum}, kept...)
}

// DropFolded returns the tallies without those that a folded tally contains.
func DropFolded(list []descriptor.Tally) []descriptor.Tally {
	folded := make(map[string]bool)
	for _, t := range list {
		for _, owner := range t.Folded {
			folded[owner] = true
		}
	}
	if len(folded) == 0 {
		return list
	}
	var kept []descriptor.Tally
	for _, t := range list {
		if !folded[Owner(t)] {
			kept = append(kept, t)
		}
	}
	return kept
}

// withTally returns sum with the counts of t added.
func withTally(sum, t descriptor.Tally) descriptor.Tally {
	sum.Service = t.Service
	sum.Received += t.Received
	sum.Ejections += t.Ejections
	if sum.Since.IsZero() || t.Since.Before(sum.Since) {
		sum.Since = t.Since
	}
	if t.At.After(sum.At) {
		sum.At = t.At
	}
	latency := slices.Clone(sum.Latency)
	for i := range min(len(latency), len(t.Latency)) {
		latency[i] += t.Latency[i]
	}
	sum.Latency = latency
	sum.Counts = addCounts(sum.Counts, t.Counts)
	return sum
}

// addCounts returns the sum of two lists of counts.
func addCounts(a, b []descriptor.Count) []descriptor.Count {
	result := slices.Clone(a)
	for _, c := range b {
		i := slices.IndexFunc(result, func(x descriptor.Count) bool {
			return x.Class == c.Class && x.Reason == c.Reason && x.Outcome == c.Outcome
		})
		if i < 0 {
			result = append(result, c)
			continue
		}
		result[i].Requests += c.Requests
		result[i].Bytes += c.Bytes
	}
	return result
}
