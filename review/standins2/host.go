package main

import (
	"bytes"
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
)

// usualWork is about the mean work of a request.
const usualWork = 25 * time.Millisecond

// host is a backend server as PROTOCOL.md describes it. The hosts of these scripts live to the end.
type host struct {
	w       *world
	id      string
	service string
	zone    string
	addr    netip.AddrPort
	born    time.Time
	conn    *net.UDPConn
	health  *http.Server
	slots   chan struct{}

	mu        sync.Mutex
	work      time.Duration // of a request
	flows     map[[2]netip.AddrPort]*hostFlow
	seq       int // of the entry
	entry     []byte
	draining  bool
	stamp     int
	drainedAt time.Time // acknowledgement of the drain
}

type hostFlow struct {
	client, service netip.AddrPort
	open, ended     bool
	echo            uint32
	clientISS       uint32
	iss, next, una  uint32
	rcvNext         uint32
	unacked         []packet // sent and not acknowledged
	buffer          []byte
	received        int // data packets since the last acknowledgement
}

func (w *world) startHost(id, service, zone string, ip netip.Addr) (*host, error) {
	h := &host{w: w, id: id, service: service, zone: zone, addr: netip.AddrPortFrom(ip, w.hostPort), born: time.Now(), work: usualWork,
		slots: make(chan struct{}, 2), flows: make(map[[2]netip.AddrPort]*hostFlow)}
	var err error
	if h.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(h.addr)); err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp4", h.addr.String())
	if err != nil {
		h.conn.Close()
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(rw http.ResponseWriter, _ *http.Request) {
		h.slots <- struct{}{}
		time.Sleep(time.Millisecond)
		<-h.slots
		h.mu.Lock()
		leaving := h.draining
		h.mu.Unlock()
		rw.Header().Set("Instance-Id", h.id)
		if leaving {
			rw.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	h.health = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go h.health.Serve(l)
	go h.serve()
	w.mu.Lock()
	w.hosts = append(w.hosts, h)
	w.mu.Unlock()
	h.register()
	go func() {
		for { // heartbeats: the entry changes only if it is not the host's last one
			time.Sleep(1200 * time.Millisecond)
			h.mu.Lock()
			last := h.entry
			h.mu.Unlock()
			if !bytes.Equal(w.store.Value("servers/"+h.id), last) {
				h.register()
			}
		}
	}()
	return h, nil
}

// register writes the host's entry. Heartbeats that change only the sequence do not change the entry.
func (h *host) register() {
	h.mu.Lock()
	h.seq++
	state := "ready"
	if h.draining {
		state = "draining"
	}
	b, _ := json.Marshal(map[string]any{"service": h.service, "address": h.addr.String(), "zone": h.zone, "version": "v1", "slots": 2,
		"state": state, "coldLeftMs": 0, "sequence": h.seq, "born": h.born.UnixMilli()})
	h.entry = b
	h.mu.Unlock()
	h.w.store.Put("servers/"+h.id, b)
	h.mu.Lock()
	if h.draining && h.drainedAt.IsZero() {
		h.drainedAt = time.Now()
	}
	h.mu.Unlock()
	h.w.record("store accepts entry of %s: %s", h.id, state)
}

func (h *host) numericID() uint64 {
	n, _ := strconv.ParseUint(strings.TrimPrefix(h.id, "i-"), 16, 64)
	return n
}

func (h *host) serve() {
	b := make([]byte, 4096)
	for {
		n, from, err := h.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		if n < 8 {
			continue
		}
		id := binary.BigEndian.Uint64(b)
		p, ok := unmarshal(b[8:n])
		if !ok || id != 0 && id != h.numericID() {
			continue
		}
		if !p.valid {
			h.w.violate("UNASKED: %s got a packet with a wrong sum", h.id)
			continue
		}
		h.mu.Lock()
		h.handle(p, from.Addr().Unmap())
		h.mu.Unlock()
	}
}

func (h *host) handle(p packet, from netip.Addr) {
	key := [2]netip.AddrPort{p.src, p.dst}
	f := h.flows[key]
	if p.flags&flagSYN != 0 && p.flags&flagACK == 0 {
		if via := h.w.frontAt(from); !h.drainedAt.IsZero() && time.Since(h.drainedAt) > drainBound && via != nil && via.inTouch() {
			h.w.violate("DRAIN: %s gets a SYN of %s through %s, in touch, %v after the drain was acknowledged", h.id, p.src, via.name, time.Since(h.drainedAt))
		}
		switch {
		case f != nil && f.clientISS == p.seq && f.open:
			return // a late copy
		case f == nil || f.clientISS != p.seq:
			f = &hostFlow{client: p.src, service: p.dst, clientISS: p.seq, rcvNext: p.seq + 1, iss: rand.Uint32()}
			f.next, f.una = f.iss+1, f.iss+1
			h.flows[key] = f
		}
		f.echo = p.echo
		h.send(f, flagSYN|flagACK, f.iss, nil)
		return
	}
	if f == nil || !f.open && (p.flags&flagACK == 0 || p.ack != f.iss+1) {
		if p.flags&flagRST == 0 {
			h.reset(p)
		}
		return
	}
	if p.flags&flagRST != 0 {
		delete(h.flows, key)
		return
	}
	f.echo = p.echo
	if !f.open {
		f.open = true
		h.w.opened(f.client, h)
	}
	if after(p.ack, f.una) {
		f.una = p.ack
		for len(f.unacked) > 0 && !after(f.unacked[0].seq+uint32(len(f.unacked[0].data)), f.una) {
			f.unacked = f.unacked[1:]
		}
	}
	if len(p.data) > 0 {
		if p.seq == f.rcvNext && !f.ended {
			f.rcvNext += uint32(len(p.data))
			f.buffer = append(f.buffer, p.data...)
			if f.received++; f.received%2 == 0 {
				h.send(f, flagACK, f.next, nil)
			}
			h.takeRequest(f)
		} else if after(f.rcvNext, p.seq) {
			h.send(f, flagACK, f.next, nil) // a copy
		}
	}
	if p.flags&flagFIN != 0 {
		if p.seq+uint32(len(p.data)) == f.rcvNext {
			f.rcvNext++
		}
		h.send(f, flagACK, f.next, nil)
		f.ended = true
	}
}

// takeRequest starts the work on a complete request. The requests here have no body.
func (h *host) takeRequest(f *hostFlow) {
	text := string(f.buffer)
	end := strings.Index(text, "\r\n\r\n")
	if end < 0 {
		return
	}
	f.buffer = f.buffer[:0]
	id := ""
	for _, line := range strings.Split(text[:end], "\r\n") {
		if v, ok := strings.CutPrefix(line, "Request-Id: "); ok {
			id = v
		}
	}
	go func() {
		h.slots <- struct{}{}
		h.w.ran(id, h, f.service)
		h.mu.Lock()
		work := h.work
		h.mu.Unlock()
		time.Sleep(work)
		<-h.slots
		h.mu.Lock()
		defer h.mu.Unlock()
		h.stamp++
		body := strings.Repeat("x", 2000)
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nServer-Stamp: %s-%d\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n%s", h.id, h.stamp, id, len(body), body)
		h.answer(f, []byte(answer))
	}()
}

func (h *host) answer(f *hostFlow, b []byte) {
	for len(b) > 0 {
		n := min(len(b), maxData)
		flags := byte(flagACK)
		if n == len(b) && h.draining {
			flags |= flagFIN
			f.ended = true
		}
		p := h.send(f, flags, f.next, b[:n])
		f.unacked = append(f.unacked, p)
		f.next += uint32(n)
		b = b[n:]
	}
	if f.ended {
		f.next++
	}
	go h.retransmit(f)
}

func (h *host) retransmit(f *hostFlow) {
	wait := 200 * time.Millisecond
	for range 8 {
		time.Sleep(wait)
		wait = min(2*wait, 1600*time.Millisecond)
		h.mu.Lock()
		done := len(f.unacked) == 0
		if !done {
			for _, p := range f.unacked {
				p.echo = f.echo
				h.write(p)
			}
		}
		h.mu.Unlock()
		if done {
			return
		}
	}
}

func (h *host) send(f *hostFlow, flags byte, seq uint32, data []byte) packet {
	p := packet{src: f.service, dst: f.client, flags: flags, echo: f.echo, seq: seq, ack: f.rcvNext, data: data}
	h.write(p)
	return p
}

func (h *host) reset(to packet) {
	h.write(packet{src: to.dst, dst: to.src, flags: flagRST, echo: to.echo, seq: to.ack})
}

func (h *host) write(p packet) {
	h.conn.WriteToUDPAddrPort(p.marshal(), netip.AddrPortFrom(p.dst.Addr(), h.w.packetPort))
}
