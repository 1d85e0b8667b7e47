package counter

import (
	"fmt"
	"testing"
	"time"

	"monsoonswitch/asserter"
	"monsoonswitch/descriptor"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// ended returns the final tally of an incarnation that served one request.
func ended(i int, at time.Time) descriptor.Tally {
	c := New(descriptor.Member{ID: fmt.Sprintf("entry-%03d", i), Incarnation: 1})
	c.Receive(at, "billing")
	c.End(at, "billing", "read", descriptor.Served, descriptor.Ran, 10, time.Millisecond)
	c.Finish()
	t, _ := c.Tally(at, "billing")
	return t
}

// storeSimulation is a writer with a simulated store.
type storeSimulation struct {
	t        *testing.T
	writer   *Writer
	stored   []descriptor.Tally
	revision uint64
	next     descriptor.WriteID
}

func newStoreSimulation(t *testing.T) *storeSimulation {
	x := &storeSimulation{t: t}
	x.writer = NewWriter(descriptor.Member{ID: "w"}, func() descriptor.WriteID {
		x.next++
		return x.next
	})
	return x
}

// write applies the scheduled writes to the store and returns the receipts.
func (x *storeSimulation) write(now time.Time) []AddressedReceipt {
	var receipts []AddressedReceipt
	for _, a := range x.writer.NextWrites(now, 3) {
		w := a.(descriptor.WriteTallies)
		e := descriptor.Written{At: now, Write: w.Write, Result: descriptor.WriteConflict, Revision: x.revision, Tallies: x.stored}
		if w.Expect == x.revision {
			x.revision++
			x.stored = w.Tallies
			e = descriptor.Written{At: now, Write: w.Write, Revision: x.revision}
		}
		got, _ := x.writer.Written(e)
		receipts = append(receipts, got...)
	}
	return receipts
}

// received returns the number of received requests in the stored tallies.
func (x *storeSimulation) received() uint64 {
	var sum uint64
	for _, t := range x.stored {
		sum += t.Received
	}
	return sum
}

func TestWriter(t *testing.T) {
	t.Run("older and repeated tallies are not written", func(t *testing.T) {
		x := newStoreSimulation(t)
		tally := ended(1, start)
		x.writer.Merge(tally)
		asserter.Equal(t, "receipts", len(x.write(start)), 1)
		x.writer.Merge(tally)
		asserter.Equal(t, "writes", len(x.writer.NextWrites(start.Add(time.Hour), 3)), 0)
	})
	t.Run("a new writer keeps the stored tallies", func(t *testing.T) {
		x := newStoreSimulation(t)
		x.stored, x.revision = []descriptor.Tally{ended(7, start)}, 9
		x.writer.Merge(ended(1, start))
		x.write(start)
		asserter.Equal(t, "receipts after the conflict", len(x.write(start.Add(time.Second))), 2)
		asserter.Equal(t, "received", x.received(), uint64(2))
	})
	t.Run("tallies that the store lost are written again", func(t *testing.T) {
		x := newStoreSimulation(t)
		x.writer.Merge(ended(1, start))
		x.write(start)
		stored, revision := x.stored, x.revision
		x.writer.Merge(ended(2, start))
		x.write(start.Add(time.Minute))
		asserter.Equal(t, "received before", x.received(), uint64(2))
		x.stored, x.revision = stored, revision
		x.writer.StoreRestored()
		x.write(start.Add(2 * time.Minute))
		x.write(start.Add(3 * time.Minute))
		asserter.Equal(t, "received after", x.received(), uint64(2))
	})
	t.Run("the backoff of failed writes is limited to the interval", func(t *testing.T) {
		x := newStoreSimulation(t)
		x.writer.Merge(ended(1, start))
		now := start
		writes := 0
		for now.Before(start.Add(10 * time.Minute)) {
			for _, a := range x.writer.NextWrites(now, 2700) {
				writes++
				x.writer.Written(descriptor.Written{At: now, Write: a.(descriptor.WriteTallies).Write, Result: descriptor.WriteUnavailable})
			}
			now = now.Add(100 * time.Millisecond)
		}
		asserter.AtMost(t, "writes in ten minutes", writes, 60)
		asserter.AtLeast(t, "writes in ten minutes", writes, 10)
	})
}

// TestFold guards against a stored list of tallies that grows with each incarnation
// that ended, and against counting a folded tally twice when a copy of it arrives
// late.
func TestFold(t *testing.T) {
	x := newStoreSimulation(t)
	const many = 1000
	now := start
	for i := range many {
		x.writer.Merge(ended(i, now))
		now = now.Add(time.Minute)
		x.write(now)
	}
	x.writer.Merge(ended(many, now))
	x.write(now.Add(time.Minute))
	asserter.AtMost(t, "tallies", len(x.stored), minFoldTallies+61)
	asserter.Equal(t, "received", x.received(), uint64(many+1))
	t.Run("a late copy of a folded tally is dropped", func(t *testing.T) {
		x.writer.Merge(ended(3, start.Add(3*time.Minute)))
		x.writer.Merge(ended(many+1, now))
		x.write(now.Add(time.Hour))
		asserter.Equal(t, "received", x.received(), uint64(many+2))
	})
	t.Run("a writer that finds a folded tally in the store drops its own tallies of the same incarnations", func(t *testing.T) {
		y := newStoreSimulation(t)
		y.stored, y.revision = x.stored, x.revision
		y.writer.Merge(ended(5, start.Add(5*time.Minute)))
		y.writer.Merge(ended(many+2, now))
		y.write(now)
		y.write(now.Add(time.Minute))
		asserter.Equal(t, "received", y.received(), uint64(many+3))
	})
}
