package main

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
)

// proxy relays the connections of an instance to the store. Connections that are open can go silent
// for good, while new ones work.
type proxy struct {
	target   netip.AddrPort
	listener net.Listener

	mu    sync.Mutex
	links map[*link]struct{}
}

// link is a relayed connection.
type link struct {
	conns  [2]net.Conn
	silent atomic.Bool
}

func newProxy(target netip.AddrPort) (*proxy, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target, listener: l, links: make(map[*link]struct{})}
	go p.serve()
	return p, nil
}

func (p *proxy) address() netip.AddrPort { return p.listener.Addr().(*net.TCPAddr).AddrPort() }

func (p *proxy) serve() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp4", p.target.String())
		if err != nil {
			in.Close()
			continue
		}
		l := &link{conns: [2]net.Conn{in, out}}
		p.mu.Lock()
		p.links[l] = struct{}{}
		p.mu.Unlock()
		go p.relay(l, in, out)
		go p.relay(l, out, in)
	}
}

// relay copies one direction. On a silent link it reads and drops, so that neither end sees an end.
func (p *proxy) relay(l *link, from, to net.Conn) {
	b := make([]byte, 64<<10)
	for {
		n, err := from.Read(b)
		if n > 0 && !l.silent.Load() {
			if _, werr := to.Write(b[:n]); werr != nil && err == nil {
				err = werr
			}
		}
		if err == nil {
			continue
		}
		if !l.silent.Load() {
			l.close()
		}
		return
	}
}

func (l *link) close() {
	l.conns[0].Close()
	l.conns[1].Close()
}

// silence makes all open connections silent for good. It returns their number.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		l.silent.Store(true)
	}
	return len(p.links)
}

func (p *proxy) close() {
	p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		l.close()
	}
}
