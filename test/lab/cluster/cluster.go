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

// Defaults of the delays of the platform.
const (
	// DefaultFabricLag is how long the fabric goes on sending to an instance that is
	// marked as leaving. The instance is stopped only afterwards.
	DefaultFabricLag = 300 * time.Millisecond
	// DefaultDetectLag is how long the fabric goes on sending to a crashed instance.
	DefaultDetectLag = time.Second
	// DefaultListLag is the age of the list's answers.
	DefaultListLag = 2 * time.Second

	readyTimeout = 20 * time.Second
)

// Config says how to start a deployment.
type Config struct {
	Deployment *Deployment
	Daemon     string // path of monsoonthreadd
	Ctl        string // path of monsoonctl
	Lab        string // path of the lab, which contains the stand-ins
	Dir        string // directory for logs and the questionnaire
	// DaemonArgs are added to the command line of each instance.
	DaemonArgs []string
	// ProcessPerServer runs each backend server in a process of its own, instead of one
	// process for each failure domain.
	ProcessPerServer bool
	// TLS makes instances and monsoonctl use mutual TLS with certificates of the lab.
	TLS       bool
	FabricLag time.Duration
	DetectLag time.Duration
	ListLag   time.Duration
}

// Instance is a running entry instance.
type Instance struct {
	InstanceSpec
	*Process
	PeerAddress   netip.AddrPort
	FabricAddress netip.AddrPort
	Metrics       Control
}

// Cluster is a running deployment. Its methods may be called concurrently, except Close.
type Cluster struct {
	cfg Config

	FabricControl  Control
	StoreControl   Control
	ListControl    Control
	FabricAddress  netip.AddrPort
	platform       []*Process
	backends       map[string]Control  // by group: servers that share a process
	backendProcess map[string]*Process // by group
	serverGroup    map[string]string   // by server
	certificates   certificates

	mu        sync.Mutex // protects the fields below
	instances map[string]*Instance
	callers   []*Process
	starts    int
}

// New prepares a cluster. Start starts it.
func New(cfg Config) *Cluster {
	setDefault(&cfg.FabricLag, DefaultFabricLag)
	setDefault(&cfg.DetectLag, DefaultDetectLag)
	setDefault(&cfg.ListLag, DefaultListLag)
	return &Cluster{
		cfg: cfg, backends: map[string]Control{}, backendProcess: map[string]*Process{},
		serverGroup: map[string]string{}, instances: map[string]*Instance{},
	}
}

func setDefault(field *time.Duration, value time.Duration) {
	if *field == 0 {
		*field = value
	}
}

// Deployment returns the deployment with the addresses in use.
func (c *Cluster) Deployment() *Deployment { return c.cfg.Deployment }

// Start starts the platform and the backend servers, accepts the configuration, and
// starts the instances.
func (c *Cluster) Start(ctx context.Context) error {
	if err := c.StartPlatform(ctx); err != nil {
		return err
	}
	if _, err := c.Accept(ctx); err != nil {
		return err
	}
	return c.StartInstances(ctx)
}

// StartPlatform starts the stand-ins of the platform and the backend servers.
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
	ready, err := c.startPlatformPart(ctx, "fabric", &c.FabricControl, "--seed", seed)
	if err != nil {
		return err
	}
	if c.FabricAddress, err = netip.ParseAddrPort(ready["listen"]); err != nil {
		return fmt.Errorf("fabric printed %v: %w", ready, err)
	}
	if _, err := c.startPlatformPart(ctx, "kvservice", &c.StoreControl, "--seed", seed); err != nil {
		return err
	}
	if _, err := c.startPlatformPart(ctx, "instancelist", &c.ListControl, "--lag", c.cfg.ListLag.String()); err != nil {
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
		specs := c.cfg.Deployment.specs(d.Name)
		if !c.cfg.ProcessPerServer {
			if err := c.startBackends(ctx, d.Name, specs); err != nil {
				return err
			}
			continue
		}
		for _, spec := range specs {
			if err := c.startBackends(ctx, spec.Name, []backendserver.Spec{spec}); err != nil {
				return err
			}
		}
	}
	return nil
}

func (c *Cluster) startPlatformPart(ctx context.Context, name string, control *Control, args ...string) (map[string]string, error) {
	p, ready, err := c.startStandin(ctx, name, name, args...)
	if err != nil {
		return nil, err
	}
	c.platform = append(c.platform, p)
	control.URL = ready["control"]
	return ready, nil
}

