// Package fabric is a stand-in for the network fabric of the platform. It binds the
// service addresses, sends each datagram to a randomly chosen registered instance with a
// PROXY protocol v2 header, and sends the responses of instances to callers from the
// socket of the service.
package fabric

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxDatagramBytes exceeds the largest datagram in use, including the PROXY header.
	maxDatagramBytes = 4096
	// socketBufferBytes absorbs bursts while a reader goroutine is descheduled. The kernel may
	// cap it.
	socketBufferBytes = 4 << 20
	// readersPerService is the number of goroutines that read one service socket.
	readersPerService = 2
)

// Config holds the settings of a Fabric.
type Config struct {
	// Listen is the UDP address that receives the responses of instances.
	Listen netip.AddrPort
	// Seed makes the choice of instances and the impairments repeatable for a given order
	// of datagrams.
	Seed uint64
}

// Instance is an entry instance that may receive datagrams.
type Instance struct {
	ID      string         `json:"id"`
	Domain  string         `json:"domain"`
	Address netip.AddrPort `json:"address"`
}

// Impairment configures network faults between callers and instances, applied in both
// directions. Rates are probabilities per datagram.
type Impairment struct {
	Loss      float64 `json:"loss"`
	Duplicate float64 `json:"duplicate"`
	// Reorder is the share of datagrams that are delayed by ReorderMS.
	Reorder   float64 `json:"reorder"`
	ReorderMS float64 `json:"reorder_ms"`
	// DelayMS is added to every datagram, plus a uniformly distributed share of
	// JitterMS.
	DelayMS  float64 `json:"delay_ms"`
	JitterMS float64 `json:"jitter_ms"`
}

// Cut is a network partition between the fabric and a failure domain.
type Cut struct {
	Domain string `json:"domain"`
	// Withdrawn means that the fabric has withdrawn its routes to the domain and chooses
	// instances in other domains; otherwise datagrams to the domain are lost.
	Withdrawn bool `json:"withdrawn"`
}

// Counters holds datagram counts since the start.
type Counters struct {
	Received        uint64 `json:"received"`
	Forwarded       uint64 `json:"forwarded"`
	Answers         uint64 `json:"answers"`
	Returned        uint64 `json:"returned"`
	Lost            uint64 `json:"lost"`
	Duplicated      uint64 `json:"duplicated"`
	Delayed         uint64 `json:"delayed"`
	CutDropped      uint64 `json:"cut_dropped"`
	NoInstance      uint64 `json:"no_instance"`
	Malformed       uint64 `json:"malformed"`
	UnknownService  uint64 `json:"unknown_service"`
	UnknownInstance uint64 `json:"unknown_instance"`
	SendErrors      uint64 `json:"send_errors"`
}

// State is the configuration of a running fabric.
type State struct {
	Listen     netip.AddrPort   `json:"listen"`
	Services   []netip.AddrPort `json:"services"`
	Instances  []Instance       `json:"instances"`
	Cuts       []Cut            `json:"cuts"`
	Impairment Impairment       `json:"impairment"`
}

// target is a registered instance, reduced to what the data path needs.
type target struct {
	address netip.AddrPort
	cut     bool
}

// snapshot is the immutable state that the data path reads without locking.
type snapshot struct {
	targets       []target
	cutByInstance map[netip.AddrPort]bool // by instance address: whether its domain is cut
	services      map[netip.AddrPort]*net.UDPConn
	impairment    Impairment
	impaired      bool
}

type counters struct {
	received, forwarded, answers, returned, lost, duplicated, delayed, cutDropped,
	noInstance, malformed, unknownService, unknownInstance, sendErrors atomic.Uint64
}

// Fabric forwards datagrams until Close. It is safe for concurrent use.
type Fabric struct {
	seed        uint64
	conn        *net.UDPConn
	listen      netip.AddrPort
	current     atomic.Pointer[snapshot]
	count       counters
	readers     sync.WaitGroup
	randStreams atomic.Uint64 // number of random sources created so far

	mu         sync.Mutex // protects the fields below
	instances  []Instance
	cuts       []Cut
	services   map[netip.AddrPort]*net.UDPConn
	impairment Impairment
	closed     bool
}

