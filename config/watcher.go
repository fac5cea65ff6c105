package config

import (
	"math/rand"
	"slices"
	"time"

	"github.com/monsoonthread/monsoonthread/result"
)

// WatcherConfig sets the limits and timeouts of a Watcher's calls. Zero values select the
// defaults.
type WatcherConfig struct {
	MinBackoff time.Duration // after the first failure, default 250 ms
	// MaxBackoff defaults to 2 s, so that after the store becomes reachable again, most
	// of the 8 s in which a version must be in force remains.
	MaxBackoff time.Duration
	// CallsPerSecond (default 2) and Burst (default 4) limit the head calls of one
	// instance regardless of the responses. In an outage, MaxBackoff limits them further
	// to between 0.5 and 1 call/s, at most 38/s from two instances in each of 19 failure
	// domains.
	CallsPerSecond float64
	Burst          int
	// PeerDelay is how long a watching instance waits for the store to deliver a version
	// before it requests the version from a peer; default 500 ms.
	PeerDelay time.Duration
	// FallbackAfter is how long an instance that does not watch tries its peers before it
	// also queries the store; default 2 s.
	FallbackAfter time.Duration

	HeadTimeout time.Duration // default 30 s, longer than a watch waits for a change
	LoadTimeout time.Duration // default 60 s
	PeerTimeout time.Duration // default 5 s
}

func (c *WatcherConfig) setDefaults() {
	setDefault := func(d *time.Duration, value time.Duration) {
		if *d <= 0 {
			*d = value
		}
	}
	setDefault(&c.MinBackoff, 250*time.Millisecond)
	setDefault(&c.MaxBackoff, 2*time.Second)
	setDefault(&c.PeerDelay, 500*time.Millisecond)
	setDefault(&c.FallbackAfter, 2*time.Second)
	setDefault(&c.HeadTimeout, 30*time.Second)
	setDefault(&c.LoadTimeout, time.Minute)
	setDefault(&c.PeerTimeout, 5*time.Second)
	if c.CallsPerSecond <= 0 {
		c.CallsPerSecond = 2
	}
	if c.Burst <= 0 {
		c.Burst = 4
	}
}

// WatchAction is an action that the caller of a Watcher performs: WatchHead, LoadHead,
// RestoreHead, FetchPeer, CancelCall or WatchEvent.
type WatchAction interface{ watchAction() }

// WatchHead requests a Store.Watch of the head, followed by Watcher.HeadResult.
type WatchHead struct {
	Call  uint64
	After uint64 // revision; with 0 the watch returns immediately
}

// LoadHead requests Loader.LoadHead and Current.Apply, followed by Watcher.LoadResult.
type LoadHead struct {
	Call uint64
	Head *Head
}

// RestoreHead requests Restore, followed by Watcher.RestoreResult: the store came back from a copy
// that is older than the version in force.
type RestoreHead struct {
	Call     uint64
	Head     *Head  // of the version in force
	Revision uint64 // of the store's older head; 0 if it has none
}

// FetchPeer requests a FetchConfig call to a peer with the version in force as
// known_version (0 if Full is set) and Current.ApplyEncoded, followed by
// Watcher.PeerResult.
type FetchPeer struct {
	Call uint64
	Peer string
	Full bool
}

// CancelCall cancels a call whose result is no longer needed.
type CancelCall struct{ Call uint64 }

// WatchEvent reports a failure or an ignored response.
type WatchEvent struct {
	Name    string
	Version uint64
	Err     error
}

func (WatchHead) watchAction()   {}
func (LoadHead) watchAction()    {}
func (RestoreHead) watchAction() {}
func (FetchPeer) watchAction()   {}
func (CancelCall) watchAction()  {}
func (WatchEvent) watchAction()  {}

// Names of events.
const (
	EventStoreFailed   = "config_store_failed"
	EventStoreBehind   = "config_store_behind"
	EventStoreRestored = "config_store_restored"
	EventLoadFailed    = "config_load_failed"
	EventPeerFailed    = "config_peer_failed"
	EventCallAbandoned = "config_call_abandoned"
	EventNoConfig      = "config_missing_at_start"
)

// maxAnnouncers limits the peers tracked as having a higher version. Heartbeats repeat, so
// a peer that is not tracked announces its version again.
const maxAnnouncers = 8

