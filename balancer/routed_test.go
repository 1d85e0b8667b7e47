package balancer

import (
	"fmt"
	"math"
	"testing"
	"time"

	"monsoonswitch/asserter"
	"monsoonswitch/declarer"
	"monsoonswitch/descriptor"
	"monsoonswitch/detector"
	"monsoonswitch/limiter"
	"monsoonswitch/picker"
)

// TestFailureSentAtOnce guards against a failure reaching the other instance only at
// the next tick, while that instance still sends work to the failing backend server.
func TestFailureSentAtOnce(t *testing.T) {
	b := newPooledBalancer(Options{Self: "entry-0"}, []descriptor.Member{{ID: "entry-0"}, {ID: "entry-1"}}, backendList(3, 3))
	b.Arrive(nonIdempotent(1, epoch))
	b.Answered(descriptor.Answered{At: epoch.Add(quickFailure), Request: 1, Attempt: 1, Status: 500})
	actions, _ := b.Flush(nil, nil)
	var got []string
	for _, a := range actions {
		if s, ok := a.(descriptor.Send); ok {
			got = append(got, s.To.ID)
		}
	}
	asserter.Equal(t, "notified", got, []string{"entry-1"})
}

// pooledBalancer is a balancer with the policies used when outcomes are pooled.
type pooledBalancer = Balancer[detector.Evidence, detector.Sequential, picker.HighestScore, limiter.Bounded]

// newPooledBalancer returns the balancer of one of some owners, with backend servers
// and one class of non-idempotent work.
func newPooledBalancer(o Options, members []descriptor.Member, list []descriptor.Backend) *pooledBalancer {
	service := declarer.Service{Name: "billing", Share: 1, Classes: []declarer.Class{{Name: "once", Target: replayTarget, Attempts: 1}}}
	o.PooledOutcomes = true
	o.NextWrite = func() descriptor.WriteID { return 1 }
	b := New[detector.Evidence, detector.Sequential, picker.HighestScore, limiter.Bounded](service, o)
	b.SetBackends(epoch, list, time.Time{})
	b.SetOwners(epoch, members)
	return b
}

// nonIdempotent returns the arrival of a request that may not run twice.
func nonIdempotent(id descriptor.RequestID, at time.Time) descriptor.Arrived {
	return descriptor.Arrived{At: at, Request: id, Class: "once", Replayable: true, Deadline: epoch.Add(time.Second)}
}

// sentTo lists the backend servers that b dispatched work to since the last call.
func sentTo(b *pooledBalancer) []string {
	var result []string
	actions, _ := b.Flush(nil, nil)
	for _, a := range actions {
		if d, ok := a.(descriptor.Dispatch); ok {
			result = append(result, d.Backend.ID)
		}
	}
	return result
}

// TestConnectionsBrokenTogether breaks the connections of several requests at one
// backend server at the same time. They are one failure of that server, but each
// request must count in the share of failures, at this instance and at the one that
// receives the outcomes.
func TestConnectionsBrokenTogether(t *testing.T) {
	members := []descriptor.Member{{ID: "entry-0"}, {ID: "entry-1"}}
	var instances []*pooledBalancer
	for _, m := range members {
		b := newPooledBalancer(Options{Self: m.ID}, members, backendList(1, 30))
		for range 4 {
			b.HandleOutcomes(epoch, descriptor.Outcomes{Service: "billing", List: []descriptor.BackendOutcomes{{Backend: "b0", Before: 8}}})
		}
		instances = append(instances, b)
	}
	for id := range descriptor.RequestID(6) {
		instances[0].Arrive(nonIdempotent(id+1, epoch))
	}
	for id := range descriptor.RequestID(6) {
		instances[0].Failed(descriptor.Failed{At: epoch.Add(quickFailure), Request: id + 1, Attempt: 1, Fault: descriptor.FaultBroken})
	}
	instances[0].Tick(epoch.Add(outcomesInterval))
	actions, _ := instances[0].Flush(nil, nil)
	for _, a := range actions {
		if s, ok := a.(descriptor.Send); ok {
			if m, ok := s.Message.(descriptor.Outcomes); ok {
				instances[1].HandleOutcomes(epoch.Add(outcomesInterval), m)
			}
		}
	}
	for i, b := range instances {
		asserter.True(t, "failures elevated at "+members[i].ID, b.recentOutcomes.failuresElevated())
	}
}

