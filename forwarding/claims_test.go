package forwarding

import (
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"
)

// packetForServer2 is a packet of a flow that another instance has opened at the server with ID 2.
var packetForServer2 = Packet{Flow: FlowKey{Client: 7, ClientPort: 1, Service: 10, ServicePort: 443}, Cookie: 2, Acknowledges: true, Sequence: 1, Acknowledgement: 1}

// steps runs commands, each as in a testdata file.
func (s *script) steps(t *testing.T, lines ...string) {
	for _, line := range lines {
		s.run(t, strings.Fields(line))
	}
}

// Guards against resets of a process that has restarted at another address while a record of another
// writer, with a later start and a service that has no health path, is under its key. An instance that
// starts takes such a record for the server's until it reads the server's own.
func TestProcessElsewhereKeepsItsFlows(t *testing.T) {
	s := newScript()
	s.run(t, []string{"config", "version=1", "route=443:idempotent:orders"})
	s.run(t, []string{"server", "id=2", "host=2", "service=agent", "started=1000000"}) // the other writer's
	s.run(t, []string{"server", "id=2", "host=2", "started=100"})                      // the server's own
	s.run(t, []string{"at", "1s"})
	// A flow that another instance has opened at the process that restarts at host 1.
	flow := packetForServer2
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
	flow := packetForServer2
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

// Guards against a record of a service that no configuration has named, which is another writer's, that
// decides about the server under its key: its open flows went to the address in the record, or new flows
// went on to a server without a record of its own.
func TestRecordOfUnnamedService(t *testing.T) {
	const foreign = "server id=2 host=9 service=agent started=1000000"
	for _, c := range []struct {
		name   string
		steps  []string
		host   byte // where packets of the open flow go in the end
		usable bool // whether new flows may go to the server in the end
	}{
		{"after a removal", []string{"remove id=2 host=2 started=100", foreign, "at 10.5s", "server id=2 host=2 started=100",
			"probe_result id=2 outcome=answered incarnation=1", "at 20s"}, 2, true},
		{"after a removal, own record does not follow", []string{"remove id=2 host=2 started=100", foreign, "at 20s"}, 2, false},
		{"own record follows", []string{foreign, "at 10.5s", "server id=2 host=2 started=100", "at 20s"}, 2, true},
		{"own record does not follow", []string{foreign, "at 20s"}, 2, false},
		{"removed", []string{foreign, "at 10.5s", "remove id=2 host=9 service=agent started=1000000", "at 20s"}, 2, false},
		{"says that it drains", []string{foreign + " draining=1", "at 10.5s", "server id=2 host=2 started=100", "at 20s"}, 2, true},
		{"connections refused while it is held back", []string{foreign, "probe_result id=2 outcome=refused", "at 11s"}, 2, false},
		{"server leaves later", []string{foreign, "at 10.5s", "server id=2 host=2 started=100", "at 20s",
			"server id=2 host=2 started=100 draining=1", "at 25s", "probe_result id=2 outcome=refused", "at 26s"}, 2, false},
		{"server moves afterwards", []string{foreign, "at 10.5s", "server id=2 host=3 started=200",
			"probe_result id=2 outcome=answered at=3", "at 20s"}, 3, true},
		{"server has moved before", []string{"server id=2 host=3 started=200", foreign, "at 10.5s",
			"probe_result id=2 outcome=answered at=3", "at 20s"}, 3, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newScript()
			s.steps(t, "config version=1 route=443:idempotent:orders", "server id=2 host=2 started=100", "at 10s", "packet client=1 cookie=2 seq=1 ack=1")
			s.steps(t, c.steps...)
			if strings.Contains(s.out.String(), "reset client") {
				t.Errorf("the open flow is reset:\n%s", &s.out)
			}
			flow := packetForServer2
			if d, _ := s.e.Packet(s.now, flow, nil); d.Verdict != Forward || d.Target.Address != s.address(t, strconv.Itoa(int(c.host))) {
				t.Errorf("packet of the open flow: %+v, want host %d", d, c.host)
			}
			if got := s.e.servers["2"].usable(); got != c.usable {
				t.Errorf("usable: %v, want %v", got, c.usable)
			}
		})
	}
}

// Guards against an instance that starts with another writer's record under a server's key and keeps to it
// for 4 s after the server's own record: packets of open flows went to the address in the former.
func TestOwnRecordAfterRecordOfUnnamedService(t *testing.T) {
	s := newScript()
	s.steps(t, "config version=1 route=443:idempotent:orders", "server id=2 host=9 service=agent started=1000000", "server id=2 host=2 started=100")
	flow := packetForServer2
	if d, _ := s.e.Packet(s.now, flow, nil); d.Verdict != Forward || d.Target.Address != s.address(t, "2") {
		t.Errorf("packet of an open flow: %+v, want host 2", d)
	}
	if !s.e.servers["2"].usable() {
		t.Error("the server gets no new flows")
	}
}

// Guards against a move that is missed because its record names a service whose first configuration
// arrives later. Until then, its address is not asked.
func TestRecordOfServiceThatIsNamedLater(t *testing.T) {
	s := newScript()
	s.steps(t, "config version=1 route=443:idempotent:orders", "server id=2 host=2 started=100", "at 10s")
	s.out.Reset()
	s.steps(t, "server id=2 host=3 service=reports started=200", "at 12s")
	if s.out.Len() > 0 {
		t.Errorf("before the configuration:\n%s", &s.out)
	}
	s.steps(t, "config version=2 route=443:idempotent:orders route2=444:idempotent:reports")
	s.out.Reset()
	s.steps(t, "at 12.1s")
	if !strings.Contains(s.out.String(), "probe 2") {
		t.Errorf("after the configuration: %q, want a probe", &s.out)
	}
	s.steps(t, "probe_result id=2 outcome=answered at=3")
	if in := s.e.servers["2"]; in.Address != s.address(t, "3") || in.Service != "reports" || !in.usable() {
		t.Errorf("server %+v, want the one at the new address", in.Server)
	}
}
