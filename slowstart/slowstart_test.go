package slowstart

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against a share that lets two owners exceed the limit, and against a limit without
// settings.
func TestShareIsHalfOfTheLimit(t *testing.T) {
	for _, c := range []struct {
		limit   Limit
		enabled bool
		share   int
	}{
		{Limit{}, false, 0}, {Limit{Rate: 10}, false, 0}, {Limit{0, 1.5, 5}, true, 2}, {Limit{10, 1.5, 5}, true, 10},
		{Limit{10, 0, 1}, true, 0}, {Limit{10, 1.5, 0}, true, 7}, {Limit{1e9, 1e6, 1e6}, true, 1<<31 - 1},
	} {
		if c.limit.Enabled() != c.enabled || c.limit.Share() != c.share {
			t.Errorf("%+v: enabled %v, share %d; want %v, %d", c.limit, c.limit.Enabled(), c.limit.Share(), c.enabled, c.share)
		}
	}
}

// Guards against more than a share of packets in any span, against a window that stays closed once
// the span is over, and against one that counts what it rejects.
func TestWindowHoldsOneShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.IntRange(0, 12).Draw(t, "share")
		var w Window
		var now time.Duration
		var taken []time.Duration
		for _, step := range rapid.SliceOfN(rapid.IntRange(0, 400), 1, 200).Draw(t, "steps") {
			now += time.Duration(step) * time.Millisecond
			recent, certain := 0, 0
			for _, at := range taken {
				if at > now-Span {
					certain++
				}
				if at > now-Span-slotTime {
					recent++
				}
			}
			allowed := w.Allows(now, share)
			if ok := w.Take(now, share); ok != allowed {
				t.Fatalf("%v: Allows %v, Take %v", now, allowed, ok)
			}
			switch {
			case allowed && certain >= share:
				t.Fatalf("%v: packet %d of %d in a span", now, certain+1, share)
			case !allowed && recent < share:
				t.Fatalf("%v: rejected with %d of %d packets", now, recent, share)
			case allowed:
				taken = append(taken, now)
			}
		}
	})
}

// Guards against allocations for each opening packet.
func TestWindowDoesNotAllocate(t *testing.T) {
	var w Window
	var now time.Duration
	if n := testing.AllocsPerRun(1000, func() { now += 10 * time.Millisecond; w.Take(now, 5) }); n != 0 {
		t.Errorf("%v allocations", n)
	}
}
