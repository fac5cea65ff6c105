package config

import (
	"context"
	"math/rand"
	"sync"
	"time"

	"github.com/monsoonthread/monsoonthread/result"
)

const (
	followerTick = 100 * time.Millisecond
	// bootstrapPause spaces the rounds in which an instance that starts asks the store
	// and its peers again.
	bootstrapPause = 500 * time.Millisecond
	// bootstrapPoll is how long an answer can lie before it is looked at.
	bootstrapPoll = 10 * time.Millisecond
	// sourceStore names the store to FollowerConfig.Applied.
	sourceStore = "store"
)

// FollowerConfig connects a Follower with its surroundings.
type FollowerConfig struct {
	Store   Store
	Current *Current
	// FetchPeer asks a peer for what it has above the version known; nil if it has
	// nothing newer.
	FetchPeer func(ctx context.Context, peer string, known uint64) ([]byte, error)
	// Applied is called for each version put into force, one at a time and in order.
	// source is "store" or the peer. It must not call the Follower.
	Applied func(c *Config, source string)
	// Event is called for failures and ignored answers; it may be nil.
	Event func(e WatchEvent)

	Loader    LoaderConfig
	Watcher   WatcherConfig
	Bootstrap BootstrapConfig
	Seed      int64 // of the jitter
}

// Follower keeps the configuration of one instance up to date: it makes the calls
// that a Bootstrap and then a Watcher ask for. It is safe for concurrent use.
type Follower struct {
	cfg    FollowerConfig
	loader *Loader
	wake   chan struct{} // has work when a Watcher input came from outside Run
	calls  sync.WaitGroup

	// apply is held while a version is put into force. Lock order: apply, mu.
	apply sync.Mutex

	mu      sync.Mutex
	watcher *Watcher
	cancels map[uint64]context.CancelFunc
	queued  []WatchAction
}

// NewFollower returns a Follower that does nothing until Start or Run.
func NewFollower(cfg FollowerConfig) *Follower {
	return &Follower{
		cfg:     cfg,
		loader:  NewLoader(cfg.Store, cfg.Loader),
		wake:    make(chan struct{}, 1),
		watcher: NewWatcher(cfg.Watcher, rand.New(rand.NewSource(cfg.Seed)), time.Now()),
		cancels: make(map[uint64]context.CancelFunc),
	}
}

// SetWatching tells whether this instance watches the head for its failure domain.
func (f *Follower) SetWatching(on bool) {
	f.input(func(w *Watcher) []WatchAction { return w.SetWatching(time.Now(), on) })
}

// Heard tells the version that a peer announced.
func (f *Follower) Heard(peer string, version uint64) {
	f.input(func(w *Watcher) []WatchAction { return w.Heard(time.Now(), peer, version) })
}

// input hands an input to the Watcher; Run makes the calls that it asks for.
func (f *Follower) input(in func(w *Watcher) []WatchAction) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.queued = append(f.queued, in(f.watcher)...)
	if len(f.queued) > 0 {
		select {
		case f.wake <- struct{}{}:
		default:
		}
	}
}

// put calls apply, which changes the configuration in force, and tells Applied.
func (f *Follower) put(source string, apply func() (bool, error)) error {
	f.apply.Lock()
	defer f.apply.Unlock()
	changed, err := apply()
	if changed && f.cfg.Applied != nil {
		f.cfg.Applied(f.cfg.Current.Get(), source)
	}
	return err
}

func (f *Follower) event(e WatchEvent) {
	if f.cfg.Event != nil {
		f.cfg.Event(e)
	}
}

// Start asks the store and the peers until one of them gives a configuration, and
// puts the highest version into force. It reports once for each phase without one,
// and fails only when ctx ends. peers is asked in each round, because an instance
// that starts learns of its peers by and by.
func (f *Follower) Start(ctx context.Context, peers func() []string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer f.calls.Wait()
	defer cancel()
	answers := &bootstrapCalls{Bootstrap: NewBootstrap(f.cfg.Bootstrap, time.Now(), peers()), running: make(map[string]bool)}
	reported := result.OK
	next := time.Now()
	for {
		if now := time.Now(); !now.Before(next) {
			f.ask(ctx, answers, peers())
			next = now.Add(bootstrapPause)
		}
		switch d := answers.decide(); d.Kind {
		case Serve:
			err := f.put(answers.source(d.Config), func() (bool, error) { return f.cfg.Current.Apply(d.Config), nil })
			f.input(func(w *Watcher) []WatchAction { return w.SetVersion(time.Now(), f.cfg.Current.Version()) })
			return err
		case Report:
			if code := result.CodeOf(d.Err); code != reported {
				reported = code
				f.event(WatchEvent{Name: EventNoConfig, Err: d.Err})
			}
		}
		select {
		case <-ctx.Done():
			return result.Errorf(result.InstanceNotReady, "no configuration at the start: %w", ctx.Err())
		case <-time.After(bootstrapPoll):
		}
	}
}

// bootstrapCalls collects answers for a Bootstrap.
type bootstrapCalls struct {
	mu sync.Mutex
	*Bootstrap
	running map[string]bool // "" is the store
	from    map[*Config]string
}

func (b *bootstrapCalls) decide() Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Decide(time.Now())
}

