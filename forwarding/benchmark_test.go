package forwarding

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"
)

// newPopulatedEngine returns an engine with servers in 19 failure domains and open flows, and
// the keys of the flows.
func newPopulatedEngine(servers, flows int) (*Engine, []FlowKey) {
	e := New(Config{Domain: "d0", CookieLifetime: time.Minute, MaxFlows: flows + 1000, Seed: 3})
	e.Configure(0, &Configuration{Version: 1, Routes: []Route{{Address: 10, Port: 443, Services: []ServiceWeight{{"orders", 1}}}}})
	for i := range servers {
		s := e.addServer(Server{Name: fmt.Sprint(i), ID: uint64(i + 1)})
		e.setRecord(s, Server{Name: fmt.Sprint(i), ID: uint64(i + 1), Service: "orders", Domain: fmt.Sprintf("d%d", i%19), Slots: 2,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 80)})
		s.listed = true
	}
	for _, s := range e.servers {
		e.updateShadows(s)
	}
	keys := make([]FlowKey, flows)
	for i := range keys {
		keys[i] = FlowKey{Client: uint32(i >> 14), ClientPort: uint16(i & 0x3fff), Service: 10, ServicePort: 443}
		e.Packet(0, Packet{Flow: keys[i], Cookie: uint32(i%servers + 1), Acknowledges: true, Sequence: 1, Acknowledgement: 1}, nil)
	}
	return e, keys
}

// BenchmarkPacket measures the decision for a packet of an open flow. The target is 300 ns
// without allocations, independent of the number of servers from 19 to 12,000.
func BenchmarkPacket(b *testing.B) {
	for _, servers := range []int{19, 1000, 12000} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			e, keys := newPopulatedEngine(servers, 10000)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				k := keys[i%len(keys)]
				f := e.flows[k]
				e.Packet(time.Millisecond, Packet{Flow: k, Cookie: f.server.cookie, Acknowledges: true, Sequence: f.seq, Acknowledgement: f.ack + 1400}, nil)
			}
		})
	}
}

// BenchmarkOpen measures the choice of a server for a new flow.
func BenchmarkOpen(b *testing.B) { benchmarkOpen(b, func(*Engine) {}) }

// BenchmarkOpenInEvacuatedDomain measures it while the own failure domain is evacuated and no other one
// has reported its least loaded servers.
func BenchmarkOpenInEvacuatedDomain(b *testing.B) {
	benchmarkOpen(b, func(e *Engine) { e.SetEvacuated(0, "d0", true) })
}

func benchmarkOpen(b *testing.B, prepare func(*Engine)) {
	for _, servers := range []int{19, 1000, 12000} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			e, _ := newPopulatedEngine(servers, 100)
			prepare(e)
			r := e.routes[routeKey{10, 443}]
			b.ReportAllocs()
			for b.Loop() {
				e.choose(time.Millisecond, r)
			}
		})
	}
}

// reportLoads applies the reports of 44 peers about 100 servers each.
func reportLoads(e *Engine, servers int) {
	for peer := range 44 {
		loads := make([]Load, 100)
		for i := range loads {
			loads[i] = Load{Cookie: uint32((peer*100+i)%servers + 1), Rate: 0.1, SampleSum: 20 * time.Millisecond, Samples: 1}
		}
		e.SetPeerLoads(0, fmt.Sprint(peer), loads)
	}
	e.Tick(rateInterval)
}

// BenchmarkOpenWithReports measures the choice of a server while load reports are known.
func BenchmarkOpenWithReports(b *testing.B) {
	e, _ := newPopulatedEngine(12000, 100)
	reportLoads(e, 12000)
	r := e.routes[routeKey{10, 443}]
	b.ReportAllocs()
	for b.Loop() {
		e.choose(rateInterval, r)
	}
}

// BenchmarkAnswer measures the decisions for a request and for the acknowledgement of its answer,
// which is a sample of the server's service time.
func BenchmarkAnswer(b *testing.B) {
	e, keys := newPopulatedEngine(12000, 10000)
	reportLoads(e, 12000)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		requestAndAnswer(e, keys[i%len(keys)])
	}
}

func requestAndAnswer(e *Engine, k FlowKey) {
	f := e.flows[k]
	p := Packet{Flow: k, Cookie: f.server.cookie, Acknowledges: true, Sequence: f.seq, Acknowledgement: f.ack, Length: 100}
	e.Packet(rateInterval, p, nil)
	p.Sequence, p.Acknowledgement, p.Length = p.Sequence+100, p.Acknowledgement+1400, 0
	e.Packet(rateInterval+20*time.Millisecond, p, nil)
}

