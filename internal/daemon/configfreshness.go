package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/monsoonthread/monsoonthread/membership"
)

const (
	// pauseThreshold is the gap between two membership ticks above which the process is
	// considered to have been paused. The ticks are 50 ms apart.
	pauseThreshold = 150 * time.Millisecond
	// maxConfigWait bounds the wait for a newer configuration or a peer's heartbeat.
	// After it the instance serves with the configuration it has, because all peers may
	// be down.
	maxConfigWait      = 3 * time.Second
	configPollInterval = 2 * time.Millisecond
)

// configFreshness tracks whether the local configuration may be older than that of the
// peers. After a pause, even one shorter than the suspicion timeout, the queue can hold
// datagrams that were sent under a newer configuration. Serving them with the old one
// delivered requests to the backend servers of the previous owner of the service
// address.
type configFreshness struct {
	lastTick       atomic.Int64  // last membership tick, ns since members.startTime
	resumedAt      atomic.Int64  // end of the last pause
	lastHeartbeat  atomic.Int64  // last heartbeat of a peer
	highestVersion atomic.Uint64 // highest version announced by a peer
}

// recordTick records a membership tick and detects a preceding pause.
func (f *configFreshness) recordTick(uptime time.Duration) {
	if uptime-time.Duration(f.lastTick.Load()) > pauseThreshold {
		f.resumedAt.Store(int64(uptime))
	}
	f.lastTick.Store(int64(uptime))
}

// recordHeartbeat records a peer's heartbeat and its configuration version.
func (f *configFreshness) recordHeartbeat(uptime time.Duration, version uint64) {
	f.lastHeartbeat.Store(int64(uptime))
	for {
		old := f.highestVersion.Load()
		if version <= old || f.highestVersion.CompareAndSwap(old, version) {
			return
		}
	}
}

// isCurrent reports whether no peer has announced a version above this one and, unless
// there are no peers, a heartbeat has arrived since the last pause.
func (f *configFreshness) isCurrent(uptime time.Duration, version uint64, noPeers bool) bool {
	if uptime-time.Duration(f.lastTick.Load()) > pauseThreshold || version < f.highestVersion.Load() {
		return false
	}
	return noPeers || f.lastHeartbeat.Load() >= f.resumedAt.Load()
}

// awaitCurrentConfig blocks until the configuration is known to be current, at most
// maxConfigWait.
func (d *Daemon) awaitCurrentConfig(ctx context.Context) {
	for started := time.Now(); ctx.Err() == nil; time.Sleep(configPollInterval) {
		now := time.Now()
		if d.members.freshness.isCurrent(now.Sub(d.members.startTime), d.current.Version(), !d.hasPeers()) || now.Sub(started) > maxConfigWait {
			return
		}
	}
}

// hasPeers reports whether the view contains another live instance in a reachable
// domain.
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
