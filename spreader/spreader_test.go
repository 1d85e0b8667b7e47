package spreader

import (
	"fmt"
	"testing"
	"time"

	"monsoonswitch/asserter"
	"monsoonswitch/container"
	"monsoonswitch/descriptor"
)

func document(id string, revision uint64) descriptor.Document {
	return descriptor.Document{Kind: descriptor.KindService, Name: id, Revision: revision}
}

func filled(n int, revision uint64) *Spreader {
	s := New()
	for i := range n {
		s.Take(document(fmt.Sprintf("s%d", i), revision), "")
	}
	s.TakeAnnouncements(nil)
	return s
}

func wantRevision(t *testing.T, s *Spreader, id string, want uint64) {
	t.Helper()
	d, _ := s.Get(descriptor.KindService, id)
	asserter.Equal(t, "revision of "+id, d.Revision, want)
}

// TestNeverReverts guards against an older revision that arrives late and replaces a
// newer one.
func TestNeverReverts(t *testing.T) {
	s := New()
	for _, c := range []struct {
		revision uint64
		took     bool
	}{{5, true}, {4, false}, {5, false}, {6, true}, {1, false}} {
		_, took := s.Take(document("a", c.revision), "")
		asserter.Equal(t, fmt.Sprintf("take %d", c.revision), took, c.took)
	}
	wantRevision(t, s, "a", 6)
}

func TestTakeAnnouncements(t *testing.T) {
	s := New()
	s.Take(document("a", 1), "x")
	got := s.TakeAnnouncements([]string{"x", "y"})
	asserter.Equal(t, "announced to all but the sender", got, []Announcement{{To: "y", References: descriptor.References{
		List: []descriptor.Reference{{Kind: descriptor.KindService, Name: "a", Revision: 1}},
	}}})
	asserter.Equal(t, "announcements on the second call", len(s.TakeAnnouncements([]string{"y"})), 0)
}

// synchronize exchanges digests and answers between two spreaders.
func synchronize(a, b *Spreader, atOnce bool) {
	for _, part := range b.HandleDigest("a", a.Digest(), atOnce) {
		want, have := a.Compare(time.Unix(1, 0), part)
		for _, m := range b.Answer(want) {
			takeAll(a, m)
		}
		for _, m := range have {
			takeAll(b, m)
		}
	}
}

func takeAll(s *Spreader, m descriptor.Documents) {
	for _, d := range m.List {
		s.Take(d, "peer")
	}
}

// TestParallelRequests guards against requesting one revision from every peer that
// announces it, and against waiting forever for requests that were lost.
func TestParallelRequests(t *testing.T) {
	s := New()
	now := time.Unix(1000, 0)
	m := descriptor.References{List: []descriptor.Reference{{Kind: descriptor.KindService, Name: "a", Revision: 2}}}
	for _, c := range []struct {
		after time.Duration
		want  int
	}{{0, 1}, {time.Millisecond, 1}, {10 * time.Millisecond, 0}, {requestTimeout, 1}} {
		want, _ := s.Compare(now.Add(c.after), m)
		asserter.Equal(t, "requested after "+c.after.String(), len(want.List), c.want)
	}
}

func TestSynchronize(t *testing.T) {
	t.Run("a new instance receives all documents", func(t *testing.T) {
		a, b := New(), filled(500, 3)
		synchronize(a, b, false)
		asserter.Equal(t, "documents", a.Len(), 500)
		asserter.Equal(t, "difference", a.Digest().Differ(b.Digest()), uint64(0))
	})
	t.Run("newer documents are sent in both directions", func(t *testing.T) {
		a, b := filled(100, 3), filled(100, 3)
		a.Take(document("s7", 9), "")
		b.Take(document("s8", 9), "")
		b.Take(document("only-b", 1), "")
		synchronize(a, b, true)
		for _, s := range []*Spreader{a, b} {
			wantRevision(t, s, "s7", 9)
			wantRevision(t, s, "s8", 9)
			wantRevision(t, s, "only-b", 1)
		}
	})
	t.Run("a difference in a single digest is not answered", func(t *testing.T) {
		a, b := filled(100, 3), filled(100, 3)
		a.Take(document("s7", 9), "")
		asserter.Equal(t, "first digest", len(b.HandleDigest("a", a.Digest(), false)), 0)
		asserter.Equal(t, "second digest", len(b.HandleDigest("a", a.Digest(), false)), 1)
	})
	t.Run("only the differing bucket is listed", func(t *testing.T) {
		a, b := filled(1000, 3), filled(1000, 3)
		a.Take(document("s7", 9), "")
		parts := b.HandleDigest("a", a.Digest(), true)
		asserter.Equal(t, "parts", len(parts), 1)
		asserter.AtMost(t, "listed", len(parts[0].List), 3*1000/container.Buckets)
	})
}