// Watcher decides when one instance queries the store or a peer for the configuration. It
// performs no I/O and reads no clock. It is not safe for concurrent use.
type Watcher struct {
	cfg     WatcherConfig
	rng     *rand.Rand
	version uint64 // in force here

	watching        bool
	revision        uint64 // of the head whose version is in force; 0 if the store may have lost it
	lastHead        *Head  // with the highest version that the store delivered
	restoring       bool   // storeCall is a RestoreHead
	storeCall       callState
	loadingHead     *Head // head that is being loaded
	loadingRevision uint64
	tokens          float64
	refilledAt      time.Time // when tokens were last added

	peerCall      callState
	requestedPeer string // target of peerCall
	fetchFull     bool   // the next fetch requests the full configuration instead of a delta
	announcers    []announcer
	behindSince   time.Time // zero if no peer is known to have a higher version

	lastCallID uint64
	actions    []WatchAction
}

type announcer struct {
	peer    string
	version uint64
}

// callState tracks the single call in flight to the store or to a peer.
type callState struct {
	id       uint64 // 0 if none
	deadline time.Time
	failures int
	retryAt  time.Time
}

// NewWatcher returns a Watcher that is not watching and has no version in force.
func NewWatcher(cfg WatcherConfig, rng *rand.Rand, now time.Time) *Watcher {
	cfg.setDefaults()
	return &Watcher{cfg: cfg, rng: rng, tokens: float64(cfg.Burst), refilledAt: now}
}

// SetVersion records a version that was put into force without an action of the Watcher.
// Lower versions are ignored.
func (w *Watcher) SetVersion(now time.Time, version uint64) []WatchAction {
	w.raiseVersion(now, version)
	return w.step(now)
}

// SetWatching sets whether this instance is one of the instances of its failure domain
// that watch the head.
func (w *Watcher) SetWatching(now time.Time, on bool) []WatchAction {
	if w.watching && !on && w.storeCall.id != 0 && w.loadingHead == nil && !w.restoring {
		w.actions = append(w.actions, CancelCall{w.storeCall.id})
		w.storeCall.id = 0
	}
	w.watching = on
	return w.step(now)
}

