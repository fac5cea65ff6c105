package placement_test

import (
	"fmt"

	"github.com/monsoonthread/monsoonthread/placement"
)

// Guards against moving a key whose owner is still a member.
func ExamplePick() {
	members := []placement.Member{
		placement.NewMember("entry-1", 100),
		placement.NewMember("entry-2", 100),
		placement.NewMember("entry-3", 200),
	}
	moved, taken := 0, 0
	for i := range 10_000 {
		key := placement.Key("flow", fmt.Sprint(i))
		before, after := placement.Pick(key, members), placement.Pick(key, members[:2])
		switch {
		case before == 2:
			taken++ // its owner was removed
		case before != after:
			moved++
		}
	}
	fmt.Printf("entry-3 owned half: %t, other keys moved: %d\n", taken > 4_800 && taken < 5_200, moved)
	// Output: entry-3 owned half: true, other keys moved: 0
}

// Guards against a standby instance that is not the next owner.
func ExampleTop2() {
	members := []placement.Member{
		placement.NewMember("entry-1", 100), placement.NewMember("entry-2", 100), placement.NewMember("entry-3", 100),
	}
	key := placement.Key("flow", "192.0.2.1:5683")
	first, second := placement.Top2(key, members)
	standby := members[second].ID
	rest := append(members[:first:first], members[first+1:]...)
	fmt.Println(rest[placement.Pick(key, rest)].ID == standby)
	// Output: true
}
