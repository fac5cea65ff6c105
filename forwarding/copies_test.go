package forwarding

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// openingServer returns a record of a server of a service. Its number is its ID and its cookie.
func openingServer(number int, service string) Server {
	return Server{Name: fmt.Sprint("s", number), ID: uint64(number), Service: service, Domain: "a", Slots: 2, StartedAt: 1, Sequence: 1, Revision: uint64(number),
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(number)}), 80)}
}

// configureOpening puts a version in force that gives the route to services by weight.
func configureOpening(e *Engine, now time.Duration, version uint64, services ...ServiceWeight) {
	e.Configure(now, &Configuration{Version: version, HealthPaths: map[string]string{"orders": "", "next": ""}, Routes: []Route{{Address: 10, Port: 443, Services: services}}})
}

// newOpeningEngine returns an instance with server 1 of orders.
func newOpeningEngine() *Engine {
	e := New(Config{Domain: "a", CookieLifetime: time.Minute, MaxFlows: 100, NewFlowsPerPrefix: 500})
	configureOpening(e, 0, 1, ServiceWeight{"orders", 1})
	e.SetComplete()
	e.PutServer(0, openingServer(1, "orders"))
	return e
}

// changed returns a later record of the same process.
func changed(s Server, change func(*Server)) Server {
	s.Revision, s.Sequence = s.Revision+100, s.Sequence+1
	change(&s)
	return s
}

// Guards against copies of an opening packet that reach a server to which no new flow may go any more: a
// full server of the former service accepted the flow by the copy alone, 540 ms after another server had seen
// the new version (rule CONFIG). The same holds for servers that drain, are gone, may have been replaced, or
// are in an evacuated failure domain.
func TestCopyOfOpeningPacket(t *testing.T) {
	const copyAt = 600 * time.Millisecond
	first := openingServer(1, "orders")
	for _, c := range []struct {
		name   string
		change func(e *Engine, now time.Duration)
		want   uint64 // server; 0 for a reset
		reason Reason
	}{
		{"nothing", func(*Engine, time.Duration) {}, 1, ByFlow},
		{"route given to another service", func(e *Engine, now time.Duration) { configureOpening(e, now, 2, ServiceWeight{"next", 1}) }, 3, ChosenAgain},
		{"its service has no weight any more", func(e *Engine, now time.Duration) {
			configureOpening(e, now, 2, ServiceWeight{"orders", 0}, ServiceWeight{"next", 1})
		}, 3, ChosenAgain},
		{"route shared with another service", func(e *Engine, now time.Duration) {
			configureOpening(e, now, 2, ServiceWeight{"orders", 1}, ServiceWeight{"next", 1000})
		}, 1, ByFlow},
		{"route given to a service without servers", func(e *Engine, now time.Duration) { configureOpening(e, now, 2, ServiceWeight{"none", 1}) }, 0, NoServer},
		{"route dropped", func(e *Engine, now time.Duration) { e.Configure(now, &Configuration{Version: 2}) }, 0, NoRoute},
		{"server drains", func(e *Engine, now time.Duration) {
			e.PutServer(now, changed(first, func(s *Server) { s.Draining = true }))
		}, 2, ChosenAgain},
		{"record lapsed just now", func(e *Engine, now time.Duration) { e.RemoveServer(now, changed(first, func(*Server) {})) }, 1, ByFlow},
		{"record removed for long", func(e *Engine, now time.Duration) {
			e.RemoveServer(now, changed(first, func(*Server) {}))
			e.servers["s1"].removedAt = now - removalGracePeriod - 1
		}, 2, ChosenAgain},
		{"record returned without a sign of life", func(e *Engine, now time.Duration) {
			e.RemoveServer(now, changed(first, func(*Server) {}))
			e.PutServer(now, changed(first, func(s *Server) { s.Revision, s.Unconfirmed = 200, true }))
		}, 2, ChosenAgain},
		{"server now of another service", func(e *Engine, now time.Duration) {
			e.PutServer(now, changed(first, func(s *Server) { s.Service, s.StartedAt = "next", 2 }))
		}, 2, ChosenAgain},
		{"another server with its cookie", func(e *Engine, now time.Duration) {
			other := openingServer(2, "orders")
			other.Name, other.ID = "lower", 0
			e.servers["s1"].ID = 1 << 32
			e.servers["lower"] = e.addServer(other)
			e.byCookie[1] = append(e.byCookie[1], e.servers["lower"])
			e.setRecord(e.servers["lower"], other)
			e.servers["lower"].listed = true
			e.updateShadows(e.servers["s1"])
		}, 2, ChosenAgain},
		{"server suspected", func(e *Engine, now time.Duration) { e.Suspect(now, 1) }, 1, ByFlow},
		{"server refuses connections", func(e *Engine, now time.Duration) {
			e.ApplyProbeResult(now, "s1", ProbeResult{Outcome: Refused, Incarnation: e.servers["s1"].incarnation})
		}, 2, ByFlow}, // its stored opening packet has been moved already
		{"its failure domain evacuated", func(e *Engine, now time.Duration) {
			e.PutServer(now, changed(openingServer(2, "orders"), func(s *Server) { s.Domain = "b" }))
			e.SetEvacuated(now, "a", true)
		}, 2, ChosenAgain},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := newOpeningEngine()
			k := FlowKey{Client: 7, ClientPort: 1000, Service: 10, ServicePort: 443}
			p := Packet{Flow: k, Open: true, Sequence: 100}
			if d, _ := e.Packet(0, p, []byte("syn")); d.Target.ID != 1 || d.Reason != Chosen {
				t.Fatalf("opening packet: %+v", d)
			}
			e.PutServer(copyAt, openingServer(2, "orders"))
			e.PutServer(copyAt, openingServer(3, "next"))
			c.change(e, copyAt)
			d, _ := e.Packet(copyAt, p, []byte("syn"))
			if want := map[bool]Verdict{true: ResetFlow, false: Forward}[c.want == 0]; d.Verdict != want || d.Target.ID != c.want || d.Reason != c.reason {
				t.Fatalf("copy: %+v, want server %d, %v", d, c.want, c.reason)
			}
			if c.want == 0 {
				return
			}
			if d, _ = e.Packet(copyAt, p, []byte("syn")); d.Target.ID != c.want || d.Reason != ByFlow {
				t.Errorf("next copy: %+v, want server %d by flow", d, c.want)
			}
			// The first server may have answered as well, and before the other one.
			if d, _ = e.Packet(copyAt, Packet{Flow: k, Cookie: 1, Acknowledges: true, Sequence: 101, Acknowledgement: 5}, nil); d.Verdict != Forward || d.Target.Cookie != 1 {
				t.Errorf("end of the handshake with the first server: %+v", d)
			}
		})
	}
}

