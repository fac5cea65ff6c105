package forwarding

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// evacuationTest drives an engine of failure domain a. Servers are named after their domain and number.
type evacuationTest struct {
	testing.TB
	*Engine
	now    time.Duration
	rev    uint64
	client uint16
}

func newEvacuationTest(t testing.TB, services ...string) *evacuationTest {
	x := &evacuationTest{TB: t, Engine: New(Config{Domain: "a", CookieLifetime: time.Minute, MaxFlows: 1000, Seed: 1}), now: time.Second}
	r := Route{Address: 10, Port: 443}
	limits := make(map[string]ServiceLimits)
	for _, s := range append(services, "orders") {
		r.Services = append(r.Services, ServiceWeight{s, 1})
		limits[s] = ServiceLimits{ColdStart: 2 * time.Second}
	}
	x.Configure(x.now, &Configuration{Version: 1, Routes: []Route{r}, HealthPaths: map[string]string{"orders": "/health"}, Limits: limits})
	x.SetComplete()
	return x
}

// record returns a record of a server; id is its number and the last byte of its address.
func (x *evacuationTest) record(domain string, id uint64) Server {
	x.rev++
	return Server{Name: fmt.Sprint(id), ID: id, Service: "orders", Domain: domain, Slots: 2, Revision: x.rev, Sequence: x.rev,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(id >> 8), byte(id)}), 80)}
}

func (x *evacuationTest) put(domain string, ids ...uint64) {
	for _, id := range ids {
		x.PutServer(x.now, x.record(domain, id))
	}
}

// send sends an opening packet from a client port and returns the server that it goes to, 0 if none.
func (x *evacuationTest) send(client uint16) (uint64, Decision) {
	d, _ := x.Packet(x.now, Packet{Flow: FlowKey{Client: 7, ClientPort: client, Service: 10, ServicePort: 443}, Open: true}, []byte("raw"))
	if d.Verdict != Forward {
		return 0, d
	}
	return d.Target.ID, d
}

// expect opens flows and checks that they go only to the given servers, and to each of them.
func (x *evacuationTest) expect(want ...uint64) {
	x.Helper()
	var got []uint64
	for range 60 {
		x.client++
		id, _ := x.send(x.client)
		got = append(got, id)
	}
	slices.Sort(got)
	if got = slices.Compact(got); !slices.Equal(got, want) {
		x.Errorf("new flows went to %v, want %v", got, want)
	}
}

func (x *evacuationTest) tick(d time.Duration) (actions []Action) {
	for end := x.now + d; x.now < end; {
		x.now += 10 * time.Millisecond
		actions = append(actions, x.Tick(x.now)...)
	}
	return actions
}

func probes(actions []Action) (names []string) {
	for _, a := range actions {
		if a.Kind == Probe {
			names = append(names, a.Server)
		}
	}
	return names
}

// Guards against a first choice in the own failure domain while it is evacuated, and after its end
// against a domain that stays empty.
func TestFirstChoiceInEvacuatedDomain(t *testing.T) {
	x := newEvacuationTest(t)
	x.put("a", 1, 2)
	x.put("b", 3)
	x.SetEvacuated(x.now, "a", true)
	x.expect(3)
	if got := x.Stats(); got.EvacuatedFlows != 60 || got.Usable != 1 {
		t.Errorf("stats %+v", got)
	}
	x.SetEvacuated(x.now, "a", false)
	x.expect(1, 2)
}

// Guards against a spill over to the servers that an evacuated failure domain reported before.
func TestSpillOverToEvacuatedDomain(t *testing.T) {
	x := newEvacuationTest(t)
	x.put("a", 1)
	x.put("b", 2)
	x.put("c", 3)
	x.SetPeerLoads(x.now, "peer", []Load{{Cookie: 1, Rate: 500}})
	x.SetLeastLoadedServers(x.now, "b", []Load{{Cookie: 2}})
	x.SetLeastLoadedServers(x.now, "c", []Load{{Cookie: 3, Rate: 1}})
	x.SetEvacuated(x.now, "b", true)
	x.expect(3)
	x.SetEvacuated(x.now, "c", true)
	x.expect(1)
}

// Guards against opening packets of an unresponsive server that are redirected to an evacuated domain.
func TestRedirectedOpeningPacketInEvacuatedDomain(t *testing.T) {
	x := newEvacuationTest(t)
	x.put("a", 1)
	x.send(1)
	x.put("b", 2)
	x.put("c", 3)
	x.SetLeastLoadedServers(x.now, "b", []Load{{Cookie: 2}})
	x.SetLeastLoadedServers(x.now, "c", []Load{{Cookie: 3, Rate: 20}})
	x.SetEvacuated(x.now, "b", true)
	x.tick(100 * time.Millisecond)
	actions := x.ApplyProbeResult(x.now, "1", ProbeResult{Outcome: Refused})
	i := slices.IndexFunc(actions, func(a Action) bool { return a.Kind == SendPacket })
	if i < 0 || actions[i].Target.ID != 3 {
		t.Fatalf("actions %+v, want the opening packet at server 3", actions)
	}
}

