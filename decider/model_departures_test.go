package decider

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"monsoonswitch/asserter"
	"monsoonswitch/balancer"
	"monsoonswitch/descriptor"
	"monsoonswitch/explorer"
)

var errWorkAfterDeparture = errors.New("a backend server that left got new work")

// departed is the backend server that leaves in the model of departures, and staying the other.
const (
	departed = "a"
	staying  = "b"
)

// Answers of the departed backend server to work, as the n of actArrive.
const (
	answersLeaving = iota
	shedsLeaving
	refusesConnections
	departureAnswers
)

// departureRule is what a model of departures varies.
type departureRule struct {
	instances int
	// silent is set if the backend server never says that it leaves: it is only removed from
	// the list.
	silent bool
	// oldLists is set if lists are put in force in the order in which they arrive, which is
	// wrong.
	oldLists bool
	// forgets is set if instances forget with each list what backend servers said in answers,
	// which is wrong.
	forgets bool
	// deaf is set if reports of other instances are not used, which is wrong.
	deaf bool
}

// departureModel is a fleet in front of a backend server that leaves. Any instance may meet it,
// or read the list of any time, and reports between the instances may be late or lost.
//
// What must hold: an instance that has learnt in its present incarnation that the backend server
// left never sends work there again. It has learnt it when an answer said so, when a report of
// another instance that it got says so, or when it put a list in force that marks the backend
// server as leaving or lacks it. A list that lacks it counts modelRestore after the store answered again, if it had not answered
// this instance for some time: entries that expired meanwhile may return.
type departureModel struct {
	*modelFleet
	rule   departureRule
	learnt map[string]bool
	// lacking holds since when the list of an instance lacks the backend server, answeredAt
	// when the store last answered it, and restoredAt when the entries that expired in the last
	// outage are back.
	lacking, answeredAt, restoredAt map[string]time.Time
	next                            descriptor.RequestID
	open                            map[string][]descriptor.Dispatch
}

func startDepartures(rule departureRule) func() explorer.System[modelStep] {
	return func() explorer.System[modelStep] {
		m := &departureModel{
			rule: rule, learnt: make(map[string]bool), open: make(map[string][]descriptor.Dispatch),
			lacking: make(map[string]time.Time), answeredAt: make(map[string]time.Time), restoredAt: make(map[string]time.Time),
		}
		m.modelFleet = newModelFleet(rule.instances, func(f *routedFleet) { f.backends = m.list(1) }, namesDeparture)
		m.onAction = m.handle
		for _, id := range m.order {
			m.answeredAt[id] = m.now.Add(-modelStart)
		}
		return m
	}
}

// namesDeparture reports whether a message may tell of the departure.
func namesDeparture(message descriptor.Message) bool {
	switch m := message.(type) {
	case descriptor.Outcomes:
		return slices.ContainsFunc(m.List, func(o descriptor.BackendOutcomes) bool { return o.Leaving })
	case descriptor.SuspicionList:
		return len(m.Leaving) > 0
	case descriptor.Documents:
		return true
	}
	return false
}

// list returns the list of backend servers of a revision: 1 before the departure, 2 that shows
// it, and 3 without the backend server.
func (m *departureModel) list(revision uint64) []descriptor.Backend {
	list := []descriptor.Backend{
		{ID: staying, Name: staying, Address: "b:80", Slots: 1},
		{ID: departed, Name: departed, Address: "a:80", Slots: 3, Leaving: revision == 2},
	}
	if revision > 2 || m.rule.silent && revision > 1 {
		return list[:1]
	}
	return list
}

const (
	// newestList is the last revision of the list.
	newestList = 3
	// modelOutage is the time without an answer of the store after which entries may have
	// expired, and modelRestore the time in which they are back, with the time until the others hear of it.
	modelOutage  = 2 * time.Second
	modelRestore = 2200*time.Millisecond + 2*modelTick
)

func (m *departureModel) Steps() []modelStep {
	list := m.heldSteps()
	for _, id := range m.order {
		for n := range departureAnswers {
			if !m.rule.silent || n == refusesConnections {
				list = append(list, modelStep{action: actArrive, id: id, n: n})
			}
		}
		for n := 1; n <= int(m.revision); n++ {
			list = append(list, modelStep{action: actRead, id: id, n: n})
		}
		if m.restarts == 0 {
			list = append(list, modelStep{action: actRestart, id: id})
		}
	}
	if m.revision < newestList {
		list = append(list, modelStep{action: actWrite})
	}
	return append(list, modelStep{action: actWait})
}

