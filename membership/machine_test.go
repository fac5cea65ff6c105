package membership

import (
	"flag"
	"fmt"
	"math"
	"runtime/debug"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/monsoonthread/monsoonthread/peer/peerpb"
)

func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// Guards against views that stay different after crashes, restarts, leaves, pauses and
// partitions with packet loss and reordering. Rare orders of events need more than the
// default number of checks: go test -run Churn ./membership -rapid.checks=10000.
func TestViewsConvergeAfterChurn(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := newNetwork(rt, rapid.Int64().Draw(rt, "seed"), rapid.IntRange(1, 4).Draw(rt, "domains"), rapid.IntRange(1, 10).Draw(rt, "members"))
		n.loss = rapid.Float64Range(0, 0.1).Draw(rt, "loss")
		n.maxDelay = rapid.IntRange(0, 5).Draw(rt, "delay")
		n.applyListToAll()
		left := map[*node]bool{}
		for range rapid.IntRange(1, 8).Draw(rt, "events") {
			n.run(time.Duration(rapid.IntRange(10, 3000).Draw(rt, "gap")) * time.Millisecond)
			live := n.live()
			nd := live[rapid.IntRange(0, len(live)-1).Draw(rt, "node")]
			switch event := rapid.IntRange(0, 6).Draw(rt, "event"); {
			case event == 0 && len(live) > 1:
				nd.up = false
			case event == 1:
				n.start(nd.inst.ID, nd.inst.Domain, nd.inst.PeerAddress)
				delete(left, nd)
			case event == 2:
				n.call(nd, func() []Action { return nd.Leave(n.now) })
				left[nd] = true
			case event == 3:
				nd.paused = !nd.paused
			case event == 4: // partition of one domain or a part of it
				whole := rapid.Bool().Draw(rt, "whole")
				inside := func(x *node) bool {
					return x.inst.Domain == nd.inst.Domain && (whole || x.inst.ID <= nd.inst.ID)
				}
				n.blocked = func(a, b *node) bool { return inside(a) != inside(b) }
			case event == 5:
				n.blocked = nil
			}
			if rapid.Bool().Draw(rt, "apply list") {
				n.applyListToAll()
			}
		}
		for _, nd := range n.nodes {
			nd.paused = false
		}
		n.blocked = nil
		n.applyListToAll()
		n.converge(20*time.Second, func(_, nd *node) bool { return !left[nd] })
	})
}

// Guards against false death declarations that are not refuted, and against too many of
// them, at 20% and 30% packet loss in each direction.
func TestFalseDeathDeclarationsAreRefuted(t *testing.T) {
	for _, c := range []struct {
		loss              float64
		maxDeclared       int
		maxFalseDeadSteps int // in steps of 100 ms
	}{{0.2, 2, 20}, {0.3, 10, 30}} {
		n := newConvergedNetwork(t, 3, 1, 30)
		n.loss, n.maxDelay = c.loss, 3
		deadSteps := map[string]int{} // by IDs of observer and instance, in steps of 100 ms
		longestSteps, declared := 0, 0
		for range 1200 {
			n.run(100 * time.Millisecond)
			for _, o := range n.nodes {
				for _, e := range o.View().Domains[0].Members {
					if key := o.inst.ID + e.ID; e.State != Dead {
						delete(deadSteps, key)
					} else {
						deadSteps[key]++
						longestSteps = max(longestSteps, deadSteps[key])
					}
				}
				declared += o.diagnosticCount("membership_dead")
				o.actions = nil
			}
		}
		t.Logf("120 s at loss %v: %d false declarations, longest time a live instance was considered dead %d steps of 100 ms", c.loss, declared, longestSteps)
		if longestSteps > c.maxFalseDeadSteps || declared > c.maxDeclared {
			t.Error("live instances were declared dead too often or for too long")
		}
		n.loss = 0
		n.converge(5*time.Second, nil)
	}
}

