package forwarding

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/monsoonthread/monsoonthread/admission"
)

// ServerView is a snapshot of the engine's state for a backend server.
type ServerView struct {
	Name, Service, Domain  string
	Address                netip.AddrPort
	Cookie                 uint32
	State                  string // one of ServerStates
	StateReason            string
	Usable                 bool // eligible for new flows
	Flows, PendingRequests int  // open flows and pending requests of this instance
	Rate                   float64
	RequestTime            time.Duration // service time without queueing
	ResponseTime           time.Duration // mean of the samples, with queueing
	Speed                  float64       // relative to the mean of the service
	Samples                float64       // decayed number of samples of all sources
	Utilization            float64
	Failures               float64       // decayed number of failed requests
	ColdLeft               time.Duration // for which its opening packets are limited; 0 if they are not
	OwnsColdStart          bool          // this instance sends its opening packets while it is cold
	KnownFlows             int           // open flows of all instances, as far as this one knows
	MaxFlows               int           // open flows that it accepts; 0 for no limit
}

// FlowView is a snapshot of a tracked flow.
type FlowView struct {
	Flow        FlowKey
	Server      string
	State       string
	Kind        RouteKind
	RequestTime time.Duration // time since the pending request was sent; 0 without one
	Idle        time.Duration // time since the last packet
}

// Servers returns all known servers, sorted by service and name.
func (e *Engine) Servers(now time.Duration) []ServerView {
	out := make([]ServerView, 0, len(e.servers))
	for _, s := range e.servers {
		state, reason := s.describeState(now)
		if e.isEvacuated(s) && slices.Contains(statesOfEvacuated, state) {
			state, reason = "evacuated", "its failure domain is evacuated"
		}
		var coldLeft time.Duration
		if e.isCold(now, s) {
			coldLeft = s.coldUntil - now
		}
		out = append(out, ServerView{
			Name: s.Name, Service: s.Service, Domain: s.Domain, Address: s.Address, Cookie: s.cookie,
			State: state, StateReason: reason, Usable: s.usable() && !e.isEvacuated(s),
			Flows: int(s.flows), PendingRequests: int(s.pendingRequests), Rate: s.meter.rate + s.meter.peerRate,
			RequestTime: time.Duration(s.requestTime(now)), ResponseTime: s.estimate().response, Speed: s.relativeSpeed(), Samples: s.meter.knownSpeed().Samples(),
			Utilization: s.utilization(now), Failures: s.failures.value(now),
			ColdLeft: coldLeft, OwnsColdStart: coldLeft > 0 && e.ownsColdStart(now, s), KnownFlows: int(s.flows) + s.flowsOfPeers(), MaxFlows: s.service.limits.MaxFlows,
		})
	}
	slices.SortFunc(out, func(a, b ServerView) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Name, b.Name))
	})
	return out
}

// ServerStates lists the possible values of ServerView.State.
var ServerStates = []string{"trusted", "cold", "full", "failing", "suspected", "unproven", "shadowed", "draining", "evacuated", "unreachable", "refusing", "gone", "dead"}

// statesOfEvacuated are the states that are shown as evacuated: they do not matter for new flows while
// the failure domain is evacuated.
var statesOfEvacuated = []string{"trusted", "cold", "full", "failing", "suspected", "unproven"}

// describeState returns the server's state, one of ServerStates, and the reason for it.
func (s *server) describeState(now time.Duration) (state, reason string) {
	h := &s.health
	switch {
	case h.state == dead && h.replaced:
		return "dead", "another server answers at its address"
	case h.state == dead:
		return "dead", "its process has ended"
	case h.state == refusing:
		return "refusing", "nobody answers for it at its address; it may still serve its open flows"
	case !s.listed:
		return "gone", "it has no record; open flows keep it"
	case h.state == unreachable:
		return "unreachable", "its probes stay without an answer"
	case s.Draining:
		return "draining", "its record says so"
	case s.shadowed:
		return "shadowed", "another server has the same cookie"
	case s.unproven:
		return "unproven", "its record contradicts another one or may be old; it has not answered yet"
	case h.state == suspected:
		return "suspected", "packets stay without an answer; a probe is under way"
	case s.failing(now):
		return "failing", "requests make no progress"
	case now < s.coldUntil:
		return "cold", coldReasonTexts[s.cold.reason]
	case s.full():
		return "full", "it holds about as many open flows as it accepts"
	}
	return "trusted", ""
}

// Flow returns a snapshot of a flow; false if the flow is not tracked.
func (e *Engine) Flow(now time.Duration, k FlowKey) (FlowView, bool) {
	f := e.flows[k]
	if f == nil {
		return FlowView{}, false
	}
	v := FlowView{Flow: k, Server: f.server.Name, State: flowStateNames[f.state], Kind: f.kind, Idle: now - duration(f.seenAt)}
	if f.requestPending {
		v.RequestTime = now - duration(f.sentAt)
	}
	return v, true
}

var flowStateNames = [...]string{"opening", "open", "closing"}

// AdmissionView is a snapshot of admission control for the flows of a class to a service.
type AdmissionView struct {
	Service     string
	Priority    int
	Kind        RouteKind
	Objective   time.Duration
	Timeout     time.Duration
	Limiting    bool          // the service is short of capacity, and limits apply
	Evidence    float64       // share of the recent requests that were shed, late or overdue
	Utilization float64       // at the last new flow, by classes that are at least as urgent
	Limit       float64       // of that utilization
	Share       float64       // share of the load, by this instance's flows
	ServiceTime time.Duration // mean; 0 if unknown
	Admitted    uint64        // new flows
	Overloaded  uint64        // new flows refused because more urgent ones need the capacity
	Unmet       uint64        // new flows refused because their deadline cannot be met
}

// Admissions returns the state of admission control, sorted by service and priority. It is empty
// without prioritised routes.
func (e *Engine) Admissions() []AdmissionView {
	var out []AdmissionView
	for _, svc := range e.services {
		a := svc.admission
		if a == nil {
			continue
		}
		state := a.controller.State()
		for i, c := range e.flowClasses.classes {
			if !a.used[i] {
				continue
			}
			class, n := a.controller.Class(i), a.decisions[i]
			out = append(out, AdmissionView{
				Service: svc.name, Priority: c.priority, Kind: c.kind, Objective: c.objective, Timeout: c.timeout, Limiting: state.Limiting,
				Evidence: state.Evidence, Utilization: class.Utilization, Limit: class.Limit, Share: class.Share, ServiceTime: class.ServiceTime,
				Admitted: n[admission.FlowAdmitted], Overloaded: n[admission.FlowOverloaded], Unmet: n[admission.FlowDeadlineUnmet],
			})
		}
	}
	slices.SortFunc(out, func(a, b AdmissionView) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Kind, b.Kind),
			cmp.Compare(a.Objective, b.Objective), cmp.Compare(a.Timeout, b.Timeout))
	})
	return out
}
