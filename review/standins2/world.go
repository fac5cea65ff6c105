package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/monsoonthread/monsoonthread/internal/standin/metastore"
)

const stableWindow = 4 * time.Second

// world is a small deployment: the platform's store and routers, hosts, clients, and the project's
// forwarders as processes.
type world struct {
	start      time.Time
	net        string // first two octets of all addresses
	packetPort uint16
	readyPort  uint16
	peerPort   uint16
	metricPort uint16
	hostPort   uint16
	storePort  uint16
	store      *metastore.Store
	storeAddr  string
	perFront   bool // each machine has its own link to the store
	dir        string
	version    uint64

	mu         sync.Mutex
	out        io.Writer
	fronts     []*front
	hosts      []*host
	clients    map[string]*client
	owner      map[netip.AddrPort]*host // at which a flow opened
	runs       map[string]int
	allowed    map[netip.AddrPort]map[string]bool // services of each route in any configuration
	violations []string
}

// front is a machine with a forwarder.
type front struct {
	w      *world
	name   string
	index  int
	zone   string
	ip     netip.Addr
	file   string
	cmd    *exec.Cmd
	ended  chan struct{}
	rotate bool // in rotation
	misses int
	link   *storeLink
	// disturbed is the end of the last disruption of the machine; zero without one.
	disturbed time.Time
	inTrouble bool
}

func newWorld(record string) (*world, error) {
	out, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	w := &world{start: time.Now(), out: out, dir: dir, store: metastore.New(), clients: make(map[string]*client),
		owner: make(map[netip.AddrPort]*host), runs: make(map[string]int), allowed: make(map[netip.AddrPort]map[string]bool)}
	w.net = fmt.Sprintf("127.%d", 20+rand.IntN(200))
	for _, p := range []*uint16{&w.packetPort, &w.readyPort, &w.peerPort, &w.metricPort, &w.hostPort, &w.storePort} {
		l, err := net.Listen("tcp4", w.net+".1.1:0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		*p = uint16(l.Addr().(*net.TCPAddr).Port)
	}
	w.storeAddr = fmt.Sprintf("%s.200.1:%d", w.net, w.storePort)
	return w, nil
}

// serveStore serves the platform's store.
func (w *world) serveStore() error {
	l, err := net.Listen("tcp4", w.storeAddr)
	if err != nil {
		return err
	}
	s := http.Server{Handler: w.store.Handler()}
	go s.Serve(l)
	return nil
}

func (w *world) addr(zone, n int) netip.Addr {
	return netip.MustParseAddr(fmt.Sprintf("%s.%d.%d", w.net, zone, n))
}

func (w *world) record(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.out, "%8.3f %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
}

func (w *world) violate(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.record("BROKEN %s", text)
	w.mu.Lock()
	w.violations = append(w.violations, text)
	w.mu.Unlock()
}

func (w *world) opened(client netip.AddrPort, h *host) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.owner[client] = h
}

func (w *world) ownerOf(client netip.AddrPort) *host {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.owner[client]
}

// ran applies rule ROUTE and checks that a request runs once.
func (w *world) ran(id string, h *host, to netip.AddrPort) {
	w.mu.Lock()
	w.runs[id]++
	n := w.runs[id]
	allowed := w.allowed[to][h.service]
	w.mu.Unlock()
	w.record("%s of %s runs %s", h.id, h.service, id)
	if !allowed {
		w.violate("ROUTE: %s of service %s runs %s, sent to %s, which no configuration ever sent allows", h.id, h.service, id, to)
	}
	if n > 1 {
		w.violate("request %s has run %d times", id, n)
	}
}

// hasRun reports whether a host has begun to work on a request.
func (w *world) hasRun(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[id] > 0
}

// hostAt names the host with an address.
func (w *world) hostAt(ip netip.Addr) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	name := ip.String()
	for _, h := range w.hosts {
		if h.addr.Addr() == ip {
			name = h.id
		}
	}
	return name
}

// frontAt returns the machine with an address.
func (w *world) frontAt(ip netip.Addr) *front {
	for _, f := range w.fronts {
		if f.ip == ip {
			return f
		}
	}
	return nil
}

// inTouch reports whether a machine has run without disruption for the whole stable window.
func (f *front) inTouch() bool {
	f.w.mu.Lock()
	defer f.w.mu.Unlock()
	return !f.inTrouble && time.Since(f.disturbed) > stableWindow
}

