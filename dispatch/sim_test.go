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

// simulation runs schedulers, choosers and backend servers in simulated time.
type simulation struct {
	now           time.Time
	rng           *rand.Rand
	events        eventHeap
	seq           int
	svc           config.Service
	instances     []*simInstance
	byID          map[string]*simInstance
	servers       map[string]*simServer
	owner         map[string]string // server -> instance
	view          uint64
	requests      map[uint64]*simRequest
	overruns      int
	falseRefusals int // requests refused as not executed that were executed
	attempts      int
	eventCounts   map[string]int // by Event.Name
	retry         bool           // callers retry a refused request once
	onDone        func(*simRequest)
	onGrant       func(server string) // observes each Run
}

type simInstance struct {
	sim     *simulation
	id      string
	sched   *Scheduler
	chooser *Chooser
	dead    bool
}

// simServer simulates a backend server. Its service time is the demand of the request
// divided by speed.
type simServer struct {
	cfg        config.BackendServer
	speed      float64
	hang, shed bool // hang: accepts requests and never answers; shed: refuses them
	running    int
	busy       time.Duration
}

type simRequest struct {
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

func newSimulation(seed uint64, instances int, speeds []float64, policy Policy) *simulation {
	sim := &simulation{
		now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(seed, 1)), byID: map[string]*simInstance{},
		servers: map[string]*simServer{}, requests: map[uint64]*simRequest{}, eventCounts: map[string]int{},
		svc: config.Service{ID: 1, Name: "s", MaxDeadline: 4000, MinShares: [config.NumClasses]uint32{0, 30, 10}},
	}
	for i, speed := range speeds {
		b := config.BackendServer{Name: fmt.Sprintf("b%02d", i), Slots: 2, Weight: 100}
		sim.servers[b.Name] = &simServer{cfg: b, speed: speed}
		sim.svc.BackendServers = append(sim.svc.BackendServers, b)
	}
	for i := range instances {
		n := &simInstance{sim: sim, id: fmt.Sprintf("i%d", i), sched: NewScheduler(Config{}, sim.svc, sim.now),
			chooser: NewChooser(ChooserConfig{Policy: policy}, rand.New(rand.NewPCG(seed, uint64(i+2))))}
		sim.instances = append(sim.instances, n)
		sim.byID[n.id] = n
		sim.every(10*time.Millisecond, func() { n.ifAlive(func() { n.perform(n.sched.Tick(sim.now)) }) })
		// Give the summary timers of the instances random phases.
		sim.after(time.Duration(sim.rng.IntN(100))*time.Millisecond, func() { sim.every(100*time.Millisecond, n.sendSummary) })
	}
	sim.assignRoundRobin(0)
	sim.run(50 * time.Millisecond)
	return sim
}

func (sim *simulation) after(d time.Duration, f func()) {
	sim.seq++
	heap.Push(&sim.events, event{sim.now.Add(d), sim.seq, f})
}

func (sim *simulation) every(d time.Duration, f func()) {
	sim.after(d, func() { f(); sim.every(d, f) })
}

func (sim *simulation) run(d time.Duration) {
	end := sim.now.Add(d)
	for !sim.events[0].at.After(end) {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		e.run()
	}
	sim.now = end
}

// assign distributes a new view with the given owner of each server. The current owner
// becomes Previous.
func (sim *simulation) assign(owners map[string]string) {
	sim.view++
	version, old := sim.view, sim.owner
	sim.owner = owners
	var ids []string
	lists := map[*simInstance][]Assignment{}
	for _, b := range sim.svc.BackendServers {
		a := Assignment{Server: sim.servers[b.Name].cfg, Previous: old[b.Name]}
		if a.Previous == owners[b.Name] {
			a.Previous = ""
		}
		n := sim.byID[owners[b.Name]]
		lists[n] = append(lists[n], a)
	}
	for _, n := range sim.instances {
		if !n.dead {
			ids = append(ids, n.id)
		}
		// Views arrive at different times.
		sim.after(time.Duration(sim.rng.IntN(20))*time.Millisecond, func() {
			n.ifAlive(func() {
				n.perform(n.sched.SetAssignments(sim.now, lists[n], version))
				n.chooser.SetCandidates(sim.svc.ID, ids)
			})
		})
	}
}

// assignRoundRobin assigns the servers to the live instances in turn, starting at offset.
func (sim *simulation) assignRoundRobin(offset int) {
	owners := map[string]string{}
	live := slices.DeleteFunc(slices.Clone(sim.instances), func(n *simInstance) bool { return n.dead })
	for i, b := range sim.svc.BackendServers {
		owners[b.Name] = live[(i+offset)%len(live)].id
	}
	sim.assign(owners)
}

func (n *simInstance) ifAlive(f func()) {
	if !n.dead {
		f()
	}
}

// sendSummary sends the load summary to all instances.
func (n *simInstance) sendSummary() {
	sum := n.sched.Summary(n.sim.now)
	for _, to := range n.sim.instances {
		n.sim.after(latency, func() { n.ifAlive(func() { to.chooser.Observe(n.sim.now, n.id, sum) }) })
	}
}

// perform carries out the actions of a scheduler.
func (n *simInstance) perform(actions []Action) {
	sim := n.sim
	for _, a := range actions {
		switch a := a.(type) {
		case Run:
			sim.attempts++
			if sim.onGrant != nil {
				sim.onGrant(a.Server.Name)
			}
			// The network latency of requests varies.
			sim.after(latency+time.Duration(sim.rng.IntN(int(latency))), func() { sim.arrive(n, a) })
		case Refuse:
			sim.after(latency, func() { sim.handleRefusal(n, a) })
		case Event:
			sim.eventCounts[a.Name]++
		case SendHandoverRequest:
			to := sim.byID[a.To]
			sim.after(latency, func() {
				to.ifAlive(func() {
					acts, reply := to.sched.HandleHandoverRequest(sim.now, n.id, a.Servers)
					to.perform(acts)
					sim.after(latency, func() { n.ifAlive(func() { n.perform(n.sched.HandleHandoverReply(sim.now, to.id, reply)) }) })
				})
			})
		case SendHandoverDone:
			to := sim.byID[a.To]
			sim.after(latency, func() { to.ifAlive(func() { to.perform(to.sched.HandleHandoverDone(sim.now, a.Server, a.Ended)) }) })
		}
	}
}

