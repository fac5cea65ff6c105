package main

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/monsoonthread/monsoonthread/internal/standin/metastore"
)

// Bounds and settings of the small deployments.
const (
	drainBound         = 3 * time.Second
	configurationBound = 3 * time.Second
	rollbackSlack      = 250 * time.Millisecond
	misrouteTime       = 2 * time.Second
	gracePeriod        = 6 * time.Second
	idleTimeout        = 15 * time.Second
	readyInterval      = 500 * time.Millisecond
	readyMisses        = 2
	restartDelay       = 300 * time.Millisecond
	startTimeout       = 20 * time.Second
	packetPort         = 8172
	readyPort          = 8167
	controlPort        = 8166
	peerPort           = 7720
	metricsPort        = 9464
	storePort          = 8169
	serverPort         = 8080

	serverPrefix  = "servers/"
	healthPath    = "/health"
	program       = "target/monsoonthread-forwarder" // command of the role in the deploy file
	settingsField = "MONSOONTHREAD_NODE_FILE"
)

var (
	ordersAddr    = netip.MustParseAddrPort("127.250.0.1:8443")
	catalogueAddr = netip.MustParseAddrPort("127.250.0.2:8443")
)

// deployment is a small deployment of entry instances and the platform around it.
type deployment struct {
	log     *record
	store   *metastore.Store
	network byte // second octet of all addresses
	folder  string
	server  *http.Server

	mu        sync.Mutex
	closed    bool
	instances []*instance
	backends  []*backend
	version   int
}

// instance is an entry instance: a machine with one process.
type instance struct {
	d            *deployment
	name, domain string
	addr         netip.Addr
	settingsFile string

	mu       sync.Mutex
	cmd      *exec.Cmd
	ended    chan struct{}
	stopping bool // the platform has told it to stop
	inUse    bool // in rotation
	misses   int
}

func newDeployment(log *record) *deployment {
	return &deployment{log: log, store: metastore.New()}
}

func (d *deployment) address(third, last int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, d.network, byte(third), byte(last)})
}

// start starts the store and takes a network of loopback addresses that nobody uses.
func (d *deployment) start() error {
	var err error
	if d.folder, err = os.MkdirTemp("", "monsoonthread-review-"); err != nil {
		return err
	}
	for range 50 {
		d.network = byte(20 + rand.IntN(200))
		var listener net.Listener
		if listener, err = net.Listen("tcp4", netip.AddrPortFrom(d.address(1, 1), storePort).String()); err != nil {
			continue
		}
		d.server = &http.Server{Handler: d.store.Handler()}
		go d.server.Serve(listener)
		return nil
	}
	return err
}

// close ends all processes that the case has started.
func (d *deployment) close() {
	d.mu.Lock()
	if d.closed {
		d.mu.Unlock()
		return
	}
	d.closed = true
	instances, backends := slices.Clone(d.instances), slices.Clone(d.backends)
	d.mu.Unlock()
	for _, in := range instances {
		in.kill()
	}
	for _, b := range backends {
		b.end(false)
	}
	if d.server != nil {
		d.server.Close()
	}
	if d.folder != "" {
		os.RemoveAll(d.folder)
	}
}

// route is a route of the configuration.
type route struct {
	at      netip.AddrPort
	kind    string
	service string
}

// String formats the route for the record.
func (r route) String() string { return r.at.String() + " to " + r.service }

