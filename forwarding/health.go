package forwarding

import (
	"net/netip"
	"time"
)

const (
	// A server becomes suspected when an opening packet stays unanswered for
	// openSuspectFactor times the average handshake time, within the bounds below. The upper
	// bound is below the 200 ms after which a client retransmits the packet.
	openSuspectFactor = 4
	minOpenSuspect    = 12 * time.Millisecond
	maxOpenSuspect    = 60 * time.Millisecond
	// initialHandshake is the initial value of the average handshake time.
	initialHandshake = 6 * time.Millisecond
	// handshakeGain is the weight of a new sample in the moving average of handshake times.
	handshakeGain = 1.0 / 32
	// A server with pending requests becomes suspected after a time without progress on any
	// flow: silentFactor times the mean response time of its
	// service, within the bounds below. The longest requests take about as long as the lower
	// bound. When all servers are overloaded, most requests do, and each would cause a probe
	// that takes a slot. The upper bound keeps the detection of a dead server within two seconds.
	silentFactor          = 4
	minSilentSuspectAfter = 120 * time.Millisecond
	maxSilentSuspectAfter = 480 * time.Millisecond
	// responseGain is the weight of a new sample in the moving average of response times.
	responseGain = 1.0 / 16
	// suspectRetryInterval is the minimum time between probes of a server that answers them.
	// It doubles with each answer, up to maxSuspectDoublings times, while missing progress is
	// the only evidence against the server: requests at a busy server take long, and probes
	// use its slots and connections.
	suspectRetryInterval = 400 * time.Millisecond
	maxSuspectDoublings  = 4
	// suspectBackoffReset is the time since the last answered probe after which the doubling
	// starts again.
	suspectBackoffReset = 10 * time.Second
	// Flows of an unreachable server are reset only after resetUnreachableAfter without
	// progress on any flow and resetUnansweredProbes unanswered probes. Resetting a working flow
	// is the worst error, so a single unanswered probe is not enough.
	resetUnreachableAfter = 300 * time.Millisecond
	resetUnansweredProbes = 4
	// resetRetransmissions is the number of client retransmissions without progress of the
	// server that a reset requires: an idle server that does not answer probes may still
	// serve its flows.
	resetRetransmissions = 2
	// lastResortUnansweredProbes is the number of unanswered probes below which an unreachable
	// server still gets new flows if no other server is eligible.
	lastResortUnansweredProbes = 2 * resetUnansweredProbes
	// inconclusiveProbeInterval is the time between probes while the instance's own link is
	// not known to work, so that probes do not saturate it.
	inconclusiveProbeInterval = 250 * time.Millisecond
	// downProbeInterval is the time between probes of a dead or unreachable server.
	downProbeInterval = time.Second
)

// healthState is a server's state as derived from its packets and probes.
type healthState uint8

const (
	trusted     healthState = iota
	suspected               // a probe is pending
	unreachable             // probes are not answered
	refusing                // the server's address refuses connections; its process may still serve open flows
	dead                    // the server's process has ended
)

var healthStateNames = [...]string{"trusted", "suspected", "unreachable", "refusing", "dead"}

func (s healthState) String() string { return healthStateNames[s] }

// serverHealth is what this instance knows about a server from its packets and probes.
type serverHealth struct {
	state              healthState
	wasDown            bool // it was unreachable, refusing or dead since it was last trusted
	probing            bool
	replaced           bool          // another server has answered at the server's address
	retransmissions    int           // client retransmissions since the last progress or answered probe
	unansweredProbes   int           // consecutive unanswered probes
	lastProgress       time.Duration // last packet that showed progress on any flow
	nextProbe          time.Duration
	nextSuspect        time.Duration // earliest time at which the server may become suspected again
	inconclusive       bool          // the own link may have caused the last unanswered probe
	timeoutConfirmedAt time.Duration // last unanswered probe that the server itself caused
	flowsResetAt       time.Duration // last reset of the server's flows by resetRemainingFlows
	answeredProbes     int           // consecutive answered probes, up to maxSuspectDoublings
	answeredAt         time.Duration // last answered probe
	asked              bool          // the settlers were asked since the server became suspected
	settledAnswers     int           // consecutive answers of settlers that the server is alive, without progress
	peerConfirmedAt    time.Duration // last report of a peer that it resets its flows at the server
	confirmedAt        time.Duration // last own report of that kind
	askedByPeer        bool          // peers wait for the outcome of a probe
	reported           bool          // unreachable only by a peer's report
	reportedUntil      time.Duration // end of that report
	nextAsk            time.Duration // earliest time of the next probe by askAgain
	deferred           bool          // suspected while the server may not be probed
}

