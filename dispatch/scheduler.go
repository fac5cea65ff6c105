// Package dispatch owns the slots of backend servers. A Scheduler exists per service
// and instance: it sends requests to the servers that the instance owns, counts the
// busy slots exactly, and takes servers over from other instances without an overrun.
// A Chooser picks the dispatcher that a request is sent to.
package dispatch

import (
	"time"

	"github.com/monsoonthread/monsoonthread/admission"
	"github.com/monsoonthread/monsoonthread/backend"
	"github.com/monsoonthread/monsoonthread/config"
	"github.com/monsoonthread/monsoonthread/result"
)

// Config describes a scheduler. Zero values take the defaults.
type Config struct {
	HandoverTimeout time.Duration // after which an unanswered handover request is repeated
	HandoverTries   int           // requests before the server is quarantined
	// DeadlineGrace is added to a deadline before the slot of an unanswered request
	// counts as free: the server's deadline starts when it receives the request.
	DeadlineGrace time.Duration
	PanicShare    float64
	MaxAttempts   int // servers tried when each sheds
	MaxHeld       int // requests that wait for a particular server
	RetryRatio    float64
	RetryFloor    float64 // per second
	MaxPerClass   int
	QueueSeed     uint64
	Backend       backend.Config // settings other than those of the backend server itself
}

// Defaults of Config.
const (
	DefaultHandoverTimeout = 150 * time.Millisecond
	DefaultHandoverTries   = 3
	DefaultDeadlineGrace   = 5 * time.Millisecond
	DefaultPanicShare      = 0.5
	DefaultMaxAttempts     = 3
	DefaultMaxHeld         = 32

	// maxLag bounds, in seconds of slot time, how much a server that could not be used
	// catches up afterwards, and how far ahead a server can get. The imbalance is
	// judged over 10 s, so 1 s of catching up still evens it out.
	maxLag = 1.0
	// maxLead is how far, in seconds of slot time, a slow server may get ahead of the
	// mean before it rests: 0.5% of the 10 s over which the imbalance is judged.
	maxLead = 0.05
	// finishGrace is how long after its deadline a request may remain without Finish.
	finishGrace = time.Second
	// deadMemory is how long the death of an instance starts the quarantine of a server
	// that is assigned later. The view that names the successor follows within one
	// suspicion time.
	deadMemory = 5 * time.Second
	// reclaimAfter is how long a server stays with the instance that took it while this
	// instance's view still assigns it here. Views differ for less than this.
	reclaimAfter = 3 * time.Second
	// quarantineAskInterval is the time between handover requests during a quarantine:
	// an instance that answers late must still stop and can shorten it.
	quarantineAskInterval = time.Second
	// releasedMemory is how long, beyond the longest deadline, a released server can
	// still be handed over by a late request.
	releasedMemory = 10 * time.Second
	// recountInterval is the time between full recounts of sums that are kept
	// incrementally, and of the fastest server.
	recountInterval = 200 * time.Millisecond
)

func (c *Config) setDefaults() {
	setDefault(&c.HandoverTimeout, DefaultHandoverTimeout)
	setDefault(&c.HandoverTries, DefaultHandoverTries)
	setDefault(&c.DeadlineGrace, DefaultDeadlineGrace)
	setDefault(&c.PanicShare, DefaultPanicShare)
	setDefault(&c.MaxAttempts, DefaultMaxAttempts)
	setDefault(&c.MaxHeld, DefaultMaxHeld)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Refusals without request data; see admission for the reason.
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
	grantFree    grantState = iota
	grantRunning            // Finish is due
	grantGhost              // finished without an answer; the server may still run it
)

type grant struct {
	server     *server
	started    time.Time
	expected   float64 // seconds added to server.busy, per slot
	generation uint32
	state      grantState
	cancelled  bool
	request    Request
}

// held is a request that waits for a particular server.
type held struct {
	item admission.Item
}

