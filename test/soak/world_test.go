// Package soak runs forwarders as processes under random faults and checks, from what
// clients and backend servers see, what must always hold. The faults come from outside:
// signals, a store with faults, proxies that cut single instances off from the store.
package soak

import (
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
	"testing"
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

	domains            = 3
	instancesPerDomain = 2
	clients            = 12
)

// orders and catalogue are the service addresses; their servers must never be mixed up.
var (
	orders    = netip.MustParseAddrPort("198.18.0.1:8443")
	catalogue = netip.MustParseAddrPort("198.18.0.2:8443")
)

// world is one deployment under test.
type world struct {
	t     *testing.T
	rng   *rand.Rand
	dir   string
	store *metastore.Store
	ports [3]uint16 // packets, readiness, peers
	url   string    // of the store

	mu         sync.Mutex
	violations []string
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
	ip      netip.Addr
	storeAt *proxy

	mu        sync.Mutex
	cmd       *exec.Cmd
	disturbed time.Time // end of the last fault
	highest   uint64    // version seen in this incarnation
	stopping  bool
}

// proxy forwards connections to the store until it is cut.
type proxy struct {
	listener net.Listener
	target   string
	cut      atomic.Bool
}

func newProxy(t *testing.T, target string) *proxy {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{listener: l, target: target}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.relay(c)
		}
	}()
	return p
}

// relay copies both ways; while the proxy is cut, bytes are held back in silence.
func (p *proxy) relay(c net.Conn) {
	defer c.Close()
	up, err := net.Dial("tcp4", p.target)
	if err != nil {
		return
	}
	defer up.Close()
	done := make(chan struct{}, 2)
	pass := func(to, from net.Conn) {
		b := make([]byte, 32<<10)
		for {
			n, err := from.Read(b)
			for p.cut.Load() {
				time.Sleep(20 * time.Millisecond)
			}
			if n > 0 {
				if _, err := to.Write(b[:n]); err != nil {
					break
				}
			}
			if err != nil {
				break
			}
		}
		done <- struct{}{}
	}
	go pass(up, c)
	go pass(c, up)
	<-done
}

func newWorld(t *testing.T, binary string, seed uint64) *world {
	w := &world{t: t, rng: rand.New(rand.NewPCG(seed, seed)), dir: t.TempDir(), store: metastore.New()}
	server := httptest.NewServer(w.store.Handler())
	t.Cleanup(server.Close)
	w.url = strings.TrimPrefix(server.URL, "http://")
	for i := range w.ports {
		l, err := net.Listen("tcp4", "127.1.2.1:0")
		if err != nil {
			t.Fatal(err)
		}
		w.ports[i] = l.Addr().(*net.TCPAddr).AddrPort().Port()
		l.Close()
	}
	w.configure()
	for d := range domains {
		for range 2 {
			w.addServer("orders", d)
		}
		w.addServer("catalogue", d)
	}
	for i := range domains * instancesPerDomain {
		w.addInstance(binary, i)
	}
	return w
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
	ip := fmt.Sprintf("127.1.3.%d", w.nextID%250+1)
	w.mu.Unlock()
	h, err := flows.StartHost(id, service, fmt.Sprint("d", domain), netip.MustParseAddrPort(fmt.Sprintf("%s:%d", ip, w.ports[0])), w.ports[0])
	if err != nil {
		w.t.Log(err)
		return
	}
	s := &server{Host: h}
	h.OnOpen(func(via netip.Addr, to netip.AddrPort) { w.checkOpen(s, via, to) })
	w.mu.Lock()
	w.servers = append(w.servers, s)
	w.mu.Unlock()
	w.store.Put(wire.ServerPrefix+id, h.Entry("ready"))
}

func (w *world) addInstance(binary string, number int) {
	p := &process{w: w, name: fmt.Sprint("front-", number), ip: netip.MustParseAddr(fmt.Sprint("127.1.2.", number+1)), storeAt: newProxy(w.t, w.url)}
	at := func(i int) string { return fmt.Sprintf("%s:%d", p.ip, w.ports[i]) }
	settings := fmt.Sprintf("instance-id=%s\nfailure-domain=d%d\ndatagram-address=%s\nready-address=%s\npeer-address=%s\nseeds=127.1.2.1:1,127.1.2.3:1\nstore-address=%s\n",
		p.name, number%domains, at(0), at(1), at(2), p.storeAt.listener.Addr())
	file := filepath.Join(w.dir, p.name+".conf")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		w.t.Fatal(err)
	}
	w.instances = append(w.instances, p)
	p.start(binary, file)
	w.t.Cleanup(func() { p.signal(syscall.SIGKILL) })
}

// start runs the process and starts it again after each end, as the platform does.
func (p *process) start(binary, file string) {
	out, err := os.Create(filepath.Join(p.w.dir, p.name+".log"))
	if err != nil {
		p.w.t.Fatal(err)
	}
	stopped := make(chan struct{})
	p.w.t.Cleanup(func() { close(stopped); out.Close() })
	go func() {
		for {
			cmd := exec.Command(binary, "--settings-file", file)
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

// violate records a broken rule.
func (w *world) violate(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.violations) < 20 {
		w.violations = append(w.violations, fmt.Sprintf(format, args...))
	}
}

// checkOpen checks a new flow at a server: the right service, and not long after the
// server said that it leaves.
func (w *world) checkOpen(s *server, via netip.Addr, to netip.AddrPort) {
	if (to.Addr() == catalogue.Addr()) != (s.Service == "catalogue") {
		w.violate("server %s of %s got a flow to %s from %s", s.ID, s.Service, to, via)
	}
	s.mu.Lock()
	drained := s.drained
	s.mu.Unlock()
	if drained.IsZero() || time.Since(drained) <= bound {
		return
	}
	for _, p := range w.instances {
		if p.ip == via && p.calm() {
			w.violate("server %s got a flow from %s %v after it said that it leaves", s.ID, p.name, time.Since(drained))
		}
	}
}
