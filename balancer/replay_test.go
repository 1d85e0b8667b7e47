package balancer

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"monsoonswitch/declarer"
	"monsoonswitch/descriptor"
	"monsoonswitch/detector"
	"monsoonswitch/limiter"
	"monsoonswitch/picker"
	"monsoonswitch/retrier"
)

// event is a scheduled step of a replay.
type event struct {
	at    time.Duration
	order int
	run   func()
}

// timeline is a heap of events.
type timeline []event

func (t timeline) Len() int { return len(t) }
func (t timeline) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].order < t[j].order
}
func (t timeline) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timeline) Push(x any)   { *t = append(*t, x.(event)) }
func (t *timeline) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

// loadPattern describes the load and the faults of a replay.
type loadPattern struct {
	// rate is the number of requests per second at a time.
	rate func(time.Duration) float64
	// idempotent is the share of requests that may run twice.
	idempotent float64
	// gray reports whether a backend server is gray at a time. shedShare is the share
	// of work that backend servers refuse.
	gray      func(backend int, at time.Duration) bool
	shedShare func(at time.Duration) float64
	// lostShare is the share of its work whose answer is lost. Nil means none.
	lostShare func(backend int, at time.Duration) float64
	// seed selects the random sequence of the replay.
	seed uint64
	// backends and slots are the size of the service.
	backends, slots int
	// instances is the number of instances; 0 means owners.
	instances int
	// limit is the limit on requests a second that a backend server names at a time, or 0. Nil
	// means that none names one.
	limit func(backend int, at time.Duration) float64
	// member reports whether an instance is a slot owner at a time; nil means that all are. Work
	// arrives only at slot owners.
	member func(instance int, at time.Duration) bool
	// customer returns the customer of a request, for a random number from 0 to 1; nil means that
	// requests have none.
	customer func(draw float64, at time.Duration) string
	// onceRank is the rank of the class of work that may not run twice. The other one has rank 0.
	onceRank int
	// readsAt is the number of instances at which work of the class with rank 0 arrives; 0 means
	// all. Other work then arrives at the others.
	readsAt int
}

// tally counts how requests ended.
type tally struct {
	sent, served, failed, refused, inTarget int
	// arrivals counts attempts that reached a backend server. ranTwice counts
	// non-idempotent requests that ran more than once.
	arrivals, ranTwice int
	// used holds the time of the last attempt by backend server.
	used map[int]time.Duration
	// shortWindows counts the windows in which too few backend servers had work while
	// the share of failures was between minFloorFailures and maxFloorFailures.
	// idleWindows counts all windows in which too few of those outside a fault period
	// had work.
	shortWindows, idleWindows int
	// unusedAfterRecovery counts the pairs of a window and a backend server that left its
	// fault period returnTime ago or earlier and had no work for as long.
	unusedAfterRecovery int
	// lossWindows counts the windows at whose end too few of the backend servers without
	// running work had any before. Only these count as healthy if all running work is lost.
	lossWindows int
	// longest is the longest wait of a request that was refused.
	longest time.Duration
	// limitedArrivals counts the attempts at limited backend servers, and overLimit those of
	// them that exceeded what the operators allow; see limitWatch.
	limitedArrivals, overLimit int
	// ofCustomer and ofClass count the requests by customer and by class.
	ofCustomer, ofClass map[string]part
}

// part counts the requests of a customer or a class.
type part struct{ sent, served int }

// share returns the share of the requests that was served.
func (p part) share() float64 { return float64(p.served) / float64(p.sent) }

const (
	replayWork   = 200 * time.Millisecond
	replayTarget = time.Second
	// replayTimeout is the timeout of the requests.
	replayTimeout = 2 * time.Second
	replayLength  = 60 * time.Second
	// replayTraffic is the time after which no more requests arrive.
	replayTraffic = replayLength - 5*time.Second
	// quickFailure is the time after which a gray backend server fails work.
	quickFailure = time.Millisecond
	// busyTick and idleTick are the times between ticks with and without open
	// requests.
	busyTick = 10 * time.Millisecond
	idleTick = 100 * time.Millisecond
	// owners is the default number of instances, all of which own slots.
	owners = 6
)

// simulation replays a load with owners and backend servers.
type simulation[P picker.Policy] struct {
	load      loadPattern
	now       time.Duration
	timeline  timeline
	order     int
	random    *rand.Rand
	instances []*Balancer[detector.Evidence, detector.Sequential, P, limiter.Bounded]
	requests  map[descriptor.RequestID]*replayed
	busy      []int
	tally     tally
	// lastSentAt, ownFailureAt and lossPossibleAt hold, by backend server, when it
	// was last sent work, when it last failed work itself and when its answers
	// could last be lost.
	lastSentAt, ownFailureAt, lossPossibleAt []time.Duration
	// ends holds the requests that ended in the last floorWindow.
	ends []replayEnd
	// watches holds a watch of the limit of each backend server.
	watches []limitWatch
	members []descriptor.Member
}

// replayEnd describes how a request ended.
type replayEnd struct {
	at     time.Duration
	served bool
}

