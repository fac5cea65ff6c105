package forwarding

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/monsoonthread/monsoonthread/mesh"
)

const (
	coldTime  = 2 * time.Second
	coldStep  = 20 * time.Millisecond
	coldLimit = 5 // opening packets per second: no rate, slack 5
)

// coldDeployment is a server that restarts, servers that do not, and the instances that use them.
type coldDeployment struct {
	now       time.Duration
	rng       *rand.Rand
	instances []*coldInstance
	listings  []mesh.Peer     // directory entries in the order of their writes
	records   []Server        // records of the servers in the order of their writes
	up        bool            // the process of server 1 runs
	startedAt time.Duration   // its last start
	nextWrite time.Duration   // next write of its record; until the first one, its record is that of the process before
	born      int64           // number of its starts
	arrivals  []time.Duration // opening packets that reached it while it was cold
	reset     int             // new flows that were refused
}

// coldInstance is an instance with the clock of its own start.
type coldInstance struct {
	*Engine
	mesh                     *mesh.Mesh
	peer                     mesh.Peer
	at                       time.Duration
	listings, records, flows int  // that it has read or opened
	cutOff                   bool // reaches neither the store nor its peers
	repeats                  map[FlowKey]time.Duration
}

func (d *coldDeployment) start(i *coldInstance) {
	i.at, i.listings, i.records, i.repeats = d.now, 0, 0, make(map[FlowKey]time.Duration)
	i.mesh = mesh.New(mesh.Config{Self: i.peer, MaxRecordAge: 2400 * time.Millisecond})
	i.Engine = New(Config{
		Domain: i.peer.Domain, CookieLifetime: time.Minute, MaxFlows: 10000, Seed: d.rng.Uint64(), ColdStart: ColdStart{Overage: 1.5, Slack: coldLimit},
		Settles:        func(cookie uint32) bool { return i.mesh.Settles(d.now-i.at, cookie) },
		RecordsCurrent: func() bool { return i.mesh.Fresh(d.now - i.at) },
		OwnsColdStart:  func(cookie uint32) bool { return i.mesh.OwnsColdStart(d.now-i.at, cookie) },
	})
	i.Configure(0, &Configuration{Version: 1, IdleTimeout: 300 * time.Millisecond, Routes: []Route{{Address: 10, Port: 443, Services: []ServiceWeight{{"orders", 1}}}},
		HealthPaths: map[string]string{"orders": "/"}, Limits: map[string]ServiceLimits{"orders": {ColdStart: coldTime}}})
	d.sync(i)
	i.SetComplete()
}

// sync applies the records that the instance has not read yet.
func (d *coldDeployment) sync(i *coldInstance) {
	for _, p := range d.listings[i.listings:] {
		i.mesh.List(d.now-i.at, p)
	}
	latest := make(map[string]Server)
	for _, r := range d.records[i.records:] {
		latest[r.Name] = r
	}
	for _, name := range slices.Sorted(maps.Keys(latest)) {
		d.act(i, i.PutServer(d.now-i.at, latest[name]))
	}
	i.listings, i.records = len(d.listings), len(d.records)
	i.mesh.StoreAnswered(d.now - i.at)
}

func (d *coldDeployment) write(id int, coldLeft time.Duration, startedAt int64) {
	n := uint64(len(d.records) + 1)
	d.records = append(d.records, Server{Name: fmt.Sprint(id), ID: uint64(id), Service: "orders", Domain: "a", Slots: 2, ColdLeft: coldLeft, StartedAt: startedAt,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(id)}), 80), Sequence: n, Revision: n})
}

// peersOf calls f for the instances that the instance reaches in its failure domain.
func (d *coldDeployment) peersOf(i *coldInstance, f func(*coldInstance)) {
	for _, p := range d.instances {
		if p != i && !p.cutOff && !i.cutOff && p.peer.Domain == i.peer.Domain {
			f(p)
		}
	}
}

func (d *coldDeployment) act(i *coldInstance, actions []Action) {
	now := d.now - i.at
	for _, a := range actions {
		answers := a.Target.Cookie != 1 || d.up
		switch a.Kind {
		case Probe:
			r := ProbeResult{Outcome: Answered, Elapsed: time.Millisecond, Incarnation: a.Incarnation}
			if !answers {
				r.Outcome = Refused
			}
			d.act(i, i.ApplyProbeResult(now, a.Server, r))
		case SendPacket:
			d.arrive(i, a.Flow, a.Target)
		case ReportToPeers:
			d.peersOf(i, func(p *coldInstance) { d.act(p, p.Suspect(d.now-p.at, a.Target.Cookie)) })
		case AskSettlers:
			d.peersOf(i, func(p *coldInstance) {
				switch {
				case !p.mesh.Settles(d.now-p.at, a.Target.Cookie):
				case answers:
					i.SettledAlive(now, a.Target.Cookie)
				default:
					d.act(i, i.Suspect(now, a.Target.Cookie))
				}
			})
		}
	}
}

