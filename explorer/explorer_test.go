package explorer

import (
	"errors"
	"reflect"
	"strings"
	"testing"
	"time"

	"monsoonswitch/asserter"
)

var (
	errTogether = errors.New("both in the critical section")
	errStuck    = errors.New("one never gets in")
)

// gate is a system of two processes that enter and leave a section. A broken one looks whether
// the section is free and takes it in two steps.
type gate struct {
	broken bool
	// looked and inside hold the state of each process.
	looked, inside [2]bool
	entries        int
}

func startGate(broken bool) func() System[string] {
	return func() System[string] { return &gate{broken: broken} }
}

func (g *gate) Steps() []string {
	var list []string
	for i, name := range []string{"a", "b"} {
		switch {
		case g.inside[i]:
			list = append(list, name+" leaves")
		case g.looked[i]:
			list = append(list, name+" enters")
		case !g.inside[1-i] && (g.broken || !g.looked[1-i]):
			list = append(list, name+" looks")
		}
	}
	return list
}

func (g *gate) Do(step string) {
	i := int(step[0] - 'a')
	switch step[2:] {
	case "looks":
		g.looked[i] = true
	case "enters":
		g.inside[i], g.looked[i] = true, false
		g.entries++
	case "leaves":
		g.inside[i] = false
	}
}

func (g *gate) Digest() uint64 {
	state := *g
	state.entries = 0
	return digester.Sum(state)
}

func (g *gate) Check() error {
	if g.inside[0] && g.inside[1] {
		return errTogether
	}
	return nil
}

func (g *gate) Settle() error {
	if len(g.Steps()) == 0 {
		return errStuck
	}
	return nil
}

var digester = NewDigester()

func TestSearch(t *testing.T) {
	t.Run("all states are explored once", func(t *testing.T) {
		got := Search(startGate(false), Limits{Depth: 20})
		asserter.Equal(t, "violations", len(got.Violations), 0)
		// Nobody, and each of the two before it enters and inside.
		asserter.Equal(t, "states", got.States, 5)
		asserter.Equal(t, "depth", got.Depth, 2)
		asserter.True(t, "complete", got.Complete)
	})
	t.Run("a violation comes with a shortest trace", func(t *testing.T) {
		got := Search(startGate(true), Limits{Depth: 20})
		asserter.Equal(t, "violations", len(got.Violations), 1)
		v := got.Violations[0]
		asserter.ErrorIs(t, "violation", v.Err, errTogether)
		asserter.Equal(t, "steps", len(v.Trace), 4)
		asserter.ErrorIs(t, "replay", Replay(startGate(true), v.Trace), errTogether)
		asserter.True(t, "text names the steps", strings.Contains(v.String(), "4. "+v.Trace[3]))
	})
	t.Run("limits", func(t *testing.T) {
		got := Search(startGate(true), Limits{Depth: 3})
		asserter.Equal(t, "violations within three steps", len(got.Violations), 0)
		got = Search(startGate(false), Limits{Depth: 20, States: 2})
		asserter.Equal(t, "complete with too few states", got.Complete, false)
		got = Search(startGate(true), Limits{Depth: 20, Violations: 9})
		asserter.AtLeast(t, "violations", len(got.Violations), 1)
	})
}

func TestWalk(t *testing.T) {
	got := Walk(startGate(true), 1, 50, 30)
	asserter.Equal(t, "violations", len(got.Violations), 1)
	v := got.Violations[0]
	asserter.ErrorIs(t, "replay", Replay(startGate(true), v.Trace), errTogether)
	for i := range v.Trace {
		asserter.NoError(t, "replay of the shortened trace without a step", Replay(startGate(true), without(v.Trace, i)))
	}
	again := Walk(startGate(true), v.Seed, 1, 30)
	asserter.Equal(t, "trace of the same seed", again.Violations[0].Trace, v.Trace)
	asserter.Equal(t, "violations of the other", len(Walk(startGate(false), 1, 50, 30).Violations), 0)
}

func TestDigest(t *testing.T) {
	type node struct {
		name  string
		next  *node
		at    time.Time
		notes []string
		table map[string]int
		any   any
		call  func()
	}
	table := func(n int) map[string]int { return map[string]int{"x": 1, "y": 2, "z": n} }
	at := time.Unix(5, 0)
	base := func() *node { return &node{name: "a", at: at, table: table(3), any: 7, next: &node{name: "b"}} }
	equal := func(a, b any) bool { return digester.Sum(a) == digester.Sum(b) }
	asserter.True(t, "equal values", equal(base(), base()))
	for name, change := range map[string]func(*node){
		"text":      func(n *node) { n.name = "c" },
		"behind":    func(n *node) { n.next.name = "c" },
		"nil":       func(n *node) { n.next = nil },
		"time":      func(n *node) { n.at = at.Add(1) },
		"map":       func(n *node) { n.table = table(4) },
		"slice":     func(n *node) { n.notes = []string{""} },
		"interface": func(n *node) { n.any = "7" },
	} {
		t.Run(name, func(t *testing.T) {
			n := base()
			change(n)
			asserter.Equal(t, "equal", equal(base(), n), false)
		})
	}
	t.Run("what counts for nothing", func(t *testing.T) {
		n := base()
		n.at, n.call = at.UTC(), func() {}
		asserter.True(t, "zone and function", equal(base(), n))
		n.notes = []string{"x"}
		d := NewDigester(reflect.TypeFor[[]string]())
		asserter.Equal(t, "ignored type", d.Sum(n), d.Sum(base()))
	})
	t.Run("cycles end", func(t *testing.T) {
		n := base()
		n.next.next = n
		asserter.Equal(t, "equal to the one without", equal(base(), n), false)
	})
}
