// Package soak runs forwarder processes under random faults and checks invariants on what
// clients and backend servers observe. All faults are injected from outside the processes:
// with signals, with a faulty store, and with links that delay, reset, stall or drop the
// traffic between an instance and the store or the other instances.
package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/monsoonthread/monsoonthread/internal/standin/flows"
	"github.com/monsoonthread/monsoonthread/internal/standin/metastore"
	"github.com/monsoonthread/monsoonthread/platform/wire"
)

const (
	// maxPropagationDelay is the time within which the users require a configuration change
	// or the drain of a server to take effect.
	maxPropagationDelay = 3 * time.Second
	// settleTime is how long an instance and the store must have been free of faults
	// before time limits apply to the instance.
	settleTime = 4 * time.Second
	// recoveryTimeout is the time within which service must be restored after all faults
	// have ended.
	recoveryTimeout = 12 * time.Second
	// restartDelay is the time between the end of a process and its restart.
	restartDelay = 300 * time.Millisecond
	// maxViolations limits the number of violations recorded in one run.
	maxViolations = 20

	// portRest is how long a client's port rests between two flows.
	portRest = time.Second

	domainCount      = 3
	serversPerDomain = 2 // of service "orders"; "catalogue" has one in each domain
)

// First address of each address range. Every instance, server and client has its own
// address and all instances use the same ports, as on the production platform. The second octet
// comes from the run's seed, so that runs at the same time do not take each other's ports.
var (
	firstInstanceAddr = netip.MustParseAddr("127.1.2.1")
	firstPeerLinkAddr = netip.MustParseAddr("127.1.6.1") // addresses of the links to the instances' peer ports
	firstServerAddr   = netip.MustParseAddr("127.1.10.1")
	firstClientAddr   = netip.MustParseAddr("127.1.14.1")
)

// ordersAddr and catalogueAddr are the service addresses. Flows to one of them must never
// reach a server of the other service.
var (
	ordersAddr    = netip.MustParseAddrPort("198.18.0.1:8443")
	catalogueAddr = netip.MustParseAddrPort("198.18.0.2:8443")
)

// nthAddr returns the n-th address after base in the run's network. Last octets are 1 to 249 and
// 251; the others are not used.
func (d *deployment) nthAddr(base netip.Addr, n int) netip.Addr {
	b := base.As4()
	b[1] = byte(1 + d.options.Seed%250)
	n += int(b[3])
	b[2] += byte(n / 250)
	b[3] = byte(n % 250)
	if b[3] == 0 {
		b[3] = 251
	}
	return netip.AddrFrom4(b)
}

// deployment is the system under test: entry instances, the links around them, and the
// stand-ins of the store and of the backend servers.
type deployment struct {
	options   Options
	rng       *rand.Rand
	store     *metastore.Store
	ports     [3]uint16 // for packets, readiness checks and peers
	storeAddr netip.AddrPort
	cleanups  []func() // called in reverse order by close

	mu             sync.Mutex // protects the fields up to nextID
	violations     []string
	faultCounts    map[string]int
	version        int
	configuration  []byte               // of that version
	acceptedAt     time.Time            // when version was accepted
	faultEnds      map[string]time.Time // end of the active fault by key, see endFault
	lastStoreFault time.Time            // last start or end of a store fault
	faultsOver     bool                 // no fault may begin any more
	writesLost     bool                 // the store was restored and nothing has been written again yet
	servers        []*server
	evacuations    map[string]*evacuation // by failure domain, also those that have ended
	peerFaultsEnd  time.Time              // end of the last fault between instances
	traffic        bool                   // clients send requests, so that servers start cold
	nextID         int

	uses         features
	reconnecting *flows.Client // opens many flows at once
	instances    []*instance
	served       atomic.Int64
	tried        atomic.Int64
}

// server is a backend server with its lifecycle state.
type server struct {
	*flows.Server
	mu        sync.Mutex // protects the fields below
	drainedAt time.Time  // when the store recorded that it is draining
	stoppedAt time.Time  // when its process ended
	records   [][]byte   // what it has written into the store

	movedAt      time.Time // when the process started, if its record names another failure domain than that of the one before
	cold         coldRule
	coldOpenings []time.Time // opening packets that count for the limit of a cold server, of the last second
}

func (s *server) key() string { return wire.ServerPrefix + s.ID }

// write writes the server's record into the store.
func (s *server) write(store *metastore.Store) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := "ready"
	if !s.drainedAt.IsZero() {
		state = "draining"
	}
	record := s.Record(state)
	s.records = append(s.records, record)
	store.Put(s.key(), record)
}

