package allocator

import (
	"time"

	"monsoonswitch/container"
)

// absenceMemory is how long an instance that is no longer heard of counts as one that may
// live: a cut can last for minutes.
const absenceMemory = 5 * time.Minute

// Census counts the instances of the fleet, including those that this instance no longer
// hears of. It is not safe for concurrent use.
type Census struct {
	// absent holds when each instance was heard of last that is not a member any more and did
	// not announce its end.
	absent *container.Table[string, time.Time]
}

// NewCensus returns a census without absent instances.
func NewCensus() *Census { return &Census{absent: container.NewTable[string, time.Time]()} }

// Lose records that an instance is not heard of any more.
func (c *Census) Lose(id string, now time.Time) { c.absent.Put(id, now) }

// Return records that an instance is a member again or announced its end.
func (c *Census) Return(id string) { c.absent.Delete(id) }

// Heard returns the share of the fleet that is heard of, where this instance knows the given
// number of members. It forgets instances that were lost absenceMemory ago.
func (c *Census) Heard(members int, now time.Time) float64 {
	var forgotten []string
	for id, at := range c.absent.All {
		if now.Sub(at) >= absenceMemory {
			forgotten = append(forgotten, id)
		}
	}
	for _, id := range forgotten {
		c.absent.Delete(id)
	}
	members = max(1, members)
	return float64(members) / float64(members+c.absent.Len())
}
