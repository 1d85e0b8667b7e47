package decider

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"monsoonswitch/allocator"
	"monsoonswitch/asserter"
	"monsoonswitch/counter"
	"monsoonswitch/declarer"
	"monsoonswitch/descriptor"
	"monsoonswitch/keeper"
)

// ready returns a driver with n instances that are ready and know the service.
func ready(t *testing.T, n int) *driver {
	d := newDriver(t, n)
	for _, id := range d.order[1:] {
		d.link(id, d.order[0])
	}
	d.configure(d.order[0], declarer.Open, 5)
	d.run(15 * time.Second)
	for _, id := range d.order {
		asserter.True(t, id+" is ready", d.instances[id].synced)
	}
	return d
}

func (d *driver) ticket(id, unique string) string {
	m := d.instances[id].gossiper.Self()
	return keeper.TicketOf(m, d.now).String() + "." + unique
}

// sessions are complete sessions whose events and actions are compared with
// golden files.
var sessions = []struct {
	name string
	play func(*driver)
}{
	{"served", func(d *driver) {
		d.arrive("entry-0", 1, "read", "")
		d.serve("entry-0", 1)
		d.arrive("entry-0", 2, "invoice", d.ticket("entry-0", "a"))
		d.serve("entry-0", 2)
		d.arrive("entry-0", 3, "invoice", d.ticket("entry-0", "a"))
		d.arrive("entry-0", 4, "invoice", "")
		d.arrive("entry-0", 5, "nothing", "")
	}},
	{"failed", func(d *driver) {
		d.arrive("entry-0", 1, "read", "")
		d.step("entry-0", descriptor.Failed{At: d.now, Request: 1, Attempt: 1, Fault: descriptor.FaultConnect, BodyReplayable: true})
		d.serve("entry-0", 1)
		d.arrive("entry-0", 2, "invoice", d.ticket("entry-0", "a"))
		d.step("entry-0", descriptor.Failed{At: d.now, Request: 2, Attempt: 1, Fault: descriptor.FaultBroken, BodyReplayable: true})
		d.arrive("entry-0", 3, "invoice", d.ticket("entry-0", "a"))
	}},
	{"closing", func(d *driver) {
		d.arrive("entry-0", 1, "read", "")
		d.configure("entry-0", declarer.Closing, 5)
		d.arrive("entry-0", 2, "read", "")
		d.serve("entry-0", 1)
		d.configure("entry-0", declarer.Closed, 5)
		d.arrive("entry-0", 3, "read", "")
		d.run(100 * time.Millisecond)
	}},
	{"quit", func(d *driver) {
		d.arrive("entry-0", 1, "read", "")
		d.step("entry-0", descriptor.ShutdownRequested{At: d.now})
		d.arrive("entry-0", 2, "read", "")
		d.run(200 * time.Millisecond)
		d.serve("entry-0", 1)
		d.run(4 * time.Second)
	}},
}

func TestGoldenSessions(t *testing.T) {
	for _, s := range sessions {
		t.Run(s.name, func(t *testing.T) {
			d := ready(t, 2)
			d.log.Reset()
			s.play(d)
			golden(t, s.name, d.log.String())
		})
	}
}

// TestReplay feeds recorded events to a new decider. Its actions must be the
// same, byte for byte.
func TestReplay(t *testing.T) {
	for _, s := range sessions {
		t.Run(s.name, func(t *testing.T) {
			d := ready(t, 2)
			s.play(d)
			again := newDriver(t, 1)
			instance := NewStandard(d.options("entry-0"), time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC))
			for _, e := range d.recorded {
				again.write("event", e)
				for _, a := range instance.Step(e) {
					again.write("  action", a)
				}
			}
			if got, want := again.log.String(), d.log.String(); got != want {
				t.Errorf("replay: got %d bytes of actions that differ, want the recorded %d", len(got), len(want))
			}
		})
	}
}

func TestFleet(t *testing.T) {
	t.Run("a revision reaches every instance and never reverts", func(t *testing.T) {
		d := ready(t, 12)
		d.configure("entry-3", declarer.Closing, 5)
		d.run(time.Second)
		for _, id := range d.order {
			s, _ := d.instances[id].declared.Get("billing")
			asserter.Equal(t, "state at "+id, s.service.State, declarer.Closing)
		}
		old := testDeclaration(declarer.Open)
		d.step("entry-5", descriptor.DocumentsRead{At: d.now, Documents: []descriptor.Document{{Kind: descriptor.KindService, Name: "billing", Revision: 1, Service: &old}}})
		s, _ := d.instances["entry-5"].declared.Get("billing")
		asserter.Equal(t, "state after an old revision", s.service.State, declarer.Closing)
	})
	t.Run("a new instance is ready without the store", func(t *testing.T) {
		d := ready(t, 6)
		d.outage = true
		d.add("entry-9")
		d.link("entry-9", "entry-2")
		d.run(5 * time.Second)
		asserter.True(t, "ready", d.instances["entry-9"].synced)
		asserter.True(t, "knows the service", d.instances["entry-9"].declared.Has("billing"))
	})
	t.Run("an instance that knows no other one is not ready", func(t *testing.T) {
		d := newDriver(t, 1)
		d.run(5 * time.Second)
		asserter.Equal(t, "ready", d.instances["entry-0"].synced, false)
	})
	t.Run("three instances watch the store", func(t *testing.T) {
		d := ready(t, 12)
		watching := 0
		for _, id := range d.order {
			if d.instances[id].watch.Active {
				watching++
			}
		}
		asserter.Equal(t, "watching", watching, watcherCount)
	})
	t.Run("an instance that does not serve a service reports no tallies", func(t *testing.T) {
		d := ready(t, 12)
		d.run(10 * time.Second)
		before := d.tallies["billing"]
		d.configure("entry-0", declarer.Open, 5)
		d.run(20 * time.Second)
		changed := 0
		for i, tally := range d.tallies["billing"] {
			if before[i].Version != tally.Version {
				changed++
			}
		}
		asserter.Equal(t, "changed tallies", changed, allocator.MinServing)
	})
	t.Run("an instance that does not serve a service refuses its requests as misdirected", func(t *testing.T) {
		d := ready(t, 8)
		for _, id := range d.order {
			if d.instances[id].served.Has("billing") {
				continue
			}
			d.arrive(id, 77, "read", "")
			asserter.Equal(t, "refusal", d.refusal(77), descriptor.Refuse{Request: 77, Reason: descriptor.Misdirected})
			return
		}
		t.Fatal("got all instances serving, want some that do not")
	})
}

