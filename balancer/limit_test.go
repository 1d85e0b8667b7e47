package balancer

import (
	"testing"
	"time"

	"monsoonswitch/asserter"
	"monsoonswitch/descriptor"
	"monsoonswitch/picker"
)

const (
	// limitWindow is the span in which the operators count the requests at a backend server that
	// names a limit, limitGrace the time after it first did from which on they count, and
	// limitNotice how long an instance may send on after it got an answer with the limit.
	limitWindow = 4 * time.Second
	limitGrace  = 3 * time.Second
	limitNotice = 500 * time.Millisecond
	// limitExcess and limitSlack allow limitExcess times the limit and limitSlack requests.
	limitExcess = 1.5
	limitSlack  = 5
)

// limitWatch counts the requests at a backend server that names a limit, from the instances that
// it had told.
type limitWatch struct {
	first time.Duration
	told  map[int]time.Duration
	times []time.Duration
}

func newLimitWatch() limitWatch { return limitWatch{first: -1, told: make(map[int]time.Duration)} }

// tell records that an instance got an answer with the limit.
func (w *limitWatch) tell(now time.Duration, instance int) {
	if w.first < 0 {
		w.first = now
	}
	if _, ok := w.told[instance]; !ok {
		w.told[instance] = now
	}
}

// exceeds records a request of an instance and reports whether too many came.
func (w *limitWatch) exceeds(now time.Duration, instance int, limit float64) bool {
	at, ok := w.told[instance]
	if !ok || now-at < limitNotice || now-w.first < limitGrace {
		return false
	}
	w.times = append(w.times, now)
	n := 0
	for _, t := range w.times {
		if now-t < limitWindow {
			n++
		}
	}
	return float64(n) > limitExcess*limit*limitWindow.Seconds()+limitSlack
}

func (f *simulation[P]) limitOf(backend int) float64 {
	if f.load.limit == nil {
		return 0
	}
	return f.load.limit(backend, f.now)
}

// updateOwners tells the instances who owns slots.
func (f *simulation[P]) updateOwners() {
	if f.load.member == nil {
		return
	}
	var list []descriptor.Member
	for i, m := range f.members {
		if f.load.member(i, f.now) {
			list = append(list, m)
		}
	}
	for _, b := range f.instances {
		b.SetOwners(f.time(), list)
	}
	f.schedule(f.now+100*time.Millisecond, f.updateOwners)
}

// limitFrom returns the limits of a replay in which the first backend servers name a limit from
// 10 to 40 s.
func limitFrom(backends int, limit float64) func(int, time.Duration) float64 {
	return func(backend int, at time.Duration) float64 {
		if backend >= backends || at < 10*time.Second || at >= 40*time.Second {
			return 0
		}
		return limit
	}
}

// TestNamedLimit guards against backend servers getting more than the limit that they named, from
// all instances together.
func TestNamedLimit(t *testing.T) {
	leaving := func(instance int, at time.Duration) bool {
		// Each is away for 6 s, one after the other.
		start := time.Duration(10+4*instance) * time.Second
		return at < start || at >= start+6*time.Second
	}
	for _, c := range []struct {
		name   string
		limit  float64
		capped int
		rate   float64
		member func(int, time.Duration) bool
		// served is the least share of the requests that must be served.
		served float64
	}{
		{"most of a service", 6.2, 6, 60, nil, 0.97},
		{"low limits", 1, 6, 22, nil, 0.97},
		{"all of a service, with room", 9, 8, 55, nil, 0.95},
		{"all of a service, without room", 2, 8, 22, nil, 0.75},
		{"while owners come and go", 5, 6, 60, leaving, 0.97},
		{"low limits while owners come and go", 1.5, 6, 22, leaving, 0.97},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := loadPattern{
				rate: steady(c.rate), idempotent: 0.8, gray: neverGray, shedShare: noSheds, backends: 8, slots: 6,
				instances: 8, limit: limitFrom(c.capped, c.limit), member: c.member,
			}
			got := replay[picker.HighestScore](l)
			asserter.Equal(t, "requests over the limit", got.overLimit, 0)
			asserter.AtLeast(t, "share served", got.share(got.served), c.served)
			t.Logf("%d at limited backend servers, %d refused, longest wait %v", got.limitedArrivals, got.refused, got.longest)
		})
	}
}

