package balancer

import (
	"sort"
	"time"

	"monsoonswitch/container"
	"monsoonswitch/descriptor"
)

// Parameters of ejections.
const (
	// minHoldOff and maxHoldOff bound the hold-off, which doubles with each ejection
	// in a row.
	minHoldOff = 10 * time.Second
	maxHoldOff = 5 * time.Minute
	// strikeTime is how long after its end an ejection still counts as a strike, which
	// lengthens the next hold-off.
	strikeTime = 2 * time.Minute
	// minAvoidTime and maxAvoidTime bound how long an instance prefers other backend
	// servers on its own evidence.
	minAvoidTime = 2 * time.Second
	maxAvoidTime = time.Minute
	// proposalWait is the wait after a proposal for which the store was unavailable or
	// the result of the write is unknown.
	proposalWait = time.Second
	// evidenceLifetime is how long the last evidence of another instance is used.
	evidenceLifetime = 10 * time.Second
	// onlyUserFactor multiplies the evidence needed by an instance that is the only
	// one with work at a backend server.
	onlyUserFactor = 1.5
	// urgentScoreRatio is the part of the detector's limit from which evidence is sent
	// every evidenceInterval instead of every fullEvidenceInterval.
	urgentScoreRatio = 0.2
	// corroborationRatio is the part of the limit that the evidence must reach
	// without the instance that reports the highest score.
	corroborationRatio = 0.6
)

// proposal is a pending write of the set of ejections to the store.
type proposal struct {
	// id is 0 if no write is pending.
	id       descriptor.WriteID
	document descriptor.Document
	// retryAt is the earliest time of the next proposal.
	retryAt time.Time
}

// peerEvidence is the evidence last reported by another owner.
type peerEvidence struct {
	at     time.Time
	scores *container.Table[string, descriptor.Score]
}

// HandleEvidence stores the evidence reported by another owner.
func (b *Balancer[E, D, P, L]) HandleEvidence(now time.Time, from string, m descriptor.Evidence) {
	b.advance(now)
	table := container.NewTable[string, descriptor.Score]()
	for _, s := range m.Scores {
		table.Put(s.Backend, s)
	}
	b.peers[from] = peerEvidence{at: b.now, scores: table}
}

// forgetEvidence deletes the reports of other instances about a backend server.
func (b *Balancer[E, D, P, L]) forgetEvidence(id string) {
	for _, p := range b.peers {
		p.scores.Delete(id)
	}
}

// deleteFormerOwners deletes the evidence of instances that are no longer owners.
func (b *Balancer[E, D, P, L]) deleteFormerOwners() {
	keep := make(map[string]bool, len(b.owners))
	for _, m := range b.owners {
		keep[m.ID] = true
	}
	for id := range b.peers {
		if !keep[id] {
			delete(b.peers, id)
		}
	}
}

// assessment is the evidence of all owners about one backend server.
type assessment struct {
	position int
	// own and total are relative to the median over the healthy backend servers.
	own, total float64
	// corroboration is the sum of the scores of all owners except the highest. Unlike
	// total, it is not relative to the median.
	corroboration float64
	// onlyUser is set if all other owners reported that they had no work there.
	onlyUser bool
}

// evaluate weighs the evidence and decides which backend servers this instance avoids
// and which it proposes for ejection.
func (b *Balancer[E, D, P, L]) evaluate() {
	b.applyEjections()
	list := b.assessments()
	for _, v := range list {
		b.updateAvoidance(v)
	}
	if b.position < 0 || b.proposal.id != 0 || b.now.Before(b.proposal.retryAt) {
		return
	}
	b.propose(b.ejectable(list))
	if b.rewriteEjections && b.proposal.id == 0 {
		b.write(b.keptEjections())
	}
}

// StoreRestored has the set of ejections written again, since the store may have lost it.
func (b *Balancer[E, D, P, L]) StoreRestored() {
	b.rewriteEjections = len(b.ejections.Ejections) > 0
}

func (b *Balancer[E, D, P, L]) assessments() []assessment {
	n := b.backends.Len()
	result := make([]assessment, 0, n)
	own := make([]float64, 0, n)
	total := make([]float64, 0, n)
	for i := range n {
		v := b.assess(i)
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
		s.fleetScore = result[i].total
		b.backends.SetAt(i, s)
	}
	return result
}

