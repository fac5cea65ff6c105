package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/monsoonthread/monsoonthread/internal/standin/backendserver"
	"github.com/monsoonthread/monsoonthread/internal/standin/callers"
)

// overruns sums over the servers. A restarted server counts from zero again.
func overruns(sm sample) (sum uint64) {
	for _, st := range sm.servers {
		sum += st.Overruns
	}
	return sum
}

// check compares the outcomes that callers saw with what the backend servers executed.
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
		c.WrongAnswers += l.Details["4.04"] // a server answers a path of another service with it
	}
	servers, err := s.cluster.Servers(ctx)
	if err != nil {
		return err
	}
	for _, st := range servers {
		c.Misdelivered += st.Misdelivered
		c.Overruns += st.Overruns
		r.noteOverruns(st)
		c.LateWorkMS = max(c.LateWorkMS, st.LastWorkAfterDrainMS)
	}
	s.mu.Lock()
	worst := map[int]float64{}
	for _, sm := range s.samples {
		for _, in := range sm.instances {
			worst[in.pid] = in.invalid
		}
	}
	s.mu.Unlock()
	for _, v := range worst {
		c.Invariants += uint64(v)
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

// noteOverruns adds the overruns of a server to its service.
func (r *Result) noteOverruns(st backendserver.Status) {
	for i := range r.Services {
		if s := &r.Services[i]; s.Name == st.Service && st.Overruns > 0 {
			if s.Overruns == nil {
				s.Overruns = map[string]uint64{}
			}
			s.Overruns[st.Name] = st.Overruns
		}
	}
}

// maxContradictions bounds the examples in a result.
const maxContradictions = 10

// compareOrders counts the requests whose outcome contradicts the execution logs, and
// returns examples.
func (c *Checks) compareOrders(orders []callers.Order, executions []backendserver.Execution) []Contradiction {
	arrivals := map[string][]backendserver.Execution{}
	runs := map[string]int{}
	for _, e := range executions {
		if e.PayloadID != "" {
			arrivals[e.PayloadID] = append(arrivals[e.PayloadID], e)
			if !e.Shed {
				runs[e.PayloadID]++
			}
		}
	}
	var examples []Contradiction
	for _, o := range orders {
		ran := runs[o.PayloadID]
		contradicts := ran > 1
		if contradicts {
			c.ExecutedTwice++
		}
		switch {
		case o.Outcome == callers.Refused && ran > 0:
			c.RefusedButExecuted++
			contradicts = true
		case (o.Outcome == callers.Done || o.Outcome == callers.Late) && ran == 0:
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

// judge turns counts into violations of requirements and findings.
func (r *Result) judge(sc *scenario) {
	c := r.Checks
	limit := func(broken bool, forbidden bool, format string, args ...any) {
		if !broken {
			return
		}
		text := fmt.Sprintf(format, args...)
		if forbidden {
			r.Violations = append(r.Violations, text)
		} else {
			r.Findings = append(r.Findings, text)
		}
	}
	limit(c.BrokenStreams > 0, !sc.mayBreak, "%d broken streams", c.BrokenStreams)
	limit(c.StepsBack > 0, true, "%d stream states went back", c.StepsBack)
	limit(c.Misdelivered > 0, true, "%d requests reached another service", c.Misdelivered)
	limit(c.WrongAnswers > 0, true, "%d answers to other requests", c.WrongAnswers)
	limit(c.RefusedButExecuted > 0, true, "%d requests refused but executed", c.RefusedButExecuted)
	limit(c.ExecutedTwice > 0, true, "%d requests executed twice", c.ExecutedTwice)
	limit(c.DoneNotExecuted > 0, true, "%d requests done but not executed", c.DoneNotExecuted)
	limit(c.Overruns > 0, !sc.mayOverrun, "%d overruns", c.Overruns)
	limit(c.IncompleteArchives > 0, !sc.mayBreak, "%d incomplete archives", c.IncompleteArchives)
	limit(c.LateWorkMS > leavingBound.Milliseconds(), !sc.mayBreak, "a draining server got work after %d ms", c.LateWorkMS)
	limit(c.Invariants > 0, true, "%d violated invariants", c.Invariants)
	limit(c.OrdersUnknown > 0, sc.planned, "%d orders with an unknown outcome", c.OrdersUnknown)
	for _, s := range r.Services {
		limit(sc.imbalance && s.Imbalance > targetImbalance, false, "imbalance of %s is %.3f, target %.2f", s.Name, s.Imbalance, targetImbalance)
	}
	for _, k := range r.Kept {
		limit(k.Share < targetKept && len(sc.flood) > 0, false, "%s keeps %.1f%% during the flood, target %.0f%%", k.Load, 100*k.Share, 100*targetKept)
	}
	added := time.Duration(r.Latency.AddedP99US) * time.Microsecond
	limit(sc.latency && added > targetAddedP99, false, "p99 added latency is %v, target %v", added, targetAddedP99)
	limit(r.Cost.ControlBytesMax > targetControl, false, "an instance used %.0f control bytes/s, target %d", r.Cost.ControlBytesMax, targetControl)
}

// err returns an error that names the violations.
func (r *Result) err() error {
	if len(r.Violations) == 0 {
		return nil
	}
	return fmt.Errorf("%s: %s", r.Scenario, strings.Join(r.Violations, "; "))
}
