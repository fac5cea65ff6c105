package config

import (
	"context"
	"math/rand"
	"sync"
	"time"

	"github.com/monsoonthread/monsoonthread/result"
)

const (
	followerTickInterval = 100 * time.Millisecond
	// bootstrapRetryInterval is the interval at which a starting instance queries the store
	// and its peers again.
	bootstrapRetryInterval = 500 * time.Millisecond
	// bootstrapPollInterval is the interval at which responses are checked during startup.
	bootstrapPollInterval = 10 * time.Millisecond
	// sourceStore is the source passed to FollowerConfig.OnApplied for the store.
	sourceStore = "store"
)

// FollowerConfig holds the dependencies and settings of a Follower.
type FollowerConfig struct {
	Store   Store
	Current *Current
	// FetchPeer requests the configuration of a peer for an instance that has the version
	// known. It returns nil if the peer has no higher version.
	FetchPeer func(ctx context.Context, peer string, known uint64) ([]byte, error)
	// OnApplied is called for each version put into force, one at a time and in order.
	// source is "store" or the peer's ID. OnApplied must not call the Follower.
	OnApplied func(c *Config, source string)
	// OnEvent is called for failures and ignored responses; it may be nil.
	OnEvent func(e WatchEvent)

	Loader    LoaderConfig
	Watcher   WatcherConfig
	Bootstrap BootstrapConfig
	Seed      int64 // of the jitter's random source
}

// Follower keeps the configuration of one instance up to date. It performs the calls
// requested by a Bootstrap during startup and by a Watcher afterwards. It is safe for
// concurrent use.
type Follower struct {
	cfg    FollowerConfig
	loader *Loader
	wake   chan struct{} // signals Run that pendingActions is not empty
	calls  sync.WaitGroup

	// applyMu is held while a version is put into force. Lock order: applyMu, mu.
	applyMu sync.Mutex

	mu             sync.Mutex
	watcher        *Watcher
	cancels        map[uint64]context.CancelFunc
	pendingActions []WatchAction
}

// NewFollower returns a Follower that is idle until Start or Run is called.
func NewFollower(cfg FollowerConfig) *Follower {
	return &Follower{
		cfg:     cfg,
		loader:  NewLoader(cfg.Store, cfg.Loader),
		wake:    make(chan struct{}, 1),
		watcher: NewWatcher(cfg.Watcher, rand.New(rand.NewSource(cfg.Seed)), time.Now()),
		cancels: make(map[uint64]context.CancelFunc),
	}
}

// SetWatching sets whether this instance watches the head on behalf of its failure domain.
func (f *Follower) SetWatching(on bool) {
	f.updateWatcher(func(w *Watcher) []WatchAction { return w.SetWatching(time.Now(), on) })
}

// ObservePeerVersion records the version that a peer announced.
func (f *Follower) ObservePeerVersion(peer string, version uint64) {
	f.updateWatcher(func(w *Watcher) []WatchAction { return w.ObservePeerVersion(time.Now(), peer, version) })
}

// updateWatcher passes an input to the Watcher and queues the resulting actions for Run.
func (f *Follower) updateWatcher(input func(w *Watcher) []WatchAction) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pendingActions = append(f.pendingActions, input(f.watcher)...)
	if len(f.pendingActions) > 0 {
		select {
		case f.wake <- struct{}{}:
		default:
		}
	}
}

// applyAndNotify calls apply, which may change the configuration in force, and calls
// OnApplied if it did.
func (f *Follower) applyAndNotify(source string, apply func() (bool, error)) error {
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	changed, err := apply()
	if changed && f.cfg.OnApplied != nil {
		f.cfg.OnApplied(f.cfg.Current.Get(), source)
	}
	return err
}

func (f *Follower) emitEvent(e WatchEvent) {
	if f.cfg.OnEvent != nil {
		f.cfg.OnEvent(e)
	}
}

// Start queries the store and the peers until one of them returns a configuration, and
// puts the highest version into force. It emits EventNoConfig once for each change of the
// reported error code, and fails only when ctx ends. peers is evaluated in each round,
// because a starting instance discovers its peers over time.
func (f *Follower) Start(ctx context.Context, peers func() []string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer f.calls.Wait()
	defer cancel()
	answers := &bootstrapCalls{Bootstrap: NewBootstrap(f.cfg.Bootstrap, time.Now(), peers()), inFlight: make(map[string]bool)}
	reported := result.OK
	next := time.Now()
	for {
		if now := time.Now(); !now.Before(next) {
			f.startBootstrapCalls(ctx, answers, peers())
			next = now.Add(bootstrapRetryInterval)
		}
		switch d := answers.decide(); d.Kind {
		case DecisionServe:
			err := f.applyAndNotify(answers.source(d.Config), func() (bool, error) { return f.cfg.Current.Apply(d.Config), nil })
			f.updateWatcher(func(w *Watcher) []WatchAction { return w.SetVersion(time.Now(), f.cfg.Current.Version()) })
			return err
		case DecisionReport:
			if code := result.CodeOf(d.Err); code != reported {
				reported = code
				f.emitEvent(WatchEvent{Name: EventNoConfig, Err: d.Err})
			}
		}
		select {
		case <-ctx.Done():
			return result.Errorf(result.InstanceNotReady, "no configuration available at startup: %w", ctx.Err())
		case <-time.After(bootstrapPollInterval):
		}
	}
}

// bootstrapCalls collects the responses for a Bootstrap. It is safe for concurrent use.
type bootstrapCalls struct {
	mu sync.Mutex
	*Bootstrap
	inFlight     map[string]bool // by peer; "" is the store
	peerByConfig map[*Config]string
}

