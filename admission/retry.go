package admission

import "time"

// Defaults of a RetryBudget.
const (
	DefaultRetryRatio = 0.1
	// DefaultRetryFloor lets a service with little traffic retry at all.
	DefaultRetryFloor = 1.0 // retries per second
	// retryBurst bounds the retries that a quiet time saves up.
	retryBurst = 100.0
)

// RetryBudget limits retries to a share of the first tries plus a small floor per
// second, so that retries cannot amplify an overload.
type RetryBudget struct {
	ratio, floor float64
	tokens       float64
	last         time.Time
}

// NewRetryBudget returns a budget; zero values take the defaults.
func NewRetryBudget(ratio, floorPerSecond float64, now time.Time) *RetryBudget {
	if ratio == 0 {
		ratio = DefaultRetryRatio
	}
	if floorPerSecond == 0 {
		floorPerSecond = DefaultRetryFloor
	}
	return &RetryBudget{ratio: ratio, floor: floorPerSecond, tokens: floorPerSecond, last: now}
}

// First records a first try.
func (b *RetryBudget) First() { b.tokens = min(retryBurst, b.tokens+b.ratio) }

// Retry reports whether a retry may be sent now, and takes it from the budget.
func (b *RetryBudget) Retry(now time.Time) bool {
	if d := now.Sub(b.last).Seconds(); d > 0 {
		b.last = now
		// The floor only fills the budget up to one second's worth.
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
