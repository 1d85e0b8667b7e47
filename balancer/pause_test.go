package balancer

import (
	"testing"
	"time"

	"monsoonswitch/asserter"
	"monsoonswitch/descriptor"
)

// refusalsOf lists the refusals that b emitted since the last call.
func refusalsOf(b *pooledBalancer) []descriptor.Refuse {
	var result []descriptor.Refuse
	actions, _ := b.Flush(nil, nil)
	for _, a := range actions {
		if r, ok := a.(descriptor.Refuse); ok {
			result = append(result, r)
		}
	}
	return result
}

// pausedBalancer returns a balancer whose first requests were refused with a pause by all but
// some of its backend servers.
func pausedBalancer(t *testing.T, backends, free int, pause time.Duration) *pooledBalancer {
	b := newPooledBalancer(Options{Self: "entry-0"}, []descriptor.Member{{ID: "entry-0"}}, backendList(backends, 3))
	for id := range descriptor.RequestID(backends - free) {
		b.Arrive(nonIdempotent(id+1, epoch))
		var to string
		for i := range b.backends.Len() {
			if name, s := b.backends.At(i); s.inFlight > 0 {
				to = name
			}
		}
		asserter.True(t, "dispatched", to != "")
		b.Failed(descriptor.Failed{At: epoch, Request: id + 1, Attempt: 1, Fault: descriptor.FaultShed, Pause: pause, BodyReplayable: false})
		r, ok := b.requests.Get(id + 1)
		for attempt := descriptor.AttemptID(2); ok && r.count > 0; attempt++ {
			b.Failed(descriptor.Failed{At: epoch, Request: id + 1, Attempt: attempt, Fault: descriptor.FaultConnect})
			r, ok = b.requests.Get(id + 1)
		}
	}
	b.Flush(nil, nil)
	return b
}

// TestPause guards against sending work to a backend server that asked this instance for a
// time without requests: for spreading, for checks, or because it looks idle.
func TestPause(t *testing.T) {
	const pause = 3 * time.Second
	for _, c := range []struct {
		name   string
		refuse func(b *pooledBalancer)
	}{
		{"refused work", func(b *pooledBalancer) {
			b.Failed(descriptor.Failed{At: epoch, Request: 1, Attempt: 1, Fault: descriptor.FaultShed, Pause: pause})
		}},
		{"an answer", func(b *pooledBalancer) {
			b.Answered(descriptor.Answered{At: epoch, Request: 1, Attempt: 1, Status: 503, Pause: pause})
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newPooledBalancer(Options{Self: "entry-0"}, []descriptor.Member{{ID: "entry-0"}}, backendList(2, 3))
			b.Arrive(nonIdempotent(1, epoch))
			first := sentTo(b)
			asserter.Equal(t, "sent", len(first), 1)
			c.refuse(b)
			sentTo(b)
			id := descriptor.RequestID(2)
			for now := epoch; now.Before(epoch.Add(pause)); now = now.Add(50 * time.Millisecond) {
				e := nonIdempotent(id, now)
				e.Deadline = now.Add(time.Second)
				b.Arrive(e)
				b.Tick(now)
				for _, to := range sentTo(b) {
					asserter.True(t, "not sent to the paused one", to != first[0])
				}
				b.Answered(descriptor.Answered{At: now, Request: id, Attempt: 1, Status: 200})
				b.Finished(descriptor.Finished{At: now, Request: id, Attempt: 1})
				id++
			}
			t.Run("and after the pause it gets work again", func(t *testing.T) {
				used := false
				for now := epoch.Add(pause); now.Before(epoch.Add(2 * pause)); now = now.Add(50 * time.Millisecond) {
					e := nonIdempotent(id, now)
					e.Deadline = now.Add(time.Second)
					b.Tick(now)
					b.Arrive(e)
					for _, to := range sentTo(b) {
						used = used || to == first[0]
					}
					id++
				}
				asserter.True(t, "used", used)
			})
		})
	}
	t.Run("a shorter pause does not end a longer one", func(t *testing.T) {
		s := newBackend[int](descriptor.Backend{}, epoch, false).WithPause(epoch, pause).WithPause(epoch, time.Second)
		asserter.Equal(t, "until", s.pausedUntil, epoch.Add(pause))
	})
}

// TestAllPaused has every backend server ask for a time without requests. A request that
// can't wait that long must be refused at once, with a time after the pause; one that can
// must wait.
func TestAllPaused(t *testing.T) {
	t.Run("refused at once", func(t *testing.T) {
		const pause = 3 * time.Second
		b := pausedBalancer(t, 4, 0, pause)
		var waits []time.Duration
		for id := range descriptor.RequestID(50) {
			e := nonIdempotent(100+id, epoch)
			e.Deadline = epoch.Add(time.Minute)
			b.Arrive(e)
			list := refusalsOf(b)
			asserter.Equal(t, "refused", len(list), 1)
			asserter.Equal(t, "outcome", list[0].Outcome, descriptor.NotRun)
			waits = append(waits, list[0].Retry)
		}
		least, most := waits[0], waits[0]
		for _, w := range waits {
			least, most = min(least, w), max(most, w)
		}
		asserter.AtLeast(t, "least wait", least, pause)
		asserter.AtLeast(t, "spread of the waits", most-least, pause/4)
	})
	t.Run("a short pause is waited for", func(t *testing.T) {
		const pause = 100 * time.Millisecond
		b := pausedBalancer(t, 4, 0, pause)
		b.Arrive(nonIdempotent(100, epoch))
		asserter.Equal(t, "refused", len(refusalsOf(b)), 0)
		b.Tick(epoch.Add(pause))
		asserter.Equal(t, "sent", len(sentTo(b)), 1)
	})
	t.Run("half of them", func(t *testing.T) {
		b := pausedBalancer(t, 4, 2, 3*time.Second)
		b.Arrive(nonIdempotent(100, epoch))
		asserter.Equal(t, "sent", len(sentTo(b)), 1)
	})
}
