package container

import "math/bits"

// Buckets is the number of buckets in BucketSums.
const Buckets = 64

// BucketSums is a digest of a set of named records. The hash of each record is added to
// one of a fixed number of buckets, so that comparing two digests shows in which
// buckets the sets differ.
type BucketSums struct {
	// Buckets holds the sum of the hashes in each bucket, modulo 2^64.
	Buckets [Buckets]uint64
	// Count is the number of records in the set.
	Count int
}

// Bucket returns the bucket for the hash of a record's name: its upper 6 bits.
func Bucket(nameHash uint64) int { return int(nameHash >> 58) }

// With returns s with a record's hash added to the bucket of its name.
func (s BucketSums) With(nameHash, hash uint64) BucketSums {
	s.Buckets[Bucket(nameHash)] += hash
	s.Count++
	return s
}

// Without returns s with a record's hash subtracted from the bucket of its name.
func (s BucketSums) Without(nameHash, hash uint64) BucketSums {
	s.Buckets[Bucket(nameHash)] -= hash
	s.Count--
	return s
}

// Scramble mixes the bits of a record's hash that is linear in a version. Without it the sums of
// two records of a bucket are equal if one is newer by as much as the other is older.
func Scramble(hash uint64) uint64 {
	hash = (hash ^ hash>>33) * hashMultiplier
	hash = (hash ^ hash>>29) * scrambleMultiplier
	return hash ^ hash>>32
}

// scrambleMultiplier is another odd multiplier with many bits set.
const scrambleMultiplier = 0xbf58476d1ce4e5b9

// Differ returns the set of buckets in which s and o differ, as one bit for each
// bucket.
func (s BucketSums) Differ(o BucketSums) uint64 {
	var set uint64
	for i := range s.Buckets {
		if s.Buckets[i] != o.Buckets[i] {
			set |= 1 << i
		}
	}
	return set
}

// Hash returns a 64-bit hash of s. Different sums may have the same hash, but
// rarely do.
func (s BucketSums) Hash() uint64 {
	sum := uint64(s.Count)
	for _, b := range s.Buckets {
		sum = bits.RotateLeft64(sum, 5)*hashMultiplier + b
	}
	return sum
}

// hashMultiplier is an odd multiplier with many bits set, which mixes the bits of the
// hash: 2^64 divided by the golden ratio.
const hashMultiplier = 0x9e3779b97f4a7c15

// differenceDivisor defines the limit of DiffersWidely: a difference of more than
// 1/20 of the larger count.
const differenceDivisor = 20

// DiffersWidely reports whether the counts of s and o differ by more than 5% of the
// larger count.
func (s BucketSums) DiffersWidely(o BucketSums) bool {
	difference := s.Count - o.Count
	if difference < 0 {
		difference = -difference
	}
	return difference*differenceDivisor > max(s.Count, o.Count)
}

// InBuckets reports whether the bucket for the hash of a name is in a set of
// buckets.
func InBuckets(set, nameHash uint64) bool { return set&(1<<Bucket(nameHash)) != 0 }

// BucketCount returns the number of buckets in a set.
func BucketCount(set uint64) int { return bits.OnesCount64(set) }
