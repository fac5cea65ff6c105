package forwarding

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against a late packet of an earlier flow that decides the server of a new flow between
// the same endpoints: the new flow's packets would reach a server that does not hold it.
func TestLatePacketOfEarlierFlow(t *testing.T) {
	e := New(Config{Domain: "a", CookieLifetime: time.Minute, MaxFlows: 10})
	e.Configure(0, &Configuration{Version: 1, Routes: []Route{{Address: 1, Port: 443, Services: []ServiceWeight{{"orders", 1}}}}})
	e.SetComplete()
	old := Server{Name: "s1", ID: 1, Service: "orders", Domain: "a", Slots: 2, Revision: 1, Address: netip.MustParseAddrPort("10.0.0.1:80")}
	e.PutServer(0, old)
	k := FlowKey{Client: 1, ClientPort: 1000, Service: 1, ServicePort: 443}
	e.Packet(0, Packet{Flow: k, Open: true, Sequence: 100}, nil)
	e.Packet(0, Packet{Flow: k, Cookie: 1, Acknowledges: true, Sequence: 101, Length: 5}, nil)
	e.Packet(0, Packet{Flow: k, Cookie: 1, Acknowledges: true, Sequence: 106, Finish: true}, nil)

	old.Revision, old.Draining = 2, true
	e.PutServer(0, old)
	e.PutServer(0, Server{Name: "s2", ID: 2, Service: "orders", Domain: "a", Slots: 2, Revision: 3, Address: netip.MustParseAddrPort("10.0.0.2:80")})
	const isn = 5_000_000
	if d, _ := e.Packet(0, Packet{Flow: k, Open: true, Sequence: isn}, nil); d.Target.ID != 2 {
		t.Fatalf("opening packet of the new flow: server %d, want 2", d.Target.ID)
	}
	if d, _ := e.Packet(0, Packet{Flow: k, Cookie: 1, Acknowledges: true, Sequence: 106, Finish: true}, nil); d.Target.ID != 1 {
		t.Errorf("late packet of the old flow: server %d, want 1", d.Target.ID)
	}
	for range 2 {
		if d, _ := e.Packet(0, Packet{Flow: k, Cookie: 2, Acknowledges: true, Sequence: isn + 1, Length: 5}, nil); d.Target.ID != 2 {
			t.Errorf("packet of the new flow: server %d, want 2", d.Target.ID)
		}
	}
}

// reuseEngine returns an instance with two servers and an open flow at the first one, with a pending request.
func reuseEngine(t *testing.T) (e *Engine, k FlowKey) {
	t.Helper()
	e = New(Config{Domain: "a", CookieLifetime: time.Minute, MaxFlows: 10})
	e.Configure(0, &Configuration{Version: 1, Routes: []Route{{Address: 1, Port: 443, Services: []ServiceWeight{{"orders", 1}}}}})
	e.SetComplete()
	for id := range uint64(2) {
		e.PutServer(0, Server{Name: []string{"s1", "s2"}[id], ID: id + 1, Service: "orders", Domain: "a", Slots: 2, Revision: id + 1,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(id + 1)}), 80)})
	}
	k = FlowKey{Client: 1, ClientPort: 1000, Service: 1, ServicePort: 443}
	e.Packet(0, Packet{Flow: k, Cookie: 1, Acknowledges: true, Sequence: 100, Acknowledgement: 9_000_000, Length: 50}, nil)
	if s := e.servers["s1"]; s.flows != 1 || s.pendingRequests != 1 {
		t.Fatalf("%d flows and %d pending requests at s1", s.flows, s.pendingRequests)
	}
	return e, k
}

