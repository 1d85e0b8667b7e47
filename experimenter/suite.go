package experimenter

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"monsoonswitch/declarer"
	"monsoonswitch/detector"
	"monsoonswitch/limiter"
	"monsoonswitch/picker"
)

// PolicySet is a named set of policies. Standard reports whether it is the production
// one, which has to reach what experiments require.
type PolicySet struct {
	Name     string
	Run      func(Experiment) Result
	Standard bool
}

// standard returns the production policies under a name.
func standard(name string) PolicySet {
	return PolicySet{Name: name, Run: Run[detector.Evidence, detector.Sequential, picker.Sampled, limiter.Adaptive], Standard: true}
}

// Sets returns the production policies first, followed by the baselines.
func Sets() []PolicySet {
	return []PolicySet{
		standard("standard"),
		{Name: "round robin, no ejection", Run: Run[detector.Nothing, detector.None, picker.RoundRobin, limiter.Open]},
		{Name: "least loaded, 5 in a row", Run: Run[int, detector.Consecutive, picker.LeastLoaded, limiter.Open]},
	}
}

// Detectors returns policy sets that differ only in their detector.
func Detectors() []PolicySet {
	return []PolicySet{
		standard("sequential test"),
		{Name: "moving outlier rate", Run: Run[detector.Rate, detector.Outlier, picker.Sampled, limiter.Adaptive]},
		{Name: "5 failures in a row", Run: Run[int, detector.Consecutive, picker.Sampled, limiter.Adaptive]},
	}
}

// Orders returns policy sets that differ only in the order of queued requests.
func Orders() []PolicySet {
	return []PolicySet{
		standard("newest first under overload"),
		{Name: "oldest first", Run: Run[detector.Evidence, detector.Sequential, picker.Sampled, limiter.Ordered]},
		{Name: "oldest first, no early refusal", Run: Run[detector.Evidence, detector.Sequential, picker.Sampled, limiter.Open]},
	}
}

// RunSeeds runs an experiment with seeds 1 to n on the given number of workers.
func RunSeeds(set PolicySet, x Experiment, n, workers int) []Result {
	results := make([]Result, n)
	var group sync.WaitGroup
	slots := make(chan struct{}, workers)
	for i := range n {
		group.Add(1)
		slots <- struct{}{}
		go func() {
			defer group.Done()
			defer func() { <-slots }()
			seeded := x
			seeded.Seed = uint64(i + 1)
			results[i] = set.Run(seeded)
		}()
	}
	group.Wait()
	return results
}

// Spans returns the median and the largest of the non-negative durations, and the
// number of negative ones, which mean never.
func Spans(list []time.Duration) (median, largest time.Duration, never int) {
	var known []time.Duration
	for _, d := range list {
		if d < 0 {
			never++
			continue
		}
		known = append(known, d)
	}
	if len(known) == 0 {
		return -1, -1, never
	}
	slices.Sort(known)
	return known[(len(known)-1)/2], known[len(known)-1], never
}

// Properties of the simulated backend servers of all experiments; see Experiment.
const (
	medianServiceTime = 20 * time.Millisecond
	serviceTimeSpread = 0.5
	heavyShare        = 0.01
)

// Fieldbook returns an experiment with the service of field uploads and visits, at
// its production size and without load.
func Fieldbook() Experiment {
	return Experiment{
		Service: declarer.Service{
			Name:  "fieldbook",
			Floor: 4,
			Classes: []declarer.Class{
				{Name: "visit", Target: 400 * time.Millisecond, Idempotent: true},
				{Name: "booking", Target: time.Second},
				{Name: "upload", Target: 2 * time.Minute, Long: true},
			},
			Routes: []declarer.Route{
				{Name: "visits", Methods: []string{http.MethodGet}, Path: "/visits", Class: "visit"},
				{Name: "bookings", Methods: []string{http.MethodPost}, Path: "/visits", Class: "booking"},
				{Name: "photos", Methods: []string{http.MethodPut}, Path: "/photos/", Class: "upload"},
			},
		},
		Backends:   6,
		Slots:      3,
		Instances:  3,
		Median:     medianServiceTime,
		Spread:     serviceTimeSpread,
		HeavyShare: heavyShare,
	}
}

// Kliniki returns an experiment with the service of clinic plans, at its production
// size and without load.
func Kliniki() Experiment {
	x := Fieldbook()
	x.Service.Name = "kliniki"
	x.Service.Floor = 5
	x.Backends = 8
	x.Slots = 6
	x.Instances = 4
	return x
}

// meanFactor is the mean service time as a multiple of the median, given
// serviceTimeSpread and heavyShare.
const meanFactor = 1.16

// Capacity returns the rate, in requests of weight 1 a second, that all slots
// together can serve.
func (x Experiment) Capacity() float64 {
	return float64(x.Backends*x.Slots) / (meanFactor * x.Median.Seconds())
}

