package decider

import (
	"time"

	"monsoonswitch/allocator"
	"monsoonswitch/descriptor"
)

// Times of a shutdown.
const (
	// lingerTime is how long callers with old addresses are told where to go.
	lingerTime = 2500 * time.Millisecond
	// tallyWait is the longest wait for the last tallies to be confirmed.
	tallyWait = 5 * time.Second
	// gracePart is the part of the grace time that a shutdown may use.
	gracePart = 0.93
	// farewellTime is how long the last messages have to go out.
	farewellTime = 300 * time.Millisecond
)

// leave is the progress of a shutdown.
type leave struct {
	started bool
	at      time.Time
	// idleAt is when the last request ended; zero while requests are open.
	idleAt time.Time
	// bequeathed tells that the keys were handed over, at bequeathedAt.
	bequeathed   bool
	bequeathedAt time.Time
	done         bool
}

// startLeaving takes this instance out of the address answers.
func (d *Decider[E, D, P, L]) startLeaving() {
	if d.quit.started {
		return
	}
	d.quit = leave{started: true, at: d.now}
	d.note(descriptor.NoteLeaving, d.options.Self.ID, "takes no new callers")
	d.gossiper.SetReady(d.now, false)
	d.dirty = true
}

// leaveStep takes the next step of a shutdown that is due: finish every request,
// have the last tallies confirmed, hand the keys over, say goodbye.
func (d *Decider[E, D, P, L]) leaveStep() {
	q := &d.quit
	if !q.started || q.done {
		return
	}
	if d.options.Grace > 0 && d.now.Sub(q.at) >= time.Duration(gracePart*float64(d.options.Grace)) {
		// What is still open would end with the process anyway.
		q.done = true
		d.gossiper.Leave(d.now, "")
		d.emit(descriptor.Leave{})
		return
	}
	if d.requests.Len() > 0 || d.keeper.Waiting() > 0 || d.now.Sub(q.at) < lingerTime {
		return
	}
	if q.idleAt.IsZero() {
		q.idleAt = d.now
		d.counter.Finish()
	}
	if d.tallies() > 0 && d.now.Sub(q.idleAt) < tallyWait {
		return
	}
	if !q.bequeathed {
		d.bequeath()
		return
	}
	if d.now.Sub(q.bequeathedAt) >= farewellTime {
		q.done = true
		d.emit(descriptor.Leave{})
	}
}

// tallies counts the tallies that are not confirmed. Under a routing none are
// kept in the store.
func (d *Decider[E, D, P, L]) tallies() int {
	if d.options.Routing {
		return 0
	}
	return d.counter.Unconfirmed() + d.writer.Unwritten()
}

func (d *Decider[E, D, P, L]) bequeath() {
	d.quit.bequeathed = true
	d.quit.bequeathedAt = d.now
	if n := d.tallies(); n > 0 {
		d.note(descriptor.NoteTallyLate, d.options.Self.ID, "tallies not confirmed at shutdown")
	} else {
		d.note(descriptor.NoteTallyFinal, d.options.Self.ID, "all tallies confirmed")
	}
	heir, ok := d.heir()
	if ok {
		d.emitAll(d.keeper.Bequeath(heir))
	}
	d.gossiper.Leave(d.now, heir.ID)
}

// heir returns the instance that takes the keys over.
func (d *Decider[E, D, P, L]) heir() (descriptor.Member, bool) {
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
