package balancer

import (
	"fmt"
	"testing"
	"time"

	"monsoonswitch/asserter"
	"monsoonswitch/declarer"
	"monsoonswitch/descriptor"
	"monsoonswitch/detector"
	"monsoonswitch/limiter"
	"monsoonswitch/picker"
)

// fixture drives one balancer with a simulated clock.
type fixture struct {
	t        *testing.T
	b        *Balancer[detector.Evidence, detector.Sequential, picker.Sampled, limiter.Adaptive]
	now      time.Time
	writes   descriptor.WriteID
	requests descriptor.RequestID
	actions  []descriptor.Action
	ended    []Ended
}

func testService() declarer.Service {
	return declarer.Service{
		Name:  "fieldbook",
		Floor: 4,
		Classes: []declarer.Class{
			{Name: "visit", Target: 400 * time.Millisecond, Idempotent: true},
			{Name: "booking", Target: time.Second},
			{Name: "upload", Target: time.Minute, Long: true},
		},
	}
}

// newFixture returns a fixture with the balancer of the first of some instances, which
// all own slots, and with backend servers b0, b1, ...
func newFixture(t *testing.T, instances, backends, slots int) *fixture {
	x := &fixture{t: t, now: time.Unix(1000, 0)}
	x.b = New[detector.Evidence, detector.Sequential, picker.Sampled, limiter.Adaptive](testService(), Options{
		Self: "entry-0",
		Seed: 1,
		NextWrite: func() descriptor.WriteID {
			x.writes++
			return x.writes
		},
	})
	var members []descriptor.Member
	for i := range instances {
		members = append(members, descriptor.Member{ID: fmt.Sprintf("entry-%d", i)})
	}
	x.b.SetBackends(x.now, backendList(backends, slots), time.Time{})
	x.b.SetOwners(x.now, members)
	x.take()
	return x
}

func backendList(n, slots int) []descriptor.Backend {
	var list []descriptor.Backend
	for i := range n {
		list = append(list, descriptor.Backend{ID: fmt.Sprintf("b%d", i), Address: fmt.Sprintf("a%d", i), Slots: slots})
	}
	return list
}

// take replaces actions and ended by those since the last call.
func (x *fixture) take() {
	x.actions, x.ended = x.b.Flush(nil, nil)
}

// arrive sends a request and returns its dispatch, if it was dispatched.
func (x *fixture) arrive(class string, change func(*descriptor.Arrived)) (descriptor.RequestID, *descriptor.Dispatch) {
	x.requests++
	e := descriptor.Arrived{
		At:          x.now,
		Request:     x.requests,
		Service:     "fieldbook",
		Class:       class,
		Caller:      "c",
		Fingerprint: uint64(x.requests),
		Replayable:  true,
	}
	if change != nil {
		change(&e)
	}
	x.b.Arrive(e)
	x.take()
	return e.Request, x.dispatched(e.Request)
}

func (x *fixture) dispatched(id descriptor.RequestID) *descriptor.Dispatch {
	for _, a := range x.actions {
		if d, ok := a.(descriptor.Dispatch); ok && d.Request == id {
			return &d
		}
	}
	return nil
}

func (x *fixture) refused(id descriptor.RequestID) *descriptor.Refuse {
	for _, a := range x.actions {
		if r, ok := a.(descriptor.Refuse); ok && r.Request == id {
			return &r
		}
	}
	return nil
}

// serve answers a dispatched request after d.
func (x *fixture) serve(p descriptor.Dispatch, d time.Duration, status int) {
	x.now = x.now.Add(d)
	x.b.Answered(descriptor.Answered{At: x.now, Request: p.Request, Attempt: p.Attempt, Status: status})
	x.take()
	if x.dispatched(p.Request) == nil {
		x.b.Finished(descriptor.Finished{At: x.now, Request: p.Request, Attempt: p.Attempt, Bytes: 1})
		actions := x.actions
		x.take()
		x.actions = append(actions, x.actions...)
	}
}

func (x *fixture) fail(p descriptor.Dispatch, fault descriptor.Fault) {
	x.b.Failed(descriptor.Failed{At: x.now, Request: p.Request, Attempt: p.Attempt, Fault: fault, BodyReplayable: true})
	x.take()
}

