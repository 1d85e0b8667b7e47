package decider

import (
	"time"

	"monsoonswitch/allocator"
	"monsoonswitch/balancer"
	"monsoonswitch/declarer"
	"monsoonswitch/descriptor"
	"monsoonswitch/gossiper"
)

// handleDocumentsRead handles documents read from the platform's store.
func (d *Decider[E, D, P, L]) handleDocumentsRead(e descriptor.DocumentsRead) {
	d.relayer.RecordResponse(d.now, e.AsOf)
	d.enterEra(e.Revision)
	if e.Kind == descriptor.KindRegister {
		d.handleRegisterRead(e)
		return
	}
	d.restoration.recordShown(e, d.spreader.List)
	for _, document := range e.Documents {
		d.applyDocument(document, "")
	}
	if e.Complete {
		d.fullyRead.Put(e.Kind, true)
	}
	d.confirmFresh(e)
	d.proveRead(e)
	if !d.synced && d.configurationRead() {
		d.setSynced("store")
	}
}

// configurationRead reports whether everything that is needed to serve callers
// was read from the store.
func (d *Decider[E, D, P, L]) configurationRead() bool {
	for _, k := range d.options.kinds() {
		if !d.fullyRead.Has(k) {
			return false
		}
	}
	return !d.options.Routing || d.routes != nil
}

// confirmFresh records the time as of which the documents of a kind are the
// newest.
func (d *Decider[E, D, P, L]) confirmFresh(e descriptor.DocumentsRead) {
	if e.AsOf.IsZero() || !d.provesNewest(e) {
		return
	}
	d.relayer.RecordRead(e.Kind, e.AsOf)
	d.timeDirty = true
}

// setSynced records that the configuration is known, so that callers may be sent
// to this instance.
func (d *Decider[E, D, P, L]) setSynced(source string) {
	d.synced = true
	d.syncedAt = d.now
	// The traffic goroutines need the directory before other instances send callers
	// to this one.
	d.publishNow()
	d.note(descriptor.NoteReady, d.options.Self.ID, "configuration from "+source)
	if !d.shutdown.started {
		d.gossiper.SetReady(d.now, true)
	}
}

// applyDocument puts a document in force unless the same or a newer revision
// already is.
func (d *Decider[E, D, P, L]) applyDocument(document descriptor.Document, from string) {
	if document.Kind == descriptor.KindBackends {
		d.enterEra(document.Revision)
	}
	before, _ := d.spreader.Get(document.Kind, document.Name)
	document, ok := d.spreader.Take(document, from)
	if !ok {
		return
	}
	switch document.Kind {
	case descriptor.KindService:
		d.applyDeclaration(document)
	case descriptor.KindRouting:
		d.applyRouting(document)
	case descriptor.KindBackends:
		d.restoration.recordList(before, document)
		d.applyBackends(document)
	case descriptor.KindEjections:
		d.onService(document.Name, func(s *balancer.Balancer[E, D, P, L]) { s.SetEjections(d.now, document) })
	}
}

func (d *Decider[E, D, P, L]) applyDeclaration(document descriptor.Document) {
	if document.Service == nil {
		return
	}
	d.dirty = true
	d.declared.Put(document.Name, declaration{
		service:  *document.Service,
		revision: document.Revision,
		accepted: document.At,
		inForce:  d.now,
	})
	d.note(descriptor.NoteRevision, document.Name, revisionText(document.Revision))
	d.updateServingCount(document.Name)
	d.onService(document.Name, func(s *balancer.Balancer[E, D, P, L]) {
		d.counter.InForce(d.now, document.Name, document.Revision)
		s.Declare(*document.Service, document.Revision)
	})
}

