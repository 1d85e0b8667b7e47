// Package registrar keeps the register of the instances among which the limits of the fleet are divided,
// and decides what is written to it. It uses no network, and the time is an argument.
//
// The number of instances that limits are divided by must not depend on whom an instance hears of: a part of
// the fleet that starts again while it is cut off would take the whole. So an instance uses a share only
// under a register that names it, which it read from the platform's store or was sent by one that has it.
// docs/design/register.md gives the rules and why no two sets of shares are in use that exceed the whole.
package registrar

import (
	"slices"
	"time"

	"monsoonswitch/container"
	"monsoonswitch/descriptor"
)

const (
	// renewalPeriod is the least time between two starts of a period. An owner that no writer knows to live
	// is removed after one to two of them.
	renewalPeriod = 90 * time.Minute
	// proofLife is the time for which an instance uses its share after the store held a register that names
	// it as a recent owner. Cuts and outages of an hour are shorter, and the difference to renewalPeriod
	// is longer than a message or a write is under way.
	proofLife = 80 * time.Minute
	// settleTime is the time for which all listed instances must be known to live, or to have left, before one
	// that joins or leaves goes a step on. All that live receive a register in that time: a link that has
	// gone silent is closed after 30 s.
	settleTime = time.Minute
	// leaveTime is the time after which an instance that announced its end no longer owns a share. One that
	// only starts again is back sooner and costs no write.
	leaveTime = 30 * time.Second
	// leftMemory is the time after which an instance that left and is not listed is forgotten. Others keep its
	// record as long, so that a register which still lists it may come until then.
	leftMemory = 10 * time.Minute
	// quietTime is the time without a new member before the first register is written.
	quietTime = time.Second
	// foundTime is the time for which the store must show no register before the first one is written.
	// restoredTime is that for a store that was restored: those who have the register write it again sooner.
	// oddTime is that while another value is in its place: nobody uses a share under the lost register then.
	foundTime    = time.Second
	restoredTime = 10 * time.Second
	oddTime      = renewalPeriod
	// writeInterval is the least time between two writes of an instance, and retryInterval that after one that
	// failed. A register of 7,100 instances takes 36 KB in messages, which all of them get after each write.
	writeInterval = 10 * time.Second
	retryInterval = 2 * time.Second
	// rankInterval is the time by which an instance writes later than the one before it in the order.
	rankInterval = 2 * time.Second
	// maxReadAge is the age of the last read of the store up to which an instance may write.
	maxReadAge = 3 * time.Second
	// staleTime is the age of the last proof from which on an instance reads the store for itself, and
	// lackTime the time for which it must have no register, or one that does not list it.
	staleTime = 10 * time.Minute
	lackTime  = 5 * time.Second
	// lackTurns is the number of groups of instances that read the store for that one after the other, for
	// turnTime each.
	lackTurns = 6
	turnTime  = 10 * time.Second
)

// presence is what is known of an instance.
type presence struct {
	// left reports whether it announced its end. Otherwise it lives.
	left bool
	// since is the uptime from which on that is known.
	since time.Duration
}

// stored is what the store showed last in the place of the register.
type stored struct {
	// register has version 0 if there is none, or an odd value.
	register descriptor.Register
	// revision is the revision of the value, or 0 if there is none.
	revision uint64
	// emptySince is the uptime since which there has been no register, or negative if there is one.
	emptySince time.Duration
	// readAt is the uptime of the last read, or negative before the first one.
	readAt time.Duration
}

// Registrar holds the register at one instance. All times are its uptimes. It must be used by one goroutine
// only.
type Registrar struct {
	self uint32
	// startedAt is the uptime at which the instance started.
	startedAt time.Duration
	held      descriptor.Register
	// provenAt is the latest uptime at which the store is known to have held it.
	provenAt time.Duration
	// usableUntil is the uptime until which this instance may use its share.
	usableUntil time.Duration
	// periodSince is the uptime since which this instance knows the period.
	periodSince time.Duration
	// listedAt is the uptime since which each instance that joins or waits has been in its list.
	listedAt *container.Table[uint32, time.Duration]
	// members holds the instances that live, and those that left and may still be listed.
	members *container.Table[uint32, presence]
	// joinedAt is the uptime of the last new member.
	joinedAt time.Duration
	// missing is the number of listed instances that are not in members, unless isStale is set.
	missing int
	isStale bool
	// settledSince is the uptime since which missing has been 0, or negative.
	settledSince time.Duration
	store        stored
	// restored is set once the store is known to have been restored from an older copy.
	restored bool
	// open is the register that is being written, with version 0 if none is, since openAt.
	open   descriptor.Register
	openAt time.Duration
	// dueSince is the uptime since which a write has been due, or negative.
	dueSince time.Duration
	// nextWriteAt is the uptime before which this instance does not write.
	nextWriteAt time.Duration
}