// Guards against a suspicion that is caused by one broken connection.
func TestIndirectProbePreventsSuspicion(t *testing.T) {
	n := newConvergedNetwork(t, 4, 1, 5)
	a, b := n.nodes[0], n.nodes[1]
	n.blocked = func(x, y *node) bool { return x == a && y == b || x == b && y == a }
	n.run(30 * time.Second)
	for _, nd := range n.nodes {
		if nd.diagnosticCount("membership_suspect") > 0 {
			t.Fatalf("%s suspects another instance", nd.inst.ID)
		}
	}
}

// Guards against a crashed instance that stays in the placement or in the views.
func TestCrashedInstanceIsRemoved(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := newConvergedNetwork(rt, rapid.Int64().Draw(rt, "seed"), 1, rapid.IntRange(2, 40).Draw(rt, "members"))
		n.loss = rapid.Float64Range(0, 0.05).Draw(rt, "loss")
		n.nodes[0].up = false
		n.converge(5*time.Second, nil)
		n.run(65 * time.Second)
		for _, nd := range n.live() {
			if e, ok := nd.View().Member(n.nodes[0].inst.ID); ok {
				rt.Fatalf("%s still has the crashed instance as %v", nd.inst.ID, e.State)
			}
		}
	})
}

// Guards against flows that are placed in a partitioned domain, and against views that do
// not recover after the partition. Members also die and join during the partition.
func TestDomainPartitionAndRecovery(t *testing.T) {
	n := newConvergedNetwork(t, 5, 3, 6)
	n.run(5 * time.Second)
	n.blocked = func(a, b *node) bool { return (a.inst.Domain == "dom00") != (b.inst.Domain == "dom00") }
	n.nodes[1].up = false
	n.start("dom00-late", "dom00", "10.0.1.1:7000")
	n.call(n.nodes[2], func() []Action { return n.nodes[2].ApplyInstanceList(n.now, n.list()) })
	took := n.converge(domainSilenceTimeout+3*time.Second, func(o, nd *node) bool {
		return (o.inst.Domain == "dom00") == (nd.inst.Domain == "dom00")
	})
	n.run(70 * time.Second) // longer than DeadRetention
	n.blocked = nil
	t.Logf("partition detected after %v, healed after %v", took, n.converge(15*time.Second, nil))
}

// Guards against a partition inside a domain that does not heal, against members that are
// declared dead on their own side of the partition when it heals, and against members that
// do not rejoin although the other side declared them dead. Partitions shorter than
// DeadRetention heal by pings to dead members, longer ones by pings to removed members.
func TestPartitionInsideDomainHeals(t *testing.T) {
	for i, length := range []time.Duration{20 * time.Second, 100 * time.Second, 20 * time.Second, 20 * time.Second, 20 * time.Second} {
		n := newConvergedNetwork(t, int64(20+i), 1, 10)
		minority := map[*node]bool{}
		for _, nd := range n.nodes[:4] {
			minority[nd] = true
		}
		n.blocked = func(a, b *node) bool { return minority[a] != minority[b] }
		n.converge(6*time.Second, func(o, nd *node) bool { return minority[o] == minority[nd] })
		n.run(length)
		n.blocked = nil
		healed := time.Duration(0)
		for step := range 100 {
			n.run(100 * time.Millisecond)
			for _, o := range n.nodes {
				for _, nd := range n.nodes {
					if e, _ := o.View().Member(nd.inst.ID); minority[o] == minority[nd] && e.State == Dead {
						t.Fatalf("%s considers %s on its own side of the partition dead", o.inst.ID, nd.inst.ID)
					}
				}
			}
			if healed == 0 && n.difference(nil) == "" {
				healed = time.Duration(step+1) * 100 * time.Millisecond
			}
		}
		t.Logf("partition of %v healed after %v", length, healed)
		n.converge(0, nil)
		for _, nd := range n.nodes {
			if length < 60*time.Second && nd.rejoins == 0 {
				t.Errorf("%s was declared dead by the other side of the partition and has not rejoined", nd.inst.ID)
			}
		}
	}
}

