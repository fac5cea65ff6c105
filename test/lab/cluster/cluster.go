package cluster

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/monsoonthread/monsoonthread/config"
	"github.com/monsoonthread/monsoonthread/internal/standin/backendserver"
	"github.com/monsoonthread/monsoonthread/internal/standin/callers"
	"github.com/monsoonthread/monsoonthread/internal/standin/fabric"
	"github.com/monsoonthread/monsoonthread/internal/standin/instancelist"
	"github.com/monsoonthread/monsoonthread/internal/standin/kvservice"
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

// Callers is a running process of callers.
type Callers struct {
	*Process
	Control
}

// StartCallers starts a process that executes a plan.
func (c *Cluster) StartCallers(ctx context.Context, name string, plan callers.Plan) (*Callers, error) {
	b, err := json.Marshal(plan)
	if err != nil {
		return nil, err
	}
	p, ready, err := c.startStandin(ctx, "callers", name, "--plan", string(b))
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.callers = append(c.callers, p)
	c.mu.Unlock()
	return &Callers{Process: p, Control: Control{URL: ready["control"]}}, nil
}

// Wait waits until the plan has ended and all its requests have an outcome.
func (c *Callers) Wait(ctx context.Context) error {
	for {
		var st callers.Status
		if err := c.Do(ctx, "GET", "/status", nil, &st); err != nil {
			return err
		}
		if st.Done {
			return nil
		}
		if err := sleep(ctx, 50*time.Millisecond); err != nil {
			return err
		}
	}
}

// Report returns what the callers saw between two times since their start.
func (c *Callers) Report(ctx context.Context, from, to time.Duration) (callers.Report, error) {
	var r callers.Report
	path := fmt.Sprintf("/report?from_ms=%d&to_ms=%d", from.Milliseconds(), to.Milliseconds())
	return r, c.Do(ctx, "GET", path, nil, &r)
}

// Orders returns the outcomes of the requests with payload IDs.
func (c *Callers) Orders(ctx context.Context) ([]callers.Order, error) {
	var all []callers.Order
	return all, c.Do(ctx, "GET", "/orders", nil, &all)
}

// Close ends all processes by their process IDs: callers, instances, backend servers,
// platform. Processes that do not end are killed.
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
