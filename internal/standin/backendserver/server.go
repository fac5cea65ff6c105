package backendserver

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
)

const (
	// piggybackLimit is the longest work whose response is carried by the acknowledgement.
	piggybackLimit = 20 * time.Millisecond
	// ackTimeout and maxRetransmit are ACK_TIMEOUT and MAX_RETRANSMIT of RFC 7252.
	ackTimeout    = 2 * time.Second
	maxRetransmit = 4
	// sweepInterval is the resolution of retransmissions and of the expiry of message IDs.
	sweepInterval = 250 * time.Millisecond
	// confirmEvery is the number of notifications of an observer per confirmable one.
	confirmEvery = 10
	// rememberedMIDs is the number of notifications that a Reset can refer to.
	rememberedMIDs = 4
	// maxSigmas bounds log-normal durations, so that a single request cannot take
	// arbitrarily long.
	maxSigmas = 3
)

// exchange is a received message ID and what was sent for it.
type exchange struct {
	key     messageKey
	expires time.Time
	reply   []byte // nil while the work runs without an acknowledgement
}

// request is work that occupies a slot.
type request struct {
	key      tokenKey
	mid      messageKey
	con      bool
	token    message.Token
	entry    Execution
	start    time.Time
	separate bool
	timer    *time.Timer
	exchange *exchange
	response message.Message
	done     bool
}

// observer is a registered stream; it occupies a connection.
type observer struct {
	key   tokenKey
	token message.Token
	path  string
	mids  [rememberedMIDs]uint16
	sent  int
}

// outgoing is a confirmable message of the server that waits for its acknowledgement.
type outgoing struct {
	key      messageKey
	datagram []byte
	next     time.Time
	timeout  time.Duration
	attempts int
	observer *observer // nil for a separate response
}

// sample is the state at a time, for lagging endpoints.
type sample struct {
	at       time.Time
	running  int
	draining bool
}

// Server is one backend server. It is safe for concurrent use.
type Server struct {
	spec     Spec
	conn     *net.UDPConn
	log      *Log
	archives *archiveStore
	stop     chan struct{}
	loops    sync.WaitGroup

	mu        sync.Mutex // protects the fields below
	rng       *rand.Rand
	behaviour Behaviour
	started   time.Time
	dead      bool
	silent    bool
	drainedAt time.Time // zero unless draining
	drainEnds time.Time
	ended     bool
	running   map[tokenKey]*request
	byMID     map[messageKey]*request
	observers map[tokenKey]*observer
	exchanges map[messageKey]*exchange
	expiry    []*exchange // oldest first
	outbox    map[messageKey]*outgoing
	nextMID   map[netip.AddrPort]uint16
	debt      time.Duration // time by which earlier timers were late
	history   []sample
	status    Status
}

func newServer(spec Spec, log *Log, archives *archiveStore) (*Server, error) {
	spec, err := spec.withDefaults()
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(spec.Address))
	if err != nil {
		return nil, fmt.Errorf("backend server %s: listen on %v: %w", spec.Name, spec.Address, err)
	}
	_ = conn.SetReadBuffer(1 << 20) // a smaller buffer than asked for is no error
	spec.Address = conn.LocalAddr().(*net.UDPAddr).AddrPort()
	spec.Address = netip.AddrPortFrom(spec.Address.Addr().Unmap(), spec.Address.Port())
	s := &Server{
		spec: spec, conn: conn, log: log, archives: archives, stop: make(chan struct{}),
		rng: rand.New(rand.NewPCG(spec.Seed, uint64(spec.Address.Port()))), started: time.Now(),
		running: map[tokenKey]*request{}, byMID: map[messageKey]*request{},
		observers: map[tokenKey]*observer{}, exchanges: map[messageKey]*exchange{},
		outbox: map[messageKey]*outgoing{}, nextMID: map[netip.AddrPort]uint16{},
	}
	s.loops.Add(3)
	go s.readLoop()
	go s.tickLoop()
	go s.sweepLoop()
	return s, nil
}

