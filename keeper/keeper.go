package keeper

import (
	"time"

	"monsoonswitch/container"
	"monsoonswitch/descriptor"
)

// Limits of keys, claims and handovers.
const (
	// generationKeys is the number of keys in one generation; two generations are
	// kept.
	generationKeys = 32768
	// claimWait is the time that a request waits for the issuer of its key.
	claimWait = time.Second
	// storeWait is the time that a request waits for a claim in the store.
	storeWait = 2 * time.Second
	// claimLife is how long a claim lasts in the store, at most.
	claimLife = 24 * time.Hour
	// claimRate is the maximum number of claims per second that one instance
	// writes to the store, and fleetClaims that of all instances together.
	claimRate   = 4.0
	fleetClaims = 150.0
	// claimBurst is the maximum number of claims of one instance at once, and fleetBurst
	// that of all instances together, as far as each may write one.
	claimBurst = 16.0
	fleetBurst = 300.0
	// maxTakeovers is the maximum number of issuers whose keys are taken over; the
	// oldest one is dropped.
	maxTakeovers = 64
	// maxSuccessors is the maximum number of instances that left one after the other
	// which are followed to find the one that decides about a key.
	maxSuccessors = 8
)

// state is the state of the work of a key.
type state int

const (
	stateRunning state = iota
	stateRan
	// stateUncertain marks work that may have run.
	stateUncertain
	// stateFree marks a caller-made key that was claimed in the store and whose
	// work did not run, so that this instance may run it again.
	stateFree
)

// record is the state of one key with the instance that holds its grant.
type record struct {
	state state
	// holder is the instance that was granted the key.
	holder string
}

// WithState returns r in state s.
func (r record) WithState(s state) record {
	r.state = s
	return r
}

// parked is a request that waits for the answer to a claim.
type parked struct {
	arrived descriptor.Arrived
	// key is the caller's key if issuer is set, and otherwise that key prefixed with
	// its service; see scopedKey.
	key   string
	until time.Time
	// issuer is the instance that was sent the claim, or empty for the store.
	issuer string
}

// held is the key of a request that was admitted.
type held struct {
	key string
	// issuer is the instance that granted the key, or zero for this one.
	issuer descriptor.Member
	// callerMade is set for a key that was claimed in the store.
	callerMade bool
}

// takeover is an issuer that left and whose keys this instance took over.
type takeover struct {
	from issuer
	// floor is the newest epoch with keys that may have been dropped.
	floor uint64
}

// allEpochs is the floor of an issuer of which any key may have been dropped.
const allEpochs = ^uint64(0)

// Verdict is the decision about a request.
type Verdict int

// Verdicts.
const (
	// Proceed admits the request.
	Proceed Verdict = iota
	// Wait keeps the request until its claim is answered.
	Wait
	// Reject refuses the request with Reason and Outcome.
	Reject
)

// Decision is a verdict. Reason and Outcome are set for Reject.
type Decision struct {
	Verdict Verdict
	Reason  descriptor.Reason
	Outcome descriptor.Outcome
}

// Members finds instances by ID.
type Members interface {
	// Member returns the record of an instance.
	Member(id string) (descriptor.Member, bool)
}

// Keeper holds the idempotency keys of one instance. It is not safe for concurrent
// use.
type Keeper struct {
	self    descriptor.Member
	members Members
	// next returns an unused write ID.
	next func() descriptor.WriteID

	// newestEpoch is the newest epoch of any granted key. closedEpoch is its value
	// at the last change of generation, and floor its value at the change before:
	// keys of epochs up to floor may have been dropped.
	newestEpoch, closedEpoch, floor uint64
	keys                            *container.Generations[string, record]
	takeovers                       []takeover
	// receiving holds what was received so far in each unfinished handover.
	receiving *container.Table[issuer, receipt]
	// closed is set once the keys were handed over.
	closed bool
	// dropped is the number of keys dropped to bound memory.
	dropped uint64

	// waiting holds the requests that wait for the answer to a claim.
	waiting *container.Table[descriptor.RequestID, parked]
	// writes holds the request of each claim written to the store.
	writes *container.Table[descriptor.WriteID, descriptor.RequestID]
	// holds holds the keys of the admitted requests that have not ended.
	holds *container.Table[descriptor.RequestID, held]

	// tokens is the number of claims that may be written now. It grows by rate
	// per second up to burst and was updated at tokensAt.
	tokens      float64
	tokensAt    time.Time
	rate, burst float64

	// doubtUntil is until when a claim that the store accepts does not show that the key is new,
	// because the store was restored from an older copy and lost claims.
	doubtUntil time.Time
}

