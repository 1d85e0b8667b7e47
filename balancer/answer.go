package balancer

import (
	"net/http"
	"time"

	"monsoonswitch/descriptor"
	"monsoonswitch/detector"
)

// crashWindow is the time in which broken connections of one backend server
// count as one breakdown.
const crashWindow = pauseLimit * 4

// Sent takes note that a backend server has the whole request.
func (b *Balancer[E, D, P, L]) Sent(e descriptor.Sent) {
	b.advance(e.At)
	r, i, ok := b.open(e.Request, e.Attempt)
	if ok && r.attempts[i].clock.IsZero() {
		b.requests.Put(r.id, r.WithClock(i, e.At))
	}
}

// open returns a request and the index of its open attempt.
func (b *Balancer[E, D, P, L]) open(id descriptor.RequestID, a descriptor.AttemptID) (request, int, bool) {
	r, ok := b.requests.Get(id)
	if !ok {
		return r, -1, false
	}
	i := r.find(a)
	return r, i, i >= 0
}

// Answered takes in the head of an answer: the first one is delivered, later
// ones are cancelled.
func (b *Balancer[E, D, P, L]) Answered(e descriptor.Answered) {
	b.advance(e.At)
	r, i, ok := b.open(e.Request, e.Attempt)
	if !ok || r.attempts[i].answered {
		return
	}
	b.learn(r, i, e)
	b.trace(r, descriptor.NoteAnswered, e.Attempt, r.attempts[i].backend, "", e.Status)
	if r.delivered != 0 {
		b.cancel(r, i)
		return
	}
	if e.Status >= http.StatusInternalServerError && b.resend(r, i) {
		return
	}
	r = r.WithAnswer(i).WithDelivery(e.Attempt, e.Status)
	r = b.cancelOthers(r, e.Attempt)
	b.requests.Put(r.id, r)
	if e.Status < http.StatusInternalServerError {
		if !b.options.Guests {
			b.budget = b.budget.WithRequest(b.terms)
		}
		b.clearCrash(r.fingerprint)
	}
	b.emit(descriptor.Deliver{Request: r.id, Attempt: e.Attempt})
}

// learn takes the head of an answer as evidence.
func (b *Balancer[E, D, P, L]) learn(r request, i int, e descriptor.Answered) {
	a := r.attempts[i]
	p := b.backends.Position(a.backend)
	if p < 0 {
		return
	}
	_, s := b.backends.At(p)
	s = s.WithAnswer().WithLoad(e.Load, e.At)
	if e.Health == descriptor.HealthDraining {
		s = b.drained(s)
	}
	if e.Health == descriptor.HealthCold {
		s.coldUntil = e.At.Add(coldTime)
	}
	failed := e.Status >= http.StatusInternalServerError
	s = b.observe(s, r.class, a, failed)
	b.place(p, s)
}

// observe returns s with an ended attempt as evidence. Answers of a backend
// server that started lately are no evidence.
func (b *Balancer[E, D, P, L]) observe(s backend[E], c int, a attempt, failed bool) backend[E] {
	if b.options.Guests {
		s = s.WithOutcome(b.now, failed, 0)
		b.recent = b.recent.WithOutcome(b.now, failed)
		b.noteOutcome(a.backend, failed)
		if failed {
			return s
		}
	}
	if b.now.Before(s.coldUntil) && !failed {
		return s
	}
	var age time.Duration
	if !a.clock.IsZero() {
		age = b.now.Sub(a.clock)
	}
	o := detector.Observation{Failed: failed, Tail: b.tail(c, age), Base: b.references[c].FailureRate()}
	s = s.WithEvidence(b.detector.Observe(s.evidence, o))
	if b.detector.Score(s.evidence) >= b.detector.Caution()/2 {
		return s
	}
	if failed {
		b.references[c] = b.references[c].WithFailure()
	} else if !a.clock.IsZero() {
		b.references[c] = b.references[c].WithDuration(age)
		b.pool(c, age)
	}
	return s
}