// ProbeOutcome is the outcome of a probe.
type ProbeOutcome uint8

// The outcomes of probes.
const (
	Answered       ProbeOutcome = iota // the intended server answered
	Refused                            // the address refused the connection
	ConnectTimeout                     // the connection timed out
	NoValidAnswer                      // connected, but no valid answer in time
	OtherServer                        // another server answered at the address
)

// setState sets a server's state and updates the set of servers that are not trusted.
func (e *Engine) setState(s *server, state healthState) {
	s.health.state, s.health.reported, s.health.replaced = state, false, false
	s.health.wasDown = state >= unreachable || state == suspected && s.health.wasDown
	if state == trusted {
		s.health.asked = false
		delete(e.untrustedServers, s)
	} else {
		e.untrustedServers[s] = struct{}{}
	}
}

// recordProgress records progress of the server. elapsed is the time since the packet that it
// answers.
func (e *Engine) recordProgress(now time.Duration, s *server, elapsed time.Duration) {
	s.health.lastProgress, s.health.retransmissions, s.health.settledAnswers = now, 0, 0
	if elapsed != unknownElapsed { // this instance sent what the server has answered
		s.unproven, s.answeredAt = false, now
	}
	if s.health.state == suspected || s.health.reported {
		if s.health.wasDown {
			e.markCold(now, s, coldAnsweredAgain)
		}
		e.setState(s, trusted)
	}
	e.recordAnswer(now, s, elapsed)
}

// progressedAfter reports whether the server made progress after a time in milliseconds.
// Progress in the same millisecond does not count: a request often carries the
// acknowledgement of earlier data.
func (s *server) progressedAfter(ms uint32) bool { return millis(s.health.lastProgress) > ms }

// suspectRefusals suspects the servers of the client's earlier opening packets that are still
// unanswered: a client whose connection is refused opens the next flow within about a
// handshake time.
func (e *Engine) suspectRefusals(now time.Duration, k FlowKey) []Action {
	var actions []Action
	for _, p := range e.pending[max(0, len(e.pending)-maxPendingLookup):] {
		f := p.flow
		if !e.waits(now, &p) || f.key == k || f.key.Client != k.Client || f.key.Service != k.Service {
			continue
		}
		if now-p.at >= time.Duration(e.handshake/2) && !f.server.progressedAfter(millis(p.at)) {
			actions = append(actions, e.suspect(now, f.server)...)
		}
	}
	return actions
}

// maxPendingLookup bounds the pending opening packets examined for one new flow.
const maxPendingLookup = 64

// openSuspectAfter returns how long an opening packet may stay unanswered before its server
// becomes suspected.
func (e *Engine) openSuspectAfter() time.Duration {
	return min(max(time.Duration(e.handshake*openSuspectFactor), minOpenSuspect), maxOpenSuspect)
}

// suspect marks the server as suspected and investigates it, unless that is under way or not
// due.
func (e *Engine) suspect(now time.Duration, s *server) []Action {
	h := &s.health
	if h.probing || h.state >= unreachable && !h.reported || now < h.nextSuspect {
		return nil
	}
	if h.state != suspected {
		e.setState(s, suspected)
		h.unansweredProbes = 0
	}
	return e.investigate(now, s)
}

func (e *Engine) probe(s *server) []Action {
	h := &s.health
	h.probing = true
	a := Action{Kind: Probe, Target: s.target(), Server: s.Name, Path: e.healthPath(s), Incarnation: s.incarnation}
	if h.state == unreachable || h.inconclusive {
		a.Reference = e.referenceFor(s)
	}
	return []Action{a}
}

