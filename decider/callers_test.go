package decider

import (
	"fmt"
	"testing"
	"time"

	"monsoonswitch/asserter"
	"monsoonswitch/descriptor"
)

// massRestartTime is the time after a mass restart until all instances agree on where callers are sent.
const massRestartTime = membersKnownLimit + 6*time.Second

// TestCallersAfterMassRestart guards against two parts of a fleet that send callers to different instances for
// good, so that each has grantors of its own: 107 and 29 of 136 after 60 in 100 had restarted at once. New
// instances held records without a capacity, which came with the names of instances to ask.
func TestCallersAfterMassRestart(t *testing.T) {
	const instances = 60
	for _, share := range []int{20, 60, 100} {
		t.Run(fmt.Sprintf("%d in 100 restart", share), func(t *testing.T) {
			f := newRollingFleet(instances)
			for i, n := range f.nodes {
				if i%10 == 0 {
					n.self.Capacity = 800
				}
			}
			f.run(massRestartTime)
			wantOneCallerList(t, f)
			for i, n := range f.nodes {
				if i*37%100 < share {
					n.end()
					f.after(3*time.Second, n.launch)
				}
			}
			f.run(3*time.Second + massRestartTime)
			wantOneCallerList(t, f)
		})
	}
}

// wantOneCallerList fails unless all instances send callers to the same ones, and hold all capacities.
func wantOneCallerList(t *testing.T, f *rollingFleet) {
	t.Helper()
	lists, unknown := make(map[uint64]int), 0
	for _, n := range f.nodes {
		lists[n.decider.callerList.sum]++
		for _, m := range n.decider.gossiper.Members() {
			if m.State == descriptor.Alive && m.Capacity == 0 {
				unknown++
			}
		}
	}
	asserter.Equal(t, "lists", len(lists), 1)
	asserter.Equal(t, "records without a capacity", unknown, 0)
}

// TestCallersDiffer guards against lists that differ and nobody notices.
func TestCallersDiffer(t *testing.T) {
	f := newRoutedFleet(6)
	id, peer := f.order[2], f.order[0]
	d := f.instances[id]
	compare := func(sum uint64) int {
		before := countNotes(d, descriptor.NoteCallersDiffer)
		f.step(id, descriptor.Received{At: f.now, From: peer, Message: descriptor.Comparison{
			Members: d.gossiper.Digest().Hash(), Count: d.gossiper.Digest().Count, Documents: d.spreader.Digest().Hash(), Callers: sum,
		}})
		return countNotes(d, descriptor.NoteCallersDiffer) - before
	}
	asserter.True(t, "has a list", d.callerList.sum != 0)
	asserter.Equal(t, "notes of an equal list", compare(d.callerList.sum), 0)
	asserter.Equal(t, "notes of a list that just differs", compare(7), 0)
	f.now = f.now.Add(lastingDifference)
	asserter.Equal(t, "notes of a list that still differs", compare(7), 1)
	f.now = f.now.Add(lastingDifference)
	asserter.Equal(t, "notes soon after", compare(7), 0)
	asserter.Equal(t, "notes of an equal list later", compare(d.callerList.sum), 0)
	asserter.Equal(t, "notes that the list changed", countNotes(d, descriptor.NoteCallers) > 0, true)
}

// countNotes returns how many notes of a number are kept.
func countNotes(d *Routed, number int) int {
	count := 0
	for _, n := range d.notes.Slice() {
		if n.Number == number {
			count++
		}
	}
	return count
}
