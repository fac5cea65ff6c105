package forwarder

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/monsoonthread/monsoonthread/directory"
	"github.com/monsoonthread/monsoonthread/forwarding"
	"github.com/monsoonthread/monsoonthread/internal/forwarder/view"
	"github.com/monsoonthread/monsoonthread/result"
)

// handleStatus serves the instance's view of the deployment as JSON.
func (f *Forwarder) handleStatus(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, f.statusView())
}

func (f *Forwarder) statusView() view.Status {
	out := view.Status{Instance: f.self.ID, Domain: f.self.Domain, State: f.lifecycle.state(), Members: []view.Member{}, Servers: []view.Server{}}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	stats := f.engine.Stats()
	out.Version, out.Flows, out.PendingRequests = stats.Version, stats.Flows, stats.PendingRequests
	out.ColdServers, out.FullServers, out.KeptFromCold = stats.Cold, stats.Full, stats.KeptFromCold
	asOf := f.table.AsOf()
	out.Era, out.Revision, out.Watching = asOf.Era(), asOf.Revision(), f.mesh.Watching()
	if age, ok := f.mesh.ConfirmationAge(now); ok {
		out.RecordsAge = secondsPtr(age)
	}
	for _, m := range f.mesh.View(now) {
		asOf := directory.Position(m.AsOf)
		member := view.Member{Instance: m.ID, Domain: m.Domain, Address: m.Address.String(), Alive: m.Alive, Watching: m.Watching, Era: asOf.Era(), Revision: asOf.Revision()}
		if m.HeardAgo >= 0 {
			member.HeardAgo = secondsPtr(m.HeardAgo)
		}
		out.Members = append(out.Members, member)
	}
	out.Evacuations = f.evacuations.view(now)
	for _, s := range f.engine.Servers(now) {
		out.Servers = append(out.Servers, view.Server{
			Name: s.Name, Service: s.Service, Domain: s.Domain, Address: s.Address.String(), Cookie: s.Cookie, State: s.State, StateReason: s.StateReason,
			GetsNewFlows: s.Usable, Flows: s.Flows, PendingRequests: s.PendingRequests, Rate: s.Rate, RequestTime: s.RequestTime.Seconds(),
			ResponseTime: s.ResponseTime.Seconds(), Speed: s.Speed, Samples: s.Samples, Utilization: s.Utilization, Failures: s.Failures,
			ColdLeft: s.ColdLeft.Seconds(), OwnsColdStart: s.OwnsColdStart, KnownFlows: s.KnownFlows, MaxFlows: s.MaxFlows,
		})
	}
	for _, a := range f.engine.Admissions() {
		out.Admissions = append(out.Admissions, view.Admission{
			Service: a.Service, Priority: a.Priority, Kind: kindNames[a.Kind], Objective: a.Objective.Seconds(), Timeout: a.Timeout.Seconds(),
			Limiting: a.Limiting, Evidence: a.Evidence, Utilization: a.Utilization, Limit: a.Limit, Share: a.Share, ServiceTime: a.ServiceTime.Seconds(),
			Admitted: a.Admitted, Overloaded: a.Overloaded, Unmet: a.Unmet,
		})
	}
	return out
}

// handleFlow serves the state of one flow as JSON. It responds with status 404 if the flow is
// not in the flow table and 400 if the path does not contain a valid flow.
func (f *Forwarder) handleFlow(w http.ResponseWriter, r *http.Request) {
	key, err := parseFlow(strings.TrimPrefix(r.URL.Path, view.FlowPath))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f.mu.Lock()
	v, ok := f.engine.Flow(f.now(), key)
	f.mu.Unlock()
	if !ok {
		http.Error(w, "the flow is not in the table of this instance", http.StatusNotFound)
		return
	}
	writeJSON(w, view.Flow{
		Instance: f.self.ID, Flow: v.Flow.String(), Server: v.Server, State: v.State, Kind: kindNames[v.Kind],
		RequestTime: v.RequestTime.Seconds(), Idle: v.Idle.Seconds(),
	})
}

var kindNames = [...]string{"idempotent", "non_idempotent", "download"}

// parseFlow parses a flow in the format of the log lines, CLIENT:PORT>SERVICE:PORT.
func parseFlow(text string) (forwarding.FlowKey, error) {
	from, to, _ := strings.Cut(text, ">")
	client, err := netip.ParseAddrPort(from)
	if err != nil || !client.Addr().Is4() {
		return forwarding.FlowKey{}, result.Errorf(result.SettingsInvalid, "flow %q is not CLIENT:PORT>SERVICE:PORT with IPv4 addresses", text)
	}
	service, err := netip.ParseAddrPort(to)
	if err != nil || !service.Addr().Is4() {
		return forwarding.FlowKey{}, result.Errorf(result.SettingsInvalid, "flow %q is not CLIENT:PORT>SERVICE:PORT with IPv4 addresses", text)
	}
	return forwarding.NewFlowKey(client, service), nil
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// Encoding fails only if the client has closed the connection.
	_ = json.NewEncoder(w).Encode(v)
}

func secondsPtr(d time.Duration) *float64 {
	s := d.Seconds()
	return &s
}