// Guards against an instance that after a pause dispatches, answers or declares others dead
// before it is fenced, and against a rejoin without a higher incarnation.
func TestInstanceIsFencedBeforeItActsAfterPause(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := newConvergedNetwork(rt, rapid.Int64().Draw(rt, "seed"), rapid.IntRange(1, 2).Draw(rt, "domains"), rapid.IntRange(1, 8).Draw(rt, "members"))
		nd := n.nodes[0]
		before := nd.self.Incarnation
		nd.paused = true
		n.run(time.Duration(rapid.IntRange(1300, 20000).Draw(rt, "pause")) * time.Millisecond)
		if !nd.Fenced(n.now) {
			rt.Fatal("not fenced at the end of the pause")
		}
		nd.actions = nil
		calls := []func() []Action{
			func() []Action { return nd.Tick(n.now) },
			func() []Action { return nd.ApplyInstanceList(n.now, n.list()) },
			func() []Action {
				other := n.nodes[len(n.nodes)-1]
				return nd.Receive(n.now, "other", &peerpb.Membership{Kind: kindPing, Updates: []*peerpb.Member{other.self.encode(true, true)}})
			},
		}
		n.call(nd, func() []Action {
			actions := calls[rapid.IntRange(0, len(calls)-1).Draw(rt, "call")]()
			if d, ok := actions[0].(Diagnostic); !ok || d.Name != "membership_fenced" {
				rt.Fatalf("first action after the pause is %#v", actions[0])
			}
			return actions
		})
		if !nd.Fenced(n.now) || nd.rejoins > 0 {
			rt.Fatal("fencing ended in the call that detected the gap")
		}
		nd.paused = false
		n.run(3 * time.Second)
		if nd.rejoins == 0 || nd.rejoinIncarnation <= before || nd.Fenced(n.now) {
			rt.Fatalf("%d rejoins with incarnation %d after %d", nd.rejoins, nd.rejoinIncarnation, before)
		}
		if nd.diagnosticCount("membership_dead")+nd.diagnosticCount("membership_suspect") > 0 {
			rt.Fatal("paused instance suspected another one or declared it dead")
		}
		n.converge(5*time.Second, nil)
	})
}

// Guards against an instance that suspects others after its own pause, if the pause is too
// short for fencing.
func TestShortPauseCausesNoSuspicion(t *testing.T) {
	n := newConvergedNetwork(t, 8, 1, 6)
	for range 100 {
		nd := n.nodes[n.rng.Intn(6)]
		nd.actions, nd.paused = nil, true
		n.run(1100 * time.Millisecond)
		nd.paused = false
		n.run(time.Duration(300+n.rng.Intn(200)) * time.Millisecond)
		if nd.diagnosticCount("membership_suspect")+nd.diagnosticCount("membership_dead") > 0 {
			t.Fatalf("after a short pause: %v", nd.actions)
		}
	}
}

// Guards against a restarted instance that others mistake for its earlier run, also when
// its wall clock was set back.
func TestRestartWithSameID(t *testing.T) {
	for _, back := range []time.Duration{0, time.Hour} {
		n := newConvergedNetwork(t, 9, 2, 5)
		old := n.nodes[0]
		n.now = n.now.Add(-back)
		nd := n.start(old.inst.ID, old.inst.Domain, old.inst.PeerAddress)
		n.now = n.now.Add(back)
		nd.Machine.lastCall = n.now // the first call must not detect the clock step as a gap between calls
		nd.version, nd.rejoinIncarnation = 0, 0
		n.call(nd, func() []Action { return nd.ApplyInstanceList(n.now, n.list()) })
		n.run(1500 * time.Millisecond)
		if nd.Fenced(n.now) || nd.self.Incarnation <= old.self.Incarnation || back > 0 && nd.rejoins == 0 {
			t.Errorf("clock back %v: incarnation %d after %d, %d rejoins", back, nd.self.Incarnation, old.self.Incarnation, nd.rejoins)
		}
		for _, o := range n.live() {
			if e, _ := o.View().Member(nd.inst.ID); e.Incarnation != nd.self.Incarnation || e.State != Alive {
				t.Errorf("%s has incarnation %d (%v), want %d", o.inst.ID, e.Incarnation, e.State, nd.self.Incarnation)
			}
		}
	}
}

