package forwarder

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/monsoonthread/monsoonthread/internal/standin/flows"
	"github.com/monsoonthread/monsoonthread/internal/standin/metastore"
	"github.com/monsoonthread/monsoonthread/platform/wire"
)

const (
	// testTimeout is the timeout for conditions without a stated bound.
	testTimeout = 10 * time.Second
	// configurationBound is the required bound for a configuration change to take effect.
	configurationBound = 3 * time.Second
)

// deployment is a set of forwarders and platform stand-ins on loopback. Each process has its
// own IP address and all use the same ports, as on the platform.
type deployment struct {
	t         *testing.T
	store     *metastore.Store
	storeAddr string
	ports     [3]uint16 // packets, readiness, peers
	instances map[string]*instance
	servers   map[string]*flows.Server
	client    *flows.Client
	version   int
	log       zerolog.Logger // of instances that are started later; discards everything unless a test sets it

	evacuationBound time.Duration // of instances that are started later
	coldSlack       float64       // setting of the instances
}

type instance struct {
	*Forwarder
	ip     string
	cancel context.CancelFunc
	done   chan error
}

var service = netip.MustParseAddrPort("198.18.0.1:8443")

func newDeployment(t *testing.T) *deployment {
	d := &deployment{t: t, store: metastore.New(), instances: make(map[string]*instance), servers: make(map[string]*flows.Server), log: zerolog.Nop()}
	server := httptest.NewServer(d.store.Handler())
	t.Cleanup(server.Close)
	d.storeAddr = strings.TrimPrefix(server.URL, "http://")
	for i := range d.ports {
		d.ports[i] = freePort(t)
	}
	client, err := flows.StartClient(netip.MustParseAddrPort(fmt.Sprint("127.0.9.1:", d.ports[0])))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(client.Stop)
	d.client = client
	d.configure("orders")
	return d
}

// freePort returns a port that is free for UDP and TCP on the first instance's address.
func freePort(t *testing.T) uint16 {
	l, err := net.Listen("tcp4", "127.0.2.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).AddrPort().Port()
}

// configure stores a new configuration that routes the service address to the named service.
func (d *deployment) configure(name string) {
	d.version++
	d.store.Put(wire.ConfigurationKey, []byte(fmt.Sprintf(`{"version":%d,"routes":[{"name":"r","host":"198.18.0.1","prefix":"/8443/","kind":"idempotent","service":%q}],"services":[{"name":%q,"healthPath":"/health"}],"limits":{"idleTimeoutMs":15000}}`, d.version, name, name)))
}

// startInstance starts an instance at the address with the given number.
func (d *deployment) startInstance(name, domain string, number int, seeds ...string) *instance {
	i := d.newInstance(name, domain, number, seeds...)
	ctx, cancel := context.WithCancel(context.Background())
	i.cancel = cancel
	go func() { i.done <- i.Run(ctx) }()
	return i
}

// newInstance returns an instance that does not run yet. Its metrics address is already in use, which
// must not stop the instance from working.
func (d *deployment) newInstance(name, domain string, number int, seeds ...string) *instance {
	ip := fmt.Sprint("127.0.2.", number)
	at := func(i int) string { return fmt.Sprintf("%s:%d", ip, d.ports[i]) }
	s := Settings{
		InstanceID: name, FailureDomain: domain, MetricsAddress: at(1), DatagramAddress: at(0), ReadyAddress: at(1), PeerAddress: at(2),
		Seeds: strings.Join(seeds, ","), StoreAddress: d.storeAddr, MemoryMB: 64, NewFlowsPerPrefix: defaultNewFlowsPerPrefix, MaxFlowLifetime: time.Minute,
		GracePeriod: 6 * time.Second, ConfigurationBound: configurationBound, DrainBound: 3 * time.Second, EvacuationBound: d.evacuationBound, ColdSlack: d.coldSlack, LogLevel: "info",
	}
	if err := s.Check(); err != nil {
		d.t.Fatal(err)
	}
	f, err := New(s, func() (Settings, error) { return s, nil }, d.log)
	if err != nil {
		d.t.Fatal(err)
	}
	i := &instance{Forwarder: f, ip: ip, cancel: func() {}, done: make(chan error, 1)}
	d.instances[name] = i
	d.t.Cleanup(i.kill)
	return i
}

// kill ends the instance without a graceful stop.
func (i *instance) kill() {
	i.packets.Close()
	i.peers.close()
	i.cancel()
}

func (i *instance) datagramAddress() netip.AddrPort {
	return netip.MustParseAddrPort(i.settings.Load().DatagramAddress)
}

// startServer starts a backend server and registers it in the store.
func (d *deployment) startServer(id, service, domain string, number int) *flows.Server {
	server, err := flows.StartServer(id, service, domain, netip.MustParseAddrPort(fmt.Sprintf("127.0.3.%d:%d", number, d.ports[0])), d.ports[0])
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(server.Stop)
	d.servers[id] = server
	d.store.Put(wire.ServerPrefix+id, server.Record("ready"))
	return server
}

// eventually polls f until it returns true and fails the test after the given time.
func (d *deployment) eventually(what string, within time.Duration, f func() bool) {
	d.t.Helper()
	for end := time.Now().Add(within); !f(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			d.t.Fatalf("not within %v: %s", within, what)
		}
	}
}

func (d *deployment) ready(i *instance) bool {
	response, err := http.Get(fmt.Sprintf("http://%s:%d%s", i.ip, d.ports[1], wire.ReadyPath))
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (i *instance) version() uint64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	v, _ := i.engine.Version()
	return v
}

// hasRecord reports whether the instance has a record of the key whose value contains part.
func (i *instance) hasRecord(key, part string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	r, ok := i.table.Get(key)
	return ok && strings.Contains(string(r.Value), part)
}

// startPair starts two instances in one failure domain and a backend server, and waits until
// both instances are ready.
func startPair(t *testing.T) (d *deployment, a, b *instance) {
	d = newDeployment(t)
	d.startServer("i-1", "orders", "laval", 1)
	a = d.startInstance("a", "laval", 1)
	b = d.startInstance("b", "laval", 2, "127.0.2.1:1")
	for _, i := range []*instance{a, b} {
		d.eventually("ready", testTimeout, func() bool { return d.ready(i) && i.hasRecord(wire.ServerPrefix+"i-1", "ready") })
	}
	return d, a, b
}

// openFlow opens a flow through an instance. It retries because the instance may not know a
// server yet.
func (d *deployment) openFlow(via *instance) *flows.Flow {
	var f *flows.Flow
	d.eventually("open flow", testTimeout, func() bool {
		var err error
		f, err = d.client.Open(service, via.datagramAddress(), time.Second)
		return err == nil
	})
	return f
}

func (d *deployment) request(f *flows.Flow, via *instance, want string) {
	d.t.Helper()
	if got, err := f.Request(via.datagramAddress(), "x", testTimeout); err != nil || got != want {
		d.t.Fatalf("response %q, %v; want %q", got, err, want)
	}
}
