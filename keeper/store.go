package keeper

import (
	"time"

	"monsoonswitch/descriptor"
)

// beginCallerMade decides about a caller-made key, which has no issuer. Unless this
// instance already claimed the key, it writes a claim to the platform's store,
// where every instance finds it.
func (k *Keeper) beginCallerMade(e descriptor.Arrived, key string) (Decision, []descriptor.Action) {
	if r, ok := k.keys.Get(key); ok {
		if r.state != stateFree {
			return refuseKnown(r), nil
		}
		k.put(key, r.WithState(stateRunning))
		k.holds.Put(e.Request, held{key: key, callerMade: true})
		return Decision{Verdict: Proceed}, nil
	}
	if !k.takeToken(e.At) {
		return reject(descriptor.ClaimUnavailable, descriptor.NotRun), nil
	}
	write := k.next()
	k.writes.Put(write, e.Request)
	k.waiting.Put(e.Request, parked{arrived: e, key: key, until: e.At.Add(storeWait)})
	return Decision{Verdict: Wait}, []descriptor.Action{descriptor.WriteClaim{
		Write:       write,
		Service:     e.Service,
		Key:         e.Key,
		Instance:    k.self.ID,
		Incarnation: k.self.Incarnation,
	}}
}

// takeToken reports whether a claim may be written now, and takes a token for it.
func (k *Keeper) takeToken(now time.Time) bool {
	k.tokens = min(k.burst, k.tokens+k.rate*now.Sub(k.tokensAt).Seconds())
	k.tokensAt = now
	if k.tokens < 1 {
		return false
	}
	k.tokens--
	return true
}

// Written handles the result of writing a claim to the store and returns the
// request that no longer waits, if any.
func (k *Keeper) Written(e descriptor.Written) (Resolved, bool) {
	id, ok := k.writes.Get(e.Write)
	if !ok {
		return Resolved{}, false
	}
	k.writes.Delete(e.Write)
	p, ok := k.waiting.Get(id)
	if !ok {
		return Resolved{}, false
	}
	k.waiting.Delete(id)
	switch e.Result {
	case descriptor.WriteAccepted:
		if e.At.Before(k.doubtUntil) {
			// The work of a claim that was lost may have run at another instance.
			k.put(p.key, record{state: stateUncertain, holder: k.self.ID})
			return Resolved{p.arrived, reject(descriptor.KeyUnsettled, descriptor.MayHaveRun)}, true
		}
		k.put(p.key, record{state: stateRunning, holder: k.self.ID})
		k.holds.Put(id, held{key: p.key, callerMade: true})
		return Resolved{p.arrived, Decision{Verdict: Proceed}}, true
	case descriptor.WriteConflict:
		return Resolved{p.arrived, reject(descriptor.KeyUnsettled, descriptor.MayHaveRun)}, true
	}
	return Resolved{p.arrived, reject(descriptor.ClaimUnavailable, descriptor.NotRun)}, true
}

// StoreRestored records that the store lost claims. The keys that this instance claimed stay
// decided by its own records. What others claimed is unknown for as long as a claim lasts.
func (k *Keeper) StoreRestored(now time.Time) { k.doubtUntil = now.Add(claimLife) }

// Tick returns the requests whose wait timed out. The work of a request that got no
// answer from the issuer of its key may have run at another instance; the work of
// one that waited for the store did not run under its claim.
func (k *Keeper) Tick(now time.Time) []Resolved {
	var expired []Resolved
	for _, p := range k.waiting.All {
		if now.Before(p.until) {
			continue
		}
		d := reject(descriptor.KeyUnsettled, descriptor.MayHaveRun)
		if p.issuer == "" {
			d = reject(descriptor.ClaimUnavailable, descriptor.NotRun)
		}
		expired = append(expired, Resolved{p.arrived, d})
	}
	for _, s := range expired {
		k.waiting.Delete(s.Arrived.Request)
	}
	return expired
}
