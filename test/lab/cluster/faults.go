package cluster

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/monsoonthread/monsoonthread/internal/standin/backendserver"
	"github.com/monsoonthread/monsoonthread/internal/standin/instancelist"
	"github.com/monsoonthread/monsoonthread/internal/standin/kvservice"
)

// server returns the control endpoint of a backend server and the path of the server.
func (c *Cluster) server(name string) (Control, string, error) {
	group, ok := c.serverGroup[name]
	if !ok {
		return Control{}, "", fmt.Errorf("backend server %q does not exist", name)
	}
	return c.backends[group], "/servers/" + url.PathEscape(name), nil
}

// DrainServer marks a backend server as leaving in the list and starts its drain.
func (c *Cluster) DrainServer(ctx context.Context, name string, period time.Duration) error {
	control, path, err := c.server(name)
	if err != nil {
		return err
	}
	mark := instancelist.BackendServer{Name: name, Leaving: true}
	return errors.Join(
		c.ListControl.Do(ctx, "POST", "/control/servers", mark, nil),
		control.Do(ctx, "POST", path+"/drain?ms="+strconv.FormatInt(period.Milliseconds(), 10), nil, nil),
	)
}

// ReturnServer ends the drain of a backend server.
func (c *Cluster) ReturnServer(ctx context.Context, name string) error {
	control, path, err := c.server(name)
	if err != nil {
		return err
	}
	return errors.Join(
		c.ListControl.Do(ctx, "POST", "/control/servers", instancelist.BackendServer{Name: name}, nil),
		control.Do(ctx, "POST", path+"/drain?ms=-1", nil, nil),
	)
}

// BackendProcess returns the process that runs a backend server, for pauses and crashes.
// It runs all servers of the domain unless each server has a process of its own.
func (c *Cluster) BackendProcess(name string) (*Process, error) {
	p, ok := c.backendProcess[c.serverGroup[name]]
	if !ok {
		return nil, fmt.Errorf("backend server %q does not exist", name)
	}
	return p, nil
}

// KillServer ends a backend server without notice; a silent one answers nothing, not
// even with an ICMP error.
func (c *Cluster) KillServer(ctx context.Context, name string, silent bool) error {
	control, path, err := c.server(name)
	if err != nil {
		return err
	}
	return control.Do(ctx, "POST", path+"/kill?silent="+strconv.FormatBool(silent), nil, nil)
}

// RestartServer starts a backend server again.
func (c *Cluster) RestartServer(ctx context.Context, name string) error {
	control, path, err := c.server(name)
	if err != nil {
		return err
	}
	return control.Do(ctx, "POST", path+"/restart", nil, nil)
}

// SetBehaviour changes how a backend server behaves.
func (c *Cluster) SetBehaviour(ctx context.Context, name string, b backendserver.Behaviour) error {
	control, path, err := c.server(name)
	if err != nil {
		return err
	}
	return control.Do(ctx, "PUT", path+"/behaviour", b, nil)
}

// Servers returns the status of every backend server.
func (c *Cluster) Servers(ctx context.Context) ([]backendserver.Status, error) {
	var all []backendserver.Status
	for _, control := range c.backends {
		var some []backendserver.Status
		if err := control.Do(ctx, "GET", "/servers", nil, &some); err != nil {
			return nil, err
		}
		all = append(all, some...)
	}
	slices.SortFunc(all, func(a, b backendserver.Status) int { return strings.Compare(a.Name, b.Name) })
	return all, nil
}

// Executions returns the execution logs of all backend servers. A log that dropped
// entries is an error, because nothing can be concluded from it.
func (c *Cluster) Executions(ctx context.Context) ([]backendserver.Execution, error) {
	var all []backendserver.Execution
	for group, control := range c.backends {
		var r backendserver.LogReply
		if err := control.Do(ctx, "GET", "/log", nil, &r); err != nil {
			return nil, err
		}
		if r.Dropped > 0 {
			return nil, fmt.Errorf("execution log of %s dropped %d entries", group, r.Dropped)
		}
		all = append(all, r.Entries...)
	}
	return all, nil
}

// SetStoreFaults changes what the key-value service does wrong.
func (c *Cluster) SetStoreFaults(ctx context.Context, f kvservice.Faults) error {
	return c.StoreControl.Do(ctx, "PUT", "/control/faults", f, nil)
}

// SetListFaults changes what the list does wrong. The lag of the configuration is kept
// unless the faults name one.
func (c *Cluster) SetListFaults(ctx context.Context, f instancelist.Faults) error {
	if f.LagMS == 0 {
		f.LagMS = int(c.cfg.ListLag.Milliseconds())
	}
	return c.ListControl.Do(ctx, "PUT", "/control/faults", f, nil)
}

// Partition cuts domains off from the instances and backend servers of all other
// domains, and from the key-value service and the list. The fabric still reaches all
// instances, as callers in the cut domains do.
func (c *Cluster) Partition(ctx context.Context, cut ...string) error {
	var rest []string
	for _, d := range c.cfg.Deployment.Answers.Domains {
		if !slices.Contains(cut, d.Name) {
			rest = append(rest, d.Name)
		}
	}
	errs := []error{
		c.SetStoreFaults(ctx, kvservice.Faults{CutDomains: cut}),
		c.SetListFaults(ctx, instancelist.Faults{CutDomains: cut}),
	}
	for _, in := range c.Instances() {
		path := "/fault/cut?domains=" + strings.Join(cut, ",")
		if slices.Contains(cut, in.Domain) {
			path = "/fault/cut?platform=true&domains=" + strings.Join(rest, ",")
		}
		errs = append(errs, in.Metrics.Do(ctx, "POST", path, nil, nil))
	}
	return errors.Join(errs...)
}

// Heal ends a partition.
func (c *Cluster) Heal(ctx context.Context) error {
	errs := []error{c.SetStoreFaults(ctx, kvservice.Faults{}), c.SetListFaults(ctx, instancelist.Faults{})}
	for _, in := range c.Instances() {
		errs = append(errs, in.Metrics.Do(ctx, "POST", "/fault/clear", nil, nil))
	}
	return errors.Join(errs...)
}
