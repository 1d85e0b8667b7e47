package experimenter

import (
	"time"

	"monsoonswitch/descriptor"
)

// deliver passes a message to the instance it is addressed to.
func (s *simulation[E, D, P, L]) deliver(from int, a descriptor.Send) {
	to := -1
	for i, m := range s.members {
		if m.ID == a.To.ID {
			to = i
		}
	}
	b := s.balancers[to]
	switch m := a.Message.(type) {
	case descriptor.Evidence:
		b.HandleEvidence(s.now, s.members[from].ID, m)
	case descriptor.CrashReport:
		b.HandleCrash(s.now, m)
	case descriptor.Drain:
		b.HandleDrain(s.now, m)
	case descriptor.SlotDemand:
		b.HandleSlotDemand(s.now, s.members[from], m)
	case descriptor.SlotLease:
		b.HandleSlotLease(s.now, m)
	}
	s.performActions(to)
}

// write performs a compare-and-swap of the set of ejections in the store and passes
// an accepted set to the other instances.
func (s *simulation[E, D, P, L]) write(i int, a descriptor.Write) {
	e := descriptor.Written{At: s.now, Write: a.Write}
	switch {
	case s.experiment.Outage > 0 && s.elapsed() >= s.experiment.Outage:
		e.Result = descriptor.WriteUnavailable
	case a.Expect != s.ejected.Revision:
		e.Result = descriptor.WriteConflict
		e.Current = s.ejected
	default:
		s.revision++
		s.ejected = a.Document
		s.ejected.Revision = s.revision
		e.Revision = s.revision
		s.countNewEjections()
	}
	document, ok := s.balancers[i].Written(e)
	if ok {
		s.balancers[i].SetEjections(s.now, document)
	}
	s.performActions(i)
	if e.Result != descriptor.WriteAccepted {
		return
	}
	for k := range s.balancers {
		if k != i {
			s.after(messageDelay, func() {
				s.balancers[k].SetEjections(s.now, document)
				s.performActions(k)
			})
		}
	}
}

// countNewEjections counts the ejections that the last write added.
func (s *simulation[E, D, P, L]) countNewEjections() {
	for _, e := range s.ejected.Ejections {
		if s.counted[e.Backend].Equal(e.Since) {
			continue
		}
		s.counted[e.Backend] = e.Since
		s.result.Ejections++
		fault, faulty := s.faultOf(e.Backend)
		if !faulty {
			s.result.FalseEjections++
			continue
		}
		if s.result.EjectedAfter < 0 {
			s.result.EjectedAfter = s.elapsed() - fault.From
		}
	}
}

// faultOf returns the fault of a backend server that has started, also if it has
// ended. It ignores faults limited to one instance, since these do not justify an
// ejection.
func (s *simulation[E, D, P, L]) faultOf(id string) (Fault, bool) {
	for _, f := range s.experiment.Faults {
		if s.backends[f.Index].listed.ID == id && s.elapsed() >= f.From && f.Instance == 0 {
			return f, true
		}
	}
	return Fault{}, false
}

// checkBackends checks periodically whether the faulty backend servers are avoided
// and whether the ejections respect the floor.
func (s *simulation[E, D, P, L]) checkBackends() {
	s.after(tickInterval, s.checkBackends)
	active := 0
	for _, e := range s.ejected.Ejections {
		if s.now.Before(e.Until) {
			active++
		}
	}
	if s.experiment.Backends-active < s.experiment.Service.MinRemaining(s.experiment.Backends) {
		s.result.FloorBreaches++
	}
	if s.result.AvoidedAfter >= 0 {
		return
	}
	for _, f := range s.experiment.Faults {
		if s.elapsed() >= f.From && s.avoidedByAll(s.backends[f.Index].listed.ID, f) {
			s.result.AvoidedAfter = s.elapsed() - f.From
		}
	}
}

// avoidedByAll reports whether every instance affected by f avoids the backend
// server.
func (s *simulation[E, D, P, L]) avoidedByAll(id string, f Fault) bool {
	for i, b := range s.balancers {
		if f.Instance > 0 && f.Instance != i+1 {
			continue
		}
		if !b.Avoids(id) {
			return false
		}
	}
	return true
}

// lostTime is how long after the target of its class a request without a running attempt
// counts as lost.
const lostTime = 5 * time.Second

// countBroken counts the non-idempotent requests that ran more than once, the requests
// that ended more than once and those that were lost.
func (s *simulation[E, D, P, L]) countBroken() {
	running := make(map[descriptor.RequestID]bool)
	for _, f := range s.backends {
		for v := range f.open {
			running[v.request] = true
		}
	}
	end := s.start.Add(s.experiment.Duration)
	for i, r := range s.requests {
		class, _ := s.experiment.Service.Class(r.class)
		if !class.Idempotent && r.runs > 1 {
			s.result.Duplicates++
		}
		if r.endings > 1 {
			s.result.Repeated++
		}
		if r.endings == 0 && !running[descriptor.RequestID(i+1)] && end.Sub(r.arrived) > class.Target+lostTime {
			s.result.Lost++
		}
	}
}
