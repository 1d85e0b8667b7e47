package limiter

import (
	"testing"
	"time"

	"monsoonswitch/asserter"
)

// rank is an urgency for tests.
type rank int

// Before implements Urgency.
func (r rank) Before(s rank) bool { return r < s }

// TestYield guards against less urgent work that is refused without need, or for longer than more
// urgent work lacks room.
func TestYield(t *testing.T) {
	y := Yield[rank]{}.WithRefusal(epoch, 1)
	later := after(yieldMemory)
	t.Run("nothing yields before a refusal", func(t *testing.T) {
		asserter.Equal(t, "share", Yield[rank]{}.Share(epoch, 5), 0.0)
		asserter.Equal(t, "active", Yield[rank]{}.Active(epoch), false)
	})
	t.Run("less urgent work yields after a refusal", func(t *testing.T) {
		asserter.AtLeast(t, "share", y.Share(later, 2), 0.4)
	})
	t.Run("work as urgent as that does not yield", func(t *testing.T) {
		asserter.Equal(t, "share", y.Share(later, 1), 0.0)
		asserter.Equal(t, "share", y.Share(later, 0), 0.0)
	})
	t.Run("refusals of less urgent work do not count", func(t *testing.T) {
		asserter.AtMost(t, "share", y.WithRefusal(after(100*time.Millisecond), 2).Share(later, 2), y.Share(later, 2)+1e-9)
	})
	t.Run("refusals of more urgent work raise the level", func(t *testing.T) {
		asserter.AtLeast(t, "share", y.WithRefusal(later, 0).Share(after(2*yieldMemory), 1), 0.4)
	})
	t.Run("it ends without refusals", func(t *testing.T) {
		asserter.Equal(t, "share", y.Share(after(time.Minute), 2), 0.0)
		asserter.Equal(t, "active", y.Active(after(time.Minute)), false)
	})
	t.Run("a level returns after its end", func(t *testing.T) {
		again := y.WithRefusal(after(time.Minute), 3)
		asserter.AtLeast(t, "share", again.Share(after(time.Minute+yieldMemory), 4), 0.4)
		asserter.Equal(t, "share", again.Share(after(time.Minute+yieldMemory), 2), 0.0)
	})
}
