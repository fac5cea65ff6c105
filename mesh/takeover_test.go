package mesh

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// changeBound is the users' bound on a change of the configuration and on a draining server in small
// deployments. Larger ones, in which pulls are spread over more time, have at least largeChangeBound.
const (
	changeBound      = 3 * time.Second
	largeChangeBound = 5 * time.Second
)

// Guards against changes that arrive late because the instances that watch the store lose access to
// it in all failure domains at once, and with them the next instances in rank. Access is lost at each
// moment of a watch, and the change is made directly afterwards.
func TestTakeoverWhenWatchersLoseTheStore(t *testing.T) {
	for size, bound := range map[int]time.Duration{3: changeBound, 6: changeBound, 22: largeChangeBound} {
		for _, successors := range []int{0, 1} {
			for _, silent := range []bool{true, false} {
				step := decisionInterval
				if size > 6 {
					step = watchWait / 2
				}
				for offset := time.Duration(0); offset < watchWait; offset += step {
					n := newNetwork(3, size)
					n.run(10*time.Second+offset, 5)
					for d := range 3 {
						for _, p := range n.ranked(fmt.Sprint("d", d))[:1+successors] {
							p.store, p.silent = false, silent
						}
					}
					n.run(bound, 6)
					for _, i := range n.instances {
						if i.store && i.asOf != 6 {
							t.Fatalf("%d instances, %d successors, silent %v, offset %v: %s has revision %d after %v", size, successors, silent, offset, i.cfg.Self.ID, i.asOf, bound)
						}
					}
				}
			}
		}
	}
}

// Guards against a failed call that is not reported: the others would wait until the hold of the watch
// ends by itself, 2.1 s after the last answer.
func TestFailedCallEndsTheHoldAtOnce(t *testing.T) {
	const takeover = time.Second // of which pulls take up to 0.6 s, as pushes are lost here
	for offset := time.Duration(0); offset < watchWait; offset += decisionInterval {
		n := newNetwork(1, 3)
		n.run(10*time.Second+offset, 5)
		first := n.ranked("d0")[0]
		first.store = false
		n.endCall(first, false)
		n.run(takeover, 6)
		for _, i := range n.instances {
			if i.asOf != 6 {
				t.Fatalf("offset %v: %s has revision %d %v after the call of %s failed", offset, i.cfg.Self.ID, i.asOf, takeover, first.cfg.Self.ID)
			}
		}
	}
}

// ranked returns the instances of a failure domain in the order in which they take over.
func (n *network) ranked(domain string) []*node {
	var out []*node
	for _, p := range n.instances[0].Mesh.ranked[domain] {
		out = append(out, n.find(p.Address))
	}
	return out
}

// Guards against an instance that makes its successor give up the watch although the store does not
// answer it, when its next attempt is due or when it starts again.
func TestWatchIsKeptUntilAnotherInstanceGetsAnswers(t *testing.T) {
	n := newNetwork(1, 3)
	n.run(10*time.Second, 1)
	first := n.ranked("d0")[0]
	first.store, first.silent = false, true
	n.run(changeBound, 2)
	revision := uint64(2)
	for n.now < 60*time.Second {
		if n.now%(20*time.Second) == 0 { // a new process
			fresh := New(first.cfg)
			for _, p := range first.Members() {
				fresh.List(n.now, p)
			}
			first.Mesh, first.calling = fresh, false
		}
		revision++
		n.run(StatusInterval, revision)
		if second := n.ranked("d0")[1]; second.asOf != revision {
			t.Fatalf("%v: the second instance has revision %d of %d, state %v", n.now, second.asOf, revision, second.WatchState())
		}
	}
	if n.watchers("d0") > 2 {
		t.Errorf("%d instances call the store", n.watchers("d0"))
	}
}

// Guards against a watch that is left to an instance whose status says nothing about its calls, as
// earlier versions of the program send it.
func TestWatchIsTakenOverFromAnEarlierVersion(t *testing.T) {
	n := newNetwork(1, 2)
	first, second := n.ranked("d0")[0], n.ranked("d0")[1]
	for now := minAliveTime; now < 10*time.Second; now += StatusInterval {
		second.ApplyStatus(now, Status{Peer: first.cfg.Self, Incarnation: 1, AsOf: 1, Watching: true})
		if state := second.UpdateWatch(now); now > 2*minAliveTime+takeoverStagger+StatusInterval && state == Following {
			t.Fatalf("%v: %v", now, state)
		}
	}
}

