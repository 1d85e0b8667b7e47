// Package decider composes the decisions of an entry instance: one state machine
// that takes events and returns actions. It does no I/O, reads no clock and
// encodes no messages. The same events always give the same actions.
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
	"monsoonswitch/quarantiner"
	"monsoonswitch/rationer"
	"monsoonswitch/registrar"
	"monsoonswitch/relayer"
	"monsoonswitch/retrier"
	"monsoonswitch/spreader"
)

const (
	// watchRole is the rendezvous key by which the instances that watch the
	// platform's store are chosen. No service has such a name.
	watchRole = "~watch"
	// watcherCount is the number of those instances.
	watcherCount = 3
	// routedWatcherCount is that number under a routing. There, every instance
	// that misses freshness announcements reads the store itself.
	routedWatcherCount = 2
	// substituteCount is the number of instances that query the store when it does not
	// answer those that watch it.
	substituteCount = 8
	// callersRole is the rendezvous key by which the instances that callers are
	// sent to under a routing are chosen.
	callersRole = "~callers"
	// maxNotes is the number of log events kept for dumps.
	maxNotes = 64
)

// Options are the settings of a decider. Only Retries, Grace and Withdraw change while it runs.
type Options struct {
	// Self is the first member record of this instance.
	Self descriptor.Member
	// Seed seeds the random choices, which makes them repeatable.
	Seed uint64
	// PeerWait is how long an instance that starts waits for the configuration
	// from other instances before it reads the platform's store itself.
	PeerWait time.Duration
	// Routing reports whether one routing declares all services. Every instance
	// then serves all of them, and nothing about them is written to the store.
	Routing bool
	// Retries bounds the retries of all instances together, under a routing.
	Retries retrier.Bounds
	// Quotas is the rule for the limits of customers, under a routing.
	Quotas rationer.Rule
	// Grace is the time from the shutdown request until the platform kills the
	// process; 0 means that it never does.
	Grace time.Duration
	// Withdraw is how old the proof of a recent routing may be for work with an API key; 0
	// means that none is needed.
	Withdraw time.Duration
}

// kinds returns the kinds of documents that are read from the store.
func (o Options) kinds() []descriptor.Kind {
	if o.Routing {
		return []descriptor.Kind{descriptor.KindRouting, descriptor.KindBackends}
	}
	return []descriptor.Kind{descriptor.KindService}
}

// declaration is a declared service, its revision, and when that revision was
// accepted by the platform and came into force at this instance.
type declaration struct {
	service  declarer.Service
	revision uint64
	accepted time.Time
	inForce  time.Time
}

// Decider is the state of one instance. It must be used by one goroutine only.
type Decider[E any, D detector.Policy[E], P picker.Policy, L limiter.Policy] struct {
	options Options
	now     time.Time
	started time.Time
	// lastWrite is the ID of the last write to the store.
	lastWrite descriptor.WriteID
	gossiper  *gossiper.Gossiper
	spreader  *spreader.Spreader
	keeper    *keeper.Keeper
	counter   *counter.Counter
	writer    *counter.Writer
	index     *allocator.Index
	// registrar keeps the register of the instances, and heard is the share of the fleet that this one
	// hears of; see updateHeard.
	registrar     *registrar.Registrar
	registerState registerState
	heard         float64
	relayer       *relayer.Relayer
	// callerList is what is compared of the instances that callers are sent to.
	callerList callerList
	// prover keeps the proof that the routing is recent.
	prover    *relayer.Prover
	customers customers
	// routes is nil unless a routing is in force.
	routes *declarer.RouteIndex
	// fullyRead holds the kinds of which all documents were read from the store.
	fullyRead *container.Table[descriptor.Kind, bool]
	// published is the directory that the traffic goroutines read.
	published *descriptor.Directory
	// declared holds the declaration of each service by name.
	declared *container.Table[string, declaration]
	// children holds the children of this instance in the distribution tree of each
	// origin. It is emptied when members change.
	children map[string][]descriptor.Member
	// served holds the balancer of each service that this instance serves, or
	// whose last requests it finishes.
	served *container.Table[string, *balancer.Balancer[E, D, P, L]]
	// crashes holds the crashes of backend servers under requests of all services.
	crashes *quarantiner.Register
	// departed holds the backend servers of all services that are known to leave.
	departed *balancer.Departed
	// restoration tracks what a restore of the platform's store makes doubtful.
	restoration restoration
	// publishedCrashes is the version of crashes in the published directory.
	publishedCrashes uint64
	// requests maps each open request to its service.
	requests *container.Table[descriptor.RequestID, string]
	// traces holds the trace entries of each open request.
	traces *container.Table[descriptor.RequestID, []descriptor.TraceEntry]
	notes  *container.Ring[descriptor.Note]

	// synced reports whether the configuration is known, and watch whether this instance watches the
	// platform's store.
	synced bool
	watch  descriptor.Watch
	// membersKnown reports whether the list of members is taken to be complete;
	// syncedAt is when synced was set.
	membersKnown bool
	syncedAt     time.Time
	// lastMemberAt is when a new member was last added.
	lastMemberAt time.Time
	// dirty reports whether the content of the directory changed, and timeDirty
	// whether only its time did.
	dirty, timeDirty bool
	lastGossipAt     time.Time
	lastTallyAt      time.Time
	lastPublishAt    time.Time
	lastDigestAt     time.Time
	// sync is what is known of the documents of others before synced is set.
	sync syncState
	// lastSuspicionsAt is when the last suspicion lists were sent, and
	// suspicionSequence is the sequence number of the last one.
	lastSuspicionsAt  time.Time
	suspicionSequence uint64
	// crashSequence is the sequence number of the last crash report that was sent to all
	// instances.
	crashSequence uint64
	shutdown      shutdownState
	quotas        *rationer.Rationer
	quotaCounts   descriptor.QuotaCounts
	// uptime is the latest uptime of an event, and uptimeGiven whether any event had one.
	uptime      time.Duration
	uptimeGiven bool

	actions []descriptor.Action
	ended   []balancer.Ended
}

