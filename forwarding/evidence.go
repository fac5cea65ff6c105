package forwarding

import "time"

const (
	// openSuspectFactor times the usual time of a handshake without an answer to an
	// opening packet makes its server suspect, within the bounds below. A client repeats
	// the packet after 200 ms.
	openSuspectFactor = 4
	minOpenSuspect    = 12 * time.Millisecond
	maxOpenSuspect    = 60 * time.Millisecond
	// priorHandshake stands for the usual time of a handshake before the first one.
	priorHandshake = 6 * time.Millisecond
	// handshakeGain is the weight of a new handshake in the moving average.
	handshakeGain = 1.0 / 32
	// silentSuspectAfter is the time without progress on any flow of a server with
	// requests under way that makes it suspect: the longest requests take about as long.
	silentSuspectAfter = 120 * time.Millisecond
	// suspectAgain is the least time between probes of a server that answers them. It
	// doubles with each answer while only silence speaks against the server: requests at
	// a busy one take long, and probes take its slots and connections.
	suspectAgain       = 400 * time.Millisecond
	maxSuspectDoubling = 4
	// suspectCalm is the time after which earlier answers do not count any more.
	suspectCalm = 10 * time.Second
	// resetUnreachableAfter and silentProbes are the time without progress on any flow
	// and the probes without an answer before flows of an unreachable server are reset.
	// A reset of a working flow is the worst error, so silence must repeat.
	resetUnreachableAfter = 300 * time.Millisecond
	silentProbes          = 4
	// resetRepeats is the number of packets that clients sent again without any progress
	// of the server: an idle server that no probe reaches may still serve.
	resetRepeats = 2
	// lastResortProbes is the number of silent probes up to which an unreachable server
	// still gets new flows if there is no other.
	lastResortProbes = 2 * silentProbes
	// unprovenAgain is the time between probes while the own link is not proven to work,
	// so that they do not fill it.
	unprovenAgain = 250 * time.Millisecond
	// probeAgain is the time between attempts to reach a dead server.
	probeAgain = time.Second
)

// evidenceState is what packets and probes say about a server.
type evidenceState uint8

const (
	trusted     evidenceState = iota
	suspected                 // a probe is under way
	unreachable               // probes stay without an answer
	dead                      // the server's address refuses connections or belongs to another one
)

var evidenceNames = [...]string{"trusted", "suspected", "unreachable", "dead"}

func (s evidenceState) String() string { return evidenceNames[s] }

type evidence struct {
	state        evidenceState
	probing      bool
	replaced     bool          // a newer record names the server's address
	repeats      int           // packets that clients sent again since the last progress
	silent       int           // probes in a row without an answer
	lastProgress time.Duration // last sign of life on any flow
	nextProbe    time.Duration
	nextSuspect  time.Duration
	unproven     bool          // the last silence may have been that of the own link
	provenAt     time.Duration // last silence that was the server's own
	flowsReset   time.Duration // when the flows were reset because of it
	answers      int           // probes in a row that were answered
	answeredAt   time.Duration // the last of them
}

// ProbeOutcome is the outcome of a probe.
type ProbeOutcome uint8

// The outcomes of probes.
const (
	Answered    ProbeOutcome = iota // by the server itself
	Refused                         // nobody listens at its address
	Silent                          // no connection in time
	Mute                            // connected, but no answer in time
	OtherServer                     // the address belongs to another server
)

// setState changes what is believed of a server and keeps the set of those in doubt.
func (e *Engine) setState(s *server, state evidenceState) {
	s.evidence.state = state
	if state == trusted {
		delete(e.doubted, s)
	} else {
		e.doubted[s] = struct{}{}
	}
}

// progress notes a sign of life of the server, elapsed after what it answers.
func (e *Engine) progress(now time.Duration, s *server, elapsed time.Duration) {
	s.evidence.lastProgress, s.evidence.repeats = now, 0
	if s.evidence.state == suspected {
		e.setState(s, trusted)
	}
	e.noteAnswer(now, s, elapsed)
}

