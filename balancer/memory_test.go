package balancer

import (
	"testing"

	"monsoonswitch/asserter"
	"monsoonswitch/descriptor"
)

// TestNoMemory checks that a request whose body the instance can't pass on is refused before
// anything is sent, and only that one.
func TestNoMemory(t *testing.T) {
	noMemory := func(e *descriptor.Arrived) { e.Body, e.NoMemory = true, true }
	x := newFixture(t, 1, 6, 3)
	t.Run("it is refused as not run, with a time to come back", func(t *testing.T) {
		id, p := x.arrive("visit", noMemory)
		asserter.True(t, "not sent", p == nil)
		refused := x.refused(id)
		asserter.True(t, "refused", refused != nil)
		asserter.Equal(t, "refusal", *refused, descriptor.Refuse{Request: id, Reason: descriptor.UploadsFull, Outcome: descriptor.NotRun, Retry: retryAfter})
	})
	t.Run("others are sent", func(t *testing.T) {
		_, p := x.arrive("visit", nil)
		asserter.True(t, "sent", p != nil)
	})
}
