package storer_test

import (
	"context"
	"testing"
	"time"

	"monsoonswitch/asserter"
	"monsoonswitch/descriptor"
	"monsoonswitch/storer"
)

const restoredDeclaration = `{"Name":"a","Floor":1,"Classes":[{"Name":"c","Target":1000}],"Routes":[{"Name":"r","Methods":["POST"],"Path":"/","Class":"c"}]}`

// documents keeps the last document of each kind that a follower posted.
type documents map[descriptor.Kind]descriptor.Document

// read takes events until the last document of a kind meets a condition, and returns it.
func (l documents) read(t *testing.T, out sink, kind descriptor.Kind, meets func(descriptor.Document) bool) descriptor.Document {
	t.Helper()
	for {
		if d, ok := l[kind]; ok && meets(d) {
			return d
		}
		select {
		case event := <-out.events:
			if e, ok := event.(descriptor.DocumentsRead); ok {
				for _, d := range e.Documents {
					l[d.Kind] = d
				}
			}
		case <-time.After(10 * time.Second):
			t.Fatalf("got %v of %v", l[kind].Revision, kind)
		}
	}
}

// TestRestoredStore guards against documents of a restored store that are ordered by a revision
// which the store has assigned twice.
func TestRestoredStore(t *testing.T) {
	ctx := context.Background()
	s, c := startPlatform(t)
	out := sink{make(chan descriptor.Event, 1000)}
	f := storer.NewFollower(c, []storer.Feed{storer.Declarations()}, storer.Pace{Wait: 200 * time.Millisecond}, out, out, nil)
	item, err := c.Put(ctx, storer.ServiceKey("a"), []byte(restoredDeclaration), 0, 0)
	asserter.NoError(t, "put", err)
	s.Register("a", descriptor.Backend{ID: "x", Address: "127.0.0.1:1", Slots: 2})
	saved := s.Copy()
	later, err := c.Put(ctx, storer.ServiceKey("a"), []byte(restoredDeclaration), item.Stamp(), 0)
	asserter.NoError(t, "put again", err)
	for range 5 {
		s.Register("a", descriptor.Backend{ID: "y", Address: "127.0.0.1:2", Slots: 2})
		s.Deregister("a", "y")
	}
	f.SetActive(true)
	defer f.SetActive(false)
	posted := documents{}
	whatever := func(descriptor.Document) bool { return true }
	declared := posted.read(t, out, descriptor.KindService, whatever)
	listed := posted.read(t, out, descriptor.KindBackends, whatever)
	s.Restore(saved)
	t.Run("a list of the copy is newer", func(t *testing.T) {
		posted.read(t, out, descriptor.KindBackends, func(d descriptor.Document) bool { return d.Revision > listed.Revision })
	})
	t.Run("a declaration of the copy stays older", func(t *testing.T) {
		posted.read(t, out, descriptor.KindService, func(d descriptor.Document) bool { return d.Revision < declared.Revision })
	})
	t.Run("a write that expects a lost revision is refused, also if its number is assigned again", func(t *testing.T) {
		again, err := c.Put(ctx, storer.ServiceKey("a"), []byte(restoredDeclaration), item.Stamp(), 0)
		asserter.NoError(t, "put", err)
		asserter.Equal(t, "number", again.Revision, later.Revision)
		_, err = c.Put(ctx, storer.ServiceKey("a"), []byte(restoredDeclaration), later.Stamp(), 0)
		asserter.ErrorIs(t, "put", err, storer.ErrConflict)
		posted.read(t, out, descriptor.KindService, func(d descriptor.Document) bool { return d.Revision > declared.Revision })
		_, err = c.Put(ctx, storer.ServiceKey("a"), []byte(restoredDeclaration), again.Stamp(), 0)
		asserter.NoError(t, "put with the revision of this era", err)
	})
}

// TestLostTallies guards against a write that is repeated for ever because the store lost the value
// that it expects.
func TestLostTallies(t *testing.T) {
	s, c := startPlatform(t)
	saved := s.Copy()
	out := sink{make(chan descriptor.Event, 100)}
	w := storer.NewWriter(c, out, nil)
	defer w.Close()
	write := func(id descriptor.WriteID, expect uint64) descriptor.Written {
		w.Do(descriptor.WriteTallies{Write: id, Service: "a", Tallies: []descriptor.Tally{{Service: "a", Instance: "i"}}, Expect: expect})
		for {
			if e, ok := (<-out.events).(descriptor.Written); ok && e.Write == id {
				return e
			}
		}
	}
	first := write(1, 0)
	asserter.Equal(t, "first", first.Result, descriptor.WriteAccepted)
	s.Restore(saved)
	lost := write(2, first.Revision)
	asserter.Equal(t, "after the restore", lost.Result, descriptor.WriteConflict)
	asserter.Equal(t, "revision", lost.Revision, uint64(0))
	again := write(3, lost.Revision)
	asserter.Equal(t, "again", again.Result, descriptor.WriteAccepted)
	asserter.True(t, "its revision is newer", again.Revision > first.Revision)
}
