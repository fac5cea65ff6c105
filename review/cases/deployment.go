package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/monsoonthread/monsoonthread/internal/standin/metastore"
)

// The bounds of the small deployments (SYSTEM.md).
const (
	stableWindow = 4 * time.Second
	heartbeat    = 1200 * time.Millisecond
	workTime     = 25 * time.Millisecond
	readyTimeout = 12 * time.Second
)

var zones = []string{"laval", "levis", "sherbrooke"}

const (
	instancesPerZone = 2
	hostsPerZone     = 3
	program          = "target/monsoonthread-forwarder"
)

var ordersAddress = netip.MustParseAddrPort("127.0.18.1:8443")

type ports struct{ datagram, ready, peer, metrics, host uint16 }

// deployment is a small deployment on loopback: the program's processes, and stand-ins of the store,
// the hosts, the routers and the clients.
type deployment struct {
	rec       *record
	dir       string
	network   [2]byte // the first two octets of all addresses
	ports     ports
	store     *metastore.Store
	storeAddr netip.AddrPort
	prober    *client
	http      *httptest.Server

	instances  []*instance
	answered   atomic.Int64
	openFailed atomic.Int64

	mu     sync.Mutex
	hosts  []*host
	runs   map[string]int // runs of each request
	breaks []string
	lost   int // requests at a host whose flow the system reset
	cancel context.CancelFunc

	drainBroken  int // flows opened at a draining host too late
	configBroken int // flows that an instance handled as only an older version allows
	finished     sync.WaitGroup
}

func (d *deployment) ip(third, fourth int) netip.Addr {
	return netip.AddrFrom4([4]byte{d.network[0], d.network[1], byte(third), byte(fourth)})
}

// newDeployment starts store, hosts and instances and waits until all instances are ready.
func newDeployment(rec *record) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{rec: rec, dir: dir, network: [2]byte{127, byte(2 + rand.IntN(250))}, store: metastore.New(), runs: make(map[string]int)}
	for _, p := range []*uint16{&d.ports.datagram, &d.ports.ready, &d.ports.peer, &d.ports.metrics, &d.ports.host} {
		l, err := net.Listen("tcp4", netip.AddrPortFrom(d.ip(1, 1), 0).String())
		if err != nil {
			return d, err
		}
		*p = l.Addr().(*net.TCPAddr).AddrPort().Port()
		defer l.Close()
	}
	return d, nil
}

// start starts the stand-ins and the instances.
func (d *deployment) start() error {
	d.http = httptest.NewServer(d.store.Handler())
	var err error
	d.storeAddr = netip.MustParseAddrPort(strings.TrimPrefix(d.http.URL, "http://"))
	if d.prober, err = newClient(d, "prober", zones[0], d.ip(30, 1)); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	if err := d.accept(1, nil); err != nil {
		return err
	}
	for z, zone := range zones {
		for n := range hostsPerZone {
			if _, err := d.addHost(newID(), "orders", zone, netip.AddrPortFrom(d.ip(10+z, 1+n), d.ports.host)); err != nil {
				return err
			}
		}
	}
	var seeds []string
	for z := range zones {
		seeds = append(seeds, netip.AddrPortFrom(d.ip(1+z, 1), d.ports.ready).String())
	}
	for z, zone := range zones {
		for n := range instancesPerZone {
			if err := d.addInstance(z, zone, n, strings.Join(seeds, ",")); err != nil {
				return err
			}
		}
	}
	d.finished.Go(func() { d.probeReadiness(ctx) })
	for end := time.Now().Add(readyTimeout); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, in := range d.instances {
			in.mu.Lock()
			if in.inTurn {
				ready++
			}
			in.mu.Unlock()
		}
		if ready == len(d.instances) {
			break
		}
		if time.Now().After(end) {
			return fmt.Errorf("only %d of %d instances are ready", ready, len(d.instances))
		}
	}
	d.rec.say("%d instances in %d zones are ready, %d hosts", len(d.instances), len(zones), len(d.hosts))
	return nil
}

// startClients starts flows from each zone that stay open and carry requests.
func (d *deployment) startClients(perZone int) error {
	ctx, cancel := context.WithCancel(context.Background())
	stop := d.cancel
	d.cancel = func() { cancel(); stop() }
	for z, zone := range zones {
		for n := range perZone {
			c, err := newClient(d, fmt.Sprintf("client-%s-%d", zone, n), zone, d.ip(20+z, 1+n))
			if err != nil {
				return err
			}
			for k := range 4 {
				method := "GET"
				if k%2 == 1 {
					method = "POST"
				}
				d.finished.Go(func() { c.run(ctx, ordersAddress, method) })
			}
		}
	}
	return nil
}

// stop ends all processes and stand-ins.
func (d *deployment) stop() {
	if d.cancel != nil {
		d.cancel()
	}
	d.finished.Wait()
	for _, in := range d.instances {
		in.mu.Lock()
		if in.cmd != nil && in.cmd.Process != nil {
			in.cmd.Process.Kill()
			in.cmd.Wait()
		}
		in.mu.Unlock()
		in.log.Close()
		in.proxy.close()
	}
	d.mu.Lock()
	hosts := d.hosts
	d.mu.Unlock()
	for _, h := range hosts {
		if _, alive := h.runsSince(); alive {
			h.stop("the script ends")
		}
	}
	if d.http != nil {
		d.http.CloseClientConnections()
		d.http.Close()
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(d.dir)
	}
}

func newID() string { return fmt.Sprintf("i-%010x", rand.Uint64N(1<<40)) }

