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

// watchedInstance is one instance of the simulation.
type watchedInstance struct {
	name    string
	watcher *Watcher
	current Current
	loader  *Loader
	calls   []time.Time // of the store
	highest uint64
}

// pendingCall is a call whose answer the test has not delivered yet.
type pendingCall struct {
	instance *watchedInstance
	action   WatchAction
	deliver  func() []WatchAction
	cancel   bool
}

// watchSimulation runs instances against a fake store without real time.
type watchSimulation struct {
	t         *rapid.T
	store     *fakeStore
	now       time.Time
	instances []*watchedInstance
	pending   []*pendingCall
	cut       bool // peers are unreachable
}

func (s *watchSimulation) instance(name string) *watchedInstance {
	for _, i := range s.instances {
		if i.name == name {
			return i
		}
	}
	return nil
}

func (s *watchSimulation) do(i *watchedInstance, actions []WatchAction) {
	for _, a := range actions {
		switch a := a.(type) {
		case WatchHead:
			i.calls = append(i.calls, s.now)
			s.head(i, a)
		case LoadHead:
			s.add(i, a, func() []WatchAction {
				c, err := i.loader.LoadHead(context.Background(), a.Head, i.current.Get())
				if err == nil {
					i.current.Apply(c)
				}
				return i.watcher.LoadResult(s.now, a.Call, i.current.Version(), err)
			})
		case FetchPeer:
			s.fetch(i, a)
		case CancelCall:
			for _, p := range s.pending {
				if w, ok := p.action.(WatchHead); ok && w.Call == a.Call && p.instance == i {
					p.cancel = true
				}
			}
		}
	}
	s.check(i)
}

func (s *watchSimulation) add(i *watchedInstance, a WatchAction, deliver func() []WatchAction) {
	s.pending = append(s.pending, &pendingCall{instance: i, action: a, deliver: deliver})
}

// head reads the store when the call starts, so that an answer can be old when it is
// delivered. A watch without a change is answered later with the value of then.
func (s *watchSimulation) head(i *watchedInstance, a WatchHead) {
	read := func() (*Head, uint64, error) {
		value, revision, err := s.store.Watch(context.Background(), HeadKey, a.After)
		if err != nil || value == nil {
			return nil, revision, err
		}
		h, err := DecodeHead(value)
		return h, revision, err
	}
	early, revision, err := read()
	s.add(i, a, func() []WatchAction {
		if early == nil && err == nil {
			early, revision, err = read()
		}
		return i.watcher.HeadResult(s.now, a.Call, early, revision, err)
	})
}

func (s *watchSimulation) fetch(i *watchedInstance, a FetchPeer) {
	known := i.current.Version()
	if a.Whole {
		known = 0
	}
	answer, err := s.instance(a.Peer).current.EncodeSince(known)
	if s.cut {
		err = result.Errorf(result.PeerUnreachable, "cut off")
	}
	s.add(i, a, func() []WatchAction {
		if err == nil && answer != nil {
			_, err = i.current.ApplyEncoded(answer)
		}
		return i.watcher.PeerResult(s.now, a.Call, i.current.Version(), err)
	})
}

func (s *watchSimulation) deliver(n int) {
	p := s.pending[n]
	s.pending = append(s.pending[:n], s.pending[n+1:]...)
	if !p.cancel {
		s.do(p.instance, p.deliver())
	}
}

// check fails when a version went down or the limit of store calls was passed.
func (s *watchSimulation) check(i *watchedInstance) {
	if v := i.current.Version(); v < i.highest {
		s.t.Fatalf("%s went from version %d to %d", i.name, i.highest, v)
	} else {
		i.highest = v
	}
	for first := range i.calls {
		n := len(i.calls) - first
		window := i.calls[len(i.calls)-1].Sub(i.calls[first]).Seconds()
		if float64(n) > 4+2*window+1e-6 {
			s.t.Fatalf("%s made %d store calls in %.2f s", i.name, n, window)
		}
	}
}

func (s *watchSimulation) tick(d time.Duration) {
	s.now = s.now.Add(d)
	for _, i := range s.instances {
		s.do(i, i.watcher.Tick(s.now))
	}
}

