package spreader

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"monsoonswitch/asserter"
	"monsoonswitch/descriptor"
)

// listDocument returns a revision of a list of n backend servers, those before leaving of
// which are leaving.
func listDocument(revision uint64, n, leaving int) descriptor.Document {
	d := descriptor.Document{Kind: descriptor.KindBackends, Name: "ledger", Revision: revision}
	for i := range n {
		d.Backends = append(d.Backends, descriptor.Backend{ID: fmt.Sprintf("b%03d", i), Address: "10.0.0.1:1", Slots: 3, Leaving: i < leaving})
	}
	return d
}

func holding(list ...descriptor.Document) *Spreader {
	s := New()
	for _, d := range list {
		s.Take(d, "")
	}
	return s
}

// transfer has a request its newer documents from b, and returns those that b sent.
func transfer(a, b *Spreader) []descriptor.Document {
	var sent []descriptor.Document
	for _, part := range b.HandleDigest("a", a.Digest(), true) {
		want, _ := a.Compare(time.Unix(1, 0), part)
		for _, m := range b.Answer(want) {
			sent = append(sent, m.List...)
			takeAll(a, m)
		}
	}
	return sent
}

func wantList(t *testing.T, s *Spreader, want descriptor.Document) {
	t.Helper()
	got, _ := s.Get(descriptor.KindBackends, "ledger")
	asserter.Equal(t, "revision", got.Revision, want.Revision)
	asserter.True(t, "equal backend servers", slices.Equal(got.Backends, want.Backends))
}

func TestLists(t *testing.T) {
	t.Run("only the difference is sent to an instance with an earlier version", func(t *testing.T) {
		latest := listDocument(9, 52, 4)
		latest.Backends = latest.Backends[1:]
		a, b := holding(listDocument(5, 50, 0)), holding(listDocument(5, 50, 0), listDocument(7, 50, 2), latest)
		sent := transfer(a, b)
		asserter.Equal(t, "documents", len(sent), 1)
		asserter.Equal(t, "added and changed", len(sent[0].Backends), 5)
		asserter.Equal(t, "removed", sent[0].Removed, []string{"b000"})
		wantList(t, a, latest)
		asserter.Equal(t, "difference", a.Digest().Differ(b.Digest()), uint64(0))
	})
	t.Run("the complete list is sent to an instance with an unknown version", func(t *testing.T) {
		a, b := holding(listDocument(5, 40, 7)), holding(listDocument(5, 50, 0), listDocument(9, 50, 1))
		sent := transfer(a, b)
		asserter.Equal(t, "base", sent[0].Base, uint64(0))
		wantList(t, a, listDocument(9, 50, 1))
	})
	t.Run("a later revision with the same content is not sent", func(t *testing.T) {
		a, b := holding(listDocument(5, 50, 1)), holding(listDocument(9, 50, 1))
		asserter.Equal(t, "differing buckets", a.Digest().Differ(b.Digest()), uint64(0))
		asserter.Equal(t, "documents", len(transfer(a, b)), 0)
	})
	t.Run("an older revision does not replace a later one with the same content as one before", func(t *testing.T) {
		s := holding(listDocument(5, 50, 1), listDocument(9, 50, 1))
		_, took := s.Take(listDocument(7, 50, 0), "")
		asserter.Equal(t, "took", took, false)
		wantList(t, s, listDocument(9, 50, 1))
	})
	t.Run("a difference to another base is not applied and the complete list is requested", func(t *testing.T) {
		a, b := holding(listDocument(5, 50, 0)), holding(listDocument(5, 50, 0), listDocument(9, 50, 1))
		references := b.HandleDigest("a", a.Digest(), true)
		want, _ := a.Compare(time.Unix(1, 0), references[0])
		a.Take(listDocument(6, 50, 5), "")
		for _, m := range b.Answer(want) {
			takeAll(a, m)
		}
		wantList(t, a, listDocument(6, 50, 5))
		want, _ = a.Compare(time.Unix(1, 0), references[0])
		asserter.Equal(t, "content hash in the request", want.List[0].Sum, uint64(0))
		for _, m := range b.Answer(want) {
			takeAll(a, m)
		}
		wantList(t, a, listDocument(9, 50, 1))
	})
	t.Run("a wrong difference is not applied", func(t *testing.T) {
		a := holding(listDocument(5, 50, 0))
		base, _ := a.documents.Get(key{descriptor.KindBackends, "ledger"})
		_, took := a.Take(descriptor.Document{Kind: descriptor.KindBackends, Name: "ledger", Revision: 9, Base: base.sum, Removed: []string{"b001"}, Sum: 12345}, "")
		asserter.Equal(t, "took", took, false)
		wantList(t, a, listDocument(5, 50, 0))
	})
}