// replayed is one request of a replay.
type replayed struct {
	idempotent bool
	customer   string
	class      string
	runs       int
	arrived    time.Duration
	failed     bool
}

var epoch = time.Unix(1000, 0)

// replay runs a load with a picker policy and returns the result.
func replay[P picker.Policy](l loadPattern) tally {
	if l.instances == 0 {
		l.instances = owners
	}
	f := &simulation[P]{load: l, random: rand.New(rand.NewPCG(7, 9+l.seed)), requests: make(map[descriptor.RequestID]*replayed), busy: make([]int, l.backends)}
	for range l.backends {
		f.watches = append(f.watches, newLimitWatch())
		f.lastSentAt, f.ownFailureAt, f.lossPossibleAt = append(f.lastSentAt, -lossExclusion), append(f.ownFailureAt, -lossExclusion), append(f.lossPossibleAt, -lossExclusion)
	}
	f.tally.used = make(map[int]time.Duration)
	f.tally.ofCustomer, f.tally.ofClass = make(map[string]part), make(map[string]part)
	for i := range l.instances {
		f.members = append(f.members, descriptor.Member{ID: fmt.Sprintf("entry-%d", i)})
	}
	members := f.members
	service := declarer.Service{Name: "billing", Share: 1, Classes: []declarer.Class{
		{Name: "read", Target: replayTarget, Timeout: replayTimeout, Idempotent: true, Attempts: 3},
		{Name: "once", Target: replayTarget, Timeout: replayTimeout, Attempts: 1, Rank: l.onceRank},
	}}
	for i := range l.instances {
		b := New[detector.Evidence, detector.Sequential, P, limiter.Bounded](service, Options{
			Self: members[i].ID, Seed: uint64(i), PooledOutcomes: true, NextWrite: func() descriptor.WriteID { return 1 },
			Retries: retrier.Bounds{Ratio: 0.2, Extra: 50, Window: 10 * time.Second},
		})
		b.SetBackends(epoch, backendList(l.backends, l.slots), time.Time{})
		b.SetOwners(epoch, members)
		f.instances = append(f.instances, b)
	}
	f.arrivals()
	f.schedule(floorWindow, f.watchFloor)
	f.schedule(0, f.updateOwners)
	for i := range f.instances {
		f.tick(i)
	}
	for len(f.timeline) > 0 {
		h := heap.Pop(&f.timeline).(event)
		f.now = h.at
		h.run()
	}
	return f.tally
}

func (f *simulation[P]) schedule(when time.Duration, run func()) {
	if when <= replayLength {
		f.order++
		heap.Push(&f.timeline, event{when, f.order, run})
	}
}

func (f *simulation[P]) time() time.Time { return epoch.Add(f.now) }

func (f *simulation[P]) tick(i int) {
	f.instances[i].Tick(f.time())
	f.collect(i)
	wait := idleTick
	if f.instances[i].Busy() {
		wait = busyTick
	}
	f.schedule(f.now+wait, func() { f.tick(i) })
}

// arrivals schedules all requests.
func (f *simulation[P]) arrivals() {
	var id descriptor.RequestID
	for at := time.Duration(0); at < replayTraffic; {
		at += time.Duration(f.random.ExpFloat64() / f.load.rate(at) * float64(time.Second))
		id++
		request, instance := id, f.random.IntN(f.load.instances)
		class := "once"
		if f.random.Float64() < f.load.idempotent {
			class = "read"
		}
		for l := f.load; l.member != nil && !l.member(instance, at); {
			instance = f.random.IntN(l.instances)
		}
		if n := f.load.readsAt; n > 0 && class == "read" {
			instance %= n
		} else if n > 0 {
			instance = n + instance%(f.load.instances-n)
		}
		customer := ""
		if f.load.customer != nil {
			customer = f.load.customer(f.random.Float64(), at)
		}
		f.schedule(at, func() { f.arrive(request, instance, class, customer) })
	}
}

func (f *simulation[P]) arrive(id descriptor.RequestID, instance int, class, customer string) {
	f.tally.sent++
	f.requests[id] = &replayed{idempotent: class == "read", customer: customer, class: class, arrived: f.now}
	f.count(f.requests[id], part{sent: 1})
	f.instances[instance].Arrive(descriptor.Arrived{
		At: f.time(), Request: id, Class: class, Caller: "c", Customer: customer, Replayable: true, Fingerprint: uint64(id), Deadline: f.time().Add(4 * time.Second),
	})
	f.collect(instance)
}

// collect executes the actions of an instance.
func (f *simulation[P]) collect(instance int) {
	actions, ended := f.instances[instance].Flush(nil, nil)
	for _, a := range actions {
		switch a := a.(type) {
		case descriptor.Dispatch:
			f.dispatch(instance, a)
		case descriptor.Send:
			f.send(a)
		}
	}
	for _, e := range ended {
		f.end(e)
	}
}

