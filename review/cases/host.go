package main

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
	"time"

	"github.com/monsoonthread/monsoonthread/internal/standin/flows"
)

const (
	slots = 2
	// longWork is the work of a request with longWorkHeader: the site file's longest order-line, 180 ms, at
	// a host of speed 1.7.
	longWork       = 306 * time.Millisecond
	longWorkHeader = "Work: long"
	// flagFIN and the other flags are those of the platform's packets.
	flagSYN = flows.SYN
	flagACK = flows.ACK
	flagFIN = flows.FIN
	flagRST = flows.RST
)

// host is a backend server: one incarnation of a process at an address. It answers each request on a
// flow after its work time, with the ID of the incarnation as Server-Stamp.
type host struct {
	id, service, zone string
	address           netip.AddrPort
	born              int64
	startedAt         time.Time
	work              time.Duration
	clientPort        uint16
	rec               *record
	conn              *net.UDPConn
	health            *http.Server
	slots             chan struct{}
	ran               func(h *host, request string)

	mu       sync.Mutex
	flows    map[flowEnds]*hostFlow
	sequence int
	state    string
	endedAt  time.Time // zero while the process runs
	drainAt  time.Time // when the store acknowledged that the host is draining
	opened   []time.Time
	resets   map[netip.AddrPort]bool // clients' ends of the flows that it has reset
	atWork   int                     // requests that are taken and not answered
}

type flowEnds struct{ client, service netip.AddrPort }

// hostFlow is a flow at a host. Sequence numbers count bytes; the SYN takes one.
type hostFlow struct {
	open     bool
	initial  uint32 // the client's first sequence number
	next     uint32 // expected from the client
	sequence uint32 // of the next byte to the client
	echo     uint32 // last echo received
	answer   *flows.Packet
	closed   bool
}

func startHost(d *deployment, id, service, zone string, at netip.AddrPort, work time.Duration) (*host, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp4", at.String())
	if err != nil {
		conn.Close()
		return nil, err
	}
	now := time.Now()
	h := &host{id: id, service: service, zone: zone, address: at, born: now.UnixMilli(), startedAt: now, work: work, clientPort: d.ports.datagram,
		rec: d.rec, conn: conn, slots: make(chan struct{}, slots), ran: d.ran, flows: make(map[flowEnds]*hostFlow), state: "ready", resets: make(map[netip.AddrPort]bool)}
	h.health = &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(h.serveHealth)}
	go h.health.Serve(listener)
	go h.serve()
	h.rec.add("host %s of service %s starts at %s", h.id, h.service, h.address)
	return h, nil
}

func (h *host) serveHealth(w http.ResponseWriter, _ *http.Request) {
	h.slots <- struct{}{}
	time.Sleep(time.Millisecond)
	<-h.slots
	w.Header().Set("Instance-Id", h.id)
	h.mu.Lock()
	leaving := h.state != "ready"
	h.mu.Unlock()
	if leaving {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// leave ends a draining host as a server ends that is asked to: it stops listening for connections, serves
// its open flows until no request is at work, and exits.
func (h *host) leave() {
	h.health.Close()
	h.mu.Lock()
	n := h.atWork
	h.mu.Unlock()
	h.rec.add("host %s stops listening for connections; %d requests are at work", h.id, n)
	for {
		time.Sleep(time.Millisecond)
		h.mu.Lock()
		idle := h.atWork == 0
		if idle {
			h.endedAt = time.Now()
		}
		h.mu.Unlock()
		if idle {
			break
		}
	}
	h.conn.Close()
	h.rec.add("host %s exits", h.id)
}

// stop ends the process: its sockets are closed and its flows are gone.
func (h *host) stop(why string) {
	h.mu.Lock()
	h.endedAt = time.Now()
	h.mu.Unlock()
	h.conn.Close()
	h.health.Close()
	h.rec.add("host %s ends (%s)", h.id, why)
}

// openedAfter returns the number of opening packets that arrived later than the bound after the store
// acknowledged that the host is draining.
func (h *host) openedAfter(bound time.Duration) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, at := range h.opened {
		if at.Sub(h.drainAt) > bound {
			n++
		}
	}
	return n
}

// hasReset reports whether the host has reset the flow with the client's end.
func (h *host) hasReset(end netip.AddrPort) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.resets[end]
}

// runsSince returns how long the process has run without an end; false if it has ended.
func (h *host) runsSince() (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Since(h.startedAt), h.endedAt.IsZero()
}

// entry returns the value that the host writes into the store.
func (h *host) entry() []byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sequence++
	b, _ := json.Marshal(map[string]any{"service": h.service, "address": h.address.String(), "zone": h.zone, "version": "v1", "slots": slots,
		"state": h.state, "coldLeftMs": 0, "sequence": h.sequence, "born": h.born})
	return b
}

func (h *host) numericID() uint64 {
	n, _ := strconv.ParseUint(strings.TrimPrefix(h.id, "i-"), 16, 64)
	return n
}

