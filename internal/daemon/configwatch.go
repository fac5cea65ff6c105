package daemon

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"google.golang.org/grpc"

	"github.com/monsoonthread/monsoonthread/config"
	"github.com/monsoonthread/monsoonthread/internal/logging"
	"github.com/monsoonthread/monsoonthread/internal/timeline"
	"github.com/monsoonthread/monsoonthread/membership"
	"github.com/monsoonthread/monsoonthread/peer/peerpb"
	"github.com/monsoonthread/monsoonthread/placement"
	"github.com/monsoonthread/monsoonthread/result"
)

const (
	// watchersPerDomain is the number of instances of each failure domain that watch
	// the store's head version. The number of watches then grows with the domains only,
	// and one failed watcher does not delay updates.
	watchersPerDomain = 2
	watchInterval     = 500 * time.Millisecond
	fetchTimeout      = 2 * time.Second
	// maxBootstrapPeers bounds the peers that a starting instance asks for a
	// configuration.
	maxBootstrapPeers = 3
)

// newFollower returns the follower that keeps the configuration up to date from the
// store and the peers. A store outage does not affect the data path.
func (d *Daemon) newFollower() *config.Follower {
	return config.NewFollower(config.FollowerConfig{Store: d.store, Current: &d.current, Seed: d.seed,
		FetchPeer: d.fetchFrom, OnApplied: d.configApplied, OnEvent: func(e config.WatchEvent) {
			d.metrics.storeErrors.Inc()
			d.log.Debug().Str(logging.Reason, fmt.Sprintf("%+v", e)).Msg("config_follow_event")
		}})
}

// followConfig fetches the first configuration from the store or a peer, then follows
// changes.
func (d *Daemon) followConfig(ctx context.Context) {
	if err := d.follower.Start(ctx, d.bootstrapPeers); err != nil {
		return
	}
	d.spawn(func() { d.runEvery(ctx, watchInterval, func(time.Time) { d.follower.SetWatching(d.isWatcher()) }) })
	d.follower.Run(ctx)
}

// bootstrapPeers returns up to maxBootstrapPeers live instances for the first fetch.
func (d *Daemon) bootstrapPeers() []string {
	var ids []string
	v := d.view()
	for i := range v.Domains {
		for _, e := range v.Domains[i].Members {
			if e.ID != d.settings.InstanceID && e.State != membership.Dead && len(ids) < maxBootstrapPeers {
				ids = append(ids, e.ID)
			}
		}
	}
	return ids
}

// isWatcher reports whether this instance is one of its failure domain's watchers.
func (d *Daemon) isWatcher() bool {
	r := d.routes.Load()
	if r == nil {
		return true
	}
	for i := range r.view.Domains {
		dom := &r.view.Domains[i]
		if dom.Name != d.settings.FailureDomain {
			continue
		}
		var live []placement.Member
		for _, e := range dom.Members {
			if e.State != membership.Dead && e.State != membership.Leaving {
				live = append(live, placement.NewMember(e.ID, 1))
			}
		}
		for rank, k := range placement.Rank(placement.Key("config-watch", dom.Name), live, nil) {
			if live[k].ID == d.settings.InstanceID {
				return rank < watchersPerDomain
			}
		}
	}
	return false
}

// fetchFrom fetches the configuration of a peer if its version is above known.
func (d *Daemon) fetchFrom(ctx context.Context, from string, known uint64) ([]byte, error) {
	e, ok := d.view().Member(from)
	if !ok || d.faults.isPartitioned(e.Domain) {
		return nil, result.Errorf(result.PeerUnreachable, "peer %s cannot be reached", from)
	}
	conn, err := grpc.NewClient(e.PeerAddress, grpc.WithTransportCredentials(d.peers.Credentials()))
	if err != nil {
		return nil, result.Errorf(result.PeerUnreachable, "dial peer %s: %w", from, err)
	}
	defer conn.Close()
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	reply, err := peerpb.NewPeerClient(conn).FetchConfig(ctx, &peerpb.FetchConfigRequest{KnownVersion: known})
	if err != nil {
		return nil, result.Errorf(result.PeerUnreachable, "fetch configuration from %s: %w", from, err)
	}
	d.metrics.configFetched.Add(len(reply.Config))
	return reply.Config, nil
}

// configApplied activates a configuration adopted by the follower.
func (d *Daemon) configApplied(c *config.Config, source string) {
	domains := make([]membership.DomainConfig, len(c.Domains))
	for i, dom := range c.Domains {
		domains[i] = membership.DomainConfig{Name: dom.Name, Weight: dom.Weight}
	}
	d.members.with(func(m *membership.Machine) []membership.Action {
		m.SetConfigVersion(c.Version)
		return m.SetDomains(time.Now(), domains)
	})
	d.members.mu.Lock()
	view := d.members.machine.View()
	d.members.mu.Unlock()
	d.members.viewMu.Lock()
	defer d.members.viewMu.Unlock()
	previous := d.routes.Load()
	if previous != nil && previous.config.Version >= c.Version {
		return
	}
	d.applyConfigRouting(newRouting(c, view, previous))
	d.event("config_in_force", timeline.Field{Key: logging.Version, Value: strconv.FormatUint(c.Version, 10)}, timeline.Field{Key: "source", Value: source})
}

// applyConfigRouting activates a routing snapshot with a new configuration.
// members.viewMu is held.
func (d *Daemon) applyConfigRouting(r *routing) {
	now := time.Now()
	d.applyRouting(r, now)
	for _, name := range d.notices.leaving() {
		d.reapplyLeaving(name, now)
	}
}
