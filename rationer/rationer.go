package rationer

import (
	"fmt"
	"math/bits"
	"strconv"
	"time"

	"monsoonswitch/allocator"
	"monsoonswitch/container"
	"monsoonswitch/declarer"
	"monsoonswitch/descriptor"
	"monsoonswitch/limiter"
)

const (
	// maxGrantors bounds the number of grantors. Each asks every instance for its share once in
	// pollInterval.
	maxGrantors = 8
	// maxWait is the longest time that a request waits for a permit, and waitPart the largest part
	// of the time that its caller still waits.
	maxWait  = 100 * time.Millisecond
	waitPart = 0.25
	// answerTimeout is the time after which a demand is taken to be lost.
	answerTimeout = 100 * time.Millisecond
	// minEmptyTime and maxEmptyTime bound the time for which a grantor that had no permit left is
	// not asked again. Shorter ones cost a message for each refused request.
	minEmptyTime = 20 * time.Millisecond
	maxEmptyTime = 200 * time.Millisecond
	// countInterval is the time between two counts of the shares that are held, each of which reads
	// the list of members.
	countInterval = 50 * time.Millisecond
	// sweepInterval is the time between two searches for state that is no longer needed, and
	// idleTime the time without arrivals after which a customer's is not.
	sweepInterval = 5 * time.Second
	idleTime      = 5 * time.Minute
	// freshTime is the time for which an instance that had just started counts as such. It is
	// shorter than the time in which one can give its share and start again.
	freshTime = 400 * time.Millisecond
	// noteInterval is the time between two log events about refusals of a customer.
	noteInterval = time.Minute
)

// View is what an instance knows of the fleet.
type View struct {
	// Callers are the instances that callers are sent to, Members all that are ready, and Owners those of
	// Members that own a share. AbsentOwners is the number of further owners.
	Callers, Members, Owners []descriptor.Member
	AbsentOwners             int
	// Shares is the number of shares into which limits are divided, or 0 if it is not known.
	Shares int
	// Owner reports whether this instance owns a share that it may give and use.
	Owner bool
	// Ready reports whether this instance serves callers and its view is taken to be complete.
	Ready bool
}

// Verdict is the decision about a request.
type Verdict int

// Verdicts.
const (
	// Permitted means that the request may run.
	Permitted Verdict = iota
	// Refused means that the customer has used up its quota.
	Refused
	// Waiting means that the request waits for a permit.
	Waiting
)

// Resolved is the decision about a request that waited.
type Resolved struct {
	Arrived descriptor.Arrived
	Verdict Verdict
	// Retry is the time until a request may be permitted, if the verdict is Refused.
	Retry time.Duration
}

// customer is the limit of a customer that has one.
type customer struct {
	name  string
	terms Terms
}

// flight is a demand that was sent.
type flight struct {
	to    string
	at    time.Duration
	marks []uint64
}

// permit is a permit that an open request has taken.
type permit struct {
	mark uint64
	ends time.Duration
}

// Rationer decides about the quotas at one instance. All times are its uptimes. It must be used by
// one goroutine only.
type Rationer struct {
	rule Rule
	self string
	// now is the latest uptime that was passed to a method.
	now time.Duration
	// listed holds the customers of the routing, and limited the position of each one that has a
	// limit.
	listed  []declarer.Customer
	limited map[uint64]int32
	view    View
	// grantors holds the grantor of each slot. They are empty if none is known.
	grantors [slotCount]descriptor.Member
	// fleet is the largest number of shares known in the last two pledge lives, and lowerSince
	// the time since which fewer are known, or negative.
	fleet      int
	lowerSince time.Duration
	// heardFleet is the largest number that others told in that time, last at heardAt.
	heardFleet int
	heardAt    time.Duration
	given      *given
	// held holds the shares that this instance was given as a grantor, and buckets the customers
	// of its slots whose bucket may not be full.
	held     *held
	buckets  *container.Table[uint64, limiter.Bucket]
	accounts *container.Table[uint64, *account]
	flights  *container.Table[int64, flight]
	open     *container.Table[string, int64]
	wanted   *container.Table[uint64, bool]
	// sendable is set if a customer is wanted whose grantor has no other demand to answer.
	sendable  bool
	taken     *container.Table[descriptor.RequestID, permit]
	lastStamp int64
	// waiting holds the customer of each request that waits.
	waiting   *container.Table[descriptor.RequestID, uint64]
	countedAt time.Duration
	sweptAt   time.Duration
	silentAt  time.Duration
	// fresh holds when this instance asked those that answered that they had just started.
	fresh map[string]time.Duration
	// freshUntil is the time until which it tells them that all have.
	freshUntil time.Duration
	counts     descriptor.QuotaCounts
	actions    []descriptor.Action
	resolved   []Resolved
}