// TestLimitAtOtherInstances guards against a limit, or its end, that only the instances learn that
// get answers of the backend server.
func TestLimitAtOtherInstances(t *testing.T) {
	members := []descriptor.Member{{ID: "entry-0"}, {ID: "entry-1"}}
	first := newPooledBalancer(Options{Self: "entry-0"}, members, backendList(2, 3))
	answer := func(id descriptor.RequestID, now time.Time, limit float64) descriptor.Outcomes {
		e := nonIdempotent(id, now)
		e.Deadline = now.Add(time.Second)
		first.Arrive(e)
		now = now.Add(100 * time.Millisecond)
		first.Answered(descriptor.Answered{At: now, Request: id, Attempt: 1, Status: 200, Limit: limit})
		first.Finished(descriptor.Finished{At: now, Request: id, Attempt: 1})
		first.Tick(now.Add(outcomesInterval))
		var last descriptor.Outcomes
		actions, _ := first.Flush(nil, nil)
		for _, a := range actions {
			if s, ok := a.(descriptor.Send); ok {
				last, _ = s.Message.(descriptor.Outcomes)
			}
		}
		return last
	}
	limits := func(b *pooledBalancer) (sum float64) {
		for _, s := range b.backends.All {
			sum += s.allowance.Limit
		}
		return sum
	}
	owner := newPooledBalancer(Options{Self: "entry-1"}, members, backendList(2, 3))
	other := newPooledBalancer(Options{Self: "entry-9"}, members, backendList(2, 3))
	for _, c := range []struct {
		name  string
		limit float64
		at    time.Duration
	}{{"named", 4, 0}, {"ended", 0, 30 * time.Second}} {
		t.Run(c.name, func(t *testing.T) {
			now := epoch.Add(c.at)
			id := descriptor.RequestID(10 + c.at.Seconds())
			var m descriptor.Outcomes
			// The limited backend server is one of two.
			for i := range descriptor.RequestID(20) {
				m = answer(id+20*i, now, c.limit)
				now = now.Add(time.Second)
				owner.HandleOutcomes(now, m)
				other.HandleSuspicionList(now, descriptor.Member{}, descriptor.SuspicionList{Limits: first.Limits(now)})
			}
			asserter.Equal(t, "at a slot owner", limits(owner), limits(first))
			asserter.Equal(t, "at an instance that is none", limits(other), limits(first))
			asserter.Equal(t, "limited", limits(first) > 0, c.limit > 0)
		})
	}
}

// TestNamedLimitDivided guards against more requests than a backend server's limit where the slots
// are divided among the instances that serve a service.
func TestNamedLimitDivided(t *testing.T) {
	const limit = 3
	var instances []*fixture
	members := []descriptor.Member{{ID: "entry-0"}, {ID: "entry-1"}, {ID: "entry-2"}}
	for _, m := range members {
		x := newFixture(t, 3, 1, 6)
		x.b.options.Self = m.ID
		x.b.SetOwners(x.now, members)
		instances = append(instances, x)
	}
	sent := 0
	for step := range 1200 {
		for _, x := range instances {
			x.now = x.now.Add(10 * time.Millisecond)
			x.b.Tick(x.now)
			x.take()
			_, p := x.arrive("visit", nil)
			if p == nil {
				continue
			}
			if step >= 300 {
				sent++
			}
			x.b.Answered(descriptor.Answered{At: x.now, Request: p.Request, Attempt: p.Attempt, Status: 200, Limit: limit})
			x.b.Finished(descriptor.Finished{At: x.now, Request: p.Request, Attempt: p.Attempt})
		}
	}
	asserter.AtMost(t, "requests in 9 s", sent, 9*limit+3)
	asserter.AtLeast(t, "requests in 9 s", sent, 9*limit/2)
}
