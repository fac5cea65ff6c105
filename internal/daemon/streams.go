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
	// notifyTimeout is the time after which an unacknowledged notification is sent
	// again; RFC 7252 uses 2 s as ACK_TIMEOUT.
	notifyTimeout = 2 * time.Second
	// notifyAttempts is 1 + MAX_RETRANSMIT of RFC 7252. After that the caller is gone.
	notifyAttempts = 5
	// establishRetry is the pause before all backend servers are tried again.
	establishRetry = 500 * time.Millisecond
	// handoverTimeout bounds how long the old holder relays notifications while the
	// new one registers.
	handoverTimeout = 3 * time.Second
	// movesPerTick paces planned moves to 500 a second.
	movesPerTick = 50
	// handoverBatch bounds the records handed over in one tick.
	handoverBatch = 200
	// sequenceWindow is half the 24-bit space of Observe numbers (RFC 7641, 3.4).
	sequenceWindow  = 1 << 23
	sequenceModulus = 1 << 24
)

// stream is a held stream: a caller's registration and the observation at a backend
// server that feeds it. Its fields are guarded by mu.
type stream struct {
	mu      sync.Mutex
	id      uint64 // in the flow table; 0 once handed over
	key     flow.Key
	hash    uint64
	token   []byte
	request []byte // registration without token, message ID and Observe
	ended   bool

	server      string // backend server that feeds the stream
	serverToken uint64
	serverSeq   uint32
	candidate   string   // backend server that is being registered
	tried       []string // backend servers that refused since the last success
	prefer      string   // backend server that fed the stream at its old holder
	retryAt     time.Time

	waiting  *packet // registration that has no answer yet
	adopted  string  // old holder that waits for a confirmation
	sequence uint32

	unacked  *edge.Message // last notification while it is not acknowledged
	attempts int
	resendAt time.Time

	leavingUntil time.Time // set when the stream was handed over
}

type streamKey struct {
	key   flow.Key
	token string
}

// streamTable holds the streams of this instance.
type streamTable struct {
	daemon *Daemon

	mu       sync.Mutex
	byKey    map[streamKey]*stream
	byID     map[uint64]*stream
	unacked  map[exchangeKey]*stream
	retrying map[*stream]struct{}
	leaving  map[*stream]struct{}
	replan   bool // servers, configuration or view changed
}

func newStreamTable(d *Daemon) *streamTable {
	return &streamTable{daemon: d, byKey: map[streamKey]*stream{}, byID: map[uint64]*stream{}, unacked: map[exchangeKey]*stream{},
		retrying: map[*stream]struct{}{}, leaving: map[*stream]struct{}{}}
}

func (s *stream) keyOf() streamKey { return streamKey{s.key, string(s.token)} }

// request processes a registration (Observe 0) or cancellation (Observe 1).
func (t *streamTable) request(r *routing, p *packet) {
	d := t.daemon
	observe, _ := p.message.Observe()
	if observe != 0 || !d.treatment(p).Stream {
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
		d.refuse(p, err, 0)
		return
	}
	rec := flow.Record{Key: p.key, Token: append([]byte(nil), p.message.Token...), Request: b}
	st, err = t.add(rec, p)
	if err != nil {
		d.refuse(p, err, time.Second)
		return
	}
	t.establish(st)
}

// cancelAndGet ends a stream if asked to, and answers the request like a plain GET
// (RFC 7641, 3.6).
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

// add creates a stream from a record; waiting is the caller's registration or nil.
func (t *streamTable) add(rec flow.Record, waiting *packet) (*stream, error) {
	id, err := t.daemon.flows.Register(time.Now(), rec)
	if err != nil {
		return nil, err
	}
	st := &stream{id: id, key: rec.Key, hash: rec.Key.Hash(), token: rec.Token, request: rec.Request,
		sequence: rec.Sequence, waiting: waiting}
	t.mu.Lock()
	old := t.byKey[st.keyOf()]
	t.byKey[st.keyOf()], t.byID[id] = st, st
	t.mu.Unlock()
	if old != nil {
		t.release(old)
	}
	return st, nil
}

// refresh answers a repeated registration with the current state.
func (t *streamTable) refresh(r *routing, st *stream, p *packet) {
	st.mu.Lock()
	st.waiting = p
	name, token, busy := st.server, st.serverToken, st.candidate != ""
	st.mu.Unlock()
	server := r.servers[name]
	if busy {
		return // the registration in progress answers it
	}
	if server == nil || token == 0 || t.daemon.notices.unavailable(name) {
		t.establish(st)
		return
	}
	t.register(st, *server, token)
}

