package commander

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"

	"monsoonswitch/experimenter"
	"monsoonswitch/loader"
)

// trialCommand runs the experiments in simulated time.
type trialCommand struct {
	seeds, workers int
	// days is the simulated time of the healthy experiment in days, over all seeds.
	days float64
	// only is the name of the only experiment to run; empty means all but month.
	only string
	// broken describes the broken guarantees and what the production policies missed.
	broken []string
}

func (c *trialCommand) register(app *kingpin.Application) *kingpin.CmdClause {
	clause := app.Command("trial", "Run the experiments in simulated time, to compare policies with baselines under the same arrivals.")
	clause.Flag("seeds", "Number of seeds.").Default("20").IntVar(&c.seeds)
	clause.Flag("workers", "Number of concurrent runs.").Default("4").IntVar(&c.workers)
	clause.Flag("days", "Simulated healthy days for false ejections, over all seeds; each seed needs 20 min 20 s.").Default("0.3").Float64Var(&c.days)
	clause.Flag("only", "Run only this experiment.").EnumVar(&c.only, "stall", "errors", "detectors", "path", "healthy", "crest", "order", "uploads", "outage", "placement", "month")
	return clause
}

// trialTable is one experiment, which prints a table.
type trialTable struct {
	name string
	run  func(c *trialCommand, w io.Writer)
}

func (c *trialCommand) run(_ context.Context, out, _ io.Writer) error {
	if err := c.check(); err != nil {
		return err
	}
	tables := []trialTable{
		{"stall", (*trialCommand).stall},
		{"errors", (*trialCommand).errors},
		{"detectors", (*trialCommand).detectors},
		{"path", (*trialCommand).path},
		{"crest", (*trialCommand).peak},
		{"order", (*trialCommand).order},
		{"uploads", (*trialCommand).uploads},
		{"outage", (*trialCommand).outage},
		{"placement", (*trialCommand).placement},
		{"healthy", (*trialCommand).healthy},
		{"month", (*trialCommand).month},
	}
	for _, t := range tables {
		if c.only != t.name && (c.only != "" || t.name == "month") {
			continue
		}
		w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
		t.run(c, w)
		fmt.Fprintln(w)
		if err := w.Flush(); err != nil {
			return eris.Wrap(err, "write table")
		}
	}
	for _, b := range c.broken {
		fmt.Fprintln(out, "BROKEN PROMISE", b)
	}
	if len(c.broken) > 0 {
		return eris.Wrap(errViolation, "trial")
	}
	return nil
}

// check returns loader.ErrScenario if the flags ask for experiments that show nothing:
// without seeds, or healthy days that end before their first peak.
func (c *trialCommand) check() error {
	if c.seeds < 1 || c.workers < 1 {
		return eris.Wrap(loader.ErrScenario, "seeds and workers must be at least 1")
	}
	if (c.only == "" || c.only == "healthy") && c.healthyLength() < experimenter.HealthyPeakEnd {
		return eris.Wrapf(loader.ErrScenario, "%g healthy days over %d seeds end before the peak at %v of each", c.days, c.seeds, experimenter.HealthyPeakEnd)
	}
	return nil
}

// healthyLength returns the length of the healthy experiment of each seed.
func (c *trialCommand) healthyLength() time.Duration {
	return time.Duration(c.days * 24 * float64(time.Hour) / float64(c.seeds))
}

// play runs an experiment with all seeds and judges the results.
func (c *trialCommand) play(name string, set experimenter.PolicySet, x experimenter.Experiment) []experimenter.Result {
	results := experimenter.RunSeeds(set, x, c.seeds, c.workers)
	for i, r := range results {
		list := x.Violations(r)
		if set.Standard {
			list = append(list, x.Shortfalls(r)...)
		}
		for _, v := range list {
			c.violate("%s, %s, %s, seed %d: %s", name, x.Service.Name, set.Name, i+1, v)
		}
	}
	return results
}

// violate records a broken guarantee.
func (c *trialCommand) violate(format string, args ...any) {
	c.broken = append(c.broken, fmt.Sprintf(format, args...))
}

// mainServices returns experiments with the services that matter most to the users.
func mainServices() []experimenter.Experiment {
	return []experimenter.Experiment{experimenter.Fieldbook(), experimenter.Kliniki()}
}

// Start and end of the faults, from the start of the experiment.
const (
	faultStart = 20 * time.Second
	faultEnd   = 60 * time.Second
)

// stall measures the detection of a backend server that stalls.
func (c *trialCommand) stall(w io.Writer) {
	fmt.Fprintf(w, "One backend server stalls all work at 30%% load, %d seeds\n", c.seeds)
	c.detection(w, "stall", experimenter.Sets(), func(x experimenter.Experiment) experimenter.Experiment {
		return x.WithStall(0.3, faultStart, faultEnd)
	})
}

// errors measures the detection of a backend server that fails part of its requests.
func (c *trialCommand) errors(w io.Writer) {
	for _, share := range []float64{0.3, 0.1} {
		fmt.Fprintf(w, "One backend server fails %.0f%% of its work at 30%% load, %d seeds\n", 100*share, c.seeds)
		c.detection(w, "errors", experimenter.Sets(), func(x experimenter.Experiment) experimenter.Experiment {
			return x.WithErrors(0.3, share, faultStart, faultEnd)
		})
	}
}

// detectors compares the detectors for a slow backend server.
func (c *trialCommand) detectors(w io.Writer) {
	fmt.Fprintf(w, "Detectors, all else equal: one backend server takes 8 times as long, %d seeds\n", c.seeds)
	c.detection(w, "detectors", experimenter.Detectors(), func(x experimenter.Experiment) experimenter.Experiment {
		return x.WithSlow(0.3, 8, faultStart, faultEnd)
	})
}

