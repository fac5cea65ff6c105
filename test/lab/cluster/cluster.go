package cluster

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/monsoonthread/monsoonthread/config"
	"github.com/monsoonthread/monsoonthread/internal/standin/backendserver"
	"github.com/monsoonthread/monsoonthread/internal/standin/fabric"
	"github.com/monsoonthread/monsoonthread/internal/standin/instancelist"
	"github.com/monsoonthread/monsoonthread/questionnaire"
)

// Default delays of the platform stand-ins.
const (
	// DefaultFabricWithdrawalDelay is how long the fabric keeps sending to an instance that is
	// marked as leaving. The instance is stopped only after this delay.
	DefaultFabricWithdrawalDelay = 300 * time.Millisecond
	// DefaultDetectionDelay is how long the fabric keeps sending to a crashed instance.
	DefaultDetectionDelay = time.Second
	// DefaultListLag is the staleness of the instance list's responses.
	DefaultListLag = 2 * time.Second

	readyTimeout = 20 * time.Second
)

// Config configures a Cluster.
type Config struct {
	Deployment *Deployment
	Daemon     string // path of monsoonthreadd
	Ctl        string // path of monsoonctl
	Lab        string // path of lab, which contains the stand-ins
	Dir        string // directory for logs, the questionnaire and certificates
	// DaemonArgs are appended to the command line of each instance.
	DaemonArgs []string
	// ProcessPerServer runs each backend server in its own process instead of one process
	// per failure domain.
	ProcessPerServer bool
	// TLS makes instances and monsoonctl use mutual TLS with generated certificates.
	TLS bool
	// Delays of the platform stand-ins; zero selects the default.
	FabricWithdrawalDelay time.Duration
	DetectionDelay        time.Duration
	ListLag               time.Duration
}

// Instance is a running entry instance.
type Instance struct {
	InstanceSpec
	*Process
	PeerAddress   netip.AddrPort
	FabricAddress netip.AddrPort
	Metrics       ControlClient
}

// Cluster is a running deployment. All methods except Close are safe for concurrent use.
type Cluster struct {
	cfg Config

	FabricControl     ControlClient
	StoreControl      ControlClient
	ListControl       ControlClient
	FabricAddress     netip.AddrPort
	platformProcesses []*Process
	serverControls    map[string]ControlClient // by group, the servers that share a process
	serverProcesses   map[string]*Process      // by group
	groupByServer     map[string]string        // group name by server name
	certificates      certificates

	mu              sync.Mutex // protects the fields below
	instances       map[string]*Instance
	callerProcesses []*Process
	startCount      int
}

// New returns a cluster that is not started; call Start to start it.
func New(cfg Config) *Cluster {
	setDefault(&cfg.FabricWithdrawalDelay, DefaultFabricWithdrawalDelay)
	setDefault(&cfg.DetectionDelay, DefaultDetectionDelay)
	setDefault(&cfg.ListLag, DefaultListLag)
	return &Cluster{
		cfg: cfg, serverControls: map[string]ControlClient{}, serverProcesses: map[string]*Process{},
		groupByServer: map[string]string{}, instances: map[string]*Instance{},
	}
}

func setDefault(field *time.Duration, value time.Duration) {
	if *field == 0 {
		*field = value
	}
}

// Deployment returns the deployment with the addresses that were bound at start.
func (c *Cluster) Deployment() *Deployment { return c.cfg.Deployment }

// Start starts the platform and the backend servers, accepts the configuration, and
// starts the instances.
func (c *Cluster) Start(ctx context.Context) error {
	if err := c.StartPlatform(ctx); err != nil {
		return err
	}
	if _, err := c.AcceptConfiguration(ctx); err != nil {
		return err
	}
	return c.StartInstances(ctx)
}