// New returns a keeper without keys.
func New(self descriptor.Member, members Members, next func() descriptor.WriteID, now time.Time) *Keeper {
	return &Keeper{
		self:      self,
		members:   members,
		next:      next,
		keys:      container.NewGenerations[string, record](generationKeys),
		receiving: container.NewTable[issuer, receipt](),
		waiting:   container.NewTable[descriptor.RequestID, parked](),
		writes:    container.NewTable[descriptor.WriteID, descriptor.RequestID](),
		holds:     container.NewTable[descriptor.RequestID, held](),
		rate:      claimRate,
		burst:     claimBurst,
		tokens:    claimBurst,
		tokensAt:  now,
	}
}

// SetFleetSize sets the number of instances that share the store, which bounds the claims
// of each one.
func (k *Keeper) SetFleetSize(n int) {
	instances := float64(max(1, n))
	k.rate = min(claimRate, fleetClaims/instances)
	k.burst = min(claimBurst, max(1, fleetBurst/instances))
}

// Waiting returns the number of requests that wait for the answer to a claim.
func (k *Keeper) Waiting() int { return k.waiting.Len() }

// Begin decides about a request for non-idempotent work, and returns the claim to
// send or write if the verdict is Wait. Requests without a key are admitted if
// keyless is set.
func (k *Keeper) Begin(e descriptor.Arrived, keyless bool) (Decision, []descriptor.Action) {
	if e.Key == "" {
		if keyless {
			return Decision{Verdict: Proceed}, nil
		}
		return reject(descriptor.KeyMissing, descriptor.NotRun), nil
	}
	ticket, issued, err := ParseKey(e.Key)
	if err != nil {
		return reject(descriptor.KeyInvalid, descriptor.NotRun), nil
	}
	key := scopedKey(e.Service, e.Key)
	if !issued {
		return k.beginCallerMade(e, key)
	}
	if k.grants(ticket) {
		return k.beginLocal(e, ticket, key), nil
	}
	return k.beginRemote(e, ticket, key)
}

// scopedKey prefixes a key with its service, because the same key stands for
// different work in different services.
func scopedKey(service, key string) string { return service + "/" + key }

func reject(reason descriptor.Reason, outcome descriptor.Outcome) Decision {
	return Decision{Verdict: Reject, Reason: reason, Outcome: outcome}
}

// grants reports whether this instance decides about the keys of a ticket.
func (k *Keeper) grants(t Ticket) bool {
	if k.closed {
		return false
	}
	if k.isOwn(t) {
		return true
	}
	_, ok := k.takeover(t)
	return ok
}

// isOwn reports whether a ticket names this process: by the incarnation of its start or,
// if an earlier start had a larger one, by that with which it replaced the earlier record.
func (k *Keeper) isOwn(t Ticket) bool {
	return t.Instance == k.self.ID && (t.Incarnation == k.self.Incarnation || t.Incarnation == k.incarnation())
}

// incarnation returns the incarnation in the member record of this instance.
func (k *Keeper) incarnation() int64 {
	if m, ok := k.members.Member(k.self.ID); ok {
		return m.Incarnation
	}
	return k.self.Incarnation
}

// takeover returns the takeover of the issuer of a ticket, if there is one.
func (k *Keeper) takeover(t Ticket) (takeover, bool) {
	for _, h := range k.takeovers {
		if h.from == t.issuer() {
			return h, true
		}
	}
	return takeover{}, false
}

