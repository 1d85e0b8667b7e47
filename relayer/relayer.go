// Package relayer decides how instances that do not follow the platform's store
// know that they miss nothing: the few that do send pulses down a tree of all
// instances, and one that gets none in time asks the store itself.
package relayer

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoonswitch/container"
	"monsoonswitch/descriptor"
)

// Times and bounds of pulses. Together they keep the news of a change well below
// the two seconds in which it must be in force, also where links are silent.
const (
	// pulseEvery is the time between pulses of an instance that follows the store.
	pulseEvery = 300 * time.Millisecond
	// staleTime is the age of the last confirmation from which an instance asks
	// the store itself.
	staleTime = 1200 * time.Millisecond
	// steadyTime is how long pulses must keep coming before it stops to.
	steadyTime = time.Second
	// outageTime is the time without an answer of the store from which it counts
	// as having been away.
	outageTime = 2 * time.Second
	// returnTime is how long after that entries that lapsed meanwhile may still
	// come back: about two seconds by the platform's promise.
	returnTime = 2200 * time.Millisecond
	// fanout is the number of instances that each one passes a pulse on to.
	fanout = 8
)

// origin is what is known of the pulses of one follower of the store.
type origin struct {
	// sequence is that of the last pulse passed on.
	sequence uint64
	// sum and asOf are those of the last pulse; asOf counts once the documents
	// held have that sum.
	sum  uint64
	asOf time.Time
}

// Relayer holds what one instance knows of how current it is. It belongs to one
// goroutine.
type Relayer struct {
	self descriptor.Member
	// own holds the time as of which each kind was read from the store here.
	own *container.Table[descriptor.Kind, time.Time]
	// origins holds the followers of the store by ID.
	origins *container.Table[string, origin]
	// pulsed is the time as of which pulses confirm the documents held.
	pulsed time.Time
	// steady is since when pulses have kept coming; zero while they do not.
	steady time.Time
	// noticed is the newest time as of which the store answered anybody, and
	// recovered when it came back after the last outage.
	noticed, recovered time.Time
	// asking tells that the store is asked for want of pulses.
	asking bool
	// sequence and sentAt are those of the last pulse sent from here.
	sequence uint64
	sentAt   time.Time
	sentSum  uint64
	sentAsOf time.Time
}

// New returns the relayer of an instance.
func New(self descriptor.Member) *Relayer {
	return &Relayer{
		self:    self,
		own:     container.NewTable[descriptor.Kind, time.Time](),
		origins: container.NewTable[string, origin](),
	}
}

// Confirm takes in that nothing newer of a kind was in the store at a time.
func (r *Relayer) Confirm(kind descriptor.Kind, asOf time.Time) {
	if before, ok := r.own.Get(kind); !ok || asOf.After(before) {
		r.own.Put(kind, asOf)
	}
}

// Notice takes in that the store answered somebody as of a time. A gap since the
// last such time is an outage, or a cut of this instance from everybody.
func (r *Relayer) Notice(now, asOf time.Time) {
	if asOf.IsZero() || !asOf.After(r.noticed) {
		return
	}
	if !r.noticed.IsZero() && asOf.Sub(r.noticed) >= outageTime {
		r.recovered = now
	}
	r.noticed = asOf
}

// MayReturn returns until when entries that lapsed during an outage may still
// come back.
func (r *Relayer) MayReturn() time.Time {
	if r.recovered.IsZero() {
		return r.recovered
	}
	return r.recovered.Add(returnTime)
}

// read returns the time as of which all of the given kinds were read here.
func (r *Relayer) read(kinds []descriptor.Kind) time.Time {
	var oldest time.Time
	for _, k := range kinds {
		asOf, ok := r.own.Get(k)
		if !ok {
			return time.Time{}
		}
		if oldest.IsZero() || asOf.Before(oldest) {
			oldest = asOf
		}
	}
	return oldest
}

// Current returns the time as of which the documents held were the newest ones.
func (r *Relayer) Current(kinds []descriptor.Kind) time.Time {
	if own := r.read(kinds); own.After(r.pulsed) {
		return own
	}
	return r.pulsed
}