// applyRouting puts a routing in force. A service that it no longer names takes
// no new requests.
func (d *Decider[E, D, P, L]) applyRouting(document descriptor.Document) {
	if document.Routing == nil {
		return
	}
	services := document.Routing.Derive()
	named := make(map[string]bool, len(services))
	for _, s := range services {
		named[s.Name] = true
	}
	for name := range d.declared.All {
		if !named[name] {
			services = append(services, declarer.Service{Name: name, Share: 1})
		}
	}
	for i := range services {
		d.applyDeclaration(descriptor.Document{
			Kind:     descriptor.KindService,
			Name:     services[i].Name,
			Revision: document.Revision,
			At:       document.At,
			Service:  &services[i],
		})
		d.updateServing(services[i].Name)
	}
	d.quotas.SetLimits(document.Routing.Customers)
	d.holdRouting(*document.Routing)
}

func (d *Decider[E, D, P, L]) applyBackends(document descriptor.Document) {
	d.updateServingCount(document.Name)
	d.onService(document.Name, func(s *balancer.Balancer[E, D, P, L]) {
		s.SetBackends(d.now, d.restoration.withoutDeparted(document), d.relayer.RestoreDeadline())
	})
}

// updateServingCount sets how many instances serve a service, from the slots of
// its backend servers. Under a routing it sets how many instances callers are sent to
// instead; see updateCallerCount.
func (d *Decider[E, D, P, L]) updateServingCount(service string) {
	if !d.declared.Has(service) {
		return
	}
	if d.options.Routing {
		d.updateCallerCount()
		return
	}
	document, _ := d.spreader.Get(descriptor.KindBackends, service)
	total, smallest := 0, 0
	for _, b := range document.Backends {
		if b.Leaving {
			continue
		}
		total += b.Slots
		if smallest == 0 || b.Slots < smallest {
			smallest = b.Slots
		}
	}
	if d.index.SetService(service, allocator.ServingCount(total, smallest)) {
		d.updateServing(service)
	}
}

// updateCallerCount sets how many instances callers are sent to, from the slots
// of all services together.
func (d *Decider[E, D, P, L]) updateCallerCount() {
	total := 0
	for service := range d.declared.All {
		document, _ := d.spreader.Get(descriptor.KindBackends, service)
		for _, b := range document.Backends {
			total += b.Slots
		}
	}
	if d.index.SetCallers(callersRole, total) {
		d.updateServing(callersRole)
	}
}

// updateServing applies the serving instances of a service to its balancer and
// starts serving it if this instance is one of them.
func (d *Decider[E, D, P, L]) updateServing(service string) {
	d.dirty = true
	if service == watchRole {
		return
	}
	if service == callersRole {
		d.updateCallerList()
		d.updateQuotas()
		for name := range d.declared.All {
			d.updateServing(name)
		}
		return
	}
	if d.options.Routing {
		d.updateRoutedServing(service)
		return
	}
	serving := d.index.Get(service)
	if !d.served.Has(service) && containsMember(serving, d.options.Self.ID) {
		d.startServing(service)
	}
	d.onService(service, func(s *balancer.Balancer[E, D, P, L]) { s.SetOwners(d.now, serving) })
}

// updateRoutedServing applies the instances that callers are sent to as the slot
// owners of a service. Every other instance serves it as a non-owner.
func (d *Decider[E, D, P, L]) updateRoutedServing(service string) {
	if !d.served.Has(service) {
		d.startServing(service)
	}
	serving := d.index.Get(callersRole)
	d.onService(service, func(s *balancer.Balancer[E, D, P, L]) { s.SetOwners(d.now, serving) })
}

// startServing creates the balancer of a service that this instance begins to
// serve.
func (d *Decider[E, D, P, L]) startServing(service string) {
	known, ok := d.declared.Get(service)
	if !ok {
		return
	}
	s := balancer.New[E, D, P, L](known.service, balancer.Options{
		Self:           d.options.Self.ID,
		Seed:           d.options.Seed,
		NextWrite:      d.nextWrite,
		PooledOutcomes: d.options.Routing,
		Domain:         d.options.Self.Domain,
		Retries:        d.options.Retries,
		Crashes:        d.crashes,
		Departed:       d.departed,
	})
	s.Declare(known.service, known.revision)
	s.SetHeard(d.heard)
	d.counter.InForce(d.now, service, known.revision)
	if list, ok := d.spreader.Get(descriptor.KindBackends, service); ok {
		s.SetBackends(d.now, d.restoration.withoutDeparted(list), time.Time{})
	}
	if set, ok := d.spreader.Get(descriptor.KindEjections, service); ok {
		s.SetEjections(d.now, set)
	}
	d.served.Put(service, s)
}

