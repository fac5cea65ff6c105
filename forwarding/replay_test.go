package forwarding

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/monsoonthread/monsoonthread/serverload"
)

// replayClass is the load of one route. A client of a class with several requests a flow pauses
// between them; a class with one request a flow is a Poisson process.
type replayClass struct {
	name               string
	priority           int
	port               uint16
	work               time.Duration // mean, on a server of speed 1
	objective, timeout time.Duration
	kind               RouteKind
	perFlow            int // requests a flow
	answerBytes        uint32
	pause              time.Duration // mean, between the requests of a flow
	rate               float64       // requests per second without a flood
	factor             func(now time.Duration) float64
}

// outcome of a request, after its retries.
type outcome int

const (
	inTime  outcome = iota
	late            // answered after its objective
	refused         // all attempts refused by an instance
	shed            // the last attempt refused by a server
	lost            // not answered before its timeout
	numOutcomes
)

// replay runs clients, real engines of one failure domain and model servers in simulated time.
type replay struct {
	engines  []*Engine
	servers  []modelServer
	classes  []replayClass
	rng      *rand.Rand
	now      time.Duration
	events   eventHeap
	port     uint32
	measured func(now time.Duration) bool // whether a request that starts now counts
	counts   [][numOutcomes]int           // by class
	opened   []int                        // flows opened, by class
	busy     []time.Duration              // slot time by class, in the measured span
	onTick   func()
}

// clientAckDelay is how long clients delay the acknowledgement of a single-packet answer on a flow that
// stays open.
const clientAckDelay = 40 * time.Millisecond

// modelServer has two slots and queues eight more requests. It sheds the rest.
type modelServer struct {
	speed float64
	slow  func(now time.Duration) float64 // factor on the work
	ends  []time.Duration                 // of the requests that run or wait
	free  [2]time.Duration                // when each slot is free
	shed  int
}

const (
	replaySlots   = 2
	replayQueue   = 8
	replayLatency = 3 * time.Millisecond // one way
	shedBytes     = 180
	replayRetries = 2
)

// serve returns when the server answers a request that arrives now, how long it occupies a slot, and
// whether the server sheds it.
func (s *modelServer) serve(now, work time.Duration) (answer, took time.Duration, shed bool) {
	kept := s.ends[:0]
	for _, end := range s.ends {
		if end > now {
			kept = append(kept, end)
		}
	}
	if s.ends = kept; len(kept) >= replaySlots+replayQueue {
		s.shed++
		return now + 2*time.Millisecond, 0, true
	}
	slot := 0
	if s.free[1] < s.free[0] {
		slot = 1
	}
	took = time.Duration(float64(work) / s.speed * s.slow(now))
	s.free[slot] = max(now, s.free[slot]) + took
	s.ends = append(s.ends, s.free[slot])
	return s.free[slot], took, false
}

// replayOptions describe the deployment of a replay.
type replayOptions struct {
	engines, servers int
	speeds           []float64 // repeated over the servers
	exchange         time.Duration
	slow             func(server int, now time.Duration) float64
	unprioritised    bool // the configuration gives no priorities
	seed             uint64
}

func newReplay(o replayOptions, classes ...replayClass) *replay {
	r := &replay{classes: classes, rng: rand.New(rand.NewPCG(o.seed, 7)), counts: make([][numOutcomes]int, len(classes)),
		opened: make([]int, len(classes)), busy: make([]time.Duration, len(classes)), measured: func(time.Duration) bool { return true }}
	cfg := Configuration{Version: 1}
	for _, c := range classes {
		route := Route{Address: 10, Port: c.port, Kind: c.kind, Services: []ServiceWeight{{"orders", 1}}}
		if !o.unprioritised {
			route.Priority, route.Objective, route.Timeout, route.Prioritised = c.priority, c.objective, c.timeout, true
		}
		cfg.Routes = append(cfg.Routes, route)
	}
	for i := range o.servers {
		slow := func(time.Duration) float64 { return 1 }
		if o.slow != nil {
			slow = func(now time.Duration) float64 { return o.slow(i, now) }
		}
		r.servers = append(r.servers, modelServer{speed: o.speeds[i%len(o.speeds)], slow: slow})
	}
	for n := range o.engines {
		e := New(Config{Domain: "a", CookieLifetime: time.Minute, MaxFlows: 100000, Seed: o.seed*100 + uint64(n)})
		e.Configure(0, &cfg)
		for i := range r.servers {
			e.PutServer(0, Server{Name: fmt.Sprint(i), ID: uint64(i + 1), Service: "orders", Domain: "a", Slots: replaySlots, Revision: uint64(i + 1),
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80)})
		}
		e.SetComplete()
		r.engines = append(r.engines, e)
		r.exchangeLoads(n, o.exchange, o.exchange*time.Duration(n)/time.Duration(o.engines))
	}
	r.tick()
	for i := range classes {
		if c := &r.classes[i]; c.perFlow == 1 {
			r.arrive(i)
		} else {
			r.addClients(i, 0)
		}
	}
	return r
}

