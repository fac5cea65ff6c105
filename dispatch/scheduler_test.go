package dispatch

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/monsoonthread/monsoonthread/admission"
	"github.com/monsoonthread/monsoonthread/backend"
	"github.com/monsoonthread/monsoonthread/config"
	"github.com/monsoonthread/monsoonthread/peer/peerpb"
	"github.com/monsoonthread/monsoonthread/result"
)

func TestMain(m *testing.M) {
	// Each check simulates seconds of load; -rapid.checks overrides this.
	if err := flag.Set("rapid.checks", "15"); err != nil {
		panic(err)
	}
	Violations.SetHook(func(name, server string) { panic("invariant violated: " + name + " " + server) })
	os.Exit(m.Run())
}

const testMaxDeadline = 4 * time.Second

// fixture drives one scheduler step by step.
type fixture struct {
	t   *testing.T
	s   *Scheduler
	now time.Time
}

// newFixture returns a scheduler that owns servers a, b, ... with the given weights
// and one slot each. A server of weight 100 takes 10 ms per request.
func newFixture(t *testing.T, weights ...uint32) *fixture {
	f := &fixture{t: t, now: time.Unix(1000, 0)}
	f.s = NewScheduler(Config{}, config.Service{ID: 1, MaxDeadline: config.Milliseconds(testMaxDeadline.Milliseconds())}, f.now)
	f.s.SetAssignments(f.now, assignments("", weights...), 1)
	return f
}

func assignments(previous string, weights ...uint32) []Assignment {
	var list []Assignment
	for i, w := range weights {
		list = append(list, Assignment{Server: config.BackendServer{Name: string(rune('a' + i)), Slots: 1, Weight: w}, Previous: previous})
	}
	return list
}

func (f *fixture) request(id uint64, deadline time.Duration) Request {
	return Request{Idempotent: true, Item: admission.Item{ID: id, Class: config.Normal, Arrived: f.now, Deadline: f.now.Add(deadline)}}
}

func (f *fixture) submit(id uint64, deadline time.Duration) string {
	return formatActions(f.s.Submit(f.now, f.request(id, deadline)))
}

// tick advances the time in steps of 10 ms and returns the actions, without events.
func (f *fixture) tick(d time.Duration) string {
	var all []Action
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(min(10*time.Millisecond, end.Sub(f.now)))
		all = append(all, f.s.Tick(f.now)...)
	}
	return formatActions(all)
}

func (f *fixture) expect(got, want string) {
	f.t.Helper()
	if got != want {
		f.t.Errorf("got %q, want %q", got, want)
	}
}

// formatActions formats the actions without events, as in "run 1@a refuse 2:103", where 103 is
// the result code of the refusal.
func formatActions(actions []Action) string {
	text := ""
	for _, a := range actions {
		switch a := a.(type) {
		case Run:
			text += fmt.Sprintf("run %d@%s ", a.Request.ID, a.Server.Name)
		case Refuse:
			text += fmt.Sprintf("refuse %d:%d ", a.ID, a.Err.Code)
		case CancelRun:
			text += "cancel "
		case SendHandoverRequest:
			text += fmt.Sprintf("request %s%v ", a.To, a.Servers)
		case SendHandoverDone:
			text += fmt.Sprintf("done %s:%s:%d ", a.To, a.Server, a.Ended)
		}
	}
	if text == "" {
		return ""
	}
	return text[:len(text)-1]
}

// grantOf returns the grant of a running request.
func (f *fixture) grantOf(id uint64) uint64 {
	for i := range f.s.grants {
		if g := &f.s.grants[i]; g.state == grantRunning && g.request.ID == id {
			return uint64(g.generation)<<32 | uint64(i+1)
		}
	}
	f.t.Fatalf("request %d does not run", id)
	return 0
}

func (f *fixture) finish(id uint64, o backend.Outcome, took time.Duration) string {
	grant := f.grantOf(id)
	f.now = f.now.Add(took)
	return formatActions(f.s.Finish(f.now, grant, o, took))
}

