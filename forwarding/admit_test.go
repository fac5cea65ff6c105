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
	slow           bool    // a third of the servers is four times slower during the flood
}

var floodScenarios = []floodScenario{
	{"no overload", 1, 1, false},
	{"normal class x5", 5, 1, false},
	{"all classes x4, slow servers", 4, 4, true},
	{"urgent class x5", 1, 5, false},
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
	if sc.slow {
		o.slow = func(server int, now time.Duration) float64 {
			if server%3 == 0 && inFlood(now) {
				return 4
			}
			return 1
		}
	}
	o.engines, o.servers = 6, 12
	r := newReplay(o,
		replayClass{name: "urgent", priority: 0, port: 1, work: 61 * time.Millisecond, objective: 600 * time.Millisecond, timeout: 6 * time.Second,
			kind: NonIdempotent, perFlow: 1, rate: 0.15 * 24 / 0.061, factor: factor(sc.urgent)},
		replayClass{name: "normal", priority: 1, port: 2, work: 47 * time.Millisecond, objective: 500 * time.Millisecond, timeout: 5 * time.Second,
			perFlow: 10, pause: 400 * time.Millisecond, rate: 0.35 * 24 / 0.047, factor: factor(sc.normal)})
	r.measured = inFlood
	return r
}

var replaySpeeds = map[string][]float64{"equal": {1}, "uneven": {0.7, 0.7, 1.7}}

// Reports the outcome of each load by class, with and without priorities.
func TestFloodTable(t *testing.T) {
	for _, sc := range floodScenarios {
		for _, speeds := range []string{"equal", "uneven"} {
			for _, exchange := range []time.Duration{250 * time.Millisecond, 2 * time.Second} {
				for _, unprioritised := range []bool{true, false} {
					name := fmt.Sprintf("%s, %s speeds, loads every %v, priorities %t", sc.name, speeds, exchange, !unprioritised)
					r := replayFlood(sc, replayOptions{speeds: replaySpeeds[speeds], exchange: exchange, unprioritised: unprioritised, seed: 1})
					r.run(floodTo + 7*time.Second)
					t.Logf("%s\n%s", name, r.table())
				}
			}
		}
	}
}
