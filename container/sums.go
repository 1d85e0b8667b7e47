package container

import "math/bits"

// Buckets is the number of sums of Sums.
const Buckets = 64

// Sums tells two sets of hashes apart and where they differ: each hash is added
// to one of a fixed number of sums.
type Sums struct {
	// Buckets holds the sums modulo 2^64.
	Buckets [Buckets]uint64
	// Count is the number of hashes added.
	Count int
}

// Bucket returns the bucket of a record by the hash of its name.
func Bucket(nameHash uint64) int { return int(nameHash >> 58) }

// With returns s with a record's hash added to the bucket of its name.
func (s Sums) With(nameHash, hash uint64) Sums {
	s.Buckets[Bucket(nameHash)] += hash
	s.Count++
	return s
}

// Without returns s with a record's hash taken out.
func (s Sums) Without(nameHash, hash uint64) Sums {
	s.Buckets[Bucket(nameHash)] -= hash
	s.Count--
	return s
}

// Differ returns the set of buckets in which s and o differ, one bit each.
func (s Sums) Differ(o Sums) uint64 {
	var set uint64
	for i := range s.Buckets {
		if s.Buckets[i] != o.Buckets[i] {
			set |= 1 << i
		}
	}
	return set
}

// Fold returns one number that differs for most sums that differ.
func (s Sums) Fold() uint64 {
	sum := uint64(s.Count)
	for _, b := range s.Buckets {
		sum = bits.RotateLeft64(sum, 5)*foldStep + b
	}
	return sum
}

// foldStep is an odd multiplier with many bits set.
const foldStep = 0x9e3779b97f4a7c15

// farShare is the part by which counts differ if one set is far behind.
const farShare = 20

// Far tells whether one of s and o lacks a good part of the other.
func (s Sums) Far(o Sums) bool {
	difference := s.Count - o.Count
	if difference < 0 {
		difference = -difference
	}
	return difference*farShare > max(s.Count, o.Count)
}

// InBuckets tells whether a name belongs to a set of buckets.
func InBuckets(set, nameHash uint64) bool { return set&(1<<Bucket(nameHash)) != 0 }

// BucketCount returns the number of buckets in a set.
func BucketCount(set uint64) int { return bits.OnesCount64(set) }
