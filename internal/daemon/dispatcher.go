package daemon

import (
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/monsoonthread/monsoonthread/admission"
	"github.com/monsoonthread/monsoonthread/backend"
	"github.com/monsoonthread/monsoonthread/config"
	"github.com/monsoonthread/monsoonthread/dispatch"
	"github.com/monsoonthread/monsoonthread/internal/logging"
	"github.com/monsoonthread/monsoonthread/internal/timeline"
	"github.com/monsoonthread/monsoonthread/membership"
	"github.com/monsoonthread/monsoonthread/peer/peerpb"
	"github.com/monsoonthread/monsoonthread/placement"
	"github.com/monsoonthread/monsoonthread/result"
)

const (
	schedulerTick = 10 * time.Millisecond
	// summaryInterval is the period of load summaries to instances that received none
	// with a dispatch result. A summary is about 30 bytes.
	summaryInterval = 500 * time.Millisecond
	// summaryRecipientTTL is how long an instance receives summaries after its last
	// request. Summaries to all instances of a region would take 170 KB/s at the target
	// size.
	summaryRecipientTTL = 10 * time.Second
	// maxSummaryBroadcast is the number of live instances up to which summaries go to
	// all of them. An instance that receives no summaries from a dispatcher sends it
	// requests only when the other dispatchers have a queue: with 9 instances, the
	// servers of one dispatch group were busy for 71% of their slot time and the others
	// for 99%.
	maxSummaryBroadcast = 32
	// stateTick is the interval at which state changes of backend servers are reported.
	stateTick = 100 * time.Millisecond
	// idleSchedulerTTL is how long a scheduler without servers and requests is kept. A
	// new dispatcher requests a handover within this time.
	idleSchedulerTTL = 30 * time.Second
)

// schedulers holds the scheduler of each service for which this instance dispatches.
type schedulers struct {
	daemon *Daemon
	nextID atomic.Uint64

	mu             sync.RWMutex
	byService      map[uint32]*scheduler
	lastDispatcher map[string]string // by name of the backend server
}

// scheduler is the scheduler of one service, guarded by mu.
type scheduler struct {
	mu              sync.Mutex
	scheduler       *dispatch.Scheduler
	service         *service
	states          map[string]string    // last reported state of each backend server
	lastRequestFrom map[string]time.Time // time of the last request from each instance
	lastUsed        time.Time            // last time that inUse was true
}

// dispatchJob is a request at its dispatcher.
type dispatchJob struct {
	from    string // instance that sent the request
	id      uint64 // assigned by the sender
	request []byte
	service *service
}

func (s *schedulers) init(d *Daemon) {
	s.daemon = d
	s.byService = map[uint32]*scheduler{}
	s.lastDispatcher = map[string]string{}
}

func (s *schedulers) get(service uint32) *scheduler {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.byService[service]
}

func (s *schedulers) all() []*scheduler {
	s.mu.RLock()
	defer s.mu.RUnlock()
	list := make([]*scheduler, 0, len(s.byService))
	for _, sch := range s.byService {
		list = append(list, sch)
	}
	return list
}

// with runs f under the scheduler's lock and executes the returned actions afterwards.
func (s *schedulers) with(sch *scheduler, f func(*dispatch.Scheduler) []dispatch.Action) {
	sch.mu.Lock()
	actions := f(sch.scheduler)
	sch.mu.Unlock()
	s.daemon.executeActions(sch, actions)
}

// each runs f on every scheduler.
func (s *schedulers) each(f func(*dispatch.Scheduler) []dispatch.Action) {
	for _, sch := range s.all() {
		s.with(sch, f)
	}
}

// update recomputes the dispatcher of each backend server and the candidates of each
// service from a routing snapshot.
func (s *schedulers) update(r *routing, now time.Time) {
	self := s.daemon.settings.InstanceID
	s.daemon.chooser.setChooserCount(len(r.liveInstances()))
	for id, svc := range r.byID {
		owned, candidates := s.assign(r, svc, self, now)
		s.daemon.chooser.setCandidates(id, candidates)
		if sch := s.ensure(svc, len(owned) > 0, now); sch != nil {
			s.with(sch, func(d *dispatch.Scheduler) []dispatch.Action { return d.SetAssignments(now, owned, r.view.Version) })
		}
	}
	s.removeStale(r, now)
}

