package forwarding

import (
	"math"
	"time"
)

type flowState uint8

const (
	opening flowState = iota
	open
	closing
)

// flow is the tracked state of a flow. Times are in milliseconds to keep it small.
type flow struct {
	key            FlowKey
	server         *server
	seq            uint32 // highest sequence number sent by the client
	ack            uint32 // highest acknowledgement sent by the client
	seenAt         uint32 // last packet
	sentAt         uint32 // first transmission of the data that waits for an answer
	handshake      uint16 // time between its opening packet and the next one; 0 if unknown
	state          flowState
	kind           RouteKind
	class          uint8 // index of the route's class
	requestPending bool  // a request is sent and not answered
	overdue        bool  // the pending request was counted as failed
	answers        uint8 // answers that the client has acknowledged, up to manyAnswers
}

func millis(d time.Duration) uint32    { return uint32(d / time.Millisecond) }
func duration(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

// sequenceAfter reports whether sequence number a follows b, with wraparound.
func sequenceAfter(a, b uint32) bool { return int32(a-b) > 0 }

func (e *Engine) track(now time.Duration, k FlowKey, s *server, kind RouteKind) *flow {
	var f *flow
	if n := len(e.free); n > 0 {
		f, e.free = e.free[n-1], e.free[:n-1]
	} else {
		f = new(flow)
	}
	*f = flow{key: k, server: s, kind: kind, seenAt: millis(now), sentAt: millis(now)}
	s.flows++
	e.flows[k] = f
	return f
}

// assign sets the server of a flow.
func (e *Engine) assign(f *flow, s *server) {
	e.setRequestPending(0, f, false)
	f.server.flows--
	f.server = s
	s.flows++
}

// removeFlow deletes a flow from the table.
func (e *Engine) removeFlow(f *flow) {
	e.setRequestPending(0, f, false)
	if f.state != closing {
		f.server.flows--
	}
	delete(e.flows, f.key)
	*f = flow{}
	e.free = append(e.free, f)
}

// unknownElapsed is the response time of an answer whose request was not observed. Such an
// answer never counts as quick.
const unknownElapsed = time.Duration(math.MaxInt64)

// observe updates the server's health and load samples from a packet of an open flow. It
// returns the response time of the request that the packet acknowledges, or 0.
func (e *Engine) observe(now time.Duration, f *flow, p Packet) (response time.Duration, actions []Action) {
	idle := now - duration(f.seenAt)
	f.seenAt = millis(now)
	if p.Acknowledges && sequenceAfter(p.Acknowledgement, f.ack) {
		acknowledged := p.Acknowledgement - f.ack
		f.ack = p.Acknowledgement
		elapsed := unknownElapsed
		if f.requestPending {
			response = now - duration(f.sentAt)
			elapsed = response
			e.measureAnswer(now, f, p, elapsed, acknowledged)
			e.observeAnswer(now, f, elapsed, acknowledged)
			idle = 0
		}
		e.recordProgress(now, f.server, elapsed)
		e.setRequestPending(now, f, false)
	}
	if p.Length > 0 {
		actions = e.observeData(now, f, p)
	}
	if (p.Finish || p.Reset) && f.state == open {
		e.observeFlowEnd(f, idle)
		e.setRequestPending(now, f, false)
		f.state = closing
		f.server.flows--
	}
	return response, actions
}

func (e *Engine) observeData(now time.Duration, f *flow, p Packet) []Action {
	end := p.Sequence + uint32(p.Length)
	if sequenceAfter(end, f.seq) {
		f.seq = end
		if !f.requestPending && f.state == open {
			e.setRequestPending(now, f, true)
			e.countClassRequest(now, f)
			f.sentAt, f.overdue = millis(now), false
			e.observeNextRequest(f)
			e.countRequest(f.server)
		}
		return nil
	}
	// Retransmitted data has not been answered.
	if f.requestPending && !f.server.progressedAfter(f.sentAt) {
		f.server.health.retransmissions++
		return e.suspect(now, f.server)
	}
	return nil
}

// expire removes idle and finished flows and counts overdue requests. Map iteration starts at
// a random position, so bounded passes reach all flows in time.
func (e *Engine) expire(now time.Duration) {
	n := 0
	for _, f := range e.flows {
		if n++; n > expiryBatch {
			return
		}
		e.checkOverdue(now, f)
		limit := e.idleTimeout
		if f.state == closing {
			limit = closingLifetime
		} else if f.state == opening {
			limit = pendingLifetime
		}
		if now-duration(f.seenAt) > limit {
			e.removeFlow(f)
		}
	}
}
