package daemon

import (
	"context"
	"math/rand"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/monsoonthread/monsoonthread/backend"
	"github.com/monsoonthread/monsoonthread/dispatch"
	"github.com/monsoonthread/monsoonthread/internal/logging"
	"github.com/monsoonthread/monsoonthread/internal/timeline"
	"github.com/monsoonthread/monsoonthread/membership"
	"github.com/monsoonthread/monsoonthread/peer/peerpb"
)

const (
	membershipTick = 50 * time.Millisecond
	listInterval   = 500 * time.Millisecond
	listTimeout    = 2 * time.Second
)

// members holds the membership state machine and the state derived from its views.
type members struct {
	daemon *Daemon

	mu      sync.Mutex
	machine *membership.Machine

	// startTime and lastTick let the data path detect a pause of the process without taking
	// a lock.
	startTime  time.Time
	lastTick   atomic.Int64
	mustRejoin atomic.Bool
	serving    atomic.Bool // joined, with routing applied
	// servingSignal is closed when serving is set.
	servingSignal    chan struct{}
	settled          atomic.Bool // backend servers without a dispatcher have been acquired
	suspicionTimeout time.Duration

	freshness configFreshness
	viewMu    sync.Mutex // serializes view processing
	joined    bool       // guarded by viewMu; see join.go
	joinedAt  time.Time  // guarded by viewMu
	listedAt  time.Time  // when the list first showed this instance; guarded by viewMu
	// domainWasRunning is set when a member of the local failure domain was first seen
	// with a non-zero weight, which means that the domain was serving before this
	// instance joined. Guarded by viewMu.
	domainWasRunning bool
	listed           []string // live instances according to the list; guarded by viewMu
	states           map[string]membership.State
	// hadWeight holds the members that had a non-zero weight, and so owned flows and
	// servers, in the last view.
	hadWeight map[string]bool
}

func (m *members) init(d *Daemon, self membership.Instance, now time.Time) {
	m.daemon = d
	m.startTime = now
	m.servingSignal = make(chan struct{})
	m.suspicionTimeout = d.settings.SuspicionTimeout
	m.states = map[string]membership.State{}
	m.machine = membership.New(membership.Config{Self: self, ProbeInterval: d.settings.ProbeInterval,
		SuspicionTimeout: d.settings.SuspicionTimeout, Domains: []membership.DomainConfig{{Name: self.Domain, Weight: 1}}},
		rand.New(rand.NewSource(d.seed)), now)
}

// fenced reports whether the process was paused for longer than the suspicion timeout,
// or has not rejoined after such a pause. Its backend servers may have another
// dispatcher by then.
func (m *members) fenced(now time.Time) bool {
	return m.mustRejoin.Load() || now.Sub(m.startTime)-time.Duration(m.lastTick.Load()) > m.suspicionTimeout
}

// with runs f under the lock and executes the returned actions afterwards.
func (m *members) with(f func(*membership.Machine) []membership.Action) {
	m.mu.Lock()
	actions := f(m.machine)
	m.mu.Unlock()
	m.daemon.executeMembershipActions(actions)
}

func (d *Daemon) tickMembership(now time.Time) {
	d.members.freshness.recordTick(now.Sub(d.members.startTime))
	if d.members.fenced(now) && d.members.mustRejoin.CompareAndSwap(false, true) {
		d.event("instance_fenced", timeline.Field{Key: logging.Reason, Value: "process was paused beyond the suspicion timeout"})
		d.schedulers.each(func(s *dispatch.Scheduler) []dispatch.Action { return s.Fence(now) })
	}
	d.tryJoin(now)
	d.members.with(func(m *membership.Machine) []membership.Action {
		actions := m.Tick(now)
		if !m.Fenced(now) {
			d.members.lastTick.Store(int64(now.Sub(d.members.startTime)))
			d.members.mustRejoin.Store(false)
		}
		return actions
	})
}

