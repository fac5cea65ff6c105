package forwarding

import (
	"net/netip"
	"testing"
	"time"
)

// Guards against flows that their clients have abandoned and that fill the table, because the idle
// timeout of the configuration is longer than flows live.
func TestIdleTimeoutAboveTheLifetimeOfFlows(t *testing.T) {
	s := newScript()
	s.e.Configure(s.now, &Configuration{Version: 1, IdleTimeout: 2 * time.Hour, HealthPaths: map[string]string{"orders": ""},
		Routes: []Route{{Address: 1, Port: 80, Services: []ServiceWeight{{Service: "orders", Weight: 1}}}}})
	s.e.PutServer(s.now, Server{Name: "s1", ID: 1, Service: "orders", Address: netip.MustParseAddrPort("10.0.0.1:80"), Domain: "a", Slots: 2, Revision: 1})
	open := Packet{Flow: FlowKey{Client: 1, ClientPort: 5000, Service: 1, ServicePort: 80}, Open: true}
	if d, _ := s.e.Packet(s.now, open, nil); d.Verdict != Forward {
		t.Fatalf("opening packet: %+v", d)
	}
	open.Open, open.Cookie, open.Sequence = false, s.e.servers["s1"].cookie, 1
	if d, _ := s.e.Packet(s.now, open, nil); d.Verdict != Forward || s.e.Stats().Flows != 1 {
		t.Fatalf("packet of an open flow: %+v, %d flows", d, s.e.Stats().Flows)
	}
	for end := s.now + s.e.cfg.CookieLifetime + time.Minute; s.now < end; s.now += time.Second {
		s.e.Tick(s.now)
	}
	if n := s.e.Stats().Flows; n != 0 {
		t.Errorf("%d flows are left after %v without a packet", n, s.now)
	}
}
