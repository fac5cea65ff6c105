package forwarding

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/monsoonthread/monsoonthread/mesh"
)

// suspicionSim runs the instances of one failure domain against simulated servers. Messages
// between instances take 1 ms.
type suspicionSim struct {
	now     time.Duration
	engines []*Engine
	meshes  []*mesh.Mesh
	events  []simEvent
	askers  []map[uint32][]int       // by instance and cookie
	down    map[string]time.Duration // since when a server is down
	probes  map[string]int           // probes of each server
	resets  map[string]int           // flows of each server that were reset by a timer or message
}

type simEvent struct {
	at time.Duration
	do func()
}

func newSuspicionSim(instances, servers int, settle bool) *suspicionSim {
	s := &suspicionSim{askers: make([]map[uint32][]int, instances), down: make(map[string]time.Duration), probes: make(map[string]int), resets: make(map[string]int)}
	peer := func(i int) mesh.Peer {
		return mesh.Peer{ID: fmt.Sprint("i", i), Domain: "a", Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7720)}
	}
	for i := range instances {
		m := mesh.New(mesh.Config{Self: peer(i), MaxRecordAge: time.Second})
		cfg := Config{Domain: "a", CookieLifetime: time.Minute, MaxFlows: 10000, Seed: uint64(i)}
		if settle {
			cfg.Settles = func(cookie uint32) bool { return m.Settles(s.now, cookie) }
		}
		e := New(cfg)
		e.Configure(0, &Configuration{Version: 1, Routes: []Route{{Address: 1, Port: 443, Services: []ServiceWeight{{"orders", 1}}}}, HealthPaths: map[string]string{"orders": "/health"}})
		for n := range servers {
			e.PutServer(0, Server{Name: fmt.Sprint("s", n+1), ID: uint64(n + 1), Service: "orders", Domain: "a", Slots: 2, Revision: 1,
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(n >> 8), byte(n)}), 80)})
		}
		s.engines, s.meshes, s.askers[i] = append(s.engines, e), append(s.meshes, m), make(map[uint32][]int)
	}
	s.every(0, 250*time.Millisecond, func() {
		for i, m := range s.meshes {
			for j := range s.meshes {
				m.ApplyStatus(s.now, mesh.Status{Peer: peer(j), Incarnation: 1})
			}
			s.perform(i, nil)
		}
	})
	s.every(0, 10*time.Millisecond, func() {
		for i, e := range s.engines {
			s.perform(i, e.Tick(s.now))
		}
	})
	return s
}

// at inserts an event behind those of the same time.
func (s *suspicionSim) at(t time.Duration, do func()) {
	i, _ := slices.BinarySearchFunc(s.events, t+1, func(e simEvent, t time.Duration) int { return cmp.Compare(e.at, t) })
	s.events = slices.Insert(s.events, i, simEvent{t, do})
}

func (s *suspicionSim) every(first, interval time.Duration, do func()) {
	s.at(first, func() { do(); s.every(first+interval, interval, do) })
}

func (s *suspicionSim) run(end time.Duration) {
	for len(s.events) > 0 {
		next := s.events[0]
		if next.at > end {
			return
		}
		s.events = s.events[1:]
		s.now = next.at
		next.do()
	}
}

// perform carries out the actions of instance i.
func (s *suspicionSim) perform(i int, actions []Action) {
	for _, a := range actions {
		cookie := a.Target.Cookie
		switch a.Kind {
		case Probe:
			s.probe(i, a)
		case AskSettlers:
			for _, to := range s.meshes[i].Settlers(s.now, cookie) {
				j := int(to.Addr().As4()[3])
				s.at(s.now+time.Millisecond, func() {
					s.askers[j][cookie] = append(s.askers[j][cookie], i)
					s.perform(j, s.engines[j].Ask(s.now, cookie))
				})
			}
		case TellAlive, TellDown:
			for _, j := range s.askers[i][cookie] {
				s.at(s.now+time.Millisecond, func() { s.receive(j, cookie, a.Kind) })
			}
			delete(s.askers[i], cookie)
		case ReportToPeers, ConfirmToPeers:
			for j := range s.engines {
				if j != i {
					s.at(s.now+time.Millisecond, func() { s.receive(j, cookie, a.Kind) })
				}
			}
		case SendReset:
			s.resets[a.Server]++
		}
	}
}

