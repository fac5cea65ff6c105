package ctl

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"github.com/monsoonthread/monsoonthread/internal/forwarder/view"
)

// startForwarders serves the given statuses at 127.0.7.1, 127.0.7.2 and so on, all at the
// same port, as on the platform. It returns the first address.
func startForwarders(t *testing.T, all ...*view.Status) string {
	first, err := net.Listen("tcp4", "127.0.7.1:0")
	if err != nil {
		t.Fatal(err)
	}
	port := first.Addr().(*net.TCPAddr).Port
	listeners := []net.Listener{first}
	for i := range all[1:] {
		l, err := net.Listen("tcp4", fmt.Sprintf("127.0.7.%d:%d", i+2, port))
		if err != nil {
			t.Fatal(err)
		}
		listeners = append(listeners, l)
	}
	for i, s := range all {
		mux := http.NewServeMux()
		mux.HandleFunc("GET "+view.StatusPath, func(w http.ResponseWriter, _ *http.Request) { json.NewEncoder(w).Encode(s) })
		mux.HandleFunc("GET "+view.FlowPath, func(w http.ResponseWriter, r *http.Request) {
			if flow := strings.TrimPrefix(r.URL.Path, view.FlowPath); i == 1 && flow == "10.0.0.7:1>10.0.0.9:443" {
				json.NewEncoder(w).Encode(view.Flow{Instance: s.Instance, Flow: flow, Server: "servers/i-5", State: "open", Kind: "idempotent"})
				return
			}
			w.WriteHeader(http.StatusNotFound)
		})
		server := httptest.NewUnstartedServer(mux)
		server.Listener.Close()
		server.Listener = listeners[i]
		server.Start()
		t.Cleanup(server.Close)
	}
	return first.Addr().String()
}

// twoForwarders starts two instances and returns the address of the first, which lists the
// second as alive and a third as down.
func twoForwarders(t *testing.T) string {
	server := func(state string, flows int) []view.Server {
		return []view.Server{{Name: "servers/i-5", Service: "orders", Domain: "levis", Address: "10.0.0.5:80", State: state, Flows: flows, Utilization: 0.25}}
	}
	return startForwarders(t,
		&view.Status{Instance: "front-1", Domain: "laval", State: "ready", Version: 7, Revision: 90, Watching: true, Servers: server("unreachable", 2),
			Admissions: []view.Admission{{Service: "orders", Priority: 1, Kind: "download", Limiting: true, Utilization: 1.07, Limit: 0.88, Overloaded: 4321}},
			Members: []view.Member{
				{Instance: "front-2", Domain: "levis", Address: "127.0.7.2:7720", Alive: true},
				{Instance: "front-3", Domain: "levis", Address: "127.0.7.3:7720"},
			}},
		&view.Status{Instance: "front-2", Domain: "levis", State: "starting", Version: 6, Servers: server("failing", 3)})
}

// Guards against instances that are not discovered or are listed twice, and against versions
// and server states that are shown for the wrong instance or server.
func TestForwarderStatusAndServers(t *testing.T) {
	first := twoForwarders(t)
	c := newCLITest(t)
	c.run(ExitOK, "front-2", "forwarder", "status", "--status-addresses", first)
	for _, want := range []string{"laval", "ready", "7", "90", "true", "1/2", "starting", "never", "download", "107%", "88%", "4321"} {
		if !strings.Contains(c.out.String(), want) {
			t.Errorf("%q is missing in\n%s", want, &c.out)
		}
	}
	c.run(ExitOK, "front-2", "forwarder", "status", "--status-addresses", first, "--status-addresses", strings.Replace(first, "127.0.7.1", "127.0.7.2", 1))
	if got := strings.Count(c.out.String(), "front-2"); got != 1 {
		t.Errorf("an instance is shown %d times:\n%s", got, &c.out)
	}
	c.run(ExitOK, "failing at 1, unreachable at 1", "forwarder", "servers", "--status-addresses", first)
	c.run(ExitOK, "\"flows\": 5", "forwarder", "servers", "--state", "failing", "--output", "json", "--status-addresses", first)
	c.run(ExitOK, "BACKEND SERVER", "forwarder", "servers", "--state", "dead", "--status-addresses", first)
	if strings.Contains(c.out.String(), "i-5") {
		t.Errorf("a server that no instance reports as dead is shown:\n%s", &c.out)
	}
}

// Guards against an evacuation that the status does not show, and against an instance that still sends
// new flows to the evacuated failure domain and is not named.
func TestForwarderStatusShowsEvacuations(t *testing.T) {
	first := startForwarders(t,
		&view.Status{Instance: "front-1", Domain: "laval", Members: []view.Member{{Instance: "front-2", Address: "127.0.7.2:7720", Alive: true}},
			Evacuations: []view.Evacuation{{Domain: "levis", Active: true, For: 12.3, Held: 1.5}, {Domain: "laval", EndedAgo: 3}}},
		&view.Status{Instance: "front-2", Domain: "levis", Evacuations: []view.Evacuation{{Domain: "levis"}}})
	c := newCLITest(t)
	c.run(ExitOK, "failure domain levis is evacuated for 12.3s; the restored store lacks the record, held for another 1.5s; not at front-2", "forwarder", "status", "--status-addresses", first)
	if strings.Contains(c.out.String(), "laval is") {
		t.Errorf("an evacuation that has ended is shown:\n%s", &c.out)
	}
	c.run(ExitOK, "\"ended_ago_s\": 3", "forwarder", "status", "--output", "json", "--status-addresses", first)
}

