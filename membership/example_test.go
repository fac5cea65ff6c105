package membership_test

import (
	"fmt"
	"math/rand"
	"time"

	"github.com/monsoonthread/monsoonthread/membership"
)

// Two machines exchange messages under a virtual clock, then one stops. Guards against an
// interface that cannot be used without sockets.
func Example() {
	now := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	machines := make(map[string]*membership.Machine)
	var list []membership.ListEntry
	for i, id := range []string{"entry-1", "entry-2"} {
		self := membership.Instance{ID: id, Domain: "laval", PeerAddress: fmt.Sprintf("127.0.0.1:%d", 7001+i), Weight: 100}
		list = append(list, membership.ListEntry{Instance: self})
		machines[id] = membership.New(membership.Config{
			Self: self, Domains: []membership.DomainConfig{{Name: "laval", Weight: 100}},
		}, rand.New(rand.NewSource(int64(i))), now)
	}
	var perform func(from string, actions []membership.Action)
	perform = func(from string, actions []membership.Action) {
		for _, a := range actions {
			if send, ok := a.(membership.Send); ok && machines[send.To.ID] != nil {
				perform(send.To.ID, machines[send.To.ID].Receive(now, from, send.Message))
			}
		}
	}
	run := func(d time.Duration) {
		for end := now.Add(d); now.Before(end); now = now.Add(50 * time.Millisecond) {
			for _, id := range []string{"entry-1", "entry-2"} {
				if m := machines[id]; m != nil {
					perform(id, m.Tick(now))
				}
			}
		}
	}
	show := func(when string) {
		e, _ := machines["entry-1"].View().Member("entry-2")
		fmt.Printf("%s: entry-2 is %v\n", when, e.State)
	}

	for _, id := range []string{"entry-1", "entry-2"} {
		perform(id, machines[id].ApplyInstanceList(now, list))
	}
	run(time.Second)
	show("after the instance list was read")

	delete(machines, "entry-2")
	run(5 * time.Second)
	show("5 s after its crash")
	owner, _ := machines["entry-1"].View().Owner(42)
	fmt.Println("owner of every flow:", owner.ID)
	// Output:
	// after the instance list was read: entry-2 is alive
	// 5 s after its crash: entry-2 is dead
	// owner of every flow: entry-1
}
