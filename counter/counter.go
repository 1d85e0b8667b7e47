// Package counter counts how requests end. Counts never decrease within an
// incarnation of an instance, so duplicated or reordered reports are harmless.
package counter

import (
	"sort"
	"time"

	"monsoonswitch/container"
	"monsoonswitch/descriptor"
)

// Intervals and limits of reports.
const (
	// reportInterval is the minimum time between reports of changed counts to the
	// writer.
	reportInterval = 2 * time.Second
	// resendInterval is the time after which a report without a receipt is sent
	// again.
	resendInterval = 6 * time.Second
	// maxRevisions is the maximum number of revisions kept for a service.
	maxRevisions = 32
)

// countKey identifies one count of a service.
type countKey struct {
	class   string
	reason  descriptor.Reason
	outcome descriptor.Outcome
}

// serviceCounts holds the counts of one service.
type serviceCounts struct {
	counts *container.Table[countKey, descriptor.Count]
	// latency holds the number of served requests in each latency bucket.
	latency   []uint64
	received  uint64
	ended     uint64
	ejections uint64
	// version grows with each change; confirmed is the latest version in the
	// store.
	version, confirmed uint64
	// since is the time from which on the counts are kept.
	since     time.Time
	revisions []descriptor.InForce
	// sent is the last version reported, and sentAt the time of that report.
	sent   uint64
	sentAt time.Time
}

// Counter holds the counts of one instance. It is not safe for concurrent use.
type Counter struct {
	self     descriptor.Member
	services *container.Table[string, *serviceCounts]
	// final is set when the instance accepts no more requests.
	final bool
}

// New returns a counter without counts.
func New(self descriptor.Member) *Counter {
	return &Counter{self: self, services: container.NewTable[string, *serviceCounts]()}
}

// serviceCounts returns the counts of a service and creates them if needed.
func (c *Counter) serviceCounts(service string, now time.Time) *serviceCounts {
	s, ok := c.services.Get(service)
	if !ok {
		s = &serviceCounts{
			counts:  container.NewTable[countKey, descriptor.Count](),
			latency: make([]uint64, descriptor.LatencyBuckets),
			since:   now,
		}
		c.services.Put(service, s)
	}
	return s
}

// Receive counts a new request.
func (c *Counter) Receive(now time.Time, service string) {
	s := c.serviceCounts(service, now)
	s.received++
	s.version++
}

// End counts how a request ended.
func (c *Counter) End(now time.Time, service, class string, reason descriptor.Reason, outcome descriptor.Outcome, bytes uint64, latency time.Duration) {
	s := c.serviceCounts(service, now)
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

// Eject counts an ejection decided by this instance.
func (c *Counter) Eject(now time.Time, service string) {
	s := c.serviceCounts(service, now)
	s.ejections++
	s.version++
}

// InForce records a revision that came into force.
func (c *Counter) InForce(now time.Time, service string, revision uint64) {
	s := c.serviceCounts(service, now)
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
	for _, s := range c.services.All {
		s.version++
	}
}

// Tally returns the counts of a service, and whether there are any.
func (c *Counter) Tally(now time.Time, service string) (descriptor.Tally, bool) {
	s, ok := c.services.Get(service)
	if !ok {
		return descriptor.Tally{}, false
	}
	return c.tally(service, s, now), true
}

func (c *Counter) tally(service string, s *serviceCounts, now time.Time) descriptor.Tally {
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

// NextReports returns the tallies to report now and marks them as sent: changed ones
// after reportInterval, and unconfirmed ones again after resendInterval.
func (c *Counter) NextReports(now time.Time) []descriptor.Tally {
	var reports []descriptor.Tally
	for service, s := range c.services.All {
		if s.version == s.confirmed {
			continue
		}
		wait := reportInterval
		if s.sent == s.version {
			wait = resendInterval
		}
		if c.final {
			// The shutdown of the instance waits for the receipts.
			wait /= 4
		}
		if now.Sub(s.sentAt) < wait {
			continue
		}
		s.sent = s.version
		s.sentAt = now
		reports = append(reports, c.tally(service, s, now))
	}
	return reports
}

// Confirm handles the receipt for a version that was written to the store.
func (c *Counter) Confirm(r descriptor.TallyReceipt) {
	s, ok := c.services.Get(r.Service)
	if ok && r.Incarnation == c.self.Incarnation && r.Version > s.confirmed {
		s.confirmed = r.Version
	}
}

// Unconfirmed returns the number of services with counts that are not in the store.
func (c *Counter) Unconfirmed() int {
	n := 0
	for _, s := range c.services.All {
		if s.version != s.confirmed {
			n++
		}
	}
	return n
}
