package forwarding

import (
	"math"
	"time"
)

const (
	// routingSettleTime is the time after a change by which the routers send each flow to its new instance:
	// an instance that starts is ready within about 4 s, and the routers probe twice a second.
	routingSettleTime = 5 * time.Second
	// MinRouterDetection is the shortest pause of an instance that the routers notice: they take it out of
	// service after two missed probes, 0.5 s apart.
	MinRouterDetection = 500 * time.Millisecond
	// recentPacket is the age of a flow's last packet up to which its endpoints still count as the flow's own:
	// clients do not use a port again that soon.
	recentPacket = time.Second
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

// continuedBy reports whether a packet continues the flow from where this instance has last seen it. If so,
// the entry goes before the packet's cookie: a client to which a second server has answered late sends that
// server's cookie until its own one sends again. Until then, its acknowledgements do not go back, as those of
// a later flow do where flows start with the same numbers.
func (f *flow) continuedBy(p *Packet) bool {
	if !near(p.Sequence, f.seq) {
		return false
	}
	return !p.Acknowledges || near(p.Acknowledgement, f.ack) && (p.Cookie == f.server.cookie || !sequenceAfter(f.ack, p.Acknowledgement))
}

// near reports whether two sequence numbers are at most maxAdvance apart, with wraparound.
func near(a, b uint32) bool { return a-b+maxAdvance <= 2*maxAdvance }

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

// RoutingChanged records that the routers send some flows to other instances from about now on: another
// instance has started or is heard again, or this one was out of service.
func (e *Engine) RoutingChanged(now time.Duration) { e.routingChangedAt = now }

// wasPaused reports whether this process has stood still since its last tick for so long that the routers
// may have noticed.
func (e *Engine) wasPaused(now time.Duration) bool {
	return e.lastTick > 0 && now-e.lastTick > MinRouterDetection
}

// mayHaveEndedElsewhere reports whether another instance may have forwarded the end of the flow, so that its
// endpoints may be those of a later flow by now.
func (e *Engine) mayHaveEndedElsewhere(now time.Duration, f *flow) bool {
	seenAt := duration(f.seenAt)
	return now-seenAt > recentPacket && seenAt < e.routingChangedAt+routingSettleTime
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
		// After a gap, the packet may acknowledge the answer to a request that another instance has forwarded.
		if f.requestPending && !sequenceAfter(p.Sequence, f.seq) {
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