// New returns the rationer of an instance that starts at now.
func New(self string, rule Rule, now time.Duration) *Rationer {
	return &Rationer{
		rule: rule, self: self, now: now, lowerSince: -1, silentAt: -noteInterval,
		fresh:    make(map[string]time.Duration),
		given:    newGiven(now),
		held:     newHeld(now),
		buckets:  container.NewTable[uint64, limiter.Bucket](),
		accounts: container.NewTable[uint64, *account](),
		flights:  container.NewTable[int64, flight](),
		open:     container.NewTable[string, int64](),
		wanted:   container.NewTable[uint64, bool](),
		taken:    container.NewTable[descriptor.RequestID, permit](),
		waiting:  container.NewTable[descriptor.RequestID, uint64](),
	}
}

// Start records that the uptime of the machine is now, where earlier uptimes were not those of the
// machine.
func (r *Rationer) Start(now time.Duration) {
	r.now = now
	r.given, r.held = newGiven(now), newHeld(now)
	r.setOwn(now)
}

// setTime returns the present uptime. Events that wait in a queue are not in order.
func (r *Rationer) setTime(now time.Duration) time.Duration {
	r.now = max(r.now, now)
	return r.now
}

// SetLimits puts the limits of a routing in force. The list must not change afterwards.
func (r *Rationer) SetLimits(list []declarer.Customer) {
	r.listed, r.limited = list, make(map[uint64]int32)
	if !r.rule.Enabled() {
		return
	}
	for i, c := range list {
		if c.Rate > 0 {
			r.limited[descriptor.MarkOf(c.Name)] = int32(i)
		}
	}
}

// customer returns the customer with a mark, or false if it has no limit.
func (r *Rationer) customer(mark uint64) (customer, bool) {
	i, ok := r.limited[mark]
	if !ok {
		return customer{}, false
	}
	c := r.listed[i]
	return customer{c.Name, TermsFor(r.rule, Limit{Rate: c.Rate, Burst: c.Burst})}, true
}

// Active reports whether any customer has a limit.
func (r *Rationer) Active() bool { return len(r.limited) > 0 }

// Waiting returns the number of requests that wait for a permit.
func (r *Rationer) Waiting() int { return r.waiting.Len() }

// Counts returns the numbers of decisions since the start.
func (r *Rationer) Counts() descriptor.QuotaCounts { return r.counts }

// Flush returns the actions and decisions since the last call. The slices are valid until the next
// call of another method.
func (r *Rationer) Flush() ([]descriptor.Action, []Resolved) {
	r.sendDemands()
	actions, resolved := r.actions, r.resolved
	r.actions, r.resolved = nil, nil
	return actions, resolved
}

// SetView records what this instance knows of the fleet.
func (r *Rationer) SetView(now time.Duration, v View) {
	now = r.setTime(now)
	r.view = v
	r.setFleet(now, v.Shares)
	candidates := v.Callers[:min(len(v.Callers), maxGrantors)]
	var changed slots
	for slot := range slotCount {
		m := grantorOf(slot, candidates)
		if m.ID != r.grantors[slot].ID {
			changed |= slotSet(slot)
		}
		r.grantors[slot] = m
	}
	if changed == 0 {
		return
	}
	r.setOwn(now)
	r.sendable = true
	for i := range r.accounts.Len() {
		mark, a := r.accounts.At(i)
		if changed&slotSet(slotOf(mark)) == 0 {
			continue
		}
		a.asked = false
		if len(a.waiting) > 0 {
			r.want(mark, a)
		}
	}
	r.note(descriptor.NoteQuotaPlan, "", fmt.Sprintf("%d slots of %d, %d grantors, %d shares", bits.OnesCount64(uint64(changed)), slotCount, len(candidates), r.fleet))
}

