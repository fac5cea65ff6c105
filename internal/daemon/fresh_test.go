package daemon

import (
	"testing"
	"time"
)

// Guards against a paused instance that serves its queue with a configuration that its
// peers have replaced.
func TestFreshness(t *testing.T) {
	const ms = time.Millisecond
	var f freshness
	f.tick(0)
	f.heard(10*ms, 4)
	for _, tc := range []struct {
		what    string
		do      func()
		at      time.Duration
		version uint64
		alone   bool
		want    bool
	}{
		{"running", func() {}, 40 * ms, 4, false, true},
		{"a peer announced a higher version", func() {}, 40 * ms, 3, false, false},
		{"paused, the tick has not run yet", func() {}, 900 * ms, 4, false, false},
		{"woken, no peer heard", func() { f.tick(900 * ms) }, 910 * ms, 4, false, false},
		{"woken without peers", func() {}, 910 * ms, 4, true, true},
		{"a peer confirmed the version", func() { f.heard(920*ms, 4) }, 930 * ms, 4, false, true},
		{"a peer has a higher one", func() { f.heard(940*ms, 5) }, 945 * ms, 4, false, false},
	} {
		tc.do()
		if got := f.current(tc.at, tc.version, tc.alone); got != tc.want {
			t.Errorf("%s: current = %v, want %v", tc.what, got, tc.want)
		}
	}
}
