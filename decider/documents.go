package decider

import (
	"monsoonswitch/allocator"
	"monsoonswitch/balancer"
	"monsoonswitch/descriptor"
	"monsoonswitch/gossiper"
)

// learn takes in documents read from the platform.
func (d *Decider[E, D, P, L]) learn(e descriptor.Learned) {
	for _, document := range e.Documents {
		d.take(document, "")
	}
	if e.Complete && e.Kind == descriptor.KindService && !d.synced {
		d.sync("store")
	}
}

// sync records that the configuration is known, so that callers may come.
func (d *Decider[E, D, P, L]) sync(source string) {
	d.synced = true
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

func (d *Decider[E, D, P, L]) list(document descriptor.Document) {
	d.resize(document.Name)
	d.onService(document.Name, func(s *balancer.Balancer[E, D, P, L]) { s.List(d.now, document.Backends) })
}

// resize sets how many instances serve a service, by the size of the service.
func (d *Decider[E, D, P, L]) resize(service string) {
	if !d.declared.Has(service) {
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

// assign puts the serving instances of a service in force here.
func (d *Decider[E, D, P, L]) assign(service string) {
	d.dirty = true
	if service == watchRole {
		return
	}
	serving := d.index.Get(service)
	if !d.served.Has(service) && includes(serving, d.options.Self.ID) {
		d.open(service)
	}
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
	})
	s.Declare(known.service, known.revision)
	d.counter.InForce(d.now, service, known.revision)
	if list, ok := d.spreader.Get(descriptor.KindBackends, service); ok {
		s.List(d.now, list.Backends)
	}
	if set, ok := d.spreader.Get(descriptor.KindEjections, service); ok {
		s.Eject(d.now, set)
	}
	d.served.Put(service, s)
}

// retire forgets services that this instance has finished serving.
func (d *Decider[E, D, P, L]) retire() {
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
		d.noteMember(c)
		for _, service := range d.reindex(c.After) {
			d.assign(service)
		}
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

// directory builds the snapshot that traffic reads.
func (d *Decider[E, D, P, L]) directory() *descriptor.Directory {
	services := make(map[string]*descriptor.Entry, d.declared.Len())
	for name, s := range d.declared.All {
		services[name] = d.entry(name, s)
	}
	return &descriptor.Directory{
		Services: services,
		Ready:    d.synced,
		Leaving:  d.quit.started,
	}
}

func (d *Decider[E, D, P, L]) entry(name string, known declaration) *descriptor.Entry {
	serving := d.index.Get(name)
	return &descriptor.Entry{
		Service:  known.service,
		Revision: known.revision,
		Serving:  serving,
		Here:     includes(serving, d.options.Self.ID),
	}
}
