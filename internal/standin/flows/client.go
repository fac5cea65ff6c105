package flows

import (
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// Errors returned by the methods of a flow.
var (
	ErrResetByForwarder = errors.New("flow was reset by the forwarder")
	ErrResetByServer    = errors.New("flow was reset by the backend server")
	ErrTimeout          = errors.New("no response within the timeout")
)

const (
	// retransmitInterval is the time between transmissions of an unanswered packet.
	retransmitInterval = 200 * time.Millisecond
	// resetWindow bounds the distance between the sequence number of a forwarder's reset and the
	// client's last acknowledgement. Clients ignore other resets of an open flow.
	resetWindow = 76_800
)

// Client is a client host. Its flows share one socket.
type Client struct {
	conn *net.UDPConn
	ip   netip.Addr

	mu       sync.Mutex
	nextPort uint16
	flows    map[uint16]*Flow
	portRest time.Duration // 0 if no port is used twice
	resting  []restingPort // in the order in which their flows were closed
}

// restingPort is a port whose flow was closed.
type restingPort struct {
	number uint16
	since  time.Time
}

// Flow is an open flow of a client. It is not safe for concurrent use.
type Flow struct {
	client   *Client
	local    netip.AddrPort
	service  netip.AddrPort
	received chan Packet
	cookie   uint32
	start    uint32 // sequence number of the SYN
	sequence uint32
	ack      atomic.Uint32 // last acknowledgement; 0 while the flow is not open
	resetAt  atomic.Int64  // when the first reset arrived, in Unix nanoseconds; 0 without one
}

// StartClient starts a client that listens at an address. Its port must be the one to which
// packets for clients are sent.
func StartClient(at netip.AddrPort) (*Client, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, err
	}
	c := &Client{conn: conn, ip: at.Addr(), nextPort: 1024, flows: make(map[uint16]*Flow)}
	go c.serve()
	return c, nil
}

// ReusePorts makes the client open flows from ports whose last flow was closed at least rest ago.
func (c *Client) ReusePorts(rest time.Duration) { c.portRest = rest }

// Port returns the port for the next flow. The caller passes it to OpenFrom.
func (c *Client) Port() uint16 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.portRest > 0 && len(c.resting) > 0 && time.Since(c.resting[0].since) >= c.portRest {
		port := c.resting[0].number
		c.resting = c.resting[1:]
		return port
	}
	if c.nextPort++; c.nextPort == 0 {
		c.nextPort = 1024
	}
	return c.nextPort
}

// Stop closes the client's socket.
func (c *Client) Stop() { c.conn.Close() }

func (c *Client) serve() {
	b := make([]byte, 2048)
	for {
		n, err := c.conn.Read(b)
		if err != nil {
			return
		}
		p, ok := Unmarshal(b[:n])
		if !ok {
			continue
		}
		c.mu.Lock()
		f := c.flows[p.Destination.Port()]
		c.mu.Unlock()
		if f != nil && !f.ignores(&p) {
			if p.Flags&RST != 0 {
				f.resetAt.CompareAndSwap(0, time.Now().UnixNano())
			}
			select {
			case f.received <- p:
			default: // dropped, as a datagram is when a socket buffer is full
			}
		}
	}
}

// ignores reports whether the client ignores the packet: a forwarder's reset whose sequence number is not near
// the client's last acknowledgement, which is meant for an earlier flow from the port.
func (f *Flow) ignores(p *Packet) bool {
	ack := f.ack.Load()
	return p.Flags&RST != 0 && !p.ChecksumValid && ack != 0 && p.Sequence-ack+resetWindow > 2*resetWindow
}

// Open opens a flow to a service through the entry instance at via.
func (c *Client) Open(service, via netip.AddrPort, timeout time.Duration) (*Flow, error) {
	return c.OpenFrom(c.Port(), service, via, timeout)
}

