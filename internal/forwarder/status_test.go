package forwarder

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/monsoonthread/monsoonthread/forwarding"
	"github.com/monsoonthread/monsoonthread/internal/forwarder/view"
	"github.com/monsoonthread/monsoonthread/platform/wire"
)

// get requests a JSON body from an instance's readiness address and returns the status code.
func (i *instance) get(t *testing.T, path string, body any) int {
	u := url.URL{Scheme: "http", Host: i.settings.Load().ReadyAddress, Path: path}
	r, err := http.Get(u.String())
	if err != nil {
		t.Fatal(err)
	}
	defer r.Body.Close()
	if r.StatusCode == http.StatusOK {
		if err := json.NewDecoder(r.Body).Decode(body); err != nil {
			t.Fatal(err)
		}
	}
	return r.StatusCode
}

// Guards against a status response that lacks an instance, a backend server or a flow.
func TestStatusShowsTheDeployment(t *testing.T) {
	d := newDeployment(t)
	server := d.startServer("i-00000001", "orders", "a", 1)
	first, second := d.startInstance("front-1", "a", 1), d.startInstance("front-2", "a", 2, "127.0.2.1:1")
	d.eventually("both ready", testTimeout, func() bool { return first.lifecycle.isReady.Load() && second.lifecycle.isReady.Load() })
	flow, err := d.client.Open(service, first.datagramAddress(), testTimeout)
	if err != nil {
		t.Fatal(err)
	}
	var s view.Status
	d.eventually("the status shows peer and watcher", testTimeout, func() bool {
		if first.get(t, view.StatusPath, &s) != http.StatusOK {
			t.Fatal("no status")
		}
		watchers := 0
		if s.Watching {
			watchers++
		}
		for _, m := range s.Members {
			if m.Watching {
				watchers++
			}
		}
		return len(s.Members) == 1 && s.Members[0].Alive && watchers == 1 && s.Flows == 1
	})
	if s.State != stateReady || s.Version != 1 || s.RecordsAge == nil || s.Era != 1 || s.Revision == 0 {
		t.Errorf("status %+v", s)
	}
	if len(s.Servers) != 1 || s.Servers[0].Name != "servers/i-00000001" || s.Servers[0].State != "trusted" || !s.Servers[0].GetsNewFlows ||
		s.Servers[0].Address != server.Address().String() || s.Servers[0].Flows != 1 {
		t.Errorf("backend servers %+v", s.Servers)
	}
	var v view.Flow
	if code := first.get(t, view.FlowPath+flow.Key(), &v); code != http.StatusOK || v.Server != "servers/i-00000001" || v.State != "open" || v.Kind != "idempotent" {
		t.Errorf("flow %d %+v", code, v)
	}
	if code := second.get(t, view.FlowPath+flow.Key(), &v); code != http.StatusNotFound {
		t.Errorf("status code %d at an instance that has not seen the flow", code)
	}
	if code := first.get(t, view.FlowPath+"front-1", &v); code != http.StatusBadRequest {
		t.Errorf("status code %d for a path that names no flow", code)
	}
}

// Guards against refusals by admission control that operators cannot trace to the class, its load and
// its limit.
func TestAdmissionIsVisible(t *testing.T) {
	d := newDeployment(t)
	d.store.Put(wire.ConfigurationKey, []byte(`{"version":2,"routes":[{"name":"r","host":"198.18.0.1","prefix":"/8443/","kind":"idempotent","service":"orders","priority":1,"targetLatencyMs":500,"timeoutMs":5000}],"services":[{"name":"orders","healthPath":"/health"}]}`))
	d.startServer("i-1", "orders", "a", 1)
	i := d.startInstance("front-1", "a", 1)
	d.eventually("ready", testTimeout, func() bool { return d.ready(i) })
	d.openFlow(i)
	var s view.Status
	i.get(t, view.StatusPath, &s)
	if len(s.Admissions) != 1 || s.Admissions[0].Service != "orders" || s.Admissions[0].Priority != 1 || s.Admissions[0].Admitted == 0 || s.Admissions[0].Timeout != 5 {
		t.Errorf("admission %+v", s.Admissions)
	}
	var out bytes.Buffer
	writeAdmissions(&out, []forwarding.AdmissionView{{Service: "orders", Priority: 1, Kind: forwarding.Download, Overloaded: 7, Limiting: true}})
	for _, want := range []string{
		`forwarder_new_flows_total{service="orders",priority="1",kind="download",verdict="refused",reason="overloaded"} 7`, `forwarder_service_limiting{service="orders"} 1`,
	} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("metric %s is missing in\n%s", want, &out)
		}
	}
	out.Reset()
	newEventLog(zerolog.New(&out)).logDecision(forwarding.Packet{Open: true}, forwarding.Decision{Verdict: forwarding.ResetFlow, Reason: forwarding.Overloaded}, 2,
		forwarding.FlowRefusal{Service: "orders", Priority: 1, Utilization: 1.25, Limit: 0.875, Wait: 150 * time.Millisecond})
	for _, want := range []string{`"reason":"overloaded"`, `"service":"orders"`, `"priority":1`, `"utilization":1.25`, `"limit":0.875`, `"wait":150`} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%s is missing in %s", want, &out)
		}
	}
}
