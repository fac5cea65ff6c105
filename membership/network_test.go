package membership

import (
	"fmt"
	"math/rand"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/monsoonthread/monsoonthread/peer/peerpb"
)

const (
	networkStep = 10 * time.Millisecond // time resolution and shortest delay of the network
	tickSteps   = 5                     // steps between calls of Tick
)

// node is a machine in the network, reachable at its address.
type node struct {
	*Machine
	inst              Instance
	tickOffset        int // offset of the Tick calls in steps; differs between nodes
	up, paused        bool
	inbox             []delivery
	results           []Action // returned and not yet performed
	actions           []Action // all but Send, since the test last cleared them
	rejoinIncarnation uint64   // incarnation of the last rejoin, initially the start time
	rejoins           int
	version           uint64
	incarnations      map[string]uint64
	sent              int64 // bytes
	messages          int
	busy              time.Duration // time spent in calls of the machine
}

type delivery struct {
	from string
	to   *node
	msg  *peerpb.Membership
}

// network simulates message delivery between machines under a virtual clock.
type network struct {
	t               fatalReporter
	now             time.Time
	steps           int
	rng             *rand.Rand
	nodes           []*node
	byAddr          map[string]*node
	due             map[int][]delivery // by step
	loss            float64
	maxDelay        int // extra steps
	blocked         func(a, b *node) bool
	domains         []DomainConfig
	workers         int
	compareInterval time.Duration // between comparisons of all views
	measure         bool
	framing         int64 // bytes added per message when measuring
}

// fatalReporter is implemented by testing.TB and *rapid.T.
type fatalReporter interface {
	Fatalf(format string, args ...any)
}

func newNetwork(t fatalReporter, seed int64, domains, members int) *network {
	n := &network{t: t, now: time.UnixMilli(1_700_000_000_000), rng: rand.New(rand.NewSource(seed)),
		byAddr: map[string]*node{}, due: map[int][]delivery{}, workers: 1, compareInterval: 100 * time.Millisecond}
	for d := range domains {
		n.domains = append(n.domains, DomainConfig{fmt.Sprintf("dom%02d", d), 100})
	}
	for d := range domains {
		for i := range members {
			n.start(fmt.Sprintf("dom%02d-%02d", d, i), n.domains[d].Name, fmt.Sprintf("10.%d.0.%d:7000", d, i))
		}
	}
	return n
}

// newConvergedNetwork returns a network after its views have converged.
func newConvergedNetwork(t fatalReporter, seed int64, domains, members int) *network {
	n := newNetwork(t, seed, domains, members)
	n.applyListToAll()
	n.converge(10*time.Second, nil)
	return n
}

// start runs a new process and replaces an earlier one at the address.
func (n *network) start(id, domain, addr string) *node {
	inst := Instance{ID: id, Domain: domain, PeerAddress: addr, Weight: 100}
	nd := &node{inst: inst, up: true, rejoinIncarnation: uint64(n.now.UnixMilli()), tickOffset: n.rng.Intn(tickSteps), incarnations: map[string]uint64{},
		Machine: New(Config{Self: inst, Domains: n.domains}, rand.New(rand.NewSource(n.rng.Int63())), n.now)}
	if old := n.byAddr[addr]; old != nil {
		old.up = false
	}
	n.byAddr[addr] = nd
	n.nodes = append(n.nodes, nd)
	return nd
}

func (n *network) list() []ListEntry {
	var list []ListEntry
	for _, nd := range n.live() {
		list = append(list, ListEntry{Instance: nd.inst})
	}
	return list
}

func (n *network) live() []*node {
	var live []*node
	for _, nd := range n.nodes {
		if nd.up {
			live = append(live, nd)
		}
	}
	return live
}

func (n *network) applyListToAll() {
	list := n.list()
	for _, nd := range n.live() {
		n.call(nd, func() []Action { return nd.ApplyInstanceList(n.now, list) })
	}
}

// call performs the actions of a single call of a machine outside of run.
func (n *network) call(nd *node, f func() []Action) {
	nd.results = f()
	n.perform(nd)
}

// perform carries out the actions of a machine and checks the invariants that hold after
// every call.
func (n *network) perform(nd *node) {
	for _, a := range nd.results {
		switch a := a.(type) {
		case Send:
			n.transmit(nd, a)
			continue
		case ViewChanged:
			n.checkView(nd, a.View)
		case Rejoined:
			if a.Incarnation <= nd.rejoinIncarnation {
				n.t.Fatalf("%s rejoined with incarnation %d after %d", nd.inst.ID, a.Incarnation, nd.rejoinIncarnation)
			}
			nd.rejoinIncarnation = a.Incarnation
			nd.rejoins++
		case HigherConfig:
			nd.SetConfigVersion(a.Version)
		}
		nd.actions = append(nd.actions, a)
	}
	nd.results = nd.results[:0]
}

