package loader

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"monsoonswitch/asserter"
	"monsoonswitch/caller"
	"monsoonswitch/descriptor"
	"monsoonswitch/imitator"
	"monsoonswitch/storer"
)

// countedFleet is a fleet whose backend servers have given counts. Its store lists ejections, and
// answers after a delay.
type countedFleet struct {
	fleet
	counts    []imitator.BackendCounts
	ejections func(now time.Time) []descriptor.Ejection
	delay     time.Duration
}

// countedBackend is a backend server of a countedFleet.
type countedBackend struct {
	backend
	counts imitator.BackendCounts
}

func (b countedBackend) ID() string                              { return "ledger-0" }
func (b countedBackend) Service() string                         { return "ledger" }
func (b countedBackend) Counts() (imitator.BackendCounts, error) { return b.counts, nil }

func (f countedFleet) Backends() []backend {
	var result []backend
	for _, c := range f.counts {
		result = append(result, countedBackend{counts: c})
	}
	return result
}

func (f countedFleet) Peek(key string) (storer.Item, error) {
	if f.ejections == nil || key != storer.EjectKey("ledger") {
		return storer.Item{}, storer.ErrNotFound
	}
	time.Sleep(f.delay)
	data, err := json.Marshal(f.ejections(time.Now()))
	return storer.Item{Value: data}, err
}

// TestChecks breaks each guarantee on purpose: the check of it must find that, and no other.
func TestChecks(t *testing.T) {
	const token, size = "t-1", 10
	work := Work{Name: "note", Service: "ledger", Class: "note", Keyed: true, Size: size}
	served := caller.Result{Status: 200, Body: []byte(imitator.Body(token, size)), Tries: 1}
	refused := caller.Result{Status: 503, Reason: "overloaded", Outcome: "not-run", Tries: 1}
	again := refused
	again.Tries = 2
	other := served
	other.Body = []byte(imitator.Body("t-2", size))
	short := served
	short.Body = served.Body[:3]
	ran := func(n ...int) []imitator.BackendCounts {
		var result []imitator.BackendCounts
		for _, k := range n {
			result = append(result, imitator.BackendCounts{Keys: map[string]int{token: k}})
		}
		return result
	}
	for _, c := range []struct {
		name    string
		result  caller.Result
		counts  []imitator.BackendCounts
		planned bool
		// cut and unanswered report whether the answer broke off or never came.
		cut, unanswered bool
		// repeatable is set if the work may run twice.
		repeatable bool
		want       string
	}{
		{name: "served once", result: served, counts: ran(1, 0), planned: true},
		{name: "refused and not run", result: refused, counts: ran(0, 0), planned: true},
		{name: "run twice at one", result: served, counts: ran(2, 0), want: "at most once"},
		{name: "run at two", result: served, counts: ran(1, 1), want: "at most once"},
		{name: "refused and run", result: refused, counts: ran(0, 1), want: "true refusals"},
		{name: "refused when sent again with its key, and run", result: again, counts: ran(1, 0), want: "true refusals"},
		{name: "refused when sent again, and run before, which it may", result: again, counts: ran(1, 0), repeatable: true},
		{name: "the answer to another request", result: other, counts: ran(1), want: "whole answers"},
		{name: "a short answer", result: short, counts: ran(1), want: "whole answers"},
		{name: "another body", result: served, counts: []imitator.BackendCounts{{Altered: 1, Keys: map[string]int{token: 1}}}, want: "whole bodies"},
		{name: "pressed in a pause", result: served, counts: []imitator.BackendCounts{{Pressed: maxPressed + 1, Keys: map[string]int{token: 1}}}, want: "pause"},
		{name: "a cut answer", result: served, counts: ran(1), planned: true, cut: true, want: "planned stops"},
		{name: "a cut answer under other faults", result: served, counts: ran(1), cut: true},
		{name: "no answer to what ran", result: served, counts: ran(1), planned: true, unanswered: true, want: "planned stops"},
		{name: "no answer to what did not run", result: served, counts: ran(0), planned: true, unanswered: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			work := work
			work.Keyed, work.Idempotent = !c.repeatable, c.repeatable
			s := Scenario{Deployment: "pelletier", Duration: time.Second, Disturbed: true, Planned: c.planned, Work: []Work{work}}
			d, err := deploymentOf(s.Deployment)
			asserter.NoError(t, "deployment", err)
			r := &Runner{scenario: s, deployment: d, fleet: countedFleet{counts: c.counts}, record: newRecord(s)}
			var failure error
			if c.unanswered {
				failure = errBroken
			}
			r.record.start(0)
			r.record.add(0, 0, token, work, c.result, failure, false)
			if c.cut || c.unanswered {
				r.record.addBroken(token, c.cut)
			}
			r.monitor = &monitor{unread: make(map[string]error)}
			for _, service := range d.services {
				r.monitor.unread[service.Name] = nil
			}
			got := strings.Join(r.result().Violations, "; ")
			name, _, _ := strings.Cut(got, ":")
			asserter.Equal(t, "violation "+got, name, c.want)
		})
	}
}

