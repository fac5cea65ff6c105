package daemon

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/monsoonthread/monsoonthread/config"
	"github.com/monsoonthread/monsoonthread/internal/settings"
	"github.com/monsoonthread/monsoonthread/internal/standin/backendserver"
	"github.com/monsoonthread/monsoonthread/internal/standin/fabric"
	"github.com/monsoonthread/monsoonthread/internal/standin/instancelist"
	"github.com/monsoonthread/monsoonthread/internal/standin/kvservice"
	"github.com/monsoonthread/monsoonthread/platform"

	"github.com/spf13/pflag"
)

// deployment is a complete system in one process: daemons and stand-ins on loopback.
type deployment struct {
	t           *testing.T
	fabric      *fabric.Fabric
	kv          *kvservice.Service
	kvURL       string
	list        *instancelist.List
	listURL     string
	backendHost *backendserver.Host
	config      *config.Config
	instances   map[string]*instance
}

// instance is a running daemon.
type instance struct {
	*Daemon
	cancel  context.CancelFunc
	done    chan error
	failure atomic.Pointer[error] // with which it ended before it was cancelled
}

// kill ends a daemon without waiting for a graceful stop.
func (in *instance) kill(t *testing.T) {
	in.settings.StopTimeout = 0
	in.cancel()
	select {
	case <-in.done:
	case <-time.After(10 * time.Second):
		t.Errorf("instance %s did not end", in.settings.InstanceID)
	}
}

// loopbackAddress returns an address that nothing else uses. A free port of 127.0.0.1 may become the
// source port of a connection before a daemon listens there: all connections within the machine come from
// that address, unless they are bound to another one.
func loopbackAddress() string {
	return fmt.Sprintf("127.%d.%d.%d:0", 64+rand.IntN(128), rand.IntN(256), 1+rand.IntN(254))
}

// freeAddress returns a loopback address with a TCP port that was free when checked.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", loopbackAddress())
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// freeUDPAddress returns a loopback address with a UDP port that was free when checked.
func freeUDPAddress(t *testing.T) string {
	t.Helper()
	c, err := net.ListenPacket("udp", loopbackAddress())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	return c.LocalAddr().String()
}

// newDeployment starts the stand-ins and accepts a configuration with 15 backend
// servers for orders and 4 for catalogue in three failure domains.
func newDeployment(t *testing.T) *deployment {
	t.Helper()
	d := &deployment{t: t, instances: map[string]*instance{}, list: instancelist.New(time.Now), backendHost: backendserver.NewHost()}
	d.kv = kvservice.New(1, time.Now)
	d.kvURL, d.listURL = serveHandler(t, d.kv.Handler()), serveHandler(t, d.list.Handler())
	var err error
	if d.fabric, err = fabric.New(fabric.Config{Listen: netip.MustParseAddrPort("127.0.0.1:0"), Seed: 1}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { d.fabric.Close(); d.backendHost.Close() })
	d.config = &config.Config{NextServiceID: 3, Domains: []config.Domain{{Name: "laval", Weight: 100}, {Name: "levis", Weight: 100}, {Name: "sherbrooke", Weight: 100}}}
	d.addService(1, "catalogue", 4)
	d.addService(2, "orders", 15)
	d.acceptConfig(0, "first")
	return d
}

func serveHandler(t *testing.T, h http.Handler) string {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.URL
}

func (d *deployment) acceptConfig(base uint64, acceptID string) uint64 {
	d.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	store := platform.NewStore(platform.StoreConfig{URL: d.kvURL})
	v, err := config.Accept(ctx, store, d.config, base, acceptID)
	if err != nil {
		d.t.Fatalf("accept: %v", err)
	}
	return v
}

