package balancer

import (
	"testing"
	"time"

	"monsoonswitch/asserter"
	"monsoonswitch/descriptor"
)

// addEvidence gives the balancer strong evidence against backend servers, from its own
// observations and from those of another instance.
func (x *fixture) addEvidence(ids ...string) {
	m := descriptor.Evidence{Service: "fieldbook"}
	for _, id := range ids {
		p := x.b.backends.Position(id)
		_, s := x.b.backends.At(p)
		s.evidence = s.evidence.WithSteps(40, 0)
		x.b.backends.SetAt(p, s)
		m.Scores = append(m.Scores, descriptor.Score{Backend: id, Value: 40, Recent: 9})
	}
	x.b.HandleEvidence(x.now, "entry-1", m)
}

// proposal returns the pending write of the set of ejections, if any.
func (x *fixture) proposal() *descriptor.Write {
	for _, a := range x.actions {
		if w, ok := a.(descriptor.Write); ok {
			return &w
		}
	}
	return nil
}

// accept accepts a proposal as the store would.
func (x *fixture) accept(w *descriptor.Write, revision uint64) {
	d, ok := x.b.Written(descriptor.Written{At: x.now, Write: w.Write, Revision: revision})
	asserter.True(x.t, "accepted", ok)
	x.b.SetEjections(x.now, d)
	x.take()
}

// TestFloor guards against ejections that leave fewer backend servers than the floor,
// also when others go down later or another instance ejects some at the same time.
func TestFloor(t *testing.T) {
	t.Run("a proposal keeps the floor", func(t *testing.T) {
		x := newFixture(t, 2, 6, 3)
		x.addEvidence("b0", "b1")
		x.run(50 * time.Millisecond)
		w := x.proposal()
		asserter.True(t, "proposed", w != nil)
		asserter.AtMost(t, "ejections proposed", len(w.Document.Ejections), 2)
	})
	t.Run("backend servers that are down are no capacity", func(t *testing.T) {
		x := newFixture(t, 2, 6, 3)
		for _, id := range []string{"b4", "b5"} {
			x.b.Probed(descriptor.Probed{At: x.now, Backend: id})
		}
		x.take()
		x.addEvidence("b0")
		x.run(50 * time.Millisecond)
		asserter.True(t, "nothing proposed", x.proposal() == nil)
		asserter.Equal(t, "reason", x.b.Dump(x.now).Refused, "floor")
	})
	t.Run("an ejection is lifted when capacity is lost later", func(t *testing.T) {
		x := newFixture(t, 2, 6, 3)
		x.addEvidence("b0", "b1")
		x.run(50 * time.Millisecond)
		x.accept(x.proposal(), 7)
		asserter.Equal(t, "ejected", ejectedCount(x), 2)
		x.b.Probed(descriptor.Probed{At: x.now, Backend: "b5"})
		x.run(50 * time.Millisecond)
		asserter.Equal(t, "ejected with one down", ejectedCount(x), 1)
	})
	t.Run("an older set never replaces a newer one", func(t *testing.T) {
		x := newFixture(t, 2, 6, 3)
		until := x.now.Add(time.Minute)
		x.b.SetEjections(x.now, descriptor.Document{Revision: 9, Ejections: []descriptor.Ejection{{Backend: "b0", Until: until}}})
		got := x.b.SetEjections(x.now, descriptor.Document{Revision: 8})
		asserter.Equal(t, "took the older set", got, false)
		asserter.Equal(t, "ejected", ejectedCount(x), 1)
	})
	t.Run("a conflict applies the set of the other instance", func(t *testing.T) {
		x := newFixture(t, 2, 6, 3)
		x.addEvidence("b0")
		x.run(50 * time.Millisecond)
		w := x.proposal()
		current := descriptor.Document{Revision: 4, Ejections: []descriptor.Ejection{
			{Backend: "b2", Until: x.now.Add(time.Minute)}, {Backend: "b3", Until: x.now.Add(time.Minute)},
		}}
		d, ok := x.b.Written(descriptor.Written{At: x.now, Write: w.Write, Result: descriptor.WriteConflict, Current: current})
		asserter.True(t, "has a set", ok)
		x.b.SetEjections(x.now, d)
		x.run(100 * time.Millisecond)
		asserter.True(t, "no third ejection", x.proposal() == nil)
		asserter.Equal(t, "reason", x.b.Dump(x.now).Refused, "floor")
	})
	t.Run("a set that the store lost is written again", func(t *testing.T) {
		x := newFixture(t, 2, 6, 3)
		x.addEvidence("b0")
		x.run(50 * time.Millisecond)
		x.accept(x.proposal(), 50)
		x.b.StoreRestored()
		x.run(50 * time.Millisecond)
		w := x.proposal()
		asserter.True(t, "written", w != nil)
		asserter.Equal(t, "ejections", len(w.Document.Ejections), 1)
		older := descriptor.Document{Revision: 30}
		d, _ := x.b.Written(descriptor.Written{At: x.now, Write: w.Write, Result: descriptor.WriteConflict, Revision: 30, Current: older})
		x.b.SetEjections(x.now, d)
		x.take()
		asserter.Equal(t, "ejected after the conflict", ejectedCount(x), 1)
		x.run(50 * time.Millisecond)
		w = x.proposal()
		asserter.True(t, "written after the conflict", w != nil)
		asserter.Equal(t, "expected", w.Expect, uint64(30))
		x.accept(w, descriptor.StampRevision(1, 31))
		x.run(50 * time.Millisecond)
		asserter.True(t, "written no more", x.proposal() == nil)
	})
	t.Run("without the store the backend server is avoided", func(t *testing.T) {
		x := newFixture(t, 2, 6, 3)
		x.addEvidence("b0")
		x.run(50 * time.Millisecond)
		_, _ = x.b.Written(descriptor.Written{At: x.now, Write: x.proposal().Write, Result: descriptor.WriteUnavailable})
		x.take()
		asserter.Equal(t, "reason", x.b.Dump(x.now).Refused, "store unavailable")
		for range 5 {
			_, p := x.arrive("visit", nil)
			asserter.True(t, "elsewhere", p != nil && p.Backend.ID != "b0")
		}
	})
}