// TestReportedLoad guards against sending work to a backend server that other
// instances have filled, when this instance itself has sent it none.
func TestReportedLoad(t *testing.T) {
	b := newPooledBalancer(Options{Self: "entry-0"}, []descriptor.Member{{ID: "entry-0"}, {ID: "entry-1"}}, backendList(2, 3))
	b.HandleOutcomes(epoch, descriptor.Outcomes{Service: "billing", List: []descriptor.BackendOutcomes{
		{Backend: "b0", Before: 1, Reported: true, Work: 5}, {Backend: "b1", Before: 1, Reported: true},
	}})
	for id := range descriptor.RequestID(3) {
		b.Arrive(nonIdempotent(id+1, epoch.Add(time.Millisecond)))
	}
	asserter.Equal(t, "sent to", sentTo(b), []string{"b1", "b1", "b1"})
}

// TestLocalFailureDomain has a suspected backend server in the local failure domain
// and a healthy one in another. Only a body that is large or of unknown size justifies
// the risk of the local one.
func TestLocalFailureDomain(t *testing.T) {
	list := []descriptor.Backend{{ID: "local", Domain: "local", Slots: 3}, {ID: "remote", Domain: "remote", Slots: 3}}
	for _, c := range []struct {
		name string
		size int64
		want string
	}{{"no body", 0, "remote"}, {"small body", 1200, "remote"}, {"large body", 60000, "local"}, {"body of unknown size", -1, "local"}} {
		t.Run(c.name, func(t *testing.T) {
			b := newPooledBalancer(Options{Self: "entry-0", Domain: "local"}, []descriptor.Member{{ID: "entry-0"}}, list)
			b.HandleSuspicionList(epoch, descriptor.Member{}, descriptor.SuspicionList{List: []descriptor.Suspicion{{Mark: descriptor.MarkOf("local"), Gray: 0.12}, {Mark: descriptor.MarkOf("remote"), Gray: 0}}})
			r := nonIdempotent(1, epoch)
			r.Body, r.Size = c.size != 0, c.size
			b.Arrive(r)
			asserter.Equal(t, "sent to", sentTo(b), []string{c.want})
		})
	}
}

// TestOscillatingLoad varies the load of a service below the capacity of its healthy
// backend servers.
func TestOscillatingLoad(t *testing.T) {
	l := loadPattern{idempotent: 0.7, gray: grayPeriods, shedShare: noSheds, backends: 11, slots: 3, rate: func(at time.Duration) float64 {
		return 60 * (1 + 0.55*math.Sin(2*math.Pi*at.Seconds()/15))
	}}
	got := replay[picker.HighestScore](l)
	// The operators' target is that 97% are served.
	asserter.AtLeast(t, "served in time", got.share(got.inTarget), 0.97)
}

// TestGrayPeriods has backend servers that are gray in some periods of nine seconds and
// then fail most of their work at once. The balancer must avoid them without leaving
// healthy backend servers idle.
func TestGrayPeriods(t *testing.T) {
	l := loadPattern{rate: steady(72), gray: grayPeriods, shedShare: noSheds, backends: 21, slots: 3}
	got := replay[picker.HighestScore](l)
	// Without placement, 30% of the backend servers fail 90% of their requests.
	const unplaced = 0.3 * 0.9
	t.Run("few of the requests that may not run twice fail", func(t *testing.T) {
		asserter.AtMost(t, "share", got.share(got.failed), unplaced/5)
	})
	t.Run("none runs twice", func(t *testing.T) { asserter.Equal(t, "runs", got.ranTwice, 0) })
	t.Run("almost none is refused", func(t *testing.T) { asserter.AtMost(t, "share", got.share(got.refused), 0.005) })
	t.Run("most healthy backend servers have work", func(t *testing.T) {
		asserter.AtLeast(t, "backend servers used", len(got.used), 15)
	})
}

// TestGrayPeriodsIdempotent is TestGrayPeriods with a smaller service and idempotent
// work only. Retries must hide nearly all failures within the bounds of the retries.
func TestGrayPeriodsIdempotent(t *testing.T) {
	l := loadPattern{rate: steady(30), idempotent: 1, gray: grayPeriods, shedShare: noSheds, backends: 11, slots: 3}
	got := replay[picker.HighestScore](l)
	asserter.AtMost(t, "share that fails", got.share(got.failed), 0.01)
	asserter.AtMost(t, "arrivals for each request", float64(got.arrivals)/float64(got.sent), 1.2+50.0/(10*30))
}

