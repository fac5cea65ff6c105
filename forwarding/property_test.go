package forwarding

import (
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// randomHistory is a random sequence of events at one engine, with a model of the server of
// each flow.
type randomHistory struct {
	e                 *Engine
	now               time.Duration
	rev               uint64
	version           uint64
	owner             map[FlowKey]uint32 // cookie of the server that the flow was opened at
	progress          map[uint32]time.Duration
	repeated          map[uint32]int          // packets that clients have repeated since the server's last sign of life
	pending           map[FlowKey]struct{}    // flows with an unanswered request
	probeOutcomes     map[string]ProbeOutcome // last probe outcome of each server
	confirmedTimeouts map[string]int          // unanswered probes with an answered reference connection
	servers           map[string]*serverModel
	recordsOutdated   bool
	outdatedAt        time.Duration
}

// serverModel is what the history knows about a server.
type serverModel struct {
	listed, drained bool
	ended           bool // it refused a probe while it could not be leaving
	replaced        bool // another server answered for it, and it has not answered since
}

func newRandomHistory() *randomHistory {
	w := &randomHistory{
		servers: make(map[string]*serverModel),
		owner:   make(map[FlowKey]uint32), progress: make(map[uint32]time.Duration), repeated: make(map[uint32]int), pending: make(map[FlowKey]struct{}),
		probeOutcomes: make(map[string]ProbeOutcome), confirmedTimeouts: make(map[string]int),
	}
	w.e = New(Config{Domain: "a", CookieLifetime: 2 * time.Minute, MaxFlows: 200, Seed: 7, RecordsCurrent: func() bool { return !w.recordsOutdated }})
	for n := range 6 {
		w.servers[serverName(n)] = new(serverModel)
	}
	w.configure()
	return w
}

func (w *randomHistory) configure() {
	w.version++
	w.e.Configure(w.now, &Configuration{Version: w.version, Routes: []Route{
		{Address: 10, Port: 443, Kind: Idempotent, Services: []ServiceWeight{{"orders", 1}}},
		{Address: 10, Port: 80, Kind: NonIdempotent, Services: []ServiceWeight{{"orders", 1}}},
	}})
}

func serverName(n int) string { return string(rune('A' + n)) }

func serverAddress(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 80)
}

func (w *randomHistory) put(n int, draining bool) []Action {
	w.rev++
	domain := "a"
	if n%3 == 2 {
		domain = "b"
	}
	m := w.servers[serverName(n)]
	if !m.listed {
		m.ended, m.replaced = false, false
		delete(w.probeOutcomes, serverName(n))
	}
	m.listed, m.drained = true, m.drained || draining
	return w.e.PutServer(w.now, Server{
		Name: serverName(n), ID: uint64(n + 1), Service: "orders", Domain: domain, Slots: 2, Draining: draining, Sequence: w.rev, Revision: w.rev,
		Address: serverAddress(n),
	})
}

// Guards against the worst error, a reset of a flow whose server may still serve it; against packets of an open flow that are sent to
// another server; and against counters that diverge from the flow table.
func TestRandomHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newRandomHistory()
		steps := rapid.IntRange(20, 200).Draw(t, "steps")
		for range steps {
			w.step(t)
			w.checkCounters(t)
		}
	})
}