// instance is an entry instance.
type instance struct {
	deployment *deployment
	name       string
	index      int
	ip         netip.Addr
	storeLink  *link // link from the instance to the store
	peerLink   *link // link from the other instances to this one

	mu             sync.Mutex // protects the fields below
	cmd            *exec.Cmd
	lastFault      time.Time // last process start, signal or store link fault
	highestVersion uint64    // highest version seen since the process started
	stopping       bool      // received SIGTERM and has not been restarted yet
	paused         bool      // received SIGSTOP and no SIGCONT since
	startedAt      time.Time // of the process
	cleanStart     bool      // it started after all faults, when the store had been free of faults for settleTime
}

func (in *instance) domain() int { return in.index % domainCount }

func newDeployment(o Options) (*deployment, error) {
	d := &deployment{options: o, uses: featuresOf(o.Seed), evacuations: make(map[string]*evacuation), rng: rand.New(rand.NewPCG(o.Seed, o.Seed)), store: metastore.New(), faultCounts: make(map[string]int)}
	server := httptest.NewServer(d.store.Handler())
	d.cleanups = append(d.cleanups, server.Close)
	d.storeAddr = netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	for i := range d.ports {
		l, err := net.Listen("tcp4", net.JoinHostPort(d.nthAddr(firstInstanceAddr, 0).String(), "0"))
		if err != nil {
			return d, err
		}
		d.ports[i] = l.Addr().(*net.TCPAddr).AddrPort().Port()
		l.Close()
	}
	d.acceptNextVersion()
	for domain := range domainCount {
		for range serversPerDomain {
			d.addServer("orders", domain)
		}
		d.addServer("catalogue", domain)
	}
	for i := range domainCount * o.InstancesPerDomain {
		if err := d.addInstance(i); err != nil {
			return d, err
		}
	}
	return d, nil
}

func (d *deployment) close() {
	for i := len(d.cleanups) - 1; i >= 0; i-- {
		d.cleanups[i]()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.servers {
		s.Stop()
	}
}

// acceptNextVersion writes the next configuration version to the store. Each version adds
// its own route, at port 10000 + version, which shows whether the version is active.
func (d *deployment) acceptNextVersion() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	route := func(a netip.AddrPort, service string) string {
		return fmt.Sprintf(`{"name":"r%s","host":%q,"prefix":"/%d/","kind":"idempotent","service":%q%s}`, a, a.Addr(), a.Port(), service, d.uses.routeFields(service))
	}
	routes := []string{route(ordersAddr, "orders"), route(catalogueAddr, "catalogue"), route(netip.AddrPortFrom(ordersAddr.Addr(), uint16(10000+d.version)), "orders")}
	d.configuration = []byte(fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":"orders","healthPath":"/health"%s},{"name":"catalogue","healthPath":"/health"%s}],"limits":{"idleTimeoutMs":%d}}`,
		d.version, strings.Join(routes, ","), d.uses.serviceFields(), d.uses.serviceFields(), idleTimeout.Milliseconds()))
	d.store.Put(wire.ConfigurationKey, d.configuration)
	d.acceptedAt = time.Now()
}

// addServer starts a backend server at an address of its own.
func (d *deployment) addServer(service string, domain int) {
	d.mu.Lock()
	d.nextID++
	n := d.nextID
	d.mu.Unlock()
	d.startServer(fmt.Sprintf("i-%08x", n), service, domainName(domain), netip.AddrPortFrom(d.nthAddr(firstServerAddr, n), d.ports[0]), 0)
}

func domainName(domain int) string { return fmt.Sprint("d", domain) }

// serverWork is the time that servers need for a request, by the last digit of their address.
var serverWork = []time.Duration{0, 20 * time.Millisecond, 100 * time.Millisecond, 400 * time.Millisecond}

// startServer starts the process of a server, which writes its record after recordDelay.
func (d *deployment) startServer(id, service, domain string, addr netip.AddrPort, recordDelay time.Duration) {
	host, err := flows.StartServer(id, service, domain, addr, d.ports[0])
	if err != nil {
		d.recordViolation("start backend server stand-in: %v", err)
		return
	}
	b := addr.Addr().As4()
	host.SetWork(serverWork[int(b[3])%len(serverWork)])
	s := &server{Server: host}
	d.mu.Lock()
	d.compareWithEarlier(s)
	d.servers = append(d.servers, s)
	d.mu.Unlock()
	host.OnOpen(func(via netip.Addr, to netip.AddrPort) { d.checkNewFlow(s, via, to) })
	if recordDelay == 0 {
		s.write(d.store)
		return
	}
	time.AfterFunc(recordDelay, func() {
		if s.alive() {
			s.write(d.store)
		}
	})
}