// Guards against stored opening packets that are sent for a flow that waits for none: one of an earlier flow
// between the same endpoints, or one that the client has given up. They would open flows that no client has.
// The same holds for a flow that a copy may have opened through another instance.
func TestStoredOpeningPacket(t *testing.T) {
	const at = 10 * time.Second
	k := FlowKey{Client: 7, ClientPort: 1000, Service: 10, ServicePort: 443}
	refused := func(e *Engine, now time.Duration) (out []string) {
		for _, a := range e.ApplyProbeResult(now, "s1", ProbeResult{Outcome: Refused, Incarnation: e.servers["s1"].incarnation}) {
			if a.Kind == SendPacket {
				out = append(out, fmt.Sprintf("%s to %d", a.Packet, a.Target.ID))
			}
		}
		return out
	}
	for _, c := range []struct {
		name    string
		prepare func(e *Engine) (now time.Duration)
		want    string
	}{
		{"waits", func(*Engine) time.Duration { return at + 300*time.Millisecond }, "[first to 2]"},
		{"copies sent", func(e *Engine) time.Duration {
			e.Packet(at+200*time.Millisecond, Packet{Flow: k, Open: true, Sequence: 100}, []byte("copy"))
			return at + 300*time.Millisecond
		}, "[first to 2]"},
		{"route given to another service", func(e *Engine) time.Duration {
			configureOpening(e, at, 2, ServiceWeight{"next", 1})
			return at + 300*time.Millisecond
		}, "[first to 3]"},
		{"route dropped", func(e *Engine) time.Duration { e.Configure(at, &Configuration{Version: 2}); return at }, "[]"},
		{"port used again", func(e *Engine) time.Duration {
			e.Packet(at+200*time.Millisecond, Packet{Flow: k, Open: true, Sequence: 7_000_000}, []byte("second"))
			return at + 300*time.Millisecond
		}, "[second to 2]"},
		{"given up, this process was paused", func(*Engine) time.Duration { return at + pendingLifetime + time.Second }, "[]"},
		{"paused, before the next tick", func(e *Engine) time.Duration {
			e.Tick(at)
			return at + MinRouterDetection + time.Millisecond
		}, "[]"},
		{"paused", func(e *Engine) time.Duration {
			e.Tick(at)
			e.Tick(at + MinRouterDetection + time.Millisecond)
			return at + MinRouterDetection + time.Millisecond
		}, "[]"},
		{"short pause", func(e *Engine) time.Duration {
			e.Tick(at)
			e.Tick(at + MinRouterDetection)
			return at + MinRouterDetection
		}, "[first to 2]"},
		{"an instance has joined", func(e *Engine) time.Duration {
			e.RoutingChanged(at + 100*time.Millisecond)
			return at + 300*time.Millisecond
		}, "[]"},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := newOpeningEngine()
			e.Packet(at, Packet{Flow: k, Open: true, Sequence: 100}, []byte("first"))
			now := c.prepare(e)
			e.PutServer(now, openingServer(2, "orders"))
			e.PutServer(now, openingServer(3, "next"))
			if got := fmt.Sprint(refused(e, now)); got != c.want {
				t.Errorf("sent %s, want %s", got, c.want)
			}
		})
	}
}

