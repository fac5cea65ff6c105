package flow_test

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/monsoonthread/monsoonthread/flow"
)

// A holder copies a stream to its runner-up and dies. Guards against a stream that is
// lost, and against Observe numbers that go back at the new holder.
func ExampleTable() {
	now := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	key := flow.Key{Caller: netip.MustParseAddrPort("192.0.2.1:40000"), ServiceID: 1}
	holder, runnerUp := flow.NewTable(flow.Config{}), flow.NewTable(flow.Config{})

	isNew, err := holder.Touch(now, key)
	fmt.Println("new flow:", isNew, err)
	id, err := holder.Register(now, flow.Record{Key: key, Token: []byte{1}, Server: "orders-01", Created: now})
	if err != nil {
		fmt.Println(err)
		return
	}
	before, _ := holder.Notify(id, 1000)

	const budget = 2048 // bytes/s
	for range 50 {      // copies are paced: the budget builds up from call to call
		now = now.Add(100 * time.Millisecond)
		for to, records := range holder.Copies(now, func(flow.Key) string { return "entry-2" }, budget) {
			fmt.Println("copy", len(records), "record to", to)
			runnerUp.StoreCopies(now, "entry-1", records)
		}
	}
	for _, r := range runnerUp.TakeOver(now, "entry-1") {
		id, err := runnerUp.Register(now, r)
		after, ok := runnerUp.Notify(id, 900) // its clock is behind
		fmt.Println("taken over:", err == nil && ok, "Observe number goes on:", after > before)
	}
	// Output:
	// new flow: true <nil>
	// copy 1 record to entry-2
	// taken over: true Observe number goes on: true
}
