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

// operators runs blocking accepts one store call at a time, in an order that the
// test draws.
type operators struct {
	store   *fakeStore
	waiting chan chan fate // one entry for each operator that waits for its turn
	ended   chan struct{}
	running int
	parked  []chan fate
}

func newOperators(s *fakeStore) *operators {
	o := &operators{store: s, waiting: make(chan chan fate), ended: make(chan struct{})}
	s.turn = func() fate {
		mine := make(chan fate)
		o.waiting <- mine
		return <-mine
	}
	return o
}

func (o *operators) start(f func()) {
	o.running++
	go func() {
		f()
		o.ended <- struct{}{}
	}()
}

// settle waits until every operator waits for its turn or has ended.
func (o *operators) settle() {
	for len(o.parked) < o.running {
		select {
		case w := <-o.waiting:
			o.parked = append(o.parked, w)
		case <-o.ended:
			o.running--
		}
	}
}

func (o *operators) step(i int, f fate) {
	w := o.parked[i]
	o.parked = append(o.parked[:i], o.parked[i+1:]...)
	w <- f
	o.settle()
}

// acceptOutcome is what an operator was told.
type acceptOutcome struct {
	id      string
	version uint64
	err     error
}

// Guards against an operator who is told a wrong outcome: after lost requests, lost
// answers and writes that arrive late, and with several operators at once. Also
// guards against two accepts that win the same version.
func TestAcceptOutcomesAreTrue(t *testing.T) {
	unresolved, conflicts := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		store := newFakeStore()
		ops := newOperators(store)
		var mu sync.Mutex
		var outcomes []acceptOutcome
		accept := func(n int, base uint64) {
			id := fmt.Sprint("accept-", n)
			for resume := false; ; resume = true {
				patience := 6
				a := &Acceptor{Store: store, Resume: resume, Sleep: func(context.Context, time.Duration) error {
					if patience--; patience < 0 {
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
			ops.settle()
			for range rapid.IntRange(0, 12).Draw(t, "steps") {
				drawStep(t, ops, fate(rapid.IntRange(0, int(numFates)-1).Draw(t, "fate")))
			}
		}
		for len(ops.parked) > 0 || len(store.late) > 0 {
			drawStep(t, ops, fate(rapid.SampledFrom([]fate{applied, applied, answerLost, requestLost}).Draw(t, "last fate")))
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
		t.Fatal("the drawn histories miss conflicts or unresolved accepts")
	}
}

func drawStep(t *rapid.T, ops *operators, f fate) {
	if n := len(ops.store.late); n > 0 && (len(ops.parked) == 0 || rapid.Bool().Draw(t, "late")) {
		ops.store.deliverLate(rapid.IntRange(0, n-1).Draw(t, "which late"))
	} else if n := len(ops.parked); n > 0 {
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
			t.Fatalf("accept %s won versions %d and %d", h.AcceptID, v, h.Version)
		}
		committed[h.AcceptID] = h.Version
	}
	for _, o := range outcomes {
		version, ok := committed[o.id]
		switch code := result.CodeOf(o.err); {
		case code == result.OK && (!ok || version != o.version):
			t.Fatalf("%s was told version %d; committed: %v, version %d", o.id, o.version, ok, version)
		case code != result.OK && code != result.AcceptUnresolved && ok:
			t.Fatalf("%s was told %v, but it is version %d", o.id, o.err, version)
		case code == result.InternalInvariant:
			t.Fatalf("%s: error without a code: %v", o.id, o.err)
		}
	}
}

// Guards against an accept that is told a conflict although it took effect, because
// other accepts came before the read-back; and against a claim when the head no
// longer remembers.
func TestAcceptReadsBackPastLaterAccepts(t *testing.T) {
	for _, later := range []int{1, MaxRecentAccepts - 1, MaxRecentAccepts} {
		store := newFakeStore()
		lost := false
		store.turn = func() fate {
			if len(store.heads) == 0 && len(store.values) == 1 && !lost {
				lost = true
				return answerLost
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

// Guards against a loser that does not learn what the winner changed, and against a
// repeated accept ID that reports another proposal as accepted.
func TestAcceptConflictTellsDifference(t *testing.T) {
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
		t.Fatalf("%+v", conflict)
	}
	if _, err := Accept(ctx, store, testConfig(2, 2, 250), 0, "a"); result.CodeOf(err) != result.ConfigConflict {
		t.Fatalf("another proposal under the same accept ID: %v", err)
	}
	if v, err := Accept(ctx, store, testConfig(2, 2, 100), 0, "a"); v != 1 || err != nil {
		t.Fatalf("the same accept again: version %d, %v", v, err)
	}
}

// Guards against garbage in the store that is adopted, or that an accept overwrites
// in the head.
func TestGarbageInStore(t *testing.T) {
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
		"other service":  {key, other.value, result.DigestMismatch},
		"cut off":        {key, good.value[:len(good.value)/2], result.DigestMismatch},
		"large value":    {key, make([]byte, MaxValueBytes+1), result.ConfigTooLarge},
		"head not JSON":  {HeadKey, []byte("<html>"), result.ConfigMalformed},
		"head no fields": {HeadKey, []byte("{}"), result.ConfigMalformed},
		"large head":     {HeadKey, make([]byte, MaxValueBytes+1), result.ConfigTooLarge},
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
	// A later accept repairs a service value that it needs and the head does not name.
	changed := testConfig(2, 2, 300)
	store.values[ServiceKey(Digest(&changed.Services[0]))] = stored{[]byte("garbage"), 99}
	if _, err := Accept(ctx, store, changed, 1, "c"); err != nil {
		t.Fatal(err)
	}
	if got, err := Load(ctx, store); err != nil || got.Version != 2 || len(Diff(got, changed)) > 0 {
		t.Fatalf("after repair: %v, %v", got, err)
	}
}

// Guards against loads that fetch every service for one changed service.
func TestLoadFetchesOnlyChangedServices(t *testing.T) {
	ctx, store := context.Background(), newFakeStore()
	c := testConfig(50, 50, 100)
	if _, err := Accept(ctx, store, c, 0, "a"); err != nil {
		t.Fatal(err)
	}
	loader := NewLoader(store, LoaderConfig{})
	first, _, err := loader.Load(ctx, nil)
	if err != nil || store.gets != 50 {
		t.Fatalf("%d reads, %v", store.gets, err)
	}
	c = testConfig(50, 50, 100)
	c.Services[7].MaxDeadline++
	if _, err := Accept(ctx, store, c, 1, "b"); err != nil {
		t.Fatal(err)
	}
	store.gets = 0
	fromPeer := *first // the same content by another way
	second, _, err := NewLoader(store, LoaderConfig{}).Load(ctx, &fromPeer)
	if err != nil || store.gets != 1 || second.Version != 2 || second.Services[7].MaxDeadline != c.Services[7].MaxDeadline {
		t.Fatalf("%d reads, %v", store.gets, err)
	}
}

// Guards against accepting a service that does not fit into one value.
func TestAcceptRefusesOversizedService(t *testing.T) {
	store, c := newFakeStore(), testConfig(1, 0, 100)
	for i := range 20_000 {
		c.Services[0].Routes = append(c.Services[0].Routes, Route{"GET", fmt.Sprint("/path/", i), Normal, true, false})
	}
	if _, err := Accept(context.Background(), store, c, 0, "a"); result.CodeOf(err) != result.ConfigTooLarge || len(store.values) != 0 {
		t.Fatalf("%v, %d keys written", err, len(store.values))
	}
}
