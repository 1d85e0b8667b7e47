package loader

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"monsoonswitch/declarer"
	"monsoonswitch/descriptor"
	"monsoonswitch/imitator"
	"monsoonswitch/reporter"
	"monsoonswitch/storer"
)

// maxPressed is the number of requests that may reach a backend server in the pauses that
// it asked for: two on each occasion.
const maxPressed = 2

// maxCrashes is the number of backend server crashes that one poison request may
// cause before the fleet has to refuse it.
const maxCrashes = 2

// verify compares the outcomes reported to callers with the counts of the backend servers,
// the monitor's findings and the fleet's own tallies, and adds a violation for each broken
// guarantee. A check that has nothing to judge counts as broken too.
func (r *Runner) verify(result *Result) {
	for _, f := range r.record.failures {
		result.violate("fault: %s", f)
	}
	if !r.scenario.Disturbed && r.answering != r.fleet.Size() {
		result.violate("instances: %d of %d answered after the load", r.answering, r.fleet.Size())
	}
	r.verifyServed(result)
	runs := r.verifyBackends(result)
	r.verifyRuns(result, runs)
	r.verifyBroken(result, runs)
	r.verifyAnswers(result)
	r.verifyPoison(result)
	r.verifyMonitor(result)
	r.verifyTallies(result)
}

// verifyServed adds a violation for each kind of work of which none was sent, too little
// was served or half was served later than the class's target. Requests that were not sent
// because too many were in flight count as not served.
func (r *Runner) verifyServed(result *Result) {
	if len(result.Work) == 0 {
		result.violate("served: the scenario has no work")
	}
	for i, w := range result.Work {
		t := &r.record.tallies[i]
		settled, due, least := w.Served+t.poisonRefused, t.started+w.Skipped, r.scenario.Work[i].Least
		if w.Sent == 0 || float64(settled) < least*float64(due) {
			result.violate("served: %d of %d requests of %s, must be a share of at least %g", settled, due, w.Name, least)
		}
		if target := r.record.targets[i]; least > 0 && w.P50 > target {
			result.violate("target: half of the served requests of %s took more than %v, must be at most %v", w.Name, w.P50, target)
		}
		if t.started > w.Sent {
			result.violate("answers: %d requests of %s have no outcome %v after the load", t.started-w.Sent, w.Name, finishTimeout)
		}
	}
}

// verifyBackends returns the number of runs of each request, and adds a violation for each
// backend server that does not answer or received too many requests during pauses.
func (r *Runner) verifyBackends(result *Result) map[string]int {
	runs := make(map[string]int)
	for _, b := range r.fleet.Backends() {
		counts, err := b.Counts()
		if err != nil {
			result.violate("counts: %s: %v", b.ID(), err)
		}
		result.Crashes += counts.Crashes
		result.Copies += counts.Copies
		if counts.Altered > 0 {
			result.violate("whole bodies: %s ran %d requests with another body than their callers sent", b.ID(), counts.Altered)
		}
		if counts.Pressed > maxPressed {
			result.violate("pause: %s received %d requests of instances that it had asked for a pause", b.ID(), counts.Pressed)
		}
		for k, n := range counts.Keys {
			runs[k] += n
		}
	}
	return runs
}

// verifyRuns compares the outcomes of requests with their numbers of runs.
func (r *Runner) verifyRuns(result *Result, runs map[string]int) {
	broken := func(tokens []string, is func(runs int) bool) []string {
		return slices.DeleteFunc(slices.Clone(tokens), func(t string) bool { return !is(runs[t]) })
	}
	if list := broken(r.record.atMostOnce, func(runs int) bool { return runs > 1 }); len(list) > 0 {
		result.violate("at most once: %d requests that may run once ran twice: %s", len(list), firstOf(list))
	}
	var refused []string
	for _, w := range r.record.notRun {
		if runs[w.token] > 0 && !w.mayHaveRun() {
			refused = append(refused, fmt.Sprintf("%s (%s, sent %d times)", w.token, w.reason, w.tries))
		}
	}
	if len(refused) > 0 {
		result.violate("true refusals: %d requests ran although they were refused as not run: %s", len(refused), firstOf(refused))
	}
	if list := broken(r.record.served, func(runs int) bool { return runs == 0 }); len(list) > 0 {
		result.violate("whole answers: %d requests were answered that ran at no backend server: %s", len(list), firstOf(list))
	}
}

// maxNamed bounds the requests that a violation names.
const maxNamed = 5

// firstOf joins the first names of a list.
func firstOf(names []string) string { return strings.Join(names[:min(len(names), maxNamed)], ", ") }