// Standard is the decider with the production policies.
type Standard = Decider[detector.Evidence, detector.Sequential, picker.Sampled, limiter.Adaptive]

// Routed is the decider used under a routing.
type Routed = Decider[detector.Evidence, detector.Sequential, picker.HighestScore, limiter.Bounded]

// RoundRobin is the baseline without ejection.
type RoundRobin = Decider[detector.Nothing, detector.None, picker.RoundRobin, limiter.Open]

// Consecutive is the baseline that ejects a backend server after five failures in
// a row.
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
		registrar: registrar.New(o.Self.ID, 0),
		heard:     1,
		relayer:   relayer.New(),
		prover:    relayer.NewProver(o.Self, o.Seed),
		fullyRead: container.NewTable[descriptor.Kind, bool](),
		children:  make(map[string][]descriptor.Member),
		declared:  container.NewTable[string, declaration](),
		served:    container.NewTable[string, *balancer.Balancer[E, D, P, L]](),
		quotas:    rationer.New(o.Self.ID, o.Quotas, 0),
		crashes:   quarantiner.NewRegister(),
		departed:  balancer.NewDeparted(),

		restoration: newRestoration(),
		callerList:  callerList{differs: make(map[string]time.Time)},
		requests:    container.NewTable[descriptor.RequestID, string](),
		traces:      container.NewTable[descriptor.RequestID, []descriptor.TraceEntry](),
		notes:       container.NewRing[descriptor.Note](maxNotes),
		dirty:       true,
	}
	d.keeper = keeper.New(o.Self, d.gossiper, d.nextWrite, now)
	d.writer = counter.NewWriter(o.Self, d.nextWrite)
	d.index.SetService(watchRole, watcherCount)
	if o.Routing {
		d.index.SetService(watchRole, routedWatcherCount+substituteCount)
		d.index.SetCallers(callersRole, 0)
	}
	return d
}

// NewStandard returns a decider with the production policies.
func NewStandard(o Options, now time.Time) *Standard {
	return New[detector.Evidence, detector.Sequential, picker.Sampled, limiter.Adaptive](o, now)
}

func (d *Decider[E, D, P, L]) nextWrite() descriptor.WriteID {
	d.lastWrite++
	return d.lastWrite
}

// Busy reports whether there are open requests.
func (d *Decider[E, D, P, L]) Busy() bool { return d.requests.Len() > 0 || d.quotas.Waiting() > 0 }