func (b *Balancer[E, D, P, L]) assess(i int) assessment {
	id, s := b.backends.At(i)
	v := assessment{position: i, own: b.detector.Score(s.evidence) + s.overdueScore, onlyUser: true}
	v.total = v.own
	strongest := v.own
	for _, m := range b.owners {
		if m.ID == b.options.Self {
			continue
		}
		p, ok := b.peers[m.ID]
		if !ok || b.now.Sub(p.at) > evidenceLifetime {
			v.onlyUser = false
			continue
		}
		score, _ := p.scores.Get(id)
		v.total += score.Value
		strongest = max(strongest, score.Value)
		v.onlyUser = v.onlyUser && score.Recent == 0
	}
	v.corroboration = v.total - strongest
	return v
}

// median returns the lower median of values. It sorts values in place.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sort.Float64s(values)
	return values[(len(values)-1)/2]
}

// updateAvoidance ends a trial with enough answers, and avoids a backend server once
// the evidence of this instance reaches the detector's AvoidLimit. The time for which
// it is avoided doubles each time in a row, up to maxAvoidTime.
func (b *Balancer[E, D, P, L]) updateAvoidance(v assessment) {
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
	if s.avoided || s.mode != modeReady || v.own < b.detector.AvoidLimit() {
		return
	}
	if b.now.Sub(s.avoidUntil) > maxAvoidTime {
		s.avoidCount = 0
	}
	s.avoided = true
	s.avoidUntil = b.now.Add(min(maxAvoidTime, minAvoidTime<<min(s.avoidCount, 8)))
	s.avoidCount++
	b.backends.SetAt(v.position, s)
	b.note(descriptor.NoteAvoided, id, "this instance prefers other backend servers")
}

// finishTrial ends the trial of a backend server that gave enough answers.
func (b *Balancer[E, D, P, L]) finishTrial(v assessment) {
	id, s := b.backends.At(v.position)
	if s.trialAnswers < trialAnswersNeeded {
		return
	}
	var noEvidence E
	b.backends.SetAt(v.position, s.WithReturn(b.now, noEvidence))
	b.note(descriptor.NoteReinstated, id, "trial passed")
}

// ejectable returns the assessments of the backend servers to eject, worst first. A
// fault seen by only one of several instances is attributed to its network path,
// unless no other instance has work there.
func (b *Balancer[E, D, P, L]) ejectable(list []assessment) []assessment {
	var result []assessment
	for _, v := range list {
		_, s := b.backends.At(v.position)
		limit := b.detector.Limit()
		if s.mode == modeTrial {
			limit = b.detector.AvoidLimit()
		}
		corroborated := v.total >= limit && v.corroboration >= corroborationRatio*limit
		enoughAlone := v.onlyUser && v.own >= onlyUserLimit(limit, len(b.owners))
		if s.healthy() && (corroborated || enoughAlone) {
			result = append(result, v)
		}
	}
	sort.SliceStable(result, func(i, j int) bool { return result[i].total > result[j].total })
	return result
}

// onlyUserLimit returns the evidence that an instance needs to eject a backend server
// on its own.
func onlyUserLimit(limit float64, instances int) float64 {
	if instances == 1 {
		return limit
	}
	return onlyUserFactor * limit
}

