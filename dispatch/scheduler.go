// Package dispatch schedules requests on the slots of backend servers. Each instance has
// one Scheduler per service. It sends requests to the servers that the instance owns,
// keeps an exact count of the busy slots, and takes servers over from other instances
// without exceeding their slots. A Chooser picks the dispatcher for a request.
package dispatch

import (
	"time"

	"github.com/monsoonthread/monsoonthread/admission"
	"github.com/monsoonthread/monsoonthread/backend"
	"github.com/monsoonthread/monsoonthread/config"
	"github.com/monsoonthread/monsoonthread/result"
)

// Config configures a Scheduler. Zero values select the defaults.
type Config struct {
	HandoverTimeout     time.Duration // an unanswered handover request is repeated after this
	MaxHandoverRequests int           // unanswered handover requests before the server is quarantined
	// DeadlineGrace is added to the deadline of a request without a response before its
	// slot counts as free, because the server measures the deadline from receipt.
	DeadlineGrace  time.Duration
	PanicThreshold float64
	MaxAttempts    int // attempts per request when servers shed it
	MaxHeld        int // maximum number of requests that wait for a particular server
	RetryRatio     float64
	RetryFloor     float64 // per second
	MaxPerClass    int
	QueueSeed      uint64
	Backend        backend.Config // settings that are not configured per backend server
}

// Defaults of Config.
const (
	DefaultHandoverTimeout     = 150 * time.Millisecond
	DefaultMaxHandoverRequests = 3
	DefaultDeadlineGrace       = 5 * time.Millisecond
	DefaultPanicThreshold      = 0.5
	DefaultMaxAttempts         = 3
	DefaultMaxHeld             = 32

	// maxSlotTimeLag bounds, in seconds, how much slot time a server catches up after it
	// was unusable, and how far ahead a server can get. The imbalance target applies to
	// 10 s, within which 1 s of catching up evens out.
	maxSlotTimeLag = 1.0
	// maxSlotTimeLead is how far, in seconds, the slot time of a slow server may get
	// ahead of the mean before the server is held back: 0.5% of the 10 s to which the
	// imbalance target applies.
	maxSlotTimeLead = 0.05
	// unfinishedGrantGrace is how long after the deadline Finish may still be missing
	// before it counts as a violation.
	unfinishedGrantGrace = time.Second
	// maxTickGap is the time between two ticks above which the process counts as paused.
	maxTickGap = 100 * time.Millisecond
	// deadInstanceRetention is how long the failure of an instance is remembered, so that
	// the quarantine of a server assigned later starts at the failure. The view that
	// assigns the server to its successor follows within one suspicion timeout.
	deadInstanceRetention = 5 * time.Second
	// reclaimDelay is how long a server is left with the instance that took it over while
	// the view of this instance still assigns it here. Views differ for less than this.
	reclaimDelay = 3 * time.Second
	// quarantineRequestInterval is the time between handover requests during a
	// quarantine. They continue because a previous dispatcher that answers late must
	// still stop dispatching, and its reply can shorten the quarantine.
	quarantineRequestInterval = time.Second
	// releasedServerRetention is how long, beyond the longest deadline, the state of a
	// released server is kept for late handover requests.
	releasedServerRetention = 10 * time.Second
	// recountInterval is the time between full recomputations of the incremental sums
	// and of the shortest service time.
	recountInterval = 200 * time.Millisecond
)

