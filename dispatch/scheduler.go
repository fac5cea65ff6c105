// Package dispatch owns the slots of backend servers. A Scheduler exists per service
// and instance: it sends requests to the servers that the instance owns, counts the
// busy slots exactly, and takes servers over from other instances without an overrun.
// A Chooser picks the dispatcher that a request is sent to.
package dispatch

import (
	"math"
	"time"

	"github.com/monsoonthread/monsoonthread/admission"
	"github.com/monsoonthread/monsoonthread/backend"
	"github.com/monsoonthread/monsoonthread/config"
	"github.com/monsoonthread/monsoonthread/peer/peerpb"
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

// expectsCapacity reports whether an assigned server can become usable by itself.
func (s *Scheduler) expectsCapacity() bool {
	for _, v := range s.owned {
		if v.life.State() != backend.Draining {
			return true
		}
	}
	return false
}

// takeoverPending reports whether a server is not dispatched yet.
func (s *Scheduler) takeoverPending() bool {
	for _, v := range s.owned {
		if v.role != owner {
			return true
		}
	}
	return false
}

// estimate describes the present capacity to the queue.
func (s *Scheduler) estimate(now time.Time) admission.Estimate {
	if s.total > 0 {
		return admission.Estimate{Rate: s.rate, ServiceTime: seconds(s.fastest)}
	}
	delay := time.Duration(math.MaxInt64 / 4)
	rate := 0.0
	for _, v := range s.owned {
		if v.life.State() == backend.Draining {
			continue
		}
		rate += float64(v.cfg.Slots) / v.life.ServiceTime().Seconds()
		switch v.role {
		case asking:
			delay = min(delay, s.cfg.HandoverTimeout)
		case quarantined:
			delay = min(delay, v.until.Sub(now))
		case owner: // between probes, or after shed answers
			delay = min(delay, backend.DefaultShedRecovery)
		}
	}
	return admission.Estimate{Rate: rate, Delay: delay, ServiceTime: seconds(s.fastest)}
}

// dispatch gives free slots to waiting requests, in their order.
func (s *Scheduler) dispatch(out []Action, now time.Time) []Action {
	if s.waiting == 0 {
		return out
	}
	out = s.expire(out, now)
	if len(s.held) > 0 && len(s.ready) > 0 {
		out = s.dispatchHeld(out, now)
	}
	for s.anyReady(now) {
		it, ok := s.queue.Next(now)
		if !ok {
			break
		}
		v, possible := s.place(now, &it)
		switch {
		case v != nil:
			s.waiting--
			s.queue.Granted(it.Class)
			out = s.grant(out, now, v, it)
		case possible && len(s.held) < s.cfg.MaxHeld:
			s.held = append(s.held, held{item: it})
		case possible:
			s.queue.Requeue(it)
			return out
		default:
			s.waiting--
			out = append(out, refuse(&it, errDeadlineUnmet, 0))
		}
	}
	return out
}

func (s *Scheduler) dispatchHeld(out []Action, now time.Time) []Action {
	kept := s.held[:0]
	for i := range s.held {
		it := &s.held[i].item
		if len(s.ready) == 0 || s.moreUrgentQueued(it.Class) {
			kept = append(kept, s.held[i])
			continue
		}
		v, possible := s.place(now, it)
		switch {
		case v != nil:
			s.waiting--
			s.queue.Granted(it.Class)
			out = s.grant(out, now, v, *it)
		case possible:
			kept = append(kept, s.held[i])
		default:
			s.waiting--
			out = append(out, refuse(it, errDeadlineUnmet, 0))
		}
	}
	clear(s.held[len(kept):])
	s.held = kept
	return out
}

// moreUrgentQueued reports whether a request of a more urgent class is queued. A
// request that waits for a particular server does not go before it.
func (s *Scheduler) moreUrgentQueued(c config.Class) bool {
	for more := range c {
		if s.queue.ClassLen(more) > 0 {
			return true
		}
	}
	return false
}

// place returns the server whose free slot the request takes now. Without one,
// possible reports whether waiting for another server can meet the deadline.
//
// Free servers are taken in the order of the slot time that they were used for, so
// that each is busy for the same share of the time. A slot of a slow server stays idle
// for a request whose deadline only a faster one can meet.
func (s *Scheduler) place(now time.Time, it *admission.Item) (v *server, possible bool) {
	left := it.Deadline.Sub(now)
	exclude := s.excluded(it)
	if it.Preferred != "" {
		p := s.servers[it.Preferred]
		if p != nil && p != exclude && p.usable() && left >= p.life.ServiceTime() {
			if p.free > 0 {
				return p, true
			}
			// Waiting longer than for two completions costs more than fetching the
			// representation again from another server.
			if now.Sub(it.Arrived) < 2*p.life.Completion() && left >= 2*p.life.Completion() {
				return nil, true
			}
		}
	}
	suits := func(v *server) bool {
		return v != exclude && !s.resting(now, v) && (it.Context&contextIdempotent != 0 || !v.idempotentOnly())
	}
	if len(s.ready) > 0 {
		if v := s.ready[0]; suits(v) && left >= v.life.Completion() {
			return v, true
		}
	}
	var best, quickest *server
	for _, v := range s.ready {
		if !suits(v) {
			continue
		}
		if left >= v.life.Completion() && (best == nil || v.busy < best.busy) {
			best = v
		}
		if quickest == nil || v.life.ServiceTime() < quickest.life.ServiceTime() {
			quickest = v
		}
	}
	if best != nil {
		return best, true
	}
	for _, v := range s.owned {
		if v.usable() && v.free == 0 && suits(v) {
			// A slot of a busy server is free after its service time over its slots.
			wait := v.life.ServiceTime() / time.Duration(max(v.limit, 1))
			if left >= wait+v.life.Completion() {
				return nil, true
			}
		}
	}
	if quickest != nil && left >= quickest.life.ServiceTime() {
		return quickest, true
	}
	return nil, false
}

// anyReady reports whether a free slot may be used.
func (s *Scheduler) anyReady(now time.Time) bool {
	for _, v := range s.ready {
		if !s.resting(now, v) {
			return true
		}
	}
	return false
}

// resting reports whether the free slots of a slow server stay idle for now. A slow
// server becomes free rarely, so it would be used each time that all others are busy
// and be busy for a larger share of the time than they are. While it is ahead, a
// request waits for another server if it ends earlier there. A long queue or a
// standstill of the others ends the rest, so that no slot is idle at saturation.
func (s *Scheduler) resting(now time.Time, v *server) bool {
	// A server in another state is tried as soon as its turn comes.
	if s.usableServers < 2 || v.life.State() != backend.Active {
		return false
	}
	service := v.life.ServiceTime().Seconds()
	lead := v.busy - s.busySum/float64(s.usableServers)
	if lead < maxLead+service/float64(v.cfg.Slots) {
		return false
	}
	others := s.rate - v.rate
	otherSlots := float64(s.total - v.limit)
	wait := float64(s.waiting+1)/others + otherSlots/others
	return wait < service && now.Sub(s.lastFinish).Seconds() < service
}

// excluded returns the server that shed the request last.
func (s *Scheduler) excluded(it *admission.Item) *server {
	if i := it.Context >> excludeShift; i != 0 && int(i) <= len(s.owned) {
		return s.owned[i-1]
	}
	return nil
}

// grant sends the request to a server with a free slot.
func (s *Scheduler) grant(out []Action, now time.Time, v *server, it admission.Item) []Action {
	switch {
	case v.role != owner:
		Violations.report(ViolationNotOwner, v.cfg.Name)
	case v.occupied() >= v.life.Slots():
		Violations.report(ViolationOverrun, v.cfg.Name)
	case v.life.State() == backend.Draining:
		Violations.report(ViolationLeaving, v.cfg.Name)
	}
	var i uint32
	if n := len(s.freeSlots); n > 0 {
		i = s.freeSlots[n-1]
		s.freeSlots = s.freeSlots[:n-1]
	} else {
		i = uint32(len(s.grants))
		s.grants = append(s.grants, grant{})
	}
	g := &s.grants[i]
	g.generation++
	g.request = Request{Item: it, Idempotent: it.Context&contextIdempotent != 0}
	g.server, g.started, g.state, g.cancelled = v, now, grantRunning, false
	g.expected = v.life.ServiceTime().Seconds() / float64(v.life.Slots())
	s.virtual = max(s.virtual, v.busy)
	s.setBusy(v, v.busy+g.expected)
	v.running++
	s.running++
	v.life.Granted(now)
	s.refresh(now, v)
	run := Run{Grant: uint64(g.generation)<<32 | uint64(i+1), Server: v.cfg, Request: g.request}
	run.Request.Context = 0
	return append(out, run)
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

// Health records an answer of a server's health or load endpoint.
func (s *Scheduler) Health(now time.Time, name string, h backend.Health) []Action {
	if h == backend.HealthDraining {
		return s.Leave(now, name, backend.NoticeHealth)
	}
	v := s.servers[name]
	if v == nil {
		return nil
	}
	v.life.Health(now, h)
	return s.settle(nil, now, v)
}

// Leave stops new work for a server at once. The notice is kept for servers that
// this instance does not own yet.
func (s *Scheduler) Leave(now time.Time, name string, source backend.NoticeSource) []Action {
	if _, known := s.leaving[name]; known {
		return nil
	}
	s.leaving[name] = source
	v := s.servers[name]
	if v == nil {
		return nil
	}
	v.life.Leave(now, source)
	out := []Action{Event{Name: "server_leaving", Server: name, Fields: []string{"source=" + source.String()}}}
	out = s.settle(out, now, v)
	return s.refuseStranded(out)
}

// Return reverses Leave.
func (s *Scheduler) Return(now time.Time, name string) []Action {
	delete(s.leaving, name)
	v := s.servers[name]
	if v == nil {
		return nil
	}
	v.life.Return(now)
	return s.settle(nil, now, v)
}

// refuseStranded refuses what waits when no server can run it any more.
func (s *Scheduler) refuseStranded(out []Action) []Action {
	switch {
	case len(s.owned) == 0:
		return s.refuseWaiting(out, errNotDispatcher)
	case s.total == 0 && !s.expectsCapacity():
		return s.refuseWaiting(out, errNoBackendServer)
	}
	return out
}

// refuseWaiting refuses everything that waits.
func (s *Scheduler) refuseWaiting(out []Action, err *result.Error) []Action {
	for _, it := range s.queue.Clear() {
		out = append(out, refuse(&it, err, 0))
	}
	for i := range s.held {
		out = append(out, refuse(&s.held[i].item, err, 0))
	}
	clear(s.held)
	s.held = s.held[:0]
	s.waiting = 0
	return out
}

// answerMargin is the time that a refusal needs to reach the caller before the deadline.
const answerMargin = 20 * time.Millisecond

// expire refuses the waiting requests whose deadline can no longer be met. Refused at
// the deadline itself, they ended without an answer at the caller: 29% of a flood of
// bulk requests in lab run flood-least-urgent.
func (s *Scheduler) expire(out []Action, now time.Time) []Action {
	for _, it := range s.queue.Expire(now.Add(seconds(s.fastest) + answerMargin)) {
		s.waiting--
		out = append(out, refuse(&it, errDeadlineUnmet, s.retryAfter()))
	}
	if len(s.held) == 0 {
		return out
	}
	kept := s.held[:0]
	for i := range s.held {
		if it := &s.held[i].item; now.Before(it.Deadline) {
			kept = append(kept, s.held[i])
		} else {
			s.waiting--
			out = append(out, refuse(it, errDeadlineUnmet, s.retryAfter()))
		}
	}
	clear(s.held[len(kept):])
	s.held = kept
	return out
}

// Drain stops accepting requests. What waits is refused as not run, what runs ends.
func (s *Scheduler) Drain(time.Time) []Action {
	s.draining = true
	return s.refuseWaiting(nil, errShuttingDown)
}

// Running returns the number of slots that own requests occupy.
func (s *Scheduler) Running() int { return s.running }

// Queued returns the number of waiting requests.
func (s *Scheduler) Queued() int { return s.waiting }

// Tick handles everything that happens by time alone; call it every 10 ms.
func (s *Scheduler) Tick(now time.Time) []Action {
	var out []Action
	out = s.endGhosts(out, now)
	out = s.endUnfinished(out, now)
	out = s.tickTakeover(out, now)
	s.watch, s.watching = s.watching[:0], s.watch
	for _, v := range s.watching {
		v.watched = false
		v.expireForeign(now)
		out = s.refreshed(out, now, v)
	}
	if now.Sub(s.recounted) >= recountInterval {
		s.recount(now)
	}
	out = s.expire(out, now)
	out = s.dispatch(out, now)
	if s.waiting != s.queue.Len()+len(s.held) {
		Violations.report(ViolationAccounting, "")
		s.waiting = s.queue.Len() + len(s.held)
	}
	return out
}

// endGhosts frees the slots of unanswered requests whose deadline has passed.
func (s *Scheduler) endGhosts(out []Action, now time.Time) []Action {
	kept := s.ghosts[:0]
	for _, i := range s.ghosts {
		if now.Before(s.slotEnd(&s.grants[i])) {
			kept = append(kept, i)
			continue
		}
		v := s.grants[i].server
		out = s.endGrant(out, now, i)
		out = s.refreshed(out, now, v)
	}
	s.ghosts = kept
	return out
}

// endUnfinished frees slots whose Finish never came, a few entries per call.
func (s *Scheduler) endUnfinished(out []Action, now time.Time) []Action {
	const perCall = 64
	for n := 0; n < min(perCall, len(s.grants)); n++ {
		s.sweep = (s.sweep + 1) % len(s.grants)
		g := &s.grants[s.sweep]
		if g.state != grantRunning || now.Before(s.slotEnd(g).Add(finishGrace)) {
			continue
		}
		v := g.server
		Violations.report(ViolationUnfinished, v.cfg.Name)
		out = s.endGrant(out, now, uint32(s.sweep))
		out = s.refreshed(out, now, v)
	}
	return out
}

// refreshed refreshes the server, reports a change of its state, and applies the
// panic level.
func (s *Scheduler) refreshed(out []Action, now time.Time, v *server) []Action {
	s.refresh(now, v)
	state := v.life.State()
	if state == v.seen {
		return out
	}
	if v.assigned {
		out = append(out, Event{Name: "server_state", Server: v.cfg.Name,
			Fields: []string{"from=" + v.seen.String(), "to=" + state.String()}})
	}
	ejection := state == backend.Out || v.seen == backend.Out
	v.seen = state
	if ejection {
		s.applyPanic(now)
	}
	return out
}

// applyPanic uses ejected servers when more than the panic share is ejected.
func (s *Scheduler) applyPanic(now time.Time) {
	states := make([]backend.State, len(s.owned))
	for i, v := range s.owned {
		states[i] = v.life.State()
	}
	for i, usable := range backend.PanicFilter(states, s.cfg.PanicShare) {
		v := s.owned[i]
		panicking := usable && states[i] == backend.Out
		if v.panicking != panicking {
			v.panicking = panicking
			s.refresh(now, v)
		}
	}
}

// refresh recomputes what depends on a server's usable slots.
func (s *Scheduler) refresh(now time.Time, v *server) {
	limit := 0
	if v.role == owner {
		limit = v.life.Limit(now)
		if v.panicking {
			limit = max(limit, 1)
		}
	}
	rate := float64(limit) / v.life.ServiceTime().Seconds()
	free := max(0, limit-v.occupied())
	s.total += limit - v.limit
	s.free += free - v.free
	s.rate += rate - v.rate
	if usable := limit > 0; usable != (v.limit > 0) {
		// A server that could not be used does not catch up all of it.
		s.setBusy(v, max(v.busy, s.virtual-maxLag))
		if usable {
			s.usableServers++
			s.busySum += v.busy
		} else {
			s.usableServers--
			s.busySum -= v.busy
		}
	}
	v.limit, v.free, v.rate = limit, free, rate
	s.ready.update(v)
	if !v.watched && v.role != released && (len(v.foreign) > 0 || v.life.Unsettled()) {
		v.watched = true
		s.watch = append(s.watch, v)
	}
}

// setBusy changes the slot time that orders the server.
func (s *Scheduler) setBusy(v *server, busy float64) {
	if v.limit > 0 {
		s.busySum += busy - v.busy
	}
	v.busy = busy
}

// recount recomputes the incremental sums and checks those that must be exact.
func (s *Scheduler) recount(now time.Time) {
	s.recounted = now
	rate, busy, fastest, total, free, running := 0.0, 0.0, math.Inf(1), 0, 0, 0
	for name, v := range s.servers {
		running += v.running
		if !v.assigned && v.running == 0 && !v.watched && now.Sub(v.lostAt) > releasedMemory+s.svc.MaxDeadline.Duration() {
			delete(s.servers, name)
		}
	}
	for _, v := range s.owned {
		rate += v.rate
		total += v.limit
		free += v.free
		if v.usable() {
			busy += v.busy
			fastest = min(fastest, v.life.ServiceTime().Seconds())
		}
	}
	if total != s.total || free != s.free || running != s.running {
		Violations.report(ViolationAccounting, "")
	}
	s.rate, s.busySum, s.total, s.free = rate, busy, total, free
	s.fastest = 0
	if !math.IsInf(fastest, 1) {
		s.fastest = fastest
	}
}

// Summary returns the load that the choosers of other instances use.
func (s *Scheduler) Summary(now time.Time) *peerpb.Summary {
	s.seq++
	sum := &peerpb.Summary{ServiceId: s.svc.ID, Queued: uint32(s.waiting), Seq: s.seq}
	if s.fenced || s.draining {
		return sum
	}
	sum.TotalSlots = uint32(s.total)
	sum.ServiceRateMilli = uint32(min(s.rate*1000, math.MaxUint32))
	switch {
	case s.total == 0:
		est := s.estimate(now)
		sum.ExpectedWaitMs = uint32(min(est.Delay.Milliseconds(), math.MaxUint32))
	case s.waiting < s.free:
		sum.FreeSlots = uint32(s.free - s.waiting)
	default:
		sum.ExpectedWaitMs = uint32(float64(s.waiting+1) / s.rate * 1000)
	}
	return sum
}

// Status describes the servers that this instance knows.
func (s *Scheduler) Status(time.Time) []*peerpb.ServerStatus {
	var list []*peerpb.ServerStatus
	for _, v := range s.servers {
		list = append(list, &peerpb.ServerStatus{
			Name: v.cfg.Name, Service: s.svc.Name, State: v.life.State().String(), Role: v.role.String(),
			Running: uint32(v.occupied()), Slots: uint32(v.cfg.Slots), Queued: uint32(s.waiting),
		})
	}
	return list
}

func refuse(it *admission.Item, err *result.Error, after time.Duration) Action {
	return Refuse{ID: it.ID, Err: err, RetryAfter: after, Payload: it.Payload}
}

func seconds(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }
