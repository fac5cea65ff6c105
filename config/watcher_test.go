package config

import (
	"context"
	"fmt"
	"math/rand"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/monsoonthread/monsoonthread/result"
)

// simulatedInstance is one instance of the simulation.
type simulatedInstance struct {
	name           string
	watcher        *Watcher
	current        Current
	loader         *Loader
	storeCalls     []time.Time // times of the store calls
	highestVersion uint64
}

// pendingCall is a call whose response the test has not delivered yet.
type pendingCall struct {
	instance  *simulatedInstance
	action    WatchAction
	deliver   func() []WatchAction // passes the response to the instance's watcher
	cancelled bool
}

// watchSimulation runs instances against a fake store in simulated time.
type watchSimulation struct {
	t           *rapid.T
	store       *fakeStore
	now         time.Time
	instances   []*simulatedInstance
	pending     []*pendingCall
	partitioned bool // peers are unreachable
}

func (s *watchSimulation) instance(name string) *simulatedInstance {
	for _, i := range s.instances {
		if i.name == name {
			return i
		}
	}
	return nil
}

func (s *watchSimulation) execute(i *simulatedInstance, actions []WatchAction) {
	for _, a := range actions {
		switch a := a.(type) {
		case WatchHead:
			i.storeCalls = append(i.storeCalls, s.now)
			s.startWatch(i, a)
		case LoadHead:
			s.addPending(i, a, func() []WatchAction {
				c, err := i.loader.LoadHead(context.Background(), a.Head, i.current.Get())
				if err == nil {
					i.current.Apply(c)
				}
				return i.watcher.LoadResult(s.now, a.Call, i.current.Version(), err)
			})
		case FetchPeer:
			s.startFetch(i, a)
		case CancelCall:
			for _, p := range s.pending {
				if w, ok := p.action.(WatchHead); ok && w.Call == a.Call && p.instance == i {
					p.cancelled = true
				}
			}
		}
	}
	s.check(i)
}

func (s *watchSimulation) addPending(i *simulatedInstance, a WatchAction, deliver func() []WatchAction) {
	s.pending = append(s.pending, &pendingCall{instance: i, action: a, deliver: deliver})
}

// startWatch reads the store when the call starts, so that the response can be stale when
// it is delivered. A watch without a change returns the value at delivery.
func (s *watchSimulation) startWatch(i *simulatedInstance, a WatchHead) {
	read := func() (*Head, uint64, error) {
		value, revision, err := s.store.Watch(context.Background(), HeadKey, a.After)
		if err != nil || value == nil {
			return nil, revision, err
		}
		h, err := DecodeHead(value)
		return h, revision, err
	}
	head, revision, err := read()
	s.addPending(i, a, func() []WatchAction {
		if head == nil && err == nil {
			head, revision, err = read()
		}
		return i.watcher.HeadResult(s.now, a.Call, head, revision, err)
	})
}

func (s *watchSimulation) startFetch(i *simulatedInstance, a FetchPeer) {
	known := i.current.Version()
	if a.Full {
		known = 0
	}
	answer, err := s.instance(a.Peer).current.EncodeSince(known)
	if s.partitioned {
		err = result.Errorf(result.PeerUnreachable, "partitioned")
	}
	s.addPending(i, a, func() []WatchAction {
		if err == nil && answer != nil {
			_, err = i.current.ApplyEncoded(answer)
		}
		return i.watcher.PeerResult(s.now, a.Call, i.current.Version(), err)
	})
}

func (s *watchSimulation) deliver(n int) {
	p := s.pending[n]
	s.pending = append(s.pending[:n], s.pending[n+1:]...)
	if !p.cancelled {
		s.execute(p.instance, p.deliver())
	}
}

// check fails if the version decreased or the rate limit of store calls was exceeded.
func (s *watchSimulation) check(i *simulatedInstance) {
	if v := i.current.Version(); v < i.highestVersion {
		s.t.Fatalf("%s went from version %d to %d", i.name, i.highestVersion, v)
	} else {
		i.highestVersion = v
	}
	const burst, callsPerSecond = 4, 2 // defaults of WatcherConfig
	const rounding = 1e-6
	for first := range i.storeCalls {
		n := len(i.storeCalls) - first
		window := i.storeCalls[len(i.storeCalls)-1].Sub(i.storeCalls[first]).Seconds()
		if float64(n) > burst+callsPerSecond*window+rounding {
			s.t.Fatalf("%s made %d store calls in %.2f s", i.name, n, window)
		}
	}
}

func (s *watchSimulation) tick(d time.Duration) {
	s.now = s.now.Add(d)
	for _, i := range s.instances {
		s.execute(i, i.watcher.Tick(s.now))
	}
}

func (s *watchSimulation) announce(from, to *simulatedInstance) {
	if !s.partitioned {
		s.execute(to, to.watcher.ObservePeerVersion(s.now, from.name, from.current.Version()))
	}
}

