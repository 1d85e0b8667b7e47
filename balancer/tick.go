package balancer

import (
	"sort"
	"time"

	"monsoonswitch/descriptor"
)

// Parameters of periodic work.
const (
	// evaluationInterval is the time between evaluations of the requests, and of the
	// backend servers of a small service.
	evaluationInterval = 20 * time.Millisecond
	// evaluationPerBackend and maxEvaluationInterval set the time between evaluations of
	// the backend servers of a large service if outcomes are pooled, so that their cost
	// does not grow with their number. All that decides about a request is computed
	// when it is placed.
	evaluationPerBackend  = 250 * time.Microsecond
	maxEvaluationInterval = 200 * time.Millisecond
	// idleEvaluationInterval replaces it while a large service has no requests at this
	// instance. The next request evaluates them first.
	idleEvaluationInterval = time.Second
	// hedgeQuantile is the quantile of service times after which an open attempt is
	// hedged.
	hedgeQuantile = 0.97
	// hedgeTargetRatio is the part of the target after which an attempt is hedged at
	// the latest, if the typical service time is less than half of that.
	hedgeTargetRatio = 0.5
	// abandonTargets is the number of targets after which short work is abandoned.
	abandonTargets = 20
	// minAbandonTime is the minimum time after which short work is abandoned.
	minAbandonTime = 10 * time.Second
	// timeoutSlack is how long after its timeout work is abandoned, so that an answer
	// that arrives just then is still delivered.
	timeoutSlack = 60 * time.Millisecond
)

// Tick does the work that depends only on time.
func (b *Balancer[E, D, P, L]) Tick(now time.Time) {
	b.advance(now)
	b.dropRetainedShare()
	b.expireQueued()
	evaluated := now.Sub(b.lastEvaluation) >= evaluationInterval
	if evaluated {
		b.lastEvaluation = now
	}
	if b.options.PooledOutcomes {
		b.tickPooled(evaluated)
	} else {
		b.tickDivided(evaluated)
	}
	b.startQueued()
}

// tickDivided does the periodic work for a service whose slots are divided among instances.
func (b *Balancer[E, D, P, L]) tickDivided(evaluated bool) {
	b.dropMissing()
	b.updateModes()
	if evaluated {
		b.updateOverdueScores()
		b.evaluate()
		b.hedge()
		b.abandonOverdue()
		b.publish()
	}
	b.refresh()
}

// tickPooled does the periodic work for a service whose outcomes are pooled. They decide the
// placement instead of evidence, and nothing is ejected.
func (b *Balancer[E, D, P, L]) tickPooled(evaluated bool) {
	interval := time.Duration(b.backends.Len()) * evaluationPerBackend
	large := interval > evaluationInterval
	scan := evaluated
	if large {
		scan = b.now.Sub(b.lastScan) >= b.largeScanInterval(interval)
	}
	if scan {
		b.scan()
	} else if !large {
		b.dropMissing()
		b.updateModes()
		b.refresh()
	}
	if evaluated {
		b.recordLateAttempts()
		b.hedge()
		b.abandonOverdue()
		b.publish()
	}
}

func (b *Balancer[E, D, P, L]) largeScanInterval(interval time.Duration) time.Duration {
	if b.requests.Len() == 0 {
		return idleEvaluationInterval
	}
	return min(interval, maxEvaluationInterval)
}

// scan evaluates all backend servers.
func (b *Balancer[E, D, P, L]) scan() {
	b.lastScan = b.now
	b.updateSpreading()
	b.updateOtherWork()
	b.dropMissing()
	b.updateModes()
	b.refresh()
}

// scanAfterIdleTime evaluates all backend servers if that is overdue because the service had
// no requests.
func (b *Balancer[E, D, P, L]) scanAfterIdleTime() {
	if b.options.PooledOutcomes && b.requests.Len() == 0 && b.now.Sub(b.lastScan) >= maxEvaluationInterval {
		b.scan()
	}
}

// expireQueued refuses requests that have been queued for too long.
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
			if b.refusePoisoned(r) {
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
		if !ok || !r.queued || b.refusePoisoned(r) {
			continue
		}
		if b.now.Before(r.expires) {
			kept = append(kept, id)
			continue
		}
		b.refuse(r, descriptor.BackendFailed, r.outcome(), b.waitHint())
	}
	b.retries = kept
}

// updateModes ends drains whose time is over and probes backend servers that are
// down.
func (b *Balancer[E, D, P, L]) updateModes() {
	for i := range b.backends.Len() {
		_, s := b.backends.At(i)
		switch {
		case s.mode == modeLeaving && !s.listed.Leaving && b.now.After(s.drainUntil):
			b.backends.SetAt(i, s.WithReturn(b.now, s.evidence))
		case s.mode == modeDown && b.now.After(s.probeAt):
			s.probeAt = b.now.Add(maxProbeWait)
			b.backends.SetAt(i, s)
			b.emit(descriptor.Probe{Service: b.service.Name, Backend: s.listed})
		}
	}
}

// updateOverdueScores recomputes the score that overdue open requests add to each
// backend server.
func (b *Balancer[E, D, P, L]) updateOverdueScores() {
	for i := range b.backends.Len() {
		_, s := b.backends.At(i)
		if s.overdueScore != 0 {
			s.overdueScore = 0
			b.backends.SetAt(i, s)
		}
	}
	for i := range b.requests.Len() {
		_, r := b.requests.At(i)
		for k := range r.count {
			b.addOverdueScore(r, r.attempts[k])
		}
	}
}

