package decider

import (
	"time"

	"monsoonswitch/balancer"
	"monsoonswitch/descriptor"
	"monsoonswitch/quarantiner"
)

// handleMessage handles a message from another instance.
func (d *Decider[E, D, P, L]) handleMessage(e descriptor.Received) {
	d.gossiper.RecordReceived(e.At, e.From)
	d.prover.Advance(e.Uptime)
	from, ok := d.gossiper.Member(e.From)
	if !ok {
		return
	}
	switch m := e.Message.(type) {
	case descriptor.Freshness:
		d.handleProof(from, m, e.Uptime)
		d.handleFreshness(from, m)
	case descriptor.ClockStamp:
		d.handleStamp(from, m, e.Uptime)
	case descriptor.SuspicionList:
		d.handleSuspicionList(m)
	case descriptor.RegisterReport:
		d.handleRegisterReport(from, m)
	case descriptor.QuotaDemand:
		d.quotas.HandleDemand(d.uptime, from, m)
	case descriptor.QuotaGrant:
		d.quotas.HandleGrant(d.uptime, e.From, m)
	case descriptor.TallyReport:
		d.writer.Merge(m.Tally)
	case descriptor.TallyReceipt:
		d.counter.Confirm(m)
	case descriptor.Claim, descriptor.Verdict, descriptor.KeySettlement, descriptor.KeyHandover:
		d.handleKeyMessage(from, m)
	default:
		if !d.handleStateMessage(e, from) {
			d.handleServiceMessage(from, m)
		}
	}
}

// handleStateMessage handles the messages that replicate members and documents, and reports
// whether the message is one.
func (d *Decider[E, D, P, L]) handleStateMessage(e descriptor.Received, from descriptor.Member) bool {
	switch m := e.Message.(type) {
	case descriptor.Members:
		d.gossiper.HandleMembers(e.At, e.From, m)
	case descriptor.MemberChanges:
		d.gossiper.HandleChanges(e.At, e.From, m)
	case descriptor.Comparison:
		d.handleComparison(from, m)
	case descriptor.Digest:
		d.handleDigest(from, m)
	case descriptor.References:
		d.handleReferences(from, m)
	case descriptor.Documents:
		for _, document := range m.List {
			d.applyDocument(document, e.From)
		}
		d.relayer.ApplyAnnouncements("", d.spreader.Digest().Hash())
		d.timeDirty = true
		d.completeSync()
	case descriptor.Refresh:
		for _, part := range d.spreader.Answer(m) {
			d.send(from, part)
		}
	default:
		return false
	}
	return true
}

func (d *Decider[E, D, P, L]) send(to descriptor.Member, m descriptor.Message) {
	d.emit(descriptor.Send{To: to, Message: m})
}

// linkOpened handles a new link. An instance that starts is told which requests crash backend
// servers, because it gets requests before the next suspicion list.
func (d *Decider[E, D, P, L]) linkOpened(e descriptor.LinkOpened) {
	d.gossiper.LinkOpened(e)
	if !d.synced || e.Peer.Ready {
		return
	}
	for service, s := range d.served.All {
		s.ReportRefused(d.now, e.Peer)
		d.collect(service, s)
	}
}

// handleDigest compares a digest with the documents held and answers with the
// differences. An instance that is not ready is answered immediately, and is
// then sent a digest that shows it whether anything is missing.
func (d *Decider[E, D, P, L]) handleDigest(from descriptor.Member, m descriptor.Digest) {
	d.gossiper.HandleDigest(from.ID, m.Members)
	if d.synced {
		// An instance that is not ready offers nothing: the answer to its references
		// would be complete documents, and its own digest asks for what it lacks.
		for _, part := range d.spreader.HandleDigest(from.ID, m.Documents, !from.Ready || m.Urgent) {
			d.send(from, part)
		}
	}
	if d.synced && !from.Ready {
		d.sendDigest(from)
	}
	same := d.spreader.Digest().Differ(m.Documents) == 0 && (!d.options.Routing || d.routes != nil)
	if !d.synced && from.Ready && same {
		d.setSynced(from.ID)
	}
}

// handleFreshness handles a freshness announcement: it forwards it, and sends a
// digest to the instance that it came from if the announced hash sum differs from
// that of the documents held.
func (d *Decider[E, D, P, L]) handleFreshness(from descriptor.Member, m descriptor.Freshness) {
	if m.Origin == "" {
		return
	}
	next, ok := d.relayer.HandleFreshness(d.now, m)
	if !ok {
		return
	}
	d.relayer.RecordResponse(d.now, d.now.Add(-time.Duration(m.Age)*time.Millisecond))
	d.forwardFreshness(next)
	d.handleAnnouncedRegister(from, m)
	if d.relayer.ApplyAnnouncements(m.Origin, d.spreader.Digest().Hash()) {
		if d.synced {
			// Otherwise all documents are missing, which requestSync asks one instance for;
			// the parent would answer each start below it.
			d.requestDocuments(from)
		}
	}
	d.timeDirty = true
}

