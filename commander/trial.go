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
)

// trialCommand runs the fake-time experiments.
type trialCommand struct {
	seeds, workers int
	days           float64
	only           string
}

func (c *trialCommand) register(app *kingpin.Application) *kingpin.CmdClause {
	clause := app.Command("trial", "Run the experiments in fake time: policies beside baselines, the same arrivals for each.")
	clause.Flag("seeds", "Number of seeds.").Default("20").IntVar(&c.seeds)
	clause.Flag("workers", "Runs at a time.").Default("4").IntVar(&c.workers)
	clause.Flag("days", "Simulated healthy days for false ejections, over all seeds.").Default("0.2").Float64Var(&c.days)
	clause.Flag("only", "Run only this experiment.").EnumVar(&c.only, "stall", "errors", "detectors", "path", "healthy", "crest", "order", "uploads", "outage", "placement", "month")
	return clause
}

// trialPart is one table.
type trialPart struct {
	name string
	run  func(c *trialCommand, w io.Writer)
}

func (c *trialCommand) run(_ context.Context, out, _ io.Writer) error {
	parts := []trialPart{
		{"stall", (*trialCommand).stall},
		{"errors", (*trialCommand).errors},
		{"detectors", (*trialCommand).detectors},
		{"path", (*trialCommand).path},
		{"crest", (*trialCommand).crest},
		{"order", (*trialCommand).order},
		{"uploads", (*trialCommand).uploads},
		{"outage", (*trialCommand).outage},
		{"placement", (*trialCommand).placement},
		{"healthy", (*trialCommand).healthy},
		{"month", (*trialCommand).month},
	}
	for _, p := range parts {
		if c.only != p.name && (c.only != "" || p.name == "month") {
			continue
		}
		w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
		p.run(c, w)
		fmt.Fprintln(w)
		if err := w.Flush(); err != nil {
			return eris.Wrap(err, "write table")
		}
	}
	return nil
}

// sites returns the services that the users weigh most.
func sites() []experimenter.Experiment {
	return []experimenter.Experiment{experimenter.Fieldbook(), experimenter.Kliniki()}
}

const (
	faultAt  = 20 * time.Second
	faultEnd = 60 * time.Second
)

func (c *trialCommand) stall(w io.Writer) {
	fmt.Fprintf(w, "One backend server stalls all work at 30%% load, %d seeds\n", c.seeds)
	c.detection(w, experimenter.Sets(), func(x experimenter.Experiment) experimenter.Experiment {
		return x.WithStall(0.3, faultAt, faultEnd)
	})
}

func (c *trialCommand) errors(w io.Writer) {
	for _, share := range []float64{0.3, 0.1} {
		fmt.Fprintf(w, "One backend server fails %.0f%% of its work at 30%% load, %d seeds\n", 100*share, c.seeds)
		c.detection(w, experimenter.Sets(), func(x experimenter.Experiment) experimenter.Experiment {
			x = x.WithStall(0.3, faultAt, faultEnd)
			x.Faults[0].Stall = false
			x.Faults[0].Errors = share
			return x
		})
	}
}

func (c *trialCommand) detectors(w io.Writer) {
	fmt.Fprintf(w, "Detectors, all else equal: one backend server takes 8 times as long, %d seeds\n", c.seeds)
	c.detection(w, experimenter.Detectors(), func(x experimenter.Experiment) experimenter.Experiment {
		x = x.WithStall(0.3, faultAt, faultEnd)
		x.Faults[0].Stall = false
		x.Faults[0].Slow = 8
		return x
	})
}

func (c *trialCommand) path(w io.Writer) {
	fmt.Fprintf(w, "One instance alone gets no answers from one backend server, %d seeds; nothing is to be ejected\n", c.seeds)
	c.detection(w, experimenter.Sets(), func(x experimenter.Experiment) experimenter.Experiment {
		return x.WithPathFault(0.3, faultAt, faultEnd)
	})
}

func (c *trialCommand) outage(w io.Writer) {
	fmt.Fprintf(w, "A stall while the store is away, %d seeds; nothing can be ejected\n", c.seeds)
	c.detection(w, experimenter.Sets(), func(x experimenter.Experiment) experimenter.Experiment {
		x = x.WithStall(0.3, faultAt, faultEnd)
		x.Outage = time.Second
		return x
	})
}

