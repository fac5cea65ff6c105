package flows

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Server is a backend server. It responds to each data packet with two packets: one with
// 1,200 zero bytes, and a shorter one with its ID and the received data.
type Server struct {
	ID      string
	Service string
	Domain  string

	conn       *net.UDPConn
	health     *http.Server
	address    netip.AddrPort
	clientPort uint16

	recordSequence atomic.Uint64 // number of records written
	startedAt      time.Time
	coldFor        atomic.Int64 // nanoseconds after the start for which records say that the server is cold

	mu       sync.Mutex
	flows    map[netip.AddrPort]*serverFlow
	work     time.Duration // between a request and its response
	atWork   int           // requests that have not been answered
	counters Counters
	onOpen   func(via netip.Addr, service netip.AddrPort)
}

type serverFlow struct {
	open         bool // the client has acknowledged the response to its SYN
	closed       bool // the client has sent FIN or RST
	lastPacket   time.Time
	cookie       uint32
	start        uint32 // sequence number of the SYN+ACK
	clientStart  uint32 // sequence number of the client's SYN
	sequence     uint32
	nextSequence uint32 // expected sequence number of the client's next data
}

// Counters counts the packets that a server received.
type Counters struct {
	Opened, Data    int
	Misdelivered    int // packets addressed to another backend server
	InvalidChecksum int // packets with an invalid checksum
	UnknownFlow     int // packets of unknown flows
}

// StartServer starts a backend server at an address. It sends packets for clients to clientPort.
func StartServer(id, service, domain string, at netip.AddrPort, clientPort uint16) (*Server, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, err
	}
	at = conn.LocalAddr().(*net.UDPAddr).AddrPort()
	listener, err := net.Listen("tcp4", at.String())
	if err != nil {
		conn.Close()
		return nil, err
	}
	s := &Server{ID: id, Service: service, Domain: domain, conn: conn, address: at, clientPort: clientPort, startedAt: time.Now(), flows: make(map[netip.AddrPort]*serverFlow)}
	s.health = &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Instance-Id", id) })}
	go s.health.Serve(listener)
	go s.serve()
	return s, nil
}

// Address returns the address at which the server listens.
func (s *Server) Address() netip.AddrPort { return s.address }

// OnOpen sets a function that is called for each SYN packet, with the address of the
// instance that forwarded it and the service address to which the client sent it.
func (s *Server) OnOpen(f func(via netip.Addr, service netip.AddrPort)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onOpen = f
}

// SetWork sets the time between a request and its response. The request is acknowledged at once.
func (s *Server) SetWork(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.work = d
}

// Leave ends the server as a planned shutdown does: it stops listening for connections, goes on
// serving its flows for the given time, answers the requests that are at work then, and returns after
// the sockets are closed.
func (s *Server) Leave(servesFor time.Duration) {
	s.health.Close()
	time.Sleep(servesFor)
	for {
		s.mu.Lock()
		idle := s.atWork == 0
		s.mu.Unlock()
		if idle {
			break
		}
		time.Sleep(time.Millisecond)
	}
	s.conn.Close()
}

// Stop closes the sockets without notifying clients, like a crash.
func (s *Server) Stop() {
	s.conn.Close()
	s.health.Close()
}

// StopAnswering makes the server look ended to probes, while it still counts packets.
func (s *Server) StopAnswering() { s.health.Close() }

// Counters returns the packet counters.
func (s *Server) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counters
}

// SetCold makes the server's records say that it is cold until the given time after its start.
func (s *Server) SetCold(d time.Duration) { s.coldFor.Store(int64(d)) }

// StartedAt returns when the server's process started.
func (s *Server) StartedAt() time.Time { return s.startedAt }

// OpenFlows returns the number of flows that are open and had a packet within idleTimeout.
func (s *Server) OpenFlows(idleTimeout time.Duration) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, f := range s.flows {
		if f.open && !f.closed && time.Since(f.lastPacket) < idleTimeout {
			n++
		}
	}
	return n
}

