package balancer

import (
	"slices"
	"strconv"
	"time"

	"monsoonswitch/allocator"
	"monsoonswitch/descriptor"
	"monsoonswitch/retrier"
)

// SetBackends applies a list of backend servers. Those no longer listed finish their
// work. Until restoreDeadline they count as listed, because entries that expired
// during an outage of the store take a while to be renewed.
func (b *Balancer[E, D, P, L]) SetBackends(now time.Time, list []descriptor.Backend, restoreDeadline time.Time) {
	b.advance(now)
	b.recordRestarts(list)
	present := make(map[string]bool, len(list))
	for _, listed := range list {
		present[listed.ID] = true
		b.addListed(listed)
	}
	b.listReceived = true
	for _, id := range b.backendIDs() {
		if !present[id] {
			b.handleMissing(id, restoreDeadline)
		}
	}
	b.refresh()
	b.startQueued()
}

func (b *Balancer[E, D, P, L]) backendIDs() []string {
	ids := make([]string, 0, b.backends.Len())
	for id := range b.backends.All {
		ids = append(ids, id)
	}
	return ids
}

func (b *Balancer[E, D, P, L]) addListed(listed descriptor.Backend) {
	s, ok := b.backends.Get(listed.ID)
	if !ok {
		s = newBackend[E](listed, b.now, b.listReceived)
		if b.listReceived {
			s.rampFrom = b.now
			s.coldUntil = b.now.Add(coldTime)
		}
	}
	listed = b.withKnownLeaving(listed)
	s.restoreDeadline = time.Time{}
	s.delisted = false
	s = s.WithListed(listed).WithShare(b.shareOf(listed))
	if listed.Leaving {
		s = s.WithMode(modeLeaving)
	}
	b.backends.Put(listed.ID, s)
	b.marks[descriptor.MarkOf(listed.ID)] = listed.ID
}

// withKnownLeaving returns an entry marked as leaving if its incarnation was ever
// listed so and outcomes are pooled. A delayed entry may not show it, but an
// incarnation that leaves never returns.
func (b *Balancer[E, D, P, L]) withKnownLeaving(listed descriptor.Backend) descriptor.Backend {
	if !b.options.PooledOutcomes {
		return listed
	}
	if listed.Leaving {
		b.departed.Put(descriptor.MarkOf(listed.ID), true)
	}
	leaving, _ := b.departed.Get(descriptor.MarkOf(listed.ID))
	listed.Leaving = leaving
	return listed
}

// handleMissing handles a backend server that is no longer listed.
func (b *Balancer[E, D, P, L]) handleMissing(id string, restoreDeadline time.Time) {
	s, _ := b.backends.Get(id)
	if s.listed.Leaving || !b.now.Before(restoreDeadline) {
		b.delist(id)
		return
	}
	s.restoreDeadline = restoreDeadline
	b.backends.Put(id, s)
}

// dropMissing removes the backend servers that were not listed again in time.
func (b *Balancer[E, D, P, L]) dropMissing() {
	var missing []string
	for id, s := range b.backends.All {
		if !s.restoreDeadline.IsZero() && !b.now.Before(s.restoreDeadline) {
			missing = append(missing, id)
		}
	}
	for _, id := range missing {
		b.delist(id)
	}
}

func (b *Balancer[E, D, P, L]) delist(id string) {
	s, _ := b.backends.Get(id)
	if s.inFlight == 0 {
		b.remove(id)
		return
	}
	listed := s.listed
	listed.Leaving = true
	s.delisted = true
	b.backends.Put(id, s.WithListed(listed).WithMode(modeLeaving))
}

// remove deletes a backend server. Positions change, so the sets are rebuilt.
func (b *Balancer[E, D, P, L]) remove(id string) {
	b.backends.Delete(id)
	delete(b.marks, descriptor.MarkOf(id))
	b.refresh()
}

// nonOwnerShare is the share of a non-owner at each backend server. It does not limit
// the attempts there: with fewer in flight the non-owner expects no wait, because the
// queue of the backend server has room for a few more requests.
const nonOwnerShare = 1

func (b *Balancer[E, D, P, L]) shareOf(listed descriptor.Backend) int {
	if b.options.PooledOutcomes && b.position < 0 {
		return nonOwnerShare
	}
	return allocator.Share(listed.Slots, len(b.owners), b.position, listed.ID)
}

// SetOwners sets the owners of the service's slots.
func (b *Balancer[E, D, P, L]) SetOwners(now time.Time, owners []descriptor.Member) {
	b.advance(now)
	position := positionOf(owners, b.options.Self)
	if position < 0 && b.position >= 0 && !b.options.PooledOutcomes {
		if b.shareRetainedUntil.IsZero() {
			b.shareRetainedUntil = now.Add(shareRetention)
		}
		return
	}
	b.shareRetainedUntil = time.Time{}
	same := position == b.position && sameIDs(owners, b.owners)
	b.reportCrashesTo(newIn(owners, b.owners))
	b.owners = owners
	b.position = position
	b.gateways = gatewaysOf(owners, b.options)
	if same {
		return
	}
	b.updateTerms()
	b.recomputeShares()
	b.startQueued()
}

