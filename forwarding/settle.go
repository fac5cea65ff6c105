package forwarding

import "time"

// With hundreds of instances, each of them sees only a few requests of a server, and every lost
// packet would let every instance probe the server by itself. A few instances of a failure
// domain, the settlers of a server, therefore probe it for the others: an instance that suspects
// the server asks them and probes by itself only if they do not answer, if they contradict what
// it sees, or before it resets its own flows.
const (
	// askTimeout is how long an instance waits for a settler before it probes by itself. A
	// settler's probe of an unreachable server takes 60 ms, plus the way in both directions.
	askTimeout = 100 * time.Millisecond
	// maxSettledAnswers is the number of consecutive answers of settlers without own progress
	// after which an instance probes by itself: its own path to the server may be broken.
	maxSettledAnswers = 1
	// recentProgress is the age up to which progress on a settler's own flows answers the
	// question of another instance without a probe.
	recentProgress = 50 * time.Millisecond
	// reportLifetime is how long a settler's report keeps new flows away from a server that
	// this instance has not probed. Settlers repeat it with each unanswered probe.
	reportLifetime = 2*downProbeInterval + 500*time.Millisecond
)

// settles reports whether this instance probes the server for its failure domain.
func (e *Engine) settles(s *server) bool { return e.cfg.Settles == nil || e.cfg.Settles(s.cookie) }

// investigate finds out whether a suspected server is alive: it asks the server's settlers or
// probes the server. A server that may not be probed stays suspected until it may.
func (e *Engine) investigate(now time.Duration, s *server) []Action {
	h := &s.health
	if h.deferred = !e.mayProbe(s, &s.Server); h.deferred {
		return nil
	}
	if !s.listed || h.asked || h.settledAnswers >= maxSettledAnswers || e.settles(s) {
		return e.probe(s)
	}
	h.asked = true
	h.nextProbe, h.nextSuspect = now+askTimeout, now+askTimeout
	return []Action{{Kind: AskSettlers, Target: s.target(), Server: s.Name}}
}

// Ask handles the question of a peer whether a server is alive. It is answered by TellAlive or
// TellDown, at once if the server's state is known, else after a probe.
func (e *Engine) Ask(now time.Duration, cookie uint32) []Action {
	var actions []Action
	for _, s := range e.byCookie[cookie] {
		h := &s.health
		switch {
		case !s.listed:
		case h.state == trusted && (now < h.nextSuspect || h.lastProgress > 0 && now-h.lastProgress <= recentProgress):
			actions = append(actions, Action{Kind: TellAlive, Target: s.target(), Server: s.Name})
		case h.state >= unreachable && !h.reported:
			actions = append(actions, Action{Kind: TellDown, Target: s.target(), Server: s.Name})
		default:
			h.askedByPeer = true
			actions = append(actions, e.suspectWithProbe(now, s)...)
		}
	}
	return actions
}

// SettledAlive handles the answer of a settler that a server is alive.
func (e *Engine) SettledAlive(now time.Duration, cookie uint32) {
	for _, s := range e.byCookie[cookie] {
		h := &s.health
		if h.asked && !h.probing && h.state == suspected {
			e.trustAfterAnswer(now, s)
			h.settledAnswers++
		}
	}
}

// tellAlive answers the peers that asked about the server.
func (e *Engine) tellAlive(s *server) []Action {
	if !s.health.askedByPeer {
		return nil
	}
	s.health.askedByPeer = false
	return []Action{{Kind: TellAlive, Target: s.target(), Server: s.Name}}
}

// Suspect handles a peer's report that a server appears to be down. An instance with flows at
// the server, or one that settles suspicions about it, probes it; others only keep new flows away.
func (e *Engine) Suspect(now time.Duration, cookie uint32) []Action {
	var actions []Action
	for _, s := range e.byCookie[cookie] {
		if s.flows > 0 || e.settles(s) && e.mayProbe(s, &s.Server) {
			actions = append(actions, e.suspectWithProbe(now, s)...)
		} else {
			e.markReported(now, s)
		}
	}
	return actions
}

