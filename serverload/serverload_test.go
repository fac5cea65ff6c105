package serverload

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against an estimate that depends on the order in which reports arrive or are replaced.
func TestMergedSumsDoNotDependOnOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reports := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Sum {
			return NewSum(time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "time")), rapid.Float64Range(0, 1000).Draw(t, "samples"))
		}), 1, 20).Draw(t, "reports")
		outdated := rapid.SliceOfN(rapid.IntRange(0, len(reports)-1), 0, 20).Draw(t, "outdated")
		var want, got Sum
		for _, r := range reports {
			want.Add(r)
		}
		for _, i := range rapid.Permutation(indices(len(reports))).Draw(t, "order") {
			got.Add(reports[i])
		}
		for _, i := range outdated {
			got.Add(reports[i])
		}
		for _, i := range outdated {
			got.Subtract(reports[i])
		}
		if got != want {
			t.Fatalf("%+v, want %+v", got, want)
		}
	})
}

func indices(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}

// Guards against a speed that differs between one instance that sees all requests and several
// instances that each see a part of them and report sums.
func TestSumsOfSourcesEqualOneSource(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var whole Speed
		parts := make([]Speed, 5)
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "samples") {
			now += time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "gap"))
			x := time.Duration(rapid.Int64Range(int64(time.Millisecond), int64(200*time.Millisecond)).Draw(t, "elapsed"))
			whole.Add(now, x)
			parts[rapid.IntRange(0, len(parts)-1).Draw(t, "source")].Add(now, x)
		}
		var merged Sum
		for i := range parts {
			merged.Add(parts[i].Sum(now))
		}
		mean, samples := whole.Mean(now)
		// Each source rounds its number of samples to a hundredth.
		if math.Abs(merged.Samples()-samples) > 0.05 {
			t.Fatalf("%v samples, want %v", merged.Samples(), samples)
		}
		if samples > 0.5 && math.Abs(float64(merged.Mean()-mean)) > 0.02/samples*float64(200*time.Millisecond) {
			t.Fatalf("mean %v, want %v", merged.Mean(), mean)
		}
	})
}

// Guards against a changed speed that stays unknown: after 6 s, as long as servers are slow in the
// loads of the design page, the estimate must have made most of the step.
func TestSpeedFollowsChange(t *testing.T) {
	var s Speed
	now := time.Duration(0)
	add := func(x, span time.Duration) {
		for end := now + span; now < end; now += 500 * time.Millisecond {
			s.Add(now, x)
		}
	}
	add(20*time.Millisecond, time.Minute)
	add(80*time.Millisecond, 6*time.Second)
	if mean, _ := s.Mean(now); mean < 70*time.Millisecond {
		t.Errorf("mean %v 6 s after a change from 20 to 80 ms", mean)
	}
}

// Guards against a single sample that decides the estimate of a server.
func TestFewSamplesCountLittle(t *testing.T) {
	service := 20 * time.Millisecond
	if got := NewSum(100*time.Millisecond, 1).Estimate(service); got > 50*time.Millisecond {
		t.Errorf("estimate %v after one sample of 100 ms, mean of the service 20 ms", got)
	}
	if got := NewSum(50*100*time.Millisecond, 50).Estimate(service); got < 95*time.Millisecond {
		t.Errorf("estimate %v after 50 samples of 100 ms", got)
	}
}

// Guards against a delay of acknowledgements that is taken for work: late acknowledgements of
// small answers against two-packet answers, against closed flows, and without either.
func TestDelayIsLearned(t *testing.T) {
	for _, reference := range []Acknowledgement{TwoPacket, Closing} {
		var d Delay
		for i := range 10 {
			x := time.Duration(15+i) * time.Millisecond
			d.Add(Late, x+40*time.Millisecond)
			d.Add(reference, x)
		}
		if got, ok := d.Value(); !ok || got != 40*time.Millisecond {
			t.Errorf("kind %d: delay %v %t, want 40 ms", reference, got, ok)
		}
	}
	var d Delay
	for range withoutReference {
		d.Add(Late, 60*time.Millisecond)
	}
	_, known := d.Value()
	if mean, only := d.OnlyLate(); known || !only || mean != 60*time.Millisecond {
		t.Errorf("delay known: %t, only late answers: %t with a mean of %v; want false, true, 60 ms", known, only, mean)
	}
}

// Guards against a kind of acknowledgement that is taken for another: each would add or subtract
// the delay where there is none.
func TestAcknowledgementsAreClassified(t *testing.T) {
	var closing, open Answers
	if got := closing.Classify(600, true, false); got != Unclear {
		t.Errorf("kind %d before any flow has ended, want unclear", got)
	}
	for range 30 {
		closing.FlowEnded()
		open.FlowContinued()
	}
	for _, c := range []struct {
		name          string
		route         *Answers
		bytes         uint32
		first, finish bool
		want          Acknowledgement
	}{
		{"two packets", &open, 1201, false, false, TwoPacket},
		{"one packet on an open flow", &open, 1200, true, false, Late},
		{"first answer on a route that closes", &closing, 600, true, false, Closing},
		{"second answer on a route that closes", &closing, 600, false, false, Late},
		{"the first flow ends with the packet", new(Answers), 600, true, true, Closing},
		{"a flow that was open for long ends with the packet", &open, 600, false, true, Unclear},
	} {
		if got := c.route.Classify(c.bytes, c.first, c.finish); got != c.want {
			t.Errorf("%s: kind %d, want %d", c.name, got, c.want)
		}
	}
}

// Guards against a server that refuses most of its requests and therefore looks fast.
func TestRefusalsAreRecognised(t *testing.T) {
	var a Answers
	for range 100 {
		a.AddLength(1000)
	}
	for i := range 1000 {
		if i%5 == 0 {
			a.AddLength(1000)
		} else {
			a.AddLength(120)
		}
	}
	service := 20 * time.Millisecond
	if !a.Refusal(120, 3*time.Millisecond, service) {
		t.Error("a short answer after 3 ms is not a refusal while four of five answers are short")
	}
	if a.Refusal(120, 15*time.Millisecond, service) || a.Refusal(900, 3*time.Millisecond, service) {
		t.Error("a slow or a long answer is a refusal")
	}
}

// Guards against queueing that is taken for slowness, and against a correction that is not the
// inverse of the queueing model.
func TestQueueingIsRemoved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		service := time.Duration(rapid.Int64Range(int64(time.Millisecond), int64(time.Second)).Draw(t, "service"))
		slots := rapid.IntRange(1, 8).Draw(t, "slots")
		utilization := rapid.Float64Range(0, 3).Draw(t, "utilization")
		rate := utilization * float64(slots) / service.Seconds()
		response := time.Duration(float64(service) * stretch(utilization, slots))
		if got := WithoutQueueing(response, rate, slots); math.Abs(float64(got-service)) > 0.01*float64(service) {
			t.Fatalf("service time %v, want %v", got, service)
		}
	})
}
