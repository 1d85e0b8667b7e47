package decider

import (
	"testing"
	"time"

	"monsoonswitch/asserter"
	"monsoonswitch/descriptor"
)

// stoppingFleet is a routed fleet whose first instance is shutting down. Its backend servers
// never answer.
type stoppingFleet struct {
	*routedFleet
	id         string
	started    time.Time
	dispatched map[descriptor.RequestID]bool
	complete   bool
}

func newStoppingFleet(grace time.Duration) *stoppingFleet {
	f := &stoppingFleet{routedFleet: newRoutedFleet(3), dispatched: make(map[descriptor.RequestID]bool)}
	f.id = f.order[0]
	f.onAction = func(id string, action descriptor.Action) {
		switch a := action.(type) {
		case descriptor.Dispatch:
			f.dispatched[a.Request] = true
		case descriptor.ShutdownComplete:
			f.complete = f.complete || id == f.id
		}
	}
	f.step(f.id, descriptor.SettingsChanged{At: f.now, Grace: grace})
	return f
}

func (f *stoppingFleet) stop() {
	f.started = f.now
	f.step(f.id, descriptor.ShutdownRequested{At: f.now})
}

// arrive gives the instance a request and reports whether it was refused at once as not run.
func (f *stoppingFleet) arrive(id descriptor.RequestID, left time.Duration) bool {
	f.refused = nil
	f.step(f.id, descriptor.Arrived{At: f.now, Request: id, Service: "ledger", Class: "r0", Deadline: f.now.Add(left)})
	return len(f.refused) == 1 && f.refused[0].Outcome == descriptor.NotRun
}

// TestRequestsOfShutdown guards against requests that a planned stop cuts without an answer:
// those that it takes late, those that still wait at its end, and those that come after its end
// was decided.
func TestRequestsOfShutdown(t *testing.T) {
	t.Run("late in a long grace time", func(t *testing.T) {
		f := newStoppingFleet(10 * time.Second)
		f.arrive(1, time.Minute)
		f.stop()
		f.run(3100 * time.Millisecond)
		asserter.True(t, "refused", f.arrive(2, 8*time.Second))
		asserter.Equal(t, "one that ends in time is refused", f.arrive(3, 2*time.Second), false)
	})
	t.Run("waiting at its end", func(t *testing.T) {
		f := newStoppingFleet(6 * time.Second)
		for id := range descriptor.RequestID(40) {
			f.arrive(id+1, time.Minute)
		}
		f.stop()
		f.refused = nil
		for !f.complete {
			f.run(routedTick)
		}
		for id := range descriptor.RequestID(40) {
			answered := f.dispatched[id+1]
			for _, r := range f.refused {
				answered = answered || r.Request == id+1
			}
			asserter.True(t, "sent on or answered", answered)
		}
	})
	t.Run("after its end was decided", func(t *testing.T) {
		f := newStoppingFleet(6 * time.Second)
		f.stop()
		for !f.complete {
			f.run(routedTick)
		}
		asserter.AtMost(t, "time until the end", f.now.Sub(f.started), 3500*time.Millisecond)
		asserter.True(t, "refused", f.arrive(1, time.Second))
		asserter.Equal(t, "sent on", len(f.dispatched), 0)
	})
}