func (r *replay) tick() {
	for _, e := range r.engines {
		e.Tick(r.now)
	}
	if r.onTick != nil {
		r.onTick()
	}
	r.after(10*time.Millisecond, r.tick)
}

func (r *replay) exchangeLoads(n int, every, in time.Duration) {
	r.after(in, func() {
		loads, failures := r.engines[n].Loads(), r.engines[n].TakeFailures()
		for i, peer := range r.engines {
			if i != n {
				peer.SetPeerLoads(r.now, fmt.Sprint(n), loads)
				peer.AddPeerFailures(r.now, failures)
			}
		}
		r.exchangeLoads(n, every, every)
	})
}

// arrive starts the clients of a class with one request a flow.
func (r *replay) arrive(class int) {
	c := &r.classes[class]
	r.after(r.exp(time.Duration(float64(time.Second)/(c.rate*c.factor(r.now)))), func() {
		r.request(&client{class: class})
		r.arrive(class)
	})
}

// addClients keeps the number of clients of a class with long flows at what its rate needs.
func (r *replay) addClients(class, clients int) {
	c := &r.classes[class]
	wanted := int(c.rate * c.factor(r.now) * (c.pause + c.work + 2*replayLatency).Seconds())
	for ; clients < wanted; clients++ {
		n := clients
		r.after(time.Duration(r.rng.Int64N(int64(500*time.Millisecond))), func() { r.request(&client{class: class, number: n}) })
	}
	r.after(100*time.Millisecond, func() { r.addClients(class, min(clients, wanted)) })
}

// client makes the requests of one flow after the other.
type client struct {
	class, number int
	engine        *Engine // of the open flow; nil without one
	key           FlowKey
	cookie        uint32
	seq, ack      uint32
	left          int // requests left on the flow
	attempts      int
	startedAt     time.Duration
}

// request starts a request, on a new flow if there is none.
func (r *replay) request(u *client) {
	u.attempts, u.startedAt = 0, r.now
	r.attempt(u)
}

func (r *replay) attempt(u *client) {
	switch {
	case u.engine != nil:
		r.send(u)
	case r.open(u):
		r.after(2*replayLatency, func() {
			u.packet(r.now, Packet{})
			r.send(u)
		})
	case u.attempts < replayRetries:
		u.attempts++
		r.after(20*time.Millisecond, func() { r.attempt(u) })
	default:
		r.end(u, refused)
	}
}

// send sends a request on the open flow.
func (r *replay) send(u *client) {
	c := &r.classes[u.class]
	u.left--
	u.packet(r.now, Packet{Length: 100})
	u.seq += 100
	work := time.Duration(float64(c.work) * (0.5 + r.rng.Float64()))
	answer, took, isShed := r.servers[u.cookie-1].serve(r.now+replayLatency, work)
	if r.measured(r.now) {
		r.busy[u.class] += took
	}
	answer += replayLatency - r.now
	if r.now+answer-u.startedAt > c.timeout {
		r.after(u.startedAt+c.timeout-r.now, func() { r.closeFlow(u); r.end(u, lost) })
		return
	}
	size, delay := c.answerBytes, time.Duration(0)
	if isShed {
		size = shedBytes
	}
	if size < serverload.ImmediateBytes && c.perFlow > 1 {
		delay = clientAckDelay // the flow stays open
	}
	r.after(answer, func() {
		engine, key := u.engine, u.key
		r.after(delay, func() {
			if u.engine == engine && u.key == key {
				u.ack += size
				u.packet(r.now, Packet{})
			}
			if u.left == 0 {
				r.closeFlow(u)
			}
			switch {
			case isShed && u.attempts < replayRetries:
				u.attempts++
				r.closeFlow(u)
				r.attempt(u)
			case isShed:
				r.end(u, shed)
			case r.now-u.startedAt > c.objective:
				r.end(u, late)
			default:
				r.end(u, inTime)
			}
		})
	})
}

