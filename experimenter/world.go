package experimenter

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"monsoonswitch/balancer"
	"monsoonswitch/container"
	"monsoonswitch/descriptor"
	"monsoonswitch/detector"
	"monsoonswitch/limiter"
	"monsoonswitch/picker"
)

// Times of the simulated environment.
const (
	// networkDelay is the one-way delay between an instance and a backend server.
	networkDelay = 500 * time.Microsecond
	// messageDelay is the one-way delay between two instances.
	messageDelay = time.Millisecond
	// storeWriteTime is the duration of a write to the store.
	storeWriteTime = 5 * time.Millisecond
	// tickInterval is the time between ticks of an instance with requests, and
	// idleTickInterval of one without.
	tickInterval     = 10 * time.Millisecond
	idleTickInterval = 100 * time.Millisecond
	// restartTime is how long a backend server is down during a restart. For
	// coldTime after it, service times are multiplied by coldFactor.
	restartTime = 2 * time.Second
	coldTime    = 5 * time.Second
	coldFactor  = 4
	// paretoShape is the exponent of the Pareto tail of service times.
	paretoShape = 1.5
	// paretoLimit bounds the tail as a multiple of the median service time.
	paretoLimit = 200
)

// event is a scheduled function call.
type event struct {
	at time.Time
	// sequence orders events of equal time, so that runs with the same seed are
	// identical.
	sequence uint64
	run      func()
}

// attempt is an attempt to run a request at a simulated backend server.
type attempt struct {
	instance int
	request  descriptor.RequestID
	attempt  descriptor.AttemptID
	weight   float64
	// started reports whether the attempt took a slot, and finished whether it
	// was completed, failed or cancelled.
	started, finished bool
}

// fakeBackend is a simulated backend server.
type fakeBackend struct {
	listed descriptor.Backend
	// busy is the number of slots in use.
	busy    int
	waiting []*attempt
	// stalled lists the attempts that a stall stopped.
	stalled []*attempt
	open    map[*attempt]bool
	// coldUntil and downUntil are the ends of the last cold start and restart.
	coldUntil time.Time
	downUntil time.Time
}

// request is the state of one request.
type request struct {
	class   string
	arrived time.Time
	// greedy reports whether the greedy caller sent the request.
	greedy bool
	// runs counts the attempts that began at a backend server.
	runs int
	// endings counts the times that the request ended.
	endings int
}

// simulation runs one experiment as a discrete-event simulation.
type simulation[E any, D detector.Policy[E], P picker.Policy, L limiter.Policy] struct {
	experiment Experiment
	random     *rand.Rand
	start, now time.Time
	sequence   uint64
	events     *container.Heap[event]
	members    []descriptor.Member
	balancers  []*balancer.Balancer[E, D, P, L]
	backends   []*fakeBackend
	byID       map[string]*fakeBackend
	requests   []request
	// ejected is the set of ejections in the store.
	ejected  descriptor.Document
	revision uint64
	writes   descriptor.WriteID
	// writers maps each write to the instance that issued it.
	writers map[descriptor.WriteID]int
	// counted holds the start of the last counted ejection of each backend server.
	counted map[string]time.Time
	result  Result
	actions []descriptor.Action
	ended   []balancer.Ended
}

// Run simulates an experiment with a set of policies.
func Run[E any, D detector.Policy[E], P picker.Policy, L limiter.Policy](x Experiment) Result {
	s := newSimulation[E, D, P, L](x)
	s.run()
	s.countBroken()
	return s.result
}

// newSimulation returns a simulation at its start.
func newSimulation[E any, D detector.Policy[E], P picker.Policy, L limiter.Policy](x Experiment) *simulation[E, D, P, L] {
	s := &simulation[E, D, P, L]{
		experiment: x,
		random:     rand.New(rand.NewPCG(x.Seed, 7)),
		start:      time.Unix(1_700_000_000, 0),
		events: container.NewHeap(func(a, b event) bool {
			if !a.at.Equal(b.at) {
				return a.at.Before(b.at)
			}
			return a.sequence < b.sequence
		}),
		byID:    make(map[string]*fakeBackend),
		writers: make(map[descriptor.WriteID]int),
		counted: make(map[string]time.Time),
		result:  Result{Classes: make(map[string]*ClassResult), EjectedAfter: -1, AvoidedAfter: -1},
	}
	s.now = s.start
	s.build()
	return s
}

