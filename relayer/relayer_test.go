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
	t.Run("of an instance that cannot reach the store tells so and confirms nothing", func(t *testing.T) {
		p, ok := origin.NextFreshness(at(5*time.Second), self, kinds, sum+2)
		asserter.Equal(t, "sent", ok, true)
		asserter.AtLeast(t, "age", p.Age, maxConfirmationAge.Milliseconds())
		r := New()
		r.HandleFreshness(at(5*time.Second), p)
		r.ApplyAnnouncements(self.ID, sum+2)
		asserter.AtLeast(t, "age of the confirmation", at(5*time.Second).Sub(r.Current(kinds)), maxConfirmationAge)
		_, ok = origin.NextFreshness(at(5*time.Second+outageInterval-1), self, kinds, sum+3)
		asserter.Equal(t, "sent again within the interval", ok, false)
	})
}

// lastPlace and substitutePlace are the places of the last of 64 instances to query a store that is away,
// and of one of its 8 substitutes.
var (
	lastPlace       = Place{substitutes: 8, ahead: 64, turns: 3, turn: 1}
	substitutePlace = Place{substitutes: 8, isSubstitute: true}
)

// TestStoreAway guards against the whole fleet querying a store that does not answer the
// instances that watch it. Each must still find out by itself whether it answers, and
// every instance must query it at once if announcements do not arrive, or tell of documents that
// it lacks.
func TestStoreAway(t *testing.T) {
	const never = time.Duration(-1)
	for _, c := range []struct {
		name     string
		place    Place
		age      time.Duration
		interval time.Duration
		sum      uint64
		// want is the age of the last confirmation at which the instance queries the store.
		want time.Duration
	}{
		{"announcements tell of an outage", lastPlace, time.Hour, outageInterval, 1, maxConfirmationAge + 500*time.Millisecond},
		{"a substitute", substitutePlace, time.Hour, outageInterval, 1, maxConfirmationAge},
		{"announcements tell of no outage", lastPlace, 0, announceInterval, 1, never},
		{"no announcements", lastPlace, 0, time.Hour, 1, maxConfirmationAge},
		{"announcements of other documents", lastPlace, 0, announceInterval, 2, maxConfirmationAge},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newWatcher(at(0))
			got := never
			for now, next, sequence := at(0), at(0), uint64(1); now.Before(at(3*time.Second)) && got == never; now = now.Add(50 * time.Millisecond) {
				if !now.Before(next) {
					next = now.Add(c.interval)
					sequence++
					age := min(c.age, now.Sub(at(0)))
					r.HandleFreshness(now, descriptor.Freshness{Origin: "a", Incarnation: 1, Sequence: sequence, Sum: c.sum, Age: age.Milliseconds()})
					r.ApplyAnnouncements("a", 1)
				}
				if r.MustQuery(now, kinds, c.place) {
					got = now.Sub(at(0))
				}
			}
			asserter.Equal(t, "first query", got, c.want)
		})
	}
}

// TestPlaces guards against instances that never query a store which others find away, and against a
// whole fleet that keeps querying one which is really away.
func TestPlaces(t *testing.T) {
	const (
		substitutes = 8
		step        = 10 * time.Millisecond
		outage      = 12 * time.Second
		// rejoinLimit is the time without disturbance after which the platform counts an instance as in
		// touch.
		rejoinLimit = 3 * time.Second
	)
	for _, n := range []int{1, 12, 36, 293, 1200} {
		t.Run(fmt.Sprintf("%d instances", n), func(t *testing.T) {
			list := members(n)
			lastTurn := make([]time.Duration, n)
			most, mostEarly := 0, 0
			for age := time.Duration(0); age < outage; age += step {
				querying := 0
				for i, m := range list {
					if NewPlace(m.ID, i < substitutes, substitutes, n).hasTurn(age) {
						querying++
						lastTurn[i] = age
					}
					asserter.AtMost(t, "time without a query of "+m.ID, age-lastTurn[i], rejoinLimit)
					if age == time.Second {
						asserter.True(t, m.ID+" queried the store within a second", lastTurn[i] > 0)
					}
				}
				switch {
				case age < substituteTime:
					mostEarly = max(mostEarly, querying)
				case age >= 2*time.Second:
					most = max(most, querying)
				}
			}
			asserter.AtMost(t, "instances that query first", mostEarly, substitutes)
			asserter.AtMost(t, "instances that query at once later", most, substitutes+n/2)
		})
	}
	t.Run("7100 instances", func(t *testing.T) {
		const n = 7100
		querying := 0
		for _, m := range members(n) {
			if NewPlace(m.ID, false, substitutes, n).hasTurn(outage) {
				querying++
			}
		}
		asserter.AtMost(t, "instances that query at once later", querying, maxGroup+maxGroup/4)
	})
}

func TestMustQuery(t *testing.T) {
	t.Run("without messages from peers, queries the store well within two seconds", func(t *testing.T) {
		r := newWatcher(at(0))
		asserter.Equal(t, "after 1 s", r.MustQuery(at(time.Second), kinds, lastPlace), false)
		asserter.Equal(t, "after 1.3 s", r.MustQuery(at(1300*time.Millisecond), kinds, lastPlace), true)
	})
	t.Run("keeps querying until announcements arrive regularly", func(t *testing.T) {
		r := newWatcher(at(0))
		r.MustQuery(at(1300*time.Millisecond), kinds, lastPlace)
		for _, k := range kinds {
			r.RecordRead(k, at(1400*time.Millisecond))
		}
		asserter.Equal(t, "after an own read", r.MustQuery(at(1500*time.Millisecond), kinds, lastPlace), true)
		for i := range 6 {
			now := at(2*time.Second + time.Duration(i)*300*time.Millisecond)
			r.HandleFreshness(now, descriptor.Freshness{Origin: "a", Incarnation: 1, Sequence: uint64(i + 1), Sum: 1})
			r.ApplyAnnouncements("a", 1)
			asserter.Equal(t, fmt.Sprint("announcement ", i), r.MustQuery(now, kinds, lastPlace), i < 4)
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