func (m *departureModel) Do(s modelStep) {
	switch s.action {
	case actDeliver:
		m.deliverReport(m.take(s))
	case actArrive:
		m.serve(s.id, 2, s.n)
	case actRead:
		m.readList(s.id, uint64(s.n))
	case actRestart:
		m.forget(s.id)
		m.restartInstance(s.id)
	case actWrite:
		m.revision++
	case actWait:
		m.wait(modelWait)
	}
	m.settleMessages()
	m.learnFromLists()
}

// deliverReport delivers a held message and records what it tells.
func (m *departureModel) deliverReport(message routedMessage) {
	if !m.rule.deaf {
		m.receive(message)
	}
	if _, ok := message.message.(descriptor.Documents); !ok {
		m.learnt[message.to] = true
	}
}

// forget clears what an instance learnt before it starts again.
func (m *departureModel) forget(id string) {
	delete(m.learnt, id)
	delete(m.open, id)
	delete(m.lacking, id)
	delete(m.answeredAt, id)
	delete(m.restoredAt, id)
}

// learnFromLists records which instances put a list in force that shows the departure.
func (m *departureModel) learnFromLists() {
	for _, id := range m.order {
		document, ok := m.instances[id].spreader.Get(descriptor.KindBackends, "ledger")
		i := slices.IndexFunc(document.Backends, func(b descriptor.Backend) bool { return b.ID == departed })
		switch {
		case !ok:
		case i >= 0:
			delete(m.lacking, id)
			m.learnt[id] = m.learnt[id] || document.Backends[i].Leaving
		case m.lacking[id].IsZero():
			m.lacking[id] = m.now
		}
		if !m.lacking[id].IsZero() && !m.now.Before(m.restoredAt[id]) {
			m.learnt[id] = true
		}
	}
}

// answerFrom records that the store answered an instance, which the others may hear of.
func (m *departureModel) answerFrom(id string) {
	for _, other := range m.order {
		if m.now.Sub(m.lastAnswer(other)) >= modelOutage {
			m.restoredAt[other] = m.now.Add(modelRestore)
		}
	}
	m.answeredAt[id] = m.now
}

// lastAnswer returns when the store last answered an instance. One that started may know only
// the oldest such time of another one.
func (m *departureModel) lastAnswer(id string) time.Time {
	if at, ok := m.answeredAt[id]; ok {
		return at
	}
	last := m.now
	for _, at := range m.answeredAt {
		last = minTime(last, at)
	}
	return last
}