// judgeReset applies rule FLOW (a): the client of an open flow got a reset that the flow's host, which
// lives, did not send. The machine that took the flow's packets has to be in touch, unless only planned
// work is going on, in which no machine is marked as disturbed.
func (w *world) judgeReset(f *flow, by string, from netip.Addr) {
	h := w.ownerOf(f.local)
	switch {
	case h == nil:
		w.record("flow %s: reset by %s before it opened at a host", f.local, by)
	case by == h.id:
		w.record("flow %s of %s: reset by %s", f.local, h.id, by)
	case f.lastVia != nil && !f.lastVia.inTouch():
		w.record("flow %s of %s: reset by %s, excused: %s is not in touch", f.local, h.id, by, f.lastVia.name)
	case by == "the system" && w.frontAt(from) != nil && !w.frontAt(from).inTouch():
		w.record("flow %s of %s: reset by %s, excused: %s is not in touch", f.local, h.id, by, w.frontAt(from).name)
	default:
		w.violate("FLOW (a): flow %s is open at %s, which lives; the client gets a reset of %s; last packet through %s, in touch", f.local, h.id, by, f.lastVia.name)
	}
}

// startFronts starts the forwarders with the command of the deploy file.
func (w *world) startFronts(zones []string, counts []int) error {
	for z, zone := range zones {
		for n := range counts[z] {
			w.fronts = append(w.fronts, &front{w: w, index: len(w.fronts), name: fmt.Sprintf("front-%s-%d", zone, n+1), zone: zone, ip: w.addr(10+z, n+1)})
		}
	}
	for _, f := range w.fronts {
		f.file = filepath.Join(w.dir, f.name+".conf")
		if err := f.writeSettings(w.seeds(), true); err != nil {
			return err
		}
		if err := f.startProcess(); err != nil {
			return err
		}
	}
	for _, f := range w.fronts {
		go f.watchReadiness()
	}
	return nil
}

// seeds returns the control addresses of the first machine of each zone.
func (w *world) seeds() []string {
	var out []string
	for _, f := range w.fronts {
		if strings.HasSuffix(f.name, "-1") {
			out = append(out, fmt.Sprintf("%s:8166", f.ip))
		}
	}
	return out
}

// writeSettings writes what deploy/forwarder.conf renders from the platform's fields.
func (f *front) writeSettings(seeds []string, first bool) error {
	w := f.w
	storeAddr := w.storeAddr
	if w.perFront {
		storeAddr = fmt.Sprintf("%s.201.%d:%d", w.net, f.index+1, w.storePort)
		if f.link == nil {
			var err error
			if f.link, err = w.newStoreLink(storeAddr); err != nil {
				return err
			}
		}
	}
	text := fmt.Sprintf(`instance-id=%s
failure-domain=%s
datagram-address=%s:%d
ready-address=%s:%d
peer-address=%s:%d
seeds=%s
store-address=%s
metrics-address=%s:%d
memory-mb=284
max-flow-lifetime=60s
grace-period=6s
configuration-bound=3000ms
drain-bound=3000ms
`, f.name, f.zone, f.ip, w.packetPort, f.ip, w.readyPort, f.ip, w.peerPort, strings.Join(seeds, ","), storeAddr, f.ip, w.metricPort)
	if first {
		text += "first-start=true\n"
	}
	temporary := f.file + ".new"
	if err := os.WriteFile(temporary, []byte(text), 0o644); err != nil {
		return err
	}
	return os.Rename(temporary, f.file)
}

