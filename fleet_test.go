package main

import (
	"context"
	"sync"
	"testing"
	"time"

	"monsoonswitch/asserter"
	"monsoonswitch/declarer"
	"monsoonswitch/imitator"
	"monsoonswitch/reporter"
)

// fleetSize is the number of instances of the fleets in these tests.
const fleetSize = 12

// TestFleetConfiguration checks that a revision takes effect at all instances under
// load, that a new instance gets it from the others, and that closing a service ends
// with a complete report.
func TestFleetConfiguration(t *testing.T) {
	f := newFleet(t, fleetSize)
	x := newTraffic(f, 4)
	s := fieldbook()
	s.Floor = 3
	f.waitRevision(f.declare(s))
	t.Run("a new instance starts while the store is unavailable", func(*testing.T) {
		f.store.SetFault(imitator.StoreFault{Outage: true})
		f.start()
		f.waitReady(fleetSize + 1)
		f.store.SetFault(imitator.StoreFault{})
	})
	t.Run("closing refuses correctly and the report is sealed", func(t *testing.T) {
		f.waitRevision(f.declare(s.WithState(declarer.Closing)))
		x.finish()
		f.waitRevision(f.declare(s.WithState(declarer.Closed)))
		f.stopAll()
		r, err := reporter.Read(context.Background(), f.client, "fieldbook", time.Now())
		asserter.NoError(t, "report", err)
		asserter.Equal(t, "sealed", r.Sealed, true)
		asserter.Equal(t, "served", int(r.Served), x.served)
	})
}

// TestFleetStoreOutage checks that every request gets an answer while the store is
// unavailable and a backend server fails all requests.
func TestFleetStoreOutage(t *testing.T) {
	f := newFleet(t, fleetSize)
	f.store.SetFault(imitator.StoreFault{Outage: true})
	x := newTraffic(f, 4)
	f.backends[1].SetFault(imitator.BackendFault{Errors: 1}, time.Now())
	time.Sleep(3 * time.Second)
	x.finish()
	asserter.Equal(t, "unknown", x.unknown, 0)
}

// TestFleetOneWayPartition checks the guarantees while links work in one direction
// only, and that the fleet recovers afterwards.
func TestFleetOneWayPartition(t *testing.T) {
	f := newFleet(t, fleetSize)
	x := newTraffic(f, 4)
	for i, p := range f.live() {
		if i%3 == 0 {
			f.cut(p, "upstream")
		}
		if i%3 == 1 {
			f.cut(p, "downstream")
		}
	}
	time.Sleep(8 * time.Second)
	for _, p := range f.live() {
		f.heal(p)
	}
	f.waitReady(fleetSize)
	x.finish()
}

// TestFleetKill checks the guarantees when a third of the instances is killed at once.
func TestFleetKill(t *testing.T) {
	f := newFleet(t, fleetSize)
	x := newTraffic(f, 4)
	time.Sleep(time.Second)
	for i, p := range f.live() {
		if i%3 == 2 {
			f.kill(p)
		}
	}
	f.waitReady(fleetSize - fleetSize/3)
	x.finish()
}

// TestFleetRollingRestart checks that replacing all instances, three at a time, leaves
// no request without an answer and refuses none because of the restart, and that the
// report is complete.
func TestFleetRollingRestart(t *testing.T) {
	f := newFleet(t, fleetSize)
	x := newTraffic(f, 4)
	old := f.live()
	for i := 0; i < len(old); i += 3 {
		for range 3 {
			f.start()
		}
		var group sync.WaitGroup
		for _, p := range old[i : i+3] {
			group.Add(1)
			go func() {
				defer group.Done()
				f.stop(p)
			}()
		}
		group.Wait()
	}
	f.waitReady(fleetSize)
	x.finish()
	// Requests may be refused as overloaded on a slow machine, but none may be
	// refused because of the restart.
	asserter.Equal(t, "refused because of the restart", x.refused-x.reasons["overloaded not-run"], 0)
	asserter.Equal(t, "unknown", x.unknown, 0)
	t.Run("the report is complete", func(t *testing.T) {
		f.stopAll()
		r, err := reporter.Read(context.Background(), f.client, "fieldbook", time.Now())
		asserter.NoError(t, "report", err)
		asserter.Equal(t, "served", int(r.Served), x.served)
		asserter.Equal(t, "vanished", r.Vanished, 0)
	})
}
