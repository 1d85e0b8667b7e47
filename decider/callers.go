package decider

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoonswitch/descriptor"
)

const (
	// lastingDifference is the time for which the lists of two instances must differ until it is noted.
	lastingDifference = 3 * time.Second
	// differenceNoteInterval is the time between two notes of that.
	differenceNoteInterval = time.Minute
)

// callerList is what is compared of the list of the instances that callers are sent to. Grantors of quotas,
// owners of slots and shares of bounds are chosen by it, so that two lists divide the fleet.
type callerList struct {
	// sum is the hash of the IDs in their order, or 0 if there are none.
	sum uint64
	// differs holds, for each linked instance with the same members and documents but another list, since
	// when that is so.
	differs map[string]time.Time
	notedAt time.Time
}

// updateCallerList records the list after a change, and notes it.
func (d *Decider[E, D, P, L]) updateCallerList() {
	list := d.index.Get(callersRole)
	h := xxhash.New()
	for _, m := range list {
		_, _ = h.WriteString(m.ID)
		_, _ = h.Write([]byte{0})
	}
	sum := max(1, h.Sum64())
	if len(list) == 0 {
		sum = 0
	}
	if sum == d.callerList.sum {
		return
	}
	d.callerList.sum = sum
	d.gossiper.SetCallers(sum)
	if d.options.Routing {
		d.note(descriptor.NoteCallers, d.options.Self.ID, fmt.Sprintf("%d instances of %d, sum %016x", len(list), d.index.Members(), sum))
	}
}

// compareCallers notes that another instance with the same members and documents has had another list
// for lastingDifference. It must not be: both compute the list from these alone.
func (d *Decider[E, D, P, L]) compareCallers(from descriptor.Member, m descriptor.Comparison) {
	if m.Callers == 0 || d.callerList.sum == 0 {
		return
	}
	if m.Members != d.gossiper.Digest().Hash() || m.Documents != d.spreader.Digest().Hash() || m.Callers == d.callerList.sum {
		delete(d.callerList.differs, from.ID)
		return
	}
	since, ok := d.callerList.differs[from.ID]
	if !ok {
		since = d.now
		d.callerList.differs[from.ID] = since
	}
	if d.now.Sub(since) >= lastingDifference && d.now.Sub(d.callerList.notedAt) >= differenceNoteInterval {
		d.callerList.notedAt = d.now
		d.note(descriptor.NoteCallersDiffer, from.ID, fmt.Sprintf("sum %016x there, %016x here", m.Callers, d.callerList.sum))
	}
}