// Targets of the users beside a fault.
const (
	// servedTarget is the share of visits that is served.
	servedTarget = 0.99
	// tailTarget bounds the 99th percentile of the latency of visits.
	tailTarget = 2 * time.Second
	// foundTarget is the time within which a gray backend server is avoided, and
	// faintFoundTarget that for a fault which shows in few requests.
	foundTarget      = 5 * time.Second
	faintFoundTarget = 10 * time.Second
)

// WithStall returns x with a backend server that stalls all requests from at until
// until, with load as a share of the capacity.
func (x Experiment) WithStall(load float64, at, until time.Duration) Experiment {
	x.Loads = []Load{
		{Class: "visit", Rate: 0.9 * load * x.Capacity(), Callers: 50, Timeout: 5 * time.Second},
		{Class: "booking", Rate: 0.1 * load * x.Capacity(), Callers: 20},
	}
	x.Faults = []Fault{{Index: 2, From: at, To: until, Stall: true}}
	x.Duration = until
	return x.WithRequired(Required{Served: servedTarget, Tail: tailTarget, Avoided: foundTarget, Ejected: true})
}

// HealthyPeakEnd is the end of the first peak of WithHealthyDay.
const HealthyPeakEnd = 20*time.Minute + 20*time.Second

// WithHealthyDay returns x with ordinary load, hourly peaks and restarts, but no
// fault.
func (x Experiment) WithHealthyDay(load float64, length time.Duration) Experiment {
	rate := load * x.Capacity()
	peak := Load{PeakFactor: 12, PeakFrom: 20 * time.Minute, PeakTo: HealthyPeakEnd, PeakEvery: time.Hour}
	visit, booking := peak, peak
	visit.Class, visit.Rate, visit.Callers, visit.Timeout = "visit", 0.85*rate, 200, 5*time.Second
	booking.Class, booking.Rate, booking.Callers = "booking", 0.1*rate, 50
	x.Loads = []Load{
		visit,
		booking,
		{Class: "upload", Rate: 0.05 * rate / 20, Weight: 20, Callers: 20},
	}
	x.Restart = 6 * time.Hour
	x.Duration = length
	return x.WithRequired(Required{Served: servedTarget, Unejected: true})
}

// WithPeak returns x with a peak load of ten times the capacity, half of it from one
// greedy caller.
func (x Experiment) WithPeak(from, to, length time.Duration) Experiment {
	x.Loads = []Load{{
		Class:       "visit",
		Rate:        0.5 * x.Capacity(),
		Callers:     100,
		PeakFactor:  20,
		PeakFrom:    from,
		PeakTo:      to,
		GreedyShare: 0.5,
	}}
	x.Duration = length
	return x.WithRequired(Required{Unejected: true})
}

// WithUploads returns x with short requests and, if uploads is set, long uploads
// that need twice the capacity.
func (x Experiment) WithUploads(uploads bool, length time.Duration) Experiment {
	x.Loads = []Load{
		{Class: "visit", Rate: 0.25 * x.Capacity(), Callers: 100},
		{Class: "booking", Rate: 0.03 * x.Capacity(), Callers: 20},
	}
	if uploads {
		const weight = 200
		rate := 2 * x.Capacity() / weight
		x.Loads = append(x.Loads, Load{Class: "upload", Rate: rate, Weight: weight, Callers: 10})
	}
	x.Duration = length
	return x.WithRequired(Required{Served: servedTarget, Tail: tailTarget, Unejected: true})
}

// WithErrors returns x with a backend server that fails a share of its requests.
func (x Experiment) WithErrors(load, share float64, at, until time.Duration) Experiment {
	x = x.WithStall(load, at, until)
	x.Faults[0].Stall = false
	x.Faults[0].Errors = share
	if share < 0.3 {
		x.Required.Avoided = faintFoundTarget
	}
	return x
}

// WithSlow returns x with a backend server whose service times are multiplied by factor.
func (x Experiment) WithSlow(load, factor float64, at, until time.Duration) Experiment {
	x = x.WithStall(load, at, until)
	x.Faults[0].Stall = false
	x.Faults[0].Slow = factor
	return x
}

// WithPathFault returns x with a backend server that stalls only the requests of the
// first instance, so that it must not be ejected.
func (x Experiment) WithPathFault(load float64, at, until time.Duration) Experiment {
	x = x.WithStall(load, at, until)
	x.Faults[0].Instance = 1
	return x.withoutEjection()
}

// WithOutage returns x with a backend server that stalls while the store is unavailable,
// so that it can't be ejected.
func (x Experiment) WithOutage(load float64, away, at, until time.Duration) Experiment {
	x = x.WithStall(load, at, until)
	x.Outage = away
	return x.withoutEjection()
}

// withoutEjection returns x with the requirement that nothing is ejected. Instances then
// find the fault on their own evidence, which takes longer.
func (x Experiment) withoutEjection() Experiment {
	x.Required.Avoided = faintFoundTarget
	x.Required.Ejected, x.Required.Unejected = false, true
	return x
}