// build creates the members, backend servers and balancers.
func (s *simulation[E, D, P, L]) build() {
	x := s.experiment
	for i := range x.Instances {
		s.members = append(s.members, descriptor.Member{ID: fmt.Sprintf("entry-%d", i), Ready: true})
	}
	var list []descriptor.Backend
	for i := range x.Backends {
		b := descriptor.Backend{ID: fmt.Sprintf("%s-%d", x.Service.Name, i), Slots: x.Slots}
		f := &fakeBackend{listed: b, open: make(map[*attempt]bool)}
		s.backends = append(s.backends, f)
		s.byID[b.ID] = f
		list = append(list, b)
	}
	for i := range x.Instances {
		b := balancer.New[E, D, P, L](x.Service, balancer.Options{
			Self: s.members[i].ID,
			Seed: x.Seed + uint64(i),
			NextWrite: func() descriptor.WriteID {
				s.writes++
				s.writers[s.writes] = i
				return s.writes
			},
		})
		b.SetBackends(s.now, list, time.Time{})
		b.SetOwners(s.now, s.members)
		s.balancers = append(s.balancers, b)
	}
	for _, c := range x.Service.Classes {
		s.result.Classes[c.Name] = newClassResult(x.Duration)
	}
}

// run schedules the first events and processes events until the experiment ends.
func (s *simulation[E, D, P, L]) run() {
	for i := range s.balancers {
		s.after(time.Duration(i)*time.Millisecond, func() { s.tick(i) })
	}
	for _, l := range s.experiment.Loads {
		s.scheduleArrival(l)
	}
	for _, f := range s.experiment.Faults {
		s.after(f.To, func() { s.endFault(f) })
	}
	if s.experiment.Restart > 0 {
		for _, f := range s.backends {
			s.scheduleRestart(f)
		}
	}
	s.after(0, s.checkBackends)
	end := s.start.Add(s.experiment.Duration)
	for {
		e, ok := s.events.Pop()
		if !ok || e.at.After(end) {
			return
		}
		s.now = e.at
		e.run()
	}
}

// after schedules a function call.
func (s *simulation[E, D, P, L]) after(d time.Duration, run func()) {
	s.sequence++
	s.events.Push(event{at: s.now.Add(d), sequence: s.sequence, run: run})
}

// elapsed returns the simulated time since the start.
func (s *simulation[E, D, P, L]) elapsed() time.Duration { return s.now.Sub(s.start) }

// scheduleArrival schedules the next request of a load.
func (s *simulation[E, D, P, L]) scheduleArrival(l Load) {
	rate, peak := s.rate(l)
	wait := time.Duration(s.random.ExpFloat64() / rate * float64(time.Second))
	s.after(wait, func() {
		s.arrive(l, peak)
		s.scheduleArrival(l)
	})
}

// rate returns the current rate of a load in requests a second, and whether it is
// at its peak.
func (s *simulation[E, D, P, L]) rate(l Load) (float64, bool) {
	at := s.elapsed()
	if l.PeakEvery > 0 {
		at %= l.PeakEvery
	}
	if l.PeakFactor > 0 && at >= l.PeakFrom && at < l.PeakTo {
		return l.Rate * l.PeakFactor, true
	}
	return l.Rate, false
}

// arrive passes one request of a load to a random instance.
func (s *simulation[E, D, P, L]) arrive(l Load, peak bool) {
	class, _ := s.experiment.Service.Class(l.Class)
	greedy := peak && s.random.Float64() < l.GreedyShare
	caller := "greedy"
	if !greedy {
		caller = fmt.Sprintf("caller-%d", s.random.IntN(max(1, l.Callers)))
	}
	id := descriptor.RequestID(len(s.requests) + 1)
	s.requests = append(s.requests, request{class: l.Class, arrived: s.now, greedy: greedy})
	instance := s.random.IntN(len(s.balancers))
	e := descriptor.Arrived{
		At:          s.now,
		Request:     id,
		Service:     s.experiment.Service.Name,
		Class:       l.Class,
		Caller:      caller,
		Fingerprint: uint64(id),
		Replayable:  class.Idempotent,
	}
	if l.Timeout > 0 {
		e.Deadline = s.now.Add(l.Timeout)
	}
	s.result.Classes[l.Class].Sent++
	s.balancers[instance].Arrive(e)
	s.performActions(instance)
}