// diagnosticCount counts the diagnostics with a name since the test last cleared the actions.
func (nd *node) diagnosticCount(name string) int {
	count := 0
	for _, a := range nd.actions {
		if d, ok := a.(Diagnostic); ok && d.Name == name {
			count++
		}
	}
	return count
}

// checkView checks that view versions increase and incarnations do not decrease.
func (n *network) checkView(nd *node, v *View) {
	if v.Version <= nd.version {
		n.t.Fatalf("%s: view version %d after %d", nd.inst.ID, v.Version, nd.version)
	}
	nd.version = v.Version
	if d := v.domain(nd.inst.Domain); d != nil {
		for _, e := range d.Members {
			if e.Incarnation < nd.incarnations[e.ID] {
				n.t.Fatalf("%s: incarnation of %s is %d after %d", nd.inst.ID, e.ID, e.Incarnation, nd.incarnations[e.ID])
			}
			nd.incarnations[e.ID] = e.Incarnation
		}
	}
}

func (n *network) transmit(from *node, s Send) {
	if n.measure {
		from.sent += int64(proto.Size(s.Message)) + n.framing
		from.messages++
	}
	if k := s.Message.Kind; (k == kindPing || k == kindAck) && len(s.Message.Updates) > maxUpdatesPerMessage+2 {
		n.t.Fatalf("%d updates in one message", len(s.Message.Updates))
	}
	to := n.byAddr[s.To.PeerAddress]
	if to == nil || n.rng.Float64() < n.loss || n.blocked != nil && n.blocked(from, to) {
		return
	}
	at := n.steps + 1 + n.rng.Intn(n.maxDelay+1)
	n.due[at] = append(n.due[at], delivery{from.inst.ID, to, s.Message})
}

func (n *network) run(d time.Duration) {
	for range int(d / networkStep) {
		n.steps++
		n.now = n.now.Add(networkStep)
		for _, m := range n.due[n.steps] {
			if m.to.up && !m.to.paused {
				m.to.inbox = append(m.to.inbox, m)
			}
		}
		delete(n.due, n.steps)
		n.forEachNode(n.advance)
		for _, nd := range n.nodes {
			n.perform(nd)
		}
	}
}

// advance delivers the messages of one machine and calls Tick. Machines share no state.
func (n *network) advance(nd *node) {
	tick := nd.up && !nd.paused && (n.steps+nd.tickOffset)%tickSteps == 0
	if !tick && len(nd.inbox) == 0 {
		return
	}
	begin := time.Now()
	for _, m := range nd.inbox {
		nd.results = append(nd.results, nd.Receive(n.now, m.from, m.msg)...)
	}
	nd.inbox = nd.inbox[:0]
	if tick {
		nd.results = append(nd.results, nd.Tick(n.now)...)
	}
	nd.busy += time.Since(begin)
}

func (n *network) forEachNode(f func(nd *node)) {
	var wg sync.WaitGroup
	size := (len(n.nodes) + n.workers - 1) / n.workers
	for part := range slices.Chunk(n.nodes, size) {
		wg.Go(func() {
			for _, nd := range part {
				f(nd)
			}
		})
	}
	wg.Wait()
}

// difference describes a difference between the views and the actual state, or returns "".
// sees reports which nodes an observer should have in its placement.
func (n *network) difference(sees func(observer, nd *node) bool) string {
	live := n.live()
	for _, o := range live {
		v := o.View()
		var placed, want uint64 // XOR of 48-bit ID hashes; the top 16 bits count the instances
		for i := range v.Domains {
			for _, p := range v.Domains[i].placeable {
				if v.Domains[i].Reachable {
					placed = (placed ^ hashID(p.ID)>>16) + 1<<48
				}
			}
		}
		for _, nd := range live {
			if sees == nil || sees(o, nd) {
				want = (want ^ nd.self.idHash>>16) + 1<<48
			}
		}
		if placed != want {
			return fmt.Sprintf("%s places %d instances, want %d", o.inst.ID, placed>>48, want>>48)
		}
	}
	return ""
}

// converge runs until all views match the actual state and returns the time this took.
func (n *network) converge(limit time.Duration, sees func(observer, nd *node) bool) time.Duration {
	for d := time.Duration(0); ; d += n.compareInterval {
		diff := n.difference(sees)
		if diff == "" {
			return d
		}
		if d >= limit {
			n.t.Fatalf("views differ after %v: %s", limit, diff)
		}
		n.run(n.compareInterval)
	}
}
