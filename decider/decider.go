// Package decider composes the decisions of an entry instance: one state machine
// that takes events and returns actions. It does no I/O, reads no clock and
// encodes no message; the same events give the same actions.
package decider

import (
	"time"

	"monsoonswitch/allocator"
	"monsoonswitch/balancer"
	"monsoonswitch/container"
	"monsoonswitch/counter"
	"monsoonswitch/declarer"
	"monsoonswitch/descriptor"
	"monsoonswitch/detector"
	"monsoonswitch/gossiper"
	"monsoonswitch/keeper"
	"monsoonswitch/limiter"
	"monsoonswitch/picker"
	"monsoonswitch/relayer"
	"monsoonswitch/retrier"
	"monsoonswitch/spreader"
)

const (
	// watchRole is the name under which the instances that follow the
	// platform's store are chosen; no service has such a name.
	watchRole = "~watch"
	// watchers is the number of those instances.
	watchers = 3
	// routedWatchers is that number under a routing, where everyone who misses
	// their news asks the store.
	routedWatchers = 2
	// callersRole is the name under which the instances that callers are sent to
	// under a routing are chosen.
	callersRole = "~callers"
	// keptNotes is the number of log events kept for dumps.
	keptNotes = 64
)

// Options are the constant parts of a decider.
type Options struct {
	// Self is the first record of this instance.
	Self descriptor.Member
	// Seed makes the choices repeatable.
	Seed uint64
	// Patience is how long an instance waits for others before it reads the
	// platform's store itself.
	Patience time.Duration
	// Routing tells that one routing declares all services, every instance
	// serves all of them, and nothing is written to the store about them.
	Routing bool
	// Retries bounds what all instances together send again, under a routing.
	Retries retrier.Bounds
	// Grace is the longest time from being asked to leave until the platform ends
	// the process; 0 means that it never does.
	Grace time.Duration
}

// kinds lists the kinds of documents that come from the store.
func (o Options) kinds() []descriptor.Kind {
	if o.Routing {
		return []descriptor.Kind{descriptor.KindRouting, descriptor.KindBackends}
	}
	return []descriptor.Kind{descriptor.KindService}
}

// declaration is a declared service and when its revision came into force.
type declaration struct {
	service  declarer.Service
	revision uint64
	accepted time.Time
	inForce  time.Time
}

// Decider is the state of one instance. It belongs to one goroutine.
type Decider[E any, D detector.Policy[E], P picker.Policy, L limiter.Policy] struct {
	options  Options
	now      time.Time
	started  time.Time
	writes   descriptor.WriteID
	gossiper *gossiper.Gossiper
	spreader *spreader.Spreader
	keeper   *keeper.Keeper
	counter  *counter.Counter
	writer   *counter.Writer
	index    *allocator.Index
	relayer  *relayer.Relayer
	// routes is nil unless a routing is in force.
	routes *declarer.Map
	// completed holds the kinds of which everything was read from the store.
	completed *container.Table[descriptor.Kind, bool]
	// published is the directory that traffic reads.
	published *descriptor.Directory
	// declared holds the declaration of each service.
	declared *container.Table[string, declaration]
	// served holds each service that this instance serves or finishes.
	served *container.Table[string, *balancer.Balancer[E, D, P, L]]
	// requests maps each open request to its service.
	requests *container.Table[descriptor.RequestID, string]
	// trails holds the decisions about each open request.
	trails *container.Table[descriptor.RequestID, []descriptor.Trace]
	notes  *container.Ring[descriptor.Note]

	// synced tells that the configuration is known; watching that this
	// instance follows the platform's store.
	synced, watching bool
	// settled tells that syncedAt is long enough ago to know the other members.
	settled  bool
	syncedAt time.Time
	// memberAt is when a member was first heard of last.
	memberAt time.Time
	// dirty tells that the directory changed, and stamped that only its time did.
	dirty, stamped bool
	gossipAt       time.Time
	tallyAt        time.Time
	publishAt      time.Time
	digestAt       time.Time
	// bulletinAt is when the last bulletins went out, and bulletins counts them.
	bulletinAt time.Time
	bulletins  uint64
	quit       leave

	actions []descriptor.Action
	ended   []balancer.Ended
}

// Standard is the decider with the policies of production.
type Standard = Decider[detector.Evidence, detector.Sequential, picker.Sampled, limiter.Adaptive]

// Routed is the decider under a routing.
type Routed = Decider[detector.Evidence, detector.Sequential, picker.Trusted, limiter.Bounded]

// RoundRobin is the baseline without ejection.
type RoundRobin = Decider[detector.Nothing, detector.None, picker.RoundRobin, limiter.Open]

