package daemon

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/monsoonthread/monsoonthread/config"
	"github.com/monsoonthread/monsoonthread/edge"
	"github.com/monsoonthread/monsoonthread/permit"
	"github.com/monsoonthread/monsoonthread/result"
)

// serveLocally processes a packet of a flow owned by this instance.
func (d *Daemon) serveLocally(r *routing, p *packet) {
	m := p.message
	switch {
	case m.Code == edge.Empty && m.Type == edge.Confirmable:
		// A CoAP ping (RFC 7252, 4.3) is answered with Reset.
		d.send(p.service, p.key.Caller, edge.NewEmptyMessage(edge.Reset, m.ID))
	case m.Type == edge.Acknowledgement:
		d.streams.handleAck(p)
	case m.Type == edge.Reset:
		d.streams.handleReset(p)
	case m.Code.IsRequest():
		d.serveRequest(r, p)
	default:
		d.metrics.dropped(result.UnsupportedMethod)
	}
}

// serveRequest processes an idempotent request or an observe request.
func (d *Daemon) serveRequest(r *routing, p *packet) {
	now := time.Now()
	if !d.beginExchange(p, now) {
		return
	}
	if _, err := d.flows.RecordPacket(now, p.key); err != nil {
		d.respondError(p, err, time.Second)
		return
	}
	if isStream(p.message) {
		d.streams.handleObserve(r, p)
		return
	}
	req := d.newRequest(p, true, now)
	req.done = func(o outcome) { d.answerRequest(p, o) }
	d.dispatchRequest(req, now)
}

// beginExchange reports whether the request is new. A duplicate is answered with the
// recorded answer, or not at all while the first copy is running.
func (d *Daemon) beginExchange(p *packet, now time.Time) bool {
	if p.message.Type != edge.Confirmable {
		return true
	}
	duplicate, answer := d.exchanges.begin(exchangeKeyOf(p), now)
	if duplicate {
		d.metrics.duplicates.Inc()
		if answer != nil {
			d.sendBytes(p.service.Address, p.key.Caller, answer)
		}
	}
	return !duplicate
}

// answerRequest sends the outcome of a request to its caller.
func (d *Daemon) answerRequest(p *packet, o outcome) {
	if o.err != nil {
		d.respondError(p, o.err, o.retryAfter)
		return
	}
	m, err := edge.Decode(o.response)
	if err != nil {
		d.respondError(p, result.Errorf(result.BackendFailed, "outcome unknown: backend server %s sent a malformed answer: %w", o.server, err), 0)
		return
	}
	d.metrics.answered.Inc()
	d.respond(p, m)
}

// servePermitted runs a non-idempotent request with a permit of this instance at most
// once. Duplicates receive the recorded answer.
func (d *Daemon) servePermitted(p *packet, echo []byte) {
	now := time.Now()
	identity := xxhash.Sum64(p.message.RequestIdentity())
	decision, err := d.issuer.begin(now, echo, p, identity)
	if err != nil {
		d.respondError(p, err, time.Second)
		return
	}
	switch v := decision.(type) {
	case permit.Run:
		req := d.newRequest(p, false, now)
		req.done = func(o outcome) { d.completePermitted(v.Nonce, o) }
		d.dispatchRequest(req, now)
	case permit.Replay:
		d.metrics.duplicates.Inc()
		d.answerRequest(p, outcomeOf(v.Answer))
	case permit.Join:
		d.metrics.duplicates.Inc()
	}
}

// completePermitted records the outcome of a permitted request and answers every
// waiting copy.
func (d *Daemon) completePermitted(nonce uint64, o outcome) {
	for _, w := range d.issuer.complete(time.Now(), nonce, answerOf(o)) {
		if p, ok := w.(*packet); ok {
			d.answerRequest(p, o)
		}
	}
}

// newRequest prepares a caller's request for dispatching.
func (d *Daemon) newRequest(p *packet, idempotent bool, now time.Time) *request {
	route := d.routeFor(p)
	req := &request{service: p.service, class: route.Class, idempotent: idempotent, flowHash: p.hash,
		arrived: now, deadline: now.Add(requestTimeout(p.service.Service, p.message))}
	if number, ok := p.message.Block2(); ok && number > 0 {
		// Later blocks prefer the server that sent the first one.
		req.preferred = d.preferredServer(p)
	}
	m := p.message.Clone()
	m.RemoveEcho()
	m.Token, m.ID = nil, 0
	b, err := m.Encode()
	if err != nil {
		d.violation("request_encodes", err.Error())
	}
	req.bytes = b
	return req
}

// requestTimeout returns the caller's deadline or the service's default, capped at the
// service's maximum.
func requestTimeout(svc *config.Service, m *edge.Message) time.Duration {
	timeout := svc.DefaultDeadline.Duration()
	if ms, ok := m.Deadline(); ok {
		timeout = time.Duration(ms) * time.Millisecond
	}
	return min(timeout, svc.MaxDeadline.Duration())
}

// preferredServer returns the backend server selected for the packet's flow.
func (d *Daemon) preferredServer(p *packet) string {
	return d.streams.rendezvousServer(p.service, p.hash, nil)
}