// peersBest returns the highest version so far, and whether to wait for more.
func (b *bootstrapCalls) peersBest() (best *Config, done bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.best, b.peersHeard(time.Now())
}

func (b *bootstrapCalls) source(c *Config) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if peer, ok := b.from[c]; ok {
		return peer
	}
	return sourceStore
}

// begin reports whether no call to that source is under way.
func (b *bootstrapCalls) begin(source string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.running[source] {
		return false
	}
	b.running[source] = true
	return true
}

func (b *bootstrapCalls) end(source string, c *Config, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running[source] = false
	if source == "" {
		b.Store(c, err)
		return
	}
	if c != nil {
		if b.from == nil {
			b.from = make(map[*Config]string)
		}
		b.from[c] = source
	}
	b.Peer(source, c, err)
}

// ask starts a call to the store and to each peer, unless one is under way.
func (f *Follower) ask(ctx context.Context, b *bootstrapCalls, peers []string) {
	if b.begin("") {
		f.calls.Go(func() {
			c, err := f.loadAtStart(ctx, b)
			b.end("", c, err)
		})
	}
	for _, peer := range peers {
		if !b.begin(peer) {
			continue
		}
		f.calls.Go(func() {
			answer, err := f.cfg.FetchPeer(ctx, peer, 0)
			var c *Config
			if err == nil && len(answer) > 0 {
				c, err = Decode(answer)
			}
			b.end(peer, c, err)
		})
	}
}

// loadAtStart reads the head and, after the peers had time to answer, the service
// values that the best answer of a peer lacks: 2,600 starts a day would otherwise read
// 2,800 values each.
func (f *Follower) loadAtStart(ctx context.Context, b *bootstrapCalls) (*Config, error) {
	head, _, err := ReadHead(ctx, f.cfg.Store)
	if err != nil {
		return nil, err
	}
	for {
		best, done := b.peersBest()
		switch {
		case best != nil && best.Version >= head.Version:
			return best, nil
		case done:
			return f.loader.LoadHead(ctx, head, best)
		}
		select {
		case <-ctx.Done():
			return nil, codedCause(ctx)
		case <-time.After(bootstrapPoll):
		}
	}
}

// Run follows the accepted configuration until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	defer f.calls.Wait()
	ticker := time.NewTicker(followerTick)
	defer ticker.Stop()
	for {
		f.mu.Lock()
		actions := append(f.queued, f.watcher.Tick(time.Now())...)
		f.queued = nil
		f.mu.Unlock()
		for _, a := range actions {
			f.do(ctx, a)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-f.wake:
		}
	}
}

func (f *Follower) do(ctx context.Context, a WatchAction) {
	switch a := a.(type) {
	case WatchHead:
		f.call(ctx, a.Call, func(ctx context.Context) { f.watchHead(ctx, a) })
	case LoadHead:
		f.call(ctx, a.Call, func(ctx context.Context) { f.loadHead(ctx, a) })
	case FetchPeer:
		f.call(ctx, a.Call, func(ctx context.Context) { f.fetchPeer(ctx, a) })
	case CancelCall:
		f.mu.Lock()
		defer f.mu.Unlock()
		if cancel, ok := f.cancels[a.Call]; ok {
			cancel()
		}
	case WatchEvent:
		f.event(a)
	}
}

// call runs fn on its own. The Watcher cancels a call that takes too long.
func (f *Follower) call(ctx context.Context, id uint64, fn func(ctx context.Context)) {
	ctx, cancel := context.WithCancel(ctx)
	f.mu.Lock()
	f.cancels[id] = cancel
	f.mu.Unlock()
	f.calls.Go(func() {
		fn(ctx)
		cancel()
		f.mu.Lock()
		delete(f.cancels, id)
		f.mu.Unlock()
	})
}

func (f *Follower) watchHead(ctx context.Context, a WatchHead) {
	value, revision, err := f.cfg.Store.Watch(ctx, HeadKey, a.After)
	var head *Head
	if err == nil && value != nil {
		head, err = DecodeHead(value)
	}
	f.input(func(w *Watcher) []WatchAction { return w.HeadResult(time.Now(), a.Call, head, revision, err) })
}

func (f *Follower) loadHead(ctx context.Context, a LoadHead) {
	c, err := f.loader.LoadHead(ctx, a.Head, f.cfg.Current.Get())
	if err == nil {
		err = f.put(sourceStore, func() (bool, error) { return f.cfg.Current.Apply(c), nil })
	}
	f.input(func(w *Watcher) []WatchAction {
		return w.LoadResult(time.Now(), a.Call, f.cfg.Current.Version(), err)
	})
}

func (f *Follower) fetchPeer(ctx context.Context, a FetchPeer) {
	known := f.cfg.Current.Version()
	if a.Whole {
		known = 0
	}
	answer, err := f.cfg.FetchPeer(ctx, a.Peer, known)
	if err == nil && len(answer) > 0 {
		err = f.put(a.Peer, func() (bool, error) { return f.cfg.Current.ApplyEncoded(answer) })
	}
	f.input(func(w *Watcher) []WatchAction {
		return w.PeerResult(time.Now(), a.Call, f.cfg.Current.Version(), err)
	})
}
