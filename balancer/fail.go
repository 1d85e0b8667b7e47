package balancer

import (
	"time"

	"monsoonswitch/descriptor"
	"monsoonswitch/retrier"
)

// Failed handles an attempt that ended without a complete answer.
func (b *Balancer[E, D, P, L]) Failed(e descriptor.Failed) {
	b.advance(e.At)
	r, i, ok := b.openAttempt(e.Request, e.Attempt)
	if !ok {
		return
	}
	if r.content == 0 {
		r.content = e.Content
	}
	b.recordFailure(r, i, e)
	a := r.attempts[i]
	b.trace(r, descriptor.NoteAttemptFailed, a.id, a.backend, e.Fault.String(), 0)
	b.release(r, i)
	r = r.WithoutAttempt(i)
	ran := e.Fault.MayHaveRun()
	if ran {
		r = r.WithMayHaveRun()
	} else {
		r = r.WithNotRun()
	}
	b.requests.Put(r.id, r)
	b.continueAfterFailure(r, a, e, ran)
	b.startQueued()
}

// continueAfterFailure decides how a request goes on after a failed attempt.
func (b *Balancer[E, D, P, L]) continueAfterFailure(r request, a attempt, e descriptor.Failed, ran bool) {
	if r.delivered == a.id {
		b.refuse(r, descriptor.AnswerCut, descriptor.Ran, 0)
		return
	}
	if r.count > 0 {
		return
	}
	if e.Fault == descriptor.FaultRequestBody || e.Fault == descriptor.FaultWithdrawn || r.callerGone {
		b.refuse(r, descriptor.Abandoned, r.outcome(), 0)
		return
	}
	if b.mayRetry(r, e, ran) {
		b.retry(r)
		return
	}
	reason := descriptor.BackendFailed
	switch {
	case b.poisoned(r.fingerprint, r.content):
		reason = descriptor.Poisoned
	case e.Fault == descriptor.FaultShed || e.Fault == descriptor.FaultWrongBackend:
		reason = descriptor.Overloaded
	}
	b.refuse(r, reason, r.outcome(), b.waitHint())
}

// mayRetry reports whether a request may be sent to another backend server.
// Non-idempotent work may only if it is known not to have run.
func (b *Balancer[E, D, P, L]) mayRetry(r request, e descriptor.Failed, ran bool) bool {
	if b.exhausted(r) || b.backends.Len() <= int(r.last) || b.poisoned(r.fingerprint, r.content) {
		return false
	}
	if !r.replayable && !e.BodyReplayable {
		return false
	}
	if ran && !b.repeatable(r) {
		return false
	}
	if e.Fault == descriptor.FaultConnect {
		b.returnRetry(r)
		return true
	}
	return r.reserved || b.spendRetry()
}

// exhausted reports whether a request was sent to as many backend servers as allowed.
func (b *Balancer[E, D, P, L]) exhausted(r request) bool {
	return int(r.last) >= retrier.MaxTries || int(r.last)-r.notRun >= b.attemptLimit(r)
}

// attemptLimit returns how many attempts of a request may have run.
func (b *Balancer[E, D, P, L]) attemptLimit(r request) int {
	if n := b.classes[r.class].declared.Attempts; n > 0 {
		return min(n, retrier.MaxAttempts)
	}
	return retrier.MaxAttempts
}

// spendRetry takes one retry from the budget and reports whether there was one.
func (b *Balancer[E, D, P, L]) spendRetry() bool {
	draw := 1.0
	if b.terms.Decay > 0 {
		draw = b.draw()
	}
	var ok bool
	b.budget, ok = b.budget.WithRetry(b.terms, draw)
	return ok
}

// draw returns a random number from 0 to 1.
func (b *Balancer[E, D, P, L]) draw() float64 { return float64(b.random.Uint64()>>11) / (1 << 53) }

// returnRetry adds the retry that is reserved for r to the budget again.
func (b *Balancer[E, D, P, L]) returnRetry(r request) {
	if r.reserved {
		b.budget = b.budget.WithReturned(b.terms)
	}
}

// retryAfterError cancels an attempt that was answered with a server error if the
// request has another open attempt or can be retried, and in the latter case retries
// it. It reports whether the attempt was cancelled.
func (b *Balancer[E, D, P, L]) retryAfterError(r request, i int) bool {
	failed := descriptor.Failed{Fault: descriptor.FaultStatus}
	if r.count > 1 {
		b.cancel(r.WithMayHaveRun(), i)
		return true
	}
	if !b.mayRetry(r, failed, true) {
		return false
	}
	b.emit(descriptor.Cancel{Request: r.id, Attempt: r.attempts[i].id})
	b.release(r, i)
	b.retry(r.WithoutAttempt(i).WithMayHaveRun())
	b.startQueued()
	return true
}

