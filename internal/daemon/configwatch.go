package daemon

import (
	"context"
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
	storePause        = time.Second
	fetchTimeout      = 2 * time.Second
)

// configSource names a peer that has a higher configuration version.
type configSource struct {
	from    string
	version uint64
}

// watchConfig reads the configuration at start, and watches it while this instance is
// a watcher of its failure domain. An outage of the store changes nothing in the data
// path.
func (d *Daemon) watchConfig(ctx context.Context) {
	loader := config.NewLoader(d.store, config.LoaderConfig{})
	var revision uint64
	for ctx.Err() == nil {
		if (d.current.Get() != nil && !d.watches()) || d.faults.platformCut() {
			pause(ctx, storePause)
			continue
		}
		next, err := d.loadNext(ctx, loader, revision)
		if err != nil {
			d.metrics.storeErrors.Inc()
			d.log.Debug().Err(err).Uint16(logging.Code, uint16(result.CodeOf(err))).Msg("store_read_failed")
			pause(ctx, storePause)
			continue
		}
		revision = next
	}
}

// loadNext waits for a head after revision and loads its configuration.
func (d *Daemon) loadNext(ctx context.Context, loader *config.Loader, revision uint64) (uint64, error) {
	value, next, err := d.readHead(ctx, revision)
	if err != nil {
		return revision, err
	}
	if next == revision || value == nil {
		return revision, nil // the watch timed out
	}
	head, err := config.DecodeHead(value)
	if err != nil {
		return revision, err
	}
	if current := d.current.Get(); current != nil && head.Version <= current.Version {
		return next, nil
	}
	c, err := loader.LoadHead(ctx, head, d.current.Get())
	if err != nil {
		return revision, err
	}
	if d.faults.platformCut() {
		return revision, result.Errorf(result.StoreUnavailable, "the platform is cut off")
	}
	d.applyConfig(c, "store")
	return next, nil
}

func (d *Daemon) readHead(ctx context.Context, revision uint64) ([]byte, uint64, error) {
	if revision == 0 {
		return d.store.Get(ctx, config.HeadKey)
	}
	return d.store.Watch(ctx, config.HeadKey, revision)
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

// fetchConfig fetches configurations from peers that announced a higher version.
func (d *Daemon) fetchConfig(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case src := <-d.configFetch:
			if err := d.fetchFrom(ctx, src); err != nil {
				d.log.Debug().Err(err).Str(logging.Peer, src.from).Msg("config_fetch_failed")
			}
		}
	}
}

func (d *Daemon) fetchFrom(ctx context.Context, src configSource) error {
	if d.current.Version() >= src.version {
		return nil
	}
	d.members.mu.Lock()
	e, ok := d.members.machine.View().Member(src.from)
	d.members.mu.Unlock()
	if !ok || d.faults.cutsDomain(e.Domain) {
		return nil
	}
	conn, err := grpc.NewClient(e.PeerAddress, grpc.WithTransportCredentials(d.peers.Credentials()))
	if err != nil {
		return err
	}
	defer conn.Close()
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	reply, err := peerpb.NewPeerClient(conn).FetchConfig(ctx, &peerpb.FetchConfigRequest{KnownVersion: d.current.Version()})
	if err != nil || len(reply.Config) == 0 {
		return err
	}
	d.metrics.configFetched.Add(len(reply.Config))
	before := d.current.Get()
	if _, err := d.current.ApplyEncoded(reply.Config); err != nil {
		return err
	}
	if after := d.current.Get(); after != before {
		d.configApplied(after, src.from)
	}
	return nil
}

// applyConfig puts a configuration into force if its version is higher.
func (d *Daemon) applyConfig(c *config.Config, source string) {
	if d.current.Apply(c) {
		d.configApplied(c, source)
	}
}

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

func pause(ctx context.Context, t time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(t):
	}
}
