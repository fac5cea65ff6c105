package forwarder

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/monsoonthread/monsoonthread/directory"
	"github.com/monsoonthread/monsoonthread/forwarding"
	"github.com/monsoonthread/monsoonthread/mesh"
	"github.com/monsoonthread/monsoonthread/platform/kv"
	"github.com/monsoonthread/monsoonthread/platform/wire"
	"github.com/monsoonthread/monsoonthread/result"
)

const (
	// tickInterval is the resolution of the engine's timers. It is just below the shortest timer.
	tickInterval = 10 * time.Millisecond
	// storeCallTimeout is the timeout of a store call, on top of the wait time of a watch.
	// The store responds in 4 ms, or in 240 ms when it is slow.
	storeCallTimeout = 800 * time.Millisecond
	// maxConcurrentProbes limits concurrent probe connections so that they stay below the
	// file descriptor limit of a small machine.
	maxConcurrentProbes = 256
)

// Forwarder is one entry instance. mu guards engine, table, mesh, askers and evacuations. It is the only lock and
// is never held during I/O.
type Forwarder struct {
	settings        atomic.Pointer[Settings]
	reload          func() (Settings, error)
	log             zerolog.Logger
	clock           clock
	packets         *net.UDPConn
	rawPackets      syscall.RawConn // of packets
	backlog         backlog
	clientPort      uint16
	store           *kv.Client
	lifecycle       *lifecycle
	events          *eventLog
	counters        *counters
	lastPacketAt    atomic.Int64 // time of the last packet, in nanoseconds since start
	initialSyncDone atomic.Bool  // set once the initial records are current
	pulling         atomic.Bool  // a pull of missing records is in progress

	self            mesh.Peer
	incarnation     uint64
	timing          timing
	probeSlots      chan struct{}
	fullPullSlots   chan struct{} // semaphore for pull responses that contain all records
	storeRetryDelay time.Duration // backoff after the last failed call; accessed only by syncWithStore
	peers           *peers

	mu          sync.Mutex
	engine      *forwarding.Engine
	table       *directory.Table
	mesh        *mesh.Mesh
	askers      askers
	evacuations evacuations
}

// New opens the sockets and returns a forwarder that is ready to run. reload reads the
// settings again.
func New(s Settings, reload func() (Settings, error), log zerolog.Logger) (*Forwarder, error) {
	address, err := netip.ParseAddrPort(s.DatagramAddress)
	if err != nil {
		return nil, result.Errorf(result.SettingsInvalid, "--datagram-address: %w", err)
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, result.Errorf(result.SettingsInvalid, "--datagram-address: %w", err)
	}
	rawConn, err := conn.SyscallConn()
	if err != nil {
		conn.Close()
		return nil, err
	}
	peerSockets, err := listenPeers(s.PeerAddress)
	if err != nil {
		conn.Close()
		return nil, err
	}
	self := mesh.Peer{ID: s.InstanceID, Domain: s.FailureDomain, Address: s.effectivePeerAddress()}
	f := &Forwarder{
		self:          self,
		incarnation:   rand.Uint64(),
		peers:         peerSockets,
		timing:        newTiming(&s),
		probeSlots:    make(chan struct{}, maxConcurrentProbes),
		fullPullSlots: make(chan struct{}, maxConcurrentFullPulls),
		mesh:          mesh.New(mesh.Config{Self: self, MaxRecordAge: newTiming(&s).maxRecordAge}),
		reload:        reload,
		log:           log,
		clock:         clock{start: time.Now()},
		packets:       conn,
		rawPackets:    rawConn,
		clientPort:    address.Port(),
		store:         kv.New(s.StoreAddress, storeCallTimeout),
		events:        newEventLog(log),
		table:         directory.NewTable(2 * s.MaxFlowLifetime),
		askers:        make(askers),
		evacuations:   newEvacuations(s.EvacuationBound),
	}
	f.table.OrderValuesBy(wire.WriterOrder)
	f.engine = forwarding.New(forwarding.Config{
		Domain:            s.FailureDomain,
		CookieLifetime:    2 * s.MaxFlowLifetime,
		MaxFlows:          s.MaxFlows(),
		NewFlowsPerPrefix: s.NewFlowsPerPrefix,
		Settles:           func(cookie uint32) bool { return f.mesh.Settles(f.now(), cookie) },
		RecordsCurrent:    func() bool { return f.mesh.Fresh(f.now()) },
		ColdStart:         forwarding.ColdStart{Overage: s.ColdOverage, Slack: s.ColdSlack},
		OwnsColdStart:     func(cookie uint32) bool { return f.mesh.OwnsColdStart(f.now(), cookie) },
		Seed:              rand.Uint64(),
	})
	f.settings.Store(&s)
	f.lifecycle = newLifecycle(log)
	f.counters = newCounters(f)
	return f, nil
}

// now returns the time since the start, suspended time included. All decisions use it.
func (f *Forwarder) now() time.Duration { return f.clock.now() }

func (f *Forwarder) lastPacket() time.Duration { return time.Duration(f.lastPacketAt.Load()) }

// Run serves until ctx is cancelled. It then keeps forwarding until the routers send the
// flows to other instances or the grace period is nearly over.
func (f *Forwarder) Run(ctx context.Context) error {
	defer f.packets.Close()
	defer f.peers.close()
	work, stop := context.WithCancel(context.Background())
	defer stop()
	go f.reloadOnSignal(work)
	server, err := f.serveHTTP()
	if err != nil {
		return err
	}
	defer server.Close()
	go f.servePeers()
	go f.syncWithStore(work)
	go f.runStatusLoop(work)
	go f.register(work)
	go f.watchStalls(work)
	go f.pollSettings(work)
	go f.tick(work)
	served := make(chan error, 1)
	go func() { served <- f.servePackets() }()
	f.log.Info().Str("version", Version).Msg("started")
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	f.leave()
	return nil
}

// Version is set at build time.
var Version = "devel"

func (f *Forwarder) tick(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	wasReady, joinedAt := false, time.Duration(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		f.backlog.noteRunning(bootTime())
		ready := f.lifecycle.isReady.Load()
		f.mu.Lock()
		if at := f.mesh.JoinedAt(); at != joinedAt || ready != wasReady {
			f.engine.RoutingChanged(f.now())
			wasReady, joinedAt = ready, at
		}
		actions := f.engine.Tick(f.now())
		f.mu.Unlock()
		f.perform(actions)
	}
}

func isClosed(err error) bool { return errors.Is(err, net.ErrClosed) }