// run ticks every 10 ms for d and collects all actions and ended requests.
func (x *fixture) run(d time.Duration) {
	var actions []descriptor.Action
	var ended []Ended
	for end := x.now.Add(d); x.now.Before(end); {
		x.now = x.now.Add(10 * time.Millisecond)
		x.b.Tick(x.now)
		x.take()
		actions = append(actions, x.actions...)
		ended = append(ended, x.ended...)
	}
	x.actions, x.ended = actions, ended
}

// warm serves enough requests for the service times to be known.
func (x *fixture) warm() {
	for i := range 400 {
		if _, p := x.arrive("visit", nil); p != nil {
			x.serve(*p, time.Duration(10+i%40)*time.Millisecond, 200)
		}
	}
}

func (x *fixture) wantRefusal(id descriptor.RequestID, reason descriptor.Reason, outcome descriptor.Outcome) {
	x.t.Helper()
	r := x.refused(id)
	if r == nil {
		x.t.Fatalf("request %d: got no refusal, want %v", id, reason)
	}
	asserter.Equal(x.t, "reason", r.Reason, reason)
	asserter.Equal(x.t, "outcome", r.Outcome, outcome)
}

func TestSlots(t *testing.T) {
	t.Run("an owner starts no more requests than its share of the slots", func(t *testing.T) {
		x := newFixture(t, 3, 6, 3)
		started := 0
		for range 20 {
			if _, p := x.arrive("visit", nil); p != nil {
				started++
			}
		}
		asserter.Equal(t, "started", started, 6)
	})
	t.Run("a freed slot takes the next request", func(t *testing.T) {
		x := newFixture(t, 1, 1, 1)
		_, first := x.arrive("visit", nil)
		second, p := x.arrive("visit", nil)
		asserter.True(t, "second waits", p == nil)
		x.serve(*first, 5*time.Millisecond, 200)
		asserter.True(t, "second started", x.dispatched(second) != nil)
	})
	t.Run("queued work is refused as not run before its target", func(t *testing.T) {
		x := newFixture(t, 1, 1, 1)
		x.arrive("visit", nil)
		id, _ := x.arrive("visit", nil)
		x.run(500 * time.Millisecond)
		x.wantRefusal(id, descriptor.Overloaded, descriptor.NotRun)
	})
	t.Run("callers take turns", func(t *testing.T) {
		x := newFixture(t, 1, 1, 1)
		_, running := x.arrive("visit", nil)
		for range 50 {
			x.arrive("visit", func(e *descriptor.Arrived) { e.Caller = "greedy" })
		}
		modest, _ := x.arrive("visit", func(e *descriptor.Arrived) { e.Caller = "modest" })
		x.serve(*running, time.Millisecond, 200)
		for _, a := range x.actions {
			if d, ok := a.(descriptor.Dispatch); ok {
				x.serve(d, time.Millisecond, 200)
				break
			}
		}
		asserter.True(t, "modest caller is second", x.dispatched(modest) != nil)
	})
	t.Run("long work never takes every slot", func(t *testing.T) {
		x := newFixture(t, 1, 6, 3)
		started := 0
		for range 30 {
			if _, p := x.arrive("upload", nil); p != nil {
				started++
			}
		}
		asserter.AtMost(t, "uploads started", started, 9)
		_, p := x.arrive("visit", nil)
		asserter.True(t, "short work starts", p != nil)
	})
	t.Run("a slot leased out is not used until the lease ends", func(t *testing.T) {
		x := newFixture(t, 2, 2, 2)
		x.b.HandleSlotDemand(x.now, descriptor.Member{ID: "entry-1"}, descriptor.SlotDemand{Service: "fieldbook", Slots: 1})
		x.take()
		asserter.Equal(t, "leases", len(x.actions), 1)
		started := 0
		for range 4 {
			if _, p := x.arrive("visit", nil); p != nil {
				started++
			}
		}
		asserter.Equal(t, "started beside the lease", started, 1)
	})
}

