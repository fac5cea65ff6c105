package forwarding

import (
	"slices"
	"testing"
	"time"
)

// Guards against resets of a process that has restarted at another address while a record of another
// writer, with a later start and a service that has no health path, is in force under its key. An
// instance that starts takes such a record for the server's.
func TestProcessElsewhereKeepsItsFlows(t *testing.T) {
	s := newScript()
	s.run(t, []string{"config", "version=1", "route=443:idempotent:orders"})
	s.run(t, []string{"server", "id=2", "host=2", "service=agent", "started=1000000"}) // the other writer's
	s.run(t, []string{"server", "id=2", "host=2", "started=100"})                      // the server's own, held back
	s.run(t, []string{"at", "1s"})
	// A flow that another instance has opened at the process that restarts at host 1.
	flow := Packet{Flow: FlowKey{Client: 7, ClientPort: 1, Service: 10, ServicePort: 443}, Cookie: 2, Acknowledges: true, Sequence: 1, Acknowledgement: 1}
	s.e.Packet(s.now, flow, nil)

	s.rev++
	claim := s.server(t, map[string]string{"id": "2", "host": "1", "started": "200"})
	actions := s.e.PutServer(s.now, claim)
	if len(actions) != 1 || actions[0].Kind != Probe || actions[0].Target.Address != claim.Address || actions[0].Path != "/health" {
		t.Fatalf("actions %+v, want a probe of the new address at its service's health path", actions)
	}

	// A server of its own starts at host 2 and answers before host 1 does.
	s.run(t, []string{"server", "id=3", "host=2", "started=300"})
	s.run(t, []string{"at", "10s"})
	actions = s.e.ApplyProbeResult(s.now, "3", ProbeResult{Outcome: Answered, Elapsed: time.Millisecond, Answerer: "3"})
	if slices.ContainsFunc(actions, func(a Action) bool { return a.Kind == SendReset }) {
		t.Fatalf("actions %+v: the flow is reset although its process may be at the new address", actions)
	}
	s.e.ApplyProbeResult(s.now, "2", ProbeResult{Outcome: Answered, Address: claim.Address, Answerer: "2"})
	if d, _ := s.e.Packet(s.now, flow, nil); d.Verdict != Forward || d.Target.Address != claim.Address {
		t.Fatalf("decision %+v, want the new address", d)
	}
}

// Guards against the same while the other writer's record is held back: it was written later than the
// process's own record at the new address, so that only the former is kept as a claim.
func TestMoveHiddenByAnotherWritersRecord(t *testing.T) {
	s := newScript()
	s.run(t, []string{"config", "version=1", "route=443:idempotent:orders"})
	s.run(t, []string{"server", "id=2", "host=2", "started=100"})
	s.run(t, []string{"at", "10s"})
	flow := Packet{Flow: FlowKey{Client: 7, ClientPort: 1, Service: 10, ServicePort: 443}, Cookie: 2, Acknowledges: true, Sequence: 1, Acknowledgement: 1}
	s.e.Packet(s.now, flow, nil) // opened through another instance at the process that is at host 3
	s.run(t, []string{"server", "id=2", "host=2", "service=agent", "started=1000000"})
	s.run(t, []string{"server", "id=2", "host=3", "started=200"})
	for _, r := range []ProbeResult{{Outcome: Refused}, {Outcome: OtherServer, Answerer: "4"}} {
		r.Elapsed = time.Millisecond
		actions := s.e.ApplyProbeResult(s.now, "2", r)
		if slices.ContainsFunc(actions, func(a Action) bool { return a.Kind == SendReset }) {
			t.Fatalf("probe outcome %d, actions %+v: the flow is reset although its process may be at the new address", r.Outcome, actions)
		}
	}
	// Without such a record for 4 s, and 4 s after the other writer's record is in force, a refusal proves the end.
	s.run(t, []string{"at", "20s"})
	s.e.Packet(s.now, flow, nil)
	r := ProbeResult{Outcome: Refused, Elapsed: time.Millisecond, Incarnation: s.e.servers["2"].incarnation}
	if actions := s.e.ApplyProbeResult(s.now, "2", r); !slices.ContainsFunc(actions, func(a Action) bool { return a.Kind == SendReset }) {
		t.Fatalf("actions %+v, want a reset", actions)
	}
}
