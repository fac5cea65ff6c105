package daemon

import (
	"testing"
	"time"

	"github.com/monsoonthread/monsoonthread/admission"
	"github.com/monsoonthread/monsoonthread/config"
	"github.com/monsoonthread/monsoonthread/result"
)

// Guards against a refusal as "not run" after an earlier attempt may have run the
// request.
func TestRefusalAfterAttemptWithUnknownOutcome(t *testing.T) {
	refused := result.Errorf(result.QueueFull, "not run: the queue is full")
	for _, tc := range []struct {
		mayHaveRun bool
		want       result.Code
	}{{false, result.QueueFull}, {true, result.OutcomeUnknown}} {
		var got result.Code
		r := &request{mayHaveRun: tc.mayHaveRun, done: func(o outcome) { got = result.CodeOf(o.err) }}
		r.fail(refused, 0)
		if got != tc.want {
			t.Errorf("mayHaveRun %v: code %d, want %d", tc.mayHaveRun, got, tc.want)
		}
	}
}

// Guards against a retry that runs a non-idempotent request twice.
func TestMayRetry(t *testing.T) {
	now := time.Unix(1000, 0)
	d := &Daemon{}
	d.retries.budgets = map[uint32]*admission.RetryBudget{}
	svc := &service{Service: &config.Service{ID: 1, Name: "orders"}}
	for _, tc := range []struct {
		what       string
		idempotent bool
		code       result.Code
		attempts   int
		left       time.Duration
		want       bool
	}{
		{"refused, non-idempotent", false, result.NotDispatcher, 1, time.Second, true},
		{"link lost, non-idempotent", false, result.DispatcherLost, 1, time.Second, false},
		{"backend server failed, non-idempotent", false, result.BackendFailed, 1, time.Second, false},
		{"link lost, idempotent", true, result.DispatcherLost, 1, time.Second, true},
		{"timeout, idempotent", true, result.BackendTimeout, 1, time.Second, false},
		{"attempts used up", true, result.NotDispatcher, maxAttempts, time.Second, false},
		{"no time left", true, result.NotDispatcher, 1, time.Millisecond, false},
	} {
		r := &request{service: svc, idempotent: tc.idempotent, attempts: tc.attempts, deadline: now.Add(tc.left)}
		if got := d.mayRetry(r, tc.code, now); got != tc.want {
			t.Errorf("%s: retry = %v, want %v", tc.what, got, tc.want)
		}
	}
}
