package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/monsoonthread/monsoonthread/backend"
	"github.com/monsoonthread/monsoonthread/config"
	"pgregory.net/rapid"
)

// drawSimulation draws a simulation with up to 4 instances and servers with speeds from 1x to 8x.
func drawSimulation(t *rapid.T, minInstances int) *simulation {
	instances := rapid.IntRange(minInstances, 4).Draw(t, "instances")
	servers := rapid.IntRange(instances, 12).Draw(t, "servers")
	speeds := rapid.SliceOfN(rapid.Float64Range(1, 8), servers, servers).Draw(t, "speeds")
	return newSimulation(rapid.Uint64().Draw(t, "seed"), instances, speeds, PolicySummaries)
}

// check fails if any invariant of the simulation is violated.
func (sim *simulation) check(t *rapid.T) {
	t.Helper()
	if sim.overruns > 0 {
		t.Fatalf("%d requests reached a server without a free slot", sim.overruns)
	}
	if sim.falseRefusals > 0 {
		t.Fatalf("%d requests were refused as not executed, but ran", sim.falseRefusals)
	}
	for id, r := range sim.requests {
		if r.executed > 1 {
			t.Fatalf("request %d ran %d times", id, r.executed)
		}
	}
}

// busyShare runs the simulation for d, sampling each millisecond, and returns the share of
// slots that are busy, counted from the grant to the response. It also checks that no
// request waits while a slot is available.
func (sim *simulation) busyShare(t *rapid.T, d time.Duration) float64 {
	busy, samples := 0, 0
	end := sim.now.Add(d)
	slots := 0
	for _, b := range sim.servers {
		slots += b.cfg.Slots
	}
	for sim.now.Before(end) {
		sim.run(time.Millisecond)
		samples += slots
		for _, n := range sim.instances {
			busy += n.sched.Running()
			if n.sched.queue.Len() > 0 && n.sched.anySlotAvailable(sim.now) {
				t.Fatalf("%s: %d requests wait while a slot is free", n.id, n.sched.Queued())
			}
		}
	}
	return float64(busy) / float64(samples)
}

// Guards against idle slots and against exceeded slots at saturation.
func TestSaturationUsesEverySlotWithoutOverrun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := drawSimulation(t, 1)
		sim.load(config.Normal, rapid.Float64Range(1.3, 3).Draw(t, "load")*sim.capacity(), 0, 50, 2*time.Second, 6*time.Second)
		sim.run(3 * time.Second)
		if share := sim.busyShare(t, 2*time.Second); share < 0.97 {
			t.Errorf("slots are busy for %.3f of the time, want 0.97", share)
		}
		sim.run(4 * time.Second)
		sim.check(t)
	})
}

// Guards against exceeded slots when servers do not answer: the slot of a request that
// timed out must count as busy until the deadline.
func TestTimeoutKeepsTheSlotUntilTheDeadline(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := drawSimulation(t, 1)
		sim.load(config.Normal, 1.2*sim.capacity(), 0, 50, 300*time.Millisecond, 3*time.Second)
		for range rapid.IntRange(1, 4).Draw(t, "changes") {
			sim.run(rapid.SampledFrom([]time.Duration{100, 300, 700}).Draw(t, "after") * time.Millisecond)
			b := sim.servers[sim.svc.BackendServers[sim.rng.IntN(len(sim.servers))].Name]
			b.hang = !b.hang
		}
		sim.run(4 * time.Second)
		sim.check(t)
	})
}