// startStandin starts a stand-in and returns the fields of its ready line.
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

// startBackends starts a group of backend servers in one process, takes over their
// addresses and lists them.
func (c *Cluster) startBackends(ctx context.Context, group string, specs []backendserver.Spec) error {
	b, err := json.Marshal(specs)
	if err != nil {
		return err
	}
	p, ready, err := c.startStandin(ctx, "backendserver", "backends-"+group, "--servers", string(b))
	if err != nil {
		return err
	}
	control := Control{URL: ready["control"]}
	c.backends[group], c.backendProcess[group] = control, p
	var all []backendserver.Status
	if err := control.Do(ctx, "GET", "/servers", nil, &all); err != nil {
		return err
	}
	for _, st := range all {
		c.serverGroup[st.Name] = group
		s, ok := c.cfg.Deployment.Service(st.Service)
		if !ok {
			return fmt.Errorf("backend server %s is of the unknown service %s", st.Name, st.Service)
		}
		i := slices.IndexFunc(s.BackendServers, func(b config.BackendServer) bool { return b.Name == st.Name })
		s.BackendServers[i].Address = st.Address
		if err := c.ListControl.Do(ctx, "POST", "/control/servers", instancelist.BackendServer{Name: st.Name}, nil); err != nil {
			return err
		}
	}
	return nil
}

// StartReference starts a backend server that is not part of the configuration, for
// direct calls, and returns its address.
func (c *Cluster) StartReference(ctx context.Context, service string) (netip.AddrPort, error) {
	spec := c.cfg.Deployment.spec(service, config.BackendServer{Name: "reference", Slots: 64, Connections: 10, Weight: weightOfSpeedOne})
	b, err := json.Marshal([]backendserver.Spec{spec})
	if err != nil {
		return netip.AddrPort{}, err
	}
	p, ready, err := c.startStandin(ctx, "backendserver", "reference", "--servers", string(b))
	if err != nil {
		return netip.AddrPort{}, err
	}
	c.platform = append(c.platform, p)
	var all []backendserver.Status
	if err := (Control{URL: ready["control"]}).Do(ctx, "GET", "/servers", nil, &all); err != nil {
		return netip.AddrPort{}, err
	}
	return all[0].Address, nil
}

// Questionnaire writes the answers of the deployment to a file and returns its path.
func (c *Cluster) Questionnaire() (string, error) {
	b, err := questionnaire.Format(c.cfg.Deployment.Answers)
	if err != nil {
		return "", err
	}
	path := filepath.Join(c.cfg.Dir, "questionnaire.yaml")
	return path, os.WriteFile(path, b, 0o644)
}

// StartInstances starts all instances of the deployment at once and waits until they are
// ready.
func (c *Cluster) StartInstances(ctx context.Context) error {
	errs := make([]error, len(c.cfg.Deployment.Instances))
	var all sync.WaitGroup
	for i, spec := range c.cfg.Deployment.Instances {
		all.Add(1)
		go func() {
			defer all.Done()
			_, errs[i] = c.StartInstance(ctx, spec)
		}()
	}
	all.Wait()
	return errors.Join(errs...)
}

// settleTime is the time after the list's lag in which instances exchange their views.
const settleTime = 1500 * time.Millisecond

// Settle waits until instances that started together know each other: they learn of each
// other from the list, which lags.
func (c *Cluster) Settle(ctx context.Context) error { return sleep(ctx, c.cfg.ListLag+settleTime) }

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

func (c *Cluster) Close(ctx context.Context) error {
	var errs []error
	for _, group := range c.groups() {
		results := make([]error, len(group))
		var all sync.WaitGroup
		for i, p := range group {
			all.Add(1)
			go func() {
				defer all.Done()
				_ = p.Resume() // a paused process cannot handle SIGTERM
				results[i] = p.Stop(ctx)
			}()
		}
		all.Wait()
		errs = append(errs, results...)
	}
	return errors.Join(errs...)
}

func (c *Cluster) groups() [][]*Process {
	c.mu.Lock()
	defer c.mu.Unlock()
	var instances, backends []*Process
	for _, in := range c.instances {
		instances = append(instances, in.Process)
	}
	for _, p := range c.backendProcess {
		backends = append(backends, p)
	}
	return [][]*Process{c.callers, instances, backends, c.platform}
}