// recordLateAttempts counts the attempts that run far too long as failures.
func (b *Balancer[E, D, P, L]) recordLateAttempts() {
	for i := range b.requests.Len() {
		_, r := b.requests.At(i)
		for k := range r.count {
			if b.isLate(r, r.attempts[k]) {
				r = r.WithLate(k)
				b.requests.SetAt(i, r)
				b.recordLateAttempt(r.attempts[k].backend)
			}
		}
	}
}

// Parameters of attempts that run far too long.
const (
	// lateFactor is the multiple of the typical service time that only a few percent
	// of requests exceed.
	lateFactor = 5
	// lateFailureBase is the share of such requests at healthy backend servers.
	lateFailureBase = 0.06
)

// isLate reports whether an open attempt exceeds lateFactor for the first time, which
// suggests that its backend server hangs.
func (b *Balancer[E, D, P, L]) isLate(r request, a attempt) bool {
	if a.late || a.answered || a.sentAt.IsZero() {
		return false
	}
	typical := b.references[r.class].Quantile(0.5, b.classes[r.class].declared.Target/2)
	return b.now.Sub(a.sentAt) > lateFactor*typical
}

// recordLateAttempt counts an attempt that runs far too long as a failure of its
// backend server.
func (b *Balancer[E, D, P, L]) recordLateAttempt(id string) {
	p := b.backends.Position(id)
	if p < 0 {
		return
	}
	_, s := b.backends.At(p)
	if b.now.Before(s.coldUntil) {
		return
	}
	b.queueLateOutcome(id)
	b.backends.SetAt(p, s.WithOutcome(b.now, true, lateFailureBase))
}

func (b *Balancer[E, D, P, L]) addOverdueScore(r request, a attempt) {
	if a.answered || a.sentAt.IsZero() {
		return
	}
	p := b.backends.Position(a.backend)
	if p < 0 {
		return
	}
	_, s := b.backends.At(p)
	if b.now.Before(s.coldUntil) || !s.healthy() || a.sentAt.Before(s.trialFrom) {
		return
	}
	age := b.now.Sub(a.sentAt)
	if age < b.references[r.class].Quantile(0.5, 0) {
		return
	}
	weight := b.detector.OverdueScore(b.tail(r.class, age))
	if weight > 0 {
		s.overdueScore += weight
		b.backends.SetAt(p, s)
	}
}

// hedge opens a second attempt of overdue requests that may run twice.
func (b *Balancer[E, D, P, L]) hedge() {
	if b.queued > 0 || !b.limiter.Hedges() {
		return
	}
	for _, id := range b.overdueRequests() {
		if b.preferred.Len() == 0 {
			return
		}
		r, ok := b.requests.Get(id)
		if !ok || b.poisoned(r.fingerprint, r.content) || b.crashedBefore(r) {
			continue
		}
		position := b.pickFrom(&b.preferred, r)
		if position >= 0 && (r.reserved || b.budget.Left >= 1 && b.spendRetry()) {
			b.dispatch(r.WithReserved(false), position)
		}
	}
}

// overdueRequests lists the requests to hedge in order of their IDs.
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
	if !b.repeatable(r) || declared.Long || r.delivered != 0 {
		return false
	}
	if r.count != 1 || b.exhausted(r) || r.attempts[0].sentAt.IsZero() {
		return false
	}
	return b.now.Sub(r.attempts[0].sentAt) > b.hedgeAfter(r.class)
}

// hedgeAfter returns how long an attempt of a class runs before it is hedged. A
// second attempt with the typical service time can then still meet the target.
func (b *Balancer[E, D, P, L]) hedgeAfter(c int) time.Duration {
	target := b.classes[c].declared.Target
	typical := b.references[c].Quantile(0.5, target/4)
	quantile := b.references[c].Quantile(hedgeQuantile, target)
	latest := max(time.Duration(hedgeTargetRatio*float64(target)), 2*typical)
	return max(min(quantile, latest), target/10)
}

// abandonOverdue ends running requests that have exceeded their time.
func (b *Balancer[E, D, P, L]) abandonOverdue() {
	var late []request
	for _, r := range b.requests.All {
		if b.shouldAbandon(r) {
			late = append(late, r)
		}
	}
	for _, r := range late {
		delivered := r.delivered != 0
		r = b.cancelOthers(r, 0)
		if delivered {
			b.refuse(r, descriptor.AnswerCut, descriptor.Ran, 0)
			continue
		}
		reason := descriptor.BackendFailed
		if !r.deadline.IsZero() && !b.now.Before(r.deadline) {
			reason = descriptor.Expired
		}
		b.refuse(r.WithMayHaveRun(), reason, descriptor.MayHaveRun, 0)
	}
}

// shouldAbandon reports whether a running request is to be abandoned: after its
// timeout, after its deadline if it is idempotent or outcomes are pooled, or after
// many targets. One whose answer is being delivered is abandoned only if outcomes are
// pooled, because its deadline then bounds the whole answer. Long work never is.
func (b *Balancer[E, D, P, L]) shouldAbandon(r request) bool {
	declared := b.classes[r.class].declared
	if r.count == 0 || declared.Long || r.delivered != 0 && !b.options.PooledOutcomes {
		return false
	}
	if declared.Timeout > 0 && b.now.Sub(r.arrived) > declared.Timeout+timeoutSlack {
		return true
	}
	if b.options.PooledOutcomes && !r.deadline.IsZero() && b.now.Sub(r.deadline) > timeoutSlack {
		// The backend server knows the deadline and has ended the work too.
		return true
	}
	if declared.Idempotent && !r.deadline.IsZero() && b.now.After(r.deadline) {
		return true
	}
	return r.delivered == 0 && b.now.Sub(r.arrived) > max(minAbandonTime, abandonTargets*declared.Target)
}
