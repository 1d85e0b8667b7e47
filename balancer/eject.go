package balancer

import (
	"sort"
	"time"

	"monsoonswitch/container"
	"monsoonswitch/descriptor"
)

// Times of ejections.
const (
	// holdFirst and holdLast bound the hold-off, which doubles with each
	// ejection in a row.
	holdFirst = 10 * time.Second
	holdLast  = 5 * time.Minute
	// strikeTime is how long after its end an ejection counts as in a row.
	strikeTime = 2 * time.Minute
	// avoidFirst and avoidLast bound how long one instance alone prefers other
	// backend servers.
	avoidFirst = 2 * time.Second
	avoidLast  = time.Minute
	// proposalWait is the wait after a proposal that did not reach the store.
	proposalWait = time.Second
	// evidenceTime is how long the evidence of a silent instance holds.
	evidenceTime = 10 * time.Second
	// aloneFactor is how many times more evidence an instance needs that alone
	// has work at a backend server.
	aloneFactor = 1.5
	// urgentShare is the part of the limit from which evidence is told at once.
	urgentShare = 0.2
	// restShare is the part of the limit that the evidence of all instances but
	// the strongest accuser must reach.
	restShare = 0.6
)

// proposal is a write of the set of ejections on its way to the store.
type proposal struct {
	// id is 0 when there is none.
	id       descriptor.WriteID
	document descriptor.Document
	// retryAt is when the next one may be made.
	retryAt time.Time
}

// peerEvidence is what another serving instance reported.
type peerEvidence struct {
	at     time.Time
	scores *container.Table[string, descriptor.Score]
}

// HearEvidence takes in the evidence of another serving instance.
func (b *Balancer[E, D, P, L]) HearEvidence(now time.Time, from string, m descriptor.Evidence) {
	b.advance(now)
	table := container.NewTable[string, descriptor.Score]()
	for _, s := range m.Scores {
		table.Put(s.Backend, s)
	}
	b.peers[from] = peerEvidence{at: b.now, scores: table}
}

// forgetEvidence drops what other instances reported of a backend server.
func (b *Balancer[E, D, P, L]) forgetEvidence(id string) {
	for _, p := range b.peers {
		p.scores.Delete(id)
	}
}

func (b *Balancer[E, D, P, L]) forgetPeers() {
	keep := make(map[string]bool, len(b.serving))
	for _, m := range b.serving {
		keep[m.ID] = true
	}
	for id := range b.peers {
		if !keep[id] {
			delete(b.peers, id)
		}
	}
}

// verdict is the evidence about one backend server over all instances.
type verdict struct {
	position int
	// own and total are relative to the median of the peers.
	own, total float64
	// rest is the evidence without that of the strongest accuser.
	rest float64
	// alone tells that every other instance reported that it had no work there.
	alone bool
}

// judge weighs the evidence and decides which backend servers to avoid here and
// which to propose for ejection.
func (b *Balancer[E, D, P, L]) judge() {
	b.applyEjections()
	verdicts := b.verdicts()
	for _, v := range verdicts {
		b.updateAvoidance(v)
	}
	if b.position < 0 || b.proposal.id != 0 || b.now.Before(b.proposal.retryAt) {
		return
	}
	b.propose(b.convicted(verdicts))
}

func (b *Balancer[E, D, P, L]) verdicts() []verdict {
	n := b.backends.Len()
	result := make([]verdict, 0, n)
	own := make([]float64, 0, n)
	total := make([]float64, 0, n)
	for i := range n {
		v := b.weigh(i)
		result = append(result, v)
		if _, s := b.backends.At(i); s.healthy() {
			own = append(own, v.own)
			total = append(total, v.total)
		}
	}
	ownMedian, totalMedian := median(own), median(total)
	for i := range result {
		result[i].own -= ownMedian
		result[i].total -= totalMedian
		_, s := b.backends.At(i)
		s.fleet = result[i].total
		b.backends.SetAt(i, s)
	}
	return result
}