func (w *randomHistory) step(t *rapid.T) {
	w.advance(t, time.Duration(rapid.IntRange(0, 120).Draw(t, "ms"))*time.Millisecond)
	if rapid.IntRange(0, 20).Draw(t, "pause") == 0 {
		w.now += 5 * time.Second
	}
	n := rapid.IntRange(0, 5).Draw(t, "server")
	key := FlowKey{Client: 7, ClientPort: uint16(rapid.IntRange(1, 12).Draw(t, "client")), Service: 10, ServicePort: 443}
	if rapid.Bool().Draw(t, "route") {
		key.ServicePort = 80
	}
	switch rapid.IntRange(0, 10).Draw(t, "event") {
	case 10:
		w.recordsOutdated = !w.recordsOutdated
	case 0:
		w.checkActions(t, w.put(n, rapid.IntRange(0, 4).Draw(t, "draining") == 0))
	case 1:
		w.rev++
		w.servers[serverName(n)].listed = false
		w.checkActions(t, w.e.RemoveServer(w.now, Server{Name: serverName(n), ID: uint64(n + 1), Service: "orders", Revision: w.rev, Address: serverAddress(n)}))
	case 2:
		outcome := ProbeOutcome(rapid.IntRange(0, 4).Draw(t, "outcome"))
		w.probeOutcomes[serverName(n)] = outcome
		w.recordProbe(n, outcome)
		reference := ReferenceOutcome(rapid.IntRange(0, 2).Draw(t, "reference"))
		switch {
		case outcome == ConnectTimeout && reference == ReferenceAnswered:
			w.confirmedTimeouts[serverName(n)]++
		case outcome != ConnectTimeout:
			w.confirmedTimeouts[serverName(n)] = 0
		}
		w.checkActions(t, w.e.ApplyProbeResult(w.now, serverName(n), ProbeResult{Outcome: outcome, Elapsed: time.Millisecond, Reference: reference, Incarnation: w.incarnation(n)}))
	case 3:
		w.configure()
	case 4, 5:
		w.open(t, key)
	case 6:
		w.tick(t)
	default:
		w.data(t, key)
	}
}

// advance lets time pass with ticks.
func (w *randomHistory) advance(t *rapid.T, d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.now += min(50*time.Millisecond, end-w.now)
		w.tick(t)
	}
}

func (w *randomHistory) tick(t *rapid.T) {
	if w.recordsOutdated {
		w.outdatedAt = w.now
	}
	w.checkActions(t, w.e.Tick(w.now))
}

func (w *randomHistory) incarnation(n int) uint32 {
	if s := w.e.servers[serverName(n)]; s != nil {
		return s.incarnation
	}
	return 0
}

func (w *randomHistory) recordProbe(n int, outcome ProbeOutcome) {
	m := w.servers[serverName(n)]
	switch {
	case outcome == Answered || outcome == NoValidAnswer:
		if outcome == Answered || !m.replaced {
			w.repeated[uint32(n+1)] = 0
		}
		m.ended = false
		m.replaced = m.replaced && outcome == NoValidAnswer
	case outcome == OtherServer:
		m.replaced = true
	case outcome == Refused:
		m.ended = m.ended || m.listed && !m.drained && w.now-w.outdatedAt >= claimLifetime
	}
}

func (w *randomHistory) open(t *rapid.T, key FlowKey) {
	if _, open := w.owner[key]; open {
		return
	}
	d, actions := w.e.Packet(w.now, Packet{Flow: key, Open: true}, []byte("syn"))
	if d.Reason == ByFlow {
		w.repeated[d.Target.Cookie]++
	}
	w.checkActions(t, actions)
	if d.Verdict != Forward || rapid.IntRange(0, 3).Draw(t, "answered") == 0 {
		return
	}
	s := w.e.byCookie[d.Target.Cookie][0]
	if s.Draining {
		t.Fatalf("opening packet (%v) sent to draining server %s", d.Reason, s.Name)
	}
	w.owner[key] = d.Target.Cookie
	w.packet(t, key, Packet{Flow: key, Acknowledges: true, Cookie: d.Target.Cookie, Sequence: 1, Acknowledgement: 1})
}

func (w *randomHistory) data(t *rapid.T, key FlowKey) {
	cookie, open := w.owner[key]
	if !open {
		return
	}
	f := w.e.flows[key]
	p := Packet{Flow: key, Acknowledges: true, Cookie: cookie, Sequence: 1, Acknowledgement: 1, Length: 10}
	if f != nil {
		p.Sequence, p.Acknowledgement = f.seq, f.ack
		if rapid.Bool().Draw(t, "repeat") && f.seq > 10 {
			p.Sequence -= 10
			if _, pending := w.pending[key]; pending {
				w.repeated[cookie]++
			}
		}
		if rapid.Bool().Draw(t, "answer") {
			p.Acknowledgement += 1500
			p.Length = 0
			w.progress[cookie], w.repeated[cookie] = w.now, 0
		}
	}
	if p.Length > 0 {
		w.pending[key] = struct{}{}
	} else {
		delete(w.pending, key)
	}
	w.packet(t, key, p)
}

