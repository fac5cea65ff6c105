package main

import (
	"slices"
	"testing"
	"time"

	"github.com/monsoonthread/monsoonthread/internal/standin/backendserver"
	"github.com/monsoonthread/monsoonthread/internal/standin/callers"
)

// Guards against a contradiction between callers and backend servers that a run does not
// report, and against a shed arrival that counts as an execution.
func TestCompareOrders(t *testing.T) {
	order := func(id string, o callers.Outcome) callers.Order { return callers.Order{PayloadID: id, Outcome: o} }
	ran := func(id string, shed bool) backendserver.Execution {
		return backendserver.Execution{PayloadID: id, Shed: shed}
	}
	var c Checks
	examples := c.compareOrders(
		[]callers.Order{
			order("fine", callers.Done), order("elsewhere", callers.Done), order("refused", callers.Refused),
			order("lie", callers.Refused), order("twice", callers.Unknown), order("lost", callers.Late), order("unknown", callers.Unknown),
		},
		[]backendserver.Execution{
			ran("fine", false), ran("elsewhere", true), ran("elsewhere", false), ran("refused", true),
			ran("lie", false), ran("twice", false), ran("twice", false), ran("", false), ran("", false),
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
	if !slices.Equal(ids, []string{"lie", "twice", "lost"}) {
		t.Fatalf("examples %v", ids)
	}
}

// Guards against a fault that a run reports as a finding although the scenario holds only
// planned changes.
func TestJudge(t *testing.T) {
	for _, c := range []struct {
		scenario   scenario
		checks     Checks
		violations int
		findings   int
	}{
		{scenario{planned: true}, Checks{}, 0, 0},
		{scenario{planned: true}, Checks{BrokenStreams: 1, Overruns: 1, OrdersUnknown: 1, IncompleteArchives: 1, LateWorkMS: 3000}, 5, 0},
		{scenario{mayBreak: true, mayOverrun: true}, Checks{BrokenStreams: 1, Overruns: 1, OrdersUnknown: 1, IncompleteArchives: 1, LateWorkMS: 3000}, 0, 5},
		{scenario{mayBreak: true, mayOverrun: true}, Checks{StepsBack: 1, Misdelivered: 1, WrongAnswers: 1, RefusedButExecuted: 1, ExecutedTwice: 1, DoneNotExecuted: 1, Invariants: 1}, 7, 0},
	} {
		r := Result{Checks: c.checks}
		r.judge(&c.scenario)
		if len(r.Violations) != c.violations || len(r.Findings) != c.findings {
			t.Errorf("%+v: violations %q, findings %q", c.checks, r.Violations, r.Findings)
		}
		if (r.err() != nil) != (c.violations > 0) {
			t.Errorf("%+v: error %v", c.checks, r.err())
		}
	}
}

// Guards against request traffic that is counted as control traffic, and against counters
// of violated invariants that are not read.
func TestParseMetrics(t *testing.T) {
	control, invalid := parseMetrics(`monsoonthread_peer_sent_bytes_total{kind="membership"} 100
monsoonthread_peer_received_bytes_total{kind="membership"} 50
monsoonthread_peer_sent_bytes_total{kind="dispatch"} 7000
monsoonthread_peer_sent_messages_total{kind="membership"} 9
monsoonthread_invariant_violations_total 2
monsoonthread_dispatch_violations 1
`)
	if len(control) != 1 || control["membership"] != 150 || invalid != 3 {
		t.Fatalf("control %v, violated invariants %v", control, invalid)
	}
}

// Guards against an imbalance that counts servers which were down or draining, or that
// weighs a server by its speed instead of its slot time.
func TestBusyShares(t *testing.T) {
	status := func(name string, busy time.Duration, slots int) backendserver.Status {
		return backendserver.Status{Name: name, Alive: true, Slots: slots, BusyUS: busy.Microseconds()}
	}
	draining, dead := status("draining", time.Second, 2), status("dead", time.Second, 2)
	draining.Draining, dead.Alive = true, false
	first := sample{at: 0, servers: []backendserver.Status{status("a", time.Second, 2), status("b", 0, 4), status("draining", 0, 2), status("dead", 0, 2), status("restarted", time.Hour, 2)}}
	last := sample{at: 10 * time.Second, servers: []backendserver.Status{status("a", 11*time.Second, 2), status("b", 30*time.Second, 4), draining, dead, status("restarted", time.Second, 2)}}
	got := busyShares(first, last)
	if len(got) != 2 || got["a"] != 0.5 || got["b"] != 0.75 {
		t.Fatalf("shares %v", got)
	}
}
