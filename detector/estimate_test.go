package detector

import (
	"testing"
	"time"

	"monsoonswitch/asserter"
)

func TestGrayEstimate(t *testing.T) {
	now := time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)
	after := func(e GrayEstimate, outcomes string) GrayEstimate {
		for _, o := range outcomes {
			e = e.WithOutcome(now, o == 'x', 0)
		}
		return e
	}
	t.Run("two failures in a row lower the probability of service to at most 0.3", func(t *testing.T) {
		e := after(NewGrayEstimate(now, false), "....xx")
		asserter.AtMost(t, "probability of service", e.ServeProbability(now), 0.3)
	})
	t.Run("one failure among good answers leaves it at 0.9 or more", func(t *testing.T) {
		e := after(NewGrayEstimate(now, false), "......x..")
		asserter.AtLeast(t, "probability of service", e.ServeProbability(now), 0.9)
	})
	t.Run("good answers raise it to 0.9 or more again", func(t *testing.T) {
		e := after(NewGrayEstimate(now, false), "xxxx......")
		asserter.AtLeast(t, "probability of service", e.ServeProbability(now), 0.9)
	})
	t.Run("without observations it returns towards the middle", func(t *testing.T) {
		later := now.Add(20 * time.Second)
		bad, good := after(NewGrayEstimate(now, false), "xxxx"), after(NewGrayEstimate(now, false), "....")
		asserter.AtLeast(t, "after failures", bad.ServeProbability(later), 0.6)
		asserter.AtMost(t, "after good answers", good.ServeProbability(later), 0.85)
		asserter.AtLeast(t, "good answers against failures", good.ServeProbability(later), bad.ServeProbability(later))
	})
	t.Run("a backend server that just started is taken as healthy", func(t *testing.T) {
		asserter.AtLeast(t, "probability of service", NewGrayEstimate(now, true).ServeProbability(now), 0.95)
	})
}