// OpenFrom opens a flow from a port that Port has returned.
func (c *Client) OpenFrom(port uint16, service, via netip.AddrPort, timeout time.Duration) (*Flow, error) {
	f := &Flow{client: c, local: netip.AddrPortFrom(c.ip, port), service: service, received: make(chan Packet, 64), start: rand.Uint32()}
	c.mu.Lock()
	c.flows[port] = f
	c.mu.Unlock()
	p, err := f.exchange(via, Packet{Flags: SYN, Sequence: f.start}, timeout, func(p Packet) bool { return p.Flags&SYN != 0 && p.Ack == f.start+1 })
	if err != nil {
		return nil, err
	}
	f.cookie, f.sequence = p.Cookie, f.start+1
	f.ack.Store(p.Sequence + 1)
	f.send(via, Packet{Flags: ACK, Sequence: f.sequence, Ack: f.ack.Load()})
	return f, nil
}

// Cookie returns the cookie that the packets of the flow carry.
func (f *Flow) Cookie() uint32 { return f.cookie }

// ResetAt returns when the first reset of the flow arrived.
func (f *Flow) ResetAt() time.Time { return time.Unix(0, f.resetAt.Load()) }

// Key returns the identifier of the flow that log events contain.
func (f *Flow) Key() string { return f.local.String() + ">" + f.service.String() }

// Request sends data through the entry instance at via and returns the data of the last
// packet of the response, which is shorter than the 1,200 bytes of the first.
func (f *Flow) Request(via netip.AddrPort, data string, timeout time.Duration) (string, error) {
	p, err := f.exchange(via, Packet{Flags: ACK, Sequence: f.sequence, Ack: f.ack.Load(), Data: []byte(data)}, timeout, func(p Packet) bool {
		if p.Ack-f.start > f.sequence+uint32(len(data))-f.start {
			return false // of an earlier flow from the port
		}
		f.cookie = p.Cookie
		if len(p.Data) == 0 {
			return false // also the SYN+ACK of a second server
		}
		f.ack.Store(p.Sequence + uint32(len(p.Data)))
		return len(p.Data) < 1200
	})
	if err != nil {
		return "", err
	}
	f.sequence += uint32(len(data))
	f.send(via, Packet{Flags: ACK, Sequence: f.sequence, Ack: f.ack.Load()})
	return string(p.Data), nil
}

// WaitForReset waits until the flow is reset and returns ErrResetByForwarder or
// ErrResetByServer. It returns ErrTimeout if no reset arrives within the timeout.
func (f *Flow) WaitForReset(timeout time.Duration) error {
	deadline := time.After(timeout)
	for {
		select {
		case p := <-f.received:
			if p.Flags&RST != 0 {
				return p.resetError()
			}
		case <-deadline:
			return ErrTimeout
		}
	}
}

// exchange sends a packet and retransmits it until accept returns true for a received
// packet.
func (f *Flow) exchange(via netip.AddrPort, p Packet, timeout time.Duration, accept func(Packet) bool) (Packet, error) {
	deadline := time.After(timeout)
	retransmit := time.NewTicker(retransmitInterval)
	defer retransmit.Stop()
	f.send(via, p)
	for {
		select {
		case got := <-f.received:
			if got.Flags&RST != 0 {
				return got, got.resetError()
			}
			if accept(got) {
				return got, nil
			}
			if len(p.Data) > 0 && got.Ack == p.Sequence+uint32(len(p.Data)) {
				retransmit.Stop() // the server has the request and works on it
			}
		case <-retransmit.C:
			f.send(via, p)
		case <-deadline:
			return Packet{}, ErrTimeout
		}
	}
}

// resetError returns the error for a reset packet. The forwarder doesn't know the checksum
// key, so a valid checksum means that a backend server sent the reset.
func (p *Packet) resetError() error {
	if p.ChecksumValid {
		return ErrResetByServer
	}
	return ErrResetByForwarder
}

// Close sends a FIN and removes the flow from the client.
func (f *Flow) Close(via netip.AddrPort) {
	f.send(via, Packet{Flags: FIN | ACK, Sequence: f.sequence, Ack: f.ack.Load()})
	c := f.client
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.flows, f.local.Port())
	if c.portRest > 0 {
		c.resting = append(c.resting, restingPort{f.local.Port(), time.Now()})
	}
}

func (f *Flow) send(via netip.AddrPort, p Packet) {
	p.Source, p.Destination = f.local, f.service
	if p.Flags&SYN == 0 {
		p.Cookie = f.cookie
	}
	f.client.conn.WriteToUDPAddrPort(p.Marshal(), via)
}