// New binds the address for responses and starts forwarding.
func New(cfg Config) (*Fabric, error) {
	conn, address, err := listenUDP(cfg.Listen)
	if err != nil {
		return nil, err
	}
	f := &Fabric{seed: cfg.Seed, conn: conn, listen: address, services: map[netip.AddrPort]*net.UDPConn{}}
	f.publish()
	for range max(2, runtime.GOMAXPROCS(0)/4) {
		f.readers.Add(1)
		go f.readResponses()
	}
	return f, nil
}

func listenUDP(address netip.AddrPort) (*net.UDPConn, netip.AddrPort, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, netip.AddrPort{}, fmt.Errorf("listen on %v: %w", address, err)
	}
	// The kernel may grant a smaller buffer; that is acceptable.
	_ = conn.SetReadBuffer(socketBufferBytes)
	_ = conn.SetWriteBuffer(socketBufferBytes)
	return conn, unmap(conn.LocalAddr().(*net.UDPAddr).AddrPort()), nil
}

// ListenAddress returns the address that receives the responses of instances.
func (f *Fabric) ListenAddress() netip.AddrPort { return f.listen }

// Close stops forwarding and closes all sockets.
func (f *Fabric) Close() error {
	f.mu.Lock()
	f.closed = true
	errs := []error{f.conn.Close()}
	for _, c := range f.services {
		errs = append(errs, c.Close())
	}
	f.mu.Unlock()
	f.readers.Wait()
	return errors.Join(errs...)
}

// AddService binds a service address and returns the bound address. Port 0 selects a free
// port.
func (f *Fabric) AddService(address netip.AddrPort) (netip.AddrPort, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return netip.AddrPort{}, net.ErrClosed
	}
	if _, ok := f.services[address]; ok {
		return address, nil
	}
	conn, bound, err := listenUDP(address)
	if err != nil {
		return netip.AddrPort{}, err
	}
	f.services[bound] = conn
	f.publish()
	for range readersPerService {
		f.readers.Add(1)
		go f.readService(bound, conn)
	}
	return bound, nil
}

// SetInstance registers an instance or replaces the one with the same ID.
func (f *Fabric) SetInstance(in Instance) error {
	if in.ID == "" || !in.Address.IsValid() {
		return fmt.Errorf("instance %q has no ID or no valid address", in.ID)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.instances = slices.DeleteFunc(f.instances, func(i Instance) bool { return i.ID == in.ID })
	f.instances = append(f.instances, in)
	f.publish()
	return nil
}

// RemoveInstance stops forwarding to an instance and reports whether it was registered.
// Responses that it sends afterwards are still delivered.
func (f *Fabric) RemoveInstance(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := len(f.instances)
	f.instances = slices.DeleteFunc(f.instances, func(i Instance) bool { return i.ID == id })
	f.publish()
	return len(f.instances) < before
}

// SetCuts replaces the set of cuts.
func (f *Fabric) SetCuts(cuts []Cut) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cuts = slices.Clone(cuts)
	f.publish()
}

// SetImpairment replaces the network impairment.
func (f *Fabric) SetImpairment(im Impairment) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.impairment = im
	f.publish()
}

// State returns the current configuration.
func (f *Fabric) State() State {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := State{Listen: f.listen, Instances: slices.Clone(f.instances), Cuts: slices.Clone(f.cuts), Impairment: f.impairment}
	for a := range f.services {
		s.Services = append(s.Services, a)
	}
	slices.SortFunc(s.Services, netip.AddrPort.Compare)
	return s
}

// Counters returns the datagram counts since the start.
func (f *Fabric) Counters() Counters {
	c := &f.count
	return Counters{
		Received: c.received.Load(), Forwarded: c.forwarded.Load(), Answers: c.answers.Load(),
		Returned: c.returned.Load(), Lost: c.lost.Load(), Duplicated: c.duplicated.Load(),
		Delayed: c.delayed.Load(), CutDropped: c.cutDropped.Load(), NoInstance: c.noInstance.Load(),
		Malformed: c.malformed.Load(), UnknownService: c.unknownService.Load(),
		UnknownInstance: c.unknownInstance.Load(), SendErrors: c.sendErrors.Load(),
	}
}

