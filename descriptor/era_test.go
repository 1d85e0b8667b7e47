package descriptor

import (
	"testing"

	"monsoonswitch/asserter"
)

// TestStampRevision guards against a revision of a restored store that counts as older than one of
// before, and against another number in the first era, which earlier builds read.
func TestStampRevision(t *testing.T) {
	asserter.Equal(t, "first era", StampRevision(0, 57), uint64(57))
	asserter.True(t, "a later era is newer", StampRevision(1, 1) > StampRevision(0, 1<<43))
	asserter.True(t, "a revision that is too large does not reach into the era", StampRevision(1, 1<<60) < StampRevision(2, 0))
	era, revision := SplitRevision(StampRevision(3, 99))
	asserter.Equal(t, "era", era, uint64(3))
	asserter.Equal(t, "revision", revision, uint64(99))
	asserter.Equal(t, "text", RevisionText(StampRevision(3, 99)), "3.99")
	asserter.Equal(t, "text of the first era", RevisionText(99), "99")
}
