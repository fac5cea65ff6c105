package config

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/monsoonthread/monsoonthread/result"
)

// acceptScheduler runs concurrent Accept calls one store call at a time, in an order drawn
// by the test.
type acceptScheduler struct {
	store        *fakeStore
	blocked      chan chan callOutcome // one channel for each store call that waits to proceed
	finished     chan struct{}
	running      int
	blockedCalls []chan callOutcome
}

func newAcceptScheduler(s *fakeStore) *acceptScheduler {
	o := &acceptScheduler{store: s, blocked: make(chan chan callOutcome), finished: make(chan struct{})}
	s.nextOutcome = func() callOutcome {
		outcome := make(chan callOutcome)
		o.blocked <- outcome
		return <-outcome
	}
	return o
}

func (o *acceptScheduler) start(f func()) {
	o.running++
	go func() {
		f()
		o.finished <- struct{}{}
	}()
}

// waitUntilBlocked waits until each running Accept call is blocked in a store call or has
// returned.
func (o *acceptScheduler) waitUntilBlocked() {
	for len(o.blockedCalls) < o.running {
		select {
		case w := <-o.blocked:
			o.blockedCalls = append(o.blockedCalls, w)
		case <-o.finished:
			o.running--
		}
	}
}

func (o *acceptScheduler) step(i int, f callOutcome) {
	w := o.blockedCalls[i]
	o.blockedCalls = append(o.blockedCalls[:i], o.blockedCalls[i+1:]...)
	w <- f
	o.waitUntilBlocked()
}

// acceptOutcome is the result returned to an operator.
type acceptOutcome struct {
	id      string
	version uint64
	err     error
}

// Guards against a wrong outcome returned to an operator after lost requests, lost
// responses or delayed writes, with several operators at once. Also guards against two
// accepts that commit the same version.
func TestAcceptReportsCorrectOutcome(t *testing.T) {
	unresolved, conflicts := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		store := newFakeStore()
		ops := newAcceptScheduler(store)
		var mu sync.Mutex
		var outcomes []acceptOutcome
		accept := func(n int, base uint64) {
			id := fmt.Sprint("accept-", n)
			for resume := false; ; resume = true {
				retriesLeft := 6
				a := &Acceptor{Store: store, Resume: resume, Sleep: func(context.Context, time.Duration) error {
					if retriesLeft--; retriesLeft < 0 {
						return context.DeadlineExceeded
					}
					return nil
				}}
				version, err := a.Accept(context.Background(), testConfig(1, 1, uint32(100+n)), base, id)
				mu.Lock()
				outcomes = append(outcomes, acceptOutcome{id, version, err})
				mu.Unlock()
				if resume || result.CodeOf(err) != result.AcceptUnresolved {
					return
				}
			}
		}
		for n := range rapid.IntRange(3, 9).Draw(t, "accepts") {
			base := uint64(0)
			if len(store.heads) > 0 {
				base = store.heads[len(store.heads)-1].Version
			}
			ops.start(func() { accept(n, base) })
			ops.waitUntilBlocked()
			for range rapid.IntRange(0, 12).Draw(t, "steps") {
				drawStep(t, ops, callOutcome(rapid.IntRange(0, int(numCallOutcomes)-1).Draw(t, "outcome")))
			}
		}
		for len(ops.blockedCalls) > 0 || len(store.delayedWrites) > 0 {
			drawStep(t, ops, callOutcome(rapid.SampledFrom([]callOutcome{applied, applied, responseLost, requestLost}).Draw(t, "final outcome")))
		}
		checkOutcomes(t, store, outcomes)
		for _, o := range outcomes {
			switch result.CodeOf(o.err) {
			case result.AcceptUnresolved:
				unresolved++
			case result.ConfigConflict:
				conflicts++
			}
		}
	})
	t.Logf("%d conflicts, %d unresolved", conflicts, unresolved)
	if unresolved == 0 || conflicts == 0 {
		t.Fatal("the drawn histories contain no conflicts or no unresolved accepts")
	}
}

