package balancer

import (
	"fmt"
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

// incarnations returns a list of backend servers that have each started a number of times.
func incarnations(starts ...int) []descriptor.Backend {
	list := backendList(len(starts), 3)
	for i := range list {
		list[i].Name = list[i].ID
		list[i].ID = fmt.Sprintf("%s@%d", list[i].Name, starts[i])
	}
	return list
}

// TestSilentCrash guards against a request that crashes backend servers without a broken
// connection: they are silent until they start again.
func TestSilentCrash(t *testing.T) {
	for _, c := range []struct {
		name string
		// end ends the attempt of a request, or leaves it open.
		end func(b *pooledBalancer, id descriptor.RequestID, now time.Time)
	}{
		{"the attempt is open", func(*pooledBalancer, descriptor.RequestID, time.Time) {}},
		{"its time is up", func(b *pooledBalancer, _ descriptor.RequestID, now time.Time) { b.Tick(now) }},
		{"its answer is cut", func(b *pooledBalancer, id descriptor.RequestID, now time.Time) {
			b.Answered(descriptor.Answered{At: now, Request: id, Attempt: 1, Status: 200})
			b.Failed(descriptor.Failed{At: now, Request: id, Attempt: 1, Fault: descriptor.FaultTruncated})
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			starts := []int{1, 1, 1, 1}
			b := newPooledBalancer(Options{Self: "entry-0"}, []descriptor.Member{{ID: "entry-0"}}, incarnations(starts...))
			now := epoch
			var list []string
			for id := range descriptor.RequestID(4) {
				e := nonIdempotent(id+1, now)
				e.Deadline = now.Add(time.Second)
				crashing(&e)
				b.Arrive(e)
				list = sentTo(b)
				if len(list) == 0 {
					break
				}
				c.end(b, id+1, now.Add(1200*time.Millisecond))
				now = now.Add(3 * time.Second)
				for i, s := range incarnations(starts...) {
					if s.ID == list[0] {
						starts[i]++
					}
				}
				b.SetBackends(now, incarnations(starts...), time.Time{})
				b.Flush(nil, nil)
			}
			asserter.Equal(t, "sent after two crashes", len(list), 0)
			asserter.Equal(t, "backend servers that started again", starts[0]+starts[1]+starts[2]+starts[3], 6)
		})
	}
}

// TestLaterOwner guards against an instance that becomes a slot owner sending on a request that is
// refused by the others.
func TestLaterOwner(t *testing.T) {
	x := newFixture(t, 2, 6, 3)
	x.reportCrashes("b1", "b2")
	x.now = x.now.Add(2 * time.Second)
	x.b.SetOwners(x.now, []descriptor.Member{{ID: "entry-0"}, {ID: "entry-1"}, {ID: "entry-2"}})
	x.take()
	later := newFixture(t, 3, 6, 3)
	later.now = x.now
	for _, a := range x.actions {
		if s, ok := a.(descriptor.Send); ok {
			m, isCrash := s.Message.(descriptor.CrashReport)
			asserter.True(t, "a crash report", isCrash)
			asserter.Equal(t, "to", s.To.ID, "entry-2")
			later.b.HandleCrash(later.now, m)
		}
	}
	id, _ := later.arrive("booking", crashing)
	later.wantPoisoned(id, descriptor.NotRun)
}

// TestRefusalNamesFingerprint guards against a refusal of which the logs do not tell the crashes
// that caused it.
func TestRefusalNamesFingerprint(t *testing.T) {
	b := newPooledBalancer(Options{Self: "entry-0"}, []descriptor.Member{{ID: "entry-0"}}, backendList(3, 3))
	for _, id := range []string{"b0", "b1"} {
		b.HandleCrash(epoch, descriptor.CrashReport{Fingerprint: 99, Backend: id})
	}
	b.Flush(nil, nil)
	e := nonIdempotent(1, epoch)
	crashing(&e)
	b.Arrive(e)
	actions, _ := b.Flush(nil, nil)
	var causes []string
	for _, a := range actions {
		if t, ok := a.(descriptor.TraceEntry); ok && t.Number == descriptor.NoteRefused {
			causes = append(causes, t.Cause)
		}
	}
	asserter.Equal(t, "causes", causes, []string{"poisoned not-run request 0000000000000063"})
}

// TestCrashesAreLoggedOnce guards against a line at every instance for each request whose connection
// broke when a rack failed.
func TestCrashesAreLoggedOnce(t *testing.T) {
	x := newFixture(t, 2, 6, 3)
	lines := func() int {
		x.take()
		n := 0
		for _, a := range x.actions {
			if note, ok := a.(descriptor.Note); ok && note.Number == descriptor.NoteCrash {
				n++
			}
		}
		return n
	}
	for f := range uint64(500) {
		x.b.HandleCrash(x.now, descriptor.CrashReport{Fingerprint: 1000 + f, Backend: "b1"})
	}
	asserter.Equal(t, "lines of first crashes that were reported", lines(), 0)
	x.reportCrashes("b1", "b2")
	asserter.Equal(t, "lines of second crashes", lines(), 1)
}
