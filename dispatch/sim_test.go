package dispatch

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/monsoonthread/monsoonthread/admission"
	"github.com/monsoonthread/monsoonthread/backend"
	"github.com/monsoonthread/monsoonthread/config"
	"github.com/monsoonthread/monsoonthread/result"
)

// event is a function that runs at a simulated time.
type event struct {
	at  time.Time
	seq int
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(a, b int) bool {
	return h[a].at.Before(h[b].at) || h[a].at.Equal(h[b].at) && h[a].seq < h[b].seq
}
func (h eventHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}

// model runs schedulers, choosers and backend servers in simulated time.
type model struct {
	now           time.Time
	rng           *rand.Rand
	events        eventHeap
	seq           int
	svc           config.Service
	instances     []*simInstance
	byID          map[string]*simInstance
	servers       map[string]*modelServer
	owner         map[string]string // server -> instance
	view          uint64
	requests      map[uint64]*modelRequest
	overruns      int
	falseRefusals int // requests refused as not executed that were executed
	attempts      int
	eventCounts   map[string]int // by Event.Name
	retry         bool           // callers retry a refused request once
	onDone        func(*modelRequest)
	onGrant       func(server string) // observes each Run
}

type simInstance struct {
	m       *model
	id      string
	sched   *Scheduler
	chooser *Chooser
	dead    bool
}

// modelServer simulates a backend server. Its service time is the demand of the request
// divided by speed.
type modelServer struct {
	cfg        config.BackendServer
	speed      float64
	hang, shed bool // hang: accepts requests and never answers; shed: refuses them
	running    int
	busy       time.Duration
}

type modelRequest struct {
	Request
	entry         *simInstance
	sent, started time.Time
	executed      int
	finished      bool // answered with success
	tried         []string
}

const (
	meanDemand = 80 * time.Millisecond // at speed 1
	latency    = time.Millisecond      // one way
	// transit is the mean time that a slot is busy while the request or its response is
	// in transit.
	transit = latency * 5 / 2
)

func newModel(seed uint64, instances int, speeds []float64, policy Policy) *model {
	m := &model{
		now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(seed, 1)), byID: map[string]*simInstance{},
		servers: map[string]*modelServer{}, requests: map[uint64]*modelRequest{}, eventCounts: map[string]int{},
		svc: config.Service{ID: 1, Name: "s", MaxDeadline: 4000, MinShares: [config.NumClasses]uint32{0, 30, 10}},
	}
	for i, speed := range speeds {
		b := config.BackendServer{Name: fmt.Sprintf("b%02d", i), Slots: 2, Weight: 100}
		m.servers[b.Name] = &modelServer{cfg: b, speed: speed}
		m.svc.BackendServers = append(m.svc.BackendServers, b)
	}
	for i := range instances {
		n := &simInstance{m: m, id: fmt.Sprintf("i%d", i), sched: NewScheduler(Config{}, m.svc, m.now),
			chooser: NewChooser(ChooserConfig{Policy: policy}, rand.New(rand.NewPCG(seed, uint64(i+2))))}
		m.instances = append(m.instances, n)
		m.byID[n.id] = n
		m.every(10*time.Millisecond, func() { n.ifAlive(func() { n.perform(n.sched.Tick(m.now)) }) })
		// Give the summary timers of the instances random phases.
		m.after(time.Duration(m.rng.IntN(100))*time.Millisecond, func() { m.every(100*time.Millisecond, n.sendSummary) })
	}
	m.assignRoundRobin(0)
	m.run(50 * time.Millisecond)
	return m
}

func (m *model) after(d time.Duration, f func()) {
	m.seq++
	heap.Push(&m.events, event{m.now.Add(d), m.seq, f})
}

func (m *model) every(d time.Duration, f func()) {
	m.after(d, func() { f(); m.every(d, f) })
}

func (m *model) run(d time.Duration) {
	end := m.now.Add(d)
	for !m.events[0].at.After(end) {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		e.run()
	}
	m.now = end
}

// assign distributes a new view with the given owner of each server. The current owner
// becomes Previous.
func (m *model) assign(owners map[string]string) {
	m.view++
	version, old := m.view, m.owner
	m.owner = owners
	var ids []string
	lists := map[*simInstance][]Assignment{}
	for _, b := range m.svc.BackendServers {
		a := Assignment{Server: m.servers[b.Name].cfg, Previous: old[b.Name]}
		if a.Previous == owners[b.Name] {
			a.Previous = ""
		}
		n := m.byID[owners[b.Name]]
		lists[n] = append(lists[n], a)
	}
	for _, n := range m.instances {
		if !n.dead {
			ids = append(ids, n.id)
		}
		// Views arrive at different times.
		m.after(time.Duration(m.rng.IntN(20))*time.Millisecond, func() {
			n.ifAlive(func() {
				n.perform(n.sched.SetAssignments(m.now, lists[n], version))
				n.chooser.SetCandidates(m.svc.ID, ids)
			})
		})
	}
}

// assignRoundRobin assigns the servers to the live instances in turn, starting at offset.
func (m *model) assignRoundRobin(offset int) {
	owners := map[string]string{}
	live := slices.DeleteFunc(slices.Clone(m.instances), func(n *simInstance) bool { return n.dead })
	for i, b := range m.svc.BackendServers {
		owners[b.Name] = live[(i+offset)%len(live)].id
	}
	m.assign(owners)
}

func (n *simInstance) ifAlive(f func()) {
	if !n.dead {
		f()
	}
}

// sendSummary sends the load summary to all instances.
func (n *simInstance) sendSummary() {
	sum := n.sched.Summary(n.m.now)
	for _, to := range n.m.instances {
		n.m.after(latency, func() { n.ifAlive(func() { to.chooser.Observe(n.m.now, n.id, sum) }) })
	}
}

// perform carries out the actions of a scheduler.
func (n *simInstance) perform(actions []Action) {
	m := n.m
	for _, a := range actions {
		switch a := a.(type) {
		case Run:
			m.attempts++
			if m.onGrant != nil {
				m.onGrant(a.Server.Name)
			}
			// The network latency of requests varies.
			m.after(latency+time.Duration(m.rng.IntN(int(latency))), func() { m.arrive(n, a) })
		case Refuse:
			m.after(latency, func() { m.handleRefusal(n, a) })
		case Event:
			m.eventCounts[a.Name]++
		case SendHandoverRequest:
			to := m.byID[a.To]
			m.after(latency, func() {
				to.ifAlive(func() {
					acts, reply := to.sched.HandleHandoverRequest(m.now, n.id, a.Servers)
					to.perform(acts)
					m.after(latency, func() { n.ifAlive(func() { n.perform(n.sched.HandleHandoverReply(m.now, to.id, reply)) }) })
				})
			})
		case SendHandoverDone:
			to := m.byID[a.To]
			m.after(latency, func() { to.ifAlive(func() { to.perform(to.sched.HandleHandoverDone(m.now, a.Server, a.Ended)) }) })
		}
	}
}

// arrive executes a request at a backend server.
func (m *model) arrive(n *simInstance, a Run) {
	b, r := m.servers[a.Server.Name], m.requests[a.Request.ID]
	sent := m.now.Add(-latency)
	finish := func(after time.Duration, o backend.Outcome) {
		m.after(after+latency, func() {
			n.ifAlive(func() {
				if o == backend.Success {
					r.finished = true
					m.deliverAnswer(n, r)
				}
				n.perform(n.sched.Finish(m.now, a.GrantID, o, m.now.Sub(sent)))
			})
		})
	}
	full := b.running >= b.cfg.Slots
	if full {
		m.overruns++
	}
	if b.shed || full {
		finish(0, backend.Shed)
		return
	}
	b.running++
	r.executed++
	r.started = m.now
	left := a.Request.Deadline.Sub(m.now)
	demand := meanDemand/2 + time.Duration(m.rng.ExpFloat64()*float64(meanDemand)/2)
	took, releaseDelay := time.Duration(float64(demand)/b.speed), time.Duration(0)
	if b.hang || took >= left {
		// The server abandons the request at its deadline, measured from receipt.
		took, releaseDelay = left, latency
		finish(left-2*latency, backend.Timeout)
	} else {
		finish(took, backend.Success)
	}
	m.after(took+releaseDelay, func() { b.running--; b.busy += took })
}

// deliverAnswer delivers a response with a load summary to the entry instance.
func (m *model) deliverAnswer(n *simInstance, r *modelRequest) {
	sum := n.sched.Summary(m.now)
	m.after(latency, func() {
		r.entry.chooser.Observe(m.now, n.id, sum)
		if m.onDone != nil {
			m.onDone(r)
		}
	})
}

