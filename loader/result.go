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

// WorkResult is what callers saw of one kind of work.
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

// SecondResult is what callers saw of one second.
type SecondResult struct {
	Served  uint64        `json:"served"`
	Refused uint64        `json:"refused"`
	P99     time.Duration `json:"p99"`
}

// Detection is how long a gray backend server went unnoticed; negative times
// mean that it never was noticed.
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
	// FalseEjections counts ejections of backend servers without a fault.
	FalseEjections int `json:"falseejections"`
	// Violations lists broken promises.
	Violations []string `json:"violations"`
	// Poison holds the marked requests sent, refused as such, and the crashes.
	PoisonSent    uint64 `json:"poisonsent"`
	PoisonRefused uint64 `json:"poisonrefused"`
	Crashes       uint64 `json:"crashes"`
	// Received is what the fleet's own tallies say, and Tries what the callers
	// counted.
	Received uint64 `json:"received"`
	Tries    uint64 `json:"tries"`
}

// Held tells whether every promise held.
func (r Result) Held() bool { return len(r.Violations) == 0 }

func (r *Runner) result() Result {
	result := Result{Scenario: r.scenario.Name, Policy: r.scenario.Policy}
	r.record.mu.Lock()
	defer r.record.mu.Unlock()
	for i, w := range r.scenario.Work {
		result.Work = append(result.Work, r.record.tallies[i].result(w.Name))
		result.Tries += r.record.tallies[i].tries
	}
	result.PoisonSent = r.record.poisonSent
	result.PoisonRefused = r.record.poisonRefused
	r.addWatch(&result)
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

func (r *Runner) addWatch(result *Result) {
	r.watch.mu.Lock()
	defer r.watch.mu.Unlock()
	result.Ejections = r.watch.ejections
	for _, e := range r.watch.ejections {
		if !e.Gray {
			result.FalseEjections++
		}
	}
	for _, g := range r.watch.grays {
		result.Detections = append(result.Detections, Detection{
			Backend: g.backend.ID(),
			Avoided: since(g.since, g.avoided),
			Ejected: since(g.since, g.ejected),
		})
	}
	if r.watch.breaches > 0 {
		result.violate("floor: ejections went below the floor at %d looks", r.watch.breaches)
	}
	for _, d := range r.watch.drains {
		counts := d.backend.Counts()
		if d.after != nil && counts.Begun+counts.Shed > d.after.Begun+d.after.Shed {
			result.violate("drain: %s got %d requests after %v", d.backend.ID(),
				counts.Begun+counts.Shed-d.after.Begun-d.after.Shed, drainTime)
		}
	}
}

func since(from, to time.Time) time.Duration {
	if to.IsZero() {
		return -1
	}
	return to.Sub(from)
}

func (r *Result) violate(format string, args ...any) {
	r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
}

// verify checks what callers were told against what backend servers counted.
func (r *Runner) verify(result *Result) {
	runs := make(map[string]int)
	for _, b := range r.fleet.Backends() {
		counts := b.Counts()
		result.Crashes += counts.Crashes
		for k, n := range counts.Keys {
			runs[k] += n
		}
	}
	duplicates, lies := 0, 0
	for _, t := range r.record.keyed {
		if runs[t.text] > 1 {
			duplicates++
		}
	}
	for _, t := range r.record.notRun {
		if runs[t.text] > 0 {
			lies++
		}
	}
	if duplicates > 0 {
		result.violate("at most once: %d keyed requests ran twice", duplicates)
	}
	if lies > 0 {
		result.violate("true refusals: %d requests ran that were refused as not run", lies)
	}
	for i, w := range r.scenario.Work {
		if bad := r.record.tallies[i].bad; bad > 0 {
			result.violate("whole answers: %d answers to %s were not whole or not the caller's", bad, w.Name)
		}
	}
	if result.PoisonSent > 0 && result.Crashes > maxCrashes {
		result.violate("poison: one request brought backend servers down %d times", result.Crashes)
	}
	r.verifyTallies(result)
}

// maxCrashes is how often one request may bring a backend server down.
const maxCrashes = 2

// verifyTallies compares the fleet's own counts with those of the callers.
func (r *Runner) verifyTallies(result *Result) {
	var served uint64
	for _, s := range r.deployment.services {
		report, ok := r.reportOf(s.Name)
		if !ok {
			continue
		}
		result.Received += report.Received
		served += report.Served
	}
	var seen, sent uint64
	for _, w := range result.Work {
		seen += w.Served + w.Reasons["status-5xx"]
		sent += w.Unknown
	}
	if sent == 0 && result.PoisonSent == 0 && (result.Received != result.Tries || served != seen) {
		result.violate("report: the fleet counted %d received and %d served, its callers %d and %d",
			result.Received, served, result.Tries, seen)
	}
}

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

// Text writes the result as tables.
func (r Result) Text(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "WORK\tSENT\tSERVED\tNOT RUN\tMAY HAVE RUN\tRAN\tNO ANSWER\tP50\tP99\tREASONS")
	for _, v := range r.Work {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%v\t%v\t%s\n", v.Name, v.Sent, v.Served, v.NotRun, v.MayHaveRun, v.Ran,
			v.Unknown, v.P50.Round(100*time.Microsecond), v.P99.Round(100*time.Microsecond), reasonText(v.Reasons))
	}
	for _, d := range r.Detections {
		fmt.Fprintf(w, "\ngray %s\tavoided after %s\tejected after %s\n", d.Backend, spanText(d.Avoided), spanText(d.Ejected))
	}
	fmt.Fprintf(w, "\nfalse ejections\t%d\n", r.FalseEjections)
	if r.PoisonSent > 0 {
		fmt.Fprintf(w, "poisonous requests\t%d sent\t%d refused as such\t%d crashes\n", r.PoisonSent, r.PoisonRefused, r.Crashes)
	}
	for _, v := range r.Violations {
		fmt.Fprintf(w, "BROKEN PROMISE\t%s\n", v)
	}
	if r.Held() {
		fmt.Fprintln(w, "promises\tall held")
	}
	return eris.Wrap(w.Flush(), "write result")
}

func reasonText(reasons map[string]uint64) string {
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

func spanText(d time.Duration) string {
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
