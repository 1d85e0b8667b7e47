package balancer

import (
	"sort"
	"time"

	"monsoonswitch/container"
	"monsoonswitch/declarer"
	"monsoonswitch/descriptor"
	"monsoonswitch/limiter"
	"monsoonswitch/picker"
)

// retryAfter is the wait that callers are asked to keep before they send refused work
// again.
const retryAfter = time.Second

// Arrive admits or refuses a new request. Its class must be one that the balancer takes.
func (b *Balancer[E, D, P, L]) Arrive(e descriptor.Arrived) {
	b.advance(e.At)
	r := request{
		id:           e.Request,
		label:        e.Label,
		class:        b.classIndex(e.Class),
		caller:       e.Caller,
		customer:     e.Customer,
		customerRank: e.CustomerRank,
		fingerprint:  e.Fingerprint,
		content:      e.Content,
		replayable:   e.Replayable,
		body:         e.Body,
		size:         e.Size,
		deadline:     e.Deadline,
		arrived:      e.At,
	}
	if b.options.PooledOutcomes {
		b.budget = b.budget.WithTime(e.At, b.terms).WithRequest(b.terms)
	}
	if reason, retry := b.CheckAdmission(e); reason != descriptor.Served {
		b.refuse(r, reason, descriptor.NotRun, retry)
		return
	}
	r.once = !b.classes[r.class].declared.Idempotent
	b.admit(r)
}

// classIndex returns the index of a class, or -1.
func (b *Balancer[E, D, P, L]) classIndex(name string) int {
	if c, ok := b.classPositions[name]; ok {
		return c
	}
	return -1
}

// CheckAdmission returns why a request cannot be admitted and when to send it again, or
// Served if it can.
func (b *Balancer[E, D, P, L]) CheckAdmission(e descriptor.Arrived) (descriptor.Reason, time.Duration) {
	switch {
	case b.service.State == declarer.Closing:
		return descriptor.ServiceClosing, 0
	case b.service.State == declarer.Closed:
		return descriptor.ServiceClosed, 0
	case b.position < 0 && !b.options.PooledOutcomes:
		return descriptor.Misdirected, 0
	case b.poisoned(e.Fingerprint, e.Content):
		return descriptor.Poisoned, 0
	case b.backends.Len() == 0:
		return descriptor.NoBackend, retryAfter
	case e.NoMemory:
		return descriptor.UploadsFull, retryAfter
	case b.queued >= maxQueued:
		return descriptor.Overloaded, retryAfter
	}
	return descriptor.Served, 0
}

// admit starts a request, queues it, or refuses it if its maximum wait or deadline has
// passed or the limiter does not admit it.
func (b *Balancer[E, D, P, L]) admit(r request) {
	b.scanAfterIdleTime()
	b.trace(r, descriptor.NoteAdmitted, 0, "", "", 0)
	b.updateRepeatableShare(r)
	if b.yields(r) {
		b.refuseForRoom(r, retryAfter)
		return
	}
	if (b.queued == 0 || b.options.PooledOutcomes && b.ahead(r.level()) == 0) && b.mayStart(r.class) && b.start(r) {
		return
	}
	maxWait := b.limiter.MaxWait(b.queueState(r.level()))
	expires := r.arrived.Add(maxWait)
	if !r.deadline.IsZero() && r.deadline.Before(expires) {
		expires = r.deadline
	}
	if !expires.After(b.now) {
		b.refuse(r, descriptor.Expired, descriptor.NotRun, 0)
		return
	}
	if wait, ok := b.turnedAwayBeyond(r.level(), expires); ok {
		b.refuse(r, descriptor.Overloaded, descriptor.NotRun, wait)
		return
	}
	if !b.limiter.Admits(b.queueState(r.level())) && !b.displace(r) {
		b.refuseForRoom(r, retryAfter)
		return
	}
	r = r.WithQueued(expires)
	b.requests.Put(r.id, r)
	b.queued++
	b.trace(r, descriptor.NoteQueued, 0, "", "", 0)
	b.queues[r.class].At(r.customerRank).Push(r.owner(), r.id)
	b.startQueued()
}

// turnedAwayBeyond reports whether the backend servers themselves, by pauses or limits, leave no
// request for one of level l before expires. It also returns the wait to ask its caller for.
func (b *Balancer[E, D, P, L]) turnedAwayBeyond(l level, expires time.Time) (time.Duration, bool) {
	if wait, ok := b.pausedBeyond(expires); ok {
		return wait, true
	}
	return b.limitedBeyond(l, expires)
}

// queueState describes the queue of a level for the limiter.
func (b *Balancer[E, D, P, L]) queueState(l level) limiter.QueueState {
	declared := b.classes[l.class].declared
	return limiter.QueueState{
		Target:  declared.Target,
		Typical: b.references[l.class].Quantile(0.5, 0),
		Oldest:  b.oldest(l),
		// Less urgent levels start after l and are not counted.
		Ahead:    b.ahead(l),
		InFlight: b.inFlight(),
	}
}

