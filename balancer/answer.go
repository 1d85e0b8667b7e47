package balancer

import (
	"net/http"
	"time"

	"monsoonswitch/descriptor"
	"monsoonswitch/detector"
)

// crashWindow is the time within which broken connections of one backend server count
// as one breakdown.
const crashWindow = pauseThreshold * 4

// Sent records that a backend server has received the whole request.
func (b *Balancer[E, D, P, L]) Sent(e descriptor.Sent) {
	b.advance(e.At)
	r, i, ok := b.openAttempt(e.Request, e.Attempt)
	if ok && r.attempts[i].sentAt.IsZero() {
		b.requests.Put(r.id, r.WithSentAt(i, e.At))
	}
}

// openAttempt returns a request and the index of one of its open attempts. The last
// result reports whether both exist.
func (b *Balancer[E, D, P, L]) openAttempt(id descriptor.RequestID, a descriptor.AttemptID) (request, int, bool) {
	r, ok := b.requests.Get(id)
	if !ok {
		return r, -1, false
	}
	i := r.find(a)
	return r, i, i >= 0
}

// Answered handles the head of an answer. The first answer is delivered and the other
// attempts are cancelled. A server error is not delivered if the request has another
// open attempt or can be retried.
func (b *Balancer[E, D, P, L]) Answered(e descriptor.Answered) {
	b.advance(e.At)
	r, i, ok := b.openAttempt(e.Request, e.Attempt)
	if !ok || r.attempts[i].answered {
		return
	}
	b.recordAnswer(r, i, e)
	b.trace(r, descriptor.NoteAnswered, e.Attempt, r.attempts[i].backend, "", e.Status)
	if r.delivered != 0 {
		b.cancel(r, i)
		return
	}
	if e.Status >= http.StatusInternalServerError && b.retryAfterError(r, i) {
		return
	}
	r = r.WithAnswer(i).WithDelivery(e.Attempt, e.Status)
	r = b.cancelOthers(r, e.Attempt)
	b.requests.Put(r.id, r)
	if e.Status < http.StatusInternalServerError {
		if !b.options.PooledOutcomes {
			b.budget = b.budget.WithRequest(b.terms)
		}
		b.recordAnswered(r)
	}
	b.emit(descriptor.Deliver{Request: r.id, Attempt: e.Attempt})
}

// recordAnswer uses the head of an answer as evidence about its backend server.
func (b *Balancer[E, D, P, L]) recordAnswer(r request, i int, e descriptor.Answered) {
	a := r.attempts[i]
	p := b.backends.Position(a.backend)
	if p < 0 {
		return
	}
	_, s := b.backends.At(p)
	s = s.WithAnswer().WithLoad(e.Load, e.At)
	s = b.recordPause(s, e.Pause)
	s = b.recordLimit(s, e.Limit, a.sentAt)
	if e.Health == descriptor.HealthDraining {
		s = b.recordDraining(s)
	}
	if e.Health == descriptor.HealthCold {
		s.coldUntil = e.At.Add(coldTime)
	}
	failed := e.Status >= http.StatusInternalServerError
	s = b.observe(s, r.class, a, failed)
	b.putBackend(p, s)
}

// observe returns s with an answered or failed attempt as evidence for the detector.
// Successful answers of a cold backend server are not used as evidence. If outcomes are
// pooled, each attempt also updates the estimate, and a failure updates only that.
func (b *Balancer[E, D, P, L]) observe(s backend[E], c int, a attempt, failed bool) backend[E] {
	if b.options.PooledOutcomes {
		s = s.WithOutcome(b.now, failed, 0)
		b.recentOutcomes = b.recentOutcomes.WithOutcome(b.now, failed)
		b.queueOutcome(a.backend, failed)
		if failed {
			return s
		}
	}
	if b.now.Before(s.coldUntil) && !failed {
		return s
	}
	var age time.Duration
	if !a.sentAt.IsZero() {
		age = b.now.Sub(a.sentAt)
	}
	o := detector.Observation{Failed: failed, Tail: b.tail(c, age), Base: b.references[c].FailureRate()}
	s = s.WithEvidence(b.detector.Observe(s.evidence, o))
	if b.detector.Score(s.evidence) >= b.detector.AvoidLimit()/2 {
		return s
	}
	if failed {
		b.references[c] = b.references[c].WithFailure()
	} else if !a.sentAt.IsZero() {
		b.references[c] = b.references[c].WithDuration(age)
		b.addToPooled(c, age)
	}
	return s
}

// pooledTailFactor is how many times longer work of a class with few observations may
// take than work of the other short classes.
const pooledTailFactor = 3

// addToPooled adds an answer to the service-time distribution over all short classes.
func (b *Balancer[E, D, P, L]) addToPooled(c int, age time.Duration) {
	if !b.classes[c].declared.Long {
		b.pooled = b.pooled.WithDuration(age)
	}
}

// tail returns the probability that a healthy backend server takes longer than age
// for work of class c.
func (b *Balancer[E, D, P, L]) tail(c int, age time.Duration) float64 {
	declared := b.classes[c].declared
	if !b.references[c].Known() && !declared.Long && b.pooled.Known() {
		return b.pooled.Tail(age/pooledTailFactor, declared.Target)
	}
	return b.references[c].Tail(age, declared.Target)
}

