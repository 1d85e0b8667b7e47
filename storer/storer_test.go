package storer_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"monsoonswitch/asserter"
	"monsoonswitch/descriptor"
	"monsoonswitch/imitator"
	"monsoonswitch/storer"
)

// startPlatform starts a stand-in of the platform and returns it with a client.
func startPlatform(t *testing.T) (*imitator.Store, *storer.Client) {
	store := imitator.NewStore()
	p, err := imitator.ServeStore(store, "127.0.0.1:0")
	asserter.NoError(t, "start", err)
	t.Cleanup(p.Close)
	return store, storer.NewClient(p.Address())
}

func TestCompareAndSwap(t *testing.T) {
	ctx := context.Background()
	t.Run("the second of two writers gets a conflict with the current value", func(t *testing.T) {
		_, c := startPlatform(t)
		first, err := c.Put(ctx, "k", []byte(`1`), 0, 0)
		asserter.NoError(t, "first", err)
		found, err := c.Put(ctx, "k", []byte(`2`), 0, 0)
		asserter.ErrorIs(t, "second", err, storer.ErrConflict)
		asserter.Equal(t, "found", string(found.Value), "1")
		_, err = c.Put(ctx, "k", []byte(`2`), first.Revision, 0)
		asserter.NoError(t, "third", err)
	})
	t.Run("a value is removed when its lease expires", func(t *testing.T) {
		_, c := startPlatform(t)
		_, err := c.Put(ctx, "k", []byte(`1`), 0, 50*time.Millisecond)
		asserter.NoError(t, "put", err)
		asserter.Eventually(t, "gone", 10*time.Second, func() bool {
			_, err := c.Get(ctx, "k")
			return errors.Is(err, storer.ErrNotFound)
		})
	})
	t.Run("too large", func(t *testing.T) {
		_, c := startPlatform(t)
		_, err := c.Put(ctx, "k", make([]byte, storer.MaxValue+1), 0, 0)
		asserter.ErrorIs(t, "put", err, storer.ErrTooLarge)
	})
	t.Run("outage", func(t *testing.T) {
		s, c := startPlatform(t)
		s.SetFault(imitator.StoreFault{Outage: true})
		_, err := c.Put(ctx, "k", []byte(`1`), 0, 0)
		asserter.ErrorIs(t, "put", err, storer.ErrUnavailable)
		_, err = c.Get(ctx, "k")
		asserter.ErrorIs(t, "get", err, storer.ErrUnavailable)
	})
	t.Run("nothing listens", func(t *testing.T) {
		c := storer.NewClient("127.0.0.1:1")
		_, err := c.Put(ctx, "k", []byte(`1`), 0, 0)
		asserter.ErrorIs(t, "put", err, storer.ErrUnavailable)
	})
}

// TestLostReplies guards against reporting a write as failed, or as accepted, when
// only its reply was lost. PutVerified must read the value back to find out.
func TestLostReplies(t *testing.T) {
	ctx := context.Background()
	s, c := startPlatform(t)
	s.SetFault(imitator.StoreFault{Lost: 1})
	_, err := c.Put(ctx, "plain", []byte(`1`), 0, 0)
	asserter.ErrorIs(t, "put", err, storer.ErrUnknown)
	item, err := c.PutVerified(ctx, "settled", []byte(`{"a": 1}`), 0, 0)
	asserter.NoError(t, "put verified", err)
	asserter.True(t, "has a revision", item.Revision > 0)
	t.Run("a value of another writer is a conflict", func(t *testing.T) {
		s.SetFault(imitator.StoreFault{})
		_, err := c.Put(ctx, "other", []byte(`"theirs"`), 0, 0)
		asserter.NoError(t, "theirs", err)
		_, err = c.PutVerified(ctx, "other", []byte(`"mine"`), 0, 0)
		asserter.ErrorIs(t, "mine", err, storer.ErrConflict)
	})
}

// sink collects the events and reports of a follower.
type sink struct{ events chan descriptor.Event }

// Post implements storer.Poster.
func (s sink) Post(e descriptor.Event) { s.events <- e }

// ReachabilityChanged implements storer.Reporter.
func (sink) ReachabilityChanged(string, bool, error) {}

// StoreRestored implements storer.Reporter.
func (sink) StoreRestored(string, uint64) {}

