package main

import (
	"slices"
	"testing"
	"time"

	"github.com/monsoonthread/monsoonthread/internal/standin/backendserver"
	"github.com/monsoonthread/monsoonthread/internal/standin/callers"
)

// Guards against a contradiction between an order's outcome and the execution logs that is
// not reported, and against a shed arrival that is counted as an execution.
func TestCompareOrders(t *testing.T) {
	order := func(id string, o callers.Outcome) callers.Order { return callers.Order{PayloadID: id, Outcome: o} }
	execution := func(id string, shed bool) backendserver.Execution {
		return backendserver.Execution{PayloadID: id, Shed: shed}
	}
	var c Checks
	examples := c.compareOrders(
		[]callers.Order{
			order("executed", callers.Done), order("shed-once", callers.Done), order("refused", callers.Refused),
			order("refused-executed", callers.Refused), order("twice", callers.Unknown), order("not-executed", callers.Late), order("unknown", callers.Unknown),
		},
		[]backendserver.Execution{
			execution("executed", false), execution("shed-once", true), execution("shed-once", false), execution("refused", true),
			execution("refused-executed", false), execution("twice", false), execution("twice", false), execution("", false), execution("", false),
		},
	)
	want := Checks{RefusedButExecuted: 1, ExecutedTwice: 1, DoneNotExecuted: 1, OrdersUnknown: 2}
	if c != want {
		t.Fatalf("checks %+v, want %+v", c, want)
	}
	var ids []string
	for _, e := range examples {
		ids = append(ids, e.PayloadID)
	}
	if !slices.Equal(ids, []string{"refused-executed", "twice", "not-executed"}) {
		t.Fatalf("examples %v", ids)
	}
}

// Guards against a violation that is reported as a finding, for example when the scenario
// contains only planned changes, and against a permitted outcome reported as a violation.
func TestEvaluate(t *testing.T) {
	for _, c := range []struct {
		scenario   scenario
		checks     Checks
		violations int
		findings   int
	}{
		{scenario{plannedOnly: true}, Checks{}, 0, 0},
		{scenario{plannedOnly: true}, Checks{BrokenStreams: 1, Overruns: 1, OrdersUnknown: 1, IncompleteArchives: 1, LastWorkAfterDrainMS: 3000}, 5, 0},
		{scenario{streamsMayBreak: true, serversMayOverrun: true}, Checks{BrokenStreams: 1, Overruns: 1, OrdersUnknown: 1, IncompleteArchives: 1, LastWorkAfterDrainMS: 3000}, 0, 5},
		{scenario{streamsMayBreak: true, serversMayOverrun: true}, Checks{StepsBack: 1, Misdelivered: 1, WrongAnswers: 1, RefusedButExecuted: 1, ExecutedTwice: 1, DoneNotExecuted: 1, InvariantViolations: 1}, 7, 0},
	} {
		r := Result{Checks: c.checks}
		r.evaluate(&c.scenario)
		if len(r.Violations) != c.violations || len(r.Findings) != c.findings {
			t.Errorf("%+v: violations %q, findings %q", c.checks, r.Violations, r.Findings)
		}
		if (r.err() != nil) != (c.violations > 0) {
			t.Errorf("%+v: error %v", c.checks, r.err())
		}
	}
}

// Guards against request traffic that is counted as control traffic, and against invariant
// violation counters that are ignored.
func TestParseMetrics(t *testing.T) {
	controlBytes, violations := parseMetrics(`monsoonthread_peer_sent_bytes_total{kind="membership"} 100
monsoonthread_peer_received_bytes_total{kind="membership"} 50
monsoonthread_peer_sent_bytes_total{kind="dispatch"} 7000
monsoonthread_peer_sent_messages_total{kind="membership"} 9
monsoonthread_invariant_violations_total 2
monsoonthread_dispatch_violations 1
`)
	if len(controlBytes) != 1 || controlBytes["membership"] != 150 || violations != 3 {
		t.Fatalf("control bytes by kind %v, invariant violations %v", controlBytes, violations)
	}
}

// Guards against an imbalance that includes servers which were dead, restarted or draining,
// or that weights a server by its speed instead of its slot time.
func TestSlotUtilization(t *testing.T) {
	status := func(name string, busy time.Duration, slots int) backendserver.Status {
		return backendserver.Status{Name: name, Alive: true, Slots: slots, BusyUS: busy.Microseconds()}
	}
	draining, dead := status("draining", time.Second, 2), status("dead", time.Second, 2)
	draining.Draining, dead.Alive = true, false
	first := sample{at: 0, servers: []backendserver.Status{status("a", time.Second, 2), status("b", 0, 4), status("draining", 0, 2), status("dead", 0, 2), status("restarted", time.Hour, 2)}}
	last := sample{at: 10 * time.Second, servers: []backendserver.Status{status("a", 11*time.Second, 2), status("b", 30*time.Second, 4), draining, dead, status("restarted", time.Second, 2)}}
	got := slotUtilization(first, last)
	if len(got) != 2 || got["a"] != 0.5 || got["b"] != 0.75 {
		t.Fatalf("utilization by server %v", got)
	}
}
