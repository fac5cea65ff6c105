package flows

import (
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Errors of a flow.
var (
	ErrReset   = errors.New("the flow was reset by the system")
	ErrEnded   = errors.New("the flow was reset by its server")
	ErrTimeout = errors.New("no answer in time")
)

// repeatAfter is when a client sends a packet again.
const repeatAfter = 200 * time.Millisecond

// Client is a client machine. Its flows share one socket.
type Client struct {
	conn *net.UDPConn
	ip   netip.Addr

	mu    sync.Mutex
	next  uint16
	flows map[uint16]*Flow
}

// Flow is an open flow of a client. Only one goroutine may use it at a time.
type Flow struct {
	client   *Client
	local    netip.AddrPort
	service  netip.AddrPort
	received chan Packet
	echo     uint32
	sequence uint32
	ack      uint32
}

// StartClient starts a client at an address and the port to which packets for clients go.
func StartClient(at netip.AddrPort) (*Client, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, err
	}
	c := &Client{conn: conn, ip: at.Addr(), next: 1024, flows: make(map[uint16]*Flow)}
	go c.serve()
	return c, nil
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
		if f != nil {
			select {
			case f.received <- p:
			default: // like a datagram that is not read in time
			}
		}
	}
}

// Open opens a flow to a service through an entry instance.
func (c *Client) Open(service, via netip.AddrPort, timeout time.Duration) (*Flow, error) {
	c.mu.Lock()
	if c.next++; c.next == 0 {
		c.next = 1024
	}
	f := &Flow{client: c, local: netip.AddrPortFrom(c.ip, c.next), service: service, received: make(chan Packet, 64), sequence: 100}
	c.flows[c.next] = f
	c.mu.Unlock()
	p, err := f.exchange(via, Packet{Flags: SYN, Sequence: f.sequence}, timeout, func(p Packet) bool { return p.Flags&SYN != 0 })
	if err != nil {
		return nil, err
	}
	f.echo, f.sequence, f.ack = p.Echo, f.sequence+1, p.Sequence+1
	f.send(via, Packet{Flags: ACK, Sequence: f.sequence, Ack: f.ack})
	return f, nil
}

// Echo returns the cookie that the flow carries.
func (f *Flow) Echo() uint32 { return f.echo }

// Key returns the flow as log lines of the system print it.
func (f *Flow) Key() string { return f.local.String() + ">" + f.service.String() }

// Request sends data through an entry instance and returns the answer's last packet.
func (f *Flow) Request(via netip.AddrPort, data string, timeout time.Duration) (string, error) {
	p, err := f.exchange(via, Packet{Flags: ACK, Sequence: f.sequence, Ack: f.ack, Data: []byte(data)}, timeout, func(p Packet) bool {
		f.echo, f.ack = p.Echo, p.Sequence+uint32(len(p.Data))
		return len(p.Data) > 0 && len(p.Data) < 1200
	})
	if err != nil {
		return "", err
	}
	f.sequence += uint32(len(data))
	f.send(via, Packet{Flags: ACK, Sequence: f.sequence, Ack: f.ack})
	return string(p.Data), nil
}

// Wait returns ErrReset as soon as the flow is reset, or ErrTimeout.
func (f *Flow) Wait(timeout time.Duration) error {
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

// exchange sends a packet, again after some time, until done accepts an answer.
func (f *Flow) exchange(via netip.AddrPort, p Packet, timeout time.Duration, done func(Packet) bool) (Packet, error) {
	deadline := time.After(timeout)
	repeat := time.NewTicker(repeatAfter)
	defer repeat.Stop()
	f.send(via, p)
	for {
		select {
		case got := <-f.received:
			if got.Flags&RST != 0 {
				return got, got.resetError()
			}
			if done(got) {
				return got, nil
			}
		case <-repeat.C:
			f.send(via, p)
		case <-deadline:
			return Packet{}, ErrTimeout
		}
	}
}

// resetError tells a reset of the system, which knows no sum, from one of a server.
func (p *Packet) resetError() error {
	if p.Genuine {
		return ErrEnded
	}
	return ErrReset
}

// Close sends the end of the flow and forgets it.
func (f *Flow) Close(via netip.AddrPort) {
	f.send(via, Packet{Flags: FIN | ACK, Sequence: f.sequence, Ack: f.ack})
	f.client.mu.Lock()
	delete(f.client.flows, f.local.Port())
	f.client.mu.Unlock()
}

func (f *Flow) send(via netip.AddrPort, p Packet) {
	p.Source, p.Destination = f.local, f.service
	if p.Flags&SYN == 0 {
		p.Echo = f.echo
	}
	f.client.conn.WriteToUDPAddrPort(p.Marshal(), via)
}