func ejectedCount(x *fixture) int {
	n := 0
	for _, s := range x.b.backends.All {
		if s.mode == modeEjected {
			n++
		}
	}
	return n
}

// TestEjectionDecision guards against ejecting a healthy backend server because of a
// fault of this instance, of its links or of the whole service, and against keeping a
// gray one.
func TestEjectionDecision(t *testing.T) {
	t.Run("a fault seen by one of two instances ejects nothing", func(t *testing.T) {
		x := newFixture(t, 2, 6, 3)
		p := x.b.backends.Position("b0")
		_, s := x.b.backends.At(p)
		s.evidence = s.evidence.WithSteps(40, 0)
		x.b.backends.SetAt(p, s)
		x.b.HandleEvidence(x.now, "entry-1", descriptor.Evidence{Scores: []descriptor.Score{{Backend: "b0", Recent: 20}}})
		x.run(100 * time.Millisecond)
		asserter.True(t, "nothing proposed", x.proposal() == nil)
		asserter.True(t, "avoided by this instance", x.b.Avoids("b0"))
	})
	t.Run("no backend server is ejected if all are slow", func(t *testing.T) {
		x := newFixture(t, 2, 6, 3)
		x.addEvidence("b0", "b1", "b2", "b3", "b4", "b5")
		x.run(100 * time.Millisecond)
		asserter.True(t, "nothing proposed", x.proposal() == nil)
	})
	t.Run("open requests of a stalled backend server count as evidence", func(t *testing.T) {
		x := newFixture(t, 1, 6, 3)
		x.warm()
		var other []descriptor.Dispatch
		for range 18 {
			_, p := x.arrive("booking", nil)
			if p.Backend.ID != "b0" {
				other = append(other, *p)
			}
		}
		asserter.Equal(t, "work elsewhere", len(other), 15)
		for _, p := range other {
			x.serve(p, time.Millisecond, 200)
		}
		x.run(15 * time.Second)
		asserter.True(t, "proposed", x.proposal() != nil)
		asserter.Equal(t, "backend", x.proposal().Document.Ejections[0].Backend, "b0")
	})
	t.Run("repeatedly broken connections count as evidence", func(t *testing.T) {
		x := newFixture(t, 1, 6, 3)
		x.warm()
		for range 400 {
			_, p := x.arrive("booking", nil)
			if p.Backend.ID != "b0" {
				x.serve(*p, 5*time.Millisecond, 200)
				continue
			}
			x.fail(*p, descriptor.FaultBroken)
			x.b.Probed(descriptor.Probed{At: x.now, Backend: "b0", Suspected: true, Alive: true})
		}
		x.run(100 * time.Millisecond)
		asserter.True(t, "avoided", x.b.Avoids("b0"))
	})
	t.Run("no backend server is ejected after a pause of this process", func(t *testing.T) {
		x := newFixture(t, 1, 6, 3)
		x.warm()
		for range 3 {
			x.arrive("booking", nil)
		}
		x.now = x.now.Add(time.Minute)
		x.run(100 * time.Millisecond)
		asserter.True(t, "nothing proposed", x.proposal() == nil)
	})
	t.Run("a trial ends in return or in a longer hold-off", func(t *testing.T) {
		x := newFixture(t, 2, 6, 3)
		x.addEvidence("b0")
		x.run(50 * time.Millisecond)
		x.accept(x.proposal(), 3)
		x.run(minHoldOff + 100*time.Millisecond)
		_, s := x.b.backends.At(x.b.backends.Position("b0"))
		asserter.Equal(t, "mode", s.mode, modeTrial)
		x.addEvidence("b0")
		x.run(50 * time.Millisecond)
		again := x.proposal()
		asserter.True(t, "ejected again", again != nil)
		e := again.Document.Ejections[0]
		asserter.Equal(t, "strikes", e.Strikes, 2)
		asserter.Equal(t, "hold-off", e.Until.Sub(e.Since), 2*minHoldOff)
	})
}