// arrive executes a request at a backend server.
func (sim *simulation) arrive(n *simInstance, a Run) {
	b, r := sim.servers[a.Server.Name], sim.requests[a.Request.ID]
	sent := sim.now.Add(-latency)
	finish := func(after time.Duration, o backend.Outcome) {
		sim.after(after+latency, func() {
			n.ifAlive(func() {
				if o == backend.Success {
					r.finished = true
					sim.deliverResult(n, r)
				}
				n.perform(n.sched.Finish(sim.now, a.GrantID, o, sim.now.Sub(sent)))
			})
		})
	}
	full := b.running >= b.cfg.Slots
	if full {
		sim.overruns++
	}
	if b.shed || full {
		finish(0, backend.Shed)
		return
	}
	b.running++
	r.executed++
	r.started = sim.now
	left := a.Request.Deadline.Sub(sim.now)
	demand := meanDemand/2 + time.Duration(sim.rng.ExpFloat64()*float64(meanDemand)/2)
	took, releaseDelay := time.Duration(float64(demand)/b.speed), time.Duration(0)
	if b.hang || took >= left {
		// The server abandons the request at its deadline, measured from receipt.
		took, releaseDelay = left, latency
		finish(left-2*latency, backend.Timeout)
	} else {
		finish(took, backend.Success)
	}
	sim.after(took+releaseDelay, func() { b.running--; b.busy += took })
}

// deliverResult delivers a response or refusal, with a load summary, to the entry instance.
func (sim *simulation) deliverResult(n *simInstance, r *simRequest) {
	sum := n.sched.Summary(sim.now)
	sim.after(latency, func() {
		r.entry.chooser.Observe(sim.now, n.id, sum)
		if sim.onDone != nil {
			sim.onDone(r)
		}
	})
}

func (sim *simulation) handleRefusal(n *simInstance, a Refuse) {
	r := sim.requests[a.ID]
	if a.Err.Code.NotExecuted() && r.executed > 0 {
		sim.falseRefusals++
	}
	tryOtherInstance := a.Err.Code == result.NotDispatcher || a.Err.Code == result.TakeoverPending
	if (tryOtherInstance || sim.retry && !r.Retry) && len(r.tried) < len(sim.instances) {
		r.Retry = r.Retry || !tryOtherInstance
		sim.send(r)
		return
	}
	sim.deliverResult(n, r)
}

// submit sends a new request from a random entry instance.
func (sim *simulation) submit(class config.Class, caller uint64, deadline time.Duration) {
	r := &simRequest{sent: sim.now, Request: Request{Idempotent: true, Item: admission.Item{
		ID: uint64(len(sim.requests)), Class: class, CallerHash: caller, Deadline: sim.now.Add(deadline), Arrived: sim.now,
	}}}
	for r.entry == nil || r.entry.dead {
		r.entry = sim.instances[sim.rng.IntN(len(sim.instances))]
	}
	sim.requests[r.ID] = r
	sim.send(r)
}

func (sim *simulation) send(r *simRequest) {
	if id, ok := r.entry.chooser.Choose(sim.now, sim.svc.ID, r.tried); ok {
		r.entry.chooser.Sent(sim.svc.ID, id)
		r.tried = append(r.tried, id)
		to := sim.byID[id]
		sim.after(latency, func() { to.ifAlive(func() { to.perform(to.sched.Submit(sim.now, r.Request)) }) })
	}
}

// load submits requests as a Poisson process with the given mean rate for the given
// duration, from callers numbered from first.
func (sim *simulation) load(class config.Class, rate float64, first, callers uint64, deadline, duration time.Duration) {
	end := sim.now.Add(duration)
	var next func()
	next = func() {
		if sim.now.Before(end) {
			sim.submit(class, first+sim.rng.Uint64N(callers), deadline)
			sim.after(time.Duration(sim.rng.ExpFloat64()/rate*float64(time.Second)), next)
		}
	}
	sim.after(0, next)
}

// capacity returns the requests per second that all slots together complete.
func (sim *simulation) capacity() (total float64) {
	for _, c := range sim.svc.BackendServers {
		total += float64(c.Slots) / (meanDemand.Seconds()/sim.servers[c.Name].speed + transit.Seconds())
	}
	return total
}

// measurement is the result of one run at constant load.
type measurement struct {
	utilization []float64 // busy share of each server's slots
	p99Wait     time.Duration
	refused     int
}

// measure loads the servers with the given share of their capacity and measures for d,
// after 4 s in which the service times are learned.
func (sim *simulation) measure(share float64, d time.Duration) (r measurement) {
	const warmUp = 4 * time.Second
	sim.load(config.Normal, share*sim.capacity(), 0, 100, 4*time.Second, warmUp+d)
	sim.run(warmUp)
	var waits []time.Duration
	sim.onDone = func(q *simRequest) {
		if q.finished {
			waits = append(waits, q.started.Sub(q.sent))
		} else {
			r.refused++
		}
	}
	before := map[string]time.Duration{}
	for name, b := range sim.servers {
		before[name] = b.busy
	}
	sim.run(d)
	for _, c := range sim.svc.BackendServers {
		b := sim.servers[c.Name]
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