func (k *Keeper) beginLocal(e descriptor.Arrived, t Ticket, key string) Decision {
	d := k.grant(e.At, t, key, k.self.ID)
	if d.Verdict == Proceed {
		k.holds.Put(e.Request, held{key: key})
	}
	return d
}

// grant decides about a key whose issuer is this instance or one that it took over.
// It grants a key to one holder at a time, and not again once the work ran or may
// have run.
func (k *Keeper) grant(now time.Time, t Ticket, key, holder string) Decision {
	r, ok := k.keys.Get(key)
	if ok {
		return refuseKnown(r)
	}
	if t.Epoch <= k.floorOf(t) {
		return reject(descriptor.KeyUnsettled, descriptor.MayHaveRun)
	}
	if t.Epoch > EpochAt(now)+epochSlack {
		return reject(descriptor.KeyInvalid, descriptor.NotRun)
	}
	k.newestEpoch = max(k.newestEpoch, t.Epoch)
	k.put(key, record{state: stateRunning, holder: holder})
	return Decision{Verdict: Proceed}
}

// floorOf returns the newest epoch of a ticket's issuer with keys that may have
// been dropped.
func (k *Keeper) floorOf(t Ticket) uint64 {
	if !k.isOwn(t) {
		h, _ := k.takeover(t)
		return h.floor
	}
	return k.floor
}

// refuseKnown returns the refusal of a request whose key has a record.
func refuseKnown(r record) Decision {
	switch r.state {
	case stateRan:
		return reject(descriptor.KeyUsed, descriptor.Ran)
	case stateRunning:
		return reject(descriptor.KeyBusy, descriptor.MayHaveRun)
	}
	return reject(descriptor.KeyUnsettled, descriptor.MayHaveRun)
}

// put stores a record. If that drops a generation of keys, the epochs of these keys
// are closed, because a dropped key can't be distinguished from a new one. For issuers
// that were taken over, or whose handover is not finished, all epochs are closed, since
// those of their keys are not known.
func (k *Keeper) put(key string, r record) {
	began, dropped := k.keys.Put(key, r)
	if !began {
		return
	}
	k.floor = k.closedEpoch
	k.closedEpoch = k.newestEpoch
	if dropped == 0 {
		return
	}
	k.dropped += uint64(dropped)
	for i := range k.takeovers {
		k.takeovers[i].floor = allEpochs
	}
	for i := range k.receiving.Len() {
		_, received := k.receiving.At(i)
		k.receiving.SetAt(i, received.WithDropped())
	}
}

// beginRemote sends a claim to the issuer of a key, or to its successor.
func (k *Keeper) beginRemote(e descriptor.Arrived, t Ticket, key string) (Decision, []descriptor.Action) {
	issuer, ok := k.remoteIssuer(t)
	if !ok {
		return reject(descriptor.KeyUnsettled, descriptor.MayHaveRun), nil
	}
	k.waiting.Put(e.Request, parked{arrived: e, key: e.Key, until: e.At.Add(claimWait), issuer: issuer.ID})
	claim := descriptor.Claim{Service: e.Service, Key: e.Key, Request: e.Request}
	return Decision{Verdict: Wait}, []descriptor.Action{descriptor.Send{To: issuer, Message: claim}}
}

// remoteIssuer returns the other instance that decides about the keys of a ticket, and
// whether there is a live one. It is the issuer or, if that left, its successor, and so
// on up to maxSuccessors.
func (k *Keeper) remoteIssuer(t Ticket) (descriptor.Member, bool) {
	m, ok := k.members.Member(t.Instance)
	if !ok || m.Incarnation != t.Incarnation || m.ID == k.self.ID {
		return m, false
	}
	for range maxSuccessors {
		if m.State != descriptor.Left {
			break
		}
		if m, ok = k.members.Member(m.Successor); !ok {
			return m, false
		}
	}
	return m, m.State < descriptor.Dead && m.ID != k.self.ID
}