// Guards against a request that waits while a slot is free, and against a duplicate
// Finish that frees a slot twice.
func TestQueuedRequestRunsWhenASlotIsFree(t *testing.T) {
	f := newFixture(t, 100)
	f.expect(f.submit(1, time.Second), "run 1@a")
	f.expect(f.submit(2, time.Second), "")
	f.expect(f.submit(3, time.Second), "")
	grant := f.grantOf(1)
	f.expect(f.finish(1, backend.Success, time.Millisecond), "run 2@a")
	f.expect(formatActions(f.s.Finish(f.now, grant, backend.Success, 0)), "")
	f.expect(f.finish(2, backend.Error, time.Millisecond), "run 3@a")
}

// Guards against refusals with the wrong code, and against running a refused request.
func TestRefusalCodes(t *testing.T) {
	codes := map[string]struct {
		code    result.Code
		prepare func(f *fixture)
		request func(r *Request)
	}{
		"no server owned":  {result.NotDispatcher, func(f *fixture) { f.s.SetAssignments(f.now, nil, 2) }, nil},
		"all draining":     {result.NoBackendServer, func(f *fixture) { f.s.DrainServer(f.now, "a", backend.NoticeList) }, nil},
		"instance leaves":  {result.ShuttingDown, func(f *fixture) { f.s.Drain(f.now) }, nil},
		"fenced":           {result.Fenced, func(f *fixture) { f.s.Fence(f.now) }, nil},
		"takeover pending": {result.TakeoverPending, func(f *fixture) { f.s.Fence(f.now); f.s.SetAssignments(f.now, assignments("", 100), 2) }, nil},
		"deadline too short": {result.DeadlineUnmet, func(*fixture) {},
			func(r *Request) { r.Deadline = r.Arrived.Add(5 * time.Millisecond) }},
		"deadline shorter than the queue wait": {result.DeadlineUnmet, func(f *fixture) {
			for i := range uint64(6) {
				f.submit(100+i, time.Second)
			}
		}, func(r *Request) { r.Deadline = r.Arrived.Add(45 * time.Millisecond) }},
		"caller fills the queue": {result.QueueShareExceeds, func(f *fixture) {
			for i := range uint64(250) {
				f.submit(100+i, testMaxDeadline)
			}
		}, func(r *Request) { r.Deadline = r.Arrived.Add(testMaxDeadline) }},
		"queue full": {result.QueueFull, func(f *fixture) {
			// A server of weight 40 completes 40 requests/s, so at most 160 requests may wait:
			// as many as complete within the longest deadline. Callers are hashed to 256
			// sub-queues. With a limit above 256, every sub-queue could hold a request before the
			// queue is full, and further requests would be refused with QueueShareExceeds.
			*f = *newFixture(f.t, 40)
			for i := range uint64(5000) {
				r := f.request(100+i, testMaxDeadline)
				r.CallerHash = i * 0x9e3779b97f4a7c15
				f.s.Submit(f.now, r)
			}
		}, func(r *Request) { r.Deadline = r.Arrived.Add(2 * testMaxDeadline); r.CallerHash = 3 }},
		"retry budget": {result.RetryBudgetSpent, func(f *fixture) {
			r := f.request(100, time.Second)
			r.Retry = true
			f.s.Submit(f.now, r)
		}, func(r *Request) { r.Retry = true }},
	}
	for name, c := range codes {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 100)
			c.prepare(f)
			r := f.request(1, time.Second)
			if c.request != nil {
				c.request(&r)
			}
			f.expect(formatActions(f.s.Submit(f.now, r)), fmt.Sprintf("refuse 1:%d", c.code))
		})
	}
}

