package descriptor

import "strconv"

// eraShift is the position of the era in a revision. 44 bits hold 17 million million revisions,
// which a store with a thousand writes a second reaches after 550 years.
const eraShift = 44

// StampRevision returns the revision of a store as one number that also orders the revisions of a
// store that was restored from an older copy: the era, which grows with each restore, in the high
// bits. In era 0 it is the revision itself, so that earlier builds order it the same way.
func StampRevision(era, revision uint64) uint64 {
	return min(era, 1<<(64-eraShift)-1)<<eraShift | min(revision, 1<<eraShift-1)
}

// SplitRevision returns the era and the revision of the store in a stamped revision.
func SplitRevision(stamped uint64) (era, revision uint64) {
	return stamped >> eraShift, stamped & (1<<eraShift - 1)
}

// RevisionText returns a stamped revision for logs: the revision, after the era unless that is 0.
func RevisionText(stamped uint64) string {
	era, revision := SplitRevision(stamped)
	text := strconv.FormatUint(revision, 10)
	if era > 0 {
		text = strconv.FormatUint(era, 10) + "." + text
	}
	return text
}