// progressedAfter reports a sign of life after a time in milliseconds. One in the same
// millisecond does not count: a request often comes with the acknowledgement of what
// was before it.
func (s *server) progressedAfter(ms uint32) bool { return millis(s.evidence.lastProgress) > ms }

// Suspect applies a peer's evidence against a server.
func (e *Engine) Suspect(now time.Duration, cookie uint32) []Action {
	var actions []Action
	for _, s := range e.byCookie[cookie] {
		actions = append(actions, e.suspect(now, s)...)
	}
	return actions
}

// suspectRefusals suspects the servers that a client's earlier opening packets went to:
// a client whose attempt is reset opens the next flow within the time that a handshake
// would have taken.
func (e *Engine) suspectRefusals(now time.Duration, k FlowKey) []Action {
	var actions []Action
	for _, p := range e.pending[max(0, len(e.pending)-maxPendingLookup):] {
		f := p.flow
		if p.key != f.key || f.state != opening || f.key == k || f.key.Client != k.Client || f.key.Service != k.Service {
			continue
		}
		if now-p.at >= time.Duration(e.handshake/2) && !f.server.progressedAfter(millis(p.at)) {
			actions = append(actions, e.suspect(now, f.server)...)
		}
	}
	return actions
}

// maxPendingLookup bounds the work for one opening packet.
const maxPendingLookup = 64

// openSuspectAfter returns the time without an answer to an opening packet that makes
// its server suspect.
func (e *Engine) openSuspectAfter() time.Duration {
	return min(max(time.Duration(e.handshake*openSuspectFactor), minOpenSuspect), maxOpenSuspect)
}

// suspect starts a probe of the server unless one is under way.
func (e *Engine) suspect(now time.Duration, s *server) []Action {
	v := &s.evidence
	if v.probing || v.state >= unreachable || v.replaced || now < v.nextSuspect {
		return nil
	}
	if v.state == trusted {
		e.setState(s, suspected)
		v.silent = 0
	}
	return e.probe(s)
}

func (e *Engine) probe(s *server) []Action {
	v := &s.evidence
	v.probing = true
	a := Action{Kind: Probe, Target: s.target(), Server: s.Name, Path: s.service.healthPath}
	if v.state == unreachable || v.unproven {
		a.Control = e.controlFor(s)
	}
	return []Action{a}
}

// ProbeResult is what came of a probe.
type ProbeResult struct {
	Outcome ProbeOutcome
	Elapsed time.Duration
	Stalled bool // the process did not run for a part of the time, so that silence proves nothing
	Control ControlOutcome
}

// Probed applies the outcome of a probe.
func (e *Engine) Probed(now time.Duration, name string, r ProbeResult) []Action {
	s := e.servers[name]
	if s == nil {
		return nil
	}
	v := &s.evidence
	v.probing = false
	switch r.Outcome {
	case Answered, Mute:
		// A server that accepts connections but is slow to answer may be busy.
		if !v.replaced {
			e.setState(s, trusted)
			v.silent, v.unproven, v.nextSuspect = 0, false, now+suspectAgain
			if now-v.answeredAt > suspectCalm {
				v.answers = 0
			}
			v.answers, v.answeredAt = min(v.answers+1, maxSuspectDoubling), now
		}
		if r.Outcome == Answered {
			e.noteAnswer(now, s, r.Elapsed)
		}
		return nil
	case Refused, OtherServer:
		return e.declareDead(now, s)
	}
	v.nextProbe = now + probeAgain
	if v.state == dead || v.state == trusted {
		return nil
	}
	if v.unproven = r.Stalled || !e.silenceProven(now, s, r.Control); v.unproven {
		v.nextProbe = now + unprovenAgain
		return nil
	}
	v.silent++
	v.provenAt = now
	return e.silentProbe(now, s)
}

// silentProbe acts on a probe without an answer: the first one keeps new flows away,
// later ones also reset open flows.
func (e *Engine) silentProbe(now time.Duration, s *server) []Action {
	v := &s.evidence
	if v.state == suspected {
		e.setState(s, unreachable)
		v.nextProbe = now
		return append([]Action{{Kind: TellPeers, Target: s.target(), Server: s.Name}}, e.reopen(now, s)...)
	}
	if !e.certainlyUnreachable(now, s) {
		if s.flows > 0 && v.silent < silentProbes {
			v.nextProbe = now // its flows wait for the proof
		}
		return nil
	}
	return e.resetFlows(now, s, false)
}