// Guards against pulls from one peer that does not answer, one after the other, while others are ahead
// too: in a large failure domain, a peer that has just stopped counts as alive for seconds.
func TestPullsAvoidAPeerThatDoesNotAnswer(t *testing.T) {
	n := newNetwork(1, 70)
	first := n.ranked("d0")[0]
	for _, stopped := range n.ranked("d0")[1:4] {
		now := time.Minute
		first.ApplyStatus(now, Status{Peer: stopped.cfg.Self, Incarnation: 1, AsOf: 9})
		for _, p := range n.ranked("d0")[4:7] {
			first.ApplyStatus(now, Status{Peer: p.cfg.Self, Incarnation: 1, AsOf: 8})
		}
		failures := 0
		for end := now + changeBound; now < end; now += StatusInterval {
			from, ok := first.PullFrom(now, 5)
			if !ok {
				continue
			}
			if from.ID != stopped.cfg.Self.ID {
				break
			}
			failures++
			now += 500 * time.Millisecond
			first.PullFailed(now, from.ID)
		}
		if failures != 1 {
			t.Errorf("%d pulls from %s, which does not answer, before another peer is asked", failures, stopped.cfg.Self.ID)
		}
		first.Mesh = newNetwork(1, 70).find(first.cfg.Self.Address).Mesh
	}
	// Without another peer, the pull is repeated.
	alone := newNetwork(1, 2)
	a, b := alone.instances[0], alone.instances[1]
	a.ApplyStatus(0, Status{Peer: b.cfg.Self, Incarnation: 1, AsOf: 9})
	a.PullFailed(0, b.cfg.Self.ID)
	if _, ok := a.PullFrom(StatusInterval, 5); !ok {
		t.Error("no pull from the only peer that is ahead")
	}
}

// Guards against a storm of calls while the store answers nobody. Before instances took over from
// each other, a failure domain made one call per second at most.
func TestCallsWhileTheStoreAnswersNobody(t *testing.T) {
	for _, silent := range []bool{true, false} {
		for _, size := range []int{3, 22, 100} {
			n := newNetwork(1, size)
			n.run(20*time.Second, 1)
			before, callsBefore := 0, make(map[*node]int)
			for _, i := range n.instances {
				before, callsBefore[i] = before+i.calls, i.calls
				i.store, i.silent = false, silent
			}
			n.run(storeFailureBackoff, 2)
			callers := 0
			for _, i := range n.instances {
				if i.calls > callsBefore[i] {
					callers++
				}
			}
			if most := 2 + promptSuccessors + int(storeFailureBackoff/lateTakeoverStagger); callers > most {
				t.Errorf("%d instances, silent %v: %d of them have called the store after %v, at most %d", size, silent, callers, storeFailureBackoff, most)
			}
			n.run(10*time.Second-storeFailureBackoff, 2)
			calls := -before
			for _, i := range n.instances {
				calls += i.calls
				i.store, i.silent = true, false
			}
			// The first in rank retries after a failure; the others follow once in storeFailureBackoff at most.
			const outage = 10 * time.Second
			most := int(outage/retryDelay) + 1
			for rank := 1; rank < size && TakeoverDelay(rank) <= outage; rank++ {
				most += 1 + int((outage-TakeoverDelay(rank))/storeFailureBackoff)
			}
			if calls > most {
				t.Errorf("%d instances, silent %v: %d calls in 10 s, at most %d", size, silent, calls, most)
			}
			n.run(changeBound, 3)
			for _, i := range n.instances {
				if i.asOf != 3 {
					t.Errorf("%d instances, silent %v: %s has revision %d after the outage", size, silent, i.cfg.Self.ID, i.asOf)
				}
			}
		}
	}
}

// Guards against changes that arrive late in any sequence of instances that lose access to the store
// or stop, at most two at a time in a failure domain, with some status messages lost. Instances that
// were undisturbed for settled must have each change within changeBound.
func TestChangesArriveInTimeInRandomHistories(t *testing.T) {
	const settled = 4 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(rapid.IntRange(1, 3).Draw(t, "domains"), rapid.IntRange(3, 6).Draw(t, "size"))
		n.run(10*time.Second, 1)
		lossPeriod := rapid.IntRange(12, 60).Draw(t, "loss period")
		sent := 0
		n.lost = func() bool { sent++; return sent%lossPeriod == 0 }
		revision := uint64(1)
		changedAt := []time.Duration{0, 0} // by revision
		disturbed := make(map[*node]time.Duration)
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			i := n.instances[rapid.IntRange(0, len(n.instances)-1).Draw(t, "instance")]
			ill := 0
			for _, o := range n.ranked(i.cfg.Self.Domain) {
				if o != i && (!o.store || !o.up) {
					ill++
				}
			}
			switch event := rapid.IntRange(0, 6).Draw(t, "event"); {
			case event == 0 && ill < 2:
				i.store, i.silent = false, true
			case event == 1 && ill < 2:
				i.store, i.silent = false, false
			case event == 2 && ill < 2:
				i.up = false
			case event <= 4 && (!i.store || !i.up):
				i.store, i.silent, i.up = true, false, true
			default:
				revision++
				changedAt = append(changedAt, n.now)
			}
			for range rapid.IntRange(1, 40).Draw(t, "steps") {
				n.step(revision)
				for _, i := range n.instances {
					if !i.store || !i.up {
						disturbed[i] = n.now
						continue
					}
					if n.now-disturbed[i] < settled {
						continue
					}
					for r := i.asOf + 1; r <= revision; r++ {
						if age := n.now - changedAt[r]; age > changeBound {
							t.Fatalf("%v: %s does not have revision %d, which is %v old", n.now, i.cfg.Self.ID, r, age)
						}
					}
				}
			}
		}
	})
}
