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

// serverControl returns the control client of a backend server's process and the URL path
// of the server.
func (c *Cluster) serverControl(name string) (ControlClient, string, error) {
	group, ok := c.groupByServer[name]
	if !ok {
		return ControlClient{}, "", fmt.Errorf("backend server %q does not exist", name)
	}
	return c.serverControls[group], "/servers/" + url.PathEscape(name), nil
}

// DrainServer marks a backend server as leaving in the list and starts its drain. After
// the period, the server ends the streams that are left.
func (c *Cluster) DrainServer(ctx context.Context, name string, period time.Duration) error {
	control, path, err := c.serverControl(name)
	if err != nil {
		return err
	}
	leaving := instancelist.BackendServer{Name: name, Leaving: true}
	return errors.Join(
		c.ListControl.Do(ctx, "POST", "/control/servers", leaving, nil),
		control.Do(ctx, "POST", path+"/drain?ms="+strconv.FormatInt(period.Milliseconds(), 10), nil, nil),
	)
}

// EndDrain clears the leaving mark of a backend server in the list and ends its drain.
func (c *Cluster) EndDrain(ctx context.Context, name string) error {
	control, path, err := c.serverControl(name)
	if err != nil {
		return err
	}
	return errors.Join(
		c.ListControl.Do(ctx, "POST", "/control/servers", instancelist.BackendServer{Name: name}, nil),
		control.Do(ctx, "POST", path+"/drain?ms=-1", nil, nil),
	)
}

// BackendProcess returns the process that runs a backend server, to pause or crash it. It
// runs all servers of the domain unless ProcessPerServer is set.
func (c *Cluster) BackendProcess(name string) (*Process, error) {
	p, ok := c.serverProcesses[c.groupByServer[name]]
	if !ok {
		return nil, fmt.Errorf("backend server %q does not exist", name)
	}
	return p, nil
}

// KillServer stops a backend server without notice. If silent is set, its socket stays
// open, so that packets to it are not answered by ICMP errors either.
func (c *Cluster) KillServer(ctx context.Context, name string, silent bool) error {
	control, path, err := c.serverControl(name)
	if err != nil {
		return err
	}
	return control.Do(ctx, "POST", path+"/kill?silent="+strconv.FormatBool(silent), nil, nil)
}

// RestartServer restarts a backend server.
func (c *Cluster) RestartServer(ctx context.Context, name string) error {
	control, path, err := c.serverControl(name)
	if err != nil {
		return err
	}
	return control.Do(ctx, "POST", path+"/restart", nil, nil)
}

// SetBehaviour sets the simulated behaviour of a backend server.
func (c *Cluster) SetBehaviour(ctx context.Context, name string, b backendserver.Behaviour) error {
	control, path, err := c.serverControl(name)
	if err != nil {
		return err
	}
	return control.Do(ctx, "PUT", path+"/behaviour", b, nil)
}

// Servers returns the status of every backend server, sorted by name.
func (c *Cluster) Servers(ctx context.Context) ([]backendserver.Status, error) {
	var all []backendserver.Status
	for _, control := range c.serverControls {
		var statuses []backendserver.Status
		if err := control.Do(ctx, "GET", "/servers", nil, &statuses); err != nil {
			return nil, err
		}
		all = append(all, statuses...)
	}
	slices.SortFunc(all, func(a, b backendserver.Status) int { return strings.Compare(a.Name, b.Name) })
	return all, nil
}

// Executions returns the execution logs of all backend servers. It fails if a log dropped
// entries, because an incomplete log cannot prove that a request was not executed.
func (c *Cluster) Executions(ctx context.Context) ([]backendserver.Execution, error) {
	var all []backendserver.Execution
	for group, control := range c.serverControls {
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

// SetStoreFaults sets the injected faults of the key-value service.
func (c *Cluster) SetStoreFaults(ctx context.Context, f kvservice.Faults) error {
	return c.StoreControl.Do(ctx, "PUT", "/control/faults", f, nil)
}

// CopyStore keeps a copy of the key-value service's contents for RestoreStore.
func (c *Cluster) CopyStore(ctx context.Context) error {
	return c.StoreControl.Do(ctx, "PUT", "/control/copy", nil, nil)
}

// RestoreStore brings the key-value service back from the last copy.
func (c *Cluster) RestoreStore(ctx context.Context) error {
	return c.StoreControl.Do(ctx, "PUT", "/control/restore", nil, nil)
}

// SetListFaults sets the injected faults of the instance list. If LagMS is zero, the
// configured ListLag stays.
func (c *Cluster) SetListFaults(ctx context.Context, f instancelist.Faults) error {
	if f.LagMS == 0 {
		f.LagMS = int(c.cfg.ListLag.Milliseconds())
	}
	return c.ListControl.Do(ctx, "PUT", "/control/faults", f, nil)
}

// Partition isolates domains from the instances and backend servers of all other domains,
// and from the key-value service and the list. The fabric still reaches all instances, like
// callers within the isolated domains.
func (c *Cluster) Partition(ctx context.Context, isolated ...string) error {
	var others []string
	for _, d := range c.cfg.Deployment.Answers.Domains {
		if !slices.Contains(isolated, d.Name) {
			others = append(others, d.Name)
		}
	}
	errs := []error{
		c.SetStoreFaults(ctx, kvservice.Faults{CutDomains: isolated}),
		c.SetListFaults(ctx, instancelist.Faults{CutDomains: isolated}),
	}
	for _, in := range c.Instances() {
		path := "/fault/cut?domains=" + strings.Join(isolated, ",")
		if slices.Contains(isolated, in.Domain) {
			path = "/fault/cut?platform=true&domains=" + strings.Join(others, ",")
		}
		errs = append(errs, in.Metrics.Do(ctx, "POST", path, nil, nil))
	}
	return errors.Join(errs...)
}

// Heal ends a partition and clears the faults of the key-value service and the list.
func (c *Cluster) Heal(ctx context.Context) error {
	errs := []error{c.SetStoreFaults(ctx, kvservice.Faults{}), c.SetListFaults(ctx, instancelist.Faults{})}
	for _, in := range c.Instances() {
		errs = append(errs, in.Metrics.Do(ctx, "POST", "/fault/clear", nil, nil))
	}
	return errors.Join(errs...)
}