// Guards against two processes with one ID that both dispatch. The process started later
// stays active. The other one is fenced and takes over when the later one dies.
func TestTwoProcessesWithOneID(t *testing.T) {
	for name, startGap := range map[string]time.Duration{"later": time.Second, "same millisecond": 0} {
		n := newNetwork(t, 11, 2, 4)
		n.applyListToAll()
		n.run(startGap)
		first := n.nodes[0]
		second := n.start(first.inst.ID, first.inst.Domain, "10.0.9.9:7000")
		n.call(second, func() []Action { return second.ApplyInstanceList(n.now, n.list()) })
		n.run(5 * time.Second)
		if !first.Fenced(n.now) || second.Fenced(n.now) {
			t.Fatalf("%s: first fenced %v, second fenced %v", name, first.Fenced(n.now), second.Fenced(n.now))
		}
		for _, o := range n.live() {
			if e, _ := o.View().Member(first.inst.ID); o != first && e.PeerAddress != second.inst.PeerAddress {
				t.Errorf("%s: %s has address %s", name, o.inst.ID, e.PeerAddress)
			}
		}
		first.paused = true // must stay fenced after a pause
		n.run(5 * time.Second)
		first.paused = false
		n.run(3 * time.Second)
		if !first.Fenced(n.now) || second.Fenced(n.now) {
			t.Fatalf("%s: after a pause first fenced %v, second fenced %v", name, first.Fenced(n.now), second.Fenced(n.now))
		}
		second.up = false
		n.run(10 * time.Second)
		if first.Fenced(n.now) {
			t.Errorf("%s: first did not take over", name)
		}
		n.converge(5*time.Second, nil)
	}
}

// Guards against a process whose wall clock was set back and that serves in parallel with
// an active process that has the same ID.
func TestEarlierIncarnationAtAnotherAddress(t *testing.T) {
	n := newConvergedNetwork(t, 12, 1, 4)
	n.now = n.now.Add(-time.Hour)
	second := n.start(n.nodes[0].inst.ID, "dom00", "10.0.9.9:7000")
	n.now = n.now.Add(time.Hour)
	second.Machine.lastCall = n.now // the first call must not detect the clock step as a gap between calls
	// The list omits both processes with this ID, so that the second one contacts only the
	// other instances and learns of the first one from them.
	n.call(second, func() []Action { return second.ApplyInstanceList(n.now, n.list()[1:4]) })
	n.run(3 * time.Second)
	if n.nodes[0].Fenced(n.now) || !second.Fenced(n.now) {
		t.Errorf("first fenced %v, second fenced %v", n.nodes[0].Fenced(n.now), second.Fenced(n.now))
	}
}

// Guards against new flows at a leaving instance, and against an instance that leaves
// because of an outdated list entry.
func TestLeaving(t *testing.T) {
	n := newConvergedNetwork(t, 13, 3, 8)
	leaving := map[*node]bool{n.nodes[0]: true, n.nodes[9]: true}
	n.call(n.nodes[0], func() []Action { return n.nodes[0].Leave(n.now) })
	list := n.list()
	// The first list has shown this process as not leaving, so the Leaving flag applies to it.
	list[9].Leaving = true
	n.call(n.nodes[9], func() []Action { return n.nodes[9].ApplyInstanceList(n.now, list) })
	joining := n.start("dom00-new", "dom00", "10.0.1.1:7000")
	// No list has shown this process as not leaving, so the Leaving flag must be ignored: it
	// may refer to an earlier run with the same ID.
	list = append(list, ListEntry{joining.inst, true})
	n.call(joining, func() []Action { return joining.ApplyInstanceList(n.now, list) })
	t.Logf("leaving known to all instances after %v", n.converge(2*time.Second, func(_, nd *node) bool { return !leaving[nd] }))
	for _, o := range n.nodes[:8] {
		if e, _ := o.View().Member(n.nodes[0].inst.ID); e.State != Leaving {
			t.Errorf("%s has the leaving instance as %v", o.inst.ID, e.State)
		}
	}
}

