package daemon

import (
	"sync"
	"time"

	"github.com/monsoonthread/monsoonthread/config"
	"github.com/monsoonthread/monsoonthread/edge"
	"github.com/monsoonthread/monsoonthread/flow"
	"github.com/monsoonthread/monsoonthread/placement"
	"github.com/monsoonthread/monsoonthread/result"
)

const (
	streamTick = 100 * time.Millisecond
	// notifyTimeout is the delay before an unacknowledged notification is
	// retransmitted; it is ACK_TIMEOUT of RFC 7252.
	notifyTimeout = 2 * time.Second
	// maxNotifyAttempts is 1 + MAX_RETRANSMIT of RFC 7252. After that many attempts the
	// caller is considered gone.
	maxNotifyAttempts = 5
	// registrationRetryDelay is the delay before all backend servers are tried again.
	registrationRetryDelay = 500 * time.Millisecond
	// handoverTimeout bounds how long the previous owner relays notifications while
	// the new one registers.
	handoverTimeout = 3 * time.Second
	// maxMovesPerTick limits planned moves to 500 a second.
	maxMovesPerTick = 50
	// maxHandoverRecords bounds the records handed over in one tick.
	maxHandoverRecords = 200
	// sequenceWindow is half the 24-bit space of Observe sequence numbers (RFC 7641,
	// 3.4).
	sequenceWindow  = 1 << 23
	sequenceModulus = 1 << 24
)

// stream is a caller's observation owned by this instance, together with the observation
// at the backend server that feeds it. Its fields are guarded by mu.
type stream struct {
	mu      sync.Mutex
	id      uint64 // ID in the flow table; 0 while being handed over
	key     flow.Key
	hash    uint64
	token   []byte
	request []byte // encoded registration without token, message ID and Observe
	ended   bool

	server          string // backend server that feeds the stream, or ""
	serverToken     uint64
	serverSeq       uint32
	candidate       string        // backend server with a registration in progress
	updates         int           // states sent to the caller
	sentUpdates     int           // updates when the registration in progress was sent
	settling        bool          // the present server is asked again, since its first answer may be old
	held            *edge.Message // last notification while settling
	tried           []string      // backend servers that refused since the last successful registration
	preferredServer string        // backend server used by the previous owner
	retryAt         time.Time

	registration  *packet // caller's registration that is not answered yet
	previousOwner string  // owner that waits for the handover to be confirmed
	sequence      uint32

	unacked  *edge.Message // last notification, until it is acknowledged
	attempts int
	resendAt time.Time

	handoverDeadline time.Time // non-zero while the stream is being handed over
}

type streamKey struct {
	key   flow.Key
	token string
}

// streamTable holds the streams of this instance.
type streamTable struct {
	daemon *Daemon

	mu          sync.Mutex
	byKey       map[streamKey]*stream
	byID        map[uint64]*stream
	unacked     map[exchangeKey]*stream
	retrying    map[*stream]struct{}
	handingOver map[*stream]struct{}
	replan      bool // servers, configuration or view changed
}

func newStreamTable(d *Daemon) *streamTable {
	return &streamTable{daemon: d, byKey: map[streamKey]*stream{}, byID: map[uint64]*stream{}, unacked: map[exchangeKey]*stream{},
		retrying: map[*stream]struct{}{}, handingOver: map[*stream]struct{}{}}
}

func (s *stream) keyOf() streamKey { return streamKey{s.key, string(s.token)} }

// handleObserve processes a registration (Observe 0) or cancellation (Observe 1).
func (t *streamTable) handleObserve(r *routing, p *packet) {
	d := t.daemon
	observe, _ := p.message.Observe()
	if observe != 0 || !d.routeFor(p).Stream {
		t.cancelAndGet(p, observe != 0)
		return
	}
	st := t.find(streamKey{p.key, string(p.message.Token)})
	if st != nil {
		t.refresh(r, st, p)
		return
	}
	m := p.message.Clone()
	m.Token, m.ID = nil, 0
	m.RemoveObserve()
	m.RemoveEcho()
	b, err := m.Encode()
	if err != nil {
		d.respondError(p, err, 0)
		return
	}
	rec := flow.Record{Key: p.key, Token: append([]byte(nil), p.message.Token...), Request: b}
	st, err = t.add(rec, p)
	if err != nil {
		d.respondError(p, err, time.Second)
		return
	}
	t.establish(st)
}

// cancelAndGet ends the stream if the request cancels it, and handles the request as a
// plain GET (RFC 7641, 3.6).
func (t *streamTable) cancelAndGet(p *packet, cancel bool) {
	if cancel {
		if st := t.find(streamKey{p.key, string(p.message.Token)}); st != nil {
			t.end(st)
		}
	}
	p.message.RemoveObserve()
	req := t.daemon.newRequest(p, true, time.Now())
	req.done = func(o outcome) { t.daemon.answerRequest(p, o) }
	t.daemon.dispatchRequest(req, time.Now())
}