// arrive delivers an opening packet. The client repeats it unless it is answered.
func (d *coldDeployment) arrive(i *coldInstance, k FlowKey, to Target) {
	if to.Cookie == 1 && !d.up {
		if _, repeated := i.repeats[k]; !repeated {
			i.repeats[k] = d.now + 200*time.Millisecond
		}
		return
	}
	delete(i.repeats, k)
	if to.Cookie == 1 && d.now-d.startedAt < coldTime {
		d.arrivals = append(d.arrivals, d.now)
	}
	i.Packet(d.now-i.at, Packet{Flow: k, Acknowledges: true, Cookie: to.Cookie, Sequence: 1, Acknowledgement: 1}, nil)
}

func (d *coldDeployment) open(i *coldInstance, k FlowKey) {
	decision, actions := i.Packet(d.now-i.at, Packet{Flow: k, Open: true}, []byte("syn"))
	d.act(i, actions)
	switch decision.Verdict {
	case Forward:
		d.arrive(i, k, decision.Target)
	case ResetFlow:
		d.reset++
	}
}

func (d *coldDeployment) step() {
	if d.now += coldStep; d.up && d.now >= d.nextWrite {
		d.write(1, max(d.startedAt+coldTime-d.now, 0), d.born)
		d.nextWrite = d.now + 1200*time.Millisecond
	}
	for _, i := range d.instances {
		if !i.cutOff && d.rng.IntN(12) == 0 {
			d.sync(i)
		}
		if d.now%mesh.StatusInterval < coldStep {
			d.peersOf(i, func(p *coldInstance) {
				p.mesh.ApplyStatus(d.now-p.at, i.mesh.OwnStatus(d.now-i.at, uint64(i.at), 1, false))
			})
		}
		if f := d.instances[5]; i != f && d.now%mesh.StatusInterval < coldStep && !i.cutOff && !f.cutOff && i.mesh.IsDelegate(d.now-i.at) {
			f.SetLeastLoadedServers(d.now-f.at, "a", i.LeastLoadedServers(d.now-i.at))
		}
		d.act(i, i.Tick(d.now-i.at))
		for k, at := range i.repeats {
			if d.now >= at {
				i.repeats[k] += 400 * time.Millisecond
				d.open(i, k)
			}
		}
		i.flows++
		d.open(i, FlowKey{Client: uint32(d.now), ClientPort: uint16(i.flows), Service: 10, ServicePort: 443})
	}
}

func (d *coldDeployment) run(span time.Duration) {
	for end := d.now + span; d.now < end; {
		d.step()
	}
}

func newColdDeployment(seed uint64, unlisted, servers int) *coldDeployment {
	d := &coldDeployment{rng: rand.New(rand.NewPCG(seed, 1)), up: true, startedAt: -coldTime, born: 1}
	for id := range servers {
		d.write(id+1, 0, 1)
	}
	for n := range 6 {
		p := mesh.Peer{ID: fmt.Sprint("i", n), Domain: "a", Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(n)}), 7000)}
		if n == 5 {
			p.Domain = "b"
		}
		d.instances = append(d.instances, &coldInstance{peer: p})
		if n >= unlisted {
			d.listings = append(d.listings, p)
		}
	}
	for _, i := range d.instances {
		d.start(i)
	}
	return d
}

// checkLimit fails if more opening packets than the limit reached the cold server in a second.
func (d *coldDeployment) checkLimit(t interface{ Fatalf(string, ...any) }) {
	for n := coldLimit; n < len(d.arrivals); n++ {
		if first := d.arrivals[n-coldLimit]; d.arrivals[n]-first < time.Second {
			t.Fatalf("more than %d opening packets within a second: %v to %v, server started at %v", coldLimit, first, d.arrivals[n], d.startedAt)
		}
	}
}

// Guards against more opening packets to a cold server than the limit in any second, summed over
// instances that are cut off, have just started, are not listed, are in another failure domain, or
// get the server's record late. The server is down for half a second or more, so that each of them
// notices it by its own traffic.
func TestColdStartLimitOverAllInstances(t *testing.T) { checkColdStarts(t, false) }

// Guards against the same where an instance that was cut off reads late that the server had
// restarted, regards it as cold and therefore does not notice that it goes down once more.
func TestColdStartLimitAfterLateRecord(t *testing.T) { checkColdStarts(t, true) }