// ensure returns the scheduler of a service and creates it if this instance dispatches
// any of the servers. With a scheduler for every service, an instance would hold 2,800 at
// the target size although it dispatches about 9 servers.
func (s *schedulers) ensure(svc *service, needed bool, now time.Time) *scheduler {
	s.mu.Lock()
	defer s.mu.Unlock()
	sch := s.byService[svc.ID]
	if sch == nil && !needed {
		return nil
	}
	if sch == nil {
		sch = &scheduler{scheduler: dispatch.NewScheduler(dispatch.Config{}, *svc.Service, now), states: map[string]string{},
			lastRequestFrom: map[string]time.Time{}, lastUsed: now}
		s.byService[svc.ID] = sch
	}
	if sch.service != svc {
		sch.mu.Lock()
		sch.service = svc
		sch.scheduler.SetService(*svc.Service)
		sch.mu.Unlock()
	}
	return sch
}

// assign returns the servers of a service that this instance dispatches, and the
// reachable instances that dispatch any. members.viewMu is held.
func (s *schedulers) assign(r *routing, svc *service, self string, now time.Time) (owned []dispatch.Assignment, candidates []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := &s.daemon.members
	settled := m.domainWasRunning || m.joined && now.Sub(m.joinedAt) >= settleTime
	seen := map[string]bool{}
	for i := range svc.BackendServers {
		b := &svc.BackendServers[i]
		dispatcher, ok := r.dispatcher(svc, b)
		if !ok {
			continue
		}
		if !seen[dispatcher.ID] && domainReachable(r.view, dispatcher.Domain) {
			seen[dispatcher.ID] = true
			candidates = append(candidates, dispatcher.ID)
		}
		previous := s.lastDispatcher[b.Name]
		s.lastDispatcher[b.Name] = dispatcher.ID
		if dispatcher.ID != self {
			continue
		}
		if previous == "" || previous == self {
			previous = previousDispatcher(r, svc, b, self)
		}
		if !settled {
			continue
		}
		if m.startsDomain() {
			previous = "" // the domain had no dispatcher before
		}
		owned = append(owned, dispatch.Assignment{Server: *b, Previous: previous})
	}
	return owned, candidates
}

// previousDispatcher returns the instance that dispatched the server before this one
// joined, computed from the view without this instance.
func previousDispatcher(r *routing, svc *service, b *config.BackendServer, self string) string {
	for i := range r.view.Domains {
		dom := &r.view.Domains[i]
		if dom.Name != b.Domain {
			continue
		}
		var others []placement.Member
		for _, e := range dom.Members {
			if e.ID != self && (e.State == membership.Alive || e.State == membership.Suspect) {
				others = append(others, placement.NewMember(e.ID, e.Weight))
			}
		}
		if k := placement.Pick(placement.Key("server", svc.groups[b.Name]), others); k >= 0 {
			return others[k].ID
		}
	}
	return ""
}

func domainReachable(v *membership.View, domain string) bool {
	for i := range v.Domains {
		if v.Domains[i].Name == domain {
			return v.Domains[i].Reachable
		}
	}
	return false
}

// removeStale drains and removes the schedulers of services that are no longer
// configured.
func (s *schedulers) removeStale(r *routing, now time.Time) {
	s.mu.Lock()
	var stale []*scheduler
	for id, sch := range s.byService {
		if r.byID[id] == nil {
			stale = append(stale, sch)
			delete(s.byService, id)
		}
	}
	s.mu.Unlock()
	for _, sch := range stale {
		s.with(sch, func(d *dispatch.Scheduler) []dispatch.Action { return d.Drain(now) })
	}
}

// handleDispatch submits a request from a flow's owner or a permit's issuer to the
// service's scheduler.
func (d *Daemon) handleDispatch(from string, in *peerpb.Dispatch) {
	now := time.Now()
	job := &dispatchJob{from: from, id: in.Id, request: in.Request}
	r := d.routes.Load()
	if r == nil {
		d.refuseJob(job, nil, result.Errorf(result.NoConfiguration, "no configuration is in force"), 0)
		return
	}
	job.service = r.byID[in.ServiceId]
	address, _ := addrPortOf(in.ServiceAddress)
	if job.service == nil || job.service.Address != address {
		d.refuseJob(job, nil, result.Errorf(result.WrongService, "service %d does not own the request's address in configuration version %d", in.ServiceId, r.config.Version), 0)
		return
	}
	sch := d.schedulers.get(in.ServiceId)
	if !d.members.serving.Load() {
		d.refuseJob(job, nil, result.Errorf(result.InstanceNotReady, "this instance is joining"), 0)
		return
	}
	if sch == nil {
		d.refuseJob(job, nil, result.Errorf(result.NotDispatcher, "this instance dispatches no server of service %s", job.service.Name), 0)
		return
	}
	sch.recordRequestFrom(from, now)
	if d.members.fenced(now) {
		d.refuseJob(job, sch, result.Errorf(result.Fenced, "this instance is rejoining"), 0)
		return
	}
	item := admission.Item{ID: d.schedulers.nextID.Add(1), Class: classOf(in.Class), CallerHash: in.CallerHash, Arrived: now,
		Deadline: now.Add(time.Duration(in.DeadlineMs) * time.Millisecond), Retry: in.Retry, Preferred: in.PreferredServer, Payload: job}
	d.schedulers.with(sch, func(s *dispatch.Scheduler) []dispatch.Action {
		return s.Submit(now, dispatch.Request{Item: item, Idempotent: in.Idempotent})
	})
}