func (d *Daemon) executeMembershipActions(actions []membership.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case membership.Send:
			to := membership.Entry{Instance: a.To}
			d.sendToMember(to, &peerpb.Envelope{Body: &peerpb.Envelope_Membership{Membership: a.Message}})
		case membership.ViewChanged:
			d.viewChanged(a.View)
		case membership.Rejoined:
			// The peers declared this instance dead and may dispatch its servers. The
			// issuer keeps its permits: only this process issues and verifies them, so
			// no other instance can have run a permitted request during the pause.
			d.reacquire()
			d.event("instance_rejoined", timeline.Field{Key: logging.Incarnation, Value: strconv.FormatUint(a.Incarnation, 10)})
		case membership.HigherConfig:
			d.follower.ObservePeerVersion(a.From, a.Version)
		case membership.Diagnostic:
			fields := make([]timeline.Field, len(a.Fields))
			for i, f := range a.Fields {
				fields[i] = timeline.Field{Key: f.Key, Value: f.Value}
			}
			d.event(a.Name, fields...)
		}
	}
}

// reacquire releases all servers, then acquires those assigned to this instance.
func (d *Daemon) reacquire() {
	now := time.Now()
	d.schedulers.each(func(s *dispatch.Scheduler) []dispatch.Action { return s.Fence(now) })
	d.members.viewMu.Lock()
	defer d.members.viewMu.Unlock()
	if r := d.routes.Load(); r != nil {
		d.schedulers.update(r, now)
	}
}

// viewChanged recomputes ownership after a membership change.
func (d *Daemon) viewChanged(v *membership.View) {
	d.members.viewMu.Lock()
	defer d.members.viewMu.Unlock()
	r := d.routes.Load()
	if r != nil && r.view.Version >= v.Version {
		return // a newer view has already been processed
	}
	now := time.Now()
	died := d.recordStates(v)
	if r == nil {
		return
	}
	d.applyRouting(newRouting(r.config, v, r), now)
	for _, id := range died {
		d.schedulers.each(func(s *dispatch.Scheduler) []dispatch.Action { return s.HandleInstanceDead(now, id) })
		d.streams.takeOver(d.routes.Load(), id, now)
		d.peers.Disconnect(id)
	}
}

// recordStates emits events for member state changes and returns the members that died.
func (d *Daemon) recordStates(v *membership.View) (died []string) {
	seen := map[string]membership.State{}
	weighted := map[string]bool{}
	for i := range v.Domains {
		for _, e := range v.Domains[i].Members {
			seen[e.ID] = e.State
			weighted[e.ID] = e.Weight > 0
			if d.members.hadWeight[e.ID] && e.Weight == 0 {
				died = append(died, e.ID) // a new process with the same ID is joining
			}
			if old, ok := d.members.states[e.ID]; !ok || old != e.State {
				d.recordRunningDomain(&e, ok)
				d.event("member_state", timeline.Field{Key: logging.Peer, Value: e.ID}, timeline.Field{Key: logging.State, Value: e.State.String()})
			}
		}
	}
	for id, old := range d.members.states {
		state, ok := seen[id]
		if old != membership.Dead && (!ok || state == membership.Dead) {
			died = append(died, id)
		}
	}
	d.members.states, d.members.hadWeight = seen, weighted
	return died
}

// recordRunningDomain sets domainWasRunning if e shows that the local failure domain
// was serving before this instance joined.
func (d *Daemon) recordRunningDomain(e *membership.Entry, seenBefore bool) {
	if !seenBefore && e.Domain == d.settings.FailureDomain && e.ID != d.settings.InstanceID && e.State == membership.Alive && e.Weight > 0 {
		d.members.domainWasRunning = true
	}
}

// applyRouting activates a routing snapshot.
func (d *Daemon) applyRouting(r *routing, now time.Time) {
	d.routes.Store(r)
	d.flows.StandbysChanged()
	d.schedulers.update(r, now)
	d.streams.requestReplan()
}