func minTime(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// readList gives an instance the list of a revision, which may be an old one.
func (m *departureModel) readList(id string, revision uint64) {
	document := descriptor.Document{Kind: descriptor.KindBackends, Name: "ledger", Revision: revision, Backends: m.list(revision)}
	if m.rule.oldLists {
		held, _ := m.instances[id].spreader.Get(descriptor.KindBackends, "ledger")
		document.Revision = held.Revision + 1
	}
	if s, ok := m.instances[id].served.Get("ledger"); ok && m.rule.forgets && !s.Busy() {
		m.instances[id].departed = balancer.NewDeparted()
		m.instances[id].served.Delete("ledger")
		m.instances[id].updateServing("ledger")
	}
	e := descriptor.DocumentsRead{At: m.now, Kind: descriptor.KindBackends, Complete: true, Documents: []descriptor.Document{document}}
	if revision == m.revision {
		m.answerFrom(id)
		e.AsOf = m.now
		m.step(id, descriptor.DocumentsRead{At: m.now, AsOf: m.now, Kind: descriptor.KindRouting, Complete: true, Documents: []descriptor.Document{
			{Kind: descriptor.KindRouting, Name: "all", Revision: 1, Routing: new(routingOf(1))},
		}})
	}
	m.step(id, e)
}

// serve gives an instance requests and answers them and all others that are open there.
func (m *departureModel) serve(id string, requests, answer int) {
	for range requests {
		m.next++
		m.step(id, descriptor.Arrived{
			At: m.now, Request: m.next, Service: "ledger", Class: "r0", Caller: "c", Fingerprint: uint64(m.next),
			Replayable: true, Deadline: m.now.Add(modelWait / 2),
		})
	}
	for len(m.open[id]) > 0 {
		d := m.open[id][0]
		m.open[id] = m.open[id][1:]
		m.answer(id, d, answer)
	}
}

// answer plays the backend server that got a request.
func (m *departureModel) answer(id string, d descriptor.Dispatch, answer int) {
	health := descriptor.HealthUnknown
	if d.Backend.ID == departed && !m.rule.silent && answer != refusesConnections {
		health = descriptor.HealthDraining
	}
	fault := descriptor.FaultShed
	if answer == refusesConnections {
		fault = descriptor.FaultConnect
	}
	if d.Backend.ID == departed && answer != answersLeaving {
		m.learnFromAnswer(id, health)
		m.step(id, descriptor.Failed{At: m.now, Request: d.Request, Attempt: d.Attempt, Fault: fault, Health: health, BodyReplayable: true})
		return
	}
	m.learnFromAnswer(id, health)
	m.step(id, descriptor.Answered{At: m.now, Request: d.Request, Attempt: d.Attempt, Status: 200, Health: health})
	m.step(id, descriptor.Finished{At: m.now, Request: d.Request, Attempt: d.Attempt})
}

func (m *departureModel) learnFromAnswer(id string, health descriptor.Health) {
	if health == descriptor.HealthDraining {
		m.learnt[id] = true
	}
}

// handle records what is sent to the backend servers.
func (m *departureModel) handle(id string, a descriptor.Action) {
	switch a := a.(type) {
	case descriptor.Dispatch:
		if a.Backend.ID == departed && m.learnt[id] {
			m.violate(fmt.Errorf("%w: request %d at %s", errWorkAfterDeparture, a.Request, id))
		}
		m.open[id] = append(m.open[id], a)
	case descriptor.Probe:
		// Its address accepts connections, since another backend server may have it.
		m.step(id, descriptor.Probed{At: m.now, Service: a.Service, Backend: a.Backend.ID, Suspected: a.Suspected, Alive: true})
	}
}

func (m *departureModel) Digest() uint64 {
	return m.digestOf(m.learnt, m.lacking, m.answeredAt, m.restoredAt)
}

// Settle sends more work to each instance than the other backend server takes, now and when
// what instances only assume for a time is over.
func (m *departureModel) Settle() error {
	for range 2 {
		for _, id := range m.order {
			m.serve(id, 3, refusesConnections)
		}
		m.wait(modelWait)
	}
	return m.violation
}

// TestModelDepartures guards against work for a backend server that left, at an instance that
// knows of it, in any order of late lists, reports, answers and a restart.
func TestModelDepartures(t *testing.T) {
	for name, c := range map[string]modelCase{
		"two instances":         {start: startDepartures(departureRule{instances: 2}), depth: 3, walks: 100, length: 10},
		"two instances, silent": {start: startDepartures(departureRule{instances: 2, silent: true}), depth: 3, walks: 50, length: 10},
		"three instances":       {start: startDepartures(departureRule{instances: 3}), depth: 2, walks: 50, length: 10},
	} {
		t.Run(name, func(t *testing.T) { c.holds(t) })
	}
	t.Run("a report before the service is known", func(t *testing.T) {
		// Found by a walk from seed 61.
		trace := []modelStep{
			{action: actArrive, id: "entry-0", n: answersLeaving},
			{action: actDeliver, id: "entry-1", from: "entry-0", message: descriptor.TypeOutcomes},
			{action: actRestart, id: "entry-0"},
			{action: actWait},
			{action: actDeliver, id: "entry-0", from: "entry-1", message: descriptor.TypeSuspicionList},
			{action: actRead, id: "entry-0", n: 1},
		}
		asserter.NoError(t, "replay", explorer.Replay(startDepartures(departureRule{instances: 2}), trace))
	})
	for name, rule := range map[string]departureRule{
		"broken: lists in any order":            {instances: 2, silent: true, oldLists: true},
		"broken: answers forgotten with a list": {instances: 2, forgets: true},
		"broken: reports of others not used":    {instances: 2, deaf: true},
	} {
		t.Run(name, func(t *testing.T) {
			modelCase{start: startDepartures(rule), depth: 4}.breaks(t, errWorkAfterDeparture)
		})
	}
}