// Record returns the server's record for the platform's metadata store.
func (s *Server) Record(state string) []byte {
	coldLeft := max(0, time.Duration(s.coldFor.Load())-time.Since(s.startedAt))
	b, _ := json.Marshal(map[string]any{"service": s.Service, "address": s.address.String(), "zone": s.Domain, "version": "v1",
		"slots": 2, "state": state, "coldLeftMs": coldLeft.Milliseconds(), "sequence": s.recordSequence.Add(1), "born": s.startedAt.UnixMilli()})
	return b
}

func (s *Server) numericID() uint64 {
	n, _ := strconv.ParseUint(strings.TrimPrefix(s.ID, "i-"), 16, 64)
	return n
}

func (s *Server) serve() {
	b := make([]byte, 2048)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		// The ID of the addressed server, 0 for any server, precedes the packet.
		if n < 8 {
			continue
		}
		p, ok := Unmarshal(b[8:n])
		s.mu.Lock()
		if ok {
			s.handlePacket(binary.BigEndian.Uint64(b), from.Addr(), p)
		}
		s.mu.Unlock()
	}
}

func (s *Server) handlePacket(id uint64, via netip.Addr, p Packet) {
	f := s.flows[p.Source]
	if f != nil && p.ChecksumValid && (id == 0 || id == s.numericID()) {
		f.open = f.open || p.Flags&SYN == 0
		f.closed = f.closed || p.Flags&(FIN|RST) != 0
		f.lastPacket = time.Now()
	}
	switch {
	case id != 0 && id != s.numericID():
		s.counters.Misdelivered++
	case !p.ChecksumValid:
		s.counters.InvalidChecksum++
	case p.Flags&SYN != 0:
		s.counters.Opened++
		if s.onOpen != nil {
			s.onOpen(via.Unmap(), p.Destination)
		}
		if f == nil || f.closed || f.clientStart != p.Sequence {
			start := rand.Uint32()
			f = &serverFlow{start: start, clientStart: p.Sequence, sequence: start + 1, nextSequence: p.Sequence + 1}
			s.flows[p.Source] = f
		}
		f.cookie = p.Cookie
		s.send(p, SYN|ACK, p.Cookie, f.start, p.Sequence+1, nil)
	case f == nil || len(p.Data) > 0 && !f.holds(&p):
		s.counters.UnknownFlow++
		s.send(p, RST, p.Cookie, 0, 0, nil)
	case len(p.Data) > 0:
		f.cookie = p.Cookie
		s.handleData(f, p)
	}
}

// holds reports whether a packet with data belongs to the flow and not to a later one between the same
// endpoints. On a flow that has ended, data is answered with a reset.
func (f *serverFlow) holds(p *Packet) bool {
	return !f.closed && p.Sequence-f.clientStart <= f.nextSequence-f.clientStart
}

func (s *Server) handleData(f *serverFlow, p Packet) {
	if s.work == 0 {
		s.respond(f, p)
		return
	}
	isNew := p.Sequence == f.nextSequence
	if isNew {
		s.counters.Data++
		f.nextSequence += uint32(len(p.Data))
	}
	s.send(p, ACK, f.cookie, f.sequence, f.nextSequence, nil)
	if !isNew {
		return
	}
	s.atWork++
	p.Data = append([]byte(nil), p.Data...) // the buffer is used again
	time.AfterFunc(s.work, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.respond(f, p)
		s.atWork--
	})
}

func (s *Server) respond(f *serverFlow, p Packet) {
	if p.Sequence == f.nextSequence {
		s.counters.Data++
		f.nextSequence += uint32(len(p.Data))
	}
	first := make([]byte, 1200)
	last := []byte(fmt.Sprintf("%s:%s", s.ID, p.Data))
	s.send(p, ACK, f.cookie, f.sequence, f.nextSequence, first)
	s.send(p, ACK, f.cookie, f.sequence+uint32(len(first)), f.nextSequence, last)
	f.sequence += uint32(len(first) + len(last))
}

func (s *Server) send(to Packet, flags byte, cookie, sequence, ack uint32, data []byte) {
	p := Packet{Source: to.Destination, Destination: to.Source, Flags: flags, Cookie: cookie, Sequence: sequence, Ack: ack, Data: data}
	s.conn.WriteToUDPAddrPort(p.Marshal(), netip.AddrPortFrom(to.Source.Addr(), s.clientPort))
}
