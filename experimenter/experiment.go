// Package experimenter simulates the balancing of one service in simulated time. It
// runs the balancers of the serving instances against simple models of the backend
// servers, with the same arrival process for every set of policies.
package experimenter

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"monsoonswitch/declarer"
)

// Load describes the arrival process of the requests of one class.
type Load struct {
	Class string
	// Rate is the mean number of requests a second.
	Rate float64
	// Weight is the service time as a multiple of the median service time.
	Weight float64
	// Callers is the number of distinct callers.
	Callers int
	// Timeout is how long callers wait for an answer; 0 means without limit.
	Timeout time.Duration
	// PeakFactor multiplies the rate from PeakFrom to PeakTo. The peak repeats with the
	// period PeakEvery; 0 means that it does not repeat.
	PeakFactor       float64
	PeakFrom, PeakTo time.Duration
	PeakEvery        time.Duration
	// GreedyShare is the share of the requests during a peak that one greedy
	// caller sends.
	GreedyShare float64
}

// Fault describes a fault of one backend server from From to To.
type Fault struct {
	Index    int
	From, To time.Duration
	// Stall stops requests from completing until the fault ends.
	Stall bool
	// Errors is the share of requests answered with status 500.
	Errors float64
	// Slow multiplies service times; 0 leaves them unchanged.
	Slow float64
	// Flap switches the fault off and on after each interval of this length; 0
	// keeps it on.
	Flap time.Duration
	// Instance limits the fault to the requests of one instance, counted from 1;
	// 0 means all instances.
	Instance int
}

// Experiment describes one simulation run.
type Experiment struct {
	Service   declarer.Service
	Backends  int
	Slots     int
	Instances int
	Median    time.Duration
	// Spread is the standard deviation of the logarithm of service times.
	Spread float64
	// HeavyShare is the share of requests whose service time has a Pareto tail.
	HeavyShare float64
	Loads      []Load
	Faults     []Fault
	Duration   time.Duration
	Seed       uint64
	// Restart is the mean time between restarts of each backend server, with
	// a cold start; 0 means none.
	Restart time.Duration
	// Outage is the time from which on the store is unavailable; 0 means never.
	Outage time.Duration
	// Required is what the production policies must reach.
	Required Required
}

// ClassResult counts the outcomes of the requests of one class.
type ClassResult struct {
	Sent, Served, Refused, Failed, Abandoned uint64
	// LateRefused counts requests refused as not run after the class's target.
	LateRefused uint64
	Latency     *hdrhistogram.Histogram
	// PerSecond counts the served requests by the second in which they ended.
	PerSecond []uint64
	// Greedy counts the served requests of the greedy caller, Other all others.
	Greedy, Other uint64
}

// Result is the outcome of an experiment.
type Result struct {
	Classes map[string]*ClassResult
	// EjectedAfter is the time from the start of the fault to the ejection, and
	// AvoidedAfter to the moment when all instances avoid the backend server;
	// negative means never.
	EjectedAfter, AvoidedAfter time.Duration
	// Ejections counts ejections, and FalseEjections those of healthy backend
	// servers.
	Ejections, FalseEjections int
	// FloorBreaches counts the checks that found fewer backend servers than the
	// floor.
	FloorBreaches int
	// Oversubscribed counts the requests that arrived at a backend server whose
	// slots were all in use, and Shed those that it refused.
	Oversubscribed uint64
	Shed           uint64
	Attempts       uint64
	// Duplicates counts non-idempotent requests that ran twice, Repeated those that ended
	// more than once, and Lost those that never ended although no attempt was running.
	Duplicates, Repeated, Lost int
}

// Bounds of histograms in microseconds, and their significant digits.
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

// Percentile returns a latency percentile; p is from 0 to 100.
func (c *ClassResult) Percentile(p float64) time.Duration {
	return time.Duration(c.Latency.ValueAtQuantile(p)) * time.Microsecond
}
