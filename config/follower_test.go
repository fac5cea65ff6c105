package config

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/monsoonthread/monsoonthread/result"
)

// waitingStore is a fake store whose watches wait for a change.
type waitingStore struct {
	*fakeStore
	open *atomic.Int32 // watches that wait
}

func (s waitingStore) Watch(ctx context.Context, key string, after uint64) ([]byte, uint64, error) {
	s.open.Add(1)
	defer s.open.Add(-1)
	for range 400 {
		value, revision, err := s.fakeStore.Watch(ctx, key, after)
		if err != nil || value != nil {
			return value, revision, err
		}
		select {
		case <-ctx.Done():
			return nil, 0, result.Errorf(result.StoreUnavailable, "%w", ctx.Err())
		case <-time.After(50 * time.Millisecond):
		}
	}
	return nil, after, nil
}

// following is a group of instances with followers in virtual time.
type following struct {
	t         *testing.T
	store     *fakeStore
	open      atomic.Int32
	followers map[string]*Follower
	current   map[string]*Current

	mu      sync.Mutex
	applied map[string][]uint64
	sources map[string]string
	events  map[string]int
	cut     bool // peers are unreachable
	fetches int
}

func newFollowing(t *testing.T, names ...string) *following {
	g := &following{t: t, store: newFakeStore(), followers: map[string]*Follower{}, current: map[string]*Current{},
		applied: map[string][]uint64{}, sources: map[string]string{}, events: map[string]int{}}
	for i, name := range names {
		g.current[name] = new(Current)
		g.followers[name] = NewFollower(FollowerConfig{
			Store: waitingStore{g.store, &g.open}, Current: g.current[name], Seed: int64(i), FetchPeer: g.fetch,
			Applied: func(c *Config, source string) {
				g.mu.Lock()
				defer g.mu.Unlock()
				g.applied[name] = append(g.applied[name], c.Version)
				g.sources[name] = source
			},
			Event: func(e WatchEvent) {
				g.mu.Lock()
				defer g.mu.Unlock()
				g.events[e.Name]++
			},
		})
	}
	return g
}

func (g *following) fetch(_ context.Context, peer string, known uint64) ([]byte, error) {
	time.Sleep(time.Millisecond)
	g.mu.Lock()
	cut := g.cut
	g.fetches++
	g.mu.Unlock()
	if cut {
		return nil, result.Errorf(result.PeerUnreachable, "cut off")
	}
	return g.current[peer].EncodeSince(known)
}

func (g *following) accept(c *Config) {
	version := uint64(len(g.store.heads))
	if _, err := Accept(context.Background(), g.store, c, version, fmt.Sprint("a", version)); err != nil {
		g.t.Fatal(err)
	}
}

func (g *following) setDown(down bool) {
	g.store.mu.Lock()
	defer g.store.mu.Unlock()
	g.store.down = down
}

// heartbeats announces the versions until the time is up.
func (g *following) heartbeats(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		for from := range g.followers {
			for _, to := range g.followers {
				g.mu.Lock()
				cut := g.cut
				g.mu.Unlock()
				if !cut {
					to.Heard(from, g.current[from].Version())
				}
			}
		}
	}
}

func (g *following) reported(name string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.events[name]
}

func (g *following) source(name string) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.sources[name]
}

func (g *following) want(version uint64) {
	g.t.Helper()
	for name, c := range g.current {
		if c.Version() != version {
			g.t.Fatalf("%s has version %d, want %d", name, c.Version(), version)
		}
	}
}

// Guards against an instance that serves without a configuration, stays behind after
// an outage, or gets its versions applied out of order.
func TestFollowersStartAndFollow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newFollowing(t, "a", "b", "c", "d")
		ctx, cancel := context.WithCancel(context.Background())
		none := func() []string { return nil }
		// Neither the store nor a peer can be reached: the instance reports and waits.
		g.setDown(true)
		var started sync.WaitGroup
		started.Go(func() {
			if err := g.followers["a"].Start(ctx, none); err != nil {
				t.Error(err)
			}
		})
		time.Sleep(6 * time.Second)
		if n := g.reported(EventNoConfig); n != 1 || g.current["a"].Version() != 0 {
			t.Fatalf("%d reports, version %d", n, g.current["a"].Version())
		}
		g.setDown(false)
		g.accept(testConfig(3, 6, 100))
		since := time.Now()
		started.Wait()
		if took := time.Since(since); took > 2*time.Second {
			t.Errorf("the instance started %v after the store could be reached", took)
		}
		// The store is down again: b starts from its peer.
		g.setDown(true)
		soon, stop := context.WithTimeout(ctx, 10*time.Second)
		defer stop()
		if err := g.followers["b"].Start(soon, func() []string { return []string{"a"} }); err != nil || g.source("b") != "a" {
			t.Fatal(err, g.source("b"))
		}
		g.setDown(false)
		g.store.gets = 0
		if err := g.followers["c"].Start(ctx, func() []string { return []string{"a", "b"} }); err != nil {
			t.Fatal(err)
		}
		if g.store.gets != 0 {
			t.Errorf("the start read %d service values that a peer had delivered", g.store.gets)
		}
		var running sync.WaitGroup
		for _, name := range []string{"a", "b", "c"} {
			running.Go(func() { g.followers[name].Run(ctx) })
		}
		fetches := g.fetches
		g.heartbeats(time.Second)
		if g.fetches != fetches {
			t.Errorf("%d fetches although all have the same version", g.fetches-fetches)
		}
		// The store is ahead of the peers: d takes only the changed service from it.
		changed := testConfig(3, 6, 100)
		changed.Services[1].MaxDeadline++
		g.accept(changed)
		g.store.gets = 0
		if err := g.followers["d"].Start(ctx, func() []string { return []string{"a", "b"} }); err != nil {
			t.Fatal(err)
		}
		if g.current["d"].Version() != 2 || g.store.gets != 1 {
			t.Errorf("version %d after %d reads of service values", g.current["d"].Version(), g.store.gets)
		}
		running.Go(func() { g.followers["d"].Run(ctx) })

		g.followers["a"].SetWatching(true)
		g.accept(testConfig(3, 6, 200))
		g.heartbeats(time.Second)
		g.want(3)
		if g.source("a") != "store" || g.source("b") == "store" {
			t.Fatalf("sources %s and %s", g.source("a"), g.source("b"))
		}
		g.accept(testConfig(3, 6, 300))
		g.setDown(true)
		g.heartbeats(time.Minute)
		g.setDown(false)
		g.heartbeats(8 * time.Second)
		g.want(4)
		// The only watcher is cut off from its peers: the others ask the store.
		g.mu.Lock()
		g.cut = true
		g.mu.Unlock()
		g.accept(testConfig(3, 6, 400))
		for _, f := range g.followers {
			f.Heard("a", 5)
		}
		time.Sleep(8 * time.Second)
		g.want(5)
		g.followers["a"].SetWatching(false)
		time.Sleep(time.Second)
		if n := g.open.Load(); n != 0 {
			t.Errorf("%d watches are open although no instance watches", n)
		}
		cancel()
		running.Wait()
		for name, versions := range g.applied {
			for i, v := range versions {
				if i > 0 && v <= versions[i-1] {
					t.Fatalf("%s applied %v", name, versions)
				}
			}
		}
	})
}
