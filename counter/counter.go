// Package counter counts how requests end. Counts only grow within an
// incarnation of an instance, so that reports that come twice or out of order
// change nothing.
package counter

import (
	"sort"
	"time"

	"monsoonswitch/container"
	"monsoonswitch/descriptor"
)

// Times of tallies.
const (
	// flushEvery is the time between reports of changed counts to the writer.
	flushEvery = 2 * time.Second
	// resendEvery is the time after which an unconfirmed report is sent again.
	resendEvery = 6 * time.Second
	// maxRevisions bounds the revisions remembered for a service.
	maxRevisions = 32
)

// countKey separates the counts of a service.
type countKey struct {
	class   string
	reason  descriptor.Reason
	outcome descriptor.Outcome
}

// sheet holds the counts of one service.
type sheet struct {
	counts *container.Table[countKey, descriptor.Count]
	// latency holds the numbers of served requests by bucket.
	latency            []uint64
	received           uint64
	ended              uint64
	ejections          uint64
	version, confirmed uint64
	since              time.Time
	revisions          []descriptor.InForce
	// sent is the version last reported, at sentAt.
	sent   uint64
	sentAt time.Time
}

// Counter holds the counts of one instance. It belongs to one goroutine.
type Counter struct {
	self   descriptor.Member
	sheets *container.Table[string, *sheet]
	// final tells that the instance takes no more requests.
	final bool
}

// New returns a counter without counts.
func New(self descriptor.Member) *Counter {
	return &Counter{self: self, sheets: container.NewTable[string, *sheet]()}
}

func (c *Counter) sheet(service string, now time.Time) *sheet {
	s, ok := c.sheets.Get(service)
	if !ok {
		s = &sheet{
			counts:  container.NewTable[countKey, descriptor.Count](),
			latency: make([]uint64, descriptor.LatencyBuckets),
			since:   now,
		}
		c.sheets.Put(service, s)
	}
	return s
}

// Receive counts a request that arrived.
func (c *Counter) Receive(now time.Time, service string) {
	s := c.sheet(service, now)
	s.received++
	s.version++
}

// End counts how a request ended.
func (c *Counter) End(now time.Time, service, class string, reason descriptor.Reason, outcome descriptor.Outcome, bytes uint64, latency time.Duration) {
	s := c.sheet(service, now)
	k := countKey{class, reason, outcome}
	count, ok := s.counts.Get(k)
	if !ok {
		count = descriptor.Count{Class: class, Reason: reason, Outcome: outcome}
	}
	count.Requests++
	count.Bytes += bytes
	s.counts.Put(k, count)
	if reason == descriptor.Served {
		s.latency[descriptor.Bucket(latency)]++
	}
	s.ended++
	s.version++
}

// Eject counts an ejection that this instance decided.
func (c *Counter) Eject(now time.Time, service string) {
	s := c.sheet(service, now)
	s.ejections++
	s.version++
}

// InForce records a revision that came into force.
func (c *Counter) InForce(now time.Time, service string, revision uint64) {
	s := c.sheet(service, now)
	s.revisions = append(s.revisions, descriptor.InForce{Revision: revision, At: now})
	if len(s.revisions) > maxRevisions {
		s.revisions = s.revisions[1:]
	}
	s.version++
}

// Finish marks all counts as final.
func (c *Counter) Finish() {
	if c.final {
		return
	}
	c.final = true
	for _, s := range c.sheets.All {
		s.version++
	}
}

// Tally returns the counts of a service.
func (c *Counter) Tally(now time.Time, service string) (descriptor.Tally, bool) {
	s, ok := c.sheets.Get(service)
	if !ok {
		return descriptor.Tally{}, false
	}
	return c.tally(service, s, now), true
}

func (c *Counter) tally(service string, s *sheet, now time.Time) descriptor.Tally {
	t := descriptor.Tally{
		Service:     service,
		Instance:    c.self.ID,
		Incarnation: c.self.Incarnation,
		Version:     s.version,
		Received:    s.received,
		Open:        s.received - s.ended,
		Final:       c.final,
		Since:       s.since,
		At:          now,
		Latency:     append([]uint64(nil), s.latency...),
		Ejections:   s.ejections,
		Revisions:   append([]descriptor.InForce(nil), s.revisions...),
	}
	for _, count := range s.counts.All {
		t.Counts = append(t.Counts, count)
	}
	sort.Slice(t.Counts, func(i, j int) bool { return lessCount(t.Counts[i], t.Counts[j]) })
	return t
}

func lessCount(a, b descriptor.Count) bool {
	if a.Class != b.Class {
		return a.Class < b.Class
	}
	if a.Reason != b.Reason {
		return a.Reason < b.Reason
	}
	return a.Outcome < b.Outcome
}

// Due returns the tallies to report now: those that changed, and those not
// confirmed for long.
func (c *Counter) Due(now time.Time) []descriptor.Tally {
	var due []descriptor.Tally
	for service, s := range c.sheets.All {
		if s.version == s.confirmed {
			continue
		}
		wait := flushEvery
		if s.sent == s.version {
			wait = resendEvery
		}
		if c.final {
			wait /= 4
		}
		if now.Sub(s.sentAt) < wait {
			continue
		}
		s.sent = s.version
		s.sentAt = now
		due = append(due, c.tally(service, s, now))
	}
	return due
}

// Confirm takes in that a version reached the store.
func (c *Counter) Confirm(r descriptor.Receipt) {
	s, ok := c.sheets.Get(r.Service)
	if ok && r.Incarnation == c.self.Incarnation && r.Version > s.confirmed {
		s.confirmed = r.Version
	}
}

// Unconfirmed returns the number of services with counts not yet in the store.
func (c *Counter) Unconfirmed() int {
	n := 0
	for _, s := range c.sheets.All {
		if s.version != s.confirmed {
			n++
		}
	}
	return n
}