// Scheduler dispatches the requests of one service to the servers that this instance
// owns. It is not safe for concurrent use.
type Scheduler struct {
	cfg   Config
	svc   config.Service
	queue *admission.Queue
	held  []held
	retry *admission.RetryBudget

	servers  map[string]*server
	owned    []*server // assigned, any role
	watch    []*server // whose usable slots can change without an event
	watching []*server // watch list of the running Tick
	ready    freeHeap
	virtual  float64 // highest busy of a chosen server

	grants    []grant
	freeSlots []uint32
	ghosts    []uint32 // grants whose slot is freed at the deadline
	running   int

	leaving map[string]backend.NoticeSource // notices, also of servers not owned
	dead    map[string]time.Time

	rate        float64 // requests per second of all usable slots
	fastest     float64 // seconds; service time of the fastest usable server
	total, free int     // slots
	// busySum and usableServers give the mean busy of the usable servers.
	busySum       float64
	usableServers int
	lastFinish    time.Time
	waiting       int // requests queued or held
	viewVersion   uint64
	seq           uint64
	started       bool // SetOwned was called
	draining      bool
	fenced        bool
	recounted     time.Time
	sweep         int
}

// NewScheduler returns a scheduler that owns no server.
func NewScheduler(cfg Config, svc config.Service, now time.Time) *Scheduler {
	cfg.setDefaults()
	return &Scheduler{
		cfg: cfg, svc: svc,
		queue: admission.NewQueue(admission.Config{
			MinShares: svc.MinShares, MaxDeadline: svc.MaxDeadline.Duration(),
			MaxPerClass: cfg.MaxPerClass, Seed: cfg.QueueSeed,
		}),
		retry:   admission.NewRetryBudget(cfg.RetryRatio, cfg.RetryFloor, now),
		servers: make(map[string]*server),
		leaving: make(map[string]backend.NoticeSource),
		dead:    make(map[string]time.Time),
	}
}

// SetService applies a new configuration of the service. The servers themselves are
// changed by SetOwned.
func (s *Scheduler) SetService(svc config.Service) {
	s.svc = svc
	s.queue.Configure(svc.MinShares, svc.MaxDeadline.Duration())
}

// Bits of admission.Item.Context: the request's own flags while it is queued.
const (
	contextIdempotent = 1 << 0
	attemptShift      = 8
	attemptMask       = 0xff
	excludeShift      = 16 // index + 1 of the grant whose server shed the request
)

// Submit accepts a request. The actions contain its Run or Refuse if it does not wait.
func (s *Scheduler) Submit(now time.Time, r Request) []Action {
	var out []Action
	it := r.Item
	if it.Class >= config.NumClasses {
		it.Class = config.NumClasses - 1
	}
	it.Context = 0
	if r.Idempotent {
		it.Context = contextIdempotent
	}
	if err, after := s.admit(now, &it); err != nil {
		return append(out, refuse(&it, err, after))
	}
	// Without a queue the request takes the best free slot at once.
	if s.waiting == 0 && len(s.ready) > 0 {
		if v, ok := s.place(now, &it); ok && v != nil {
			return s.grant(out, now, v, it)
		}
	}
	if err := s.queue.Offer(now, it, s.estimate(now)); err != nil {
		refusal := err.(*admission.Refusal)
		if s.total == 0 && s.takeoverPending() {
			refusal.Err = errTakeoverPending
		}
		return append(out, refuse(&it, refusal.Err, refusal.RetryAfter))
	}
	s.waiting++
	return s.dispatch(out, now)
}

// admit refuses requests that can never get a slot here.
func (s *Scheduler) admit(now time.Time, it *admission.Item) (err *result.Error, retryAfter time.Duration) {
	switch {
	case s.fenced:
		return errFenced, s.svc.MaxDeadline.Duration()
	case s.draining:
		return errShuttingDown, 0
	case len(s.owned) == 0:
		return errNotDispatcher, 0
	case s.total == 0 && !s.expectsCapacity():
		return errNoBackendServer, time.Second
	}
	if !it.Retry {
		s.retry.First()
	} else if !s.retry.Retry(now) {
		return errRetryBudget, time.Second
	}
	return nil, 0
}

