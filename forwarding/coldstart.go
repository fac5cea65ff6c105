package forwarding

import (
	"time"

	"github.com/monsoonthread/monsoonthread/slowstart"
)

// A backend server is cold for a while after its process has started. While it is cold, only its
// owner, one instance of its failure domain, sends opening packets to it, within a share of the
// limit. A server counts as cold for as long as its record says, and for the time in the
// configuration after each event that may hide a start of its process.

// ColdStart are the settings that limit the opening packets to cold servers. There is no limit
// unless one of them is set.
type ColdStart struct {
	Overage float64 // factor on the rate that a cold server bears
	Slack   float64 // opening packets per second beyond that
}

// coldReason is why a server counts as cold.
type coldReason uint8

const (
	coldByRecord        coldReason = iota
	coldNewProcess                 // a record of a new process has arrived
	coldRecordReturned             // its record was gone
	coldAnsweredAgain              // it was unreachable, refused connections or was dead
	coldEvacuationEnded            // its failure domain was evacuated
)

var coldReasonNames = [...]string{"record_says_so", "new_process", "record_returned", "answers_again", "evacuation_ended"}

var coldReasonTexts = [...]string{
	"it has just started", "its process is new", "its record has returned", "it answers again after it was down",
	"the evacuation of its failure domain has ended",
}

func (r coldReason) String() string { return coldReasonNames[r] }

// ownershipLifetime is how long the answer of Config.OwnsColdStart is kept, because an answer for a
// failure domain of 45 instances takes 350 ns and a choice may look at hundreds of cold servers.
const ownershipLifetime = 50 * time.Millisecond

// coldStart is what limits the opening packets to a cold server.
type coldStart struct {
	window    slowstart.Window
	reason    coldReason
	marked    bool          // markCold was called since the process of its record is known
	markedAt  time.Duration // last call
	owned     bool          // this instance is the owner
	nextOwner time.Duration // when owned is determined again
	until     time.Duration // end of the cold time that was last reported; 0 without one
}

// limitsColdStarts reports whether the opening packets to cold servers are limited.
func (e *Engine) limitsColdStarts() bool {
	return slowstart.Limit{Overage: e.cfg.ColdStart.Overage, Slack: e.cfg.ColdStart.Slack}.Enabled()
}

// coldShare returns the opening packets that the owner of a cold server of the service may send to
// it in a span.
func (e *Engine) coldShare(svc *service) int {
	return slowstart.Limit{Rate: svc.limits.ColdRate, Overage: e.cfg.ColdStart.Overage, Slack: e.cfg.ColdStart.Slack}.Share()
}

// isCold reports whether the opening packets to the server are limited.
func (e *Engine) isCold(now time.Duration, s *server) bool {
	return now < s.coldUntil && e.limitsColdStarts()
}

// allowsColdStart reports whether the server is warm, or cold and this instance may send another
// opening packet to it. A server of another failure domain may be cold without this instance knowing
// it, so it counts as warm only if its domain offers it, as long as that domain sends reports.
func (e *Engine) allowsColdStart(now time.Duration, s *server) bool {
	if !e.isCold(now, s) {
		if s.local || now < s.leastLoadedUntil || !e.limitsColdStarts() || !e.isReported(s.Domain) {
			return true
		}
	} else if e.ownsColdStart(now, s) && s.cold.window.Allows(now, e.coldShare(s.service)) {
		return true
	}
	e.passedOverCold = true
	return false
}

// ownsColdStart reports whether this instance is the owner of a cold server. Instances of other
// failure domains never are: they may not know the instances of the server's domain.
func (e *Engine) ownsColdStart(now time.Duration, s *server) bool {
	switch {
	case !s.local:
		return false
	case e.cfg.OwnsColdStart == nil:
		return true
	}
	if c := &s.cold; now >= c.nextOwner {
		c.owned, c.nextOwner = e.cfg.OwnsColdStart(s.cookie), now+ownershipLifetime
	}
	return s.cold.owned
}