// pollList reads the platform's instance list and passes it on as membership hints.
func (d *Daemon) pollList(ctx context.Context, now time.Time) {
	if d.faults.platformUnreachable() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	listing, err := d.instanceList.Read(ctx)
	if err != nil {
		d.metrics.listErrors.Inc()
		return
	}
	d.recordListed(listing.Instances)
	entries := make([]membership.ListEntry, len(listing.Instances))
	for i, e := range listing.Instances {
		entries[i] = membership.ListEntry{Leaving: e.Leaving, Instance: membership.Instance{ID: e.ID, Domain: e.Domain,
			PeerAddress: e.PeerAddress, Weight: e.Weight}}
	}
	d.members.with(func(m *membership.Machine) []membership.Action { return m.ApplyInstanceList(time.Now(), entries) })
	for _, b := range listing.BackendServers {
		d.handleListedServer(b.Name, b.Leaving)
	}
}

// handleListedServer processes the list's state of a backend server.
func (d *Daemon) handleListedServer(name string, leaving bool) {
	if !d.notices.setListed(name, leaving) {
		return
	}
	now := time.Now()
	d.flows.Replan()
	d.event("backend_server_listed", timeline.Field{Key: logging.Server, Value: name}, timeline.Field{Key: "leaving", Value: strconv.FormatBool(leaving)})
	d.schedulers.each(func(s *dispatch.Scheduler) []dispatch.Action {
		if leaving {
			return s.DrainServer(now, name, backend.NoticeList)
		}
		return s.ReinstateServer(now, name)
	})
}

// reapplyLeaving repeats the list's leaving notice for schedulers that were created or
// given the server after it.
func (d *Daemon) reapplyLeaving(name string, now time.Time) {
	d.schedulers.each(func(s *dispatch.Scheduler) []dispatch.Action { return s.DrainServer(now, name, backend.NoticeList) })
}

// sendTo sends an envelope to a member of the current view.
func (d *Daemon) sendTo(id string, env *peerpb.Envelope) {
	r := d.routes.Load()
	if r == nil {
		return
	}
	e, ok := r.view.Member(id)
	if !ok {
		d.metrics.sendErrors.Inc()
		return
	}
	d.sendToMember(e, env)
}

// sendToMember sends an envelope to a member and counts a failure. Messages may be lost, so no caller
// depends on it.
func (d *Daemon) sendToMember(e membership.Entry, env *peerpb.Envelope) {
	if err := d.peers.Send(addressOf(e), env); err != nil {
		d.metrics.sendErrors.Inc()
	}
}

// broadcast sends an envelope to every other member that is not dead.
func (d *Daemon) broadcast(build func() *peerpb.Envelope) {
	r := d.routes.Load()
	if r == nil {
		return
	}
	for i := range r.view.Domains {
		for _, e := range r.view.Domains[i].Members {
			if e.ID != d.settings.InstanceID && e.State != membership.Dead {
				d.sendToMember(e, build())
			}
		}
	}
}

// Received implements peer.Handler.
func (d *Daemon) Received(from string, env *peerpb.Envelope) {
	switch b := env.Body.(type) {
	case *peerpb.Envelope_Packet:
		d.handlePacket(from, b.Packet)
	case *peerpb.Envelope_Dispatch:
		d.handleDispatch(from, b.Dispatch)
	case *peerpb.Envelope_DispatchResult:
		d.handleDispatchResult(from, b.DispatchResult)
	case *peerpb.Envelope_Membership:
		d.members.freshness.recordHeartbeat(time.Since(d.members.startTime), b.Membership.ConfigVersion)
		d.members.with(func(m *membership.Machine) []membership.Action { return m.Receive(time.Now(), from, b.Membership) })
	case *peerpb.Envelope_Summary:
		d.chooser.observe(time.Now(), from, b.Summary)
	case *peerpb.Envelope_FlowCopies:
		d.handleFlowCopies(from, b.FlowCopies)
	case *peerpb.Envelope_HandoverRequest:
		d.handleHandoverRequest(from, b.HandoverRequest)
	case *peerpb.Envelope_HandoverReply:
		d.handleHandoverReply(from, b.HandoverReply)
	case *peerpb.Envelope_HandoverDone:
		d.handleHandoverDone(b.HandoverDone)
	case *peerpb.Envelope_ServerNotice:
		d.notices.set(b.ServerNotice)
		d.flows.Replan()
	}
}

func (d *Daemon) recordSummarySent(to string) { d.notices.summarySent(to, time.Now()) }

func itoa(n int) string { return strconv.Itoa(n) }
