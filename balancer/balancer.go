// Package balancer decides how one instance handles the requests of one service:
// admission, queue order, choice of backend server, retries and hedges, ejection,
// draining and poisonous requests. It does no I/O and reads no clock.
package balancer

import (
	"math/rand/v2"
	"time"

	"monsoonswitch/container"
	"monsoonswitch/declarer"
	"monsoonswitch/descriptor"
	"monsoonswitch/detector"
	"monsoonswitch/limiter"
	"monsoonswitch/picker"
	"monsoonswitch/quarantiner"
	"monsoonswitch/retrier"
)

const (
	// maxQueued bounds the queued requests of a service at one instance.
	maxQueued = 8192
	// maxDeparted bounds the leaving backend servers remembered per generation.
	maxDeparted = 4096
	// pauseThreshold is the gap between two events of a busy service above which this
	// process is taken to have been stopped in between.
	pauseThreshold = 250 * time.Millisecond
)

// Ended describes how a request ended. It feeds the tallies and the records of
// idempotency keys.
type Ended struct {
	Request descriptor.RequestID
	Label   string
	Class   string
	Reason  descriptor.Reason
	Outcome descriptor.Outcome
	Bytes   uint64
	Latency time.Duration
}

// Options are the settings of a balancer. Only Retries changes while it runs.
type Options struct {
	// Self is the ID of this instance.
	Self string
	// Domain is the failure domain of this instance.
	Domain string
	// Seed seeds the random choices, so that a run can be repeated.
	Seed uint64
	// NextWrite returns an unused write ID.
	NextWrite func() descriptor.WriteID
	// PooledOutcomes is set when non-owners, instances without a share of the slots,
	// also send work of the service. Outcomes of work are then pooled over all
	// instances and decide the placement.
	PooledOutcomes bool
	// Retries bounds the retries of all instances together. It applies if
	// PooledOutcomes is set.
	Retries retrier.Bounds
	// Crashes is shared by the balancers of an instance. A nil one is replaced by an empty one.
	Crashes *quarantiner.Register
	// Departed is shared by the balancers of an instance. A nil one is replaced by an empty one.
	Departed *Departed
}

// Departed holds the marks of the incarnations of backend servers that were ever listed as
// leaving, or said so; see descriptor.MarkOf. It forgets the oldest ones.
type Departed = container.Generations[uint64, bool]

// NewDeparted returns an empty set.
func NewDeparted() *Departed { return container.NewGenerations[uint64, bool](maxDeparted) }

// budget returns the retry budget of an instance that has just started.
func (o Options) budget() retrier.Budget {
	if o.PooledOutcomes {
		return retrier.NewEmptyBudget()
	}
	return retrier.NewBudget(retrier.StandardTerms())
}

// terms returns how the retry budget of one of a number of owners grows. position is
// its index among them, or -1 for a non-owner. heard is the share of the fleet that this
// instance hears of.
func (o Options) terms(instances, position int, heard float64) retrier.Terms {
	switch {
	case !o.PooledOutcomes:
		return retrier.StandardTerms()
	case position < 0:
		return o.Retries.NonOwnerTerms()
	}
	return o.Retries.OwnerTerms(instances, heard)
}