// recordDraining returns s after it announced in an answer that it is leaving. If outcomes
// are pooled, the incarnation never returns, and the other instances learn of it with the
// outcomes. Otherwise the announcement has to be repeated within drainTime.
func (b *Balancer[E, D, P, L]) recordDraining(s backend[E]) backend[E] {
	if !b.options.PooledOutcomes {
		return b.markDraining(s)
	}
	if leaving, _ := b.departed.Get(descriptor.MarkOf(s.listed.ID)); !leaving {
		b.note(descriptor.NoteDrain, s.listed.ID, "announced in an answer")
		b.queueLeaving(s.listed.ID)
	}
	return b.withAnnouncedLeaving(s)
}

// withAnnouncedLeaving returns s leaving for good.
func (b *Balancer[E, D, P, L]) withAnnouncedLeaving(s backend[E]) backend[E] {
	b.departed.Put(descriptor.MarkOf(s.listed.ID), true)
	listed := s.listed
	listed.Leaving = true
	s.announced = true
	return s.WithListed(listed).WithMode(modeLeaving)
}

// learnLeaving handles the report of another instance that a backend server announced that
// it is leaving. The report may arrive before the list that names the backend server.
func (b *Balancer[E, D, P, L]) learnLeaving(mark uint64) {
	b.departed.Put(mark, true)
	if p := b.backends.Position(b.marks[mark]); p >= 0 {
		_, s := b.backends.At(p)
		b.putBackend(p, b.withAnnouncedLeaving(s))
	}
}

// markDraining returns s after it announced that it is leaving or the wrong backend
// server answered at its address, and notifies the other owners.
func (b *Balancer[E, D, P, L]) markDraining(s backend[E]) backend[E] {
	if s.mode != modeLeaving {
		b.note(descriptor.NoteDrain, s.listed.ID, "announced in an answer, or the wrong backend server answered")
		b.sendToOwners(descriptor.Drain{Service: b.service.Name, Backend: s.listed.ID})
	}
	return s.WithDrain(b.now)
}

// cancelOthers cancels all open attempts of r except keep.
func (b *Balancer[E, D, P, L]) cancelOthers(r request, keep descriptor.AttemptID) request {
	for i := r.count - 1; i >= 0; i-- {
		if r.attempts[i].id != keep {
			b.trace(r, descriptor.NoteCancelled, r.attempts[i].id, r.attempts[i].backend, "", 0)
			b.emit(descriptor.Cancel{Request: r.id, Attempt: r.attempts[i].id})
			b.abandonAttempt(r, i)
			r = r.WithoutAttempt(i)
		}
	}
	return r
}

// cancel cancels the open attempt of r at index i.
func (b *Balancer[E, D, P, L]) cancel(r request, i int) {
	b.emit(descriptor.Cancel{Request: r.id, Attempt: r.attempts[i].id})
	b.release(r, i)
	b.requests.Put(r.id, r.WithoutAttempt(i))
	b.startQueued()
}

// abandonAttempt releases the slot of an attempt that is abandoned while open, and
// uses its age as evidence.
func (b *Balancer[E, D, P, L]) abandonAttempt(r request, i int) {
	a := r.attempts[i]
	if !a.answered {
		b.rememberUnanswered(r, a)
	}
	p := b.backends.Position(a.backend)
	if p >= 0 && !a.answered && !a.sentAt.IsZero() {
		_, s := b.backends.At(p)
		o := detector.Observation{
			Late: true,
			Tail: b.tail(r.class, b.now.Sub(a.sentAt)),
			Base: b.references[r.class].FailureRate(),
		}
		if !b.now.Before(s.coldUntil) {
			b.backends.SetAt(p, s.WithEvidence(b.detector.Observe(s.evidence, o)))
		}
	}
	b.release(r, i)
}

// release frees the slot of an attempt.
func (b *Balancer[E, D, P, L]) release(r request, i int) {
	b.classes[r.class] = b.classes[r.class].WithInFlight(-1)
	p := b.backends.Position(r.attempts[i].backend)
	if p < 0 {
		return
	}
	_, s := b.backends.At(p)
	s = s.WithEnd(b.classes[r.class].declared.Long)
	if s.inFlight == 0 && s.delisted {
		b.remove(s.listed.ID)
		return
	}
	b.putBackend(p, s)
}

// Finished records that the whole answer reached the caller.
func (b *Balancer[E, D, P, L]) Finished(e descriptor.Finished) {
	b.advance(e.At)
	r, i, ok := b.openAttempt(e.Request, e.Attempt)
	if !ok {
		return
	}
	b.release(r, i)
	r = r.WithoutAttempt(i)
	reason := descriptor.Served
	if r.callerGone {
		reason = descriptor.Abandoned
	}
	b.end(r, reason, descriptor.Ran, e.Bytes)
	b.startQueued()
}

// Gone handles a caller that disconnected. Work that is idempotent or has not started is
// abandoned, and so is an answer that has begun, which shows that the work ran. Other work
// runs on so that its outcome is known.
func (b *Balancer[E, D, P, L]) Gone(e descriptor.CallerGone) {
	b.advance(e.At)
	r, ok := b.requests.Get(e.Request)
	if !ok {
		return
	}
	if r.count > 0 && r.delivered == 0 && !b.classes[r.class].declared.Idempotent {
		b.requests.Put(r.id, r.WithCallerGone())
		return
	}
	outcome := r.outcome()
	if r.delivered != 0 {
		outcome = descriptor.Ran
	}
	b.refuse(b.cancelOthers(r, 0), descriptor.Abandoned, outcome, 0)
	b.startQueued()
}
