package detector

import (
	"testing"
	"time"

	"monsoonswitch/asserter"
)

func TestBelief(t *testing.T) {
	now := time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)
	after := func(b Belief, outcomes string) Belief {
		for _, o := range outcomes {
			b = b.WithOutcome(now, o == 'x', 0)
		}
		return b
	}
	t.Run("two failures in a row lower the probability of service to at most 0.3", func(t *testing.T) {
		b := after(NewBelief(now, false), "....xx")
		asserter.AtMost(t, "probability of service", b.Trust(now), 0.3)
	})
	t.Run("one failure among good answers leaves it at 0.9 or more", func(t *testing.T) {
		b := after(NewBelief(now, false), "......x..")
		asserter.AtLeast(t, "probability of service", b.Trust(now), 0.9)
	})
	t.Run("good answers raise it to 0.9 or more again", func(t *testing.T) {
		b := after(NewBelief(now, false), "xxxx......")
		asserter.AtLeast(t, "probability of service", b.Trust(now), 0.9)
	})
	t.Run("without observations it returns towards the middle", func(t *testing.T) {
		later := now.Add(20 * time.Second)
		bad, good := after(NewBelief(now, false), "xxxx"), after(NewBelief(now, false), "....")
		asserter.AtLeast(t, "after failures", bad.Trust(later), 0.6)
		asserter.AtMost(t, "after good answers", good.Trust(later), 0.85)
		asserter.AtLeast(t, "good answers against failures", good.Trust(later), bad.Trust(later))
	})
	t.Run("a backend server that just started is taken as healthy", func(t *testing.T) {
		asserter.AtLeast(t, "probability of service", NewBelief(now, true).Trust(now), 0.95)
	})
}
