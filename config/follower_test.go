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

// blockingWatchStore is a fakeStore whose watches block until a change, but at most 20 s
// (400 polls of 50 ms).
type blockingWatchStore struct {
	*fakeStore
	openWatches *atomic.Int32 // watches in progress
}

func (s blockingWatchStore) Watch(ctx context.Context, key string, after uint64) ([]byte, uint64, error) {
	s.openWatches.Add(1)
	defer s.openWatches.Add(-1)
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

// followerGroup is a group of instances with followers that run in virtual time.
type followerGroup struct {
	t           *testing.T
	store       *fakeStore
	openWatches atomic.Int32
	followers   map[string]*Follower
	current     map[string]*Current

	mu          sync.Mutex
	applied     map[string][]uint64
	sources     map[string]string
	events      map[string]int
	partitioned bool // peers are unreachable
	fetches     int
}

func newFollowerGroup(t *testing.T, names ...string) *followerGroup {
	g := &followerGroup{t: t, store: newFakeStore(), followers: map[string]*Follower{}, current: map[string]*Current{},
		applied: map[string][]uint64{}, sources: map[string]string{}, events: map[string]int{}}
	for i, name := range names {
		g.current[name] = new(Current)
		g.followers[name] = NewFollower(FollowerConfig{
			Store: blockingWatchStore{g.store, &g.openWatches}, Current: g.current[name], Seed: int64(i), FetchPeer: g.fetch,
			OnApplied: func(c *Config, source string) {
				g.mu.Lock()
				defer g.mu.Unlock()
				g.applied[name] = append(g.applied[name], c.Version)
				g.sources[name] = source
			},
			OnEvent: func(e WatchEvent) {
				g.mu.Lock()
				defer g.mu.Unlock()
				g.events[e.Name]++
			},
		})
	}
	return g
}

func (g *followerGroup) fetch(_ context.Context, peer string, known uint64) ([]byte, error) {
	time.Sleep(time.Millisecond)
	g.mu.Lock()
	partitioned := g.partitioned
	g.fetches++
	g.mu.Unlock()
	if partitioned {
		return nil, result.Errorf(result.PeerUnreachable, "partitioned")
	}
	return g.current[peer].EncodeSince(known)
}

func (g *followerGroup) accept(c *Config) {
	version := uint64(len(g.store.heads))
	if _, err := Accept(context.Background(), g.store, c, version, fmt.Sprint("a", version)); err != nil {
		g.t.Fatal(err)
	}
}

func (g *followerGroup) setStoreDown(down bool) {
	g.store.mu.Lock()
	defer g.store.mu.Unlock()
	g.store.down = down
}

// exchangeHeartbeats announces all versions between all instances for the duration d.
func (g *followerGroup) exchangeHeartbeats(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		for from := range g.followers {
			for _, to := range g.followers {
				g.mu.Lock()
				partitioned := g.partitioned
				g.mu.Unlock()
				if !partitioned {
					to.ObservePeerVersion(from, g.current[from].Version())
				}
			}
		}
	}
}

func (g *followerGroup) eventCount(name string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.events[name]
}

func (g *followerGroup) source(name string) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.sources[name]
}

func (g *followerGroup) requireVersion(version uint64) {
	g.t.Helper()
	for name, c := range g.current {
		if c.Version() != version {
			g.t.Fatalf("%s has version %d, want %d", name, c.Version(), version)
		}
	}
}

// Guards against an instance that serves without a configuration, stays behind after an
// outage or applies versions out of order.
func TestFollowersStartAndFollow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newFollowerGroup(t, "a", "b", "c", "d")
		ctx, cancel := context.WithCancel(context.Background())
		none := func() []string { return nil }
		// Neither the store nor a peer is reachable: the instance reports it and waits.
		g.setStoreDown(true)
		var started sync.WaitGroup
		started.Go(func() {
			if err := g.followers["a"].Start(ctx, none); err != nil {
				t.Error(err)
			}
		})
		time.Sleep(6 * time.Second)
		if n := g.eventCount(EventNoConfig); n != 1 || g.current["a"].Version() != 0 {
			t.Fatalf("%d %s events and version %d, want 1 event and no version", n, EventNoConfig, g.current["a"].Version())
		}
		g.setStoreDown(false)
		g.accept(testConfig(3, 6, 100))
		since := time.Now()
		started.Wait()
		if took := time.Since(since); took > 2*time.Second {
			t.Errorf("the instance started %v after the store became reachable", took)
		}
		// The store is down again: b starts with the configuration of its peer.
		g.setStoreDown(true)
		startCtx, cancelStart := context.WithTimeout(ctx, 10*time.Second)
		defer cancelStart()
		if err := g.followers["b"].Start(startCtx, func() []string { return []string{"a"} }); err != nil || g.source("b") != "a" {
			t.Fatal(err, g.source("b"))
		}
		g.setStoreDown(false)
		g.store.serviceReads = 0
		if err := g.followers["c"].Start(ctx, func() []string { return []string{"a", "b"} }); err != nil {
			t.Fatal(err)
		}
		if g.store.serviceReads != 0 {
			t.Errorf("startup read %d service values that a peer had already delivered", g.store.serviceReads)
		}
		var running sync.WaitGroup
		for _, name := range []string{"a", "b", "c"} {
			running.Go(func() { g.followers[name].Run(ctx) })
		}
		fetches := g.fetches
		g.exchangeHeartbeats(time.Second)
		if g.fetches != fetches {
			t.Errorf("%d fetches although all instances have the same version", g.fetches-fetches)
		}
		// The store is ahead of the peers: d reads only the changed service from it.
		changed := testConfig(3, 6, 100)
		changed.Services[1].MaxDeadline++
		g.accept(changed)
		g.store.serviceReads = 0
		if err := g.followers["d"].Start(ctx, func() []string { return []string{"a", "b"} }); err != nil {
			t.Fatal(err)
		}
		if g.current["d"].Version() != 2 || g.store.serviceReads != 1 {
			t.Errorf("version %d after %d reads of service values, want version 2 after 1 read", g.current["d"].Version(), g.store.serviceReads)
		}
		running.Go(func() { g.followers["d"].Run(ctx) })

		g.followers["a"].SetWatching(true)
		g.accept(testConfig(3, 6, 200))
		g.exchangeHeartbeats(time.Second)
		g.requireVersion(3)
		if g.source("a") != "store" || g.source("b") == "store" {
			t.Fatalf("a and b received version 3 from %s and %s, want the store and a peer", g.source("a"), g.source("b"))
		}
		g.accept(testConfig(3, 6, 300))
		g.setStoreDown(true)
		g.exchangeHeartbeats(time.Minute)
		g.setStoreDown(false)
		g.exchangeHeartbeats(8 * time.Second)
		g.requireVersion(4)
		// The only watching instance is partitioned from its peers: the others query the store.
		g.mu.Lock()
		g.partitioned = true
		g.mu.Unlock()
		g.accept(testConfig(3, 6, 400))
		for _, f := range g.followers {
			f.ObservePeerVersion("a", 5)
		}
		time.Sleep(8 * time.Second)
		g.requireVersion(5)
		g.followers["a"].SetWatching(false)
		time.Sleep(time.Second)
		if n := g.openWatches.Load(); n != 0 {
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
