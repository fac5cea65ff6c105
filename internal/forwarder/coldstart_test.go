package forwarder

import (
	"net/http"
	"testing"
	"time"

	"github.com/monsoonthread/monsoonthread/internal/forwarder/view"
	"github.com/monsoonthread/monsoonthread/platform/wire"
)

// Guards against a cold server whose owner is never found, because an instance does not learn that
// it is registered, and against settings and limits of the configuration that do not reach the
// engine: a server that restarts gets some opening packets, but no more than its share.
func TestRestartedServerIsCold(t *testing.T) {
	d := newDeployment(t)
	d.coldSlack = 5
	d.store.Put(wire.ConfigurationKey, []byte(`{"version":2,"routes":[{"name":"r","host":"198.18.0.1","prefix":"/8443/","kind":"idempotent","service":"orders"}],
		"services":[{"name":"orders","healthPath":"/health","coldStartS":2,"maxConns":100}],"limits":{"idleTimeoutMs":15000}}`))
	server := d.startServer("i-1", "orders", "laval", 1)
	a := d.startInstance("a", "laval", 1)
	d.eventually("the instance owns the server", 2*testTimeout, func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		return a.mesh.OwnsColdStart(a.now(), 1)
	})
	server.Stop()
	d.startServer("i-1", "orders", "laval", 1)
	var s view.Status
	d.eventually("cold", testTimeout, func() bool {
		return a.get(t, view.StatusPath, &s) == http.StatusOK && s.ColdServers == 1 && s.Servers[0].State == "cold" && s.Servers[0].OwnsColdStart
	})
	opened, refused := 0, 0
	for end := time.Now().Add(time.Second); time.Now().Before(end); {
		if _, err := d.client.Open(service, a.datagramAddress(), 50*time.Millisecond); err == nil {
			opened++
		} else {
			refused++
		}
	}
	if opened < 1 || opened > 2 || refused == 0 {
		t.Errorf("%d flows opened and %d refused within a second, the share is 2", opened, refused)
	}
	a.get(t, view.StatusPath, &s)
	if s.KeptFromCold == 0 || s.Servers[0].MaxFlows != 100 {
		t.Errorf("status %+v", s)
	}
	d.openFlow(a) // warm again
}
