package forwarding

import (
	"time"

	"github.com/monsoonthread/monsoonthread/serverload"
)

const (
	// manyAnswers is the highest number of answers of a flow that is counted.
	manyAnswers = 2
	// closeAfterAnswer is the time after its first answer within which a flow that ends counts
	// as closed by the answer. It is below the 40 ms of a delayed acknowledgement.
	closeAfterAnswer = 20 * time.Millisecond
	// maxFlowHandshake is the highest handshake time in milliseconds that is taken for the travel
	// time of packets. Higher ones include a retransmission or a busy server.
	maxFlowHandshake = 100
	// relativeRefusalFactor replaces the service time in the test for refusals while the delay of
	// acknowledgements is included in all times.
	relativeRefusalFactor = 2
)

// measureAnswer takes a sample of the server's service time from the acknowledgement of an answer.
// Answers go from the server to the client directly, so the instance sees only when the client
// acknowledges them.
func (e *Engine) measureAnswer(now time.Duration, f *flow, p Packet, elapsed time.Duration, bytes uint32) {
	first := f.answers == 0
	f.answers = min(f.answers+1, manyAnswers)
	r := e.routeOf(f.key)
	// A packet with data may carry the acknowledgement much later than the answer arrived.
	if r == nil || p.Length > 0 || p.Reset {
		return
	}
	svc := f.server.service
	kind := r.answers.Classify(bytes, first, p.Finish)
	if kind == serverload.Unclear {
		return
	}
	// The opening packets took the same way between client, instance and server.
	elapsed = max(elapsed-time.Duration(f.handshake)*time.Millisecond, time.Millisecond)
	if !r.answers.Short(bytes) {
		svc.ackDelay.Add(kind, elapsed)
	}
	refusalLimit := f.server.estimate().serviceTime
	if kind == serverload.Late {
		if delay, known := e.ackDelayOf(svc); known {
			elapsed = max(elapsed-delay, time.Millisecond)
		} else if mean, only := svc.ackDelay.OnlyLate(); only {
			// The times include an unknown delay. Only their ratios count.
			elapsed = time.Duration(float64(elapsed) * float64(defaultServiceTime) / float64(mean))
			refusalLimit *= relativeRefusalFactor
		} else {
			return
		}
	}
	refusal := r.answers.Refusal(bytes, elapsed, refusalLimit)
	r.answers.AddLength(bytes)
	if refusal {
		return
	}
	svc.recordResponse(elapsed)
	m := &f.server.meter
	m.speed.Add(now, min(elapsed, time.Duration(maxSampleRatio*float64(f.server.estimate().response))))
	e.activeServers[f.server] = struct{}{}
}

// ackDelayOf returns by how long clients delay the acknowledgement of small answers of a service:
// as measured there, or else at another service, since it depends mainly on the clients.
func (e *Engine) ackDelayOf(svc *service) (time.Duration, bool) {
	if delay, known := svc.ackDelay.Value(); known {
		e.ackDelay, e.ackDelayKnown = delay, true
		return delay, true
	}
	return e.ackDelay, e.ackDelayKnown
}

// observeNextRequest learns that a flow stays open after its first answer.
func (e *Engine) observeNextRequest(f *flow) {
	if f.answers != 1 {
		return
	}
	if r := e.routeOf(f.key); r != nil {
		r.answers.FlowContinued()
	}
}

// observeFlowEnd learns whether a flow ends right after its first answer. idle is the time since
// the packet before.
func (e *Engine) observeFlowEnd(f *flow, idle time.Duration) {
	if f.answers != 1 || f.requestPending {
		return
	}
	if r := e.routeOf(f.key); r == nil {
		return
	} else if idle <= closeAfterAnswer {
		r.answers.FlowEnded()
	} else {
		r.answers.FlowContinued()
	}
}
