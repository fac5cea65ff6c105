package forwarding

import "time"

const (
	// openSuspectAfter is the time without an answer to an opening packet that makes its
	// server suspect: ten times the delay to a client and a server of another domain,
	// below the 200 ms after which a client repeats the packet.
	openSuspectAfter = 60 * time.Millisecond
	// repeatSuspectAfter is the age of data that is sent again; clients repeat after
	// 200 ms.
	repeatSuspectAfter = 150 * time.Millisecond
	// resetUnreachableAfter is the time without progress on any flow before flows of an
	// unreachable server are reset. It is above half a second, the longest time that
	// packets wait in a link that still counts as working.
	resetUnreachableAfter = 900 * time.Millisecond
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
	silent       int           // probes in a row without an answer
	since        time.Duration // of the suspicion
	lastProgress time.Duration // last sign of life on any flow
	nextProbe    time.Duration
}

// ProbeOutcome is the outcome of a connection attempt.
type ProbeOutcome uint8

// The outcomes of probes.
const (
	Answered ProbeOutcome = iota
	Refused
	Silent
)

// progress notes a sign of life of the server.
func (s *server) progress(now time.Duration) {
	s.evidence.lastProgress = now
	if s.evidence.state == suspected {
		s.evidence.state = trusted
	}
}

// suspect starts a probe of the server unless one is under way.
func (e *Engine) suspect(now time.Duration, s *server) []Action {
	v := &s.evidence
	if v.probing || v.state >= unreachable {
		return nil
	}
	if v.state == trusted {
		v.state, v.since, v.silent = suspected, now, 0
	}
	return e.probe(s)
}

func (e *Engine) probe(s *server) []Action {
	s.evidence.probing = true
	return []Action{{Kind: Probe, Target: s.target(), Server: s.Name}}
}

// Probed applies the outcome of a probe. stalled says that the process itself did not
// run for a part of the time, so that silence proves nothing.
func (e *Engine) Probed(now time.Duration, name string, outcome ProbeOutcome, stalled bool) []Action {
	s := e.servers[name]
	if s == nil {
		return nil
	}
	v := &s.evidence
	v.probing = false
	switch outcome {
	case Answered:
		if !v.replaced {
			v.state, v.silent, v.lastProgress = trusted, 0, now
		}
		return nil
	case Refused:
		return e.declareDead(now, s)
	}
	v.nextProbe = now + probeAgain
	if stalled || v.state == dead || v.state == trusted {
		return nil
	}
	v.silent++
	return e.silentProbe(now, s)
}

// silentProbe acts on a probe without an answer: the first one keeps new flows away,
// later ones also reset open flows.
func (e *Engine) silentProbe(now time.Duration, s *server) []Action {
	v := &s.evidence
	if v.state == suspected {
		v.state = unreachable
		v.nextProbe = now
		return e.reopen(now, s)
	}
	if now-v.lastProgress < resetUnreachableAfter || now-v.since < resetUnreachableAfter {
		v.nextProbe = now
		return nil
	}
	return e.resetFlows(now, s, false)
}

// declareDead moves waiting opening packets to other servers and resets all flows.
func (e *Engine) declareDead(now time.Duration, s *server) []Action {
	v := &s.evidence
	v.nextProbe = now + probeAgain
	if v.state == dead {
		return nil
	}
	v.state, v.since = dead, now
	return append(e.reopen(now, s), e.resetFlows(now, s, true)...)
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

// resettable reports whether a packet of the flow is answered with a reset because of
// its server's state.
func (s *server) resettable(now time.Duration, f *flow) bool {
	switch s.evidence.state {
	case dead:
		return true
	case unreachable:
		return s.evidence.silent > 1 && now-s.evidence.lastProgress >= resetUnreachableAfter && (f.kind != NonIdempotent || !f.waiting)
	}
	return false
}