func (s *watchSimulation) announce(from, to *watchedInstance) {
	if !s.cut {
		s.do(to, to.watcher.Heard(s.now, from.name, from.current.Version()))
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

// Guards against an instance that goes back to an older version because of an old
// answer, that asks the store more often than stated in an outage, or that does not
// reach the accepted version within 8 s after the failures have ended; while the store
// stays down, that is the highest version of any instance.
func TestWatchersConvergeAndNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1_000_000, 0)
		s := &watchSimulation{t: t, store: newFakeStore(), now: start}
		for n := range rapid.IntRange(1, 5).Draw(t, "instances") {
			i := &watchedInstance{name: fmt.Sprint("i", n), loader: NewLoader(s.store, LoaderConfig{ReadsPerSecond: 1e6})}
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
				s.cut = rapid.Bool().Draw(t, "cut")
			case 3:
				i := instance.Draw(t, "watching")
				s.do(i, i.watcher.SetWatching(s.now, rapid.Bool().Draw(t, "on")))
			case 4, 5:
				s.announce(instance.Draw(t, "from"), instance.Draw(t, "to"))
			case 6:
				s.tick(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
			default:
				if len(s.pending) > 0 {
					s.deliver(rapid.IntRange(0, len(s.pending)-1).Draw(t, "answer"))
				}
			}
		}
		s.store.down, s.cut = rapid.Bool().Draw(t, "store stays down"), false
		want := uint64(len(s.store.heads))
		if s.store.down {
			want = 0
			for _, i := range s.instances {
				want = max(want, i.current.Version())
			}
		}
		s.do(s.instances[0], s.instances[0].watcher.SetWatching(s.now, true))
		s.settle(8 * time.Second)
		for _, i := range s.instances {
			// An answer from before the outage can still bring a higher version.
			if got := i.current.Version(); got < want || !s.store.down && got != want {
				t.Fatalf("%s has version %d, expected is %d", i.name, got, want)
			}
		}
	})
}

// settle lets time pass without failures: answers arrive and heartbeats go to all.
func (s *watchSimulation) settle(d time.Duration) {
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

// Guards against an instance that never leaves an answer of the store that does not
// come, and against an answer that arrives after the call was given up.
func TestWatcherAbandonsCalls(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	w := NewWatcher(WatcherConfig{}, rand.New(rand.NewSource(1)), now)
	first := w.SetWatching(now, true)[0].(WatchHead)
	now = now.Add(31 * time.Second)
	w.Tick(now)
	now = now.Add(2 * time.Second)
	second := w.Tick(now)[0].(WatchHead)
	if actions := w.HeadResult(now, first.Call, &Head{Version: 5}, 9, nil); len(actions) > 0 {
		t.Fatalf("late answer led to %v", actions)
	}
	if load, ok := w.HeadResult(now, second.Call, &Head{Version: 6}, 10, nil)[0].(LoadHead); !ok || load.Head.Version != 6 {
		t.Fatal("the answer to the second call was not used")
	}
}

// Guards against two instances that ask again in step after an outage, and against a
// delay above the stated maximum.
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
				t.Fatalf("delay %v", now.Sub(from))
			}
		}
	}
	if len(delays) < 50 {
		t.Fatalf("only %d different delays", len(delays))
	}
}