// Guards against exceeded slots, false refusals and quarantines while servers move
// between live instances under load and stop answering, and against slots that stay busy
// after a handover.
func TestPlannedTakeoverHasNoOverrun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := drawSimulation(t, 2)
		sim.load(config.Normal, rapid.Float64Range(0.5, 2).Draw(t, "load")*sim.capacity(), 0, 50, time.Second, 4*time.Second)
		for range rapid.IntRange(1, 5).Draw(t, "views") {
			sim.run(rapid.SampledFrom([]time.Duration{60, 200, 600}).Draw(t, "after") * time.Millisecond)
			sim.assignRoundRobin(rapid.IntRange(0, 3).Draw(t, "offset"))
			b := sim.servers[sim.svc.BackendServers[sim.rng.IntN(len(sim.servers))].Name]
			b.hang = rapid.Bool().Draw(t, "hang")
		}
		sim.run(7 * time.Second)
		sim.check(t)
		if n := sim.eventCounts["server_quarantined"]; n > 0 {
			t.Errorf("%d servers were quarantined in a planned takeover", n)
		}
		for _, n := range sim.instances {
			for name, srv := range n.sched.servers {
				if srv.role != roleReleased && srv.occupiedSlots() > 0 {
					t.Errorf("%s: %s has %d busy slots without load", n.id, name, srv.occupiedSlots())
				}
			}
		}
	})
}

// Guards against exceeded slots after the crash of a dispatcher, and against a
// quarantine that is shorter or longer than the longest deadline, whether the new view or
// the notice of the crash arrives first.
func TestCrashQuarantinesForTheLongestDeadline(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := drawSimulation(t, 2)
		sim.load(config.Normal, 2*sim.capacity(), 0, 50, 2*time.Second, 8*time.Second)
		sim.run(time.Second)
		dead := sim.instances[0]
		lost := map[string]bool{}
		for name, id := range sim.owner {
			lost[name] = id == dead.id
		}
		dead.dead = true
		var noticed time.Time
		early, first := 0, map[string]time.Duration{}
		sim.onGrant = func(name string) {
			if !lost[name] || noticed.IsZero() {
				return
			}
			after := sim.now.Sub(noticed)
			if after < sim.svc.MaxDeadline.Duration() {
				early++
			}
			if _, ok := first[name]; !ok {
				first[name] = after
			}
		}
		sim.run(20 * time.Millisecond)
		noticed = sim.now
		viewFirst := rapid.Bool().Draw(t, "view first")
		if viewFirst {
			sim.assignRoundRobin(0)
			sim.run(25 * time.Millisecond)
			noticed = sim.now
		}
		for _, n := range sim.instances[1:] {
			n.perform(n.sched.HandleInstanceDead(sim.now, dead.id))
		}
		if !viewFirst {
			sim.assignRoundRobin(0)
		}
		sim.run(5 * time.Second)
		sim.check(t)
		if early > 0 {
			t.Errorf("%d requests were sent during the quarantine", early)
		}
		const tick = 10 * time.Millisecond
		for name, was := range lost {
			if after, ok := first[name]; was && (!ok || after > sim.svc.MaxDeadline.Duration()+2*tick) {
				t.Errorf("%s was used %v after the notice, want %v", name, after, sim.svc.MaxDeadline.Duration())
			}
		}
	})
}

// Guards against exceeded slots, false refusals and lost slots when moves, crashes,
// pauses and unresponsive servers coincide or repeat.
func TestMixedFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := drawSimulation(t, 2)
		sim.load(config.Normal, rapid.Float64Range(0.5, 2).Draw(t, "load")*sim.capacity(), 0, 50, time.Second, 10*time.Second)
		live := len(sim.instances)
		for range rapid.IntRange(1, 8).Draw(t, "events") {
			sim.run(rapid.SampledFrom([]time.Duration{60, 600, 2000}).Draw(t, "after") * time.Millisecond)
			n := sim.instances[sim.rng.IntN(len(sim.instances))]
			b := sim.servers[sim.svc.BackendServers[sim.rng.IntN(len(sim.servers))].Name]
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				sim.assignRoundRobin(rapid.IntRange(0, 3).Draw(t, "offset"))
			case 1:
				b.hang = !b.hang
			case 2:
				n.ifAlive(func() { n.perform(n.sched.Fence(sim.now)) })
				sim.assign(sim.owner)
			case 3:
				o := sim.byID[sim.owner[b.cfg.Name]]
				o.ifAlive(func() { o.perform(o.sched.DrainServer(sim.now, b.cfg.Name, backend.NoticeList)) })
			case 4:
				if n.dead || live < 2 {
					continue
				}
				n.dead = true
				live--
				sim.run(rapid.SampledFrom([]time.Duration{1, 30, 1000}).Draw(t, "notice") * time.Millisecond)
				for _, o := range sim.instances {
					o.ifAlive(func() { o.perform(o.sched.HandleInstanceDead(sim.now, n.id)) })
				}
				sim.assignRoundRobin(rapid.IntRange(0, 3).Draw(t, "offset"))
			}
		}
		sim.run(18 * time.Second)
		sim.check(t)
		for _, n := range sim.instances {
			if !n.dead && n.sched.Running()+n.sched.Queued() > 0 {
				t.Errorf("%s: %d running, %d queued without load", n.id, n.sched.Running(), n.sched.Queued())
			}
		}
	})
}

