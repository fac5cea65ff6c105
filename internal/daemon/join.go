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
	waited := now.Sub(d.members.base)
	if d.members.joined || (!d.knowsListed() && waited < joinTimeout) {
		d.members.viewMu.Unlock()
		return
	}
	d.members.joined = true
	d.members.viewMu.Unlock()

	d.members.with(func(m *membership.Machine) []membership.Action { return m.SetWeight(now, d.settings.Weight) })
	d.members.viewMu.Lock()
	defer d.members.viewMu.Unlock()
	d.putInForce(newRouting(d.current.Get(), d.view(), d.routes.Load()))
	d.members.serves.Store(true)
	close(d.members.joinedSignal)
	d.life.fire(triggerConfigured)
	d.event("instance_joined", timeline.Field{Key: logging.Duration, Value: waited.String()})
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
		if _, ok := view.Member(id); !ok {
			return false
		}
	}
	return d.members.listed != nil && (others == 0 || d.members.machine.Synced())
}