// removeFinished removes the balancers of services that this instance no longer
// serves and whose requests have all ended.
func (d *Decider[E, D, P, L]) removeFinished() {
	if d.options.Routing {
		return
	}
	var done []string
	for service, s := range d.served.All {
		if !s.OwnsSlots() && !s.Busy() {
			done = append(done, service)
		}
	}
	for _, service := range done {
		d.served.Delete(service)
	}
}

// applyMemberChanges updates the index and the serving instances after changes of
// members.
func (d *Decider[E, D, P, L]) applyMemberChanges() {
	actions, changes := d.gossiper.Drain()
	d.emitAll(actions)
	if len(changes) > 0 {
		clear(d.children)
	}
	for _, c := range changes {
		if c.Before.ID == "" {
			d.lastMemberAt = d.now
		}
		d.noteMember(c)
		d.registrar.SetMember(d.uptime, c.After)
		for _, service := range d.reindex(c.After) {
			d.updateServing(service)
		}
	}
	for _, role := range d.index.Settle() {
		d.updateServing(role)
	}
	if len(changes) > 0 {
		d.keeper.SetFleetSize(d.fleetSize())
	}
}

func (d *Decider[E, D, P, L]) reindex(m descriptor.Member) []string {
	if m.Ready && m.State < descriptor.Dead {
		return d.index.Put(m)
	}
	return d.index.Delete(m.ID)
}

func (d *Decider[E, D, P, L]) noteMember(c gossiper.Change) {
	if c.After.ID == d.options.Self.ID || c.Before.State == c.After.State && c.Before.ID != "" {
		return
	}
	numbers := [...]int{
		descriptor.Alive:   descriptor.NoteMemberNew,
		descriptor.Suspect: descriptor.NoteMemberSuspect,
		descriptor.Dead:    descriptor.NoteMemberDead,
		descriptor.Left:    descriptor.NoteMemberLeft,
	}
	if c.After.State >= 0 && int(c.After.State) < len(numbers) {
		d.note(numbers[c.After.State], c.After.ID, c.After.Domain)
	}
}

func containsMember(list []descriptor.Member, id string) bool {
	for _, m := range list {
		if m.ID == id {
			return true
		}
	}
	return false
}

// buildDirectory builds the snapshot that the traffic goroutines read. If only
// its time changed, it shares everything else with the snapshot before.
func (d *Decider[E, D, P, L]) buildDirectory() *descriptor.Directory {
	next := &descriptor.Directory{}
	if d.published != nil && !d.dirty {
		*next = *d.published
	} else {
		services := make(map[string]*descriptor.ServiceEntry, d.declared.Len())
		for name, s := range d.declared.All {
			services[name] = d.directoryEntry(name, s)
		}
		next.Services = services
		next.Routes = d.routes
		next.Callers = d.index.Get(callersRole)
	}
	if d.publishedCrashes != d.crashes.Version() {
		d.publishedCrashes = d.crashes.Version()
		next.Suspected = make(map[uint64]bool, d.crashes.Len())
		for _, f := range d.crashes.Fingerprints() {
			next.Suspected[f] = true
		}
	} else if d.published != nil {
		next.Suspected = d.published.Suspected
	}
	next.Ready = d.synced
	next.Leaving = d.shutdown.started
	next.MembersKnown = d.options.Routing && d.membersKnown
	next.Current = d.relayer.Current(d.options.kinds())
	next.Strict, next.Seen = d.strict(), d.prover.Seen()
	d.published = next
	return next
}

func (d *Decider[E, D, P, L]) directoryEntry(name string, known declaration) *descriptor.ServiceEntry {
	serving := d.index.Get(name)
	if d.options.Routing {
		serving = d.index.Get(callersRole)
	}
	return &descriptor.ServiceEntry{
		Service:  known.service,
		Revision: known.revision,
		Serving:  serving,
		Local:    containsMember(serving, d.options.Self.ID),
	}
}
