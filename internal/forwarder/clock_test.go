package forwarder

import (
	"testing"
	"time"
)

// Guards against treating records as current after the machine was suspended. Only the
// boot-time clock counts suspended time; the monotonic clock does not.
func TestStallDetector(t *testing.T) {
	detector := stallDetector{offset: 100 * time.Second}
	monotonic := time.Duration(0)
	for _, step := range []struct {
		name                    string
		monotonic, suspend      time.Duration
		wantSuspended, wantLate time.Duration
	}{
		{name: "on time", monotonic: stallCheckInterval},
		{name: "a little late", monotonic: stallCheckInterval + 40*time.Millisecond, wantLate: 40 * time.Millisecond},
		{name: "frozen", monotonic: 4 * time.Second, wantLate: 4*time.Second - stallCheckInterval},
		{name: "suspended", monotonic: stallCheckInterval, suspend: 3 * time.Second, wantSuspended: 3 * time.Second, wantLate: 3 * time.Second},
		{name: "on time again", monotonic: stallCheckInterval},
	} {
		monotonic += step.monotonic
		offset := detector.offset + step.suspend
		suspended, late := detector.check(monotonic+offset, monotonic)
		if suspended != step.wantSuspended || late != step.wantLate {
			t.Errorf("%s: suspended %v, late %v; want %v, %v", step.name, suspended, late, step.wantSuspended, step.wantLate)
		}
	}
	if suspended, _ := detector.check(0, monotonic+stallCheckInterval); suspended != 0 {
		t.Errorf("suspended %v without a boot-time clock", suspended)
	}
}
