package flows

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Server is a backend server. It responds to each data packet with two packets; the second
// contains its ID.
type Server struct {
	ID      string
	Service string
	Domain  string

	conn       *net.UDPConn
	health     *http.Server
	address    netip.AddrPort
	clientPort uint16

	mu       sync.Mutex
	flows    map[netip.AddrPort]*serverFlow
	counters Counters
	onOpen   func(via netip.Addr, service netip.AddrPort)
}

type serverFlow struct {
	cookie       uint32
	sequence     uint32
	nextSequence uint32 // expected sequence number of the client's next data
}

// Counters counts the packets that a host received.
type Counters struct {
	Opened, Data    int
	Misdelivered    int // packets addressed to another host
	InvalidChecksum int // packets with an invalid checksum
	UnknownFlow     int // packets of unknown flows
}

// StartServer starts a host at an address. It sends packets for clients to clientPort.
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
	h := &Server{ID: id, Service: service, Domain: domain, conn: conn, address: at, clientPort: clientPort, flows: make(map[netip.AddrPort]*serverFlow)}
	h.health = &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Instance-Id", id) })}
	go h.health.Serve(listener)
	go h.serve()
	return h, nil
}

// Address returns the address at which the host listens.
func (h *Server) Address() netip.AddrPort { return h.address }

// OnOpen sets a function that is called for each SYN packet, with the address of the
// instance that forwarded it and the service address to which the client sent it.
func (h *Server) OnOpen(f func(via netip.Addr, service netip.AddrPort)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.onOpen = f
}

// Stop closes the sockets without notifying clients, like a crash.
func (h *Server) Stop() {
	h.conn.Close()
	h.health.Close()
}

// Counters returns the packet counters.
func (h *Server) Counters() Counters {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.counters
}

// Record returns the host's record for the platform's metadata store.
func (h *Server) Record(state string) []byte {
	b, _ := json.Marshal(map[string]any{"service": h.Service, "address": h.address.String(), "zone": h.Domain, "version": "v1",
		"slots": 2, "state": state, "coldLeftMs": 0, "sequence": 1, "born": 1})
	return b
}

func (h *Server) numericID() uint64 {
	n, _ := strconv.ParseUint(strings.TrimPrefix(h.ID, "i-"), 16, 64)
	return n
}

func (h *Server) serve() {
	b := make([]byte, 2048)
	for {
		n, from, err := h.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		if n < 8 {
			continue
		}
		p, ok := Unmarshal(b[8:n])
		h.mu.Lock()
		if ok {
			h.handlePacket(binary.BigEndian.Uint64(b), from.Addr(), p)
		}
		h.mu.Unlock()
	}
}

func (h *Server) handlePacket(id uint64, via netip.Addr, p Packet) {
	switch f := h.flows[p.Source]; {
	case id != 0 && id != h.numericID():
		h.counters.Misdelivered++
	case !p.ChecksumValid:
		h.counters.InvalidChecksum++
	case p.Flags&SYN != 0:
		h.counters.Opened++
		if h.onOpen != nil {
			h.onOpen(via.Unmap(), p.Destination)
		}
		h.flows[p.Source] = &serverFlow{cookie: p.Cookie, sequence: 1000, nextSequence: p.Sequence + 1}
		h.send(p, SYN|ACK, p.Cookie, 999, p.Sequence+1, nil)
	case f == nil:
		h.counters.UnknownFlow++
		h.send(p, RST, p.Cookie, 0, 0, nil)
	case len(p.Data) > 0:
		f.cookie = p.Cookie
		h.respond(f, p)
	}
}

func (h *Server) respond(f *serverFlow, p Packet) {
	if p.Sequence == f.nextSequence {
		h.counters.Data++
		f.nextSequence += uint32(len(p.Data))
	}
	first := make([]byte, 1200)
	last := []byte(fmt.Sprintf("%s:%s", h.ID, p.Data))
	h.send(p, ACK, f.cookie, f.sequence, f.nextSequence, first)
	h.send(p, ACK, f.cookie, f.sequence+uint32(len(first)), f.nextSequence, last)
	f.sequence += uint32(len(first) + len(last))
}

func (h *Server) send(to Packet, flags byte, cookie, sequence, ack uint32, data []byte) {
	p := Packet{Source: to.Destination, Destination: to.Source, Flags: flags, Cookie: cookie, Sequence: sequence, Ack: ack, Data: data}
	h.conn.WriteToUDPAddrPort(p.Marshal(), netip.AddrPortFrom(to.Source.Addr(), h.clientPort))
}