// TestFloorCheck breaks the floor of ejections on purpose, and then not: an ejection may end
// and another one begin while the store is slow to answer.
func TestFloorCheck(t *testing.T) {
	eject := func(until time.Time, names ...string) []descriptor.Ejection {
		var result []descriptor.Ejection
		for _, n := range names {
			result = append(result, descriptor.Ejection{Backend: n, Until: until})
		}
		return result
	}
	started := time.Now()
	const delay = 200 * time.Millisecond
	for _, c := range []struct {
		name      string
		ejections func(now time.Time) []descriptor.Ejection
		entries   int
		breaches  int
	}{
		{"four of 11", func(now time.Time) []descriptor.Ejection {
			return eject(now.Add(time.Minute), "1", "2", "3", "4")
		}, 0, 0},
		{"five of 11", func(now time.Time) []descriptor.Ejection {
			return eject(now.Add(time.Minute), "1", "2", "3", "4", "5")
		}, 0, 1},
		{"five of 11 and two entries more", func(now time.Time) []descriptor.Ejection {
			return eject(now.Add(time.Minute), "1", "2", "3", "4", "5")
		}, 2, 0},
		{"a fifth of 11 after the end of the first", func(now time.Time) []descriptor.Ejection {
			return append(eject(now.Add(time.Minute), "2", "3", "4", "5"), eject(started.Add(delay/2), "1")...)
		}, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			d, err := deploymentOf("pelletier")
			asserter.NoError(t, "deployment", err)
			m := &monitor{fleet: countedFleet{ejections: c.ejections, delay: delay}, deployment: d, seen: make(map[string]time.Time), unread: make(map[string]error), entries: map[string]int{"ledger": c.entries}}
			started = time.Now()
			m.check()
			asserter.Equal(t, "breaches", m.breaches, c.breaches)
		})
	}
}

// downBackend is a backend server that confirms no fault until it is back.
type downBackend struct {
	backend
	back  time.Time
	fault imitator.BackendFault
}

func (b *downBackend) SetFault(f imitator.BackendFault) error {
	if time.Now().Before(b.back) {
		return errBroken
	}
	b.fault = f
	return nil
}

// TestFaultOfCrashed guards against a fault that counts as not injected because another one had
// just crashed the backend server.
func TestFaultOfCrashed(t *testing.T) {
	fault := imitator.BackendFault{Copy: true}
	for name, c := range map[string]struct {
		faults []Fault
		down   time.Duration
		want   error
	}{
		"back in time":         {[]Fault{{Kind: FaultCrash}}, 2 * downPollInterval, nil},
		"not back":             {[]Fault{{Kind: FaultCrash}}, 2 * downTimeout, errBroken},
		"none crashes by plan": {nil, 2 * downPollInterval, errBroken},
	} {
		t.Run(name, func(t *testing.T) {
			b := &downBackend{back: time.Now().Add(c.down)}
			err := (&Runner{scenario: Scenario{Faults: c.faults}}).setFault(b, fault)
			asserter.Equal(t, "error", err, c.want)
			asserter.Equal(t, "set", b.fault.Copy, c.want == nil)
		})
	}
}
