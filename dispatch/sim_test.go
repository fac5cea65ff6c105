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
	e := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return e
}

// model runs schedulers, choosers and backend servers in simulated time.
type model struct {
	now      time.Time
	rng      *rand.Rand
	events   eventHeap
	seq      int
	latency  time.Duration
	svc      config.Service
	nodes    []*node
	servers  map[string]*modelServer
	owner    map[string]string // server -> instance
	view     uint64
	requests map[uint64]*modelRequest
	nextID   uint64
	overruns int
	falsely  int // refused as not run, but executed
	attempts int
	refusals map[result.Code]int
	done     func(*modelRequest)
	granted  func(server string) // observes each Run
	reported map[string]int      // Event name -> count
	// retry, if set, makes callers repeat a refused request once.
	retry bool
}

type node struct {
	m       *model
	id      string
	sched   *Scheduler
	chooser *Chooser
	dead    bool
}

// modelServer executes requests; its service time is the request's demand over speed.
type modelServer struct {
	cfg      config.BackendServer
	speed    float64
	hang     bool // accepts, but does not answer
	shed     bool
	running  int
	executed int
	busy     time.Duration
}

type modelRequest struct {
	Request
	entry    *node
	sent     time.Time
	executed int
	started  time.Time
	finished bool // answered with success
	refused  bool
	server   string
	tried    []string
}

const meanDemand = 80 * time.Millisecond // at speed 1

func newModel(seed uint64, instances int, speeds []float64, cfg Config, policy Policy) *model {
	m := &model{
		now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(seed, 1)), latency: time.Millisecond,
		servers: map[string]*modelServer{}, owner: map[string]string{}, requests: map[uint64]*modelRequest{},
		refusals: map[result.Code]int{}, reported: map[string]int{},
		svc: config.Service{ID: 1, Name: "s", MaxDeadline: 4000, MinShares: [config.NumClasses]uint32{0, 30, 10}},
	}
	for i, speed := range speeds {
		b := config.BackendServer{Name: fmt.Sprintf("b%02d", i), Slots: 2, Weight: 100}
		m.servers[b.Name] = &modelServer{cfg: b, speed: speed}
		m.svc.BackendServers = append(m.svc.BackendServers, b)
	}
	for i := range instances {
		n := &node{m: m, id: fmt.Sprintf("i%d", i)}
		n.sched = NewScheduler(cfg, m.svc, m.now)
		n.chooser = NewChooser(ChooserConfig{Policy: policy}, rand.New(rand.NewPCG(seed, uint64(i+2))))
		m.nodes = append(m.nodes, n)
	}
	m.every(10*time.Millisecond, func() {
		for _, n := range m.nodes {
			if !n.dead {
				n.do(n.sched.Tick(m.now))
			}
		}
	})
	for _, n := range m.nodes {
		// The timers of the instances are not in phase.
		m.after(time.Duration(m.rng.IntN(100))*time.Millisecond, func() { m.every(100*time.Millisecond, n.sendSummary) })
	}
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
	for len(m.events) > 0 && !m.events[0].at.After(end) {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		e.run()
	}
	m.now = end
}

// sendSummary sends the summary to all instances.
func (n *node) sendSummary() {
	if n.dead {
		return
	}
	sum := n.sched.Summary(n.m.now)
	for _, to := range n.m.nodes {
		n.m.after(n.m.latency, func() { to.chooser.Observe(n.m.now, n.id, sum) })
	}
}

// assign changes the view: the owner of each server. Previous is the present owner.
func (m *model) assign(owners map[string]string) {
	m.view++
	ids := make([]string, 0, len(m.nodes))
	for _, n := range m.nodes {
		if !n.dead {
			ids = append(ids, n.id)
		}
	}
	old := m.owner
	m.owner = owners
	for _, n := range m.nodes {
		var list []Assignment
		for _, b := range m.svc.BackendServers {
			if owners[b.Name] == n.id {
				previous := old[b.Name]
				if previous == n.id {
					previous = ""
				}
				list = append(list, Assignment{Server: m.servers[b.Name].cfg, Previous: previous})
			}
		}
		version := m.view
		// Views arrive at different times.
		m.after(time.Duration(m.rng.IntN(20))*time.Millisecond, func() {
			if !n.dead {
				n.do(n.sched.SetOwned(m.now, list, version))
				n.chooser.SetCandidates(m.svc.ID, ids)
			}
		})
	}
}