// Guards against a repeated opening packet that follows its flow to a server in an evacuated domain.
func TestRepeatedOpeningPacketInEvacuatedDomain(t *testing.T) {
	x := newEvacuationTest(t)
	x.put("a", 1)
	x.send(1)
	x.put("b", 2)
	x.SetEvacuated(x.now, "a", true)
	x.now += 200 * time.Millisecond
	if got, _ := x.send(1); got != 2 {
		t.Errorf("the repeated opening packet went to %d, want 2", got)
	}
	x.SetEvacuated(x.now, "b", true)
	if got, d := x.send(1); got != 0 || d.Verdict != ResetFlow {
		t.Errorf("without a server, the repeated opening packet went to %d: %+v", got, d)
	}
}

// Guards against a last resort in an evacuated domain: a server that looks unreachable, and one whose
// record vanished a moment ago.
func TestLastResortInEvacuatedDomain(t *testing.T) {
	for name, prepare := range map[string]func(*evacuationTest){
		"unreachable": func(x *evacuationTest) { x.setState(x.servers["1"], unreachable) },
		"removed":     func(x *evacuationTest) { x.RemoveServer(x.now, x.record("a", 1)) },
	} {
		t.Run(name, func(t *testing.T) {
			x := newEvacuationTest(t)
			x.put("a", 1)
			prepare(x)
			x.expect(1)
			x.SetEvacuated(x.now, "a", true)
			x.expect(0)
		})
	}
}

// Guards against new flows at a server that registers in, or moves to, a failure domain after its
// evacuation has begun, also if no server named the domain then.
func TestServerThatComesToEvacuatedDomain(t *testing.T) {
	x := newEvacuationTest(t)
	x.put("b", 1, 2)
	if x.KnowsDomain("a") {
		t.Fatal("domain a is known")
	}
	x.SetEvacuated(x.now, "a", true)
	x.expect(1, 2)
	x.put("a", 3, 2) // 2 moves
	if !x.KnowsDomain("a") {
		t.Error("domain a is not known")
	}
	x.expect(1)
	x.put("b", 2) // moves back
	x.expect(2)   // the less loaded one
}

// Guards against a flow that waits for its time limit, or that the instance forwards to an evacuated
// domain, when no server remains; a server of another service of the route remains one.
func TestNoServerOutsideOfEvacuatedDomains(t *testing.T) {
	x := newEvacuationTest(t, "orders-next")
	x.put("a", 1)
	x.put("b", 2)
	next := x.record("c", 3)
	next.Service = "orders-next"
	x.PutServer(x.now, next)
	x.SetEvacuated(x.now, "a", true)
	x.SetEvacuated(x.now, "b", true)
	x.expect(3)
	x.SetEvacuated(x.now, "c", true)
	if _, d := x.send(9999); d.Verdict != ResetFlow || d.Reason != Evacuated {
		t.Errorf("decision %+v, want a reset because of the evacuations", d)
	}
	x.SetEvacuated(x.now, "a", false)
	x.SetEvacuated(x.now, "b", false)
	x.SetEvacuated(x.now, "c", false)
	x.RemoveServer(x.now-time.Minute, x.record("a", 1))
	x.RemoveServer(x.now-time.Minute, x.record("b", 2))
	next.Revision = x.record("c", 3).Revision
	x.RemoveServer(x.now-time.Minute, next)
	if _, d := x.send(9999); d.Reason != NoServer {
		t.Errorf("reason %v without an evacuation", d.Reason)
	}
}

// Guards against open flows that leave their server, or are reset, when its domain is evacuated.
func TestOpenFlowsStayInEvacuatedDomain(t *testing.T) {
	x := newEvacuationTest(t)
	x.put("a", 1)
	x.send(1)
	x.put("b", 2)
	packet := Packet{Flow: FlowKey{Client: 7, ClientPort: 1, Service: 10, ServicePort: 443}, Cookie: 1, Acknowledges: true, Length: 10}
	x.Packet(x.now, packet, nil)
	x.SetEvacuated(x.now, "a", true)
	for range 3 {
		x.now += time.Second
		packet.Sequence += 10
		if d, _ := x.Packet(x.now, packet, nil); d.Verdict != Forward || d.Target.ID != 1 {
			t.Errorf("decision %+v for an open flow", d)
		}
	}
}

