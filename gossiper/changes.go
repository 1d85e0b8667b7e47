package gossiper

import (
	"time"

	"monsoonswitch/descriptor"
)

// wantedTimeout is the time after which the complete record of an unknown member is requested
// from another instance that named it.
const wantedTimeout = 300 * time.Millisecond

// wantedRecord is an open request for the record of a member that is not known.
type wantedRecord struct {
	at time.Time
	// others lists the instances that named the member and were not asked.
	others []string
}

// sendChanges sends the changed records of members to an instance: what changed, or the
// complete records to one of an earlier build.
func (g *Gossiper) sendChanges(to string, records []descriptor.Member) {
	l, _ := g.links.Get(to)
	if l.types < descriptor.TypeMemberChanges {
		g.sendRecords(to, records)
		return
	}
	for len(records) > 0 {
		n := min(len(records), maxMessageRecords)
		g.send(to, descriptor.MemberChanges{List: changesOf(records[:n])})
		records = records[n:]
	}
}

func changesOf(records []descriptor.Member) []descriptor.MemberChange {
	list := make([]descriptor.MemberChange, 0, len(records))
	for _, m := range records {
		list = append(list, m.Change())
	}
	return list
}

// mergeRecords merges records from an instance. If they are complete for some buckets, the
// answer carries the records of these buckets that the sender lacks or holds in older versions.
func (g *Gossiper) mergeRecords(now time.Time, from string, records []descriptor.Member, buckets uint64) {
	g.source = from
	defer func() { g.source = "" }()
	seen := make(map[string]descriptor.Member, len(records))
	for _, r := range records {
		seen[r.ID] = r
		g.merge(r, now)
	}
	if buckets == 0 {
		return
	}
	var missing, outdated []descriptor.Member
	for _, r := range g.bucketRecords(buckets) {
		other, ok := seen[r.ID]
		switch {
		case ok && r.Newer(other):
			outdated = append(outdated, r)
		case !ok && r.State < descriptor.Dead:
			// A record of a dead member that the sender does not know says nothing to it.
			missing = append(missing, r)
		}
	}
	g.sendRecords(from, missing)
	g.sendChanges(from, outdated)
}

// HandleChanges merges changes of members and answers the requests that come with them.
func (g *Gossiper) HandleChanges(now time.Time, from string, m descriptor.MemberChanges) {
	if l, ok := g.links.Get(from); ok {
		g.links.Put(from, l.WithTypes(descriptor.TypeMemberChanges))
	}
	records := make([]descriptor.Member, 0, len(m.List))
	var unknown []uint64
	for _, c := range m.List {
		id, ok := g.marked.Get(c.Mark)
		e, held := g.members.Get(id)
		switch {
		case ok && held:
			records = append(records, e.member.WithChange(c))
		case g.introduction.open():
			g.introduction.keep(from, c)
		case c.State < descriptor.Dead && g.want(now, from, c.Mark):
			unknown = append(unknown, c.Mark)
		}
	}
	g.mergeRecords(now, from, records, m.Buckets)
	if len(unknown) > 0 {
		g.send(from, descriptor.MemberChanges{Wanted: unknown})
	}
	g.answerWanted(from, m.Wanted)
	g.answerIntroduction(now, from, m)
	if len(m.Near) > 0 {
		g.introduceNear(now, from, m.Near)
	}
}

// want records that an instance named a member that is not known. It reports whether to
// request the record from it now: not if it was requested from another one.
func (g *Gossiper) want(now time.Time, from string, mark uint64) bool {
	w, open := g.wanted.Get(mark)
	if !open {
		g.wanted.Put(mark, wantedRecord{at: now})
		return true
	}
	if !contains(w.others, from) {
		w.others = append(w.others, from)
		g.wanted.Put(mark, w)
	}
	return false
}

// answerWanted sends the complete records of the members with some marks.
func (g *Gossiper) answerWanted(to string, marks []uint64) {
	var records []descriptor.Member
	for _, mark := range marks {
		id, _ := g.marked.Get(mark)
		if e, ok := g.members.Get(id); ok {
			records = append(records, e.member)
		}
	}
	g.sendRecords(to, records)
}

// retryRequests repeats the requests that were not answered in time.
func (g *Gossiper) retryRequests(now time.Time) {
	g.retryIntroduction(now)
	requests := make(map[string][]uint64)
	var order []string
	var failed []uint64
	for i := range g.wanted.Len() {
		mark, w := g.wanted.At(i)
		if now.Sub(w.at) < wantedTimeout {
			continue
		}
		if len(w.others) == 0 {
			failed = append(failed, mark)
			continue
		}
		to := w.others[0]
		if requests[to] == nil {
			order = append(order, to)
		}
		requests[to] = append(requests[to], mark)
		g.wanted.SetAt(i, wantedRecord{at: now, others: w.others[1:]})
	}
	for _, mark := range failed {
		// Digests repair it.
		g.wanted.Delete(mark)
	}
	for _, to := range order {
		g.send(to, descriptor.MemberChanges{Wanted: requests[to]})
	}
}

// noteSource records that the instance whose records are being merged holds the record that
// this one is about to send, so that it is not sent back.
func (g *Gossiper) noteSource(m, held descriptor.Member) {
	if !sameVersion(m, held) || m.State != held.State || len(m.Accusers) != len(held.Accusers) {
		return
	}
	if sources, ok := g.pending.Get(m.ID); ok && g.source != "" && !contains(sources, g.source) {
		g.pending.Put(m.ID, append(sources, g.source))
	}
}
