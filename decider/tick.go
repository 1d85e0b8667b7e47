package decider

import (
	"time"

	"monsoonswitch/counter"
	"monsoonswitch/descriptor"
	"monsoonswitch/relayer"
)

// Intervals of periodic work.
const (
	gossipInterval  = 200 * time.Millisecond
	tallyInterval   = 500 * time.Millisecond
	publishInterval = 50 * time.Millisecond
	// digestInterval is the time between digests of an instance that is not
	// ready.
	digestInterval = 500 * time.Millisecond
)

// tick does all work that depends on time alone.
func (d *Decider[E, D, P, L]) tick() {
	for _, resolved := range d.keeper.Tick(d.now) {
		d.resumeRequest(resolved)
	}
	for i := range d.served.Len() {
		service, s := d.served.At(i)
		s.Tick(d.now)
		d.collect(service, s)
	}
	d.announceDocuments()
	d.sendFreshness()
	d.gossiper.Flush()
	if d.now.Sub(d.lastGossipAt) >= gossipInterval {
		d.lastGossipAt = d.now
		d.gossiper.Tick(d.now, d.spreader.Digest())
		d.requestSync()
		d.removeFinished()
		d.updateWatching()
		d.sendSuspicions()
		d.updateRegister()
		d.updateHeard()
		d.updateProof()
		d.updateQuotas()
	}
	d.quotas.Tick(d.uptime)
	if d.now.Sub(d.lastTallyAt) >= tallyInterval {
		d.lastTallyAt = d.now
		d.reportTallies()
	}
	d.updateMembersKnown()
	d.advanceShutdown()
	d.publish()
}

// announceDocuments sends references to newly stored documents over all links.
func (d *Decider[E, D, P, L]) announceDocuments() {
	if !d.spreader.HasAnnouncements() {
		return
	}
	if d.options.Routing {
		// Freshness announcements carry a sum of all documents, and an instance
		// whose sum differs asks for what it lacks.
		d.spreader.ClearAnnouncements()
		return
	}
	for _, a := range d.spreader.TakeAnnouncements(d.gossiper.Links()) {
		if to, ok := d.gossiper.Member(a.To); ok {
			d.send(to, a.References)
		}
	}
}

// introductionTime is the time after its start in which an instance learns of most others.
const introductionTime = 700 * time.Millisecond

// updateWatching decides whether this instance watches the platform's store.
func (d *Decider[E, D, P, L]) updateWatching() {
	next := descriptor.Watch{}
	if !d.shutdown.started {
		next = d.chooseWatch()
	}
	if next == d.watch {
		return
	}
	d.watch = next
	d.emit(next)
	if next.Active && !next.Trial {
		d.note(descriptor.NoteWatching, d.options.Self.ID, "watches the platform's store")
	}
}

// chooseWatch returns whether this instance has to watch the platform's store. The few chosen by
// rendezvous do. So does an instance that started and did not get the configuration from others in time,
// or under a routing one that misses freshness announcements.
func (d *Decider[E, D, P, L]) chooseWatch() descriptor.Watch {
	watchers := d.index.Get(watchRole)
	late := !d.synced && d.now.Sub(d.started) >= d.options.PeerWait
	if !d.options.Routing {
		return descriptor.Watch{Active: containsMember(watchers, d.options.Self.ID) || late}
	}
	first := containsMember(watchers[:min(len(watchers), routedWatcherCount)], d.options.Self.ID)
	// An instance that just started knows few others, so that it seems to be chosen.
	if first && d.now.Sub(d.started) >= introductionTime || late {
		return descriptor.Watch{Active: true}
	}
	if !d.synced {
		return descriptor.Watch{}
	}
	return d.chooseQuery(watchers)
}

// chooseQuery returns whether this instance queries the store although it is not chosen to watch it. One
// that only finds out whether the store serves it doesn't repeat calls that fail.
func (d *Decider[E, D, P, L]) chooseQuery(watchers []descriptor.Member) descriptor.Watch {
	substitute := containsMember(watchers, d.options.Self.ID)
	place := relayer.NewPlace(d.options.Self.ID, substitute, substituteCount, d.fleetSize())
	mustQuery := d.relayer.MustQuery(d.now, d.options.kinds(), place)
	mustRead := (d.mustProve() || d.registrar.MustRead(d.uptime)) && d.relayer.MayQuery(d.now, place)
	if !mustQuery && !mustRead && !d.mustContinue(watchers) {
		return descriptor.Watch{}
	}
	return descriptor.Watch{Active: true, Trial: !substitute && d.relayer.StoreAway(d.now)}
}

// sendFreshness announces to the other instances that the store has nothing
// newer, if this instance watches the store.
func (d *Decider[E, D, P, L]) sendFreshness() {
	if !d.options.Routing || !d.watch.Active || !d.synced {
		return
	}
	p, ok := d.relayer.NextFreshness(d.now, d.gossiper.Self(), d.options.kinds(), d.spreader.Digest().Hash())
	if ok {
		p.Register = d.registrar.Announcement()
		d.forwardFreshness(p)
	}
}