// StartPlatform starts the stand-ins for the platform and the backend servers.
func (c *Cluster) StartPlatform(ctx context.Context) error {
	if err := os.MkdirAll(c.cfg.Dir, 0o755); err != nil {
		return err
	}
	if c.cfg.TLS {
		var err error
		if c.certificates, err = newCertificates(c.cfg.Dir); err != nil {
			return err
		}
	}
	seed := strconv.FormatUint(c.cfg.Deployment.Seed, 10)
	ready, err := c.startPlatformStandin(ctx, "fabric", &c.FabricControl, "--seed", seed)
	if err != nil {
		return err
	}
	if c.FabricAddress, err = netip.ParseAddrPort(ready["listen"]); err != nil {
		return fmt.Errorf("fabric ready line %v has no valid listen address: %w", ready, err)
	}
	if _, err := c.startPlatformStandin(ctx, "kvservice", &c.StoreControl, "--seed", seed); err != nil {
		return err
	}
	if _, err := c.startPlatformStandin(ctx, "instancelist", &c.ListControl, "--lag", c.cfg.ListLag.String()); err != nil {
		return err
	}
	for i := range c.cfg.Deployment.Answers.Services {
		s := &c.cfg.Deployment.Answers.Services[i]
		var bound fabric.AddressBody
		in := fabric.AddressBody{Address: netip.MustParseAddrPort("127.0.0.1:0")}
		if err := c.FabricControl.Do(ctx, "POST", "/services", in, &bound); err != nil {
			return err
		}
		s.Address = bound.Address
	}
	for _, d := range c.cfg.Deployment.Answers.Domains {
		specs := c.cfg.Deployment.serverSpecs(d.Name)
		if !c.cfg.ProcessPerServer {
			if err := c.startServerGroup(ctx, d.Name, specs); err != nil {
				return err
			}
			continue
		}
		for _, spec := range specs {
			if err := c.startServerGroup(ctx, spec.Name, []backendserver.Spec{spec}); err != nil {
				return err
			}
		}
	}
	return nil
}

func (c *Cluster) startPlatformStandin(ctx context.Context, name string, control *ControlClient, args ...string) (map[string]string, error) {
	p, ready, err := c.startStandin(ctx, name, name, args...)
	if err != nil {
		return nil, err
	}
	c.platformProcesses = append(c.platformProcesses, p)
	control.URL = ready["control"]
	return ready, nil
}

