package rationer

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"monsoonswitch/asserter"
	"monsoonswitch/declarer"
	"monsoonswitch/descriptor"
	"monsoonswitch/limiter"
)

const (
	// replayNodes and replayCallers are the instances of a large deployment, and those of them
	// that callers are sent to.
	replayNodes, replayCallers = 136, 8
	// strayShare is the share of requests at other instances.
	strayShare = 0.03
	// minServedShare is the share of what a limit allows that must be served.
	minServedShare = 0.95
	replayStep     = time.Millisecond
	replaySpan     = 12 * time.Second
)

// replayCustomers returns 87 customers whose rates fall from 300 to 2 a second as in a Zipf
// distribution.
func replayCustomers() []declarer.Customer {
	var list []declarer.Customer
	for i := range 87 {
		rate := max(2, math.Round(300/math.Pow(float64(i+1), 1.12)))
		list = append(list, declarer.Customer{Name: fmt.Sprintf("customer-%d", i), Rate: rate, Burst: rate})
	}
	return list
}

// stream is the requests of one customer.
type stream struct {
	customer declarer.Customer
	// rate is the number of requests a second.
	rate float64
	// at returns the instance of a request.
	at func(*testFleet) *node
}

// replay is a fleet and what one central token bucket for each customer would have served.
type replay struct {
	*testFleet
	allowed map[string]int
	buckets map[string]limiter.Bucket
}

func newReplay(seed uint64, customers ...declarer.Customer) *replay {
	r := &replay{testFleet: newTestFleet(seed, replayNodes, replayCallers, customers...), allowed: make(map[string]int), buckets: make(map[string]limiter.Bucket)}
	r.advance(startWait + 10*time.Second)
	r.sent, r.bytes = 0, make(map[string]int)
	return r
}

// play sends the requests of streams.
func (r *replay) play(span time.Duration, streams []stream) {
	for end := r.now + span; r.now < end; {
		r.advance(r.now + replayStep)
		for _, s := range streams {
			for range r.poisson(s.rate * replayStep.Seconds()) {
				c := s.customer
				b := r.buckets[c.Name].WithTime(epoch.Add(r.now), c.Rate, c.Burst)
				if b.Whole() >= 1 {
					b = b.WithRequests(1)
					r.allowed[c.Name]++
				}
				r.buckets[c.Name] = b
				r.request(s.at(r.testFleet), c.Name)
			}
		}
	}
}

// poisson returns a random number with a small mean.
func (r *replay) poisson(mean float64) int {
	n := 0
	for p, limit := r.random.Float64(), math.Exp(-mean); p > limit; n++ {
		p *= r.random.Float64()
	}
	return n
}

// check reports the share of what limits allow that was served, and what ran in windows.
func (r *replay) check(t *testing.T, customers []declarer.Customer) {
	t.Helper()
	// Requests that wait are decided.
	r.advance(r.now + maxWait + 2*testTick)
	served, allowed, least, worst := 0, 0, math.Inf(1), 0.0
	for _, c := range customers {
		served += min(len(r.ran[c.Name]), r.allowed[c.Name])
		allowed += r.allowed[c.Name]
		if r.allowed[c.Name] > 0 {
			least = min(least, float64(len(r.ran[c.Name]))/float64(r.allowed[c.Name]))
		}
		bound := standardRule.Bound(Limit{Rate: c.Rate, Burst: c.Burst})
		worst = max(worst, float64(r.worst(c.Name))/bound)
		asserter.AtMost(t, c.Name+": requests in a window", float64(r.worst(c.Name)), bound)
	}
	share := float64(served) / float64(allowed)
	slices.Sort(r.waits)
	total, most := 0, 0
	for _, n := range r.bytes {
		total, most = total+n, max(most, n)
	}
	t.Logf("%.4f of %d allowed requests served, least of a customer %.3f; worst window %.3f of its bound; waits: p99 %v, most %v; "+
		"messages %.0f a second, bytes %.0f a second, of an instance at most %.0f", share, allowed, least, worst, quantile(r.waits, 0.99), quantile(r.waits, 1),
		float64(r.sent)/replaySpan.Seconds(), float64(total)/replaySpan.Seconds(), float64(most)/replaySpan.Seconds())
	asserter.AtLeast(t, "served share of what limits allow", share, minServedShare)
	asserter.AtLeast(t, "least served share of a customer", least, minServedShare)
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(q*float64(len(sorted)-1))]
}

// atCallers returns an instance as callers choose it.
func atCallers(f *testFleet) *node {
	if f.random.Float64() < strayShare {
		return f.nodes[f.random.IntN(len(f.nodes))]
	}
	return f.nodes[f.random.IntN(replayCallers)]
}

func atAny(f *testFleet) *node { return f.nodes[f.random.IntN(len(f.nodes))] }

// TestCalm guards against requests below the limits that are refused or delayed.
func TestCalm(t *testing.T) {
	for _, load := range []float64{0.5, 0.8, 0.97} {
		t.Run(fmt.Sprintf("%v of the limits", load), func(t *testing.T) {
			customers := replayCustomers()
			r := newReplay(1, customers...)
			var streams []stream
			for _, c := range customers {
				streams = append(streams, stream{customer: c, rate: load * c.Rate, at: atCallers})
			}
			r.play(replaySpan, streams)
			r.check(t, customers)
			// Two round trips of 2 ms, if the grantor has another demand to answer first.
			asserter.AtMost(t, "longest wait", quantile(r.waits, 1), 5*time.Millisecond)
		})
	}
}

