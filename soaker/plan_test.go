package soaker

import (
	"io"
	"slices"
	"testing"
	"time"

	"monsoonswitch/asserter"
	"monsoonswitch/loader"
)

// TestPlan guards against plans that can't be repeated, and against faults that are never
// drawn.
func TestPlan(t *testing.T) {
	const instances, duration = 6, 12 * time.Second
	t.Run("the same seed gives the same plan", func(t *testing.T) {
		asserter.Equal(t, "plan", newPlan(7, instances, duration), newPlan(7, instances, duration))
	})
	drawn := make(map[kind]bool)
	surrounding := make(map[loader.FaultKind]bool)
	planned := 0
	for seed := range uint64(200) {
		p := newPlan(seed, instances, duration)
		asserter.AtLeast(t, "faults of instances", len(p.steps), minSteps)
		for _, s := range p.steps {
			drawn[s.kind] = true
			asserter.AtLeast(t, "start", s.at, leadTime)
			asserter.AtMost(t, "start", s.at, duration-tailTime)
			asserter.AtMost(t, "instance", s.instance, instances-1)
		}
		for _, f := range p.scenario.Faults {
			surrounding[f.Kind] = true
			asserter.AtMost(t, "end", f.To, duration-tailTime)
		}
		if p.scenario.Planned {
			planned++
		}
	}
	t.Run("some plans have planned faults alone", func(t *testing.T) {
		asserter.AtLeast(t, "plans", planned, 40)
		asserter.AtMost(t, "plans", planned, 80)
	})
	t.Run("every kind of fault is drawn", func(t *testing.T) {
		asserter.Equal(t, "of instances", len(drawn), len(kinds))
		for _, f := range append(slices.Clone(surroundings), serverFaults...) {
			asserter.True(t, string(f.Kind), surrounding[f.Kind])
		}
	})
}

// TestServedOutsideOutages breaks the check of served work on purpose: too little is served
// outside of outages, and then only within one.
func TestServedOutsideOutages(t *testing.T) {
	started := time.Now()
	seconds := func(served ...uint64) loader.Result {
		w := loader.WorkResult{}
		for _, n := range served {
			w.Seconds = append(w.Seconds, loader.SecondResult{Served: n, Refused: 10 - n})
		}
		return loader.Result{Work: []loader.WorkResult{w}}
	}
	for _, c := range []struct {
		name    string
		result  loader.Result
		outages []span
		broken  int
	}{
		{"all served", seconds(10, 10, 10, 10), nil, 0},
		{"too little served", seconds(10, 2, 2, 2), nil, 1},
		{"too little served in an outage", seconds(10, 0, 0, 10), []span{{started.Add(time.Second), started.Add(3 * time.Second)}}, 0},
		{"too little served after an outage", seconds(10, 0, 0, 10, 0, 0, 0), []span{{started.Add(time.Second), started.Add(3 * time.Second)}}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := &soak{outages: c.outages}
			asserter.Equal(t, "violations", len(s.verifyServed(c.result, started).Violations), c.broken)
		})
	}
}

// TestGrayFound breaks the check of gray backend servers on purpose: one gets as much as the
// others, and then only when it can't be known yet, in an outage, or beside another fault.
func TestGrayFound(t *testing.T) {
	started := time.Now()
	const seconds = 8
	fault := loader.Fault{Name: "stall", Kind: loader.FaultStall, Service: "ledger", Index: 3, From: time.Second, To: seconds * time.Second}
	result := func(late, early float64) loader.Result {
		g := loader.GrayResult{Backend: "ledger-3", Fault: fault.Name, Since: 1}
		for i := 1; i < seconds; i++ {
			n := late
			if i < 4 {
				n = early
			}
			g.Seconds = append(g.Seconds, loader.GraySecond{Second: i, Gray: n, Others: 20})
		}
		return loader.Result{Grays: []loader.GrayResult{g}}
	}
	for _, c := range []struct {
		name    string
		result  loader.Result
		outages []span
		other   loader.Fault
		broken  int
	}{
		{"found", result(2, 20), nil, loader.Fault{}, 0},
		{"not found", result(20, 20), nil, loader.Fault{}, 1},
		{"not found in an outage", result(20, 20), []span{{started.Add(4 * time.Second), started.Add(9 * time.Second)}}, loader.Fault{}, 0},
		{"not found beside another fault", result(20, 20), nil, loader.Fault{Name: "copy", Service: "ledger", Index: 3, To: time.Minute}, 0},
		{"not found beside a fault of another backend server", result(20, 20), nil, loader.Fault{Name: "copy", Service: "ledger", Index: 4, To: time.Minute}, 1},
		{"not found before another fault", result(20, 20), nil, loader.Fault{Name: "copy", Service: "ledger", Index: 3, From: fault.To, To: time.Minute}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := &soak{outages: c.outages, progress: io.Discard}
			r := s.verifyGray(c.result, started, []loader.Fault{fault, c.other})
			asserter.Equal(t, "violations", len(r.Violations), c.broken)
		})
	}
}
