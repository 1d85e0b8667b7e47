package commander

import (
	"fmt"
	"io"
	"time"

	"monsoonswitch/experimenter"
)

// Times of the peak load experiments, from their start.
const (
	peakFrom = 20 * time.Second
	peakTo   = 30 * time.Second
	peakEnd  = 40 * time.Second
)

// peak measures a peak load of ten times the capacity.
func (c *trialCommand) peak(w io.Writer) {
	fmt.Fprintf(w, "Ten times the capacity for 10 s, half the extra work from one caller, %d seeds\n", c.seeds)
	c.peakTable(w, "crest", experimenter.Sets())
}

// order compares the orders of queued requests at the same peak load.
func (c *trialCommand) order(w io.Writer) {
	fmt.Fprintf(w, "Order of queued work at the same crest, all else equal, %d seeds\n", c.seeds)
	c.peakTable(w, "order", experimenter.Orders())
}

// peakTable prints the goodput, latency and refusals for each service and set of
// policies.
func (c *trialCommand) peakTable(w io.Writer, name string, sets []experimenter.PolicySet) {
	fmt.Fprintln(w, "SERVICE\tPOLICY\tGOODPUT AT CREST\tIN TARGET\tSECOND AFTER\tP99\tREFUSED LATE\tREFUSED\tGREEDY SHARE\tOVERSUBSCRIBED")
	for _, base := range mainServices() {
		for _, set := range sets {
			x := base.WithPeak(peakFrom, peakTo, peakEnd)
			results := c.play(name, set, x)
			var duringPeak, afterPeak, inTarget float64
			var lateRefused, refused, oversubscribed, attempts, greedy, all uint64
			var percentiles []time.Duration
			for _, r := range results {
				v := r.Classes["visit"]
				duringPeak += goodput(v, x, peakFrom+2*time.Second, peakTo)
				afterPeak += goodput(v, x, peakTo+time.Second, peakEnd) / 0.5
				inTarget += shareInTarget(v, x.Service.Classes[0].Target)
				lateRefused += v.LateRefused
				refused += v.Refused
				oversubscribed += r.Oversubscribed
				attempts += r.Attempts
				greedy += v.Greedy
				all += v.Greedy + v.Other
				percentiles = append(percentiles, v.Percentile(99))
			}
			n := float64(len(results))
			if set.Standard {
				c.requirePeak(name, x, duringPeak/n, afterPeak/n, lateRefused)
			}
			p99, _, _ := experimenter.Spans(percentiles)
			fmt.Fprintf(w, "%s\t%s\t%.1f%%\t%.1f%%\t%.1f%%\t%s\t%d\t%d\t%.1f%%\t%.2f%%\n", base.Service.Name, set.Name,
				100*duringPeak/n, 100*inTarget/n, 100*afterPeak/n, durationText(p99), lateRefused, refused,
				100*float64(greedy)/float64(max(1, all)), 100*float64(oversubscribed)/float64(max(1, attempts)))
		}
	}
}

// Targets of the users at a peak load and beside uploads.
const (
	// peakTarget is the goodput as a share of the capacity, at the peak and after it.
	peakTarget = 0.95
	// uploadsTarget bounds the 99th percentile of the latency of visits beside uploads,
	// as a multiple of that without.
	uploadsTarget = 1.2
)

// requirePeak compares the results of the production policies with the targets.
func (c *trialCommand) requirePeak(name string, x experimenter.Experiment, during, after float64, late uint64) {
	if during < peakTarget || after < peakTarget {
		c.violate("%s, %s: goodput %.3f at the peak and %.3f after it, must be at least %g", name, x.Service.Name, during, after, peakTarget)
	}
	if late > 0 {
		c.violate("%s, %s: %d requests refused after their target", name, x.Service.Name, late)
	}
}

// goodput returns the requests served between two times as a share of the capacity.
func goodput(v *experimenter.ClassResult, x experimenter.Experiment, from, to time.Duration) float64 {
	var served uint64
	for s := int(from.Seconds()); s < int(to.Seconds()); s++ {
		served += v.PerSecond[s]
	}
	return float64(served) / (x.Capacity() * (to - from).Seconds())
}

// shareInTarget returns the share of served requests with a latency within the target.
func shareInTarget(v *experimenter.ClassResult, target time.Duration) float64 {
	if v.Latency.TotalCount() == 0 {
		return 0
	}
	var within int64
	for _, b := range v.Latency.Distribution() {
		if b.To <= target.Microseconds() {
			within += b.Count
		}
	}
	return float64(within) / float64(v.Latency.TotalCount())
}

// placement compares the strategies to choose serving instances at three fleet sizes:
// the current one, a tenth of the target and the target.
func (c *trialCommand) placement(w io.Writer) {
	fmt.Fprintln(w, "Choice of three serving instances for each service")
	fmt.Fprintln(w, "SERVICES\tINSTANCES\tDOMAINS\tWAY\tIMBALANCE\tMOVED PER PLACE LOST\tDOMAINS APART\tTIME FOR ALL")
	for _, size := range []struct{ services, members, domains int }{{3, 48, 3}, {270, 710, 24}, {2700, 7100, 24}} {
		for _, p := range experimenter.Placements() {
			r := experimenter.MeasurePlacement(p, size.services, size.members, size.domains, 3)
			fmt.Fprintf(w, "%d\t%d\t%d\t%s\t%.2f\t%.2f\t%.0f%%\t%s\n", size.services, size.members, size.domains, p.Name,
				r.Imbalance, r.Moved, 100*r.Domains, r.Time.Round(10*time.Microsecond))
			if r.Short > 0 {
				c.violate("placement, %s, %d instances: %d services with fewer than three different instances", p.Name, size.members, r.Short)
			}
			if p.Standard && (r.Domains < 1 || r.Moved > 1) {
				c.violate("placement, %s, %d instances: a share of %.2f of the services in different failure domains and %.2f places moved for each lost, must be 1 and at most 1", p.Name, size.members, r.Domains, r.Moved)
			}
		}
	}
}

// uploads measures the effect of long uploads on short requests.
func (c *trialCommand) uploads(w io.Writer) {
	fmt.Fprintf(w, "Short work beside uploads that want twice the capacity, 200 times as long, %d seeds\n", c.seeds)
	fmt.Fprintln(w, "SERVICE\tPOLICY\tP99 WITHOUT\tP99 WITH\tRATIO\tVISITS SERVED\tUPLOADS SERVED\tCUT")
	const length = time.Minute
	for _, base := range mainServices() {
		for _, set := range experimenter.Sets() {
			_, _, without := visitResults(c.play("uploads", set, base.WithUploads(false, length)))
			results := c.play("uploads", set, base.WithUploads(true, length))
			served, _, with := visitResults(results)
			var uploads, cut uint64
			for _, r := range results {
				uploads += r.Classes["upload"].Served
				cut += r.Classes["upload"].Failed + r.Classes["upload"].Abandoned
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%.2f\t%.2f%%\t%d\t%d\n", base.Service.Name, set.Name,
				durationText(without), durationText(with), float64(with)/float64(without), served, uploads, cut)
			if ratio := float64(with) / float64(without); set.Standard && (!(ratio <= uploadsTarget) || uploads == 0 || cut > 0) {
				c.violate("uploads, %s: visits take %.2f times as long, must be at most %g; %d uploads served and %d cut", base.Service.Name, ratio, uploadsTarget, uploads, cut)
			}
		}
	}
}
