// Package timeline orders the events of all instances. A hybrid logical clock gives every
// event a timestamp that is close to wall time and consistent with causality. A ring buffer
// keeps the most recent events of one process.
package timeline

import (
	"sync"
	"time"
)

const (
	logicalBits = 16
	maxLogical  = 1<<logicalBits - 1
	// maxClockSkew limits how far a remote timestamp may move the local clock ahead, so that one
	// instance with a wrong wall clock cannot shift the timeline of all others.
	maxClockSkew = 10 * time.Second
)

// Clock is a hybrid logical clock. A timestamp consists of 48 bits of Unix milliseconds and a
// 16-bit logical counter. It is safe for concurrent use.
type Clock struct {
	wallClock func() time.Time

	mu      sync.Mutex // protects the fields below
	last    uint64     // latest timestamp returned or observed
	clamped uint64     // number of clamped timestamps
}

// NewClock returns a clock that reads wall time from wallClock.
func NewClock(wallClock func() time.Time) *Clock { return &Clock{wallClock: wallClock} }

// Timestamp returns the smallest timestamp in the millisecond of t.
func Timestamp(t time.Time) uint64 { return uint64(max(t.UnixMilli(), 0)) << logicalBits }

// Millis returns the Unix milliseconds of a timestamp.
func Millis(hlc uint64) uint64 { return hlc >> logicalBits }

// Time returns the wall time of a timestamp.
func Time(hlc uint64) time.Time { return time.UnixMilli(int64(Millis(hlc))) }

// Now returns a timestamp that is larger than all previously returned or observed ones,
// except those that Observe clamped.
func (c *Clock) Now() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	// Adding 1 to a full logical counter carries into the milliseconds, which preserves the
	// order at more than 65,535 events per millisecond.
	c.last = max(Timestamp(c.wallClock()), c.last+1)
	return c.last
}

// Observe advances the clock to the timestamp of a received message. A timestamp that is more
// than 10 s ahead of the local wall clock is clamped to that limit and counted.
func (c *Clock) Observe(remote uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	limit := Timestamp(c.wallClock().Add(maxClockSkew)) | maxLogical
	if remote > limit {
		remote = limit
		c.clamped++
	}
	c.last = max(c.last, remote)
}

// Clamped returns how many observed timestamps were clamped because they were too far ahead.
func (c *Clock) Clamped() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.clamped
}
