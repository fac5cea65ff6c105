package forwarding

import (
	"flag"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// docs/MEASUREMENTS.md uses 150 servers.
var placementServers = flag.Int("placement.servers", 15, "backend servers in TestPlacementCompared")

// policies returns ways to choose the server of a new flow from the state of one instance;
// nil selects the engine's own.
func policies(rng *rand.Rand) map[string]func(*Engine) int {
	servers := func(e *Engine) []*server { return e.services["orders"].local }
	index := func(s *server) int { return int(s.ID) - 1 }
	return map[string]func(*Engine) int{
		"random": func(e *Engine) int { return rng.IntN(len(servers(e))) },
		"two choices": func(e *Engine) int {
			all := servers(e)
			a, b := all[rng.IntN(len(all))], all[rng.IntN(len(all))]
			if b.pendingRequests < a.pendingRequests {
				a = b
			}
			return index(a)
		},
		"least in flight": func(e *Engine) int {
			all := servers(e)
			start := rng.IntN(len(all))
			best := all[start]
			for i := range all {
				if s := all[(start+i)%len(all)]; s.pendingRequests < best.pendingRequests {
					best = s
				}
			}
			return index(best)
		},
		"estimated utilization": nil,
	}
}

type placementResult struct {
	late    float64 // share of the requests that exceed the latency target
	p50     time.Duration
	p99     time.Duration
	busiest float64 // utilization of the busiest server
}

func measurePlacement(policy string, servers, instances int, load float64) placementResult {
	const (
		span, latencyTarget = 16 * time.Second, 120 * time.Millisecond
		pause               = 590 * time.Millisecond
		work                = 22 * time.Millisecond
	)
	speeds := make([]float64, servers)
	capacity := 0.0 // requests per second
	for i := range speeds {
		speeds[i] = []float64{0.7, 0.7, 1.7}[i%3]
		capacity += 2 * speeds[i] / work.Seconds()
	}
	f := newFleetOf(instances, speeds)
	f.placeFlow = policies(f.rng)[policy]
	users := int(load * capacity * (pause + 30*time.Millisecond).Seconds())
	var r placementResult
	r.late = f.run(users, pause, span, latencyTarget)
	slices.Sort(f.responseTimes)
	r.p50, r.p99 = f.responseTimes[len(f.responseTimes)/2], f.responseTimes[len(f.responseTimes)*99/100]
	for _, w := range f.work {
		r.busiest = max(r.busiest, w.Seconds()/2/span.Seconds())
	}
	return r
}

// Guards against a placement of flows that is worse than simple policies at servers of speeds
// 0.7 and 1.7 with two slots, where each of 8 instances sees an eighth of the requests.
func TestPlacementCompared(t *testing.T) {
	for _, load := range []float64{0.5, 0.75} {
		results := make(map[string]placementResult)
		for _, policy := range []string{"random", "two choices", "least in flight", "estimated utilization"} {
			r := measurePlacement(policy, *placementServers, 8, load)
			results[policy] = r
			t.Logf("| %.0f%% | %s | %.1f%% | %v | %v | %.0f%% |", 100*load, policy, 100*r.late, r.p50, r.p99, 100*r.busiest)
		}
		for policy, r := range results {
			if own := results["estimated utilization"]; own.late > r.late {
				t.Errorf("at %.0f%% load %.1f%% of the requests are late, %.1f%% with %s", 100*load, 100*own.late, 100*r.late, policy)
			}
		}
	}
}