func checkColdStarts(t *testing.T, lateRecords bool) {
	rapid.Check(t, func(t *rapid.T) {
		d := newColdDeployment(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(0, 2).Draw(t, "unlisted"), rapid.IntRange(1, 3).Draw(t, "servers"))
		milliseconds := func(name string, low, high int) time.Duration {
			return time.Duration(rapid.IntRange(low, high).Draw(t, name)) * time.Millisecond
		}
		for range rapid.IntRange(1, 3).Draw(t, "restarts") {
			for _, i := range d.instances {
				switch rapid.IntRange(0, 5).Draw(t, "change") {
				case 0:
					i.cutOff = !i.cutOff
				case 1:
					d.start(i)
				case 2:
					d.listings = append(d.listings, i.peer)
				}
			}
			d.run(milliseconds("before", 0, 6000))
			d.up = false
			d.run(milliseconds("down", 500, 4000))
			d.up, d.startedAt, d.born = true, d.now, d.born+1
			d.nextWrite = d.now + milliseconds("record", 0, 1500)
			d.run(2*coldTime + milliseconds("after", 1000, 2500))
			d.checkLimit(t)
			if lateRecords {
				continue
			}
			for _, i := range d.instances {
				i.cutOff = false
				d.sync(i)
			}
			d.run(coldTime + time.Second) // until the server is warm for all, and offered to the other failure domain
		}
	})
}

// Guards against servers that count as cold although nothing says so, as after the start of an
// instance or a store outage, and against the opposite.
func TestWhatMakesAServerCold(t *testing.T) {
	const now = 10 * time.Second
	record := func(startedAt int64, sequence uint64, coldLeft time.Duration) Server {
		return Server{Name: "1", ID: 1, Service: "orders", Domain: "a", Slots: 2, Address: serverAddress(1), StartedAt: startedAt, Sequence: sequence, Revision: uint64(100*startedAt) + sequence, ColdLeft: coldLeft}
	}
	unconfirmed := record(7, 5, 0)
	unconfirmed.Unconfirmed = true
	for name, c := range map[string]struct {
		event func(e *Engine)
		left  time.Duration
	}{
		"nothing":                  {func(*Engine) {}, 0},
		"new server":               {func(e *Engine) { delete(e.servers, "1"); e.PutServer(now, record(1, 1, 0)) }, coldTime},
		"record says so":           {func(e *Engine) { e.PutServer(now, record(7, 6, time.Second)) }, time.Second},
		"later record leaves less": {func(e *Engine) { e.PutServer(now, record(7, 6, time.Second)); e.PutServer(now, record(7, 7, 0)) }, time.Second},
		"new process":              {func(e *Engine) { e.PutServer(now, record(8, 1, 0)) }, coldTime},
		"back from an older copy": {func(e *Engine) {
			e.RemoveServer(now-1, record(7, 6, 0))
			unconfirmed.Revision = 2000
			e.PutServer(now, unconfirmed)
		}, coldTime},
		"same process after an outage": {func(e *Engine) { e.RemoveServer(now-1, record(7, 6, 0)); e.PutServer(now, record(7, 9, 0)) }, 0},
		"evacuation ended":             {func(e *Engine) { e.markCold(now, e.servers["1"], coldEvacuationEnded) }, coldTime},
		"answers a probe":              {func(e *Engine) { e.ApplyProbeResult(now, "1", ProbeResult{Outcome: Answered}) }, 0},
		"peer reported it, then it serves": {func(e *Engine) {
			e.markReported(now, e.servers["1"])
			e.recordProgress(now, e.servers["1"], time.Millisecond)
		}, coldTime},
		"service configured later": {func(e *Engine) {
			e.PutServer(now, Server{Name: "2", ID: 2, Service: "new", Domain: "a", Slots: 2, Address: serverAddress(2), StartedAt: 8, Revision: 3000})
			e.Configure(now, &Configuration{Version: 2, HealthPaths: map[string]string{"new": "/"}, Limits: map[string]ServiceLimits{"new": {ColdStart: coldTime}}})
		}, coldTime},
	} {
		for _, limit := range []ColdStart{{Slack: coldLimit}, {}} {
			e := New(Config{Domain: "a", CookieLifetime: time.Minute, MaxFlows: 10, ColdStart: limit})
			e.PutServer(0, record(7, 5, time.Second))
			e.Configure(0, &Configuration{Version: 1, HealthPaths: map[string]string{"orders": "/"}, Limits: map[string]ServiceLimits{"orders": {ColdStart: coldTime}}})
			if got := e.servers["1"].coldUntil; got != time.Second {
				t.Errorf("cold until %v after the first records", got)
			}
			e.SetComplete()
			c.event(e)
			if got := e.Servers(now)[0].ColdLeft; got != c.left && limit.Slack > 0 || got != 0 && limit.Slack == 0 {
				t.Errorf("%s: cold for %v with limit %v", name, got, limit)
			}
		}
	}
}

