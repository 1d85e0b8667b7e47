package detector

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"monsoonswitch/asserter"
)

// reference returns the distribution of n lognormal service times.
func reference(n int) Reference {
	random := rand.New(rand.NewPCG(1, 2))
	var r Reference
	for range n {
		r = r.WithDuration(time.Duration(20e6 * math.Exp(0.5*random.NormFloat64())))
	}
	return r
}

func TestReference(t *testing.T) {
	t.Run("tail probabilities fall with the duration and stay positive", func(t *testing.T) {
		r := reference(3000)
		before := 1.0
		for d := time.Millisecond; d < time.Hour; d *= 2 {
			p := r.Tail(d, time.Second)
			asserter.AtMost(t, d.String(), p, before)
			asserter.True(t, "positive", p > 0)
			before = p
		}
		asserter.AtMost(t, "at ten times the median", r.Tail(200*time.Millisecond, time.Second), 0.01)
	})
	t.Run("an unknown class is judged by its target", func(t *testing.T) {
		var r Reference
		asserter.Equal(t, "known", r.Known(), false)
		asserter.AtLeast(t, "within the target", r.Tail(100*time.Millisecond, time.Second), 0.5)
		asserter.AtMost(t, "far beyond it", r.Tail(time.Minute, time.Second), 0.001)
	})
	t.Run("the weight of old observations is bounded", func(t *testing.T) {
		r := reference(20000)
		asserter.AtMost(t, "weight", float64(r.total), maxReferenceWeight)
	})
}

func TestSequential(t *testing.T) {
	var p Sequential
	feed := func(n int, o Observation) Evidence {
		var e Evidence
		for range n {
			e = p.Observe(e, o)
		}
		return e
	}
	t.Run("good answers leave the score at zero", func(t *testing.T) {
		asserter.Equal(t, "score", p.Score(feed(100, Observation{Tail: 0.5})), 0.0)
	})
	t.Run("failures reach the limit", func(t *testing.T) {
		asserter.AtLeast(t, "score", p.Score(feed(8, Observation{Failed: true})), p.Limit())
	})
	t.Run("failures at the rate of the peers leave the score at zero", func(t *testing.T) {
		asserter.Equal(t, "score", p.Score(feed(50, Observation{Failed: true, Base: 0.3})), 0.0)
	})
	t.Run("an open request adds more to the score the older it is", func(t *testing.T) {
		asserter.AtMost(t, "young", p.OverdueScore(0.9), 0.1)
		asserter.AtLeast(t, "old", p.OverdueScore(1e-4), 5)
	})
	t.Run("healthy servers stay below the limit", func(t *testing.T) {
		random := rand.New(rand.NewPCG(3, 4))
		var e Evidence
		worst := 0.0
		for range 1_000_000 {
			e = p.Observe(e, Observation{Tail: max(1e-9, random.Float64())})
			worst = max(worst, p.Score(e))
		}
		asserter.AtMost(t, "largest score", worst, p.Limit())
	})
}