func drawStep(t *rapid.T, ops *acceptScheduler, f callOutcome) {
	if n := len(ops.store.delayedWrites); n > 0 && (len(ops.blockedCalls) == 0 || rapid.Bool().Draw(t, "apply delayed write")) {
		ops.store.applyDelayed(rapid.IntRange(0, n-1).Draw(t, "delayed write"))
	} else if n := len(ops.blockedCalls); n > 0 {
		ops.step(rapid.IntRange(0, n-1).Draw(t, "operator"), f)
	}
}

func checkOutcomes(t *rapid.T, store *fakeStore, outcomes []acceptOutcome) {
	committed := map[string]uint64{}
	for i, h := range store.heads {
		if h.Version != uint64(i+1) {
			t.Fatalf("write %d of the head has version %d", i+1, h.Version)
		}
		if v, ok := committed[h.AcceptID]; ok {
			t.Fatalf("accept %s committed versions %d and %d", h.AcceptID, v, h.Version)
		}
		committed[h.AcceptID] = h.Version
	}
	for _, o := range outcomes {
		version, ok := committed[o.id]
		switch code := result.CodeOf(o.err); {
		case code == result.OK && (!ok || version != o.version):
			t.Fatalf("%s returned version %d; committed: %v, version %d", o.id, o.version, ok, version)
		case code != result.OK && code != result.AcceptUnresolved && ok:
			t.Fatalf("%s returned %v, but committed version %d", o.id, o.err, version)
		case code == result.InternalInvariant:
			t.Fatalf("%s: error without a code: %v", o.id, o.err)
		}
	}
}

// The response to the first accept is lost, and other accepts follow before the head is read
// again. Guards against a conflict reported although the first accept took effect, and
// against a definite outcome when the head's history no longer covers it.
func TestAcceptFindsOutcomeAfterLaterAccepts(t *testing.T) {
	for _, later := range []int{1, MaxRecentAccepts - 1, MaxRecentAccepts} {
		store := newFakeStore()
		lost := false
		store.nextOutcome = func() callOutcome {
			if len(store.heads) == 0 && len(store.values) == 1 && !lost {
				lost = true
				return responseLost
			}
			return applied
		}
		a := &Acceptor{Store: store, Sleep: func(ctx context.Context, _ time.Duration) error {
			for i := range later {
				other := &Acceptor{Store: store, Sleep: noSleep}
				if _, err := other.Accept(ctx, testConfig(1, 1, uint32(200+i)), uint64(i+1), fmt.Sprint("later-", i)); err != nil {
					t.Fatal(err)
				}
			}
			return nil
		}}
		version, err := a.Accept(context.Background(), testConfig(1, 1, 100), 0, "first")
		if later < MaxRecentAccepts && (version != 1 || err != nil) {
			t.Fatalf("after %d later accepts: version %d, %v", later, version, err)
		}
		if later == MaxRecentAccepts && result.CodeOf(err) != result.AcceptUnresolved {
			t.Fatalf("after %d later accepts: version %d, %v", later, version, err)
		}
	}
}

// Guards against a conflict error without the differences from the accepted
// configuration, and against a reused accept ID that makes another proposal count as
// accepted.
func TestAcceptConflictListsChanges(t *testing.T) {
	store, ctx := newFakeStore(), context.Background()
	if _, err := Accept(ctx, store, testConfig(2, 2, 100), 0, "a"); err != nil {
		t.Fatal(err)
	}
	_, err := Accept(ctx, store, testConfig(2, 2, 250), 0, "b")
	var conflict *Conflict
	if result.CodeOf(err) != result.ConfigConflict || !errors.As(err, &conflict) {
		t.Fatal(err)
	}
	if conflict.Version != 1 || conflict.AcceptID != "a" || len(conflict.Changes) != 2 || conflict.Changes[0].Field != "relative speed" {
		t.Fatalf("conflict is %+v, want version 1, accept a and 2 changes, the first to the relative speed", conflict)
	}
	if _, err := Accept(ctx, store, testConfig(2, 2, 250), 0, "a"); result.CodeOf(err) != result.ConfigConflict {
		t.Fatalf("another proposal under the same accept ID: %v", err)
	}
	if v, err := Accept(ctx, store, testConfig(2, 2, 100), 0, "a"); v != 1 || err != nil {
		t.Fatalf("the same accept again: version %d, %v", v, err)
	}
}