func (t *streamTable) find(k streamKey) *stream {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.byKey[k]
}

// add creates a stream from a record. registration is the caller's request, or nil if
// the caller is not waiting for an answer.
func (t *streamTable) add(rec flow.Record, registration *packet) (*stream, error) {
	id, err := t.daemon.flows.Register(time.Now(), rec)
	if err != nil {
		return nil, err
	}
	st := &stream{id: id, key: rec.Key, hash: rec.Key.Hash(), token: rec.Token, request: rec.Request,
		sequence: rec.Sequence, registration: registration}
	t.mu.Lock()
	old := t.byKey[st.keyOf()]
	t.byKey[st.keyOf()], t.byID[id] = st, st
	t.mu.Unlock()
	if old != nil {
		t.release(old)
	}
	return st, nil
}

// refresh answers a repeated registration with the current state of the resource.
func (t *streamTable) refresh(r *routing, st *stream, p *packet) {
	st.mu.Lock()
	st.registration = p
	name, token, registering := st.server, st.serverToken, st.candidate != ""
	st.mu.Unlock()
	server := r.servers[name]
	if registering {
		return // the registration in progress answers it
	}
	if server == nil || token == 0 || t.daemon.notices.unavailable(name) {
		t.establish(st)
		return
	}
	t.register(st, *server, token)
}

// establish registers the stream with the best backend server that has not refused it.
func (t *streamTable) establish(st *stream) {
	r := t.daemon.routes.Load()
	svc := r.byID[st.key.ServiceID]
	if svc == nil {
		t.fail(st, result.Errorf(result.UnknownService, "service %d is not configured", st.key.ServiceID))
		return
	}
	st.mu.Lock()
	if st.ended || st.candidate != "" {
		st.mu.Unlock()
		return
	}
	name := t.rendezvousServer(svc, st.hash, st.tried)
	if p := st.preferredServer; p != "" && r.servers[p] != nil && !t.daemon.notices.unavailable(p) {
		name = p
	}
	st.preferredServer = ""
	st.candidate = name
	st.mu.Unlock()
	if name == "" {
		t.handleNoServer(st)
		return
	}
	t.register(st, *r.servers[name], t.daemon.backends.reserveToken())
}

// register sends the stream's registration to a backend server.
func (t *streamTable) register(st *stream, server config.BackendServer, token uint64) {
	m, err := edge.Decode(st.request)
	if err != nil {
		t.fail(st, err)
		return
	}
	m = m.Clone()
	st.mu.Lock()
	st.sentUpdates = st.updates
	st.mu.Unlock()
	sent := t.daemon.backends.observe(st, server, m, token, func(answer *edge.Message) { t.handleRegistrationAnswer(st, server, token, answer) })
	if !sent {
		t.handleRegistrationAnswer(st, server, token, nil)
	}
}

// handleRegistrationAnswer processes a backend server's answer to a registration, nil
// if there was none.
func (t *streamTable) handleRegistrationAnswer(st *stream, server config.BackendServer, token uint64, answer *edge.Message) {
	d := t.daemon
	_, observes := uint32(0), false
	if answer != nil {
		_, observes = answer.Observe()
	}
	switch {
	case answer != nil && answer.Code.IsSuccess() && observes:
		t.switchServer(st, server, token, answer)
	case answer == nil || answer.Code == edge.ServiceUnavailable || answer.Type == edge.Reset:
		d.backends.forget(token)
		st.mu.Lock()
		st.tried = append(st.tried, server.Name)
		if st.serverToken == token {
			st.server, st.serverToken = "", 0
		}
		st.candidate = ""
		st.mu.Unlock()
		t.establish(st)
	default:
		// The resource cannot be observed; the caller gets this answer as the final
		// one.
		d.backends.forget(token)
		t.finish(st, answer)
	}
}

// switchServer makes a backend server the stream's source and then cancels the
// observation at the previous one, so that no notification is lost. If the previous one has sent a
// state since the registration was sent, the answer to it may be older than that; the server is
// then asked again, and its notifications wait for that answer.
func (t *streamTable) switchServer(st *stream, server config.BackendServer, token uint64, first *edge.Message) {
	d := t.daemon
	st.mu.Lock()
	oldServer, oldToken := st.server, st.serverToken
	st.server, st.serverToken, st.candidate = server.Name, token, ""
	st.serverSeq, _ = first.Observe()
	st.tried = nil
	confirm := st.previousOwner
	st.previousOwner = ""
	ended, id := st.ended, st.id
	held := st.held
	st.settling, st.held = oldToken != token && st.updates != st.sentUpdates, nil
	settling := st.settling
	if held != nil && !settling {
		if seq, _ := held.Observe(); newer(seq, st.serverSeq) {
			st.serverSeq = seq
		} else {
			held = nil
		}
	}
	st.mu.Unlock()
	if ended {
		t.unobserve(st, server.Name, token)
		return
	}
	d.flows.SetServer(id, server.Name, t.isException(st, server.Name))
	if settling {
		defer t.register(st, server, token)
	} else {
		t.forward(st, first)
		if held != nil {
			t.forward(st, held)
		}
	}
	if oldToken != 0 && oldToken != token {
		d.metrics.streamMoves.Inc()
		t.unobserve(st, oldServer, oldToken)
	}
	if confirm != "" {
		t.confirmHandover(st, confirm)
	}
}

