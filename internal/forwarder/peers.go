package forwarder

import (
	"context"
	"fmt"
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
	// pullTimeout limits the duration of a pull, on both sides.
	pullTimeout = time.Second
	// maxConcurrentFullPulls limits concurrent responses that contain all records. Compressing
	// one takes about 1 MB of memory, and 100 instances that start at once may pull from the same
	// seed.
	maxConcurrentFullPulls = 4
)

// peers holds the sockets for messages between instances.
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

// servePeers handles datagrams and pulls of other instances until the sockets are closed.
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
			f.events.logMalformed(from, err)
			continue
		}
		f.handleMessage(m, from)
	}
}

// handleMessage applies a datagram from a peer.
func (f *Forwarder) handleMessage(m *exchange.Message, from netip.AddrPort) {
	now := f.now()
	f.mu.Lock()
	if m.Status != nil {
		f.mesh.ApplyStatus(now, *m.Status)
		if m.Loads != nil && m.Status.Domain == f.self.Domain {
			f.engine.SetPeerLoads(now, m.Status.ID, m.Loads)
		}
		for _, d := range m.LeastLoaded {
			if d.Domain != f.self.Domain {
				f.engine.SetLeastLoadedServers(now, d.Domain, d.Loads)
			}
		}
	}
	var actions []forwarding.Action
	for _, cookie := range m.Suspects {
		actions = append(actions, f.engine.Suspect(now, cookie)...)
	}
	for _, cookie := range m.Asks {
		f.askers.add(now, cookie, from)
		actions = append(actions, f.engine.Ask(now, cookie)...)
	}
	for _, cookie := range m.Resets {
		actions = append(actions, f.engine.ConfirmUnreachable(now, cookie)...)
	}
	for _, cookie := range m.Alive {
		f.engine.SettledAlive(now, cookie)
	}
	f.engine.AddPeerFailures(now, m.Failures)
	f.mu.Unlock()
	f.perform(actions)
	if len(m.Update.Records) > 0 && !m.Update.Complete { // a complete update comes only as the answer to a pull
		f.applyUpdate(m.Update)
	}
}

// applyUpdate applies records received from a peer.
func (f *Forwarder) applyUpdate(u directory.Update) {
	f.mu.Lock()
	changed := f.table.Apply(f.now(), u)
	f.mu.Unlock()
	f.apply(changed)
}