// Guards against a slot that is lost or reused too early in a planned takeover: the
// requests of the old dispatcher must be counted until each has ended.
func TestHandoverCountsRunningRequests(t *testing.T) {
	old, next, last := newFixture(t, 100), newFixture(t), newFixture(t)
	old.expect(old.submit(1, time.Second), "run 1@a")
	next.expect(formatActions(next.s.SetAssignments(next.now, assignments("old", 100), 2)), "request old[a]")
	next.expect(next.submit(2, time.Second), "")
	_, reply := old.s.HandleHandoverRequest(old.now, "next", []string{"a"})
	old.expect(old.submit(3, time.Second), "refuse 3:120")
	next.expect(formatActions(next.s.HandleHandoverReply(next.now, "old", reply)), "")
	// A lost reply is repeated with the same content.
	if _, again := old.s.HandleHandoverRequest(old.now, "next", []string{"a"}); !again[0].WasOwner || len(again[0].Running) != 1 {
		t.Errorf("repeated handover is %v", again)
	}
	// The server is handed over again before the request has ended.
	last.expect(formatActions(last.s.SetAssignments(last.now, assignments("next", 100), 3)), "request next[a]")
	_, reply = next.s.HandleHandoverRequest(next.now, "last", []string{"a"})
	next.s.SetAssignments(next.now, nil, 3)
	last.s.HandleHandoverReply(last.now, "next", reply)
	last.expect(last.submit(4, time.Second), "")
	old.expect(old.finish(1, backend.Success, 20*time.Millisecond), "done next:a:1")
	next.expect(formatActions(next.s.HandleHandoverDone(next.now, "a", 1)), "done last:a:1")
	last.expect(formatActions(last.s.HandleHandoverDone(last.now, "a", 1)), "run 4@a")
}

// Guards against counting requests of an instance twice when a server that it handed
// over is handed back to it.
func TestReturnedServerCountsOwnRequestsOnce(t *testing.T) {
	old, next := newFixture(t, 100), newFixture(t)
	old.expect(old.submit(1, time.Second), "run 1@a")
	next.s.SetAssignments(next.now, assignments("old", 100), 2)
	_, reply := old.s.HandleHandoverRequest(old.now, "next", []string{"a"})
	next.s.HandleHandoverReply(next.now, "old", reply)
	old.s.SetAssignments(old.now, nil, 2)
	old.expect(formatActions(old.s.SetAssignments(old.now, assignments("next", 100), 3)), "request next[a]")
	_, reply = next.s.HandleHandoverRequest(next.now, "old", []string{"a"})
	old.s.HandleHandoverReply(old.now, "next", reply)
	old.expect(old.submit(2, time.Second), "")
	old.expect(old.finish(1, backend.Success, time.Millisecond), "run 2@a")
}

// Guards against a takeover that does not wait for the longest deadline although the
// previous instance did not answer or was not the dispatcher.
func TestHandoverWithoutOwnerIsQuarantined(t *testing.T) {
	for _, answered := range []bool{false, true} {
		f := newFixture(t)
		f.expect(formatActions(f.s.SetAssignments(f.now, assignments("old", 100), 2)), "request old[a]")
		f.submit(1, 2*testMaxDeadline)
		if answered {
			f.s.HandleHandoverReply(f.now, "old", []*peerpb.ServerHandover{{Server: "a"}})
		} else {
			f.expect(f.tick(DefaultMaxHandoverRequests*DefaultHandoverTimeout), "request old[a] request old[a]")
		}
		f.expect(f.tick(testMaxDeadline-time.Millisecond), "request old[a] request old[a] request old[a]")
		f.expect(f.tick(time.Millisecond), "run 1@a")
	}
}

// Guards against a handover that drops a quarantine, or that reports ownership although the
// running requests of the previous dispatcher are unknown, when a server moves again before
// its takeover is finished. The view may arrive before or after the handover request.
func TestUnfinishedTakeoverIsHandedOver(t *testing.T) {
	for _, c := range [][2]bool{{false, true}, {true, true}, {true, false}} {
		quarantined, viewFirst := c[0], c[1]
		f := newFixture(t)
		f.s.SetAssignments(f.now, assignments("old", 100), 2)
		if quarantined {
			f.s.HandleInstanceDead(f.now, "old")
		}
		if viewFirst {
			f.s.SetAssignments(f.now, nil, 3)
		}
		_, reply := f.s.HandleHandoverRequest(f.now, "next", []string{"a"})
		busy := time.Duration(0)
		for _, r := range reply[0].Running {
			busy = max(busy, time.Duration(r.DeadlineMs)*time.Millisecond+DefaultDeadlineGrace)
		}
		if reply[0].WasOwner != quarantined || quarantined && busy < testMaxDeadline {
			t.Errorf("quarantined %v, view first %v: handed over as %v", quarantined, viewFirst, reply)
		}
	}
}

