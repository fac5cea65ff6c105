package forwarding

import (
	"net/netip"
	"testing"
	"time"
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
