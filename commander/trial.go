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
	fmt.Fprintf(w, "One backend server fails 30%% of its work at 30%% load, %d seeds\n", c.seeds)
	c.detection(w, experimenter.Sets(), func(x experimenter.Experiment) experimenter.Experiment {
		x = x.WithStall(0.3, faultAt, faultEnd)
		x.Faults[0].Stall = false
		x.Faults[0].Errors = 0.3
		return x
	})
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
			falses, breaches := 0, 0
			for i, r := range results {
				avoided[i] = r.Avoided
				detected[i] = r.Detected
				falses += r.False
				breaches += r.Breaches
			}
			a50, a99, aNever := experimenter.Spans(avoided)
			d50, d99, dNever := experimenter.Spans(detected)
			served, failed, p99 := shortWork(results)
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%s\t%s\t%d\t%d\t%d\t%.2f%%\t%d\t%s\n", site.Service.Name, set.Name,
				span(a50), span(a99), aNever, span(d50), span(d99), dNever, falses, breaches, served, failed, span(p99))
		}
	}
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
		tails = append(tails, c.Quantile(99))
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
			results := experimenter.RunSeeds(set, site.WithHealthyDay(0.1, length), c.seeds, c.workers)
			var sent uint64
			ejections, falses, breaches := 0, 0, 0
			for _, r := range results {
				for _, class := range r.Classes {
					sent += class.Sent
				}
				ejections += r.Ejections
				falses += r.False
				breaches += r.Breaches
			}
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\n", site.Service.Name, set.Name, sent, ejections, falses, breaches)
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
	var sent uint64
	ejections, falses, breaches := 0, 0, 0
	for _, r := range results {
		for _, class := range r.Classes {
			sent += class.Sent
		}
		ejections += r.Ejections
		falses += r.False
		breaches += r.Breaches
	}
	served, _, _ := shortWork(results)
	fmt.Fprintf(w, "%d\t%d\t%d\t%d\t%.3f%%\n", sent, ejections, falses, breaches, served)
}

const (
	crestFrom = 20 * time.Second
	crestTo   = 30 * time.Second
	crestEnd  = 40 * time.Second
)

func (c *trialCommand) crest(w io.Writer) {
	fmt.Fprintf(w, "Ten times the capacity for 10 s, half the extra work from one caller, %d seeds\n", c.seeds)
	c.crestTable(w, experimenter.Sets())
}

func (c *trialCommand) order(w io.Writer) {
	fmt.Fprintf(w, "Order of queued work at the same crest, all else equal, %d seeds\n", c.seeds)
	c.crestTable(w, experimenter.Orders())
}

func (c *trialCommand) crestTable(w io.Writer, sets []experimenter.PolicySet) {
	fmt.Fprintln(w, "SERVICE\tPOLICY\tGOODPUT AT CREST\tIN TARGET\tSECOND AFTER\tP99\tREFUSED LATE\tREFUSED\tGREEDY SHARE\tOVERSUBSCRIBED")
	for _, site := range sites() {
		for _, set := range sets {
			x := site.WithCrest(crestFrom, crestTo, crestEnd)
			results := experimenter.RunSeeds(set, x, c.seeds, c.workers)
			var at, after, inTarget float64
			var late, refused, over, attempts, greedy, all uint64
			var tails []time.Duration
			for _, r := range results {
				v := r.Classes["visit"]
				at += goodput(v, x, crestFrom+2*time.Second, crestTo)
				after += goodput(v, x, crestTo+time.Second, crestEnd) / 0.5
				inTarget += shareIn(v, x.Service.Classes[0].Target)
				late += v.LateRefused
				refused += v.Refused
				over += r.Oversubscribed
				attempts += r.Attempts
				greedy += v.Greedy
				all += v.Greedy + v.Other
				tails = append(tails, v.Quantile(99))
			}
			n := float64(len(results))
			p99, _, _ := experimenter.Spans(tails)
			fmt.Fprintf(w, "%s\t%s\t%.1f%%\t%.1f%%\t%.1f%%\t%s\t%d\t%d\t%.1f%%\t%.2f%%\n", site.Service.Name, set.Name,
				100*at/n, 100*inTarget/n, 100*after/n, span(p99), late, refused,
				100*float64(greedy)/float64(max(1, all)), 100*float64(over)/float64(max(1, attempts)))
		}
	}
}

// goodput returns the served work of a time as a share of the capacity.
func goodput(v *experimenter.ClassResult, x experimenter.Experiment, from, to time.Duration) float64 {
	var served uint64
	for s := int(from.Seconds()); s < int(to.Seconds()); s++ {
		served += v.PerSecond[s]
	}
	return float64(served) / (x.Capacity() * (to - from).Seconds())
}

// shareIn returns the share of served work that met its target.
func shareIn(v *experimenter.ClassResult, target time.Duration) float64 {
	if v.Latency.TotalCount() == 0 {
		return 0
	}
	var in int64
	for _, b := range v.Latency.Distribution() {
		if b.To <= target.Microseconds() {
			in += b.Count
		}
	}
	return float64(in) / float64(v.Latency.TotalCount())
}

// placement compares ways to choose serving instances at the sizes of today, of
// a tenth of the target and of the target.
func (c *trialCommand) placement(w io.Writer) {
	fmt.Fprintln(w, "Choice of three serving instances for each service")
	fmt.Fprintln(w, "SERVICES\tINSTANCES\tDOMAINS\tWAY\tIMBALANCE\tMOVED PER PLACE LOST\tDOMAINS APART\tTIME FOR ALL")
	for _, size := range []struct{ services, members, domains int }{{3, 48, 3}, {270, 710, 24}, {2700, 7100, 24}} {
		for _, p := range experimenter.Placements() {
			r := experimenter.MeasurePlacement(p, size.services, size.members, size.domains, 3)
			fmt.Fprintf(w, "%d\t%d\t%d\t%s\t%.2f\t%.2f\t%.0f%%\t%s\n", size.services, size.members, size.domains, p.Name,
				r.Imbalance, r.Moved, 100*r.Domains, r.Time.Round(10*time.Microsecond))
		}
	}
}

func (c *trialCommand) uploads(w io.Writer) {
	fmt.Fprintf(w, "Short work beside uploads that want twice the capacity, 200 times as long, %d seeds\n", c.seeds)
	fmt.Fprintln(w, "SERVICE\tPOLICY\tP99 WITHOUT\tP99 WITH\tRATIO\tVISITS SERVED\tUPLOADS SERVED\tCUT")
	const length = time.Minute
	for _, site := range sites() {
		for _, set := range experimenter.Sets() {
			_, _, without := shortWork(experimenter.RunSeeds(set, site.WithUploads(false, length), c.seeds, c.workers))
			results := experimenter.RunSeeds(set, site.WithUploads(true, length), c.seeds, c.workers)
			served, _, with := shortWork(results)
			var uploads, cut uint64
			for _, r := range results {
				uploads += r.Classes["upload"].Served
				cut += r.Classes["upload"].Failed + r.Classes["upload"].Abandoned
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%.2f\t%.2f%%\t%d\t%d\n", site.Service.Name, set.Name,
				span(without), span(with), float64(with)/float64(without), served, uploads, cut)
		}
	}
}