func (s *watchSimulation) accept() {
	down := s.store.down
	s.store.down = false
	defer func() { s.store.down = down }()
	n := uint64(len(s.store.heads))
	if _, err := Accept(context.Background(), s.store, testConfig(2, 2, uint32(100+n)), n, fmt.Sprint("a", n)); err != nil {
		s.t.Fatal(err)
	}
}

// Guards against an instance that rolls back because of a stale response, exceeds the call
// limit of the store in an outage, or does not reach the accepted version within 8 s after
// the failures end. If the store stays down, the expected version is the highest one of any
// instance.
func TestWatchersConvergeAndNeverRollBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1_000_000, 0)
		s := &watchSimulation{t: t, store: newFakeStore(), now: start}
		for n := range rapid.IntRange(1, 5).Draw(t, "instances") {
			i := &simulatedInstance{name: fmt.Sprint("i", n), loader: NewLoader(s.store, LoaderConfig{ReadsPerSecond: 1e6})}
			i.watcher = NewWatcher(WatcherConfig{}, rand.New(rand.NewSource(int64(n))), start)
			s.instances = append(s.instances, i)
		}
		s.accept()
		instance := rapid.SampledFrom(s.instances)
		for range rapid.IntRange(0, 80).Draw(t, "steps") {
			switch rapid.IntRange(0, 8).Draw(t, "step") {
			case 0:
				s.accept()
			case 1:
				s.store.down = rapid.Bool().Draw(t, "down")
			case 2:
				s.partitioned = rapid.Bool().Draw(t, "partitioned")
			case 3:
				i := instance.Draw(t, "watching")
				s.execute(i, i.watcher.SetWatching(s.now, rapid.Bool().Draw(t, "on")))
			case 4, 5:
				s.announce(instance.Draw(t, "from"), instance.Draw(t, "to"))
			case 6:
				s.tick(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
			default:
				if len(s.pending) > 0 {
					s.deliver(rapid.IntRange(0, len(s.pending)-1).Draw(t, "response"))
				}
			}
		}
		s.store.down, s.partitioned = rapid.Bool().Draw(t, "store stays down"), false
		want := uint64(len(s.store.heads))
		if s.store.down {
			want = 0
			for _, i := range s.instances {
				want = max(want, i.current.Version())
			}
		}
		s.execute(s.instances[0], s.instances[0].watcher.SetWatching(s.now, true))
		s.converge(8 * time.Second)
		for _, i := range s.instances {
			// A response from before the outage can still deliver a higher version.
			if got := i.current.Version(); got < want || !s.store.down && got != want {
				t.Fatalf("%s has version %d, want %d", i.name, got, want)
			}
		}
	})
}

// converge advances time by d without failures: responses arrive and all instances exchange
// heartbeats.
func (s *watchSimulation) converge(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.tick(100 * time.Millisecond)
		for n := len(s.pending); n > 0; n-- {
			s.deliver(0)
		}
		for _, from := range s.instances {
			for _, to := range s.instances {
				s.announce(from, to)
			}
		}
	}
}

// Guards against an instance that waits forever for a response of the store, and against
// using a response that arrives after its call timed out.
func TestWatcherAbandonsCalls(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	w := NewWatcher(WatcherConfig{}, rand.New(rand.NewSource(1)), now)
	first := w.SetWatching(now, true)[0].(WatchHead)
	now = now.Add(31 * time.Second)
	w.Tick(now)
	now = now.Add(2 * time.Second)
	second := w.Tick(now)[0].(WatchHead)
	if actions := w.HeadResult(now, first.Call, &Head{Version: 5}, 9, nil); len(actions) > 0 {
		t.Fatalf("late response led to %v", actions)
	}
	if load, ok := w.HeadResult(now, second.Call, &Head{Version: 6}, 10, nil)[0].(LoadHead); !ok || load.Head.Version != 6 {
		t.Fatal("the response to the second call was not used")
	}
}

// Guards against instances that retry in lockstep after an outage, and against a delay
// above the specified maximum.
func TestWatcherBackoffHasJitter(t *testing.T) {
	delays := map[time.Duration]bool{}
	for seed := range int64(20) {
		now := time.Unix(1_000_000, 0)
		w := NewWatcher(WatcherConfig{}, rand.New(rand.NewSource(seed)), now)
		actions := w.SetWatching(now, true)
		for range 6 {
			w.HeadResult(now, actions[0].(WatchHead).Call, nil, 0, result.Errorf(result.StoreUnavailable, "outage"))
			from := now
			for actions = nil; len(actions) == 0; actions = w.Tick(now) {
				now = now.Add(10 * time.Millisecond)
			}
			delays[now.Sub(from)] = true
			if now.Sub(from) > 2100*time.Millisecond {
				t.Fatalf("the next call came after %v, want at most 2.1 s", now.Sub(from))
			}
		}
	}
	if len(delays) < 50 {
		t.Fatalf("only %d distinct delays", len(delays))
	}
}

