package decider

import (
	"fmt"
	"slices"
	"time"

	"monsoonswitch/descriptor"
)

// change writes a configuration that adds, withdraws or replaces a key.
func (m *proofModel) change() {
	last := m.configs[len(m.configs)-1]
	next := proofConfig{version: last.version + 1 + m.random.Uint64N(3), written: m.now, keys: slices.Clone(last.keys)}
	next.acked = m.now + m.between(0, 200*time.Millisecond)
	if len(next.keys) < 9 {
		m.keys++
		next.keys = append(next.keys, fmt.Sprintf("k%d", m.keys))
	}
	if len(next.keys) > 3 {
		i := m.random.IntN(len(next.keys))
		next.keys = slices.Delete(next.keys, i, i+1)
	}
	m.configs = append(m.configs, next)
	wait := m.between(500*time.Millisecond, 4*time.Second)
	if m.random.IntN(4) == 0 {
		wait = m.between(time.Millisecond, 50*time.Millisecond)
	}
	m.after(wait, m.change)
}

// stored returns the position of the configuration in the store at a time.
func (m *proofModel) stored(at time.Duration) int {
	for i := len(m.configs) - 1; i > 0; i-- {
		if m.configs[i].written <= at {
			return i
		}
	}
	return 0
}

// watch starts or stops the reader of an instance.
func (m *proofModel) watch(n *proofNode, active bool) {
	n.readers++
	n.reading = 0
	if active {
		n.reading = n.readers
		m.read(n, n.readers, -1)
	}
}

// read lists the store if known is negative, and otherwise watches it for a later configuration
// than that one. The answer comes after a while, and a frozen process reads it later.
func (m *proofModel) read(n *proofNode, reader, known int) {
	started, incarnation := m.uptime(n), n.incarnation
	again := func(wait time.Duration, known int) {
		m.after(wait, func() {
			if n.reading == reader && n.incarnation == incarnation {
				m.handle(n, func() { m.read(n, reader, known) })
			}
		})
	}
	if m.now < n.refused {
		again(m.between(100*time.Millisecond, 800*time.Millisecond), known)
		return
	}
	request := m.between(time.Millisecond, 100*time.Millisecond)
	var answer func(deadline time.Duration)
	answer = func(deadline time.Duration) {
		at := m.stored(m.now)
		if known >= 0 && at == known && m.now < deadline {
			m.after(20*time.Millisecond, func() { answer(deadline) })
			return
		}
		m.later(n, m.between(time.Millisecond, 150*time.Millisecond), func() {
			if n.reading == reader {
				m.post(n, known, at, started)
				again(time.Millisecond, at)
			}
		})
	}
	m.after(request, func() { answer(m.now + proofWatch) })
}

// post gives an instance the answer of the store.
func (m *proofModel) post(n *proofNode, known, at int, started time.Duration) {
	asOf := m.monotonic(n)
	e := descriptor.DocumentsRead{At: asOf, AsOf: asOf, Kind: descriptor.KindRouting, Complete: known < 0, Uptime: started, Seen: started}
	if at != known {
		routing := proofRouting(m.configs[at])
		e.Documents = []descriptor.Document{{Kind: descriptor.KindRouting, Name: "all", Revision: routing.Version, Routing: routing}}
	} else {
		e.Seen += proofWatch
	}
	m.step(n, e)
	e.Kind, e.Documents = descriptor.KindBackends, nil
	if known < 0 {
		e.Documents = []descriptor.Document{{Kind: descriptor.KindBackends, Name: "ledger", Revision: 1, Backends: []descriptor.Backend{
			{ID: "b0", Address: "b0:80", Slots: 50}, {ID: "b1", Address: "b1:80", Slots: 50},
		}}}
	}
	m.step(n, e)
}

// request sends a request with a present or former key to any instance.
func (m *proofModel) request() {
	m.after(m.between(time.Millisecond, 30*time.Millisecond), m.request)
	if m.now > proofEnd-time.Second {
		return
	}
	n := m.nodes[m.random.IntN(len(m.nodes))]
	config := m.configs[max(0, len(m.configs)-1-m.random.IntN(4))]
	r := &proofRequest{node: n, key: config.keys[m.random.IntN(len(config.keys))], sent: m.now}
	id := descriptor.RequestID(len(m.requests) + 1)
	m.requests[id] = r
	m.later(n, 0, func() {
		r.uptime = m.uptime(n)
		m.locate(id)
	})
}

