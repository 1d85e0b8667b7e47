package decider

import (
	"time"

	"monsoonswitch/allocator"
	"monsoonswitch/balancer"
	"monsoonswitch/declarer"
	"monsoonswitch/descriptor"
	"monsoonswitch/gossiper"
)

// learn takes in documents read from the platform.
func (d *Decider[E, D, P, L]) learn(e descriptor.Learned) {
	d.relayer.Notice(d.now, e.AsOf)
	for _, document := range e.Documents {
		d.take(document, "")
	}
	if e.Complete {
		d.completed.Put(e.Kind, true)
	}
	d.confirm(e)
	if !d.synced && d.complete() {
		d.sync("store")
	}
}

// complete tells whether everything that callers need was read from the store.
func (d *Decider[E, D, P, L]) complete() bool {
	for _, k := range d.options.kinds() {
		if !d.completed.Has(k) {
			return false
		}
	}
	return !d.options.Routing || d.routes != nil
}

// confirm takes in as of when the documents of a kind are the newest ones.
func (d *Decider[E, D, P, L]) confirm(e descriptor.Learned) {
	if e.AsOf.IsZero() {
		return
	}
	d.relayer.Confirm(e.Kind, e.AsOf)
	d.stamped = true
}

// sync records that the configuration is known, so that callers may come.
func (d *Decider[E, D, P, L]) sync(source string) {
	d.synced = true
	d.syncedAt = d.now
	// Traffic must know before others send callers here.
	d.publishNow()
	d.note(descriptor.NoteReady, d.options.Self.ID, "configuration from "+source)
	if !d.quit.started {
		d.gossiper.SetReady(d.now, true)
	}
}

// take puts a document in force unless the same or a newer revision is.
func (d *Decider[E, D, P, L]) take(document descriptor.Document, from string) {
	if !d.spreader.Take(document, from) {
		return
	}
	switch document.Kind {
	case descriptor.KindService:
		d.declare(document)
	case descriptor.KindRouting:
		d.route(document)
	case descriptor.KindBackends:
		d.list(document)
	case descriptor.KindEjections:
		d.onService(document.Name, func(s *balancer.Balancer[E, D, P, L]) { s.Eject(d.now, document) })
	}
}

func (d *Decider[E, D, P, L]) declare(document descriptor.Document) {
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
	d.resize(document.Name)
	d.onService(document.Name, func(s *balancer.Balancer[E, D, P, L]) {
		d.counter.InForce(d.now, document.Name, document.Revision)
		s.Declare(*document.Service, document.Revision)
	})
}

// route puts a routing in force. A service that it does not name any more takes
// no new requests.
func (d *Decider[E, D, P, L]) route(document descriptor.Document) {
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
		d.declare(descriptor.Document{
			Kind:     descriptor.KindService,
			Name:     services[i].Name,
			Revision: document.Revision,
			At:       document.At,
			Service:  &services[i],
		})
		d.assign(services[i].Name)
	}
	d.routes = declarer.NewMap(*document.Routing)
	d.publishNow()
}

func (d *Decider[E, D, P, L]) list(document descriptor.Document) {
	d.resize(document.Name)
	d.onService(document.Name, func(s *balancer.Balancer[E, D, P, L]) { s.List(d.now, document.Backends, d.relayer.MayReturn()) })
}