func (c *trialCommand) detection(w io.Writer, sets []experimenter.PolicySet, shape func(experimenter.Experiment) experimenter.Experiment) {
	fmt.Fprintln(w, "SERVICE\tPOLICY\tAVOIDED MEDIAN\tWORST\tNEVER\tEJECTED MEDIAN\tWORST\tNEVER\tFALSE\tFLOOR BREACHES\tVISITS SERVED\tFAILED\tP99")
	for _, site := range sites() {
		for _, set := range sets {
			results := experimenter.RunSeeds(set, shape(site), c.seeds, c.workers)
			avoided := make([]time.Duration, len(results))
			detected := make([]time.Duration, len(results))
			for i, r := range results {
				avoided[i] = r.AvoidedAfter
				detected[i] = r.EjectedAfter
			}
			t := totalOf(results)
			a50, a99, aNever := experimenter.Spans(avoided)
			d50, d99, dNever := experimenter.Spans(detected)
			served, failed, p99 := shortWork(results)
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%s\t%s\t%d\t%d\t%d\t%.2f%%\t%d\t%s\n", site.Service.Name, set.Name,
				span(a50), span(a99), aNever, span(d50), span(d99), dNever, t.falses, t.breaches, served, failed, span(p99))
		}
	}
}

// total sums up the results of all seeds.
type total struct {
	sent                        uint64
	ejections, falses, breaches int
}

func totalOf(results []experimenter.Result) total {
	var t total
	for _, r := range results {
		for _, class := range r.Classes {
			t.sent += class.Sent
		}
		t.ejections += r.Ejections
		t.falses += r.FalseEjections
		t.breaches += r.FloorBreaches
	}
	return t
}

// shortWork returns the share of visits served in percent, those that failed or
// were refused, and the median over the seeds of the 99th percentile.
func shortWork(results []experimenter.Result) (float64, uint64, time.Duration) {
	var sent, served, failed uint64
	var tails []time.Duration
	for _, r := range results {
		c := r.Classes["visit"]
		sent += c.Sent
		served += c.Served
		failed += c.Failed + c.Refused
		tails = append(tails, c.Percentile(99))
	}
	p99, _, _ := experimenter.Spans(tails)
	return 100 * float64(served) / float64(max(1, sent)), failed, p99
}

func span(d time.Duration) string {
	if d < 0 {
		return "-"
	}
	return d.Round(time.Millisecond).String()
}

func (c *trialCommand) healthy(w io.Writer) {
	length := time.Duration(c.days * 24 * float64(time.Hour) / float64(c.seeds))
	fmt.Fprintf(w, "%.1f healthy days over %d seeds: heavy tails, hourly crests over capacity, restarts with cold starts\n", c.days, c.seeds)
	fmt.Fprintln(w, "SERVICE\tPOLICY\tREQUESTS\tEJECTIONS\tFALSE\tFLOOR BREACHES")
	for _, site := range sites() {
		for _, set := range experimenter.Detectors() {
			t := totalOf(experimenter.RunSeeds(set, site.WithHealthyDay(0.1, length), c.seeds, c.workers))
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\n", site.Service.Name, set.Name, t.sent, t.ejections, t.falses, t.breaches)
		}
	}
}

// month runs the policies of production alone over a long healthy time.
func (c *trialCommand) month(w io.Writer) {
	const days = 30
	length := time.Duration(days * 24 * float64(time.Hour) / float64(c.seeds))
	fmt.Fprintf(w, "%d healthy days over %d seeds at Pelletier's fieldbook\n", days, c.seeds)
	fmt.Fprintln(w, "REQUESTS\tEJECTIONS\tFALSE\tFLOOR BREACHES\tVISITS SERVED")
	x := experimenter.Fieldbook().WithHealthyDay(0.05, length)
	results := experimenter.RunSeeds(experimenter.Sets()[0], x, c.seeds, c.workers)
	t := totalOf(results)
	served, _, _ := shortWork(results)
	fmt.Fprintf(w, "%d\t%d\t%d\t%d\t%.3f%%\n", t.sent, t.ejections, t.falses, t.breaches, served)
}