func TestKeysAcrossNodes(t *testing.T) {
	d := ready(t, 3)
	key := d.ticket("entry-0", "k")
	d.arrive("entry-1", 11, "invoice", key)
	asserter.Equal(t, "first", d.dispatches(11), 1)
	d.serve("entry-1", 11)
	for i, id := range d.order {
		request := descriptor.RequestID(20 + i)
		d.arrive(id, request, "invoice", key)
		asserter.Equal(t, "repeated at "+id, d.dispatches(request), 0)
		asserter.Equal(t, "refusal", d.refusal(request).Reason, descriptor.KeyUsed)
	}
	t.Run("the key stays used after its issuer left", func(t *testing.T) {
		d.step("entry-0", descriptor.ShutdownRequested{At: d.now})
		d.run(10 * time.Second)
		asserter.True(t, "left", d.left["entry-0"])
		d.arrive("entry-2", 30, "invoice", key)
		asserter.Equal(t, "again", d.dispatches(30), 0)
		asserter.Equal(t, "refusal", d.refusal(30).Reason, descriptor.KeyUsed)
	})
}

func TestTallies(t *testing.T) {
	d := ready(t, 3)
	for i := range 30 {
		id := d.order[i%3]
		request := descriptor.RequestID(100 + i)
		d.arrive(id, request, "read", "")
		d.serve(id, request)
	}
	d.outage = true
	d.run(20 * time.Second)
	d.outage = false
	for _, id := range d.order[1:] {
		d.step(id, descriptor.ShutdownRequested{At: d.now})
	}
	d.run(20 * time.Second)
	var received, served uint64
	owners := make(map[string]bool)
	for _, tally := range d.tallies["billing"] {
		owners[counter.Owner(tally)] = true
		received += tally.Received
		for _, c := range tally.Counts {
			if c.Reason == descriptor.Served {
				served += c.Requests
			}
		}
	}
	asserter.Equal(t, "received", received, uint64(30))
	asserter.Equal(t, "served", served, uint64(30))
	asserter.Equal(t, "incarnations", len(owners), 3)
}

// TestDumpHasNoSecrets checks only that a dump names the service. The options of a
// decider hold no secrets that a dump could show.
func TestDumpHasNoSecrets(t *testing.T) {
	d := ready(t, 2)
	text := fmt.Sprintf("%+v", d.instances["entry-0"].Dump(d.now))
	asserter.True(t, "names the service", strings.Contains(text, "billing"))
}

func BenchmarkStep(b *testing.B) {
	for _, backends := range []int{6, 48, 200} {
		b.Run(fmt.Sprintf("%d backend servers", backends), func(b *testing.B) {
			now := time.Unix(1000, 0)
			instance := NewStandard(Options{Self: descriptor.Member{ID: "a", Incarnation: 1}, Seed: 1}, now)
			s := testDeclaration(declarer.Open)
			var list []descriptor.Backend
			for i := range backends {
				list = append(list, descriptor.Backend{ID: fmt.Sprintf("b%d", i), Slots: 6})
			}
			instance.Step(descriptor.DocumentsRead{At: now, Complete: true, Documents: []descriptor.Document{
				{Kind: descriptor.KindService, Name: "billing", Revision: 1, Service: &s},
				{Kind: descriptor.KindBackends, Name: "billing", Revision: 1, Backends: list},
			}})
			instance.Step(descriptor.Ticked{At: now})
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				id := descriptor.RequestID(i + 1)
				now = now.Add(20 * time.Microsecond)
				instance.Step(descriptor.Arrived{At: now, Request: id, Service: "billing", Class: "read", Caller: "c", Fingerprint: uint64(id), Replayable: true})
				instance.Step(descriptor.Answered{At: now, Request: id, Attempt: 1, Status: 200})
				instance.Step(descriptor.Finished{At: now, Request: id, Attempt: 1, Bytes: 100})
			}
		})
	}
}