// accept writes the next version of the configuration, as the operator does. A server of a service holds
// maxFlows open flows.
func (d *deployment) accept(routes []route, services []string, maxFlows int) {
	d.version += 3
	var list, named []map[string]any
	for i, r := range routes {
		list = append(list, map[string]any{"name": fmt.Sprintf("r-%d", i), "host": r.at.Addr().String(), "prefix": fmt.Sprintf("/%d/", r.at.Port()), "kind": r.kind,
			"timeoutMs": 2500, "targetLatencyMs": 150, "priority": 1, "service": r.service, "maxAttempts": 2})
	}
	for _, s := range services {
		named = append(named, map[string]any{"name": s, "healthPath": healthPath, "maxConns": maxFlows, "protocol": "h1", "tls": false})
	}
	value, _ := json.Marshal(map[string]any{"version": d.version, "routes": list, "services": named,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": idleTimeout.Milliseconds()}})
	d.store.Put("op/config", value)
	d.log.printf("operator: version %d is acknowledged: %v", d.version, routes)
}

// addBackend starts a backend server, which registers itself.
func (d *deployment) addBackend(service, domain string) (*backend, error) {
	b, err := d.startBackend(service, domain)
	if err != nil {
		return nil, err
	}
	b.register()
	return b, nil
}

// startBackend starts a backend server that does not register itself.
func (d *deployment) startBackend(service, domain string) (*backend, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	at := netip.AddrPortFrom(d.address(3, 10+len(d.backends)), serverPort)
	b, err := startBackend(d.log, d.store, fmt.Sprintf("i-%08x", 0x10000000+rand.Uint32N(0x70000000)), service, domain, at)
	if err != nil {
		return nil, err
	}
	d.backends = append(d.backends, b)
	d.log.printf("server %s of %s in %s at %v starts", b.id, service, domain, at)
	return b, nil
}

// addInstance adds a machine and starts its process.
func (d *deployment) addInstance(domain string, firstStart bool) (*instance, error) {
	d.mu.Lock()
	in := &instance{d: d, name: fmt.Sprintf("front-%s-%d", domain, len(d.instances)+1), domain: domain, addr: d.address(2, 10+len(d.instances))}
	d.instances = append(d.instances, in)
	d.mu.Unlock()
	in.settingsFile = filepath.Join(d.folder, in.name+".conf")
	return in, in.start(firstStart)
}

// writeSettings writes the settings as deploy/forwarder.conf renders them.
func (in *instance) writeSettings(firstStart bool) error {
	var seeds []string
	for i := range 3 {
		seeds = append(seeds, netip.AddrPortFrom(in.d.address(2, 10+i), controlPort).String())
	}
	at := func(port uint16) string { return netip.AddrPortFrom(in.addr, port).String() }
	lines := []string{
		"instance-id=" + in.name, "failure-domain=" + in.domain, "datagram-address=" + at(packetPort), "ready-address=" + at(readyPort), "peer-address=" + at(peerPort),
		"seeds=" + strings.Join(seeds, ","), "store-address=" + netip.AddrPortFrom(in.d.address(1, 1), storePort).String(), "metrics-address=" + at(metricsPort),
		"memory-mb=284", "max-flow-lifetime=60s", "grace-period=" + gracePeriod.String(), "configuration-bound=" + configurationBound.String(), "drain-bound=" + drainBound.String(),
	}
	if firstStart {
		lines = append(lines, "first-start=true")
	}
	return os.WriteFile(in.settingsFile, []byte(strings.Join(lines, "\n")+"\n"), 0o600)
}

func (in *instance) start(firstStart bool) error {
	if err := in.writeSettings(firstStart); err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(in.d.folder, in.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	cmd := exec.Command(program)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), settingsField + "=" + in.settingsFile}
	cmd.Stdout, cmd.Stderr = output, output
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	in.mu.Lock()
	defer in.mu.Unlock()
	if err := cmd.Start(); err != nil {
		return err
	}
	in.stopping, in.cmd, in.ended = false, cmd, make(chan struct{})
	in.d.log.printf("%s starts", in.name)
	go in.wait(cmd, in.ended)
	return nil
}

// wait restarts the process after its end, as the platform does.
func (in *instance) wait(cmd *exec.Cmd, ended chan struct{}) {
	err := cmd.Wait()
	in.mu.Lock()
	stopping := in.stopping
	in.mu.Unlock()
	close(ended)
	in.d.mu.Lock()
	closed := in.d.closed
	in.d.mu.Unlock()
	if closed {
		return
	}
	in.d.log.printf("%s has ended (%v), stopped by the platform: %v", in.name, err, stopping)
	time.Sleep(restartDelay)
	in.d.mu.Lock()
	closed = in.d.closed
	in.d.mu.Unlock()
	if !closed {
		if err := in.start(false); err != nil {
			in.d.log.printf("%s does not start: %v", in.name, err)
		}
	}
}

func (in *instance) signal(s syscall.Signal) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		in.stopping = true
	}
	if in.cmd != nil {
		_ = in.cmd.Process.Signal(s) // fails if the process has ended
	}
	in.d.log.printf("%s gets %v", in.name, s)
}

func (in *instance) kill() {
	in.mu.Lock()
	in.stopping = true
	cmd, ended := in.cmd, in.ended
	in.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill() // fails if the process has ended
	<-ended
}

// restart stops the process as planned work does; it starts again by itself.
func (in *instance) restart() {
	in.mu.Lock()
	ended := in.ended
	in.mu.Unlock()
	in.signal(syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(gracePeriod):
		in.signal(syscall.SIGKILL)
		<-ended
	}
}

// isReady asks the instance for its readiness.
func (in *instance) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), readyInterval)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+netip.AddrPortFrom(in.addr, readyPort).String()+"/monsoonthread/ready", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// runRouters asks all instances for their readiness twice a second, as the platform does.
func (d *deployment) runRouters() {
	for {
		d.mu.Lock()
		closed, instances := d.closed, slices.Clone(d.instances)
		d.mu.Unlock()
		if closed {
			return
		}
		for _, in := range instances {
			go in.checkReady()
		}
		time.Sleep(readyInterval)
	}
}

func (in *instance) checkReady() {
	ready := in.isReady()
	in.mu.Lock()
	defer in.mu.Unlock()
	before := in.inUse
	if ready {
		in.misses, in.inUse = 0, true
	} else if in.misses++; in.misses >= readyMisses {
		in.inUse = false
	}
	if in.inUse != before {
		in.d.log.printf("routers: %s in rotation: %v", in.name, in.inUse)
	}
}

// routeWithin returns the router of a failure domain: a steady hash of the flow over the instances
// that are in rotation; if fewer than half are, over all of the domain's instances.
func (d *deployment) routeWithin(domain string) router {
	return func(client, service netip.AddrPort) netip.AddrPort {
		d.mu.Lock()
		instances := slices.Clone(d.instances)
		d.mu.Unlock()
		var all, inUse []*instance
		for _, in := range instances {
			if in.domain != domain {
				continue
			}
			all = append(all, in)
			in.mu.Lock()
			if in.inUse {
				inUse = append(inUse, in)
			}
			in.mu.Unlock()
		}
		if 2*len(inUse) < len(all) {
			inUse = all
		}
		best, highest := inUse[0], uint64(0)
		for _, in := range inUse {
			h := fnv.New64a()
			fmt.Fprint(h, client, service, in.name)
			if sum := mix(h.Sum64()); sum >= highest {
				best, highest = in, sum
			}
		}
		return netip.AddrPortFrom(best.addr, packetPort)
	}
}

// mix spreads the bits of a hash.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// waitReady waits until all instances are in rotation.
func (d *deployment) waitReady() error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := true
		for _, in := range d.instances {
			in.mu.Lock()
			ready = ready && in.inUse
			in.mu.Unlock()
		}
		if ready {
			return nil
		}
	}
	return fmt.Errorf("%w: the instances are not ready after %v", errNotRun, startTimeout)
}
