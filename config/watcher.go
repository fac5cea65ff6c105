package config

import (
	"math/rand"
	"slices"
	"time"

	"github.com/monsoonthread/monsoonthread/result"
)

// WatcherConfig bounds the calls of a Watcher. Zero values mean the defaults.
type WatcherConfig struct {
	MinBackoff time.Duration // after the first failure, default 250 ms
	// MaxBackoff (default 2 s) leaves a version most of the 8 s in which it must be in
	// force, when the store becomes reachable again.
	MaxBackoff time.Duration
	// CallsPerSecond (default 2) and Burst (default 4) limit the head calls of one
	// instance, whatever the answers are. In an outage, MaxBackoff limits them further:
	// between 0.5 and 1 call/s, so at most 38/s from two instances in 19 failure domains.
	CallsPerSecond float64
	Burst          int
	// PeerDelay is how long an instance that watches leaves a version to the store
	// before it asks a peer for it; default 500 ms.
	PeerDelay time.Duration
	// FallbackAfter is how long an instance that does not watch tries its peers before
	// it also asks the store; default 2 s.
	FallbackAfter time.Duration

	HeadTimeout time.Duration // default 30 s, more than the wait of a watch
	LoadTimeout time.Duration // default 60 s
	PeerTimeout time.Duration // default 5 s
}

func (c *WatcherConfig) setDefaults() {
	def := func(d *time.Duration, value time.Duration) {
		if *d <= 0 {
			*d = value
		}
	}
	def(&c.MinBackoff, 250*time.Millisecond)
	def(&c.MaxBackoff, 2*time.Second)
	def(&c.PeerDelay, 500*time.Millisecond)
	def(&c.FallbackAfter, 2*time.Second)
	def(&c.HeadTimeout, 30*time.Second)
	def(&c.LoadTimeout, time.Minute)
	def(&c.PeerTimeout, 5*time.Second)
	if c.CallsPerSecond <= 0 {
		c.CallsPerSecond = 2
	}
	if c.Burst <= 0 {
		c.Burst = 4
	}
}

// WatchAction is what the caller of a Watcher does next: WatchHead, LoadHead,
// FetchPeer, CancelCall or WatchEvent.
type WatchAction interface{ watchAction() }

// WatchHead asks for Store.Watch of the head and then Watcher.HeadResult.
type WatchHead struct {
	Call  uint64
	After uint64 // revision; 0 is answered at once
}

// LoadHead asks for Loader.LoadHead, Current.Apply and then Watcher.LoadResult.
type LoadHead struct {
	Call uint64
	Head *Head
}

// FetchPeer asks for FetchConfig at a peer with the version in force,
// Current.ApplyEncoded and then Watcher.PeerResult. With Whole, known_version is 0.
type FetchPeer struct {
	Call  uint64
	Peer  string
	Whole bool
}

// CancelCall ends a call whose result is no longer needed.
type CancelCall struct{ Call uint64 }

// WatchEvent reports a failure or an answer that was ignored.
type WatchEvent struct {
	Name    string
	Version uint64
	Err     error
}

func (WatchHead) watchAction()  {}
func (LoadHead) watchAction()   {}
func (FetchPeer) watchAction()  {}
func (CancelCall) watchAction() {}
func (WatchEvent) watchAction() {}

// Names of events.
const (
	EventStoreFailed   = "config_store_failed"
	EventStoreBehind   = "config_store_behind"
	EventLoadFailed    = "config_load_failed"
	EventPeerFailed    = "config_peer_failed"
	EventCallAbandoned = "config_call_abandoned"
	EventNoConfig      = "config_missing_at_start"
)

// maxAnnouncers bounds the peers remembered as having a higher version. Heartbeats
// repeat, so a peer that was not remembered is heard again.
const maxAnnouncers = 8

// Watcher decides when one instance asks the store or a peer for the configuration.
// It makes no calls and reads no clock. It is not safe for concurrent use.
type Watcher struct {
	cfg     WatcherConfig
	rng     *rand.Rand
	version uint64 // in force here

	watching bool
	revision uint64 // of the head whose version is in force here
	store    callState
	loading  *Head // head whose load is under way
	loadRev  uint64
	tokens   float64
	filled   time.Time // when tokens were last added

	peer        callState
	asked       string // peer of the call under way
	whole       bool   // the next peer is asked for the whole configuration
	announcers  []announcer
	behindSince time.Time // zero if no peer is known to have a higher version

	lastCall uint64
	out      []WatchAction
}

