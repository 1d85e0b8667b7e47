package container

import "encoding/binary"

// checkBytes is the size of the check of one bucket.
const checkBytes = 2

// Checks returns a check of each bucket, in an eighth of the bytes of the sums. Different sums
// have the same check once in 65,536 times.
func (s BucketSums) Checks() []byte {
	result := make([]byte, 0, Buckets*checkBytes)
	for _, b := range s.Buckets {
		result = binary.BigEndian.AppendUint16(result, check(b))
	}
	return result
}

func check(sum uint64) uint16 { return uint16(sum ^ sum>>16 ^ sum>>32 ^ sum>>48) }

// DifferChecks returns the set of buckets whose checks differ from the given ones, and false if
// these are not the checks of all buckets.
func (s BucketSums) DifferChecks(checks []byte) (uint64, bool) {
	if len(checks) != Buckets*checkBytes {
		return 0, false
	}
	var set uint64
	for i, b := range s.Buckets {
		if binary.BigEndian.Uint16(checks[i*checkBytes:]) != check(b) {
			set |= 1 << i
		}
	}
	return set, true
}

// Sparse returns the set of buckets whose sum is not 0, and their sums.
func (s BucketSums) Sparse() (uint64, []uint64) {
	var set uint64
	var sums []uint64
	for i, b := range s.Buckets {
		if b != 0 {
			set |= 1 << i
			sums = append(sums, b)
		}
	}
	return set, sums
}

// FromSparse returns the sums of a number of records, given the buckets whose sum is not 0 and
// their sums. It returns false if there is not a sum for each of these buckets.
func FromSparse(count int, set uint64, sums []uint64) (BucketSums, bool) {
	s := BucketSums{Count: count}
	if BucketCount(set) != len(sums) {
		return s, false
	}
	next := 0
	for i := range s.Buckets {
		if set&(1<<i) != 0 {
			s.Buckets[i] = sums[next]
			next++
		}
	}
	return s, true
}
