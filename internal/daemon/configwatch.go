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
	// watchersPerDomain instances watch the head, so that watches grow with failure
	// domains and one failed watcher delays nobody.
	watchersPerDomain = 2
	watchInterval     = 500 * time.Millisecond
	fetchTimeout      = 2 * time.Second
	// bootstrapPeers bounds the peers that a starting instance asks.
	bootstrapPeers = 3
)

// newFollower returns the follower that keeps this instance's configuration up to
// date from the store and its peers. An outage of the store changes nothing in the
// data path.
func (d *Daemon) newFollower() *config.Follower {
	return config.NewFollower(config.FollowerConfig{Store: d.store, Current: &d.current, Seed: d.seed,
		FetchPeer: d.fetchFrom, OnApplied: d.configApplied, OnEvent: func(e config.WatchEvent) {
			d.metrics.storeErrors.Inc()
			d.log.Debug().Str(logging.Reason, fmt.Sprintf("%+v", e)).Msg("config_follow_event")
		}})
}

// followConfig gets the first configuration from the store or a peer, then follows.
func (d *Daemon) followConfig(ctx context.Context) {
	if err := d.follower.Start(ctx, d.knownPeers); err != nil {
		return
	}
	d.goroutine(func() { d.every(ctx, watchInterval, func(time.Time) { d.follower.SetWatching(d.watches()) }) })
	d.follower.Run(ctx)
}

// knownPeers returns the live instances that this one knows, for its start.
func (d *Daemon) knownPeers() []string {
	var ids []string
	v := d.view()
	for i := range v.Domains {
		for _, e := range v.Domains[i].Members {
			if e.ID != d.settings.InstanceID && e.State != membership.Dead && len(ids) < bootstrapPeers {
				ids = append(ids, e.ID)
			}
		}
	}
	return ids
}

// watches reports whether this instance is a watcher of its failure domain.
func (d *Daemon) watches() bool {
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

// fetchFrom asks a peer for what it has above a version.
func (d *Daemon) fetchFrom(ctx context.Context, from string, known uint64) ([]byte, error) {
	e, ok := d.view().Member(from)
	if !ok || d.faults.cutsDomain(e.Domain) {
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

// configApplied puts a configuration that was adopted into force.
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
	d.putInForce(newRouting(c, view, previous))
	d.event("config_in_force", timeline.Field{Key: logging.Version, Value: strconv.FormatUint(c.Version, 10)}, timeline.Field{Key: "source", Value: source})
}

// putInForce applies a routing snapshot with a new configuration. members.viewMu is
// held.
func (d *Daemon) putInForce(r *routing) {
	now := time.Now()
	d.applyRouting(r, now)
	for _, name := range d.notices.leaving() {
		d.reapplyLeaving(name, now)
	}
}
