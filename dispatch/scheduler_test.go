package dispatch

import (
	"flag"
	"os"
	"testing"
	"time"

	"github.com/monsoonthread/monsoonthread/admission"
	"github.com/monsoonthread/monsoonthread/backend"
	"github.com/monsoonthread/monsoonthread/config"
)

func TestMain(m *testing.M) {
	// Each check simulates seconds of load; -rapid.checks overrides this.
	if err := flag.Set("rapid.checks", "15"); err != nil {
		panic(err)
	}
	Violations.SetHook(func(name, server string) { panic("invariant broken: " + name + " " + server) })
	os.Exit(m.Run())
}

// Guards against a request that waits although a slot becomes free.
func TestQueuedRequestRunsWhenASlotIsFree(t *testing.T) {
	now := time.Unix(0, 0)
	svc := config.Service{ID: 1, MaxDeadline: 10000}
	s := NewScheduler(Config{}, svc, now)
	s.SetOwned(now, []Assignment{{Server: config.BackendServer{Name: "a", Slots: 1, Weight: 100}}}, 1)
	req := func(id uint64) Request {
		return Request{Item: admission.Item{ID: id, Deadline: now.Add(5 * time.Second), Arrived: now}, Idempotent: true}
	}
	run, ok := s.Submit(now, req(1))[0].(Run)
	if !ok {
		t.Fatal("first request does not run")
	}
	if acts := s.Submit(now, req(2)); len(acts) != 0 {
		t.Fatalf("second request does not wait: %v", acts)
	}
	acts := s.Finish(now.Add(time.Millisecond), run.Grant, backend.Success, time.Millisecond)
	if next, ok := acts[0].(Run); !ok || next.Request.ID != 2 {
		t.Fatalf("second request does not run: %v", acts)
	}
}
