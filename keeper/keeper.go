package keeper

import (
	"time"

	"monsoonswitch/container"
	"monsoonswitch/descriptor"
)

// Parameters of the keys.
const (
	// generationKeys is the number of keys of one generation; two are held.
	generationKeys = 32768
	// claimWait is how long a request waits for the issuer of its key.
	claimWait = time.Second
	// storeWait is how long a request waits for a claim in the store.
	storeWait = 2 * time.Second
	// claimRate bounds the claims that one instance writes to the store, and
	// fleetClaims those of all instances together, per second.
	claimRate   = 4.0
	fleetClaims = 150.0
	// claimBurst bounds the claims of one instance at once.
	claimBurst = 16.0
	// maxHeritages bounds the issuers whose keys were taken over.
	maxHeritages = 64
)

// state tells what is known of a key.
type state int

const (
	stateRunning state = iota
	stateRan
	stateUncertain
	// stateFree marks a bare key claimed in the store whose work did not run.
	stateFree
)

// record is what is known of one key.
type record struct {
	state state
	// holder is the instance that runs it.
	holder string
}

// WithState returns r in state s.
func (r record) WithState(s state) record {
	r.state = s
	return r
}

// parked is a request that waits for a claim.
type parked struct {
	arrived descriptor.Arrived
	key     string
	until   time.Time
	// issuer is the instance asked, or empty for the store.
	issuer string
}

// held is the key of a request that was let through.
type held struct {
	key string
	// issuer is the instance to settle with, or empty for this one.
	issuer descriptor.Member
	bare   bool
}

// heritage is what remains of an issuer that left.
type heritage struct {
	from issuer
	// floor is the newest epoch whose keys may have been forgotten.
	floor uint64
}

// Verdict is the decision about a request.
type Verdict int

// Verdicts.
const (
	// Proceed lets the request run.
	Proceed Verdict = iota
	// Wait parks the request.
	Wait
	// Reject refuses the request with Reason and Outcome.
	Reject
)

// Decision is a verdict with the reason of a refusal.
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

// Keeper holds the keys of one instance. It belongs to one goroutine.
type Keeper struct {
	self    descriptor.Member
	members Members
	// next returns an unused write ID.
	next func() descriptor.WriteID

	// newestEpoch is the newest epoch of a key so far, closedEpoch what it was
	// at the last change of generation, and floor at the change before: keys
	// of epochs up to floor may have been forgotten.
	newestEpoch, closedEpoch, floor uint64
	keys                            *container.Generations[string, record]
	heritages                       []heritage
	// receiving counts the keys received so far from each issuer that leaves.
	receiving *container.Table[issuer, int]
	closed    bool
	forgotten uint64

	waiting *container.Table[descriptor.RequestID, parked]
	writes  *container.Table[descriptor.WriteID, descriptor.RequestID]
	holds   *container.Table[descriptor.RequestID, held]

	// tokens is the number of claims that may be written now; it grows by
	// rate a second.
	tokens   float64
	tokensAt time.Time
	rate     float64
}

// New returns a keeper without keys.
func New(self descriptor.Member, members Members, next func() descriptor.WriteID, now time.Time) *Keeper {
	return &Keeper{
		self:      self,
		members:   members,
		next:      next,
		keys:      container.NewGenerations[string, record](generationKeys),
		receiving: container.NewTable[issuer, int](),
		waiting:   container.NewTable[descriptor.RequestID, parked](),
		writes:    container.NewTable[descriptor.WriteID, descriptor.RequestID](),
		holds:     container.NewTable[descriptor.RequestID, held](),
		rate:      claimRate,
		tokens:    claimBurst,
		tokensAt:  now,
	}
}

// SetFleet sets the number of instances that share the store.
func (k *Keeper) SetFleet(n int) { k.rate = min(claimRate, fleetClaims/float64(max(1, n))) }

// Waiting returns the number of parked requests.
func (k *Keeper) Waiting() int { return k.waiting.Len() }

// Begin decides about a request for non-idempotent work.
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
	key := scoped(e.Service, e.Key)
	if !issued {
		return k.beginBare(e, key)
	}
	if k.grants(ticket) {
		return k.beginOwn(e, ticket, key), nil
	}
	return k.beginForeign(e, ticket, key)
}

// scoped joins a key with its service: the same key means different work in
// different services.
func scoped(service, key string) string { return service + "/" + key }

func reject(reason descriptor.Reason, outcome descriptor.Outcome) Decision {
	return Decision{Verdict: Reject, Reason: reason, Outcome: outcome}
}

// grants tells whether this instance decides about keys of a ticket.
func (k *Keeper) grants(t Ticket) bool {
	if k.closed {
		return false
	}
	if t.Instance == k.self.ID && t.Incarnation == k.self.Incarnation {
		return true
	}
	_, ok := k.heritage(t)
	return ok
}

func (k *Keeper) heritage(t Ticket) (heritage, bool) {
	for _, h := range k.heritages {
		if h.from == t.issuer() {
			return h, true
		}
	}
	return heritage{}, false
}

func (k *Keeper) beginOwn(e descriptor.Arrived, t Ticket, key string) Decision {
	d := k.grant(e.At, t, key, k.self.ID)
	if d.Verdict == Proceed {
		k.holds.Put(e.Request, held{key: key})
	}
	return d
}

