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

// Times of the fake surroundings.
const (
	// networkTime is the way between an instance and a backend server.
	networkTime = 500 * time.Microsecond
	// messageTime is the way between two instances.
	messageTime = time.Millisecond
	// storeTime is the time of a write to the store.
	storeTime = 5 * time.Millisecond
	// tickTime is the time between ticks of an instance with work, and idleTime
	// without.
	tickTime = 10 * time.Millisecond
	idleTime = 100 * time.Millisecond
	// restartTime is how long a restart takes, and coldTime how long work is
	// coldFactor times slower after it.
	restartTime = 2 * time.Second
	coldTime    = 5 * time.Second
	coldFactor  = 4
	// paretoShape is the exponent of the tail of heavy work.
	paretoShape = 1.5
	// paretoLimit bounds heavy work in multiples of the median.
	paretoLimit = 200
)

// event is something that happens at a time.
type event struct {
	at time.Time
	// order breaks ties, so that runs repeat.
	order uint64
	do    func()
}

// flight is one attempt at a fake backend server.
type flight struct {
	instance int
	request  descriptor.RequestID
	attempt  descriptor.AttemptID
	weight   float64
	// started tells that it holds a slot; gone that it was cancelled.
	started, gone bool
}

// fake is a fake backend server.
type fake struct {
	listed  descriptor.Backend
	busy    int
	waiting []*flight
	// held lists the work of a stall.
	held   []*flight
	open   map[*flight]bool
	coldTo time.Time
	downTo time.Time
}

// request is what the world knows of a request.
type request struct {
	class   string
	arrived time.Time
	greedy  bool
	runs    int
	ended   bool
}

// world runs one experiment.
type world[E any, D detector.Policy[E], P picker.Policy, L limiter.Policy] struct {
	experiment Experiment
	random     *rand.Rand
	start, now time.Time
	order      uint64
	events     *container.Heap[event]
	members    []descriptor.Member
	balancers  []*balancer.Balancer[E, D, P, L]
	fakes      []*fake
	byID       map[string]*fake
	requests   []request
	// ejected is the set of ejections in the store.
	ejected  descriptor.Document
	revision uint64
	writes   descriptor.WriteID
	owners   map[descriptor.WriteID]int
	result   Result
	actions  []descriptor.Action
	ended    []balancer.Ended
}

// Run runs an experiment with a set of policies.
func Run[E any, D detector.Policy[E], P picker.Policy, L limiter.Policy](x Experiment) Result {
	w := &world[E, D, P, L]{
		experiment: x,
		random:     rand.New(rand.NewPCG(x.Seed, 7)),
		start:      time.Unix(1_700_000_000, 0),
		events: container.NewHeap(func(a, b event) bool {
			if !a.at.Equal(b.at) {
				return a.at.Before(b.at)
			}
			return a.order < b.order
		}),
		byID:   make(map[string]*fake),
		owners: make(map[descriptor.WriteID]int),
		result: Result{Classes: make(map[string]*ClassResult), Detected: -1, Avoided: -1},
	}
	w.now = w.start
	w.build()
	w.run()
	w.countDuplicates()
	return w.result
}

func (w *world[E, D, P, L]) build() {
	x := w.experiment
	for i := range x.Instances {
		w.members = append(w.members, descriptor.Member{ID: fmt.Sprintf("entry-%d", i), Ready: true})
	}
	var list []descriptor.Backend
	for i := range x.Backends {
		b := descriptor.Backend{ID: fmt.Sprintf("%s-%d", x.Service.Name, i), Slots: x.Slots}
		f := &fake{listed: b, open: make(map[*flight]bool)}
		w.fakes = append(w.fakes, f)
		w.byID[b.ID] = f
		list = append(list, b)
	}
	for i := range x.Instances {
		b := balancer.New[E, D, P, L](x.Service, balancer.Options{
			Self: w.members[i].ID,
			Seed: x.Seed + uint64(i),
			NextWrite: func() descriptor.WriteID {
				w.writes++
				w.owners[w.writes] = i
				return w.writes
			},
		})
		b.List(w.now, list, time.Time{})
		b.Serve(w.now, w.members)
		w.balancers = append(w.balancers, b)
	}
	for _, c := range x.Service.Classes {
		w.result.Classes[c.Name] = newClassResult(x.Duration)
	}
}

func (w *world[E, D, P, L]) run() {
	for i := range w.balancers {
		w.after(time.Duration(i)*time.Millisecond, func() { w.tick(i) })
	}
	for _, l := range w.experiment.Loads {
		w.arriveNext(l)
	}
	for _, f := range w.experiment.Faults {
		w.after(f.To, func() { w.heal(f) })
	}
	if w.experiment.Restart > 0 {
		for _, f := range w.fakes {
			w.restartNext(f)
		}
	}
	w.after(0, w.watch)
	end := w.start.Add(w.experiment.Duration)
	for {
		e, ok := w.events.Pop()
		if !ok || e.at.After(end) {
			return
		}
		w.now = e.at
		e.do()
	}
}

func (w *world[E, D, P, L]) after(d time.Duration, do func()) {
	w.order++
	w.events.Push(event{at: w.now.Add(d), order: w.order, do: do})
}

func (w *world[E, D, P, L]) at() time.Duration { return w.now.Sub(w.start) }