// handleSuspicionList forwards a suspicion list and gives it to the balancer of its
// service. An instance that starts gets the lists before it knows the services, and then keeps
// the departures alone.
func (d *Decider[E, D, P, L]) handleSuspicionList(m descriptor.SuspicionList) {
	if !d.relayer.Newer("bulletin/"+m.Service+"/"+m.Origin, m.Incarnation, m.Sequence) {
		return
	}
	d.sendToChildren(m.Origin, m)
	if !d.served.Has(m.Service) {
		for _, mark := range m.Leaving {
			d.departed.Put(mark, true)
		}
	}
	origin, _ := d.gossiper.Member(m.Origin)
	d.onService(m.Service, func(s *balancer.Balancer[E, D, P, L]) { s.HandleSuspicionList(d.now, origin, m) })
}

// handleCrashReport forwards a crash report that is meant for all instances and gives it to the
// balancer of its service.
func (d *Decider[E, D, P, L]) handleCrashReport(m descriptor.CrashReport) {
	if m.Origin != "" {
		if !d.relayer.Newer("crash/"+m.Origin, m.Incarnation, m.Sequence) {
			return
		}
		d.sendToChildren(m.Origin, m)
	}
	if !d.served.Has(m.Service) && !m.Cleared && m.Mark != 0 {
		// An instance that starts gets reports before it knows the services.
		at := d.now.Add(-time.Duration(max(0, m.Age)) * time.Millisecond)
		d.crashes.Add(m.Fingerprint, quarantiner.Crash{Service: m.Service, Mark: m.Mark, Content: m.Content, At: at})
	}
	d.onService(m.Service, func(s *balancer.Balancer[E, D, P, L]) { s.HandleCrash(d.now, m) })
}

func (d *Decider[E, D, P, L]) sendDigest(to descriptor.Member) {
	d.send(to, descriptor.Digest{Members: d.gossiper.Digest(), Documents: d.spreader.Digest()})
}

func (d *Decider[E, D, P, L]) handleReferences(from descriptor.Member, m descriptor.References) {
	want, have := d.spreader.Compare(d.now, m)
	if len(want.List) > 0 {
		d.send(from, want)
	}
	for _, part := range have {
		d.send(from, part)
	}
}

// handleKeyMessage handles the messages about idempotency keys.
func (d *Decider[E, D, P, L]) handleKeyMessage(from descriptor.Member, message descriptor.Message) {
	switch m := message.(type) {
	case descriptor.Claim:
		d.emitAll(d.keeper.HandleClaim(d.now, from, m))
	case descriptor.Verdict:
		resolved, ok, actions := d.keeper.HandleVerdict(from, m)
		d.emitAll(actions)
		if ok {
			d.resumeRequest(resolved)
		}
	case descriptor.KeySettlement:
		d.keeper.HandleSettlement(from.ID, m)
	case descriptor.KeyHandover:
		d.keeper.HandleKeyHandover(m)
	}
}

// handleServiceMessage handles the messages between the serving instances of a
// service.
func (d *Decider[E, D, P, L]) handleServiceMessage(from descriptor.Member, message descriptor.Message) {
	switch m := message.(type) {
	case descriptor.Outcomes:
		d.onService(m.Service, func(s *balancer.Balancer[E, D, P, L]) { s.HandleOutcomes(d.now, m) })
	case descriptor.Evidence:
		d.onService(m.Service, func(s *balancer.Balancer[E, D, P, L]) { s.HandleEvidence(d.now, from.ID, m) })
	case descriptor.CrashReport:
		d.handleCrashReport(m)
	case descriptor.Drain:
		d.onService(m.Service, func(s *balancer.Balancer[E, D, P, L]) { s.HandleDrain(d.now, m) })
	case descriptor.SlotDemand:
		d.onService(m.Service, func(s *balancer.Balancer[E, D, P, L]) { s.HandleSlotDemand(d.now, from, m) })
	case descriptor.SlotLease:
		d.onService(m.Service, func(s *balancer.Balancer[E, D, P, L]) { s.HandleSlotLease(d.now, m) })
	}
}

// handleWritten handles the result of a write to the store.
func (d *Decider[E, D, P, L]) handleWritten(e descriptor.Written) {
	d.enterEra(e.Revision)
	if d.registerWritten(e) {
		return
	}
	if resolved, ok := d.keeper.Written(e); ok {
		d.resumeRequest(resolved)
		return
	}
	if receipts, ok := d.writer.Written(e); ok {
		for _, r := range receipts {
			d.sendReceipt(r.Instance, r.Receipt)
		}
		if e.Result == descriptor.WriteConflict {
			// Retry now: waiting for the next tick would lose against another
			// writer again, because a fleet that leaves all at once has as many
			// writers as instances.
			d.emitAll(d.writer.NextWrites(d.now, d.declared.Len()))
		}
		return
	}
	for service, s := range d.served.All {
		if s.Proposed(e.Write) {
			d.handleEjectionsWritten(service, s, e)
			return
		}
	}
}

func (d *Decider[E, D, P, L]) sendReceipt(instance string, r descriptor.TallyReceipt) {
	if instance == d.options.Self.ID {
		d.counter.Confirm(r)
		return
	}
	if m, ok := d.gossiper.Member(instance); ok {
		d.send(m, r)
	}
}

// handleEjectionsWritten puts a written set of ejections in force and distributes
// it.
func (d *Decider[E, D, P, L]) handleEjectionsWritten(service string, s *balancer.Balancer[E, D, P, L], e descriptor.Written) {
	document, ok := s.Written(e)
	if ok {
		d.spreader.Take(document, "")
		s.SetEjections(d.now, document)
	}
	d.collect(service, s)
}

func revisionText(r uint64) string { return "revision " + descriptor.RevisionText(r) }
