package admission

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// newLoadedController returns a controller whose classes, from index 1, have the given service times
// and as many requests, and its time. A share of the requests is shed.
func newLoadedController(seed uint64, classes []FlowClass, serviceTimes []time.Duration, shed float64) (*FlowController, time.Duration) {
	c := NewFlowController(seed)
	for i, class := range classes {
		c.SetClass(i+1, class)
	}
	c.SetSlots(4)
	now := time.Duration(0)
	for ; now < 3*time.Second; now += 10 * time.Millisecond {
		for i := range classes {
			c.CountRequest(i+1, time.Second)
			if c.random() < shed {
				c.Observe(i+1, uint32(now), time.Millisecond, FlowShed)
			} else {
				c.Observe(i+1, uint32(now), serviceTimes[i], FlowAnswered)
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
		c, now := newLoadedController(rapid.Uint64().Draw(t, "seed"), classes, times, shed)
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
	c, now := newLoadedController(1, classes, []time.Duration{10 * time.Millisecond, 20 * time.Millisecond, 40 * time.Millisecond}, 0.2)
	var refused [4]int
	for range 1000 {
		for i := 1; i <= 3; i++ {
			if d := c.Admit(now, i, FlowLoad{Utilization: c.limit(&c.classes[3]), Remote: true}); d.Reason != FlowAdmitted {
				refused[i]++
			}
		}
	}
	if refused[1] > 0 || refused[2] == 0 || refused[3] <= refused[2] || refused[3] == 1000 {
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
		c, now := newLoadedController(1, []FlowClass{{Timeout: time.Second}}, []time.Duration{50 * time.Millisecond}, x.shed)
		load := FlowLoad{Utilization: 0.4, ServiceTime: 50 * time.Millisecond, Wait: x.wait, Remote: true}
		if d := c.Admit(now, 1, load); d.Reason != x.want {
			t.Errorf("%+v: %+v", x, d)
		}
		if n := testing.AllocsPerRun(100, func() { c.Admit(now, 1, load) }); n > 0 {
			t.Errorf("%v allocations a decision", n)
		}
	}
}
