package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/monsoonthread/monsoonthread/admission"
	"github.com/monsoonthread/monsoonthread/backend"
	"github.com/monsoonthread/monsoonthread/config"
	"github.com/monsoonthread/monsoonthread/peer/peerpb"
)

// BenchmarkDecision measures Submit and Finish with 90% of the slots busy. The target
// is 1 us at 19, 1,000 and 12,000 configured hosts. At the target size an instance owns
// about 9 of them; the cases in which one instance owns all hosts are the worst case.
func BenchmarkDecision(b *testing.B) {
	for _, size := range [][2]int{{19, 19}, {1000, 19}, {12000, 19}, {1000, 1000}, {12000, 12000}} {
		configured, hosts := size[0], size[1]
		b.Run(fmt.Sprintf("hosts=%d/owned=%d", configured, hosts), func(b *testing.B) {
			now := time.Unix(1000, 0)
			svc := config.Service{ID: 1, MaxDeadline: 30000}
			for i := range configured {
				svc.BackendServers = append(svc.BackendServers, config.BackendServer{
					Name: fmt.Sprint("b", i), Slots: 2, Weight: uint32(100 + 700*i/configured)})
			}
			s := NewScheduler(Config{}, svc, now)
			var list []Assignment
			for i := range hosts {
				list = append(list, Assignment{Server: svc.BackendServers[i*configured/hosts]})
			}
			s.SetAssignments(now, list, 1)
			service := 10 * time.Millisecond
			step := service / time.Duration(2*hosts) * 10 / 9
			running := make([]uint64, 0, 2*hosts)
			id := uint64(0)
			submit := func() {
				id++
				for _, a := range s.Submit(now, Request{Idempotent: true, Item: admission.Item{
					ID: id, CallerHash: id, Arrived: now, Deadline: now.Add(10 * time.Second)}}) {
					if run, ok := a.(Run); ok {
						running = append(running, run.GrantID)
					}
				}
			}
			for range 2 * hosts * 9 / 10 {
				submit()
			}
			next := 0
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(step)
				grant := running[next]
				running[next] = running[len(running)-1]
				running = running[:len(running)-1]
				s.Finish(now, grant, backend.Success, service)
				submit()
				next = (next + 7) % (len(running) - 1)
			}
		})
	}
}

// BenchmarkChoose measures Choose, Sent and Observe for one request.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{8, 70, 1300} {
		b.Run(fmt.Sprintf("dispatchers=%d", n), func(b *testing.B) {
			now := time.Unix(1000, 0)
			c := NewChooser(ChooserConfig{}, rand.New(rand.NewPCG(1, 2)))
			ids := make([]string, n)
			for i := range ids {
				ids[i] = fmt.Sprint("i", i)
			}
			c.SetCandidates(1, ids)
			sum := &peerpb.Summary{ServiceId: 1, FreeSlots: 2, TotalSlots: 20, ServiceRateMilli: 500000}
			for i := range ids {
				c.Observe(now, ids[i], sum)
			}
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Microsecond)
				id, _ := c.Choose(now, 1, nil)
				c.Sent(1, id)
				sum.Seq++
				c.Observe(now, id, sum)
			}
		})
	}
}

// BenchmarkPolicies compares the chooser policies in simulated time, with server
// speeds from 1x to 8x, 90% load and 5 seeds.
func BenchmarkPolicies(b *testing.B) {
	const seeds = 5
	for _, size := range [][2]int{{8, 15}, {70, 140}} {
		for _, p := range []Policy{PolicySummaries, PolicyNoSummary, PolicyRoundRobin, PolicyRandom} {
			b.Run(fmt.Sprintf("instances=%d/servers=%d/%v", size[0], size[1], p), func(b *testing.B) {
				var balance, wait, refused []float64
				for b.Loop() {
					balance, wait, refused = nil, nil, nil
					for seed := uint64(1); seed <= seeds; seed++ {
						sim := newSimulation(seed, size[0], speedsUpTo8(size[1]), p)
						r := sim.measure(0.9, 10*time.Second)
						balance = append(balance, imbalance(r.utilization))
						wait = append(wait, r.p99Wait.Seconds()*1000)
						refused = append(refused, float64(r.refused))
					}
				}
				b.ReportMetric(mean(balance), "imbalance")
				b.ReportMetric(slices.Max(balance), "imbalance-max")
				b.ReportMetric(mean(wait), "p99-wait-ms")
				b.ReportMetric(slices.Max(wait), "p99-wait-max-ms")
				b.ReportMetric(mean(refused), "refused/run")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}