// Address returns the address at which the server listens.
func (s *Server) Address() netip.AddrPort { return s.spec.Address }

// Kill stops the server without a word to anyone. A silent server keeps its socket, as a
// machine without power whose address nobody answers for; otherwise the socket closes, as
// after the end of the process.
func (s *Server) Kill(silent bool) {
	s.mu.Lock()
	if s.dead {
		s.mu.Unlock()
		return
	}
	s.dead, s.silent = true, silent
	for _, r := range s.running {
		r.timer.Stop()
		s.finishLocked(r, true)
	}
	s.mu.Unlock()
	close(s.stop)
	if !silent {
		_ = s.conn.Close()
		s.loops.Wait()
	}
}

// Close ends the server and its goroutines.
func (s *Server) Close() {
	s.Kill(false)
	_ = s.conn.Close() // already closed unless the server was killed silently
	s.loops.Wait()
}

// Drain starts to drain; the streams left after the period are ended. A negative period
// ends the drain and the server is active again.
func (s *Server) Drain(period time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if period < 0 {
		s.drainedAt, s.drainEnds, s.ended = time.Time{}, time.Time{}, false
	} else {
		s.drainedAt, s.drainEnds = now, now.Add(period)
	}
	s.recordLocked(now)
}

// SetBehaviour replaces the settings that change while the server runs.
func (s *Server) SetBehaviour(b Behaviour) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behaviour = b
}

// Status returns the state and the counters.
func (s *Server) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.status
	st.Name, st.Service, st.Domain = s.spec.Name, s.spec.Service, s.spec.Domain
	st.Address = s.spec.Address
	st.Alive, st.Draining = !s.dead, !s.drainedAt.IsZero()
	st.Slots, st.Running, st.Streams = s.spec.Slots, len(s.running), len(s.observers)
	st.Speed = s.speedLocked(time.Now())
	now := time.Now()
	for _, r := range s.running {
		st.BusyUS += now.Sub(r.start).Microseconds()
	}
	return st
}

func (s *Server) readLoop() {
	defer s.loops.Done()
	buf := make([]byte, maxMessage)
	var m message.Message
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // an ICMP error of an earlier datagram
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		s.mu.Lock()
		if s.dead {
			s.mu.Unlock()
			continue
		}
		if err := decodeMessage(buf[:n], &m); err != nil {
			s.status.Malformed++
		} else {
			s.receiveLocked(from, &m)
		}
		s.mu.Unlock()
	}
}

func (s *Server) receiveLocked(from netip.AddrPort, m *message.Message) {
	key := messageKey{remote: from, id: uint16(m.MessageID)}
	switch {
	case m.Type == message.Acknowledgement:
		delete(s.outbox, key)
	case m.Type == message.Reset:
		s.resetLocked(key)
	case m.Code == codes.Empty && len(m.Token) > 0:
		s.cancelLocked(tokenKey{remote: from, token: string(m.Token)})
		s.emptyLocked(key, m.Type)
	case m.Code == codes.Empty:
		s.sendLocked(message.Message{Type: message.Reset, MessageID: m.MessageID}, from) // ping
	case isRequest(m.Code):
		s.requestLocked(time.Now(), key, m)
	default:
		s.status.Malformed++
	}
}

// emptyLocked acknowledges a confirmable message.
func (s *Server) emptyLocked(key messageKey, t message.Type) {
	if t == message.Confirmable {
		s.sendLocked(message.Message{Type: message.Acknowledgement, MessageID: int32(key.id)}, key.remote)
	}
}

// resetLocked handles a Reset to the acknowledgement of running work, to a separate
// response or to a notification.
func (s *Server) resetLocked(key messageKey) {
	if r, ok := s.byMID[key]; ok {
		s.cancelLocked(r.key)
		return
	}
	if o, ok := s.outbox[key]; ok {
		delete(s.outbox, key)
		if o.observer != nil {
			delete(s.observers, o.observer.key)
		}
		return
	}
	for k, o := range s.observers {
		if k.remote == key.remote && slices.Contains(o.mids[:min(o.sent, rememberedMIDs)], key.id) {
			delete(s.observers, k)
			return
		}
	}
}