// poolFactor is how many times longer work of a little known class may take than
// that of the other short classes.
const poolFactor = 3

// pool adds an answer to the distribution over all short classes.
func (b *Balancer[E, D, P, L]) pool(c int, age time.Duration) {
	if !b.classes[c].declared.Long {
		b.pooled = b.pooled.WithDuration(age)
	}
}

// tail returns the probability that a healthy backend server takes longer than
// age for work of a class.
func (b *Balancer[E, D, P, L]) tail(c int, age time.Duration) float64 {
	declared := b.classes[c].declared
	if !b.references[c].Known() && !declared.Long && b.pooled.Known() {
		return b.pooled.Tail(age/poolFactor, declared.Target)
	}
	return b.references[c].Tail(age, declared.Target)
}

// drained returns s after it announced its leaving, and tells the other
// serving instances.
func (b *Balancer[E, D, P, L]) drained(s backend[E]) backend[E] {
	if s.mode != modeLeaving {
		b.note(descriptor.NoteDrain, s.listed.ID, "announced in an answer")
		b.tell(descriptor.Drain{Service: b.service.Name, Backend: s.listed.ID})
	}
	return s.WithDrain(b.now)
}

// cancelOthers cancels all open attempts of r but keep.
func (b *Balancer[E, D, P, L]) cancelOthers(r request, keep descriptor.AttemptID) request {
	for i := r.count - 1; i >= 0; i-- {
		if r.attempts[i].id != keep {
			b.trace(r, descriptor.NoteCancelled, r.attempts[i].id, r.attempts[i].backend, "", 0)
			b.emit(descriptor.Cancel{Request: r.id, Attempt: r.attempts[i].id})
			b.lose(r, i)
			r = r.WithoutAttempt(i)
		}
	}
	return r
}

// cancel ends one open attempt of r.
func (b *Balancer[E, D, P, L]) cancel(r request, i int) {
	b.emit(descriptor.Cancel{Request: r.id, Attempt: r.attempts[i].id})
	b.release(r, i)
	b.requests.Put(r.id, r.WithoutAttempt(i))
	b.pump()
}

// lose releases the slot of an attempt that is given up while it is open, and
// takes its age as evidence.
func (b *Balancer[E, D, P, L]) lose(r request, i int) {
	a := r.attempts[i]
	p := b.backends.Position(a.backend)
	if p >= 0 && !a.answered && !a.clock.IsZero() {
		_, s := b.backends.At(p)
		o := detector.Observation{
			Late: true,
			Tail: b.tail(r.class, b.now.Sub(a.clock)),
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
	if s.inFlight == 0 && s.mode == modeLeaving && !b.isListed(s.listed.ID) {
		b.remove(s.listed.ID)
		return
	}
	b.place(p, s)
}

// Finished takes in that the whole answer reached the caller.
func (b *Balancer[E, D, P, L]) Finished(e descriptor.Finished) {
	b.advance(e.At)
	r, i, ok := b.open(e.Request, e.Attempt)
	if !ok {
		return
	}
	b.release(r, i)
	r = r.WithoutAttempt(i)
	reason := descriptor.Served
	if r.gone {
		reason = descriptor.Abandoned
	}
	b.end(r, reason, descriptor.Ran, e.Bytes)
	b.pump()
}

// Gone takes in that the caller left. Work that may run twice or has not
// started is given up; other work runs on so that its end is known.
func (b *Balancer[E, D, P, L]) Gone(e descriptor.Gone) {
	b.advance(e.At)
	r, ok := b.requests.Get(e.Request)
	if !ok {
		return
	}
	if r.count > 0 && !b.classes[r.class].declared.Idempotent {
		b.requests.Put(r.id, r.WithGone())
		return
	}
	outcome := r.outcome()
	if r.delivered != 0 {
		outcome = descriptor.Ran
	}
	b.refuse(b.cancelOthers(r, 0), descriptor.Abandoned, outcome, 0)
	b.pump()
}