// TestDemandAboveLimit guards against a customer at a multiple of its usual demand that is served
// less than its limit, or that takes from others.
func TestDemandAboveLimit(t *testing.T) {
	for _, c := range []struct {
		hot  int
		load float64
		at   func(*testFleet) *node
	}{
		{0, 10, atCallers},
		{20, 7.5, atCallers},
		{20, 10, func(f *testFleet) *node { return f.nodes[f.random.IntN(2)] }},
		{20, 10, func(f *testFleet) *node { return f.nodes[replayCallers+f.random.IntN(2)] }},
	} {
		t.Run(fmt.Sprintf("customer %d at %v times its usual", c.hot, c.load), func(t *testing.T) {
			customers := replayCustomers()
			r := newReplay(2, customers...)
			var streams []stream
			for i, customer := range customers {
				s := stream{customer: customer, rate: 0.6 * customer.Rate, at: atCallers}
				if i == c.hot {
					s.rate, s.at = c.load*s.rate, c.at
				}
				streams = append(streams, s)
			}
			r.play(replaySpan, streams)
			r.check(t, customers)
		})
	}
}

// TestMovingCallers guards against permits that are lost where callers move between instances.
func TestMovingCallers(t *testing.T) {
	for _, load := range []float64{0.97, 3} {
		t.Run(fmt.Sprintf("%v of the limits", load), func(t *testing.T) {
			customers := replayCustomers()[:30]
			r := newReplay(3, customers...)
			at := make([]*node, len(customers))
			var streams []stream
			for i, c := range customers {
				streams = append(streams, stream{customer: c, rate: load * c.Rate, at: func(*testFleet) *node { return at[i] }})
			}
			for range replaySpan / (500 * time.Millisecond) {
				for i := range at {
					at[i] = r.nodes[r.random.IntN(replayNodes)]
				}
				r.play(500*time.Millisecond, streams)
			}
			r.check(t, customers)
		})
	}
}

// TestLostGrantor guards against refusals of customers whose grantor stays the same when one is lost,
// and of others after its shares are free again.
func TestLostGrantor(t *testing.T) {
	const detection = 1500 * time.Millisecond
	customers := replayCustomers()
	r := newReplay(5, customers...)
	lost := r.nodes[2]
	at := func(*testFleet) *node {
		for {
			if p := atCallers(r.testFleet); p != lost {
				return p
			}
		}
	}
	ids := r.ids()
	ids = append(ids[:2:2], ids[3:]...)
	before, after := r.nodes[0].view.Callers, r.viewOf(ids).Callers
	var others, streams []stream
	var unaffected []declarer.Customer
	for _, c := range customers {
		s := stream{customer: c, rate: 0.8 * c.Rate, at: at}
		streams = append(streams, s)
		slot := slotOf(descriptor.MarkOf(c.Name))
		if grantorOf(slot, before).ID == grantorOf(slot, after).ID {
			others, unaffected = append(others, s), append(unaffected, c)
		}
	}
	lost.frozen = r.now + time.Hour
	change := func() {
		for _, p := range r.nodes {
			r.setView(p, r.viewOf(ids))
			r.advance(r.now + time.Millisecond)
		}
	}
	t.Run("customers whose grantor stays", func(t *testing.T) {
		r.play(detection, others)
		change()
		r.play(5*time.Second, others)
		r.check(t, unaffected)
	})
	t.Run("all customers once the shares are free", func(t *testing.T) {
		r.allowed, r.ran = make(map[string]int), make(map[string][]time.Duration)
		r.play(replaySpan, streams)
		r.check(t, customers)
	})
}

// TestSmallCustomers guards against requests of customers with low rates that are refused because
// they come to all instances.
func TestSmallCustomers(t *testing.T) {
	for _, load := range []float64{0.97, 2} {
		t.Run(fmt.Sprintf("%v of the limits", load), func(t *testing.T) {
			var customers []declarer.Customer
			for i := range 40 {
				customers = append(customers, declarer.Customer{Name: fmt.Sprintf("small-%d", i), Rate: 2, Burst: 2})
			}
			r := newReplay(4, customers...)
			var streams []stream
			for _, c := range customers {
				streams = append(streams, stream{customer: c, rate: load * c.Rate, at: atAny})
			}
			r.play(replaySpan, streams)
			r.check(t, customers)
		})
	}
}

// TestRollingRestart guards against requests below the limits that are refused because instances
// that are no grantors start again one after the other.
func TestRollingRestart(t *testing.T) {
	customers := replayCustomers()
	r := newReplay(6, customers...)
	var streams []stream
	for _, c := range customers {
		streams = append(streams, stream{customer: c, rate: 0.8 * c.Rate, at: func(f *testFleet) *node { return f.nodes[f.random.IntN(replayCallers)] }})
	}
	const interval, down = 250 * time.Millisecond, time.Second
	for i := range int(replaySpan / interval) {
		p := r.nodes[replayCallers+i]
		r.start(p)
		p.frozen = r.now + down
		r.play(interval, streams)
	}
	r.check(t, customers)
}