// runStatusLoop sends the status at a fixed interval, pulls missing records and removes expired
// state.
func (f *Forwarder) runStatusLoop(ctx context.Context) {
	ticker := time.NewTicker(mesh.StatusInterval)
	defer ticker.Stop()
	for {
		f.sendStatus()
		f.startPull(ctx)
		f.mu.Lock()
		f.table.Expire(f.now())
		f.mesh.Forget(f.now())
		f.mu.Unlock()
		f.tickEvacuations()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// status returns the status of this instance. The caller must hold mu.
func (f *Forwarder) status(now time.Duration) mesh.Status {
	return f.mesh.OwnStatus(now, f.incarnation, uint64(f.table.AsOf()), f.lifecycle.leaving.Load())
}

// sendStatus sends status and loads to peers in the same failure domain. The delegate of a
// failure domain also sends its least loaded servers to other failure domains and forwards
// those of other failure domains to its own.
func (f *Forwarder) sendStatus() {
	now := f.now()
	f.mu.Lock()
	status := f.status(now)
	withLoads, statusOnly := f.mesh.DomainPeers(now)
	m := exchange.Message{Status: &status, Loads: f.engine.Loads()}
	foreignMessage := exchange.Message{Status: &status}
	var foreign []netip.AddrPort
	if f.mesh.IsDelegate(now) {
		for _, d := range f.mesh.ForeignDomains() {
			if loads, ok := f.engine.LeastLoadedServersOf(d); ok {
				m.LeastLoaded = append(m.LeastLoaded, exchange.DomainLeastLoaded{Domain: d, Loads: loads})
			}
		}
		foreign = f.mesh.ForeignPeers(now)
		foreignMessage.LeastLoaded = []exchange.DomainLeastLoaded{{Domain: f.self.Domain, Loads: f.engine.LeastLoadedServers(now)}}
	}
	failures := f.engine.TakeFailures()
	var domainPeers []netip.AddrPort
	if len(failures) > 0 {
		domainPeers = f.mesh.AliveDomainPeers(now)
	}
	f.mu.Unlock()
	f.sendDatagram(&exchange.Message{Failures: failures}, domainPeers)
	f.sendDatagram(&m, withLoads)
	f.sendDatagram(&exchange.Message{Status: &status}, statusOnly)
	f.sendDatagram(&foreignMessage, foreign)
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

// pushUpdate sends changes that were just read from the store to the peers in the same
// failure domain.
func (f *Forwarder) pushUpdate(u directory.Update) {
	f.mu.Lock()
	m := exchange.Message{Update: f.table.WithDeltas(u)}
	to := f.mesh.AliveDomainPeers(f.now())
	f.mu.Unlock()
	b := exchange.Append(nil, &m)
	if len(b) > exchange.MaxDatagramBytes {
		f.sendStatus() // too large for a datagram; peers see the new position and pull
		return
	}
	f.sendEncoded(b, to)
}

// sendToDomain sends a message to the peers in the same failure domain.
func (f *Forwarder) sendToDomain(m *exchange.Message) {
	f.mu.Lock()
	to := f.mesh.AliveDomainPeers(f.now())
	f.mu.Unlock()
	f.sendDatagram(m, to)
}

// askSettlers asks the settlers of a server whether it is alive.
func (f *Forwarder) askSettlers(cookie uint32) {
	f.mu.Lock()
	to := f.mesh.Settlers(f.now(), cookie)
	f.mu.Unlock()
	f.sendDatagram(&exchange.Message{Asks: []uint32{cookie}}, to)
}

// tellAskers answers the peers that asked about a server.
func (f *Forwarder) tellAskers(cookie uint32, alive bool) {
	f.mu.Lock()
	to := f.askers.take(f.now(), cookie)
	f.mu.Unlock()
	m := exchange.Message{Suspects: []uint32{cookie}}
	if alive {
		m = exchange.Message{Alive: []uint32{cookie}}
	}
	f.sendDatagram(&m, to)
}

// startPull pulls missing records in the background, one pull at a time: a peer that does not answer
// must not delay the status messages, without which this instance would not count as alive.
func (f *Forwarder) startPull(ctx context.Context) {
	if !f.pulling.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer f.pulling.Store(false)
		f.pullMissing(ctx)
	}()
}

// pullMissing pulls records from a peer whose records are ahead, if there is one.
func (f *Forwarder) pullMissing(ctx context.Context) {
	f.mu.Lock()
	now := f.now()
	asOf := f.table.AsOf()
	from, behind := f.mesh.PullFrom(now, uint64(asOf))
	if !behind {
		f.mesh.ApplyConfirmations(now, uint64(asOf))
	}
	f.mu.Unlock()
	if !behind {
		return
	}
	if err := f.pull(ctx, from.Address, asOf); err != nil {
		f.mu.Lock()
		f.mesh.PullFailed(f.now(), from.ID)
		f.mu.Unlock()
		f.log.Warn().Str(logging.Peer, from.ID).Uint16(logging.Code, errorCode(err)).Err(err).Msg("pull_failed")
	}
}

// pull requests the records after a position from a peer and applies them.
func (f *Forwarder) pull(ctx context.Context, from netip.AddrPort, asOf directory.Position) error {
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
	switch {
	case result.CodeOf(err) == result.PeerProtocol:
		return fmt.Errorf("pull: %w", err)
	case err != nil:
		return result.Errorf(result.PeerUnreachable, "pull: %w", err)
	}
	f.mu.Lock()
	for _, p := range m.Members {
		f.mesh.AddPeer(p)
	}
	if m.Status != nil {
		f.mesh.ApplyStatus(f.now(), *m.Status)
	}
	f.mu.Unlock()
	f.applyUpdate(m.Update)
	f.mu.Lock()
	f.mesh.ApplyConfirmations(f.now(), uint64(f.table.AsOf()))
	f.mu.Unlock()
	return nil
}

// servePulls accepts pull connections from other instances.
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

// servePull responds with the records after a position. A pull of all records gets a
// response without records while too many of them are in progress.
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
	f.mu.Lock()
	era := f.table.AsOf().Era()
	f.mu.Unlock()
	withRecords := true
	if base == 0 || base.Era() < era {
		select {
		case f.fullPullSlots <- struct{}{}:
			defer func() { <-f.fullPullSlots }()
		default:
			withRecords = false // the requester pulls from one of the members instead
		}
	}
	f.mu.Lock()
	status := f.status(f.now())
	response := exchange.Message{Status: &status, Members: f.mesh.Members()}
	if withRecords {
		response.Update = f.table.UpdateSince(base)
	}
	f.mu.Unlock()
	if err := exchange.WriteFrame(conn, &response); err != nil {
		f.counters.socketErrors.Inc()
	}
}
