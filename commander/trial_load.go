package commander

import (
	"fmt"
	"io"
	"time"

	"monsoonswitch/experimenter"
)

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
			x := site.WithPeak(crestFrom, crestTo, crestEnd)
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
				tails = append(tails, v.Percentile(99))
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