// Guards against allocations for a new flow's choice and for a sample, which packets of open flows
// cause.
func TestLoadModelDoesNotAllocate(t *testing.T) {
	e, keys := newPopulatedEngine(1000, 10)
	reportLoads(e, 1000)
	requestAndAnswer(e, keys[0])
	r := e.routes[routeKey{10, 443}]
	if n := testing.AllocsPerRun(100, func() { e.choose(rateInterval, r); requestAndAnswer(e, keys[0]) }); n != 0 {
		t.Errorf("%v allocations", n)
	}
	if samples := e.flows[keys[0]].server.meter.speed.Sum(rateInterval).Samples(); samples == 0 {
		t.Error("no sample was taken")
	}
}

// Guards against a flow that takes more than 96 bytes, the target for half a million flows in
// the memory of an instance, and against allocations per packet.
func TestMemoryOfFlows(t *testing.T) {
	const flows = 200000
	var before, after runtime.MemStats
	e, _ := newPopulatedEngine(19, 0)
	e.cfg.MaxFlows = flows + 1
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range flows {
		k := FlowKey{Client: uint32(i >> 14), ClientPort: uint16(i & 0x3fff), Service: 10, ServicePort: 443}
		e.Packet(0, Packet{Flow: k, Cookie: uint32(i%19 + 1), Acknowledges: true, Sequence: 1, Acknowledgement: 1}, nil)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	if per := float64(after.HeapAlloc-before.HeapAlloc) / flows; per > 96 {
		t.Errorf("%.0f bytes a flow", per)
	}
	k := FlowKey{Service: 10, ServicePort: 443}
	if n := testing.AllocsPerRun(100, func() {
		e.Packet(0, Packet{Flow: k, Cookie: 1, Acknowledges: true, Sequence: 1, Acknowledgement: 1}, nil)
	}); n != 0 {
		t.Errorf("%v allocations for a packet of an open flow", n)
	}
	runtime.KeepAlive(e)
}

// Guards against a flow table that grows without bound under a flood of new flows.
func TestFlowTableIsBounded(t *testing.T) {
	e, _ := newPopulatedEngine(19, 0)
	e.cfg.MaxFlows = 100
	for i := range 1000 {
		d, _ := e.Packet(0, Packet{Flow: FlowKey{Client: 1, ClientPort: uint16(i), Service: 10, ServicePort: 443}, Open: true}, []byte("syn"))
		if d.Verdict != Forward {
			t.Fatalf("flow %d: %v", i, d)
		}
	}
	if len(e.flows) > 100 || len(e.pending) > 100 {
		t.Errorf("%d flows and %d opening packets are stored, limit 100", len(e.flows), len(e.pending))
	}
}

// newLimitedEngine returns a populated engine with limits of open flows and of cold servers; the
// servers of its own failure domain are cold or warm.
func newLimitedEngine(servers int, cold, owner bool) *Engine {
	e, _ := newPopulatedEngine(servers, 100)
	e.cfg.ColdStart, e.cfg.OwnsColdStart = ColdStart{Overage: 1.5, Slack: 5}, func(uint32) bool { return owner }
	e.services["orders"].limits = ServiceLimits{MaxFlows: 2000, ColdStart: time.Hour}
	for _, s := range e.services["orders"].local {
		if cold {
			e.markCold(0, s, coldEvacuationEnded)
		}
	}
	return e
}

// BenchmarkOpenWithLimits measures the choice of a server for a new flow with limits of open flows
// and of cold servers: all are warm, those of the own failure domain have just returned, or this
// instance owns them as well. The target is 1 us without allocations.
func BenchmarkOpenWithLimits(b *testing.B) {
	for _, c := range []struct {
		name        string
		cold, owner bool
	}{{"warm", false, false}, {"cold", true, false}, {"owned", true, true}} {
		b.Run(c.name, func(b *testing.B) {
			e := newLimitedEngine(12000, c.cold, c.owner)
			r := e.routes[routeKey{10, 443}]
			b.ReportAllocs()
			now := time.Millisecond
			for b.Loop() {
				now += time.Millisecond
				e.countOpeningPacket(now, e.choose(now, r))
			}
		})
	}
}

// Guards against allocations for each new flow at servers with limits.
func TestLimitsDoNotAllocate(t *testing.T) {
	e := newLimitedEngine(1000, true, true)
	now, r := time.Millisecond, e.routes[routeKey{10, 443}]
	if n := testing.AllocsPerRun(1000, func() { now += time.Millisecond; e.countOpeningPacket(now, e.choose(now, r)) }); n != 0 {
		t.Errorf("%v allocations", n)
	}
}
