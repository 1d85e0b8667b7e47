package container

import (
	"fmt"
	"testing"

	"monsoonswitch/asserter"
)

func TestTable(t *testing.T) {
	table := NewTable[string, int]()
	for i := range 5 {
		table.Put(fmt.Sprint(i), i)
	}
	table.Delete("1")
	table.Delete("none")
	asserter.Equal(t, "length", table.Len(), 4)
	asserter.Equal(t, "position of the last", table.Position("4"), 1)
	_, ok := table.Get("1")
	asserter.Equal(t, "deleted", ok, false)
	sum := 0
	for _, v := range table.All {
		sum += v
	}
	asserter.Equal(t, "sum", sum, 9)
}

func TestFair(t *testing.T) {
	pop := func(f *FairQueue[string, int], newest bool) int {
		v, _ := f.Pop(newest)
		return v
	}
	t.Run("owners are served round-robin", func(t *testing.T) {
		f := NewFairQueue[string, int]()
		for i := range 3 {
			f.Push("a", i)
		}
		f.Push("b", 10)
		asserter.Equal(t, "order", []int{pop(f, false), pop(f, false), pop(f, false), pop(f, false)}, []int{0, 10, 1, 2})
		asserter.Equal(t, "length", f.Len(), 0)
	})
	t.Run("newest first within an owner", func(t *testing.T) {
		f := NewFairQueue[string, int]()
		f.Push("a", 1)
		f.Push("a", 2)
		asserter.Equal(t, "newest", pop(f, true), 2)
	})
	t.Run("a returned entry is popped next again", func(t *testing.T) {
		f := NewFairQueue[string, int]()
		f.Push("a", 1)
		f.Push("b", 2)
		f.PutBack("a", pop(f, false), false)
		asserter.Equal(t, "next", pop(f, false), 1)
		asserter.Equal(t, "then", pop(f, false), 2)
	})
	t.Run("filter", func(t *testing.T) {
		f := NewFairQueue[string, int]()
		for i := range 6 {
			f.Push(fmt.Sprint(i%2), i)
		}
		f.Filter(func(v int) bool { return v%2 == 0 })
		asserter.Equal(t, "length", f.Len(), 3)
		front, _ := f.Front()
		asserter.Equal(t, "front", front, 1)
	})
}

func TestGenerations(t *testing.T) {
	g := NewGenerations[int, int](3)
	generations, keys := 0, 0
	for i := range 10 {
		began, dropped := g.Put(i, i)
		if began {
			generations++
		}
		keys += dropped
	}
	asserter.Equal(t, "generations begun", generations, 3)
	asserter.Equal(t, "keys dropped", keys, 6)
	asserter.AtMost(t, "length", g.Len(), 6)
	_, ok := g.Get(0)
	asserter.Equal(t, "oldest", ok, false)
	_, ok = g.Get(9)
	asserter.Equal(t, "newest", ok, true)
}

func TestBucketSums(t *testing.T) {
	var a, b BucketSums
	for i := range uint64(100) {
		a = a.With(i<<57, i)
		b = b.With((99-i)<<57, 99-i)
	}
	asserter.Equal(t, "order does not matter", a.Differ(b), uint64(0))
	b = b.Without(7<<57, 7).With(7<<57, 8)
	asserter.Equal(t, "buckets that differ", BucketCount(a.Differ(b)), 1)
	asserter.Equal(t, "differs widely", a.DiffersWidely(b), false)
	asserter.Equal(t, "differs widely from the empty set", a.DiffersWidely(BucketSums{}), true)
}

func TestRingAndHeap(t *testing.T) {
	r := NewRing[int](3)
	for i := range 5 {
		r.Add(i)
	}
	asserter.Equal(t, "newest", r.Slice(), []int{2, 3, 4})
	h := NewHeap(func(a, b int) bool { return a < b })
	for _, v := range []int{5, 1, 4, 2, 3} {
		h.Push(v)
	}
	var got []int
	for h.Len() > 0 {
		v, _ := h.Pop()
		got = append(got, v)
	}
	asserter.Equal(t, "order", got, []int{1, 2, 3, 4, 5})
}

func TestPositions(t *testing.T) {
	var s Positions
	for i := range 4 {
		s.Set(i, true)
	}
	s.Set(1, false)
	s.Set(1, false)
	asserter.Equal(t, "length", s.Len(), 3)
	s.Clear()
	s.Set(2, true)
	asserter.Equal(t, "member", s.At(0), 2)
}
