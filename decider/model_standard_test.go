package decider

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"monsoonswitch/declarer"
	"monsoonswitch/descriptor"
)

// modelDriver is a fleet with a declaration for each service, whose messages of some kinds are
// held.
type modelDriver struct {
	*driver
	mailbox
	pending []routedMessage
	// open holds the requests that the backend servers have not answered, by instance.
	open map[string][]descriptor.Dispatch
	next descriptor.RequestID
	// starts counts the starts of each instance after the first.
	starts map[string]int
}

// newModelDriver returns a fleet whose instances are ready and know each other, before the given
// number of backend servers with three slots each.
func newModelDriver(t *testing.T, instances, backends int, holds func(descriptor.Message) bool) *modelDriver {
	m := &modelDriver{
		driver: newDriver(t, 0), open: make(map[string][]descriptor.Dispatch), starts: make(map[string]int),
		mailbox: mailbox{holds: func(descriptor.Message) bool { return false }},
	}
	m.onSend = func(from string, a descriptor.Send) {
		m.pending = append(m.pending, routedMessage{from: from, to: a.To.ID, message: a.Message})
	}
	for i := range instances {
		m.join(fmt.Sprintf("entry-%d", i))
	}
	m.configure(m.order[0], declarer.Open, backends)
	m.settleMessages()
	m.wait(modelStart)
	m.holds = holds
	return m
}

// join adds an instance, or replaces one by one that has just started.
func (m *modelDriver) join(id string) {
	if !slices.Contains(m.order, id) {
		m.order = append(m.order, id)
	}
	o := m.options(id)
	o.Self.Incarnation += int64(m.starts[id])
	m.instances[id] = NewStandard(o, m.now)
	delete(m.left, id)
	for _, other := range m.order {
		if other != id && !m.left[other] {
			m.link(id, other)
		}
	}
	m.settleMessages()
}

// restartInstance replaces an instance by one that has just started. What it held is lost, and so
// are the messages to it.
func (m *modelDriver) restartInstance(id string) {
	m.starts[id]++
	m.held = slices.DeleteFunc(m.held, func(r routedMessage) bool { return r.to == id })
	delete(m.open, id)
	for _, other := range m.order {
		if other != id {
			delete(m.links, [2]string{id, other})
			delete(m.links, [2]string{other, id})
			m.step(other, descriptor.LinkClosed{At: m.now, Peer: id})
		}
	}
	m.join(id)
}

// settleMessages delivers all messages that are not held.
func (m *modelDriver) settleMessages() {
	for n := 0; len(m.pending) > 0; n++ {
		if n == maxMessages {
			m.violate(errNoEnd)
			m.pending = nil
		}
		r := m.pending[0]
		m.pending = m.pending[1:]
		r.message = m.decoded(r.message)
		if m.holds(r.message) {
			m.held = append(m.held, r)
			continue
		}
		m.receive(r)
	}
}

func (m *modelDriver) receive(r routedMessage) {
	m.step(r.to, descriptor.Received{At: m.now, From: r.from, Message: r.message})
}

// wait lets time pass for all instances.
func (m *modelDriver) wait(span time.Duration) {
	for end := m.now.Add(span); m.now.Before(end); {
		m.now = m.now.Add(modelTick)
		for _, id := range m.order {
			m.step(id, descriptor.Ticked{At: m.now})
			m.settleMessages()
		}
	}
}

// digestOf hashes the instances, the held messages and what a model adds.
func (m *modelDriver) digestOf(more ...any) uint64 {
	held := make(map[uint64]int)
	for _, r := range m.held {
		held[modelDigester.Sum(r)]++
	}
	values := []any{m.now, held, m.starts, m.left, m.open, m.links}
	for _, id := range m.order {
		values = append(values, m.instances[id])
	}
	return modelDigester.Sum(append(values, more...)...)
}