// Finish records the outcome of a Run. The caller answers the request itself, except
// after Shed: the request is then sent to another server or refused by an action.
func (s *Scheduler) Finish(now time.Time, id uint64, o backend.Outcome, took time.Duration) []Action {
	i := uint32(id) - 1
	if int(i) >= len(s.grants) || s.grants[i].generation != uint32(id>>32) || s.grants[i].state != grantRunning {
		return nil // ended by the deadline before
	}
	var out []Action
	g := &s.grants[i]
	v := g.server
	v.life.Outcome(now, o, took)
	if o != backend.Shed {
		s.queue.Charge(g.request.Class, took)
	}
	if (o == backend.Timeout || o == backend.Cancelled) && now.Before(s.slotEnd(g)) {
		g.state = grantGhost
		g.request.Payload = nil
		s.ghosts = append(s.ghosts, i)
		return s.settle(out, now, v)
	}
	it, cancelled := g.request.Item, g.cancelled
	out = s.endGrant(out, now, i)
	if o == backend.Shed {
		out = s.again(out, now, it, cancelled, v)
	}
	return s.settle(out, now, v)
}

// settle refreshes a server after a change and uses what became free.
func (s *Scheduler) settle(out []Action, now time.Time, v *server) []Action {
	out = s.refreshed(out, now, v)
	return s.dispatch(out, now)
}

// slotEnd returns when the slot of an unanswered request is certainly free.
func (s *Scheduler) slotEnd(g *grant) time.Time {
	return g.request.Deadline.Add(s.cfg.DeadlineGrace)
}

// endGrant frees the slot of a grant.
func (s *Scheduler) endGrant(out []Action, now time.Time, i uint32) []Action {
	g := &s.grants[i]
	v := g.server
	// The order of the servers uses the time that the slot really was busy.
	took := now.Sub(g.started).Seconds() / float64(max(v.life.Slots(), 1))
	s.setBusy(v, min(v.busy+took-g.expected, s.virtual+maxLag))
	s.lastFinish = now
	g.state, g.server, g.request = grantFree, nil, Request{}
	s.freeSlots = append(s.freeSlots, i)
	v.running--
	s.running--
	if v.running < 0 {
		Violations.report(ViolationAccounting, v.cfg.Name)
	}
	if v.role == released && v.takenBy != "" {
		out = append(out, SendHandoverDone{To: v.takenBy, Server: v.cfg.Name, Ended: 1})
	}
	return out
}

// again sends a request that was shed to another server, within the retry budget.
func (s *Scheduler) again(out []Action, now time.Time, it admission.Item, cancelled bool, v *server) []Action {
	attempts := it.Context>>attemptShift&attemptMask + 1
	switch {
	case cancelled:
		return append(out, refuse(&it, errCancelled, 0))
	case s.draining:
		return append(out, refuse(&it, errShuttingDown, 0))
	case s.fenced:
		return append(out, refuse(&it, errFenced, 0))
	case int(attempts) >= s.cfg.MaxAttempts || !now.Before(it.Deadline) || !s.retry.Retry(now):
		return append(out, refuse(&it, errBackendShed, s.retryAfter()))
	}
	it.Context = it.Context&contextIdempotent | attempts<<attemptShift
	for i, o := range s.owned {
		if o == v && s.usableServers > 1 {
			it.Context |= uint64(i+1) << excludeShift
		}
	}
	s.queue.Requeue(it)
	s.waiting++
	return out
}

func (s *Scheduler) retryAfter() time.Duration {
	if s.rate <= 0 {
		return time.Second
	}
	return max(time.Millisecond, seconds(float64(s.waiting+1)/s.rate))
}

// Cancel abandons a request.
func (s *Scheduler) Cancel(now time.Time, id uint64) []Action {
	if it, ok := s.queue.Cancel(id); ok {
		s.waiting--
		return []Action{refuse(&it, errCancelled, 0)}
	}
	for i := range s.held {
		if it := s.held[i].item; it.ID == id {
			s.held = append(s.held[:i], s.held[i+1:]...)
			s.waiting--
			return []Action{refuse(&it, errCancelled, 0)}
		}
	}
	for i := range s.grants {
		if g := &s.grants[i]; g.state == grantRunning && g.request.ID == id && !g.cancelled {
			g.cancelled = true
			return []Action{CancelRun{Grant: uint64(g.generation)<<32 | uint64(i+1)}}
		}
	}
	return nil
}