func (m *model) handleRefusal(n *simInstance, a Refuse) {
	r := m.requests[a.ID]
	if a.Err.Code.NotExecuted() && r.executed > 0 {
		m.falseRefusals++
	}
	tryOtherInstance := a.Err.Code == result.NotDispatcher || a.Err.Code == result.TakeoverPending
	if (tryOtherInstance || m.retry && !r.Retry) && len(r.tried) < len(m.instances) {
		r.Retry = r.Retry || !tryOtherInstance
		m.send(r)
		return
	}
	m.deliverAnswer(n, r)
}

// submit sends a new request from a random entry instance.
func (m *model) submit(class config.Class, caller uint64, deadline time.Duration) {
	r := &modelRequest{sent: m.now, Request: Request{Idempotent: true, Item: admission.Item{
		ID: uint64(len(m.requests)), Class: class, CallerHash: caller, Deadline: m.now.Add(deadline), Arrived: m.now,
	}}}
	for r.entry == nil || r.entry.dead {
		r.entry = m.instances[m.rng.IntN(len(m.instances))]
	}
	m.requests[r.ID] = r
	m.send(r)
}

func (m *model) send(r *modelRequest) {
	if id, ok := r.entry.chooser.Choose(m.now, m.svc.ID, r.tried); ok {
		r.entry.chooser.Sent(m.svc.ID, id)
		r.tried = append(r.tried, id)
		to := m.byID[id]
		m.after(latency, func() { to.ifAlive(func() { to.perform(to.sched.Submit(m.now, r.Request)) }) })
	}
}

// load submits requests as a Poisson process with the given mean rate for the duration
// until, from callers numbered from first.
func (m *model) load(class config.Class, rate float64, first, callers uint64, deadline, until time.Duration) {
	end := m.now.Add(until)
	var next func()
	next = func() {
		if m.now.Before(end) {
			m.submit(class, first+m.rng.Uint64N(callers), deadline)
			m.after(time.Duration(m.rng.ExpFloat64()/rate*float64(time.Second)), next)
		}
	}
	m.after(0, next)
}

// capacity returns the requests per second that all slots together complete.
func (m *model) capacity() (total float64) {
	for _, c := range m.svc.BackendServers {
		total += float64(c.Slots) / (meanDemand.Seconds()/m.servers[c.Name].speed + transit.Seconds())
	}
	return total
}

// measurement is the result of one run at constant load.
type measurement struct {
	utilization []float64 // busy share of each server's slots
	p99Wait     time.Duration
	refused     int
}

// measure loads the model with the given share of its capacity and measures for d,
// after 4 s in which the service times are learned.
func (m *model) measure(share float64, d time.Duration) (r measurement) {
	const warmUp = 4 * time.Second
	m.load(config.Normal, share*m.capacity(), 0, 100, 4*time.Second, warmUp+d)
	m.run(warmUp)
	var waits []time.Duration
	m.onDone = func(q *modelRequest) {
		if q.finished {
			waits = append(waits, q.started.Sub(q.sent))
		} else {
			r.refused++
		}
	}
	before := map[string]time.Duration{}
	for name, b := range m.servers {
		before[name] = b.busy
	}
	m.run(d)
	for _, c := range m.svc.BackendServers {
		b := m.servers[c.Name]
		// The time in transit does not count as capacity.
		service := meanDemand.Seconds() / b.speed
		capacity := d.Seconds() * float64(c.Slots) * service / (service + transit.Seconds())
		r.utilization = append(r.utilization, (b.busy-before[c.Name]).Seconds()/capacity)
	}
	slices.Sort(waits)
	r.p99Wait = waits[len(waits)*99/100]
	return r
}

// imbalance returns the ratio of the maximum to the mean.
func imbalance(u []float64) float64 { return slices.Max(u) / mean(u) }

func mean(u []float64) (m float64) {
	for _, x := range u {
		m += x / float64(len(u))
	}
	return m
}

// speedsUpTo8 returns n evenly spaced speeds from 1 to 8.
func speedsUpTo8(n int) []float64 {
	s := make([]float64, n)
	for i := range s {
		s[i] = 1 + 7*float64(i)/float64(n-1)
	}
	return s
}
