package daemon

import (
	"encoding/binary"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/monsoonthread/monsoonthread/backend"
	"github.com/monsoonthread/monsoonthread/config"
	"github.com/monsoonthread/monsoonthread/dispatch"
	"github.com/monsoonthread/monsoonthread/edge"
	"github.com/monsoonthread/monsoonthread/result"
)

const (
	// messageIDLifetime is EXCHANGE_LIFETIME of RFC 7252, within which a message ID
	// must not be reused between the same endpoints.
	messageIDLifetime = 247 * time.Second
	messageIDCount    = 1 << 16
	// backendSocketCount is the number of UDP source ports. Each allows 265 messages a
	// second to one backend server, so 16 allow 4,240.
	backendSocketCount = 16
	// ackTimeout is the first retransmission delay, which doubles each time. Backend
	// servers are about 1.5 ms away and acknowledge immediately.
	ackTimeout = 200 * time.Millisecond
	// registrationTimeout bounds a stream's registration at a backend server.
	registrationTimeout = 2 * time.Second
	healthTimeout       = 300 * time.Millisecond
	tokenBytes          = 8
)

// backendExchange is a confirmable message to a backend server that waits for its
// answer.
type backendExchange struct {
	server   config.BackendServer
	grant    uint64 // ID of the scheduler's grant; 0 if the message occupies no slot
	socket   int
	message  *edge.Message
	datagram []byte
	id       uint16
	token    uint64
	deadline time.Time
	// resendUntil bounds retransmissions; it is earlier for non-idempotent requests.
	resendUntil time.Time
	delay       time.Duration
	acked       bool
	// renews is set for the registration of an observation that exists, whose notifications have the
	// same token.
	renews bool
	timer  *time.Timer
	// end is called once, with the answer or with nil if none arrived before the
	// deadline.
	end func(answer *edge.Message)
}

// isAnsweredBy reports whether a message with the token of the exchange answers it. An acknowledgement
// belongs to the message with its ID: a retransmitted registration is answered twice, and the second
// answer must not count for the registration that renews the observation. Other messages may be notifications
// of the observation, sent before such a registration, until that is acknowledged.
func (x *backendExchange) isAnsweredBy(m *edge.Message) bool {
	if m.Type == edge.Acknowledgement {
		return m.ID == x.id
	}
	return !x.renews || x.acked
}

// observation maps a backend server's notifications to a stream.
type observation struct {
	stream *stream
	server string
	addr   netip.AddrPort
}

// backendClient exchanges CoAP messages with backend servers from several UDP source
// ports.
type backendClient struct {
	daemon  *Daemon
	sockets []*net.UDPConn

	mu           sync.Mutex
	nextToken    uint64
	byToken      map[uint64]*backendExchange
	byGrant      map[uint64]uint64     // token by grant ID
	byMessage    map[messageKey]uint64 // token by message ID
	observations map[uint64]*observation
	ids          map[netip.AddrPort]*idAllocator
}

type messageKey struct {
	addr   netip.AddrPort
	socket int
	id     uint16
}

// idAllocator allocates message IDs for one backend server so that none is reused on
// the same source port within EXCHANGE_LIFETIME.
type idAllocator struct {
	next  [backendSocketCount]uint32
	start [backendSocketCount]time.Time
}

// take returns a socket and message ID; ok is false if all IDs are in use.
func (a *idAllocator) take(now time.Time) (socket int, id uint16, ok bool) {
	for i := range a.next {
		if a.next[i] >= messageIDCount && now.Sub(a.start[i]) >= messageIDLifetime {
			a.next[i] = 0
		}
		if a.next[i] >= messageIDCount {
			continue
		}
		if a.next[i] == 0 {
			a.start[i] = now
		}
		id := uint16(a.next[i])
		a.next[i]++
		if a.next[i] == messageIDCount {
			// The lifetime starts with the last use of an ID.
			a.start[i] = now
		}
		return i, id, true
	}
	return 0, 0, false
}

func newBackendClient(d *Daemon, sourceIP string) (*backendClient, error) {
	ip, err := netip.ParseAddr(sourceIP)
	if err != nil {
		return nil, fmt.Errorf("backend-source-ip: %w", err)
	}
	b := &backendClient{daemon: d, nextToken: randomUint64(), byToken: map[uint64]*backendExchange{}, byGrant: map[uint64]uint64{},
		byMessage: map[messageKey]uint64{}, observations: map[uint64]*observation{}, ids: map[netip.AddrPort]*idAllocator{}}
	for i := range backendSocketCount {
		conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, 0)))
		if err != nil {
			b.close()
			return nil, fmt.Errorf("open socket to backend servers: %w", err)
		}
		_ = conn.SetReadBuffer(socketBufferBytes)
		b.sockets = append(b.sockets, conn)
		d.spawn(func() { b.read(i, conn) })
	}
	return b, nil
}