// Stale tells whether an instance that is not chosen to follow the store is to
// ask it all the same, and keeps in mind that it did: it goes on until pulses
// have kept coming for a while.
func (r *Relayer) Stale(now time.Time, kinds []descriptor.Kind) bool {
	if now.Sub(r.pulsed) >= staleTime {
		r.steady = time.Time{}
		r.asking = r.asking || now.Sub(r.Current(kinds)) >= staleTime
		return r.asking
	}
	if r.steady.IsZero() {
		r.steady = now
	}
	r.asking = r.asking && now.Sub(r.steady) < steadyTime
	return r.asking
}

// Pulse returns the next pulse of an instance that follows the store, if one is
// due: now and then, and at once when its documents changed.
func (r *Relayer) Pulse(now time.Time, kinds []descriptor.Kind, sum uint64) (descriptor.Pulse, bool) {
	asOf := r.read(kinds)
	if asOf.IsZero() || now.Sub(asOf) >= staleTime {
		return descriptor.Pulse{}, false
	}
	news := asOf.Sub(r.sentAsOf)
	if sum == r.sentSum && (news <= 0 || now.Sub(r.sentAt) < pulseEvery) {
		return descriptor.Pulse{}, false
	}
	r.sequence++
	r.sentAt, r.sentSum, r.sentAsOf = now, sum, asOf
	return descriptor.Pulse{
		Origin:      r.self.ID,
		Incarnation: r.self.Incarnation,
		Sequence:    r.sequence,
		Sum:         sum,
		Age:         now.Sub(asOf).Milliseconds(),
	}, true
}

// Hear takes in a pulse. It returns the pulse to pass on, and false if it is not
// newer than the last one of its origin.
func (r *Relayer) Hear(now time.Time, p descriptor.Pulse) (descriptor.Pulse, bool) {
	if p.Age < 0 || !r.Newer(p.Origin, p.Incarnation, p.Sequence) {
		return p, false
	}
	o, _ := r.origins.Get(p.Origin)
	o = origin{sequence: o.sequence, sum: p.Sum, asOf: now.Add(-time.Duration(p.Age) * time.Millisecond)}
	r.origins.Put(p.Origin, o)
	return p, true
}

// Newer takes in the sequence of a message that goes down a tree, and tells
// whether it is newer than the last one of its origin.
func (r *Relayer) Newer(id string, incarnation int64, sequence uint64) bool {
	o, ok := r.origins.Get(id)
	order := uint64(incarnation) + sequence
	if ok && order <= o.sequence {
		return false
	}
	o.sequence = order
	r.origins.Put(id, o)
	return true
}

// Settle confirms what the pulses of all origins say of the documents with a sum,
// and tells whether the newest pulse of an origin is about other documents.
func (r *Relayer) Settle(from string, sum uint64) bool {
	differs := false
	for id, o := range r.origins.All {
		if !o.asOf.IsZero() && o.sum == sum && o.asOf.After(r.pulsed) {
			r.pulsed = o.asOf
		}
		if id == from && o.sum != sum {
			differs = true
		}
	}
	return differs
}

// Children returns the instances that this one passes the pulses of an origin on
// to: its part of a tree in which every instance stands once, in an order that
// differs from origin to origin.
func Children(self, origin string, members []descriptor.Member) []descriptor.Member {
	type place struct {
		weight uint64
		member descriptor.Member
	}
	places := make([]place, 0, len(members))
	for _, m := range members {
		if m.ID != origin && m.State < descriptor.Dead {
			places = append(places, place{xxhash.Sum64String(origin + "/" + m.ID), m})
		}
	}
	sort.Slice(places, func(i, j int) bool { return places[i].weight < places[j].weight })
	position := 0
	for i, p := range places {
		if p.member.ID == self {
			position = i + 1
		}
	}
	if position == 0 && self != origin {
		return nil
	}
	var result []descriptor.Member
	for i := position*fanout + 1; i <= position*fanout+fanout && i <= len(places); i++ {
		result = append(result, places[i-1].member)
	}
	return result
}
