package decider

import (
	"time"

	"monsoonswitch/allocator"
	"monsoonswitch/descriptor"
)

// Time limits of a shutdown.
const (
	// redirectTime is the least time for which callers that use an old address
	// are redirected.
	redirectTime = 2500 * time.Millisecond
	// tallyTimeout is the longest wait for the last tallies to be confirmed.
	tallyTimeout = 5 * time.Second
	// usableGraceShare is the share of the grace time that a shutdown may use.
	usableGraceShare = 0.93
	// lateArrivalShare is the share of the grace time, and lateArrivalTime the time, after
	// which a request is taken only if its deadline passes lateArrivalMargin before the
	// process ends. Callers with an old address may still come then, and their requests
	// would be cut. Operators accept that for work that began lateArrivalTime after the
	// signal at the latest.
	lateArrivalShare  = 0.5
	lateArrivalTime   = 3 * time.Second
	lateArrivalMargin = 200 * time.Millisecond
	// finalSendTime is how long the last messages have to be sent.
	finalSendTime = 300 * time.Millisecond
)

// shutdownState is the progress of a shutdown.
type shutdownState struct {
	started bool
	at      time.Time
	// idleAt is the first time after redirectTime at which no request was open or
	// waiting, or zero. tallyTimeout runs from it.
	idleAt time.Time
	// handedOver reports whether the idempotency keys were handed over, at
	// handedOverAt.
	handedOver   bool
	handedOverAt time.Time
	done         bool
}

// startLeaving removes this instance from the addresses given to callers.
func (d *Decider[E, D, P, L]) startLeaving() {
	if d.shutdown.started {
		return
	}
	d.shutdown = shutdownState{started: true, at: d.now}
	d.note(descriptor.NoteLeaving, d.options.Self.ID, "takes no new callers")
	d.gossiper.SetReady(d.now, false)
	d.dirty = true
}

// exitTime returns the time at which a shutdown ends in any case. It is zero without a
// shutdown or a grace time.
func (d *Decider[E, D, P, L]) exitTime() time.Time {
	if !d.shutdown.started || d.options.Grace <= 0 {
		return time.Time{}
	}
	return d.shutdown.at.Add(time.Duration(usableGraceShare * float64(d.options.Grace)))
}

// arrivesTooLate reports whether a request arrives so late in a shutdown that it may not be
// answered before the process ends.
func (d *Decider[E, D, P, L]) arrivesTooLate(e descriptor.Arrived) bool {
	if d.shutdown.done {
		// Only requests that are open now are waited for.
		return true
	}
	exit := d.exitTime()
	late := min(lateArrivalTime, time.Duration(lateArrivalShare*float64(d.options.Grace)))
	if exit.IsZero() || d.now.Sub(d.shutdown.at) < late {
		return false
	}
	return e.Deadline.IsZero() || e.Deadline.Add(lateArrivalMargin).After(exit)
}

// advanceShutdown takes the next step of a shutdown when it is possible: finish
// every request, have the last tallies confirmed, hand the keys over and publish
// that this instance left. It reports completion once the last messages had time to
// be sent.
func (d *Decider[E, D, P, L]) advanceShutdown() {
	s := &d.shutdown
	if !s.started || s.done {
		return
	}
	if exit := d.exitTime(); !exit.IsZero() && !d.now.Before(exit) {
		// The platform is about to kill the process, which ends all open
		// requests. Tallies that are not confirmed and keys that are not handed
		// over by now are lost.
		s.done = true
		d.gossiper.Leave(d.now, "")
		d.emit(descriptor.ShutdownComplete{})
		return
	}
	if d.Busy() || d.keeper.Waiting() > 0 || d.now.Sub(s.at) < redirectTime {
		return
	}
	if s.idleAt.IsZero() {
		s.idleAt = d.now
		d.counter.Finish()
	}
	if d.unconfirmedTallies() > 0 && d.now.Sub(s.idleAt) < tallyTimeout {
		return
	}
	if !s.handedOver {
		d.handOverKeys()
		return
	}
	if d.now.Sub(s.handedOverAt) >= finalSendTime {
		s.done = true
		d.emit(descriptor.ShutdownComplete{})
	}
}

// unconfirmedTallies returns 0 if all tallies are confirmed to be in the store.
// Otherwise it returns the number of services with unconfirmed counts of this
// instance plus that of services whose tallies this instance has yet to write. Under
// a routing it is 0, since no tallies are stored.
func (d *Decider[E, D, P, L]) unconfirmedTallies() int {
	if d.options.Routing {
		return 0
	}
	return d.counter.Unconfirmed() + d.writer.Unwritten()
}

func (d *Decider[E, D, P, L]) handOverKeys() {
	d.shutdown.handedOver = true
	d.shutdown.handedOverAt = d.now
	if n := d.unconfirmedTallies(); n > 0 {
		d.note(descriptor.NoteTallyLate, d.options.Self.ID, "tallies not confirmed at shutdown")
	} else {
		d.note(descriptor.NoteTallyFinal, d.options.Self.ID, "all tallies confirmed")
	}
	next, ok := d.successor()
	if ok {
		d.emitAll(d.keeper.HandOver(next))
	}
	d.gossiper.Leave(d.now, next.ID)
}

// successor returns the instance that the idempotency keys are handed over to.
// The prefix of the rendezvous key is fixed, because a change of it would choose
// other instances.
func (d *Decider[E, D, P, L]) successor() (descriptor.Member, bool) {
	var ready []descriptor.Member
	for _, m := range d.gossiper.Members() {
		if m.Ready && m.State == descriptor.Alive && m.ID != d.options.Self.ID {
			ready = append(ready, m)
		}
	}
	list := allocator.Serving("~heir/"+d.options.Self.ID, ready, 1)
	if len(list) == 0 {
		return descriptor.Member{}, false
	}
	return list[0], true
}