// New returns the registrar of an instance that starts at now.
func New(id string, now time.Duration) *Registrar {
	r := &Registrar{
		self:     descriptor.RegisterMark(id),
		listedAt: container.NewTable[uint32, time.Duration](),
		members:  container.NewTable[uint32, presence](),
	}
	r.Start(now)
	return r
}

// Start records that the uptime of the machine is now, where earlier uptimes were not those of the machine.
func (r *Registrar) Start(now time.Duration) {
	r.startedAt, r.joinedAt, r.periodSince, r.nextWriteAt = now, now, now, now
	r.settledSince, r.dueSince = -1, -1
	r.store = stored{emptySince: -1, readAt: -1}
	r.held, r.provenAt, r.usableUntil = descriptor.Register{}, now, now
	for i := range r.members.Len() {
		_, p := r.members.At(i)
		p.since = now
		r.members.SetAt(i, p)
	}
	r.isStale = true
}

// Held returns the register that this instance holds. Its version is 0 if it knows none.
func (r *Registrar) Held() descriptor.Register { return r.held }

// Usable reports whether this instance owns a share and may use it now.
func (r *Registrar) Usable(now time.Duration) bool { return r.held.Owns(r.self) && now < r.usableUntil }

// Owns reports whether an instance owns a share.
func (r *Registrar) Owns(id string) bool { return r.held.Owns(descriptor.RegisterMark(id)) }

// Missing returns the number of listed instances that this one does not hear of and that did not announce
// their end, or false if no register is known.
func (r *Registrar) Missing() (int, bool) {
	if r.isStale {
		r.isStale, r.missing = false, 0
		for mark := range r.held.All {
			if !r.members.Has(mark) {
				r.missing++
			}
		}
	}
	return r.missing, r.held.Version > 0
}

// Dump returns what is known of the register.
func (r *Registrar) Dump(now time.Duration) descriptor.RegisterDump {
	missing, _ := r.Missing()
	return descriptor.RegisterDump{
		Version: r.held.Version, Period: r.held.Period, Owners: r.held.Owners(),
		Waiting: len(r.held.Waiting), Joining: len(r.held.Joining), Missing: missing, Owner: r.Usable(now),
	}
}

// SetMember records the state of an instance.
func (r *Registrar) SetMember(now time.Duration, m descriptor.Member) {
	mark := descriptor.RegisterMark(m.ID)
	before, ok := r.members.Get(mark)
	isLeft := m.State == descriptor.Left
	switch {
	case m.State == descriptor.Dead:
		r.members.Delete(mark)
	case ok && before.left == isLeft:
		return
	default:
		r.members.Put(mark, presence{left: isLeft, since: now})
		if !isLeft {
			r.joinedAt = now
		}
	}
	r.isStale = true
}

// RecordRestore records that the store was restored from an older copy.
func (r *Registrar) RecordRestore() { r.restored = true }

// lives reports whether an instance is known to live.
func (r *Registrar) lives(mark uint32) bool {
	p, ok := r.members.Get(mark)
	return ok && !p.left
}

// Reading is what a read of the store showed. Began is the uptime at its start. Document is the document in
// the place of the register, or nil if the answer has none; Complete reports whether the store
// holds none then. A document without a register is an odd value, or none if its revision is 0.
type Reading struct {
	Began    time.Duration
	Complete bool
	Document *descriptor.Document
}

