package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/monsoonthread/monsoonthread/internal/standin/flows"
)

var (
	errClosed      = errors.New("closed by the host")
	errSystemReset = errors.New("reset by the system")
	errHostReset   = errors.New("reset by a host")
	errNoAnswer    = errors.New("no answer within the deadline")
)

const (
	openTimeout     = 1400 * time.Millisecond
	requestDeadline = 2500 * time.Millisecond
	// resetWindow is the range after a client's last acknowledgement in which the sequence number of a
	// reset of an open flow must lie.
	resetWindow = 76800
)

// client is a client machine in a zone. Its flows share one socket.
type client struct {
	d    *deployment
	name string
	zone string
	ip   netip.Addr
	conn *net.UDPConn

	mu       sync.Mutex
	nextPort uint16
	flows    map[uint16]*flow
}

// flow is a flow at its client.
type flow struct {
	client   *client
	local    netip.AddrPort
	service  netip.AddrPort
	received chan flows.Packet
	echo     uint32
	sequence uint32
	ack      uint32
	host     string    // ID of the host, once it has answered a request
	openedAt time.Time // when the client had the SYN+ACK
}

var requests atomic.Int64

func newClient(d *deployment, name, zone string, ip netip.Addr) (*client, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, d.ports.datagram)))
	if err != nil {
		return nil, err
	}
	c := &client{d: d, name: name, zone: zone, ip: ip, conn: conn, nextPort: 1024, flows: make(map[uint16]*flow)}
	go c.serve()
	return c, nil
}

func (c *client) serve() {
	b := make([]byte, 2048)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		p, ok := flows.Unmarshal(b[:n])
		if !ok {
			continue
		}
		c.mu.Lock()
		f := c.flows[p.Destination.Port()]
		c.mu.Unlock()
		if f != nil && f.service == p.Source {
			select {
			case f.received <- p:
			default:
			}
		}
	}
}

func (f *flow) send(p flows.Packet) {
	p.Source, p.Destination = f.local, f.service
	if p.Flags&flagSYN == 0 {
		p.Cookie = f.echo
	}
	if via, ok := f.client.d.route(f.client.zone, f.local, f.service); ok {
		f.client.conn.WriteToUDPAddrPort(p.Marshal(), via.datagramAddress())
	}
}

// take returns the error for a reset and keeps the echo of other packets.
func (f *flow) take(p flows.Packet, open bool) error {
	if p.Flags&flagRST == 0 {
		if !p.ChecksumValid {
			return nil
		}
		f.echo = p.Cookie
		return nil
	}
	switch {
	case p.ChecksumValid:
		return errHostReset
	case !open || p.Sequence-f.ack <= resetWindow || f.ack-p.Sequence <= resetWindow:
		return errSystemReset
	}
	return nil
}

// open opens a flow, with copies of the SYN after 200 and 600 ms.
func (c *client) open(service netip.AddrPort) (*flow, error) {
	c.mu.Lock()
	c.nextPort++
	f := &flow{client: c, local: netip.AddrPortFrom(c.ip, c.nextPort), service: service, received: make(chan flows.Packet, 64), sequence: rand.Uint32()}
	c.flows[c.nextPort] = f
	c.mu.Unlock()
	end := time.After(openTimeout)
	f.send(flows.Packet{Flags: flagSYN, Sequence: f.sequence})
	for copies, next := uint32(0), time.After(200*time.Millisecond); ; {
		select {
		case p := <-f.received:
			if err := f.take(p, false); err != nil {
				f.forget()
				return nil, err
			}
			if p.Flags&(flagSYN|flagACK) != flagSYN|flagACK || !p.ChecksumValid {
				continue
			}
			f.sequence, f.ack, f.openedAt = f.sequence+1, p.Sequence+1, time.Now()
			f.send(flows.Packet{Flags: flagACK, Sequence: f.sequence, Ack: f.ack})
			return f, nil
		case <-next:
			if copies++; copies < 2 {
				next = time.After(400 * time.Millisecond)
			}
			f.send(flows.Packet{Flags: flagSYN, Sequence: f.sequence, Ack: copies})
		case <-end:
			f.forget()
			return nil, errNoAnswer
		}
	}
}

