package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/monsoonthread/monsoonthread/admission"
	"github.com/monsoonthread/monsoonthread/backend"
	"github.com/monsoonthread/monsoonthread/config"
	"github.com/monsoonthread/monsoonthread/dispatch"
)

// Submits two requests to a server with one slot. Guards against sending the second
// request while the slot is busy, and against a response that does not free the slot.
func ExampleScheduler() {
	now := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	s := dispatch.NewScheduler(dispatch.Config{}, config.Service{ID: 1, Name: "orders", MaxDeadline: 4000}, now)
	show := func(actions []dispatch.Action) {
		for _, a := range actions {
			if run, ok := a.(dispatch.Run); ok {
				fmt.Printf("send request %d to %s\n", run.Request.ID, run.Server.Name)
			}
		}
	}
	request := func(id uint64) dispatch.Request {
		return dispatch.Request{Idempotent: true, Item: admission.Item{ID: id, Class: config.Normal, Arrived: now, Deadline: now.Add(time.Second)}}
	}

	server := config.BackendServer{Name: "orders-01", Slots: 1, Weight: 100}
	show(s.SetAssignments(now, []dispatch.Assignment{{Server: server}}, 1))
	first := s.Submit(now, request(1))
	show(first)
	show(s.Submit(now, request(2)))
	fmt.Println("running:", s.Running(), "queued:", s.Queued())

	now = now.Add(10 * time.Millisecond)
	for _, a := range first {
		if run, ok := a.(dispatch.Run); ok {
			show(s.Finish(now, run.GrantID, backend.Success, 10*time.Millisecond))
		}
	}
	// Output:
	// send request 1 to orders-01
	// running: 1 queued: 1
	// send request 2 to orders-01
}

// Guards against choosing a dispatcher that has just failed.
func ExampleChooser() {
	now := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	c := dispatch.NewChooser(dispatch.ChooserConfig{}, rand.New(rand.NewPCG(1, 1)))
	c.SetCandidates(1, []string{"entry-1", "entry-2"})
	c.RecordFailure(now, 1, "entry-1")
	chosen, ok := c.Choose(now, 1, nil)
	fmt.Println(chosen, ok)
	_, ok = c.Choose(now, 1, []string{"entry-1", "entry-2"})
	fmt.Println(ok)
	// Output:
	// entry-2 true
	// false
}
