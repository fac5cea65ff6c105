// Package soak runs forwarders as processes under random faults and checks, from what
// clients and backend servers see, what must always hold. The faults come from outside:
// signals, a store with faults, and links that delay, reset and silence what passes between
// an instance and the store or the other instances.
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
	// bound is the users' bound on changes of the configuration and on draining servers.
	bound = 3 * time.Second
	// calm is how long an instance and the store must have been without a fault before a
	// rule with a time bound holds for the instance.
	calm = 4 * time.Second
	// recovery is the time after which all is served again once all faults have ended.
	recovery = 12 * time.Second
	// restartAfter is how long a killed process is down.
	restartAfter = 300 * time.Millisecond
	// maxViolations bounds what is reported of one run.
	maxViolations = 20

	domains          = 3
	serversPerDomain = 2 // of orders, and one of catalogue
)

// The first addresses of each kind of party. Each has an address of its own, and all
// instances use the same ports, as on the users' platform.
var (
	instanceBase = netip.MustParseAddr("127.1.2.1")
	peerBase     = netip.MustParseAddr("127.1.6.1") // where links pass messages on to instances
	serverBase   = netip.MustParseAddr("127.1.10.1")
	clientBase   = netip.MustParseAddr("127.1.14.1")
)

// orders and catalogue are the service addresses; their servers must never be mixed up.
var (
	orders    = netip.MustParseAddrPort("198.18.0.1:8443")
	catalogue = netip.MustParseAddrPort("198.18.0.2:8443")
)

// addressOf returns the n-th address from base on.
func addressOf(base netip.Addr, n int) netip.Addr {
	b := base.As4()
	n += int(b[3])
	b[2] += byte(n / 250)
	b[3] = byte(n % 250)
	if b[3] == 0 {
		b[3] = 251
	}
	return netip.AddrFrom4(b)
}

// world is one deployment under test.
type world struct {
	o     Options
	rng   *rand.Rand
	store *metastore.Store
	ports [3]uint16 // packets, readiness, peers
	url   netip.AddrPort
	stops []func() // in reverse order at the end

	mu         sync.Mutex
	violations []string
	faults     map[string]int
	version    int
	accepted   time.Time // of the version
	storeFault time.Time // end of the last fault of the store
	servers    []*server
	nextID     int

	instances []*process
	served    atomic.Int64
	tried     atomic.Int64
}

// server is a backend server and what is known of it.
type server struct {
	*flows.Host
	mu      sync.Mutex
	drained time.Time // when the store accepted that it leaves
	stopped time.Time
}

// process is an entry instance.
type process struct {
	w       *world
	name    string
	number  int
	ip      netip.Addr
	storeAt *link // what it reaches the store through
	peerAt  *link // what others reach it through

	mu        sync.Mutex
	cmd       *exec.Cmd
	disturbed time.Time // end of the last fault
	highest   uint64    // version seen in this incarnation
	stopping  bool
}

func (p *process) domain() int { return p.number % domains }

func newWorld(o Options) (*world, error) {
	w := &world{o: o, rng: rand.New(rand.NewPCG(o.Seed, o.Seed)), store: metastore.New(), faults: make(map[string]int)}
	server := httptest.NewServer(w.store.Handler())
	w.stops = append(w.stops, server.Close)
	w.url = netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	for i := range w.ports {
		l, err := net.Listen("tcp4", net.JoinHostPort(instanceBase.String(), "0"))
		if err != nil {
			return w, err
		}
		w.ports[i] = l.Addr().(*net.TCPAddr).AddrPort().Port()
		l.Close()
	}
	w.configure()
	for d := range domains {
		for range serversPerDomain {
			w.addServer("orders", d)
		}
		w.addServer("catalogue", d)
	}
	for i := range domains * o.InstancesPerDomain {
		if err := w.addInstance(i); err != nil {
			return w, err
		}
	}
	return w, nil
}

func (w *world) close() {
	for i := len(w.stops) - 1; i >= 0; i-- {
		w.stops[i]()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.servers {
		s.Stop()
	}
}

// configure accepts the next version. It has a route of its own, at port 10000 + version,
// which shows whether the version is in force.
func (w *world) configure() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version++
	route := func(a netip.AddrPort, service string) string {
		return fmt.Sprintf(`{"name":"r%s","host":%q,"prefix":"/%d/","kind":"idempotent","service":%q}`, a, a.Addr(), a.Port(), service)
	}
	routes := []string{route(orders, "orders"), route(catalogue, "catalogue"), route(netip.AddrPortFrom(orders.Addr(), uint16(10000+w.version)), "orders")}
	w.store.Put(wire.ConfigurationKey, []byte(fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":"orders","healthPath":"/health"},{"name":"catalogue","healthPath":"/health"}],"limits":{"idleTimeoutMs":15000}}`,
		w.version, strings.Join(routes, ","))))
	w.accepted = time.Now()
}