// verifyBroken counts the pipelined requests whose answers are missing. It adds a violation if
// all that happened was planned.
func (r *Runner) verifyBroken(result *Result, runs map[string]int) {
	result.Cut = len(r.record.cut)
	for _, t := range r.record.unanswered {
		if runs[t] > 0 {
			result.Unanswered++
		}
	}
	if r.scenario.Planned && result.Cut+result.Unanswered > 0 {
		result.violate("planned stops: %d answers broke off, and %d requests that ran were not answered", result.Cut, result.Unanswered)
	}
}

// verifyAnswers adds a violation for answers and refusals that are not whole.
func (r *Runner) verifyAnswers(result *Result) {
	for i, w := range r.scenario.Work {
		if n := r.record.tallies[i].corrupt; n > 0 {
			result.violate("whole answers: %d answers to %s were truncated or belonged to another request", n, w.Name)
		}
		if n := r.record.tallies[i].vague; n > 0 {
			result.violate("true refusals: %d refusals of %s do not say whether the request ran", n, w.Name)
		}
	}
}

// verifyPoison adds a violation if poison requests crashed too many backend servers, or
// none at all.
func (r *Runner) verifyPoison(result *Result) {
	switch {
	case result.PoisonSent == 0:
	case result.Crashes > maxCrashes:
		result.violate("poison: poison requests crashed backend servers %d times", result.Crashes)
	case result.Crashes == 0:
		result.violate("poison: no poison request reached a backend server")
	}
}

// verifyMonitor adds violations for the floor, for gray backend servers that were not found
// and for work at draining backend servers.
func (r *Runner) verifyMonitor(result *Result) {
	r.monitor.mu.Lock()
	defer r.monitor.mu.Unlock()
	if r.monitor.breaches > 0 {
		result.violate("floor: ejections went below the floor at %d checks", r.monitor.breaches)
	}
	for _, s := range r.deployment.services {
		if err, checked := r.monitor.unread[s.Name]; err != nil || !checked {
			result.violate("floor: the ejections of %s could not be checked: %v", s.Name, err)
		}
	}
	for _, g := range r.monitor.grays {
		after := elapsed(g.since, g.avoided)
		if g.found > 0 && (after < 0 || after > g.found) {
			result.violate("gray: %s was avoided after %s, must be within %v", g.backend.ID(), durationText(after), g.found)
		}
	}
	for _, d := range r.monitor.drains {
		r.verifyDrain(result, d)
	}
}

// verifyDrain adds a violation if a draining backend server received work later than
// drainLimit, or if that could not be counted.
func (r *Runner) verifyDrain(result *Result, d *drainingBackend) {
	if d.after == nil {
		result.violate("drain: the requests that %s received were not counted after %v", d.backend.ID(), drainLimit)
		return
	}
	counts, err := d.backend.Counts()
	if err != nil {
		result.violate("drain: %s: %v", d.backend.ID(), err)
		return
	}
	if before, after := received(*d.after), received(counts); after > before {
		result.violate("drain: %s received %d requests after %v", d.backend.ID(), after-before, drainLimit)
	}
}

// received returns the number of requests that a backend server received.
func received(c imitator.BackendCounts) uint64 { return c.Begun + c.Shed }

// verifyTallies compares the fleet's own tallies with the callers' counts. A request
// without an answer may be missing in the tallies, and one that timed out may count as
// served there. Instances of disturbed fleets lose tallies, so that these are not
// compared.
func (r *Runner) verifyTallies(result *Result) {
	if r.scenario.Disturbed {
		return
	}
	var served uint64
	for _, s := range r.deployment.services {
		report, err := r.reportOf(s)
		if err != nil {
			result.violate("report: %v", err)
		}
		result.Received += report.Received
		served += report.Served
	}
	var answered, unanswered, timedOut uint64
	for i, w := range result.Work {
		answered += w.Served + w.Reasons["status-5xx"]
		unanswered += r.record.tallies[i].unanswered
		timedOut += r.record.tallies[i].timedOut
	}
	if result.Received > result.Tries || result.Received+unanswered < result.Tries || served < answered || served > answered+timedOut {
		result.violate("report: the fleet counted %d received and %d served, its callers %d and %d (%d without an answer, %d of them timed out)",
			result.Received, served, result.Tries, answered, unanswered, timedOut)
	}
}

// reportOf builds the report of a service from the tallies in the store. It is empty if
// there are none. It returns an error if they can't be read.
func (r *Runner) reportOf(s declarer.Service) (reporter.Report, error) {
	item, err := r.fleet.Peek(storer.TallyKey(s.Name))
	if errors.Is(err, storer.ErrNotFound) {
		return reporter.Report{}, nil
	}
	if err != nil {
		return reporter.Report{}, err
	}
	var tallies []descriptor.Tally
	if err := json.Unmarshal(item.Value, &tallies); err != nil {
		return reporter.Report{}, eris.Wrapf(storer.ErrMalformed, "%s: %v", item.Key, err)
	}
	return reporter.Build(s, 0, tallies, time.Now()), nil
}