// resize sets how many instances serve a service, by the size of the service.
func (d *Decider[E, D, P, L]) resize(service string) {
	if !d.declared.Has(service) {
		return
	}
	if d.options.Routing {
		d.resizeCallers()
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
	if d.index.SetService(service, allocator.Count(total, smallest)) {
		d.assign(service)
	}
}

// resizeCallers sets how many instances callers are sent to, by the slots of all
// services together.
func (d *Decider[E, D, P, L]) resizeCallers() {
	domains := make(map[string]bool)
	for _, m := range d.gossiper.Members() {
		if m.State < descriptor.Dead {
			domains[m.Domain] = true
		}
	}
	total := 0
	for service := range d.declared.All {
		document, _ := d.spreader.Get(descriptor.KindBackends, service)
		for _, b := range document.Backends {
			total += b.Slots
		}
	}
	if d.index.SetService(callersRole, allocator.CallerCount(total, len(domains))) {
		d.assign(callersRole)
	}
}

// assign puts the serving instances of a service in force here.
func (d *Decider[E, D, P, L]) assign(service string) {
	d.dirty = true
	if service == watchRole {
		return
	}
	if service == callersRole {
		for name := range d.declared.All {
			d.assign(name)
		}
		return
	}
	if d.options.Routing {
		d.assignRouted(service)
		return
	}
	serving := d.index.Get(service)
	if !d.served.Has(service) && includes(serving, d.options.Self.ID) {
		d.open(service)
	}
	d.onService(service, func(s *balancer.Balancer[E, D, P, L]) { s.Serve(d.now, serving) })
}

// assignRouted puts the instances that callers are sent to in force as those that
// share the slots of a service. Every other instance serves it as a guest.
func (d *Decider[E, D, P, L]) assignRouted(service string) {
	if !d.served.Has(service) {
		d.open(service)
	}
	serving := d.index.Get(callersRole)
	d.onService(service, func(s *balancer.Balancer[E, D, P, L]) { s.Serve(d.now, serving) })
}

// open creates the state of a service that this instance begins to serve.
func (d *Decider[E, D, P, L]) open(service string) {
	known, ok := d.declared.Get(service)
	if !ok {
		return
	}
	s := balancer.New[E, D, P, L](known.service, balancer.Options{
		Self:      d.options.Self.ID,
		Seed:      d.options.Seed,
		NextWrite: d.nextWrite,
		Guests:    d.options.Routing,
		Domain:    d.options.Self.Domain,
		Retries:   d.options.Retries,
	})
	s.Declare(known.service, known.revision)
	d.counter.InForce(d.now, service, known.revision)
	if list, ok := d.spreader.Get(descriptor.KindBackends, service); ok {
		s.List(d.now, list.Backends, time.Time{})
	}
	if set, ok := d.spreader.Get(descriptor.KindEjections, service); ok {
		s.Eject(d.now, set)
	}
	d.served.Put(service, s)
}

// retire forgets services that this instance has finished serving.
func (d *Decider[E, D, P, L]) retire() {
	if d.options.Routing {
		return
	}
	var done []string
	for service, s := range d.served.All {
		if !s.Serves() && !s.Busy() {
			done = append(done, service)
		}
	}
	for _, service := range done {
		d.served.Delete(service)
	}
}

// followMembers brings the serving instances in step with the members.
func (d *Decider[E, D, P, L]) followMembers() {
	actions, changes := d.gossiper.Drain()
	d.emitAll(actions)
	if len(changes) > 0 {
		d.keeper.SetFleet(d.index.Members())
	}
	for _, c := range changes {
		if c.Before.ID == "" {
			d.memberAt = d.now
		}
		d.noteMember(c)
		for _, service := range d.reindex(c.After) {
			d.assign(service)
		}
	}
	if len(changes) > 0 && d.options.Routing {
		d.resizeCallers()
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

func includes(list []descriptor.Member, id string) bool {
	for _, m := range list {
		if m.ID == id {
			return true
		}
	}
	return false
}

// directory builds the snapshot that traffic reads. Without changes other than
// of its time it shares everything with the one before.
func (d *Decider[E, D, P, L]) directory() *descriptor.Directory {
	next := &descriptor.Directory{}
	if d.published != nil && !d.dirty {
		*next = *d.published
	} else {
		services := make(map[string]*descriptor.Entry, d.declared.Len())
		for name, s := range d.declared.All {
			services[name] = d.entry(name, s)
		}
		next.Services = services
		next.Routes = d.routes
		next.Callers = d.index.Get(callersRole)
	}
	next.Ready = d.synced
	next.Leaving = d.quit.started
	next.Settled = d.options.Routing && d.settled
	next.Current = d.relayer.Current(d.options.kinds())
	d.published = next
	return next
}

func (d *Decider[E, D, P, L]) entry(name string, known declaration) *descriptor.Entry {
	serving := d.index.Get(name)
	if d.options.Routing {
		serving = d.index.Get(callersRole)
	}
	return &descriptor.Entry{
		Service:  known.service,
		Revision: known.revision,
		Serving:  serving,
		Here:     includes(serving, d.options.Self.ID),
	}
}
