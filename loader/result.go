package loader

import (
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"

	"monsoonswitch/descriptor"
	"monsoonswitch/reporter"
	"monsoonswitch/storer"
)

// WorkResult holds the outcomes that callers observed for one kind of work.
// Skipped counts requests not sent because too many were in flight, Late refusals
// as overloaded after the class's target, and Unknown requests without an answer
// or with a status of 5xx.
type WorkResult struct {
	Name       string            `json:"name"`
	Sent       uint64            `json:"sent"`
	Served     uint64            `json:"served"`
	NotRun     uint64            `json:"notrun"`
	MayHaveRun uint64            `json:"mayhaverun"`
	Ran        uint64            `json:"ran"`
	Unknown    uint64            `json:"unknown"`
	Skipped    uint64            `json:"skipped"`
	Late       uint64            `json:"late"`
	Reasons    map[string]uint64 `json:"reasons"`
	P50        time.Duration     `json:"p50"`
	P99        time.Duration     `json:"p99"`
	Seconds    []SecondResult    `json:"seconds"`
}

// SecondResult holds the outcomes of the requests sent in one second.
type SecondResult struct {
	Served  uint64        `json:"served"`
	Refused uint64        `json:"refused"`
	P99     time.Duration `json:"p99"`
}

// Detection holds the times from the start of a fault until all instances avoided
// the gray backend server and until it was ejected; a negative time means never.
type Detection struct {
	Backend string        `json:"backend"`
	Avoided time.Duration `json:"avoided"`
	Ejected time.Duration `json:"ejected"`
}

// Result is the outcome of a scenario.
type Result struct {
	Scenario   string       `json:"scenario"`
	Policy     string       `json:"policy"`
	Work       []WorkResult `json:"work"`
	Detections []Detection  `json:"detections"`
	Ejections  []Ejection   `json:"ejections"`
	Grays      []GrayResult `json:"grays"`
	// FalseEjections counts ejections of backend servers without a fault.
	FalseEjections int `json:"falseejections"`
	// Violations describes the broken guarantees.
	Violations []string `json:"violations"`
	// PoisonSent and PoisonRefused count the poison requests sent and those
	// refused with the reason poisoned; Crashes counts backend server crashes.
	PoisonSent    uint64 `json:"poisonsent"`
	PoisonRefused uint64 `json:"poisonrefused"`
	Crashes       uint64 `json:"crashes"`
	// Copies counts the refusals that backend servers wrote once more. Cut and Unanswered
	// count the pipelined requests whose answer broke off, and those that had run when
	// their connection broke without an answer.
	Copies     uint64 `json:"copies"`
	Cut        int    `json:"cut"`
	Unanswered int    `json:"unanswered"`
	// Received is the number of requests in the fleet's own tallies; Tries is the
	// number that the callers sent, including repeats.
	Received uint64 `json:"received"`
	Tries    uint64 `json:"tries"`
}

// GuaranteesHeld reports whether every guarantee held.
func (r Result) GuaranteesHeld() bool { return len(r.Violations) == 0 }

func (r *Runner) result() Result {
	result := Result{Scenario: r.scenario.Name, Policy: r.scenario.Policy}
	r.record.mu.Lock()
	defer r.record.mu.Unlock()
	for i, w := range r.scenario.Work {
		result.Work = append(result.Work, r.record.tallies[i].result(w.Name))
		result.Tries += r.record.tallies[i].tries
	}
	result.Grays = r.record.grays
	result.PoisonSent = r.record.poisonSent
	result.PoisonRefused = r.record.poisonRefused
	r.addObservations(&result)
	r.verify(&result)
	return result
}