func (w *randomHistory) packet(t *rapid.T, key FlowKey, p Packet) {
	d, actions := w.e.Packet(w.now, p, nil)
	switch d.Verdict {
	case Forward:
		if d.Target.Cookie != w.owner[key] {
			t.Fatalf("packet of a flow at the server with cookie %d is sent to %d", w.owner[key], d.Target.Cookie)
		}
	case ResetFlow:
		w.checkReset(t, key)
	}
	w.checkActions(t, actions)
}

func (w *randomHistory) checkActions(t *rapid.T, actions []Action) {
	for _, a := range actions {
		if a.Kind == SendReset {
			w.checkReset(t, a.Flow)
		}
	}
}

// checkReset fails unless the flow's server refused a connection while it could not be leaving,
// refuses connections and leaves packets that clients repeat unanswered, another server has its
// address, or it has left enough probes unanswered for long enough.
func (w *randomHistory) checkReset(t *rapid.T, key FlowKey) {
	cookie := w.owner[key]
	_, pending := w.pending[key]
	delete(w.owner, key)
	delete(w.pending, key)
	s := w.e.byCookie[cookie][0]
	outcome, probed := w.probeOutcomes[s.Name]
	noProgressFor := w.now - w.progress[cookie]
	lastRequest := lastRequestTime
	if pending && key.ServicePort == 80 {
		lastRequest = maxLeavingTime
	}
	if m := w.servers[s.Name]; m.ended || m.replaced || probed && outcome == Refused &&
		w.repeated[cookie] >= resetRetransmissions && noProgressFor >= lastRequest {
		return
	}
	// The first unanswered probe may be confirmed by other servers' answers.
	if probed && outcome == ConnectTimeout && w.confirmedTimeouts[s.Name] >= resetUnansweredProbes-1 && s.health.unansweredProbes >= resetUnansweredProbes && s.health.retransmissions >= resetRetransmissions && noProgressFor >= resetUnreachableAfter {
		return
	}
	t.Fatalf("reset of a flow at %s: probe %v, state %v, no progress for %v", s.Name, outcome, s.health.state, noProgressFor)
}

func (w *randomHistory) checkCounters(t *rapid.T) {
	flows, pending := make(map[*server]int32), make(map[*server]int32)
	for _, f := range w.e.flows {
		if f.state != closing {
			flows[f.server]++
		}
		if f.requestPending {
			pending[f.server]++
		}
	}
	for _, s := range w.e.servers {
		if s.flows != flows[s] || s.pendingRequests != pending[s] {
			t.Fatalf("server %s counts %d flows and %d pending requests, the table has %d and %d", s.Name, s.flows, s.pendingRequests, flows[s], pending[s])
		}
		if _, untrusted := w.e.untrustedServers[s]; untrusted != (s.health.state != trusted) {
			t.Fatalf("server %s in the untrusted set %v, state %v", s.Name, untrusted, s.health.state)
		}
		if _, busy := w.e.busyServers[s]; busy != (s.pendingRequests > 0) {
			t.Fatalf("server %s in the busy set %v with %d pending requests", s.Name, busy, s.pendingRequests)
		}
	}
}

// Guards against a configuration that is rolled back when versions arrive in any order.
func TestVersionNeverStepsBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := New(Config{Domain: "a", MaxFlows: 10})
		var highest uint64
		for _, v := range rapid.SliceOfN(rapid.Uint64Range(1, 50), 1, 40).Draw(t, "versions") {
			e.Configure(0, &Configuration{Version: v})
			highest = max(highest, v)
			if got, _ := e.Version(); got != highest {
				t.Fatalf("version %d in force after %d", got, highest)
			}
		}
	})
}