// publish builds and installs a snapshot for the data path. mu must be held, except in New.
func (f *Fabric) publish() {
	s := &snapshot{
		cutByInstance: make(map[netip.AddrPort]bool, len(f.instances)),
		services:      make(map[netip.AddrPort]*net.UDPConn, len(f.services)),
		impairment:    f.impairment,
		impaired:      f.impairment != Impairment{},
	}
	for a, c := range f.services {
		s.services[a] = c
	}
	for _, in := range f.instances {
		i := slices.IndexFunc(f.cuts, func(c Cut) bool { return c.Domain == in.Domain })
		cut := i >= 0
		s.cutByInstance[in.Address] = cut
		if cut && f.cuts[i].Withdrawn {
			continue
		}
		s.targets = append(s.targets, target{address: in.Address, cut: cut})
	}
	f.current.Store(s)
}

func (f *Fabric) newRand() *rand.Rand { return rand.New(rand.NewPCG(f.seed, f.randStreams.Add(1))) }

// readService forwards datagrams from callers of one service to instances.
func (f *Fabric) readService(service netip.AddrPort, conn *net.UDPConn) {
	defer f.readers.Done()
	rng := f.newRand()
	buf := make([]byte, maxDatagramBytes)
	out := make([]byte, 0, maxDatagramBytes)
	for {
		n, caller, err := conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		f.count.received.Add(1)
		s := f.current.Load()
		if len(s.targets) == 0 {
			f.count.noInstance.Add(1)
			continue
		}
		t := s.targets[rng.IntN(len(s.targets))]
		if t.cut {
			f.count.cutDropped.Add(1)
			continue
		}
		header, err := EncodeHeader(unmap(caller), service)
		if err != nil {
			f.count.malformed.Add(1)
			continue
		}
		out = append(append(out[:0], header...), buf[:n]...)
		f.send(s, rng, f.conn, out, t.address, &f.count.forwarded)
	}
}

// readResponses sends the responses of instances to callers from the service's socket.
func (f *Fabric) readResponses() {
	defer f.readers.Done()
	rng := f.newRand()
	buf := make([]byte, maxDatagramBytes)
	parser := newHeaderParser()
	for {
		n, from, err := f.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		f.count.answers.Add(1)
		s := f.current.Load()
		cut, known := s.cutByInstance[unmap(from)]
		if !known {
			f.count.unknownInstance.Add(1)
		}
		if cut {
			f.count.cutDropped.Add(1)
			continue
		}
		service, caller, payload, err := parser.parse(buf[:n])
		if err != nil {
			f.count.malformed.Add(1)
			continue
		}
		conn, ok := s.services[service]
		if !ok {
			f.count.unknownService.Add(1)
			continue
		}
		f.send(s, rng, conn, payload, caller, &f.count.returned)
	}
}

// send applies the impairment and writes the datagram. It copies datagrams that it delays,
// because the reader reuses b.
func (f *Fabric) send(s *snapshot, rng *rand.Rand, conn *net.UDPConn, b []byte, to netip.AddrPort, sent *atomic.Uint64) {
	if !s.impaired {
		f.write(conn, b, to, sent)
		return
	}
	im := s.impairment
	if rng.Float64() < im.Loss {
		f.count.lost.Add(1)
		return
	}
	copies := 1
	if rng.Float64() < im.Duplicate {
		f.count.duplicated.Add(1)
		copies = 2
	}
	for range copies {
		ms := im.DelayMS + rng.Float64()*im.JitterMS
		if rng.Float64() < im.Reorder {
			ms += im.ReorderMS
		}
		if ms <= 0 {
			f.write(conn, b, to, sent)
			continue
		}
		f.count.delayed.Add(1)
		delayed := slices.Clone(b)
		time.AfterFunc(time.Duration(ms*float64(time.Millisecond)), func() { f.write(conn, delayed, to, sent) })
	}
}

func (f *Fabric) write(conn *net.UDPConn, b []byte, to netip.AddrPort, sent *atomic.Uint64) {
	if _, err := conn.WriteToUDPAddrPort(b, to); err != nil {
		f.count.sendErrors.Add(1)
		return
	}
	sent.Add(1)
}
