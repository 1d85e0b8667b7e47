package keeper

import "monsoonswitch/descriptor"

// maxHandoverKeys is the maximum number of keys in one handover message.
const maxHandoverKeys = 1000

// HandOver stops granting keys and returns the messages that hand over all keys to
// successor. No request that holds a key may be open when it is called.
func (k *Keeper) HandOver(successor descriptor.Member) []descriptor.Action {
	k.closed = true
	parts := []descriptor.KeyHandover{{
		Instance:    k.self.ID,
		Incarnation: k.self.Incarnation,
		Floor:       k.floor,
	}}
	for _, key := range k.keys.Keys() {
		r, _ := k.keys.Get(key)
		last := &parts[len(parts)-1]
		if len(last.Keys) == maxHandoverKeys {
			parts = append(parts, descriptor.KeyHandover{
				Instance:    k.self.ID,
				Incarnation: k.self.Incarnation,
				Floor:       k.floor,
			})
			last = &parts[len(parts)-1]
		}
		last.Keys = append(last.Keys, descriptor.KeyRecord{Key: key, State: int(r.state), Holder: r.holder})
	}
	last := &parts[len(parts)-1]
	last.Last = true
	last.Total = k.keys.Len()
	if incarnation := k.incarnation(); incarnation != k.self.Incarnation {
		last.Issuers = append(last.Issuers, descriptor.KeyIssuer{Instance: k.self.ID, Incarnation: incarnation, Floor: k.floor})
	}
	for _, h := range k.takeovers {
		last.Issuers = append(last.Issuers, descriptor.KeyIssuer{Instance: h.from.instance, Incarnation: h.from.incarnation, Floor: h.floor})
	}
	var actions []descriptor.Action
	for _, p := range parts {
		actions = append(actions, descriptor.Send{To: successor, Message: p})
	}
	return actions
}

// receipt is what was received so far of the keys of an issuer.
type receipt struct {
	// keys is the number of keys received.
	keys int
	// dropped is set if keys were dropped meanwhile, of this or another issuer.
	dropped bool
}

// WithKeys returns r after n more keys.
func (r receipt) WithKeys(n int) receipt {
	r.keys += n
	return r
}

// WithDropped returns r after keys were dropped.
func (r receipt) WithDropped() receipt {
	r.dropped = true
	return r
}

// HandleKeyHandover stores the keys of one handover message. After the last message
// this instance decides about the keys of the issuer that left. If a message was lost
// it does not, and requests with these keys are refused as unsettled.
func (k *Keeper) HandleKeyHandover(m descriptor.KeyHandover) {
	from := issuer{m.Instance, m.Incarnation}
	if !k.receiving.Has(from) {
		k.receiving.Put(from, receipt{})
	}
	for _, r := range m.Keys {
		if r.State < int(stateRunning) || r.State > int(stateFree) || len(r.Key) > 2*MaxKey {
			continue
		}
		k.put(r.Key, record{state: state(r.State), holder: r.Holder})
	}
	received, _ := k.receiving.Get(from)
	received = received.WithKeys(len(m.Keys))
	if !m.Last {
		k.receiving.Put(from, received)
		return
	}
	k.receiving.Delete(from)
	if received.keys != m.Total {
		return
	}
	issuers := append(m.Issuers, descriptor.KeyIssuer{Instance: m.Instance, Incarnation: m.Incarnation, Floor: m.Floor})
	for _, h := range issuers {
		if received.dropped {
			h.Floor = allEpochs
		}
		k.takeOver(h)
	}
}

// takeOver makes this instance decide about the keys of an issuer.
func (k *Keeper) takeOver(i descriptor.KeyIssuer) {
	if len(k.takeovers) == maxTakeovers {
		k.takeovers = k.takeovers[1:]
	}
	k.takeovers = append(k.takeovers, takeover{
		from:  issuer{i.Instance, i.Incarnation},
		floor: i.Floor,
	})
}

// Dump returns the numbers of keys and of waiting requests.
func (k *Keeper) Dump() descriptor.KeyDump {
	return descriptor.KeyDump{
		Held:    k.keys.Len(),
		Parked:  k.waiting.Len(),
		Dropped: k.dropped,
	}
}