// Guards against an instance list that overrides probes. An instance that answers must
// stay alive in the view although the list omits it or sets its Leaving flag. An instance
// with the flag that stops answering must be treated as leaving.
func TestInstanceListDoesNotOverrideProbes(t *testing.T) {
	n := newConvergedNetwork(t, 15, 2, 4)
	list := n.list()
	for i := range list {
		list[i].Leaving = i != 0
	}
	for range 20 {
		n.call(n.nodes[0], func() []Action { return n.nodes[0].ApplyInstanceList(n.now, list[:4]) })
		// The list alone does not rebuild the view, so its effect would not be visible.
		n.call(n.nodes[0], func() []Action { return n.nodes[0].SetDomains(n.now, n.domains) })
		n.run(500 * time.Millisecond)
		if diff := n.difference(nil); diff != "" {
			t.Fatal(diff)
		}
	}
	n.nodes[1].up = false
	n.run(900 * time.Millisecond)
	if e, _ := n.nodes[0].View().Member(n.nodes[1].inst.ID); e.State != Leaving {
		t.Errorf("listed leaving instance that does not answer is %v", e.State)
	}
}

// Guards against a configuration version that does not reach every instance, or whose
// arrival at an instance does not become known to the others.
func TestConfigVersionSpreads(t *testing.T) {
	n := newNetwork(t, 17, 4, 10)
	n.loss = 0.05
	n.applyListToAll()
	n.converge(10*time.Second, nil)
	for version := uint64(1); version <= 3; version++ {
		n.nodes[n.rng.Intn(len(n.nodes))].SetConfigVersion(version)
		n.run(3 * time.Second)
		for _, nd := range n.nodes {
			if nd.configVersion != version {
				t.Fatalf("%s is at configuration %d after 3 s, want %d", nd.inst.ID, nd.configVersion, version)
			}
		}
		n.run(5 * time.Second)
		for _, nd := range n.nodes {
			for _, d := range nd.View().Domains {
				for _, e := range d.Members {
					if e.ConfigVersion != version {
						t.Fatalf("%s has %s at configuration %d, want %d", nd.inst.ID, e.ID, e.ConfigVersion, version)
					}
				}
			}
		}
	}
}

// Guards against a takeover of servers whose domain may be partitioned and still
// dispatching, and against servers that no instance dispatches although their domain is
// vacant, that is, none of its instances is listed or answers.
func TestDispatcherOfVacantDomain(t *testing.T) {
	n := newConvergedNetwork(t, 19, 3, 3)
	o := n.nodes[0]
	listed := n.list()
	for _, nd := range n.nodes[6:] {
		nd.up = false
	}
	n.run(10 * time.Second)
	n.call(o, func() []Action { return o.ApplyInstanceList(n.now, listed) })
	if e, ok := o.View().Dispatcher("dom02", "server"); !ok || e.Domain != "dom02" {
		t.Errorf("server of an unreachable listed domain is dispatched by %v", e)
	}
	n.applyListToAll()
	if e, ok := o.View().Dispatcher("dom02", "server"); !ok || e.Domain != "dom02" {
		t.Errorf("server of a domain that briefly appears vacant is dispatched by %v", e)
	}
	n.run(defaultTakeoverDelay)
	n.applyListToAll()
	e, ok := o.View().Dispatcher("dom02", "server")
	for _, nd := range n.live() {
		if got, _ := nd.View().Dispatcher("dom02", "server"); !ok || e.Domain == "dom02" || got.ID != e.ID {
			t.Errorf("server of a vacant domain is dispatched by %v and %v", got.ID, e.ID)
		}
	}
	for _, nd := range n.nodes[6:] {
		n.start(nd.inst.ID, nd.inst.Domain, nd.inst.PeerAddress)
	}
	n.call(n.nodes[len(n.nodes)-1], func() []Action { return n.nodes[len(n.nodes)-1].ApplyInstanceList(n.now, listed) })
	n.converge(10*time.Second, nil)
	if e, _ := o.View().Dispatcher("dom02", "server"); e.Domain != "dom02" {
		t.Errorf("server of a domain that returned is dispatched by %s", e.ID)
	}
}

