package experimenter

import (
	"time"

	"monsoonswitch/descriptor"
)

// backlog is the number of requests that wait at a fake backend server.
const backlog = 1

// faultNow returns the fault in force for a flight.
func (w *world[E, D, P, L]) faultNow(f *fake, instance int) (Fault, bool) {
	for _, x := range w.experiment.Faults {
		if w.fakes[x.Index] != f || w.at() < x.From || w.at() >= x.To || x.Path > 0 && x.Path != instance+1 {
			continue
		}
		if x.Flap > 0 && int((w.at()-x.From)/x.Flap)%2 == 1 {
			continue
		}
		return x, true
	}
	return Fault{}, false
}

// enter takes a request in at a fake backend server.
func (w *world[E, D, P, L]) enter(f *fake, v *flight) {
	if v.gone {
		return
	}
	if w.now.Before(f.downTo) {
		w.fail(f, v, descriptor.FaultConnect)
		return
	}
	if f.busy >= f.listed.Slots {
		w.result.Oversubscribed++
		if len(f.waiting) >= backlog {
			w.result.Shed++
			w.fail(f, v, descriptor.FaultShed)
			return
		}
		f.waiting = append(f.waiting, v)
		return
	}
	w.begin(f, v)
}

func (w *world[E, D, P, L]) begin(f *fake, v *flight) {
	f.busy++
	v.started = true
	w.requests[v.request-1].runs++
	fault, faulty := w.faultNow(f, v.instance)
	d := w.serviceTime(f, v.weight)
	if faulty && fault.Slow > 0 {
		d = time.Duration(float64(d) * fault.Slow)
	}
	if faulty && fault.Stall {
		f.held = append(f.held, v)
		return
	}
	w.after(d, func() { w.complete(f, v) })
}

// complete ends work and answers.
func (w *world[E, D, P, L]) complete(f *fake, v *flight) {
	if v.gone {
		return
	}
	fault, faulty := w.faultNow(f, v.instance)
	status := 200
	if faulty && fault.Errors > 0 && w.random.Float64() < fault.Errors {
		status = 500
	}
	w.leave(f, v)
	health := descriptor.HealthReady
	if w.now.Before(f.coldTo) {
		health = descriptor.HealthCold
	}
	w.after(networkTime, func() {
		w.balancers[v.instance].Answered(descriptor.Answered{
			At:      w.now,
			Request: v.request,
			Attempt: v.attempt,
			Status:  status,
			Health:  health,
		})
		w.collect(v.instance)
	})
}

// leave frees the slot of a flight and begins the next one that waits.
func (w *world[E, D, P, L]) leave(f *fake, v *flight) {
	v.gone = true
	delete(f.open, v)
	if !v.started {
		return
	}
	f.busy--
	for len(f.waiting) > 0 && f.busy < f.listed.Slots {
		next := f.waiting[0]
		f.waiting = f.waiting[1:]
		if !next.gone {
			w.begin(f, next)
		}
	}
}

func (w *world[E, D, P, L]) fail(f *fake, v *flight, fault descriptor.Fault) {
	w.leave(f, v)
	w.after(networkTime, func() {
		w.balancers[v.instance].Failed(descriptor.Failed{
			At:        w.now,
			Request:   v.request,
			Attempt:   v.attempt,
			Fault:     fault,
			Untouched: true,
		})
		w.collect(v.instance)
	})
}

// cancel gives an attempt up.
func (w *world[E, D, P, L]) cancel(i int, a descriptor.Cancel) {
	for _, f := range w.fakes {
		for v := range f.open {
			if v.instance == i && v.request == a.Request && v.attempt == a.Attempt {
				w.leave(f, v)
				return
			}
		}
	}
}

// heal ends a fault: the work it held goes on.
func (w *world[E, D, P, L]) heal(x Fault) {
	f := w.fakes[x.Index]
	held := f.held
	f.held = nil
	for _, v := range held {
		if !v.gone {
			w.after(w.experiment.Median, func() { w.complete(f, v) })
		}
	}
}

// restartNext plans the next restart of a backend server.
func (w *world[E, D, P, L]) restartNext(f *fake) {
	wait := time.Duration(w.random.ExpFloat64() * float64(w.experiment.Restart))
	w.after(wait, func() {
		w.restart(f)
		w.restartNext(f)
	})
}

// restart breaks the open work of a backend server and leaves it cold.
func (w *world[E, D, P, L]) restart(f *fake) {
	f.downTo = w.now.Add(restartTime)
	f.coldTo = f.downTo.Add(coldTime)
	for _, v := range f.ordered() {
		if v.started {
			w.fail(f, v, descriptor.FaultBroken)
		}
	}
}

// ordered returns the open flights by request, so that runs repeat.
func (f *fake) ordered() []*flight {
	var result []*flight
	for v := range f.open {
		i := len(result)
		result = append(result, v)
		for i > 0 && result[i-1].request > v.request {
			result[i] = result[i-1]
			i--
		}
		result[i] = v
	}
	return result
}
