package forwarding

import (
	"math"
	"time"
)

const (
	// minOverdue is the least time without any progress after which a request counts as
	// failed: six times the longest usual waits at a busy server (p99 of 80 to 110 ms).
	minOverdue = 500 * time.Millisecond
	// overdueFactor times the usual request time of the service applies where that is more,
	// since a full server queues up to four requests for each slot.
	overdueFactor = 8
	// failureHalfLife is the time in which a failure loses half of its weight. A server that
	// flaps is down again after one to two seconds, so that its failures add up; after its
	// last failure it gets its full share back gradually within about 20 s.
	failureHalfLife = 5 * time.Second
	// minFailures and minFailureShare are the failures, and their share of a server's
	// requests, from which a server counts as failing. Clients that give up and flows that
	// move to another instance cause single ones.
	minFailures     = 2.0
	minFailureShare = 0.02
	// failureContrast is how many times more a server must fail than the mean of the
	// others of its service: failures that all share have another cause, such as the
	// instance's own link.
	failureContrast = 3.0
	// maxFailurePenalty bounds how much busier a failing server is taken to be. It stays
	// usable, so that the others are not overrun when many fail.
	maxFailurePenalty = 5.0
	// maxUnsentFailures bounds the failures that are told to peers in one message.
	maxUnsentFailures = 64
	// negligibleFailures is the weight at which failures are forgotten.
	negligibleFailures = 0.1
	// runGap is the time between two ticks from which the process counts as not having run.
	runGap = 100 * time.Millisecond
	// Requests seen within settleTime after a start or a pause do not count: clients repeat
	// and give up what was lost meanwhile. Most deadlines of the users' requests are 0.5 to
	// 3 s.
	settleTime = 3 * time.Second
)

// failures is the decaying number of failed requests at a server, seen here or told by
// peers of the own failure domain.
type failures struct {
	weight   float64
	at       time.Duration // of weight
	reported bool          // whether it counted as failing when that was last logged
}

// value returns the weight now.
func (f *failures) value(now time.Duration) float64 {
	if f.weight == 0 {
		return 0
	}
	return f.weight * math.Exp2(-float64(now-f.at)/float64(failureHalfLife))
}

// addFailure counts a failed request.
func (e *Engine) addFailure(now time.Duration, s *server) {
	s.failures.weight, s.failures.at = s.failures.value(now)+1, now
	s.service.failures++
	e.failed[s] = struct{}{}
}

// checkOverdue counts a request as failed, once, when it has made no progress for long
// while the process ran.
func (e *Engine) checkOverdue(now time.Duration, f *flow) {
	sentAt := duration(f.sentAt)
	if !f.waiting || f.overdue || sentAt < e.runningSince+settleTime || now-sentAt < f.server.service.overdueAfter() {
		return
	}
	f.overdue = true
	e.addFailure(now, f.server)
	if len(e.unsent) < maxUnsentFailures {
		e.unsent = append(e.unsent, f.server.cookie)
	}
}

// overdueAfter returns the time without progress after which a request counts as failed.
func (s *service) overdueAfter() time.Duration {
	return max(minOverdue, time.Duration(overdueFactor*s.serviceTime()))
}

// TakeFailures returns the cookies of the servers at which requests failed since the last
// call, one for each request. Peers see only a part of a server's requests.
func (e *Engine) TakeFailures() []uint32 {
	out := e.unsent
	e.unsent = nil
	return out
}

// PeerFailures counts failures that a peer of the own failure domain tells.
func (e *Engine) PeerFailures(now time.Duration, cookies []uint32) {
	for _, cookie := range cookies {
		for _, s := range e.byCookie[cookie] {
			e.addFailure(now, s)
		}
	}
}

// failing reports whether requests at the server fail clearly more often than at the
// others of its service.
func (s *server) failing(now time.Duration) bool {
	own := s.failures.value(now)
	if own < minFailures || !s.listed {
		return false
	}
	others := float64(max(s.service.listed-1, 1))
	if own < minFailures+failureContrast*max(s.service.failures-own, 0)/others {
		return false
	}
	// The weight of a constant rate of failures is that rate times the mean lifetime.
	requests := (s.meter.rate + s.meter.peerRate) * failureHalfLife.Seconds() / math.Ln2
	return own >= minFailureShare*requests
}

// failurePenalty returns the factor by which a failing server is taken to be busier. It
// falls to 1 as the failures lose their weight.
func (s *server) failurePenalty(now time.Duration) float64 {
	if s.failures.weight == 0 || !s.failing(now) {
		return 1
	}
	return min(1+s.failures.value(now)/minFailures, maxFailurePenalty)
}

// countListed counts the servers with a record. Those that left stay in the lists for the
// lifetime of a flow and must not make the mean of the others look lower.
func (s *service) countListed() {
	s.listed = 0
	for _, servers := range [][]*server{s.local, s.remote} {
		for _, o := range servers {
			if o.listed {
				s.listed++
			}
		}
	}
}

// sumFailures updates the failures of each service and returns what changed.
func (e *Engine) sumFailures(now time.Duration) []Action {
	for _, svc := range e.services {
		svc.failures = 0
	}
	for s := range e.failed {
		if value := s.failures.value(now); value < negligibleFailures {
			s.failures.weight = 0
		} else if s.listed {
			s.service.failures += value
		}
	}
	for _, svc := range e.services {
		if svc.failures > 0 {
			svc.countListed()
		}
	}
	var actions []Action
	for s := range e.failed {
		if failing := s.failing(now); failing != s.failures.reported {
			s.failures.reported = failing
			kind := Favour
			if failing {
				kind = Disfavour
			}
			actions = append(actions, Action{Kind: kind, Target: s.target(), Server: s.Name, Failures: s.failures.value(now)})
		}
		if s.failures.weight == 0 {
			delete(e.failed, s)
		}
	}
	return actions
}
