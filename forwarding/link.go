package forwarding

import "time"

// A missing answer may be caused by congestion of the instance's own link, for example while
// it transfers a large configuration, instead of by the server.
const (
	// quickAnswerLifetime is how long a quick answer of another server counts as evidence that
	// the instance's own link works.
	quickAnswerLifetime = 100 * time.Millisecond
	// minQuickAnswer is the minimum of the time within which an answer counts as quick. It is
	// longer than a handshake within a region and most requests, but must stay below the time
	// that a probe waits for a connection: on a link with a latency of 60 to 100 ms, working
	// servers missed the probe timeout while answers just as slow counted as evidence that
	// the link worked.
	minQuickAnswer = 30 * time.Millisecond
	// confirmedTimeoutLifetime is how long an unanswered probe counts in decisions about
	// later packets. Unreachable servers are probed each second.
	confirmedTimeoutLifetime = downProbeInterval + 300*time.Millisecond
)

// ReferenceOutcome is the outcome of the reference connection of a probe: a connection to a
// reference server that is opened together with the probe, so that both use the same link at
// the same time.
type ReferenceOutcome uint8

// The outcomes of reference connections.
const (
	NoReference       ReferenceOutcome = iota // no reference connection was requested
	ReferenceAnswered                         // connected quickly: the own link works
	ReferenceLate                             // not connected quickly: a missing answer to the probe proves nothing
)

// recordAnswer records an answer of the server. elapsed is the time since the packet that it
// answers.
func (e *Engine) recordAnswer(now time.Duration, s *server, elapsed time.Duration) {
	if elapsed > max(e.openSuspectAfter(), minQuickAnswer) {
		return
	}
	if e.quickAnswerServer != s {
		e.quickAnswerServer, e.otherQuickAnswer = s, e.lastQuickAnswer
	}
	e.lastQuickAnswer = now
}

// linkWorks reports whether a server other than s gave a quick answer recently.
func (e *Engine) linkWorks(now time.Duration, s *server) bool {
	last := e.lastQuickAnswer
	if e.quickAnswerServer == s {
		last = e.otherQuickAnswer
	}
	return last > 0 && now-last <= quickAnswerLifetime
}

// timeoutConfirmed reports whether the server, and not the own link, caused an unanswered
// probe. For the first one, recent answers of other servers suffice, since it only keeps new
// flows away. Later ones may reset flows and need a reference connection.
func (e *Engine) timeoutConfirmed(now time.Duration, s *server, reference ReferenceOutcome) bool {
	if reference == NoReference {
		return s.health.state == suspected && e.linkWorks(now, s)
	}
	return reference == ReferenceAnswered
}

// referenceFor returns a trusted server other than s for a reference connection, preferably
// the one that answered last; the zero Target if there is none.
func (e *Engine) referenceFor(s *server) Target {
	if q := e.quickAnswerServer; q != nil && q != s && e.usableAsReference(q) {
		return q.target()
	}
	for _, svc := range e.services {
		for _, servers := range [][]*server{svc.local, svc.remote} {
			for _, c := range servers {
				if c != s && e.usableAsReference(c) {
					return c.target()
				}
			}
		}
	}
	return Target{}
}

// usableAsReference reports whether a connection to the server can show that the own link
// works.
func (e *Engine) usableAsReference(s *server) bool {
	return s.listed && s.health.state == trusted && e.mayProbe(s, &s.Server)
}
