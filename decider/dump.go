package decider

import (
	"time"

	"monsoonswitch/descriptor"
)

// Dump returns the state of the instance at now.
func (d *Decider[E, D, P, L]) Dump(now time.Time) descriptor.Dump {
	dump := descriptor.Dump{
		At:        now,
		Instance:  d.gossiper.Self(),
		Ready:     d.synced && !d.shutdown.started,
		Leaving:   d.shutdown.started,
		Watching:  d.watch.Active,
		Links:     d.gossiper.Links(),
		Members:   d.gossiper.Members(),
		Documents: d.spreader.List(),
		Keys:      d.keeper.Dump(),
		Register:  d.registrar.Dump(d.uptime),
		Pending:   d.requests.Len(),
		Notes:     d.notes.Slice(),
	}
	for service, known := range d.declared.All {
		dump.Declared = append(dump.Declared, descriptor.DeclaredDump{
			Name:     service,
			Revision: known.revision,
			Accepted: known.accepted,
			InForce:  known.inForce,
		})
	}
	for service, s := range d.served.All {
		state := s.Dump(now)
		state.Tally, _ = d.counter.Tally(now, service)
		dump.Services = append(dump.Services, state)
	}
	return dump
}