// Guards against probes of servers in an evacuated domain without open flows (a domain that has lost
// its power answers none), against an open flow whose dead server is not probed, and against
// servers that are not probed after the end.
func TestProbesInEvacuatedDomain(t *testing.T) {
	x := newEvacuationTest(t)
	x.put("a", 1, 2, 3)
	x.put("b", 4)
	x.setState(x.servers["1"], unreachable)
	unproven := x.record("a", 5)
	unproven.Address = x.servers["2"].Address
	x.SetEvacuated(x.now, "a", true)
	moved := x.record("a", 3)
	moved.Address = x.record("a", 30).Address
	actions := slices.Concat(x.PutServer(x.now, unproven), x.PutServer(x.now, moved), x.Suspect(x.now, 2), x.tick(5*time.Second))
	if got := probes(actions); len(got) > 0 {
		t.Errorf("probes of %v without open flows", got)
	}
	if x.setState(x.servers["4"], unreachable); x.referenceFor(x.servers["4"]).ID != 0 {
		t.Error("a server in the evacuated domain is the reference of a probe")
	}
	if got := probes(x.Ask(x.now, 3)); !slices.Equal(got, []string{"3"}) {
		t.Errorf("a peer with flows asks about server 3: probes %v", got)
	}
	x.SetEvacuated(x.now, "a", false)
	got := probes(x.tick(5 * time.Second))
	for _, want := range []string{"1", "3", "5"} {
		if !slices.Contains(got, want) {
			t.Errorf("server %s is not probed after the end: %v", want, got)
		}
	}
}

// Guards against an open flow at a dead server in an evacuated domain that is not reset.
func TestServerWithOpenFlowIsProbedInEvacuatedDomain(t *testing.T) {
	x := newEvacuationTest(t)
	x.put("a", 1)
	x.send(1)
	x.SetEvacuated(x.now, "a", true)
	if got := probes(x.tick(100 * time.Millisecond)); !slices.Equal(got, []string{"1"}) {
		t.Errorf("probes %v of the server with a flow", got)
	}
	moved := x.record("a", 1)
	moved.Address = x.record("a", 2).Address
	if got := probes(x.PutServer(x.now, moved)); !slices.Equal(got, []string{"1"}) {
		t.Errorf("probes %v at the new address of the server with a flow", got)
	}
}

// Guards against probes of a dead server in an evacuated domain that late packets of closed flows cause.
func TestClosedFlowCausesNoProbeInEvacuatedDomain(t *testing.T) {
	for _, evacuated := range []bool{false, true} {
		x := newEvacuationTest(t)
		x.put("a", 1)
		packet := Packet{Flow: FlowKey{Client: 7, ClientPort: 1, Service: 10, ServicePort: 443}, Cookie: 1, Acknowledges: true, Finish: true}
		x.Packet(x.now, packet, nil)
		x.SetEvacuated(x.now, "a", evacuated)
		x.setState(x.servers["1"], dead)
		_, actions := x.Packet(x.now, packet, nil)
		if got := probes(actions); len(got) > 0 == evacuated {
			t.Errorf("evacuated %v: probes %v", evacuated, got)
		}
	}
}

// Guards against a dead server that gets new flows at once after the evacuation, because the settlers
// did not repeat their report during it.
func TestReportedServerStaysAwayAfterEvacuation(t *testing.T) {
	x := newEvacuationTest(t)
	x.cfg.Settles = func(uint32) bool { return false }
	x.put("a", 1, 2)
	x.Suspect(x.now, 1)
	x.SetEvacuated(x.now, "a", true)
	x.tick(10 * time.Second)
	x.SetEvacuated(x.now, "a", false)
	x.tick(reportLifetime / 2)
	x.expect(2)
}

// Guards against all flows of an evacuated domain that go to four servers of each other domain, and
// against an evacuated domain that offers its servers.
func TestLeastLoadedServersDuringEvacuation(t *testing.T) {
	x := newEvacuationTest(t)
	for id := range uint64(40) {
		x.put("a", id+1)
	}
	for _, test := range []struct {
		domain string
		active bool
		want   int
	}{{"b", true, maxLeastLoadedInEvacuation}, {"b", false, maxLeastLoaded}, {"a", true, 0}} {
		x.SetEvacuated(x.now, test.domain, test.active)
		if got := len(x.LeastLoadedServers(x.now)); got != test.want {
			t.Errorf("%d servers with domain %s evacuated %v, want %d", got, test.domain, test.active, test.want)
		}
	}
	x.SetEvacuated(x.now, "a", false)
	x.SetEvacuated(x.now, "b", true)
	for i := range 63 { // the total must fit into a datagram
		s := x.record("a", uint64(100+i))
		s.Service = fmt.Sprint("service-", i)
		x.PutServer(x.now, s)
	}
	if got := len(x.LeastLoadedServers(x.now)); got != maxLeastLoaded+63 {
		t.Errorf("%d servers with 64 services", got)
	}
}