// Guards against the table entry of a flow that has ended at another instance: it decided the server of a
// later flow between the same endpoints, whose packets reached a server that does not hold it. What it said
// about the earlier flow also counted as evidence about that server: requests without an answer, repeated
// packets, progress and response times.
func TestEntryOfFlowThatEndedElsewhere(t *testing.T) {
	const idle = 7 * time.Second
	for _, c := range []struct {
		name     string
		finished bool // the entry's flow has ended here, and the later one was opened elsewhere
		seq, ack uint32
		cookie   uint32
	}{
		{"server of the later flow", false, 4_000_000_000, 500, 2},
		{"numbers below the earlier ones", false, math.MaxUint32 - maxAdvance + 100, 500, 2},
		{"only the server's numbers differ", false, 150, 500, 2},
		{"only the client's numbers differ", false, 7_000_000, 9_000_000, 2},
		{"flows start with the same numbers", false, 100, 8_999_000, 2},
		{"the same server", false, 4_000_000_000, 500, 1},
		{"finished", true, 4_000_000_000, 500, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			e, k := reuseEngine(t)
			if c.finished {
				e.Packet(0, Packet{Flow: k, Cookie: 1, Acknowledges: true, Sequence: 150, Acknowledgement: 9_000_400, Finish: true}, nil)
			}
			p := Packet{Flow: k, Cookie: c.cookie, Acknowledges: true, Sequence: c.seq, Acknowledgement: c.ack, Length: 20}
			d, actions := e.Packet(idle, p, nil)
			if d.Verdict != Forward || d.Target.ID != uint64(c.cookie) || d.Reason != ByCookie || d.ReplacedServer != 1 || d.ReplacedIdle != idle {
				t.Errorf("first packet: %+v", d)
			}
			p.Sequence, p.Length, p.Acknowledgement = c.seq+20, 0, c.ack+2000
			d, more := e.Packet(idle+30*time.Millisecond, p, nil)
			if d.Target.ID != uint64(c.cookie) || d.Reason != ByFlow || d.ReplacedServer != 0 || d.Response != 30*time.Millisecond {
				t.Errorf("acknowledgement of the answer: %+v", d)
			}
			if actions = append(actions, more...); len(actions) > 0 {
				t.Errorf("actions %+v", actions)
			}
			for id, name := range []string{"s1", "s2"} {
				s, flows := e.servers[name], int32(0)
				if c.cookie == uint32(id+1) {
					flows = 1
				}
				if s.flows != flows || s.pendingRequests != 0 || s.health.retransmissions != 0 || s.health.state != trusted {
					t.Errorf("%s: %d flows, %d pending requests, %d repeated packets, %v; want %d flows", name, s.flows, s.pendingRequests, s.health.retransmissions, s.health.state, flows)
				}
			}
			if s1 := e.servers["s1"]; c.cookie == 2 && !c.finished && s1.health.lastProgress != 0 {
				t.Errorf("packets of a flow at s2 count as progress of s1 at %v", s1.health.lastProgress)
			}
		})
	}
}

// Guards against a reset with the numbers of an earlier flow: the client of a later flow between the same
// endpoints ignores it, and goes on sending to a server that is dead.
func TestResetHasTheNumbersOfTheLaterFlow(t *testing.T) {
	e, k := reuseEngine(t)
	e.Packet(time.Second, Packet{Flow: k, Cookie: 2, Acknowledges: true, Sequence: 4_000_000_000, Acknowledgement: 500}, nil)
	if actions := e.resetFlows(time.Second, e.servers["s1"], true); len(actions) != 0 {
		t.Errorf("the flow at s2 is reset as one of s1: %+v", actions)
	}
	actions := e.resetFlows(time.Second, e.servers["s2"], true)
	if len(actions) != 1 || actions[0].Flow != k || actions[0].Sequence != 500 {
		t.Errorf("actions %+v, want one reset with sequence number 500", actions)
	}
}

