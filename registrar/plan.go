package registrar

import (
	"time"

	"monsoonswitch/descriptor"
)

// Next returns the register to write now and the revision that it replaces, or false if nothing is to be
// written. rank is the place of this instance in the order in which instances write, from 0 on, and
// complete reports whether its list of members is taken to be complete. Result must be called once the
// outcome of the write is known.
func (r *Registrar) Next(now time.Duration, rank int, complete bool) (descriptor.Register, uint64, bool) {
	r.updateSettled(now)
	if r.store.readAt < 0 || now-r.store.readAt > maxReadAge || !complete || r.open.Version > 0 {
		r.dueSince = -1
		return descriptor.Register{}, 0, false
	}
	next, due := r.plan(now)
	if !due {
		r.dueSince = -1
		return descriptor.Register{}, 0, false
	}
	if r.dueSince < 0 {
		r.dueSince = now
	}
	if now < r.nextWriteAt || now-r.dueSince < time.Duration(rank)*rankInterval {
		return descriptor.Register{}, 0, false
	}
	r.open, r.openAt, r.dueSince = next, now, -1
	return next, r.store.revision, true
}

// Result records whether the store accepted the register that Next returned, and its revision there. It
// reports whether this instance holds another register now.
func (r *Registrar) Result(now time.Duration, isAccepted bool, revision uint64) bool {
	written := r.open
	r.open = descriptor.Register{}
	if !isAccepted {
		r.nextWriteAt = now + retryInterval
		return false
	}
	r.nextWriteAt = now + writeInterval
	r.store.register, r.store.revision, r.store.emptySince = written, revision, -1
	return r.learn(now, written, r.openAt)
}

// plan returns the register that the store should hold, and whether it is to be written.
func (r *Registrar) plan(now time.Duration) (descriptor.Register, bool) {
	if r.held.Version == 0 {
		return r.found(now)
	}
	next := r.change(now)
	if next.Equal(r.held) && r.store.register.Version == r.held.Version {
		return next, false
	}
	return next.WithVersion(r.held.Version + 1), true
}

// found returns the first register of the fleet: all instances that live own a share.
func (r *Registrar) found(now time.Duration) (descriptor.Register, bool) {
	wait := foundTime
	switch {
	case r.store.revision > 0:
		wait = oddTime
	case r.restored:
		wait = restoredTime
	}
	if r.store.emptySince < 0 || now-r.store.emptySince < wait || now-r.joinedAt < quietTime {
		return descriptor.Register{}, false
	}
	return descriptor.Register{Version: 1}.WithOwners(r.living()), true
}

// living returns the marks of all instances that live, in no particular order.
func (r *Registrar) living() []uint32 {
	var marks []uint32
	for mark, p := range r.members.All {
		if !p.left {
			marks = append(marks, mark)
		}
	}
	return marks
}

// change returns the held register with what this instance knows of the members. An instance that joins is
// counted before it owns a share, and one that left owns none before it is not counted any more, so
// that whoever still holds the register before counts the same instances or more.
func (r *Registrar) change(now time.Duration) descriptor.Register {
	next := r.held.WithSeen(r.lives)
	if r.settledSince >= 0 && now-r.settledSince >= settleTime {
		isOld := func(mark uint32) bool {
			at, ok := r.listedAt.Get(mark)
			return ok && now-at >= settleTime
		}
		next = next.Without(func(mark uint32) bool { return isOld(mark) && r.hasLeft(now, mark) })
		isReady := func(mark uint32) bool { return isOld(mark) && r.lives(mark) }
		next = next.WithPromoted(isReady).WithWaiting(isReady)
	}
	next = next.WithDemoted(func(mark uint32) bool { return r.hasLeft(now, mark) })
	if now-r.periodSince >= renewalPeriod {
		next = next.WithNextPeriod(r.lives)
	}
	var unlisted []uint32
	for _, mark := range r.living() {
		if !next.Lists(mark) {
			unlisted = append(unlisted, mark)
		}
	}
	return next.WithJoining(unlisted)
}

// hasLeft reports whether an instance announced its end and has not started again.
func (r *Registrar) hasLeft(now time.Duration, mark uint32) bool {
	p, ok := r.members.Get(mark)
	return ok && p.left && now-p.since >= leaveTime
}

// updateSettled records since when all listed instances have been known to live, or to have left.
func (r *Registrar) updateSettled(now time.Duration) {
	missing, known := r.Missing()
	switch {
	case !known || missing > 0:
		r.settledSince = -1
	case r.settledSince < 0:
		r.settledSince = now
	}
}
