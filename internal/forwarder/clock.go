package forwarder

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"github.com/monsoonthread/monsoonthread/internal/logging"
)

const (
	// gapInterval is the time between checks whether the process stood still.
	gapInterval = 250 * time.Millisecond
	// longGap is the standstill after which records count as old: the routers notice one
	// of this length.
	longGap = time.Second
	// catchUpPatience is how long an instance that stood still waits for current records
	// before it serves with those that it has.
	catchUpPatience = 2 * time.Second
)

// clock is a monotonic clock that also counts the time for which the machine was
// suspended. The time of day is not used, because it may jump.
type clock struct {
	start     time.Time
	suspended atomic.Int64 // nanoseconds
}

func (c *clock) now() time.Duration {
	return time.Since(c.start) + time.Duration(c.suspended.Load())
}

// bootTime returns the time since the machine's start, suspended time included.
func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0 // such a kernel does not suspend
	}
	return time.Duration(ts.Nano())
}

// gapDetector finds out how long the process stood still between two checks.
type gapDetector struct {
	offset time.Duration // boot time minus the monotonic clock
	last   time.Duration // monotonic time of the last check
}

// check returns how long the machine was suspended since the last check, and by how much
// the check is late in all.
func (g *gapDetector) check(boot, monotonic time.Duration) (suspended, late time.Duration) {
	offset := boot - monotonic
	if boot > 0 && offset > g.offset {
		suspended = offset - g.offset
	}
	late = max(monotonic-g.last-gapInterval, 0) + suspended
	g.offset, g.last = offset, monotonic
	return suspended, late
}

// watchClock takes the instance out of service after a standstill until its records are
// current again.
func (f *Forwarder) watchClock(ctx context.Context) {
	g := gapDetector{offset: bootTime() - time.Since(f.clock.start), last: time.Since(f.clock.start)}
	for ctx.Err() == nil {
		sleep(ctx, gapInterval)
		suspended, late := g.check(bootTime(), time.Since(f.clock.start))
		f.clock.suspended.Add(int64(suspended))
		if late < longGap {
			continue
		}
		f.log.Warn().Dur(logging.Duration, late).Dur("suspended", suspended).Msg("stood_still")
		f.lifecycle.fire(fellBehind)
		f.waitFresh(ctx)
		f.checkReady()
	}
}

// waitFresh waits until the records are current, for a limited time.
func (f *Forwarder) waitFresh(ctx context.Context) {
	for end := f.now() + catchUpPatience; ctx.Err() == nil && f.now() < end; {
		f.mu.Lock()
		fresh := f.mesh.Fresh(f.now())
		f.mu.Unlock()
		if fresh {
			return
		}
		sleep(ctx, dutyInterval)
	}
}