// cancelLocked ends running work or a stream.
func (s *Server) cancelLocked(key tokenKey) {
	if r, ok := s.running[key]; ok && r.timer.Stop() {
		s.status.Cancelled++
		s.finishLocked(r, true)
	}
	delete(s.observers, key)
}

func (s *Server) requestLocked(now time.Time, key messageKey, m *message.Message) {
	if ex, ok := s.exchanges[key]; ok && now.Before(ex.expires) {
		s.status.Deduplicated++
		if ex.reply != nil && m.Type == message.Confirmable {
			s.writeLocked(ex.reply, key.remote)
		}
		return
	}
	ex := &exchange{key: key, expires: now.Add(ExchangeLifetime)}
	s.exchanges[key] = ex
	s.expiry = append(s.expiry, ex)

	path := requestPath(m.Options)
	service, rest, _ := strings.Cut(path, "/")
	kind, name, _ := strings.Cut(rest, "/")
	switch {
	case path == "health":
		s.healthLocked(now, ex, m)
	case path == "load":
		s.loadLocked(now, ex, m)
	case service != s.spec.Service:
		s.status.Misdelivered++
		s.replyLocked(ex, m, message.Message{Code: codes.NotFound, Payload: []byte("path of another service")})
	case kind == "watch" && m.Code == codes.GET && m.Options.HasOption(message.Observe):
		s.observeLocked(now, ex, m, path)
	case kind == "archive" && m.Code == codes.GET:
		s.archiveLocked(now, ex, m, path, name)
	default:
		took := s.durationLocked(now, s.spec.MeanWorkMS)
		if kind == "probe" {
			took = time.Duration(s.spec.ProbeWorkMS * float64(time.Millisecond))
		}
		s.startLocked(now, ex, m, path, took, message.Message{
			Code: successCode(m.Code), Payload: []byte("done " + path),
		})
	}
}

// successCode is the response code for a method.
func successCode(method codes.Code) codes.Code {
	switch method {
	case codes.POST, codes.PUT, codes.PATCH, codes.IPATCH:
		return codes.Changed
	case codes.DELETE:
		return codes.Deleted
	}
	return codes.Content
}

// replyLocked answers in the acknowledgement, or with a non-confirmable message.
func (s *Server) replyLocked(ex *exchange, req *message.Message, resp message.Message) {
	resp.Token = req.Token
	resp.MessageID = int32(ex.key.id)
	resp.Type = message.Acknowledgement
	if req.Type != message.Confirmable {
		resp.Type = message.NonConfirmable
		resp.MessageID = int32(s.midLocked(ex.key.remote))
	}
	ex.reply = s.sendLocked(resp, ex.key.remote)
}

func (s *Server) shedLocked(ex *exchange, m *message.Message, text string) {
	s.replyLocked(ex, m, message.Message{
		Code: codes.ServiceUnavailable, Options: addUint(nil, message.MaxAge, defaultShedMaxAge), Payload: []byte(text),
	})
}

// startLocked runs work in a slot or sheds it.
func (s *Server) startLocked(now time.Time, ex *exchange, m *message.Message, path string, took time.Duration, resp message.Message) {
	if !s.drainedAt.IsZero() {
		s.noteWorkLocked(now)
		if s.ended {
			s.shedWorkLocked(now, ex, m, path, "draining")
			return
		}
	}
	if full := len(s.running) >= s.spec.Slots; full || s.behaviour.ShedAll {
		if full {
			s.status.Overruns++
		}
		s.shedWorkLocked(now, ex, m, path, "slots busy")
		return
	}
	key := tokenKey{remote: ex.key.remote, token: string(m.Token)}
	if _, ok := s.running[key]; ok {
		s.replyLocked(ex, m, message.Message{Code: codes.BadRequest, Payload: []byte("token in use")})
		return
	}
	r := &request{
		key: key, mid: ex.key, con: m.Type == message.Confirmable, token: slices.Clone(m.Token),
		start: now, exchange: ex, response: resp,
		entry: s.entryLocked(now, ex, m, path),
	}
	abandon := false
	if ms, err := m.Options.GetUint32(DeadlineOption); err == nil && time.Duration(ms)*time.Millisecond < took {
		took, abandon = time.Duration(ms)*time.Millisecond, true
	}
	r.separate = took > piggybackLimit
	s.running[key], s.byMID[ex.key] = r, r
	s.recordLocked(now)
	if r.separate && r.con {
		ex.reply = s.sendLocked(message.Message{Type: message.Acknowledgement, MessageID: m.MessageID}, ex.key.remote)
	}
	wait := took - s.debt
	s.debt = max(0, -wait)
	planned := now.Add(max(0, wait))
	r.timer = time.AfterFunc(max(0, wait), func() { s.complete(r, planned, abandon) })
}