// locate looks the customer of a request up in the directory, as the session of a request does.
func (m *proofModel) locate(id descriptor.RequestID) {
	r := m.requests[id]
	n := r.node
	d := n.directory
	if r.tries++; r.tries > 10 || d == nil || !d.Ready || d.Routes == nil {
		return
	}
	customer, ok := d.Routes.Customer(r.key)
	if !ok {
		if d.Seen > r.uptime {
			m.deny(r)
			return
		}
		m.later(n, 90*time.Millisecond, func() { m.locate(id) })
		return
	}
	e := descriptor.Arrived{
		At: m.monotonic(n), Request: id, Service: "ledger", Class: "a", Caller: "c", Fingerprint: uint64(id), Replayable: true,
		Customer: customer.Name, Routing: d.Routes.Routing().Version, Uptime: r.uptime,
	}
	m.later(n, m.between(0, 2*time.Millisecond), func() { m.step(n, e) })
}

// deny checks that some configuration since the request lacked its key.
func (m *proofModel) deny(r *proofRequest) {
	m.result.Denied++
	for i := m.stored(r.sent); i < len(m.configs); i++ {
		if !slices.Contains(m.configs[i].keys, r.key) {
			return
		}
	}
	m.violate(errDenied, "%s at %s, sent at %v", r.key, r.node.id, r.sent)
}

// withdrawn returns when the store acknowledged the first configuration without a key that an
// earlier one had, and false if there is none.
func (m *proofModel) withdrawn(key string) (time.Duration, bool) {
	had := false
	for _, c := range m.configs {
		has := slices.Contains(c.keys, key)
		if had && !has {
			return c.acked, true
		}
		had = had || has
	}
	return 0, false
}

// ran checks that work that is sent to a backend server may run, and answers it.
func (m *proofModel) ran(a descriptor.Dispatch) {
	r := m.requests[a.Request]
	m.result.Ran++
	if at, ok := m.withdrawn(r.key); ok && r.sent > at {
		m.result.Late++
		m.result.Latest = max(m.result.Latest, r.sent-at)
		if r.sent-at > proofWithdraw {
			m.violate(errWithdrawnRan, "%s at %s, sent at %v, withdrawn at %v", r.key, r.node.id, r.sent, at)
		}
	}
	m.later(r.node, time.Millisecond, func() {
		n := r.node
		m.step(n, descriptor.Answered{At: m.monotonic(n), Request: a.Request, Attempt: a.Attempt, Status: 200})
		m.step(n, descriptor.Finished{At: m.monotonic(n), Request: a.Request, Attempt: a.Attempt})
	})
}

// refuse counts refusals for lack of a proof. There are none in calm.
func (m *proofModel) refuse(a descriptor.Refuse) {
	if a.Reason != descriptor.StaleConfiguration {
		return
	}
	m.result.Stale++
	r := m.requests[a.Request]
	calm := m.rule.calm && r.sent > 4*time.Second && (!m.rule.partial || r.sent > proofPartialFrom+proofSettled)
	if r.sent > proofEnd-proofSettled || calm {
		m.violate(errStaleInCalm, "%s, sent at %v", r.node.id, r.sent)
	}
}

// refuseMost has the store refuse all instances but three until the end.
func (m *proofModel) refuseMost() {
	served := 0
	for _, n := range m.nodes {
		if served < 3 && !containsMember(n.decider.index.Get(watchRole), n.id) {
			served++
			continue
		}
		n.refused = proofEnd
	}
}

// fault disturbs the fleet for a while.
func (m *proofModel) fault() {
	if m.now > proofFaults {
		return
	}
	m.result.Faults++
	n, other := m.nodes[m.random.IntN(len(m.nodes))], m.nodes[m.random.IntN(len(m.nodes))]
	end := m.now + m.between(time.Second, 14*time.Second)
	switch m.random.IntN(8) {
	case 0:
		m.freeze(n, end, false)
	case 1:
		m.freeze(n, end, true)
	case 2:
		m.start(n)
	case 3:
		for _, x := range m.nodes {
			m.lost[[2]string{x.id, n.id}] = end
		}
	case 4:
		for _, x := range m.nodes {
			m.lost[[2]string{n.id, x.id}] = end
			if m.random.IntN(2) == 0 {
				m.lost[[2]string{x.id, n.id}] = end
			}
		}
		n.refused = end
	case 5:
		for _, x := range m.nodes {
			m.slow[[2]string{x.id, n.id}] = end
		}
		n.refused = end
	case 6:
		m.lost[[2]string{n.id, other.id}] = end
	case 7:
		for _, x := range m.nodes {
			if m.random.IntN(3) > 0 {
				x.refused = end
			}
		}
	}
	m.after(m.between(300*time.Millisecond, 3*time.Second), m.fault)
}

// freeze stops the process of an instance, or its machine, until end.
func (m *proofModel) freeze(n *proofNode, end time.Duration, suspend bool) {
	if m.now < n.frozenUntil {
		return
	}
	n.frozenUntil = end
	incarnation, span := n.incarnation, end-m.now
	m.after(span, func() {
		if n.incarnation != incarnation {
			return
		}
		if suspend {
			n.asleep += span
		}
		inbox := n.inbox
		n.inbox = nil
		for _, f := range inbox {
			f()
		}
	})
}
