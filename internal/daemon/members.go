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

// members wraps the membership machine.
type members struct {
	daemon *Daemon

	mu      sync.Mutex
	machine *membership.Machine

	// base and lastTick let the data path see a pause of the process without a lock.
	base     time.Time
	lastTick atomic.Int64
	rejoin   atomic.Bool
	serves   atomic.Bool // joined and routing in force
	// joinedSignal is closed when serves is set.
	joinedSignal chan struct{}
	claimed      atomic.Bool // settled: servers without a dispatcher were taken
	suspicion    time.Duration

	fresh    freshness
	viewMu   sync.Mutex // serializes the processing of views
	joined   bool       // guarded by viewMu; see join.go
	joinedAt time.Time  // guarded by viewMu
	listedAt time.Time  // when the list first showed this instance; guarded by viewMu
	// running: a member of the own domain had its weight when it was first seen, so
	// the domain was running before this instance joined. Guarded by viewMu.
	running bool
	listed  []string // instances that the list shows as live; guarded by viewMu
	states  map[string]membership.State
	// weighted has the members that owned flows and servers in the last view.
	weighted map[string]bool
}

func (m *members) init(d *Daemon, self membership.Instance, now time.Time) {
	m.daemon = d
	m.base = now
	m.joinedSignal = make(chan struct{})
	m.suspicion = d.settings.SuspicionTimeout
	m.states = map[string]membership.State{}
	m.machine = membership.New(membership.Config{Self: self, ProbeInterval: d.settings.ProbeInterval,
		SuspicionTimeout: d.settings.SuspicionTimeout, Domains: []membership.DomainConfig{{Name: self.Domain, Weight: 1}}},
		rand.New(rand.NewSource(d.seed)), now)
}

// fenced reports whether this process was paused for longer than the suspicion time,
// or has not rejoined since. Its servers may have another dispatcher by now.
func (m *members) fenced(now time.Time) bool {
	return m.rejoin.Load() || now.Sub(m.base)-time.Duration(m.lastTick.Load()) > m.suspicion
}

// with runs f under the lock and then executes its actions.
func (m *members) with(f func(*membership.Machine) []membership.Action) {
	m.mu.Lock()
	actions := f(m.machine)
	m.mu.Unlock()
	m.daemon.performMembership(actions)
}

func (d *Daemon) tickMembership(now time.Time) {
	d.members.fresh.tick(now.Sub(d.members.base))
	if d.members.fenced(now) && d.members.rejoin.CompareAndSwap(false, true) {
		d.event("instance_fenced", timeline.Field{Key: logging.Reason, Value: "gap in the own clock"})
		d.schedulers.each(func(s *dispatch.Scheduler) []dispatch.Action { return s.Fence(now) })
	}
	d.tryJoin(now)
	d.members.with(func(m *membership.Machine) []membership.Action {
		actions := m.Tick(now)
		if !m.Fenced(now) {
			d.members.lastTick.Store(int64(now.Sub(d.members.base)))
			d.members.rejoin.Store(false)
		}
		return actions
	})
}

