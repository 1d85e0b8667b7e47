package balancer

import (
	"testing"
	"time"

	"monsoonswitch/asserter"
	"monsoonswitch/descriptor"
	"monsoonswitch/quarantiner"
)

// crashing marks a request as the one that crashes backend servers.
func crashing(e *descriptor.Arrived) { e.Fingerprint = 99 }

// reportCrashes reports crashes of the given backend servers under the crashing request.
func (x *fixture) reportCrashes(ids ...string) {
	for _, id := range ids {
		x.b.HandleCrash(x.now, descriptor.CrashReport{Fingerprint: 99, Backend: id})
	}
}

// wantPoisoned fails the test unless a request was refused as one that crashes backend servers.
func (x *fixture) wantPoisoned(id descriptor.RequestID, outcome descriptor.Outcome) {
	x.t.Helper()
	x.wantRefusal(id, descriptor.Poisoned, outcome)
}

// TestCrashingRequestWaits guards against a request being sent to a backend server although it
// became known to crash them while it waited.
func TestCrashingRequestWaits(t *testing.T) {
	t.Run("in the queue", func(t *testing.T) {
		x := newFixture(t, 1, 1, 1)
		_, first := x.arrive("booking", nil)
		id, p := x.arrive("booking", crashing)
		asserter.True(t, "queued", p == nil)
		x.reportCrashes("b1", "b2")
		x.serve(*first, 50*time.Millisecond, 200)
		asserter.True(t, "not sent", x.dispatched(id) == nil)
		x.wantPoisoned(id, descriptor.NotRun)
	})
	t.Run("and is refused before a slot is free", func(t *testing.T) {
		x := newFixture(t, 1, 1, 1)
		x.arrive("booking", nil)
		id, _ := x.arrive("booking", crashing)
		x.reportCrashes("b1", "b2")
		x.now = x.now.Add(50 * time.Millisecond)
		x.b.Tick(x.now)
		x.take()
		x.wantPoisoned(id, descriptor.NotRun)
	})
	t.Run("for another backend server after a refusal", func(t *testing.T) {
		x := newFixture(t, 1, 6, 3)
		id, p := x.arrive("visit", crashing)
		x.reportCrashes("b1", "b2")
		x.fail(*p, descriptor.FaultShed)
		asserter.True(t, "not sent", x.dispatched(id) == nil)
		x.wantPoisoned(id, descriptor.NotRun)
	})
}

// TestCrashingRequestOfTwoServices guards against a request that crashes backend servers counting
// from zero at each service that its route sends it to.
func TestCrashingRequestOfTwoServices(t *testing.T) {
	crashes := quarantiner.NewRegister()
	members := []descriptor.Member{{ID: "entry-0"}}
	ledger := newPooledBalancer(Options{Self: "entry-0", Crashes: crashes}, members, backendList(3, 3))
	billing := newPooledBalancer(Options{Self: "entry-0", Crashes: crashes}, members, backendList(3, 3))
	send := func(b *pooledBalancer, id descriptor.RequestID) {
		e := nonIdempotent(id, epoch)
		crashing(&e)
		b.Arrive(e)
	}
	for id := range descriptor.RequestID(2) {
		send(ledger, id+1)
		ledger.Failed(descriptor.Failed{At: epoch, Request: id + 1, Attempt: 1, Fault: descriptor.FaultBroken})
	}
	send(billing, 3)
	list := refusals(billing)
	asserter.Equal(t, "refused", len(list), 1)
	asserter.Equal(t, "reason", list[0].Reason, descriptor.Poisoned)
}