func (w *world) addServer(service string, domain int) {
	w.mu.Lock()
	w.nextID++
	id := fmt.Sprintf("i-%08x", w.nextID)
	at := netip.AddrPortFrom(addressOf(serverBase, w.nextID), w.ports[0])
	w.mu.Unlock()
	h, err := flows.StartHost(id, service, fmt.Sprint("d", domain), at, w.ports[0])
	if err != nil {
		w.violate("the stand-in of a server does not start: %v", err)
		return
	}
	s := &server{Host: h}
	h.OnOpen(func(via netip.Addr, to netip.AddrPort) { w.checkOpen(s, via, to) })
	w.mu.Lock()
	w.servers = append(w.servers, s)
	w.mu.Unlock()
	w.store.Put(wire.ServerPrefix+id, h.Entry("ready"))
}

func (w *world) addInstance(number int) error {
	p := &process{w: w, name: fmt.Sprint("front-", number), number: number, ip: addressOf(instanceBase, number)}
	at := func(i int) netip.AddrPort { return netip.AddrPortFrom(p.ip, w.ports[i]) }
	var err error
	if p.storeAt, err = newLink("127.0.0.1:0", w.url, false); err != nil {
		return err
	}
	w.stops = append(w.stops, p.storeAt.close)
	if p.peerAt, err = newLink(netip.AddrPortFrom(addressOf(peerBase, number), w.ports[2]).String(), at(2), true); err != nil {
		return err
	}
	w.stops = append(w.stops, p.peerAt.close)
	settings := fmt.Sprintf("instance-id=%s\nfailure-domain=d%d\ndatagram-address=%s\nready-address=%s\npeer-address=%s\nadvertised-peer-address=%s\nseeds=%s:1,%s:1\nstore-address=%s\n",
		p.name, p.domain(), at(0), at(1), at(2), p.peerAt.address(), peerBase, addressOf(peerBase, 2), p.storeAt.address())
	file := filepath.Join(w.o.Dir, p.name+".conf")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return err
	}
	w.instances = append(w.instances, p)
	return p.start(file)
}

// start runs the process and starts it again after each end, as the platform does.
func (p *process) start(file string) error {
	out, err := os.Create(filepath.Join(p.w.o.Dir, p.name+".log"))
	if err != nil {
		return err
	}
	stopped, ended := make(chan struct{}), make(chan struct{})
	p.w.stops = append(p.w.stops, func() {
		close(stopped)
		p.signal(syscall.SIGKILL)
		<-ended
		out.Close()
	})
	go func() {
		defer close(ended)
		for {
			cmd := exec.Command(p.w.o.Binary, "--settings-file", file)
			cmd.Stdout, cmd.Stderr = out, out
			p.mu.Lock()
			p.highest, p.stopping = 0, false
			p.disturbed = time.Now()
			err := cmd.Start()
			p.cmd = cmd
			p.mu.Unlock()
			if err == nil {
				cmd.Wait()
			}
			select {
			case <-stopped:
				return
			case <-time.After(restartAfter):
			}
		}
	}()
	return nil
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.disturbed = time.Now()
	if s == syscall.SIGTERM {
		p.stopping = true
	}
	if p.cmd != nil && p.cmd.Process != nil {
		p.cmd.Process.Signal(s)
	}
}

// disturb notes a fault that is not a signal.
func (p *process) disturb() { p.signal(0) }

func (p *process) packetsAt() netip.AddrPort { return netip.AddrPortFrom(p.ip, p.w.ports[0]) }

// calm reports whether nothing disturbed the instance or the store lately, so that the
// bounds on time hold for it.
func (p *process) calm() bool {
	p.mu.Lock()
	disturbed := p.disturbed
	p.mu.Unlock()
	p.w.mu.Lock()
	defer p.w.mu.Unlock()
	return time.Since(disturbed) > calm && time.Since(p.w.storeFault) > calm
}

// get reads a page of the instance.
func (p *process) get(path string) (string, bool) {
	client := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get(fmt.Sprintf("http://%s:%d%s", p.ip, p.w.ports[1], path))
	if err != nil {
		return "", false
	}
	defer response.Body.Close()
	b, err := io.ReadAll(response.Body)
	return string(b), err == nil && response.StatusCode == http.StatusOK
}

// waitReady waits until all instances are ready.
func (w *world) waitReady(ctx context.Context) error {
	for end := time.Now().Add(recovery); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, p := range w.instances {
			if _, ok := p.get(wire.ReadyPath); ok {
				ready++
			}
		}
		if ready == len(w.instances) {
			return nil
		}
		if time.Now().After(end) || ctx.Err() != nil {
			return fmt.Errorf("%d of %d instances are ready", ready, len(w.instances))
		}
	}
}

// violate records a broken rule.
func (w *world) violate(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.violations) < maxViolations {
		w.violations = append(w.violations, fmt.Sprintf(format, args...))
	}
}
