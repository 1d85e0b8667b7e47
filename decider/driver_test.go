package decider

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"monsoonswitch/asserter"
	"monsoonswitch/declarer"
	"monsoonswitch/descriptor"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// driver runs deciders in memory with a simulated clock. It is a second front end
// beside the HTTP one. Messages, writes and answers take no simulated time.
type driver struct {
	t         *testing.T
	now       time.Time
	instances map[string]*Standard
	order     []string
	links     map[[2]string]bool
	store     map[string]descriptor.Document
	tallies   map[string][]descriptor.Tally
	versions  map[string]uint64
	revision  uint64
	outage    bool
	// log holds every event and action of the first instance as text.
	log      strings.Builder
	recorded []descriptor.Event
	// dispatched and refused list the decisions about requests.
	dispatched []descriptor.Dispatch
	refused    []descriptor.Refuse
	writes     []descriptor.Action
	left       map[string]bool
	claims     map[string]bool
	// onSend takes the messages instead of their receivers, unless it is nil. Nothing is
	// logged then.
	onSend func(from string, a descriptor.Send)
}

func newDriver(t *testing.T, n int) *driver {
	d := &driver{
		t:         t,
		now:       time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC),
		instances: make(map[string]*Standard),
		links:     make(map[[2]string]bool),
		store:     make(map[string]descriptor.Document),
		tallies:   make(map[string][]descriptor.Tally),
		versions:  make(map[string]uint64),
		left:      make(map[string]bool),
		claims:    make(map[string]bool),
	}
	for i := range n {
		d.add(fmt.Sprintf("entry-%d", i))
	}
	return d
}

func (d *driver) add(id string) {
	d.order = append(d.order, id)
	d.instances[id] = NewStandard(d.options(id), d.now)
}

func (d *driver) options(id string) Options {
	return Options{
		Self:     descriptor.Member{ID: id, Incarnation: 1, Domain: "worcester", Public: id + ":80", Inner: id + ":81"},
		Seed:     1,
		PeerWait: time.Second,
	}
}

func testDeclaration(state declarer.State) declarer.Service {
	return declarer.Service{
		Name:  "billing",
		Floor: 2,
		State: state,
		Classes: []declarer.Class{
			{Name: "read", Target: 400 * time.Millisecond, Idempotent: true},
			{Name: "invoice", Target: time.Second},
		},
		Routes: []declarer.Route{
			{Name: "show", Methods: []string{"GET"}, Path: "/invoices", Class: "read"},
			{Name: "close", Methods: []string{"POST"}, Path: "/invoices", Class: "invoice"},
		},
	}
}

// configure builds a declaration and a list of backend servers and gives them to
// one instance, as if that instance had read them from the store.
func (d *driver) configure(to string, state declarer.State, backends int) {
	d.revision++
	s := testDeclaration(state)
	documents := []descriptor.Document{{Kind: descriptor.KindService, Name: s.Name, Revision: d.revision, At: d.now, Service: &s}}
	var list []descriptor.Backend
	for i := range backends {
		list = append(list, descriptor.Backend{ID: fmt.Sprintf("b%d", i), Address: fmt.Sprintf("b%d:80", i), Slots: 3})
	}
	documents = append(documents, descriptor.Document{Kind: descriptor.KindBackends, Name: s.Name, Revision: d.revision, Backends: list})
	d.step(to, descriptor.DocumentsRead{At: d.now, Documents: documents, Complete: true, Kind: descriptor.KindService})
}

// step gives one event to an instance and executes the actions that follow.
func (d *driver) step(id string, e descriptor.Event) {
	instance := d.instances[id]
	if instance == nil || d.left[id] {
		return
	}
	actions := append([]descriptor.Action(nil), instance.Step(e)...)
	if id == d.order[0] && d.onSend == nil {
		d.recorded = append(d.recorded, e)
		d.write("event", e)
		for _, a := range actions {
			d.write("  action", a)
		}
	}
	for _, a := range actions {
		d.execute(id, a)
	}
}

func (d *driver) write(kind string, v any) {
	data, err := json.Marshal(v)
	asserter.NoError(d.t, "encode", err)
	if s, ok := v.(descriptor.Send); ok {
		kind += " " + strings.TrimPrefix(fmt.Sprintf("%T", s.Message), "descriptor.")
	}
	fmt.Fprintf(&d.log, "%s %s %s\n", kind, strings.TrimPrefix(fmt.Sprintf("%T", v), "descriptor."), data)
}

func (d *driver) execute(id string, action descriptor.Action) {
	switch a := action.(type) {
	case descriptor.Connect:
		for _, p := range a.Peers {
			d.link(id, p.ID)
		}
	case descriptor.Send:
		if d.onSend != nil {
			d.onSend(id, a)
			return
		}
		d.step(a.To.ID, descriptor.Received{At: d.now, From: id, Message: a.Message})
	case descriptor.Dispatch:
		d.dispatched = append(d.dispatched, a)
	case descriptor.Refuse:
		d.refused = append(d.refused, a)
	case descriptor.Write:
		d.writes = append(d.writes, a)
		d.step(id, d.put(a))
	case descriptor.WriteTallies:
		d.step(id, d.putTallies(a))
	case descriptor.WriteClaim:
		d.step(id, d.claim(a))
	case descriptor.ShutdownComplete:
		d.left[id] = true
	}
}

