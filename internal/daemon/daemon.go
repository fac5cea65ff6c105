// Package daemon runs one entry instance: it connects the state machines of the other
// packages to sockets, peer links and timers.
//
// Concurrency: a pool of workers reads datagrams and operates on sharded tables. Lock
// order, from first to last: membership, scheduler of a service, chooser, issuer,
// pending dispatches, exchanges, streams, backend exchanges, flow table. Actions
// returned by a state machine are executed after its lock is released, so at most one
// of these locks is held at a time, except that the flow table may be used while a
// stream's lock is held.
package daemon

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"fmt"
	randv2 "math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"github.com/monsoonthread/monsoonthread/admission"
	"github.com/monsoonthread/monsoonthread/config"
	"github.com/monsoonthread/monsoonthread/dispatch"
	"github.com/monsoonthread/monsoonthread/flow"
	"github.com/monsoonthread/monsoonthread/internal/settings"
	"github.com/monsoonthread/monsoonthread/internal/timeline"
	"github.com/monsoonthread/monsoonthread/membership"
	"github.com/monsoonthread/monsoonthread/peer"
	"github.com/monsoonthread/monsoonthread/peer/peerpb"
	"github.com/monsoonthread/monsoonthread/permit"
	"github.com/monsoonthread/monsoonthread/platform"
)

const (
	// datagramQueueLen bounds the datagrams that wait for a worker. At 20,000 a second
	// it holds 200 ms; beyond that, datagrams from the fabric are dropped and callers
	// retransmit.
	datagramQueueLen = 4096
	// timelineCapacity bounds the timeline's ring buffer: at about 200 bytes an event,
	// 0.8 MB.
	timelineCapacity  = 4096
	socketBufferBytes = 4 << 20
)

// Credentials are the transport credentials of an entry instance.
type Credentials struct {
	Server, Client credentials.TransportCredentials
	// Platform is the HTTP transport for platform services; nil means
	// http.DefaultTransport.
	Platform http.RoundTripper
}

// Daemon is an entry instance.
type Daemon struct {
	settings settings.Settings
	log      zerolog.Logger
	clock    *timeline.Clock
	events   *timeline.Ring
	metrics  *metrics
	seed     int64

	current config.Current
	routes  atomic.Pointer[routing]

	members      members
	schedulers   schedulers
	chooser      lockedChooser
	issuer       lockedIssuer
	retries      lockedBudget
	pending      *pendingTable
	exchanges    *exchangeTable
	flows        *flow.Table
	streams      *streamTable
	backends     *backendClient
	notices      *serverNotices
	store        *platform.Store
	instanceList *platform.List
	follower     *config.Follower

	peers         *peer.Transport
	grpc          *grpc.Server
	baseTransport http.RoundTripper
	fabric        *net.UDPConn // receives callers' datagrams, which the fabric delivers to any instance
	fabricAddr    netip.AddrPort
	datagrams     chan []byte

	lifecycle     *lifecycle
	faults        faults
	lastMessageID atomic.Uint32 // in messages to callers
	wg            sync.WaitGroup
}

// New returns a daemon with its sockets open. It serves once Run is called.
func New(s settings.Settings, log zerolog.Logger, creds Credentials) (*Daemon, error) {
	d := &Daemon{settings: s, log: log, clock: timeline.NewClock(time.Now), datagrams: make(chan []byte, datagramQueueLen), seed: int64(s.Seed)}
	if d.baseTransport = creds.Platform; d.baseTransport == nil {
		d.baseTransport = http.DefaultTransport
	}
	if d.seed == 0 {
		d.seed = int64(randomUint64())
	}
	d.events = timeline.NewRing(d.clock, s.InstanceID, timelineCapacity)
	d.metrics = newMetrics(d)
	d.lifecycle = newLifecycle(d)
	if err := d.listen(creds); err != nil {
		return nil, err
	}
	now := time.Now()
	self := membership.Instance{ID: s.InstanceID, Domain: s.FailureDomain, PeerAddress: s.PeerAddress,
		Incarnation: uint64(now.UnixMilli())} // weight 0 until joined; see join.go
	d.members.init(d, self, now)
	d.schedulers.init(d)
	d.chooser.chooser = dispatch.NewChooser(dispatch.ChooserConfig{Policy: policyOf(s.DispatchPolicy)}, randv2.New(randv2.NewPCG(uint64(d.seed), 1)))
	d.retries.budgets = map[uint32]*admission.RetryBudget{}
	issuer, err := permit.NewIssuer(permit.Config{Lifetime: s.PermitLifetime}, s.InstanceID, self.Incarnation, crand.Reader)
	if err != nil {
		return nil, fmt.Errorf("create permit issuer: %w", err)
	}
	d.issuer.issuer = issuer
	d.pending = newPendingTable(randomUint64())
	d.exchanges = newExchangeTable()
	limiter := newPrefixLimiter(s.NewFlowsPerPrefix, uint64(d.seed), now)
	d.flows = flow.NewTable(flow.Config{MaxFlows: s.MaxFlows, Limiter: limiter,
		Clock: func() uint64 { return timeline.Millis(d.clock.Now()) }})
	d.notices = newServerNotices()
	d.streams = newStreamTable(d)
	if d.backends, err = newBackendClient(d, s.BackendSourceIP); err != nil {
		return nil, err
	}
	d.store = platform.NewStore(platform.StoreConfig{URL: s.StoreURL, Transport: d.platformTransport()})
	d.instanceList = platform.NewList(platform.ListConfig{URL: s.InstanceListURL, Transport: d.platformTransport()})
	d.follower = d.newFollower()
	hello := &peerpb.Hello{Instance: s.InstanceID, Incarnation: self.Incarnation, Domain: s.FailureDomain}
	d.peers = peer.NewTransport(hello, d.clock, d, creds.Client)
	d.peers.SetPartition(d.faults.isPartitioned)
	d.lastMessageID.Store(uint32(randomUint64()))
	return d, nil
}

