package balancer

import "monsoonswitch/descriptor"

// trace emits a trace entry for a decision about a request, if outcomes are pooled. a
// is 0 for decisions that concern no attempt.
func (b *Balancer[E, D, P, L]) trace(r request, number int, a descriptor.AttemptID, backend, cause string, status int) {
	if !b.options.PooledOutcomes {
		return
	}
	t := descriptor.TraceEntry{
		At:       b.now,
		Number:   number,
		Request:  r.id,
		Attempt:  a,
		Backend:  backend,
		Queued:   b.queued,
		InFlight: b.inFlight(),
		Status:   status,
		Cause:    cause,
	}
	if !r.deadline.IsZero() {
		t.TimeLeft = r.deadline.Sub(b.now)
	}
	if s, ok := b.backends.Get(backend); ok {
		t.ServeProbability = s.estimate.ServeProbability(b.now)
		t.Load = s.load(b.now)
	}
	b.emit(t)
}
