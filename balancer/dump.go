package balancer

import (
	"time"

	"monsoonswitch/descriptor"
)

// Dump returns the state of the service at now.
func (b *Balancer[E, D, P, L]) Dump(now time.Time) descriptor.ServiceDump {
	d := descriptor.ServiceDump{
		Name:      b.service.Name,
		Revision:  b.revision,
		State:     b.service.State.String(),
		Live:      b.backends.Len(),
		Floor:     b.service.MinRemaining(b.backends.Len()),
		Ejections: b.ejections.Ejections,
		Refused:   b.refusal,
		Budget:    b.budget.Left,
		Suspect:   b.crashes.Len(),
	}
	for _, m := range b.owners {
		d.Serving = append(d.Serving, m.ID)
	}
	for c := range b.classes {
		d.Classes = append(d.Classes, b.dumpClass(c))
	}
	for id, s := range b.backends.All {
		d.Backends = append(d.Backends, b.dumpBackend(id, s, now))
	}
	return d
}

func (b *Balancer[E, D, P, L]) dumpClass(c int) descriptor.ClassDump {
	class := b.classes[c]
	limit := b.slots
	if class.declared.Long && b.hasShort() {
		limit = b.limiter.MaxLongSlots(b.slots)
	}
	return descriptor.ClassDump{
		Name:     class.declared.Name,
		Queued:   b.queues[c].Len(),
		InFlight: class.inFlight,
		Limit:    limit,
		Median:   b.references[c].Quantile(0.5, 0),
		Tail:     b.references[c].Quantile(0.99, 0),
	}
}

func (b *Balancer[E, D, P, L]) dumpBackend(id string, s backend[E], now time.Time) descriptor.BackendDump {
	d := descriptor.BackendDump{
		ID:       id,
		Address:  s.listed.Address,
		Share:    s.share,
		InFlight: s.inFlight,
		Long:     s.longInFlight,
		State:    s.mode.String(),
		Local:    b.detector.Score(s.evidence) + s.overdueScore,
		Fleet:    s.fleetScore,
		Avoided:  s.avoided,
	}
	if s.allowance.Active(now) {
		d.Limit, d.LimitRate = s.allowance.Limit, s.allowance.Rate
	}
	if now.Before(s.leasedInUntil) {
		d.Borrowed = s.leasedIn
	}
	if now.Before(s.leasedOutUntil) {
		d.Lent = s.leasedOut
	}
	return d
}
