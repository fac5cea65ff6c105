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

// Host is a backend server. It answers each data packet with two packets, the second of
// which names the host.
type Host struct {
	ID      string
	Service string
	Domain  string

	conn       *net.UDPConn
	health     *http.Server
	address    netip.AddrPort
	clientPort uint16

	mu     sync.Mutex
	flows  map[netip.AddrPort]*hostFlow
	seen   Seen
	onOpen func(via netip.Addr, service netip.AddrPort)
}

type hostFlow struct {
	echo     uint32
	sequence uint32
	expected uint32 // next sequence number of the client
}

// Seen counts what reached a host.
type Seen struct {
	Opened, Data int
	Foreign      int // datagrams meant for another host
	Forged       int // packets that their sender did not write so
	Unknown      int // packets of flows that the host does not hold
}

// StartHost starts a host at an address. Packets to clients go to clientPort.
func StartHost(id, service, domain string, at netip.AddrPort, clientPort uint16) (*Host, error) {
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
	h := &Host{ID: id, Service: service, Domain: domain, conn: conn, address: at, clientPort: clientPort, flows: make(map[netip.AddrPort]*hostFlow)}
	h.health = &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Instance-Id", id) })}
	go h.health.Serve(listener)
	go h.serve()
	return h, nil
}

// Address returns where the host listens.
func (h *Host) Address() netip.AddrPort { return h.address }

// OnOpen sets a function that is called for each opening packet with the instance that
// sent it and the service address that the client used.
func (h *Host) OnOpen(f func(via netip.Addr, service netip.AddrPort)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.onOpen = f
}

// Stop ends the host as a crash does.
func (h *Host) Stop() {
	h.conn.Close()
	h.health.Close()
}

// Seen returns the counters.
func (h *Host) Seen() Seen {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.seen
}

// Entry returns the host's value in the platform's store.
func (h *Host) Entry(state string) []byte {
	b, _ := json.Marshal(map[string]any{"service": h.Service, "address": h.address.String(), "zone": h.Domain, "version": "v1",
		"slots": 2, "state": state, "coldLeftMs": 0, "sequence": 1, "born": 1})
	return b
}

func (h *Host) number() uint64 {
	n, _ := strconv.ParseUint(strings.TrimPrefix(h.ID, "i-"), 16, 64)
	return n
}

func (h *Host) serve() {
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
			h.take(binary.BigEndian.Uint64(b), from.Addr(), p)
		}
		h.mu.Unlock()
	}
}

func (h *Host) take(id uint64, via netip.Addr, p Packet) {
	switch f := h.flows[p.Source]; {
	case id != 0 && id != h.number():
		h.seen.Foreign++
	case !p.Genuine:
		h.seen.Forged++
	case p.Flags&SYN != 0:
		h.seen.Opened++
		if h.onOpen != nil {
			h.onOpen(via.Unmap(), p.Destination)
		}
		h.flows[p.Source] = &hostFlow{echo: p.Echo, sequence: 1000, expected: p.Sequence + 1}
		h.send(p, SYN|ACK, p.Echo, 999, p.Sequence+1, nil)
	case f == nil:
		h.seen.Unknown++
		h.send(p, RST, p.Echo, 0, 0, nil)
	case len(p.Data) > 0:
		f.echo = p.Echo
		h.answer(f, p)
	}
}

func (h *Host) answer(f *hostFlow, p Packet) {
	if p.Sequence == f.expected {
		h.seen.Data++
		f.expected += uint32(len(p.Data))
	}
	first := make([]byte, 1200)
	last := []byte(fmt.Sprintf("%s:%s", h.ID, p.Data))
	h.send(p, ACK, f.echo, f.sequence, f.expected, first)
	h.send(p, ACK, f.echo, f.sequence+uint32(len(first)), f.expected, last)
	f.sequence += uint32(len(first) + len(last))
}

func (h *Host) send(to Packet, flags byte, echo, sequence, ack uint32, data []byte) {
	p := Packet{Source: to.Destination, Destination: to.Source, Flags: flags, Echo: echo, Sequence: sequence, Ack: ack, Data: data}
	h.conn.WriteToUDPAddrPort(p.Marshal(), netip.AddrPortFrom(to.Source.Addr(), h.clientPort))
}