// ahead counts the queued requests of levels at least as urgent as l.
func (b *Balancer[E, D, P, L]) ahead(l level) int {
	n := 0
	for i, q := range b.queues {
		for _, rank := range q.Ranks() {
			if !b.urgencyOf(l).Before(b.urgencyOf(level{rank, i})) {
				n += q.At(rank).Len()
			}
		}
	}
	return n
}

func (b *Balancer[E, D, P, L]) inFlight() int {
	n := 0
	for i := range b.classes {
		n += b.classes[i].inFlight
	}
	return n
}

// oldest returns how long the oldest queued request of a level has waited. As the
// queue serves callers in turn, the first request of the next caller is taken as the
// oldest.
func (b *Balancer[E, D, P, L]) oldest(l level) time.Duration {
	id, ok := b.queues[l.class].At(l.customer).Front()
	if !ok {
		return 0
	}
	r, ok := b.requests.Get(id)
	if !ok {
		return 0
	}
	return b.now.Sub(r.arrived)
}

// mayStart reports whether the limit on long work allows a class to start work.
func (b *Balancer[E, D, P, L]) mayStart(c int) bool {
	if !b.classes[c].declared.Long || !b.hasShort() {
		return true
	}
	return b.longInFlight() < b.limiter.MaxLongSlots(b.slots)
}

func (b *Balancer[E, D, P, L]) hasShort() bool {
	for i := range b.classes {
		if !b.classes[i].declared.Long && !b.classes[i].retired {
			return true
		}
	}
	return false
}

func (b *Balancer[E, D, P, L]) longInFlight() int {
	sum := 0
	for i := range b.classes {
		if b.classes[i].declared.Long {
			sum += b.classes[i].inFlight
		}
	}
	return sum
}

// start sends a request to a backend server if one has a free slot.
func (b *Balancer[E, D, P, L]) start(r request) bool {
	position := b.pick(r)
	if position < 0 {
		return false
	}
	b.dispatch(r, position)
	return true
}

// dispatch opens an attempt of r at the backend server at position.
func (b *Balancer[E, D, P, L]) dispatch(r request, position int) {
	if r.queued {
		b.queued--
	}
	id, s := b.backends.At(position)
	long := b.classes[r.class].declared.Long
	if b.mayCheck(r) && s.estimate.ServeProbability(b.now) < healthyThreshold {
		r = r.WithReserved(b.spendRetry())
	}
	r = r.WithAttempt(id, b.now)
	b.trace(r, descriptor.NoteDispatched, r.last, id, "", 0)
	b.requests.Put(r.id, r)
	b.classes[r.class] = b.classes[r.class].WithInFlight(1)
	b.putBackend(position, s.WithRequest(b.now).WithStart(long))
	b.emit(descriptor.Dispatch{Request: r.id, Attempt: r.last, Backend: s.listed})
}

// pick returns the position of a backend server for r, or -1.
func (b *Balancer[E, D, P, L]) pick(r request) int {
	if b.options.PooledOutcomes {
		return b.pickPooled(r)
	}
	if p := b.pickFrom(&b.preferred, r); p >= 0 {
		return p
	}
	if b.lastResort.Len() == 0 || !b.mayUseLastResort(r) {
		return -1
	}
	return b.pickFrom(&b.lastResort, r)
}

// mayUseLastResort reports whether r may go to a suspected backend server: work that
// can be retried may, and all work may if every backend server is suspected.
func (b *Balancer[E, D, P, L]) mayUseLastResort(r request) bool {
	return b.repeatable(r) || b.unsuspected == 0
}

// pickFrom returns the position of a member of set that may take r, or -1.
func (b *Balancer[E, D, P, L]) pickFrom(set *container.Positions, r request) int {
	n := set.Len()
	if n == 0 {
		return -1
	}
	b.turn++
	at := b.candidate
	if set != &b.preferred {
		at = func(i int) picker.Candidate { return b.candidateAt(set, i) }
	}
	long := b.classes[r.class].declared.Long
	first := b.picker.Pick(n, at, b.turn, b.random)
	for k := range n {
		position := set.At((first + k) % n)
		id, s := b.backends.At(position)
		if r.triedAt(id) || long && s.inFlight >= s.share {
			continue
		}
		return position
	}
	return -1
}

func (b *Balancer[E, D, P, L]) candidateAt(set *container.Positions, i int) picker.Candidate {
	position := set.At(i)
	_, s := b.backends.At(position)
	return picker.Candidate{
		Position:         position,
		InFlight:         s.inFlight,
		Share:            max(1, s.share),
		ServeProbability: s.estimate.ServeProbability(b.now),
	}
}

// freeSets returns the sets of backend servers with a free slot, preferred ones
// first.
func (b *Balancer[E, D, P, L]) freeSets() [2]*container.Positions {
	return [2]*container.Positions{&b.preferred, &b.lastResort}
}

