package gossiper

import (
	"monsoonswitch/container"
	"monsoonswitch/descriptor"
)

// Decodes reports whether an instance with an open link is known to decode a message type.
func (g *Gossiper) Decodes(id string, t descriptor.MessageType) bool {
	l, ok := g.links.Get(id)
	return ok && l.types >= t
}

// SetCallers sets the hash of the instances that callers are sent to, which is sent with the digests.
func (g *Gossiper) SetCallers(sum uint64) { g.callers = sum }

// sendDigest sends the digests of the members and documents: short sums, or all buckets to an
// instance of an earlier build.
func (g *Gossiper) sendDigest(to string, l link, documents container.BucketSums) {
	if l.types < descriptor.TypeComparison {
		g.send(to, descriptor.Digest{Members: g.digest, Documents: documents})
		return
	}
	g.send(to, descriptor.Comparison{Members: g.digest.Hash(), Count: g.digest.Count, Callers: g.callers, Documents: documents.Hash()})
}

// Compare handles the short sums of the members at another instance. It returns the checks of
// all buckets to answer with if they differ.
func (g *Gossiper) Compare(from string, m descriptor.Comparison) []byte {
	l, ok := g.links.Get(from)
	if !ok || m.Count == 0 || g.introduction.open() {
		return nil
	}
	if m.Members == g.digest.Hash() {
		g.links.Put(from, l.WithDiffering(0))
		return nil
	}
	return g.digest.Checks()
}

// HandleChecks handles an answer to short sums like a digest.
func (g *Gossiper) HandleChecks(from string, m descriptor.Comparison, documents container.BucketSums) {
	l, ok := g.links.Get(from)
	differing, valid := g.digest.DifferChecks(m.Checks)
	if !ok || !valid || g.introduction.open() {
		return
	}
	if differing == 0 && m.Members != g.digest.Hash() {
		// The checks of a bucket are equal by chance.
		g.send(from, descriptor.Digest{Members: g.digest, Documents: documents})
		return
	}
	atOnce := g.reviewing() || g.digest.DiffersWidely(container.BucketSums{Count: m.Count})
	g.sendDiffering(from, l, differing, atOnce)
}

// sendDiffering sends the records of the buckets that differ from those of another instance. A
// change that is still spreading makes digests differ for a moment, so a bucket counts only if
// it differed in the last two digests, or if atOnce is set.
func (g *Gossiper) sendDiffering(to string, l link, differing uint64, atOnce bool) {
	lasting := differing & l.differing
	if atOnce {
		lasting = differing
	}
	g.links.Put(to, l.WithDiffering(differing))
	var set uint64
	var records []descriptor.Member
	for bucket := range container.Buckets {
		if lasting&(1<<bucket) == 0 {
			continue
		}
		next := g.bucketRecords(1 << bucket)
		if len(records)+len(next) > maxMessageRecords && set != 0 {
			g.sendBuckets(to, l, records, set)
			set, records = 0, nil
		}
		set |= 1 << bucket
		records = append(records, next...)
	}
	if set != 0 {
		g.sendBuckets(to, l, records, set)
	}
}

// sendBuckets sends all records of a set of buckets.
func (g *Gossiper) sendBuckets(to string, l link, records []descriptor.Member, set uint64) {
	if l.types < descriptor.TypeMemberChanges {
		g.send(to, descriptor.Members{Records: records, Buckets: set})
		return
	}
	g.send(to, descriptor.MemberChanges{List: changesOf(records), Buckets: set})
}