func classOf(v uint32) config.Class {
	if v >= uint32(config.NumClasses) {
		return config.Normal
	}
	return config.Class(v)
}

// executeActions executes the actions of a scheduler.
func (d *Daemon) executeActions(sch *scheduler, actions []dispatch.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case dispatch.Run:
			d.runOnServer(sch, a)
		case dispatch.Refuse:
			if job, ok := a.Payload.(*dispatchJob); ok {
				d.refuseJob(job, sch, a.Err, a.RetryAfter)
			}
		case dispatch.SendHandoverRequest:
			d.sendTo(a.To, &peerpb.Envelope{Body: &peerpb.Envelope_HandoverRequest{HandoverRequest: &peerpb.HandoverRequest{Servers: a.Servers}}})
		case dispatch.SendHandoverDone:
			d.sendTo(a.To, &peerpb.Envelope{Body: &peerpb.Envelope_HandoverDone{HandoverDone: &peerpb.HandoverDone{Server: a.Server, Ended: a.Ended}}})
		case dispatch.CancelRun:
			d.backends.cancel(a.GrantID)
		case dispatch.Event:
			d.event(a.Name, append([]timeline.Field{{Key: logging.Server, Value: a.Server}}, fieldsOf(a.Fields)...)...)
		}
	}
}

// fieldsOf converts key=value pairs to event fields.
func fieldsOf(in []string) []timeline.Field {
	out := make([]timeline.Field, len(in))
	for i, f := range in {
		out[i].Key, out[i].Value, _ = strings.Cut(f, "=")
	}
	return out
}

// runOnServer sends a granted request to its backend server. It checks the fence again,
// because the process may have been paused since the grant.
func (d *Daemon) runOnServer(sch *scheduler, run dispatch.Run) {
	job, ok := run.Request.Payload.(*dispatchJob)
	if !ok {
		return
	}
	now := time.Now()
	finish := func(o backend.Outcome, out outcome) {
		elapsed := time.Since(now)
		// The slot is released before the result is sent, so that the summary in the
		// result counts it as free.
		d.schedulers.with(sch, func(s *dispatch.Scheduler) []dispatch.Action {
			return s.Finish(time.Now(), run.GrantID, o, elapsed)
		})
		// After a shed answer the scheduler runs the request on another server or
		// refuses it. A result sent here as well would let the request run twice.
		if o != backend.Shed {
			d.answerJob(job, sch, out)
		}
	}
	if d.members.fenced(now) {
		finish(backend.Shed, outcome{err: result.Errorf(result.Fenced, "this instance is rejoining")})
		return
	}
	d.backends.run(run, job, finish)
}

// refuseJob reports that the request was not run.
func (d *Daemon) refuseJob(job *dispatchJob, sch *scheduler, err error, retryAfter time.Duration) {
	d.answerJob(job, sch, outcome{err: err, retryAfter: retryAfter})
}

// answerJob sends the outcome of a request to the instance that sent it, with a
// summary of the service's load.
func (d *Daemon) answerJob(job *dispatchJob, sch *scheduler, o outcome) {
	res := &peerpb.DispatchResult{Id: job.id, Response: o.response, Server: o.server, Code: uint32(result.CodeOf(o.err)),
		RetryAfterMs: uint32(o.retryAfter.Milliseconds())}
	if sch != nil {
		sch.mu.Lock()
		res.Summary = sch.scheduler.Summary(time.Now())
		sch.mu.Unlock()
	}
	if job.from == d.settings.InstanceID {
		d.handleDispatchResult(job.from, res)
		return
	}
	d.sendTo(job.from, &peerpb.Envelope{Body: &peerpb.Envelope_DispatchResult{DispatchResult: res}})
	d.recordSummarySent(job.from)
}
