package mesh

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	maxRecordAge = 2100 * time.Millisecond

	// As in the forwarder: the time between two decisions about the watch, the wait time of a watch,
	// the time limit of a call on top of it, and the delay after a failed call.
	decisionInterval = 50 * time.Millisecond
	watchWait        = 1500 * time.Millisecond
	callTimeout      = 800 * time.Millisecond
	retryDelay       = 250 * time.Millisecond
)

// network simulates meshes that watch the store and exchange status messages. Instances, links and
// store access can fail. Changes reach other instances only by pulls, as if all pushes were lost.
type network struct {
	now       time.Duration
	instances []*node
	lost      func() bool // decides whether a status message is lost; nil for none
}

type node struct {
	*Mesh
	asOf     uint64
	up       bool
	store    bool // its store calls succeed
	silent   bool // its store calls get no answer
	isolated bool // no messages are sent or received
	watches  bool // it calls the store

	calling   bool // a watch is in progress
	waitUntil time.Duration
	nextCall  time.Duration // after a failed call
	calls     int
}

func newNetwork(domains, size int) *network {
	n := &network{}
	var peers []Peer
	for d := range domains {
		for i := range size {
			peers = append(peers, Peer{ID: fmt.Sprintf("d%d-%d", d, i), Domain: fmt.Sprint("d", d),
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(d), 0, byte(i)}), 7000)})
		}
	}
	for _, p := range peers {
		m := &node{Mesh: New(Config{Self: p, MaxRecordAge: maxRecordAge}), up: true, store: true}
		for _, o := range peers {
			m.List(0, o)
		}
		n.instances = append(n.instances, m)
	}
	return n
}

// step simulates one decision interval: store watches, and in every fifth step status messages and
// pulls.
func (n *network) step(storeRevision uint64) {
	n.now += decisionInterval
	for _, i := range n.instances {
		if i.up {
			n.watchStore(i, storeRevision)
		} else {
			i.calling = false
		}
	}
	for index, from := range n.instances {
		// The instances send at different moments.
		if !from.up || (n.now+time.Duration(index)*decisionInterval)%StatusInterval != 0 {
			continue
		}
		full, withoutLoads := from.DomainPeers(n.now)
		to := append(full, withoutLoads...)
		if from.IsDelegate(n.now) {
			to = append(to, from.ForeignPeers(n.now)...)
		}
		n.sendStatus(from, to)
		n.pull(from)
	}
}

// watchStore starts or continues the watch of an instance.
func (n *network) watchStore(i *node, storeRevision uint64) {
	if !i.calling {
		if n.now < i.nextCall {
			return
		}
		state := i.UpdateWatch(n.now)
		if i.watches = state != Following; !i.watches {
			return
		}
		i.calls++
		i.calling, i.waitUntil = true, n.now
		if state == Watching {
			i.waitUntil += watchWait
		}
		if !i.store && !i.silent {
			n.endCall(i, false)
			return
		}
	}
	switch {
	case i.silent:
		if n.now >= i.waitUntil+callTimeout {
			n.endCall(i, false)
		}
	case i.asOf < storeRevision || n.now >= i.waitUntil:
		i.asOf = storeRevision
		n.endCall(i, true)
	}
}

func (n *network) endCall(i *node, answered bool) {
	before := i.WatchState()
	if i.calling = false; answered {
		i.StoreAnswered(n.now)
	} else {
		i.StoreFailed(n.now)
		i.nextCall = n.now + retryDelay
	}
	if i.WatchState() != before {
		n.sendStatus(i, i.AliveDomainPeers(n.now))
	}
}

func (n *network) sendStatus(from *node, to []netip.AddrPort) {
	if from.isolated {
		return
	}
	for _, a := range to {
		if n.lost == nil || !n.lost() {
			n.deliver(a, from.OwnStatus(n.now, 1, from.asOf, false))
		}
	}
}

func (n *network) find(a netip.AddrPort) *node {
	for _, i := range n.instances {
		if i.cfg.Self.Address == a {
			return i
		}
	}
	return nil
}

func (n *network) deliver(a netip.AddrPort, s Status) {
	if to := n.find(a); to.up && !to.isolated {
		to.ApplyStatus(n.now, s)
	}
}

func (n *network) pull(i *node) {
	if !i.up {
		return
	}
	if from, ok := i.PullFrom(n.now, i.asOf); ok {
		if peer := n.find(from.Address); peer.up && !peer.isolated && !i.isolated {
			i.asOf = max(i.asOf, peer.asOf)
		}
	}
	i.ApplyConfirmations(n.now, i.asOf)
}

