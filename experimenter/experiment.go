// Package experimenter measures the decisions about one service in fake time:
// the balancers of its serving instances against small fakes of its backend
// servers, with the same arrivals for every set of policies.
package experimenter

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"monsoonswitch/declarer"
)

// Load is the arrival of work of one class.
type Load struct {
	Class string
	// Rate is the mean number of requests a second.
	Rate float64
	// Weight is the service time in multiples of the median.
	Weight float64
	// Callers is the number of distinct callers.
	Callers int
	// Patience is how long callers wait; 0 means without end.
	Patience time.Duration
	// Crest multiplies the rate from CrestFrom to CrestTo, again after each
	// CrestEvery if that is not 0.
	Crest              float64
	CrestFrom, CrestTo time.Duration
	CrestEvery         time.Duration
	// Greedy is the share of the crest's extra work that comes from one caller.
	Greedy float64
}

// Fault is what is wrong with one backend server.
type Fault struct {
	Index    int
	From, To time.Duration
	// Stall holds all work.
	Stall bool
	// Errors is the share of work that fails.
	Errors float64
	// Slow multiplies service times; 0 means not at all.
	Slow float64
	// Flap switches the fault on and off with this period.
	Flap time.Duration
	// Path limits the fault to the work of one instance, counted from 1; 0
	// means all.
	Path int
}

// Experiment describes one run.
type Experiment struct {
	Service   declarer.Service
	Backends  int
	Slots     int
	Instances int
	Median    time.Duration
	// Spread is the standard deviation of the logarithm of service times.
	Spread float64
	// Heavy is the share of work whose service time has a Pareto tail.
	Heavy    float64
	Loads    []Load
	Faults   []Fault
	Duration time.Duration
	Seed     uint64
	// Restart is the mean time between restarts of each backend server, with
	// a cold start; 0 means none.
	Restart time.Duration
	// Outage makes the store unavailable from that time on; 0 means never.
	Outage time.Duration
}

// ClassResult is what became of the work of one class.
type ClassResult struct {
	Sent, Served, Refused, Failed, Abandoned uint64
	// LateRefused counts work refused after it had waited for its target.
	LateRefused uint64
	Latency     *hdrhistogram.Histogram
	// PerSecond holds the served work by second of its end.
	PerSecond []uint64
	// Greedy and Other split the served work of crests by caller.
	Greedy, Other uint64
}

// Result is the outcome of an experiment.
type Result struct {
	Classes map[string]*ClassResult
	// Detected is the time from the fault to the ejection, and Avoided to the
	// moment when all instances prefer others; negative means never.
	Detected, Avoided time.Duration
	// Ejections counts ejections, and False those of healthy backend servers.
	Ejections, False int
	// Breaches counts the ticks at which fewer backend servers than the floor
	// were left.
	Breaches int
	// Oversubscribed counts the requests that found all slots taken.
	Oversubscribed uint64
	Shed           uint64
	Attempts       uint64
	// Duplicates counts non-idempotent requests that ran twice.
	Duplicates int
}

// Bounds of histograms in microseconds.
const (
	histogramLow    = 10
	histogramHigh   = 600_000_000
	histogramDigits = 2
)

func newClassResult(d time.Duration) *ClassResult {
	return &ClassResult{
		Latency:   hdrhistogram.New(histogramLow, histogramHigh, histogramDigits),
		PerSecond: make([]uint64, int(d.Seconds())+2),
	}
}

// Quantile returns a latency quantile from 0 to 100.
func (c *ClassResult) Quantile(q float64) time.Duration {
	return time.Duration(c.Latency.ValueAtQuantile(q)) * time.Microsecond
}
