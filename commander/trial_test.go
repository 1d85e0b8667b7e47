package commander

import (
	"io"
	"strings"
	"testing"
	"time"

	"monsoonswitch/asserter"
	"monsoonswitch/experimenter"
)

// TestTrialFails guards against trials that print what broke and exit with success.
func TestTrialFails(t *testing.T) {
	run := func(standard bool, change func(*experimenter.Result)) []string {
		production := experimenter.Sets()[0]
		set := experimenter.PolicySet{Name: "broken", Standard: standard, Run: func(x experimenter.Experiment) experimenter.Result {
			r := production.Run(x)
			change(&r)
			return r
		}}
		c := &trialCommand{seeds: 1, workers: 1}
		c.detection(io.Discard, "stall", []experimenter.PolicySet{set}, func(x experimenter.Experiment) experimenter.Experiment {
			return x.WithStall(0.3, 4*time.Second, 12*time.Second)
		})
		return c.broken
	}
	for _, c := range []struct {
		name     string
		standard bool
		change   func(*experimenter.Result)
		want     string
	}{
		{"nothing", true, func(*experimenter.Result) {}, ""},
		{"the floor", false, func(r *experimenter.Result) { r.FloorBreaches = 1 }, "floor"},
		{"a second run", false, func(r *experimenter.Result) { r.Duplicates = 1 }, "at most once"},
		{"a lost answer", false, func(r *experimenter.Result) { r.Lost = 1 }, "answers"},
		{"a gray backend server not found", true, func(r *experimenter.Result) { r.AvoidedAfter = -1 }, "gray"},
		{"the same of a baseline", false, func(r *experimenter.Result) { r.AvoidedAfter = -1 }, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := run(c.standard, c.change)
			asserter.Equal(t, "broken", len(got) > 0, c.want != "")
			for _, v := range got {
				asserter.True(t, v+" names "+c.want, strings.Contains(v, c.want))
			}
		})
	}
}

// TestTrialTargets breaks the targets of peaks.
func TestTrialTargets(t *testing.T) {
	x := experimenter.Fieldbook()
	for _, c := range []struct {
		name          string
		during, after float64
		late          uint64
		broken        int
	}{
		{"nothing", 0.95, 0.95, 0, 0},
		{"too little at the peak", 0.94, 1, 0, 1},
		{"too little after it", 1, 0.94, 0, 1},
		{"a late refusal", 1, 1, 1, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			var command trialCommand
			command.requirePeak("crest", x, c.during, c.after, c.late)
			asserter.Equal(t, "broken", len(command.broken), c.broken)
		})
	}
}

// TestTrialExits checks the exit codes of trials that broke something or show nothing.
func TestTrialExits(t *testing.T) {
	run := func(args ...string) int { return Run(append([]string{"trial"}, args...), io.Discard, io.Discard) }
	asserter.Equal(t, "without seeds", run("--seeds", "0"), ExitInvalid)
	asserter.Equal(t, "without workers", run("--workers", "0"), ExitInvalid)
	asserter.Equal(t, "healthy days without a peak", run("--only", "healthy", "--days", "0.2"), ExitInvalid)
	asserter.Equal(t, "one seed", run("--only", "stall", "--seeds", "1"), ExitOK)
	c := &trialCommand{seeds: 1, workers: 1, only: "none", broken: []string{"a guarantee"}}
	asserter.ErrorIs(t, "broken", c.run(t.Context(), io.Discard, io.Discard), errViolation)
}
