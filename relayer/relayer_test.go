package relayer

import (
	"fmt"
	"testing"
	"time"

	"monsoonswitch/asserter"
	"monsoonswitch/descriptor"
)

var (
	start = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)
	kinds = []descriptor.Kind{descriptor.KindRouting, descriptor.KindBackends}
)

func at(d time.Duration) time.Time { return start.Add(d) }

func members(n int) []descriptor.Member {
	var list []descriptor.Member
	for i := range n {
		list = append(list, descriptor.Member{ID: fmt.Sprintf("entry-%d", i)})
	}
	return list
}

func TestChildren(t *testing.T) {
	for _, n := range []int{1, 2, 9, 48, 133, 1000} {
		t.Run(fmt.Sprintf("each of %d instances receives a message once", n), func(t *testing.T) {
			list := members(n)
			received := map[string]int{"entry-0": 1}
			next := []string{"entry-0"}
			depth := 0
			for len(next) > 0 {
				var below []string
				for _, id := range next {
					children := Children(id, "entry-0", list)
					asserter.AtMost(t, "children", len(children), fanout)
					for _, m := range children {
						received[m.ID]++
						below = append(below, m.ID)
					}
				}
				next = below
				depth++
			}
			asserter.Equal(t, "instances", len(received), n)
			for id, times := range received {
				asserter.Equal(t, id, times, 1)
			}
			asserter.AtMost(t, "steps", depth, 6)
		})
	}
	t.Run("a dead instance is not in the tree", func(t *testing.T) {
		list := members(3)
		list[1].State = descriptor.Dead
		children := Children("entry-0", "entry-0", list)
		asserter.Equal(t, "children", len(children), 1)
	})
}

// self is the instance that sends announcements.
var self = descriptor.Member{ID: "a", Incarnation: 7}

// newWatcher returns a relayer that read both kinds of documents from the store at
// the given time.
func newWatcher(read time.Time) *Relayer {
	r := New()
	for _, k := range kinds {
		r.RecordRead(k, read)
	}
	return r
}

func TestFreshness(t *testing.T) {
	const sum = 42
	origin := newWatcher(at(0))
	announcement, ok := origin.NextFreshness(at(100*time.Millisecond), self, kinds, sum)
	asserter.True(t, "sent", ok)
	asserter.Equal(t, "age", announcement.Age, 100)
	t.Run("confirms equal documents as of the time of the read", func(t *testing.T) {
		r := New()
		_, ok := r.HandleFreshness(at(time.Second), announcement)
		asserter.True(t, "new", ok)
		asserter.Equal(t, "differs", r.ApplyAnnouncements("a", sum), false)
		asserter.Equal(t, "current", r.Current(kinds), at(900*time.Millisecond))
	})
	t.Run("does not confirm other documents until they are received", func(t *testing.T) {
		r := New()
		r.HandleFreshness(at(time.Second), announcement)
		asserter.Equal(t, "differs", r.ApplyAnnouncements("a", sum+1), true)
		asserter.Equal(t, "current", r.Current(kinds), time.Time{})
		r.ApplyAnnouncements("", sum)
		asserter.Equal(t, "current with them", r.Current(kinds), at(900*time.Millisecond))
	})
	t.Run("is forwarded once", func(t *testing.T) {
		r := New()
		r.HandleFreshness(at(time.Second), announcement)
		_, ok := r.HandleFreshness(at(time.Second), announcement)
		asserter.Equal(t, "again", ok, false)
	})
	t.Run("is not sent without a new read of the store", func(t *testing.T) {
		_, ok := origin.NextFreshness(at(800*time.Millisecond), self, kinds, sum)
		asserter.Equal(t, "sent", ok, false)
	})
	t.Run("is sent at once when documents changed", func(t *testing.T) {
		_, ok := origin.NextFreshness(at(810*time.Millisecond), self, kinds, sum+1)
		asserter.Equal(t, "sent", ok, true)
	})
	t.Run("is not sent by an instance that cannot reach the store", func(t *testing.T) {
		_, ok := origin.NextFreshness(at(5*time.Second), self, kinds, sum+2)
		asserter.Equal(t, "sent", ok, false)
	})
}

func TestMustQuery(t *testing.T) {
	t.Run("without messages from peers, queries the store well within two seconds", func(t *testing.T) {
		r := newWatcher(at(0))
		asserter.Equal(t, "after 1 s", r.MustQuery(at(time.Second), kinds), false)
		asserter.Equal(t, "after 1.3 s", r.MustQuery(at(1300*time.Millisecond), kinds), true)
	})
	t.Run("keeps querying until announcements arrive regularly", func(t *testing.T) {
		r := newWatcher(at(0))
		r.MustQuery(at(1300*time.Millisecond), kinds)
		for _, k := range kinds {
			r.RecordRead(k, at(1400*time.Millisecond))
		}
		asserter.Equal(t, "after an own read", r.MustQuery(at(1500*time.Millisecond), kinds), true)
		for i := range 6 {
			now := at(2*time.Second + time.Duration(i)*300*time.Millisecond)
			r.HandleFreshness(now, descriptor.Freshness{Origin: "a", Incarnation: 1, Sequence: uint64(i + 1), Sum: 1})
			r.ApplyAnnouncements("a", 1)
			asserter.Equal(t, fmt.Sprint("announcement ", i), r.MustQuery(now, kinds), i < 4)
		}
	})
}

// TestRestoreDeadline guards against dropping backend servers whose entries expired
// while the store was unavailable, before they could register again.
func TestRestoreDeadline(t *testing.T) {
	r := New()
	r.RecordResponse(at(0), at(0))
	r.RecordResponse(at(time.Second), at(900*time.Millisecond))
	asserter.Equal(t, "no outage", r.RestoreDeadline(), time.Time{})
	r.RecordResponse(at(8*time.Second), at(8*time.Second))
	asserter.Equal(t, "after an outage", r.RestoreDeadline(), at(8*time.Second+restoreTime))
}
