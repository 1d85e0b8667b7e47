package experimenter

import "monsoonswitch/descriptor"

// hear passes a message to its receiver.
func (w *world[E, D, P, L]) hear(from int, a descriptor.Send) {
	to := -1
	for i, m := range w.members {
		if m.ID == a.To.ID {
			to = i
		}
	}
	b := w.balancers[to]
	switch m := a.Message.(type) {
	case descriptor.Evidence:
		b.HearEvidence(w.now, w.members[from].ID, m)
	case descriptor.Crash:
		b.HearCrash(w.now, m)
	case descriptor.Drain:
		b.HearDrain(w.now, m)
	case descriptor.Demand:
		b.HearDemand(w.now, w.members[from], m)
	case descriptor.Loan:
		b.HearLoan(w.now, m)
	}
	w.collect(to)
}

// write is the store: compare-and-swap of the set of ejections.
func (w *world[E, D, P, L]) write(i int, a descriptor.Write) {
	e := descriptor.Written{At: w.now, Write: a.Write}
	switch {
	case w.experiment.Outage > 0 && w.at() >= w.experiment.Outage:
		e.Result = descriptor.WriteUnavailable
	case a.Expect != w.ejected.Revision:
		e.Result = descriptor.WriteConflict
		e.Current = w.ejected
	default:
		w.revision++
		w.ejected = a.Document
		w.ejected.Revision = w.revision
		e.Revision = w.revision
		w.countEjections()
	}
	document, ok := w.balancers[i].Written(e)
	if ok {
		w.balancers[i].Eject(w.now, document)
	}
	w.collect(i)
	if e.Result != descriptor.WriteAccepted {
		return
	}
	for k := range w.balancers {
		if k != i {
			w.after(messageTime, func() {
				w.balancers[k].Eject(w.now, document)
				w.collect(k)
			})
		}
	}
}

// countEjections counts the newest ejections of the set.
func (w *world[E, D, P, L]) countEjections() {
	for _, e := range w.ejected.Ejections {
		if !e.Since.Equal(w.now.Add(-storeTime)) {
			continue
		}
		w.result.Ejections++
		fault, faulty := w.faultOf(e.Backend)
		if !faulty {
			w.result.False++
			continue
		}
		if w.result.Detected < 0 {
			w.result.Detected = w.at() - fault.From
		}
	}
}

// faultOf returns the fault of a backend server that is or was in force, if it
// is one of the backend server and not of a path.
func (w *world[E, D, P, L]) faultOf(id string) (Fault, bool) {
	for _, f := range w.experiment.Faults {
		if w.fakes[f.Index].listed.ID == id && w.at() >= f.From && f.Path == 0 {
			return f, true
		}
	}
	return Fault{}, false
}

// watch looks for avoided backend servers and a broken floor at every tick.
func (w *world[E, D, P, L]) watch() {
	w.after(tickTime, w.watch)
	holding := 0
	for _, e := range w.ejected.Ejections {
		if w.now.Before(e.Until) {
			holding++
		}
	}
	if w.experiment.Backends-holding < w.experiment.Service.Keep(w.experiment.Backends) {
		w.result.Breaches++
	}
	if w.result.Avoided >= 0 {
		return
	}
	for _, f := range w.experiment.Faults {
		if w.at() >= f.From && w.avoidedByAll(w.fakes[f.Index].listed.ID, f) {
			w.result.Avoided = w.at() - f.From
		}
	}
}

func (w *world[E, D, P, L]) avoidedByAll(id string, f Fault) bool {
	for i, b := range w.balancers {
		if f.Path > 0 && f.Path != i+1 {
			continue
		}
		if !b.Avoids(id) {
			return false
		}
	}
	return true
}

func (w *world[E, D, P, L]) countDuplicates() {
	for _, r := range w.requests {
		class, _ := w.experiment.Service.Class(r.class)
		if !class.Idempotent && r.runs > 1 {
			w.result.Duplicates++
		}
	}
}