// certainlyUnreachable reports whether flows may be reset although nothing refused a
// connection.
func (e *Engine) certainlyUnreachable(now time.Duration, s *server) bool {
	v := &s.evidence
	return v.state == unreachable && v.silent >= silentProbes && v.repeats >= resetRepeats &&
		now-v.lastProgress >= resetUnreachableAfter && now-v.provenAt <= provenAge
}

// declareDead moves waiting opening packets to other servers and resets all flows.
func (e *Engine) declareDead(now time.Duration, s *server) []Action {
	v := &s.evidence
	v.nextProbe = now + probeAgain
	if v.state == dead {
		return nil
	}
	e.setState(s, dead)
	actions := []Action{{Kind: TellPeers, Target: s.target(), Server: s.Name}}
	actions = append(actions, e.reopen(now, s)...)
	return append(actions, e.resetFlows(now, s, true)...)
}

// reopen sends the kept opening packets of a server that does not answer to others.
func (e *Engine) reopen(now time.Duration, s *server) []Action {
	var actions []Action
	for _, p := range e.pending {
		f := p.flow
		if f.server != s || f.state != opening || f.key != p.key {
			continue
		}
		r := e.routes[routeKey{f.key.Service, f.key.ServicePort}]
		if r == nil {
			continue
		}
		next := e.choose(now, r)
		if next == nil {
			continue
		}
		e.assign(f, next)
		e.expect(next)
		f.sentAt = millis(now)
		actions = append(actions, Action{Kind: SendPacket, Flow: f.key, Packet: p.packet, Target: next.target(), Server: next.Name, Reason: ServerDead})
	}
	return actions
}

// resetFlows resets the known flows of a server. Unless the server is certainly dead, a
// flow with a non-idempotent request under way is left alone: its client may not
// repeat the request, and the answer may still come.
func (e *Engine) resetFlows(now time.Duration, s *server, certain bool) []Action {
	if s.flows == 0 {
		return nil
	}
	var actions []Action
	for _, f := range e.flows {
		if f.server != s || f.state != open || !certain && f.waiting && f.kind == NonIdempotent {
			continue
		}
		actions = append(actions, Action{Kind: SendReset, Flow: f.key, Sequence: f.ack, Server: s.Name, Reason: ServerDead})
		e.drop(f)
	}
	return actions
}

// resetOthers resets the other flows of an unreachable server, once for each proof: their
// clients would find out only by repeating a request.
func (e *Engine) resetOthers(now time.Duration, s *server) []Action {
	v := &s.evidence
	if v.state != unreachable || v.flowsReset >= v.provenAt {
		return nil
	}
	v.flowsReset = now
	return e.resetFlows(now, s, false)
}

// resettable reports whether a packet of the flow is answered with a reset because of
// its server's state.
func (e *Engine) resettable(now time.Duration, f *flow) bool {
	if f.server.evidence.state == dead {
		return true
	}
	return (f.kind != NonIdempotent || !f.waiting) && e.certainlyUnreachable(now, f.server)
}

// checkSilence suspects servers that make no progress with the requests under way.
func (e *Engine) checkSilence(now time.Duration) []Action {
	var actions []Action
	for s := range e.busy {
		v := &s.evidence
		if now-max(s.waitingFrom, v.lastProgress) >= silentSuspectAfter && now >= v.answeredAt+suspectAgain<<v.answers {
			actions = append(actions, e.suspect(now, s)...)
		}
	}
	return actions
}

// setWaiting notes whether a request is under way on the flow.
func (e *Engine) setWaiting(now time.Duration, f *flow, waiting bool) {
	if f.waiting == waiting {
		return
	}
	f.waiting = waiting
	s := f.server
	if !waiting {
		if s.waiting--; s.waiting == 0 {
			delete(e.busy, s)
		}
		return
	}
	if s.waiting++; s.waiting == 1 {
		s.waitingFrom = now
		e.busy[s] = struct{}{}
	}
}