// startStandin starts a stand-in and returns the key=value fields of its ready line.
func (c *Cluster) startStandin(ctx context.Context, kind, name string, args ...string) (*Process, map[string]string, error) {
	p, err := Start(Command{Name: name, Path: c.cfg.Lab, Args: append([]string{"standin", kind}, args...), Dir: c.cfg.Dir})
	if err != nil {
		return nil, nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	line, err := p.FirstLine(ctx)
	if err != nil {
		return nil, nil, errors.Join(err, p.Kill())
	}
	fields := map[string]string{}
	for _, f := range strings.Fields(line) {
		if k, v, ok := strings.Cut(f, "="); ok {
			fields[k] = v
		}
	}
	return p, fields, nil
}

// startServerGroup starts a group of backend servers in one process, copies their bound
// addresses into the deployment and adds the servers to the instance list.
func (c *Cluster) startServerGroup(ctx context.Context, group string, specs []backendserver.Spec) error {
	b, err := json.Marshal(specs)
	if err != nil {
		return err
	}
	p, ready, err := c.startStandin(ctx, "backendserver", "backends-"+group, "--servers", string(b))
	if err != nil {
		return err
	}
	control := ControlClient{URL: ready["control"]}
	c.serverControls[group], c.serverProcesses[group] = control, p
	var all []backendserver.Status
	if err := control.Do(ctx, "GET", "/servers", nil, &all); err != nil {
		return err
	}
	for _, st := range all {
		c.groupByServer[st.Name] = group
		s, ok := c.cfg.Deployment.Service(st.Service)
		if !ok {
			return fmt.Errorf("backend server %s belongs to unknown service %s", st.Name, st.Service)
		}
		i := slices.IndexFunc(s.BackendServers, func(b config.BackendServer) bool { return b.Name == st.Name })
		s.BackendServers[i].Address = st.Address
		if err := c.ListControl.Do(ctx, "POST", "/control/servers", instancelist.BackendServer{Name: st.Name}, nil); err != nil {
			return err
		}
	}
	return nil
}

// StartReferenceServer starts a backend server outside the configuration, as the target of
// direct calls, and returns its address.
func (c *Cluster) StartReferenceServer(ctx context.Context, service string) (netip.AddrPort, error) {
	spec := c.cfg.Deployment.serverSpec(service, config.BackendServer{Name: "reference", Slots: 64, Connections: 10, Weight: unitSpeedWeight})
	b, err := json.Marshal([]backendserver.Spec{spec})
	if err != nil {
		return netip.AddrPort{}, err
	}
	p, ready, err := c.startStandin(ctx, "backendserver", "reference", "--servers", string(b))
	if err != nil {
		return netip.AddrPort{}, err
	}
	c.platformProcesses = append(c.platformProcesses, p)
	var all []backendserver.Status
	if err := (ControlClient{URL: ready["control"]}).Do(ctx, "GET", "/servers", nil, &all); err != nil {
		return netip.AddrPort{}, err
	}
	return all[0].Address, nil
}

// WriteQuestionnaire writes the deployment's questionnaire answers to a file and returns its
// path.
func (c *Cluster) WriteQuestionnaire() (string, error) {
	b, err := questionnaire.Format(c.cfg.Deployment.Answers)
	if err != nil {
		return "", err
	}
	path := filepath.Join(c.cfg.Dir, "questionnaire.yaml")
	return path, os.WriteFile(path, b, 0o644)
}

// StartInstances starts all instances of the deployment concurrently and waits until they
// are ready.
func (c *Cluster) StartInstances(ctx context.Context) error {
	errs := make([]error, len(c.cfg.Deployment.Instances))
	var wg sync.WaitGroup
	for i, spec := range c.cfg.Deployment.Instances {
		wg.Add(1)
		go func() {
			defer wg.Done()
			_, errs[i] = c.StartInstance(ctx, spec)
		}()
	}
	wg.Wait()
	return errors.Join(errs...)
}

// settleTime is how long instances may take to exchange their membership views after they
// appear in the lagging instance list.
const settleTime = 1500 * time.Millisecond

// WaitForDiscovery waits until instances that started together have discovered each other.
// They do so through the instance list, whose responses lag.
func (c *Cluster) WaitForDiscovery(ctx context.Context) error {
	return sleep(ctx, c.cfg.ListLag+settleTime)
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close stops all processes by process ID, in the order callers, instances, backend
// servers, platform. Processes that do not stop in time are killed.
func (c *Cluster) Close(ctx context.Context) error {
	var errs []error
	for _, stage := range c.shutdownStages() {
		results := make([]error, len(stage))
		var wg sync.WaitGroup
		for i, p := range stage {
			wg.Add(1)
			go func() {
				defer wg.Done()
				_ = p.Resume() // a paused process cannot handle SIGTERM
				results[i] = p.Stop(ctx)
			}()
		}
		wg.Wait()
		errs = append(errs, results...)
	}
	return errors.Join(errs...)
}

// shutdownStages returns the processes in the order in which Close stops them. The
// processes of a stage are stopped concurrently.
func (c *Cluster) shutdownStages() [][]*Process {
	c.mu.Lock()
	defer c.mu.Unlock()
	var instances, servers []*Process
	for _, in := range c.instances {
		instances = append(instances, in.Process)
	}
	for _, p := range c.serverProcesses {
		servers = append(servers, p)
	}
	return [][]*Process{c.callerProcesses, instances, servers, c.platformProcesses}
}
