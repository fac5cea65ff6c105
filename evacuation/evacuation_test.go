package evacuation

import (
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/monsoonthread/monsoonthread/internal/fixedseed"
)

func TestMain(m *testing.M) { os.Exit(fixedseed.Run(m)) }

const hold = 5 * time.Second

// Guards against an evacuation that ends because the store was restored from a copy without its record.
func TestRestoredStoreDoesNotEndAnEvacuationAtOnce(t *testing.T) {
	s := NewSet(hold)
	s.Begin(time.Second, "b", 1)
	s.Tick(time.Second)
	s.End(2*time.Second, "b", 2)
	if changed := s.Tick(2*time.Second + hold - 1); len(changed) > 0 || !s.Active("b") {
		t.Fatalf("ended within the hold, changed %v", changed)
	}
	if v := s.Domains(3 * time.Second); len(v) != 1 || v[0] != (View{Domain: "b", Active: true, Since: 2 * time.Second, Held: hold - time.Second}) {
		t.Errorf("view %+v", v)
	}
	if changed := s.Tick(2*time.Second + hold); !slices.Equal(changed, []string{"b"}) || s.Active("b") {
		t.Errorf("not ended after the hold, changed %v", changed)
	}
}

// Guards against an evacuation that ends after the hold although operators wrote its record again, and
// against a hold of the removal with which they then end it.
func TestRecordWrittenAgainCancelsTheHeldRemoval(t *testing.T) {
	s := NewSet(hold)
	s.Begin(0, "b", 1)
	s.End(0, "b", 2)
	s.Begin(time.Second, "b", 2)
	if s.Tick(2 * hold); !s.Active("b") || s.Held("b") {
		t.Fatal("ended although the record was written again")
	}
	if s.End(2*hold, "b", 2); s.Active("b") {
		t.Error("the operators' removal is held")
	}
}

// Guards against a removal of an era that is over, or a record from before the restore, that changes
// what a later era has decided.
func TestChangesOfEarlierErasAreIgnored(t *testing.T) {
	s := NewSet(hold)
	s.Begin(0, "b", 2)
	if s.End(0, "b", 1); !s.Active("b") {
		t.Error("a removal of the earlier era ended the evacuation")
	}
	s.End(0, "b", 3)
	if s.Begin(1, "b", 2); !s.Held("b") {
		t.Error("a record of the earlier era cancelled the held removal")
	}
	s.Tick(hold)
	if s.Begin(hold, "b", 2); s.Active("b") {
		t.Error("a record of the earlier era began an evacuation that had ended")
	}
}

// Guards against a second evacuation that is taken for the first one, and against an end of one domain
// that ends another's.
func TestEvacuationsInTurn(t *testing.T) {
	s := NewSet(hold)
	s.Begin(1, "b", 1)
	s.Begin(2, "c", 1)
	if changed := s.Tick(2); !slices.Equal(changed, []string{"b", "c"}) {
		t.Fatalf("begun: %v", changed)
	}
	s.End(3, "b", 1)
	if changed := s.Tick(3); !slices.Equal(changed, []string{"b"}) || s.Active("b") || !s.Active("c") {
		t.Fatalf("after the end of b: changed %v", changed)
	}
	s.Begin(4, "b", 1)
	if changed := s.Tick(4); !slices.Equal(changed, []string{"b"}) || !s.Active("b") {
		t.Fatalf("after the second evacuation of b: changed %v", changed)
	}
	if v := s.Domains(5); v[0].Since != 1 {
		t.Errorf("the second evacuation counts from the first: %+v", v)
	}
}

// Guards against domains that stay in memory for good after their evacuation.
func TestEndedEvacuationIsForgotten(t *testing.T) {
	s := NewSet(0)
	s.Begin(0, "b", 1)
	s.End(time.Second, "b", 2) // without a hold
	s.Tick(time.Second)
	if v := s.Domains(2 * time.Second); len(v) != 1 || v[0] != (View{Domain: "b", EndedSince: time.Second}) {
		t.Fatalf("view %+v", v)
	}
	s.Tick(time.Second + endedRetention + 1)
	if len(s.domains) != 0 {
		t.Error("still known")
	}
}

// Guards against a set that is inactive while the store holds a record, whatever restores and removals
// came before, against one that stays active for longer than the hold after the store lost the record,
// and against changes that Tick does not return.
func TestSetFollowsTheStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewSet(hold)
		now, era, exists := time.Duration(0), uint64(1), false
		var absentSince time.Duration
		told := false
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond
			was := exists
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				exists = true
			case 1:
				exists = false
			case 2: // restored from a copy with or without the record
				era++
				exists = rapid.Bool().Draw(t, "in copy")
			}
			if exists {
				s.Begin(now, "b", era)
			} else {
				s.End(now, "b", era)
				if was {
					absentSince = now
				}
			}
			if slices.Contains(s.Tick(now), "b") {
				told = !told
			}
			if told != s.Active("b") {
				t.Fatalf("active %v, told %v", s.Active("b"), told)
			}
			if exists && !s.Active("b") {
				t.Fatal("not active although the store holds the record")
			}
			if !exists && s.Active("b") && !s.Held("b") {
				t.Fatalf("active without a record and a hold since %v", now-absentSince)
			}
		}
		// Restores during a hold begin it anew; the last one ends it.
		if !exists {
			if s.Tick(now + hold); s.Active("b") {
				t.Fatal("active for longer than the hold")
			}
		}
	})
}