func (f *simulation[P]) send(a descriptor.Send) {
	m, ok := a.Message.(descriptor.Outcomes)
	if !ok {
		return
	}
	for i := range f.instances {
		if fmt.Sprintf("entry-%d", i) == a.To.ID {
			f.schedule(f.now+2*time.Millisecond, func() {
				f.instances[i].HandleOutcomes(f.time(), m)
				f.collect(i)
			})
		}
	}
}

// dispatch starts an attempt at a backend server.
func (f *simulation[P]) dispatch(instance int, d descriptor.Dispatch) {
	var backend int
	_, _ = fmt.Sscanf(d.Backend.ID, "b%d", &backend)
	f.tally.arrivals++
	f.tally.used[backend] = f.now
	f.lastSentAt[backend] = f.now
	if limit := f.limitOf(backend); limit > 0 {
		f.tally.limitedArrivals++
		if f.watches[backend].exceeds(f.now, instance, limit) {
			f.tally.overLimit++
		}
	}
	if f.random.Float64() < f.load.shedShare(f.now) {
		f.schedule(f.now+quickFailure, func() {
			f.instances[instance].Failed(descriptor.Failed{
				At: f.time(), Request: d.Request, Attempt: d.Attempt, Fault: descriptor.FaultShed, BodyReplayable: true,
				Load: descriptor.Load{Known: true, Running: f.busy[backend], Slots: f.load.slots},
			})
			f.collect(instance)
		})
		return
	}
	r := f.requests[d.Request]
	r.runs++
	if r.runs > 1 && !r.idempotent {
		f.tally.ranTwice++
	}
	work, status := f.work(backend)
	f.busy[backend]++
	f.schedule(f.now+work, func() { f.answer(instance, backend, d, status) })
}

// work returns the service time of a request at a backend server and its status.
func (f *simulation[P]) work(backend int) (time.Duration, int) {
	if f.load.gray(backend, f.now) && f.random.Float64() < 0.9 || f.random.Float64() < 0.012 {
		f.ownFailureAt[backend] = f.now
		return quickFailure, 500
	}
	if f.load.lostShare != nil && f.random.Float64() < f.load.lostShare(backend, f.now) {
		return replayWork, 500
	}
	work := time.Duration((0.5 + f.random.Float64()) * float64(replayWork))
	if over := f.busy[backend] - f.load.slots + 1; over > 0 {
		work += time.Duration(over) * replayWork / time.Duration(f.load.slots)
	}
	return work, 200
}

func (f *simulation[P]) answer(instance, backend int, d descriptor.Dispatch, status int) {
	f.busy[backend]--
	b := f.instances[instance]
	limit := f.limitOf(backend)
	if limit > 0 {
		f.watches[backend].tell(f.now, instance)
	}
	b.Answered(descriptor.Answered{
		At: f.time(), Request: d.Request, Attempt: d.Attempt, Status: status, Limit: limit,
		Load: descriptor.Load{Known: true, Running: f.busy[backend] + 1, Slots: f.load.slots},
	})
	actions, ended := b.Flush(nil, nil)
	for _, a := range actions {
		switch a := a.(type) {
		case descriptor.Deliver:
			f.requests[a.Request].failed = status >= 500
			b.Finished(descriptor.Finished{At: f.time(), Request: a.Request, Attempt: a.Attempt})
		case descriptor.Dispatch:
			f.dispatch(instance, a)
		case descriptor.Send:
			f.send(a)
		}
	}
	for _, e := range ended {
		f.end(e)
	}
	f.collect(instance)
}

// count adds to the counts of the customer and the class of a request.
func (f *simulation[P]) count(r *replayed, p part) {
	for _, c := range []struct {
		counts map[string]part
		name   string
	}{{f.tally.ofCustomer, r.customer}, {f.tally.ofClass, r.class}} {
		before := c.counts[c.name]
		c.counts[c.name] = part{before.sent + p.sent, before.served + p.served}
	}
}

func (f *simulation[P]) end(e Ended) {
	r := f.requests[e.Request]
	f.ends = append(f.ends, replayEnd{f.now, e.Reason == descriptor.Served && !r.failed})
	switch {
	case e.Reason != descriptor.Served:
		f.tally.refused++
		f.tally.longest = max(f.tally.longest, f.now-r.arrived)
	case r.failed:
		f.tally.failed++
	default:
		f.tally.served++
		f.count(r, part{served: 1})
		if e.Latency <= replayTarget {
			f.tally.inTarget++
		}
	}
}

// grayPeriods reports whether a backend server is in a fault period. It is gray with
// a probability of 0.3 in each period of nine seconds. The periods start at a
// different time for each backend server.
func grayPeriods(backend int, at time.Duration) bool {
	offset := time.Duration(backend) * 1700 * time.Millisecond
	return grayInPeriod(backend, uint64((at+offset)/(9*time.Second)))
}

func grayInPeriod(backend int, period uint64) bool {
	return rand.New(rand.NewPCG(uint64(backend), period)).Float64() < 0.3
}

func neverGray(int, time.Duration) bool { return false }

func noSheds(time.Duration) float64 { return 0 }

func steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// share returns n as a share of the requests sent.
func (t tally) share(n int) float64 { return float64(n) / float64(t.sent) }