func (b *bootstrapCalls) decide() BootstrapDecision {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Decide(time.Now())
}

// bestSoFar returns the configuration with the highest version so far, and whether all
// peers have responded or their wait has expired.
func (b *bootstrapCalls) bestSoFar() (best *Config, done bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.best, b.peersDone(time.Now())
}

func (b *bootstrapCalls) source(c *Config) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if peer, ok := b.peerByConfig[c]; ok {
		return peer
	}
	return sourceStore
}

// tryStart marks a call to source as in flight. It returns false if one already is.
func (b *bootstrapCalls) tryStart(source string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.inFlight[source] {
		return false
	}
	b.inFlight[source] = true
	return true
}

func (b *bootstrapCalls) finish(source string, c *Config, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight[source] = false
	if source == "" {
		b.StoreResult(c, err)
		return
	}
	if c != nil {
		if b.peerByConfig == nil {
			b.peerByConfig = make(map[*Config]string)
		}
		b.peerByConfig[c] = source
	}
	b.PeerResult(source, c, err)
}

// startBootstrapCalls starts a call to the store and to each peer that has none in
// flight.
func (f *Follower) startBootstrapCalls(ctx context.Context, b *bootstrapCalls, peers []string) {
	if b.tryStart("") {
		f.calls.Go(func() {
			c, err := f.loadForBootstrap(ctx, b)
			b.finish("", c, err)
		})
	}
	for _, peer := range peers {
		if !b.tryStart(peer) {
			continue
		}
		f.calls.Go(func() {
			answer, err := f.cfg.FetchPeer(ctx, peer, 0)
			var c *Config
			if err == nil && len(answer) > 0 {
				c, err = Decode(answer)
			}
			b.finish(peer, c, err)
		})
	}
}

// loadForBootstrap reads the head and, once the peers have responded or timed out, only
// the service values that the best configuration so far lacks. Otherwise 2,600 starts a
// day would read 2,800 values each.
func (f *Follower) loadForBootstrap(ctx context.Context, b *bootstrapCalls) (*Config, error) {
	head, _, err := ReadHead(ctx, f.cfg.Store)
	if err != nil {
		return nil, err
	}
	for {
		best, done := b.bestSoFar()
		switch {
		case best != nil && best.Version >= head.Version:
			return best, nil
		case done:
			return f.loader.LoadHead(ctx, head, best)
		}
		select {
		case <-ctx.Done():
			return nil, causeWithCode(ctx)
		case <-time.After(bootstrapPollInterval):
		}
	}
}

// Run follows the accepted configuration until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	defer f.calls.Wait()
	ticker := time.NewTicker(followerTickInterval)
	defer ticker.Stop()
	for {
		f.mu.Lock()
		actions := append(f.pendingActions, f.watcher.Tick(time.Now())...)
		f.pendingActions = nil
		f.mu.Unlock()
		for _, a := range actions {
			f.execute(ctx, a)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-f.wake:
		}
	}
}

func (f *Follower) execute(ctx context.Context, a WatchAction) {
	switch a := a.(type) {
	case WatchHead:
		f.startCall(ctx, a.Call, func(ctx context.Context) { f.watchHead(ctx, a) })
	case LoadHead:
		f.startCall(ctx, a.Call, func(ctx context.Context) { f.loadHead(ctx, a) })
	case RestoreHead:
		f.startCall(ctx, a.Call, func(ctx context.Context) {
			err := Restore(ctx, f.cfg.Store, f.cfg.Current.Get(), a.Head, a.Revision)
			f.updateWatcher(func(w *Watcher) []WatchAction { return w.RestoreResult(time.Now(), a.Call, err) })
		})
	case FetchPeer:
		f.startCall(ctx, a.Call, func(ctx context.Context) { f.fetchPeer(ctx, a) })
	case CancelCall:
		f.mu.Lock()
		defer f.mu.Unlock()
		if cancel, ok := f.cancels[a.Call]; ok {
			cancel()
		}
	case WatchEvent:
		f.emitEvent(a)
	}
}

// startCall runs fn in a new goroutine. The Watcher cancels a call that exceeds its timeout.
func (f *Follower) startCall(ctx context.Context, id uint64, fn func(ctx context.Context)) {
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
	f.updateWatcher(func(w *Watcher) []WatchAction { return w.HeadResult(time.Now(), a.Call, head, revision, err) })
}

func (f *Follower) loadHead(ctx context.Context, a LoadHead) {
	c, err := f.loader.LoadHead(ctx, a.Head, f.cfg.Current.Get())
	if err == nil {
		err = f.applyAndNotify(sourceStore, func() (bool, error) { return f.cfg.Current.Apply(c), nil })
	}
	f.updateWatcher(func(w *Watcher) []WatchAction {
		return w.LoadResult(time.Now(), a.Call, f.cfg.Current.Version(), err)
	})
}

func (f *Follower) fetchPeer(ctx context.Context, a FetchPeer) {
	known := f.cfg.Current.Version()
	if a.Full {
		known = 0
	}
	answer, err := f.cfg.FetchPeer(ctx, a.Peer, known)
	if err == nil && len(answer) > 0 {
		err = f.applyAndNotify(a.Peer, func() (bool, error) { return f.cfg.Current.ApplyEncoded(answer) })
	}
	f.updateWatcher(func(w *Watcher) []WatchAction {
		return w.PeerResult(time.Now(), a.Call, f.cfg.Current.Version(), err)
	})
}
