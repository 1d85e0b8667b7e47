package gossiper

import (
	"fmt"
	"testing"

	"github.com/cespare/xxhash/v2"

	"monsoonswitch/asserter"
	"monsoonswitch/container"
	"monsoonswitch/descriptor"
)

// TestDigestOfMutualSuspicion guards against two instances whose digests are equal although each
// suspects the other, which happened if their records were in one bucket. They never exchanged
// their records, and each answered the digests of the other without end, as those of an instance
// that is not ready.
func TestDigestOfMutualSuspicion(t *testing.T) {
	bucket := func(id string) int { return container.Bucket(xxhash.Sum64String(id)) }
	first, second := "entry-0", ""
	for i := 1; bucket(second) != bucket(first) || second == ""; i++ {
		second = fmt.Sprintf("entry-%d", i)
	}
	digest := func(self, other string) container.BucketSums {
		s := addRecord(container.BucketSums{}, descriptor.Member{ID: self, Incarnation: 5, Version: 1, Ready: true})
		return addRecord(s, descriptor.Member{ID: other, Incarnation: 5, State: descriptor.Suspect})
	}
	got := digest(first, second).Differ(digest(second, first))
	asserter.Equal(t, "differing buckets", container.BucketCount(got), 1)
}