func (s *suspicionSim) receive(j int, cookie uint32, kind ActionKind) {
	switch kind {
	case TellAlive:
		s.engines[j].SettledAlive(s.now, cookie)
	case ConfirmToPeers:
		s.perform(j, s.engines[j].ConfirmUnreachable(s.now, cookie))
	default:
		s.perform(j, s.engines[j].Suspect(s.now, cookie))
	}
}

func (s *suspicionSim) probe(i int, a Action) {
	s.probes[a.Server]++
	r := ProbeResult{Outcome: Answered, Elapsed: time.Millisecond, Incarnation: a.Incarnation}
	if since, down := s.down[a.Server]; down && s.now >= since {
		r = ProbeResult{Outcome: ConnectTimeout, Elapsed: 60 * time.Millisecond, Incarnation: a.Incarnation}
		if a.Reference.Address.IsValid() {
			r.Reference = ReferenceAnswered
		}
	}
	s.at(s.now+r.Elapsed, func() { s.perform(i, s.engines[i].ApplyProbeResult(s.now, a.Server, r)) })
}

// request lets a client of instance i send a request on its flow at server n, and retransmit it
// until it is answered after the response time; 0 for no answer.
func (s *suspicionSim) request(i, n int, client uint16, at, response time.Duration) {
	k := FlowKey{Client: uint32(i + 1), ClientPort: client, Service: 1, ServicePort: 443}
	seq, ack := uint32(at/time.Millisecond)*10, uint32(at/time.Millisecond)*10
	send := func(t time.Duration, p Packet) {
		s.at(t, func() {
			p.Flow, p.Cookie, p.Acknowledges = k, uint32(n+1), true
			_, actions := s.engines[i].Packet(s.now, p, nil)
			s.perform(i, actions)
		})
	}
	for wait := time.Duration(0); wait <= 3*time.Second && (response == 0 || wait < response); wait = 2*wait + 200*time.Millisecond {
		send(at+wait, Packet{Sequence: seq, Acknowledgement: ack, Length: 5})
	}
	if response > 0 {
		send(at+response, Packet{Sequence: seq + 5, Acknowledgement: ack + 2000})
	}
}

// probesOfSlowServers returns the probes of each server and second while all servers answer
// slowly, as after a loss of power, when clients send everything again.
func probesOfSlowServers(instances, servers int, settle bool) float64 {
	s := newSuspicionSim(instances, servers, settle)
	const span = 4 * time.Second
	for i := range instances {
		for n := range servers {
			for t := time.Second; t < time.Second+span; t += 700 * time.Millisecond {
				s.request(i, n, uint16(n+1), t, 350*time.Millisecond)
			}
		}
	}
	s.run(time.Second + span)
	total := 0
	for _, p := range s.probes {
		total += p
	}
	return float64(total) / float64(servers) / span.Seconds()
}

// maxProbesPerSecond is the bound on the probes of a server in one failure domain: each of two
// settlers probes at most every 400 ms.
const maxProbesPerSecond = 2 / 0.4

// Guards against probes that grow with instances times suspected servers: with 60 instances in
// a failure domain, all of them see retransmissions to every server at once.
func TestProbesDoNotGrowWithInstances(t *testing.T) {
	for _, instances := range []int{2, 20, 60} {
		with, without := probesOfSlowServers(instances, 10, true), probesOfSlowServers(instances, 10, false)
		t.Logf("%d instances: %.2f probes of a server per second, %.2f if each probes by itself", instances, with, without)
		if with > maxProbesPerSecond {
			t.Errorf("%d instances: %.2f probes of a server per second, at most %.1f allowed", instances, with, maxProbesPerSecond)
		}
	}
}

