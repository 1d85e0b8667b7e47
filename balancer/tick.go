package balancer

import (
	"sort"
	"time"

	"monsoonswitch/descriptor"
)

// Times of periodic work.
const (
	// judgeEvery is the time between judgements of the backend servers.
	judgeEvery = 20 * time.Millisecond
	// hedgeQuantile is the share of answers after which open work is overdue
	// enough for a second attempt.
	hedgeQuantile = 0.97
	// hedgePart is the part of the target after which it is hedged at the latest, if
	// usual work takes less than half of that.
	hedgePart = 0.5
	// giveUpTargets is the number of targets after which short work is given up.
	giveUpTargets = 20
	// giveUpLeast is the least time after which short work is given up.
	giveUpLeast = 10 * time.Second
	// timeoutSlack is how long after its timeout work is given up, so that an
	// answer that is just then ready is delivered.
	timeoutSlack = 60 * time.Millisecond
)

// Tick does everything that depends on time alone.
func (b *Balancer[E, D, P, L]) Tick(now time.Time) {
	b.advance(now)
	b.fade()
	b.expireQueued()
	b.dropLost()
	b.wake()
	if now.Sub(b.lastJudged) >= judgeEvery {
		b.lastJudged = now
		b.measureOverdue()
		b.watchSpread()
		b.watchLoad()
		b.judge()
		b.hedge()
		b.giveUp()
		b.share()
	}
	b.refresh()
	b.pump()
}

// expireQueued refuses requests whose time in the queue is over.
func (b *Balancer[E, D, P, L]) expireQueued() {
	if b.queued == 0 {
		return
	}
	for _, q := range b.queues {
		q.Filter(func(id descriptor.RequestID) bool {
			r, ok := b.requests.Get(id)
			if !ok || !r.queued || r.last > 0 {
				return true
			}
			if b.now.Before(r.expires) {
				return false
			}
			b.expire(r)
			return true
		})
	}
	b.expireRetries()
}

func (b *Balancer[E, D, P, L]) expireRetries() {
	kept := b.retries[:0]
	for _, id := range b.retries {
		r, ok := b.requests.Get(id)
		if !ok || !r.queued {
			continue
		}
		if b.now.Before(r.expires) {
			kept = append(kept, id)
			continue
		}
		b.refuse(r, descriptor.BackendFailed, r.outcome(), retryAfter)
	}
	b.retries = kept
}

// wake ends drains and breakdowns whose time is over.
func (b *Balancer[E, D, P, L]) wake() {
	for i := range b.backends.Len() {
		_, s := b.backends.At(i)
		switch {
		case s.mode == modeLeaving && !s.listed.Leaving && b.now.After(s.drainUntil):
			b.backends.SetAt(i, s.WithReturn(b.now, s.evidence))
		case s.mode == modeDown && b.now.After(s.probeAt):
			s.probeAt = b.now.Add(probeLast)
			b.backends.SetAt(i, s)
			b.emit(descriptor.Probe{Service: b.service.Name, Backend: s.listed})
		}
	}
}

// measureOverdue sums up the weight of open requests by backend server.
func (b *Balancer[E, D, P, L]) measureOverdue() {
	for i := range b.backends.Len() {
		_, s := b.backends.At(i)
		if s.open != 0 {
			s.open = 0
			b.backends.SetAt(i, s)
		}
	}
	for i := range b.requests.Len() {
		_, r := b.requests.At(i)
		for k := range r.count {
			b.weighOpen(r, r.attempts[k])
			if b.options.Guests && b.isLate(r, r.attempts[k]) {
				r = r.WithLate(k)
				b.requests.SetAt(i, r)
				b.holdLate(r.attempts[k].backend)
			}
		}
	}
}

// Parameters of work that runs far too long.
const (
	// lateFactor is how many usual service times work takes at most but for a few
	// in a hundred requests.
	lateFactor = 5
	// lateBase is the share of such requests at sound backend servers.
	lateBase = 0.06
)

// isLate tells whether an open attempt runs for so long, for the first time, that
// its backend server may hang.
func (b *Balancer[E, D, P, L]) isLate(r request, a attempt) bool {
	if a.late || a.answered || a.clock.IsZero() {
		return false
	}
	typical := b.references[r.class].Quantile(0.5, b.classes[r.class].declared.Target/2)
	return b.now.Sub(a.clock) > lateFactor*typical
}