// Guards against new requests to a leaving server, for every source of the notice and
// also after another instance has taken the server over.
func TestLeavingServerGetsNoGrant(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := drawSimulation(t, 2)
		sim.load(config.Normal, 1.5*sim.capacity(), 0, 50, time.Second, 3*time.Second)
		sim.run(500 * time.Millisecond)
		name := sim.svc.BackendServers[0].Name
		owner := sim.byID[sim.owner[name]]
		late := 0
		switch source := rapid.IntRange(0, 3).Draw(t, "source"); source {
		case 0:
			owner.perform(owner.sched.RecordHealth(sim.now, name, backend.HealthDraining))
		case 1:
			owner.perform(owner.sched.DrainServer(sim.now, name, backend.NoticeList))
		case 2:
			sim.servers[name].cfg.Leaving = true
			sim.assign(sim.owner)
			sim.run(20 * time.Millisecond)
		case 3: // the notice reached the successor before it owned the server
			for _, n := range sim.instances {
				n.perform(n.sched.DrainServer(sim.now, name, backend.NoticeList))
			}
		}
		sim.onGrant = func(server string) {
			if server == name {
				late++
			}
		}
		owner.perform(owner.sched.RecordHealth(sim.now, name, backend.HealthOK))
		sim.run(300 * time.Millisecond)
		sim.assignRoundRobin(1)
		sim.run(3 * time.Second)
		sim.check(t)
		if late > 0 {
			t.Errorf("%d requests were sent after the notice", late)
		}
	})
}

// Guards against retries that amplify an overload: even if all servers shed, the retries
// must stay within 10% of the first attempts plus the floor.
func TestRetriesAreNotAmplified(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := drawSimulation(t, 1)
		sim.retry = true
		for _, b := range sim.servers {
			b.shed = rapid.IntRange(0, 3).Draw(t, "shed") > 0
		}
		sim.load(config.Normal, rapid.Float64Range(0.05, 0.5).Draw(t, "load")*sim.capacity(), 0, 50, time.Second, 3*time.Second)
		sim.run(5 * time.Second)
		first := float64(len(sim.requests))
		// Each instance may retry once at the start and once per second for 5 s.
		floor := float64(len(sim.instances)) * (1 + 5*1)
		if limit := 1.1*first + floor; float64(sim.attempts) > limit {
			t.Errorf("%d attempts for %.0f requests, want at most %.0f", sim.attempts, first, limit)
		}
		sim.check(t)
	})
}

// Guards against imbalance: with server speeds from 1x to 8x and 90% load, the
// utilization of no server may exceed 1.05 times the mean over 10 s.
func TestImbalanceOfUnequalServers(t *testing.T) {
	for _, size := range []struct{ instances, servers int }{{1, 15}, {3, 15}, {8, 15}, {4, 16}, {8, 64}} {
		t.Run(fmt.Sprintf("%d instances %d servers", size.instances, size.servers), func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= 9; seed++ {
				sim := newSimulation(seed, size.instances, speedsUpTo8(size.servers), PolicySummaries)
				r := sim.measure(0.9, 10*time.Second)
				if x := imbalance(r.utilization); x > 1.05 {
					t.Errorf("seed %d: imbalance %.3f, want 1.05: %.3f", seed, x, r.utilization)
				}
				if r.refused > 0 || sim.overruns > 0 {
					t.Errorf("seed %d: %d refused, %d overruns", seed, r.refused, sim.overruns)
				}
			}
		})
	}
}