func (b *backendClient) close() {
	for _, s := range b.sockets {
		s.Close()
	}
}

// run sends a granted request and reports its outcome through finish.
func (b *backendClient) run(run dispatch.Run, job *dispatchJob, finish func(backend.Outcome, outcome)) {
	m, err := edge.Decode(job.request)
	if err != nil {
		finish(backend.Shed, outcome{err: result.Errorf(result.NoBackendServer, "relayed request is malformed: %w", err)})
		return
	}
	now := time.Now()
	deadline := run.Request.Deadline
	m.SetDeadline(uint32(max(deadline.Sub(now).Milliseconds(), 1)))
	resendUntil := deadline
	if !run.Request.Idempotent {
		resendUntil = earlier(deadline, now.Add(b.daemon.settings.NonIdempotentRetransmit))
	}
	x := &backendExchange{server: run.Server, grant: run.GrantID, deadline: deadline, resendUntil: resendUntil}
	x.end = func(answer *edge.Message) { finish(outcomeFrom(answer, run.Server.Name)) }
	if !b.begin(x, m, now) {
		finish(backend.Shed, outcome{err: result.Errorf(result.NoBackendServer, "all message IDs towards backend server %s are in use", run.Server.Name)})
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// outcomeFrom classifies a backend server's answer. A shed answer proves that the
// request was not run; a missing answer proves nothing.
func outcomeFrom(answer *edge.Message, server string) (backend.Outcome, outcome) {
	if answer == nil {
		return backend.Timeout, outcome{err: result.Errorf(result.BackendTimeout, "outcome unknown: backend server %s did not answer before the deadline", server)}
	}
	if answer.Type == edge.Reset {
		return backend.Error, outcome{err: result.Errorf(result.BackendFailed, "outcome unknown: backend server %s reset the exchange", server)}
	}
	if answer.Code == edge.ServiceUnavailable {
		return backend.Shed, outcome{server: server, retryAfter: time.Duration(answer.MaxAge()) * time.Second,
			err: result.Errorf(result.BackendShed, "not run: backend server %s shed the request", server)}
	}
	answer = answer.Clone()
	answer.Token, answer.ID = nil, 0
	b, err := answer.Encode()
	if err != nil {
		return backend.Error, outcome{err: result.Errorf(result.BackendFailed, "outcome unknown: answer of backend server %s: %w", server, err)}
	}
	return backend.Success, outcome{response: b, server: server}
}

// begin sends the first transmission. It returns false if no message ID is free or the
// message cannot be encoded.
func (b *backendClient) begin(x *backendExchange, m *edge.Message, now time.Time) bool {
	b.mu.Lock()
	alloc := b.ids[x.server.Address]
	if alloc == nil {
		alloc = &idAllocator{}
		b.ids[x.server.Address] = alloc
	}
	socket, id, ok := alloc.take(now)
	if !ok {
		b.mu.Unlock()
		return false
	}
	x.socket, x.id, x.delay = socket, id, ackTimeout
	if x.token == 0 {
		x.token = b.newToken()
	}
	m.Type, m.ID, m.Token = edge.Confirmable, id, binary.BigEndian.AppendUint64(nil, x.token)
	datagram, err := m.Encode()
	if err != nil {
		b.mu.Unlock()
		b.daemon.violation("backend_request_encodes", err.Error())
		return false
	}
	x.message, x.datagram = m, datagram
	b.byToken[x.token] = x
	b.byMessage[messageKey{x.server.Address, socket, id}] = x.token
	if x.grant != 0 {
		b.byGrant[x.grant] = x.token
	}
	x.timer = time.AfterFunc(min(x.delay, time.Until(x.deadline)), func() { b.handleTimer(x) })
	b.mu.Unlock()
	b.transmit(x)
	return true
}

// newToken returns a token that is unique in this process. b.mu is held.
func (b *backendClient) newToken() uint64 {
	b.nextToken++
	return b.nextToken
}

func (b *backendClient) transmit(x *backendExchange) {
	if b.daemon.faults.dropsServerTraffic(x.server.Domain) {
		return
	}
	b.daemon.metrics.backendSent.Inc()
	if _, err := b.sockets[x.socket].WriteToUDPAddrPort(x.datagram, x.server.Address); err != nil {
		b.daemon.metrics.sendErrors.Inc()
	}
}

// handleTimer retransmits the message, or ends the exchange at its deadline.
func (b *backendClient) handleTimer(x *backendExchange) {
	now := time.Now()
	b.mu.Lock()
	if b.byToken[x.token] != x {
		b.mu.Unlock()
		return
	}
	if !now.Before(x.deadline) {
		b.remove(x)
		b.mu.Unlock()
		x.end(nil)
		return
	}
	resend := !x.acked && now.Before(x.resendUntil) && !b.daemon.members.fenced(now)
	if resend {
		x.refreshDeadline(now)
	}
	x.delay *= 2
	x.timer.Reset(min(x.delay, x.deadline.Sub(now)))
	b.mu.Unlock()
	if resend {
		b.daemon.metrics.backendResent.Inc()
		b.transmit(x)
	}
}

// refreshDeadline sets the remaining time in a retransmission. If the first transmission
// is lost and the retransmission repeats its remaining time, the server runs the request
// past the deadline, at which its slot is considered free.
func (x *backendExchange) refreshDeadline(now time.Time) {
	if _, ok := x.message.Deadline(); !ok {
		return
	}
	x.message.SetDeadline(uint32(max(x.deadline.Sub(now).Milliseconds(), 1)))
	if datagram, err := x.message.Encode(); err == nil {
		x.datagram = datagram
	}
}

// remove deletes an exchange. b.mu is held.
func (b *backendClient) remove(x *backendExchange) {
	x.timer.Stop()
	delete(b.byToken, x.token)
	delete(b.byMessage, messageKey{x.server.Address, x.socket, x.id})
	if x.grant != 0 {
		delete(b.byGrant, x.grant)
	}
}

// cancel resets a request that nobody waits for. Its slot stays occupied until the
// server answers or the deadline passes.
func (b *backendClient) cancel(grant uint64) {
	b.mu.Lock()
	x := b.byToken[b.byGrant[grant]]
	b.mu.Unlock()
	if x != nil {
		b.write(x.socket, x.server.Address, edge.NewEmptyMessage(edge.Reset, x.id))
	}
}

func (b *backendClient) write(socket int, to netip.AddrPort, m *edge.Message) {
	datagram, err := m.Encode()
	if err == nil {
		_, err = b.sockets[socket].WriteToUDPAddrPort(datagram, to)
	}
	if err != nil {
		b.daemon.metrics.sendErrors.Inc()
	}
}

// query sends a GET that occupies no slot, used for health checks.
func (b *backendClient) query(server config.BackendServer, path string, end func(*edge.Message)) {
	m, err := edge.NewRequest(edge.GET, path)
	if err != nil {
		end(nil)
		return
	}
	now := time.Now()
	x := &backendExchange{server: server, deadline: now.Add(healthTimeout), resendUntil: now.Add(healthTimeout), end: end}
	if !b.begin(x, m, now) {
		end(nil)
	}
}

// observe registers a stream at a backend server. The observation is recorded first,
// because a notification may arrive at once.
func (b *backendClient) observe(st *stream, server config.BackendServer, m *edge.Message, token uint64, end func(*edge.Message)) bool {
	now := time.Now()
	x := &backendExchange{server: server, token: token, deadline: now.Add(registrationTimeout), resendUntil: now.Add(registrationTimeout), end: end}
	b.mu.Lock()
	x.renews = b.observations[token] != nil
	b.observations[token] = &observation{stream: st, server: server.Name, addr: server.Address}
	b.mu.Unlock()
	m.SetObserve(0)
	if b.begin(x, m, now) {
		return true
	}
	b.forget(token)
	return false
}

// forget removes an observation; later notifications are answered with Reset.
func (b *backendClient) forget(token uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.observations, token)
}

// unobserve cancels an observation at the backend server.
func (b *backendClient) unobserve(server config.BackendServer, m *edge.Message, token uint64) {
	b.forget(token)
	now := time.Now()
	m.SetObserve(1)
	x := &backendExchange{server: server, token: token, deadline: now.Add(registrationTimeout), resendUntil: now.Add(registrationTimeout), end: func(*edge.Message) {}}
	b.begin(x, m, now)
}

// reserveToken returns a token for a new observation.
func (b *backendClient) reserveToken() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.newToken()
}
