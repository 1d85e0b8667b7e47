package balancer

import (
	"testing"
	"time"

	"monsoonswitch/asserter"
	"monsoonswitch/descriptor"
)

// announceLeaving has a request of b answered by a backend server that says that it is
// leaving, and returns that backend server.
func announceLeaving(t *testing.T, b *pooledBalancer, failed bool) string {
	b.Arrive(nonIdempotent(1, epoch))
	list := sentTo(b)
	asserter.Equal(t, "sent", len(list), 1)
	if failed {
		b.Failed(descriptor.Failed{At: epoch, Request: 1, Attempt: 1, Fault: descriptor.FaultShed, Health: descriptor.HealthDraining})
	} else {
		b.Answered(descriptor.Answered{At: epoch, Request: 1, Attempt: 1, Status: 200, Health: descriptor.HealthDraining})
	}
	return list[0]
}

// useAll sends requests for some seconds, of which some never end, and returns the backend
// servers that got any.
func useAll(b *pooledBalancer) map[string]bool {
	used := make(map[string]bool)
	id := descriptor.RequestID(1000)
	for now := epoch; now.Before(epoch.Add(40 * time.Second)); now = now.Add(100 * time.Millisecond) {
		e := nonIdempotent(id, now)
		e.Deadline = now.Add(time.Second)
		b.Tick(now)
		b.Arrive(e)
		for _, to := range sentTo(b) {
			used[to] = true
		}
		if id%10 > 0 {
			b.Answered(descriptor.Answered{At: now, Request: id, Attempt: 1, Status: 200})
			b.Finished(descriptor.Finished{At: now, Request: id, Attempt: 1})
		}
		id++
	}
	return used
}

// TestLeaving guards against new work for a backend server that said in an answer that it
// is leaving, although the platform's list still names it as ready, whether the store is
// away or an older list arrives later.
func TestLeaving(t *testing.T) {
	members := []descriptor.Member{{ID: "entry-0"}, {ID: "entry-1"}, {ID: "entry-2"}}
	list := backendList(3, 3)
	for _, failed := range []bool{false, true} {
		b := newPooledBalancer(Options{Self: "entry-0"}, members, list)
		gone := announceLeaving(t, b, failed)
		actions, _ := b.Flush(nil, nil)
		var told []descriptor.Outcomes
		for _, a := range actions {
			if s, ok := a.(descriptor.Send); ok {
				if m, ok := s.Message.(descriptor.Outcomes); ok {
					told = append(told, m)
				}
			}
		}
		t.Run("the owners are told at once", func(t *testing.T) {
			asserter.Equal(t, "messages", len(told), 2)
			other := newPooledBalancer(Options{Self: "entry-1"}, members, list)
			other.HandleOutcomes(epoch, told[0])
			asserter.Equal(t, "used", useAll(other)[gone], false)
		})
		t.Run("an owner that learns of it before it has the list", func(t *testing.T) {
			other := newPooledBalancer(Options{Self: "entry-1"}, members, nil)
			other.HandleOutcomes(epoch, told[0])
			other.SetBackends(epoch, list, time.Time{})
			asserter.Equal(t, "used", useAll(other)[gone], false)
		})
		t.Run("a non-owner learns of it with the suspicion list", func(t *testing.T) {
			other := newPooledBalancer(Options{Self: "entry-9"}, members, list)
			other.HandleSuspicionList(epoch, descriptor.Member{}, descriptor.SuspicionList{Service: "billing", Leaving: b.Leaving()})
			asserter.Equal(t, "used", useAll(other)[gone], false)
		})
		b.SetBackends(epoch, list, time.Time{})
		t.Run("the list that still names it as ready changes nothing", func(t *testing.T) {
			used := useAll(b)
			asserter.Equal(t, "used", used[gone], false)
			asserter.Equal(t, "others used", len(used), 2)
		})
		t.Run("a later start under the same name is another backend server", func(t *testing.T) {
			b := newPooledBalancer(Options{Self: "entry-0"}, members[:1], backendList(1, 3))
			announceLeaving(t, b, false)
			b.SetBackends(epoch, []descriptor.Backend{{ID: "b0@2", Name: "b0", Address: "a0", Slots: 3}}, time.Time{})
			asserter.Equal(t, "used", useAll(b), map[string]bool{"b0@2": true})
		})
	}
}

// TestLeavingQueuedAndRetried guards against a request that was queued, or that another
// backend server refused, going to one that announced meanwhile that it is leaving.
func TestLeavingQueuedAndRetried(t *testing.T) {
	b := newPooledBalancer(Options{Self: "entry-0"}, []descriptor.Member{{ID: "entry-0"}}, backendList(2, 1))
	b.Arrive(nonIdempotent(1, epoch))
	b.Arrive(nonIdempotent(2, epoch))
	b.Arrive(nonIdempotent(3, epoch))
	first := sentTo(b)
	asserter.AtLeast(t, "sent", len(first), 2)
	b.Answered(descriptor.Answered{At: epoch, Request: 1, Attempt: 1, Status: 200, Health: descriptor.HealthDraining})
	b.Finished(descriptor.Finished{At: epoch, Request: 1, Attempt: 1})
	b.Failed(descriptor.Failed{At: epoch, Request: 2, Attempt: 1, Fault: descriptor.FaultConnect, BodyReplayable: true})
	b.Tick(epoch.Add(50 * time.Millisecond))
	for _, to := range sentTo(b) {
		asserter.True(t, "not sent to the one that leaves", to != first[0])
	}
}