func (t *tally) result(name string) WorkResult {
	w := WorkResult{
		Name:       name,
		Sent:       t.sent,
		Served:     t.served,
		NotRun:     t.notRun,
		MayHaveRun: t.mayHaveRun,
		Ran:        t.ran,
		Unknown:    t.unknown,
		Skipped:    t.skipped,
		Late:       t.lateRefusals,
		Reasons:    t.reasons,
		P50:        time.Duration(t.latency.ValueAtQuantile(50)) * time.Microsecond,
		P99:        time.Duration(t.latency.ValueAtQuantile(99)) * time.Microsecond,
	}
	for _, s := range t.perSecond {
		v := SecondResult{Served: s.served, Refused: s.refused}
		if s.latency != nil {
			v.P99 = time.Duration(s.latency.ValueAtQuantile(99)) * time.Microsecond
		}
		w.Seconds = append(w.Seconds, v)
	}
	return w
}

// addObservations copies the monitor's findings into the result.
func (r *Runner) addObservations(result *Result) {
	r.monitor.mu.Lock()
	defer r.monitor.mu.Unlock()
	result.Ejections = r.monitor.ejections
	for _, e := range r.monitor.ejections {
		if !e.Gray {
			result.FalseEjections++
		}
	}
	for _, g := range r.monitor.grays {
		result.Detections = append(result.Detections, Detection{
			Backend: g.backend.ID(),
			Avoided: elapsed(g.since, g.avoided),
			Ejected: elapsed(g.since, g.ejected),
		})
	}
	if r.monitor.breaches > 0 {
		result.violate("floor: ejections went below the floor at %d checks", r.monitor.breaches)
	}
	for _, d := range r.monitor.drains {
		counts := d.backend.Counts()
		if d.after != nil && counts.Begun+counts.Shed > d.after.Begun+d.after.Shed {
			result.violate("drain: %s received %d requests after %v", d.backend.ID(),
				counts.Begun+counts.Shed-d.after.Begun-d.after.Shed, drainLimit)
		}
	}
}

// elapsed returns the time between from and to, or -1 if to is zero.
func elapsed(from, to time.Time) time.Duration {
	if to.IsZero() {
		return -1
	}
	return to.Sub(from)
}

func (r *Result) violate(format string, args ...any) {
	r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
}