// Guards against an opening packet that is sent although it waited while this process was paused, and
// against effects that it has on the flow table and the server's health.
func TestLateOpeningPacket(t *testing.T) {
	e := newOpeningEngine()
	k := FlowKey{Client: 7, ClientPort: 1000, Service: 10, ServicePort: 443}
	p := Packet{Flow: k, Open: true, Sequence: 100, Late: true}
	if d, actions := e.Packet(0, p, []byte("syn")); d.Verdict != Drop || d.Reason != Late || len(actions) > 0 || len(e.flows)+len(e.pending) > 0 {
		t.Errorf("first packet: %+v, actions %+v, %d flows, %d stored packets", d, actions, len(e.flows), len(e.pending))
	}
	p.Late = false
	e.Packet(0, p, []byte("syn"))
	p.Late = true
	if d, _ := e.Packet(time.Second, p, []byte("syn")); d.Verdict != Drop || d.Reason != Late || e.servers["s1"].health.retransmissions != 0 {
		t.Errorf("copy: %+v, %d repeated packets", d, e.servers["s1"].health.retransmissions)
	}
}

// Guards against any way on which an opening packet, its copies and stored ones included, reaches a server
// that the configuration in force, its records or an evacuation exclude.
func TestOpeningPacketsFollowTheRules(t *testing.T) {
	services := []string{"orders", "next"}
	rapid.Check(t, func(t *rapid.T) {
		e := newOpeningEngine()
		now, version, revision := time.Duration(0), uint64(1), uint64(100)
		weights := map[string]uint64{"orders": 1}
		records, listed := make(map[int]Server), make(map[int]bool)
		for n := 1; n <= 5; n++ {
			records[n], listed[n] = openingServer(n, services[(n+1)%2]), true
			if n > 3 {
				s := records[n]
				s.Domain, records[n] = "b", s
			}
			e.PutServer(0, records[n])
		}
		removedAt := make(map[int]time.Duration)
		check := func(what string, to Target) {
			n := int(to.ID)
			if s := records[n]; weights[s.Service] == 0 || s.Draining || e.isDomainEvacuated(s.Domain) || !listed[n] && now-removedAt[n] > removalGracePeriod {
				t.Fatalf("%v: %s reaches server %d: %+v, listed %v, weights %v, evacuated %v", now, what, n, s, listed[n], weights, e.evacuated)
			}
		}
		perform := func(actions []Action) {
			for _, a := range actions {
				if a.Kind == SendPacket {
					check("stored opening packet", a.Target)
				}
			}
		}
		for range rapid.IntRange(20, 150).Draw(t, "steps") {
			for end := now + time.Duration(rapid.IntRange(0, 30).Draw(t, "10 ms"))*10*time.Millisecond; now < end; now += 10 * time.Millisecond {
				perform(e.Tick(now))
			}
			n := rapid.IntRange(1, 5).Draw(t, "server")
			revision++
			s := records[n]
			s.Revision, s.Sequence = revision, revision
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				version++
				weights = map[string]uint64{"orders": uint64(rapid.IntRange(0, 2).Draw(t, "weight")), "next": uint64(rapid.IntRange(0, 2).Draw(t, "weight"))}
				configureOpening(e, now, version, ServiceWeight{"orders", weights["orders"]}, ServiceWeight{"next", weights["next"]})
			case 1:
				s.Draining = rapid.Bool().Draw(t, "draining") || s.Draining && listed[n]
				if !listed[n] {
					s.StartedAt, s.Draining = s.StartedAt+1, false
				}
				records[n], listed[n] = s, true
				perform(e.PutServer(now, s))
			case 2:
				if listed[n] {
					records[n], listed[n], removedAt[n] = s, false, now
					perform(e.RemoveServer(now, s))
				}
			case 3:
				e.SetEvacuated(now, rapid.SampledFrom([]string{"a", "b"}).Draw(t, "domain"), rapid.Bool().Draw(t, "evacuated"))
			case 4:
				outcome := rapid.SampledFrom([]ProbeOutcome{Answered, Refused, ConnectTimeout}).Draw(t, "outcome")
				perform(e.ApplyProbeResult(now, s.Name, ProbeResult{Outcome: outcome, Elapsed: time.Millisecond, Reference: ReferenceAnswered, Incarnation: e.servers[s.Name].incarnation}))
			default:
				k := FlowKey{Client: 7, ClientPort: uint16(rapid.IntRange(1, 5).Draw(t, "port")), Service: 10, ServicePort: 443}
				d, actions := e.Packet(now, Packet{Flow: k, Open: true, Sequence: uint32(rapid.IntRange(1, 2).Draw(t, "sequence"))}, []byte("syn"))
				if d.Verdict == Forward {
					check(fmt.Sprintf("opening packet (%v)", d.Reason), d.Target)
				}
				perform(actions)
			}
		}
	})
}
