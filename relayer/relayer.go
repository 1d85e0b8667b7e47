// Package relayer tracks how current the documents of an instance are. The few
// instances that watch the platform's store send freshness announcements along a
// tree of all instances. An instance that receives none in time queries the store
// itself.
package relayer

import (
	"time"

	"monsoonswitch/container"
	"monsoonswitch/descriptor"
)

// Intervals and limits of freshness announcements. Together they keep the time
// until a change is known well below the two seconds within which it must be in
// force, even on instances whose links are silent.
const (
	// announceInterval is the minimum time between announcements of an instance
	// that watches the store, unless its documents changed.
	announceInterval = 300 * time.Millisecond
	// maxConfirmationAge is the age of the last confirmation from which on an
	// instance queries the store itself.
	maxConfirmationAge = 1200 * time.Millisecond
	// outageInterval is the time between announcements while the store does not answer.
	outageInterval = 600 * time.Millisecond
	// steadyTime is the time for which announcements must keep arriving before
	// the instance stops its own queries.
	steadyTime = time.Second
	// minOutage is the shortest time without a response of the store that counts
	// as an outage.
	minOutage = 2 * time.Second
	// restoreTime is the time after the end of an outage during which store
	// entries that expired in the outage may still be registered again. The
	// platform guarantees that they return within about two seconds.
	restoreTime = 2200 * time.Millisecond
	// fanout is the number of instances to which each instance forwards an
	// announcement.
	fanout = 8
)

// origin is the state of one sequence of messages that is forwarded along a tree.
type origin struct {
	// sequence is the order of the last message forwarded; see Newer.
	sequence uint64
	// sum is the hash sum of the documents in the last announcement, and asOf the
	// time at which the store was read for it. asOf applies to this instance once
	// its own documents have that sum.
	sum  uint64
	asOf time.Time
}

// Relayer tracks how current the documents of one instance are. It is not safe for
// concurrent use.
type Relayer struct {
	// own holds the time at which this instance last read each kind of document
	// from the store.
	own *container.Table[descriptor.Kind, time.Time]
	// origins holds the state of each sequence of messages that is forwarded along a
	// tree. The key is the ID of the origin for freshness announcements, and the id
	// passed to Newer for other messages, which set only sequence.
	origins *container.Table[string, origin]
	// announced is the time at which the documents of this instance were the
	// newest ones according to announcements.
	announced time.Time
	// steadySince is the time since which announcements have kept arriving, or
	// zero if they do not.
	steadySince time.Time
	// respondedAt is the latest time at which the store is known to have responded
	// to any instance. recoveredAt is the end of the last outage, or zero.
	respondedAt, recoveredAt time.Time
	// heardAt is when the last announcement arrived, and newestAsOf the latest time at
	// which the store was read for any of them.
	heardAt, newestAsOf time.Time
	// querying is set while this instance queries the store for lack of
	// announcements.
	querying bool
	// sequence, sentAt, sentSum and sentAsOf describe the last announcement sent
	// by this instance.
	sequence uint64
	sentAt   time.Time
	sentSum  uint64
	sentAsOf time.Time
}

// New returns a relayer without documents.
func New() *Relayer {
	return &Relayer{
		own:     container.NewTable[descriptor.Kind, time.Time](),
		origins: container.NewTable[string, origin](),
	}
}

// RecordRead records that this instance read a kind of document from the store and
// has the newest ones as of the given time.
func (r *Relayer) RecordRead(kind descriptor.Kind, asOf time.Time) {
	if before, ok := r.own.Get(kind); !ok || asOf.After(before) {
		r.own.Put(kind, asOf)
	}
}

// RecordResponse records that the store responded to some instance at asOf. A gap of
// minOutage since the last such time is an outage of the store, or a partition of
// this instance from all others.
func (r *Relayer) RecordResponse(now, asOf time.Time) {
	if asOf.IsZero() || !asOf.After(r.respondedAt) {
		return
	}
	if !r.respondedAt.IsZero() && asOf.Sub(r.respondedAt) >= minOutage {
		r.recoveredAt = now
	}
	r.respondedAt = asOf
}

// RecordRestore records that the store was restored from an older copy, which may lack entries as
// after an outage.
func (r *Relayer) RecordRestore(now time.Time) { r.recoveredAt = now }

// RestoreDeadline returns the time until which store entries that expired during
// the last outage may still be registered again, or zero if there was no outage.
func (r *Relayer) RestoreDeadline() time.Time {
	if r.recoveredAt.IsZero() {
		return r.recoveredAt
	}
	return r.recoveredAt.Add(restoreTime)
}

