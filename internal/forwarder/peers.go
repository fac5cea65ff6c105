package forwarder

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/monsoonthread/monsoonthread/directory"
	"github.com/monsoonthread/monsoonthread/forwarding"
	"github.com/monsoonthread/monsoonthread/internal/logging"
	"github.com/monsoonthread/monsoonthread/mesh"
	"github.com/monsoonthread/monsoonthread/peer/exchange"
	"github.com/monsoonthread/monsoonthread/result"
)

const (
	// pullTimeout bounds a pull of records.
	pullTimeout = time.Second
	// maxFullAnswers bounds the answers with all records at a time: each takes about 1 MB for
	// its compression, and 100 instances that start at once would ask the same seed.
	maxFullAnswers = 4
)

// peers holds the sockets of the exchange with other instances.
type peers struct {
	datagrams *net.UDPConn
	listener  net.Listener
}

func listenPeers(address string) (*peers, error) {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, result.Errorf(result.SettingsInvalid, "--peer-address: %w", err)
	}
	datagrams, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(a))
	if err != nil {
		return nil, result.Errorf(result.SettingsInvalid, "--peer-address: %w", err)
	}
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		datagrams.Close()
		return nil, result.Errorf(result.SettingsInvalid, "--peer-address: %w", err)
	}
	return &peers{datagrams, listener}, nil
}

func (p *peers) close() {
	p.datagrams.Close()
	p.listener.Close()
}

// servePeers receives messages and answers pulls until the sockets are closed.
func (f *Forwarder) servePeers() {
	go f.servePulls()
	b := make([]byte, exchange.MaxStatusBytes)
	for {
		n, from, err := f.peers.datagrams.ReadFromUDPAddrPort(b)
		if err != nil {
			if isClosed(err) {
				return
			}
			f.counters.socketErrors.Inc()
			continue
		}
		m, err := exchange.Decode(b[:n])
		if err != nil {
			f.events.malformed(from, err)
			continue
		}
		f.receive(m)
	}
}

// receive applies a datagram of a peer.
func (f *Forwarder) receive(m *exchange.Message) {
	now := f.now()
	f.mu.Lock()
	if m.Status != nil {
		f.mesh.Heard(now, *m.Status)
		if m.Loads != nil && m.Status.Domain == f.self.Domain {
			f.engine.SetPeerLoads(now, m.Status.ID, m.Loads)
		}
		for _, d := range m.Heads {
			if d.Domain != f.self.Domain {
				f.engine.SetDomainHeads(now, d.Domain, d.Loads)
			}
		}
	}
	var actions []forwarding.Action
	for _, cookie := range m.Suspects {
		actions = append(actions, f.engine.Suspect(now, cookie)...)
	}
	f.engine.PeerFailures(now, m.Failures)
	f.mu.Unlock()
	f.perform(actions)
	if len(m.Update.Records) > 0 {
		f.applyUpdate(m.Update)
	}
}

// applyUpdate applies records that a peer sent.
func (f *Forwarder) applyUpdate(u directory.Update) {
	f.mu.Lock()
	news := f.table.Apply(f.now(), u)
	f.mu.Unlock()
	f.apply(news)
}

