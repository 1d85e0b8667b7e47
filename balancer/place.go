package balancer

import (
	"time"

	"monsoonswitch/descriptor"
	"monsoonswitch/picker"
)

// Parameters of placement when the slots are not divided among instances. Bonuses are
// added to the score of a candidate, in units of the probability of serving the
// request.
const (
	// healthyThreshold is the probability of serving a request from which a backend
	// server gets work without restrictions.
	healthyThreshold = 0.55
	// healthyWaitRatio is the part of its spare time, target minus typical service
	// time, that a request waits for a backend server at healthyThreshold.
	healthyWaitRatio = 0.5
	// localBonus adds to the score of a backend server in the same failure domain,
	// and localBonusPerByte adds more for each byte of the body, up to maxLocalBonus.
	// Bytes sent between failure domains have a cost: for an upload of 60 kB it is a
	// fifth of the value of the request.
	localBonus        = 0.03
	localBonusPerByte = 0.2 / 60e3
	maxLocalBonus     = 0.2
	// reuseBonus adds to the score of a backend server to which a connection is open
	// that any work may use. A connection counts as such for reuseTime after work was
	// sent there.
	reuseBonus = 0.02
	reuseTime  = 4 * time.Second
	// retryCost is the cost of a failure of work that can be retried, as a part of
	// the cost of a failure of other work.
	retryCost = 0.35
	// requestsPerCanary is the mean number of idempotent requests at a non-owner of which
	// one goes to the suspected backend server with the oldest estimate. Non-owners have
	// few requests, and get suspicion lists but no outcomes from other instances.
	requestsPerCanary = 3
	// minCheckBudget is the number of retries left below which idempotent work checks no
	// suspected backend server and its failure counts in full. It is one retry, which each
	// instance can save, however many share the retries.
	minCheckBudget = 1
)

// pickPooled returns the position of a backend server for r by pooled estimates and
// load, or -1 if r is to wait. Except for canaries, spread work and requests with an
// attempt that did not run, r waits a while for a healthy backend server before it goes
// to a suspected one.
func (b *Balancer[E, D, P, L]) pickPooled(r request) int {
	positions := b.untried(r)
	if len(positions) == 0 {
		return -1
	}
	if p := b.canary(r, positions); p >= 0 {
		return p
	}
	b.turn++
	at := func(i int) picker.Candidate { return b.pooledCandidate(r, positions[i]) }
	best := positions[b.picker.Pick(len(positions), at, b.turn, b.random)]
	_, s := b.backends.At(best)
	if probability := s.estimate.ServeProbability(b.now); probability < healthyThreshold && b.spreadBonusFor(r, s) == 0 && b.shouldWait(r) {
		return -1
	}
	return best
}

// untried returns the positions of the backend servers with a free slot that r was
// not sent to. Those that are avoided or on trial are returned only if there are no
// others.
func (b *Balancer[E, D, P, L]) untried(r request) []int {
	b.scratch = b.scratch[:0]
	for _, set := range b.freeSets() {
		for i := range set.Len() {
			position := set.At(i)
			if id, _ := b.backends.At(position); !r.triedAt(id) {
				b.scratch = append(b.scratch, position)
			}
		}
		if len(b.scratch) > 0 {
			return b.scratch
		}
	}
	return nil
}

func (b *Balancer[E, D, P, L]) pooledCandidate(r request, position int) picker.Candidate {
	_, s := b.backends.At(position)
	c := picker.Candidate{
		Position:         position,
		InFlight:         s.inFlight,
		Share:            s.listed.Slots,
		ServeProbability: b.serveProbability(r, s),
		Load:             s.load(b.now),
		WaitShare:        b.waitShare(r, s),
	}
	if s.listed.Domain == b.options.Domain {
		c.Bonus = r.localBonus()
	}
	if b.now.Sub(s.lastSentAt) < reuseTime {
		c.Bonus += reuseBonus
	}
	c.Bonus += b.spreadBonusFor(r, s)
	return c
}