// Guards against adopting malformed values from the store, and against an accept that
// overwrites a malformed head.
func TestMalformedValuesInStore(t *testing.T) {
	ctx, store := context.Background(), newFakeStore()
	c := testConfig(2, 2, 100)
	if _, err := Accept(ctx, store, c, 0, "a"); err != nil {
		t.Fatal(err)
	}
	key := ServiceKey(Digest(&c.Services[1]))
	good := store.values[key]
	other := store.values[ServiceKey(Digest(&c.Services[0]))]
	for name, test := range map[string]struct {
		key   string
		value []byte
		code  result.Code
	}{
		"other service":   {key, other.value, result.DigestMismatch},
		"truncated":       {key, good.value[:len(good.value)/2], result.DigestMismatch},
		"too large value": {key, make([]byte, MaxValueBytes+1), result.ConfigTooLarge},
		"head not JSON":   {HeadKey, []byte("<html>"), result.ConfigMalformed},
		"head no fields":  {HeadKey, []byte("{}"), result.ConfigMalformed},
		"too large head":  {HeadKey, make([]byte, MaxValueBytes+1), result.ConfigTooLarge},
	} {
		before := store.values[test.key]
		store.values[test.key] = stored{test.value, before.revision}
		if _, err := Load(ctx, store); result.CodeOf(err) != test.code {
			t.Errorf("%s: load: %v", name, err)
		}
		if test.key == HeadKey {
			if _, err := Accept(ctx, store, c, 1, "b"); result.CodeOf(err) != test.code {
				t.Errorf("%s: accept: %v", name, err)
			}
		}
		store.values[test.key] = before
	}
	// A later accept repairs a corrupted service value that it needs and that the head does
	// not reference.
	changed := testConfig(2, 2, 300)
	store.values[ServiceKey(Digest(&changed.Services[0]))] = stored{[]byte("garbage"), 99}
	if _, err := Accept(ctx, store, changed, 1, "c"); err != nil {
		t.Fatal(err)
	}
	if got, err := Load(ctx, store); err != nil || got.Version != 2 || len(Diff(got, changed)) > 0 {
		t.Fatalf("after repair: %v, %v", got, err)
	}
}

// Guards against loads that read every service when only one has changed.
func TestLoadFetchesOnlyChangedServices(t *testing.T) {
	ctx, store := context.Background(), newFakeStore()
	c := testConfig(50, 50, 100)
	if _, err := Accept(ctx, store, c, 0, "a"); err != nil {
		t.Fatal(err)
	}
	loader := NewLoader(store, LoaderConfig{})
	first, _, err := loader.Load(ctx, nil)
	if err != nil || store.serviceReads != 50 {
		t.Fatalf("%d reads, want 50: %v", store.serviceReads, err)
	}
	c = testConfig(50, 50, 100)
	c.Services[7].MaxDeadline++
	if _, err := Accept(ctx, store, c, 1, "b"); err != nil {
		t.Fatal(err)
	}
	store.serviceReads = 0
	fromPeer := *first // same content as received from a peer
	second, _, err := NewLoader(store, LoaderConfig{}).Load(ctx, &fromPeer)
	if err != nil || store.serviceReads != 1 || second.Version != 2 || second.Services[7].MaxDeadline != c.Services[7].MaxDeadline {
		t.Fatalf("%d reads, want 1 read and version 2 with the changed service: %v", store.serviceReads, err)
	}
}

// Guards against accepting a service that exceeds the size limit of one value.
func TestAcceptRejectsOversizedService(t *testing.T) {
	store, c := newFakeStore(), testConfig(1, 0, 100)
	for i := range 20_000 {
		c.Services[0].Routes = append(c.Services[0].Routes, Route{"GET", fmt.Sprint("/path/", i), Normal, true, false})
	}
	if _, err := Accept(context.Background(), store, c, 0, "a"); result.CodeOf(err) != result.ConfigTooLarge || len(store.values) != 0 {
		t.Fatalf("%v, %d keys written", err, len(store.values))
	}
}