type announcer struct {
	peer    string
	version uint64
}

// callState is the one call under way to the store or to a peer.
type callState struct {
	call     uint64 // 0 if none
	deadline time.Time
	failures int
	retryAt  time.Time
}

// NewWatcher returns a Watcher that does not watch and knows no version.
func NewWatcher(cfg WatcherConfig, rng *rand.Rand, now time.Time) *Watcher {
	cfg.setDefaults()
	return &Watcher{cfg: cfg, rng: rng, tokens: float64(cfg.Burst), filled: now}
}

// SetVersion tells the version in force here, if it was not adopted by an action of
// the Watcher. It never goes down.
func (w *Watcher) SetVersion(now time.Time, version uint64) []WatchAction {
	w.adopted(now, version)
	return w.step(now)
}

// SetWatching tells whether this instance is one of those of its failure domain that
// watch the head.
func (w *Watcher) SetWatching(now time.Time, on bool) []WatchAction {
	if w.watching && !on && w.store.call != 0 && w.loading == nil {
		w.out = append(w.out, CancelCall{w.store.call})
		w.store.call = 0
	}
	w.watching = on
	return w.step(now)
}

// Heard tells that a peer announced its version.
func (w *Watcher) Heard(now time.Time, peer string, version uint64) []WatchAction {
	if version > w.version {
		if w.behindSince.IsZero() {
			w.behindSince = now
		}
		i := slices.IndexFunc(w.announcers, func(a announcer) bool { return a.peer == peer })
		switch {
		case i >= 0:
			w.announcers[i].version = version
		case len(w.announcers) < maxAnnouncers:
			w.announcers = append(w.announcers, announcer{peer, version})
		default:
			w.announcers[w.rng.Intn(maxAnnouncers)] = announcer{peer, version}
		}
	}
	return w.step(now)
}

// HeadResult tells the answer to WatchHead. The head is nil if nothing changed.
func (w *Watcher) HeadResult(now time.Time, call uint64, head *Head, revision uint64, err error) []WatchAction {
	if call != w.store.call || w.loading != nil {
		return nil
	}
	w.store.call = 0
	switch {
	case err != nil:
		w.failed(now, &w.store)
		w.event(EventStoreFailed, w.version, err)
	case head == nil:
		w.store.failures = 0
	case head.Version > w.version:
		w.loading, w.loadRev = head, revision
		w.begin(now, &w.store, w.cfg.LoadTimeout)
		w.out = append(w.out, LoadHead{w.store.call, head})
		return w.step(now)
	default:
		w.store.failures = 0
		w.revision = revision
		if head.Version < w.version {
			w.event(EventStoreBehind, head.Version,
				result.Errorf(result.ConfigStale, "store has version %d, version %d is in force", head.Version, w.version))
		}
		if len(w.announcers) == 0 { // no peer still claims a higher version
			w.behindSince = time.Time{}
		}
	}
	w.fallbackDone(now)
	return w.step(now)
}

// LoadResult tells the outcome of LoadHead and the version now in force.
func (w *Watcher) LoadResult(now time.Time, call uint64, version uint64, err error) []WatchAction {
	if call != w.store.call || w.loading == nil {
		w.adopted(now, version)
		return w.step(now)
	}
	w.store.call, w.loading = 0, nil
	w.adopted(now, version)
	if err != nil {
		// The revision stays, so that the next watch answers with the head at once.
		w.failed(now, &w.store)
		w.event(EventLoadFailed, w.version, err)
	} else {
		w.store.failures = 0
		w.revision = w.loadRev
	}
	w.fallbackDone(now)
	return w.step(now)
}

