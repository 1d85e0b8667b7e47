package decider

import (
	"monsoonswitch/container"
	"monsoonswitch/descriptor"
)

// syncState is the progress of an instance that takes the configuration from another one.
type syncState struct {
	// attempts counts the instances that were asked.
	attempts int
	// from is the ready instance that last told the hash of its documents, and documents is
	// that hash.
	from      string
	documents uint64
}

// requestSync asks one instance for the documents until the configuration is known, and another
// one each time, preferably a ready one in this failure domain. If all were asked, each would
// answer with what differs.
func (d *Decider[E, D, P, L]) requestSync() {
	if d.synced || d.now.Sub(d.lastDigestAt) < digestInterval || d.gossiper.Introducing(d.now) {
		return
	}
	list := d.syncPeers()
	if len(list) == 0 {
		return
	}
	d.lastDigestAt = d.now
	// The offset spreads the instances that start over those that answer, as the choice of
	// the introducer does.
	offset := descriptor.MarkOf(d.options.Self.ID) % uint64(len(list))
	to := list[(int(offset)+d.sync.attempts)%len(list)]
	if m, ok := d.gossiper.Member(d.gossiper.Introducer()); ok && d.sync.attempts == 0 && m.Ready && d.gossiper.Linked(m.ID) {
		to = m
	}
	d.sync.attempts++
	d.requestDocuments(to)
}

// syncPeers returns the linked instances to ask for the documents: the ready ones in this
// failure domain, or the ready ones, or all.
func (d *Decider[E, D, P, L]) syncPeers() []descriptor.Member {
	var near, ready, linked []descriptor.Member
	for _, id := range d.gossiper.Links() {
		m, ok := d.gossiper.Member(id)
		if !ok {
			continue
		}
		linked = append(linked, m)
		if m.Ready {
			ready = append(ready, m)
		}
		if m.Ready && m.Domain == d.options.Self.Domain {
			near = append(near, m)
		}
	}
	switch {
	case len(near) > 0:
		return near
	case len(ready) > 0:
		return ready
	}
	return linked
}

// requestDocuments asks an instance to send at once the documents that differ.
func (d *Decider[E, D, P, L]) requestDocuments(to descriptor.Member) {
	if d.gossiper.Decodes(to.ID, descriptor.TypeComparison) {
		d.send(to, descriptor.Comparison{Urgent: true}.WithDocuments(d.spreader.Digest()))
		return
	}
	d.send(to, descriptor.Digest{Members: d.gossiper.Digest(), Documents: d.spreader.Digest(), Urgent: true})
}

// handleComparison handles the sums of another instance: it answers short sums that differ with
// the sums of buckets, and sums of buckets with what differs. An instance that is not ready is
// told the hash of the documents, which shows it whether anything is missing.
func (d *Decider[E, D, P, L]) handleComparison(from descriptor.Member, m descriptor.Comparison) {
	own := d.spreader.Digest()
	if sums, ok := container.FromSparse(m.DocumentCount, m.DocumentSet, m.DocumentSums); ok && m.DocumentCount > 0 || m.Urgent {
		if ok && d.synced {
			for _, part := range d.spreader.HandleDigest(from.ID, sums, !from.Ready || m.Urgent) {
				d.send(from, part)
			}
		}
	} else if m.Documents == own.Hash() {
		d.spreader.HandleDigest(from.ID, own, false)
	}
	if m.Answer && m.Checks != nil {
		d.gossiper.HandleChecks(from.ID, m, own)
	}
	if from.Ready {
		d.sync.from, d.sync.documents = from.ID, m.Documents
		d.completeSync()
	}
	if !m.Answer {
		d.compareCallers(from, m)
		d.answerComparison(from, m)
	}
}

func (d *Decider[E, D, P, L]) answerComparison(from descriptor.Member, m descriptor.Comparison) {
	own, members := d.spreader.Digest(), d.gossiper.Digest()
	answer := descriptor.Comparison{Documents: own.Hash(), Answer: true}
	if checks := d.gossiper.Compare(from.ID, m); checks != nil {
		answer.Members, answer.Count, answer.Checks = members.Hash(), members.Count, checks
	}
	differs := d.synced && !m.Urgent && m.Documents != own.Hash()
	if differs {
		answer = answer.WithDocuments(own)
	}
	if differs || answer.Checks != nil || d.synced && !from.Ready {
		d.send(from, answer)
	}
}

// completeSync ends the search for the configuration once the documents are those of a ready
// instance.
func (d *Decider[E, D, P, L]) completeSync() {
	if d.synced || d.sync.from == "" || d.sync.documents != d.spreader.Digest().Hash() || d.options.Routing && d.routes == nil {
		return
	}
	d.setSynced(d.sync.from)
}