// withdrawOffer ends the offer of the server by its failure domain and reports whether it is of the
// given one.
func (s *server) withdrawOffer(domain string) bool {
	if s.Domain != domain {
		return false
	}
	s.leastLoadedUntil = 0
	return true
}

// isReported reports whether there is a report about the least loaded servers of another failure
// domain.
func (e *Engine) isReported(domain string) bool {
	_, ok := e.peerLoads[domainSourcePrefix+domain]
	return ok
}

// countOpeningPacket counts an opening packet sent to the server.
func (e *Engine) countOpeningPacket(now time.Duration, s *server) {
	e.countPassedOver()
	if e.isCold(now, s) {
		s.cold.window.Take(now, e.coldShare(s.service))
	}
}

// countPassedOver counts an opening packet that was kept from a cold server.
func (e *Engine) countPassedOver() {
	if e.passedOverCold {
		e.keptFromCold++
		e.passedOverCold = false
	}
}

// markCold marks the server as cold for the time in the configuration of its service. Without a
// limit, this matters only for the load that it is expected to bear after an evacuation; other events
// change nothing then.
func (e *Engine) markCold(now time.Duration, s *server, reason coldReason) {
	if !e.limitsColdStarts() && reason != coldEvacuationEnded {
		return
	}
	s.cold.marked, s.cold.markedAt, s.cold.reason = true, now, reason
	e.extendCold(s, now+s.service.limits.ColdStart)
}

// extendCold makes the server cold until a time or later.
func (e *Engine) extendCold(s *server, until time.Duration) {
	s.coldUntil = max(s.coldUntil, until)
	e.coldServers[s] = struct{}{}
}

// applyColdLeft applies the time for which the server's record says that it is cold. With a limit,
// a record never shortens the time that results from another event.
func (e *Engine) applyColdLeft(now time.Duration, s *server) {
	switch {
	case !e.limitsColdStarts():
		s.coldUntil = now + s.ColdLeft
		if s.cold.marked { // an evacuation has ended
			s.coldUntil = max(s.coldUntil, s.cold.markedAt+s.service.limits.ColdStart)
		}
	case s.ColdLeft > 0:
		if now >= s.coldUntil {
			s.cold.reason = coldByRecord
		}
		e.extendCold(s, now+s.ColdLeft)
	}
}

// markColdAfterRecord marks the server as cold if its record may be the first sign of a new process.
// At the start of this instance, all records are new to it and say themselves which servers are
// cold.
func (e *Engine) markColdAfterRecord(now time.Duration, s *server, isNew, returned, wasDown bool) {
	switch {
	case !e.complete:
	case isNew:
		e.markCold(now, s, coldNewProcess)
	case returned:
		e.markCold(now, s, coldRecordReturned)
	case wasDown:
		e.markCold(now, s, coldAnsweredAgain)
	}
}

// applyColdLimits applies the cold time in the configuration of a service to servers that were
// marked as cold before the configuration named it.
func (e *Engine) applyColdLimits(svc *service) {
	if !e.limitsColdStarts() {
		return
	}
	for _, servers := range [][]*server{svc.local, svc.remote} {
		for _, s := range servers {
			if s.cold.marked {
				e.extendCold(s, s.cold.markedAt+svc.limits.ColdStart)
			}
		}
	}
}

// reportCold returns the actions for servers that have become cold, have become so for longer, or
// are warm again.
func (e *Engine) reportCold(now time.Duration) []Action {
	var actions []Action
	for s := range e.coldServers {
		c := &s.cold
		switch {
		case now >= s.coldUntil:
			if c.until > 0 {
				actions = append(actions, Action{Kind: ReportWarm, Target: s.target(), Server: s.Name, Cause: c.reason.String()})
			}
			c.until = 0
			delete(e.coldServers, s)
		case c.until == 0 || s.coldUntil > c.until && c.reason != coldByRecord:
			c.until = s.coldUntil
			actions = append(actions, Action{Kind: ReportCold, Target: s.target(), Server: s.Name, Cause: c.reason.String(), Left: s.coldUntil - now})
		}
	}
	return actions
}