// path measures a fault between one instance and one backend server, which must not
// lead to an ejection.
func (c *trialCommand) path(w io.Writer) {
	fmt.Fprintf(w, "One instance alone gets no answers from one backend server, %d seeds; nothing is to be ejected\n", c.seeds)
	c.detection(w, "path", experimenter.Sets(), func(x experimenter.Experiment) experimenter.Experiment {
		return x.WithPathFault(0.3, faultStart, faultEnd)
	})
}

// outage measures a stall while the store is unavailable, so that backend servers can
// be avoided but not ejected.
func (c *trialCommand) outage(w io.Writer) {
	fmt.Fprintf(w, "A stall while the store is away, %d seeds; nothing can be ejected\n", c.seeds)
	c.detection(w, "outage", experimenter.Sets(), func(x experimenter.Experiment) experimenter.Experiment {
		return x.WithOutage(0.3, time.Second, faultStart, faultEnd)
	})
}

// detection prints the detection times and the effects on short requests for each
// service and set of policies. The function configure adds load and faults.
func (c *trialCommand) detection(w io.Writer, name string, sets []experimenter.PolicySet, configure func(experimenter.Experiment) experimenter.Experiment) {
	fmt.Fprintln(w, "SERVICE\tPOLICY\tAVOIDED MEDIAN\tWORST\tNEVER\tEJECTED MEDIAN\tWORST\tNEVER\tFALSE\tFLOOR BREACHES\tVISITS SERVED\tFAILED\tP99")
	for _, base := range mainServices() {
		for _, set := range sets {
			results := c.play(name, set, configure(base))
			avoided := make([]time.Duration, len(results))
			ejected := make([]time.Duration, len(results))
			for i, r := range results {
				avoided[i] = r.AvoidedAfter
				ejected[i] = r.EjectedAfter
			}
			t := totalOf(results)
			avoidedMedian, avoidedMax, avoidedNever := experimenter.Spans(avoided)
			ejectedMedian, ejectedMax, ejectedNever := experimenter.Spans(ejected)
			served, failed, p99 := visitResults(results)
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%s\t%s\t%d\t%d\t%d\t%.2f%%\t%d\t%s\n", base.Service.Name, set.Name,
				durationText(avoidedMedian), durationText(avoidedMax), avoidedNever,
				durationText(ejectedMedian), durationText(ejectedMax), ejectedNever, t.falseEjections, t.floorBreaches, served, failed, durationText(p99))
		}
	}
}

// total is the sum of the results of all seeds.
type total struct {
	sent                                     uint64
	ejections, falseEjections, floorBreaches int
}

func totalOf(results []experimenter.Result) total {
	var t total
	for _, r := range results {
		for _, class := range r.Classes {
			t.sent += class.Sent
		}
		t.ejections += r.Ejections
		t.falseEjections += r.FalseEjections
		t.floorBreaches += r.FloorBreaches
	}
	return t
}

// visitResults returns the share of visits served in percent, the number of visits
// that failed or were refused, and the 99th percentile of their latency as the median
// over the seeds.
func visitResults(results []experimenter.Result) (float64, uint64, time.Duration) {
	var sent, served, failed uint64
	var percentiles []time.Duration
	for _, r := range results {
		c := r.Classes["visit"]
		sent += c.Sent
		served += c.Served
		failed += c.Failed + c.Refused
		percentiles = append(percentiles, c.Percentile(99))
	}
	p99, _, _ := experimenter.Spans(percentiles)
	return 100 * float64(served) / float64(max(1, sent)), failed, p99
}

// durationText formats a duration to the millisecond; negative means never.
func durationText(d time.Duration) string {
	if d < 0 {
		return "-"
	}
	return d.Round(time.Millisecond).String()
}

// healthy counts the false ejections without any fault.
func (c *trialCommand) healthy(w io.Writer) {
	length := c.healthyLength()
	fmt.Fprintf(w, "%.1f healthy days over %d seeds: heavy tails, hourly crests over capacity, restarts with cold starts\n", c.days, c.seeds)
	fmt.Fprintln(w, "SERVICE\tPOLICY\tREQUESTS\tEJECTIONS\tFALSE\tFLOOR BREACHES")
	for _, base := range mainServices() {
		for _, set := range experimenter.Detectors() {
			t := totalOf(c.play("healthy", set, base.WithHealthyDay(0.1, length)))
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\n", base.Service.Name, set.Name, t.sent, t.ejections, t.falseEjections, t.floorBreaches)
		}
	}
}

// month counts the false ejections of the production policies over 30 healthy days.
func (c *trialCommand) month(w io.Writer) {
	const days = 30
	length := time.Duration(days * 24 * float64(time.Hour) / float64(c.seeds))
	fmt.Fprintf(w, "%d healthy days over %d seeds at Pelletier's fieldbook\n", days, c.seeds)
	fmt.Fprintln(w, "REQUESTS\tEJECTIONS\tFALSE\tFLOOR BREACHES\tVISITS SERVED")
	x := experimenter.Fieldbook().WithHealthyDay(0.05, length)
	results := c.play("month", experimenter.Sets()[0], x)
	t := totalOf(results)
	served, _, _ := visitResults(results)
	fmt.Fprintf(w, "%d\t%d\t%d\t%d\t%.3f%%\n", t.sent, t.ejections, t.falseEjections, t.floorBreaches, served)
}