func (n *network) run(d time.Duration, revision uint64) {
	for end := n.now + d; n.now < end; {
		n.step(revision)
	}
}

// watchers returns the number of live watchers of a failure domain.
func (n *network) watchers(domain string) int {
	count := 0
	for _, i := range n.instances {
		if i.up && i.cfg.Self.Domain == domain && i.watches {
			count++
		}
	}
	return count
}

// Guards against a watch by every instance, which makes store calls grow with the number of
// instances times the number of changes, for failure domains of 1 to 70 instances.
func TestOneWatcherInEachDomain(t *testing.T) {
	for _, size := range []int{1, 3, 22, 70} {
		n := newNetwork(3, size)
		n.run(20*time.Second, 5)
		for d := range 3 {
			if got := n.watchers(fmt.Sprint("d", d)); got != 1 {
				t.Errorf("%d instances: %d watchers in domain %d", size, got, d)
			}
		}
		for _, i := range n.instances {
			if i.asOf != 5 || !i.Fresh(n.now) {
				t.Errorf("%d instances: %s has revision %d, fresh %v", size, i.cfg.Self.ID, i.asOf, i.Fresh(n.now))
			}
		}
	}
}

// watcher returns the first watcher of a failure domain.
func (n *network) watcher(domain string) *node {
	for _, i := range n.instances {
		if i.up && i.watches && i.cfg.Self.Domain == domain {
			return i
		}
	}
	return nil
}

// Guards against changes that do not arrive after the watcher is lost, cut off from its
// failure domain, or refused by the store. The users' sites allow 3 s for a change; the
// takeover from a lost watcher may take 2.4 s of it.
func TestTakeoverInTime(t *testing.T) {
	for name, fail := range map[string]func(*node){
		"killed":           func(i *node) { i.up = false },
		"cut off":          func(i *node) { i.isolated, i.store = true, false },
		"refused by store": func(i *node) { i.store = false },
	} {
		t.Run(name, func(t *testing.T) {
			n := newNetwork(3, 3)
			n.run(10*time.Second, 5)
			failed := n.watcher("d0")
			fail(failed)
			n.run(2400*time.Millisecond, 6)
			for _, i := range n.instances {
				if i != failed && i.asOf != 6 {
					t.Errorf("%s has revision %d after 2.4 s", i.cfg.Self.ID, i.asOf)
				}
			}
		})
	}
}

// Guards against a watch that nobody takes over in a deployment with a single failure domain,
// where no other domain supplies the changes. The bound is that of TestTakeoverInTime.
func TestTakeoverInSingleDomain(t *testing.T) {
	for _, size := range []int{2, 9, 70} {
		n := newNetwork(1, size)
		n.run(20*time.Second, 5)
		failed := n.watcher("d0")
		failed.up = false
		n.run(2400*time.Millisecond, 6)
		if n.watchers("d0") == 0 {
			t.Errorf("%d instances: nobody watches 2.4 s after the watcher was killed", size)
		}
		for _, i := range n.instances {
			if i != failed && i.asOf != 6 {
				t.Errorf("%d instances: %s has revision %d after 2.4 s", size, i.cfg.Self.ID, i.asOf)
			}
		}
	}
}

// Guards against a failure domain that stays behind because the store refuses all of its
// instances although it serves other domains.
func TestOtherDomainsFeedOneWithoutStore(t *testing.T) {
	n := newNetwork(3, 3)
	n.run(10*time.Second, 5)
	for _, i := range n.instances {
		if i.cfg.Self.Domain == "d0" {
			i.store = false
		}
	}
	n.run(3*time.Second, 9)
	for _, i := range n.instances {
		if i.asOf != 9 {
			t.Errorf("%s has revision %d", i.cfg.Self.ID, i.asOf)
		}
	}
}

