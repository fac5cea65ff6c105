package main

import (
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/monsoonthread/monsoonthread/internal/standin/flows"
)

const (
	firstRetransmit = 200 * time.Millisecond
	maxRetransmit   = 1600 * time.Millisecond
	openTimeout     = 1400 * time.Millisecond
)

// openingCopies are the times of the copies of an opening packet after the first one.
var openingCopies = []time.Duration{200 * time.Millisecond, 600 * time.Millisecond}

var (
	errNoAnswer      = errors.New("no answer")
	errResetByServer = errors.New("reset by a backend server")
	errResetBySystem = errors.New("reset by the system")
)

// router returns the entry instance to which the routers send the packets of a flow now.
type router func(client, service netip.AddrPort) netip.AddrPort

// client is a client host. Its flows share one socket.
type client struct {
	log   *record
	conn  *net.UDPConn
	addr  netip.Addr
	route router

	mu    sync.Mutex
	flows map[uint16]*clientFlow
}

// clientFlow is a flow of a client. Only one goroutine uses it.
type clientFlow struct {
	client         *client
	local, service netip.AddrPort
	received       chan flows.Packet
	cookie         uint32
	start          uint32 // sequence number of the opening packet
	sequence, ack  uint32
	resetBy        error // nil if the flow was not reset
}

func startClient(log *record, at netip.AddrPort, route router) (*client, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, err
	}
	c := &client{log: log, conn: conn, addr: at.Addr(), route: route, flows: make(map[uint16]*clientFlow)}
	go c.serve()
	return c, nil
}

func (c *client) serve() {
	buffer := make([]byte, 2048)
	for {
		n, err := c.conn.Read(buffer)
		if err != nil {
			return
		}
		p, ok := flows.Unmarshal(buffer[:n])
		if !ok {
			continue
		}
		c.mu.Lock()
		f := c.flows[p.Destination.Port()]
		c.mu.Unlock()
		if f == nil || f.service != p.Source {
			continue
		}
		select {
		case f.received <- p:
		default: // dropped, as a datagram is when a socket buffer is full
		}
	}
}

// open opens a flow from a port: the opening packet, its copies, and the end of the handshake.
func (c *client) open(port uint16, service netip.AddrPort) (*clientFlow, error) {
	f := &clientFlow{client: c, local: netip.AddrPortFrom(c.addr, port), service: service, received: make(chan flows.Packet, 64), start: 1 + rand.Uint32()/2}
	f.sequence = f.start
	c.mu.Lock()
	c.flows[port] = f
	c.mu.Unlock()
	f.send(flows.Packet{Flags: flows.SYN, Sequence: f.sequence})
	start := time.Now()
	deadline := time.After(openTimeout)
	for number := 0; ; {
		var copyDue <-chan time.Time
		if number < len(openingCopies) {
			copyDue = time.After(time.Until(start.Add(openingCopies[number])))
		}
		select {
		case p := <-f.received:
			if p.Flags&flows.RST != 0 {
				f.forget()
				return nil, resetError(p)
			}
			if p.Flags&flows.SYN == 0 || p.Ack != f.sequence+1 {
				continue
			}
			f.cookie, f.sequence, f.ack = p.Cookie, f.sequence+1, p.Sequence+1
			f.send(flows.Packet{Flags: flows.ACK, Sequence: f.sequence, Ack: f.ack})
			return f, nil
		case <-copyDue:
			number++
			f.send(flows.Packet{Flags: flows.SYN, Sequence: f.sequence, Ack: uint32(number)})
		case <-deadline:
			f.forget()
			return nil, errNoAnswer
		}
	}
}

func resetError(p flows.Packet) error {
	if p.ChecksumValid {
		return errResetByServer
	}
	return errResetBySystem
}

// request sends a request and returns its answer. It repeats the request until the server
// acknowledges it.
func (f *clientFlow) request(text string, timeout time.Duration) (string, error) {
	request := flows.Packet{Flags: flows.ACK, Sequence: f.sequence, Ack: f.ack, Data: []byte(text)}
	end := f.sequence + uint32(len(text))
	f.client.log.printf("client %v sends %q", f.local, text)
	f.send(request)
	wait, acknowledged := firstRetransmit, false
	deadline, repeat := time.After(timeout), time.After(wait)
	for {
		select {
		case p := <-f.received:
			if p.Flags&flows.RST != 0 {
				f.resetBy = resetError(p)
				f.client.log.printf("client %v is reset: %v", f.local, f.resetBy)
				f.forget()
				return "", f.resetBy
			}
			if p.Flags&flows.SYN != 0 {
				continue
			}
			f.cookie = p.Cookie
			acknowledged = acknowledged || p.Ack == end
			if len(p.Data) == 0 || p.Sequence != f.ack {
				continue
			}
			f.sequence, f.ack = end, f.ack+uint32(len(p.Data))
			f.send(flows.Packet{Flags: flows.ACK, Sequence: f.sequence, Ack: f.ack})
			f.client.log.printf("client %v is answered %q", f.local, p.Data)
			return string(p.Data), nil
		case <-repeat:
			if !acknowledged {
				f.send(request)
			}
			wait = min(2*wait, maxRetransmit)
			repeat = time.After(wait)
		case <-deadline:
			f.client.log.printf("client %v has no answer to %q", f.local, text)
			return "", errNoAnswer
		}
	}
}

// finish closes the flow at both ends.
func (f *clientFlow) finish() error {
	wait := firstRetransmit
	for deadline := time.After(2 * time.Second); ; wait = min(2*wait, maxRetransmit) {
		f.send(flows.Packet{Flags: flows.FIN | flows.ACK, Sequence: f.sequence, Ack: f.ack})
		repeat := time.After(wait)
	receive:
		for {
			select {
			case p := <-f.received:
				switch {
				case p.Flags&flows.RST != 0:
					f.resetBy = resetError(p)
					f.forget()
					return f.resetBy
				case p.Flags&flows.FIN != 0:
					f.send(flows.Packet{Flags: flows.ACK, Sequence: f.sequence + 1, Ack: p.Sequence + 1})
					f.forget()
					return nil
				}
			case <-repeat:
				break receive
			case <-deadline:
				f.forget()
				return errNoAnswer
			}
		}
	}
}

func (f *clientFlow) forget() {
	f.client.mu.Lock()
	defer f.client.mu.Unlock()
	if f.client.flows[f.local.Port()] == f {
		delete(f.client.flows, f.local.Port())
	}
}

func (f *clientFlow) send(p flows.Packet) {
	p.Source, p.Destination = f.local, f.service
	if p.Flags&flows.SYN == 0 {
		p.Cookie = f.cookie
	}
	f.client.conn.WriteToUDPAddrPort(p.Marshal(), f.client.route(f.local, f.service))
}
