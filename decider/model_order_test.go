package decider

import (
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"monsoonswitch/declarer"
	"monsoonswitch/descriptor"
	"monsoonswitch/explorer"
)

var (
	errOlderVersion = errors.New("an older version after a newer one")
	errOtherRoutes  = errors.New("other routes than those of the version")
	errNotNewest    = errors.New("not the newest version at the end")
)

// orderRule is what a model of the configuration order varies.
type orderRule struct {
	instances int
	// byArrival is set if versions are put in force in the order in which they arrive, which is
	// wrong.
	byArrival bool
	// parts is set if a difference is put in force as if it were complete, which is wrong.
	parts bool
	// unread is set if nobody reads the store at the end, which is wrong.
	unread bool
}

// modelVersions are the versions that the operators write, in uneven steps.
var modelVersions = []uint64{1, 4, 9}

// orderModel is a fleet to which new versions of the routing come. Any instance may read any
// version that was written before, and documents may be late or lost.
//
// What must hold: in one incarnation of an instance neither the routing in force nor the one that
// its traffic goroutines read is followed by an older one; it has the routes of its version; and
// when the store answers and messages arrive again, all instances have the newest version within
// settleTime.
type orderModel struct {
	*modelFleet
	rule orderRule
	// written is the number of versions written.
	written int
	// highest holds the newest version that was in force at each instance in its incarnation.
	highest map[string]uint64
}

// settleTime is a bound on the time until all instances have the newest version.
const settleTime = 3 * time.Second

func startOrder(rule orderRule) func() explorer.System[modelStep] {
	return func() explorer.System[modelStep] {
		m := &orderModel{rule: rule, written: 1, highest: make(map[string]uint64)}
		holds := func(message descriptor.Message) bool {
			_, ok := message.(descriptor.Documents)
			return ok
		}
		m.modelFleet = newModelFleet(rule.instances, func(f *routedFleet) { f.routing = modelRouting }, holds)
		m.onAction = m.handle
		return m
	}
}

// modelRouting returns the routing of a version. Each version removes a route, adds one and
// changes one, and some stay.
func modelRouting(version uint64) declarer.Routing {
	r := declarer.Routing{Version: version}
	for _, name := range []string{"a", "b", "c", "d", "e", "f", fmt.Sprintf("v%d", version)} {
		r.Routes = append(r.Routes, declarer.HostRoute{
			Host: "a.example", Path: "/" + name + "/", Parts: []declarer.Part{{Service: "ledger", Weight: 1}},
			Class: declarer.Class{Name: name, Target: time.Second},
		})
	}
	r.Routes[0].Class.Timeout = time.Duration(version) * time.Second
	return r
}

func (m *orderModel) Steps() []modelStep {
	list := m.heldSteps()
	for _, id := range m.order {
		for n := range m.written {
			list = append(list, modelStep{action: actRead, id: id, n: n})
		}
		if m.restarts == 0 {
			list = append(list, modelStep{action: actRestart, id: id})
		}
	}
	if m.written < len(modelVersions) {
		list = append(list, modelStep{action: actWrite})
	}
	return append(list, modelStep{action: actWait})
}

func (m *orderModel) Do(s modelStep) {
	switch s.action {
	case actDeliver:
		m.receive(m.asComplete(m.take(s)))
	case actRead:
		m.readVersion(s.id, modelVersions[s.n])
	case actRestart:
		delete(m.highest, s.id)
		m.restartInstance(s.id)
	case actWrite:
		m.version = modelVersions[m.written]
		m.written++
	case actWait:
		m.wait(modelWait)
	}
	m.settleMessages()
	for _, id := range m.order {
		m.checkInForce(id)
	}
}

// asComplete turns the differences in a message into complete documents if the rule says so.
func (m *orderModel) asComplete(message routedMessage) routedMessage {
	documents, ok := message.message.(descriptor.Documents)
	if !ok || !m.rule.parts {
		return message
	}
	documents.List = slices.Clone(documents.List)
	for i := range documents.List {
		documents.List[i].Base = 0
	}
	message.message = documents
	return message
}

// readVersion gives an instance a version that was written at some time.
func (m *orderModel) readVersion(id string, version uint64) {
	if version == m.version && !m.rule.byArrival {
		m.read(id, version)
		return
	}
	routing := modelRouting(version)
	document := descriptor.Document{Kind: descriptor.KindRouting, Name: "all", Revision: version, Routing: &routing}
	if m.rule.byArrival {
		held, _ := m.instances[id].spreader.Get(descriptor.KindRouting, "all")
		document.Revision = held.Revision + 1
	}
	m.step(id, descriptor.DocumentsRead{At: m.now, Kind: descriptor.KindRouting, Complete: true, Documents: []descriptor.Document{document}})
}

// checkInForce checks the routing of an instance.
func (m *orderModel) checkInForce(id string) {
	index := m.instances[id].routes
	if index == nil {
		return
	}
	got := index.Routing()
	m.checkVersion(id, got.Version)
	want := modelRouting(got.Version)
	slices.SortFunc(want.Routes, func(a, b declarer.HostRoute) int { return strings.Compare(a.Class.Name, b.Class.Name) })
	if !reflect.DeepEqual(got, want) {
		m.violate(fmt.Errorf("%w %d at %s: got %d routes, want %d", errOtherRoutes, got.Version, id, len(got.Routes), len(want.Routes)))
	}
}

func (m *orderModel) checkVersion(id string, version uint64) {
	if version < m.highest[id] {
		m.violate(fmt.Errorf("%w: %d after %d at %s", errOlderVersion, version, m.highest[id], id))
	}
	m.highest[id] = max(m.highest[id], version)
}

// handle checks what the traffic goroutines read.
func (m *orderModel) handle(id string, a descriptor.Action) {
	if p, ok := a.(descriptor.Publish); ok && p.Directory.Routes != nil {
		m.checkVersion(id, p.Directory.Routes.Routing().Version)
	}
}

func (m *orderModel) Digest() uint64 { return m.digestOf(m.written, m.highest) }

// Settle delivers what is held and lets those that watch the store read it.
func (m *orderModel) Settle() error {
	m.holds = func(descriptor.Message) bool { return false }
	for _, message := range m.held {
		m.receive(message)
	}
	m.settleMessages()
	m.reading = !m.rule.unread
	m.wait(settleTime)
	for _, id := range m.order {
		m.checkInForce(id)
		if got := m.inForce(id); got != m.version {
			m.violate(fmt.Errorf("%w: got %d, want %d at %s", errNotNewest, got, m.version, id))
		}
	}
	return m.violation
}

// TestModelOrder guards against an older configuration after a newer one, and against instances
// that are left behind, in any order of reads, documents and a restart.
func TestModelOrder(t *testing.T) {
	for name, c := range map[string]modelCase{
		"two instances":   {start: startOrder(orderRule{instances: 2}), depth: 4, walks: 50, length: 12},
		"three instances": {start: startOrder(orderRule{instances: 3}), depth: 3, walks: 50, length: 12},
	} {
		t.Run(name, func(t *testing.T) { c.holds(t) })
	}
	for name, c := range map[string]struct {
		rule orderRule
		want error
	}{
		"broken: versions by arrival":      {orderRule{instances: 2, byArrival: true}, errOlderVersion},
		"broken: nobody reads the store":   {orderRule{instances: 2, unread: true}, errNotNewest},
		"broken: a difference for a whole": {orderRule{instances: 2, parts: true}, errOtherRoutes},
	} {
		t.Run(name, func(t *testing.T) { modelCase{start: startOrder(c.rule), depth: 5}.breaks(t, c.want) })
	}
}