func (d *driver) link(from, to string) {
	if d.links[[2]string{from, to}] || d.links[[2]string{to, from}] || d.instances[to] == nil {
		return
	}
	d.links[[2]string{from, to}] = true
	a, b := d.instances[from].gossiper.Self(), d.instances[to].gossiper.Self()
	d.step(from, descriptor.LinkOpened{At: d.now, Peer: b})
	d.step(to, descriptor.LinkOpened{At: d.now, Peer: a})
}

// put executes a write to the simulated store by compare-and-swap.
func (d *driver) put(a descriptor.Write) descriptor.Written {
	e := descriptor.Written{At: d.now, Write: a.Write}
	key := a.Document.Kind.String() + "/" + a.Document.Name
	current := d.store[key]
	switch {
	case d.outage:
		e.Result = descriptor.WriteUnavailable
	case current.Revision != a.Expect:
		e.Result = descriptor.WriteConflict
		e.Current = current
	default:
		d.revision++
		a.Document.Revision = d.revision
		d.store[key] = a.Document
		e.Revision = d.revision
	}
	return e
}

func (d *driver) putTallies(a descriptor.WriteTallies) descriptor.Written {
	e := descriptor.Written{At: d.now, Write: a.Write}
	switch {
	case d.outage:
		e.Result = descriptor.WriteUnavailable
	case d.versions[a.Service] != a.Expect:
		e.Result = descriptor.WriteConflict
		e.Revision = d.versions[a.Service]
		e.Tallies = d.tallies[a.Service]
	default:
		d.revision++
		d.versions[a.Service] = d.revision
		d.tallies[a.Service] = a.Tallies
		e.Revision = d.revision
	}
	return e
}

func (d *driver) claim(a descriptor.WriteClaim) descriptor.Written {
	e := descriptor.Written{At: d.now, Write: a.Write}
	key := a.Service + "/" + a.Key
	switch {
	case d.outage:
		e.Result = descriptor.WriteUnavailable
	case d.claims[key]:
		e.Result = descriptor.WriteConflict
	default:
		d.claims[key] = true
	}
	return e
}

// run advances the clock by span and ticks every instance each 50 ms.
func (d *driver) run(span time.Duration) {
	for end := d.now.Add(span); d.now.Before(end); {
		d.now = d.now.Add(50 * time.Millisecond)
		for _, id := range d.order {
			d.step(id, descriptor.Ticked{At: d.now})
		}
	}
}

// arrive gives a request to an instance.
func (d *driver) arrive(to string, id descriptor.RequestID, class, key string) {
	d.step(to, descriptor.Arrived{
		At:          d.now,
		Request:     id,
		Service:     "billing",
		Class:       class,
		Caller:      "c",
		Key:         key,
		Fingerprint: uint64(id),
		Replayable:  true,
	})
}

// serve answers the newest dispatch of a request.
func (d *driver) serve(at string, id descriptor.RequestID) {
	for i := len(d.dispatched) - 1; i >= 0; i-- {
		p := d.dispatched[i]
		if p.Request != id {
			continue
		}
		d.step(at, descriptor.Answered{At: d.now, Request: id, Attempt: p.Attempt, Status: 200})
		d.step(at, descriptor.Finished{At: d.now, Request: id, Attempt: p.Attempt, Bytes: 10})
		return
	}
	d.t.Fatalf("request %d: got no dispatch, want one", id)
}

func (d *driver) dispatches(id descriptor.RequestID) int {
	n := 0
	for _, p := range d.dispatched {
		if p.Request == id {
			n++
		}
	}
	return n
}

func (d *driver) refusal(id descriptor.RequestID) descriptor.Refuse {
	for _, r := range d.refused {
		if r.Request == id {
			return r
		}
	}
	return descriptor.Refuse{Reason: -1}
}

// golden compares got with a golden file line by line.
func golden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name+".golden")
	if *update {
		asserter.NoError(t, "write golden file", os.WriteFile(path, []byte(got), 0o644))
	}
	want, err := os.ReadFile(path)
	asserter.NoError(t, "read golden file", err)
	gotLines, wantLines := strings.Split(got, "\n"), strings.Split(string(want), "\n")
	for i := range min(len(gotLines), len(wantLines)) {
		if gotLines[i] != wantLines[i] {
			t.Fatalf("%s line %d:\ngot  %s\nwant %s", path, i+1, gotLines[i], wantLines[i])
		}
	}
	asserter.Equal(t, "lines", len(gotLines), len(wantLines))
}