// arriveNext plans the next request of a load.
func (w *world[E, D, P, L]) arriveNext(l Load) {
	rate, crest := w.rate(l)
	wait := time.Duration(w.random.ExpFloat64() / rate * float64(time.Second))
	w.after(wait, func() {
		w.arrive(l, crest)
		w.arriveNext(l)
	})
}

// rate returns the present rate of a load and whether it is in a crest.
func (w *world[E, D, P, L]) rate(l Load) (float64, bool) {
	at := w.at()
	if l.CrestEvery > 0 {
		at %= l.CrestEvery
	}
	if l.Crest > 0 && at >= l.CrestFrom && at < l.CrestTo {
		return l.Rate * l.Crest, true
	}
	return l.Rate, false
}

func (w *world[E, D, P, L]) arrive(l Load, crest bool) {
	class, _ := w.experiment.Service.Class(l.Class)
	greedy := crest && w.random.Float64() < l.Greedy
	caller := "greedy"
	if !greedy {
		caller = fmt.Sprintf("caller-%d", w.random.IntN(max(1, l.Callers)))
	}
	id := descriptor.RequestID(len(w.requests) + 1)
	w.requests = append(w.requests, request{class: l.Class, arrived: w.now, greedy: greedy})
	instance := w.random.IntN(len(w.balancers))
	e := descriptor.Arrived{
		At:          w.now,
		Request:     id,
		Service:     w.experiment.Service.Name,
		Class:       l.Class,
		Caller:      caller,
		Fingerprint: uint64(id),
		Replayable:  class.Idempotent,
	}
	if l.Patience > 0 {
		e.Deadline = w.now.Add(l.Patience)
	}
	w.result.Classes[l.Class].Sent++
	w.balancers[instance].Arrive(e)
	w.collect(instance)
}

func (w *world[E, D, P, L]) tick(i int) {
	w.balancers[i].Tick(w.now)
	w.collect(i)
	next := tickTime
	if !w.balancers[i].Busy() {
		next = idleTime
	}
	w.after(next, func() { w.tick(i) })
}

// collect carries out the actions of an instance.
func (w *world[E, D, P, L]) collect(i int) {
	w.actions, w.ended = w.balancers[i].Flush(w.actions[:0], w.ended[:0])
	for _, e := range w.ended {
		w.end(e)
	}
	for _, a := range append([]descriptor.Action(nil), w.actions...) {
		w.do(i, a)
	}
}

func (w *world[E, D, P, L]) end(e balancer.Ended) {
	r := &w.requests[e.Request-1]
	r.ended = true
	c := w.result.Classes[r.class]
	switch e.Reason {
	case descriptor.Served:
		c.Served++
		_ = c.Latency.RecordValue(max(histogramLow, e.Latency.Microseconds()))
		if second := int(w.at().Seconds()); second < len(c.PerSecond) {
			c.PerSecond[second]++
		}
		if r.greedy {
			c.Greedy++
		} else {
			c.Other++
		}
	case descriptor.Overloaded, descriptor.Expired, descriptor.NoBackend:
		c.Refused++
		class, _ := w.experiment.Service.Class(r.class)
		if e.Outcome == descriptor.NotRun && e.Latency > class.Target {
			c.LateRefused++
		}
	case descriptor.Abandoned:
		c.Abandoned++
	default:
		c.Failed++
	}
}

func (w *world[E, D, P, L]) do(i int, action descriptor.Action) {
	switch a := action.(type) {
	case descriptor.Dispatch:
		w.result.Attempts++
		f := &flight{instance: i, request: a.Request, attempt: a.Attempt, weight: w.weightOf(a.Request)}
		target := w.byID[a.Backend.ID]
		w.after(networkTime, func() { w.enter(target, f) })
		target.open[f] = true
	case descriptor.Deliver:
		w.after(0, func() {
			w.balancers[i].Finished(descriptor.Finished{At: w.now, Request: a.Request, Attempt: a.Attempt, Bytes: 1})
			w.collect(i)
		})
	case descriptor.Cancel:
		w.after(networkTime, func() { w.cancel(i, a) })
	case descriptor.Send:
		w.after(messageTime, func() { w.hear(i, a) })
	case descriptor.Write:
		w.after(storeTime, func() { w.write(i, a) })
	case descriptor.Probe:
		target := w.byID[a.Backend.ID]
		w.after(networkTime, func() {
			w.balancers[i].Probed(descriptor.Probed{At: w.now, Service: a.Service, Backend: a.Backend.ID, Suspected: a.Suspected, Alive: !w.now.Before(target.downTo)})
			w.collect(i)
		})
	}
}

func (w *world[E, D, P, L]) weightOf(id descriptor.RequestID) float64 {
	class := w.requests[id-1].class
	for _, l := range w.experiment.Loads {
		if l.Class == class && l.Weight > 0 {
			return l.Weight
		}
	}
	return 1
}

// serviceTime draws the time of one piece of work.
func (w *world[E, D, P, L]) serviceTime(f *fake, weight float64) time.Duration {
	x := w.experiment
	d := float64(x.Median) * weight
	if w.random.Float64() < x.Heavy {
		d *= min(paretoLimit, math.Pow(1-w.random.Float64(), -1/paretoShape))
	} else {
		d *= math.Exp(x.Spread * w.random.NormFloat64())
	}
	if w.now.Before(f.coldTo) {
		d *= coldFactor
	}
	return time.Duration(d)
}