// grant gives holder the right to run a key, once.
func (k *Keeper) grant(now time.Time, t Ticket, key, holder string) Decision {
	r, ok := k.keys.Get(key)
	if ok {
		return known(r)
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

// floorOf returns the newest epoch of the issuer whose keys may be forgotten.
func (k *Keeper) floorOf(t Ticket) uint64 {
	if t.issuer() != (issuer{k.self.ID, k.self.Incarnation}) {
		h, _ := k.heritage(t)
		return h.floor
	}
	return k.floor
}

func known(r record) Decision {
	switch r.state {
	case stateRan:
		return reject(descriptor.KeyUsed, descriptor.Ran)
	case stateRunning:
		return reject(descriptor.KeyBusy, descriptor.MayHaveRun)
	}
	return reject(descriptor.KeyUnsettled, descriptor.MayHaveRun)
}

// put stores a record. Keys of a dropped generation are unknown from then on,
// so their epochs are closed.
func (k *Keeper) put(key string, r record) {
	if !k.keys.Put(key, r) {
		return
	}
	k.floor = k.closedEpoch
	for i := range k.heritages {
		k.heritages[i].floor = ^uint64(0)
	}
	k.closedEpoch = k.newestEpoch
	k.forgotten += generationKeys
}

// beginForeign asks the issuer of a key, or its heir.
func (k *Keeper) beginForeign(e descriptor.Arrived, t Ticket, key string) (Decision, []descriptor.Action) {
	issuer, ok := k.decider(t)
	if !ok {
		return reject(descriptor.KeyUnsettled, descriptor.MayHaveRun), nil
	}
	k.waiting.Put(e.Request, parked{arrived: e, key: e.Key, until: e.At.Add(claimWait), issuer: issuer.ID})
	claim := descriptor.Claim{Service: e.Service, Key: e.Key, Request: e.Request}
	return Decision{Verdict: Wait}, []descriptor.Action{descriptor.Send{To: issuer, Message: claim}}
}

// decider returns the instance that decides about the keys of a ticket.
func (k *Keeper) decider(t Ticket) (descriptor.Member, bool) {
	m, ok := k.members.Member(t.Instance)
	if !ok || m.Incarnation != t.Incarnation || m.ID == k.self.ID {
		return m, false
	}
	if m.State != descriptor.Left {
		return m, m.State != descriptor.Dead
	}
	heir, ok := k.members.Member(m.Heir)
	return heir, ok && heir.State < descriptor.Dead && heir.ID != k.self.ID
}

// End records how a request that was let through ended.
func (k *Keeper) End(id descriptor.RequestID, outcome descriptor.Outcome) []descriptor.Action {
	h, ok := k.holds.Get(id)
	if !ok {
		return nil
	}
	k.holds.Delete(id)
	if h.issuer.ID != "" {
		settle := descriptor.Settle{Key: h.key, Outcome: outcome}
		return []descriptor.Action{descriptor.Send{To: h.issuer, Message: settle}}
	}
	k.settle(h.key, outcome, h.bare)
	return nil
}

func (k *Keeper) settle(key string, outcome descriptor.Outcome, bare bool) {
	r, ok := k.keys.Get(key)
	if !ok {
		r = record{holder: k.self.ID}
	}
	switch {
	case outcome == descriptor.Ran:
		k.put(key, r.WithState(stateRan))
	case outcome == descriptor.MayHaveRun:
		k.put(key, r.WithState(stateUncertain))
	case bare:
		k.put(key, r.WithState(stateFree))
	default:
		k.keys.Delete(key)
	}
}

// HearClaim answers a claim of another instance.
func (k *Keeper) HearClaim(now time.Time, from descriptor.Member, m descriptor.Claim) []descriptor.Action {
	verdict := descriptor.Verdict{Request: m.Request, Key: scoped(m.Service, m.Key)}
	ticket, issued, err := ParseKey(m.Key)
	d := reject(descriptor.KeyUnsettled, descriptor.MayHaveRun)
	if err == nil && issued && k.grants(ticket) {
		d = k.grant(now, ticket, scoped(m.Service, m.Key), from.ID)
	}
	verdict.Granted = d.Verdict == Proceed
	verdict.Reason = d.Reason
	verdict.Outcome = d.Outcome
	return []descriptor.Action{descriptor.Send{To: from, Message: verdict}}
}

// HearSettle records how a granted run at another instance ended. Only the
// holder of the grant can settle it.
func (k *Keeper) HearSettle(from string, m descriptor.Settle) {
	r, ok := k.keys.Get(m.Key)
	if ok && r.holder == from {
		k.settle(m.Key, m.Outcome, false)
	}
}

// Settled is a parked request that can go on.
type Settled struct {
	Arrived  descriptor.Arrived
	Decision Decision
}

// HearVerdict takes in the answer to a claim and returns the request that can go
// on. A grant for a request that no longer waits is given back.
func (k *Keeper) HearVerdict(from descriptor.Member, m descriptor.Verdict) (Settled, bool, []descriptor.Action) {
	p, ok := k.waiting.Get(m.Request)
	// Request IDs begin anew with each incarnation: a verdict for an earlier
	// one must not pass for this request's.
	if !ok || p.issuer != from.ID || m.Key != scoped(p.arrived.Service, p.key) {
		return Settled{}, false, giveBack(from, m)
	}
	k.waiting.Delete(m.Request)
	if !m.Granted {
		return Settled{p.arrived, reject(m.Reason, m.Outcome)}, true, nil
	}
	k.holds.Put(m.Request, held{key: m.Key, issuer: from})
	return Settled{p.arrived, Decision{Verdict: Proceed}}, true, nil
}

func giveBack(from descriptor.Member, m descriptor.Verdict) []descriptor.Action {
	if !m.Granted {
		return nil
	}
	settle := descriptor.Settle{Key: m.Key, Outcome: descriptor.NotRun}
	return []descriptor.Action{descriptor.Send{To: from, Message: settle}}
}

// Forget drops a parked request whose caller left and returns it.
func (k *Keeper) Forget(id descriptor.RequestID) (descriptor.Arrived, bool) {
	p, ok := k.waiting.Get(id)
	k.waiting.Delete(id)
	return p.arrived, ok
}
