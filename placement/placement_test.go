package placement

import (
	"flag"
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"
)

func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// Guards against moving keys between members that a removal does not affect.
func TestRemovalMovesOnlyTheRemovedMembersKeys(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 20).Draw(t, "members")
		members := make([]Member, n)
		for i := range members {
			members[i] = NewMember(fmt.Sprint("m", i), uint32(rapid.IntRange(1, 8).Draw(t, "weight")))
		}
		removed := rapid.IntRange(0, n-1).Draw(t, "removed")
		rest := append(append([]Member{}, members[:removed]...), members[removed+1:]...)
		for k := range 200 {
			key := Key("flow", fmt.Sprint(k))
			first, second := Top2(key, members)
			after := rest[Pick(key, rest)].ID
			if first != removed && members[first].ID != after {
				t.Fatalf("key %d moved from %s to %s although %s was removed", k, members[first].ID, after, members[removed].ID)
			}
			if first == removed && members[second].ID != after {
				t.Fatalf("key %d went to %s and not to the standby instance %s", k, after, members[second].ID)
			}
		}
	})
}

// Guards against shares that are not proportional to the weights.
func TestSharesFollowWeights(t *testing.T) {
	members := []Member{NewMember("a", 1), NewMember("b", 2), NewMember("c", 5), NewMember("d", 0)}
	const keys = 80000
	counts := make([]int, len(members))
	for k := range keys {
		counts[Pick(Key("k", fmt.Sprint(k)), members)]++
	}
	for i, m := range members {
		want := float64(keys) * float64(m.Weight) / 8
		if math.Abs(float64(counts[i])-want) > 0.03*keys {
			t.Errorf("member %s owns %d keys, want about %.0f", m.ID, counts[i], want)
		}
	}
}

// Guards against a bound that skips the score of a member that would have won.
func TestPickEqualsTheFullComparison(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := make([]Member, rapid.IntRange(0, 70).Draw(t, "members"))
		for i := range members {
			members[i] = NewMember(fmt.Sprint("m", i), rapid.Uint32Range(0, 800).Draw(t, "weight"))
		}
		for range 200 {
			key := rapid.Uint64().Draw(t, "key")
			first, second := Top2(key, members)
			rank := append(Rank(key, members, nil), -1, -1)
			if first != rank[0] || second != rank[1] || Pick(key, members) != first {
				t.Fatalf("key %d: pick %d, top %d and %d, full order %v", key, Pick(key, members), first, second, rank)
			}
		}
	})
}

// Guards against shares that deviate from the weights by more than 3% at the target size.
func TestSharesAtTargetSize(t *testing.T) {
	members := make([]Member, 70)
	var total float64
	for i := range members {
		members[i] = NewMember(fmt.Sprint("m", i), uint32(100+i%8*100))
		total += float64(members[i].Weight)
	}
	const keys = 3_000_000
	counts := make([]int, len(members))
	for k := range uint64(keys) {
		counts[Pick(k*0x9e3779b97f4a7c15, members)]++
	}
	for i, m := range members {
		want := keys * float64(m.Weight) / total
		if math.Abs(float64(counts[i])-want) > 0.03*want {
			t.Errorf("member %s owns %d keys, want %.0f", m.ID, counts[i], want)
		}
	}
}

func BenchmarkPick(b *testing.B) {
	equal := func(int) uint32 { return 100 }
	for _, c := range []struct {
		name   string
		n      int
		weight func(i int) uint32
	}{{"3", 3, equal}, {"19", 19, equal}, {"70", 70, equal},
		{"70sorted", 70, func(i int) uint32 { return uint32(1 + i/9) }}, // eight distinct weights, sorted as in a membership view
		{"70unsorted", 70, func(i int) uint32 { return uint32(1 + i%8) }}} {
		members := make([]Member, c.n)
		for i := range members {
			members[i] = NewMember(fmt.Sprint("m", i), c.weight(i))
		}
		b.Run(c.name, func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				Pick(uint64(i)*0x9e3779b97f4a7c15, members)
			}
		})
	}
}
