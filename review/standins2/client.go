package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

var (
	errNotOpened = errors.New("no SYN+ACK within 1.4 s")
	errReset     = errors.New("reset")
	errLate      = errors.New("no answer by the deadline")
	errEnded     = errors.New("the flow has ended before")
	errClosed    = errors.New("closed by the host")
)

// maxResetDistance is how far a reset of the system may be from the client's last ack on an open flow.
const maxResetDistance = 76800

// client is a machine of clients. Its flows share its address.
type client struct {
	w    *world
	zone string
	ip   netip.Addr
	conn *net.UDPConn

	mu    sync.Mutex
	port  uint16
	flows map[uint16]*flow
}

// flow is a client's end of a flow.
type flow struct {
	c              *client
	local, service netip.AddrPort
	changed        chan struct{} // a token for each change

	mu          sync.Mutex
	open        bool
	closed      bool
	resetBy     string // who reset the flow: "the system" or the ID of a host
	resetAt     time.Time
	resetOpen   bool // the flow was open then
	iss, next   uint32
	rcvNext     uint32
	acked       uint32
	echo        uint32
	received    int
	answer      []byte
	lastVia     *front
	via         *front // that all packets go through; nil if the routers select it
	otherEchoes int
}

func (w *world) startClient(zone string, ip netip.Addr) (*client, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, w.packetPort)))
	if err != nil {
		return nil, err
	}
	conn.SetReadBuffer(1 << 20)
	c := &client{w: w, zone: zone, ip: ip, conn: conn, port: 40000, flows: make(map[uint16]*flow)}
	go c.serve()
	return c, nil
}

func (c *client) serve() {
	b := make([]byte, 4096)
	for {
		n, from, err := c.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		p, ok := unmarshal(b[:n])
		if !ok {
			continue
		}
		c.mu.Lock()
		f := c.flows[p.dst.Port()]
		c.mu.Unlock()
		if f != nil && p.src == f.service {
			f.mu.Lock()
			f.handle(p, from.Addr().Unmap())
			f.mu.Unlock()
			select {
			case f.changed <- struct{}{}:
			default:
			}
		}
	}
}

func (f *flow) handle(p packet, from netip.Addr) {
	if p.flags&flagRST != 0 {
		f.handleReset(p, from)
		return
	}
	if !p.valid {
		f.c.w.violate("MIXED: flow %s got a packet with a wrong sum", f.local)
		return
	}
	if f.closed {
		return
	}
	if p.flags&flagSYN != 0 {
		switch {
		case p.ack != f.iss+1:
			return
		case !f.open:
			f.open, f.rcvNext = true, p.seq+1
			f.echo = p.echo
			f.send(flagACK, f.next, nil)
		case p.seq+1 != f.rcvNext && p.echo != f.echo:
			// The page: each end places in its packets the last echo that it received on the flow.
			f.otherEchoes++
			f.c.w.record("flow %s is open and gets a SYN+ACK of %s with another echo", f.local, f.c.w.hostAt(from))
			f.echo = p.echo
		}
		return
	}
	if !f.open {
		return
	}
	f.echo = p.echo
	if after(p.ack, f.acked) {
		f.acked = p.ack
	}
	if len(p.data) > 0 || p.flags&flagFIN != 0 {
		if p.seq == f.rcvNext {
			f.rcvNext += uint32(len(p.data))
			f.answer = append(f.answer, p.data...)
			f.received++
			if p.flags&flagFIN != 0 {
				f.rcvNext++
				f.closed = true
				f.send(flagACK|flagFIN, f.next, nil)
				return
			}
			if f.received%2 == 0 || len(p.data) < maxData {
				f.send(flagACK, f.next, nil)
			}
		} else if after(f.rcvNext, p.seq) {
			f.send(flagACK, f.next, nil)
		}
	}
}

func (f *flow) handleReset(p packet, from netip.Addr) {
	if f.resetBy != "" || f.closed {
		return
	}
	by := "the system"
	switch {
	case p.sum == 0 && len(p.data) == 0:
		if d := int32(p.seq - f.rcvNext); f.open && (d > maxResetDistance || d < -maxResetDistance) {
			return
		}
	case p.valid:
		by = f.c.w.hostAt(from)
	default:
		return
	}
	f.resetBy, f.resetAt, f.resetOpen = by, time.Now(), f.open
	if f.open {
		f.c.w.judgeReset(f, by, from)
	}
}

