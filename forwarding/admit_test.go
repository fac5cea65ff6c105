package forwarding

import (
	"fmt"
	"testing"
	"time"
)

const floodFrom, floodTo = 15 * time.Second, 23 * time.Second

func inFlood(now time.Duration) bool { return now >= floodFrom && now < floodTo }

// floodScenario is one of the loads that admission control is made for.
type floodScenario struct {
	name           string
	normal, urgent float64 // factor on the load of the class during the flood
	answerBytes    uint32  // 2000 if not set
	slowdown       float64 // factor on the work of a third of the servers during the flood; above 4, of one server
}

// replayFlood replays a scenario: 12 servers at half of their capacity, 0.35 by long flows of the
// normal class and 0.15 by the urgent class with a flow for each request.
func replayFlood(sc floodScenario, o replayOptions) *replay {
	factor := func(x float64) func(time.Duration) float64 {
		return func(now time.Duration) float64 {
			if inFlood(now) {
				return x
			}
			return 1
		}
	}
	o.slow = func(server int, now time.Duration) float64 {
		if inFlood(now) && (server == 0 || server%3 == 0 && sc.slowdown <= 4) {
			return sc.slowdown
		}
		return 1
	}
	o.engines, o.servers = 6, 12
	if sc.answerBytes == 0 {
		sc.answerBytes = 2000
	}
	r := newReplay(o,
		replayClass{name: "urgent", priority: 0, port: 1, work: 61 * time.Millisecond, objective: 600 * time.Millisecond, timeout: 6 * time.Second,
			kind: NonIdempotent, perFlow: 1, answerBytes: sc.answerBytes, rate: 0.15 * 24 / 0.061, factor: factor(sc.urgent)},
		replayClass{name: "normal", priority: 1, port: 2, work: 47 * time.Millisecond, objective: 500 * time.Millisecond, timeout: 5 * time.Second,
			perFlow: 10, answerBytes: sc.answerBytes, pause: 400 * time.Millisecond, rate: 0.35 * 24 / 0.047, factor: factor(sc.normal)})
	r.measured = inFlood
	return r
}

var replaySpeeds = map[string][]float64{"equal": {1}, "uneven": {0.7, 0.7, 1.7}}

// eachDeployment runs a scenario over equal and uneven servers, and short and long intervals between
// load reports, the longest of which stands for instances that cannot reach each other.
func eachDeployment(t *testing.T, sc floodScenario, check func(t *testing.T, o replayOptions, r *replay)) {
	for _, speeds := range []string{"equal", "uneven"} {
		for _, exchange := range []time.Duration{250 * time.Millisecond, 2 * time.Second, time.Hour} {
			t.Run(fmt.Sprintf("%s, %s speeds, loads every %v", sc.name, speeds, exchange), func(t *testing.T) {
				o := replayOptions{speeds: replaySpeeds[speeds], exchange: exchange, seed: 1}
				r := replayFlood(sc, o)
				r.run(floodTo + 12*time.Second)
				t.Logf("\n%s", r.table())
				check(t, o, r)
			})
		}
	}
}

// slotShare returns the share of the slot time in the measured span that a class used.
func (r *replay) slotShare(class int) float64 {
	return r.busy[class].Seconds() / (float64(replaySlots*len(r.servers)) * (floodTo - floodFrom).Seconds())
}

const urgent, normal = 0, 1

// Guards against refusals while the servers have capacity, also with a server that is ten times
// slower and sheds.
func TestNothingIsRefusedWithoutOverload(t *testing.T) {
	for _, sc := range []floodScenario{{name: "half of the capacity", normal: 1, urgent: 1, slowdown: 1}, {name: "three quarters of the capacity", normal: 1.5, urgent: 1.5, slowdown: 1}, {name: "one slow server", normal: 1, urgent: 1, slowdown: 10},
		{name: "short answers", normal: 1, urgent: 1, slowdown: 1, answerBytes: 400},
	} {
		eachDeployment(t, sc, func(t *testing.T, o replayOptions, r *replay) {
			if n := r.counts[urgent][refused] + r.counts[normal][refused]; n > 0 {
				t.Errorf("%d requests refused", n)
			}
		})
	}
}

// Guards against long flows of the normal class that leave the urgent class no capacity, against
// refusing more of the normal class than that takes, and against limits that come and go.
func TestUrgentClassSurvivesFloodOfNormalClass(t *testing.T) {
	eachDeployment(t, floodScenario{name: "normal class x5", normal: 5, urgent: 1, slowdown: 1}, func(t *testing.T, o replayOptions, r *replay) {
		if got := r.share(urgent, inTime); got < 0.97 {
			t.Errorf("%.3f of the urgent requests in time, want 0.97", got)
		}
		// The servers bear a utilization of 0.82 with random arrivals, of which the urgent class needs 0.15.
		if got := r.slotShare(normal); got < 0.67 {
			t.Errorf("the normal class uses %.2f of the capacity, want 0.67", got)
		}
		for i, e := range r.engines {
			if s := e.services["orders"].admission.controller.State(); s.Limiting || s.Switches > 2 {
				t.Errorf("engine %d: %+v; limits must start and end once", i, s)
			}
		}
	})
}