// Guards against a dead server that is noticed late because others are asked about it, and
// against settlers that are down themselves: every instance with or without flows at the server
// must keep new flows away within 2 s, and those that answer must stay trusted.
func TestDeadServerIsNoticedInTime(t *testing.T) {
	for _, instances := range []int{2, 20, 60} {
		s := newSuspicionSim(instances, 10, true)
		died := 2 * time.Second
		s.down["s1"] = died
		for i := range instances {
			for n := range 10 {
				for at := time.Second; at < died; at += 100 * time.Millisecond {
					s.request(i, n, uint16(n+1), at, 30*time.Millisecond)
				}
				response := 30 * time.Millisecond
				if n == 0 {
					response = 0
				}
				if n > 0 || i%4 == 0 { // a quarter of the instances has flows at the server
					s.request(i, n, uint16(n+1), died+10*time.Millisecond, response)
				}
			}
		}
		s.run(died + 2*time.Second)
		for i, e := range s.engines {
			for n := range 10 {
				server := e.servers[fmt.Sprint("s", n+1)]
				if down := server.health.state >= unreachable; down != (n == 0) {
					t.Errorf("%d instances: instance %d sees s%d as %v", instances, i, n+1, server.health.state)
				}
			}
		}
	}
}

// Guards against trusting a settler whose path works while the own one does not: after one
// such answer without progress, the instance probes by itself.
func TestOwnProbeAfterContradiction(t *testing.T) {
	e := New(Config{Domain: "a", CookieLifetime: time.Minute, MaxFlows: 10, Settles: func(uint32) bool { return false }})
	e.PutServer(0, Server{Name: "s1", ID: 1, Service: "orders", Domain: "a", Slots: 2, Revision: 1})
	s := e.servers["s1"]
	if a := e.suspect(time.Second, s); len(a) != 1 || a[0].Kind != AskSettlers {
		t.Fatalf("first suspicion: %v, want a question to the settlers", a)
	}
	e.SettledAlive(time.Second+5*time.Millisecond, 1)
	if s.health.state != trusted {
		t.Fatalf("state %v after a settler's answer, want trusted", s.health.state)
	}
	if a := e.suspect(1500*time.Millisecond, s); len(a) != 1 || a[0].Kind != Probe {
		t.Errorf("second suspicion without progress: %v, want a probe", a)
	}
}

// Guards against waiting for settlers that do not answer.
func TestOwnProbeWithoutSettlers(t *testing.T) {
	e := New(Config{Domain: "a", CookieLifetime: time.Minute, MaxFlows: 10, Settles: func(uint32) bool { return false }})
	e.PutServer(0, Server{Name: "s1", ID: 1, Service: "orders", Domain: "a", Slots: 2, Revision: 1})
	e.suspect(time.Second, e.servers["s1"])
	if a := e.Tick(time.Second + askTimeout); len(a) != 1 || a[0].Kind != Probe {
		t.Errorf("actions after the settlers' time: %v, want a probe", a)
	}
}

// Guards against a report that resets open flows or stays in force for good.
func TestReportKeepsOnlyNewFlowsAway(t *testing.T) {
	e := New(Config{Domain: "a", CookieLifetime: time.Minute, MaxFlows: 10, Settles: func(uint32) bool { return false }})
	e.Configure(0, &Configuration{Version: 1, Routes: []Route{{Address: 1, Port: 443, Services: []ServiceWeight{{"orders", 1}}}}})
	e.PutServer(0, Server{Name: "s1", ID: 1, Service: "orders", Domain: "a", Slots: 2, Revision: 1})
	if a := e.Suspect(time.Second, 1); len(a) != 0 || e.servers["s1"].usable() {
		t.Fatalf("after a report: actions %v, usable %v; want none, false", a, e.servers["s1"].usable())
	}
	d, _ := e.Packet(time.Second, Packet{Flow: FlowKey{Client: 1, Service: 1, ServicePort: 443}, Cookie: 1, Acknowledges: true}, nil)
	if d.Verdict != Forward {
		t.Errorf("packet of an open flow: verdict %v, want Forward", d.Verdict)
	}
	e.Tick(time.Second + reportLifetime)
	if !e.servers["s1"].usable() {
		t.Error("server still unusable after the report's lifetime")
	}
}

// Guards against a probe that began before a server's restart and counts against the new
// process.
func TestProbeOfEarlierProcessIsIgnored(t *testing.T) {
	e := New(Config{Domain: "a", CookieLifetime: time.Minute, MaxFlows: 10})
	in := Server{Name: "s1", ID: 1, Service: "orders", Domain: "a", Slots: 2, Revision: 1, StartedAt: 1}
	e.PutServer(0, in)
	probe := e.Suspect(time.Second, 1)[0]
	in.Revision, in.StartedAt = 2, 2
	e.PutServer(time.Second, in)
	e.ApplyProbeResult(time.Second, "s1", ProbeResult{Outcome: Refused, Incarnation: probe.Incarnation})
	if !e.servers["s1"].usable() {
		t.Error("the restarted server is unusable after a probe of its earlier process")
	}
}