// shedWorkLocked refuses work and logs it if it can be followed by its payload ID.
func (s *Server) shedWorkLocked(now time.Time, ex *exchange, m *message.Message, path, text string) {
	s.status.Shed++
	s.shedLocked(ex, m, text)
	if e := s.entryLocked(now, ex, m, path); e.PayloadID != "" {
		e.Shed, e.EndUS, e.Slots = true, e.StartUS, e.Slots-1
		s.log.append(e)
	}
}

// entryLocked is the log entry of a request that starts now.
func (s *Server) entryLocked(now time.Time, ex *exchange, m *message.Message, path string) Execution {
	return Execution{
		Server: s.spec.Name, Service: s.spec.Service, Method: m.Code.String(), Path: path,
		PayloadID: payloadID(m.Payload), StartUS: now.UnixMicro(), Slots: len(s.running) + 1,
		Remote: ex.key.remote, MessageID: ex.key.id,
	}
}

// complete ends work at its planned time; the lateness of the timer is taken off later
// work, so that the mean duration is right although timers have a resolution of 1 ms.
func (s *Server) complete(r *request, planned time.Time, abandoned bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.done || s.dead {
		return
	}
	s.debt += min(max(0, time.Since(planned)), maxDebt)
	s.finishLocked(r, abandoned)
	resp := r.response
	if abandoned {
		resp = message.Message{Code: codes.GatewayTimeout, Payload: []byte("abandoned at the deadline")}
	}
	resp.Token = r.token
	if !r.separate && r.con {
		resp.Type, resp.MessageID = message.Acknowledgement, int32(r.mid.id)
		r.exchange.reply = s.sendLocked(resp, r.key.remote)
		return
	}
	mid := s.midLocked(r.key.remote)
	resp.MessageID, resp.Type = int32(mid), message.NonConfirmable
	if r.con {
		resp.Type = message.Confirmable
	}
	datagram := s.sendLocked(resp, r.key.remote)
	if r.con {
		s.expectAckLocked(messageKey{remote: r.key.remote, id: mid}, datagram, nil)
	}
}

// maxDebt bounds the compensation for one timer; a longer delay is a pause of the whole
// process, which must not be followed by a burst.
const maxDebt = 5 * time.Millisecond

// finishLocked frees the slot and writes the log entry.
func (s *Server) finishLocked(r *request, abandoned bool) {
	if r.done {
		return
	}
	r.done = true
	now := time.Now()
	delete(s.running, r.key)
	delete(s.byMID, r.mid)
	s.status.Executed++
	if abandoned {
		s.status.Abandoned++
	}
	s.status.BusyUS += now.Sub(r.start).Microseconds()
	r.entry.EndUS, r.entry.Abandoned = now.UnixMicro(), abandoned
	s.log.append(r.entry)
	s.recordLocked(now)
}

// durationLocked draws a log-normal duration with the mean, scaled by the speed.
func (s *Server) durationLocked(now time.Time, meanMS float64) time.Duration {
	z := min(max(s.rng.NormFloat64(), -maxSigmas), maxSigmas)
	ms := meanMS * math.Exp(s.spec.Sigma*z-s.spec.Sigma*s.spec.Sigma/2) / s.speedLocked(now)
	return time.Duration(ms * float64(time.Millisecond))
}

