// Package balancer decides what happens to the requests of one service at one
// instance: admission, order, choice of backend server, retries and hedges,
// ejection, drain and poisonous requests. It does no I/O and reads no clock.
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
	"monsoonswitch/retrier"
)

const (
	// maxQueued bounds the queued requests of a service at one instance.
	maxQueued = 8192
	// maxDeparted is the number of leaving backend servers remembered in one
	// generation.
	maxDeparted = 4096
	// pauseLimit is the time between two events of a busy service from which
	// on this process must have been stopped in between.
	pauseLimit = 250 * time.Millisecond
)

// Ended is the end of a request, for tallies and idempotency keys.
type Ended struct {
	Request descriptor.RequestID
	Label   string
	Class   string
	Reason  descriptor.Reason
	Outcome descriptor.Outcome
	Bytes   uint64
	Latency time.Duration
}

// Options are the constant parts of a balancer.
type Options struct {
	// Self is the ID of this instance.
	Self string
	// Domain is the failure domain of this instance.
	Domain string
	// Seed makes the choices of a balancer repeatable.
	Seed uint64
	// NextWrite returns an unused write ID.
	NextWrite func() descriptor.WriteID
	// Guests tells that instances that do not share the slots of the service
	// serve it too. Outcomes of work are pooled then, and decide the placement.
	Guests bool
	// Retries bounds what all instances together send again, under Guests.
	Retries retrier.Bounds
}

// budget returns the budget for retries of an instance that starts.
func (o Options) budget() retrier.Budget {
	if o.Guests {
		return retrier.NewEmptyBudget()
	}
	return retrier.NewBudget(retrier.Standard())
}

// terms returns how the budget for retries grows at one of a number of serving
// instances; position is -1 for a guest.
func (o Options) terms(instances, position int) retrier.Terms {
	switch {
	case !o.Guests:
		return retrier.Standard()
	case position < 0:
		return o.Retries.Guest()
	}
	return o.Retries.Part(instances)
}

// Balancer holds the state of one service. It belongs to one goroutine.
type Balancer[E any, D detector.Policy[E], P picker.Policy, L limiter.Policy] struct {
	detector D
	picker   P
	limiter  L
	options  Options
	random   *rand.PCG
	turn     uint64

	service  declarer.Service
	revision uint64
	// classes has an entry for each class that was ever declared; references
	// and queues have one for each entry of classes.
	classes    []class
	references []detector.Reference
	queues     []*container.Fair[string, descriptor.RequestID]
	queued     int
	// pooled is the distribution over all short classes; it stands in for a
	// class with few observations.
	pooled detector.Reference
	// retries lists requests that wait for another backend server.
	retries []descriptor.RequestID

	backends *container.Table[string, backend[E]]
	// preferred and wary hold the positions of backend servers with a free
	// slot; wary are those used only if there is no other way.
	preferred, wary container.Positions
	// scratch holds the positions that one pick compares.
	scratch []int
	// slots is the sum of the limits at the last refresh; trusted is the number
	// of healthy backend servers that are not suspected.
	slots, trusted int
	requests       *container.Table[descriptor.RequestID, request]
	budget         retrier.Budget
	terms          retrier.Terms
	listed         bool

	// serving lists the instances that serve the service; position is this
	// instance's place in it or -1.
	serving  []descriptor.Member
	position int
	// fadeUntil is until when an instance that is no longer chosen goes on
	// with its part; zero means that it is chosen or has stopped.
	fadeUntil time.Time

	ejections descriptor.Document
	proposal  proposal
	refusal   string
	peers     map[string]peerEvidence
	crashes   *container.Generations[uint64, crash]
	// departed holds the incarnations that were once listed as leaving.
	departed *container.Generations[string, bool]
	// untold holds the outcomes that the other instances were not told yet.
	untold *container.Table[string, descriptor.BackendOutcomes]
	toldAt time.Time
	// unserved counts the requests that ended without an answer and that the other
	// instances were not told of yet.
	unserved int
	// recent are the outcomes at all instances.
	recent window
	// spreading tells that too few of the backend servers that may be sound are in
	// use.
	spreading bool
	// repeated is the moving share of arrivals that may run twice.
	repeated float64
	// crowded tells that most slots of the backend servers in use are taken.
	crowded bool
	// spreadFrom is the trust from which one gets work that is spread.
	spreadFrom float64
	// heardAll tells that a bulletin was taken over since this instance began.
	heardAll bool

	lastEvent    time.Time
	lastJudged   time.Time
	lastEvidence time.Time
	lastFull     time.Time
	lastDemand   time.Time
	actions      []descriptor.Action
	ended        []Ended
	candidate    func(int) picker.Candidate
	now          time.Time
}

