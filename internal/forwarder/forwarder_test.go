package forwarder

import (
	"context"
	"errors"
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
	// patience bounds what has to happen at some time.
	patience = 10 * time.Second
	// configurationBound is the users' bound on a change of the configuration.
	configurationBound = 3 * time.Second
)

// deployment is a set of forwarders with stand-ins of the platform on loopback. Each
// process has an address of its own and all use the same ports, as on the platform.
type deployment struct {
	t         *testing.T
	store     *metastore.Store
	storeAddr string
	ports     [3]uint16 // packets, readiness, peers
	instances map[string]*instance
	hosts     map[string]*flows.Host
	client    *flows.Client
	version   int
}

type instance struct {
	*Forwarder
	ip     string
	cancel context.CancelFunc
	done   chan error
}

var service = netip.MustParseAddrPort("198.18.0.1:8443")

func newDeployment(t *testing.T) *deployment {
	d := &deployment{t: t, store: metastore.New(), instances: make(map[string]*instance), hosts: make(map[string]*flows.Host)}
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

// configure accepts a configuration that sends the service's address to a service.
func (d *deployment) configure(name string) {
	d.version++
	d.store.Put(wire.ConfigurationKey, []byte(fmt.Sprintf(`{"version":%d,"routes":[{"name":"r","host":"198.18.0.1","prefix":"/8443/","kind":"idempotent","service":%q}],"services":[{"name":%q,"healthPath":"/health"}],"limits":{"idleTimeoutMs":15000}}`, d.version, name, name)))
}

// start starts an instance: name and number of its address. Its metrics address is taken,
// which must not keep it from working.
func (d *deployment) start(name, domain string, number int, seeds ...string) *instance {
	ip := fmt.Sprint("127.0.2.", number)
	at := func(i int) string { return fmt.Sprintf("%s:%d", ip, d.ports[i]) }
	s := Settings{
		InstanceID: name, FailureDomain: domain, MetricsAddress: at(1), DatagramAddress: at(0), ReadyAddress: at(1), PeerAddress: at(2),
		Seeds: strings.Join(seeds, ","), StoreAddress: d.storeAddr, MemoryMB: 64, NewFlowsPerPrefix: defaultNewFlowsPerPrefix, MaxFlowLifetime: time.Minute,
		GracePeriod: 6 * time.Second, ConfigurationBound: configurationBound, DrainBound: 3 * time.Second, LogLevel: "info",
	}
	if err := s.Check(); err != nil {
		d.t.Fatal(err)
	}
	f, err := New(s, func() (Settings, error) { return s, nil }, zerolog.Nop())
	if err != nil {
		d.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	i := &instance{Forwarder: f, ip: ip, cancel: cancel, done: make(chan error, 1)}
	go func() { i.done <- f.Run(ctx) }()
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

func (i *instance) packetsAt() netip.AddrPort {
	return netip.MustParseAddrPort(i.settings.Load().DatagramAddress)
}

// host starts a backend server and registers it.
func (d *deployment) host(id, service, domain string, number int) *flows.Host {
	h, err := flows.StartHost(id, service, domain, netip.MustParseAddrPort(fmt.Sprintf("127.0.3.%d:%d", number, d.ports[0])), d.ports[0])
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(h.Stop)
	d.hosts[id] = h
	d.store.Put(wire.ServerPrefix+id, h.Entry("ready"))
	return h
}

// eventually waits until f holds.
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

// knows reports whether the instance's table has a record with a part of the value.
func (i *instance) knows(key, part string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	r, ok := i.table.Get(key)
	return ok && strings.Contains(string(r.Value), part)
}

// pair starts two instances in one failure domain and a host, and waits until both serve.
func pair(t *testing.T) (d *deployment, a, b *instance) {
	d = newDeployment(t)
	d.host("i-1", "orders", "laval", 1)
	a = d.start("a", "laval", 1)
	b = d.start("b", "laval", 2, "127.0.2.1:1")
	for _, i := range []*instance{a, b} {
		d.eventually("ready", patience, func() bool { return d.ready(i) && i.knows(wire.ServerPrefix+"i-1", "ready") })
	}
	return d, a, b
}

// open opens a flow through an instance, again if the instance does not know a server yet.
func (d *deployment) open(via *instance) *flows.Flow {
	var f *flows.Flow
	d.eventually("open flow", patience, func() bool {
		var err error
		f, err = d.client.Open(service, via.packetsAt(), time.Second)
		return err == nil
	})
	return f
}

func (d *deployment) request(f *flows.Flow, via *instance, want string) {
	d.t.Helper()
	if got, err := f.Request(via.packetsAt(), "x", patience); err != nil || got != want {
		d.t.Fatalf("answer %q, %v; want %q", got, err, want)
	}
}

// Guards against a start in a store outage that fails because the only seed is busy with
// other starts: the seed leads to another member.
func TestBusySeedLeadsToAMember(t *testing.T) {
	d := newDeployment(t)
	d.host("i-00000001", "orders", "a", 1)
	seed := d.start("front-1", "a", 1)
	member := d.start("front-2", "a", 2, "127.0.2.1:1")
	d.eventually("both ready and acquainted", patience, func() bool {
		seed.mu.Lock()
		defer seed.mu.Unlock()
		return seed.lifecycle.isReady.Load() && member.lifecycle.isReady.Load() && seed.mesh.Alive(seed.now()) == 1
	})
	for range maxFullAnswers {
		seed.fullAnswers <- struct{}{}
	}
	d.store.SetFault(metastore.Silent)
	late := d.start("front-3", "a", 3, "127.0.2.1:1")
	d.eventually("the late one ready", patience, late.lifecycle.isReady.Load)
}

// Guards against flows that break with the instance that opened them, and against
// packets that are changed on the way.
func TestFlowSurvivesItsInstance(t *testing.T) {
	d, a, b := pair(t)
	f := d.open(a)
	d.request(f, a, "i-1:x")
	a.kill()
	d.request(f, b, "i-1:x")
	if seen := d.hosts["i-1"].Seen(); seen.Forged != 0 || seen.Unknown != 0 || seen.Foreign != 0 || seen.Data != 2 {
		t.Errorf("the host saw %+v", seen)
	}
}

// Guards against changes that stop arriving when the instance that watches the store is
// lost, and against every instance watching.
func TestWatcherIsReplaced(t *testing.T) {
	d, a, b := pair(t)
	d.eventually("one watcher", patience, func() bool { return a.watches() != b.watches() })
	watcher, other := a, b
	if b.watches() {
		watcher, other = b, a
	}
	d.configure("orders")
	d.eventually("version 2 everywhere", configurationBound, func() bool { return a.version() == 2 && b.version() == 2 })
	watcher.kill()
	d.configure("orders")
	d.eventually("version 3 after the loss of the watcher", configurationBound, func() bool { return other.version() == 3 })
}

func (i *instance) watches() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.mesh.Self(i.now(), 1, 1, false).Watching
}

// Guards against an instance that cannot start while the store is silent although a peer
// knows all records, also those of servers that have left.
func TestStartInStoreOutage(t *testing.T) {
	d, a, _ := pair(t)
	f := d.open(a)
	d.store.Remove(wire.ServerPrefix + "i-1")
	d.eventually("removal known", configurationBound, func() bool { return !a.knows(wire.ServerPrefix+"i-1", "") })
	d.store.SetFault(metastore.Silent)
	c := d.start("c", "laval", 3, "127.0.2.1:1")
	d.eventually("ready without the store", patience, func() bool { return d.ready(c) })
	d.request(f, c, "i-1:x")
}

// Guards against an instance that serves before it knows a configuration.
func TestNotReadyWithoutRecords(t *testing.T) {
	d := newDeployment(t)
	d.store.SetFault(metastore.Busy)
	a := d.start("a", "laval", 1)
	time.Sleep(500 * time.Millisecond)
	if d.ready(a) {
		t.Error("ready without store and peers")
	}
	d.store.SetFault(metastore.None)
	d.eventually("ready", patience, func() bool { return d.ready(a) })
}

// Guards against an instance that serves an old configuration after its start, because
// its first listing may be seconds old.
func TestStartFromStaleListing(t *testing.T) {
	d := newDeployment(t)
	d.host("i-1", "orders", "laval", 1)
	d.store.FreezeStaleReads()
	d.configure("orders")
	d.store.Put(wire.ServerPrefix+"i-1", d.hosts["i-1"].Entry("draining"))
	a := d.start("a", "laval", 1)
	d.eventually("ready", patience, func() bool { return d.ready(a) })
	if a.version() != 2 || !a.knows(wire.ServerPrefix+"i-1", "draining") {
		t.Errorf("ready with version %d", a.version())
	}
	d.store.FreezeStaleReads()
	d.configure("orders")
	d.store.DropHistory()
	b := d.start("b", "levis", 2)
	d.eventually("ready after a dropped history", patience, func() bool { return d.ready(b) })
	if b.version() != 3 {
		t.Errorf("ready with version %d after a dropped history", b.version())
	}
}

// Guards against clients that wait for a server that has crashed: the flow is reset, and
// a new one goes to another server.
func TestFlowsOfACrashedServerAreReset(t *testing.T) {
	d, a, _ := pair(t)
	f := d.open(a)
	d.request(f, a, "i-1:x")
	d.host("i-2", "orders", "laval", 2)
	d.eventually("second server known", configurationBound, func() bool { return a.knows(wire.ServerPrefix+"i-2", "ready") })
	d.hosts["i-1"].Stop()
	if _, err := f.Request(a.packetsAt(), "x", 3*time.Second); !errors.Is(err, flows.ErrReset) {
		t.Fatalf("request to a crashed server: %v", err)
	}
	d.request(d.open(a), a, "i-2:x")
}

// Guards against new flows at a server that is leaving.
func TestDrainingServerGetsNoNewFlow(t *testing.T) {
	d, a, b := pair(t)
	f := d.open(a)
	d.host("i-2", "orders", "laval", 2)
	d.store.Put(wire.ServerPrefix+"i-1", d.hosts["i-1"].Entry("draining"))
	for _, i := range []*instance{a, b} {
		d.eventually("drain known", configurationBound, func() bool {
			return i.knows(wire.ServerPrefix+"i-1", "draining") && i.knows(wire.ServerPrefix+"i-2", "ready")
		})
	}
	before := d.hosts["i-1"].Seen().Opened
	for range 20 {
		d.open(a)
		d.open(b)
	}
	if got := d.hosts["i-1"].Seen().Opened; got != before {
		t.Errorf("%d new flows at the draining server", got-before)
	}
	d.request(f, b, "i-1:x")
}

// Guards against a planned stop that loses packets: readiness turns 503 at once, and
// packets are forwarded until the routers have left.
func TestPlannedStop(t *testing.T) {
	d, a, _ := pair(t)
	f := d.open(a)
	a.cancel()
	d.eventually("not ready", time.Second, func() bool { return !d.ready(a) })
	d.request(f, a, "i-1:x")
	select {
	case err := <-a.done:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(6 * time.Second):
		t.Error("still running after the grace period")
	}
}

// Guards against input of strangers and of other writers that crashes an instance or
// replaces what it knew.
func TestMalformedInput(t *testing.T) {
	d, a, b := pair(t)
	f := d.open(a)
	conn, err := net.Dial("udp4", a.settings.Load().PeerAddress)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	for _, junk := range []string{"", "x", strings.Repeat("\xff", 300), strings.Repeat("\x0a\x01", 50)} {
		conn.Write([]byte(junk))
		if stranger, err := net.Dial("udp4", a.settings.Load().DatagramAddress); err == nil {
			stranger.Write([]byte(junk))
			stranger.Close()
		}
	}
	if pull, err := net.Dial("tcp4", a.settings.Load().PeerAddress); err == nil {
		pull.Write([]byte("\xff\xff\xff\xff"))
		pull.Close()
	}
	for key, value := range map[string]string{
		wire.ConfigurationKey: `{"version":9,"routes":[{"host":"nowhere"}]}`, wire.ServerPrefix + "i-1": `{"service":7}`,
		wire.ServerPrefix + "i-zz": `{}`, instancePrefix + "x": `{"domain":1}`, "other/key": "\x00",
	} {
		d.store.Put(key, []byte(value))
	}
	d.version = 9
	d.configure("orders")
	d.eventually("valid version after malformed ones", configurationBound, func() bool { return a.version() == 10 && b.version() == 10 })
	d.request(f, a, "i-1:x")
	d.request(d.open(b), b, "i-1:x")
}

// Guards against records that are lost or come back when the store drops its history.
func TestDroppedHistory(t *testing.T) {
	d, a, b := pair(t)
	d.store.Put("x/1", nil)
	d.store.DropHistory()
	d.host("i-2", "orders", "laval", 2)
	d.store.DropHistory()
	for _, i := range []*instance{a, b} {
		d.eventually("server known after a dropped history", configurationBound, func() bool { return i.knows(wire.ServerPrefix+"i-2", "ready") })
	}
}

// Guards against an instance that drops out of the directory for good when the store
// takes its lease away.
func TestRegistrationReturns(t *testing.T) {
	d, _, _ := pair(t)
	d.eventually("both registered", patience, func() bool { return len(d.store.Keys(instancePrefix)) == 2 })
	d.store.EndLeases()
	d.eventually("registered again", patience, func() bool { return len(d.store.Keys(instancePrefix)) == 2 })
}