// Read returns the time as of which this instance has read all of the given kinds,
// or zero if it has not read one of them.
func (r *Relayer) Read(kinds []descriptor.Kind) time.Time {
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

// Current returns the latest time at which the documents of this instance are known
// to have been the newest ones.
func (r *Relayer) Current(kinds []descriptor.Kind) time.Time {
	if own := r.Read(kinds); own.After(r.announced) {
		return own
	}
	return r.announced
}

// MustQuery reports whether an instance that is not selected to watch the store must
// query it. Once it reports true, it does so until announcements have kept
// arriving for steadyTime. While announcements tell that the store does not answer the
// instances that watch it, it does so only as MayQuery allows.
func (r *Relayer) MustQuery(now time.Time, kinds []descriptor.Kind, place Place) bool {
	if now.Sub(r.announced) >= maxConfirmationAge {
		r.steadySince = time.Time{}
		r.querying = r.querying || now.Sub(r.Current(kinds)) >= maxConfirmationAge
		r.querying = r.querying && r.MayQuery(now, place)
		return r.querying
	}
	if r.steadySince.IsZero() {
		r.steadySince = now
	}
	r.querying = r.querying && now.Sub(r.steadySince) < steadyTime
	return r.querying
}

// MayQuery reports whether an instance that is not selected to watch the store may query it.
// All may unless announcements tell that the store does not answer those that watch it. That
// may be true of these alone, so that each other instance has to find out for itself; see Place.
func (r *Relayer) MayQuery(now time.Time, place Place) bool {
	return !r.StoreAway(now) || place.hasTurn(now.Sub(r.newestAsOf)-maxConfirmationAge)
}

// StoreAway reports whether announcements arrive and tell that the store does not answer.
func (r *Relayer) StoreAway(now time.Time) bool {
	return now.Sub(r.heardAt) < maxConfirmationAge && now.Sub(r.newestAsOf) >= maxConfirmationAge
}

// Announced reports whether one of some origins announced a recent read of the store.
func (r *Relayer) Announced(now time.Time, some func(origin string) bool) bool {
	for id, o := range r.origins.All {
		if now.Sub(o.asOf) < maxConfirmationAge && some(id) {
			return true
		}
	}
	return false
}

// NextFreshness returns the next freshness announcement of self, which watches the
// store, and whether one must be sent. One is sent after each new read of the
// store, at most every announceInterval, and immediately when the hash sum of the
// documents changed. If the last read is maxConfirmationAge old, one is sent every
// outageInterval, whose age tells that the store does not answer.
func (r *Relayer) NextFreshness(now time.Time, self descriptor.Member, kinds []descriptor.Kind, sum uint64) (descriptor.Freshness, bool) {
	asOf := r.Read(kinds)
	if asOf.IsZero() {
		return descriptor.Freshness{}, false
	}
	outage := now.Sub(asOf) >= maxConfirmationAge
	if outage && now.Sub(r.sentAt) < outageInterval {
		return descriptor.Freshness{}, false
	}
	advance := asOf.Sub(r.sentAsOf)
	if !outage && sum == r.sentSum && (advance <= 0 || now.Sub(r.sentAt) < announceInterval) {
		return descriptor.Freshness{}, false
	}
	r.sequence++
	r.sentAt, r.sentSum, r.sentAsOf = now, sum, asOf
	return descriptor.Freshness{
		Origin:      self.ID,
		Incarnation: self.Incarnation,
		Sequence:    r.sequence,
		Sum:         sum,
		Age:         now.Sub(asOf).Milliseconds(),
	}, true
}

// HandleFreshness handles a received freshness announcement. It returns the
// announcement to forward, and false if it is not newer than the last one of its
// origin.
func (r *Relayer) HandleFreshness(now time.Time, p descriptor.Freshness) (descriptor.Freshness, bool) {
	if p.Age < 0 || !r.Newer(p.Origin, p.Incarnation, p.Sequence) {
		return p, false
	}
	o, _ := r.origins.Get(p.Origin)
	o = origin{sequence: o.sequence, sum: p.Sum, asOf: now.Add(-time.Duration(p.Age) * time.Millisecond)}
	r.origins.Put(p.Origin, o)
	r.heardAt = now
	if o.asOf.After(r.newestAsOf) {
		r.newestAsOf = o.asOf
	}
	return p, true
}

// Newer records the order of a message that is forwarded along a tree, and reports
// whether the message is newer than the last one with the same id. The order is the
// incarnation, a start time in microseconds, plus the sequence number. A later
// incarnation is newer, because sequence numbers grow more slowly than the clock.
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

// ApplyAnnouncements applies the announcements of all origins to the documents of this
// instance, which have the given hash sum. It reports whether the newest
// announcement of the origin from is for other documents.
func (r *Relayer) ApplyAnnouncements(from string, sum uint64) bool {
	differs := false
	for id, o := range r.origins.All {
		if !o.asOf.IsZero() && o.sum == sum && o.asOf.After(r.announced) {
			r.announced = o.asOf
		}
		if id == from && o.sum != sum {
			differs = true
		}
	}
	return differs
}