func (b *Balancer[E, D, P, L]) weigh(i int) verdict {
	id, s := b.backends.At(i)
	v := verdict{position: i, own: b.detector.Score(s.evidence) + s.open, alone: true}
	v.total = v.own
	strongest := v.own
	for _, m := range b.serving {
		if m.ID == b.options.Self {
			continue
		}
		p, ok := b.peers[m.ID]
		if !ok || b.now.Sub(p.at) > evidenceTime {
			v.alone = false
			continue
		}
		score, _ := p.scores.Get(id)
		v.total += score.Value
		strongest = max(strongest, score.Value)
		v.alone = v.alone && score.Recent == 0
	}
	v.rest = v.total - strongest
	return v
}

// median returns the lower median of values, which it reorders.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sort.Float64s(values)
	return values[(len(values)-1)/2]
}

// updateAvoidance prefers other backend servers as soon as this instance alone
// has enough evidence, and tries again after a growing wait.
func (b *Balancer[E, D, P, L]) updateAvoidance(v verdict) {
	if b.options.Guests {
		// The pooled outcomes say whom to avoid, and for how long.
		return
	}
	id, s := b.backends.At(v.position)
	if s.mode == modeTrial {
		b.finishTrial(v)
		return
	}
	if s.avoided && b.now.After(s.avoidUntil) {
		s.avoided = false
		s.evidence = b.detector.Restart(s.evidence)
		b.backends.SetAt(v.position, s)
		return
	}
	if s.avoided || s.mode != modeReady || v.own < b.detector.Caution() {
		return
	}
	if b.now.Sub(s.avoidUntil) > avoidLast {
		s.avoidance = 0
	}
	s.avoided = true
	s.avoidUntil = b.now.Add(min(avoidLast, avoidFirst<<min(s.avoidance, 8)))
	s.avoidance++
	b.backends.SetAt(v.position, s)
	b.note(descriptor.NoteAvoided, id, "others are preferred here")
}

// finishTrial ends the trial of a backend server that did well.
func (b *Balancer[E, D, P, L]) finishTrial(v verdict) {
	id, s := b.backends.At(v.position)
	if s.good < trialGoal {
		return
	}
	var fresh E
	b.backends.SetAt(v.position, s.WithReturn(b.now, fresh))
	b.note(descriptor.NoteReturned, id, "trial passed")
}

// convicted returns the positions of backend servers to eject, worst first. A
// fault that only one of several instances sees is a fault of its path, unless
// no other one has work there.
func (b *Balancer[E, D, P, L]) convicted(verdicts []verdict) []verdict {
	var result []verdict
	for _, v := range verdicts {
		_, s := b.backends.At(v.position)
		limit := b.detector.Limit()
		if s.mode == modeTrial {
			limit = b.detector.Caution()
		}
		together := v.total >= limit && v.rest >= restShare*limit
		alone := v.alone && v.own >= aloneLimit(limit, len(b.serving))
		if s.healthy() && (together || alone) {
			result = append(result, v)
		}
	}
	sort.SliceStable(result, func(i, j int) bool { return result[i].total > result[j].total })
	return result
}

// aloneLimit returns the evidence with which one instance convicts by itself.
func aloneLimit(limit float64, instances int) float64 {
	if instances == 1 {
		return limit
	}
	return aloneFactor * limit
}

// propose writes a larger set of ejections to the store if the floor allows.
func (b *Balancer[E, D, P, L]) propose(verdicts []verdict) {
	b.refusal = ""
	if len(verdicts) == 0 {
		return
	}
	kept := b.keptEjections()
	room := b.allowance() - b.holding(kept)
	added := false
	for _, v := range verdicts {
		id, _ := b.backends.At(v.position)
		if b.holds(kept, id) {
			continue
		}
		if room <= 0 {
			b.refusal = "floor"
			continue
		}
		kept = b.withEjection(kept, id)
		room--
		added = true
	}
	if added {
		b.write(kept)
	}
}

func (b *Balancer[E, D, P, L]) write(list []descriptor.Ejection) {
	document := descriptor.Document{
		Kind:      descriptor.KindEjections,
		Name:      b.service.Name,
		At:        b.now,
		Ejections: list,
	}
	b.proposal = proposal{id: b.options.NextWrite(), document: document}
	b.emit(descriptor.Write{Write: b.proposal.id, Document: document, Expect: b.ejections.Revision})
}