func (s *Server) speedLocked(now time.Time) float64 {
	speed := s.spec.Speed
	if s.behaviour.Speed > 0 {
		speed = s.behaviour.Speed
	}
	cold := time.Duration(s.spec.ColdStartMS) * time.Millisecond
	if up := now.Sub(s.started); up < cold {
		share := float64(up) / float64(cold)
		speed *= s.spec.ColdFactor + (1-s.spec.ColdFactor)*share
	}
	return speed
}

func (s *Server) noteWorkLocked(now time.Time) {
	s.status.WorkWhileDraining++
	s.status.LastWorkAfterDrainMS = now.Sub(s.drainedAt).Milliseconds()
}

func (s *Server) archiveLocked(now time.Time, ex *exchange, m *message.Message, path, name string) {
	k := archiveKey{service: s.spec.Service, name: name, seed: s.spec.ArchiveSeed, size: s.spec.ArchiveBytes}
	b, err := requestedBlock(m.Options)
	first := b.number * b.szx.Size()
	if err != nil || first >= int64(k.size) {
		s.replyLocked(ex, m, message.Message{Code: codes.BadRequest, Payload: []byte("no such block")})
		return
	}
	content := s.archives.get(k)
	last := min(first+b.szx.Size(), int64(k.size))
	s.startLocked(now, ex, m, path, s.durationLocked(now, s.spec.BlockWorkMS), blockResponse(k, b, content[first:last], last < int64(k.size)))
}

// midLocked returns the next message ID towards an endpoint.
func (s *Server) midLocked(remote netip.AddrPort) uint16 {
	id, ok := s.nextMID[remote]
	if !ok {
		id = uint16(s.rng.Uint32())
	}
	s.nextMID[remote] = id + 1
	return id
}

// sendLocked encodes and writes a message and returns its datagram.
func (s *Server) sendLocked(m message.Message, to netip.AddrPort) []byte {
	b, err := encodeMessage(m)
	if err != nil {
		s.status.Malformed++
		return nil
	}
	s.writeLocked(b, to)
	return b
}

func (s *Server) writeLocked(b []byte, to netip.AddrPort) {
	// A lost datagram is repaired by retransmission.
	_, _ = s.conn.WriteToUDPAddrPort(b, to)
}

func (s *Server) expectAckLocked(key messageKey, datagram []byte, o *observer) {
	s.outbox[key] = &outgoing{
		key: key, datagram: datagram, observer: o, timeout: ackTimeout,
		next: time.Now().Add(ackTimeout),
	}
}

// sweepLoop retransmits, forgets old message IDs and ends drains.
func (s *Server) sweepLoop() {
	defer s.loops.Done()
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case <-s.stop:
			return
		case now := <-t.C:
			s.mu.Lock()
			if !s.dead {
				s.sweepLocked(now)
			}
			s.mu.Unlock()
		}
	}
}

func (s *Server) sweepLocked(now time.Time) {
	for key, o := range s.outbox {
		if now.Before(o.next) {
			continue
		}
		if o.attempts >= maxRetransmit {
			delete(s.outbox, key)
			if o.observer != nil && s.observers[o.observer.key] == o.observer {
				s.status.LostObservers++
				delete(s.observers, o.observer.key)
			}
			continue
		}
		o.attempts++
		o.timeout *= 2
		o.next = now.Add(o.timeout)
		s.writeLocked(o.datagram, key.remote)
	}
	old := 0
	for old < len(s.expiry) && s.expiry[old].expires.Before(now) {
		if ex := s.expiry[old]; s.exchanges[ex.key] == ex {
			delete(s.exchanges, ex.key)
		}
		old++
	}
	s.expiry = slices.Delete(s.expiry, 0, old)
	if !s.drainEnds.IsZero() && !s.ended && now.After(s.drainEnds) {
		s.endDrainLocked()
	}
}