// Balancer holds the state of one service. Only one goroutine may use it.
type Balancer[E any, D detector.Policy[E], P picker.Policy, L limiter.Policy] struct {
	detector D
	picker   P
	limiter  L
	options  Options
	random   *rand.PCG
	turn     uint64

	service  declarer.Service
	revision uint64
	// classes has an entry for each class that is declared or has open requests, and for classes that
	// were, up to the largest number at a time. references and queues are indexed like classes; a queue
	// is divided by the ranks of customers. classPositions holds the index of each name.
	classes        []class
	classPositions map[string]int
	references     []detector.Reference
	queues         []*container.RankedQueue[string, descriptor.RequestID]
	queued         int
	// pooled is the service-time distribution over all short classes. It replaces the
	// distribution of a class with few observations.
	pooled detector.Reference
	// retries lists the requests that wait for another backend server.
	retries []descriptor.RequestID

	backends *container.Table[string, backend[E]]
	// preferred and lastResort hold the positions of backend servers with a free
	// slot. lastResort are those that are avoided or on trial.
	preferred, lastResort container.Positions
	// scratch holds the positions compared by one pick. It is kept to save
	// allocations.
	scratch []int
	// slots is the sum of the limits at the last refresh. unsuspected is the number
	// of ready backend servers with a share that were not avoided then.
	slots, unsuspected int
	requests           *container.Table[descriptor.RequestID, request]
	budget             retrier.Budget
	terms              retrier.Terms
	// heard is the share of the fleet that this instance hears of; see SetHeard.
	heard float64
	// listReceived is set once a list of backend servers was applied. Backend servers
	// that are new in later lists are taken as just started.
	listReceived bool

	// owners lists the owners of the service's slots. position is the index of this
	// instance in it, or -1 for a non-owner.
	owners   []descriptor.Member
	position int
	// gateways lists one owner of each other failure domain; see gatewaysOf.
	gateways []descriptor.Member
	// shareRetainedUntil is until when an instance that is no longer an owner keeps
	// its share. Zero means that it is an owner or no longer has a share.
	shareRetainedUntil time.Time

	ejections descriptor.Document
	proposal  proposal
	// storedEjections is the revision of the set of ejections that the store is known to hold.
	// It is older than that of ejections if the store was restored from an older copy, and then
	// rewriteEjections is set.
	storedEjections  uint64
	rewriteEjections bool
	// refusal is why the last proposed ejection was not written: "floor" or the result
	// of the write to the store. It is empty if there was no such reason.
	refusal string
	peers   map[string]peerEvidence
	crashes *quarantiner.Register
	// unanswered holds the latest attempts that ended without an answer.
	unanswered *container.Ring[unanswered]
	departed   *Departed
	// marks maps the mark of each backend server to its ID.
	marks map[uint64]string
	// unsentOutcomes holds the outcomes not yet sent to the other instances.
	unsentOutcomes *container.Table[string, descriptor.BackendOutcomes]
	outcomesSentAt time.Time
	// unsentUnserved counts the requests that ended without an answer and were not
	// yet reported to the other instances.
	unsentUnserved int
	// yield is the share of less urgent requests that is refused for more urgent ones, and
	// unsentRefusal the urgency of the most urgent request that was refused for lack of room and
	// not yet reported to the other instances, or nil.
	yield         limiter.Yield[descriptor.Urgency]
	unsentRefusal *descriptor.Urgency
	// recentOutcomes counts the latest outcomes at all instances.
	recentOutcomes window
	// lastPauseEnd is the end of the pause that ends last; see recordPause.
	lastPauseEnd time.Time
	// lastLimitAt is when a backend server last named a limit.
	lastLimitAt time.Time
	// spreading is set when too few of the probably healthy backend servers are in
	// use.
	spreading bool
	// repeatableShare is the moving average share of arrivals that may run twice.
	repeatableShare float64
	// crowded is set when most slots of the backend servers in use are taken.
	crowded bool
	// full is set when all of them are and requests wait at them.
	full bool
	// spreadThreshold is the estimated probability of serving a request from which a
	// backend server gets work to increase the number in use.
	spreadThreshold float64
	// suspicionsReceived is set once a suspicion list was applied since the start of
	// this instance.
	suspicionsReceived bool

	lastEvent        time.Time
	lastEvaluation   time.Time
	lastScan         time.Time
	lastEvidence     time.Time
	lastFullEvidence time.Time
	lastSlotDemandAt time.Time
	actions          []descriptor.Action
	ended            []Ended
	candidate        func(int) picker.Candidate
	now              time.Time
}

// class holds the state of one class of work.
type class struct {
	declared declarer.Class
	inFlight int
	// retired is set when the class is no longer declared.
	retired bool
}

// WithInFlight returns c with n more attempts in flight.
func (c class) WithInFlight(n int) class {
	c.inFlight += n
	return c
}

// WithDeclared returns c with its present declaration.
func (c class) WithDeclared(d declarer.Class) class {
	c.declared = d
	c.retired = false
	return c
}

// New returns a balancer without backend servers.
func New[E any, D detector.Policy[E], P picker.Policy, L limiter.Policy](s declarer.Service, o Options) *Balancer[E, D, P, L] {
	if o.Crashes == nil {
		o.Crashes = quarantiner.NewRegister()
	}
	if o.Departed == nil {
		o.Departed = NewDeparted()
	}
	b := &Balancer[E, D, P, L]{
		options:        o,
		random:         rand.NewPCG(o.Seed, o.Seed^0x9e3779b97f4a7c15),
		backends:       container.NewTable[string, backend[E]](),
		requests:       container.NewTable[descriptor.RequestID, request](),
		budget:         o.budget(),
		position:       -1,
		peers:          make(map[string]peerEvidence),
		unsentOutcomes: container.NewTable[string, descriptor.BackendOutcomes](),
		departed:       o.Departed,
		marks:          make(map[uint64]string),
		classPositions: make(map[string]int),
		crashes:        o.Crashes,
		unanswered:     container.NewRing[unanswered](maxUnanswered),
	}
	b.heard = 1
	b.updateTerms()
	b.candidate = func(i int) picker.Candidate { return b.candidateAt(&b.preferred, i) }
	b.Declare(s, 0)
	return b
}

// Declare applies a declaration. A class that is no longer declared takes no new
// requests but keeps its entry, so that positions of open requests don't change. A new class takes
// over such an entry if it has no open requests: names of classes may change without end.
func (b *Balancer[E, D, P, L]) Declare(s declarer.Service, revision uint64) {
	for c := range b.classes {
		b.classes[c].retired = true
	}
	var added []declarer.Class
	for _, declared := range s.Classes {
		c := b.classIndex(declared.Name)
		if c < 0 {
			added = append(added, declared)
			continue
		}
		b.classes[c] = b.classes[c].WithDeclared(declared)
	}
	b.addClasses(added)
	b.service = s
	b.revision = revision
}