// accept writes a configuration as the operator does: the route of the traffic and more routes.
func (d *deployment) accept(version int, more []map[string]any) error {
	routes := []map[string]any{{"name": "orders", "host": ordersAddress.Addr().String(), "prefix": fmt.Sprintf("/%d/", ordersAddress.Port()), "service": "orders",
		"kind": "idempotent", "timeoutMs": 2500, "targetLatencyMs": 150, "priority": 1}}
	b, err := json.Marshal(map[string]any{"version": version, "routes": append(routes, more...),
		"services": []map[string]any{{"name": "orders", "healthPath": "/health"}}, "limits": map[string]any{"idleTimeoutMs": 12000}})
	if err != nil {
		return err
	}
	d.store.Put("op/config", b)
	d.rec.add("the operator's version %d is acknowledged", version)
	return nil
}

// addHost starts a host that registers itself.
func (d *deployment) addHost(id, service, zone string, at netip.AddrPort) (*host, error) {
	h, err := startHost(d, id, service, zone, at, workTime)
	if err != nil {
		return nil, err
	}
	d.store.Put("servers/"+id, h.entry())
	d.rec.add("the store acknowledges the entry of host %s", id)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.hosts = append(d.hosts, h)
	return h, nil
}

// drain reports that a host is leaving. It goes on serving.
func (d *deployment) drain(h *host) {
	h.mu.Lock()
	h.state = "draining"
	h.mu.Unlock()
	value := h.entry()
	d.store.Put("servers/"+h.id, value)
	h.mu.Lock()
	h.drainAt = time.Now()
	h.mu.Unlock()
	d.rec.say("the store acknowledges that host %s is draining", h.id)
}

func (d *deployment) host(id string) *host {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, h := range d.hosts {
		if h.id == id {
			return h
		}
	}
	return nil
}

// ran counts a run of a request.
func (d *deployment) ran(_ *host, request string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.runs[request]++
}

// flowFailed records the end of an open flow that its client did not close, and checks the rule FLOW:
// while the host of an open flow lives, undisturbed for the stable window, the client must not get a
// reset that the host did not send.
func (d *deployment) flowFailed(f *flow, request string, cause error) {
	d.rec.add("client %s: flow %s at host %s ends: %v (request %q)", f.client.name, f.local, f.host, cause, request)
	h := d.host(f.host)
	if h == nil {
		return
	}
	age, alive := h.runsSince()
	byOther := errors.Is(cause, errHostReset) && !h.hasReset(f.local)
	d.mu.Lock()
	defer d.mu.Unlock()
	if !errors.Is(cause, errSystemReset) && !byOther || !alive || age < stableWindow {
		return
	}
	d.breaks = append(d.breaks, f.local.String())
	d.rec.add("FLOW broken: %v: open flow %s of host %s, which has run for %.1f s and did not send the reset", cause, f.local, h.id, age.Seconds())
	if request != "" && d.runs[request] > 0 {
		d.lost++
		d.rec.add("request %s was running or had run at host %s; its client gets no answer", request, h.id)
	}
}

// probeReadiness probes each instance twice a second. After two misses it is out of rotation.
func (d *deployment) probeReadiness(ctx context.Context) {
	c := http.Client{Timeout: 450 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for ctx.Err() == nil {
		var all sync.WaitGroup
		for _, in := range d.instances {
			all.Go(func() {
				response, err := c.Get("http://" + netip.AddrPortFrom(in.ip, d.ports.ready).String() + "/monsoonthread/ready")
				ok := err == nil && response.StatusCode == http.StatusOK
				if err == nil {
					response.Body.Close()
				}
				in.mu.Lock()
				defer in.mu.Unlock()
				if ok {
					in.misses, in.inTurn = 0, true
				} else if in.misses++; in.misses >= 2 {
					in.inTurn = false
				}
			})
		}
		all.Wait()
		sleep(ctx, 500*time.Millisecond)
	}
}

// route returns the instance that the routers send a flow's packet to: in the client's zone, those in
// rotation, or all if fewer than half are; in the other zones if none is. It changes for as few flows as
// possible ("steady").
func (d *deployment) route(zone string, local, service netip.AddrPort) (*instance, bool) {
	var all, usable, elsewhere []*instance
	for _, in := range d.instances {
		if in.zone == zone {
			all = append(all, in)
		}
		switch {
		case !in.ready():
		case in.zone == zone:
			usable = append(usable, in)
		default:
			elsewhere = append(elsewhere, in)
		}
	}
	switch {
	case len(usable) == 0 && len(elsewhere) > 0:
		usable = elsewhere
	case 2*len(usable) < len(all):
		usable = all
	}
	var best *instance
	var bestScore uint64
	for _, in := range usable {
		h := fnv.New64a()
		fmt.Fprint(h, local, service, in.name, "steady")
		if score := h.Sum64(); best == nil || score > bestScore {
			best, bestScore = in, score
		}
	}
	return best, best != nil
}

// verdict prints the result and returns the exit code.
func (d *deployment) verdict() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	twice := 0
	for _, n := range d.runs {
		if n > 1 {
			twice++
		}
	}
	d.rec.say("%d requests answered, %d flows could not be opened, %d requests ran twice", d.answered.Load(), d.openFailed.Load(), twice)
	d.rec.say("FLOW: %d open flows of hosts that lived undisturbed got a reset that their host did not send; %d of them had a request at the host", len(d.breaks), d.lost)
	if len(d.breaks) > 0 || twice > 0 || d.configBroken > 0 || d.drainBroken > 0 {
		return 1
	}
	if d.answered.Load() == 0 {
		return 2
	}
	return 0
}
