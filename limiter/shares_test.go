package limiter

import (
	"testing"

	"monsoonswitch/asserter"
)

// TestShares guards against a part that takes what is reserved for others, or that can't use what
// nobody needs.
func TestShares(t *testing.T) {
	s := NewShares(100).WithPart(0, 10, 100).WithPart(1, 20, 50)
	t.Run("a part can hold all that is not reserved for others", func(t *testing.T) {
		asserter.Equal(t, "most", s.Most(0), 80)
		taken, ok := s.With(0, 80, 0)
		asserter.True(t, "80 taken", ok)
		_, ok = taken.With(0, 1, 0)
		asserter.True(t, "no more left", !ok)
		taken, ok = taken.With(1, 20, 0)
		asserter.True(t, "the reserved amount is left", ok)
		_, ok = taken.With(1, 1, 0)
		asserter.True(t, "no more left for the other", !ok)
	})
	t.Run("a part never holds more than its bound", func(t *testing.T) {
		taken, ok := s.With(1, 50, 0)
		asserter.True(t, "50 taken", ok)
		_, ok = taken.With(1, 1, 0)
		asserter.True(t, "no more", !ok)
	})
	t.Run("an optional amount leaves what is spared", func(t *testing.T) {
		_, ok := s.With(0, 61, 20)
		asserter.True(t, "61 of 80 with 20 spared", !ok)
		taken, ok := s.With(0, 60, 20)
		asserter.True(t, "60 of 80 with 20 spared", ok)
		asserter.Equal(t, "held", taken.Held(0), 60)
	})
	t.Run("what is returned can be taken again", func(t *testing.T) {
		taken, _ := s.With(0, 80, 0)
		_, ok := taken.WithReturned(0, 30).With(1, 50, 0)
		asserter.True(t, "taken by the other", ok)
	})
}