// addClasses adds classes that are not known, in the entries of unused ones first.
func (b *Balancer[E, D, P, L]) addClasses(added []declarer.Class) {
	if len(added) == 0 {
		return
	}
	unused := b.unusedClasses()
	for _, declared := range added {
		c := len(b.classes)
		if len(unused) > 0 {
			c, unused = unused[0], unused[1:]
			delete(b.classPositions, b.classes[c].declared.Name)
		} else {
			b.classes = append(b.classes, class{})
			b.references = append(b.references, detector.Reference{})
			b.queues = append(b.queues, nil)
		}
		b.classPositions[declared.Name] = c
		b.classes[c] = class{}.WithDeclared(declared)
		b.references[c] = detector.Reference{}
		b.queues[c] = container.NewRankedQueue[string, descriptor.RequestID]()
	}
}

// unusedClasses returns the positions of the classes that are not declared and have no open requests.
func (b *Balancer[E, D, P, L]) unusedClasses() []int {
	open := make([]bool, len(b.classes))
	for _, r := range b.requests.All {
		open[r.class] = true
	}
	var unused []int
	for c := range b.classes {
		if b.classes[c].retired && !open[c] {
			unused = append(unused, c)
		}
	}
	return unused
}

// Takes reports whether the declaration in force has a class, so that new requests of it are
// taken.
func (b *Balancer[E, D, P, L]) Takes(class string) bool {
	c := b.classIndex(class)
	return c >= 0 && !b.classes[c].retired
}

// Service returns the declaration in force.
func (b *Balancer[E, D, P, L]) Service() declarer.Service { return b.service }

// Busy reports whether there are requests that have not ended.
func (b *Balancer[E, D, P, L]) Busy() bool { return b.requests.Len() > 0 }

// Open returns the number of requests that have not ended.
func (b *Balancer[E, D, P, L]) Open() int { return b.requests.Len() }

// Flush appends the actions and ended requests since the last call to the given
// slices. It reuses its own buffers.
func (b *Balancer[E, D, P, L]) Flush(actions []descriptor.Action, ended []Ended) ([]descriptor.Action, []Ended) {
	actions = append(actions, b.actions...)
	ended = append(ended, b.ended...)
	clear(b.actions)
	b.actions = b.actions[:0]
	b.ended = b.ended[:0]
	return actions, ended
}

func (b *Balancer[E, D, P, L]) emit(a descriptor.Action) { b.actions = append(b.actions, a) }

func (b *Balancer[E, D, P, L]) note(number int, subject, detail string) {
	b.emit(descriptor.Note{Number: number, Service: b.service.Name, Subject: subject, Detail: detail})
}

// advance sets the current time. A gap that can only come from a stopped process is
// not counted in the ages of open requests.
func (b *Balancer[E, D, P, L]) advance(now time.Time) {
	gap := now.Sub(b.lastEvent)
	if gap > pauseThreshold && !b.lastEvent.IsZero() && b.requests.Len() > 0 {
		b.shiftSentTimes(gap)
	}
	b.lastEvent = now
	b.now = now
}

func (b *Balancer[E, D, P, L]) shiftSentTimes(gap time.Duration) {
	for i := range b.requests.Len() {
		_, r := b.requests.At(i)
		for k := range r.count {
			if !r.attempts[k].sentAt.IsZero() {
				r = r.WithSentAt(k, r.attempts[k].sentAt.Add(gap))
			}
		}
		b.requests.SetAt(i, r)
	}
}

// end removes a request and records how it ended.
func (b *Balancer[E, D, P, L]) end(r request, reason descriptor.Reason, outcome descriptor.Outcome, bytes uint64) {
	b.requests.Delete(r.id)
	if r.queued {
		b.queued--
	}
	b.returnRetry(r)
	if b.options.PooledOutcomes && countsAsUnserved(reason) {
		b.recordUnserved()
	}
	b.ended = append(b.ended, Ended{
		Request: r.id,
		Label:   r.label,
		Class:   b.classes[r.class].declared.Name,
		Reason:  reason,
		Outcome: outcome,
		Bytes:   bytes,
		Latency: b.now.Sub(r.arrived),
	})
}

// refuse ends a request and reports the reason to its caller.
func (b *Balancer[E, D, P, L]) refuse(r request, reason descriptor.Reason, outcome descriptor.Outcome, retry time.Duration) {
	cause := reason.String() + " " + outcome.String()
	if reason == descriptor.Poisoned {
		cause += " " + fingerprintText(r.fingerprint)
	}
	b.trace(r, descriptor.NoteRefused, 0, "", cause, 0)
	b.emit(descriptor.Refuse{Request: r.id, Reason: reason, Outcome: outcome, Retry: retry})
	if r.callerGone {
		reason = descriptor.Abandoned
	}
	b.end(r, reason, outcome, 0)
}