func (h *host) serve() {
	b := make([]byte, 2048)
	for {
		n, _, err := h.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		if n < 8 {
			continue
		}
		if id := binary.BigEndian.Uint64(b); id != 0 && id != h.numericID() {
			continue // a host that is not the intended one sends nothing
		}
		p, ok := flows.Unmarshal(b[8:n])
		if !ok || !p.ChecksumValid {
			continue
		}
		p.Data = append([]byte(nil), p.Data...)
		h.mu.Lock()
		h.handle(p)
		h.mu.Unlock()
	}
}

// handle handles a packet. The caller must hold mu.
func (h *host) handle(p flows.Packet) {
	key := flowEnds{p.Source, p.Destination}
	f := h.flows[key]
	if p.Flags&flagSYN != 0 && p.Flags&flagACK == 0 {
		if f == nil || f.initial != p.Sequence {
			f = &hostFlow{initial: p.Sequence, next: p.Sequence + 1, sequence: rand.Uint32()}
			h.flows[key] = f
		}
		f.echo = p.Cookie
		h.opened = append(h.opened, time.Now())
		if !h.drainAt.IsZero() {
			h.rec.add("draining host %s takes the opening packet of %s, %.1f s after the acknowledgement", h.id, p.Source, time.Since(h.drainAt).Seconds())
		}
		if !f.open {
			h.send(key, f, flagSYN|flagACK, f.sequence, nil)
		}
		return
	}
	if p.Flags&flagRST != 0 {
		delete(h.flows, key)
		return
	}
	if f == nil || !f.open && p.Ack != f.sequence+1 {
		if p.Flags&flagFIN == 0 {
			h.rec.add("host %s resets %s, which it does not hold", h.id, p.Source)
			h.resets[p.Source] = true
			h.send(key, &hostFlow{echo: p.Cookie, next: p.Sequence}, flagRST, p.Ack, nil)
		}
		return
	}
	f.echo = p.Cookie
	if !f.open {
		f.open, f.sequence = true, f.sequence+1
		h.rec.add("host %s has the end of the handshake of %s", h.id, p.Source)
	}
	switch {
	case len(p.Data) > 0 && p.Sequence == f.next:
		f.next += uint32(len(p.Data))
		f.answer = nil
		h.send(key, f, flagACK, f.sequence, nil)
		h.atWork++
		go h.run(key, f, string(p.Data))
	case len(p.Data) > 0 && f.answer != nil: // the client repeats a request that is answered
		h.transmit(key, f.answer)
	case len(p.Data) > 0:
		h.send(key, f, flagACK, f.sequence, nil)
	}
	if p.Flags&flagFIN != 0 && !f.closed {
		f.closed = true
		h.send(key, f, flagACK|flagFIN, f.sequence, nil)
	}
}

// run works on a request in a slot and answers it.
func (h *host) run(key flowEnds, f *hostFlow, request string) {
	defer func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.atWork--
	}()
	h.slots <- struct{}{}
	if _, alive := h.runsSince(); !alive {
		<-h.slots
		return
	}
	name := requestID(request)
	h.rec.add("host %s runs request %s of %s", h.id, name, key.client)
	h.ran(h, name)
	if strings.Contains(request, longWorkHeader) {
		time.Sleep(longWork)
	} else {
		time.Sleep(h.work)
	}
	<-h.slots
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.endedAt.IsZero() || h.flows[key] != f {
		return
	}
	body := fmt.Sprintf("HTTP/1.1 200 OK\r\nServer-Stamp: %s\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", h.id, name)
	p := &flows.Packet{Flags: flagACK, Sequence: f.sequence, Ack: f.next, Data: []byte(body)}
	f.sequence += uint32(len(body))
	f.answer = p
	h.transmit(key, p)
	if h.state == "draining" && !f.closed { // a draining host closes each flow after its next response
		f.closed = true
		h.send(key, f, flagACK|flagFIN, f.sequence, nil)
	}
	h.rec.add("host %s answers request %s", h.id, name)
}

func (h *host) send(key flowEnds, f *hostFlow, flags byte, sequence uint32, data []byte) {
	p := &flows.Packet{Flags: flags, Sequence: sequence, Ack: f.next, Data: data, Cookie: f.echo}
	h.transmitWith(key, p)
}

// transmit sends a packet with the last echo of its flow.
func (h *host) transmit(key flowEnds, p *flows.Packet) {
	if f := h.flows[key]; f != nil {
		p.Cookie = f.echo
	}
	h.transmitWith(key, p)
}

func (h *host) transmitWith(key flowEnds, p *flows.Packet) {
	p.Source, p.Destination = key.service, key.client
	h.conn.WriteToUDPAddrPort(p.Marshal(), netip.AddrPortFrom(key.client.Addr(), h.clientPort))
}

func requestID(request string) string {
	_, rest, _ := strings.Cut(request, "Request-Id: ")
	id, _, _ := strings.Cut(rest, "\r\n")
	return id
}