// Guards against packets that follow an outdated entry because their cookie names no known server: the
// entry's server would reset a flow that it does not hold.
func TestOutdatedEntryWithUnknownCookie(t *testing.T) {
	e, k := reuseEngine(t)
	if d, _ := e.Packet(time.Second, Packet{Flow: k, Cookie: 3, Acknowledges: true, Sequence: 4_000_000_000, Acknowledgement: 500}, nil); d.Verdict != Drop || d.Reason != UnknownCookie {
		t.Errorf("packet of a flow that was opened elsewhere: %+v", d)
	}
	k.ClientPort++
	e.Packet(time.Second, Packet{Flow: k, Open: true, Sequence: 700}, nil)
	if d, _ := e.Packet(time.Second, Packet{Flow: k, Cookie: 3, Acknowledges: true, Sequence: 701, Acknowledgement: 500}, nil); d.Verdict != Drop || d.Reason != UnknownCookie {
		t.Errorf("packet of a flow that a copy of its opening packet has opened elsewhere: %+v", d)
	}
}

// Guards against an open flow whose packets follow the cookie of a second server: the client has received
// the late answer of that server to a copy of the opening packet, but its flow is open at the first one.
func TestLateAnswerOfSecondServer(t *testing.T) {
	e, k := reuseEngine(t)
	for i := range uint32(3) {
		p := Packet{Flow: k, Cookie: 2, Acknowledges: true, Sequence: 150 + i*1200, Acknowledgement: 9_000_000, Length: 1200}
		if d, _ := e.Packet(5*time.Second, p, nil); d.Verdict != Forward || d.Target.ID != 1 || d.Reason != ByFlow {
			t.Errorf("packet %d: %+v, want the server that holds the flow", i, d)
		}
	}
}

// Guards against a response time that includes the time in which other instances have forwarded the flow.
func TestFlowThatReturnsFromAnotherInstance(t *testing.T) {
	e, k := reuseEngine(t)
	// The next request and both answers went through another instance.
	d, _ := e.Packet(8*time.Second, Packet{Flow: k, Cookie: 1, Acknowledges: true, Sequence: 200, Acknowledgement: 9_004_000}, nil)
	if d.Verdict != Forward || d.Target.ID != 1 || d.Response != 0 {
		t.Errorf("%+v, want no response time", d)
	}
	if n := e.servers["s1"].pendingRequests; n != 0 {
		t.Errorf("%d pending requests", n)
	}
}

// Guards against resets of flows that may have ended at another instance: one of them reached the client of
// a later flow between the same endpoints, at a server that lived. Guards against the opposite too: idle
// flows of a dead server are reset as long as the routers send them here.
func TestResetAfterRoutingChange(t *testing.T) {
	const last = 10 * time.Second // packet of the flow
	for _, c := range []struct {
		name      string
		changedAt time.Duration // 0 for no change
		idle      time.Duration
		reset     bool
	}{
		{"no change", 0, 8 * time.Second, true},
		{"change after the last packet", last + time.Second, 8 * time.Second, false},
		{"routers may not have finished", last - time.Second, 8 * time.Second, false},
		{"earlier change", last - routingSettleTime, 8 * time.Second, true},
		{"recent packet", last + recentPacket/2, recentPacket, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			e, k := reuseEngine(t)
			for now := time.Duration(0); now < last; now += 100 * time.Millisecond {
				e.Tick(now)
			}
			p := Packet{Flow: k, Cookie: 1, Acknowledges: true, Sequence: 150, Acknowledgement: 9_000_400}
			e.Packet(last, p, nil)
			if c.changedAt > 0 {
				e.RoutingChanged(c.changedAt)
			}
			actions := e.resetFlows(last+c.idle, e.servers["s1"], true)
			if c.reset != (len(actions) == 1 && actions[0].Kind == SendReset && actions[0].Sequence == 9_000_400) || !c.reset && len(actions) > 0 {
				t.Errorf("actions %+v, want a reset: %v", actions, c.reset)
			}
			if s := e.servers["s1"]; len(e.flows) != 0 || s.flows != 0 {
				t.Errorf("%d flows in the table, %d counted", len(e.flows), s.flows)
			}
			if d, _ := e.Packet(last+c.idle, p, nil); d.Verdict != Forward || d.Target.ID != 1 {
				t.Errorf("next packet: %+v", d)
			}
		})
	}
}