func (c *Config) setDefaults() {
	setDefault(&c.HandoverTimeout, DefaultHandoverTimeout)
	setDefault(&c.MaxHandoverRequests, DefaultMaxHandoverRequests)
	setDefault(&c.DeadlineGrace, DefaultDeadlineGrace)
	setDefault(&c.PanicThreshold, DefaultPanicThreshold)
	setDefault(&c.MaxAttempts, DefaultMaxAttempts)
	setDefault(&c.MaxHeld, DefaultMaxHeld)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// The refusals carry no request data, so that a flood does not spend time on formatting.
var (
	errNotDispatcher   = result.Errorf(result.NotDispatcher, "this instance dispatches no backend server of the service")
	errNoBackendServer = result.Errorf(result.NoBackendServer, "no backend server of the service is in use")
	errTakeoverPending = result.Errorf(result.TakeoverPending, "takeover of the backend servers is not finished")
	errShuttingDown    = result.Errorf(result.ShuttingDown, "instance is leaving")
	errFenced          = result.Errorf(result.Fenced, "instance was paused and is rejoining")
	errRetryBudget     = result.Errorf(result.RetryBudgetSpent, "retry budget is spent")
	errBackendShed     = result.Errorf(result.BackendShed, "backend servers shed the request")
	errCancelled       = result.Errorf(result.RequestCancelled, "request was cancelled before it ran")
	errDeadlineUnmet   = result.Errorf(result.DeadlineUnmet, "deadline passed before a slot was free")
)

// grantState is the state of an entry of the grant table.
type grantState uint8

const (
	grantFree      grantState = iota
	grantRunning              // Finish has not been called
	grantAbandoned            // timed out or cancelled; the server may still run the request
)

type grant struct {
	server          *server
	started         time.Time
	chargedSlotTime float64 // seconds added to server.slotTime, per slot
	generation      uint32
	state           grantState
	cancelled       bool
	request         Request
}

// heldRequest is a request that left the queue and waits for a particular server.
type heldRequest struct {
	item admission.Item
}

// Scheduler dispatches the requests of one service to the servers that this instance
// owns. It is not safe for concurrent use.
type Scheduler struct {
	cfg          Config
	svc          config.Service
	queue        *admission.Queue
	heldRequests []heldRequest
	retryBudget  *admission.RetryBudget

	servers          map[string]*server
	assigned         []*server // servers assigned by the last SetAssignments, in any role
	lastServerNumber uint64
	pollList         []*server // servers whose usable slots can change with time alone
	activePollList   []*server // poll list of the running Tick
	freeServers      freeHeap
	virtualTime      float64 // highest slotTime of a server when it was selected

	grants          []grant
	freeGrants      []uint32
	abandonedGrants []uint32 // grants in state grantAbandoned, whose slot is freed after the deadline
	running         int

	drainNotices  map[string]backend.NoticeSource // by server name, also for servers not assigned here
	deadInstances map[string]time.Time

	serviceRate           float64 // requests per second of all usable slots
	minServiceTime        float64 // shortest service time of a usable server, in seconds
	totalSlots, freeSlots int
	// slotTimeSum and usableServers give the mean slotTime of the usable servers.
	slotTimeSum   float64
	usableServers int
	lastFinish    time.Time
	waiting       int // requests in the queue and held requests
	viewVersion   uint64
	seq           uint64
	started       bool // SetAssignments was called at least once
	draining      bool
	fenced        bool
	lastRecount   time.Time
	sweepIndex    int
	lastTick      time.Time
	runningSince  time.Time // time of the first tick after the last pause of the process
}

// NewScheduler returns a scheduler without servers.
func NewScheduler(cfg Config, svc config.Service, now time.Time) *Scheduler {
	cfg.setDefaults()
	return &Scheduler{
		cfg: cfg, svc: svc,
		queue: admission.NewQueue(admission.Config{
			MinShares: svc.MinShares, MaxDeadline: svc.MaxDeadline.Duration(),
			MaxPerClass: cfg.MaxPerClass, Seed: cfg.QueueSeed,
		}),
		retryBudget:   admission.NewRetryBudget(cfg.RetryRatio, cfg.RetryFloor, now),
		servers:       make(map[string]*server),
		drainNotices:  make(map[string]backend.NoticeSource),
		deadInstances: make(map[string]time.Time),
		lastTick:      now,
	}
}

// SetService applies a new configuration of the service, except for its servers, which
// are changed by SetAssignments.
func (s *Scheduler) SetService(svc config.Service) {
	s.svc = svc
	s.queue.Configure(svc.MinShares, svc.MaxDeadline.Duration())
}

// Layout of admission.Item.OwnerData, which holds the state of a queued request.
const (
	idempotentFlag = 1 << 0
	attemptShift   = 8
	attemptMask    = 0xff
	excludeShift   = 16 // number of the server that shed the request
)

// Submit accepts a request. Unless the request waits, the actions contain its Run or
// Refuse.
func (s *Scheduler) Submit(now time.Time, r Request) []Action {
	var out []Action
	it := r.Item
	if it.Class >= config.NumClasses {
		it.Class = config.NumClasses - 1
	}
	it.OwnerData = 0
	if r.Idempotent {
		it.OwnerData = idempotentFlag
	}
	if err, retryAfter := s.admit(now, &it); err != nil {
		return append(out, refuse(&it, err, retryAfter))
	}
	// If nothing is waiting, the request takes the best free slot immediately.
	if s.waiting == 0 && len(s.freeServers) > 0 {
		if srv, ok := s.selectServer(now, &it); ok && srv != nil {
			return s.grant(out, now, srv, it)
		}
	}
	if err := s.queue.Offer(now, it, s.estimate(now)); err != nil {
		refusal := err.(*admission.Refusal)
		if s.totalSlots == 0 && s.takeoverPending() {
			refusal.Err = errTakeoverPending
		}
		return append(out, refuse(&it, refusal.Err, refusal.RetryAfter))
	}
	s.waiting++
	return s.dispatchQueued(out, now)
}

// admit refuses requests that cannot get a slot at this instance or that exceed the
// retry budget.
func (s *Scheduler) admit(now time.Time, it *admission.Item) (err *result.Error, retryAfter time.Duration) {
	switch {
	case s.fenced:
		return errFenced, s.svc.MaxDeadline.Duration()
	case s.draining:
		return errShuttingDown, 0
	case len(s.assigned) == 0:
		return errNotDispatcher, 0
	case s.totalSlots == 0 && !s.expectsCapacity():
		return errNoBackendServer, time.Second
	}
	if !it.Retry {
		s.retryBudget.RecordFirstAttempt()
	} else if !s.retryBudget.AllowRetry(now) {
		return errRetryBudget, time.Second
	}
	return nil, 0
}

// Finish records the outcome of a Run. The user of the scheduler answers the request,
// except after Shed: then the scheduler sends it to another server or refuses it.
func (s *Scheduler) Finish(now time.Time, id uint64, o backend.Outcome, took time.Duration) []Action {
	i := uint32(id) - 1
	if int(i) >= len(s.grants) || s.grants[i].generation != uint32(id>>32) || s.grants[i].state != grantRunning {
		return nil // already released after its deadline
	}
	var out []Action
	g := &s.grants[i]
	srv := g.server
	srv.backend.RecordOutcome(now, o, took)
	if o != backend.Shed {
		s.queue.RecordSlotTime(g.request.Class, took)
	}
	if (o == backend.Timeout || o == backend.Cancelled) && now.Before(s.slotFreeAt(g)) {
		g.state = grantAbandoned
		g.request.Payload = nil
		s.abandonedGrants = append(s.abandonedGrants, i)
		return s.refreshAndDispatch(out, now, srv)
	}
	it, cancelled := g.request.Item, g.cancelled
	out = s.releaseGrant(out, now, i)
	if o == backend.Shed {
		out = s.retryShed(out, now, it, cancelled, srv)
	}
	return s.refreshAndDispatch(out, now, srv)
}

// refreshAndDispatch refreshes a server after a change and dispatches waiting requests.
func (s *Scheduler) refreshAndDispatch(out []Action, now time.Time, srv *server) []Action {
	out = s.refreshAndReport(out, now, srv)
	return s.dispatchQueued(out, now)
}

// slotFreeAt returns the time from which the slot of a request without a response is free.
func (s *Scheduler) slotFreeAt(g *grant) time.Time {
	return g.request.Deadline.Add(s.cfg.DeadlineGrace)
}

// releaseGrant removes a grant and frees its slot.
func (s *Scheduler) releaseGrant(out []Action, now time.Time, i uint32) []Action {
	g := &s.grants[i]
	srv := g.server
	// Replace the expected slot time by the time that the slot was actually busy.
	took := now.Sub(g.started).Seconds() / float64(max(srv.backend.Slots(), 1))
	s.setSlotTime(srv, min(srv.slotTime+took-g.chargedSlotTime, s.virtualTime+maxSlotTimeLag))
	s.lastFinish = now
	g.state, g.server, g.request = grantFree, nil, Request{}
	s.freeGrants = append(s.freeGrants, i)
	srv.running--
	s.running--
	if srv.running < 0 {
		Violations.report(ViolationAccounting, srv.cfg.Name)
	}
	if srv.role == roleReleased && srv.successor != "" {
		out = append(out, SendHandoverDone{To: srv.successor, Server: srv.cfg.Name, Ended: 1})
	}
	return out
}

// retryShed requeues a request that a server shed, or refuses it if the attempts or the
// retry budget are used up.
func (s *Scheduler) retryShed(out []Action, now time.Time, it admission.Item, cancelled bool, srv *server) []Action {
	attempts := it.OwnerData>>attemptShift&attemptMask + 1
	switch {
	case cancelled:
		return append(out, refuse(&it, errCancelled, 0))
	case s.draining:
		return append(out, refuse(&it, errShuttingDown, 0))
	case s.fenced:
		return append(out, refuse(&it, errFenced, 0))
	case int(attempts) >= s.cfg.MaxAttempts || !now.Before(it.Deadline) || !s.retryBudget.AllowRetry(now):
		return append(out, refuse(&it, errBackendShed, s.retryAfter()))
	}
	it.OwnerData = it.OwnerData&idempotentFlag | attempts<<attemptShift
	if srv.assigned && s.usableServers > 1 {
		it.OwnerData |= srv.number << excludeShift
	}
	s.queue.Requeue(it)
	s.waiting++
	return out
}

func (s *Scheduler) retryAfter() time.Duration {
	if s.serviceRate <= 0 {
		return time.Second
	}
	return max(time.Millisecond, secondsToDuration(float64(s.waiting+1)/s.serviceRate))
}

// Cancel refuses a waiting request or cancels a running one.
func (s *Scheduler) Cancel(now time.Time, id uint64) []Action {
	if it, ok := s.queue.Cancel(id); ok {
		s.waiting--
		return []Action{refuse(&it, errCancelled, 0)}
	}
	for i := range s.heldRequests {
		if it := s.heldRequests[i].item; it.ID == id {
			s.heldRequests = append(s.heldRequests[:i], s.heldRequests[i+1:]...)
			s.waiting--
			return []Action{refuse(&it, errCancelled, 0)}
		}
	}
	for i := range s.grants {
		if g := &s.grants[i]; g.state == grantRunning && g.request.ID == id && !g.cancelled {
			g.cancelled = true
			return []Action{CancelRun{GrantID: uint64(g.generation)<<32 | uint64(i+1)}}
		}
	}
	return nil
}
