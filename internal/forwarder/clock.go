package forwarder

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"github.com/monsoonthread/monsoonthread/internal/logging"
)

const (
	// stallCheckInterval is the time between checks for a stall of the process.
	stallCheckInterval = 250 * time.Millisecond
	// maxStall is the stall duration from which the records count as stale. The routers notice
	// a stall of this length.
	maxStall = time.Second
	// catchUpTimeout is how long an instance waits for current records after a stall before
	// it serves with the records it has.
	catchUpTimeout = 2 * time.Second
)

// clock is a monotonic clock that includes the time during which the machine was suspended.
// The wall clock is not used because it may jump.
type clock struct {
	start     time.Time
	suspended atomic.Int64 // nanoseconds
}

func (c *clock) now() time.Duration {
	return time.Since(c.start) + time.Duration(c.suspended.Load())
}

// bootTime returns the time since boot, including suspended time.
func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0 // a kernel without this clock does not suspend
	}
	return time.Duration(ts.Nano())
}

// stallDetector measures how long the process was stalled between two checks.
type stallDetector struct {
	offset time.Duration // boot time minus monotonic time
	last   time.Duration // monotonic time of the last check
}

// check returns how long the machine was suspended since the last check, and the total delay
// of this check, including that suspension.
func (d *stallDetector) check(boot, monotonic time.Duration) (suspended, late time.Duration) {
	offset := boot - monotonic
	if boot > 0 && offset > d.offset {
		suspended = offset - d.offset
	}
	late = max(monotonic-d.last-stallCheckInterval, 0) + suspended
	d.offset, d.last = offset, monotonic
	return suspended, late
}

// watchStalls takes the instance out of service after a stall until its records are current
// again.
func (f *Forwarder) watchStalls(ctx context.Context) {
	detector := stallDetector{offset: bootTime() - time.Since(f.clock.start), last: time.Since(f.clock.start)}
	for ctx.Err() == nil {
		sleep(ctx, stallCheckInterval)
		suspended, late := detector.check(bootTime(), time.Since(f.clock.start))
		f.clock.suspended.Add(int64(suspended))
		if late < maxStall {
			continue
		}
		f.log.Warn().Dur(logging.Duration, late).Dur("suspended", suspended).Msg("stood_still")
		f.lifecycle.fire(triggerFellBehind)
		f.waitFresh(ctx)
		f.checkReady()
	}
}

// waitFresh waits until the records are current, at most for catchUpTimeout.
func (f *Forwarder) waitFresh(ctx context.Context) {
	for end := f.now() + catchUpTimeout; ctx.Err() == nil && f.now() < end; {
		f.mu.Lock()
		fresh := f.mesh.Fresh(f.now())
		f.mu.Unlock()
		if fresh {
			return
		}
		sleep(ctx, pollInterval)
	}
}