// Guards against a pause of this instance that is not taken for a change of the routers: they send its flows
// elsewhere meanwhile.
func TestPauseIsARoutingChange(t *testing.T) {
	e, k := reuseEngine(t)
	now := 10 * time.Second
	e.Tick(now)
	e.Packet(now, Packet{Flow: k, Cookie: 1, Acknowledges: true, Sequence: 150, Acknowledgement: 9_000_400}, nil)
	now += 2 * time.Second
	e.Tick(now)
	if actions := e.resetFlows(now, e.servers["s1"], true); len(actions) != 0 {
		t.Errorf("actions %+v", actions)
	}
}

// movedFlow is an open flow as its endpoints know it.
type movedFlow struct {
	server   uint64
	cookie   uint32
	seq, ack uint32
	via      *Engine // to which the routers send its packets
}

// Guards against packets of an open flow at a wrong server, and against false evidence about servers, while
// the routers move flows between instances and clients use their ports again.
func TestReusedPortsReachTheirServers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "numbers"), 1))
		engines := make([]*Engine, 3)
		for i := range engines {
			e := New(Config{Domain: "a", CookieLifetime: time.Minute, MaxFlows: 100, Seed: uint64(i)})
			e.Configure(0, &Configuration{Version: 1, Routes: []Route{{Address: 10, Port: 443, Services: []ServiceWeight{{"orders", 1}}}}})
			e.SetComplete()
			for n := range 4 {
				e.PutServer(0, Server{Name: serverName(n), ID: uint64(n + 1), Service: "orders", Domain: "a", Slots: 2, Revision: uint64(n + 1), Address: serverAddress(n)})
			}
			engines[i] = e
		}
		draw := func() *Engine { return rapid.SampledFrom(engines).Draw(t, "instance") }
		now := time.Duration(0)
		flows := make(map[FlowKey]*movedFlow)
		send := func(k FlowKey, f *movedFlow, p Packet) {
			p.Flow, p.Cookie, p.Acknowledges, p.Sequence, p.Acknowledgement = k, f.cookie, true, f.seq, f.ack
			if d, _ := f.via.Packet(now, p, nil); d.Verdict != Forward || d.Target.ID != f.server {
				t.Fatalf("%v: packet of flow %v at server %d: %+v", now, k, f.server, d)
			}
			f.seq += uint32(p.Length)
		}
		for range rapid.IntRange(20, 150).Draw(t, "steps") {
			for end := now + time.Duration(rapid.IntRange(0, 30).Draw(t, "50 ms"))*50*time.Millisecond; now < end; now += 50 * time.Millisecond {
				for _, e := range engines {
					e.Tick(now)
				}
			}
			k := FlowKey{Client: 7, ClientPort: uint16(rapid.IntRange(1, 4).Draw(t, "port")), Service: 10, ServicePort: 443}
			f := flows[k]
			switch event := rapid.IntRange(0, 5).Draw(t, "event"); {
			case f == nil:
				f = &movedFlow{seq: rng.Uint32(), ack: rng.Uint32(), via: draw()}
				d, _ := f.via.Packet(now, Packet{Flow: k, Open: true, Sequence: f.seq}, nil)
				if d.Verdict != Forward {
					t.Fatalf("opening packet: %+v", d)
				}
				f.server, f.cookie, flows[k] = d.Target.ID, d.Target.Cookie, f
				f.seq++
				if event == 0 {
					f.via = draw()
				}
				send(k, f, Packet{})
			case event == 0:
				f.via = draw()
			case event == 1:
				send(k, f, Packet{Finish: true})
				delete(flows, k)
			default:
				send(k, f, Packet{Length: uint16(rng.IntN(1200) + 1)})
				if event == 2 {
					f.via = draw() // the answer is acknowledged through another instance
				}
				f.ack += rng.Uint32N(4000) + 1
				send(k, f, Packet{})
			}
			for _, e := range engines {
				for _, s := range e.servers {
					if s.health.retransmissions != 0 {
						t.Fatalf("%v: %d repeated packets at server %s, but no client has repeated one", now, s.health.retransmissions, s.Name)
					}
				}
			}
		}
	})
}