// isException reports whether the stream's server differs from the first one in
// rendezvous order. Other instances cannot compute such a server, so it is copied with
// the record.
func (t *streamTable) isException(st *stream, server string) bool {
	svc := t.daemon.routes.Load().byID[st.key.ServiceID]
	if svc == nil {
		return true
	}
	i := placement.Pick(st.hash, svc.members)
	return i < 0 || svc.members[i].ID != server
}

func (t *streamTable) unobserve(st *stream, name string, token uint64) {
	r := t.daemon.routes.Load()
	server := r.servers[name]
	m, err := edge.Decode(st.request)
	if server == nil || err != nil {
		t.daemon.backends.forget(token)
		return
	}
	t.daemon.backends.unobserve(*server, m.Clone(), token)
}

// handleNoServer handles a stream that no backend server accepts. A new stream is
// refused; an established one is retried until it succeeds or its caller is gone.
func (t *streamTable) handleNoServer(st *stream) {
	st.mu.Lock()
	isNew := st.registration != nil && st.server == "" && st.sequence == 0
	st.candidate, st.tried = "", nil
	st.retryAt = time.Now().Add(registrationRetryDelay)
	st.mu.Unlock()
	if isNew {
		t.fail(st, result.Errorf(result.ConnectionsInUse, "not run: no backend server accepts the stream"))
		return
	}
	t.mu.Lock()
	t.retrying[st] = struct{}{}
	t.mu.Unlock()
}

// fail refuses the unanswered registration and ends the stream.
func (t *streamTable) fail(st *stream, err error) {
	st.mu.Lock()
	p := st.registration
	st.registration = nil
	st.mu.Unlock()
	if p != nil {
		t.daemon.respondError(p, err, time.Second)
	}
	t.end(st)
}

// finish sends the caller a final answer without Observe and ends the stream.
func (t *streamTable) finish(st *stream, answer *edge.Message) {
	st.mu.Lock()
	p := st.registration
	st.registration = nil
	st.mu.Unlock()
	answer = answer.Clone()
	answer.RemoveObserve()
	if p != nil {
		t.daemon.respond(p, answer)
	} else {
		t.daemon.metrics.streamsBroken.Inc()
		t.sendNotification(st, answer)
	}
	t.end(st)
}

// end removes a stream and cancels its observation.
func (t *streamTable) end(st *stream) {
	t.daemon.flows.Remove(st.id)
	t.release(st)
}

// release removes a stream that is no longer owned here and cancels its observation.
func (t *streamTable) release(st *stream) {
	t.mu.Lock()
	if t.byKey[st.keyOf()] == st {
		delete(t.byKey, st.keyOf())
	}
	if t.byID[st.id] == st {
		delete(t.byID, st.id)
	}
	delete(t.retrying, st)
	delete(t.handingOver, st)
	st.mu.Lock()
	if st.unacked != nil {
		delete(t.unacked, exchangeKey{st.key.Caller, st.key.ServiceID, st.unacked.ID})
	}
	server, token, ended := st.server, st.serverToken, st.ended
	st.ended = true
	st.mu.Unlock()
	t.mu.Unlock()
	if !ended && token != 0 {
		t.unobserve(st, server, token)
	}
}

// rendezvousServer returns the best available backend server for a flow by weighted
// rendezvous hashing, or "" if there is none. It ignores the servers in skip. If the
// notices rule out all servers, the best one that is not leaving is returned: a wrong
// health endpoint must not end every stream of a service.
func (t *streamTable) rendezvousServer(svc *service, hash uint64, skip []string) string {
	fallback := ""
	view := t.daemon.routes.Load().view
	for _, i := range placement.Rank(hash, svc.members, nil) {
		name := svc.members[i].ID
		if contains(skip, name) || svc.BackendServers[i].Leaving {
			continue
		}
		if !t.daemon.notices.unavailable(name) && domainReachable(view, svc.BackendServers[i].Domain) {
			return name
		}
		if fallback == "" && !t.daemon.notices.isLeaving(name) {
			fallback = name
		}
	}
	return fallback
}
