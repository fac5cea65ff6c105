package timeline

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against repeated or decreasing timestamps when the wall clock is set back, many
// events occur in one millisecond, or a received timestamp is ahead of the wall clock.
func TestClockIsMonotonicAndCausal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.UnixMilli(1_000_000)
		c := NewClock(func() time.Time { return now })
		var last uint64
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(-2000, 2000).Draw(t, "ms")) * time.Millisecond)
			offset := rapid.IntRange(-15000, 15000).Draw(t, "offset")
			remote := Timestamp(now.Add(time.Duration(offset)*time.Millisecond)) + rapid.Uint64Range(0, maxLogical).Draw(t, "logical")
			clamped := c.Clamped()
			c.Observe(remote)
			tooFar := Millis(remote) > uint64(now.Add(maxClockSkew).UnixMilli())
			if tooFar != (c.Clamped() > clamped) {
				t.Fatalf("remote %d at %d: clamped %d after %d", Millis(remote), now.UnixMilli(), c.Clamped(), clamped)
			}
			ts := c.Now()
			if ts <= last || !tooFar && ts <= remote {
				t.Fatalf("timestamp %d after %d and remote %d", ts, last, remote)
			}
			last = ts
		}
	})
}

// Guards against a clock that follows a remote wall clock that is an hour ahead.
func TestClockClampsRemoteTimestamps(t *testing.T) {
	now := time.UnixMilli(5_000_000)
	c := NewClock(func() time.Time { return now })
	c.Observe(Timestamp(now.Add(time.Hour)))
	if ahead := Time(c.Now()).Sub(now); ahead > maxClockSkew+time.Millisecond || c.Clamped() != 1 {
		t.Errorf("%v ahead, %d clamped", ahead, c.Clamped())
	}
}

// Guards against events that are lost, repeated or out of order when they are read in
// batches, and against overwritten events that are not reported.
func TestRingReadsInBatches(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.UnixMilli(1_000_000)
		r := NewRing(NewClock(func() time.Time { return now }), "a", rapid.IntRange(1, 20).Draw(t, "capacity"))
		total := rapid.IntRange(0, 60).Draw(t, "events")
		for i := range total {
			now = now.Add(time.Duration(rapid.IntRange(-2, 2).Draw(t, "ms")) * time.Millisecond)
			r.Record("e", Field{"i", fmt.Sprint(i)})
		}
		want := max(0, total-cap(r.events))
		if _, dropped := r.After(0, 1); int(dropped) != want {
			t.Fatalf("%d dropped, want %d", dropped, want)
		}
		for after, limit := uint64(0), rapid.IntRange(1, 7).Draw(t, "limit"); ; {
			events, _ := r.After(after, limit)
			for _, e := range events {
				if e.Fields[0] != fmt.Sprint("i=", want) || e.Hlc <= after || e.Instance != "a" {
					t.Fatalf("got %v, want event %d", e, want)
				}
				after = e.Hlc
				want++
			}
			if len(events) == 0 {
				break
			}
		}
		if want != total {
			t.Fatalf("read up to event %d of %d", want, total)
		}
	})
}

// Guards against data races and against an unordered ring under concurrent use.
func TestRingConcurrentUse(t *testing.T) {
	c := NewClock(time.Now)
	r := NewRing(c, "a", 100)
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for range 500 {
				r.Record("e")
				c.Observe(c.Now())
				r.After(0, 10)
			}
		})
	}
	wg.Wait()
	events, dropped := r.After(0, 0)
	if len(events) != 100 || dropped != 1900 {
		t.Errorf("%d events, %d dropped", len(events), dropped)
	}
	for i := range events[1:] {
		if events[i].Hlc >= events[i+1].Hlc {
			t.Fatal("ring is not ordered")
		}
	}
}
