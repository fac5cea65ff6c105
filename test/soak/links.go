package soak

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// link passes the connections and datagrams for one address on to another one and harms
// them on demand.
type link struct {
	target   netip.AddrPort
	listener net.Listener
	socket   *net.UDPConn // nil for connections alone

	silent atomic.Bool  // bytes and datagrams are held back; connections stay open
	delay  atomic.Int64 // of each datagram and read, in nanoseconds

	mu    sync.Mutex
	conns map[net.Conn]struct{}
	mute  map[netip.Addr]bool // senders whose datagrams are dropped
}

// newLink listens at an address, also for datagrams if asked to.
func newLink(at string, target netip.AddrPort, datagrams bool) (*link, error) {
	l := &link{target: target, conns: make(map[net.Conn]struct{}), mute: make(map[netip.Addr]bool)}
	var err error
	if l.listener, err = net.Listen("tcp4", at); err != nil {
		return nil, err
	}
	if datagrams {
		address := net.UDPAddrFromAddrPort(netip.MustParseAddrPort(l.listener.Addr().String()))
		if l.socket, err = net.ListenUDP("udp4", address); err != nil {
			l.listener.Close()
			return nil, err
		}
		go l.passDatagrams()
	}
	go l.accept()
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

// reset breaks all open connections.
func (l *link) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
	clear(l.conns)
}

// heal ends all harm.
func (l *link) heal() {
	l.silent.Store(false)
	l.delay.Store(0)
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.mute)
}

// setMute drops the datagrams of a sender, or stops doing so.
func (l *link) setMute(sender netip.Addr, mute bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if mute {
		l.mute[sender] = true
	} else {
		delete(l.mute, sender)
	}
}

func (l *link) passDatagrams() {
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
		mute := l.mute[from.Addr().Unmap()]
		l.mu.Unlock()
		if mute || l.silent.Load() {
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

func (l *link) accept() {
	for {
		c, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.relay(c)
	}
}

func (l *link) relay(c net.Conn) {
	up, err := net.Dial("tcp4", l.target.String())
	if err != nil {
		c.Close()
		return
	}
	l.mu.Lock()
	l.conns[c], l.conns[up] = struct{}{}, struct{}{}
	l.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { l.pass(up, c) })
	both.Go(func() { l.pass(c, up) })
	both.Wait()
	l.mu.Lock()
	delete(l.conns, c)
	delete(l.conns, up)
	l.mu.Unlock()
}

// pass copies one way and then ends both ways.
func (l *link) pass(to, from net.Conn) {
	defer to.Close()
	defer from.Close()
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		time.Sleep(time.Duration(l.delay.Load()))
		for l.silent.Load() {
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
