package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/monsoonthread/monsoonthread/internal/standin/backendserver"
	"github.com/monsoonthread/monsoonthread/internal/standin/callers"
)

// totalOverruns returns the overruns of all servers, which are the requests that arrived with
// all slots busy. The count of a restarted server starts from zero.
func totalOverruns(sm sample) (sum uint64) {
	for _, st := range sm.servers {
		sum += st.Overruns
	}
	return sum
}

// check fills in r.Checks. It compares the outcomes that callers saw with the execution
// logs of the backend servers.
func (s *session) check(ctx context.Context, r *Result) error {
	c := &r.Checks
	for _, st := range r.Streams {
		c.BrokenStreams += st.Broken + st.Count - st.Established
		c.LongestSilenceMS = max(c.LongestSilenceMS, st.LongestSilenceMS)
		c.MissedTicks += st.MissedTicks
		c.StepsBack += st.StepsBack
		c.WrongAnswers += st.WrongPath
	}
	for _, a := range r.Archives {
		c.IncompleteArchives += a.Started - a.Complete
	}
	for _, l := range r.Loads {
		c.WrongAnswers += l.Details["4.04"] // the response of a server to a path of another service
	}
	servers, err := s.cluster.Servers(ctx)
	if err != nil {
		return err
	}
	for _, st := range servers {
		c.Misdelivered += st.Misdelivered
		c.Overruns += st.Overruns
		r.addOverruns(st)
		c.LastWorkAfterDrainMS = max(c.LastWorkAfterDrainMS, st.LastWorkAfterDrainMS)
	}
	s.mu.Lock()
	violationsByPID := map[int]float64{}
	for _, sm := range s.samples {
		for _, in := range sm.instances {
			violationsByPID[in.pid] = in.violations
		}
	}
	s.mu.Unlock()
	for _, v := range violationsByPID {
		c.InvariantViolations += uint64(v)
	}
	orders, err := s.callers.Orders(ctx)
	if err != nil {
		return err
	}
	executions, err := s.cluster.Executions(ctx)
	if err != nil {
		return err
	}
	r.Contradictions = c.compareOrders(orders, executions)
	return nil
}

// addOverruns records the overruns of a server in the result of its service.
func (r *Result) addOverruns(st backendserver.Status) {
	for i := range r.Services {
		if s := &r.Services[i]; s.Name == st.Service && st.Overruns > 0 {
			if s.Overruns == nil {
				s.Overruns = map[string]uint64{}
			}
			s.Overruns[st.Name] = st.Overruns
		}
	}
}

// maxContradictions bounds the contradicting orders that a result lists.
const maxContradictions = 10

// compareOrders counts the orders whose outcome contradicts the execution logs, and returns
// the first of them as examples.
func (c *Checks) compareOrders(orders []callers.Order, executions []backendserver.Execution) []Contradiction {
	arrivals := map[string][]backendserver.Execution{}
	executionCounts := map[string]int{}
	for _, e := range executions {
		if e.PayloadID != "" {
			arrivals[e.PayloadID] = append(arrivals[e.PayloadID], e)
			if !e.Shed {
				executionCounts[e.PayloadID]++
			}
		}
	}
	var examples []Contradiction
	for _, o := range orders {
		executed := executionCounts[o.PayloadID]
		contradicts := executed > 1
		if contradicts {
			c.ExecutedTwice++
		}
		switch {
		case o.Outcome == callers.Refused && executed > 0:
			c.RefusedButExecuted++
			contradicts = true
		case (o.Outcome == callers.Done || o.Outcome == callers.Late) && executed == 0:
			c.DoneNotExecuted++
			contradicts = true
		case o.Outcome == callers.Unknown:
			c.OrdersUnknown++
		}
		if contradicts && len(examples) < maxContradictions {
			examples = append(examples, Contradiction{Order: o, Arrivals: arrivals[o.PayloadID]})
		}
	}
	return examples
}

// evaluate compares the checks and measurements with the requirements and targets and
// records violations and findings.
func (r *Result) evaluate(sc *scenario) {
	c := r.Checks
	report := func(failed bool, isViolation bool, format string, args ...any) {
		if !failed {
			return
		}
		text := fmt.Sprintf(format, args...)
		if isViolation {
			r.Violations = append(r.Violations, text)
		} else {
			r.Findings = append(r.Findings, text)
		}
	}
	report(c.BrokenStreams > 0, !sc.streamsMayBreak, "%d broken streams", c.BrokenStreams)
	report(c.StepsBack > 0, true, "%d stream states went back", c.StepsBack)
	report(c.Misdelivered > 0, true, "%d requests reached another service", c.Misdelivered)
	report(c.WrongAnswers > 0, true, "%d answers to other requests", c.WrongAnswers)
	report(c.RefusedButExecuted > 0, true, "%d requests refused but executed", c.RefusedButExecuted)
	report(c.ExecutedTwice > 0, true, "%d requests executed twice", c.ExecutedTwice)
	report(c.DoneNotExecuted > 0, true, "%d requests done but not executed", c.DoneNotExecuted)
	report(c.Overruns > 0, !sc.serversMayOverrun, "%d overruns", c.Overruns)
	report(c.IncompleteArchives > 0, !sc.streamsMayBreak, "%d incomplete archives", c.IncompleteArchives)
	report(c.LastWorkAfterDrainMS > workAfterDrainBound.Milliseconds(), !sc.streamsMayBreak, "a draining server got work after %d ms", c.LastWorkAfterDrainMS)
	report(c.InvariantViolations > 0, true, "%d violated invariants", c.InvariantViolations)
	report(c.OrdersUnknown > 0, sc.plannedOnly, "%d orders with an unknown outcome", c.OrdersUnknown)
	for _, s := range r.Services {
		report(sc.checkImbalance && s.Imbalance > targetImbalance, false, "imbalance of %s is %.3f, target %.2f", s.Name, s.Imbalance, targetImbalance)
	}
	for _, g := range r.Retained {
		report(g.Share < targetRetainedShare && len(sc.floodedClasses) > 0, false, "%s keeps %.1f%% during the flood, target %.0f%%", g.Load, 100*g.Share, 100*targetRetainedShare)
	}
	added := time.Duration(r.Latency.AddedP99US) * time.Microsecond
	report(sc.checkLatency && added > targetAddedLatencyP99, false, "p99 added latency is %v, target %v", added, targetAddedLatencyP99)
	report(r.Cost.ControlBytesMax > targetControlBytesPerSecond, false, "an instance used %.0f control bytes/s, target %d", r.Cost.ControlBytesMax, targetControlBytesPerSecond)
}

// err returns an error that lists the violations, or nil if there are none.
func (r *Result) err() error {
	if len(r.Violations) == 0 {
		return nil
	}
	return fmt.Errorf("%s: %s", r.Scenario, strings.Join(r.Violations, "; "))
}
