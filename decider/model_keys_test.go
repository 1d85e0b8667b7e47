package decider

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"monsoonswitch/descriptor"
	"monsoonswitch/explorer"
	"monsoonswitch/keeper"
)

var (
	errRanTwice    = errors.New("work with one key was sent more than once")
	errFalseNotRun = errors.New("work that was sent was refused as not run")
)

// keyRule is what a model of keys varies.
type keyRule struct {
	instances int
	// restarts bounds the instances that start again.
	restarts int
	// emptied is set if keys are handed over without their records, which is wrong.
	emptied bool
}

// Fates of work that was sent, as the n of actAnswer.
const (
	// workRuns is an answer, workUnknown a broken connection, and workRefused a refused one,
	// after which the work is known not to have run.
	workRuns = iota
	workUnknown
	workRefused
	workFates
)

// leavingWait is the n of a step that waits until an instance that leaves has left.
const leavingWait = 1

// keyModel is a fleet to whose instances one caller sends the same work with one key, again and
// again, while the instance that issued the key leaves and hands it over. Claims, verdicts,
// settlements and the key handover may be late, come in any order, or be lost.
//
// What must hold: of the sends of all instances together at most one may have run, and no request
// whose work may have run is refused as not run.
type keyModel struct {
	*modelDriver
	rule     keyRule
	key      string
	restarts int
	// ran counts the sends that may have run, of all instances together.
	ran int
	// sent holds the number of sends of each open request, which may yet run.
	sent map[descriptor.RequestID]int
}

func startKeys(t *testing.T, rule keyRule) func() explorer.System[modelStep] {
	return func() explorer.System[modelStep] {
		m := &keyModel{rule: rule, sent: make(map[descriptor.RequestID]int)}
		m.modelDriver = newModelDriver(t, rule.instances, 3, func(message descriptor.Message) bool {
			switch message.(type) {
			case descriptor.Claim, descriptor.Verdict, descriptor.KeySettlement, descriptor.KeyHandover:
				return true
			}
			return false
		})
		m.key = keeper.TicketOf(m.instances[m.order[0]].gossiper.Self(), m.now).String() + ".k"
		return m
	}
}

func (m *keyModel) Steps() []modelStep {
	list := append(m.heldSteps(), modelStep{action: actWait})
	issuer := m.order[0]
	if m.instances[issuer].shutdown.started && !m.left[issuer] {
		list = append(list, modelStep{action: actWait, n: leavingWait})
	}
	for _, id := range m.order {
		if m.left[id] {
			continue
		}
		list = append(list, modelStep{action: actArrive, id: id})
		if len(m.open[id]) > 0 {
			for n := range workFates {
				list = append(list, modelStep{action: actAnswer, id: id, n: n})
			}
		}
		if m.restarts < m.rule.restarts {
			list = append(list, modelStep{action: actRestart, id: id})
		}
	}
	if !m.instances[issuer].shutdown.started && !m.left[issuer] {
		list = append(list, modelStep{action: actLeave, id: issuer})
	}
	return list
}

func (m *keyModel) Do(s modelStep) {
	switch s.action {
	case actDeliver:
		m.receive(m.withoutRecords(m.take(s)))
	case actWait:
		m.waitStep(s.n)
	case actArrive:
		m.next++
		m.arrive(s.id, m.next, "invoice", m.key)
	case actAnswer:
		d := m.open[s.id][0]
		m.open[s.id] = m.open[s.id][1:]
		m.answer(s.id, d, s.n)
	case actRestart:
		m.restarts++
		m.restartInstance(s.id)
	case actLeave:
		m.step(s.id, descriptor.ShutdownRequested{At: m.now})
	}
	m.settleMessages()
	m.collect()
}

// waitStep lets time pass: until claims have timed out, or until an instance has left.
func (m *keyModel) waitStep(n int) {
	span := modelWait + modelTick
	if n == leavingWait {
		span = 4 * time.Second
	}
	m.wait(span)
}

// withoutRecords takes the keys out of a handover if the rule says so.
func (m *keyModel) withoutRecords(r routedMessage) routedMessage {
	if h, ok := r.message.(descriptor.KeyHandover); ok && m.rule.emptied {
		h.Keys, h.Total = nil, 0
		r.message = h
	}
	return r
}

// answer plays the backend server that got work. Sends count as run from the start, since a
// restart of the instance leaves them open for ever; one that was refused is taken back.
func (m *keyModel) answer(id string, d descriptor.Dispatch, fate int) {
	switch fate {
	case workRuns:
		m.step(id, descriptor.Answered{At: m.now, Request: d.Request, Attempt: d.Attempt, Status: 200})
		m.step(id, descriptor.Finished{At: m.now, Request: d.Request, Attempt: d.Attempt, Bytes: 1})
	case workUnknown:
		m.step(id, descriptor.Failed{At: m.now, Request: d.Request, Attempt: d.Attempt, Fault: descriptor.FaultBroken, BodyReplayable: true})
	case workRefused:
		m.ran--
		m.sent[d.Request]--
		m.step(id, descriptor.Failed{At: m.now, Request: d.Request, Attempt: d.Attempt, Fault: descriptor.FaultConnect, BodyReplayable: true})
	}
}

// collect takes up what was sent to the backend servers and what was refused.
func (m *keyModel) collect() {
	for _, d := range m.dispatched {
		m.ran++
		m.sent[d.Request]++
		for _, id := range m.order {
			if m.instances[id].requests.Has(d.Request) {
				m.open[id] = append(m.open[id], d)
			}
		}
	}
	m.dispatched = nil
	if m.ran > 1 {
		m.violate(fmt.Errorf("%w: %d times", errRanTwice, m.ran))
	}
	for _, r := range m.refused {
		if r.Outcome == descriptor.NotRun && m.sent[r.Request] > 0 {
			m.violate(fmt.Errorf("%w: request %d", errFalseNotRun, r.Request))
		}
	}
	m.refused = nil
}

func (m *keyModel) Digest() uint64 { return m.digestOf(m.restarts, m.ran, m.sent) }

// Settle delivers what is held and sends the work to each instance once more.
func (m *keyModel) Settle() error {
	m.holds = func(descriptor.Message) bool { return false }
	for _, r := range m.held {
		m.receive(r)
	}
	m.settleMessages()
	m.collect()
	for _, id := range m.order {
		m.Do(modelStep{action: actArrive, id: id})
		m.waitStep(0)
		m.collect()
	}
	return m.violation
}

// TestModelKeys guards against work with one key that runs twice, and against false refusals as
// not run, around the shutdown of the instance that issued the key.
func TestModelKeys(t *testing.T) {
	for name, c := range map[string]modelCase{
		"two instances":   {start: startKeys(t, keyRule{instances: 2, restarts: 1}), depth: 4, walks: 30, length: 14},
		"three instances": {start: startKeys(t, keyRule{instances: 3, restarts: 1}), depth: 3, walks: 30, length: 14},
	} {
		t.Run(name, func(t *testing.T) { c.holds(t) })
	}
	t.Run("broken: keys handed over without their records", func(t *testing.T) {
		modelCase{start: startKeys(t, keyRule{instances: 2, emptied: true}), depth: 5}.breaks(t, errRanTwice)
	})
}
