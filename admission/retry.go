package admission

import "time"

// Defaults of a RetryBudget.
const (
	DefaultRetryRatio = 0.1
	// DefaultRetryFloor allows retries at a service with little traffic.
	DefaultRetryFloor = 1.0 // retries per second
	// maxRetryTokens bounds the retries that unused budget allows at once.
	maxRetryTokens = 100.0
)

// RetryBudget limits retries to a ratio of the first attempts plus a small floor per
// second, so that retries cannot amplify an overload.
type RetryBudget struct {
	ratio, floor float64
	tokens       float64
	lastRefill   time.Time
}

// NewRetryBudget returns a budget. Zero values select the defaults.
func NewRetryBudget(ratio, floorPerSecond float64, now time.Time) *RetryBudget {
	if ratio == 0 {
		ratio = DefaultRetryRatio
	}
	if floorPerSecond == 0 {
		floorPerSecond = DefaultRetryFloor
	}
	return &RetryBudget{ratio: ratio, floor: floorPerSecond, tokens: floorPerSecond, lastRefill: now}
}

// RecordFirstAttempt records a first attempt.
func (b *RetryBudget) RecordFirstAttempt() { b.tokens = min(maxRetryTokens, b.tokens+b.ratio) }

// AllowRetry reports whether a retry may be sent now and, if so, charges it to the budget.
func (b *RetryBudget) AllowRetry(now time.Time) bool {
	if d := now.Sub(b.lastRefill).Seconds(); d > 0 {
		b.lastRefill = now
		// The floor refills the budget only up to the retries of one second.
		if b.tokens < b.floor {
			b.tokens = min(b.floor, b.tokens+d*b.floor)
		}
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