// ProbeResult is the result of a probe.
type ProbeResult struct {
	Outcome   ProbeOutcome
	Elapsed   time.Duration
	Stalled   bool // the process was paused during the probe, so a missing answer proves nothing
	Reference ReferenceOutcome
	Address   netip.AddrPort // that was probed; if not set, the server's
	Answerer  string         // name of the server that answered, if the outcome is OtherServer
	// Incarnation is that of the probe's Action. The result of a probe that began before the
	// server restarted says nothing about the new process.
	Incarnation uint32
}

// ApplyProbeResult handles the result of a probe.
func (e *Engine) ApplyProbeResult(now time.Duration, name string, r ProbeResult) []Action {
	s := e.servers[name]
	if s == nil || r.Incarnation != s.incarnation {
		return nil
	}
	if r.Address.IsValid() && r.Address != s.Address {
		return e.applyClaimResult(now, s, r)
	}
	h := &s.health
	h.probing = false
	began := now - r.Elapsed
	outcome := r.Outcome
	if s.unproven && outcome == NoValidAnswer {
		outcome = ConnectTimeout // another server may have the address
	}
	switch outcome {
	case Answered, NoValidAnswer:
		// A server that accepts connections but answers slowly may just be busy.
		if outcome == NoValidAnswer && h.replaced {
			h.nextProbe = now + downProbeInterval
			return nil
		}
		e.trustAfterAnswer(now, s)
		h.settledAnswers, h.retransmissions = 0, 0
		actions := e.tellAlive(s)
		if outcome == Answered {
			e.recordAnswer(now, s, r.Elapsed)
			actions = append(actions, e.confirmOwner(now, s, began)...)
		}
		return actions
	case Refused:
		return e.applyRefusal(now, s, began)
	case OtherServer:
		actions := e.replaced(now, s, began)
		return append(actions, e.applyAnswerer(now, s.Address, r.Answerer, began)...)
	}
	h.nextProbe = now + downProbeInterval
	if h.state == dead || h.state == trusted {
		return nil
	}
	if h.inconclusive = r.Stalled || !e.timeoutConfirmed(now, s, r.Reference); h.inconclusive {
		h.nextProbe = now + inconclusiveProbeInterval
		return nil
	}
	if h.state == refusing {
		e.setState(s, unreachable) // the address does not answer at all any more
	}
	h.unansweredProbes++
	h.timeoutConfirmedAt = now
	return e.handleUnansweredProbe(now, s)
}

// trustAfterAnswer trusts a server that answered a probe of this instance or of a settler.
func (e *Engine) trustAfterAnswer(now time.Duration, s *server) {
	h := &s.health
	if h.wasDown || s.unproven {
		e.markCold(now, s, coldAnsweredAgain)
	}
	e.setState(s, trusted)
	s.unproven = false
	h.unansweredProbes, h.inconclusive, h.nextSuspect = 0, false, now+suspectRetryInterval
	if now-h.answeredAt > suspectBackoffReset {
		h.answeredProbes = 0
	}
	h.answeredProbes, h.answeredAt = min(h.answeredProbes+1, maxSuspectDoublings), now
}

// handleUnansweredProbe handles an unanswered probe that the server itself caused. The first
// one makes the server unreachable and keeps new flows away; later ones may reset its open
// flows.
func (e *Engine) handleUnansweredProbe(now time.Duration, s *server) []Action {
	h := &s.health
	if h.state == suspected {
		e.setState(s, unreachable)
		h.nextProbe = now
		return e.reportDown(now, s)
	}
	if !e.certainlyUnreachable(now, s) {
		if s.flows > 0 && h.unansweredProbes < resetUnansweredProbes {
			h.nextProbe = now // open flows wait for the decision
			return nil
		}
		return e.repeatReport(s)
	}
	actions := append(e.confirmToPeers(now, s), e.resetFlows(now, s, false)...)
	return append(actions, e.repeatReport(s)...)
}

// certainlyUnreachable reports whether there is enough evidence to reset the flows of a
// server whose address has not refused a connection.
func (e *Engine) certainlyUnreachable(now time.Duration, s *server) bool {
	h := &s.health
	retransmitted := h.retransmissions >= resetRetransmissions ||
		h.peerConfirmedAt > h.lastProgress && now-h.peerConfirmedAt <= confirmedTimeoutLifetime
	return h.state == unreachable && h.unansweredProbes >= resetUnansweredProbes && retransmitted &&
		now-h.lastProgress >= resetUnreachableAfter && now-h.timeoutConfirmedAt <= confirmedTimeoutLifetime
}

