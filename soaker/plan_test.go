package soaker

import (
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
	}
	t.Run("every kind of fault is drawn", func(t *testing.T) {
		asserter.Equal(t, "of instances", len(drawn), len(kinds))
		for _, f := range surroundings {
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