// Guards against trust in a server that is down because a late record of an earlier process names
// it: when it answers again, it has restarted once more.
func TestRecordOfServerThatIsDown(t *testing.T) {
	e := New(Config{Domain: "a", CookieLifetime: time.Minute, MaxFlows: 10, ColdStart: ColdStart{Slack: coldLimit}})
	e.SetComplete()
	s := Server{Name: "1", ID: 1, Service: "orders", Domain: "a", Slots: 2, Address: serverAddress(1), StartedAt: 1, Revision: 1}
	e.PutServer(0, s)
	e.Suspect(time.Second, 1)
	e.ApplyProbeResult(time.Second, "1", ProbeResult{Outcome: Refused})
	s.StartedAt, s.Revision = 2, 2
	if actions := e.PutServer(2*time.Second, s); len(actions) != 1 || actions[0].Kind != Probe || e.servers["1"].usable() {
		t.Errorf("actions %v, gets new flows: %v", actions, e.servers["1"].usable())
	}
}

// Guards against decisions that change without the settings and limits: an engine that knows cold
// rates and times, but no settings, decides as one that knows nothing of them.
func TestNothingChangesWithoutLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var engines []*Engine
		for n := range 2 {
			e := New(Config{Domain: "a", CookieLifetime: time.Minute, MaxFlows: 100, Seed: 5, OwnsColdStart: func(uint32) bool { return false }})
			c := &Configuration{Version: 1, HealthPaths: map[string]string{"orders": "/"}, Routes: []Route{{Address: 10, Port: 443, Services: []ServiceWeight{{"orders", 1}}}}}
			if n == 1 {
				c.Limits = map[string]ServiceLimits{"orders": {ColdStart: coldTime, ColdRate: 1}}
			}
			e.Configure(0, c)
			e.SetComplete()
			engines = append(engines, e)
		}
		var now time.Duration
		for step := range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond
			id, event := rapid.IntRange(0, 2).Draw(t, "server"), rapid.IntRange(0, 6).Draw(t, "event")
			coldLeft := time.Duration(rapid.IntRange(0, 2).Draw(t, "cold")) * time.Second
			var results [2]string
			for n, e := range engines {
				switch event {
				case 0:
					results[n] = fmt.Sprint(e.PutServer(now, Server{Name: serverName(id), ID: uint64(id + 1), Service: "orders", Domain: "a", Slots: 2, Address: serverAddress(id),
						ColdLeft: coldLeft, StartedAt: int64(step / 9), Sequence: uint64(step), Revision: uint64(step + 1)}))
				case 1:
					results[n] = fmt.Sprint(e.Suspect(now, uint32(id+1)), e.ApplyProbeResult(now, serverName(id), ProbeResult{Outcome: ProbeOutcome(step % 3)}))
				case 2:
					results[n] = fmt.Sprint(e.Tick(now), e.Loads(), e.LeastLoadedServers(now))
				default:
					d, actions := e.Packet(now, Packet{Flow: FlowKey{Client: uint32(step), Service: 10, ServicePort: 443}, Open: true}, []byte("syn"))
					results[n] = fmt.Sprint(d, actions)
				}
			}
			// Maps have no order, so only the results that do not list several servers are compared.
			if event != 2 && results[0] != results[1] {
				t.Fatalf("step %d: %s with limits in the configuration, %s without", step, results[1], results[0])
			}
		}
	})
}

// Guards against flows from another failure domain to a server that its own domain does not offer
// because it is cold, and against refused flows without reports or limits.
func TestOtherDomainsRelyOnOffers(t *testing.T) {
	for _, limit := range []ColdStart{{Slack: coldLimit}, {}} {
		e := New(Config{Domain: "b", CookieLifetime: time.Minute, MaxFlows: 100, ColdStart: limit})
		e.Configure(0, &Configuration{Version: 1, HealthPaths: map[string]string{"orders": "/"}, Routes: []Route{{Address: 10, Port: 443, Services: []ServiceWeight{{"orders", 1}}}}})
		e.PutServer(0, Server{Name: "1", ID: 1, Service: "orders", Domain: "a", Slots: 2, Address: serverAddress(1), Revision: 1})
		e.SetComplete()
		client := uint32(0)
		expect := func(now time.Duration, situation string, forwarded bool) {
			client++
			if d, _ := e.Packet(now, Packet{Flow: FlowKey{Client: client, Service: 10, ServicePort: 443}, Open: true}, nil); (d.Verdict == Forward) != forwarded {
				t.Errorf("%s, limit %v: %v", situation, limit, d)
			}
		}
		expect(0, "no report", true)
		e.SetLeastLoadedServers(0, "a", []Load{{Cookie: 1}})
		expect(0, "offered", true)
		e.SetLeastLoadedServers(time.Second, "a", nil)
		expect(time.Second, "not offered any more", limit.Slack == 0)
		e.Tick(time.Second + maxDomainLoadLifetime + 1)
		expect(time.Second+maxDomainLoadLifetime+1, "report expired", true)
	}
}
