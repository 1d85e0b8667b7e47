package decider

import (
	"fmt"

	"monsoonswitch/balancer"
	"monsoonswitch/descriptor"
)

// maxTraceEntries bounds the trace entries kept for one request.
const maxTraceEntries = 32

// recordTrace keeps a trace entry until its request ends.
func (d *Decider[E, D, P, L]) recordTrace(t descriptor.TraceEntry) {
	entries, _ := d.traces.Get(t.Request)
	if len(entries) < maxTraceEntries {
		d.traces.Put(t.Request, append(entries, t))
	}
}

// traceUnlocated emits the trace of a request that was refused before it was passed on.
func (d *Decider[E, D, P, L]) traceUnlocated(e descriptor.Unlocated) {
	d.emitRefused(descriptor.RequestTrace{
		At: e.At, Request: e.Request, Label: e.Label, Revision: e.Version, Reason: e.Reason, Latency: e.Latency,
	}, fmt.Sprintf("%v by routing %d", e.Reason, e.Version))
}

// traceRefused emits the trace of a request that was refused before a balancer admitted it.
func (d *Decider[E, D, P, L]) traceRefused(e descriptor.Arrived, reason descriptor.Reason) {
	cause := fmt.Sprintf("%v by routing %d", reason, e.Routing)
	if e.Customer != "" {
		cause += " for customer " + e.Customer
	}
	d.emitRefused(descriptor.RequestTrace{
		At: d.now, Request: e.Request, Label: e.Label, Service: e.Service, Class: e.Class, Revision: e.Routing,
		Reason: reason, Latency: d.now.Sub(e.At),
	}, cause)
}

// emitRefused emits the trace of a refusal as its only entry.
func (d *Decider[E, D, P, L]) emitRefused(t descriptor.RequestTrace, cause string) {
	t.Outcome = descriptor.NotRun
	t.ConfirmationAge = d.now.Sub(d.relayer.Current(d.options.kinds()))
	t.Entries = []descriptor.TraceEntry{{At: t.At, Number: descriptor.NoteRefused, Request: t.Request, Cause: cause}}
	d.emit(t)
}

// emitTrace emits the request trace of an ended request.
func (d *Decider[E, D, P, L]) emitTrace(service string, e balancer.Ended) {
	entries, ok := d.traces.Get(e.Request)
	if !ok {
		return
	}
	d.traces.Delete(e.Request)
	list, _ := d.spreader.Get(descriptor.KindBackends, service)
	known, _ := d.declared.Get(service)
	class, _ := known.service.Class(e.Class)
	d.emit(descriptor.RequestTrace{
		At:               d.now,
		Request:          e.Request,
		Label:            e.Label,
		Service:          service,
		Class:            e.Class,
		Revision:         known.revision,
		BackendsRevision: list.Revision,
		ConfirmationAge:  d.now.Sub(d.relayer.Current(d.options.kinds())),
		Reason:           e.Reason,
		Outcome:          e.Outcome,
		Latency:          e.Latency,
		Target:           class.Target,
		Entries:          entries,
	})
}