func (d *deployment) addService(id uint32, name string, servers int) {
	d.t.Helper()
	address, err := d.fabric.AddService(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		d.t.Fatal(err)
	}
	svc := config.Service{ID: id, Name: name, Address: address, MinShares: [config.NumClasses]uint32{20, 10, 5},
		DefaultDeadline: 2000, MaxDeadline: 5000, MaxRequestBytes: 1024, Routes: []config.Route{
			{Method: "GET", PathPrefix: "/" + name + "/watch", Class: config.Urgent, Idempotent: true, Stream: true},
			{Method: "GET", PathPrefix: "/" + name + "/archive", Class: config.Bulk, Idempotent: true},
			{Method: "GET", PathPrefix: "/" + name, Class: config.Normal, Idempotent: true},
			{Method: "POST", PathPrefix: "/" + name, Class: config.Urgent},
		}}
	for i := range servers {
		b := config.BackendServer{Name: fmt.Sprintf("%s-%02d", name, i), Domain: d.config.Domains[i%3].Name, Slots: 2, Connections: 2000,
			Weight: 100, HealthPath: "/health", LoadPath: "/load"}
		s, err := d.backendHost.Start(backendserver.Spec{Name: b.Name, Service: name, Domain: b.Domain, Address: netip.MustParseAddrPort("127.0.0.1:0"),
			MeanWorkMS: 5, TickMS: 100, ArchiveSeed: 7, Seed: uint64(i + 1)})
		if err != nil {
			d.t.Fatal(err)
		}
		b.Address = s.Status().Address
		svc.BackendServers = append(svc.BackendServers, b)
	}
	d.config.Services = append(d.config.Services, svc)
}

// startAll starts eight instances in three failure domains and waits until they serve.
func (d *deployment) startAll() {
	d.t.Helper()
	for i := range 8 {
		d.start(fmt.Sprintf("entry-%d", i), d.config.Domains[i%3].Name, uint32(50+25*(i%3)))
	}
	d.waitReady()
}

func (d *deployment) start(id, domain string, weight uint32) {
	d.t.Helper()
	var s settings.Settings
	f := pflag.NewFlagSet("test", pflag.ContinueOnError)
	s.AddFlags(f)
	s.InstanceID, s.FailureDomain, s.Weight = id, domain, weight
	s.PeerAddress, s.FabricListen, s.FabricAddress = freeAddress(d.t), freeUDPAddress(d.t), d.fabric.ListenAddress().String()
	s.MetricsAddress = "127.0.0.1:0"
	s.StoreURL, s.InstanceListURL, s.Seed, s.PermitLifetime = d.kvURL, d.listURL, 1, 2*time.Second
	if err := s.Check(); err != nil {
		d.t.Fatal(err)
	}
	creds := Credentials{Server: insecure.NewCredentials(), Client: insecure.NewCredentials()}
	dm, err := New(s, zerolog.Nop(), creds)
	if err != nil {
		d.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	in := &instance{Daemon: dm, cancel: cancel, done: make(chan error, 1)}
	go func() {
		err := dm.Run(ctx)
		if err != nil && ctx.Err() == nil {
			in.failure.Store(&err)
		}
		in.done <- err
	}()
	d.instances[id] = in
	d.list.SetInstance(instancelist.Instance{ID: id, Domain: domain, PeerAddress: s.PeerAddress, Weight: weight})
	if err := d.fabric.SetInstance(fabric.Instance{ID: id, Domain: domain, Address: netip.MustParseAddrPort(s.FabricListen)}); err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() { in.kill(d.t) })
}

// waitReady waits until each instance serves and its view contains all others.
func (d *deployment) waitReady() {
	d.t.Helper()
	d.eventually(15*time.Second, "all instances ready", func() bool {
		for id, in := range d.instances {
			if err := in.failure.Load(); err != nil {
				d.t.Fatalf("%s has ended: %v", id, *err)
			}
			if !in.lifecycle.serving() || d.liveMembers(in) != len(d.instances) {
				return false
			}
		}
		return true
	})
}

// liveMembers returns the number of live instances in an instance's view.
func (d *deployment) liveMembers(in *instance) (n int) {
	for _, dom := range in.view().Domains {
		for _, e := range dom.Members {
			if e.State.String() == "alive" {
				n++
			}
		}
	}
	return n
}

func (d *deployment) eventually(timeout time.Duration, what string, ok func() bool) {
	d.t.Helper()
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return
		}
	}
	d.t.Fatalf("timed out after %s waiting for: %s", timeout, what)
}

func (d *deployment) address(service string) netip.AddrPort {
	for _, s := range d.config.Services {
		if s.Name == service {
			return s.Address
		}
	}
	d.t.Fatalf("service %s is not configured", service)
	return netip.AddrPort{}
}