// class is the record of one class of work.
type class struct {
	declared declarer.Class
	inFlight int
	// retired tells that the class is no longer declared.
	retired bool
}

// WithInFlight returns c with n more attempts in flight.
func (c class) WithInFlight(n int) class {
	c.inFlight += n
	return c
}

// WithDeclared returns c as declared now.
func (c class) WithDeclared(d declarer.Class) class {
	c.declared = d
	c.retired = false
	return c
}

// New returns a balancer without backend servers.
func New[E any, D detector.Policy[E], P picker.Policy, L limiter.Policy](s declarer.Service, o Options) *Balancer[E, D, P, L] {
	b := &Balancer[E, D, P, L]{
		options:  o,
		random:   rand.NewPCG(o.Seed, o.Seed^0x9e3779b97f4a7c15),
		backends: container.NewTable[string, backend[E]](),
		requests: container.NewTable[descriptor.RequestID, request](),
		budget:   o.budget(),
		position: -1,
		peers:    make(map[string]peerEvidence),
		untold:   container.NewTable[string, descriptor.BackendOutcomes](),
		departed: container.NewGenerations[string, bool](maxDeparted),
		crashes:  container.NewGenerations[uint64, crash](maxCrashes),
	}
	b.terms = o.terms(0, -1)
	b.candidate = func(i int) picker.Candidate { return b.candidateAt(&b.preferred, i) }
	b.Declare(s, 0)
	return b
}

// Declare puts a declaration in force. A class that is no longer declared takes
// no new requests and stays for those it has, so positions never change.
func (b *Balancer[E, D, P, L]) Declare(s declarer.Service, revision uint64) {
	for c := range b.classes {
		_, ok := s.Class(b.classes[c].declared.Name)
		b.classes[c].retired = !ok
	}
	for _, declared := range s.Classes {
		c := b.classIndex(declared.Name)
		if c < 0 {
			c = len(b.classes)
			b.classes = append(b.classes, class{})
			b.references = append(b.references, detector.Reference{})
			b.queues = append(b.queues, container.NewFair[string, descriptor.RequestID]())
		}
		b.classes[c] = b.classes[c].WithDeclared(declared)
	}
	b.service = s
	b.revision = revision
}

// Service returns the declaration in force.
func (b *Balancer[E, D, P, L]) Service() declarer.Service { return b.service }

// Busy tells whether there are requests that have not ended.
func (b *Balancer[E, D, P, L]) Busy() bool { return b.requests.Len() > 0 }

// Open returns the number of requests that have not ended.
func (b *Balancer[E, D, P, L]) Open() int { return b.requests.Len() }

// Flush appends the actions and ends since the last call to the given slices
// and keeps its own buffers.
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

// advance sets the present time. A gap that only a stopped process explains is
// taken out of the ages of open requests.
func (b *Balancer[E, D, P, L]) advance(now time.Time) {
	gap := now.Sub(b.lastEvent)
	if gap > pauseLimit && !b.lastEvent.IsZero() && b.requests.Len() > 0 {
		b.shiftClocks(gap)
	}
	b.lastEvent = now
	b.now = now
}

func (b *Balancer[E, D, P, L]) shiftClocks(gap time.Duration) {
	for i := range b.requests.Len() {
		_, r := b.requests.At(i)
		for k := range r.count {
			if !r.attempts[k].clock.IsZero() {
				r = r.WithClock(k, r.attempts[k].clock.Add(gap))
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
	if b.options.Guests && unserved(reason) {
		b.noteUnserved()
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

// refuse ends a request and tells its caller why.
func (b *Balancer[E, D, P, L]) refuse(r request, reason descriptor.Reason, outcome descriptor.Outcome, retry time.Duration) {
	b.trace(r, descriptor.NoteRefused, 0, "", reason.String()+" "+outcome.String(), 0)
	b.emit(descriptor.Refuse{Request: r.id, Reason: reason, Outcome: outcome, Retry: retry})
	if r.gone {
		reason = descriptor.Abandoned
	}
	b.end(r, reason, outcome, 0)
}
