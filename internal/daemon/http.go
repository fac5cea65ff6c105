package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/monsoonthread/monsoonthread/internal/logging"
	"github.com/monsoonthread/monsoonthread/internal/timeline"
)

const httpTimeout = 5 * time.Second

// serveHTTP serves metrics, health and readiness, and fault injection if it is enabled.
func (d *Daemon) serveHTTP() (stop func(), err error) {
	if d.settings.MetricsAddress == "" {
		return func() {}, nil
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { d.metrics.write(w) })
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	mux.HandleFunc("GET /readyz", d.readyz)
	if d.settings.FaultInjection {
		mux.HandleFunc("POST /fault/cut", d.injectFaults)
		mux.HandleFunc("POST /fault/clear", d.clearFaults)
	}
	listener, err := net.Listen("tcp", d.settings.MetricsAddress)
	if err != nil {
		return nil, fmt.Errorf("listen for metrics: %w", err)
	}
	server := &http.Server{Handler: mux, ReadHeaderTimeout: httpTimeout}
	d.spawn(func() { _ = server.Serve(listener) })
	return func() {
		ctx, cancel := context.WithTimeout(context.Background(), httpTimeout)
		defer cancel()
		_ = server.Shutdown(ctx)
	}, nil
}

func (d *Daemon) readyz(w http.ResponseWriter, _ *http.Request) {
	if !d.lifecycle.serving() {
		http.Error(w, "not ready: "+string(d.lifecycle.current()), http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ready")
}

// faults holds the injected network partitions. It is empty unless fault injection is
// enabled.
type faults struct {
	mu       sync.RWMutex
	domains  map[string]bool
	platform bool
}

func (f *faults) isPartitioned(domain string) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.domains[domain]
}

// dropsServerTraffic reports whether packets to backend servers of a failure domain are
// dropped.
func (f *faults) dropsServerTraffic(domain string) bool { return f.isPartitioned(domain) }

// dropsTrafficFrom reports whether packets from a backend server are dropped.
func (d *Daemon) dropsTrafficFrom(name string) bool {
	server := d.routes.Load().servers[name]
	return server != nil && d.faults.dropsServerTraffic(server.Domain)
}

func (f *faults) platformUnreachable() bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.platform
}

// platformTransport returns the HTTP transport for platform services. It adds the
// failure domain to each request and fails while fault injection makes the platform
// unreachable.
func (d *Daemon) platformTransport() http.RoundTripper {
	return roundTripper{daemon: d, base: d.baseTransport}
}

type roundTripper struct {
	daemon *Daemon
	base   http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t roundTripper) RoundTrip(r *http.Request) (*http.Response, error) {
	if t.daemon.faults.platformUnreachable() {
		return nil, errors.New("platform is unreachable because of fault injection")
	}
	r = r.Clone(r.Context())
	r.Header.Set("X-Failure-Domain", t.daemon.settings.FailureDomain)
	return t.base.RoundTrip(r)
}

func (d *Daemon) injectFaults(w http.ResponseWriter, r *http.Request) {
	d.faults.mu.Lock()
	defer d.faults.mu.Unlock()
	if list := r.URL.Query().Get("domains"); list != "" {
		d.faults.domains = map[string]bool{}
		for _, name := range strings.Split(list, ",") {
			d.faults.domains[name] = true
		}
	}
	if r.URL.Query().Get("platform") == "true" {
		d.faults.platform = true
	}
	d.event("fault_injected", timeline.Field{Key: logging.Reason, Value: r.URL.RawQuery})
	fmt.Fprintln(w, "ok")
}

func (d *Daemon) clearFaults(w http.ResponseWriter, _ *http.Request) {
	d.faults.mu.Lock()
	defer d.faults.mu.Unlock()
	d.faults.domains, d.faults.platform = nil, false
	d.event("fault_cleared")
	fmt.Fprintln(w, "ok")
}
