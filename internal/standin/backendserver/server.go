package backendserver

import (
	"errors"
	"fmt"
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
	// piggybackLimit is the longest work whose response is sent in the acknowledgement.
	piggybackLimit = 20 * time.Millisecond
	// ackTimeout and maxRetransmit are ACK_TIMEOUT and MAX_RETRANSMIT of RFC 7252.
	ackTimeout    = 2 * time.Second
	maxRetransmit = 4
	// sweepInterval is the time resolution of retransmissions, message ID expiry and drains.
	sweepInterval = 250 * time.Millisecond
	// notificationsPerConfirmable is the number of notifications to an observer for each
	// confirmable one.
	notificationsPerConfirmable = 10
	// recentMIDCount is the number of latest notifications that a Reset can reject.
	recentMIDCount = 4
	// maxSigmas truncates log-normal durations, in standard deviations of the logarithm, so
	// that a single request cannot take arbitrarily long.
	maxSigmas = 3
)

// exchange is a received message ID and the reply sent for it, used for deduplication.
type exchange struct {
	key     messageKey
	expires time.Time
	reply   []byte // nil while work runs that has not been acknowledged
}

// request is a running request, which occupies a slot.
type request struct {
	key         tokenKey
	messageKey  messageKey
	confirmable bool
	token       message.Token
	entry       Execution
	start       time.Time
	separate    bool
	timer       *time.Timer
	exchange    *exchange
	response    message.Message
	done        bool
}

// observer is a registered stream, which occupies a connection.
type observer struct {
	key        tokenKey
	token      message.Token
	path       string
	recentMIDs [recentMIDCount]uint16
	sent       int
}

// unackedMessage is a confirmable message from the server that has not been acknowledged.
type unackedMessage struct {
	key      messageKey
	datagram []byte
	next     time.Time
	timeout  time.Duration
	attempts int
	observer *observer // nil for a separate response
}

// stateSample is the state of the server at a time. The health and load endpoints use it to
// report old state.
type stateSample struct {
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

	mu             sync.Mutex // protects the fields below
	rng            *rand.Rand
	behaviour      Behaviour
	started        time.Time
	killed         bool
	silent         bool
	drainedAt      time.Time // zero unless draining
	drainEnds      time.Time
	drainEnded     bool
	running        map[tokenKey]*request
	byMID          map[messageKey]*request
	observers      map[tokenKey]*observer
	exchanges      map[messageKey]*exchange
	exchangeExpiry []*exchange // oldest first
	unacked        map[messageKey]*unackedMessage
	nextMIDs       map[netip.AddrPort]uint16
	timerLag       time.Duration // accumulated delay of earlier timers, not yet compensated
	history        []stateSample
	status         Status
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
	_ = conn.SetReadBuffer(1 << 20) // the kernel may grant a smaller buffer
	spec.Address = conn.LocalAddr().(*net.UDPAddr).AddrPort()
	spec.Address = netip.AddrPortFrom(spec.Address.Addr().Unmap(), spec.Address.Port())
	s := &Server{
		spec: spec, conn: conn, log: log, archives: archives, stop: make(chan struct{}),
		rng: rand.New(rand.NewPCG(spec.Seed, uint64(spec.Address.Port()))), started: time.Now(),
		running: map[tokenKey]*request{}, byMID: map[messageKey]*request{},
		observers: map[tokenKey]*observer{}, exchanges: map[messageKey]*exchange{},
		unacked: map[messageKey]*unackedMessage{}, nextMIDs: map[netip.AddrPort]uint16{},
	}
	s.loops.Add(3)
	go s.readLoop()
	go s.tickLoop()
	go s.sweepLoop()
	return s, nil
}

// Address returns the address at which the server listens.
func (s *Server) Address() netip.AddrPort { return s.spec.Address }

// Kill stops the server without notifying its clients. If silent is true the socket stays
// open and messages to it get no response, as with a machine that lost power. Otherwise the
// socket is closed, as after a process crash.
func (s *Server) Kill(silent bool) {
	s.mu.Lock()
	if s.killed {
		s.mu.Unlock()
		return
	}
	s.killed, s.silent = true, silent
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

// Close stops the server and waits for its goroutines.
func (s *Server) Close() {
	s.Kill(false)
	_ = s.conn.Close() // already closed unless the server was killed silently
	s.loops.Wait()
}

// Drain starts a drain. Streams that remain after the period are ended. A negative period
// cancels the drain and makes the server active again.
func (s *Server) Drain(period time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if period < 0 {
		s.drainedAt, s.drainEnds, s.drainEnded = time.Time{}, time.Time{}, false
	} else {
		s.drainedAt, s.drainEnds = now, now.Add(period)
	}
	s.recordStateLocked(now)
}

// SetBehaviour replaces the settings that can be changed while the server runs.
func (s *Server) SetBehaviour(b Behaviour) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behaviour = b
}