// propose writes a larger set of ejections to the store if the floor allows it.
func (b *Balancer[E, D, P, L]) propose(list []assessment) {
	b.refusal = ""
	if len(list) == 0 {
		return
	}
	kept := b.keptEjections()
	allowed := b.ejectionAllowance() - b.countActive(kept)
	added := false
	for _, v := range list {
		id, _ := b.backends.At(v.position)
		if b.hasActive(kept, id) {
			continue
		}
		if allowed <= 0 {
			b.refusal = "floor"
			continue
		}
		kept = b.withEjection(kept, id)
		allowed--
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
	b.emit(descriptor.Write{Write: b.proposal.id, Document: document, Expect: b.storedEjections})
}

// ejectionAllowance returns how many backend servers may be ejected at the same time.
// Those that are down or leaving do not count as capacity.
func (b *Balancer[E, D, P, L]) ejectionAllowance() int {
	live, down := 0, 0
	for _, s := range b.backends.All {
		if s.listed.Leaving || s.mode == modeLeaving {
			continue
		}
		live++
		if s.mode == modeDown {
			down++
		}
	}
	return live - down - b.service.MinRemaining(live)
}

// keptEjections returns the entries of known backend servers whose hold-off has not
// ended or ended less than strikeTime ago. The latter still count as strikes.
func (b *Balancer[E, D, P, L]) keptEjections() []descriptor.Ejection {
	var kept []descriptor.Ejection
	for _, e := range b.ejections.Ejections {
		if b.now.Sub(e.Until) < strikeTime && b.backends.Has(e.Backend) {
			kept = append(kept, e)
		}
	}
	return kept
}

// countActive counts the entries whose hold-off has not ended.
func (b *Balancer[E, D, P, L]) countActive(list []descriptor.Ejection) int {
	n := 0
	for _, e := range list {
		if b.now.Before(e.Until) {
			n++
		}
	}
	return n
}

func (b *Balancer[E, D, P, L]) hasActive(list []descriptor.Ejection, id string) bool {
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
	holdOff := min(maxHoldOff, minHoldOff<<min(strikes-1, 10))
	return append(result, descriptor.Ejection{
		Backend: id,
		By:      b.options.Self,
		Since:   b.now,
		Until:   b.now.Add(holdOff),
		Strikes: strikes,
	})
}

// Proposed reports whether a write is the pending proposal.
func (b *Balancer[E, D, P, L]) Proposed(id descriptor.WriteID) bool {
	return id != 0 && id == b.proposal.id
}

// Written handles the result of the pending proposal. It returns the set now in the
// store and whether it is known. After a conflict this is the set written by another
// instance, and the next tick evaluates again.
func (b *Balancer[E, D, P, L]) Written(e descriptor.Written) (descriptor.Document, bool) {
	b.advance(e.At)
	document := b.proposal.document
	b.proposal = proposal{}
	switch e.Result {
	case descriptor.WriteAccepted:
		document.Revision = e.Revision
		b.storedEjections, b.rewriteEjections = e.Revision, false
		return document, true
	case descriptor.WriteConflict:
		b.storedEjections = max(e.Revision, e.Current.Revision)
		b.rewriteEjections = b.storedEjections < b.ejections.Revision
		return e.Current, e.Current.Revision > 0
	case descriptor.WriteUnavailable, descriptor.WriteUnknown:
		b.proposal.retryAt = e.At.Add(proposalWait)
		b.refusal = "store " + e.Result.String()
	}
	return descriptor.Document{}, false
}

// SetEjections applies a set of ejections unless a newer one is in force. It reports
// whether the set was new.
func (b *Balancer[E, D, P, L]) SetEjections(now time.Time, d descriptor.Document) bool {
	b.advance(now)
	if d.Revision <= b.ejections.Revision {
		return false
	}
	b.ejections = d
	b.storedEjections, b.rewriteEjections = d.Revision, false
	b.applyEjections()
	b.refresh()
	return true
}

// applyEjections sets the mode of each backend server from the set of ejections and
// the floor. If capacity was lost since, the newest ejections are not enforced.
func (b *Balancer[E, D, P, L]) applyEjections() {
	allowed := b.ejectionAllowance()
	for _, e := range b.ejections.Ejections {
		p := b.backends.Position(e.Backend)
		if p < 0 {
			continue
		}
		active := b.now.Before(e.Until) && allowed > 0
		if active {
			allowed--
		}
		_, s := b.backends.At(p)
		b.backends.SetAt(p, b.withEjectionState(s, e, active))
	}
}

func (b *Balancer[E, D, P, L]) withEjectionState(s backend[E], e descriptor.Ejection, active bool) backend[E] {
	switch {
	case active && s.healthy():
		b.note(descriptor.NoteEjected, s.listed.ID, "by "+e.By+" strike "+itoa(e.Strikes))
		b.forgetEvidence(s.listed.ID)
		return s.WithEjection()
	case !active && s.mode == modeEjected:
		b.note(descriptor.NoteTrial, s.listed.ID, "hold-off ended")
		return s.WithTrial(b.now)
	}
	return s
}