// holdLate holds a request that runs far too long against its backend server.
func (b *Balancer[E, D, P, L]) holdLate(id string) {
	p := b.backends.Position(id)
	if p < 0 {
		return
	}
	_, s := b.backends.At(p)
	if b.now.Before(s.coldUntil) {
		return
	}
	b.noteLate(id)
	b.backends.SetAt(p, s.WithOutcome(b.now, true, lateBase))
}

func (b *Balancer[E, D, P, L]) weighOpen(r request, a attempt) {
	if a.answered || a.clock.IsZero() {
		return
	}
	p := b.backends.Position(a.backend)
	if p < 0 {
		return
	}
	_, s := b.backends.At(p)
	if b.now.Before(s.coldUntil) || !s.healthy() || a.clock.Before(s.trialFrom) {
		return
	}
	age := b.now.Sub(a.clock)
	if age < b.references[r.class].Quantile(0.5, 0) {
		return
	}
	weight := b.detector.Overdue(b.tail(r.class, age))
	if weight > 0 {
		s.open += weight
		b.backends.SetAt(p, s)
	}
}

// hedge opens second attempts of overdue requests that may run twice.
func (b *Balancer[E, D, P, L]) hedge() {
	if b.queued > 0 || !b.limiter.Hedges() {
		return
	}
	for _, id := range b.overdueRequests() {
		if b.preferred.Len() == 0 {
			return
		}
		r, ok := b.requests.Get(id)
		if !ok || b.poisoned(r.fingerprint) || b.crashedBefore(r.fingerprint) {
			continue
		}
		position := b.pickFrom(&b.preferred, r)
		if position >= 0 && b.spend() {
			b.dispatch(r, position)
		}
	}
}

func (b *Balancer[E, D, P, L]) crashedBefore(fingerprint uint64) bool {
	c, ok := b.crashes.Get(fingerprint)
	return ok && c.count > 0
}

// overdueRequests lists the requests that may be hedged, oldest ID first.
func (b *Balancer[E, D, P, L]) overdueRequests() []descriptor.RequestID {
	var ids []descriptor.RequestID
	for id, r := range b.requests.All {
		if b.hedgeable(r) {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

func (b *Balancer[E, D, P, L]) hedgeable(r request) bool {
	declared := b.classes[r.class].declared
	if !declared.Idempotent || declared.Long || !r.replayable || r.delivered != 0 {
		return false
	}
	if r.count != 1 || b.exhausted(r) || r.attempts[0].clock.IsZero() {
		return false
	}
	return b.now.Sub(r.attempts[0].clock) > b.hedgeAfter(r.class)
}

// hedgeAfter returns how long an attempt of a class runs before it is hedged: while
// a second one can still meet the target, if it takes the usual time.
func (b *Balancer[E, D, P, L]) hedgeAfter(c int) time.Duration {
	target := b.classes[c].declared.Target
	typical := b.references[c].Quantile(0.5, target/4)
	usual := b.references[c].Quantile(hedgeQuantile, target)
	latest := max(time.Duration(hedgePart*float64(target)), 2*typical)
	return max(min(usual, latest), target/10)
}

// giveUp ends running requests that nobody waits for any more.
func (b *Balancer[E, D, P, L]) giveUp() {
	var late []request
	for _, r := range b.requests.All {
		if b.hopeless(r) {
			late = append(late, r)
		}
	}
	for _, r := range late {
		r = b.cancelOthers(r, 0)
		reason := descriptor.BackendFailed
		if !r.deadline.IsZero() && !b.now.Before(r.deadline) {
			reason = descriptor.Expired
		}
		b.refuse(r.WithUncertainty(), reason, descriptor.MayHaveRun, 0)
	}
}

// hopeless tells whether a running request is to be given up: idempotent work
// at its deadline, other short work after many targets. Long work never is.
func (b *Balancer[E, D, P, L]) hopeless(r request) bool {
	declared := b.classes[r.class].declared
	if r.count == 0 || r.delivered != 0 || declared.Long {
		return false
	}
	if declared.Timeout > 0 && b.now.Sub(r.arrived) > declared.Timeout+timeoutSlack {
		return true
	}
	if b.options.Guests && !r.deadline.IsZero() && b.now.Sub(r.deadline) > timeoutSlack {
		// The backend server ended it too, as it knows the deadline.
		return true
	}
	if declared.Idempotent && !r.deadline.IsZero() && b.now.After(r.deadline) {
		return true
	}
	return b.now.Sub(r.arrived) > max(giveUpLeast, giveUpTargets*declared.Target)
}
