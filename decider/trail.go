package decider

import (
	"monsoonswitch/balancer"
	"monsoonswitch/descriptor"
)

// maxTrail bounds the decisions kept for one request.
const maxTrail = 32

// follow keeps a decision about a request until the request ends.
func (d *Decider[E, D, P, L]) follow(t descriptor.Trace) {
	lines, _ := d.trails.Get(t.Request)
	if len(lines) < maxTrail {
		d.trails.Put(t.Request, append(lines, t))
	}
}

// endTrail gives out what was decided about a request that ended.
func (d *Decider[E, D, P, L]) endTrail(service string, e balancer.Ended) {
	lines, ok := d.trails.Get(e.Request)
	if !ok {
		return
	}
	d.trails.Delete(e.Request)
	list, _ := d.spreader.Get(descriptor.KindBackends, service)
	known, _ := d.declared.Get(service)
	class, _ := known.service.Class(e.Class)
	d.emit(descriptor.Trail{
		At:       d.now,
		Request:  e.Request,
		Label:    e.Label,
		Service:  service,
		Class:    e.Class,
		Revision: known.revision,
		Listed:   list.Revision,
		Current:  d.now.Sub(d.relayer.Current(d.options.kinds())),
		Reason:   e.Reason,
		Outcome:  e.Outcome,
		Latency:  e.Latency,
		Target:   class.Target,
		Lines:    lines,
	})
}
