package decider

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"monsoonswitch/asserter"
)

const (
	// applyLimit is the time from the acknowledgement of a version until it is in force at all
	// instances that reach the store.
	applyLimit = 2 * time.Second
	// changeInterval is the time between versions while instances are cut from the store.
	changeInterval = 2500 * time.Millisecond
	// cutTime is how long instances are cut from the store.
	cutTime = 12 * time.Second
)

// TestVersionsWhileReadersAreCut guards against instances that act on an old configuration although they
// reach the store, since those that read it for all are cut from it and announce that it is away.
func TestVersionsWhileReadersAreCut(t *testing.T) {
	for _, n := range []int{12, 36, 119} {
		t.Run(fmt.Sprintf("a third of %d instances, in the order in which they read", n), func(t *testing.T) {
			cut := make(map[string]bool)
			wantVersionsInForce(t, newRoutedFleet(n), func(id string) bool {
				if len(cut) < n/3 {
					cut[id] = true
				}
				return cut[id]
			})
		})
		for seed := range uint64(5) {
			t.Run(fmt.Sprintf("nine tenths of %d instances, seed %d", n, seed), func(t *testing.T) {
				f := newRoutedFleet(n)
				random := rand.New(rand.NewPCG(seed, uint64(n)))
				cut := make(map[string]bool)
				for _, i := range random.Perm(n)[:n*9/10] {
					cut[f.order[i]] = true
				}
				wantVersionsInForce(t, f, func(id string) bool { return cut[id] })
			})
		}
	}
}

// wantVersionsInForce cuts instances from the store, and fails unless new versions are in force within
// applyLimit at all others.
func wantVersionsInForce(t *testing.T, f *routedFleet, cut func(id string) bool) {
	t.Helper()
	f.run(2 * time.Second)
	f.storeCut = cut
	f.run(time.Second)
	for end := f.now.Add(cutTime); f.now.Before(end); {
		f.version++
		f.run(applyLimit)
		for _, id := range f.order {
			if !cut(id) {
				asserter.Equal(t, fmt.Sprintf("version at %s", id), f.inForce(id), f.version)
			}
		}
		f.run(changeInterval - applyLimit)
	}
	f.storeCut = nil
	f.run(5 * time.Second)
	asserter.AtMost(t, "watching after the cut", f.watching(), routedWatcherCount)
}

// TestOutageQueries guards against the whole fleet querying a store that answers nobody, for as long as
// that lasts.
func TestOutageQueries(t *testing.T) {
	f := newRoutedFleet(119)
	f.run(2 * time.Second)
	f.storeDown = true
	f.run(5 * time.Second)
	for range 200 {
		f.run(routedTick)
		asserter.AtMost(t, "watching", f.watching(), routedWatcherCount+substituteCount+len(f.order)/2)
		repeating := 0
		for _, id := range f.order {
			if f.watches[id] && !f.trying[id] {
				repeating++
			}
		}
		asserter.AtMost(t, "repeating calls that fail", repeating, routedWatcherCount+substituteCount)
	}
}