func (d *Daemon) performMembership(actions []membership.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case membership.Send:
			to := membership.Entry{Instance: a.To}
			_ = d.peers.Send(addressOf(to), &peerpb.Envelope{Body: &peerpb.Envelope_Membership{Membership: a.Message}})
		case membership.ViewChanged:
			d.viewChanged(a.View)
		case membership.Rejoined:
			// Others declared this instance dead and dispatch its servers by now. The
			// issuer keeps its permits: they were given and are verified by this process
			// alone, so a pause cannot let another instance run them.
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

// reacquire gives up all servers and acquires those that are computed for this
// instance again.
func (d *Daemon) reacquire() {
	now := time.Now()
	d.schedulers.each(func(s *dispatch.Scheduler) []dispatch.Action { return s.Fence(now) })
	d.members.viewMu.Lock()
	defer d.members.viewMu.Unlock()
	if r := d.routes.Load(); r != nil {
		d.schedulers.update(r, now)
	}
}

// viewChanged recomputes ownership after a change of membership.
func (d *Daemon) viewChanged(v *membership.View) {
	d.members.viewMu.Lock()
	defer d.members.viewMu.Unlock()
	r := d.routes.Load()
	if r != nil && r.view.Version >= v.Version {
		return // a newer view was processed first
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
		d.peers.Forget(id)
	}
}

// recordStates records the changes of members as events and returns those that died.
func (d *Daemon) recordStates(v *membership.View) (died []string) {
	seen := map[string]membership.State{}
	weighted := map[string]bool{}
	for i := range v.Domains {
		for _, e := range v.Domains[i].Members {
			seen[e.ID] = e.State
			weighted[e.ID] = e.Weight > 0
			if d.members.weighted[e.ID] && e.Weight == 0 {
				died = append(died, e.ID) // a new process with the same ID is joining
			}
			if old, ok := d.members.states[e.ID]; !ok || old != e.State {
				d.noteRunning(&e, ok)
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
	d.members.states, d.members.weighted = seen, weighted
	return died
}

// noteRunning notes that the own domain was running before this instance joined.
func (d *Daemon) noteRunning(e *membership.Entry, seenBefore bool) {
	if !seenBefore && e.Domain == d.settings.FailureDomain && e.ID != d.settings.InstanceID && e.State == membership.Alive && e.Weight > 0 {
		d.members.running = true
	}
}

// applyRouting puts a routing snapshot into force.
func (d *Daemon) applyRouting(r *routing, now time.Time) {
	d.routes.Store(r)
	d.flows.StandbysChanged()
	d.schedulers.update(r, now)
	d.streams.requestReplan()
}

// pollList takes the platform's lists as hints.
func (d *Daemon) pollList(ctx context.Context, now time.Time) {
	if d.faults.platformCut() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	listing, err := d.list.Read(ctx)
	if err != nil {
		d.metrics.listErrors.Inc()
		return
	}
	d.noteListed(listing.Instances)
	entries := make([]membership.ListEntry, len(listing.Instances))
	for i, e := range listing.Instances {
		entries[i] = membership.ListEntry{Leaving: e.Leaving, Instance: membership.Instance{ID: e.ID, Domain: e.Domain,
			PeerAddress: e.PeerAddress, Weight: e.Weight}}
	}
	d.members.with(func(m *membership.Machine) []membership.Action { return m.ApplyInstanceList(time.Now(), entries) })
	for _, b := range listing.BackendServers {
		d.listNotice(b.Name, b.Leaving)
	}
}

// listNotice processes the list's state of a backend server.
func (d *Daemon) listNotice(name string, leaving bool) {
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

// reapplyLeaving repeats the list's notice for schedulers that learned of the server
// later.
func (d *Daemon) reapplyLeaving(name string, now time.Time) {
	d.schedulers.each(func(s *dispatch.Scheduler) []dispatch.Action { return s.DrainServer(now, name, backend.NoticeList) })
}

// sendTo sends an envelope to an instance of the current view.
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
	if err := d.peers.Send(addressOf(e), env); err != nil {
		d.metrics.sendErrors.Inc()
	}
}

// broadcast sends an envelope to every other live instance.
func (d *Daemon) broadcast(build func() *peerpb.Envelope) {
	r := d.routes.Load()
	if r == nil {
		return
	}
	for i := range r.view.Domains {
		for _, e := range r.view.Domains[i].Members {
			if e.ID != d.settings.InstanceID && e.State != membership.Dead {
				_ = d.peers.Send(addressOf(e), build())
			}
		}
	}
}

// Received processes an envelope of another instance.
func (d *Daemon) Received(from string, env *peerpb.Envelope) {
	switch b := env.Body.(type) {
	case *peerpb.Envelope_Packet:
		d.handlePacket(from, b.Packet)
	case *peerpb.Envelope_Dispatch:
		d.handleDispatch(from, b.Dispatch)
	case *peerpb.Envelope_DispatchResult:
		d.handleDispatchResult(from, b.DispatchResult)
	case *peerpb.Envelope_Membership:
		d.members.fresh.heard(time.Since(d.members.base), b.Membership.ConfigVersion)
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

func (d *Daemon) summariesSent(to string) { d.notices.summarySent(to, time.Now()) }

func itoa(n int) string { return strconv.Itoa(n) }
