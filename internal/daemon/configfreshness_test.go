package daemon

import (
	"testing"
	"time"
)

// Guards against an instance that resumes after a pause and processes queued datagrams
// with a configuration that its peers have already replaced.
func TestConfigFreshness(t *testing.T) {
	const ms = time.Millisecond
	var f configFreshness
	f.recordTick(0)
	f.recordHeartbeat(10*ms, 4)
	for _, tc := range []struct {
		what    string
		do      func()
		at      time.Duration
		version uint64
		noPeers bool
		want    bool
	}{
		{"running", func() {}, 40 * ms, 4, false, true},
		{"a peer announced a higher version", func() {}, 40 * ms, 3, false, false},
		{"paused, the tick has not run yet", func() {}, 900 * ms, 4, false, false},
		{"resumed, no heartbeat yet", func() { f.recordTick(900 * ms) }, 910 * ms, 4, false, false},
		{"resumed without peers", func() {}, 910 * ms, 4, true, true},
		{"a peer confirmed the version", func() { f.recordHeartbeat(920*ms, 4) }, 930 * ms, 4, false, true},
		{"a peer announced a higher version after the pause", func() { f.recordHeartbeat(940*ms, 5) }, 945 * ms, 4, false, false},
	} {
		tc.do()
		if got := f.isCurrent(tc.at, tc.version, tc.noPeers); got != tc.want {
			t.Errorf("%s: isCurrent = %v, want %v", tc.what, got, tc.want)
		}
	}
}