func TestRetry(t *testing.T) {
	t.Run("refused connection goes elsewhere for all work", func(t *testing.T) {
		x := newFixture(t, 1, 3, 1)
		_, p := x.arrive("booking", nil)
		x.fail(*p, descriptor.FaultConnect)
		again := x.dispatched(p.Request)
		asserter.True(t, "sent again", again != nil)
		asserter.True(t, "to another one", again.Backend.ID != p.Backend.ID)
	})
	t.Run("broken non-idempotent work is never sent again", func(t *testing.T) {
		x := newFixture(t, 1, 3, 1)
		id, p := x.arrive("booking", nil)
		x.fail(*p, descriptor.FaultBroken)
		x.wantRefusal(id, descriptor.BackendFailed, descriptor.MayHaveRun)
	})
	t.Run("shed non-idempotent work is refused as not run when no backend server is left", func(t *testing.T) {
		x := newFixture(t, 1, 1, 1)
		id, p := x.arrive("booking", nil)
		x.fail(*p, descriptor.FaultShed)
		x.wantRefusal(id, descriptor.Overloaded, descriptor.NotRun)
	})
	t.Run("the budget bounds the retries when all work fails", func(t *testing.T) {
		x := newFixture(t, 1, 6, 3)
		attempts := 0
		for range 200 {
			_, p := x.arrive("visit", nil)
			for p != nil {
				attempts++
				failed := *p
				x.b.Answered(descriptor.Answered{At: x.now, Request: failed.Request, Attempt: failed.Attempt, Status: 503})
				x.take()
				p = x.dispatched(failed.Request)
				if p == nil {
					x.b.Finished(descriptor.Finished{At: x.now, Request: failed.Request, Attempt: failed.Attempt})
					x.take()
				}
			}
		}
		asserter.AtMost(t, "attempts", attempts, 215)
	})
	t.Run("slow work of a class with few observations is hedged while it can meet its target", func(t *testing.T) {
		x := newFixture(t, 1, 6, 3)
		visit, _ := x.b.Service().Class("visit")
		_, p := x.arrive("visit", nil)
		x.run(visit.Target * 6 / 10)
		asserter.True(t, "hedged", x.dispatched(p.Request) != nil)
	})
	t.Run("overdue work is hedged and the slower answer dropped", func(t *testing.T) {
		x := newFixture(t, 1, 6, 3)
		x.warm()
		_, p := x.arrive("visit", nil)
		x.run(200 * time.Millisecond)
		hedge := x.dispatched(p.Request)
		asserter.True(t, "hedged", hedge != nil)
		x.b.Answered(descriptor.Answered{At: x.now, Request: hedge.Request, Attempt: hedge.Attempt, Status: 200})
		x.take()
		asserter.Equal(t, "actions", x.actions, []descriptor.Action{
			descriptor.Cancel{Request: p.Request, Attempt: p.Attempt},
			descriptor.Deliver{Request: p.Request, Attempt: hedge.Attempt},
		})
		x.b.Answered(descriptor.Answered{At: x.now, Request: p.Request, Attempt: p.Attempt, Status: 200})
		x.take()
		asserter.Equal(t, "late answer", len(x.actions), 0)
	})
}

func TestCutAndGone(t *testing.T) {
	t.Run("work with a cut answer counts as run", func(t *testing.T) {
		x := newFixture(t, 1, 2, 1)
		id, p := x.arrive("visit", nil)
		x.b.Answered(descriptor.Answered{At: x.now, Request: id, Attempt: p.Attempt, Status: 200})
		x.take()
		x.fail(*p, descriptor.FaultTruncated)
		x.wantRefusal(id, descriptor.AnswerCut, descriptor.Ran)
	})
	t.Run("idempotent work is cancelled when its caller disconnects", func(t *testing.T) {
		x := newFixture(t, 1, 2, 1)
		id, p := x.arrive("visit", nil)
		x.b.Gone(descriptor.CallerGone{At: x.now, Request: id})
		x.take()
		asserter.Equal(t, "first action", x.actions[0], descriptor.Action(descriptor.Cancel{Request: id, Attempt: p.Attempt}))
		asserter.Equal(t, "open requests", x.b.Open(), 0)
	})
	t.Run("non-idempotent work runs on when its caller disconnects", func(t *testing.T) {
		x := newFixture(t, 1, 2, 1)
		id, p := x.arrive("booking", nil)
		x.b.Gone(descriptor.CallerGone{At: x.now, Request: id})
		x.take()
		asserter.Equal(t, "actions", len(x.actions), 0)
		x.b.Answered(descriptor.Answered{At: x.now, Request: id, Attempt: p.Attempt, Status: 200})
		x.b.Finished(descriptor.Finished{At: x.now, Request: id, Attempt: p.Attempt})
		x.take()
		asserter.Equal(t, "ended", x.ended[0].Reason, descriptor.Abandoned)
		asserter.Equal(t, "outcome", x.ended[0].Outcome, descriptor.Ran)
	})
}