// establish registers the stream with the best backend server that did not refuse it.
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
	name := t.computedServer(svc, st.hash, st.tried)
	if p := st.prefer; p != "" && r.servers[p] != nil && !t.daemon.notices.unavailable(p) {
		name = p
	}
	st.prefer = ""
	st.candidate = name
	st.mu.Unlock()
	if name == "" {
		t.exhausted(st)
		return
	}
	t.register(st, *r.servers[name], t.daemon.backends.reserveToken())
}

// register sends a registration to a backend server.
func (t *streamTable) register(st *stream, server config.BackendServer, token uint64) {
	m, err := edge.Decode(st.request)
	if err != nil {
		t.fail(st, err)
		return
	}
	m = m.Clone()
	sent := t.daemon.backends.observe(st, server, m, token, func(answer *edge.Message) { t.registered(st, server, token, answer) })
	if !sent {
		t.registered(st, server, token, nil)
	}
}

// registered processes the answer to a registration.
func (t *streamTable) registered(st *stream, server config.BackendServer, token uint64, answer *edge.Message) {
	d := t.daemon
	_, observes := uint32(0), false
	if answer != nil {
		_, observes = answer.Observe()
	}
	switch {
	case answer != nil && answer.Code.IsSuccess() && observes:
		t.established(st, server, token, answer)
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
		// The resource cannot be observed; the answer is final for the caller.
		d.backends.forget(token)
		t.finish(st, answer)
	}
}

// established makes a backend server the stream's source, then ends the old
// observation: make before break.
func (t *streamTable) established(st *stream, server config.BackendServer, token uint64, first *edge.Message) {
	d := t.daemon
	st.mu.Lock()
	oldServer, oldToken := st.server, st.serverToken
	st.server, st.serverToken, st.candidate = server.Name, token, ""
	st.serverSeq, _ = first.Observe()
	st.tried = nil
	confirm := st.adopted
	st.adopted = ""
	ended, id := st.ended, st.id
	st.mu.Unlock()
	if ended {
		t.unobserve(st, server.Name, token)
		return
	}
	d.flows.SetServer(id, server.Name, t.isException(st, server.Name))
	t.forward(st, first)
	if oldToken != 0 && oldToken != token {
		d.metrics.streamMoves.Inc()
		t.unobserve(st, oldServer, oldToken)
	}
	if confirm != "" {
		t.confirmHandover(st, confirm)
	}
}

// isException reports whether a stream's server is not the first in rendezvous order,
// so that another holder cannot compute it.
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

// exhausted handles a stream that no backend server accepts now. A new one is
// refused; one that was established is retried until it succeeds or its caller leaves.
func (t *streamTable) exhausted(st *stream) {
	st.mu.Lock()
	fresh := st.waiting != nil && st.server == "" && st.sequence == 0
	st.candidate, st.tried = "", nil
	st.retryAt = time.Now().Add(establishRetry)
	st.mu.Unlock()
	if fresh {
		t.fail(st, result.Errorf(result.ConnectionsInUse, "not run: no backend server accepts the stream"))
		return
	}
	t.mu.Lock()
	t.retrying[st] = struct{}{}
	t.mu.Unlock()
}

// fail refuses the waiting registration and ends the stream.
func (t *streamTable) fail(st *stream, err error) {
	st.mu.Lock()
	p := st.waiting
	st.waiting = nil
	st.mu.Unlock()
	if p != nil {
		t.daemon.refuse(p, err, time.Second)
	}
	t.end(st)
}

// finish gives the caller a final answer without Observe and ends the stream.
func (t *streamTable) finish(st *stream, answer *edge.Message) {
	st.mu.Lock()
	p := st.waiting
	st.waiting = nil
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

func (t *streamTable) end(st *stream) {
	t.daemon.flows.Remove(st.id)
	t.release(st)
}

// release cancels the observation of a stream that is no longer held here.
func (t *streamTable) release(st *stream) {
	t.mu.Lock()
	if t.byKey[st.keyOf()] == st {
		delete(t.byKey, st.keyOf())
	}
	if t.byID[st.id] == st {
		delete(t.byID, st.id)
	}
	delete(t.retrying, st)
	delete(t.leaving, st)
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

// computedServer returns the best available backend server for a flow by weighted
// rendezvous, "" if there is none. It ignores the servers in skip. When the notices
// leave no server, those that are not leaving are used all the same: a misleading
// health endpoint must not end every stream of a service.
func (t *streamTable) computedServer(svc *service, hash uint64, skip []string) string {
	fallback := ""
	view := t.daemon.routes.Load().view
	for _, i := range placement.Rank(hash, svc.members, nil) {
		name := svc.members[i].ID
		if contains(skip, name) || svc.BackendServers[i].Leaving {
			continue
		}
		if !t.daemon.notices.unavailable(name) && reaches(view, svc.BackendServers[i].Domain) {
			return name
		}
		if fallback == "" && !t.daemon.notices.leaves(name) {
			fallback = name
		}
	}
	return fallback
}