// Consecutive is the baseline that ejects after five failures in a row.
type Consecutive = Decider[int, detector.Consecutive, picker.LeastLoaded, limiter.Open]

// New returns the decider of an instance that starts at now.
func New[E any, D detector.Policy[E], P picker.Policy, L limiter.Policy](o Options, now time.Time) *Decider[E, D, P, L] {
	d := &Decider[E, D, P, L]{
		options:   o,
		now:       now,
		started:   now,
		gossiper:  gossiper.New(o.Self, now),
		spreader:  spreader.New(),
		counter:   counter.New(o.Self),
		index:     allocator.NewIndex(),
		relayer:   relayer.New(o.Self),
		completed: container.NewTable[descriptor.Kind, bool](),
		declared:  container.NewTable[string, declaration](),
		served:    container.NewTable[string, *balancer.Balancer[E, D, P, L]](),
		requests:  container.NewTable[descriptor.RequestID, string](),
		trails:    container.NewTable[descriptor.RequestID, []descriptor.Trace](),
		notes:     container.NewRing[descriptor.Note](keptNotes),
		dirty:     true,
	}
	d.keeper = keeper.New(o.Self, d.gossiper, d.nextWrite, now)
	d.writer = counter.NewWriter(o.Self, d.nextWrite)
	d.index.SetService(watchRole, watchers)
	if o.Routing {
		d.index.SetService(watchRole, routedWatchers)
		d.index.SetService(callersRole, allocator.LeastServing)
	}
	return d
}

// NewStandard returns a decider with the policies of production.
func NewStandard(o Options, now time.Time) *Standard {
	return New[detector.Evidence, detector.Sequential, picker.Sampled, limiter.Adaptive](o, now)
}

func (d *Decider[E, D, P, L]) nextWrite() descriptor.WriteID {
	d.writes++
	return d.writes
}

// Busy tells whether there are requests that have not ended.
func (d *Decider[E, D, P, L]) Busy() bool { return d.requests.Len() > 0 }

// Step takes one event in and returns the actions that follow. The slice is
// valid until the next call.
func (d *Decider[E, D, P, L]) Step(event descriptor.Event) []descriptor.Action {
	clear(d.actions)
	d.actions = d.actions[:0]
	d.now = event.When()
	switch e := event.(type) {
	case descriptor.Arrived:
		d.arrive(e)
	case descriptor.Sent:
		d.onRequest(e.Request, func(s *balancer.Balancer[E, D, P, L]) { s.Sent(e) })
	case descriptor.Answered:
		d.onRequest(e.Request, func(s *balancer.Balancer[E, D, P, L]) { s.Answered(e) })
	case descriptor.Finished:
		d.onRequest(e.Request, func(s *balancer.Balancer[E, D, P, L]) { s.Finished(e) })
	case descriptor.Failed:
		d.onRequest(e.Request, func(s *balancer.Balancer[E, D, P, L]) { s.Failed(e) })
	case descriptor.Gone:
		d.gone(e)
	case descriptor.Probed:
		d.onService(e.Service, func(s *balancer.Balancer[E, D, P, L]) { s.Probed(e) })
	case descriptor.Ticked:
		d.tick()
	case descriptor.Received:
		d.receive(e)
	case descriptor.LinkOpened:
		d.gossiper.LinkOpened(e)
	case descriptor.LinkClosed:
		d.gossiper.LinkClosed(e)
		d.spreader.Forget(e.Peer)
	case descriptor.Learned:
		d.learn(e)
	case descriptor.Written:
		d.written(e)
	case descriptor.Quit:
		d.startLeaving()
	}
	d.followMembers()
	return d.actions
}

func (d *Decider[E, D, P, L]) emit(a descriptor.Action) {
	d.inspect(a)
	d.actions = append(d.actions, a)
}

func (d *Decider[E, D, P, L]) emitAll(list []descriptor.Action) {
	for _, a := range list {
		d.emit(a)
	}
}

func (d *Decider[E, D, P, L]) note(number int, subject, detail string) {
	d.emit(descriptor.Note{Number: number, Subject: subject, Detail: detail})
}

// countEjection counts an ejection at the instance that decided it.
func (d *Decider[E, D, P, L]) countEjection(n descriptor.Note) {
	document, _ := d.spreader.Get(descriptor.KindEjections, n.Service)
	for _, e := range document.Ejections {
		if e.Backend == n.Subject && e.By == d.options.Self.ID {
			d.counter.Eject(d.now, n.Service)
		}
	}
}

// onService runs f on a served service and collects what follows.
func (d *Decider[E, D, P, L]) onService(service string, f func(*balancer.Balancer[E, D, P, L])) {
	s, ok := d.served.Get(service)
	if !ok {
		return
	}
	f(s)
	d.collect(service, s)
}

