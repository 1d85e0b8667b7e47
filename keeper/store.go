package keeper

import (
	"time"

	"monsoonswitch/descriptor"
)

// beginBare claims a key made by its caller alone in the platform's store, where
// every instance finds the claim.
func (k *Keeper) beginBare(e descriptor.Arrived, key string) (Decision, []descriptor.Action) {
	if r, ok := k.keys.Get(key); ok {
		if r.state != stateFree {
			return known(r), nil
		}
		k.put(key, r.WithState(stateRunning))
		k.holds.Put(e.Request, held{key: key, bare: true})
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

func (k *Keeper) takeToken(now time.Time) bool {
	k.tokens = min(claimBurst, k.tokens+k.rate*now.Sub(k.tokensAt).Seconds())
	k.tokensAt = now
	if k.tokens < 1 {
		return false
	}
	k.tokens--
	return true
}

// Written takes in the end of a claim in the store.
func (k *Keeper) Written(e descriptor.Written) (Settled, bool) {
	id, ok := k.writes.Get(e.Write)
	if !ok {
		return Settled{}, false
	}
	k.writes.Delete(e.Write)
	p, ok := k.waiting.Get(id)
	if !ok {
		return Settled{}, false
	}
	k.waiting.Delete(id)
	switch e.Result {
	case descriptor.WriteAccepted:
		k.put(p.key, record{state: stateRunning, holder: k.self.ID})
		k.holds.Put(id, held{key: p.key, bare: true})
		return Settled{p.arrived, Decision{Verdict: Proceed}}, true
	case descriptor.WriteConflict:
		return Settled{p.arrived, reject(descriptor.KeyUnsettled, descriptor.MayHaveRun)}, true
	}
	return Settled{p.arrived, reject(descriptor.ClaimUnavailable, descriptor.NotRun)}, true
}

// Tick returns the parked requests whose wait is over. A request that waited for the issuer of its key in vain may have run elsewhere;
// one that waited for the store did not run under this claim.
func (k *Keeper) Tick(now time.Time) []Settled {
	var late []Settled
	for _, p := range k.waiting.All {
		if now.Before(p.until) {
			continue
		}
		d := reject(descriptor.KeyUnsettled, descriptor.MayHaveRun)
		if p.issuer == "" {
			d = reject(descriptor.ClaimUnavailable, descriptor.NotRun)
		}
		late = append(late, Settled{p.arrived, d})
	}
	for _, s := range late {
		k.waiting.Delete(s.Arrived.Request)
	}
	return late
}
