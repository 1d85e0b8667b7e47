package balancer

import (
	"time"

	"monsoonswitch/descriptor"
	"monsoonswitch/retrier"
)

// Failed takes in that an attempt ended without a whole answer.
func (b *Balancer[E, D, P, L]) Failed(e descriptor.Failed) {
	b.advance(e.At)
	r, i, ok := b.open(e.Request, e.Attempt)
	if !ok {
		return
	}
	b.blame(r, i, e)
	a := r.attempts[i]
	b.trace(r, descriptor.NoteAttemptFailed, a.id, a.backend, e.Fault.String(), 0)
	b.release(r, i)
	r = r.WithoutAttempt(i)
	ran := e.Fault != descriptor.FaultConnect && e.Fault != descriptor.FaultShed && e.Fault != descriptor.FaultForeign
	if ran {
		r = r.WithUncertainty()
	} else {
		r = r.WithoutRun()
	}
	b.requests.Put(r.id, r)
	b.recover(r, a, e, ran)
	b.pump()
}

// recover decides how a request goes on after a failed attempt.
func (b *Balancer[E, D, P, L]) recover(r request, a attempt, e descriptor.Failed, ran bool) {
	if r.delivered == a.id {
		b.refuse(r, descriptor.AnswerCut, descriptor.Ran, 0)
		return
	}
	if r.count > 0 {
		return
	}
	if e.Fault == descriptor.FaultSource || r.gone {
		b.refuse(r, descriptor.Abandoned, r.outcome(), 0)
		return
	}
	if b.mayRetry(r, e, ran) {
		b.retry(r)
		return
	}
	reason := descriptor.BackendFailed
	if ran && b.poisoned(r.fingerprint) {
		reason = descriptor.Poisoned
	}
	if e.Fault == descriptor.FaultShed || e.Fault == descriptor.FaultForeign {
		reason = descriptor.Overloaded
	}
	b.refuse(r, reason, r.outcome(), retryAfter)
}

// mayRetry tells whether a request may be sent to another backend server.
// Non-idempotent work needs proof that it did not run.
func (b *Balancer[E, D, P, L]) mayRetry(r request, e descriptor.Failed, ran bool) bool {
	if b.exhausted(r) || b.backends.Len() <= int(r.last) {
		return false
	}
	if !r.replayable && !e.Untouched {
		return false
	}
	if ran && (!b.classes[r.class].declared.Idempotent || !r.replayable || b.poisoned(r.fingerprint)) {
		return false
	}
	if e.Fault == descriptor.FaultConnect {
		return true
	}
	return b.spend()
}

// exhausted tells whether a request was sent to as many backend servers as it may.
func (b *Balancer[E, D, P, L]) exhausted(r request) bool {
	return int(r.last) >= retrier.MaxTries || int(r.last)-r.unrun >= b.attemptLimit(r)
}

// attemptLimit returns how many backend servers a request may be sent to.
func (b *Balancer[E, D, P, L]) attemptLimit(r request) int {
	if n := b.classes[r.class].declared.Attempts; n > 0 {
		return min(n, retrier.MaxAttempts)
	}
	return retrier.MaxAttempts
}

// spend takes one retry out of the budget.
func (b *Balancer[E, D, P, L]) spend() bool {
	var ok bool
	b.budget, ok = b.budget.WithRetry()
	return ok
}

// resend gives up an answered attempt with a server error in favour of another
// backend server, if the request may be sent again.
func (b *Balancer[E, D, P, L]) resend(r request, i int) bool {
	failed := descriptor.Failed{Fault: descriptor.FaultStatus}
	if r.count > 1 {
		b.cancel(r.WithUncertainty(), i)
		return true
	}
	if !b.mayRetry(r, failed, true) {
		return false
	}
	b.emit(descriptor.Cancel{Request: r.id, Attempt: r.attempts[i].id})
	b.release(r, i)
	b.retry(r.WithoutAttempt(i).WithUncertainty())
	b.pump()
	return true
}

// retry starts another attempt or waits for a backend server not yet tried.
func (b *Balancer[E, D, P, L]) retry(r request) {
	b.requests.Put(r.id, r)
	if b.start(r) {
		return
	}
	expires := b.now.Add(b.limiter.Patience(b.work(r.class)) / 2)
	if !r.deadline.IsZero() && r.deadline.Before(expires) {
		expires = r.deadline
	}
	b.requests.Put(r.id, r.WithQueued(expires))
	b.queued++
	b.retries = append(b.retries, r.id)
}

// blame takes a failed attempt as evidence about its backend server.
func (b *Balancer[E, D, P, L]) blame(r request, i int, e descriptor.Failed) {
	a := r.attempts[i]
	p := b.backends.Position(a.backend)
	if p < 0 {
		return
	}
	_, s := b.backends.At(p)
	if e.Health == descriptor.HealthDraining {
		s = b.drained(s)
	}
	switch e.Fault {
	case descriptor.FaultConnect:
		s = b.refusedConnection(s)
	case descriptor.FaultForeign:
		s = b.drained(s)
	case descriptor.FaultShed:
		s = b.shed(s, e)
	case descriptor.FaultBroken:
		s = b.broke(s, r, a)
	case descriptor.FaultCut, descriptor.FaultStatus:
		s = b.observe(s, r.class, a, true)
	}
	b.place(p, s)
}

// shed handles work that a backend server refused. One that has room by its own
// report is in doubt; another is full.
func (b *Balancer[E, D, P, L]) shed(s backend[E], e descriptor.Failed) backend[E] {
	s = s.WithLoad(e.Load, e.At)
	if b.options.Guests && !fullShed(e.Load) {
		b.noteOutcome(s.listed.ID, true)
		return s.WithOutcome(b.now, true, shedBase)
	}
	return s.WithShed()
}

// shedBase is the share of refusals taken as usual while a backend server has
// room: one of them says less than a failure.
const shedBase = 0.4

func (b *Balancer[E, D, P, L]) refusedConnection(s backend[E]) backend[E] {
	if s.mode == modeReady || s.mode == modeTrial {
		b.note(descriptor.NoteDown, s.listed.ID, "refused a connection")
		s = s.WithDown(b.now)
	}
	return s
}

// broke handles a connection that broke before an answer: the request may have
// brought the backend server down. All connections that break together count
// as one failure, and none if the request did the same elsewhere before.
func (b *Balancer[E, D, P, L]) broke(s backend[E], r request, a attempt) backend[E] {
	fresh := b.now.Sub(s.brokenAt) > crashWindow || b.now.Before(s.soundUntil)
	known := b.crashedElsewhere(r.fingerprint, a.backend)
	b.recordCrash(r.fingerprint, a.backend)
	if fresh {
		b.emit(descriptor.Probe{Service: b.service.Name, Backend: s.listed, Suspected: true})
	}
	if fresh && !known {
		s = b.observe(s, r.class, a, true)
	}
	if fresh {
		s.brokenAt = b.now
	}
	return s
}

// soundTime is how long after a probe each broken connection of a backend server
// counts by itself: it breaks connections without breaking down.
const soundTime = 10 * time.Second

// Probed takes in whether a backend server accepts connections.
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
		b.absolve(e.Backend)
		s.soundUntil = e.At.Add(soundTime)
	case e.Alive:
	default:
		if s.mode != modeDown {
			b.note(descriptor.NoteDown, e.Backend, "refused a probe")
		}
		s = s.WithDown(e.At)
	}
	b.place(p, s)
	b.pump()
}