// ObservePeerVersion records the version that a peer announced.
func (w *Watcher) ObservePeerVersion(now time.Time, peer string, version uint64) []WatchAction {
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

// HeadResult records the result of WatchHead. The head is nil if nothing changed.
func (w *Watcher) HeadResult(now time.Time, call uint64, head *Head, revision uint64, err error) []WatchAction {
	if call != w.storeCall.id || w.loadingHead != nil || w.restoring {
		return nil
	}
	w.storeCall.id = 0
	if head != nil && (w.lastHead == nil || head.Version >= w.lastHead.Version) {
		w.lastHead = head
	}
	switch {
	case result.CodeOf(err) == result.StoreNotFound && w.watching && w.holdsLastHead():
		w.restoreHead(now, 0)
		return w.step(now)
	case err != nil:
		// The store may come back from an older copy and give revisions out again, so the next
		// watch returns the head in any case.
		w.revision = 0
		w.scheduleRetry(now, &w.storeCall)
		w.addEvent(EventStoreFailed, w.version, err)
	case head == nil:
		w.storeCall.failures = 0
	case head.Version > w.version:
		w.loadingHead, w.loadingRevision = head, revision
		w.beginCall(now, &w.storeCall, w.cfg.LoadTimeout)
		w.actions = append(w.actions, LoadHead{w.storeCall.id, head})
		return w.step(now)
	default:
		w.storeCall.failures = 0
		w.revision = revision
		if head.Version < w.version {
			w.addEvent(EventStoreBehind, head.Version,
				result.Errorf(result.ConfigStale, "store has version %d, version %d is in force", head.Version, w.version))
			if _, older := w.knownAccept(head.AcceptID); older && w.watching && w.holdsLastHead() {
				w.restoreHead(now, revision)
				return w.step(now)
			}
		}
		if len(w.announcers) == 0 { // no peer announces a higher version any more
			w.behindSince = time.Time{}
		}
	}
	w.delayNextFallback(now)
	return w.step(now)
}

// LoadResult records the outcome of LoadHead and the version now in force.
func (w *Watcher) LoadResult(now time.Time, call uint64, version uint64, err error) []WatchAction {
	if call != w.storeCall.id || w.loadingHead == nil {
		w.raiseVersion(now, version)
		return w.step(now)
	}
	w.storeCall.id, w.loadingHead = 0, nil
	w.raiseVersion(now, version)
	if err != nil {
		// The revision is kept, so that the next watch returns the head immediately.
		w.scheduleRetry(now, &w.storeCall)
		w.addEvent(EventLoadFailed, w.version, err)
	} else {
		w.storeCall.failures = 0
		w.revision = w.loadingRevision
	}
	w.delayNextFallback(now)
	return w.step(now)
}

// PeerResult records the outcome of FetchPeer and the version now in force.
func (w *Watcher) PeerResult(now time.Time, call uint64, version uint64, err error) []WatchAction {
	advanced := version > w.version
	w.raiseVersion(now, version)
	if call != w.peerCall.id {
		return w.step(now)
	}
	w.peerCall.id = 0
	// A peer that did not deliver the announced version is queried again only after its
	// next announcement.
	w.announcers = slices.DeleteFunc(w.announcers, func(a announcer) bool { return a.peer == w.requestedPeer })
	code := result.CodeOf(err)
	// The delta did not match the version in force here.
	w.fetchFull = code == result.ConfigStale || code == result.DigestMismatch
	if err != nil {
		w.addEvent(EventPeerFailed, w.version, err)
	}
	if !advanced {
		w.scheduleRetry(now, &w.peerCall)
	}
	return w.step(now)
}

// Tick starts due calls. The caller invokes it every 100 ms.
func (w *Watcher) Tick(now time.Time) []WatchAction { return w.step(now) }

// raiseVersion records a higher version in force and drops announcements up to it.
func (w *Watcher) raiseVersion(now time.Time, version uint64) {
	if version <= w.version {
		return
	}
	w.version = version
	w.peerCall.failures, w.peerCall.retryAt, w.fetchFull = 0, time.Time{}, false
	w.announcers = slices.DeleteFunc(w.announcers, func(a announcer) bool { return a.version <= version })
	w.behindSince = time.Time{}
	if len(w.announcers) > 0 {
		w.behindSince = now
	}
}

func (w *Watcher) addEvent(name string, version uint64, err error) {
	w.actions = append(w.actions, WatchEvent{name, version, err})
}

func (w *Watcher) beginCall(now time.Time, c *callState, timeout time.Duration) {
	w.lastCallID++
	c.id, c.deadline = w.lastCallID, now.Add(timeout)
}

// scheduleRetry delays the next call by exponential backoff with jitter over its upper half.
func (w *Watcher) scheduleRetry(now time.Time, c *callState) {
	d := min(w.cfg.MinBackoff<<min(c.failures, 16), w.cfg.MaxBackoff)
	c.failures++
	c.retryAt = now.Add(d/2 + time.Duration(w.rng.Int63n(int64(d/2)+1)))
}

// delayNextFallback delays the next store call of an instance that does not watch.
func (w *Watcher) delayNextFallback(now time.Time) {
	if !w.watching && w.storeCall.failures == 0 && w.storeCall.id == 0 {
		w.storeCall.retryAt = now.Add(w.cfg.MaxBackoff)
	}
}

// step starts the calls that are due and returns all actions.
func (w *Watcher) step(now time.Time) []WatchAction {
	w.expireCall(now, &w.storeCall)
	w.expireCall(now, &w.peerCall)
	fallback := !w.watching && !w.behindSince.IsZero() && now.Sub(w.behindSince) >= w.cfg.FallbackAfter
	if w.storeCall.id == 0 && (w.watching || fallback) && !now.Before(w.storeCall.retryAt) && w.takeToken(now) {
		w.beginCall(now, &w.storeCall, w.cfg.HeadTimeout)
		action := WatchHead{Call: w.storeCall.id}
		if w.watching {
			action.After = w.revision
		}
		w.actions = append(w.actions, action)
	}
	if w.peerCall.id == 0 && len(w.announcers) > 0 && !now.Before(w.peerCall.retryAt) && w.peerDue(now) {
		w.beginCall(now, &w.peerCall, w.cfg.PeerTimeout)
		w.requestedPeer = w.announcers[w.rng.Intn(len(w.announcers))].peer
		w.actions = append(w.actions, FetchPeer{w.peerCall.id, w.requestedPeer, w.fetchFull || w.version == 0})
	}
	out := w.actions
	w.actions = nil
	return out
}

func (w *Watcher) peerDue(now time.Time) bool {
	return !w.watching || now.Sub(w.behindSince) >= w.cfg.PeerDelay
}

// expireCall cancels a call that exceeded its deadline; a late response is ignored.
func (w *Watcher) expireCall(now time.Time, c *callState) {
	if c.id == 0 || now.Before(c.deadline) {
		return
	}
	w.actions = append(w.actions, CancelCall{c.id})
	w.addEvent(EventCallAbandoned, w.version, nil)
	c.id = 0
	if c == &w.storeCall {
		w.loadingHead, w.restoring, w.revision = nil, false, 0
	}
	w.scheduleRetry(now, c)
}

// takeToken takes a token from the bucket that enforces CallsPerSecond and Burst.
func (w *Watcher) takeToken(now time.Time) bool {
	if d := now.Sub(w.refilledAt); d > 0 {
		w.tokens = min(float64(w.cfg.Burst), w.tokens+d.Seconds()*w.cfg.CallsPerSecond)
		w.refilledAt = now
	}
	if w.tokens < 1 {
		return false
	}
	w.tokens--
	return true
}
