package forwarding

import "time"

// flowClass is what admission control knows about the flows of a route.
type flowClass struct {
	prioritised bool
	priority    int
	objective   time.Duration
	timeout     time.Duration
}

func newFlowClass(r *Route) flowClass {
	return flowClass{prioritised: r.Prioritised, priority: r.Priority, objective: r.Objective, timeout: r.Timeout}
}

// admit reports whether a new flow of the route may go to the server, the best one for it.
func (e *Engine) admit(now time.Duration, r *route, s *server) (bool, Reason) { return true, Chosen }

// observeAnswer learns from the answer to a request of an open flow: the time since the request was
// sent and the bytes that the client acknowledges.
func (e *Engine) observeAnswer(now time.Duration, f *flow, elapsed time.Duration, bytes uint32) {}

// observeOverdue learns from a request that has made no progress for too long.
func (e *Engine) observeOverdue(now time.Duration, f *flow) {}
