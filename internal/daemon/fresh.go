package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/monsoonthread/monsoonthread/membership"
)

const (
	// pauseGap is the gap between two membership ticks from which this process counts
	// as paused. The ticks are 50 ms apart.
	pauseGap = 150 * time.Millisecond
	// maxHold bounds the wait for a newer configuration or a peer's heartbeat. After it
	// an instance serves with what it has: its peers may be gone.
	maxHold  = 3 * time.Second
	holdPoll = 2 * time.Millisecond
)

// freshness decides whether the configuration in force here may be behind that of the
// peers. A process that was paused, even for less than the suspicion time, finds
// datagrams in its queue that belong to a newer configuration: served with the old one,
// they reached backend servers of the service that had the address before.
type freshness struct {
	tickAt  atomic.Int64  // last membership tick, ns since members.base
	wokenAt atomic.Int64  // end of the last pause
	heardAt atomic.Int64  // last heartbeat of a peer
	version atomic.Uint64 // highest configuration version that a peer announced
}

// tick notes that the process runs.
func (f *freshness) tick(since time.Duration) {
	if since-time.Duration(f.tickAt.Load()) > pauseGap {
		f.wokenAt.Store(int64(since))
	}
	f.tickAt.Store(int64(since))
}

// heard notes a heartbeat with the sender's configuration version.
func (f *freshness) heard(since time.Duration, version uint64) {
	f.heardAt.Store(int64(since))
	for {
		old := f.version.Load()
		if version <= old || f.version.CompareAndSwap(old, version) {
			return
		}
	}
}

// current reports whether a peer has confirmed the version since the last pause.
func (f *freshness) current(since time.Duration, version uint64, alone bool) bool {
	if since-time.Duration(f.tickAt.Load()) > pauseGap || version < f.version.Load() {
		return false
	}
	return alone || f.heardAt.Load() >= f.wokenAt.Load()
}

// awaitFresh holds a worker until the configuration is known to be current.
func (d *Daemon) awaitFresh(ctx context.Context) {
	for started := time.Now(); ctx.Err() == nil; time.Sleep(holdPoll) {
		now := time.Now()
		if d.members.fresh.current(now.Sub(d.members.base), d.current.Version(), !d.hasPeers()) || now.Sub(started) > maxHold {
			return
		}
	}
}

// hasPeers reports whether the view has another live instance of a reachable domain.
func (d *Daemon) hasPeers() bool {
	r := d.routes.Load()
	if r == nil {
		return false
	}
	for i := range r.view.Domains {
		dom := &r.view.Domains[i]
		for j := range dom.Members {
			e := &dom.Members[j]
			if dom.Reachable && e.ID != d.settings.InstanceID && (e.State == membership.Alive || e.State == membership.Leaving) {
				return true
			}
		}
	}
	return false
}
