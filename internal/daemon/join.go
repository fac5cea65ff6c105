package daemon

import (
	"time"

	"github.com/monsoonthread/monsoonthread/internal/logging"
	"github.com/monsoonthread/monsoonthread/internal/timeline"
	"github.com/monsoonthread/monsoonthread/membership"
	"github.com/monsoonthread/monsoonthread/platform"
)

// joinTimeout bounds the wait for listed instances that do not answer. The list lags
// and can name instances that have stopped; during a partition they cannot answer.
const joinTimeout = 3 * time.Second

// maxListWait bounds the wait for a list that contains this instance. Such a list is
// recent enough to contain all instances that started earlier. The bound covers a list
// lag of 5 s and lets an instance start when the list cannot be read.
const maxListWait = 10 * time.Second

// settleTime is the time after joining during which an instance acquires no backend
// servers, unless its failure domain was already serving. Instances of a domain that
// start together do not see each other's weight at first, so each would acquire servers
// of the others: the lab demo had 52 slot overruns in the first 200 ms.
const settleTime = time.Second

// An instance joins in two steps. It first takes part in the membership with weight 0,
// so that it is assigned no flows or servers, until it has a configuration and knows
// the listed instances. With an incomplete view it would dispatch servers that others
// dispatch and treat live permit issuers as lost. It then takes its configured weight
// and starts to serve. Packets that arrive earlier are relayed to the owners of their
// flows.

// recordListed records the live instances of the platform's list until this instance
// has joined.
func (d *Daemon) recordListed(list []platform.Instance) {
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

// tryJoin takes the configured weight once the view is complete.
func (d *Daemon) tryJoin(now time.Time) {
	c := d.current.Get()
	if d.members.startTime.IsZero() || c == nil || d.lifecycle.current() != stateStarting {
		return
	}
	d.members.viewMu.Lock()
	if d.members.joined || !d.mayJoin(now) {
		d.members.viewMu.Unlock()
		return
	}
	d.members.joined, d.members.joinedAt = true, now
	d.members.viewMu.Unlock()
	time.AfterFunc(settleTime, d.settle)

	d.members.with(func(m *membership.Machine) []membership.Action { return m.SetWeight(now, d.settings.Weight) })
	d.members.viewMu.Lock()
	defer d.members.viewMu.Unlock()
	d.applyConfigRouting(newRouting(d.current.Get(), d.view(), d.routes.Load()))
	if d.members.domainWasRunning {
		d.startServing()
	}
}

// startServing starts request processing: immediately if the domain was already serving,
// otherwise after this instance has acquired its servers. members.viewMu is held.
func (d *Daemon) startServing() {
	if d.members.serving.Swap(true) {
		return
	}
	close(d.members.servingSignal)
	d.lifecycle.fire(triggerConfigured)
	d.event("instance_joined", timeline.Field{Key: logging.Duration, Value: time.Since(d.members.startTime).String()})
}

// settle acquires the servers that had no dispatcher before.
func (d *Daemon) settle() {
	d.members.viewMu.Lock()
	defer d.members.viewMu.Unlock()
	d.schedulers.update(d.routes.Load(), time.Now())
	d.members.settled.Store(true)
	d.startServing()
}

// startsDomain reports whether this instance is among the first of its failure domain,
// so that its servers had no dispatcher before, and has not acquired them yet.
func (m *members) startsDomain() bool { return !m.domainWasRunning && !m.settled.Load() }

// mayJoin reports whether the view is complete or the wait for it has timed out.
// members.viewMu is held.
func (d *Daemon) mayJoin(now time.Time) bool {
	if d.members.listedAt.IsZero() {
		return now.Sub(d.members.startTime) >= maxListWait
	}
	return d.viewHasListed() || now.Sub(d.members.listedAt) >= joinTimeout
}

// viewHasListed reports whether the view contains every listed instance and has been
// synchronized with a peer. members.viewMu is held.
func (d *Daemon) viewHasListed() bool {
	d.members.mu.Lock()
	defer d.members.mu.Unlock()
	view := d.members.machine.View()
	others := 0
	for _, id := range d.members.listed {
		if id == d.settings.InstanceID {
			continue
		}
		others++
		if e, ok := view.Member(id); !ok || !domainReachable(view, e.Domain) {
			return false
		}
	}
	return others == 0 || d.members.machine.Synced()
}
