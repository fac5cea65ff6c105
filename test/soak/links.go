package soak

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// link is a proxy that forwards the connections and datagrams of one address to another
// and injects network faults.
type link struct {
	target   netip.AddrPort
	listener net.Listener
	socket   *net.UDPConn // nil if only connections are forwarded

	stalled atomic.Bool  // holds back TCP data and drops datagrams; connections stay open
	delay   atomic.Int64 // added to each datagram and read, in nanoseconds

	mu             sync.Mutex // protects the fields below
	conns          map[net.Conn]struct{}
	droppedSenders map[netip.Addr]bool // senders whose datagrams are dropped
}

// newLink starts a link that listens on a TCP address, and on the same UDP address if
// datagrams is true.
func newLink(listenAddr string, target netip.AddrPort, datagrams bool) (*link, error) {
	l := &link{target: target, conns: make(map[net.Conn]struct{}), droppedSenders: make(map[netip.Addr]bool)}
	var err error
	if l.listener, err = net.Listen("tcp4", listenAddr); err != nil {
		return nil, err
	}
	if datagrams {
		address := net.UDPAddrFromAddrPort(netip.MustParseAddrPort(l.listener.Addr().String()))
		if l.socket, err = net.ListenUDP("udp4", address); err != nil {
			l.listener.Close()
			return nil, err
		}
		go l.forwardDatagrams()
	}
	go l.acceptConnections()
	return l, nil
}

func (l *link) address() string { return l.listener.Addr().String() }

func (l *link) close() {
	l.listener.Close()
	if l.socket != nil {
		l.socket.Close()
	}
	l.reset()
}

// reset aborts all open connections with a TCP reset.
func (l *link) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
	clear(l.conns)
}

// clearFaults ends all faults of the link.
func (l *link) clearFaults() {
	l.stalled.Store(false)
	l.delay.Store(0)
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.droppedSenders)
}

// setSenderDropped starts or stops dropping the datagrams of a sender.
func (l *link) setSenderDropped(sender netip.Addr, drop bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if drop {
		l.droppedSenders[sender] = true
	} else {
		delete(l.droppedSenders, sender)
	}
}

func (l *link) forwardDatagrams() {
	out, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(l.target))
	if err != nil {
		return
	}
	defer out.Close()
	b := make([]byte, 64<<10)
	for {
		n, from, err := l.socket.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		l.mu.Lock()
		drop := l.droppedSenders[from.Addr().Unmap()]
		l.mu.Unlock()
		if drop || l.stalled.Load() {
			continue
		}
		if d := time.Duration(l.delay.Load()); d > 0 {
			datagram := append([]byte(nil), b[:n]...)
			time.AfterFunc(d, func() { out.Write(datagram) })
			continue
		}
		out.Write(b[:n])
	}
}

func (l *link) acceptConnections() {
	for {
		c, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.relay(c)
	}
}

func (l *link) relay(c net.Conn) {
	upstream, err := net.Dial("tcp4", l.target.String())
	if err != nil {
		c.Close()
		return
	}
	l.mu.Lock()
	l.conns[c], l.conns[upstream] = struct{}{}, struct{}{}
	l.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { l.copyOneWay(upstream, c) })
	both.Go(func() { l.copyOneWay(c, upstream) })
	both.Wait()
	l.mu.Lock()
	delete(l.conns, c)
	delete(l.conns, upstream)
	l.mu.Unlock()
}

// copyOneWay copies data in one direction and closes both connections when one of them ends
// or fails.
func (l *link) copyOneWay(to, from net.Conn) {
	defer to.Close()
	defer from.Close()
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		time.Sleep(time.Duration(l.delay.Load()))
		for l.stalled.Load() {
			time.Sleep(20 * time.Millisecond)
		}
		if n > 0 {
			if _, err := to.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
