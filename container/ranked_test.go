package container

import (
	"testing"

	"monsoonswitch/asserter"
)

// TestRankedQueue guards against entries of one rank that are lost or served with those of another.
func TestRankedQueue(t *testing.T) {
	q := NewRankedQueue[string, int]()
	q.At(2).Push("a", 1)
	q.At(0).Push("b", 2)
	q.At(2).Push("a", 3)
	t.Run("ranks are in order", func(t *testing.T) { asserter.Equal(t, "ranks", q.Ranks(), []int{0, 2}) })
	t.Run("an empty rank is not listed", func(t *testing.T) {
		q.At(1)
		asserter.Equal(t, "ranks", q.Ranks(), []int{0, 2})
	})
	t.Run("all entries count", func(t *testing.T) { asserter.Equal(t, "length", q.Len(), 3) })
	t.Run("a filter covers all ranks", func(t *testing.T) {
		q.Filter(func(v int) bool { return v == 2 })
		asserter.Equal(t, "ranks", q.Ranks(), []int{2})
	})
}

// TestLongest guards against displacing an entry of another owner than the one with the most.
func TestLongest(t *testing.T) {
	q := NewFairQueue[string, int]()
	_, n := q.Longest()
	asserter.Equal(t, "entries of an empty queue", n, 0)
	for i, owner := range []string{"a", "b", "b", "a", "b"} {
		q.Push(owner, i)
	}
	owner, n := q.Longest()
	asserter.Equal(t, "owner", owner, "b")
	asserter.Equal(t, "entries", n, 3)
	v, ok := q.PopNewestOf("b")
	asserter.True(t, "popped", ok)
	asserter.Equal(t, "newest", v, 4)
	asserter.Equal(t, "left", q.LenOf("b"), 2)
	for range 2 {
		_, _ = q.PopNewestOf("b")
	}
	_, ok = q.PopNewestOf("b")
	asserter.True(t, "none left", !ok)
	first, _ := q.Pop(false)
	asserter.Equal(t, "next owner", first, 0)
	asserter.Equal(t, "length", q.Len(), 1)
}