// TestRefusedByAll has all backend servers refuse half of their work for ten seconds.
// Work that did not run must be retried, but the retries must stay bounded or they add
// to the overload.
func TestRefusedByAll(t *testing.T) {
	l := loadPattern{rate: steady(60), gray: neverGray, backends: 21, slots: 3, shedShare: func(at time.Duration) float64 {
		if at > 10*time.Second && at < 20*time.Second {
			return 0.5
		}
		return 0
	}}
	got := replay[picker.HighestScore](l)
	t.Run("work that did not run is retried within the bounds", func(t *testing.T) {
		// Half of the retries allowed in ten seconds are served, and at least three
		// quarters of these must be used for the 300 requests refused once. Healthy
		// backend servers fail 1.2% of the requests.
		saved := 0.75 * 0.5 * (0.2*600 + 50)
		asserter.AtLeast(t, "served", got.share(got.served), 1-(300-saved)/float64(got.sent)-0.012)
		asserter.AtMost(t, "arrivals beyond the first", float64(got.arrivals-got.sent), 0.2*float64(got.sent)+50*5)
	})
	t.Run("none runs twice", func(t *testing.T) { asserter.Equal(t, "runs", got.ranTwice, 0) })
}

// TestPeakLoad sends twice as much as the backend servers can serve for ten seconds.
// Without admission control the queues grow until all requests miss their target.
func TestPeakLoad(t *testing.T) {
	l := loadPattern{gray: neverGray, shedShare: noSheds, backends: 6, slots: 3, rate: func(at time.Duration) float64 {
		if at > 20*time.Second && at < 30*time.Second {
			return 180
		}
		return 45
	}}
	got := replay[picker.HighestScore](l)
	t.Run("requests that are served meet their target", func(t *testing.T) {
		asserter.AtLeast(t, "share", float64(got.inTarget)/float64(got.served), 0.97)
	})
	t.Run("requests are refused before their target", func(t *testing.T) {
		asserter.AtMost(t, "longest wait", got.longest, replayTarget)
	})
	t.Run("only the load above capacity is refused", func(t *testing.T) {
		// The backend servers serve 90 requests per second, of which at least 85%
		// must be used.
		asserter.AtMost(t, "refused", got.refused, 10*180-10*90*85/100)
	})
}

// refusals returns the refusals of b since the last call.
func refusals(b *pooledBalancer) []descriptor.Refuse {
	actions, _ := b.Flush(nil, nil)
	var list []descriptor.Refuse
	for _, a := range actions {
		if r, ok := a.(descriptor.Refuse); ok {
			list = append(list, r)
		}
	}
	return list
}

// TestBegunAnswerEnds guards against an answer that began and never ends, which occupied its
// slot after the deadline of the request or after its caller left.
func TestBegunAnswerEnds(t *testing.T) {
	begun := func() *pooledBalancer {
		b := newPooledBalancer(Options{Self: "entry-0"}, []descriptor.Member{{ID: "entry-0"}}, backendList(3, 3))
		b.Arrive(nonIdempotent(1, epoch))
		b.Answered(descriptor.Answered{At: epoch.Add(time.Millisecond), Request: 1, Attempt: 1, Status: 200})
		b.Flush(nil, nil)
		return b
	}
	t.Run("before the deadline the answer goes on", func(t *testing.T) {
		b := begun()
		b.Tick(epoch.Add(900 * time.Millisecond))
		asserter.Equal(t, "refused", len(refusals(b)), 0)
	})
	t.Run("after the deadline it is cut", func(t *testing.T) {
		b := begun()
		b.Tick(epoch.Add(1200 * time.Millisecond))
		asserter.Equal(t, "refused", refusals(b), []descriptor.Refuse{{Request: 1, Reason: descriptor.AnswerCut, Outcome: descriptor.Ran}})
		asserter.Equal(t, "open requests", b.Open(), 0)
	})
	t.Run("when the caller leaves it is cut, also of work that may run only once", func(t *testing.T) {
		b := begun()
		b.Gone(descriptor.CallerGone{At: epoch.Add(100 * time.Millisecond), Request: 1})
		asserter.Equal(t, "refused", refusals(b), []descriptor.Refuse{{Request: 1, Reason: descriptor.Abandoned, Outcome: descriptor.Ran}})
		asserter.Equal(t, "open requests", b.Open(), 0)
	})
}

// BenchmarkDeclare declares a service with the routes of a large routing.
func BenchmarkDeclare(b *testing.B) {
	s := declarer.Service{Name: "billing"}
	for i := range 1400 {
		s.Classes = append(s.Classes, declarer.Class{Name: fmt.Sprintf("route-%d", i), Target: replayTarget})
	}
	x := newPooledBalancer(Options{Self: "entry-0"}, []descriptor.Member{{ID: "entry-0"}}, backendList(3, 3))
	for b.Loop() {
		x.Declare(s, 1)
	}
}
