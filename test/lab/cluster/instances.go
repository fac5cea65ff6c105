package cluster

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/monsoonthread/monsoonthread/internal/standin/fabric"
	"github.com/monsoonthread/monsoonthread/internal/standin/instancelist"
)

// StartInstance starts an instance, lists it, waits until it is ready and then registers
// it with the fabric, as the platform does.
func (c *Cluster) StartInstance(ctx context.Context, spec InstanceSpec) (*Instance, error) {
	in, err := c.launch(spec)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.instances[spec.ID] = in
	c.mu.Unlock()
	if err := c.ListControl.Do(ctx, "POST", "/control/instances", instancelist.Instance{
		ID: spec.ID, Domain: spec.Domain, PeerAddress: in.PeerAddress.String(), Weight: spec.Weight,
	}, nil); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := in.WaitReady(ctx, in.Metrics.URL+"/readyz"); err != nil {
		return nil, err
	}
	return in, c.FabricControl.Do(ctx, "POST", "/instances", fabric.Instance{ID: spec.ID, Domain: spec.Domain, Address: in.FabricAddress}, nil)
}

// launch starts the process of an instance at free ports.
func (c *Cluster) launch(spec InstanceSpec) (*Instance, error) {
	peer, err := freePort()
	if err != nil {
		return nil, err
	}
	metrics, err := freePort()
	if err != nil {
		return nil, err
	}
	listen, err := freePort()
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.starts++
	seed := c.cfg.Deployment.Seed*1000 + uint64(c.starts)
	c.mu.Unlock()
	args := []string{
		"--instance-id", spec.ID, "--failure-domain", spec.Domain, "--weight", strconv.FormatUint(uint64(spec.Weight), 10),
		"--peer-address", peer.String(), "--fabric-listen", listen.String(), "--fabric-address", c.FabricAddress.String(),
		"--metrics-address", metrics.String(), "--store-url", c.StoreControl.URL, "--instance-list-url", c.ListControl.URL,
		"--backend-source-ip", "127.0.0.1", "--fault-injection", "--seed", strconv.FormatUint(seed, 10),
	}
	args = append(append(args, c.certificates.args()...), c.cfg.DaemonArgs...)
	p, err := Start(Command{Name: spec.ID, Path: c.cfg.Daemon, Args: args, Dir: c.cfg.Dir})
	if err != nil {
		return nil, err
	}
	return &Instance{
		InstanceSpec: spec, Process: p, PeerAddress: peer, FabricAddress: listen,
		Metrics: Control{URL: "http://" + metrics.String()},
	}, nil
}

// Instances returns the instances that have not been stopped, by ID.
func (c *Cluster) Instances() []*Instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := make([]*Instance, 0, len(c.instances))
	for _, in := range c.instances {
		all = append(all, in)
	}
	slices.SortFunc(all, func(a, b *Instance) int { return strings.Compare(a.ID, b.ID) })
	return all
}

// Instance returns an instance by ID.
func (c *Cluster) Instance(id string) (*Instance, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	in, ok := c.instances[id]
	if !ok {
		return nil, fmt.Errorf("instance %q does not run", id)
	}
	return in, nil
}

// StopInstance is a planned stop: the platform marks the instance as leaving, the fabric
// withdraws it, the process gets SIGTERM and the list forgets it.
func (c *Cluster) StopInstance(ctx context.Context, id string) error {
	in, err := c.Instance(id)
	if err != nil {
		return err
	}
	if err := c.ListControl.Do(ctx, "POST", "/control/instances/"+id+"/leaving", nil, nil); err != nil {
		return err
	}
	if err := sleep(ctx, c.cfg.FabricLag); err != nil {
		return err
	}
	if err := c.FabricControl.Do(ctx, "DELETE", "/instances/"+id, nil, nil); err != nil {
		return err
	}
	err = in.Stop(ctx)
	c.forget(id)
	return errors.Join(err, c.ListControl.Do(ctx, "DELETE", "/control/instances/"+id, nil, nil))
}

// CrashInstance kills an instance. The fabric and the list notice after the detection
// lag; CrashInstance returns before.
func (c *Cluster) CrashInstance(ctx context.Context, id string) error {
	in, err := c.Instance(id)
	if err != nil {
		return err
	}
	if err := in.Kill(); err != nil {
		return err
	}
	c.forget(id)
	address := in.FabricAddress
	time.AfterFunc(c.cfg.DetectLag, func() {
		if ctx.Err() != nil || c.replaced(id, address) {
			return
		}
		// A platform that has ended with the cluster needs no notice.
		_ = c.FabricControl.Do(ctx, "DELETE", "/instances/"+id, nil, nil)
		_ = c.ListControl.Do(ctx, "DELETE", "/control/instances/"+id, nil, nil)
	})
	return nil
}

// replaced reports whether an instance with the ID runs at another address.
func (c *Cluster) replaced(id string, address netip.AddrPort) bool {
	in, err := c.Instance(id)
	return err == nil && in.FabricAddress != address
}

func (c *Cluster) forget(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.instances, id)
}
