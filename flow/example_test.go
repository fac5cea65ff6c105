package flow_test

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/monsoonthread/monsoonthread/flow"
)

// An owner copies a stream to its standby instance and dies. Guards against the loss of
// the stream and against Observe numbers that decrease at the new owner.
func ExampleTable() {
	now := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	key := flow.Key{Caller: netip.MustParseAddrPort("192.0.2.1:40000"), ServiceID: 1}
	owner, standby := flow.NewTable(flow.Config{}), flow.NewTable(flow.Config{})

	isNew, err := owner.RecordPacket(now, key)
	fmt.Println("new flow:", isNew, err)
	id, err := owner.Register(now, flow.Record{Key: key, Token: []byte{1}, Server: "orders-01", Created: now})
	if err != nil {
		fmt.Println(err)
		return
	}
	before, _ := owner.Notify(id, 1000)

	const budget = 2048 // bytes/s
	for range 50 {      // copies are rate-limited: the budget accumulates from call to call
		now = now.Add(100 * time.Millisecond)
		for to, records := range owner.Copies(now, func(flow.Key) string { return "entry-2" }, budget) {
			fmt.Println("copy", len(records), "record to", to)
			standby.StoreCopies(now, "entry-1", records)
		}
	}
	for _, r := range standby.TakeOver(now, "entry-1") {
		id, err := standby.Register(now, r)
		after, ok := standby.Notify(id, 900) // its clock is behind
		fmt.Println("taken over:", err == nil && ok, "Observe number goes on:", after > before)
	}
	// Output:
	// new flow: true <nil>
	// copy 1 record to entry-2
	// taken over: true Observe number goes on: true
}
