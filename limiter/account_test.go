package limiter

import (
	"math/rand/v2"
	"testing"

	"monsoonswitch/asserter"
)

func TestAccount(t *testing.T) {
	t.Run("needed amounts are granted up to the limit", func(t *testing.T) {
		a, ok := NewAccount(100, 30).WithNeeded(100)
		asserter.True(t, "granted", ok)
		full, ok := a.WithNeeded(1)
		asserter.True(t, "refused", !ok)
		asserter.Equal(t, "account after a refusal", full, a)
	})
	t.Run("optional amounts leave the reserved part", func(t *testing.T) {
		a, ok := NewAccount(100, 30).WithOptional(70)
		asserter.True(t, "granted", ok)
		_, ok = a.WithOptional(1)
		asserter.True(t, "refused", !ok)
		_, ok = a.WithNeeded(30)
		asserter.True(t, "needed amount granted", ok)
	})
	t.Run("nothing optional is granted while needed amounts hold the rest", func(t *testing.T) {
		a, _ := NewAccount(100, 30).WithNeeded(90)
		_, ok := a.WithOptional(1)
		asserter.True(t, "refused", !ok)
	})
	t.Run("what is returned can be taken again", func(t *testing.T) {
		a, _ := NewAccount(100, 30).WithNeeded(100)
		a, ok := a.WithReturned(40).WithNeeded(40)
		asserter.True(t, "granted", ok)
		asserter.Equal(t, "held", a.Held(), 100)
	})
}

// TestAccountSequences checks that an account stays within its bounds in random sequences, and that
// nothing is held once everything was returned.
func TestAccountSequences(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 0))
		limit := 1 + random.IntN(1000)
		a := NewAccount(limit, random.IntN(limit+1))
		var taken []int
		for range 200 {
			n, ok := random.IntN(300), false
			switch random.IntN(3) {
			case 0:
				a, ok = a.WithNeeded(n)
			case 1:
				a, ok = a.WithOptional(n)
			default:
				if last := len(taken) - 1; last >= 0 {
					a, taken = a.WithReturned(taken[last]), taken[:last]
				}
			}
			if ok {
				taken = append(taken, n)
			}
			asserter.AtLeast(t, "held", a.Held(), 0)
			asserter.AtMost(t, "held", a.Held(), limit)
		}
		for _, n := range taken {
			a = a.WithReturned(n)
		}
		asserter.Equal(t, "held at the end", a.Held(), 0)
	}
}