// Guards against an instance that serves without having asked, or that serves an old
// configuration although a peer has a higher version.
func TestBootstrapDecisions(t *testing.T) {
	v := func(n uint64) *Config { return &Config{Version: n} }
	outage := result.Errorf(result.StoreUnavailable, "outage")
	for _, test := range []struct {
		name    string
		told    func(b *Bootstrap)
		after   time.Duration
		kind    DecisionKind
		version uint64
		code    result.Code
	}{
		{"nothing answered yet", func(b *Bootstrap) {}, time.Second, Wait, 0, 0},
		{"nothing answered", func(b *Bootstrap) {}, 6 * time.Second, Report, 0, result.InstanceNotReady},
		{"store and peer", func(b *Bootstrap) { b.Store(v(3), nil); b.Peer("p", v(3), nil) }, 0, Serve, 3, 0},
		{"peer is ahead", func(b *Bootstrap) { b.Store(v(3), nil); b.Peer("p", v(4), nil) }, 0, Serve, 4, 0},
		{"peer is slow", func(b *Bootstrap) { b.Store(v(3), nil) }, 0, Wait, 0, 0},
		{"peer is silent", func(b *Bootstrap) { b.Store(v(3), nil) }, time.Second, Serve, 3, 0},
		{"store is slow", func(b *Bootstrap) { b.Peer("p", v(2), nil) }, time.Second, Wait, 0, 0},
		{"store is down", func(b *Bootstrap) { b.Store(nil, outage); b.Peer("p", v(2), nil) }, 2 * time.Second, Serve, 2, 0},
		{"nothing accepted", func(b *Bootstrap) { b.Store(nil, result.Errorf(result.StoreNotFound, "")); b.Peer("p", nil, nil) },
			0, Report, 0, result.NoConfiguration},
		{"peers empty, store down", func(b *Bootstrap) { b.Store(nil, outage); b.Peer("p", nil, nil) }, 6 * time.Second, Report, 0, result.InstanceNotReady},
		{"later answer", func(b *Bootstrap) { b.Store(nil, outage); b.Store(v(5), nil) }, 6 * time.Second, Serve, 5, 0},
	} {
		start := time.Unix(1_000_000, 0)
		b := NewBootstrap(BootstrapConfig{}, start, []string{"p"})
		test.told(b)
		d := b.Decide(start.Add(test.after))
		if d.Kind != test.kind || d.Kind == Serve && d.Config.Version != test.version || result.CodeOf(d.Err) != test.code {
			t.Errorf("%s: %+v", test.name, d)
		}
	}
}

// nextAction lets time pass until the watcher acts.
func nextAction(t *testing.T, w *Watcher, now *time.Time) WatchAction {
	for range 100 {
		for _, a := range w.Tick(*now) {
			if _, ok := a.(WatchEvent); !ok {
				return a
			}
		}
		*now = now.Add(100 * time.Millisecond)
	}
	t.Fatal("the watcher does nothing for 10 s")
	return nil
}

// Guards against a version that is lost until the next accept when its services could
// not be loaded once.
func TestWatcherReadsHeadAgainAfterFailedLoad(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	w := NewWatcher(WatcherConfig{}, rand.New(rand.NewSource(1)), now)
	load := w.HeadResult(now, w.SetWatching(now, true)[0].(WatchHead).Call, &Head{Version: 2}, 10, nil)[0].(LoadHead)
	w.LoadResult(now, load.Call, 0, result.Errorf(result.DigestMismatch, "garbage"))
	if again := nextAction(t, w, &now).(WatchHead); again.After != 0 {
		t.Fatalf("the next watch waits for a change after revision %d", again.After)
	}
}

// Guards against an instance that stays behind because the changes that a peer sends
// do not fit its version, or because no peer delivers what it announced.
func TestWatcherFallsBack(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	w := NewWatcher(WatcherConfig{}, rand.New(rand.NewSource(1)), now)
	w.SetVersion(now, 3)
	first := w.Heard(now, "p", 5)[0].(FetchPeer)
	w.PeerResult(now, first.Call, 3, result.Errorf(result.DigestMismatch, "other base"))
	w.Heard(now, "p", 5)
	second := nextAction(t, w, &now).(FetchPeer)
	if first.Whole || !second.Whole {
		t.Fatalf("asked for %+v and then %+v", first, second)
	}
	w.PeerResult(now, second.Call, 3, result.Errorf(result.PeerUnreachable, "cut off"))
	call, ok := nextAction(t, w, &now).(WatchHead)
	if !ok {
		t.Fatal("the store was not asked")
	}
	// The store answers that the announced version does not exist.
	w.HeadResult(now, call.Call, &Head{Version: 3}, 10, nil)
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		if actions := w.Tick(now); len(actions) > 0 {
			t.Fatalf("still asks for a version that nobody has: %v", actions)
		}
	}
}