// speak sends the status at intervals and pulls what is missing.
func (f *Forwarder) speak(ctx context.Context) {
	ticker := time.NewTicker(mesh.StatusInterval)
	defer ticker.Stop()
	for {
		f.sendStatus()
		f.pullMissing(ctx)
		f.mu.Lock()
		f.table.Expire(f.now())
		f.mesh.Forget(f.now())
		f.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// status returns the own status; the caller holds mu.
func (f *Forwarder) status(now time.Duration) mesh.Status {
	return f.mesh.Self(now, f.incarnation, f.table.AsOf(), f.lifecycle.leaving.Load())
}

// sendStatus sends the status and the loads to peers of the own failure domain. The
// delegate also passes the heads of its own domain to others and theirs to its own.
func (f *Forwarder) sendStatus() {
	now := f.now()
	f.mu.Lock()
	status := f.status(now)
	full, bare := f.mesh.DomainPeers(now)
	m := exchange.Message{Status: &status, Loads: f.engine.Loads()}
	abroad := exchange.Message{Status: &status}
	var foreign []netip.AddrPort
	if f.mesh.Delegate(now) {
		for _, d := range f.mesh.ForeignDomains() {
			if heads, ok := f.engine.DomainHeadsOf(d); ok {
				m.Heads = append(m.Heads, exchange.DomainHeads{Domain: d, Loads: heads})
			}
		}
		foreign = f.mesh.ForeignPeers(now)
		abroad.Heads = []exchange.DomainHeads{{Domain: f.self.Domain, Loads: f.engine.DomainHeads(now)}}
	}
	failures := f.engine.TakeFailures()
	var domain []netip.AddrPort
	if len(failures) > 0 {
		domain = f.mesh.AliveDomainPeers(now)
	}
	f.mu.Unlock()
	f.sendDatagram(&exchange.Message{Failures: failures}, domain)
	f.sendDatagram(&m, full)
	f.sendDatagram(&exchange.Message{Status: &status}, bare)
	f.sendDatagram(&abroad, foreign)
}

func (f *Forwarder) sendDatagram(m *exchange.Message, to []netip.AddrPort) {
	if len(to) == 0 {
		return
	}
	f.sendEncoded(exchange.Append(nil, m), to)
}

func (f *Forwarder) sendEncoded(b []byte, to []netip.AddrPort) {
	for _, a := range to {
		if _, err := f.peers.datagrams.WriteToUDPAddrPort(b, a); err != nil {
			f.counters.socketErrors.Inc()
		}
	}
}

// push sends changes that were just read from the store to the own failure domain.
func (f *Forwarder) push(u directory.Update) {
	f.mu.Lock()
	m := exchange.Message{Update: f.table.Outgoing(u)}
	to := f.mesh.AliveDomainPeers(f.now())
	f.mu.Unlock()
	b := exchange.Append(nil, &m)
	if len(b) > exchange.MaxDatagramBytes {
		f.sendStatus() // the peers pull
		return
	}
	f.sendEncoded(b, to)
}

// tellSuspect passes evidence against a server to the own failure domain.
func (f *Forwarder) tellSuspect(cookie uint32) {
	f.mu.Lock()
	to := f.mesh.AliveDomainPeers(f.now())
	f.mu.Unlock()
	f.sendDatagram(&exchange.Message{Suspects: []uint32{cookie}}, to)
}

// pullMissing pulls records from a peer that is ahead.
func (f *Forwarder) pullMissing(ctx context.Context) {
	f.mu.Lock()
	now := f.now()
	asOf := f.table.AsOf()
	from, behind := f.mesh.PullFrom(now, asOf)
	if !behind {
		f.mesh.Confirmed(now, asOf)
	}
	f.mu.Unlock()
	if !behind {
		return
	}
	if err := f.pull(ctx, from.Address, asOf); err != nil {
		f.log.Warn().Str(logging.Peer, from.ID).Uint16(logging.Code, errorCode(err)).Err(err).Msg("pull_failed")
	}
}

// pull reads the records after a revision from a peer.
func (f *Forwarder) pull(ctx context.Context, from netip.AddrPort, asOf uint64) error {
	dialer := net.Dialer{Timeout: pullTimeout / 2}
	conn, err := dialer.DialContext(ctx, "tcp4", from.String())
	if err != nil {
		return result.Errorf(result.PeerUnreachable, "pull: %w", err)
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(pullTimeout)); err != nil {
		return result.Errorf(result.PeerUnreachable, "pull: %w", err)
	}
	if err := exchange.WriteFrame(conn, &exchange.Message{Update: directory.Update{Base: asOf}}); err != nil {
		return result.Errorf(result.PeerUnreachable, "pull: %w", err)
	}
	m, err := exchange.ReadFrame(conn, exchange.MaxFrameBytes)
	if err != nil {
		return result.Errorf(result.PeerUnreachable, "pull: %w", err)
	}
	f.mu.Lock()
	for _, p := range m.Members {
		f.mesh.Learn(p, false)
	}
	if m.Status != nil {
		f.mesh.Heard(f.now(), *m.Status)
	}
	f.mu.Unlock()
	f.applyUpdate(m.Update)
	f.mu.Lock()
	f.mesh.Confirmed(f.now(), f.table.AsOf())
	f.mu.Unlock()
	return nil
}

// servePulls answers pulls of other instances.
func (f *Forwarder) servePulls() {
	for {
		conn, err := f.peers.listener.Accept()
		if err != nil {
			if isClosed(err) {
				return
			}
			f.counters.socketErrors.Inc()
			time.Sleep(tickInterval)
			continue
		}
		go f.servePull(conn)
	}
}

// servePull answers with the records after a revision. An answer to a start leaves them out
// while too many are under way.
func (f *Forwarder) servePull(conn net.Conn) {
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(pullTimeout)); err != nil {
		return
	}
	request, err := exchange.ReadFrame(conn, exchange.MaxPullBytes)
	if err != nil {
		f.counters.socketErrors.Inc()
		return
	}
	base := request.Update.Base
	withRecords := true
	if base == 0 {
		select {
		case f.fullAnswers <- struct{}{}:
			defer func() { <-f.fullAnswers }()
		default:
			withRecords = false // the caller asks one of the members
		}
	}
	f.mu.Lock()
	status := f.status(f.now())
	answer := exchange.Message{Status: &status, Members: f.mesh.Members()}
	if withRecords {
		answer.Update = directory.Update{Base: base, AsOf: f.table.AsOf(), Records: f.table.Since(base)}
	}
	f.mu.Unlock()
	if err := exchange.WriteFrame(conn, &answer); err != nil {
		f.counters.socketErrors.Inc()
	}
}