// forwardFreshness forwards a freshness announcement to this instance's children
// in the distribution tree.
func (d *Decider[E, D, P, L]) forwardFreshness(p descriptor.Freshness) {
	d.sendToChildren(p.Origin, p)
}

// sendToChildren forwards a message to this instance's children in the
// distribution tree of its origin.
func (d *Decider[E, D, P, L]) sendToChildren(origin string, message descriptor.Message) {
	children, ok := d.children[origin]
	if !ok {
		children = relayer.Children(d.options.Self.ID, origin, d.gossiper.Members())
		d.children[origin] = children
	}
	for _, m := range children {
		if f, ok := message.(descriptor.Freshness); ok {
			message = d.prover.WithProof(m.ID, f)
		}
		d.send(m, message)
	}
}

// suspicionInterval is the time between suspicion lists about a service.
const suspicionInterval = time.Second

// sendSuspicions sends the list of suspected backend servers of each service to
// all instances, if this instance is the first slot owner.
func (d *Decider[E, D, P, L]) sendSuspicions() {
	callers := d.index.Get(callersRole)
	if !d.options.Routing || d.now.Sub(d.lastSuspicionsAt) < suspicionInterval || len(callers) == 0 || callers[0].ID != d.options.Self.ID {
		return
	}
	d.lastSuspicionsAt = d.now
	for service, s := range d.served.All {
		d.suspicionSequence++
		list, base := s.Suspicions(d.now)
		m := descriptor.SuspicionList{
			Origin:      d.options.Self.ID,
			Incarnation: d.gossiper.Self().Incarnation,
			Sequence:    d.suspicionSequence,
			Service:     service,
			List:        list,
			Base:        base,
			Leaving:     s.Leaving(),
			Crashes:     s.Crashes(d.now),
			Limits:      s.Limits(d.now),
		}
		d.sendToChildren(m.Origin, m)
	}
}

// spreadCrash sends a crash report to all instances. Under a declaration for each service, only
// the serving instances send its requests on, and they get the report as slot owners.
func (d *Decider[E, D, P, L]) spreadCrash(m descriptor.CrashReport) {
	if !d.options.Routing {
		return
	}
	d.crashSequence++
	m.Origin = d.options.Self.ID
	m.Incarnation = d.gossiper.Self().Incarnation
	m.Sequence = d.crashSequence
	d.sendToChildren(m.Origin, m)
}

// reportTallies sends changed counts to the instances that write them and writes
// those that this instance is responsible for.
func (d *Decider[E, D, P, L]) reportTallies() {
	if d.options.Routing {
		return
	}
	every := counter.WriteInterval(d.declared.Len())
	for _, t := range d.counter.NextReports(d.now) {
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
	d.emitAll(d.writer.NextWrites(d.now, d.declared.Len()))
}

// tallyWriter returns the instance that writes the tallies of a service. The last
// instance of a fleet writes its own while it shuts down.
func (d *Decider[E, D, P, L]) tallyWriter(service string) (descriptor.Member, bool) {
	serving := d.index.Get(service)
	if len(serving) > 0 {
		return serving[0], true
	}
	return d.gossiper.Self(), d.shutdown.started
}

// Until one of these times has passed, a started instance does not redirect
// callers to other instances, since it would name only the few members it knows
// so far.
const (
	// memberQuietTime is the time without a new member after which the list of
	// members counts as complete. It runs from syncedAt at the earliest.
	memberQuietTime = 400 * time.Millisecond
	// membersKnownLimit is the time after syncedAt at which the list counts as
	// complete in any case.
	membersKnownLimit = 3 * time.Second
)

// updateMembersKnown sets membersKnown once the list of members is taken to
// be complete.
func (d *Decider[E, D, P, L]) updateMembersKnown() {
	if !d.synced || d.membersKnown {
		return
	}
	since := d.now.Sub(d.syncedAt)
	quiet := since >= memberQuietTime && d.now.Sub(d.lastMemberAt) >= memberQuietTime
	if quiet || since >= membersKnownLimit {
		d.membersKnown = true
		d.timeDirty = true
	}
}

// publish hands the traffic goroutines a new directory if anything in it changed.
func (d *Decider[E, D, P, L]) publish() {
	changed := d.dirty || d.timeDirty || d.publishedCrashes != d.crashes.Version()
	if changed && d.now.Sub(d.lastPublishAt) >= publishInterval {
		d.publishNow()
	}
}

func (d *Decider[E, D, P, L]) publishNow() {
	directory := d.buildDirectory()
	d.dirty, d.timeDirty = false, false
	d.lastPublishAt = d.now
	d.emit(descriptor.Publish{Directory: directory})
}
