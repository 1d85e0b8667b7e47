package decider

import (
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