// retry starts another attempt, or queues the request until a backend server not yet
// tried has a free slot.
func (b *Balancer[E, D, P, L]) retry(r request) {
	r = r.WithReserved(false)
	b.requests.Put(r.id, r)
	if b.start(r) {
		return
	}
	expires := b.now.Add(b.limiter.MaxWait(b.queueState(r.level())) / 2)
	if !r.deadline.IsZero() && r.deadline.Before(expires) {
		expires = r.deadline
	}
	if wait, ok := b.turnedAwayBeyond(r.level(), expires); ok {
		b.refuse(r, descriptor.Overloaded, r.outcome(), wait)
		return
	}
	b.requests.Put(r.id, r.WithQueued(expires))
	b.queued++
	b.retries = append(b.retries, r.id)
}

// recordFailure uses a failed attempt as evidence about its backend server.
func (b *Balancer[E, D, P, L]) recordFailure(r request, i int, e descriptor.Failed) {
	a := r.attempts[i]
	p := b.backends.Position(a.backend)
	if p < 0 {
		return
	}
	_, s := b.backends.At(p)
	s = b.recordPause(s, e.Pause)
	if e.Health == descriptor.HealthDraining {
		s = b.recordDraining(s)
	}
	switch e.Fault {
	case descriptor.FaultConnect:
		s = b.refusedConnection(s)
	case descriptor.FaultWrongBackend:
		s = b.markDraining(s)
	case descriptor.FaultShed:
		s = b.shed(s, a, e)
	case descriptor.FaultBroken:
		s = b.recordBrokenConnection(s, r, a)
	case descriptor.FaultTruncated:
		b.rememberUnanswered(r, a)
		s = b.observe(s, r.class, a, true)
	case descriptor.FaultStatus:
		s = s.WithLoad(e.Load, e.At)
		s = b.recordLimit(s, e.Limit, a.sentAt)
		s = b.observe(s, r.class, a, true)
	}
	b.putBackend(p, s)
}

// shed handles work that a backend server refused. If outcomes are pooled, a refusal
// with free slots by its own report is a failure. Otherwise the backend server is
// taken to be full.
func (b *Balancer[E, D, P, L]) shed(s backend[E], a attempt, e descriptor.Failed) backend[E] {
	s = s.WithLoad(e.Load, e.At)
	s = b.recordLimit(s, e.Limit, a.sentAt)
	if e.Pause > 0 || e.Health == descriptor.HealthDraining {
		// It turns work away on purpose, which is no sign of a fault.
		return s
	}
	if b.options.PooledOutcomes && !reportsFull(e.Load) {
		b.queueOutcome(s.listed.ID, true)
		return s.WithOutcome(b.now, true, shedFailureBase)
	}
	return s.WithShed()
}

// shedFailureBase is the share of refusals expected of a healthy backend server with
// free slots. It makes a refusal weaker evidence than a failure.
const shedFailureBase = 0.4

func (b *Balancer[E, D, P, L]) refusedConnection(s backend[E]) backend[E] {
	if s.mode == modeReady || s.mode == modeTrial {
		b.note(descriptor.NoteDown, s.listed.ID, "refused a connection")
		s = s.WithDown(b.now)
	}
	return s
}

// recordBrokenConnection handles a connection that broke before an answer, possibly
// because the request crashed the backend server. Connections that break together
// count as one failure. None is counted if the request broke connections of another
// backend server before.
func (b *Balancer[E, D, P, L]) recordBrokenConnection(s backend[E], r request, a attempt) backend[E] {
	newBreakdown := b.now.Sub(s.breakdownAt) > crashWindow || b.now.Before(s.verifiedUpUntil)
	knownCrasher := b.crashedElsewhere(r, a.backend)
	b.recordCrash(r, a.backend)
	if newBreakdown {
		b.emit(descriptor.Probe{Service: b.service.Name, Backend: s.listed, Suspected: true})
	}
	if newBreakdown && !knownCrasher {
		s = b.observe(s, r.class, a, true)
	}
	if newBreakdown {
		s.breakdownAt = b.now
	}
	return s
}

// verifiedUpTime is how long after a successful probe each broken connection counts
// separately, because the backend server breaks connections without crashing.
const verifiedUpTime = 10 * time.Second

// Probed handles the result of a probe of a backend server.
func (b *Balancer[E, D, P, L]) Probed(e descriptor.Probed) {
	b.advance(e.At)
	p := b.backends.Position(e.Backend)
	if p < 0 {
		return
	}
	_, s := b.backends.At(p)
	switch {
	case e.Alive && s.mode == modeDown:
		s = s.WithUp(e.At)
		b.note(descriptor.NoteUp, e.Backend, "accepts connections")
	case e.Alive && e.Suspected:
		b.withdrawCrashes(e.Backend)
		s.verifiedUpUntil = e.At.Add(verifiedUpTime)
	case e.Alive:
	default:
		if s.mode != modeDown {
			b.note(descriptor.NoteDown, e.Backend, "refused a probe")
		}
		s = s.WithDown(e.At)
	}
	b.putBackend(p, s)
	b.startQueued()
}
