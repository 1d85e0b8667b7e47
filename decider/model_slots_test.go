package decider

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"monsoonswitch/descriptor"
	"monsoonswitch/explorer"
)

var (
	errSlotOwnedTwice = errors.New("more slots may be used than there are")
	errSlotNotOwned   = errors.New("slots are not owned by exactly one instance each")
)

// slotRule is what a model of slots varies.
type slotRule struct {
	instances int
	// changes bounds the joins, leaves and restarts.
	changes int
	// late is set if messages may take longer than a lease allows for, which is wrong.
	late bool
	// unheard is set if changes of members are not told to the others, which is wrong.
	unheard bool
}

const (
	// modelSlots is the number of slots of the backend server.
	modelSlots = 3
	// slotBurst is the number of requests that an instance gets at once.
	slotBurst = 4
	// handOverTime is the time after a change of the owners in which a former owner keeps its
	// share and leases of it end.
	handOverTime = 3250 * time.Millisecond
	// leaseTime is more than the time of a lease, and leaseWait the n of a step that waits for it.
	leaseTime = 1400 * time.Millisecond
	leaseWait = 1
)

// slotModel is a fleet that divides the slots of one backend server and leases them to each
// other, while instances join, leave and start again.
//
// What must hold: while the instances agree about the owners, and handOverTime has passed since
// they began to, their shares with the slots leased in and without those leased out are not more
// than the slots; and at the end each slot has exactly one owner. Work that began on a leased slot
// may last longer than the lease, so what runs is not bounded by that. Messages about leases arrive within modelTick or are lost.
type slotModel struct {
	*modelDriver
	rule    slotRule
	changes int
	// owners are the owners about which all agree since agreedAt, or empty.
	owners   string
	agreedAt time.Time
}

func startSlots(t *testing.T, rule slotRule) func() explorer.System[modelStep] {
	return func() explorer.System[modelStep] {
		m := &slotModel{rule: rule}
		m.modelDriver = newModelDriver(t, rule.instances, 1, func(message descriptor.Message) bool {
			switch message.(type) {
			case descriptor.SlotDemand, descriptor.SlotLease:
				return true
			case descriptor.Members:
				return rule.unheard
			}
			return false
		})
		m.wait(handOverTime)
		m.observe()
		m.agreedAt = m.now.Add(-handOverTime)
		return m
	}
}

func (m *slotModel) Steps() []modelStep {
	list := append(m.heldSteps(), modelStep{action: actWait}, modelStep{action: actWait, n: leaseWait})
	for _, id := range m.order {
		if m.left[id] {
			continue
		}
		list = append(list, modelStep{action: actArrive, id: id})
		if len(m.open[id]) > 0 {
			list = append(list, modelStep{action: actAnswer, id: id})
		}
		if m.changes < m.rule.changes {
			list = append(list, modelStep{action: actRestart, id: id}, modelStep{action: actLeave, id: id})
		}
	}
	if m.changes < m.rule.changes {
		list = append(list, modelStep{action: actJoin})
	}
	return list
}

func (m *slotModel) Do(s modelStep) {
	switch s.action {
	case actDeliver:
		m.receive(m.take(s))
	case actWait:
		// Messages of before the last wait are lost now.
		before, span := len(m.held), modelTick
		if s.n == leaseWait {
			span = leaseTime
		}
		m.wait(span)
		if !m.rule.late {
			m.held = m.held[before:]
		}
	case actArrive:
		for range slotBurst {
			m.next++
			m.arrive(s.id, m.next, "read", "")
		}
	case actAnswer:
		list := m.open[s.id]
		m.open[s.id] = nil
		for _, d := range list {
			m.step(s.id, descriptor.Answered{At: m.now, Request: d.Request, Attempt: d.Attempt, Status: 200})
			m.step(s.id, descriptor.Finished{At: m.now, Request: d.Request, Attempt: d.Attempt, Bytes: 1})
		}
	case actRestart:
		m.changes++
		m.restartInstance(s.id)
	case actLeave:
		m.changes++
		m.step(s.id, descriptor.ShutdownRequested{At: m.now})
	case actJoin:
		m.changes++
		m.join("joined")
	}
	m.settleMessages()
	m.collect()
	m.observe()
}

// collect takes up what was sent to the backend server.
func (m *slotModel) collect() {
	for _, d := range m.dispatched {
		for _, id := range m.order {
			if m.instances[id].requests.Has(d.Request) {
				m.open[id] = append(m.open[id], d)
			}
		}
	}
	m.dispatched = nil
}

// usable returns the slots that an instance may use, and its share of them.
func (m *slotModel) usable(id string) (limit, share int) {
	s, ok := m.instances[id].served.Get("billing")
	if !ok || m.left[id] {
		return 0, 0
	}
	for _, b := range s.Dump(m.now).Backends {
		limit += b.Share + b.Borrowed - b.Lent
		share += b.Share
	}
	return limit, share
}

// ownersOf returns the owners of the slots as an instance knows them.
func (m *slotModel) ownersOf(id string) string {
	var ids []string
	for _, o := range m.instances[id].index.Get("billing") {
		ids = append(ids, fmt.Sprint(o.ID, "/", o.Incarnation))
	}
	slices.Sort(ids)
	return fmt.Sprint(ids)
}

// observe checks the slots in use.
func (m *slotModel) observe() {
	owners, agree, total := "", true, 0
	for _, id := range m.order {
		if m.left[id] {
			continue
		}
		limit, _ := m.usable(id)
		total += limit
		own := m.ownersOf(id)
		agree = agree && (owners == "" || owners == own)
		owners = own
	}
	if !agree || owners != m.owners {
		m.owners, m.agreedAt = owners, m.now
	}
	if agree && m.now.Sub(m.agreedAt) >= handOverTime && total > modelSlots {
		m.violate(fmt.Errorf("%w: %d of %d", errSlotOwnedTwice, total, modelSlots))
	}
}

func (m *slotModel) Digest() uint64 {
	return m.digestOf(m.changes, m.owners, m.agreedAt)
}

// Settle lets the hand-over end.
func (m *slotModel) Settle() error {
	if !m.rule.unheard {
		m.holds = func(descriptor.Message) bool { return false }
	}
	for range 2 {
		m.wait(handOverTime)
		m.collect()
		m.observe()
	}
	sum := 0
	for _, id := range m.order {
		_, share := m.usable(id)
		sum += share
	}
	if sum != modelSlots {
		m.violate(fmt.Errorf("%w: %d shares of %d", errSlotNotOwned, sum, modelSlots))
	}
	return m.violation
}

// TestModelSlots guards against slots that two instances use, or that none owns, around changes
// of the owners and with late messages about leases.
func TestModelSlots(t *testing.T) {
	for name, c := range map[string]modelCase{
		"two instances":   {start: startSlots(t, slotRule{instances: 2, changes: 1}), depth: 3, walks: 20, length: 12},
		"three instances": {start: startSlots(t, slotRule{instances: 3, changes: 1}), depth: 2, walks: 20, length: 12},
	} {
		t.Run(name, func(t *testing.T) { c.holds(t) })
	}
	t.Run("broken: members that are not told of a change", func(t *testing.T) {
		modelCase{start: startSlots(t, slotRule{instances: 2, changes: 1, unheard: true}), depth: 1}.breaks(t, errSlotNotOwned)
	})
	t.Run("broken: leases that arrive late", func(t *testing.T) {
		modelCase{start: startSlots(t, slotRule{instances: 2, late: true}), depth: 5}.breaks(t, errSlotOwnedTwice)
	})
}
