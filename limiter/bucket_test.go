package limiter

import (
	"math/rand/v2"
	"testing"
	"time"

	"monsoonswitch/asserter"
)

func TestBucket(t *testing.T) {
	const rate, size = 10, 5
	t.Run("it starts empty", func(t *testing.T) {
		asserter.Equal(t, "whole", NewBucket(epoch).WithTime(epoch, rate, size).Whole(), 0)
	})
	t.Run("it fills with time up to its size", func(t *testing.T) {
		asserter.Equal(t, "after 0.3 s", NewBucket(epoch).WithTime(after(300*time.Millisecond), rate, size).Whole(), 3)
		asserter.Equal(t, "after a minute", NewBucket(epoch).WithTime(after(time.Minute), rate, size).Whole(), size)
	})
	t.Run("a smaller size takes effect at once", func(t *testing.T) {
		b := NewBucket(epoch).WithTime(after(time.Minute), rate, size)
		asserter.Equal(t, "whole", b.WithSize(2).Whole(), 2)
	})
	t.Run("a clock that steps back adds nothing, then or later", func(t *testing.T) {
		b := NewBucket(epoch).WithTime(after(200*time.Millisecond), rate, size)
		b = b.WithTime(epoch, rate, size).WithTime(after(200*time.Millisecond), rate, size)
		asserter.Equal(t, "whole", b.Whole(), 2)
	})
	t.Run("the wait is until one request", func(t *testing.T) {
		asserter.Equal(t, "empty", NewBucket(epoch).Wait(rate), 100*time.Millisecond)
		asserter.Equal(t, "full", NewBucket(epoch).WithTime(after(time.Minute), rate, size).Wait(rate), time.Duration(0))
	})
}

// TestBucketSequences guards against more requests than rate and size allow in any span of a
// random sequence of requests.
func TestBucketSequences(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 1))
		rate, size := 1+50*random.Float64(), 1+20*random.Float64()
		now := epoch
		b := NewBucket(now)
		var times []time.Time
		for range 300 {
			now = now.Add(time.Duration(random.IntN(200)) * time.Millisecond)
			b = b.WithTime(now, rate, size)
			n := min(b.Whole(), random.IntN(10))
			b = b.WithRequests(n)
			for range n {
				times = append(times, now)
			}
		}
		for i := range times {
			for j := i; j < len(times); j++ {
				asserter.AtMost(t, "requests of a span", float64(j-i+1), rate*times[j].Sub(times[i]).Seconds()+size+1e-6)
			}
		}
	}
}
