package forwarding

import "time"

// This file and claims.go answer one question for everything that could reset a flow: what proves
// that a server's process has ended? Records, their order, removals, listings, restored records and
// reports of peers are no proof; they only lead to a probe. The proofs are:
//   - another server answers at the server's address;
//   - the server's address refuses connections although the server cannot be leaving.
//
// A server that may be leaving can refuse connections for many seconds while it serves its open flows,
// so refusals alone prove nothing, however long they last. Its flows are reset only once packets that
// clients repeat have stayed unanswered for longer than its last requests take.
const (
	// lastRequestTime is how long the last requests of a server that leaves may take, queue included.
	// It is below the 600 ms after which a client repeats a packet for the second time.
	lastRequestTime = 500 * time.Millisecond
	// maxLeavingTime is the same for requests that clients may not repeat. Clients give up most
	// requests within this time.
	maxLeavingTime = 3 * time.Second
	// askAgainInterval is the minimum time between probes that packets of flows at a server that
	// refuses connections lead to.
	askAgainInterval = 50 * time.Millisecond
)

// mayBeLeaving reports whether the server may still serve its open flows after it has stopped
// listening. A server that leaves reports that it is draining and listens for at least the bound
// on draining after that, so current records without such a report rule it out. If the records
// were outdated until a moment ago, as after a start, a late write may hide the report.
func (e *Engine) mayBeLeaving(now time.Duration, s *server) bool {
	return !s.listed || s.leaving || now-e.outdatedAt < claimLifetime
}

// applyRefusal handles a refused connection of a probe that began at a time.
func (e *Engine) applyRefusal(now time.Duration, s *server, began time.Duration) []Action {
	switch {
	case s.hasMoved():
		return e.applyClaim(now, s)
	case s.health.state == dead || !e.mayBeLeaving(now, s) && !e.mayBeElsewhere(now, s) && s.answeredAt <= began:
		return e.declareDead(now, s)
	}
	return e.keepFlows(now, s)
}

// keepFlows keeps new flows away from a server that is not at its address any more, but may still
// serve its open flows. These are reset once what their clients miss shows that nobody serves them.
func (e *Engine) keepFlows(now time.Duration, s *server) []Action {
	h := &s.health
	h.nextProbe = now + downProbeInterval
	var actions []Action
	if h.state != refusing {
		e.setState(s, refusing)
		actions = e.reportDown(now, s)
	} else {
		actions = e.repeatReport(s)
	}
	if e.mayBeElsewhere(now, s) {
		return actions
	}
	switch unanswered := e.unansweredFor(now, s); {
	case unanswered >= maxLeavingTime:
		h.retransmissions = 0 // flows that this instance sees later need evidence of their own
		return append(actions, e.resetFlows(now, s, true)...)
	case unanswered >= lastRequestTime:
		return append(actions, e.resetFlows(now, s, false)...)
	}
	return actions
}

// unansweredFor returns for how long requests that clients have repeated are unanswered, without
// another sign of life of the server; 0 without such requests. A pause of this process does not count:
// the packets that show progress may wait to be read, or have gone to other instances.
func (e *Engine) unansweredFor(now time.Duration, s *server) time.Duration {
	h := &s.health
	if s.pendingRequests == 0 || h.retransmissions < resetRetransmissions || now-e.lastTick > maxTickGap {
		return 0
	}
	return now - max(h.lastProgress, h.answeredAt, s.pendingSince, e.runningSince)
}

// askAgain probes a server that refuses connections when a packet arrives for it. The flows that
// were known at the last refusal are settled, so a flow at a dead server may be one of a new
// process that started since.
func (e *Engine) askAgain(now time.Duration, s *server) []Action {
	h := &s.health
	if h.probing || now < h.nextAsk || h.state != dead && (h.state != refusing || e.unansweredFor(now, s) < lastRequestTime) || !e.mayProbe(s, &s.Server) {
		return nil
	}
	h.nextAsk = now + askAgainInterval
	return e.probe(s)
}

// declareDead marks the server's process as ended, moves its pending opening packets to other
// servers and resets its open flows.
func (e *Engine) declareDead(now time.Duration, s *server) []Action {
	h := &s.health
	h.nextProbe = now + downProbeInterval
	var actions []Action
	if h.state == dead {
		actions = e.repeatReport(s)
	} else {
		e.setState(s, dead)
		actions = e.reportDown(now, s)
	}
	return append(actions, e.resetFlows(now, s, true)...)
}

// reportDown tells the peers that the server is down and moves its pending opening packets to
// other servers.
func (e *Engine) reportDown(now time.Duration, s *server) []Action {
	return append([]Action{{Kind: ReportToPeers, Target: s.target(), Server: s.Name}}, e.redirectPending(now, s)...)
}