// BadDocument implements storer.Reporter.
func (s sink) BadDocument(key string, _ error) {
	s.events <- descriptor.DocumentsRead{Documents: []descriptor.Document{{Name: "bad " + key}}}
}

// next returns the first document of the next DocumentsRead event with documents.
func (s sink) next(t *testing.T) descriptor.Document {
	t.Helper()
	for {
		select {
		case e := <-s.events:
			if l, ok := e.(descriptor.DocumentsRead); ok && len(l.Documents) > 0 {
				return l.Documents[0]
			}
		case <-time.After(20 * time.Second):
			t.Fatal("got no document")
		}
	}
}

func TestFollower(t *testing.T) {
	ctx := context.Background()
	s, c := startPlatform(t)
	out := sink{make(chan descriptor.Event, 100)}
	f := storer.NewFollower(c, []storer.Feed{storer.Declarations()}, storer.Pace{Wait: 30 * time.Second}, out, out, nil)
	f.SetActive(true)
	defer f.SetActive(false)
	declaration := `{"Name":"a","Floor":1,"Classes":[{"Name":"c","Target":1000}],"Routes":[{"Name":"r","Methods":["POST"],"Path":"/","Class":"c"}]}`
	t.Run("posts a declaration", func(t *testing.T) {
		_, err := c.Put(ctx, storer.ServiceKey("a"), []byte(declaration), 0, 0)
		asserter.NoError(t, "put", err)
		asserter.Equal(t, "name", out.next(t).Name, "a")
	})
	t.Run("reports a declaration that is not valid", func(t *testing.T) {
		_, err := c.Put(ctx, storer.ServiceKey("b"), []byte(`{"Name":"b"}`), 0, 0)
		asserter.NoError(t, "put", err)
		asserter.Equal(t, "name", out.next(t).Name, "bad "+storer.ServiceKey("b"))
	})
	t.Run("continues after an outage", func(t *testing.T) {
		s.SetFault(imitator.StoreFault{Outage: true})
		s.SetFault(imitator.StoreFault{})
		s.Register("a", descriptor.Backend{ID: "x", Address: "127.0.0.1:1", Slots: 2})
		d := out.next(t)
		asserter.Equal(t, "kind", d.Kind, descriptor.KindBackends)
		asserter.Equal(t, "backend servers", len(d.Backends), 1)
	})
}

// TestTrial guards against instances that repeat calls to a store which does not answer them, when they only
// find out whether it does, and against a trial that ends for good.
func TestTrial(t *testing.T) {
	s, c := startPlatform(t)
	out := sink{make(chan descriptor.Event, 100)}
	f := storer.NewFollower(c, []storer.Feed{storer.Declarations()}, storer.Pace{Wait: 100 * time.Millisecond}, out, out, nil)
	defer f.SetActive(false)
	wantRead := func(t *testing.T, what string) {
		t.Helper()
		select {
		case <-out.events:
		case <-time.After(20 * time.Second):
			t.Fatal(what + ": got no read")
		}
	}
	wantNone := func(t *testing.T) {
		t.Helper()
		select {
		case <-out.events:
			t.Error("got a read, want none")
		case <-time.After(1500 * time.Millisecond):
		}
	}
	t.Run("it ends with the first failed call", func(t *testing.T) {
		s.SetFault(imitator.StoreFault{Outage: true})
		f.Try()
		time.Sleep(200 * time.Millisecond)
		s.SetFault(imitator.StoreFault{})
		wantNone(t)
	})
	t.Run("a follower that must follow starts again", func(t *testing.T) {
		f.SetActive(true)
		wantRead(t, "after the trial")
		f.SetActive(false)
	})
	t.Run("a trial that succeeds goes on, and then in spite of failed calls", func(t *testing.T) {
		f.Try()
		wantRead(t, "in the trial")
		f.SetActive(true)
		s.SetFault(imitator.StoreFault{Outage: true})
		time.Sleep(300 * time.Millisecond)
		s.SetFault(imitator.StoreFault{})
		for len(out.events) > 0 {
			<-out.events
		}
		wantRead(t, "after an outage")
	})
}

func FuzzParseDocument(f *testing.F) {
	f.Add("config/service/a", []byte(`{"Name":"a"}`))
	f.Add("config/eject/a", []byte(`[{"Backend":"b"}]`))
	f.Fuzz(func(_ *testing.T, key string, value []byte) {
		_, _ = storer.ParseDocument(storer.Item{Key: key, Value: value})
	})
}