func (f *flow) forget() {
	f.client.mu.Lock()
	defer f.client.mu.Unlock()
	delete(f.client.flows, f.local.Port())
}

func (f *flow) close() {
	f.send(flows.Packet{Flags: flagFIN | flagACK, Sequence: f.sequence, Ack: f.ack})
	f.forget()
}

// request sends a request and waits for its answer. It returns the request's ID.
func (f *flow) request(method, header string) (string, error) {
	id := fmt.Sprintf("r-%d", requests.Add(1))
	if header != "" {
		header += "\r\n"
	}
	data := []byte(method + " /order HTTP/1.1\r\nRequest-Id: " + id + "\r\n" + header + "Content-Length: 0\r\n\r\n")
	p := flows.Packet{Flags: flagACK, Sequence: f.sequence, Ack: f.ack, Data: data}
	f.client.d.rec.add("client %s sends request %s (%s) on %s", f.client.name, id, method, f.local)
	f.send(p)
	interval := 200 * time.Millisecond
	end, again := time.After(requestDeadline), time.After(interval)
	acknowledged := false
	for {
		select {
		case got := <-f.received:
			if err := f.take(got, true); err != nil {
				return id, err
			}
			if !got.ChecksumValid {
				continue
			}
			acknowledged = acknowledged || got.Ack == f.sequence+uint32(len(data))
			if len(got.Data) == 0 || got.Sequence != f.ack {
				continue
			}
			f.sequence += uint32(len(data))
			f.ack += uint32(len(got.Data))
			f.send(flows.Packet{Flags: flagACK, Sequence: f.sequence, Ack: f.ack})
			answer := string(got.Data)
			if requestID(answer) != id {
				return id, fmt.Errorf("answer of request %s", requestID(answer))
			}
			_, rest, _ := strings.Cut(answer, "Server-Stamp: ")
			f.host, _, _ = strings.Cut(rest, "\r\n")
			return id, nil
		case <-again:
			if !acknowledged {
				f.send(p)
			}
			interval = min(2*interval, 1600*time.Millisecond)
			again = time.After(interval)
		case <-end:
			return id, errNoAnswer
		}
	}
}

// idle waits and returns an error if the flow is reset meanwhile.
func (f *flow) idle(d time.Duration) error {
	end := time.After(d)
	for {
		select {
		case p := <-f.received:
			if err := f.take(p, true); err != nil {
				return err
			}
			if p.ChecksumValid && p.Flags&flagFIN != 0 {
				return errClosed
			}
		case <-end:
			return nil
		}
	}
}

// run keeps a flow open for some seconds, sends requests on it with pauses, and opens another one after
// it ends, until the context is cancelled.
func (c *client) run(ctx context.Context, service netip.AddrPort, method string) {
	for ctx.Err() == nil {
		f, err := c.open(service)
		if err != nil {
			c.d.rec.add("client %s: opening a flow fails: %v", c.name, err)
			c.d.openFailed.Add(1)
			sleep(ctx, 200*time.Millisecond)
			continue
		}
		lifetime := time.Duration(1000+rand.IntN(6000)) * time.Millisecond
		for ctx.Err() == nil && time.Since(f.openedAt) < lifetime {
			id, err := f.request(method, "")
			if err == nil {
				c.d.rec.add("client %s has the answer to request %s from host %s", c.name, id, f.host)
				c.d.answered.Add(1)
				err = f.idle(time.Duration(20+rand.IntN(180)) * time.Millisecond)
				id = ""
			}
			if err != nil {
				c.d.flowFailed(f, id, err)
				break
			}
		}
		f.close()
	}
}

// openAt opens flows, with a request on each, until one is at the host, and closes the others.
func (c *client) openAt(host string, service netip.AddrPort) (*flow, error) {
	for range 300 {
		f, err := c.open(service)
		if err != nil {
			return nil, err
		}
		if _, err := f.request("GET", ""); err != nil {
			f.close()
			continue
		}
		if f.host == host {
			return f, nil
		}
		f.close()
	}
	return nil, fmt.Errorf("no flow was opened at host %s", host)
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