// open opens a flow at a random instance and reports whether it is accepted.
func (r *replay) open(u *client) bool {
	c := &r.classes[u.class]
	r.port++
	e := r.engines[r.rng.IntN(len(r.engines))]
	key := FlowKey{Client: 7 + r.port%64, ClientPort: uint16(r.port), Service: 10, ServicePort: c.port}
	d, _ := e.Packet(r.now, Packet{Flow: key, Open: true}, []byte("syn"))
	if d.Verdict != Forward {
		return false
	}
	r.opened[u.class]++
	u.engine, u.key, u.cookie, u.seq, u.ack, u.left = e, key, d.Target.Cookie, 1, 1, 1
	if c.perFlow > 1 {
		u.left = 1 + r.rng.IntN(2*c.perFlow-1)
	}
	return true
}

func (u *client) packet(now time.Duration, p Packet) {
	p.Flow, p.Cookie, p.Acknowledges, p.Sequence, p.Acknowledgement = u.key, u.cookie, true, u.seq, u.ack
	u.engine.Packet(now, p, nil)
}

func (r *replay) closeFlow(u *client) {
	if u.engine != nil {
		u.packet(r.now, Packet{Finish: true})
		u.engine = nil
	}
}

// end counts the outcome of a request and continues with the client's next one.
func (r *replay) end(u *client, o outcome) {
	c := &r.classes[u.class]
	if r.measured(u.startedAt) {
		r.counts[u.class][o]++
	}
	if c.perFlow == 1 {
		return
	}
	wanted := int(c.rate * c.factor(r.now) * (c.pause + c.work + 2*replayLatency).Seconds())
	if u.number >= wanted {
		r.closeFlow(u)
		return // the flood is over
	}
	r.after(r.exp(c.pause), func() { r.request(u) })
}

func (r *replay) exp(mean time.Duration) time.Duration {
	return time.Duration(r.rng.ExpFloat64() * float64(mean))
}

func (r *replay) after(d time.Duration, do func()) {
	heap.Push(&r.events, replayEvent{r.now + d, r.events.next, do})
	r.events.next++
}

func (r *replay) run(until time.Duration) {
	for len(r.events.list) > 0 && r.events.list[0].at <= until {
		ev := heap.Pop(&r.events).(replayEvent)
		r.now = ev.at
		ev.do()
	}
}

// share returns the share of the requests of a class with the outcome.
func (r *replay) share(class int, o outcome) float64 {
	all := 0
	for _, n := range r.counts[class] {
		all += n
	}
	return float64(r.counts[class][o]) / float64(max(all, 1))
}

func (r *replay) table() string {
	s := fmt.Sprintf("%-8s %9s %8s %8s %8s %8s %8s\n", "class", "requests", "in time", "late", "refused", "shed", "lost")
	for i, c := range r.classes {
		all := 0
		for _, n := range r.counts[i] {
			all += n
		}
		s += fmt.Sprintf("%-8s %9d", c.name, all)
		for o := range numOutcomes {
			s += fmt.Sprintf(" %8.3f", r.share(i, o))
		}
		s += "\n"
	}
	return s
}

type replayEvent struct {
	at    time.Duration
	order int // events at the same time run in the order of their creation
	do    func()
}

type eventHeap struct {
	list []replayEvent
	next int
}

func (h *eventHeap) Len() int { return len(h.list) }
func (h *eventHeap) Less(i, j int) bool {
	a, b := &h.list[i], &h.list[j]
	return a.at < b.at || a.at == b.at && a.order < b.order
}
func (h *eventHeap) Swap(i, j int) { h.list[i], h.list[j] = h.list[j], h.list[i] }
func (h *eventHeap) Push(x any)    { h.list = append(h.list, x.(replayEvent)) }
func (h *eventHeap) Pop() any {
	last := h.list[len(h.list)-1]
	h.list = h.list[:len(h.list)-1]
	return last
}
