// Package retrier bounds retries and hedges by a share of recent successes.
package retrier

// Parameters of a budget.
const (
	// share is the number of retries earned by one success.
	share = 0.1
	// limit bounds the retries saved up.
	limit = 10
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts = 3
)

// Budget is the number of retries that may be spent now.
type Budget struct {
	// Left is from 0 to limit.
	Left float64
}

// NewBudget returns a full budget.
func NewBudget() Budget { return Budget{Left: limit} }

// WithSuccess returns b after one success.
func (b Budget) WithSuccess() Budget {
	b.Left = min(limit, b.Left+share)
	return b
}

// WithRetry returns b after one retry and whether there was room for it.
func (b Budget) WithRetry() (Budget, bool) {
	if b.Left < 1 {
		return b, false
	}
	b.Left--
	return b, true
}
