package storer_test

import (
	"testing"

	"monsoonswitch/asserter"
	"monsoonswitch/descriptor"
	"monsoonswitch/storer"
)

func TestRoster(t *testing.T) {
	entry := func(id string, order uint64, leaving bool) storer.Entry {
		return storer.Entry{Service: "ledger", Order: order, Backend: descriptor.Backend{ID: id, Address: "10.0.0.1:1", Slots: 3, Leaving: leaving}}
	}
	// want flushes the roster and compares the numbers of documents, of backend servers
	// listed in the first of them, and of those that are leaving.
	want := func(t *testing.T, r *storer.Roster, documents, listed, leaving int) {
		t.Helper()
		list := r.Flush(9)
		asserter.Equal(t, "documents", len(list), documents)
		if documents == 0 {
			return
		}
		asserter.Equal(t, "listed", len(list[0].Backends), listed)
		n := 0
		for _, b := range list[0].Backends {
			if b.Leaving {
				n++
			}
		}
		asserter.Equal(t, "leaving", n, leaving)
	}
	r := storer.NewRoster()
	r.Put("servers/a", entry("a@1", 4, false))
	r.Put("servers/b", entry("b@1", 1, false))
	want(t, r, 1, 2, 0)
	t.Run("a heartbeat with an unchanged entry changes nothing", func(t *testing.T) {
		r.Put("servers/a", entry("a@1", 5, false))
		want(t, r, 0, 0, 0)
	})
	t.Run("a delayed entry does not revert a drain", func(t *testing.T) {
		r.Put("servers/a", entry("a@1", 6, true))
		r.Put("servers/a", entry("a@1", 5, false))
		want(t, r, 1, 2, 1)
	})
	t.Run("a delayed entry does not restore a removed backend server", func(t *testing.T) {
		r.Remove("servers/a")
		r.Put("servers/a", entry("a@1", 5, false))
		want(t, r, 1, 1, 0)
	})
	t.Run("another incarnation has its own order", func(t *testing.T) {
		r.Put("servers/a", entry("a@2", 1, false))
		want(t, r, 1, 2, 0)
	})
	t.Run("entries that are not retained are removed", func(t *testing.T) {
		r.Retain([]string{"servers/b"})
		want(t, r, 1, 1, 0)
	})
}
