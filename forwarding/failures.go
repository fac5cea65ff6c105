package forwarding

import (
	"math"
	"time"
)

const (
	// minOverdue is the minimum time without progress after which a request counts as failed:
	// six times the p99 latency at a busy server (80 to 110 ms).
	minOverdue = 500 * time.Millisecond
	// The limit rises to overdueFactor times the mean service time if that is longer, since a
	// full server queues up to four requests per slot.
	overdueFactor = 8
	// failureHalfLife is the half-life of a failure's weight. A flapping server is down again
	// after one to two seconds, so its failures add up; after the last failure, it regains
	// its full share within about 20 s.
	failureHalfLife = 5 * time.Second
	// A server counts as failing from minFailures failures that are at least minFailureShare
	// of its requests. Clients that give up and flows that move to another instance cause
	// single failures.
	minFailures     = 2.0
	minFailureShare = 0.02
	// minFailureRatio is the ratio to the mean of the service's other servers from which a
	// server's failures count as its own: failures that all servers share have another cause,
	// such as the instance's own link.
	minFailureRatio = 3.0
	// maxFailurePenalty bounds the factor on the utilization of a failing server. The server
	// stays usable, so that the others are not overloaded when many fail.
	maxFailurePenalty = 5.0
	// maxUnreportedFailures bounds the failures reported to peers in one message.
	maxUnreportedFailures = 64
	// negligibleFailures is the weight below which failures are forgotten.
	negligibleFailures = 0.1
	// maxTickGap is the time between two ticks above which the process counts as paused.
	maxTickGap = 100 * time.Millisecond
	// settleTime is the time after a start or a pause of the process during which new
	// requests do not count as failed: clients retransmit and give up requests that were lost
	// meanwhile. Most clients' deadlines are 0.5 to 3 s.
	settleTime = 3 * time.Second
)

// failures is the exponentially decaying number of failed requests at a server, observed by
// this instance or reported by peers of the own failure domain.
type failures struct {
	weight   float64
	at       time.Duration // time at which weight was computed
	reported bool          // whether the last logged state was failing
}

// value returns the decayed weight at a time.
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
	e.failedServers[s] = struct{}{}
}

// checkOverdue counts a request as failed, once, when it has made no progress for too long
// while the process was running.
func (e *Engine) checkOverdue(now time.Duration, f *flow) {
	sentAt := duration(f.sentAt)
	if !f.requestPending || f.overdue || sentAt < e.runningSince+settleTime || now-sentAt < f.server.service.overdueAfter() {
		return
	}
	f.overdue = true
	e.addFailure(now, f.server)
	e.observeOverdue(now, f)
	if len(e.unreportedFailures) < maxUnreportedFailures {
		e.unreportedFailures = append(e.unreportedFailures, f.server.cookie)
	}
}

// overdueAfter returns the time without progress after which a request counts as failed.
func (s *service) overdueAfter() time.Duration {
	return max(minOverdue, time.Duration(overdueFactor*s.serviceTime()))
}

// TakeFailures returns and clears the failures not yet reported to peers, as one server
// cookie per failed request. Peers see only a part of a server's requests.
func (e *Engine) TakeFailures() []uint32 {
	out := e.unreportedFailures
	e.unreportedFailures = nil
	return out
}

// AddPeerFailures counts failures reported by a peer of the own failure domain.
func (e *Engine) AddPeerFailures(now time.Duration, cookies []uint32) {
	for _, cookie := range cookies {
		for _, s := range e.byCookie[cookie] {
			e.addFailure(now, s)
		}
	}
}

// failing reports whether requests fail clearly more often at the server than at the other
// servers of its service.
func (s *server) failing(now time.Duration) bool {
	own := s.failures.value(now)
	if own < minFailures || !s.listed {
		return false
	}
	others := float64(max(s.service.listedServers-1, 1))
	if own < minFailures+minFailureRatio*max(s.service.failures-own, 0)/others {
		return false
	}
	// At a constant rate of failures, the weight settles at the rate times the mean lifetime.
	requests := (s.meter.rate + s.meter.peerRate) * failureHalfLife.Seconds() / math.Ln2
	return own >= minFailureShare*requests
}

// failurePenalty returns the factor on the utilization of a failing server. It falls to 1 as
// the failures decay.
func (s *server) failurePenalty(now time.Duration) float64 {
	if s.failures.weight == 0 || !s.failing(now) {
		return 1
	}
	return min(1+s.failures.value(now)/minFailures, maxFailurePenalty)
}

// countListed counts the servers with a record. Servers without one stay in the lists for the
// cookie lifetime and must not lower the mean of the others.
func (s *service) countListed() {
	s.listedServers = 0
	for _, servers := range [][]*server{s.local, s.remote} {
		for _, o := range servers {
			if o.listed {
				s.listedServers++
			}
		}
	}
}

// sumFailures updates the failure sums of the services and returns actions for the servers
// that started or stopped failing.
func (e *Engine) sumFailures(now time.Duration) []Action {
	for _, svc := range e.services {
		svc.failures = 0
	}
	for s := range e.failedServers {
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
	for s := range e.failedServers {
		if failing := s.failing(now); failing != s.failures.reported {
			s.failures.reported = failing
			kind := ReportRecovered
			if failing {
				kind = ReportFailing
			}
			actions = append(actions, Action{Kind: kind, Target: s.target(), Server: s.Name, Failures: s.failures.value(now)})
		}
		if s.failures.weight == 0 {
			delete(e.failedServers, s)
		}
	}
	return actions
}
