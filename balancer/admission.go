package balancer

import (
	"fmt"
	"time"

	"monsoonswitch/descriptor"
)

// level identifies the queued requests of one class whose customers have one rank.
type level struct {
	// customer is the rank of the customers, and class the index of the class.
	customer, class int
}

// urgencyOf returns the urgency of the requests of a level.
func (b *Balancer[E, D, P, L]) urgencyOf(l level) descriptor.Urgency {
	return descriptor.Urgency{Customer: l.customer, Class: b.classes[l.class].declared.Rank}
}

// yields reports whether r is refused so that more urgent requests get the room, which are refused
// here or at other instances. Only requests of customers yield, and only while no slot is free:
// otherwise what yields would be of no use to the others.
func (b *Balancer[E, D, P, L]) yields(r request) bool {
	if r.customer == "" || !b.full {
		return false
	}
	share := b.yield.Share(b.now, b.urgencyOf(r.level()))
	return share > 0 && b.draw() < share
}

// minDisplacedLead is how many queued requests more than the customer of a new request another
// customer has, from which the newest of them gives way.
const minDisplacedLead = 2

// displace makes room in the queue for r at the cost of the customer with the most queued requests
// of the same level, whose newest one is refused. It reports whether it did. Without it, one
// customer that sends many times its usual fills the queue, and all customers are refused alike.
func (b *Balancer[E, D, P, L]) displace(r request) bool {
	if r.customer == "" {
		return false
	}
	queue := b.queues[r.class].At(r.customerRank)
	owner, n := queue.Longest()
	if n < queue.LenOf(r.owner())+minDisplacedLead {
		return false
	}
	id, _ := queue.PopNewestOf(owner)
	if displaced, ok := b.requests.Get(id); ok && displaced.queued {
		b.refuseForRoom(displaced, retryAfter)
	}
	return true
}

// refuseForRoom refuses a request because the backend servers take no more, and reports that to
// the other instances, where less urgent requests then yield. Its caller is asked to return after
// wait, and callers of customers spread over the target of their class beyond that, so that they
// don't return together, and those with the shortest target return first.
func (b *Balancer[E, D, P, L]) refuseForRoom(r request, wait time.Duration) {
	b.recordRoomRefusal(r)
	if r.customer != "" {
		wait += time.Duration(b.draw() * float64(b.classes[r.class].declared.Target))
	}
	b.refuse(r, descriptor.Overloaded, r.outcome(), wait)
}

// recordRoomRefusal records that a request of a customer is refused for lack of room.
func (b *Balancer[E, D, P, L]) recordRoomRefusal(r request) {
	if r.customer == "" {
		return
	}
	b.applyRoomRefusal(b.urgencyOf(r.level()), true)
}

// applyRoomRefusal applies that requests of an urgency are refused for lack of room, here or at
// another instance. It is passed on with the next outcomes if pass is set.
func (b *Balancer[E, D, P, L]) applyRoomRefusal(u descriptor.Urgency, pass bool) {
	if !b.yield.Active(b.now) {
		b.note(descriptor.NoteYield, "", fmt.Sprintf("for requests of rank %d of customers of rank %d", u.Class, u.Customer))
	}
	b.yield = b.yield.WithRefusal(b.now, u)
	if pass && (b.unsentRefusal == nil || u.Before(*b.unsentRefusal)) {
		b.unsentRefusal = &u
	}
}
