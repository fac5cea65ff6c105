package daemon

import (
	"sync"
	"time"

	"github.com/monsoonthread/monsoonthread/config"
	"github.com/monsoonthread/monsoonthread/membership"
	"github.com/monsoonthread/monsoonthread/peer"
	"github.com/monsoonthread/monsoonthread/peer/peerpb"
	"github.com/monsoonthread/monsoonthread/permit"
	"github.com/monsoonthread/monsoonthread/result"
)

const (
	// answerGrace is added to a request's deadline before its dispatcher counts as
	// lost: the dispatcher itself answers at the deadline.
	answerGrace = 500 * time.Millisecond
	// maxAttempts bounds the dispatchers tried for one request.
	maxAttempts = 4
	// minRetryTime is the least time before the deadline at which a retry is useful.
	minRetryTime = 5 * time.Millisecond
)

// request is a caller's request on its way to a dispatcher.
type request struct {
	service    *service
	class      config.Class
	idempotent bool
	flowHash   uint64
	arrived    time.Time
	deadline   time.Time
	preferred  string
	bytes      []byte // CoAP message without token, message ID and Echo
	done       func(outcome)

	excluded []string // instances that refused or were lost
	attempts int
	retry    bool
	// mayHaveRun is set once an attempt ended without certainty; from then on the
	// request is never refused as "not run".
	mayHaveRun bool
}

// outcome is how a request ended: a response, or an error with a result code.
type outcome struct {
	response   []byte
	server     string
	err        error
	retryAfter time.Duration
}

// fail ends a request without a response. A certain "not run" of the last attempt
// does not outweigh an earlier attempt that may have run.
func (r *request) fail(err error, retryAfter time.Duration) {
	if r.mayHaveRun && result.CodeOf(err).NotExecuted() {
		err = result.Errorf(result.OutcomeUnknown, "outcome unknown: an earlier attempt may have run; the last one ended with %w", err)
	}
	r.done(outcome{err: err, retryAfter: retryAfter})
}

func answerOf(o outcome) permit.Answer {
	if o.err != nil {
		return permit.Answer{Code: result.CodeOf(o.err)}
	}
	return permit.Answer{Response: o.response}
}

func outcomeOf(a permit.Answer) outcome {
	if a.Code != result.OK {
		return outcome{err: result.Errorf(a.Code, "answer of the first copy")}
	}
	return outcome{response: a.Response}
}

// pendingDispatch is a request that a dispatcher has been asked to run.
type pendingDispatch struct {
	request *request
	to      string
	timer   *time.Timer
}

// pendingTable holds the requests that wait for a dispatcher's answer.
type pendingTable struct {
	mu      sync.Mutex
	nextID  uint64
	entries map[uint64]*pendingDispatch
}

// newPendingTable starts at a random ID, so that a late answer to an earlier process
// with the same instance ID matches nothing.
func newPendingTable(firstID uint64) *pendingTable {
	return &pendingTable{nextID: firstID, entries: map[uint64]*pendingDispatch{}}
}

// add registers a request; expire is called when no answer came in time.
func (t *pendingTable) add(p *pendingDispatch, timeout time.Duration, expire func(id uint64)) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.nextID++
	id := t.nextID
	p.timer = time.AfterFunc(timeout, func() { expire(id) })
	t.entries[id] = p
	return id
}

// take removes a request, so that exactly one event decides how it ends.
func (t *pendingTable) take(id uint64) (*pendingDispatch, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.entries[id]
	if ok {
		delete(t.entries, id)
		p.timer.Stop()
	}
	return p, ok
}

// to returns the IDs of the requests at one dispatcher.
func (t *pendingTable) to(instance string) []uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	var ids []uint64
	for id, p := range t.entries {
		if p.to == instance {
			ids = append(ids, id)
		}
	}
	return ids
}

func (t *pendingTable) len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries)
}

// dispatchRequest chooses a dispatcher and sends the request to it.
func (d *Daemon) dispatchRequest(req *request, now time.Time) {
	if !req.retry {
		d.retries.first(req.service.ID, now)
	}
	r := d.routes.Load()
	to, ok := d.chooser.choose(now, req.service.ID, req.excluded, d.preferredDispatcher(r, req))
	if !ok {
		req.fail(result.Errorf(result.NoBackendServer, "no dispatcher of service %s can be reached", req.service.Name), time.Second)
		return
	}
	req.attempts++
	pending := &pendingDispatch{request: req, to: to}
	id := d.pending.add(pending, req.deadline.Sub(now)+answerGrace, d.dispatchExpired)
	d.chooser.sent(req.service.ID, to)
	msg := d.dispatchMessage(r, req, id, now)
	if to == d.settings.InstanceID {
		d.handleDispatch(to, msg)
		return
	}
	entry, ok := r.view.Member(to)
	if ok {
		err := d.peers.Send(addressOf(entry), &peerpb.Envelope{Body: &peerpb.Envelope_Dispatch{Dispatch: msg}})
		if err == nil {
			return
		}
	}
	d.dispatchFailed(id, result.Errorf(result.PeerUnreachable, "dispatcher %s cannot be reached", to), 0)
}

