package decider

import (
	"math/rand/v2"
	"testing"
	"time"

	"monsoonswitch/asserter"
	"monsoonswitch/declarer"
	"monsoonswitch/descriptor"
	"monsoonswitch/retrier"
)

// budgetFleet is a routed fleet before backend servers that answer all requests with an error
// for a time. It counts the requests and what reaches the backend servers beyond the first
// arrival of each, in steps of routedTick.
type budgetFleet struct {
	*routedFleet
	bounds  retrier.Bounds
	random  *rand.Rand
	next    descriptor.RequestID
	failing bool
	due     []dueEvent
	// requests and repeats hold the numbers of each step so far.
	requests, repeats []int
}

func newBudgetFleet(instances, backends, slots int, bounds retrier.Bounds) *budgetFleet {
	f := &budgetFleet{routedFleet: newRoutedFleet(instances), bounds: bounds, random: rand.New(rand.NewPCG(1, 2))}
	f.routing = func(version uint64) declarer.Routing {
		r := routingOf(1)
		r.Version = version
		r.Routes[0].Class.Idempotent = true
		r.Routes[0].Class.Attempts = 3
		return r
	}
	f.backends = nil
	for i := range backends {
		name := string(rune('a'+i/26)) + string(rune('a'+i%26))
		f.backends = append(f.backends, descriptor.Backend{ID: name, Name: name, Address: name + ":80", Slots: slots})
	}
	f.version, f.revision = 2, 2
	f.onAction = f.handle
	for _, id := range f.order {
		f.settle(id)
	}
	f.run(5 * time.Second)
	return f
}

// settle gives an instance the bounds of its settings.
func (f *budgetFleet) settle(id string) {
	f.step(id, descriptor.SettingsChanged{At: f.now, RetryRatio: f.bounds.Ratio, RetryExtra: f.bounds.Extra, RetryWindow: f.bounds.Window})
}

// handle plays the backend servers.
func (f *budgetFleet) handle(id string, action descriptor.Action) {
	a, ok := action.(descriptor.Dispatch)
	if !ok || len(f.repeats) == 0 {
		return
	}
	if a.Attempt > 1 {
		f.repeats[len(f.repeats)-1]++
	}
	status := 200
	if f.failing {
		status = 500
	}
	f.due = append(f.due, dueEvent{id: id, event: descriptor.Answered{At: f.now, Request: a.Request, Attempt: a.Attempt, Status: status}})
	if !f.failing {
		f.due = append(f.due, dueEvent{id: id, event: descriptor.Finished{At: f.now, Request: a.Request, Attempt: a.Attempt}})
	}
}

// play sends requests at a rate for a time. The given share of them goes to all instances alike,
// by callers with addresses that they got long ago, and the rest to the instances that callers
// are sent to.
func (f *budgetFleet) play(span time.Duration, rate, strayShare float64) {
	for end := f.now.Add(span); f.now.Before(end); {
		f.requests, f.repeats = append(f.requests, 0), append(f.repeats, 0)
		f.run(routedTick)
		for count := rate * routedTick.Seconds(); f.random.Float64() < count; count-- {
			f.request(strayShare)
		}
		for len(f.due) > 0 {
			e := f.due[0]
			f.due = f.due[1:]
			if f.instances[e.id] != nil {
				f.step(e.id, e.event)
			}
		}
	}
}

func (f *budgetFleet) request(strayShare float64) {
	id := f.order[f.random.IntN(len(f.order))]
	if callers := f.instances[id].index.Get(callersRole); f.random.Float64() >= strayShare && len(callers) > 0 {
		id = callers[f.random.IntN(len(callers))].ID
	}
	f.next++
	f.requests[len(f.requests)-1]++
	f.step(id, descriptor.Arrived{
		At: f.now, Request: f.next, Service: "ledger", Class: "r0", Caller: "c", Fingerprint: uint64(f.next),
		Replayable: true, Deadline: f.now.Add(2 * time.Second),
	})
}

// excess returns the largest number of repeats in a window beyond what the operators allow: the
// ratio of the requests in the window, the one before it or the one half a window before it,
// whichever has most, and the extra ones.
func (f *budgetFleet) excess() float64 {
	n := int(f.bounds.Window / routedTick)
	sum := func(list []int, from, to int) int {
		s := 0
		for i := max(0, from); i < max(0, to); i++ {
			s += list[i]
		}
		return s
	}
	worst := -f.bounds.Extra
	for end := n; end <= len(f.requests); end++ {
		requests := max(sum(f.requests, end-n, end), sum(f.requests, end-2*n, end-n), sum(f.requests, end-n-n/2, end-n/2))
		allowed := f.bounds.Ratio*float64(requests) + f.bounds.Extra
		worst = max(worst, float64(sum(f.repeats, end-n, end))-allowed)
	}
	return worst
}

// half cuts the fleet into two halves that don't hear of each other.
func (f *budgetFleet) half(from, to string) bool {
	first := make(map[string]bool)
	for _, id := range f.order[:len(f.order)/2] {
		first[id] = true
	}
	return first[from] != first[to]
}

// TestRetriesOfFleet guards against retries of all instances together that exceed the bounds:
// by instances that callers are no longer sent to, and by instances that don't hear of each other.
func TestRetriesOfFleet(t *testing.T) {
	// 48 instances, of which 6 own slots.
	bounds := retrier.Bounds{Ratio: 0.2, Extra: 64, Window: 10 * time.Second}
	for _, c := range []struct {
		name        string
		rate, stray float64
		disturb     func(f *budgetFleet)
	}{
		{"callers with old addresses", 30, 0.5, func(f *budgetFleet) { f.play(45*time.Second, 30, 0.5) }},
		{"only callers with old addresses", 30, 0, func(f *budgetFleet) { f.play(bounds.Window, 60, 1) }},
		{"instances that hear of no other", 30, 0.4, func(f *budgetFleet) {
			for _, id := range f.order[10:30] {
				f.partitioned[id] = true
			}
			f.play(8*time.Second, 30, 0.4)
		}},
		{"two halves", 30, 0.1, func(f *budgetFleet) {
			f.cut = f.half
			f.play(8*time.Second, 30, 0.1)
		}},
		{"all started again", 30, 0.4, func(f *budgetFleet) {
			for _, id := range f.order {
				f.restart(id)
				f.settle(id)
			}
			f.play(time.Second, 30, 1)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newBudgetFleet(48, 38, 3, bounds)
			f.play(15*time.Second, c.rate, c.stray)
			c.disturb(f)
			f.failing = true
			f.play(12*time.Second, c.rate, c.stray)
			asserter.AtMost(t, "repeats beyond the bounds", f.excess(), 0)
			sent := 0
			for _, n := range f.repeats {
				sent += n
			}
			asserter.AtLeast(t, "repeats, so that the failures were retried", sent, 20)
			t.Logf("%d repeats of %d requests, most beyond the bounds %.1f", sent, f.next, f.excess())
		})
	}
}