// setFleet records the number of shares. It falls late, because an instance that has ended may
// have given its share to a grantor.
func (r *Rationer) setFleet(now time.Duration, n int) {
	switch {
	case n >= r.fleet:
		r.fleet, r.lowerSince = n, -1
	case r.lowerSince < 0:
		r.lowerSince = now
	case now-r.lowerSince >= 2*pledgeLife:
		r.fleet, r.lowerSince = n, -1
	}
}

// setOwn takes over the slots of which this instance is the grantor now, and drops the others.
func (r *Rationer) setOwn(now time.Duration) {
	own := r.slotsOf(r.self)
	lost := r.held.own &^ own
	if own == r.held.own {
		return
	}
	r.held.setOwn(now, own, r.nextStamp(now))
	var gone []uint64
	for mark := range r.buckets.All {
		if lost&slotSet(slotOf(mark)) != 0 {
			gone = append(gone, mark)
		}
	}
	for _, mark := range gone {
		r.buckets.Delete(mark)
	}
}

// hearFleet records the number of shares that another instance knows. It may hold a newer register.
func (r *Rationer) hearFleet(now time.Duration, n int) {
	if n >= r.heardFleet || now-r.heardAt > 2*pledgeLife {
		r.heardFleet, r.heardAt = n, now
	}
}

// divisor returns the number of shares into which limits are divided.
func (r *Rationer) divisor(now time.Duration) int {
	if now-r.heardAt > 2*pledgeLife {
		return max(1, r.fleet)
	}
	return max(1, r.fleet, r.heardFleet)
}

// grantorOf returns which of the candidates is the grantor of a slot, or an empty member if there
// are none.
func grantorOf(slot int, candidates []descriptor.Member) descriptor.Member {
	key := "~quota/" + strconv.Itoa(slot)
	var best descriptor.Member
	var most uint64
	for _, m := range candidates {
		w := allocator.Weight(key, m.ID)
		if best.ID == "" || w > most || w == most && m.ID < best.ID {
			best, most = m, w
		}
	}
	return best
}

// slotsOf returns the slots of which an instance is the grantor.
func (r *Rationer) slotsOf(id string) slots {
	var result slots
	for slot, m := range r.grantors {
		if m.ID == id {
			result |= slotSet(slot)
		}
	}
	return result
}

// grantorOf returns the grantor of a customer, or false if none is known.
func (r *Rationer) grantorOf(mark uint64) (descriptor.Member, bool) {
	m := r.grantors[slotOf(mark)]
	return m, m.ID != ""
}

// nextStamp returns a stamp that is larger than all before.
func (r *Rationer) nextStamp(now time.Duration) int64 {
	r.lastStamp = max(r.lastStamp+1, now.Microseconds())
	return r.lastStamp
}

func (r *Rationer) note(number int, subject, detail string) {
	r.actions = append(r.actions, descriptor.Note{Number: number, Subject: subject, Detail: detail})
}

func (r *Rationer) send(to descriptor.Member, m descriptor.Message) {
	r.actions = append(r.actions, descriptor.Send{To: to, Message: m})
}

// poll asks an instance for its share.
func (r *Rationer) poll(now time.Duration, m descriptor.Member) {
	demand := descriptor.QuotaDemand{Stamp: r.nextStamp(now), Slots: uint64(r.held.own), Fleet: r.fleet, Fresh: r.allFresh(now)}
	if m.ID != r.self {
		r.send(m, demand)
		return
	}
	if reply, ok := r.answerPoll(now, m.ID, demand); ok {
		r.HandleGrant(now, m.ID, reply)
	}
}

// answerPoll gives this instance's share to a grantor.
func (r *Rationer) answerPoll(now time.Duration, from string, m descriptor.QuotaDemand) (descriptor.QuotaGrant, bool) {
	r.hearFleet(now, m.Fleet)
	if !r.view.Ready || !r.view.Owner {
		r.given.give(now, from, m.Stamp, slots(m.Slots), 0)
		return descriptor.QuotaGrant{}, false
	}
	if m.Fresh && m.Fleet == r.fleet {
		r.given.notBefore = min(r.given.notBefore, now)
	}
	got := r.given.give(now, from, m.Stamp, slots(m.Slots), r.slotsOf(from))
	fresh := now < r.given.notBefore
	return descriptor.QuotaGrant{Stamp: m.Stamp, Slots: uint64(got), Fleet: r.fleet, Fresh: fresh}, got != 0 || fresh
}

