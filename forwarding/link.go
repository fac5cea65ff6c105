package forwarding

import "time"

// The silence of a server may be that of the instance's own link, for example while a
// large configuration fills it.
const (
	// linkProofAge is the age up to which a quick answer of another server shows that the
	// instance's own link works.
	linkProofAge = 100 * time.Millisecond
	// minQuickAnswer is longer than a handshake within a region and most requests. A quick
	// answer must not take longer than a probe waits: a link on which answers take 60 to
	// 100 ms made working servers look silent and proved itself by the same answers.
	minQuickAnswer = 30 * time.Millisecond
	// provenAge is the age up to which the last proven silence counts for packets that
	// arrive; an unreachable server is probed each second.
	provenAge = probeAgain + 300*time.Millisecond
)

// ControlOutcome tells what came of the connection to the control server, which is opened
// together with a probe and passes the same link at the same time.
type ControlOutcome uint8

// The outcomes of control connections.
const (
	NoControl       ControlOutcome = iota // none was asked for
	ControlAnswered                       // connected quickly: the link works
	ControlLate                           // not connected quickly: silence proves nothing
)

// noteAnswer notes an answer that came elapsed after what it answers.
func (e *Engine) noteAnswer(now time.Duration, s *server, elapsed time.Duration) {
	if elapsed > max(e.openSuspectAfter(), minQuickAnswer) {
		return
	}
	if e.quickServer != s {
		e.quickServer, e.otherQuick = s, e.lastQuick
	}
	e.lastQuick = now
}

// linkWorks reports whether a server other than s answered quickly just now.
func (e *Engine) linkWorks(now time.Duration, s *server) bool {
	last := e.lastQuick
	if e.quickServer == s {
		last = e.otherQuick
	}
	return now-last <= linkProofAge
}

// silenceProven reports whether the silence of a probe is the server's own. Recent answers
// of others are enough to keep new flows away. Flows are reset on later silences only, and
// these need a control connection.
func (e *Engine) silenceProven(now time.Duration, s *server, control ControlOutcome) bool {
	if control == NoControl {
		return s.evidence.state == suspected && e.linkWorks(now, s)
	}
	return control == ControlAnswered
}

// controlFor returns a trusted server other than s, preferring the one that answered last;
// the zero Target if there is none.
func (e *Engine) controlFor(s *server) Target {
	if q := e.quickServer; q != nil && q != s && q.controls() {
		return q.target()
	}
	for _, svc := range e.services {
		for _, servers := range [][]*server{svc.local, svc.remote} {
			for _, c := range servers {
				if c != s && c.controls() {
					return c.target()
				}
			}
		}
	}
	return Target{}
}

// controls reports whether a connection to the server can show that the link works.
func (s *server) controls() bool { return s.listed && s.evidence.state == trusted }