func (d *Daemon) listen(creds Credentials) error {
	listen, err := netip.ParseAddrPort(d.settings.FabricListen)
	if err != nil {
		return fmt.Errorf("fabric-listen: %w", err)
	}
	if d.fabricAddr, err = netip.ParseAddrPort(d.settings.FabricAddress); err != nil {
		return fmt.Errorf("fabric-address: %w", err)
	}
	if d.fabric, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(listen)); err != nil {
		return fmt.Errorf("listen for the fabric: %w", err)
	}
	_ = d.fabric.SetReadBuffer(socketBufferBytes)
	d.grpc = grpc.NewServer(peer.ServerOptions(creds.Server)...)
	peerpb.RegisterPeerServer(d.grpc, &peerService{daemon: d})
	peerpb.RegisterOperatorServer(d.grpc, &operatorService{daemon: d})
	return nil
}

// Run serves until ctx ends, then stops gracefully. It returns nil if the stop
// interrupted no request.
func (d *Daemon) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", d.settings.PeerAddress)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	stopHTTP, err := d.serveHTTP()
	if err != nil {
		return err
	}
	workCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d.start(workCtx, func() { _ = d.grpc.Serve(listener) })
	d.event("instance_started")
	<-ctx.Done()
	err = d.stop()
	cancel()
	d.peers.Close()
	d.grpc.Stop()
	d.fabric.Close()
	d.backends.close()
	stopHTTP()
	d.wg.Wait()
	return err
}

func (d *Daemon) start(ctx context.Context, serve func()) {
	// The scheduler counts its violations itself.
	dispatch.Violations.SetHook(func(name, server string) { d.reportViolation(name, "server "+server) })
	d.spawn(serve)
	for range d.settings.Workers {
		d.spawn(func() { d.processDatagrams(ctx) })
	}
	d.spawn(func() { d.readFabric() })
	d.spawn(func() { d.runEvery(ctx, membershipTick, d.tickMembership) })
	d.spawn(func() { d.runEvery(ctx, schedulerTick, d.tickSchedulers) })
	d.spawn(func() { d.runEvery(ctx, stateTick, d.tickStates) })
	d.spawn(func() { d.runEvery(ctx, streamTick, d.tickStreams) })
	d.spawn(func() { d.runEvery(ctx, listInterval, func(now time.Time) { d.pollList(ctx, now) }) })
	d.spawn(func() { d.runEvery(ctx, summaryInterval, d.sendSummaries) })
	d.spawn(func() { d.pollHealth(ctx) })
	d.spawn(func() { d.followConfig(ctx) })
}

func (d *Daemon) spawn(f func()) {
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		f()
	}()
}

// runEvery calls f at the interval until ctx ends.
func (d *Daemon) runEvery(ctx context.Context, interval time.Duration, f func(now time.Time)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f(time.Now())
		}
	}
}

// event records a timeline event and logs it.
func (d *Daemon) event(name string, fields ...timeline.Field) {
	d.events.Record(name, fields...)
	line := d.log.Info()
	for _, f := range fields {
		line = line.Str(f.Key, f.Value)
	}
	line.Msg(name)
}

// violation reports a violated invariant. Tests fail when the counter is not zero.
func (d *Daemon) violation(name, detail string) {
	d.metrics.violations.Inc()
	d.reportViolation(name, detail)
}

// reportViolation records a timeline event of a violated invariant and logs it.
func (d *Daemon) reportViolation(name, detail string) {
	d.events.Record("invariant_violated", timeline.Field{Key: "invariant", Value: name})
	d.log.Error().Str("invariant", name).Str("detail", detail).Msg("invariant_violated")
}

func randomUint64() uint64 {
	var b [8]byte
	_, _ = crand.Read(b[:]) // never fails on supported systems
	return binary.BigEndian.Uint64(b[:])
}