// spread assigns the servers to the live instances in turn, from an offset on.
func (m *model) spread(offset int) {
	owners := map[string]string{}
	var live []*node
	for _, n := range m.nodes {
		if !n.dead {
			live = append(live, n)
		}
	}
	for i, b := range m.svc.BackendServers {
		owners[b.Name] = live[(i+offset)%len(live)].id
	}
	m.assign(owners)
}

func (m *model) node(id string) *node {
	for _, n := range m.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

// do performs the actions of a scheduler.
func (n *node) do(actions []Action) {
	m := n.m
	for _, a := range actions {
		switch a := a.(type) {
		case Run:
			m.attempts++
			if m.granted != nil {
				m.granted(a.Server.Name)
			}
			// The path of a request is not always equally fast.
			m.after(m.latency+time.Duration(m.rng.IntN(int(m.latency))), func() { m.arrive(n, a) })
		case Refuse:
			m.after(m.latency, func() { m.refused(n, a) })
		case Event:
			m.reported[a.Name]++
		case AskHandover:
			to := m.node(a.To)
			m.after(m.latency, func() {
				if to == nil || to.dead {
					return
				}
				acts, reply := to.sched.HandoverRequest(m.now, n.id, a.Servers)
				to.do(acts)
				m.after(m.latency, func() { n.alive(func() { n.do(n.sched.HandoverReply(m.now, to.id, reply)) }) })
			})
		case SendHandoverDone:
			to := m.node(a.To)
			m.after(m.latency, func() { to.alive(func() { to.do(to.sched.HandoverDone(m.now, a.Server, a.Ended)) }) })
		}
	}
}

func (n *node) alive(f func()) {
	if n != nil && !n.dead {
		f()
	}
}

// arrive executes a request at a backend server.
func (m *model) arrive(n *node, a Run) {
	b := m.servers[a.Server.Name]
	r := m.requests[a.Request.ID]
	finish := func(after time.Duration, o backend.Outcome, f func()) {
		sent := m.now.Add(-m.latency)
		m.after(after+m.latency, func() {
			n.alive(func() { f(); n.do(n.sched.Finish(m.now, a.Grant, o, m.now.Sub(sent))) })
		})
	}
	if b.running >= b.cfg.Slots {
		m.overruns++
	}
	if b.shed || b.running >= b.cfg.Slots {
		finish(0, backend.Shed, func() {})
		return
	}
	b.running++
	b.executed++
	r.executed++
	r.started, r.server = m.now, a.Server.Name
	left := a.Request.Deadline.Sub(m.now)
	demand := time.Duration(m.rng.ExpFloat64() * float64(meanDemand) / 2)
	took := time.Duration(float64(demand+meanDemand/2) / b.speed)
	if b.hang || took >= left {
		// The server abandons the request at its deadline, counted from its receipt.
		m.after(left+m.latency, func() { b.running--; b.busy += left })
		finish(left-2*m.latency, backend.Timeout, func() {})
		return
	}
	m.after(took, func() { b.running--; b.busy += took })
	finish(took, backend.Success, func() {
		r.finished = true
		sum := n.sched.Summary(m.now)
		m.after(m.latency, func() {
			r.entry.chooser.Observe(m.now, n.id, sum)
			if m.done != nil {
				m.done(r)
			}
		})
	})
}

func (m *model) refused(n *node, a Refuse) {
	r := m.requests[a.ID]
	m.refusals[a.Err.Code]++
	if a.Err.Code.NotRun() && r.executed > 0 {
		m.falsely++
	}
	r.entry.chooser.Observe(m.now, n.id, n.sched.Summary(m.now))
	elsewhere := a.Err.Code == result.NotDispatcher || a.Err.Code == result.TakeoverPending
	if (elsewhere || m.retry && !r.Retry) && len(r.tried) < len(m.nodes) {
		r.Retry = r.Retry || !elsewhere
		m.send(r)
		return
	}
	r.refused = true
	if m.done != nil {
		m.done(r)
	}
}

// submit sends a new request from a random entry instance.
func (m *model) submit(class config.Class, caller uint64, deadline time.Duration) *modelRequest {
	m.nextID++
	r := &modelRequest{sent: m.now, Request: Request{Idempotent: true, Item: admission.Item{
		ID: m.nextID, Class: class, CallerHash: caller, Deadline: m.now.Add(deadline), Arrived: m.now,
	}}}
	for r.entry == nil || r.entry.dead {
		r.entry = m.nodes[m.rng.IntN(len(m.nodes))]
	}
	m.requests[r.ID] = r
	m.send(r)
	return r
}

func (m *model) send(r *modelRequest) {
	id, ok := r.entry.chooser.Choose(m.now, m.svc.ID, r.tried)
	if !ok {
		r.refused = true
		return
	}
	r.entry.chooser.Sent(m.svc.ID, id)
	r.tried = append(r.tried, id)
	to := m.node(id)
	m.after(m.latency, func() { to.alive(func() { to.do(to.sched.Submit(m.now, r.Request)) }) })
}

// load submits requests at random times with the given mean rate until the time.
func (m *model) load(class config.Class, rate float64, callers int, deadline, until time.Duration) {
	end := m.now.Add(until)
	var next func()
	next = func() {
		if m.now.After(end) {
			return
		}
		m.submit(class, uint64(m.rng.IntN(callers))*0x9e3779b97f4a7c15+1, deadline)
		m.after(time.Duration(m.rng.ExpFloat64()/rate*float64(time.Second)), next)
	}
	m.after(0, next)
}

// transit is the mean time that a slot is busy while the request or its answer is on
// the way.
func (m *model) transit() time.Duration { return m.latency * 5 / 2 }

// capacity returns the requests per second that all slots complete.
func (m *model) capacity() float64 {
	total := 0.0
	for _, c := range m.svc.BackendServers {
		b := m.servers[c.Name]
		service := meanDemand.Seconds()/b.speed + m.transit().Seconds()
		total += float64(b.cfg.Slots) / service
	}
	return total
}

// utilization runs for d and returns the busy share of each server's slots.
func (m *model) utilization(d time.Duration) []float64 {
	before := map[string]time.Duration{}
	for name, b := range m.servers {
		before[name] = b.busy
	}
	m.run(d)
	var u []float64
	for _, c := range m.svc.BackendServers {
		b := m.servers[c.Name]
		// The slot's share of the latency counts as capacity that cannot be used.
		service := meanDemand.Seconds() / b.speed
		usable := service / (service + m.transit().Seconds())
		u = append(u, (b.busy-before[c.Name]).Seconds()/(d.Seconds()*float64(b.cfg.Slots)*usable))
	}
	return u
}

// imbalance is max / mean.
func imbalance(u []float64) float64 { return slices.Max(u) / mean(u) }

func mean(u []float64) float64 {
	sum := 0.0
	for _, x := range u {
		sum += x
	}
	return sum / float64(len(u))
}

// speeds8 are n speeds from 1 to 8.
func speeds8(n int) []float64 {
	s := make([]float64, n)
	for i := range s {
		s[i] = 1 + 7*float64(i)/float64(max(n-1, 1))
	}
	return s
}

// measurement is what one run at a constant load gave.
type measurement struct {
	utilization []float64
	p99Wait     time.Duration
	refused     int
}

// measure loads the model with the share of its capacity, and measures for d after
// 4 s in which the service times are learned.
func (m *model) measure(share float64, d time.Duration) measurement {
	const warmUp = 4 * time.Second
	m.spread(0)
	m.run(100 * time.Millisecond)
	m.load(config.Normal, share*m.capacity(), 100, 4*time.Second, warmUp+d)
	m.run(warmUp)
	var waits []time.Duration
	var r measurement
	m.done = func(q *modelRequest) {
		if q.finished {
			waits = append(waits, q.started.Sub(q.sent))
		} else {
			r.refused++
		}
	}
	r.utilization = m.utilization(d)
	m.done = nil
	slices.Sort(waits)
	r.p99Wait = waits[len(waits)*99/100]
	return r
}