// Guards against grants after a pause of the process, when another instance may be the
// dispatcher, and against losing the slots of requests that are still running.
func TestFenceGivesUpOwnership(t *testing.T) {
	f := newFixture(t, 100)
	f.expect(f.submit(1, 2*testMaxDeadline), "run 1@a")
	f.submit(2, testMaxDeadline)
	f.expect(formatActions(f.s.Fence(f.now)), "refuse 2:115")
	if _, reply := f.s.HandleHandoverRequest(f.now, "next", []string{"a"}); reply[0].WasOwner {
		t.Error("a fenced instance reported that it owned the server")
	}
	f.expect(formatActions(f.s.SetAssignments(f.now, assignments("next", 100), 2)), "request next[a]")
	f.submit(3, 2*testMaxDeadline)
	f.tick(testMaxDeadline)
	if f.s.Running() != 1 || f.s.Queued() != 1 {
		t.Errorf("%d running, %d queued after the quarantine, want 1 and 1", f.s.Running(), f.s.Queued())
	}
	f.expect(f.finish(1, backend.Success, time.Millisecond), "run 3@a")
}

// Guards against a server that stays without a dispatcher after an instance with a stale
// view took it over.
func TestServerIsReclaimedFromInstanceWithStaleView(t *testing.T) {
	f := newFixture(t, 100)
	f.s.HandleHandoverRequest(f.now, "stale", []string{"a"})
	f.expect(f.tick(reclaimDelay-time.Millisecond), "")
	f.expect(f.tick(time.Millisecond), "request stale[a]")
	f.s.HandleHandoverReply(f.now, "stale", []*peerpb.ServerHandover{{Server: "a", WasOwner: true}})
	f.expect(f.submit(1, time.Second), "run 1@a")
}

// Guards against sending a request to a slow server that cannot meet its deadline while
// a fast one will soon be free. The slow server must still get requests that it can
// complete in time.
func TestSlowServerIsSkippedForShortDeadline(t *testing.T) {
	f := newFixture(t, 10, 800) // 100 ms and 1.25 ms
	f.expect(f.submit(1, 50*time.Millisecond), "run 1@b")
	f.expect(f.submit(2, 50*time.Millisecond), "")
	f.expect(f.submit(3, time.Second), "run 3@a")
	f.expect(f.finish(1, backend.Success, time.Millisecond), "run 2@b")
}

// Guards against a request that waits for a fast server and is served before a more
// urgent one.
func TestHeldRequestDoesNotOvertakeUrgentOnes(t *testing.T) {
	f := newFixture(t, 10, 800)
	f.expect(f.submit(1, 50*time.Millisecond), "run 1@b")
	f.expect(f.submit(2, 50*time.Millisecond), "")
	f.expect(f.submit(3, time.Second), "run 3@a")
	r := f.request(4, time.Second)
	r.Class = config.Urgent
	f.expect(formatActions(f.s.Submit(f.now, r)), "")
	f.expect(f.finish(1, backend.Success, time.Millisecond), "run 4@b")
	f.expect(f.finish(4, backend.Success, time.Millisecond), "run 2@b")
}

// Guards against a slow server that is busy for a larger share of the time than the
// others, and against idle slots while the queue is long.
func TestSlowServerIsHeldBackWhileTheQueueIsShort(t *testing.T) {
	f := newFixture(t, 10, 800)
	f.expect(f.submit(1, time.Second), "run 1@a")
	f.expect(f.finish(1, backend.Success, 100*time.Millisecond), "")
	// With a slot time of 0.5 s for a and 0 s for b, a is 0.25 s ahead of the mean. It is held
	// back once it is maxSlotTimeLead plus 0.1 s (its service time per slot) ahead.
	f.s.setSlotTime(f.s.servers["a"], 0.5)
	f.s.freeServers.update(f.s.servers["a"])
	f.expect(f.submit(2, time.Second), "run 2@b")
	f.expect(f.submit(3, time.Second), "")
	got := ""
	for id := uint64(4); id < 200 && got == ""; id++ {
		got = f.submit(id, testMaxDeadline)
	}
	f.expect(got, "run 3@a")
}