// localBonus returns what the same failure domain adds to the score of a backend
// server for r. A body of unknown size counts as a large one.
func (r request) localBonus() float64 {
	if r.size < 0 {
		return maxLocalBonus
	}
	return min(maxLocalBonus, localBonus+localBonusPerByte*float64(r.size))
}

// serveProbability returns the probability that r is served if it goes to s first. A
// failure of work that can be retried counts only retryCost.
func (b *Balancer[E, D, P, L]) serveProbability(r request, s backend[E]) float64 {
	probability := s.estimate.ServeProbability(b.now)
	if !b.repeatable(r) || b.budget.Left < minCheckBudget || int(r.last)-r.notRun+1 >= b.attemptLimit(r) {
		return probability
	}
	return 1 - retryCost*(1-probability)
}

// waitShare estimates how long r would wait at s, as a part of its spare time. Within
// the share of this instance there is no wait.
func (b *Balancer[E, D, P, L]) waitShare(r request, s backend[E]) float64 {
	if s.inFlight < s.share {
		return 0
	}
	typical := b.references[r.class].Quantile(0.5, defaultServiceTime)
	spare := max(b.classes[r.class].declared.Target-typical, typical/2)
	ahead := s.load(b.now) + 1/float64(s.listed.Slots) - 1
	if ahead <= 0 {
		// The owner of a slot that looks free may have taken it already.
		ahead = foreignSlotWait
	}
	return ahead * float64(typical) / float64(spare)
}

const (
	// defaultServiceTime is used while the typical service time is not known.
	defaultServiceTime = 200 * time.Millisecond
	// foreignSlotWait is the expected wait, in service times, for a free slot in the
	// share of another instance.
	foreignSlotWait = 0.12
)

// shouldWait reports whether r waits instead of going to a suspected backend server.
// It does for part of its spare time if any backend server is healthy.
func (b *Balancer[E, D, P, L]) shouldWait(r request) bool {
	if r.notRun > 0 {
		// An attempt that did not run cost nothing, so the next one starts at once.
		return false
	}
	declared := b.classes[r.class].declared
	spare := declared.Target - b.references[r.class].Quantile(0.5, declared.Target/2)
	if float64(b.now.Sub(r.arrived)) > healthyWaitRatio*float64(spare) {
		return false
	}
	for _, s := range b.backends.All {
		if s.mode == modeReady && !s.avoided && s.estimate.ServeProbability(b.now) >= healthyThreshold {
			return true
		}
	}
	return false
}

// canary returns the position of a suspected backend server for a random part of the
// idempotent requests of a non-owner, or -1. This detects recovery without risking work
// that cannot be retried. Owners check all of them; see spreadBonusFor.
func (b *Balancer[E, D, P, L]) canary(r request, positions []int) int {
	if b.position >= 0 || b.queued > 0 || !b.mayCheck(r) {
		return -1
	}
	if b.random.Uint64()%requestsPerCanary != 0 {
		return -1
	}
	oldest := -1
	for _, p := range positions {
		_, s := b.backends.At(p)
		if s.estimate.ServeProbability(b.now) >= healthyThreshold || s.inFlight > 0 {
			continue
		}
		if oldest < 0 {
			oldest = p
			continue
		}
		if _, o := b.backends.At(oldest); s.estimate.At.Before(o.estimate.At) {
			oldest = p
		}
	}
	return oldest
}

// repeatable reports whether r may run more than once.
func (b *Balancer[E, D, P, L]) repeatable(r request) bool {
	return !r.once && b.classes[r.class].declared.Idempotent && r.replayable
}

// reportsFull reports whether a backend server that refused work had no free slot by
// its own report. An unknown load counts as full. A refusal with free slots is a sign
// of a fault.
func reportsFull(l descriptor.Load) bool {
	return !l.Known || l.Running >= l.Slots
}