func (d *deployment) addInstance(index int) error {
	in := &instance{deployment: d, name: fmt.Sprint("front-", index), index: index, ip: d.nthAddr(firstInstanceAddr, index)}
	addrAt := func(i int) netip.AddrPort { return netip.AddrPortFrom(in.ip, d.ports[i]) }
	var err error
	if in.storeLink, err = newLink("127.0.0.1:0", d.storeAddr, false); err != nil {
		return err
	}
	d.cleanups = append(d.cleanups, in.storeLink.close)
	if in.peerLink, err = newLink(netip.AddrPortFrom(d.nthAddr(firstPeerLinkAddr, index), d.ports[2]).String(), addrAt(2), true); err != nil {
		return err
	}
	d.cleanups = append(d.cleanups, in.peerLink.close)
	settings := fmt.Sprintf("instance-id=%s\nfailure-domain=d%d\ndatagram-address=%s\nready-address=%s\npeer-address=%s\nadvertised-peer-address=%s\nseeds=%s:1,%s:1\nstore-address=%s\n",
		in.name, in.domain(), addrAt(0), addrAt(1), addrAt(2), in.peerLink.address(), d.nthAddr(firstPeerLinkAddr, 0), d.nthAddr(firstPeerLinkAddr, 2), in.storeLink.address()) + d.uses.settings()
	file := filepath.Join(d.options.Dir, in.name+".conf")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return err
	}
	d.instances = append(d.instances, in)
	return in.start(file)
}

// start runs the process and restarts it whenever it ends, as the platform does.
func (in *instance) start(file string) error {
	out, err := os.Create(filepath.Join(in.deployment.options.Dir, in.name+".log"))
	if err != nil {
		return err
	}
	stopped, ended := make(chan struct{}), make(chan struct{})
	in.deployment.cleanups = append(in.deployment.cleanups, func() {
		close(stopped)
		in.signal(syscall.SIGKILL)
		<-ended
		out.Close()
	})
	go func() {
		defer close(ended)
		for {
			cmd := exec.Command(in.deployment.options.ForwarderPath, "--settings-file", file)
			cmd.Stdout, cmd.Stderr = out, out
			clean := in.deployment.freeOfFaults()
			in.mu.Lock()
			in.highestVersion, in.stopping, in.paused = 0, false, false
			in.lastFault, in.startedAt, in.cleanStart = time.Now(), time.Now(), clean
			err := cmd.Start()
			in.cmd = cmd
			in.mu.Unlock()
			if err == nil {
				cmd.Wait()
			}
			select {
			case <-stopped:
				return
			case <-time.After(restartDelay):
			}
		}
	}()
	return nil
}

func (in *instance) signal(s syscall.Signal) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.lastFault = time.Now()
	switch s {
	case syscall.SIGTERM:
		in.stopping = true
	case syscall.SIGSTOP:
		in.paused = true
	case syscall.SIGCONT:
		in.paused = false
	}
	if in.cmd != nil && in.cmd.Process != nil {
		in.cmd.Process.Signal(s)
	}
}

// markFault records the time of a fault that is not a signal.
func (in *instance) markFault() { in.signal(0) }

func (in *instance) datagramAddr() netip.AddrPort {
	return netip.AddrPortFrom(in.ip, in.deployment.ports[0])
}

// settled reports whether the instance and the store have been free of faults for
// settleTime, so that time limits apply to the instance. A paused process is not.
func (in *instance) settled() bool {
	in.mu.Lock()
	lastFault, paused := in.lastFault, in.paused
	in.mu.Unlock()
	if paused {
		return false
	}
	in.deployment.mu.Lock()
	defer in.deployment.mu.Unlock()
	return time.Since(lastFault) > settleTime && time.Since(in.deployment.lastStoreFault) > settleTime
}

// freeOfFaults reports whether no fault may begin any more and the store has had none for settleTime.
func (d *deployment) freeOfFaults() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.faultsOver && time.Since(d.lastStoreFault) > settleTime
}

// getPage fetches a page from the instance's readiness endpoint and reports whether the
// response status was 200.
func (in *instance) getPage(path string) (string, bool) {
	client := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get(fmt.Sprintf("http://%s:%d%s", in.ip, in.deployment.ports[1], path))
	if err != nil {
		return "", false
	}
	defer response.Body.Close()
	b, err := io.ReadAll(response.Body)
	return string(b), err == nil && response.StatusCode == http.StatusOK
}

// waitReady waits until all instances are ready.
func (d *deployment) waitReady(ctx context.Context) error {
	for end := time.Now().Add(recoveryTimeout); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, in := range d.instances {
			if _, ok := in.getPage(wire.ReadyPath); ok {
				ready++
			}
		}
		if ready == len(d.instances) {
			return nil
		}
		if time.Now().After(end) || ctx.Err() != nil {
			return fmt.Errorf("only %d of %d instances are ready", ready, len(d.instances))
		}
	}
}

// recordViolation records a violated invariant.
func (d *deployment) recordViolation(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.violations) < maxViolations {
		d.violations = append(d.violations, fmt.Sprintf(format, args...))
	}
}