// End records how an admitted request ended. It returns the message to the issuer
// of its key, if that is another instance.
func (k *Keeper) End(id descriptor.RequestID, outcome descriptor.Outcome) []descriptor.Action {
	h, ok := k.holds.Get(id)
	if !ok {
		return nil
	}
	k.holds.Delete(id)
	if h.issuer.ID != "" {
		settlement := descriptor.KeySettlement{Key: h.key, Outcome: outcome}
		return []descriptor.Action{descriptor.Send{To: h.issuer, Message: settlement}}
	}
	k.settleKey(h.key, outcome, h.callerMade)
	return nil
}

func (k *Keeper) settleKey(key string, outcome descriptor.Outcome, callerMade bool) {
	r, ok := k.keys.Get(key)
	if !ok {
		r = record{holder: k.self.ID}
	}
	switch {
	case outcome == descriptor.Ran:
		k.put(key, r.WithState(stateRan))
	case outcome == descriptor.MayHaveRun:
		k.put(key, r.WithState(stateUncertain))
	case callerMade:
		k.put(key, r.WithState(stateFree))
	default:
		k.keys.Delete(key)
	}
}

// HandleClaim returns the answer to a claim of another instance.
func (k *Keeper) HandleClaim(now time.Time, from descriptor.Member, m descriptor.Claim) []descriptor.Action {
	verdict := descriptor.Verdict{Request: m.Request, Key: scopedKey(m.Service, m.Key)}
	ticket, issued, err := ParseKey(m.Key)
	d := reject(descriptor.KeyUnsettled, descriptor.MayHaveRun)
	if err == nil && issued && k.grants(ticket) {
		d = k.grant(now, ticket, scopedKey(m.Service, m.Key), from.ID)
	}
	verdict.Granted = d.Verdict == Proceed
	verdict.Reason = d.Reason
	verdict.Outcome = d.Outcome
	return []descriptor.Action{descriptor.Send{To: from, Message: verdict}}
}

// HandleSettlement records how a granted run at another instance ended. A message
// from an instance that does not hold the grant is ignored.
func (k *Keeper) HandleSettlement(from string, m descriptor.KeySettlement) {
	r, ok := k.keys.Get(m.Key)
	if ok && r.holder == from {
		k.settleKey(m.Key, m.Outcome, false)
	}
}

// Resolved is a request that no longer waits, with the decision about it.
type Resolved struct {
	Arrived  descriptor.Arrived
	Decision Decision
}

// HandleVerdict handles the answer to a claim and returns the request that no longer
// waits, if any. A grant for a request that is not waiting is returned to the
// issuer.
func (k *Keeper) HandleVerdict(from descriptor.Member, m descriptor.Verdict) (Resolved, bool, []descriptor.Action) {
	p, ok := k.waiting.Get(m.Request)
	// Request IDs restart with each incarnation, so the key is compared too: a
	// verdict for a request of an earlier incarnation must not be applied to
	// this request.
	if !ok || p.issuer != from.ID || m.Key != scopedKey(p.arrived.Service, p.key) {
		return Resolved{}, false, returnGrant(from, m)
	}
	k.waiting.Delete(m.Request)
	if !m.Granted {
		return Resolved{p.arrived, reject(m.Reason, m.Outcome)}, true, nil
	}
	k.holds.Put(m.Request, held{key: m.Key, issuer: from})
	return Resolved{p.arrived, Decision{Verdict: Proceed}}, true, nil
}

// returnGrant returns a grant to its issuer by settling it as not run.
func returnGrant(from descriptor.Member, m descriptor.Verdict) []descriptor.Action {
	if !m.Granted {
		return nil
	}
	settlement := descriptor.KeySettlement{Key: m.Key, Outcome: descriptor.NotRun}
	return []descriptor.Action{descriptor.Send{To: from, Message: settlement}}
}

// CancelWait removes a waiting request whose caller disconnected and returns it.
func (k *Keeper) CancelWait(id descriptor.RequestID) (descriptor.Arrived, bool) {
	p, ok := k.waiting.Get(id)
	k.waiting.Delete(id)
	return p.arrived, ok
}
