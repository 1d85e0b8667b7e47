package limiter

import (
	"fmt"
	"testing"
	"time"

	"monsoonswitch/asserter"
)

var epoch = time.Unix(1000, 0)

// after returns a time after epoch.
func after(d time.Duration) time.Time { return epoch.Add(d) }

// TestParts guards against parts of a limit that add up to more than it, or to saved requests that
// are many against it.
func TestParts(t *testing.T) {
	for _, limit := range []float64{0.1, 0.5, 1, 3.3, 6.2, 40} {
		for _, count := range []int{1, 2, 6, 15, 70} {
			t.Run(fmt.Sprintf("%v a second, %d owners", limit, count), func(t *testing.T) {
				sum, senders := 0.0, 0
				for turn := range count {
					part := Part(limit, count, turn)
					sum += part
					if part > 0 {
						senders++
					}
				}
				asserter.AtMost(t, "sum", sum, 1+1e-9)
				asserter.AtLeast(t, "sum", sum, 1-1e-9)
				asserter.AtMost(t, "saved requests", float64(maxBurst*senders), 1+burstPerLimit*limit)
			})
		}
	}
}

// named returns an allowance of a half of a limit of 2 requests a second that was named at epoch.
func named() Allowance {
	return Allowance{}.WithLimit(epoch, epoch, 2).WithPart(epoch, 0.5)
}

func TestAllowance(t *testing.T) {
	t.Run("it starts empty", func(t *testing.T) {
		asserter.Equal(t, "open", named().Open(after(900*time.Millisecond)), false)
		asserter.Equal(t, "open", named().Open(after(time.Second)), true)
	})
	t.Run("a pause of this process saves one request", func(t *testing.T) {
		a := named()
		now := after(30 * time.Second)
		asserter.Equal(t, "open", a.Open(now), true)
		a = a.WithRequest(now)
		asserter.Equal(t, "open", a.Open(now), false)
	})
	t.Run("older news does not count", func(t *testing.T) {
		a := named().WithLimit(after(time.Second), after(-time.Second), 100)
		asserter.Equal(t, "limit", a.Limit, 2.0)
	})
	t.Run("an end", func(t *testing.T) {
		a := named().WithLimit(after(time.Second), after(500*time.Millisecond), 0)
		asserter.Equal(t, "active", a.Active(after(time.Second)), false)
		asserter.Equal(t, "open", a.WithRequest(after(time.Second)).Open(after(time.Second)), true)
	})
	t.Run("without news it ends", func(t *testing.T) {
		asserter.Equal(t, "active before", named().Active(after(allowanceTime-time.Second)), true)
		asserter.Equal(t, "active after", named().Active(after(allowanceTime)), false)
	})
	t.Run("a share that returns starts with what was left", func(t *testing.T) {
		a := named().WithPart(after(500*time.Millisecond), 0).WithPart(after(20*time.Second), 0.5)
		asserter.Equal(t, "open", a.Open(after(20*time.Second)), false)
	})
	t.Run("no limit", func(t *testing.T) {
		asserter.Equal(t, "open", Allowance{}.Open(epoch), true)
	})
}