// Guards against an instance that serves before the store and its peers were queried, or
// that serves an old configuration although a peer has a higher version.
func TestBootstrapDecisions(t *testing.T) {
	v := func(n uint64) *Config { return &Config{Version: n} }
	outage := result.Errorf(result.StoreUnavailable, "outage")
	for _, test := range []struct {
		name    string
		inputs  func(b *Bootstrap)
		after   time.Duration
		kind    DecisionKind
		version uint64
		code    result.Code
	}{
		{"no response yet", func(b *Bootstrap) {}, time.Second, DecisionWait, 0, 0},
		{"no response", func(b *Bootstrap) {}, 6 * time.Second, DecisionReport, 0, result.InstanceNotReady},
		{"store and peer", func(b *Bootstrap) { b.StoreResult(v(3), nil); b.PeerResult("p", v(3), nil) }, 0, DecisionServe, 3, 0},
		{"peer is ahead", func(b *Bootstrap) { b.StoreResult(v(3), nil); b.PeerResult("p", v(4), nil) }, 0, DecisionServe, 4, 0},
		{"peer is slow", func(b *Bootstrap) { b.StoreResult(v(3), nil) }, 0, DecisionWait, 0, 0},
		{"peer does not respond", func(b *Bootstrap) { b.StoreResult(v(3), nil) }, time.Second, DecisionServe, 3, 0},
		{"store is slow", func(b *Bootstrap) { b.PeerResult("p", v(2), nil) }, time.Second, DecisionWait, 0, 0},
		{"store is down", func(b *Bootstrap) { b.StoreResult(nil, outage); b.PeerResult("p", v(2), nil) }, 2 * time.Second, DecisionServe, 2, 0},
		{"nothing accepted", func(b *Bootstrap) {
			b.StoreResult(nil, result.Errorf(result.StoreNotFound, ""))
			b.PeerResult("p", nil, nil)
		}, 0, DecisionReport, 0, result.NoConfiguration},
		{"peers empty, store down", func(b *Bootstrap) { b.StoreResult(nil, outage); b.PeerResult("p", nil, nil) }, 6 * time.Second, DecisionReport, 0, result.InstanceNotReady},
		{"later response", func(b *Bootstrap) { b.StoreResult(nil, outage); b.StoreResult(v(5), nil) }, 6 * time.Second, DecisionServe, 5, 0},
	} {
		start := time.Unix(1_000_000, 0)
		b := NewBootstrap(BootstrapConfig{}, start, []string{"p"})
		test.inputs(b)
		d := b.Decide(start.Add(test.after))
		if d.Kind != test.kind || d.Kind == DecisionServe && d.Config.Version != test.version || result.CodeOf(d.Err) != test.code {
			t.Errorf("%s: %+v", test.name, d)
		}
	}
}

// nextAction advances time until the watcher returns an action other than an event.
func nextAction(t *testing.T, w *Watcher, now *time.Time) WatchAction {
	for range 100 {
		for _, a := range w.Tick(*now) {
			if _, ok := a.(WatchEvent); !ok {
				return a
			}
		}
		*now = now.Add(100 * time.Millisecond)
	}
	t.Fatal("the watcher returned no action for 10 s")
	return nil
}

// Guards against a version that is skipped until the next accept because one load of its
// services failed.
func TestWatcherReadsHeadAgainAfterFailedLoad(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	w := NewWatcher(WatcherConfig{}, rand.New(rand.NewSource(1)), now)
	load := w.HeadResult(now, w.SetWatching(now, true)[0].(WatchHead).Call, &Head{Version: 2}, 10, nil)[0].(LoadHead)
	w.LoadResult(now, load.Call, 0, result.Errorf(result.DigestMismatch, "corrupt service value"))
	if again := nextAction(t, w, &now).(WatchHead); again.After != 0 {
		t.Fatalf("the next watch waits for a change after revision %d", again.After)
	}
}

// Guards against an instance that stays behind because the delta from a peer does not match
// its version, or because no peer delivers the version that it announced.
func TestWatcherFallsBack(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	w := NewWatcher(WatcherConfig{}, rand.New(rand.NewSource(1)), now)
	w.SetVersion(now, 3)
	first := w.ObservePeerVersion(now, "p", 5)[0].(FetchPeer)
	w.PeerResult(now, first.Call, 3, result.Errorf(result.DigestMismatch, "other base"))
	w.ObservePeerVersion(now, "p", 5)
	second := nextAction(t, w, &now).(FetchPeer)
	if first.Full || !second.Full {
		t.Fatalf("requested %+v and then %+v, want a delta and then the full configuration", first, second)
	}
	w.PeerResult(now, second.Call, 3, result.Errorf(result.PeerUnreachable, "partitioned"))
	call, ok := nextAction(t, w, &now).(WatchHead)
	if !ok {
		t.Fatal("the store was not queried")
	}
	// The store reports that the announced version does not exist.
	w.HeadResult(now, call.Call, &Head{Version: 3}, 10, nil)
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		if actions := w.Tick(now); len(actions) > 0 {
			t.Fatalf("still requests a version that no instance has: %v", actions)
		}
	}
}