// suspectWithProbe suspects the server and probes it without asking the settlers.
func (e *Engine) suspectWithProbe(now time.Duration, s *server) []Action {
	h := &s.health
	if h.state == suspected && h.asked && !h.probing {
		return e.probe(s)
	}
	h.asked = true
	actions := e.suspect(now, s)
	if h.state != suspected {
		h.asked = false
	}
	return actions
}

// markReported keeps new flows away from a server that a peer reported as down.
func (e *Engine) markReported(now time.Duration, s *server) {
	h := &s.health
	if !s.listed || h.probing || h.state >= unreachable && !h.reported {
		return
	}
	e.relyOnReports(now, s)
}

// probeAgain probes a server that is not trusted once its next probe is due. Without flows at
// the server, only its settlers do so; other instances rely on their reports.
func (e *Engine) probeAgain(now time.Duration, s *server) []Action {
	h := &s.health
	switch {
	case h.probing || now < h.nextProbe:
		return nil
	case !s.listed && (h.state != refusing || e.unansweredFor(now, s) < maxLeavingTime):
		return nil
	case !e.mayProbe(s, &s.Server): // its state stays as it is
		return nil
	case h.deferred && h.state == suspected:
		return e.investigate(now, s)
	case h.replaced && s.flows == 0 && !e.settles(s): // the proof holds until a new process writes a record
		return nil
	case h.reported && now < h.reportedUntil:
		return nil
	case h.reported:
		e.markCold(now, s, coldAnsweredAgain) // its settlers have ended their reports
		e.setState(s, trusted)
		if s.unproven {
			return e.suspect(now, s)
		}
		return nil
	case h.state >= unreachable && s.flows == 0 && !e.settles(s):
		e.relyOnReports(now, s)
		return nil
	}
	return e.probe(s)
}

// relyOnReports keeps new flows away from the server until the reports about it end. A report
// never counts as evidence for a reset, so a dead server becomes unreachable.
func (e *Engine) relyOnReports(now time.Duration, s *server) {
	e.setState(s, unreachable)
	h := &s.health
	h.unansweredProbes, h.reported, h.reportedUntil = 0, true, now+reportLifetime
}

// confirmToPeers tells the peers that this instance resets its flows at the server, provided
// that it has seen client retransmissions itself.
func (e *Engine) confirmToPeers(now time.Duration, s *server) []Action {
	h := &s.health
	if e.cfg.Settles == nil || h.retransmissions < resetRetransmissions || h.confirmedAt > 0 && now-h.confirmedAt < downProbeInterval {
		return nil
	}
	h.confirmedAt = now
	return []Action{{Kind: ConfirmToPeers, Target: s.target(), Server: s.Name}}
}

// ConfirmUnreachable handles the report of a peer that it resets its flows at a server. It takes
// the place of client retransmissions, which an instance with a few idle flows does not see: the
// first request on each of these flows would be lost. Own unanswered probes stay a condition.
func (e *Engine) ConfirmUnreachable(now time.Duration, cookie uint32) []Action {
	var actions []Action
	for _, s := range e.byCookie[cookie] {
		if s.flows == 0 || !s.listed {
			continue
		}
		h := &s.health
		h.peerConfirmedAt = now
		switch {
		case e.certainlyUnreachable(now, s):
			actions = append(actions, e.resetFlows(now, s, false)...)
		case h.state == unreachable && !h.probing && !h.reported:
			actions = append(actions, e.probe(s)...)
		default:
			actions = append(actions, e.suspectWithProbe(now, s)...)
		}
	}
	return actions
}

// repeatReport reports a server that is still down, so that the peers that rely on this
// settler keep new flows away.
func (e *Engine) repeatReport(s *server) []Action {
	if e.cfg.Settles == nil || s.health.state < unreachable || !e.settles(s) {
		return nil
	}
	return []Action{{Kind: ReportToPeers, Target: s.target(), Server: s.Name}}
}
