package daemon

import (
	"time"

	"github.com/monsoonthread/monsoonthread/internal/logging"
	"github.com/monsoonthread/monsoonthread/internal/timeline"
	"github.com/monsoonthread/monsoonthread/membership"
	"github.com/monsoonthread/monsoonthread/platform"
)

// joinTimeout is the longest wait for listed instances that do not answer. The list
// lags, so it can name instances that are gone; in a partition they cannot answer.
const joinTimeout = 3 * time.Second

// listWait is the longest wait for a list that shows this instance. Such a list is
// recent enough to show all instances that were there before. The wait exceeds a lag
// of 5 s and ends when the list cannot be read.
const listWait = 10 * time.Second

// settleTime is the time after joining in which this instance dispatches no backend
// server unless its domain was running before. Instances of a domain that start
// together do not see each other's weight at first, and each would take servers of the
// others: lab demo showed 52 overruns in the first 200 ms.
const settleTime = time.Second

// An instance joins in two steps. It first takes part in the membership with weight 0,
// so that nobody gives it flows or servers, until it has a configuration and knows the
// listed instances. With an incomplete view it would dispatch servers that others
// dispatch, and take live issuers for lost ones. Then it takes its weight and serves.
// Packets that the fabric delivers before are relayed to the holders of their flows.

// noteListed records the live instances of the list.
func (d *Daemon) noteListed(list []platform.Instance) {
	d.members.viewMu.Lock()
	defer d.members.viewMu.Unlock()
	if d.members.joined {
		return
	}
	d.members.listed = make([]string, 0, len(list))
	for _, e := range list {
		if e.ID == d.settings.InstanceID && e.PeerAddress == d.settings.PeerAddress && d.members.listedAt.IsZero() {
			d.members.listedAt = time.Now()
		}
		if !e.Leaving {
			d.members.listed = append(d.members.listed, e.ID)
		}
	}
}

// tryJoin takes the instance's weight once its view is complete.
func (d *Daemon) tryJoin(now time.Time) {
	c := d.current.Get()
	if d.members.base.IsZero() || c == nil || d.life.current() != stateStarting {
		return
	}
	d.members.viewMu.Lock()
	if d.members.joined || !d.mayJoin(now) {
		d.members.viewMu.Unlock()
		return
	}
	d.members.joined, d.members.joinedAt = true, now
	d.members.viewMu.Unlock()
	time.AfterFunc(settleTime, d.settled)

	d.members.with(func(m *membership.Machine) []membership.Action { return m.SetWeight(now, d.settings.Weight) })
	d.members.viewMu.Lock()
	defer d.members.viewMu.Unlock()
	d.putInForce(newRouting(d.current.Get(), d.view(), d.routes.Load()))
	if d.members.running {
		d.serve()
	}
}

// serve starts to process requests: at once where other instances dispatch already,
// else when this one has taken its servers. members.viewMu is held.
func (d *Daemon) serve() {
	if d.members.serves.Swap(true) {
		return
	}
	close(d.members.joinedSignal)
	d.life.fire(triggerConfigured)
	d.event("instance_joined", timeline.Field{Key: logging.Duration, Value: time.Since(d.members.base).String()})
}

// settled takes the servers that had no dispatcher before.
func (d *Daemon) settled() {
	d.members.viewMu.Lock()
	defer d.members.viewMu.Unlock()
	d.schedulers.update(d.routes.Load(), time.Now())
	d.members.claimed.Store(true)
	d.serve()
}

// starting reports that this instance starts a domain in which nobody dispatched
// before, and has not taken its servers yet.
func (m *members) starting() bool { return !m.running && !m.claimed.Load() }

// mayJoin reports whether the view is complete, or will not become so in time.
// members.viewMu is held.
func (d *Daemon) mayJoin(now time.Time) bool {
	if d.members.listedAt.IsZero() {
		return now.Sub(d.members.base) >= listWait
	}
	return d.knowsListed() || now.Sub(d.members.listedAt) >= joinTimeout
}

// knowsListed reports whether the view has every listed instance and the machine has
// compared it with a peer. members.viewMu is held.
func (d *Daemon) knowsListed() bool {
	d.members.mu.Lock()
	defer d.members.mu.Unlock()
	view := d.members.machine.View()
	others := 0
	for _, id := range d.members.listed {
		if id == d.settings.InstanceID {
			continue
		}
		others++
		if e, ok := view.Member(id); !ok || !reaches(view, e.Domain) {
			return false
		}
	}
	return others == 0 || d.members.machine.Synced()
}
