package forwarder

import (
	"testing"
	"time"
)

// Guards against records that count as current after the machine was suspended: the
// monotonic clock does not count that time, the boot-time clock does.
func TestGapDetector(t *testing.T) {
	g := gapDetector{offset: 100 * time.Second}
	monotonic := time.Duration(0)
	for _, step := range []struct {
		name                    string
		monotonic, suspend      time.Duration
		wantSuspended, wantLate time.Duration
	}{
		{name: "on time", monotonic: gapInterval},
		{name: "a little late", monotonic: gapInterval + 40*time.Millisecond, wantLate: 40 * time.Millisecond},
		{name: "frozen", monotonic: 4 * time.Second, wantLate: 4*time.Second - gapInterval},
		{name: "suspended", monotonic: gapInterval, suspend: 3 * time.Second, wantSuspended: 3 * time.Second, wantLate: 3 * time.Second},
		{name: "on time again", monotonic: gapInterval},
	} {
		monotonic += step.monotonic
		offset := g.offset + step.suspend
		suspended, late := g.check(monotonic+offset, monotonic)
		if suspended != step.wantSuspended || late != step.wantLate {
			t.Errorf("%s: suspended %v, late %v; want %v, %v", step.name, suspended, late, step.wantSuspended, step.wantLate)
		}
	}
	if suspended, _ := g.check(0, monotonic+gapInterval); suspended != 0 {
		t.Errorf("suspended %v without a boot-time clock", suspended)
	}
}