// Guards against a domain that becomes unreachable because both its delegates crashed.
func TestBothDelegatesCrash(t *testing.T) {
	n := newConvergedNetwork(t, 21, 3, 8)
	n.run(2 * time.Second)
	for _, d := range n.nodes[0].ownDomain.delegates {
		n.byAddr[d.PeerAddress].up = false
	}
	for range 80 {
		n.run(100 * time.Millisecond)
		for _, nd := range n.live() {
			if d := nd.View().domain("dom00"); !d.Reachable {
				t.Fatalf("%s considers dom00 unreachable", nd.inst.ID)
			}
		}
	}
	n.converge(time.Second, nil)
}

// Guards against a domain that stays reachable after all its instances crashed at the same
// time as the delegates that received its heartbeats, or after a delayed reachability update.
func TestDomainBecomesUnreachableAfterDelegatesCrash(t *testing.T) {
	n := newConvergedNetwork(t, 33, 2, 5)
	n.run(2 * time.Second)
	for _, d := range n.nodes[0].ownDomain.delegates {
		n.byAddr[d.PeerAddress].up = false
	}
	for _, nd := range n.nodes[5:] {
		nd.up = false
	}
	inDom00 := func(_, nd *node) bool { return nd.inst.Domain == "dom00" }
	n.converge(10*time.Second, inDom00)
	// The new delegates must no longer presume dom01 reachable because of the reports of the
	// crashed delegates.
	n.run(10 * time.Second)
	delayed := &peerpb.Member{Domain: "dom01", Incarnation: uint64(n.now.UnixMilli())}
	for _, nd := range n.live() {
		n.call(nd, func() []Action {
			return nd.Receive(n.now, "x", &peerpb.Membership{Updates: []*peerpb.Member{delayed}})
		})
	}
	if n.difference(inDom00) == "" {
		t.Error("the delayed reachability update was not accepted")
	}
	n.converge(10*time.Second, inDom00)
}

// Guards against an instance that other domains consider dead although it is alive (the
// part of its domain that declared it dead has died), and against a dead instance that they
// consider alive (its domain never saw its last incarnation).
func TestOtherDomainsCorrectStaleMemberState(t *testing.T) {
	n := newConvergedNetwork(t, 35, 2, 3)
	isolated := n.nodes[0]
	n.blocked = func(a, b *node) bool { return (a == isolated) != (b == isolated) }
	n.run(5 * time.Second)
	n.nodes[1].up, n.nodes[2].up = false, false
	n.blocked = nil
	n.converge(15*time.Second, nil)

	n = newConvergedNetwork(t, 37, 2, 2)
	restarted := n.start("dom00-00", "dom00", n.nodes[0].inst.PeerAddress)
	n.blocked = func(a, b *node) bool { return a == restarted && b == n.nodes[1] || a == n.nodes[1] && b == restarted }
	n.call(restarted, func() []Action { return restarted.ApplyInstanceList(n.now, n.list()) })
	n.run(2 * time.Second)
	if e, _ := n.nodes[2].View().Member("dom00-00"); e.Incarnation != restarted.self.Incarnation {
		t.Fatalf("other domain has incarnation %d", e.Incarnation)
	}
	restarted.up = false
	n.nodes[1].gossipQueue = nil // simulates lost gossip
	n.converge(20*time.Second, nil)
}

