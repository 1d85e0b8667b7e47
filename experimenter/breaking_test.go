package experimenter

import (
	"slices"
	"strings"
	"testing"
	"time"

	"monsoonswitch/asserter"
	"monsoonswitch/descriptor"
	"monsoonswitch/detector"
	"monsoonswitch/limiter"
	"monsoonswitch/picker"
)

// production is a simulation with the production policies.
type production = simulation[detector.Evidence, detector.Sequential, picker.Sampled, limiter.Adaptive]

// breakTime is the time from the start at which a test breaks a simulation.
const breakTime = time.Second

// play runs an experiment with the production policies, which broken breaks at breakTime.
func play(x Experiment, broken func(*production)) Result {
	s := newSimulation[detector.Evidence, detector.Sequential, picker.Sampled, limiter.Adaptive](x)
	if broken != nil {
		s.after(breakTime, func() { broken(s) })
	}
	s.run()
	s.countBroken()
	return s.result
}

// eject stores ejections of the given backend servers.
func eject(s *production, indices ...int) {
	d := descriptor.Document{Kind: descriptor.KindEjections, Name: s.experiment.Service.Name}
	for _, i := range indices {
		d.Ejections = append(d.Ejections, descriptor.Ejection{Backend: s.backends[i].listed.ID, Since: s.now, Until: s.now.Add(time.Minute)})
	}
	s.write(0, descriptor.Write{Document: d, Expect: s.ejected.Revision})
}

// addRequest adds a request that no instance receives.
func addRequest(s *production, class string) *request {
	s.requests = append(s.requests, request{class: class, arrived: s.now})
	s.result.Classes[class].Sent++
	return &s.requests[len(s.requests)-1]
}

// checkNames returns the first words of violations, each once, in order.
func checkNames(list []string) []string {
	var names []string
	for _, v := range list {
		name, _, _ := strings.Cut(v, ":")
		names = append(names, name)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// TestBreakages guards against checks of experiments that can't fail: each is broken on
// purpose, and must be the one that fails.
func TestBreakages(t *testing.T) {
	const length = 12 * time.Second
	stall := Fieldbook().WithStall(0.3, 4*time.Second, length)
	stall.Seed = 1
	for _, c := range []struct {
		name       string
		experiment Experiment
		broken     func(*production)
		want       []string
	}{
		{name: "nothing", experiment: stall},
		{
			name: "an ejection of all", experiment: stall, want: []string{"floor"},
			broken: func(s *production) { eject(s, 0, 1, 2, 3, 4, 5) },
		},
		{
			name: "a second run", experiment: stall, want: []string{"at most once"},
			broken: func(s *production) { addRequest(s, "booking").runs, s.requests[len(s.requests)-1].endings = 2, 1 },
		},
		{
			name: "a lost answer", experiment: stall, want: []string{"answers"},
			broken: func(s *production) { addRequest(s, "visit") },
		},
		{
			name: "an answer given twice", experiment: stall, want: []string{"answers"},
			broken: func(s *production) { addRequest(s, "visit").endings = 2 },
		},
		{name: "no load", experiment: Fieldbook(), want: []string{"sent"}},
		{
			name: "a load of which nothing is sent", want: []string{"sent"},
			experiment: func() Experiment {
				x := stall
				x.Loads = append(slices.Clone(x.Loads), Load{Class: "upload", Rate: 1e-9, Weight: 1})
				return x
			}(),
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := c.experiment.Violations(play(c.experiment, c.broken))
			asserter.Equal(t, "broken checks", checkNames(got), c.want)
		})
	}
}

// TestShortfalls guards against requirements that can't be missed.
func TestShortfalls(t *testing.T) {
	const length = 12 * time.Second
	stall := Fieldbook().WithStall(0.3, 4*time.Second, length)
	stall.Seed = 1
	held := play(stall, nil)
	with := func(change func(*Result)) Result {
		r := held
		change(&r)
		return r
	}
	for _, c := range []struct {
		name     string
		required Required
		result   Result
		want     []string
	}{
		{"nothing", stall.Required, held, nil},
		{"a false ejection", stall.Required, play(stall, func(s *production) { eject(s, 0) }), []string{"false ejections"}},
		{"an ejection where none may be", Required{Unejected: true}, held, []string{"ejections"}},
		{"a gray backend server that is never avoided", stall.Required, with(func(r *Result) { r.AvoidedAfter = -1 }), []string{"gray"}},
		{"one that is avoided late", stall.Required, with(func(r *Result) { r.AvoidedAfter = foundTarget + 1 }), []string{"gray"}},
		{"one that is never ejected", stall.Required, with(func(r *Result) { r.EjectedAfter = -1 }), []string{"gray"}},
		{"too little is served", Required{Served: 1.01}, held, []string{"served"}},
		{"what is served is late", Required{Tail: time.Microsecond}, held, []string{"tail"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			asserter.Equal(t, "shortfalls", checkNames(stall.WithRequired(c.required).Shortfalls(c.result)), c.want)
		})
	}
}

// TestBaselineMisses checks that policies which never eject miss what is required of the
// production ones.
func TestBaselineMisses(t *testing.T) {
	stall := Fieldbook().WithStall(0.3, 4*time.Second, 12*time.Second)
	stall.Seed = 1
	roundRobin := Sets()[1]
	r := roundRobin.Run(stall)
	asserter.Equal(t, "violations", stall.Violations(r), nil)
	asserter.Equal(t, "shortfalls", checkNames(stall.Shortfalls(r)), []string{"gray"})
}

// TestStandardSets checks that each comparison judges the production policies, and only
// these.
func TestStandardSets(t *testing.T) {
	for _, sets := range [][]PolicySet{Sets(), Detectors(), Orders()} {
		for k, s := range sets {
			asserter.Equal(t, s.Name, s.Standard, k == 0)
		}
		asserter.AtLeast(t, "sets", len(sets), 3)
	}
}

// TestPlacementShort breaks the check of placements: a service gets the same member twice.
func TestPlacementShort(t *testing.T) {
	twice := Placement{Name: "twice", Place: func(services []string, members []descriptor.Member, _ int) [][]string {
		result := make([][]string, len(services))
		for i := range result {
			result[i] = []string{members[0].ID, members[0].ID, members[1].ID}
		}
		return result
	}}
	asserter.Equal(t, "short", MeasurePlacement(twice, 3, 48, 3, 3).Short, 3)
	for _, p := range Placements() {
		r := MeasurePlacement(p, 3, 48, 3, 3)
		asserter.Equal(t, p.Name+": short", r.Short, 0)
		// Each of the members that leave had a place, which at least moves.
		asserter.AtLeast(t, p.Name+": moved", r.Moved, 1)
	}
}