// TestDrain guards against new work for a backend server that announces in an answer
// that it is draining. The other owners must be notified, since they may have received
// no answer from it.
func TestDrain(t *testing.T) {
	x := newFixture(t, 2, 2, 4)
	_, p := x.arrive("visit", nil)
	x.b.Answered(descriptor.Answered{At: x.now, Request: p.Request, Attempt: p.Attempt, Status: 200, Health: descriptor.HealthDraining})
	x.take()
	notified := false
	for _, a := range x.actions {
		s, ok := a.(descriptor.Send)
		notified = notified || ok && s.Message.Type() == descriptor.TypeDrain
	}
	asserter.True(t, "notified the other instance", notified)
	for range 2 {
		_, next := x.arrive("visit", nil)
		asserter.True(t, "started", next != nil)
		asserter.True(t, "elsewhere", next.Backend.ID != p.Backend.ID)
	}
}

// TestPoison guards against a request that crashes every backend server that runs it.
// It must be refused after two crashes, while a broken connection to a backend server
// that is up must not count as a crash.
func TestPoison(t *testing.T) {
	mark := func(e *descriptor.Arrived) { e.Fingerprint = 99 }
	t.Run("a request is refused after two crashes", func(t *testing.T) {
		x := newFixture(t, 1, 6, 3)
		crashes := 0
		for range 5 {
			_, p := x.arrive("visit", mark)
			for p != nil {
				crashes++
				x.b.Probed(descriptor.Probed{At: x.now, Backend: p.Backend.ID})
				failed := *p
				x.fail(failed, descriptor.FaultBroken)
				p = x.dispatched(failed.Request)
			}
		}
		asserter.Equal(t, "crashes", crashes, 2)
		id, _ := x.arrive("visit", mark)
		x.wantRefusal(id, descriptor.Poisoned, descriptor.NotRun)
	})
	t.Run("crashes at another instance count", func(t *testing.T) {
		x := newFixture(t, 2, 6, 3)
		x.b.HandleCrash(x.now, descriptor.CrashReport{Fingerprint: 99, Backend: "b1"})
		x.b.HandleCrash(x.now, descriptor.CrashReport{Fingerprint: 99, Backend: "b2"})
		id, _ := x.arrive("visit", mark)
		x.wantRefusal(id, descriptor.Poisoned, descriptor.NotRun)
	})
	t.Run("a broken connection is not a crash if the backend server is up", func(t *testing.T) {
		x := newFixture(t, 1, 6, 3)
		for range 3 {
			_, p := x.arrive("booking", mark)
			x.fail(*p, descriptor.FaultBroken)
			x.b.Probed(descriptor.Probed{At: x.now, Backend: p.Backend.ID, Suspected: true, Alive: true})
			x.take()
		}
		_, p := x.arrive("booking", mark)
		asserter.True(t, "still served", p != nil)
	})
	t.Run("a crash still counts when the backend server is up again", func(t *testing.T) {
		x := newFixture(t, 1, 6, 3)
		for range 2 {
			_, p := x.arrive("booking", mark)
			x.fail(*p, descriptor.FaultBroken)
			x.b.Probed(descriptor.Probed{At: x.now, Backend: p.Backend.ID, Suspected: true})
			for range 2 {
				x.b.Probed(descriptor.Probed{At: x.now, Backend: p.Backend.ID, Alive: true})
			}
			x.take()
		}
		id, _ := x.arrive("booking", mark)
		x.wantRefusal(id, descriptor.Poisoned, descriptor.NotRun)
	})
}
