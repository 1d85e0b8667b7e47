package decider

import (
	"strconv"
	"time"

	"monsoonswitch/balancer"
	"monsoonswitch/descriptor"
)

// receive takes in a message from another instance.
func (d *Decider[E, D, P, L]) receive(e descriptor.Received) {
	d.gossiper.Heard(e.At, e.From)
	from, ok := d.gossiper.Member(e.From)
	if !ok {
		return
	}
	switch m := e.Message.(type) {
	case descriptor.Members:
		d.gossiper.HearMembers(e.At, e.From, m)
	case descriptor.Digest:
		d.hearDigest(from, m)
	case descriptor.References:
		d.hearReferences(from, m)
	case descriptor.Documents:
		for _, document := range m.List {
			d.take(document, e.From)
		}
		d.relayer.Settle("", d.spreader.Digest().Fold())
		d.stamped = true
	case descriptor.Refresh:
		for _, part := range d.spreader.Answer(m) {
			d.send(from, part)
		}
	case descriptor.Pulse:
		d.hearPulse(from, m)
	case descriptor.Bulletin:
		d.hearBulletin(m)
	case descriptor.TallyReport:
		d.writer.Merge(m.Tally)
	case descriptor.Receipt:
		d.counter.Confirm(m)
	case descriptor.Claim, descriptor.Verdict, descriptor.Settle, descriptor.Inherit:
		d.receiveKey(from, m)
	default:
		d.receiveService(from, m)
	}
}

func (d *Decider[E, D, P, L]) send(to descriptor.Member, m descriptor.Message) {
	d.emit(descriptor.Send{To: to, Message: m})
}

// hearDigest brings two instances in step. An instance that is not ready yet is
// answered at once, and learns from the digest that follows that it has it all.
func (d *Decider[E, D, P, L]) hearDigest(from descriptor.Member, m descriptor.Digest) {
	d.gossiper.HearDigest(from.ID, m.Members)
	for _, part := range d.spreader.HearDigest(from.ID, m.Documents, !from.Ready || m.Urgent) {
		d.send(from, part)
	}
	if d.synced && !from.Ready {
		d.sendDigest(from)
	}
	same := d.spreader.Digest().Differ(m.Documents) == 0 && (!d.options.Routing || d.routes != nil)
	if !d.synced && from.Ready && same {
		d.sync(from.ID)
	}
}

// hearPulse takes in a pulse, passes it on, and asks its sender for the documents
// that it is about unless they are held.
func (d *Decider[E, D, P, L]) hearPulse(from descriptor.Member, m descriptor.Pulse) {
	next, ok := d.relayer.Hear(d.now, m)
	if !ok {
		return
	}
	d.relayer.Notice(d.now, d.now.Add(-time.Duration(m.Age)*time.Millisecond))
	d.relay(next)
	if d.relayer.Settle(m.Origin, d.spreader.Digest().Fold()) {
		d.send(from, descriptor.Digest{Members: d.gossiper.Digest(), Documents: d.spreader.Digest(), Urgent: true})
	}
	d.stamped = true
}

// hearBulletin takes in which backend servers are in doubt and passes it on.
func (d *Decider[E, D, P, L]) hearBulletin(m descriptor.Bulletin) {
	if !d.relayer.Newer("bulletin/"+m.Service+"/"+m.Origin, m.Incarnation, m.Sequence) {
		return
	}
	d.spreadOut(m.Origin, m)
	d.onService(m.Service, func(s *balancer.Balancer[E, D, P, L]) { s.HearBulletin(d.now, m) })
}

func (d *Decider[E, D, P, L]) sendDigest(to descriptor.Member) {
	d.send(to, descriptor.Digest{Members: d.gossiper.Digest(), Documents: d.spreader.Digest()})
}

func (d *Decider[E, D, P, L]) hearReferences(from descriptor.Member, m descriptor.References) {
	want, have := d.spreader.Compare(d.now, m)
	if len(want.List) > 0 {
		d.send(from, want)
	}
	for _, part := range have {
		d.send(from, part)
	}
}

// receiveKey handles the messages about idempotency keys.
func (d *Decider[E, D, P, L]) receiveKey(from descriptor.Member, message descriptor.Message) {
	switch m := message.(type) {
	case descriptor.Claim:
		d.emitAll(d.keeper.HearClaim(d.now, from, m))
	case descriptor.Verdict:
		settled, ok, actions := d.keeper.HearVerdict(from, m)
		d.emitAll(actions)
		if ok {
			d.settle(settled)
		}
	case descriptor.Settle:
		d.keeper.HearSettle(from.ID, m)
	case descriptor.Inherit:
		d.keeper.HearInherit(m)
	}
}

// receiveService handles the messages between the serving instances of a
// service.
func (d *Decider[E, D, P, L]) receiveService(from descriptor.Member, message descriptor.Message) {
	switch m := message.(type) {
	case descriptor.Outcomes:
		d.onService(m.Service, func(s *balancer.Balancer[E, D, P, L]) { s.HearOutcomes(d.now, m) })
	case descriptor.Evidence:
		d.onService(m.Service, func(s *balancer.Balancer[E, D, P, L]) { s.HearEvidence(d.now, from.ID, m) })
	case descriptor.Crash:
		d.onService(m.Service, func(s *balancer.Balancer[E, D, P, L]) { s.HearCrash(d.now, m) })
	case descriptor.Drain:
		d.onService(m.Service, func(s *balancer.Balancer[E, D, P, L]) { s.HearDrain(d.now, m) })
	case descriptor.Demand:
		d.onService(m.Service, func(s *balancer.Balancer[E, D, P, L]) { s.HearDemand(d.now, from, m) })
	case descriptor.Loan:
		d.onService(m.Service, func(s *balancer.Balancer[E, D, P, L]) { s.HearLoan(d.now, m) })
	}
}

// written takes in the end of a write to the store.
func (d *Decider[E, D, P, L]) written(e descriptor.Written) {
	if settled, ok := d.keeper.Written(e); ok {
		d.settle(settled)
		return
	}
	if receipts, ok := d.writer.Written(e); ok {
		for _, r := range receipts {
			d.sendReceipt(r.Instance, r.Receipt)
		}
		if e.Result == descriptor.WriteConflict {
			// Waiting for the next tick would lose against another writer again:
			// a fleet that leaves all at once has as many writers as instances.
			d.emitAll(d.writer.Due(d.now, d.declared.Len()))
		}
		return
	}
	for service, s := range d.served.All {
		if s.Proposed(e.Write) {
			d.ejectionWritten(service, s, e)
			return
		}
	}
}

func (d *Decider[E, D, P, L]) sendReceipt(instance string, r descriptor.Receipt) {
	if instance == d.options.Self.ID {
		d.counter.Confirm(r)
		return
	}
	if m, ok := d.gossiper.Member(instance); ok {
		d.send(m, r)
	}
}

// ejectionWritten puts a written set of ejections in force and spreads it.
func (d *Decider[E, D, P, L]) ejectionWritten(service string, s *balancer.Balancer[E, D, P, L], e descriptor.Written) {
	document, ok := s.Written(e)
	if ok {
		d.spreader.Take(document, "")
		s.Eject(d.now, document)
	}
	d.collect(service, s)
}

func revisionText(r uint64) string { return "revision " + strconv.FormatUint(r, 10) }
