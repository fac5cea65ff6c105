package forwarder

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/monsoonthread/monsoonthread/directory"
	"github.com/monsoonthread/monsoonthread/forwarding"
	"github.com/monsoonthread/monsoonthread/mesh"
	"github.com/monsoonthread/monsoonthread/platform/kv"
	"github.com/monsoonthread/monsoonthread/result"
)

const (
	// tickInterval is the resolution of the engine's timers, just below the shortest one.
	tickInterval = 10 * time.Millisecond
	// storeTimeout bounds a call beyond the time that a watch waits. The store answers
	// in 4 ms, and in 240 ms when it is slow.
	storeTimeout = 800 * time.Millisecond
	// maxProbes bounds the connections of probes at a time, below the descriptors that a
	// small machine gives.
	maxProbes = 256
)

// Forwarder is one entry instance. mu guards engine, table and mesh; it is the only lock and
// is never held during I/O.
type Forwarder struct {
	settings   atomic.Pointer[Settings]
	reload     func() (Settings, error)
	log        zerolog.Logger
	clock      clock
	packets    *net.UDPConn
	clientPort uint16
	store      *kv.Client
	lifecycle  *lifecycle
	events     *eventLog
	counters   *counters
	packetAt   atomic.Int64 // time of the last packet, in nanoseconds since start
	caughtUp   atomic.Bool  // the first records are current

	self        mesh.Peer
	incarnation uint64
	timing      timing
	probeSlots  chan struct{}
	fullAnswers chan struct{} // a slot for each answer with all records
	storePause  time.Duration // after the last failed call; used by followStore alone
	peers       *peers

	mu     sync.Mutex
	engine *forwarding.Engine
	table  *directory.Table
	mesh   *mesh.Mesh
}

// New opens the sockets. reload reads the settings again.
func New(s Settings, reload func() (Settings, error), log zerolog.Logger) (*Forwarder, error) {
	address, err := netip.ParseAddrPort(s.DatagramAddress)
	if err != nil {
		return nil, result.Errorf(result.SettingsInvalid, "--datagram-address: %w", err)
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, result.Errorf(result.SettingsInvalid, "--datagram-address: %w", err)
	}
	peerSockets, err := listenPeers(s.PeerAddress)
	if err != nil {
		conn.Close()
		return nil, err
	}
	self := mesh.Peer{ID: s.InstanceID, Domain: s.FailureDomain, Address: s.reachableAt()}
	f := &Forwarder{
		self:        self,
		incarnation: rand.Uint64(),
		peers:       peerSockets,
		timing:      newTiming(&s),
		probeSlots:  make(chan struct{}, maxProbes),
		fullAnswers: make(chan struct{}, maxFullAnswers),
		mesh:        mesh.New(mesh.Config{Self: self, FreshTime: newTiming(&s).freshTime}),
		reload:      reload,
		log:         log,
		clock:       clock{start: time.Now()},
		packets:     conn,
		clientPort:  address.Port(),
		store:       kv.New(s.StoreAddress, storeTimeout),
		events:      newEventLog(log),
		engine: forwarding.New(forwarding.Config{
			Domain:            s.FailureDomain,
			CookieLifetime:    2 * s.MaxFlowLifetime,
			MaxFlows:          s.MaxFlows(),
			NewFlowsPerPrefix: s.NewFlowsPerPrefix,
			Seed:              rand.Uint64(),
		}),
		table: directory.NewTable(2 * s.MaxFlowLifetime),
	}
	f.settings.Store(&s)
	f.lifecycle = newLifecycle(log)
	f.counters = newCounters(f)
	return f, nil
}

// now returns the time that the decisions use.
func (f *Forwarder) now() time.Duration { return f.clock.now() }

func (f *Forwarder) lastPacket() time.Duration { return time.Duration(f.packetAt.Load()) }

// Run serves until ctx ends and the flows have moved to other instances.
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
	go f.followStore(work)
	go f.speak(work)
	go f.register(work)
	go f.watchClock(work)
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
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		f.mu.Lock()
		actions := f.engine.Tick(f.now())
		f.mu.Unlock()
		f.perform(actions)
	}
}

func isClosed(err error) bool { return errors.Is(err, net.ErrClosed) }