// Guards against sending the later blocks of a block-wise transfer to another server
// than the first block.
func TestPreferredServer(t *testing.T) {
	f := newFixture(t, 100, 100)
	for id, want := range []string{"run 0@b", "", "run 2@a"} {
		r := f.request(uint64(id), time.Second)
		if id < 2 {
			r.Preferred = "b"
		}
		f.expect(formatActions(f.s.Submit(f.now, r)), want)
	}
	f.expect(f.finish(0, backend.Success, time.Millisecond), "run 1@b")
	r := f.request(9, time.Second)
	r.Preferred = "unknown"
	f.expect(f.finish(2, backend.Success, time.Millisecond), "")
	f.expect(formatActions(f.s.Submit(f.now, r)), "run 9@a")
	// The wait for the preferred server is limited.
	r = f.request(10, time.Second)
	r.Preferred = "b"
	f.expect(formatActions(f.s.Submit(f.now, r)), "")
	f.expect(f.finish(9, backend.Success, 30*time.Millisecond), "run 10@a")
}

// Guards against a shed request that is lost, sent to the same server again, or retried
// although its caller cancelled it.
func TestShedRequestGoesToAnotherServer(t *testing.T) {
	f := newFixture(t, 100, 100)
	f.expect(f.submit(1, time.Second), "run 1@a")
	f.expect(f.finish(1, backend.Shed, time.Millisecond), "run 1@b")
	f.expect(formatActions(f.s.Cancel(f.now, 1)), "cancel")
	f.expect(f.finish(1, backend.Shed, time.Millisecond), "refuse 1:117")
	if n := f.s.servers["a"].backend.ShedCount(); n != 1 {
		t.Errorf("%d sheds counted, want 1", n)
	}
}

// Guards against a shed request that goes to the server that shed it, because new assignments
// list the servers in another order.
func TestShedRequestAfterNewAssignments(t *testing.T) {
	f := newFixture(t, 100, 100)
	f.expect(f.submit(1, time.Second), "run 1@a")
	f.expect(f.submit(2, time.Second), "run 2@b")
	f.expect(f.finish(1, backend.Shed, time.Millisecond), "")
	reversed := assignments("", 100, 100)
	slices.Reverse(reversed)
	f.expect(formatActions(f.s.SetAssignments(f.now, reversed, 2)), "")
	f.expect(f.finish(2, backend.Success, time.Millisecond), "run 1@b")
}

// Guards against reusing the slot of a cancelled request while the server may still run
// it, and against queued requests that run after they were cancelled.
func TestCancel(t *testing.T) {
	f := newFixture(t, 100)
	f.expect(f.submit(1, time.Second), "run 1@a")
	f.expect(f.submit(2, time.Second), "")
	f.expect(f.submit(3, testMaxDeadline), "")
	f.expect(formatActions(f.s.Cancel(f.now, 2)), "refuse 2:117")
	f.expect(formatActions(f.s.Cancel(f.now, 1)), "cancel")
	f.expect(formatActions(f.s.Cancel(f.now, 1)), "")
	f.expect(f.finish(1, backend.Cancelled, 0), "")
	f.expect(f.tick(time.Second+DefaultDeadlineGrace-time.Millisecond), "")
	f.expect(f.tick(time.Millisecond), "run 3@a")
}

