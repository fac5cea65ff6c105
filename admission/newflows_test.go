package admission

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// newLoadedController returns a controller whose classes, from index 1, have the given service times
// and 100 requests a second each, and its time. A share of the requests is shed, by one of a number of
// servers.
func newLoadedController(seed uint64, classes []FlowClass, serviceTimes []time.Duration, shed float64, servers uint32) (*FlowController, time.Duration) {
	c := NewFlowController(seed)
	for i, class := range classes {
		c.SetClass(i+1, class)
	}
	c.SetSlots(4, false)
	now, server := time.Duration(0), uint32(0)
	for ; now < 10*time.Second; now += 10 * time.Millisecond {
		for i := range classes {
			c.CountRequest(i+1, time.Second)
			server = (server + 1) % servers
			if c.random() < shed {
				c.Observe(i+1, server, time.Millisecond, FlowShed)
			} else {
				c.Observe(i+1, server, serviceTimes[i], FlowAnswered)
			}
		}
		c.Update(now)
	}
	return c, now
}

// Guards against refusals without evidence or at half of the capacity, and of a class below its
// guaranteed share, for any mix of classes.
func TestFlowsAreRefusedOnlyForACause(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 5).Draw(t, "classes")
		var classes []FlowClass
		var times []time.Duration
		for range n {
			classes = append(classes, FlowClass{Priority: rapid.IntRange(0, 3).Draw(t, "priority")})
			times = append(times, time.Duration(rapid.IntRange(1, 100).Draw(t, "service time"))*time.Millisecond)
		}
		shed := rapid.SampledFrom([]float64{0, 0.2, 0.9}).Draw(t, "shed")
		c, now := newLoadedController(rapid.Uint64().Draw(t, "seed"), classes, times, shed, 40)
		for range 200 {
			index := rapid.IntRange(1, n).Draw(t, "class")
			utilization := rapid.Float64Range(0, 4).Draw(t, "utilization")
			d := c.Admit(now, index, FlowLoad{Utilization: utilization, Remote: true})
			share := c.Class(index).Share
			switch {
			case d.Reason == FlowAdmitted:
			case shed == 0 && utilization < farUtilization-rampWidth:
				t.Fatalf("%+v at %v without evidence", d, utilization)
			case utilization < 0.48:
				t.Fatalf("%+v at %v, about half of the capacity", d, utilization)
			case !c.classes[index].most && utilization*share < guaranteedShare/float64(c.levels-1):
				t.Fatalf("%+v at %v, below the guaranteed share", d, utilization)
			}
		}
	})
}

// Guards against starving one of several routes of equal priority: the one with more work for each
// request is refused more, but not alone.
func TestRefusalsAreSpreadOverEqualPriorities(t *testing.T) {
	classes := []FlowClass{{Priority: 0}, {Priority: 1}, {Priority: 1, Timeout: time.Minute}}
	c, now := newLoadedController(1, classes, []time.Duration{10 * time.Millisecond, 20 * time.Millisecond, 40 * time.Millisecond}, 0.2, 40)
	var refused [4]int
	for range 1000 {
		for i := 1; i <= 3; i++ {
			if d := c.Admit(now, i, FlowLoad{Utilization: c.limit(&c.classes[3]), Remote: true}); d.Reason != FlowAdmitted {
				refused[i]++
			}
		}
	}
	if refused[1] > 0 || refused[2] == 0 || 2*refused[3] <= 3*refused[2] || refused[3] == 1000 {
		t.Errorf("refused by class: %v", refused[1:])
	}
}

// Guards against flows whose callers give up before the answer, and against refusing them for a wait
// that is only estimated.
func TestFlowBeyondItsDeadlineIsRefused(t *testing.T) {
	for _, x := range []struct {
		shed float64
		wait time.Duration
		want FlowReason
	}{{0.2, 1200 * time.Millisecond, FlowDeadlineUnmet}, {0.2, 900 * time.Millisecond, FlowAdmitted}, {0, 1200 * time.Millisecond, FlowAdmitted}, {0, 2200 * time.Millisecond, FlowDeadlineUnmet}} {
		c, now := newLoadedController(1, []FlowClass{{Timeout: time.Second}}, []time.Duration{50 * time.Millisecond}, x.shed, 40)
		load := FlowLoad{Utilization: 0.4, ServiceTime: 50 * time.Millisecond, Wait: x.wait, Remote: true}
		if d := c.Admit(now, 1, load); d.Reason != x.want {
			t.Errorf("%+v: %+v", x, d)
		}
		if n := testing.AllocsPerRun(100, func() { c.Admit(now, 1, load) }); n > 0 {
			t.Errorf("%v allocations a decision", n)
		}
	}
}

// Guards against limits that follow a wrong estimate although shed requests show the capacity, that
// exceed the capacity or that follow response times in full queues, and against taking
// the requests that a single server sheds for an overload.
func TestShedRequestsShowTheCapacity(t *testing.T) {
	classes, times := []FlowClass{{Priority: 0}, {Priority: 1}}, []time.Duration{30 * time.Millisecond, 30 * time.Millisecond}
	c, _ := newLoadedController(1, classes, times, 0.4, 40)
	s := c.State()
	if s.Factor < 0.55*s.Utilization || s.Factor > 0.65*s.Utilization {
		t.Errorf("%+v; 0.4 of the requests are shed, so the factor should be 0.6 of the utilization", s)
	}
	if limit := c.Class(1).Limit / s.Factor; limit > 1 {
		t.Errorf("limit %v of the most urgent class exceeds the capacity", limit)
	}
	before := c.Class(1).ServiceTime
	for range 500 {
		c.Observe(1, 1, 300*time.Millisecond, FlowAnswered)
	}
	if after := c.Class(1).ServiceTime; after > before {
		t.Errorf("service time %v, %v before the queues were full", after, before)
	}
	if c, _ = newLoadedController(1, classes, times, 0.4, 1); c.State().Limiting {
		t.Errorf("%+v for a single server that sheds", c.State())
	}
}
