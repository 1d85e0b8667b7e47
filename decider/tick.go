package decider

import (
	"time"

	"monsoonswitch/counter"
	"monsoonswitch/descriptor"
	"monsoonswitch/relayer"
)

// Times of periodic work.
const (
	gossipEvery  = 200 * time.Millisecond
	tallyEvery   = 500 * time.Millisecond
	publishEvery = 50 * time.Millisecond
	// digestEvery is the time between digests of an instance that is not ready.
	digestEvery = 500 * time.Millisecond
)

// tick does everything that depends on time alone.
func (d *Decider[E, D, P, L]) tick() {
	for _, settled := range d.keeper.Tick(d.now) {
		d.settle(settled)
	}
	for i := range d.served.Len() {
		service, s := d.served.At(i)
		s.Tick(d.now)
		d.collect(service, s)
	}
	d.spread()
	d.pulse()
	d.gossiper.Flush()
	if d.now.Sub(d.gossipAt) >= gossipEvery {
		d.gossipAt = d.now
		d.gossiper.Tick(d.now, d.spreader.Digest())
		d.askForSync()
		d.retire()
		d.followStore()
		d.announceDoubts()
	}
	if d.now.Sub(d.tallyAt) >= tallyEvery {
		d.tallyAt = d.now
		d.tally()
	}
	d.settleMembers()
	d.leaveStep()
	d.publish()
}

// spread announces fresh documents over all links.
func (d *Decider[E, D, P, L]) spread() {
	if !d.spreader.HasFresh() {
		return
	}
	if d.options.Routing {
		// Pulses tell of changes, and whoever lacks them asks.
		d.spreader.DropFresh()
		return
	}
	for _, a := range d.spreader.Fresh(d.gossiper.Links()) {
		if to, ok := d.gossiper.Member(a.To); ok {
			d.send(to, a.References)
		}
	}
}

// askForSync sends digests until the configuration is known.
func (d *Decider[E, D, P, L]) askForSync() {
	if d.synced || d.now.Sub(d.digestAt) < digestEvery {
		return
	}
	d.digestAt = d.now
	for _, id := range d.gossiper.Links() {
		if m, ok := d.gossiper.Member(id); ok {
			d.sendDigest(m)
		}
	}
}

// followStore decides whether this instance follows the platform's store: a few
// chosen ones do, and one that found no others for a while.
func (d *Decider[E, D, P, L]) followStore() {
	chosen := includes(d.index.Get(watchRole), d.options.Self.ID)
	alone := !d.synced && d.now.Sub(d.started) >= d.options.Patience
	if d.options.Routing && d.synced {
		alone = d.relayer.Stale(d.now, d.options.kinds())
	}
	active := (chosen || alone) && !d.quit.started
	if active == d.watching {
		return
	}
	d.watching = active
	d.emit(descriptor.Watch{Active: active})
	if active {
		d.note(descriptor.NoteWatching, d.options.Self.ID, "follows the store")
	}
}

// pulse tells the other instances that nothing newer is in the store, if this
// one follows it.
func (d *Decider[E, D, P, L]) pulse() {
	if !d.options.Routing || !d.watching || !d.synced {
		return
	}
	p, ok := d.relayer.Pulse(d.now, d.options.kinds(), d.spreader.Digest().Fold())
	if ok {
		d.relay(p)
	}
}

// relay passes a pulse on to this instance's part of the tree.
func (d *Decider[E, D, P, L]) relay(p descriptor.Pulse) {
	d.spreadOut(p.Origin, p)
}

// spreadOut passes a message on to this instance's part of the tree of an origin.
func (d *Decider[E, D, P, L]) spreadOut(origin string, message descriptor.Message) {
	for _, m := range relayer.Children(d.options.Self.ID, origin, d.gossiper.Members()) {
		d.send(m, message)
	}
}

// bulletinEvery is the time between bulletins about a service.
const bulletinEvery = time.Second

// announceDoubts tells all instances which backend servers are in doubt, if this
// is the first of those that share the slots.
func (d *Decider[E, D, P, L]) announceDoubts() {
	callers := d.index.Get(callersRole)
	if !d.options.Routing || d.now.Sub(d.bulletinAt) < bulletinEvery || len(callers) == 0 || callers[0].ID != d.options.Self.ID {
		return
	}
	d.bulletinAt = d.now
	for service, s := range d.served.All {
		d.bulletins++
		m := descriptor.Bulletin{
			Origin:      d.options.Self.ID,
			Incarnation: d.options.Self.Incarnation,
			Sequence:    d.bulletins,
			Service:     service,
			List:        s.Doubts(d.now),
		}
		d.spreadOut(m.Origin, m)
	}
}

// tally reports changed counts to the writers and writes those held here.
func (d *Decider[E, D, P, L]) tally() {
	if d.options.Routing {
		return
	}
	every := counter.WriteInterval(d.declared.Len())
	for _, t := range d.counter.Due(d.now) {
		t.Every = every
		writer, ok := d.tallyWriter(t.Service)
		if !ok {
			continue
		}
		if writer.ID == d.options.Self.ID {
			d.writer.Merge(t)
			continue
		}
		d.send(writer, descriptor.TallyReport{Tally: t})
	}
	d.emitAll(d.writer.Due(d.now, d.declared.Len()))
}

// tallyWriter returns the instance that writes the tallies of a service. The
// last instance of a fleet writes its own.
func (d *Decider[E, D, P, L]) tallyWriter(service string) (descriptor.Member, bool) {
	serving := d.index.Get(service)
	if len(serving) > 0 {
		return serving[0], true
	}
	return d.gossiper.Self(), d.quit.started
}

// Times in which an instance that started tells no callers which others to use: it
// would name only the few that it met so far.
const (
	// settleTime is how long no new member must have come.
	settleTime = 400 * time.Millisecond
	// settleLimit is the longest time after which it does.
	settleLimit = 3 * time.Second
)

// settleMembers notes that the members are known well enough.
func (d *Decider[E, D, P, L]) settleMembers() {
	if !d.synced || d.settled {
		return
	}
	since := d.now.Sub(d.syncedAt)
	quiet := since >= settleTime && d.now.Sub(d.memberAt) >= settleTime
	if quiet || since >= settleLimit {
		d.settled = true
		d.stamped = true
	}
}

// publish gives traffic a new directory if anything in it changed.
func (d *Decider[E, D, P, L]) publish() {
	if (d.dirty || d.stamped) && d.now.Sub(d.publishAt) >= publishEvery {
		d.publishNow()
	}
}

func (d *Decider[E, D, P, L]) publishNow() {
	directory := d.directory()
	d.dirty, d.stamped = false, false
	d.publishAt = d.now
	d.emit(descriptor.Publish{Directory: directory})
}