// Guards against a service that loses all servers because too many are ejected, and
// against probing an ejected server with non-idempotent requests.
func TestEjectionAndPanicThreshold(t *testing.T) {
	f := newFixture(t, 100, 100, 100)
	fail := func(name string) {
		for range 2 * backend.DefaultFailureThreshold {
			f.s.servers[name].backend.RecordOutcome(f.now, backend.Error, 0)
			f.s.refreshAndDispatch(nil, f.now, f.s.servers[name])
		}
	}
	fail("a")
	if f.s.totalSlots != 2 {
		t.Errorf("%d slots usable with one of three ejected, want 2", f.s.totalSlots)
	}
	f.tick(backend.DefaultProbeInterval)
	if f.s.servers["a"].limit != 1 {
		t.Fatal("the ejected server is not probed")
	}
	f.s.setSlotTime(f.s.servers["a"], -1) // makes it the first choice
	f.s.freeServers.update(f.s.servers["a"])
	r := f.request(1, time.Second)
	r.Idempotent = false
	if got := formatActions(f.s.Submit(f.now, r)); got != "run 1@b" && got != "run 1@c" {
		t.Errorf("a non-idempotent request: %q", got)
	}
	// Requests that may not use the free slot wait instead of being refused.
	for id := uint64(10); id < 80; id++ {
		r.ID = id
		for _, a := range f.s.Submit(f.now, r) {
			if refused, ok := a.(Refuse); ok {
				t.Fatalf("request %d: %v", id, refused.Err)
			}
		}
	}
	f.s.refuseWaiting(nil, errCancelled)
	f.expect(f.submit(2, time.Second), "run 2@a")
	fail("b")
	if f.s.totalSlots != 3 {
		t.Errorf("%d slots usable with two of three ejected, want 3", f.s.totalSlots)
	}
}

// Guards against a graceful stop that interrupts running requests or leaves queued ones
// unanswered.
func TestDrainFinishesRunningRequests(t *testing.T) {
	f := newFixture(t, 100)
	f.submit(1, time.Second)
	f.submit(2, time.Second)
	f.expect(formatActions(f.s.Drain(f.now)), "refuse 2:108")
	f.expect(f.finish(1, backend.Success, time.Millisecond), "")
	if f.s.Running() != 0 {
		t.Errorf("%d requests run after the last one finished", f.s.Running())
	}
}

// Guards against a violation that is reported because the process was paused for longer than requests
// may take: the first tick after the pause comes before the outcomes that waited for its end.
func TestPauseLeavesNoUnfinishedGrant(t *testing.T) {
	var seen []string
	Violations.SetHook(func(name, _ string) { seen = append(seen, name) })
	defer Violations.SetHook(func(name, server string) { panic("invariant violated: " + name + " " + server) })
	f := newFixture(t, 100, 100)
	f.submit(1, time.Second)
	f.submit(2, time.Second)
	f.tick(100 * time.Millisecond)
	f.now = f.now.Add(5 * time.Second)
	f.s.Tick(f.now)
	if len(seen) != 0 {
		t.Fatalf("violations %v at the first tick after the pause", seen)
	}
	f.finish(1, backend.Timeout, 0)
	f.tick(unfinishedGrantGrace - 10*time.Millisecond)
	if len(seen) != 0 || f.s.Running() != 1 {
		t.Errorf("violations %v, %d running, want the second request within %v after the pause", seen, f.s.Running(), unfinishedGrantGrace)
	}
	f.tick(10 * time.Millisecond)
	if !slices.Equal(seen, []string{ViolationUnfinished}) || f.s.Running() != 0 {
		t.Errorf("violations %v, %d running after the pause, want one of the request that is never finished", seen, f.s.Running())
	}
}

// Guards against a Run that is never finished and not reported as a violation.
func TestUnfinishedGrantIsReported(t *testing.T) {
	var seen []string
	Violations.SetHook(func(name, _ string) { seen = append(seen, name) })
	defer Violations.SetHook(func(name, server string) { panic("invariant violated: " + name + " " + server) })
	f := newFixture(t, 100)
	f.submit(1, time.Second)
	f.tick(time.Second + DefaultDeadlineGrace + unfinishedGrantGrace)
	if !slices.Equal(seen, []string{ViolationUnfinished}) || f.s.Running() != 0 {
		t.Errorf("violations %v, %d running", seen, f.s.Running())
	}
}