// Guards against a cold or full server of which operators do not see what limits it and who opens its
// flows.
func TestForwarderShowsLimits(t *testing.T) {
	server := view.Server{Name: "servers/i-5", Service: "orders", Domain: "levis", Address: "10.0.0.5:80", State: "cold", StateReason: "its process is new", ColdLeft: 1.26, MaxFlows: 2000}
	owned := server
	owned.OwnsColdStart = true
	first := startForwarders(t,
		&view.Status{Instance: "front-1", Domain: "levis", ColdServers: 41, FullServers: 43, Servers: []view.Server{server}, Members: []view.Member{{Instance: "front-2", Address: "127.0.7.2:7720", Alive: true}}},
		&view.Status{Instance: "front-2", Domain: "levis", Servers: []view.Server{owned}})
	c := newCLITest(t)
	c.run(ExitOK, "its process is new; few opening packets for 1.3s, only from front-2", "forwarder", "servers", "--status-addresses", first)
	if !strings.Contains(c.out.String(), "2000") {
		t.Errorf("the limit of open flows is missing in\n%s", &c.out)
	}
	c.run(ExitOK, "41    43", "forwarder", "status", "--status-addresses", first)
}

// Guards against errors without a result code or without the address that did not answer.
func TestForwarderErrors(t *testing.T) {
	c := newCLITest(t)
	c.run(ExitUsage, "[601] --status-addresses is required", "forwarder", "status")
	c.run(ExitUsage, "[601] --status-addresses", "forwarder", "status", "--status-addresses", "laval")
	c.run(ExitUsage, "[601] --tls-cert, --tls-key and --tls-ca: forwarders serve", "forwarder", "status", "--status-addresses", "127.0.7.9:1", "--tls-ca", c.path("ca.pem"))
	c.run(ExitError, "127.0.7.9:1", "forwarder", "status", "--status-addresses", "127.0.7.9:1")
	c.run(ExitUsage, "[601] --logs or --status-addresses is required", "forwarder", "explain", "10.0.0.7:1>10.0.0.9:443")
	c.run(ExitUsage, "[601] --state \"ill\" is not allowed; allowed: trusted", "forwarder", "servers", "--state", "ill", "--status-addresses", "127.0.7.9:1")
	c.run(ExitUsage, "[601] --window", "forwarder", "explain", "10.0.0.7:1>10.0.0.9:443", "--window", "-1s", "--logs", c.path("none"))
	c.run(ExitError, "[601] --logs", "forwarder", "explain", "10.0.0.7:1>10.0.0.9:443", "--logs", c.path("none"))
}

// Guards against an explanation that omits another instance's log lines about the flow's
// server, is out of order, or includes lines of other flows.
func TestForwarderExplain(t *testing.T) {
	c := newCLITest(t)
	a := `time=2026-01-24T09:35:10.5Z level=info msg=flow_reset instance=front-1 flow=10.0.0.7:1>10.0.0.9:443 reason=server_dead server=servers/i-5
time=2026-01-24T09:35:10.4Z level=info msg=server_probed instance=front-1 server=servers/i-5 outcome=refused error="connection refused by 10.0.0.5:80"
time=2026-01-24T09:35:10.3Z level=info msg=flow_reset instance=front-1 flow=10.0.0.8:4>10.0.0.9:443 reason=no_route
not a log line
`
	b := `time=2026-01-24T09:35:10.45Z level=info msg=server_probed instance=front-2 server=servers/i-5 outcome=refused
time=2026-01-24T09:35:10.46Z level=info msg=server_probed instance=front-2 server=servers/i-6 outcome=answered
time=2026-01-24T09:31:00Z level=info msg=server_probed instance=front-2 server=servers/i-5 outcome=answered
`
	for name, text := range map[string]string{"a.log": a, "b.log": b} {
		if err := os.WriteFile(c.path(name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	flow := "10.0.0.7:1>10.0.0.9:443"
	c.run(ExitOK, "server_dead", "forwarder", "explain", flow, "--logs", c.path("a.log"), "--logs", c.path("b.log"))
	var order []string
	for line := range strings.Lines(c.out.String()) {
		if fields := parseFields(strings.TrimSpace(line)); fields["msg"] != "" {
			order = append(order, fields["instance"]+" "+fields["msg"]+" "+fields["error"])
		}
	}
	want := "front-1 server_probed connection refused by 10.0.0.5:80, front-2 server_probed , front-1 flow_reset "
	if got := strings.Join(order, ", "); got != want {
		t.Errorf("lines %q, want %q", got, want)
	}
	c.run(ExitOK, "front-2: open at servers/i-5, idempotent", "forwarder", "explain", flow, "--status-addresses", twoForwarders(t))
	c.run(ExitOK, "no queried instance holds flow 1.1.1.1:1>2.2.2.2:2", "forwarder", "explain", "1.1.1.1:1>2.2.2.2:2", "--status-addresses", twoForwarders(t))
}