func (d *Decider[E, D, P, L]) onRequest(id descriptor.RequestID, f func(*balancer.Balancer[E, D, P, L])) {
	if service, ok := d.requests.Get(id); ok {
		d.onService(service, f)
	}
}

// collect takes over the actions of a service and the ends of its requests.
func (d *Decider[E, D, P, L]) collect(service string, s *balancer.Balancer[E, D, P, L]) {
	before := len(d.actions)
	d.actions, d.ended = s.Flush(d.actions, d.ended[:0])
	kept := d.actions[:before]
	for _, a := range d.actions[before:] {
		if t, ok := a.(descriptor.Trace); ok {
			d.follow(t)
			continue
		}
		d.inspect(a)
		kept = append(kept, a)
	}
	clear(d.actions[len(kept):])
	d.actions = kept
	for _, e := range d.ended {
		d.requests.Delete(e.Request)
		d.counter.End(d.now, service, e.Class, e.Reason, e.Outcome, e.Bytes, e.Latency)
		d.emitAll(d.keeper.End(e.Request, e.Outcome))
		d.endTrail(service, e)
	}
}

// inspect keeps the notes among the actions.
func (d *Decider[E, D, P, L]) inspect(a descriptor.Action) {
	n, ok := a.(descriptor.Note)
	if !ok {
		return
	}
	d.notes.Add(n)
	if n.Number == descriptor.NoteEjected {
		d.countEjection(n)
	}
}

// arrive takes a request in.
func (d *Decider[E, D, P, L]) arrive(e descriptor.Arrived) {
	known, ok := d.declared.Get(e.Service)
	if !ok {
		d.emit(descriptor.Refuse{Request: e.Request, Reason: descriptor.UnknownService})
		return
	}
	declared := known.service
	d.counter.Receive(e.At, e.Service)
	s, ok := d.served.Get(e.Service)
	if !ok {
		d.refuse(e, d.unserved(declared), descriptor.NotRun, 0)
		return
	}
	class, ok := declared.Class(e.Class)
	if !ok || class.Idempotent || d.options.Routing {
		d.admit(e, s)
		return
	}
	if reason, retry := s.Barrier(e); reason != descriptor.Served {
		d.refuse(e, reason, descriptor.NotRun, retry)
		return
	}
	decision, actions := d.keeper.Begin(e, class.Keyless)
	d.emitAll(actions)
	d.settle(keeper.Settled{Arrived: e, Decision: decision})
}

// unserved returns the reason to refuse work for a service not served here.
func (d *Decider[E, D, P, L]) unserved(s declarer.Service) descriptor.Reason {
	switch {
	case s.State == declarer.Closing:
		return descriptor.ServiceClosing
	case s.State == declarer.Closed:
		return descriptor.ServiceClosed
	case len(d.index.Get(s.Name)) == 0:
		return descriptor.Starting
	}
	return descriptor.Misdirected
}

// settle goes on with a request whose key was decided.
func (d *Decider[E, D, P, L]) settle(s keeper.Settled) {
	e := s.Arrived
	switch s.Decision.Verdict {
	case keeper.Proceed:
		e.At = d.now
		if service, ok := d.served.Get(e.Service); ok {
			d.admit(e, service)
			return
		}
		d.emitAll(d.keeper.End(e.Request, descriptor.NotRun))
		d.refuse(e, descriptor.Misdirected, descriptor.NotRun, 0)
	case keeper.Reject:
		d.refuse(e, s.Decision.Reason, s.Decision.Outcome, 0)
	}
}

func (d *Decider[E, D, P, L]) admit(e descriptor.Arrived, s *balancer.Balancer[E, D, P, L]) {
	d.requests.Put(e.Request, e.Service)
	s.Arrive(e)
	d.collect(e.Service, s)
}

// refuse ends a request that no balancer knows.
func (d *Decider[E, D, P, L]) refuse(e descriptor.Arrived, reason descriptor.Reason, outcome descriptor.Outcome, retry time.Duration) {
	d.emit(descriptor.Refuse{Request: e.Request, Reason: reason, Outcome: outcome, Retry: retry})
	d.counter.End(d.now, e.Service, e.Class, reason, outcome, 0, 0)
}

func (d *Decider[E, D, P, L]) gone(e descriptor.Gone) {
	if arrived, ok := d.keeper.Forget(e.Request); ok {
		d.refuse(arrived, descriptor.Abandoned, descriptor.NotRun, 0)
		return
	}
	d.onRequest(e.Request, func(s *balancer.Balancer[E, D, P, L]) { s.Gone(e) })
}
