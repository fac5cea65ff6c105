package config

import (
	"context"
	"fmt"
	"maps"
	"math/rand"
	"testing"
	"time"

	"github.com/monsoonthread/monsoonthread/result"
)

// acceptVersions accepts versions up to the given one, with accept IDs a1, a2 and so on, and returns
// the configuration and the head.
func acceptVersions(t *testing.T, s *fakeStore, last uint64) (*Config, *Head) {
	t.Helper()
	for n := uint64(len(s.heads)); n < last; n++ {
		if _, err := Accept(t.Context(), s, testConfig(2, 2, uint32(100+n)), n, fmt.Sprint("a", n+1)); err != nil {
			t.Fatal(err)
		}
	}
	c, head, err := NewLoader(s, LoaderConfig{}).Load(t.Context(), nil)
	if err != nil {
		t.Fatal(err)
	}
	return c, head
}

// Guards against an accepted version that is lost, or whose accept can no longer be resolved, because
// the store came back from a copy of before.
func TestRestoreWritesTheAcceptedVersionAgain(t *testing.T) {
	s := newFakeStore()
	acceptVersions(t, s, 1)
	older := maps.Clone(s.values)
	c, head := acceptVersions(t, s, 3)
	s.values = older
	if err := Restore(t.Context(), s, c, head, s.values[HeadKey].revision); err != nil {
		t.Fatal(err)
	}
	if got, err := Load(t.Context(), s); err != nil || got.Version != 3 || len(Diff(c, got)) != 0 {
		t.Fatalf("the store has %v, %v after the restore", got, err)
	}
	resumed := Acceptor{Store: s, Resume: true, Sleep: noSleep}
	if version, err := resumed.Accept(t.Context(), testConfig(2, 2, 101), 1, "a2"); err != nil || version != 2 {
		t.Errorf("accept a2 resolves to version %d, %v; want 2", version, err)
	}
}

// Guards against an accept that is overwritten because it came after the store was restored.
func TestRestoreKeepsALaterAccept(t *testing.T) {
	s := newFakeStore()
	acceptVersions(t, s, 1)
	older := maps.Clone(s.values)
	c, head := acceptVersions(t, s, 3)
	s.values = older
	behind := s.values[HeadKey].revision
	if _, err := Accept(t.Context(), s, testConfig(2, 2, 500), 1, "later"); err != nil {
		t.Fatal(err)
	}
	if err := Restore(t.Context(), s, c, head, behind); result.CodeOf(err) != result.StoreConflict {
		t.Errorf("restore over a later accept: %v", err)
	}
	if got, _, err := ReadHead(context.Background(), s); err != nil || got.AcceptID != "later" {
		t.Errorf("the store has accept %v, %v", got, err)
	}

	w := NewWatcher(WatcherConfig{}, rand.New(rand.NewSource(1)), time.Unix(1_000_000, 0))
	w.lastHead, w.version = head, head.Version
	call := w.SetWatching(time.Unix(1_000_000, 0), true)[0].(WatchHead).Call
	later, revision, err := ReadHead(context.Background(), s)
	for _, a := range w.HeadResult(time.Unix(1_000_000, 0), call, later, revision, err) {
		if _, ok := a.(RestoreHead); ok {
			t.Error("the watcher overwrites an accept that it does not know")
		}
	}
}

// Guards against a watch that waits for a revision that the store gives out again: the change under
// it would not be noticed.
func TestWatcherReadsTheHeadAfterAFailedCall(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	w := NewWatcher(WatcherConfig{}, rand.New(rand.NewSource(1)), now)
	w.version = 5
	call := w.SetWatching(now, true)[0].(WatchHead).Call
	now = now.Add(time.Second)
	next := w.HeadResult(now, call, &Head{Version: 5}, 28, nil)[0].(WatchHead)
	if next.After != 28 {
		t.Fatalf("the next watch is after revision %d, want 28", next.After)
	}
	w.HeadResult(now, next.Call, nil, 0, result.Errorf(result.StoreUnavailable, "outage"))
	now = now.Add(3 * time.Second)
	if again := w.Tick(now)[0].(WatchHead); again.After != 0 {
		t.Errorf("the watch after an outage is after revision %d, want 0", again.After)
	}
}

// Guards against an operator who is told that an accept did not take effect, although it is in force
// and only the store lost it.
func TestAcceptInDoubtIsNotDeniedAfterARestore(t *testing.T) {
	for _, base := range []uint64{2, 3} {
		s := newFakeStore()
		acceptVersions(t, s, 1)
		older := maps.Clone(s.values)
		acceptVersions(t, s, 4)
		s.values = older
		resumed := Acceptor{Store: s, Resume: true, Sleep: noSleep}
		if _, err := resumed.Accept(t.Context(), testConfig(2, 2, uint32(100+base)), base, fmt.Sprint("a", base+1)); result.CodeOf(err) != result.AcceptUnresolved {
			t.Errorf("retry of accept a%d: %v, want code %d", base+1, err, result.AcceptUnresolved)
		}
	}
}

// Guards against the same answer when the store is restored while the outcome of the write of the
// head is unknown.
func TestAcceptIsUnresolvedIfTheStoreIsRestoredMeanwhile(t *testing.T) {
	s := newFakeStore()
	acceptVersions(t, s, 1)
	older := maps.Clone(s.values)
	acceptVersions(t, s, 2)
	restored := false
	s.nextOutcome = func() callOutcome {
		if len(s.heads) == 3 && !restored { // version 3 is written; its answer is lost
			restored = true
			s.values = older
		}
		if restored {
			return applied
		}
		return responseLost
	}
	// Reads of the head fail while answers are lost, so the accept starts from a known head.
	_, head, err := NewLoader(&fakeStore{values: maps.Clone(s.values)}, LoaderConfig{}).Load(t.Context(), nil)
	if err != nil {
		t.Fatal(err)
	}
	proposal := testConfig(2, 2, 300)
	proposal.Version = 3
	c := &acceptCall{Acceptor: &Acceptor{Store: s, Sleep: noSleep}, proposal: proposal, base: 2, acceptID: "lost", contentDigest: contentDigest(proposal), digestsByName: head.Services}
	value, err := EncodeHead(c.nextHead(head))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.swapHead(t.Context(), value, s.values[HeadKey].revision); result.CodeOf(err) != result.AcceptUnresolved {
		t.Errorf("accept: %v, want code %d", err, result.AcceptUnresolved)
	}
}