// allFresh reports whether all owners of shares have told this instance, which has just started
// too, that they have just started. Then no former grantor still uses shares, and nobody needs to
// wait for the end of pledges. An owner that is not heard of may have given its share to one.
func (r *Rationer) allFresh(now time.Duration) bool {
	if now < r.freshUntil {
		return true
	}
	if now >= r.given.notBefore || !r.view.Ready || len(r.view.Owners) == 0 || r.view.AbsentOwners > 0 {
		return false
	}
	for _, m := range r.view.Owners {
		if at, ok := r.fresh[m.ID]; !ok || now-at > freshTime {
			return false
		}
	}
	r.freshUntil = now + freshTime
	return true
}

// HandleDemand answers a demand of another instance.
func (r *Rationer) HandleDemand(now time.Duration, from descriptor.Member, m descriptor.QuotaDemand) {
	now = r.setTime(now)
	if len(m.List) == 0 {
		if reply, ok := r.answerPoll(now, from.ID, m); ok {
			r.send(from, reply)
		}
		return
	}
	r.send(from, r.grant(now, m))
}

// grant grants permits for a demand. Customers whose limit is not known are left out, and those of
// slots of which this instance holds no share, or none yet.
func (r *Rationer) grant(now time.Duration, m descriptor.QuotaDemand) descriptor.QuotaGrant {
	reply := descriptor.QuotaGrant{Stamp: m.Stamp}
	r.held.advance(now)
	for _, d := range m.List {
		c, ok := r.customer(d.Mark)
		slot := slotOf(d.Mark)
		if !ok || r.held.bySlot[slot].part <= 0 {
			continue
		}
		b, ok := r.buckets.Get(d.Mark)
		if !ok {
			b = limiter.NewBucket(epoch)
		}
		b, n, wait := r.held.bySlot[slot].grant(b, c.terms, d.Permits, d.Ahead)
		r.buckets.Put(d.Mark, b)
		r.counts.Granted += uint64(n)
		reply.List = append(reply.List, descriptor.CustomerGrant{
			Mark: d.Mark, Permits: n, Life: c.terms.Life.Milliseconds(), Wait: wait.Milliseconds(),
		})
	}
	return reply
}

// Tick does the work that depends on time alone.
func (r *Rationer) Tick(now time.Duration) {
	now = r.setTime(now)
	r.tickHeld(now)
	r.expireFlights(now)
	r.tickAccounts(now)
	if now-r.sweptAt >= sweepInterval {
		r.sweptAt = now
		r.sweep(now)
	}
}

// tickHeld counts the shares that this instance holds and asks for those of others.
func (r *Rationer) tickHeld(now time.Duration) {
	if !r.Active() || now-r.countedAt < countInterval {
		return
	}
	r.countedAt = now
	for _, m := range r.view.Members {
		if r.held.mustPoll(now, m.ID) {
			r.poll(now, m)
		}
	}
	if r.held.own != 0 {
		r.held.count(now, r.divisor(now))
	}
}

// sweep removes full buckets and customers without arrivals.
func (r *Rationer) sweep(now time.Duration) {
	r.held.advance(now)
	var full []uint64
	for mark, b := range r.buckets.All {
		s := &r.held.bySlot[slotOf(mark)]
		c, _ := r.customer(mark)
		if b = s.fill(b, c.terms); b.Left() >= c.terms.Size*s.part {
			full = append(full, mark)
		}
	}
	for _, mark := range full {
		r.buckets.Delete(mark)
	}
	var idle []uint64
	for mark, a := range r.accounts.All {
		if now-a.usedAt >= idleTime && len(a.waiting) == 0 {
			idle = append(idle, mark)
		}
	}
	for _, mark := range idle {
		r.accounts.Delete(mark)
	}
}
