package forwarding

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"
)

// reconnect opens flows at instances that exchange their loads every 2 s, and returns those that
// the servers rejected because they held as many as they accept, and the flows of each server. The
// first servers are fast, so that more flows go there. A second wave follows after 8 idle seconds.
func reconnect(t *testing.T, limits map[string]ServiceLimits, accepts int) (rejected int, flows []int) {
	const instances, servers, span, exchange = 20, 10, 3 * time.Second, 2 * time.Second
	rng := rand.New(rand.NewPCG(1, 1))
	var engines []*Engine
	speeds := make([]Load, servers)
	for i := range speeds {
		speeds[i] = Load{Cookie: uint32(i + 1), SampleSum: 100 * 20 * time.Millisecond, Samples: 100}
		if i < 3 {
			speeds[i].SampleSum = 100 * 8 * time.Millisecond
		}
	}
	for i := range instances {
		e := New(Config{Domain: "a", CookieLifetime: time.Minute, MaxFlows: 10000, Seed: uint64(i)})
		e.Configure(0, &Configuration{Version: 1, IdleTimeout: time.Hour, HealthPaths: map[string]string{"orders": "/"}, Limits: limits,
			Routes: []Route{{Address: 10, Port: 443, Services: []ServiceWeight{{"orders", 1}}}}})
		for n := range servers {
			e.PutServer(0, Server{Name: fmt.Sprint(n), ID: uint64(n + 1), Service: "orders", Domain: "a", Slots: 2, Revision: uint64(n + 1),
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 80)})
		}
		e.SetPeerLoads(0, "speeds", speeds)
		engines = append(engines, e)
	}
	flows = make([]int, servers)
	opened := 0
	open := func(now time.Duration, n int) {
		for ; opened < n; opened++ {
			e := engines[rng.IntN(instances)]
			k := FlowKey{Client: uint32(opened), ClientPort: 1, Service: 10, ServicePort: 443}
			d, _ := e.Packet(now, Packet{Flow: k, Open: true}, []byte("syn"))
			if d.Verdict != Forward {
				t.Fatalf("flow %d: %v", opened, d)
			}
			s := d.Target.Cookie - 1
			if flows[s] >= accepts {
				rejected++
				e.Packet(now, Packet{Flow: k, Acknowledges: true, Reset: true, Cookie: d.Target.Cookie, Sequence: 1, Acknowledgement: 1}, nil)
				continue
			}
			flows[s]++
			e.Packet(now, Packet{Flow: k, Acknowledges: true, Cookie: d.Target.Cookie, Sequence: 1, Acknowledgement: 1}, nil)
		}
	}
	for now := 10 * time.Millisecond; now < 16*time.Second; now += 10 * time.Millisecond {
		for i, e := range engines {
			e.Tick(now)
			if now%time.Second == 0 { // reports expire
				e.SetPeerLoads(now, "speeds", speeds)
			}
			if now%exchange != time.Duration(i)*100*time.Millisecond {
				continue
			}
			for _, p := range engines {
				if p != e {
					p.SetPeerLoads(now, fmt.Sprint(i), e.Loads())
				}
			}
		}
		switch {
		case now > 2*time.Second && now <= 2*time.Second+span:
			open(now, int(1700*(now-2*time.Second)/span))
		case now > 13*time.Second && now <= 13*time.Second+span:
			open(now, 1700+int(300*(now-13*time.Second)/span))
		}
	}
	return rejected, flows
}

// Guards against a mass reconnect of 2,000 flows that fills some servers, which then reject flows,
// while others have room. Most of the flows are opened before a report counts them, and those of the
// second wave after the first ones have been idle for so long that no rate reports them.
func TestMassReconnectSpreadsOverServers(t *testing.T) {
	const accepts = 260
	before, flows := reconnect(t, nil, accepts)
	t.Logf("without limits: %d flows rejected, servers have %v", before, flows)
	after, flows := reconnect(t, map[string]ServiceLimits{"orders": {MaxFlows: accepts}}, accepts)
	t.Logf("with limits: %d flows rejected, servers have %v", after, flows)
	if after > 0 || before < 200 {
		t.Errorf("%d flows rejected, without limits %d", after, before)
	}
}

// Guards against flows that are refused although the servers' numbers of flows are estimates, and
// against a choice of an unreachable server only because all others count as full.
func TestAllServersFull(t *testing.T) {
	e := New(Config{Domain: "a", CookieLifetime: time.Minute, MaxFlows: 1000})
	e.SetComplete()
	e.Configure(0, &Configuration{Version: 1, HealthPaths: map[string]string{"orders": "/"}, Limits: map[string]ServiceLimits{"orders": {MaxFlows: 50}},
		Routes: []Route{{Address: 10, Port: 443, Services: []ServiceWeight{{"orders", 1}}}}})
	for n := range 2 {
		e.PutServer(0, Server{Name: serverName(n), ID: uint64(n + 1), Service: "orders", Domain: "a", Slots: 2, Address: serverAddress(n), Revision: 1})
	}
	e.relyOnReports(0, e.servers["B"])
	e.SetPeerLoads(0, "peer", []Load{{Cookie: 1, Flows: 50, Rate: 9}})
	if got := e.LeastLoadedServers(0); len(got) != 1 || got[0].Flows != 50 {
		t.Errorf("offered to other failure domains: %v", got)
	}
	if d, _ := e.Packet(0, Packet{Flow: FlowKey{Client: 1, Service: 10, ServicePort: 443}, Open: true}, []byte("syn")); d.Target.Cookie != 1 {
		t.Errorf("decision %v", d)
	}
	e.Tick(maxPeerLoadLifetime + time.Second) // of a first report
	if e.servers["A"].full() {
		t.Error("the flows of a lost peer still count")
	}
}
