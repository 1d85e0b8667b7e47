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

// PolicySet is a named set of policies.
type PolicySet struct {
	Name string
	Run  func(Experiment) Result
}

// Sets returns the policies of production first, and the baselines after them.
func Sets() []PolicySet {
	return []PolicySet{
		{"standard", Run[detector.Evidence, detector.Sequential, picker.Sampled, limiter.Adaptive]},
		{"round robin, no ejection", Run[detector.Nothing, detector.None, picker.RoundRobin, limiter.Open]},
		{"least loaded, 5 in a row", Run[int, detector.Consecutive, picker.LeastLoaded, limiter.Open]},
	}
}

// Detectors returns the detectors that were weighed, all else equal.
func Detectors() []PolicySet {
	return []PolicySet{
		{"sequential test", Run[detector.Evidence, detector.Sequential, picker.Sampled, limiter.Adaptive]},
		{"moving outlier rate", Run[detector.Rate, detector.Outlier, picker.Sampled, limiter.Adaptive]},
		{"5 failures in a row", Run[int, detector.Consecutive, picker.Sampled, limiter.Adaptive]},
	}
}

// Orders returns the orders of queued work that were weighed, all else equal.
func Orders() []PolicySet {
	return []PolicySet{
		{"newest first under overload", Run[detector.Evidence, detector.Sequential, picker.Sampled, limiter.Adaptive]},
		{"oldest first", Run[detector.Evidence, detector.Sequential, picker.Sampled, limiter.Ordered]},
		{"oldest first, no early refusal", Run[detector.Evidence, detector.Sequential, picker.Sampled, limiter.Open]},
	}
}

// RunSeeds runs an experiment with seeds 1 to n, a few at a time.
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

// Spans returns the median and the largest of the times, and how many are
// negative, which stands for never.
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

// Properties of the fake backend servers of all experiments.
const (
	median = 20 * time.Millisecond
	spread = 0.5
	heavy  = 0.01
)

// Fieldbook returns the service of field uploads and visits as it is.
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
		Backends:  6,
		Slots:     3,
		Instances: 3,
		Median:    median,
		Spread:    spread,
		Heavy:     heavy,
	}
}

// Kliniki returns the service of clinic plans as it is.
func Kliniki() Experiment {
	x := Fieldbook()
	x.Service.Name = "kliniki"
	x.Service.Floor = 5
	x.Backends = 8
	x.Slots = 6
	x.Instances = 4
	return x
}

// meanFactor is the mean service time in multiples of the median, for the spread
// and the heavy tail of the fakes.
const meanFactor = 1.16

// Capacity returns the requests a second of weight 1 that all slots can serve.
func (x Experiment) Capacity() float64 {
	return float64(x.Backends*x.Slots) / (meanFactor * x.Median.Seconds())
}

// WithStall returns x with a backend server that stalls all work, at a share of
// the capacity.
func (x Experiment) WithStall(load float64, at, until time.Duration) Experiment {
	x.Loads = []Load{
		{Class: "visit", Rate: 0.9 * load * x.Capacity(), Callers: 50, Patience: 5 * time.Second},
		{Class: "booking", Rate: 0.1 * load * x.Capacity(), Callers: 20},
	}
	x.Faults = []Fault{{Index: 2, From: at, To: until, Stall: true}}
	x.Duration = until
	return x
}

// WithHealthyDay returns x with ordinary work, crests and restarts, and no fault.
func (x Experiment) WithHealthyDay(load float64, length time.Duration) Experiment {
	rate := load * x.Capacity()
	crest := Load{Crest: 12, CrestFrom: 20 * time.Minute, CrestTo: 20*time.Minute + 20*time.Second, CrestEvery: time.Hour}
	visit, booking := crest, crest
	visit.Class, visit.Rate, visit.Callers, visit.Patience = "visit", 0.85*rate, 200, 5*time.Second
	booking.Class, booking.Rate, booking.Callers = "booking", 0.1*rate, 50
	x.Loads = []Load{
		visit,
		booking,
		{Class: "upload", Rate: 0.05 * rate / 20, Weight: 20, Callers: 20},
	}
	x.Restart = 6 * time.Hour
	x.Duration = length
	return x
}

// WithCrest returns x with ten times the capacity for a while, part of it from
// one greedy caller.
func (x Experiment) WithCrest(from, to, length time.Duration) Experiment {
	x.Loads = []Load{{
		Class:     "visit",
		Rate:      0.5 * x.Capacity(),
		Callers:   100,
		Crest:     20,
		CrestFrom: from,
		CrestTo:   to,
		Greedy:    0.5,
	}}
	x.Duration = length
	return x
}

// WithUploads returns x with short work and with as many uploads as want every
// slot.
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
	return x
}

// WithPathFault returns x with a backend server that one instance alone can't
// get answers from.
func (x Experiment) WithPathFault(load float64, at, until time.Duration) Experiment {
	x = x.WithStall(load, at, until)
	x.Faults[0].Path = 1
	return x
}