func (f *front) startProcess() error {
	log, err := os.OpenFile(filepath.Join(f.w.dir, f.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	f.cmd = exec.Command("target/monsoonthread-forwarder")
	f.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MONSOONTHREAD_NODE_FILE=" + f.file}
	f.cmd.Stdout, f.cmd.Stderr = log, log
	f.ended = make(chan struct{})
	if err := f.cmd.Start(); err != nil {
		return err
	}
	go func() { f.cmd.Wait(); close(f.ended) }()
	return nil
}

// watchReadiness probes readiness twice a second, as the routers do.
func (f *front) watchReadiness() {
	c := http.Client{Timeout: 400 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		ready := false
		if r, err := c.Get(fmt.Sprintf("http://%s:%d/monsoonthread/ready", f.ip, f.w.readyPort)); err == nil {
			ready = r.StatusCode == http.StatusOK
			r.Body.Close()
		}
		f.w.mu.Lock()
		before := f.rotate
		if ready {
			f.misses, f.rotate = 0, true
		} else if f.misses++; f.misses >= 2 {
			f.rotate = false
		}
		now := f.rotate
		f.w.mu.Unlock()
		if before != now {
			f.w.record("routers: %s in rotation: %v", f.name, now)
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// route returns the machine that the routers select for a client's packet: the highest hash among the
// machines of the zone in rotation; all of the zone if fewer than half are.
func (w *world) route(zone string, client, service netip.AddrPort) *front {
	w.mu.Lock()
	defer w.mu.Unlock()
	var all, in []*front
	for _, f := range w.fronts {
		if f.zone == zone {
			all = append(all, f)
			if f.rotate {
				in = append(in, f)
			}
		}
	}
	if 2*len(in) < len(all) {
		in = all
	}
	var best *front
	var most uint64
	for _, f := range in {
		h := fnv.New64a()
		fmt.Fprint(h, client, service, f.name)
		x := h.Sum64()
		x ^= x >> 31
		x *= 0x9e3779b97f4a7c15
		x ^= x >> 29
		if best == nil || x > most {
			best, most = f, x
		}
	}
	return best
}

// signal sends a signal to the process that this program started.
func (f *front) signal(s syscall.Signal) {
	f.w.record("%s: %s", f.name, s)
	f.cmd.Process.Signal(s)
}

// putConfig writes a configuration and returns when the store has acknowledged it.
func (w *world) putConfig(c configuration) time.Time {
	w.version += 3
	c.Version = w.version
	b, _ := json.Marshal(c)
	w.mu.Lock()
	for _, r := range c.Routes {
		to := netip.MustParseAddrPort(r.Host + ":" + strings.Trim(r.Prefix, "/"))
		if w.allowed[to] == nil {
			w.allowed[to] = make(map[string]bool)
		}
		w.allowed[to][r.Service] = true
	}
	w.mu.Unlock()
	w.store.Put("op/config", b)
	w.record("store accepts configuration %d", c.Version)
	return time.Now()
}

type configuration struct {
	Version  uint64          `json:"version"`
	Routes   []route         `json:"routes"`
	Services []service       `json:"services"`
	Limits   map[string]uint `json:"limits"`
}

type route struct {
	Name    string  `json:"name"`
	Host    string  `json:"host"`
	Prefix  string  `json:"prefix"`
	Kind    string  `json:"kind"`
	Timeout int     `json:"timeoutMs"`
	Aim     int     `json:"targetLatencyMs"`
	Prio    int     `json:"priority"`
	Service string  `json:"service,omitempty"`
	Split   []split `json:"trafficSplit,omitempty"`
	Most    int     `json:"maxAttempts"`
}

type split struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

type service struct {
	Name   string `json:"name"`
	Health string `json:"healthPath"`
	Most   int    `json:"maxConns"`
	Proto  string `json:"protocol"`
	TLS    bool   `json:"tls"`
}

var (
	orderLine = netip.MustParseAddrPort("198.18.0.1:8080")
	catalogue = netip.MustParseAddrPort("198.18.0.2:8443")
)

// baseConfiguration has the routes of the Bellefleur deployment.
func baseConfiguration() configuration {
	return configuration{
		Routes: []route{
			{Name: "stock-feed", Host: "198.18.0.1", Prefix: "/8443/", Kind: "idempotent", Timeout: 2000, Aim: 120, Prio: 2, Service: "orders", Most: 2},
			{Name: "order-line", Host: "198.18.0.1", Prefix: "/8080/", Kind: "non_idempotent", Timeout: 2500, Aim: 150, Prio: 1, Service: "orders", Most: 2},
			{Name: "catalogue-page", Host: "198.18.0.2", Prefix: "/8443/", Kind: "download", Timeout: 8000, Aim: 500, Prio: 2, Service: "catalogue", Most: 2},
		},
		Services: []service{{Name: "orders", Health: "/health", Most: 2000, Proto: "h1"}, {Name: "catalogue", Health: "/health", Most: 2000, Proto: "h1"}},
		Limits:   map[string]uint{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

var zones = []string{"laval", "levis", "sherbrooke"}

// startBellefleur starts the deployment of Bellefleur: 8 machines, 18 hosts, clients in 3 zones.
func (w *world) startBellefleur() error {
	if err := w.serveStore(); err != nil {
		return err
	}
	w.putConfig(baseConfiguration())
	for z, n := range []int{5, 5, 4} {
		for i := range n {
			if _, err := w.startHost(newID(), "orders", zones[z], w.addr(20+z, i+1)); err != nil {
				return err
			}
		}
	}
	for z, n := range []int{2, 1, 1} {
		for i := range n {
			if _, err := w.startHost(newID(), "catalogue", zones[z], w.addr(20+z, 100+i)); err != nil {
				return err
			}
		}
	}
	for z, zone := range zones {
		c, err := w.startClient(zone, w.addr(30+z, 1))
		if err != nil {
			return err
		}
		w.clients[zone] = c
	}
	if err := w.startFronts(zones, []int{3, 3, 2}); err != nil {
		return err
	}
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		n := 0
		w.mu.Lock()
		for _, f := range w.fronts {
			if f.rotate {
				n++
			}
		}
		w.mu.Unlock()
		if n == len(w.fronts) {
			break
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d machines are in rotation", n, len(w.fronts))
		}
	}
	time.Sleep(stableWindow + time.Second) // all machines are in touch
	return nil
}

func newID() string { return fmt.Sprintf("i-%010x", rand.Uint64N(1<<40)) }

// stop ends all processes that were started.
func (w *world) stop() {
	for _, f := range w.fronts {
		if f.cmd != nil && f.cmd.Process != nil {
			f.cmd.Process.Signal(syscall.SIGCONT)
			f.cmd.Process.Kill()
			<-f.ended
		}
	}
	if os.Getenv("KEEP_LOGS") == "" {
		os.RemoveAll(w.dir)
	} else {
		fmt.Println(w.dir)
	}
}