// preferredDispatcher returns the dispatcher of the request's preferred server, "" if
// there is none.
func (d *Daemon) preferredDispatcher(r *routing, req *request) string {
	if req.preferred == "" || r == nil {
		return ""
	}
	server := r.servers[req.preferred]
	if server == nil {
		return ""
	}
	e, ok := r.dispatcher(req.service, server)
	if !ok {
		return ""
	}
	return e.ID
}

func (d *Daemon) dispatchMessage(r *routing, req *request, id uint64, now time.Time) *peerpb.Dispatch {
	address, _ := req.service.Address.MarshalBinary()
	return &peerpb.Dispatch{Id: id, ServiceId: req.service.ID, ServiceAddress: address, ConfigVersion: r.config.Version,
		Class: uint32(req.class), DeadlineMs: uint32(max(req.deadline.Sub(now).Milliseconds(), 0)), Idempotent: req.idempotent,
		PreferredServer: req.preferred, CallerHash: req.flowHash, Request: req.bytes, Retry: req.retry, ViewVersion: r.view.Version}
}

// dispatchExpired ends a request whose dispatcher did not answer. It may have run.
func (d *Daemon) dispatchExpired(id uint64) {
	d.dispatchFailed(id, result.Errorf(result.BackendTimeout, "outcome unknown: no answer before the deadline"), 0)
}

// dispatchFailed ends an attempt without a response and tries another dispatcher
// where that is allowed.
func (d *Daemon) dispatchFailed(id uint64, err error, retryAfter time.Duration) {
	p, ok := d.pending.take(id)
	if !ok {
		return
	}
	now := time.Now()
	req := p.request
	code := result.CodeOf(err)
	req.mayHaveRun = req.mayHaveRun || !code.NotExecuted()
	if !d.mayRetry(req, code, now) {
		req.fail(err, retryAfter)
		return
	}
	d.metrics.retries.Inc()
	req.retry = true
	req.excluded = append(req.excluded, p.to)
	d.dispatchRequest(req, now)
}

// mayRetry reports whether another dispatcher may get the request. A request that may
// have run is only repeated when it is idempotent.
func (d *Daemon) mayRetry(req *request, code result.Code, now time.Time) bool {
	if !code.NotExecuted() && !req.idempotent {
		return false
	}
	if code == result.BackendTimeout || code == result.DeadlineUnmet || req.attempts >= maxAttempts || req.deadline.Sub(now) < minRetryTime {
		return false
	}
	// A dispatcher that is no longer one, or is stopping, refused because of a planned
	// change; such retries do not spend the budget, or a change would cut requests.
	if code == result.NotDispatcher || code == result.ShuttingDown || code == result.PeerUnreachable || code == result.InstanceNotReady {
		return true
	}
	return d.retries.retry(req.service.ID, now)
}

// handleDispatchResult processes a dispatcher's answer.
func (d *Daemon) handleDispatchResult(from string, res *peerpb.DispatchResult) {
	now := time.Now()
	if res.Summary != nil {
		d.chooser.observe(now, from, res.Summary)
	}
	code := result.Code(res.Code)
	if code != result.OK {
		if code == result.NotDispatcher || code == result.ShuttingDown {
			d.chooser.failed(now, res.GetSummary().GetServiceId(), from)
		}
		d.dispatchFailed(res.Id, result.Errorf(code, "%s: dispatcher %s", describe(code), from), time.Duration(res.RetryAfterMs)*time.Millisecond)
		return
	}
	if p, ok := d.pending.take(res.Id); ok {
		p.request.done(outcome{response: res.Response, server: res.Server})
		return
	}
	d.metrics.lateAnswers.Inc()
}

// describe returns the short text of the result codes that travel between instances.
func describe(c result.Code) string {
	switch {
	case c == result.DeadlineUnmet:
		return "not run: the deadline cannot be met"
	case c == result.QueueFull, c == result.QueueShareExceeds:
		return "not run: the queue is full"
	case c.NotExecuted():
		return "not run"
	default:
		return "outcome unknown"
	}
}

// LinkLost ends the requests that wait for answers over a broken link.
func (d *Daemon) LinkLost(to string) {
	for _, id := range d.pending.to(to) {
		d.dispatchFailed(id, result.Errorf(result.DispatcherLost, "outcome unknown: the link to dispatcher %s broke", to), 0)
	}
	d.chooser.failed(time.Now(), 0, to)
}

// Unsent handles an envelope that was certainly not sent.
func (d *Daemon) Unsent(to string, env *peerpb.Envelope) {
	switch b := env.Body.(type) {
	case *peerpb.Envelope_Dispatch:
		d.dispatchFailed(b.Dispatch.Id, result.Errorf(result.PeerUnreachable, "dispatcher %s cannot be reached", to), 0)
	case *peerpb.Envelope_Packet:
		if b.Packet.ToIssuer || b.Packet.Hops >= maxHops {
			return // the caller retransmits
		}
		// Served here: the holder cannot be reached over its link.
		b.Packet.Hops = maxHops
		d.handlePacket(d.settings.InstanceID, b.Packet)
	}
}

func addressOf(e membership.Entry) peer.Address {
	return peer.Address{ID: e.ID, Domain: e.Domain, Target: e.PeerAddress}
}