// Guards against taking the own link as working before any server has answered.
func TestLinkIsUnknownAfterStart(t *testing.T) {
	e := New(Config{Domain: "a", CookieLifetime: time.Minute, MaxFlows: 10})
	e.PutServer(0, Server{Name: "s1", ID: 1, Service: "orders", Domain: "a", Slots: 2, Revision: 1})
	if e.linkWorks(50*time.Millisecond, e.servers["s1"]) {
		t.Error("the link counts as working without an answer")
	}
}

// Guards against least-loaded servers that accumulate when servers of two failure domains
// share a cookie.
func TestLeastLoadedServersStayBounded(t *testing.T) {
	e := New(Config{Domain: "a", CookieLifetime: time.Minute, MaxFlows: 10})
	for i, domain := range []string{"b", "c"} {
		e.PutServer(0, Server{Name: domain, ID: uint64(i)<<32 | 7, Service: "orders", Domain: domain, Slots: 2, Revision: 1})
	}
	for i := range 1000 {
		e.SetLeastLoadedServers(time.Duration(i)*time.Millisecond, "b", []Load{{Cookie: 7}})
	}
	if n := len(e.services["orders"].remoteLeastLoaded); n != 1 {
		t.Errorf("%d least-loaded servers after 1000 reports of one, want 1", n)
	}
}

// Guards against resets by an instance that has read only a part of the records: after a loss of
// power, all packets reach instances that are still starting.
func TestStartingInstanceResetsNoFlow(t *testing.T) {
	e := New(Config{Domain: "a", CookieLifetime: time.Minute, MaxFlows: 10})
	e.Configure(0, &Configuration{Version: 1, Routes: []Route{{Address: 1, Port: 443, Services: []ServiceWeight{{"orders", 1}}}}})
	opening := Packet{Flow: FlowKey{Client: 1, Service: 1, ServicePort: 443}, Open: true}
	noRoute := Packet{Flow: FlowKey{Client: 1, Service: 2, ServicePort: 443}, Open: true}
	for _, p := range []Packet{opening, noRoute} {
		if d, _ := e.Packet(0, p, nil); d.Verdict != Drop {
			t.Errorf("before the records are complete: verdict %v, want Drop", d.Verdict)
		}
	}
	e.PutServer(0, Server{Name: "s1", ID: 1, Service: "orders", Domain: "a", Slots: 2, Revision: 1})
	if d, _ := e.Packet(0, opening, nil); d.Verdict != Forward {
		t.Errorf("with the first server: verdict %v, want Forward", d.Verdict)
	}
	e.SetComplete()
	if d, _ := e.Packet(0, noRoute, nil); d.Verdict != ResetFlow {
		t.Errorf("with complete records: verdict %v, want ResetFlow", d.Verdict)
	}
}

// Guards against idle flows at a dead server that stay until their next request is lost: with
// hundreds of instances, most of them have a few idle flows at it and see no retransmission.
func TestIdleFlowsOfDeadServerAreReset(t *testing.T) {
	for _, instances := range []int{2, 20, 60} {
		s := newSuspicionSim(instances, 3, true)
		died := 2 * time.Second
		s.down["s1"] = died
		for i := range instances {
			for n := range 3 {
				for at := time.Second; at < died; at += 100 * time.Millisecond {
					s.request(i, n, uint16(n+1), at, 30*time.Millisecond)
				}
				if n > 0 { // the other servers go on; s1 gets a single request, through the first instance
					s.request(i, n, uint16(n+1), died+10*time.Millisecond, 30*time.Millisecond)
				}
			}
		}
		s.request(0, 0, 1, died+10*time.Millisecond, 0)
		s.run(died + 1500*time.Millisecond)
		if s.resets["s1"] < instances-1 || s.resets["s2"]+s.resets["s3"] > 0 {
			t.Errorf("%d instances: %d idle flows of the dead server reset, want %d; %d of live servers, want 0", instances, s.resets["s1"], instances-1, s.resets["s2"]+s.resets["s3"])
		}
	}
}