// newIn returns the instances of list that are not in the earlier one.
func newIn(list, earlier []descriptor.Member) []descriptor.Member {
	var result []descriptor.Member
	for _, m := range list {
		if positionOf(earlier, m.ID) < 0 {
			result = append(result, m)
		}
	}
	return result
}

// sameIDs reports whether two lists hold the same instances in the same order.
func sameIDs(a, b []descriptor.Member) bool {
	return slices.EqualFunc(a, b, func(x, y descriptor.Member) bool { return x.ID == y.ID })
}

// updateTerms computes how the retry budget grows from what it depends on.
func (b *Balancer[E, D, P, L]) updateTerms() {
	b.terms = b.options.terms(len(b.owners), b.position, b.heard)
}

// SetRetries sets the bounds on the retries of all instances together.
func (b *Balancer[E, D, P, L]) SetRetries(bounds retrier.Bounds) {
	b.options.Retries = bounds
	b.updateTerms()
}

// SetHeard sets the share of the fleet that this instance hears of, over 0 and at most 1. The
// others may be cut off from this instance only, and send retries of their own.
func (b *Balancer[E, D, P, L]) SetHeard(share float64) {
	b.heard = share
	b.updateTerms()
}

// shareRetention is how long a former owner keeps its share. The other instances may
// need that long to learn of the change.
const shareRetention = 2 * time.Second

func positionOf(owners []descriptor.Member, id string) int {
	for i, m := range owners {
		if m.ID == id {
			return i
		}
	}
	return -1
}

// dropRetainedShare drops the share of a former owner after shareRetention and refuses
// its queued requests.
func (b *Balancer[E, D, P, L]) dropRetainedShare() {
	if b.shareRetainedUntil.IsZero() || b.now.Before(b.shareRetainedUntil) {
		return
	}
	b.shareRetainedUntil = time.Time{}
	b.position = -1
	b.recomputeShares()
	b.refuseQueued()
}

// recomputeShares assigns this instance its share of the slots of every backend
// server.
func (b *Balancer[E, D, P, L]) recomputeShares() {
	for i := range b.backends.Len() {
		_, s := b.backends.At(i)
		b.backends.SetAt(i, b.withLimitPart(s.WithShare(b.shareOf(s.listed))))
	}
	b.deleteFormerOwners()
	b.refresh()
}

// OwnsSlots reports whether this instance is an owner.
func (b *Balancer[E, D, P, L]) OwnsSlots() bool { return b.position >= 0 }

// Owners returns the owners of the service's slots.
func (b *Balancer[E, D, P, L]) Owners() []descriptor.Member { return b.owners }

// refuseQueued refuses all queued requests, because other instances serve them now.
func (b *Balancer[E, D, P, L]) refuseQueued() {
	for _, r := range b.queuedRequests() {
		b.refuse(r, descriptor.Misdirected, r.outcome(), 0)
	}
	b.retries = b.retries[:0]
}

func (b *Balancer[E, D, P, L]) queuedRequests() []request {
	var result []request
	for _, r := range b.requests.All {
		if r.queued {
			result = append(result, r)
		}
	}
	return result
}

// refresh recomputes everything that depends on the current time or on positions.
func (b *Balancer[E, D, P, L]) refresh() {
	b.preferred.Clear()
	b.lastResort.Clear()
	b.slots = 0
	b.unsuspected = 0
	for i := range b.backends.Len() {
		_, s := b.backends.At(i)
		b.slots += b.limit(s)
		if s.mode == modeReady && !s.avoided && s.share > 0 {
			b.unsuspected++
		}
		b.putBackend(i, s)
	}
}

// sendToOwners sends a message to the other owners.
func (b *Balancer[E, D, P, L]) sendToOwners(m descriptor.Message) {
	for _, p := range b.owners {
		if p.ID != b.options.Self {
			b.emit(descriptor.Send{To: p, Message: m})
		}
	}
}

// HandleDrain handles a drain reported by another owner.
func (b *Balancer[E, D, P, L]) HandleDrain(now time.Time, m descriptor.Drain) {
	b.advance(now)
	p := b.backends.Position(m.Backend)
	if p < 0 {
		return
	}
	_, s := b.backends.At(p)
	b.putBackend(p, s.WithDrain(b.now))
}

func itoa(n int) string { return strconv.Itoa(n) }

// Avoids reports whether a backend server gets no work while others can take it.
func (b *Balancer[E, D, P, L]) Avoids(id string) bool {
	s, ok := b.backends.Get(id)
	return !ok || s.avoided || s.mode != modeReady
}