// Read handles a read of the store, and reports whether this instance holds another register.
func (r *Registrar) Read(now time.Duration, e Reading) bool {
	switch {
	case e.Document != nil:
		r.store.register, r.store.revision = descriptor.Register{}, e.Document.Revision
		if e.Document.Register != nil {
			r.store.register = *e.Document.Register
		}
	case e.Complete:
		r.store.register, r.store.revision = descriptor.Register{}, 0
	case r.store.readAt < 0:
		// The answer holds the changes after one that this instance does not have.
		return false
	}
	r.store.readAt = now
	switch {
	case r.store.register.Version > 0:
		r.store.emptySince = -1
	case r.store.emptySince < 0:
		r.store.emptySince = now
	}
	return r.learn(now, r.store.register, e.Began)
}

// Report returns the register that this instance holds for another one, or false if it knows none.
func (r *Registrar) Report(now time.Duration) (descriptor.RegisterReport, bool) {
	return descriptor.RegisterReport{Register: r.held, Age: (now - r.provenAt).Milliseconds()}, r.held.Version > 0
}

// HandleReport handles the register of another instance, and reports whether this one holds another register
// now.
func (r *Registrar) HandleReport(now time.Duration, m descriptor.RegisterReport) bool {
	if m.Age < 0 || !m.Register.Valid() {
		return false
	}
	return r.learn(now, m.Register, now-time.Duration(m.Age)*time.Millisecond)
}

// Announcement returns the version of the register that is announced with the age of the last read of the
// store, or 0 if that read did not show the register which this instance holds.
func (r *Registrar) Announcement() uint64 {
	if r.store.readAt < 0 || r.store.register.Version != r.held.Version {
		return 0
	}
	return r.held.Version
}

// Announced handles the announcement that the store held a version an age ago, and reports whether that is
// newer than the version that this instance holds.
func (r *Registrar) Announced(now time.Duration, version uint64, age time.Duration) bool {
	if version == r.held.Version && version > 0 && age >= 0 {
		r.prove(now - age)
	}
	return version > r.held.Version
}

// learn takes a register that the store held at an uptime, unless a newer one is held.
func (r *Registrar) learn(now time.Duration, register descriptor.Register, at time.Duration) bool {
	if register.Version == 0 || register.Version < r.held.Version {
		return false
	}
	isNew := register.Version > r.held.Version || !register.Equal(r.held)
	if isNew {
		r.hold(now, register)
		r.provenAt = at
	}
	r.prove(at)
	return isNew
}

// hold puts a register in force.
func (r *Registrar) hold(now time.Duration, register descriptor.Register) {
	before := r.held
	if before.Version == 0 || before.Period != register.Period {
		r.periodSince = now
	}
	r.held = register
	r.isStale = true
	listedAt := container.NewTable[uint32, time.Duration]()
	for _, lists := range [][2][]uint32{{before.Waiting, register.Waiting}, {before.Joining, register.Joining}} {
		for _, mark := range lists[1] {
			at, ok := r.listedAt.Get(mark)
			if _, listed := slices.BinarySearch(lists[0], mark); !ok || !listed {
				at = now
			}
			listedAt.Put(mark, at)
		}
	}
	r.listedAt = listedAt
	if !register.Owns(r.self) {
		r.usableUntil = now
	}
	r.forgetLeft(now)
}

// forgetLeft forgets the instances that left long ago and are not listed.
func (r *Registrar) forgetLeft(now time.Duration) {
	var gone []uint32
	for mark, p := range r.members.All {
		if p.left && now-p.since >= leftMemory && !r.held.Lists(mark) {
			gone = append(gone, mark)
		}
	}
	for _, mark := range gone {
		r.members.Delete(mark)
	}
}

// prove records that the store held the register at an uptime.
func (r *Registrar) prove(at time.Duration) {
	r.provenAt = max(r.provenAt, at)
	if r.held.IsRecent(r.self) {
		r.usableUntil = max(r.usableUntil, at+proofLife)
	}
}

// MustRead reports whether this instance is to read the store because it lacks a register, is not listed in
// the one that it holds, or has had no proof for long. Instances of earlier builds, which may be those
// that watch the store, neither write nor send registers.
func (r *Registrar) MustRead(now time.Duration) bool {
	lacks := r.held.Version == 0 || !r.held.Lists(r.self)
	if lacks && now-r.startedAt < lackTime || !lacks && now-r.provenAt < staleTime {
		return false
	}
	turn := uint64(now/turnTime) + uint64(r.self)
	return turn%lackTurns == 0
}
