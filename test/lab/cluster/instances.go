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

// StartInstance starts an instance, adds it to the instance list, waits until it is ready
// and then registers it with the fabric, in the order of the real platform.
func (c *Cluster) StartInstance(ctx context.Context, spec InstanceSpec) (*Instance, error) {
	in, err := c.startInstanceProcess(spec)
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

// startInstanceProcess starts the process of an instance on free ports.
func (c *Cluster) startInstanceProcess(spec InstanceSpec) (*Instance, error) {
	peer, err := reserveAddress()
	if err != nil {
		return nil, err
	}
	metrics, err := reserveAddress()
	if err != nil {
		return nil, err
	}
	listen, err := reserveAddress()
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.startCount++
	seed := c.cfg.Deployment.Seed*1000 + uint64(c.startCount)
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
		Metrics: ControlClient{URL: "http://" + metrics.String()},
	}, nil
}

// Instances returns the instances that have not been removed by StopInstance or
// CrashInstance, sorted by ID.
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

// Instance returns a running instance by ID.
func (c *Cluster) Instance(id string) (*Instance, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	in, ok := c.instances[id]
	if !ok {
		return nil, fmt.Errorf("instance %q is not running", id)
	}
	return in, nil
}

// StopInstance performs a planned stop: it marks the instance as leaving in the list,
// withdraws it from the fabric, sends SIGTERM and then removes it from the list.
func (c *Cluster) StopInstance(ctx context.Context, id string) error {
	in, err := c.Instance(id)
	if err != nil {
		return err
	}
	if err := c.ListControl.Do(ctx, "POST", "/control/instances/"+id+"/leaving", nil, nil); err != nil {
		return err
	}
	if err := sleep(ctx, c.cfg.FabricWithdrawalDelay); err != nil {
		return err
	}
	if err := c.FabricControl.Do(ctx, "DELETE", "/instances/"+id, nil, nil); err != nil {
		return err
	}
	err = in.Stop(ctx)
	c.removeInstance(id)
	return errors.Join(err, c.ListControl.Do(ctx, "DELETE", "/control/instances/"+id, nil, nil))
}

// CrashInstance kills an instance and returns. The fabric and the list remove it after
// DetectionDelay, in the background.
func (c *Cluster) CrashInstance(ctx context.Context, id string) error {
	in, err := c.Instance(id)
	if err != nil {
		return err
	}
	if err := in.Kill(); err != nil {
		return err
	}
	c.removeInstance(id)
	address := in.FabricAddress
	time.AfterFunc(c.cfg.DetectionDelay, func() {
		if ctx.Err() != nil || c.isReplaced(id, address) {
			return
		}
		// These calls fail if the cluster has been closed in the meantime.
		_ = c.FabricControl.Do(ctx, "DELETE", "/instances/"+id, nil, nil)
		_ = c.ListControl.Do(ctx, "DELETE", "/control/instances/"+id, nil, nil)
	})
	return nil
}

// isReplaced reports whether another instance with the same ID runs at a different address.
func (c *Cluster) isReplaced(id string, address netip.AddrPort) bool {
	in, err := c.Instance(id)
	return err == nil && in.FabricAddress != address
}

func (c *Cluster) removeInstance(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.instances, id)
}
