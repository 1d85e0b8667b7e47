package keeper

import "monsoonswitch/descriptor"

// inheritPart is the number of keys of one message to an heir.
const inheritPart = 1000

// Bequeath stops granting and returns the messages that hand all keys over to
// heir. No request that holds a key may be open any more.
func (k *Keeper) Bequeath(heir descriptor.Member) []descriptor.Action {
	k.closed = true
	parts := []descriptor.Inherit{{
		Instance:    k.self.ID,
		Incarnation: k.self.Incarnation,
		Floor:       k.floor,
	}}
	for _, key := range k.keys.Keys() {
		r, _ := k.keys.Get(key)
		last := &parts[len(parts)-1]
		if len(last.Keys) == inheritPart {
			parts = append(parts, descriptor.Inherit{
				Instance:    k.self.ID,
				Incarnation: k.self.Incarnation,
				Floor:       k.floor,
			})
			last = &parts[len(parts)-1]
		}
		last.Keys = append(last.Keys, descriptor.KeyRecord{Key: key, State: int(r.state), Holder: r.holder})
	}
	parts[len(parts)-1].Last = true
	parts[len(parts)-1].Total = k.keys.Len()
	var actions []descriptor.Action
	for _, p := range parts {
		actions = append(actions, descriptor.Send{To: heir, Message: p})
	}
	return append(actions, k.passOn(heir)...)
}

// passOn hands over the issuers whose keys this instance took over itself.
func (k *Keeper) passOn(heir descriptor.Member) []descriptor.Action {
	var actions []descriptor.Action
	for _, h := range k.heritages {
		actions = append(actions, descriptor.Send{To: heir, Message: descriptor.Inherit{
			Instance:    h.from.instance,
			Incarnation: h.from.incarnation,
			Floor:       h.floor,
			Last:        true,
		}})
	}
	return actions
}

// HearInherit takes keys over. After the last part this instance decides about
// the keys of the issuer that left.
func (k *Keeper) HearInherit(m descriptor.Inherit) {
	for _, r := range m.Keys {
		if r.State < int(stateRunning) || r.State > int(stateFree) || len(r.Key) > 2*MaxKey {
			continue
		}
		k.put(r.Key, record{state: state(r.State), holder: r.Holder})
	}
	from := issuer{m.Instance, m.Incarnation}
	received, _ := k.receiving.Get(from)
	received += len(m.Keys)
	k.receiving.Put(from, received)
	if !m.Last {
		return
	}
	k.receiving.Delete(from)
	if received != m.Total {
		return
	}
	if len(k.heritages) == maxHeritages {
		k.heritages = k.heritages[1:]
	}
	k.heritages = append(k.heritages, heritage{
		from:  from,
		floor: m.Floor,
	})
}

// Dump returns the state of the keys.
func (k *Keeper) Dump() descriptor.KeyDump {
	return descriptor.KeyDump{
		Held:    k.keys.Len(),
		Parked:  k.waiting.Len(),
		Dropped: k.forgotten,
	}
}