// Status returns the current state and counters.
func (s *Server) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.status
	st.Name, st.Service, st.Domain = s.spec.Name, s.spec.Service, s.spec.Domain
	st.Address = s.spec.Address
	st.Alive, st.Draining = !s.killed, !s.drainedAt.IsZero()
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
	buf := make([]byte, maxMessageBytes)
	var m message.Message
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // for example an ICMP error caused by an earlier datagram
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		s.mu.Lock()
		if s.killed {
			s.mu.Unlock()
			continue
		}
		if err := decodeMessage(buf[:n], &m); err != nil {
			s.status.Malformed++
		} else {
			s.handleMessageLocked(from, &m)
		}
		s.mu.Unlock()
	}
}

func (s *Server) handleMessageLocked(from netip.AddrPort, m *message.Message) {
	key := messageKey{remote: from, id: uint16(m.MessageID)}
	switch {
	case m.Type == message.Acknowledgement:
		delete(s.unacked, key)
	case m.Type == message.Reset:
		s.handleResetLocked(key)
	case m.Code == codes.Empty && len(m.Token) > 0:
		s.cancelLocked(tokenKey{remote: from, token: string(m.Token)})
		s.acknowledgeLocked(key, m.Type)
	case m.Code == codes.Empty:
		s.sendLocked(message.Message{Type: message.Reset, MessageID: m.MessageID}, from) // CoAP ping
	case isRequest(m.Code):
		s.handleRequestLocked(time.Now(), key, m)
	default:
		s.status.Malformed++
	}
}

// acknowledgeLocked acknowledges a confirmable message.
func (s *Server) acknowledgeLocked(key messageKey, t message.Type) {
	if t == message.Confirmable {
		s.sendLocked(message.Message{Type: message.Acknowledgement, MessageID: int32(key.id)}, key.remote)
	}
}

// handleResetLocked handles a Reset that rejects the acknowledgement of running work, a
// separate response or a notification.
func (s *Server) handleResetLocked(key messageKey) {
	if r, ok := s.byMID[key]; ok {
		s.cancelLocked(r.key)
		return
	}
	if msg, ok := s.unacked[key]; ok {
		delete(s.unacked, key)
		if msg.observer != nil {
			delete(s.observers, msg.observer.key)
		}
		return
	}
	for k, o := range s.observers {
		if k.remote == key.remote && slices.Contains(o.recentMIDs[:min(o.sent, recentMIDCount)], key.id) {
			delete(s.observers, k)
			return
		}
	}
}

// cancelLocked cancels the running work or the stream with a token.
func (s *Server) cancelLocked(key tokenKey) {
	if r, ok := s.running[key]; ok && r.timer.Stop() {
		s.status.Cancelled++
		s.finishLocked(r, true)
	}
	delete(s.observers, key)
}

func (s *Server) handleRequestLocked(now time.Time, key messageKey, m *message.Message) {
	if ex, ok := s.exchanges[key]; ok && now.Before(ex.expires) {
		s.status.Deduplicated++
		if ex.reply != nil && m.Type == message.Confirmable {
			s.writeLocked(ex.reply, key.remote)
		}
		return
	}
	ex := &exchange{key: key, expires: now.Add(ExchangeLifetime)}
	s.exchanges[key] = ex
	s.exchangeExpiry = append(s.exchangeExpiry, ex)

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
		duration := s.durationLocked(now, s.spec.MeanWorkMS)
		if kind == "probe" {
			duration = time.Duration(s.spec.ProbeWorkMS * float64(time.Millisecond))
		}
		s.startWorkLocked(now, ex, m, path, duration, message.Message{
			Code: successCode(m.Code), Payload: []byte("done " + path),
		})
	}
}

// successCode returns the response code of a successful request.
func successCode(method codes.Code) codes.Code {
	switch method {
	case codes.POST, codes.PUT, codes.PATCH, codes.IPATCH:
		return codes.Changed
	case codes.DELETE:
		return codes.Deleted
	}
	return codes.Content
}