// Guards against state that grows without limit with the messages of peers, and against
// lookups that allocate.
func TestBoundsAndAllocations(t *testing.T) {
	n := newConvergedNetwork(t, 23, 3, 8)
	n.run(20 * time.Second)
	nd := n.nodes[0]
	if len(nd.gossipQueue) > 0 {
		t.Errorf("%d updates are still queued in a deployment without changes", len(nd.gossipQueue))
	}
	for i := range 2 * maxMembers {
		u := nd.self.encode(true, true)
		u.Id = fmt.Sprint("x", i)
		if i%2 == 0 {
			u.Domain = u.Id
		}
		nd.merge(n.now, u, fromSync)
	}
	if len(nd.byID) > maxMembers || len(nd.domains) > maxDomains {
		t.Errorf("%d members in %d domains", len(nd.byID), len(nd.domains))
	}
	v := n.nodes[1].View()
	allocs := testing.AllocsPerRun(100, func() {
		v.Owner(1)
		v.Standby(2)
		v.Dispatcher("dom01", "server")
		v.Member("dom02-03")
	})
	if allocs > 0 {
		t.Errorf("lookups allocate %v times", allocs)
	}
}

// Guards against messages from a faulty or newer peer that crash a machine, lower its
// incarnation or remove it from its own view.
func TestArbitraryMessages(t *testing.T) {
	names := rapid.SampledFrom([]string{"", "dom00", "dom01", "dom00-00", "dom00-01", "dom01-00", "other"})
	numbers := rapid.OneOf(rapid.Uint64Range(0, 3), rapid.Uint64Range(1_699_999_999_999, 1_700_000_000_003), rapid.Just(uint64(math.MaxUint64)))
	members := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) *peerpb.Member {
		return &peerpb.Member{Id: names.Draw(t, "id"), Domain: names.Draw(t, "domain"), PeerAddress: names.Draw(t, "address"),
			Weight: uint32(numbers.Draw(t, "weight")), Incarnation: numbers.Draw(t, "incarnation"),
			State: uint32(rapid.IntRange(0, 16).Draw(t, "state")), ConfigVersion: numbers.Draw(t, "config")}
	}), 0, 4)
	rapid.Check(t, func(rt *rapid.T) {
		n := newNetwork(rt, 1, 2, 2)
		n.applyListToAll()
		n.run(time.Second)
		nd := n.nodes[0]
		for range rapid.IntRange(1, 20).Draw(rt, "messages") {
			msg := &peerpb.Membership{Kind: uint32(rapid.IntRange(0, 11).Draw(rt, "kind")), Seq: numbers.Draw(rt, "seq"),
				Target: names.Draw(rt, "target"), Updates: members.Draw(rt, "updates"), ConfigVersion: numbers.Draw(rt, "config")}
			for range rapid.IntRange(0, 3).Draw(rt, "domains") {
				msg.Domains = append(msg.Domains, &peerpb.DomainSummary{Name: names.Draw(rt, "name"),
					Version: numbers.Draw(rt, "version"), Members: members.Draw(rt, "members")})
			}
			before := nd.self.Incarnation
			n.call(nd, func() []Action { return nd.Receive(n.now, names.Draw(rt, "from"), msg) })
			n.run(50 * time.Millisecond)
			if e, ok := nd.View().Member("dom00-00"); !ok || e.Incarnation < before || e.State != Alive {
				rt.Fatalf("own entry is %v (%v) after incarnation %d", e, ok, before)
			}
		}
	})
}