// Step handles one event and returns the actions that follow from it. The slice
// is valid until the next call.
func (d *Decider[E, D, P, L]) Step(event descriptor.Event) []descriptor.Action {
	clear(d.actions)
	d.actions = d.actions[:0]
	d.now = event.When()
	d.setUptime(event)
	switch e := event.(type) {
	case descriptor.Arrived:
		d.arrive(e)
	case descriptor.Sent, descriptor.Answered, descriptor.Finished, descriptor.Failed, descriptor.CallerGone, descriptor.Unlocated:
		d.stepRequest(event)
	case descriptor.Probed:
		d.onService(e.Service, func(s *balancer.Balancer[E, D, P, L]) { s.Probed(e) })
	case descriptor.Ticked:
		d.prover.Advance(e.Uptime)
		d.tick()
	case descriptor.Received:
		d.handleMessage(e)
	case descriptor.LinkOpened:
		d.linkOpened(e)
	case descriptor.LinkClosed:
		d.gossiper.LinkClosed(e)
		delete(d.callerList.differs, e.Peer)
		d.spreader.Forget(e.Peer)
	case descriptor.DocumentsRead:
		d.handleDocumentsRead(e)
	case descriptor.Written:
		d.handleWritten(e)
	case descriptor.ShutdownRequested:
		d.startLeaving()
	case descriptor.SettingsChanged:
		d.applySettings(e)
	}
	d.flushQuotas()
	d.applyMemberChanges()
	return d.actions
}

// stepRequest handles an event of a request that arrived before.
func (d *Decider[E, D, P, L]) stepRequest(event descriptor.Event) {
	switch e := event.(type) {
	case descriptor.Sent:
		d.onRequest(e.Request, func(s *balancer.Balancer[E, D, P, L]) { s.Sent(e) })
	case descriptor.Answered:
		d.onRequest(e.Request, func(s *balancer.Balancer[E, D, P, L]) { s.Answered(e) })
	case descriptor.Finished:
		d.onRequest(e.Request, func(s *balancer.Balancer[E, D, P, L]) { s.Finished(e) })
	case descriptor.Failed:
		d.onRequest(e.Request, func(s *balancer.Balancer[E, D, P, L]) { s.Failed(e) })
	case descriptor.CallerGone:
		d.callerGone(e)
	case descriptor.Unlocated:
		d.traceUnlocated(e)
	}
}

// applySettings puts changed settings in force.
func (d *Decider[E, D, P, L]) applySettings(e descriptor.SettingsChanged) {
	d.options.Grace, d.options.Withdraw = e.Grace, e.Withdraw
	d.options.Retries = retrier.Bounds{Ratio: e.RetryRatio, Extra: e.RetryExtra, Window: e.RetryWindow}
	d.timeDirty = true
	for _, s := range d.served.All {
		s.SetRetries(d.options.Retries)
	}
}

func (d *Decider[E, D, P, L]) emit(a descriptor.Action) {
	d.recordNote(a)
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

// onService calls f with the balancer of a served service and collects its
// actions.
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

// collect appends the actions of a balancer and closes the requests that it
// ended. Trace entries are not returned as actions; they are kept until the
// request ends.
func (d *Decider[E, D, P, L]) collect(service string, s *balancer.Balancer[E, D, P, L]) {
	before := len(d.actions)
	d.actions, d.ended = s.Flush(d.actions, d.ended[:0])
	kept := d.actions[:before]
	var spread []descriptor.CrashReport
	for _, a := range d.actions[before:] {
		switch a := a.(type) {
		case descriptor.TraceEntry:
			d.recordTrace(a)
			continue
		case descriptor.Spread:
			spread = append(spread, a.Report)
			continue
		}
		d.recordNote(a)
		kept = append(kept, a)
	}
	clear(d.actions[len(kept):])
	d.actions = kept
	for _, r := range spread {
		d.spreadCrash(r)
	}
	for _, e := range d.ended {
		d.requests.Delete(e.Request)
		d.counter.End(d.now, service, e.Class, e.Reason, e.Outcome, e.Bytes, e.Latency)
		d.emitAll(d.keeper.End(e.Request, e.Outcome))
		d.quotas.End(d.uptime, e.Request, e.Outcome)
		d.emitTrace(service, e)
	}
}

// recordNote keeps a for dumps if it is a note.
func (d *Decider[E, D, P, L]) recordNote(a descriptor.Action) {
	n, ok := a.(descriptor.Note)
	if !ok {
		return
	}
	d.notes.Add(n)
	if n.Number == descriptor.NoteEjected {
		d.countEjection(n)
	}
}