// classRates holds the requests per second of each class.
type classRates [config.NumClasses]float64

// goodput loads the servers and returns, for the time d after a settling time, the rates
// of requests that were sent and of those that finished in time.
func (sim *simulation) goodput(rates classRates, d time.Duration) (sent, finished classRates) {
	const settle = 2 * time.Second
	from, to := sim.now.Add(settle), sim.now.Add(settle+d)
	sim.onDone = func(r *simRequest) {
		if r.sent.Before(from) || !r.sent.Before(to) {
			return
		}
		sent[r.Class] += 1 / d.Seconds()
		if r.finished {
			finished[r.Class] += 1 / d.Seconds()
		}
	}
	for c, rate := range rates {
		sim.load(config.Class(c), rate, 0, 50, time.Second, settle+d)
	}
	sim.run(settle + d + 3*time.Second)
	sim.onDone = nil
	return sent, finished
}

// Guards against a flood of one class that takes the capacity of the others: they must
// keep 95% of their previous goodput, or their guaranteed share if that is lower. A
// flooding class must get its guaranteed share, too.
func TestOtherClassesKeepTheirShareInFloods(t *testing.T) {
	base := classRates{0.15, 0.35, 0.15} // shares of the capacity
	floods := map[string][]config.Class{
		"least urgent": {config.Bulk}, "most urgent": {config.Urgent}, "both": {config.Bulk, config.Urgent},
	}
	for name, flooded := range floods {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= 3; seed++ {
				sim := newSimulation(seed, 2, speedsUpTo8(12), PolicySummaries)
				var rates classRates
				for c := range rates {
					rates[c] = base[c] * sim.capacity()
				}
				sentBefore, before := sim.goodput(rates, 4*time.Second)
				for _, c := range flooded {
					rates[c] *= 10
				}
				sent, during := sim.goodput(rates, 8*time.Second)
				total := during[0] + during[1] + during[2]
				for c := range config.NumClasses {
					kept := 0.95 * sent[c] * before[c] / sentBefore[c]
					want := min(kept, total*float64(sim.svc.MinShares[c])/100)
					if c < flooded[len(flooded)-1] {
						want = kept // only less urgent classes flood
					}
					if during[c] < want {
						t.Errorf("seed %d: %v has %.0f/s of %.0f/s, want %.0f/s", seed, c, during[c], sent[c], want)
					}
				}
				if sim.overruns > 0 || sim.falseRefusals > 0 {
					t.Errorf("seed %d: %d overruns, %d false refusals", seed, sim.overruns, sim.falseRefusals)
				}
			}
		})
	}
}

// Guards against a caller that floods its class: the other callers must keep their
// goodput.
func TestCallersOfAClassAreTreatedFairly(t *testing.T) {
	const light, flooding = 20, 100
	for seed := uint64(1); seed <= 3; seed++ {
		sim := newSimulation(seed, 2, speedsUpTo8(8), PolicySummaries)
		done, sent := map[uint64]float64{}, map[uint64]float64{}
		sim.onDone = func(r *simRequest) {
			if r.finished {
				done[r.CallerHash]++
			}
		}
		rate := sim.capacity() / (light + 1) * 0.8
		sim.load(config.Normal, light*rate, 0, light, time.Second, 6*time.Second)
		sim.load(config.Normal, 40*rate, flooding, 1, time.Second, 6*time.Second)
		sim.run(9 * time.Second)
		for _, r := range sim.requests {
			sent[r.CallerHash]++
		}
		for caller := range uint64(light) {
			if done[caller] < 0.95*sent[caller] {
				t.Errorf("seed %d: caller %d finished %.0f of %.0f requests beside a flooding caller", seed, caller, done[caller], sent[caller])
			}
		}
	}
}
