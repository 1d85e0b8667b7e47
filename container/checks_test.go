package container

import (
	"testing"

	"monsoonswitch/asserter"
)

// TestChecks guards against digests that seem equal, or that are taken from malformed messages.
func TestChecks(t *testing.T) {
	a := BucketSums{}.With(1<<60, 7).With(5<<58, 1<<40)
	b := a.With(63<<58, 9)
	t.Run("checks name the buckets that differ", func(t *testing.T) {
		set, ok := a.DifferChecks(b.Checks())
		asserter.True(t, "valid", ok)
		asserter.Equal(t, "set", set, a.Differ(b))
		set, _ = a.DifferChecks(a.Checks())
		asserter.Equal(t, "set of equal ones", set, uint64(0))
	})
	t.Run("sparse sums keep all", func(t *testing.T) {
		set, sums := b.Sparse()
		got, ok := FromSparse(b.Count, set, sums)
		asserter.True(t, "valid", ok)
		asserter.Equal(t, "sums", got, b)
	})
	t.Run("malformed ones are refused", func(t *testing.T) {
		_, ok := a.DifferChecks(a.Checks()[1:])
		asserter.Equal(t, "checks", ok, false)
		_, ok = FromSparse(2, 3, []uint64{1})
		asserter.Equal(t, "sums", ok, false)
	})
}