// tick calls an instance's Tick and schedules the next one.
func (s *simulation[E, D, P, L]) tick(i int) {
	s.balancers[i].Tick(s.now)
	s.performActions(i)
	next := tickInterval
	if !s.balancers[i].Busy() {
		next = idleTickInterval
	}
	s.after(next, func() { s.tick(i) })
}

// performActions records the requests that ended at an instance and performs the
// actions that it returned.
func (s *simulation[E, D, P, L]) performActions(i int) {
	s.actions, s.ended = s.balancers[i].Flush(s.actions[:0], s.ended[:0])
	for _, e := range s.ended {
		s.recordOutcome(e)
	}
	for _, a := range append([]descriptor.Action(nil), s.actions...) {
		s.perform(i, a)
	}
}

// recordOutcome counts a request that ended.
func (s *simulation[E, D, P, L]) recordOutcome(e balancer.Ended) {
	r := &s.requests[e.Request-1]
	r.endings++
	c := s.result.Classes[r.class]
	switch e.Reason {
	case descriptor.Served:
		c.Served++
		_ = c.Latency.RecordValue(max(histogramLow, e.Latency.Microseconds()))
		if second := int(s.elapsed().Seconds()); second < len(c.PerSecond) {
			c.PerSecond[second]++
		}
		if r.greedy {
			c.Greedy++
		} else {
			c.Other++
		}
	case descriptor.Overloaded, descriptor.Expired, descriptor.NoBackend:
		c.Refused++
		class, _ := s.experiment.Service.Class(r.class)
		if e.Outcome == descriptor.NotRun && e.Latency > class.Target {
			c.LateRefused++
		}
	case descriptor.Abandoned:
		c.Abandoned++
	default:
		c.Failed++
	}
}

// perform performs one action of an instance.
func (s *simulation[E, D, P, L]) perform(i int, action descriptor.Action) {
	switch a := action.(type) {
	case descriptor.Dispatch:
		s.result.Attempts++
		v := &attempt{instance: i, request: a.Request, attempt: a.Attempt, weight: s.weightOf(a.Request)}
		backend := s.byID[a.Backend.ID]
		s.after(networkDelay, func() { s.admit(backend, v) })
		backend.open[v] = true
	case descriptor.Deliver:
		s.after(0, func() {
			s.balancers[i].Finished(descriptor.Finished{At: s.now, Request: a.Request, Attempt: a.Attempt, Bytes: 1})
			s.performActions(i)
		})
	case descriptor.Cancel:
		s.after(networkDelay, func() { s.cancel(i, a) })
	case descriptor.Send:
		s.after(messageDelay, func() { s.deliver(i, a) })
	case descriptor.Write:
		s.after(storeWriteTime, func() { s.write(i, a) })
	case descriptor.Probe:
		backend := s.byID[a.Backend.ID]
		s.after(networkDelay, func() {
			s.balancers[i].Probed(descriptor.Probed{At: s.now, Service: a.Service, Backend: a.Backend.ID, Suspected: a.Suspected, Alive: !s.now.Before(backend.downUntil)})
			s.performActions(i)
		})
	}
}

// weightOf returns the weight of a request's load.
func (s *simulation[E, D, P, L]) weightOf(id descriptor.RequestID) float64 {
	class := s.requests[id-1].class
	for _, l := range s.experiment.Loads {
		if l.Class == class && l.Weight > 0 {
			return l.Weight
		}
	}
	return 1
}

// serviceTime draws the service time of one attempt at f.
func (s *simulation[E, D, P, L]) serviceTime(f *fakeBackend, weight float64) time.Duration {
	x := s.experiment
	d := float64(x.Median) * weight
	if s.random.Float64() < x.HeavyShare {
		d *= min(paretoLimit, math.Pow(1-s.random.Float64(), -1/paretoShape))
	} else {
		d *= math.Exp(x.Spread * s.random.NormFloat64())
	}
	if s.now.Before(f.coldUntil) {
		d *= coldFactor
	}
	return time.Duration(d)
}
