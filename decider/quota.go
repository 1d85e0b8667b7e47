package decider

import (
	"time"

	"monsoonswitch/descriptor"
	"monsoonswitch/rationer"
)

// setUptime records the uptime of an event. Events without one are taken to be as far from the last
// one with it as their times are.
func (d *Decider[E, D, P, L]) setUptime(event descriptor.Event) {
	var given time.Duration
	switch e := event.(type) {
	case descriptor.Arrived:
		given = e.Uptime
	case descriptor.Received:
		given = e.Uptime
	case descriptor.Ticked:
		given = e.Uptime
	}
	switch {
	case given == 0 && d.uptimeGiven:
		return
	case given == 0:
		given = d.now.Sub(d.started)
	case !d.uptimeGiven:
		d.uptimeGiven = true
		d.uptime = given
		d.quotas.Start(given)
		d.registrar.Start(given)
	}
	d.uptime = max(d.uptime, given)
}

// checkQuota reports whether a request may be admitted now. Otherwise it was refused, or it waits
// for a permit and is resumed by flushQuotas.
func (d *Decider[E, D, P, L]) checkQuota(e descriptor.Arrived) bool {
	var left time.Duration
	if !e.Deadline.IsZero() {
		left = max(time.Millisecond, e.Deadline.Sub(d.now))
	}
	verdict, retry := d.quotas.Arrive(d.uptime, e, left)
	if verdict == rationer.Refused {
		d.refuse(e, descriptor.QuotaExceeded, descriptor.NotRun, retry)
	}
	return verdict == rationer.Permitted
}

// flushQuotas emits the messages about quotas and continues with the requests that were decided.
func (d *Decider[E, D, P, L]) flushQuotas() {
	for {
		actions, resolved := d.quotas.Flush()
		d.emitAll(actions)
		if len(resolved) == 0 {
			return
		}
		for _, s := range resolved {
			d.resumePermitted(s)
		}
	}
}

// resumePermitted continues with a request that waited for a permit.
func (d *Decider[E, D, P, L]) resumePermitted(s rationer.Resolved) {
	e := s.Arrived
	if s.Verdict == rationer.Refused {
		d.refuse(e, descriptor.QuotaExceeded, descriptor.NotRun, s.Retry)
		return
	}
	service, ok := d.served.Get(e.Service)
	if !ok || !service.Takes(e.Class) || d.identifiedBefore(e) {
		d.quotas.End(d.uptime, e.Request, descriptor.NotRun)
		d.emit(descriptor.Relocate{Request: e.Request})
		return
	}
	// The time of a balancer doesn't go back.
	e.At = d.now
	d.admit(e, service)
}

// updateQuotas tells the rationer what is known of the fleet, and reports its counts.
func (d *Decider[E, D, P, L]) updateQuotas() {
	if !d.quotas.Active() {
		return
	}
	d.quotas.SetView(d.uptime, d.quotaView())
	if c := d.quotas.Counts(); c != d.quotaCounts {
		d.quotaCounts = c
		d.emit(c)
	}
}