// Guards against full load on servers that were idle during an evacuation, also after a process
// that has been running for long writes its record again.
func TestServersAreColdAfterEvacuation(t *testing.T) {
	x := newEvacuationTest(t)
	x.put("a", 1)
	x.put("b", 2)
	x.SetEvacuated(x.now, "a", true)
	x.now += time.Minute
	x.SetEvacuated(x.now, "a", false)
	x.put("a", 1)
	for id, want := range map[string]time.Duration{"1": x.now + 2*time.Second, "2": time.Second} {
		if got := x.servers[id].coldUntil; got != want {
			t.Errorf("server %s is cold until %v, want %v", id, got, want)
		}
	}
	x.now += time.Second
	x.SetEvacuated(x.now, "a", false) // was not active
	if got := x.servers["1"].coldUntil; got != x.now+time.Second {
		t.Errorf("cold until %v after an end without an evacuation", got)
	}
}

// Guards against any sequence of events that leads an opening packet, or a probe without open flows,
// to an evacuated domain.
func TestNothingOpensInEvacuatedDomains(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := newEvacuationTest(nil, "orders-next")
		domains := []string{"a", "b", "c"}
		domain := rapid.SampledFrom(domains)
		ids := rapid.Uint64Range(1, 6)
		clients := rapid.Uint16Range(1, 30)
		probed := func(name string) bool {
			return x.servers[name] == nil || x.mayProbe(x.servers[name], &x.servers[name].Server)
		}
		allowed := make(map[string]bool) // servers that might be probed before the event
		before := func() {
			for id := range uint64(7) {
				allowed[fmt.Sprint(id)] = probed(fmt.Sprint(id))
			}
		}
		check := func(actions []Action) {
			for _, a := range actions {
				s := x.servers[a.Server]
				if a.Kind == SendPacket && x.isEvacuated(s) {
					t.Fatalf("opening packet moved to %s in domain %s", a.Server, s.Domain)
				}
				if a.Kind == Probe && x.isEvacuated(s) && a.Target.Address == s.Address && !allowed[a.Server] && !probed(a.Server) {
					t.Fatalf("probe of %s in domain %s", a.Server, s.Domain)
				}
			}
		}
		for range rapid.IntRange(10, 150).Draw(t, "steps") {
			before()
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				x.SetEvacuated(x.now, domain.Draw(t, "domain"), rapid.Bool().Draw(t, "active"))
			case 1, 2:
				s := x.record(domain.Draw(t, "domain"), ids.Draw(t, "id"))
				s.Service = rapid.SampledFrom([]string{"orders", "orders-next"}).Draw(t, "service")
				s.Draining, s.Unconfirmed = rapid.IntRange(0, 5).Draw(t, "draining") == 0, rapid.IntRange(0, 5).Draw(t, "unconfirmed") == 0
				s.StartedAt = int64(rapid.IntRange(0, 2).Draw(t, "started"))
				if rapid.IntRange(0, 3).Draw(t, "elsewhere") == 0 {
					s.Address = x.record("a", ids.Draw(t, "address of")).Address
				}
				check(x.PutServer(x.now, s))
			case 3:
				check(x.RemoveServer(x.now, x.record(domain.Draw(t, "domain"), ids.Draw(t, "id"))))
			case 4:
				check(x.ApplyProbeResult(x.now, fmt.Sprint(ids.Draw(t, "id")), ProbeResult{
					Outcome: ProbeOutcome(rapid.IntRange(0, 4).Draw(t, "outcome")), Elapsed: time.Millisecond, Reference: ReferenceAnswered,
					Answerer: fmt.Sprint(ids.Draw(t, "answerer")), Incarnation: uint32(rapid.IntRange(0, 2).Draw(t, "incarnation"))}))
			case 5:
				for range rapid.IntRange(1, 150).Draw(t, "ticks") {
					before()
					check(x.tick(10 * time.Millisecond))
				}
			case 6:
				x.SetLeastLoadedServers(x.now, domain.Draw(t, "domain"), []Load{{Cookie: uint32(ids.Draw(t, "id"))}})
				check(x.Suspect(x.now, uint32(ids.Draw(t, "suspect"))))
			default:
				client := clients.Draw(t, "client")
				if id, _ := x.send(client); id != 0 && x.isEvacuated(x.servers[fmt.Sprint(id)]) {
					t.Fatalf("opening packet of client %d to %d in an evacuated domain", client, id)
				}
			}
		}
	})
}
