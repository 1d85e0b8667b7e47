package experimenter

import (
	"time"

	"monsoonswitch/descriptor"
)

// backlog is the number of requests that may wait at a simulated backend server
// before it sheds.
const backlog = 1

// activeFault returns the fault that applies now to requests of an instance at f.
func (s *simulation[E, D, P, L]) activeFault(f *fakeBackend, instance int) (Fault, bool) {
	for _, x := range s.experiment.Faults {
		if s.backends[x.Index] != f || s.elapsed() < x.From || s.elapsed() >= x.To || x.Instance > 0 && x.Instance != instance+1 {
			continue
		}
		if x.Flap > 0 && int((s.elapsed()-x.From)/x.Flap)%2 == 1 {
			continue
		}
		return x, true
	}
	return Fault{}, false
}

// admit handles the arrival of an attempt at f: it starts it, queues it if all
// slots are in use, or refuses it if f is down or its backlog is full.
func (s *simulation[E, D, P, L]) admit(f *fakeBackend, v *attempt) {
	if v.finished {
		return
	}
	if s.now.Before(f.downUntil) {
		s.fail(f, v, descriptor.FaultConnect)
		return
	}
	if f.busy >= f.listed.Slots {
		s.result.Oversubscribed++
		if len(f.waiting) >= backlog {
			s.result.Shed++
			s.fail(f, v, descriptor.FaultShed)
			return
		}
		f.waiting = append(f.waiting, v)
		return
	}
	s.begin(f, v)
}

// begin starts an attempt in a slot of f and schedules its end.
func (s *simulation[E, D, P, L]) begin(f *fakeBackend, v *attempt) {
	f.busy++
	v.started = true
	s.requests[v.request-1].runs++
	fault, faulty := s.activeFault(f, v.instance)
	d := s.serviceTime(f, v.weight)
	if faulty && fault.Slow > 0 {
		d = time.Duration(float64(d) * fault.Slow)
	}
	if faulty && fault.Stall {
		f.stalled = append(f.stalled, v)
		return
	}
	s.after(d, func() { s.complete(f, v) })
}

// complete ends an attempt and answers it.
func (s *simulation[E, D, P, L]) complete(f *fakeBackend, v *attempt) {
	if v.finished {
		return
	}
	fault, faulty := s.activeFault(f, v.instance)
	status := 200
	if faulty && fault.Errors > 0 && s.random.Float64() < fault.Errors {
		status = 500
	}
	s.finish(f, v)
	health := descriptor.HealthReady
	if s.now.Before(f.coldUntil) {
		health = descriptor.HealthCold
	}
	s.after(networkDelay, func() {
		s.balancers[v.instance].Answered(descriptor.Answered{
			At:      s.now,
			Request: v.request,
			Attempt: v.attempt,
			Status:  status,
			Health:  health,
		})
		s.performActions(v.instance)
	})
}

// finish releases the slot of an attempt and begins the next one in the backlog.
func (s *simulation[E, D, P, L]) finish(f *fakeBackend, v *attempt) {
	v.finished = true
	delete(f.open, v)
	if !v.started {
		return
	}
	f.busy--
	for len(f.waiting) > 0 && f.busy < f.listed.Slots {
		next := f.waiting[0]
		f.waiting = f.waiting[1:]
		if !next.finished {
			s.begin(f, next)
		}
	}
}

// fail ends an attempt with a fault before it was answered.
func (s *simulation[E, D, P, L]) fail(f *fakeBackend, v *attempt, fault descriptor.Fault) {
	s.finish(f, v)
	s.after(networkDelay, func() {
		s.balancers[v.instance].Failed(descriptor.Failed{
			At:             s.now,
			Request:        v.request,
			Attempt:        v.attempt,
			Fault:          fault,
			BodyReplayable: true,
		})
		s.performActions(v.instance)
	})
}

// cancel ends an attempt that its instance cancelled.
func (s *simulation[E, D, P, L]) cancel(i int, a descriptor.Cancel) {
	for _, f := range s.backends {
		for v := range f.open {
			if v.instance == i && v.request == a.Request && v.attempt == a.Attempt {
				s.finish(f, v)
				return
			}
		}
	}
}

// endFault ends a fault. Attempts that it stalled complete after the median service
// time.
func (s *simulation[E, D, P, L]) endFault(x Fault) {
	f := s.backends[x.Index]
	stalled := f.stalled
	f.stalled = nil
	for _, v := range stalled {
		if !v.finished {
			s.after(s.experiment.Median, func() { s.complete(f, v) })
		}
	}
}

// scheduleRestart schedules the next restart of a backend server.
func (s *simulation[E, D, P, L]) scheduleRestart(f *fakeBackend) {
	wait := time.Duration(s.random.ExpFloat64() * float64(s.experiment.Restart))
	s.after(wait, func() {
		s.restart(f)
		s.scheduleRestart(f)
	})
}

// restart breaks the running attempts of a backend server, which is down for
// restartTime and then cold for coldTime.
func (s *simulation[E, D, P, L]) restart(f *fakeBackend) {
	f.downUntil = s.now.Add(restartTime)
	f.coldUntil = f.downUntil.Add(coldTime)
	for _, v := range f.orderedAttempts() {
		if v.started {
			s.fail(f, v, descriptor.FaultBroken)
		}
	}
}

// orderedAttempts returns the open attempts in the order of their requests, so that
// runs with the same seed are identical.
func (f *fakeBackend) orderedAttempts() []*attempt {
	var result []*attempt
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