// allowance returns how many backend servers may be ejected now. Backend servers
// that are down or leaving are no capacity and are not counted.
func (b *Balancer[E, D, P, L]) allowance() int {
	live, unable := 0, 0
	for _, s := range b.backends.All {
		if s.listed.Leaving || s.mode == modeLeaving {
			continue
		}
		live++
		if s.mode == modeDown {
			unable++
		}
	}
	return live - unable - b.service.Keep(live)
}

// keptEjections returns the entries of the set that are still of use.
func (b *Balancer[E, D, P, L]) keptEjections() []descriptor.Ejection {
	var kept []descriptor.Ejection
	for _, e := range b.ejections.Ejections {
		if b.now.Sub(e.Until) < strikeTime && b.backends.Has(e.Backend) {
			kept = append(kept, e)
		}
	}
	return kept
}

// holding counts the entries whose hold-off has not ended.
func (b *Balancer[E, D, P, L]) holding(list []descriptor.Ejection) int {
	n := 0
	for _, e := range list {
		if b.now.Before(e.Until) {
			n++
		}
	}
	return n
}

func (b *Balancer[E, D, P, L]) holds(list []descriptor.Ejection, id string) bool {
	for _, e := range list {
		if e.Backend == id && b.now.Before(e.Until) {
			return true
		}
	}
	return false
}

// withEjection returns list with a new hold-off for a backend server.
func (b *Balancer[E, D, P, L]) withEjection(list []descriptor.Ejection, id string) []descriptor.Ejection {
	strikes := 1
	result := make([]descriptor.Ejection, 0, len(list)+1)
	for _, e := range list {
		if e.Backend == id {
			strikes = e.Strikes + 1
			continue
		}
		result = append(result, e)
	}
	hold := min(holdLast, holdFirst<<min(strikes-1, 10))
	return append(result, descriptor.Ejection{
		Backend: id,
		By:      b.options.Self,
		Since:   b.now,
		Until:   b.now.Add(hold),
		Strikes: strikes,
	})
}

// Proposed tells whether a write is the proposal under way.
func (b *Balancer[E, D, P, L]) Proposed(id descriptor.WriteID) bool {
	return id != 0 && id == b.proposal.id
}

// Written takes in the end of the proposal under way and returns the set that
// the store now holds, if that is known. A conflict brings the set that another
// instance wrote; the next tick judges again.
func (b *Balancer[E, D, P, L]) Written(e descriptor.Written) (descriptor.Document, bool) {
	b.advance(e.At)
	document := b.proposal.document
	b.proposal = proposal{}
	switch e.Result {
	case descriptor.WriteAccepted:
		document.Revision = e.Revision
		return document, true
	case descriptor.WriteConflict:
		return e.Current, e.Current.Revision > 0
	case descriptor.WriteUnavailable, descriptor.WriteUnknown:
		b.proposal.retryAt = e.At.Add(proposalWait)
		b.refusal = "store " + e.Result.String()
	}
	return descriptor.Document{}, false
}

// Eject puts a set of ejections in force unless a newer one is. It reports
// whether the set was new.
func (b *Balancer[E, D, P, L]) Eject(now time.Time, d descriptor.Document) bool {
	b.advance(now)
	if d.Revision <= b.ejections.Revision {
		return false
	}
	b.ejections = d
	b.applyEjections()
	b.refresh()
	return true
}

// applyEjections gives each backend server the mode that the set and the floor
// ask for. When capacity was lost since, the newest ejections give way.
func (b *Balancer[E, D, P, L]) applyEjections() {
	room := b.allowance()
	for _, e := range b.ejections.Ejections {
		p := b.backends.Position(e.Backend)
		if p < 0 {
			continue
		}
		holding := b.now.Before(e.Until) && room > 0
		if holding {
			room--
		}
		_, s := b.backends.At(p)
		b.backends.SetAt(p, b.withHold(s, e, holding))
	}
}

func (b *Balancer[E, D, P, L]) withHold(s backend[E], e descriptor.Ejection, holding bool) backend[E] {
	switch {
	case holding && s.healthy():
		b.note(descriptor.NoteEjected, s.listed.ID, "by "+e.By+" strike "+count(e.Strikes))
		b.forgetEvidence(s.listed.ID)
		return s.WithEjection()
	case !holding && s.mode == modeEjected:
		b.note(descriptor.NoteTrial, s.listed.ID, "hold-off ended")
		return s.WithTrial(b.now)
	}
	return s
}