// Guards against an urgent class that loses more than the normal one, or more than without priorities,
// when servers are slow or when the size of answers does not tell which were shed.
func TestUrgentClassLosesLess(t *testing.T) {
	for _, sc := range []floodScenario{
		{name: "all classes x4, a third of the servers slow", normal: 4, urgent: 4, slowdown: 4},
		{name: "normal class x5, short answers", normal: 5, urgent: 1, slowdown: 1, answerBytes: 400},
	} {
		eachDeployment(t, sc, func(t *testing.T, o replayOptions, r *replay) {
			o.unprioritised = true
			before := replayFlood(sc, o)
			before.run(floodTo + 7*time.Second)
			t.Logf("without priorities\n%s", before.table())
			if got := r.share(urgent, inTime); got < r.share(normal, inTime) || got < before.share(urgent, inTime) {
				t.Errorf("%.3f of the urgent requests in time, %.3f of the normal ones, %.3f of the urgent ones without priorities",
					got, r.share(normal, inTime), before.share(urgent, inTime))
			}
		})
	}
}

// Guards against a flood of the most urgent class that takes the capacity guaranteed to the others.
func TestNormalClassKeepsItsGuaranteedShare(t *testing.T) {
	eachDeployment(t, floodScenario{name: "urgent class x10", normal: 1, urgent: 10, slowdown: 1}, func(t *testing.T, o replayOptions, r *replay) {
		if got := r.slotShare(normal); got < 0.1 {
			t.Errorf("the normal class uses %.3f of the capacity, want 0.1", got)
		}
	})
}

// Guards against refusals by an instance that knows too little: in its first second, and before
// its records are complete.
func TestNoRefusalRightAfterStart(t *testing.T) {
	r := replayFlood(floodScenario{normal: 5, urgent: 1, slowdown: 1}, replayOptions{speeds: replaySpeeds["equal"], exchange: 250 * time.Millisecond, seed: 1})
	r.run(floodTo)
	e := r.engines[0]
	route := e.routes[routeKey{10, 2}]
	refusals := func() (n int) {
		for range 100 {
			if ok, _ := e.admit(r.now, route, e.servers["0"]); !ok {
				n++
			}
		}
		return n
	}
	if refusals() == 0 {
		t.Fatal("no refusal in a flood")
	}
	e.complete = false
	if n := refusals(); n > 0 {
		t.Errorf("%d refusals without complete records", n)
	}
	e.complete, e.configuredAt = true, r.now-admitAllTime+1
	if n := refusals(); n > 0 {
		t.Errorf("%d refusals in the first second", n)
	}
}

// Guards against taking the usual short answers of a class for those of a server that sheds, and
// against missing the latter.
func TestShedAnswersAreRecognised(t *testing.T) {
	for _, c := range []struct {
		usual uint32
		want  bool
	}{{2000, true}, {2 * shedBytes, false}} {
		e := replayFlood(floodScenario{normal: 1, urgent: 1, slowdown: 1}, replayOptions{speeds: replaySpeeds["equal"], exchange: time.Second}).engines[0]
		f := &flow{server: e.servers["0"], class: 1}
		for range 100 {
			e.observeAnswer(0, f, 70*time.Millisecond, c.usual)
		}
		e.observeAnswer(0, f, 8*time.Millisecond, shedBytes)
		if got := e.services["orders"].admission.controller.State().Evidence > 0; got != c.want {
			t.Errorf("usual size %d: short answer counts as shed: %t", c.usual, got)
		}
	}
}

// Guards against admission control that ends after changes of the configuration because classes of
// earlier versions hold all indices, and against priorities of earlier versions that still count.
func TestClassesFollowTheConfiguration(t *testing.T) {
	e := replayFlood(floodScenario{normal: 1, urgent: 1, slowdown: 1}, replayOptions{speeds: replaySpeeds["equal"], exchange: time.Second}).engines[0]
	for version := uint64(2); version < 100; version++ {
		route := func(port uint16, priority int) Route {
			return Route{Address: 10, Port: port, Services: []ServiceWeight{{"orders", 1}}, Prioritised: true, Priority: priority, Objective: time.Duration(version)}
		}
		e.Configure(0, &Configuration{Version: version, Routes: []Route{route(1, int(version)), route(2, int(version)+1), route(3, int(version))}})
		first, second, third := e.routes[routeKey{10, 1}].classIndex, e.routes[routeKey{10, 2}].classIndex, e.routes[routeKey{10, 3}].classIndex
		if first == 0 || second == 0 || first == second || first != third || len(e.Admissions()) != 2 || e.Admissions()[0].Priority != int(version) {
			t.Fatalf("version %d: indices %d, %d, %d, classes %+v", version, first, second, third, e.Admissions())
		}
	}
}

// BenchmarkPrioritised measures decisions with admission control. The targets are 1 µs for a new
// flow and 100 ns more for a packet of an open flow, without allocations.
func BenchmarkPrioritised(b *testing.B) {
	e, keys := newPopulatedEngine(12000, 10000)
	e.Configure(0, &Configuration{Version: 2, Routes: []Route{
		{Address: 10, Port: 443, Services: []ServiceWeight{{"orders", 1}}, Prioritised: true, Objective: time.Second, Timeout: time.Second}}})
	e.SetComplete()
	r := e.routes[routeKey{10, 443}]
	b.Run("open", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			e.admit(2*time.Second, r, e.choose(2*time.Second, r))
		}
	})
	b.Run("request and answer", func(b *testing.B) {
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			f := e.flows[keys[i%len(keys)]]
			f.class = r.classIndex
			e.Packet(time.Millisecond, Packet{Flow: f.key, Cookie: f.server.cookie, Acknowledges: true, Sequence: f.seq, Acknowledgement: f.ack, Length: 100}, nil)
			e.Packet(2*time.Millisecond, Packet{Flow: f.key, Cookie: f.server.cookie, Acknowledges: true, Sequence: f.seq, Acknowledgement: f.ack + 1400}, nil)
		}
	})
}