// putBackend stores the record at position and updates the sets of backend servers
// with a free slot.
func (b *Balancer[E, D, P, L]) putBackend(position int, s backend[E]) {
	b.backends.SetAt(position, s)
	free := s.inFlight < b.limit(s)
	risky := s.avoided || s.mode == modeTrial || b.position < 0 && s.allowance.Active(b.now)
	b.preferred.Set(position, free && !risky)
	b.lastResort.Set(position, free && risky)
}

// limit returns how many attempts may be in flight at a backend server.
func (b *Balancer[E, D, P, L]) limit(s backend[E]) int {
	if b.options.PooledOutcomes {
		return s.pooledLimit(b.now)
	}
	return s.limit(b.now)
}

// startQueued starts queued requests while there are free slots.
func (b *Balancer[E, D, P, L]) startQueued() {
	b.startRetries()
	if b.options.PooledOutcomes {
		b.startQueuedPooled()
		return
	}
	for b.queued > 0 && b.preferred.Len()+b.lastResort.Len() > 0 {
		c := b.nextClass()
		if c < 0 || !b.startNext(level{class: c}) {
			return
		}
	}
}

func (b *Balancer[E, D, P, L]) startRetries() {
	queued := b.retries
	b.retries = b.retries[:0]
	for _, id := range queued {
		r, ok := b.requests.Get(id)
		if ok && r.queued && !b.refusePoisoned(r) && !b.start(r) {
			b.retries = append(b.retries, id)
		}
	}
}

// startQueuedPooled starts queued requests of all levels, the most urgent level first. A
// request that waits for a healthy backend server does not block other levels.
func (b *Balancer[E, D, P, L]) startQueuedPooled() {
	for _, l := range b.byUrgency() {
		queue := b.queues[l.class].At(l.customer)
		for queue.Len() > 0 && b.preferred.Len()+b.lastResort.Len() > 0 && b.startNext(l) {
		}
	}
}

// byUrgency lists the levels with queued requests by urgency. Among levels of one urgency, the
// one whose oldest request is closest to its target comes first.
func (b *Balancer[E, D, P, L]) byUrgency() []level {
	var list []level
	for c, q := range b.queues {
		for _, rank := range q.Ranks() {
			list = append(list, level{rank, c})
		}
	}
	sort.SliceStable(list, func(i, j int) bool {
		x, y := b.urgencyOf(list[i]), b.urgencyOf(list[j])
		if x != y {
			return x.Before(y)
		}
		return b.slack(list[i]) < b.slack(list[j])
	})
	return list
}

// slack returns the time until the oldest queued request of a level misses its target.
func (b *Balancer[E, D, P, L]) slack(l level) time.Duration {
	return b.classes[l.class].declared.Target - b.oldest(l)
}

// startNext starts the next queued request of a level and reports whether one left the queue.
func (b *Balancer[E, D, P, L]) startNext(l level) bool {
	newestFirst := b.limiter.NewestFirst(b.queueState(l))
	queue := b.queues[l.class].At(l.customer)
	id, ok := queue.Pop(newestFirst)
	if !ok {
		return false
	}
	r, ok := b.requests.Get(id)
	if !ok || !r.queued {
		return true
	}
	if !b.now.Before(r.expires) {
		b.expire(r)
		return true
	}
	if b.refusePoisoned(r) || b.start(r) {
		return true
	}
	queue.PutBack(r.owner(), id, newestFirst)
	return false
}

// nextClass returns the class whose queue is served next, or -1. Long work that holds
// fewer than its reserved slots comes first, then the class whose oldest request is
// closest to its target.
func (b *Balancer[E, D, P, L]) nextClass() int {
	best := -1
	var bestSlack time.Duration
	for c := range b.classes {
		if b.queues[c].Len() == 0 || !b.hasUsableSlot(c) || !b.mayStart(c) {
			continue
		}
		declared := b.classes[c].declared
		if declared.Long && b.longInFlight() < b.limiter.ReservedLongSlots(b.slots) {
			return c
		}
		slack := b.slack(level{class: c})
		if best < 0 || slack < bestSlack {
			best, bestSlack = c, slack
		}
	}
	return best
}

// hasUsableSlot reports whether a class may use one of the free slots.
func (b *Balancer[E, D, P, L]) hasUsableSlot(c int) bool {
	if b.preferred.Len() > 0 {
		return true
	}
	return b.lastResort.Len() > 0 && (b.classes[c].declared.Idempotent || b.unsuspected == 0)
}

// expire refuses a queued request that can no longer meet its target.
func (b *Balancer[E, D, P, L]) expire(r request) {
	reason := descriptor.Overloaded
	if !r.deadline.IsZero() && !b.now.Before(r.deadline) {
		reason = descriptor.Expired
	}
	if reason == descriptor.Overloaded {
		b.refuseForRoom(r, b.waitHint())
		return
	}
	b.refuse(r, reason, r.outcome(), b.waitHint())
}
