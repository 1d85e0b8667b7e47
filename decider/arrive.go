package decider

import (
	"time"

	"monsoonswitch/balancer"
	"monsoonswitch/declarer"
	"monsoonswitch/descriptor"
	"monsoonswitch/keeper"
)

// arrive handles a new request: it refuses it, resolves its idempotency key, or
// admits it.
func (d *Decider[E, D, P, L]) arrive(e descriptor.Arrived) {
	known, ok := d.declared.Get(e.Service)
	if !ok {
		d.emit(descriptor.Relocate{Request: e.Request})
		return
	}
	declared := known.service
	if s, ok := d.served.Get(e.Service); ok && !s.Takes(e.Class) {
		// A newer declaration came between the look-up and this event.
		d.emit(descriptor.Relocate{Request: e.Request})
		return
	}
	if d.identifiedBefore(e) {
		d.emit(descriptor.Relocate{Request: e.Request})
		return
	}
	d.counter.Receive(e.At, e.Service)
	if d.arrivesTooLate(e) {
		d.refuse(e, descriptor.Misdirected, descriptor.NotRun, 0)
		return
	}
	s, ok := d.served.Get(e.Service)
	if !ok {
		d.refuseUnserved(e, d.refusalReason(declared))
		return
	}
	if d.lacksProof(e) {
		d.refuse(e, descriptor.StaleConfiguration, descriptor.NotRun, 0)
		return
	}
	if d.options.Routing {
		if d.checkQuota(e) {
			d.admit(e, s)
		}
		return
	}
	class, ok := declared.Class(e.Class)
	if !ok || class.Idempotent {
		d.admit(e, s)
		return
	}
	if reason, retry := s.CheckAdmission(e); reason != descriptor.Served {
		d.refuse(e, reason, descriptor.NotRun, retry)
		return
	}
	decision, actions := d.keeper.Begin(e, class.Keyless)
	d.emitAll(actions)
	d.resumeRequest(keeper.Resolved{Arrived: e, Decision: decision})
}

// refuseUnserved refuses a request for a service that this instance does not serve. One that is
// starting doesn't know whether an earlier request with the same key ran elsewhere.
func (d *Decider[E, D, P, L]) refuseUnserved(e descriptor.Arrived, reason descriptor.Reason) {
	outcome := descriptor.NotRun
	if reason == descriptor.Starting && e.Key != "" && !d.options.Routing {
		outcome = descriptor.MayHaveRun
	}
	d.refuse(e, reason, outcome, 0)
}

// refusalReason returns why work for a service that this instance does not serve
// is refused.
func (d *Decider[E, D, P, L]) refusalReason(s declarer.Service) descriptor.Reason {
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

// resumeRequest continues with a request whose idempotency key was decided.
func (d *Decider[E, D, P, L]) resumeRequest(s keeper.Resolved) {
	e := s.Arrived
	switch s.Decision.Verdict {
	case keeper.Proceed:
		e.At = d.now
		service, ok := d.served.Get(e.Service)
		if ok && service.Takes(e.Class) {
			d.admit(e, service)
			return
		}
		reason := descriptor.Misdirected
		if ok {
			reason = descriptor.Starting
		}
		d.emitAll(d.keeper.End(e.Request, descriptor.NotRun))
		d.refuse(e, reason, descriptor.NotRun, 0)
	case keeper.Reject:
		d.refuse(e, s.Decision.Reason, s.Decision.Outcome, 0)
	}
}

func (d *Decider[E, D, P, L]) admit(e descriptor.Arrived, s *balancer.Balancer[E, D, P, L]) {
	d.requests.Put(e.Request, e.Service)
	s.Arrive(e)
	d.collect(e.Service, s)
}

// refuse ends a request that no balancer has admitted.
func (d *Decider[E, D, P, L]) refuse(e descriptor.Arrived, reason descriptor.Reason, outcome descriptor.Outcome, retry time.Duration) {
	d.emit(descriptor.Refuse{Request: e.Request, Reason: reason, Outcome: outcome, Retry: retry})
	d.counter.End(d.now, e.Service, e.Class, reason, outcome, 0, 0)
	if d.options.Routing {
		d.traceRefused(e, reason)
	}
}

func (d *Decider[E, D, P, L]) callerGone(e descriptor.CallerGone) {
	if arrived, ok := d.keeper.CancelWait(e.Request); ok {
		d.refuse(arrived, descriptor.Abandoned, descriptor.NotRun, 0)
		return
	}
	if arrived, ok := d.quotas.Cancel(e.Request); ok {
		d.refuse(arrived, descriptor.Abandoned, descriptor.NotRun, 0)
		return
	}
	d.onRequest(e.Request, func(s *balancer.Balancer[E, D, P, L]) { s.Gone(e) })
}