// Guards against records that no longer arrive after any sequence of crashes, isolations and
// store failures has ended, and against revisions that go backwards meanwhile.
func TestRecoveryAfterRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(rapid.IntRange(1, 3).Draw(t, "domains"), rapid.IntRange(1, 4).Draw(t, "size"))
		revision := uint64(1)
		last := make(map[*node]uint64)
		for range rapid.IntRange(1, 25).Draw(t, "events") {
			i := n.instances[rapid.IntRange(0, len(n.instances)-1).Draw(t, "instance")]
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				i.up = !i.up
			case 1:
				i.isolated = !i.isolated
			case 2:
				i.store = !i.store
			default:
				revision++
			}
			n.run(time.Duration(rapid.IntRange(1, 20).Draw(t, "steps"))*StatusInterval, revision)
			for _, i := range n.instances {
				if i.asOf < last[i] {
					t.Fatalf("%s went back from revision %d to %d", i.cfg.Self.ID, last[i], i.asOf)
				}
				last[i] = i.asOf
			}
		}
		for _, i := range n.instances {
			i.up, i.isolated, i.store = true, false, true
		}
		revision++
		n.run(8*time.Second, revision)
		for _, i := range n.instances {
			if i.asOf != revision {
				t.Fatalf("%s has revision %d of %d, 8 s after the last fault", i.cfg.Self.ID, i.asOf, revision)
			}
		}
		n.run(4*time.Second, revision)
		for d := range n.instances[0].ranked {
			if got := n.watchers(d); got != 1 {
				t.Fatalf("%d watchers in %s", got, d)
			}
		}
	})
}

// Guards against control traffic that grows with the square of a failure domain's size: with
// 70 instances, each may spend 22 KB/s.
func TestRecipientsAreBounded(t *testing.T) {
	n := newNetwork(1, 70)
	n.run(20*time.Second, 5)
	for _, i := range n.instances {
		full, withoutLoads := i.DomainPeers(n.now)
		if len(full) > fullRecipients {
			t.Errorf("%s sends its loads to %d peers at once", i.cfg.Self.ID, len(full))
		}
		if len(withoutLoads) > 0 && !i.watches {
			t.Errorf("%s does not watch and sends status without loads to %d peers", i.cfg.Self.ID, len(withoutLoads))
		}
	}
}

// Guards against applying a reordered message, against ignoring the first message of a
// restarted instance, and against members that are never forgotten.
func TestApplyStatusAndForget(t *testing.T) {
	self := Peer{ID: "a", Domain: "d", Address: netip.MustParseAddrPort("10.0.0.1:7000")}
	other := Peer{ID: "b", Domain: "d", Address: netip.MustParseAddrPort("10.0.0.2:7000")}
	m := New(Config{Self: self, MaxRecordAge: maxRecordAge})
	m.ApplyStatus(0, Status{Peer: other, Incarnation: 1, AsOf: 9})
	m.ApplyStatus(0, Status{Peer: other, Incarnation: 1, AsOf: 7})
	if got := m.members["b"].status.AsOf; got != 9 {
		t.Errorf("revision %d after a reordered message", got)
	}
	m.ApplyStatus(0, Status{Peer: other, Incarnation: 2, AsOf: 3})
	if got := m.members["b"].status.AsOf; got != 3 {
		t.Errorf("revision %d after a restart", got)
	}
	m.ApplyStatus(0, Status{Peer: self, Incarnation: 5})
	m.Forget(2 * time.Minute)
	if got := m.Members(); len(got) != 1 {
		t.Errorf("members %v", got)
	}
}

// Guards against an instance that joins unnoticed: the routers give it flows of other instances, which would
// go on to decide about them.
func TestJoinedAt(t *testing.T) {
	const second = time.Second
	peer := func(id, domain string) Peer {
		return Peer{ID: id, Domain: domain, Address: netip.MustParseAddrPort("10.0.0.2:7000")}
	}
	m := New(Config{Self: Peer{ID: "self", Domain: "a"}})
	for _, s := range []struct {
		what   string
		at     time.Duration
		status Status
		want   time.Duration
	}{
		{"first message", 1 * second, Status{Peer: peer("p", "a"), Incarnation: 1}, 1 * second},
		{"next one", 1500 * time.Millisecond, Status{Peer: peer("p", "a"), Incarnation: 1}, 1 * second},
		{"restart", 2 * second, Status{Peer: peer("p", "a"), Incarnation: 2}, 2 * second},
		{"short silence", 2*second + minAliveTime - 1, Status{Peer: peer("p", "a"), Incarnation: 2}, 2 * second},
		{"silence", 5 * second, Status{Peer: peer("p", "a"), Incarnation: 2}, 5 * second},
		{"another failure domain", 6 * second, Status{Peer: peer("q", "b"), Incarnation: 1}, 6 * second},
		{"its silence while it is no delegate", 20 * second, Status{Peer: peer("q", "b"), Incarnation: 1}, 6 * second},
		{"its restart", 21 * second, Status{Peer: peer("q", "b"), Incarnation: 2}, 21 * second},
	} {
		if m.ApplyStatus(s.at, s.status); m.JoinedAt() != s.want {
			t.Errorf("%s: joined at %v, want %v", s.what, m.JoinedAt(), s.want)
		}
	}
}
