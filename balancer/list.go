package balancer

import (
	"strconv"
	"time"

	"monsoonswitch/allocator"
	"monsoonswitch/descriptor"
)

// List puts a list of backend servers in force. Those that are no longer listed
// finish what they run. Until mayReturn they count as listed: after an outage of
// the store, entries that lapsed meanwhile take a while to come back.
func (b *Balancer[E, D, P, L]) List(now time.Time, list []descriptor.Backend, mayReturn time.Time) {
	b.advance(now)
	present := make(map[string]bool, len(list))
	for _, listed := range list {
		present[listed.ID] = true
		b.enlist(listed)
	}
	b.listed = true
	for _, id := range b.backendIDs() {
		if !present[id] {
			b.miss(id, mayReturn)
		}
	}
	b.refresh()
	b.pump()
}

func (b *Balancer[E, D, P, L]) backendIDs() []string {
	ids := make([]string, 0, b.backends.Len())
	for id := range b.backends.All {
		ids = append(ids, id)
	}
	return ids
}

func (b *Balancer[E, D, P, L]) enlist(listed descriptor.Backend) {
	s, ok := b.backends.Get(listed.ID)
	if !ok {
		s = newBackend[E](listed, b.now, b.listed)
		if b.listed {
			s.rampFrom = b.now
			s.coldUntil = b.now.Add(coldTime)
		}
	}
	listed = b.stillLeaving(listed)
	s.lostUntil = time.Time{}
	s = s.WithListed(listed).WithShare(b.shareOf(listed))
	if listed.Leaving {
		s = s.WithMode(modeLeaving)
	}
	b.backends.Put(listed.ID, s)
}

// stillLeaving returns the entry of a backend server that keeps on leaving: a
// delayed entry may say that it does not, but no incarnation stays.
func (b *Balancer[E, D, P, L]) stillLeaving(listed descriptor.Backend) descriptor.Backend {
	if !b.options.Guests {
		return listed
	}
	if listed.Leaving {
		b.departed.Put(listed.ID, true)
	}
	left, _ := b.departed.Get(listed.ID)
	listed.Leaving = left
	return listed
}

// miss takes in that a backend server is not listed.
func (b *Balancer[E, D, P, L]) miss(id string, mayReturn time.Time) {
	s, _ := b.backends.Get(id)
	if s.listed.Leaving || !b.now.Before(mayReturn) {
		b.delist(id)
		return
	}
	s.lostUntil = mayReturn
	b.backends.Put(id, s)
}

// dropLost gives up the backend servers that did not come back.
func (b *Balancer[E, D, P, L]) dropLost() {
	var gone []string
	for id, s := range b.backends.All {
		if !s.lostUntil.IsZero() && !b.now.Before(s.lostUntil) {
			gone = append(gone, id)
		}
	}
	for _, id := range gone {
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
	b.backends.Put(id, s.WithListed(listed).WithMode(modeLeaving))
}

// isListed tells whether the platform still names a backend server.
func (b *Balancer[E, D, P, L]) isListed(id string) bool {
	s, ok := b.backends.Get(id)
	return ok && !s.listed.Leaving
}

// remove forgets a backend server. Positions change, so the sets are rebuilt.
func (b *Balancer[E, D, P, L]) remove(id string) {
	b.backends.Delete(id)
	b.refresh()
}

// guestShare is the number of slots that an instance uses of which it has no part:
// the queues of backend servers have room for a few requests more.
const guestShare = 1

func (b *Balancer[E, D, P, L]) shareOf(listed descriptor.Backend) int {
	if b.options.Guests && b.position < 0 {
		return guestShare
	}
	return allocator.Share(listed.Slots, len(b.serving), b.position, listed.ID)
}

// Serve puts the instances that serve the service in force.
func (b *Balancer[E, D, P, L]) Serve(now time.Time, serving []descriptor.Member) {
	b.advance(now)
	position := positionOf(serving, b.options.Self)
	if position < 0 && b.position >= 0 && !b.options.Guests {
		if b.fadeUntil.IsZero() {
			b.fadeUntil = now.Add(fadeTime)
		}
		return
	}
	b.fadeUntil = time.Time{}
	b.serving = serving
	b.position = position
	b.terms = b.options.terms(len(serving), position)
	b.reshare()
	b.pump()
}

// fadeTime is how long an instance that is no longer chosen goes on: as long as
// it may take until the others know.
const fadeTime = 2 * time.Second

func positionOf(serving []descriptor.Member, id string) int {
	for i, m := range serving {
		if m.ID == id {
			return i
		}
	}
	return -1
}

// fade ends the part of an instance that is no longer chosen.
func (b *Balancer[E, D, P, L]) fade() {
	if b.fadeUntil.IsZero() || b.now.Before(b.fadeUntil) {
		return
	}
	b.fadeUntil = time.Time{}
	b.position = -1
	b.reshare()
	b.dismiss()
}

// reshare gives every backend server this instance's part of its slots.
func (b *Balancer[E, D, P, L]) reshare() {
	for i := range b.backends.Len() {
		_, s := b.backends.At(i)
		b.backends.SetAt(i, s.WithShare(b.shareOf(s.listed)))
	}
	b.forgetPeers()
	b.refresh()
}

// Serves tells whether this instance serves the service.
func (b *Balancer[E, D, P, L]) Serves() bool { return b.position >= 0 }

// Serving returns the instances that serve the service.
func (b *Balancer[E, D, P, L]) Serving() []descriptor.Member { return b.serving }

// dismiss refuses all queued requests: other instances serve them now.
func (b *Balancer[E, D, P, L]) dismiss() {
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

// refresh brings everything that depends on the present time or on positions
// into step.
func (b *Balancer[E, D, P, L]) refresh() {
	b.preferred.Clear()
	b.wary.Clear()
	b.slots = 0
	b.trusted = 0
	for i := range b.backends.Len() {
		_, s := b.backends.At(i)
		b.slots += b.limit(s)
		if s.mode == modeReady && !s.avoided && s.share > 0 {
			b.trusted++
		}
		b.place(i, s)
	}
}

// tell sends a message to the other serving instances.
func (b *Balancer[E, D, P, L]) tell(m descriptor.Message) {
	for _, p := range b.serving {
		if p.ID != b.options.Self {
			b.emit(descriptor.Send{To: p, Message: m})
		}
	}
}

// HearDrain takes in a drain announced to another serving instance.
func (b *Balancer[E, D, P, L]) HearDrain(now time.Time, m descriptor.Drain) {
	b.advance(now)
	p := b.backends.Position(m.Backend)
	if p < 0 {
		return
	}
	_, s := b.backends.At(p)
	b.place(p, s.WithDrain(b.now))
}

func count(n int) string { return strconv.Itoa(n) }

// Avoids tells whether a backend server gets no work as long as others can.
func (b *Balancer[E, D, P, L]) Avoids(id string) bool {
	s, ok := b.backends.Get(id)
	return !ok || s.avoided || s.mode != modeReady
}