// PeerResult tells the outcome of FetchPeer and the version now in force.
func (w *Watcher) PeerResult(now time.Time, call uint64, version uint64, err error) []WatchAction {
	advanced := version > w.version
	w.adopted(now, version)
	if call != w.peer.call {
		return w.step(now)
	}
	w.peer.call = 0
	// A peer that did not deliver what it announced is asked again only when it
	// announces it again.
	w.announcers = slices.DeleteFunc(w.announcers, func(a announcer) bool { return a.peer == w.asked })
	code := result.CodeOf(err)
	// The changes did not fit the version in force here.
	w.whole = code == result.ConfigStale || code == result.DigestMismatch
	if err != nil {
		w.event(EventPeerFailed, w.version, err)
	}
	if !advanced {
		w.failed(now, &w.peer)
	}
	return w.step(now)
}

// Tick starts what is due. The caller calls it every 100 ms.
func (w *Watcher) Tick(now time.Time) []WatchAction { return w.step(now) }

// adopted raises the version in force.
func (w *Watcher) adopted(now time.Time, version uint64) {
	if version <= w.version {
		return
	}
	w.version = version
	w.peer.failures, w.peer.retryAt, w.whole = 0, time.Time{}, false
	w.announcers = slices.DeleteFunc(w.announcers, func(a announcer) bool { return a.version <= version })
	w.behindSince = time.Time{}
	if len(w.announcers) > 0 {
		w.behindSince = now
	}
}

func (w *Watcher) event(name string, version uint64, err error) {
	w.out = append(w.out, WatchEvent{name, version, err})
}

func (w *Watcher) begin(now time.Time, c *callState, timeout time.Duration) {
	w.lastCall++
	c.call, c.deadline = w.lastCall, now.Add(timeout)
}

// failed delays the next call: exponential backoff with jitter over its upper half.
func (w *Watcher) failed(now time.Time, c *callState) {
	d := min(w.cfg.MinBackoff<<min(c.failures, 16), w.cfg.MaxBackoff)
	c.failures++
	c.retryAt = now.Add(d/2 + time.Duration(w.rng.Int63n(int64(d/2)+1)))
}

// fallbackDone spaces the store calls of an instance that does not watch.
func (w *Watcher) fallbackDone(now time.Time) {
	if !w.watching && w.store.failures == 0 && w.store.call == 0 {
		w.store.retryAt = now.Add(w.cfg.MaxBackoff)
	}
}

// step starts the calls that are due and returns all actions.
func (w *Watcher) step(now time.Time) []WatchAction {
	w.abandon(now, &w.store)
	w.abandon(now, &w.peer)
	fallback := !w.watching && !w.behindSince.IsZero() && now.Sub(w.behindSince) >= w.cfg.FallbackAfter
	if w.store.call == 0 && (w.watching || fallback) && !now.Before(w.store.retryAt) && w.takeToken(now) {
		w.begin(now, &w.store, w.cfg.HeadTimeout)
		action := WatchHead{Call: w.store.call}
		if w.watching {
			action.After = w.revision
		}
		w.out = append(w.out, action)
	}
	if w.peer.call == 0 && len(w.announcers) > 0 && !now.Before(w.peer.retryAt) && w.peerDue(now) {
		w.begin(now, &w.peer, w.cfg.PeerTimeout)
		w.asked = w.announcers[w.rng.Intn(len(w.announcers))].peer
		w.out = append(w.out, FetchPeer{w.peer.call, w.asked, w.whole || w.version == 0})
	}
	out := w.out
	w.out = nil
	return out
}

func (w *Watcher) peerDue(now time.Time) bool {
	return !w.watching || now.Sub(w.behindSince) >= w.cfg.PeerDelay
}

// abandon forgets a call that did not return in time; a later answer is ignored.
func (w *Watcher) abandon(now time.Time, c *callState) {
	if c.call == 0 || now.Before(c.deadline) {
		return
	}
	w.out = append(w.out, CancelCall{c.call})
	w.event(EventCallAbandoned, w.version, nil)
	c.call = 0
	if c == &w.store {
		w.loading = nil
	}
	w.failed(now, c)
}

// takeToken enforces CallsPerSecond.
func (w *Watcher) takeToken(now time.Time) bool {
	if d := now.Sub(w.filled); d > 0 {
		w.tokens = min(float64(w.cfg.Burst), w.tokens+d.Seconds()*w.cfg.CallsPerSecond)
		w.filled = now
	}
	if w.tokens < 1 {
		return false
	}
	w.tokens--
	return true
}