// Guards against an update that declares a member dead in a different domain and makes a
// machine lose the highest incarnation it has seen of that member.
func TestDeadUpdateWithDifferentDomain(t *testing.T) {
	n := newConvergedNetwork(t, 31, 1, 2)
	u := n.nodes[1].self.encode(true, true)
	u.Domain, u.State = "dom77", uint32(rankDead)
	u.Incarnation++
	old := n.nodes[1].self.encode(true, true)
	old.Incarnation = 1
	n.call(n.nodes[0], func() []Action {
		return n.nodes[0].Receive(n.now, "x", &peerpb.Membership{Updates: []*peerpb.Member{u, old}})
	})
	if e, _ := n.nodes[0].View().Member(u.Id); e.Incarnation != u.Incarnation || e.Domain != "dom00" {
		t.Errorf("entry is %v", e)
	}
}

// Guards against a view that changes while other goroutines read it. The race detector
// reports unsynchronized access.
func TestViewIsImmutable(t *testing.T) {
	n := newConvergedNetwork(t, 29, 2, 6)
	for i := range 20 {
		v := n.nodes[0].View()
		entry, _ := v.Member("dom01-03")
		stop, done := make(chan bool), make(chan bool)
		go func() {
			for same := true; ; {
				select {
				case <-stop:
					done <- same
					return
				default:
					v.Owner(1)
					e, ok := v.Member("dom01-03")
					same = same && ok && e == entry
				}
			}
		}()
		n.nodes[9].SetConfigVersion(uint64(i + 1))
		n.nodes[9].paused = i%4 > 1
		n.run(time.Second)
		n.nodes[0].View()
		close(stop)
		if !<-done {
			t.Fatal("an earlier view has changed")
		}
	}
}

// Guards against lookups that disagree with each other or between instances.
func TestLookupsAgree(t *testing.T) {
	n := newConvergedNetwork(t, 25, 3, 5)
	for key := range uint64(2000) {
		key *= 0x9e3779b97f4a7c15
		owner, _ := n.nodes[0].View().Owner(key)
		standby, _ := n.nodes[0].View().Standby(key)
		if o, _ := n.nodes[7].View().Owner(key); o.ID != owner.ID || standby.ID == owner.ID || standby.Domain != owner.Domain {
			t.Fatalf("key %d: owners %s and %s, standby %s", key, owner.ID, o.ID, standby.ID)
		}
	}
	owner, _ := n.nodes[0].View().Owner(1)
	standby, _ := n.nodes[0].View().Standby(1)
	n.byAddr[owner.PeerAddress].up = false
	n.converge(10*time.Second, nil)
	for _, nd := range n.live() {
		if e, _ := nd.View().Owner(1); e.ID != standby.ID {
			t.Errorf("%s: owner after the crash is %s, want the standby %s", nd.inst.ID, e.ID, standby.ID)
		}
	}
}

// Guards against convergence that works only in small deployments, with 1,330 instances: a
// simultaneous start, crashes, and the partition and recovery of a domain.
func TestConvergenceAtTargetSize(t *testing.T) {
	if testing.Short() {
		t.Skip("1,330 machines")
	}
	defer debug.SetGCPercent(debug.SetGCPercent(400)) // halves the run time
	n := newNetwork(t, 27, 19, 70)
	n.workers, n.compareInterval = 4, 500*time.Millisecond
	n.applyListToAll()
	started := n.converge(20*time.Second, nil)
	for i := range 16 {
		n.nodes[i*83].up = false
	}
	crashed := n.converge(8*time.Second, nil)
	n.blocked = func(a, b *node) bool { return (a.inst.Domain == "dom03") != (b.inst.Domain == "dom03") }
	partitioned := n.converge(10*time.Second, func(o, nd *node) bool { return (o.inst.Domain == "dom03") == (nd.inst.Domain == "dom03") })
	n.blocked = nil
	t.Logf("started in %v, crashes detected in %v, partition detected in %v, healed in %v", started, crashed, partitioned, n.converge(10*time.Second, nil))
}
