package decider

import (
	"testing"
	"time"

	"monsoonswitch/asserter"
	"monsoonswitch/declarer"
	"monsoonswitch/descriptor"
)

// keyedFleet returns a fleet of one instance that read version 3 of a routing with customers when
// the uptime was readAt, and keeps proofs for 5 s.
func keyedFleet() *routedFleet {
	f := newRoutedFleet(0)
	f.routing = func(version uint64) declarer.Routing {
		r := routingOf(1)
		r.Version, r.Keyed, r.Customers = version, true, []declarer.Customer{{Name: "c", Keys: []string{"k"}}}
		return r
	}
	f.add("entry-0", "worcester")
	f.step("entry-0", descriptor.SettingsChanged{At: f.now, Withdraw: 5 * time.Second})
	f.read("entry-0", 3)
	f.readAgain(3, readAt, false)
	return f
}

// readAt is the uptime at which the store was read.
const readAt = 100 * time.Second

// readAgain gives the only instance a later read of the store that finds a version, or a value that
// can't be decoded.
func (f *routedFleet) readAgain(version uint64, uptime time.Duration, unreadable bool) {
	routing := f.routing(version)
	e := descriptor.DocumentsRead{At: f.now, AsOf: f.now, Kind: descriptor.KindRouting, Uptime: uptime, Seen: uptime, Unreadable: unreadable}
	if !unreadable {
		e.Documents = []descriptor.Document{{Kind: descriptor.KindRouting, Name: "all", Revision: version, Routing: &routing}}
	}
	f.step("entry-0", e)
}

// decide returns the first action about a request to the only instance.
func (f *routedFleet) decide(e descriptor.Arrived) descriptor.Action {
	e.At, e.Request, e.Service, e.Class, e.Replayable = f.now, 1, "ledger", "r0", true
	for _, a := range f.instances["entry-0"].Step(e) {
		if r, ok := a.(descriptor.RequestAction); ok {
			return r
		}
	}
	return nil
}

// TestKeyedRequests guards against requests that are decided by an older look-up, or without a
// recent proof.
func TestKeyedRequests(t *testing.T) {
	stale := descriptor.Refuse{Request: 1, Reason: descriptor.StaleConfiguration, Outcome: descriptor.NotRun}
	known := descriptor.Arrived{Customer: "c", Routing: 3, Uptime: readAt + time.Second}
	with := func(change func(*descriptor.Arrived)) descriptor.Arrived {
		e := known
		change(&e)
		return e
	}
	for _, c := range []struct {
		name    string
		request descriptor.Arrived
		want    any
	}{
		{"a recent proof", known, descriptor.Dispatch{}},
		{"another version", with(func(e *descriptor.Arrived) { e.Routing = 2 }), descriptor.Relocate{Request: 1}},
		{"a public route of another version", with(func(e *descriptor.Arrived) { e.Routing, e.Public = 2, true }), descriptor.Relocate{Request: 1}},
		{"a proof at the limit", with(func(e *descriptor.Arrived) { e.Uptime = readAt + 4950*time.Millisecond }), descriptor.Dispatch{}},
		{"an old proof", with(func(e *descriptor.Arrived) { e.Uptime = readAt + 5*time.Second }), stale},
		{"an unknown uptime", with(func(e *descriptor.Arrived) { e.Uptime = 0 }), stale},
		{"a public route", with(func(e *descriptor.Arrived) { e.Uptime, e.Public = readAt+time.Minute, true }), descriptor.Dispatch{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := keyedFleet()
			got := f.decide(c.request)
			if _, ok := c.want.(descriptor.Dispatch); ok {
				_, dispatched := got.(descriptor.Dispatch)
				asserter.True(t, "dispatched", dispatched)
				return
			}
			asserter.Equal(t, "action", any(got), c.want)
		})
	}
	late := with(func(e *descriptor.Arrived) { e.Uptime = readAt + 7*time.Second })
	t.Run("a value that can't be decoded proves nothing until one that can", func(t *testing.T) {
		f := keyedFleet()
		f.readAgain(0, readAt+4*time.Second, true)
		asserter.Equal(t, "action", any(f.decide(late)), any(stale))
		f.readAgain(3, readAt+6*time.Second, false)
		_, dispatched := f.decide(late).(descriptor.Dispatch)
		asserter.True(t, "dispatched", dispatched)
	})
	t.Run("a store with an older version proves nothing", func(t *testing.T) {
		f := keyedFleet()
		f.readAgain(2, readAt+4*time.Second, false)
		asserter.Equal(t, "action", any(f.decide(late)), any(stale))
	})
	t.Run("without the setting no proof is needed", func(t *testing.T) {
		f := keyedFleet()
		f.step("entry-0", descriptor.SettingsChanged{At: f.now})
		_, dispatched := f.decide(late).(descriptor.Dispatch)
		asserter.True(t, "dispatched", dispatched)
	})
}
