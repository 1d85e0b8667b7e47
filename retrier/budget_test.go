package retrier

import (
	"math/rand/v2"
	"testing"
	"time"

	"monsoonswitch/asserter"
)

// TestBounds sends every retry that the budgets of a fleet allow, under several
// loads and numbers of instances, and compares each window with the bounds.
func TestBounds(t *testing.T) {
	bounds := Bounds{Ratio: 0.2, Extra: 50, Window: 10 * time.Second}
	loads := map[string]func(second int) int{
		"none":   func(int) int { return 0 },
		"steady": func(int) int { return 80 },
		"burst":  func(s int) int { return 20 + 300*(s/15%2) },
	}
	for name, load := range loads {
		for _, instances := range []int{1, 6, 16, 40, 100} {
			t.Run(name, func(t *testing.T) {
				requests, retries := simulate(bounds, instances, load)
				for end := 20; end < len(requests); end++ {
					allowed := bounds.Ratio*float64(max(sum(requests, end-10, end), sum(requests, end-20, end-10))) + bounds.Extra
					asserter.AtMost(t, "retries in a window", float64(sum(retries, end-10, end)), allowed)
				}
			})
		}
	}
}

// simulate returns the numbers of requests and retries in each second.
func simulate(bounds Bounds, instances int, load func(int) int) (requests, retries []int) {
	terms := bounds.OwnerTerms(instances, 1)
	budgets := make([]Budget, instances)
	random := rand.New(rand.NewPCG(1, uint64(instances)))
	now := time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)
	for second := range 90 {
		n, spent := load(second), 0
		for i := range n {
			k := i % instances
			budgets[k] = budgets[k].WithTime(now, terms).WithRequest(terms)
		}
		for k := range budgets {
			budgets[k] = budgets[k].WithTime(now.Add(time.Second), terms)
			for ok := true; ok; {
				if budgets[k], ok = budgets[k].WithRetry(terms, random.Float64()); ok {
					spent++
				}
			}
		}
		requests, retries = append(requests, n), append(retries, spent)
		now = now.Add(time.Second)
	}
	return requests, retries
}

func sum(list []int, from, to int) int {
	n := 0
	for _, v := range list[from:to] {
		n += v
	}
	return n
}

// TestPartOfRetry guards against instances with less than a whole retry that never retry, or
// that send more retries than they earn.
func TestPartOfRetry(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	terms := Bounds{Ratio: 0.2, Extra: 50, Window: 10 * time.Second}.NonOwnerTerms()
	now := time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)
	const requests = 10_000
	b, sent := NewEmptyBudget(), 0
	for range requests {
		now = now.Add(time.Second)
		b = b.WithTime(now, terms).WithRequest(terms)
		var ok bool
		if b, ok = b.WithRetry(terms, random.Float64()); ok {
			sent++
		}
	}
	earned := terms.PerRequest * requests
	asserter.AtMost(t, "retries for those earned", float64(sent), 1.1*earned)
	asserter.AtLeast(t, "retries for those earned", float64(sent), 0.9*earned)
	t.Run("what was saved is lost in time", func(t *testing.T) {
		full := Budget{Left: 1, At: now}
		asserter.AtMost(t, "left after a window", full.WithTime(now.Add(10*time.Second), terms).Left, 0.37)
	})
}