// send sends a packet through the machine that the router selects. The caller holds mu.
func (f *flow) send(flags byte, seq uint32, data []byte) { f.sendCopy(flags, seq, f.rcvNext, data) }

func (f *flow) sendCopy(flags byte, seq, ack uint32, data []byte) {
	p := packet{src: f.local, dst: f.service, flags: flags, seq: seq, ack: ack, data: data}
	if flags&flagSYN == 0 {
		p.echo = f.echo
	}
	via := f.via
	if via == nil {
		via = f.c.w.route(f.c.zone, f.local, f.service)
	}
	if via == nil {
		return
	}
	f.lastVia = via
	f.c.conn.WriteToUDPAddrPort(p.marshal(), netip.AddrPortFrom(via.ip, f.c.w.packetPort))
}

// dial opens a flow.
func (c *client) dial(service netip.AddrPort) (*flow, error) { return c.dialVia(service, nil) }

// dialVia opens a flow directly through a machine.
func (c *client) dialVia(service netip.AddrPort, via *front) (*flow, error) {
	c.mu.Lock()
	c.port++
	f := &flow{c: c, local: netip.AddrPortFrom(c.ip, c.port), service: service, changed: make(chan struct{}, 1), iss: rand.Uint32(), via: via}
	f.next, f.acked = f.iss+1, f.iss+1
	c.flows[c.port] = f
	c.mu.Unlock()
	start := time.Now()
	for i, until := range []time.Duration{200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond} {
		f.mu.Lock()
		f.sendCopy(flagSYN, f.iss, uint32(i), nil)
		f.mu.Unlock()
		timer := time.After(time.Until(start.Add(until)))
		for waiting := true; waiting; {
			select {
			case <-f.changed:
				f.mu.Lock()
				open, reset := f.open, f.resetBy != ""
				f.mu.Unlock()
				if open {
					return f, nil
				}
				if reset {
					return f, errReset
				}
			case <-timer:
				waiting = false
			}
		}
	}
	f.mu.Lock()
	f.closed = true
	f.mu.Unlock()
	return f, errNotOpened
}

// request sends a request and waits for its whole answer. It returns the Server-Stamp.
func (f *flow) request(id, method, path string, deadline time.Duration) (string, error) {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: x\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", method, path, id)
	end := time.After(deadline)
	f.mu.Lock()
	if f.resetBy != "" || f.closed {
		f.mu.Unlock()
		return "", errEnded
	}
	seq := f.next
	f.next += uint32(len(text))
	f.answer = nil
	f.send(flagACK, seq, []byte(text))
	f.mu.Unlock()
	wait := 200 * time.Millisecond
	again := time.After(wait)
	for {
		f.mu.Lock()
		answer, reset, closed := string(f.answer), f.resetBy, f.closed
		f.mu.Unlock()
		if stamp, ok := complete(answer, id); ok {
			return stamp, nil
		}
		if reset != "" {
			return "", fmt.Errorf("%w by %s", errReset, reset)
		}
		if closed {
			return "", errClosed
		}
		select {
		case <-f.changed:
		case <-again:
			f.mu.Lock()
			if after(seq+uint32(len(text)), f.acked) {
				f.send(flagACK, seq, []byte(text))
			}
			f.mu.Unlock()
			wait = min(2*wait, 1600*time.Millisecond)
			again = time.After(wait)
		case <-end:
			return "", errLate
		}
	}
}

func complete(answer, id string) (stamp string, ok bool) {
	head, body, found := strings.Cut(answer, "\r\n\r\n")
	if !found {
		return "", false
	}
	length := -1
	answered := ""
	for _, line := range strings.Split(head, "\r\n") {
		if v, ok := strings.CutPrefix(line, "Server-Stamp: "); ok {
			stamp = v
		}
		if v, ok := strings.CutPrefix(line, "Request-Id: "); ok {
			answered = v
		}
		if v, ok := strings.CutPrefix(line, "Content-Length: "); ok {
			fmt.Sscan(v, &length)
		}
	}
	return stamp, len(body) == length && answered == id
}

// close ends the flow.
func (f *flow) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.closed && f.resetBy == "" {
		f.send(flagACK|flagFIN, f.next, nil)
		f.closed = true
	}
}