// verify compares the outcomes reported to callers with the runs counted by backend
// servers and adds a violation for each broken guarantee.
func (r *Runner) verify(result *Result) {
	runs := make(map[string]int)
	for _, b := range r.fleet.Backends() {
		counts := b.Counts()
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
	r.verifyServed(result)
	r.verifyBroken(result, runs)
	var duplicates, falseRefusals []string
	for _, t := range r.record.keyed {
		if runs[t.text] > 1 {
			duplicates = append(duplicates, t.text)
		}
	}
	for _, t := range r.record.notRun {
		if runs[t.text] > 0 {
			falseRefusals = append(falseRefusals, fmt.Sprintf("%s (%s, sent %d times)", t.text, t.reason, t.tries))
		}
	}
	if len(duplicates) > 0 {
		result.violate("at most once: %d keyed requests ran twice: %s", len(duplicates), firstOf(duplicates))
	}
	if len(falseRefusals) > 0 {
		result.violate("true refusals: %d requests ran although they were refused as not run: %s", len(falseRefusals), firstOf(falseRefusals))
	}
	for i, w := range r.scenario.Work {
		if corrupt := r.record.tallies[i].corrupt; corrupt > 0 {
			result.violate("whole answers: %d answers to %s were truncated or belonged to another request", corrupt, w.Name)
		}
	}
	if result.PoisonSent > 0 && result.Crashes > maxCrashes {
		result.violate("poison: poison requests crashed backend servers %d times", result.Crashes)
	}
	r.verifyTallies(result)
}

// firstOf joins the first names of a list.
func firstOf(names []string) string { return strings.Join(names[:min(len(names), maxNamed)], ", ") }

// maxNamed bounds the requests that a violation names.
const maxNamed = 5

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

// verifyServed adds a violation for each kind of work of which none was sent or too little
// was served.
func (r *Runner) verifyServed(result *Result) {
	for i, w := range result.Work {
		if least := r.scenario.Work[i].Least; w.Sent == 0 || float64(w.Served) < least*float64(w.Sent) {
			result.violate("served: %d of %d requests of %s, must be a share of at least %g", w.Served, w.Sent, w.Name, least)
		}
	}
}

// maxPressed is the number of requests that may reach a backend server in the pauses that
// it asked for: two on each occasion.
const maxPressed = 2

// maxCrashes is the number of backend server crashes that one poison request may
// cause before the fleet has to refuse it.
const maxCrashes = 2

// verifyTallies compares the fleet's own tallies with the callers' counts. It does so
// only if no request is unknown (without an answer, or answered with a status of 5xx)
// and none was poison, since otherwise the two may differ without a fault.
func (r *Runner) verifyTallies(result *Result) {
	if r.scenario.Disturbed {
		return
	}
	var served uint64
	for _, s := range r.deployment.services {
		report, ok := r.reportOf(s.Name)
		if !ok {
			continue
		}
		result.Received += report.Received
		served += report.Served
	}
	var answered, unanswered uint64
	for _, w := range result.Work {
		answered += w.Served + w.Reasons["status-5xx"]
		unanswered += w.Unknown
	}
	if unanswered == 0 && result.PoisonSent == 0 && (result.Received != result.Tries || served != answered) {
		result.violate("report: the fleet counted %d received and %d served, its callers %d and %d",
			result.Received, served, result.Tries, answered)
	}
}

// reportOf builds the report of a service from the tallies in the store.
func (r *Runner) reportOf(service string) (reporter.Report, bool) {
	item, ok := r.fleet.Peek(storer.TallyKey(service))
	if !ok {
		return reporter.Report{}, false
	}
	var tallies []descriptor.Tally
	if json.Unmarshal(item.Value, &tallies) != nil {
		return reporter.Report{}, false
	}
	declared, _ := r.deployment.service(service)
	return reporter.Build(declared, 0, tallies, time.Now()), true
}

// Text writes the result as plain text tables.
func (r Result) Text(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "WORK\tSENT\tSERVED\tNOT RUN\tMAY HAVE RUN\tRAN\tNO ANSWER\tP50\tP99\tREASONS")
	for _, v := range r.Work {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%v\t%v\t%s\n", v.Name, v.Sent, v.Served, v.NotRun, v.MayHaveRun, v.Ran,
			v.Unknown, v.P50.Round(100*time.Microsecond), v.P99.Round(100*time.Microsecond), reasonsText(v.Reasons))
	}
	for _, d := range r.Detections {
		fmt.Fprintf(w, "\ngray %s\tavoided after %s\tejected after %s\n", d.Backend, durationText(d.Avoided), durationText(d.Ejected))
	}
	fmt.Fprintf(w, "\nfalse ejections\t%d\n", r.FalseEjections)
	if r.PoisonSent > 0 {
		fmt.Fprintf(w, "poisonous requests\t%d sent\t%d refused as such\t%d crashes\n", r.PoisonSent, r.PoisonRefused, r.Crashes)
	}
	fmt.Fprintf(w, "copies of refusals\t%d\t%d answers cut\t%d not answered\n", r.Copies, r.Cut, r.Unanswered)
	for _, v := range r.Violations {
		fmt.Fprintf(w, "BROKEN PROMISE\t%s\n", v)
	}
	if r.GuaranteesHeld() {
		fmt.Fprintln(w, "promises\tall held")
	}
	return eris.Wrap(w.Flush(), "write result")
}

func reasonsText(reasons map[string]uint64) string {
	names := make([]string, 0, len(reasons))
	for n := range reasons {
		names = append(names, n)
	}
	sort.Strings(names)
	for i, n := range names {
		names[i] = fmt.Sprintf("%s %d", n, reasons[n])
	}
	if len(names) == 0 {
		return "-"
	}
	return strings.Join(names, ", ")
}

// durationText formats a duration to the millisecond; negative means never.
func durationText(d time.Duration) string {
	if d < 0 {
		return "never"
	}
	return d.Round(time.Millisecond).String()
}

// JSON writes the result as JSON.
func (r Result) JSON(out io.Writer) error {
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	return eris.Wrap(e.Encode(r), "write result")
}