// redirectPending sends the stored opening packets of an unresponsive server to other
// servers.
func (e *Engine) redirectPending(now time.Duration, s *server) []Action {
	var actions []Action
	for _, p := range e.pending {
		f := p.flow
		if f.server != s || !e.waits(now, &p) {
			continue
		}
		r := e.routes[routeKey{f.key.Service, f.key.ServicePort}]
		if r == nil {
			continue
		}
		next := e.choose(now, r)
		if next == nil {
			e.countPassedOver()
			continue
		}
		e.moveOpening(now, f, next, r)
		e.countOpeningPacket(now, next)
		actions = append(actions, Action{Kind: SendPacket, Flow: f.key, Packet: p.packet, Target: next.target(), Server: next.Name, Reason: ServerDead})
	}
	return actions
}

// resetFlows resets the tracked flows of a server. Unless the server is certainly dead, flows
// with a pending non-idempotent request are kept: the client may not repeat the request, and
// the answer may still arrive. Flows that may have ended at another instance are forgotten without a
// reset, which could reach a later flow at another server; if such a flow is still open, its next packet
// leads to the reset.
func (e *Engine) resetFlows(now time.Duration, s *server, certain bool) []Action {
	if s.flows == 0 {
		return nil
	}
	var actions []Action
	for _, f := range e.flows {
		if f.server != s || f.state != open || !certain && f.requestPending && f.kind == NonIdempotent {
			continue
		}
		if e.mayHaveEndedElsewhere(now, f) {
			e.removeFlow(f)
			continue
		}
		actions = append(actions, Action{Kind: SendReset, Flow: f.key, Sequence: f.ack, Server: s.Name, Reason: ServerDead})
		e.removeFlow(f)
	}
	return actions
}

// resetRemainingFlows resets all flows of an unreachable server, once per confirmed
// unanswered probe. Without it, their clients would notice only by retransmitting a request.
func (e *Engine) resetRemainingFlows(now time.Duration, s *server) []Action {
	h := &s.health
	if h.state != unreachable || h.flowsResetAt >= h.timeoutConfirmedAt {
		return nil
	}
	h.flowsResetAt = now
	return append(e.confirmToPeers(now, s), e.resetFlows(now, s, false)...)
}

// shouldReset reports whether a packet of the flow is answered with a reset because its
// server does not answer any more.
func (e *Engine) shouldReset(now time.Duration, f *flow) bool {
	if f.server.health.replaced {
		return true
	}
	return (f.kind != NonIdempotent || !f.requestPending) && e.certainlyUnreachable(now, f.server)
}

// checkSilence suspects servers that make no progress on their pending requests.
func (e *Engine) checkSilence(now time.Duration) []Action {
	var actions []Action
	for s := range e.busyServers {
		h := &s.health
		if now-max(s.pendingSince, h.lastProgress) >= s.service.silentAfter() && now >= h.answeredAt+suspectRetryInterval<<h.answeredProbes {
			actions = append(actions, e.suspect(now, s)...)
		}
	}
	return actions
}

// silentAfter returns the time without progress after which a server with pending requests
// becomes suspected.
func (s *service) silentAfter() time.Duration {
	return min(max(time.Duration(silentFactor*s.responseTime), minSilentSuspectAfter), maxSilentSuspectAfter)
}

// recordResponse updates the mean response time of the service, queueing included.
func (s *service) recordResponse(d time.Duration) {
	s.responseTime += (float64(d) - s.responseTime) * responseGain
}

// setRequestPending records whether the flow has a pending request.
func (e *Engine) setRequestPending(now time.Duration, f *flow, pending bool) {
	if f.requestPending == pending {
		return
	}
	f.requestPending = pending
	s := f.server
	if !pending {
		if s.pendingRequests--; s.pendingRequests == 0 {
			delete(e.busyServers, s)
		}
		return
	}
	if s.pendingRequests++; s.pendingRequests == 1 {
		s.pendingSince = now
		e.busyServers[s] = struct{}{}
	}
}
