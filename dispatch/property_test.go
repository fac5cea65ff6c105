package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/monsoonthread/monsoonthread/backend"
	"github.com/monsoonthread/monsoonthread/config"
	"pgregory.net/rapid"
)

// drawModel draws a model with up to 4 instances and servers with speeds from 1x to 8x.
func drawModel(t *rapid.T, minInstances int) *model {
	instances := rapid.IntRange(minInstances, 4).Draw(t, "instances")
	servers := rapid.IntRange(instances, 12).Draw(t, "servers")
	speeds := rapid.SliceOfN(rapid.Float64Range(1, 8), servers, servers).Draw(t, "speeds")
	return newModel(rapid.Uint64().Draw(t, "seed"), instances, speeds, PolicySummaries)
}

// check fails if any invariant of the model is violated.
func (m *model) check(t *rapid.T) {
	t.Helper()
	if m.overruns > 0 {
		t.Fatalf("%d requests reached a server without a free slot", m.overruns)
	}
	if m.falseRefusals > 0 {
		t.Fatalf("%d requests were refused as not executed, but ran", m.falseRefusals)
	}
	for id, r := range m.requests {
		if r.executed > 1 {
			t.Fatalf("request %d ran %d times", id, r.executed)
		}
	}
}

// busyShare runs the model for d, sampling each millisecond, and returns the share of
// slots that are busy, counted from the grant to the response. It also checks that no
// request waits while a slot is available.
func (m *model) busyShare(t *rapid.T, d time.Duration) float64 {
	busy, samples := 0, 0
	end := m.now.Add(d)
	slots := 0
	for _, b := range m.servers {
		slots += b.cfg.Slots
	}
	for m.now.Before(end) {
		m.run(time.Millisecond)
		samples += slots
		for _, n := range m.instances {
			busy += n.sched.Running()
			if n.sched.queue.Len() > 0 && n.sched.anySlotAvailable(m.now) {
				t.Fatalf("%s: %d requests wait while a slot is free", n.id, n.sched.Queued())
			}
		}
	}
	return float64(busy) / float64(samples)
}

// Guards against idle slots and against exceeded slots at saturation.
func TestSaturationUsesEverySlotWithoutOverrun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawModel(t, 1)
		m.load(config.Normal, rapid.Float64Range(1.3, 3).Draw(t, "load")*m.capacity(), 0, 50, 2*time.Second, 6*time.Second)
		m.run(3 * time.Second)
		if share := m.busyShare(t, 2*time.Second); share < 0.97 {
			t.Errorf("slots are busy for %.3f of the time, want 0.97", share)
		}
		m.run(4 * time.Second)
		m.check(t)
	})
}

// Guards against exceeded slots when servers do not answer: the slot of a request that
// timed out must count as busy until the deadline.
func TestTimeoutKeepsTheSlotUntilTheDeadline(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawModel(t, 1)
		m.load(config.Normal, 1.2*m.capacity(), 0, 50, 300*time.Millisecond, 3*time.Second)
		for range rapid.IntRange(1, 4).Draw(t, "changes") {
			m.run(rapid.SampledFrom([]time.Duration{100, 300, 700}).Draw(t, "after") * time.Millisecond)
			b := m.servers[m.svc.BackendServers[m.rng.IntN(len(m.servers))].Name]
			b.hang = !b.hang
		}
		m.run(4 * time.Second)
		m.check(t)
	})
}

// Guards against exceeded slots, false refusals and quarantines while servers move
// between live instances under load and stop answering, and against slots that stay busy
// after a handover.
func TestPlannedTakeoverHasNoOverrun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawModel(t, 2)
		m.load(config.Normal, rapid.Float64Range(0.5, 2).Draw(t, "load")*m.capacity(), 0, 50, time.Second, 4*time.Second)
		for range rapid.IntRange(1, 5).Draw(t, "views") {
			m.run(rapid.SampledFrom([]time.Duration{60, 200, 600}).Draw(t, "after") * time.Millisecond)
			m.assignRoundRobin(rapid.IntRange(0, 3).Draw(t, "offset"))
			b := m.servers[m.svc.BackendServers[m.rng.IntN(len(m.servers))].Name]
			b.hang = rapid.Bool().Draw(t, "hang")
		}
		m.run(7 * time.Second)
		m.check(t)
		if n := m.eventCounts["server_quarantined"]; n > 0 {
			t.Errorf("%d servers were quarantined in a planned takeover", n)
		}
		for _, n := range m.instances {
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
		m := drawModel(t, 2)
		m.load(config.Normal, 2*m.capacity(), 0, 50, 2*time.Second, 8*time.Second)
		m.run(time.Second)
		dead := m.instances[0]
		lost := map[string]bool{}
		for name, id := range m.owner {
			lost[name] = id == dead.id
		}
		dead.dead = true
		var noticed time.Time
		early, first := 0, map[string]time.Duration{}
		m.onGrant = func(name string) {
			if !lost[name] || noticed.IsZero() {
				return
			}
			after := m.now.Sub(noticed)
			if after < m.svc.MaxDeadline.Duration() {
				early++
			}
			if _, ok := first[name]; !ok {
				first[name] = after
			}
		}
		m.run(20 * time.Millisecond)
		noticed = m.now
		viewFirst := rapid.Bool().Draw(t, "view first")
		if viewFirst {
			m.assignRoundRobin(0)
			m.run(25 * time.Millisecond)
			noticed = m.now
		}
		for _, n := range m.instances[1:] {
			n.perform(n.sched.HandleInstanceDead(m.now, dead.id))
		}
		if !viewFirst {
			m.assignRoundRobin(0)
		}
		m.run(5 * time.Second)
		m.check(t)
		if early > 0 {
			t.Errorf("%d requests were sent during the quarantine", early)
		}
		const tick = 10 * time.Millisecond
		for name, was := range lost {
			if after, ok := first[name]; was && (!ok || after > m.svc.MaxDeadline.Duration()+2*tick) {
				t.Errorf("%s was used %v after the notice, want %v", name, after, m.svc.MaxDeadline.Duration())
			}
		}
	})
}

// Guards against exceeded slots, false refusals and lost slots when moves, crashes,
// pauses and unresponsive servers coincide or repeat.
func TestMixedFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawModel(t, 2)
		m.load(config.Normal, rapid.Float64Range(0.5, 2).Draw(t, "load")*m.capacity(), 0, 50, time.Second, 10*time.Second)
		live := len(m.instances)
		for range rapid.IntRange(1, 8).Draw(t, "events") {
			m.run(rapid.SampledFrom([]time.Duration{60, 600, 2000}).Draw(t, "after") * time.Millisecond)
			n := m.instances[m.rng.IntN(len(m.instances))]
			b := m.servers[m.svc.BackendServers[m.rng.IntN(len(m.servers))].Name]
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				m.assignRoundRobin(rapid.IntRange(0, 3).Draw(t, "offset"))
			case 1:
				b.hang = !b.hang
			case 2:
				n.ifAlive(func() { n.perform(n.sched.Fence(m.now)) })
				m.assign(m.owner)
			case 3:
				o := m.byID[m.owner[b.cfg.Name]]
				o.ifAlive(func() { o.perform(o.sched.DrainServer(m.now, b.cfg.Name, backend.NoticeList)) })
			case 4:
				if n.dead || live < 2 {
					continue
				}
				n.dead = true
				live--
				m.run(rapid.SampledFrom([]time.Duration{1, 30, 1000}).Draw(t, "notice") * time.Millisecond)
				for _, o := range m.instances {
					o.ifAlive(func() { o.perform(o.sched.HandleInstanceDead(m.now, n.id)) })
				}
				m.assignRoundRobin(rapid.IntRange(0, 3).Draw(t, "offset"))
			}
		}
		m.run(18 * time.Second)
		m.check(t)
		for _, n := range m.instances {
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
		m := drawModel(t, 2)
		m.load(config.Normal, 1.5*m.capacity(), 0, 50, time.Second, 3*time.Second)
		m.run(500 * time.Millisecond)
		name := m.svc.BackendServers[0].Name
		owner := m.byID[m.owner[name]]
		late := 0
		switch source := rapid.IntRange(0, 3).Draw(t, "source"); source {
		case 0:
			owner.perform(owner.sched.RecordHealth(m.now, name, backend.HealthDraining))
		case 1:
			owner.perform(owner.sched.DrainServer(m.now, name, backend.NoticeList))
		case 2:
			m.servers[name].cfg.Leaving = true
			m.assign(m.owner)
			m.run(20 * time.Millisecond)
		case 3: // the notice reached the successor before it owned the server
			for _, n := range m.instances {
				n.perform(n.sched.DrainServer(m.now, name, backend.NoticeList))
			}
		}
		m.onGrant = func(server string) {
			if server == name {
				late++
			}
		}
		owner.perform(owner.sched.RecordHealth(m.now, name, backend.HealthOK))
		m.run(300 * time.Millisecond)
		m.assignRoundRobin(1)
		m.run(3 * time.Second)
		m.check(t)
		if late > 0 {
			t.Errorf("%d requests were sent after the notice", late)
		}
	})
}

// Guards against retries that amplify an overload: even if all servers shed, the retries
// must stay within 10% of the first attempts plus the floor.
func TestRetriesAreNotAmplified(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawModel(t, 1)
		m.retry = true
		for _, b := range m.servers {
			b.shed = rapid.IntRange(0, 3).Draw(t, "shed") > 0
		}
		m.load(config.Normal, rapid.Float64Range(0.05, 0.5).Draw(t, "load")*m.capacity(), 0, 50, time.Second, 3*time.Second)
		m.run(5 * time.Second)
		first := float64(len(m.requests))
		// Each instance may retry once at the start and once per second for 5 s.
		floor := float64(len(m.instances)) * (1 + 5*1)
		if limit := 1.1*first + floor; float64(m.attempts) > limit {
			t.Errorf("%d attempts for %.0f requests, want at most %.0f", m.attempts, first, limit)
		}
		m.check(t)
	})
}

// Guards against imbalance: with server speeds from 1x to 8x and 90% load, the
// utilization of no server may exceed 1.05 times the mean over 10 s.
func TestImbalanceOfUnequalServers(t *testing.T) {
	for _, size := range []struct{ instances, servers int }{{1, 15}, {3, 15}, {8, 15}, {4, 16}, {8, 64}} {
		t.Run(fmt.Sprintf("%d instances %d servers", size.instances, size.servers), func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= 9; seed++ {
				m := newModel(seed, size.instances, speedsUpTo8(size.servers), PolicySummaries)
				r := m.measure(0.9, 10*time.Second)
				if x := imbalance(r.utilization); x > 1.05 {
					t.Errorf("seed %d: imbalance %.3f, want 1.05: %.3f", seed, x, r.utilization)
				}
				if r.refused > 0 || m.overruns > 0 {
					t.Errorf("seed %d: %d refused, %d overruns", seed, r.refused, m.overruns)
				}
			}
		})
	}
}

// classRates holds the requests per second of each class.
type classRates [config.NumClasses]float64

// goodput loads the model and returns, for the time d after a settling time, the rates
// of requests that were sent and of those that finished in time.
func (m *model) goodput(rates classRates, d time.Duration) (sent, finished classRates) {
	const settle = 2 * time.Second
	from, to := m.now.Add(settle), m.now.Add(settle+d)
	m.onDone = func(r *modelRequest) {
		if r.sent.Before(from) || !r.sent.Before(to) {
			return
		}
		sent[r.Class] += 1 / d.Seconds()
		if r.finished {
			finished[r.Class] += 1 / d.Seconds()
		}
	}
	for c, rate := range rates {
		m.load(config.Class(c), rate, 0, 50, time.Second, settle+d)
	}
	m.run(settle + d + 3*time.Second)
	m.onDone = nil
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
				m := newModel(seed, 2, speedsUpTo8(12), PolicySummaries)
				var rates classRates
				for c := range rates {
					rates[c] = base[c] * m.capacity()
				}
				sentBefore, before := m.goodput(rates, 4*time.Second)
				for _, c := range flooded {
					rates[c] *= 10
				}
				sent, during := m.goodput(rates, 8*time.Second)
				total := during[0] + during[1] + during[2]
				for c := range config.NumClasses {
					kept := 0.95 * sent[c] * before[c] / sentBefore[c]
					want := min(kept, total*float64(m.svc.MinShares[c])/100)
					if c < flooded[len(flooded)-1] {
						want = kept // only less urgent classes flood
					}
					if during[c] < want {
						t.Errorf("seed %d: %v has %.0f/s of %.0f/s, want %.0f/s", seed, c, during[c], sent[c], want)
					}
				}
				if m.overruns > 0 || m.falseRefusals > 0 {
					t.Errorf("seed %d: %d overruns, %d false refusals", seed, m.overruns, m.falseRefusals)
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
		m := newModel(seed, 2, speedsUpTo8(8), PolicySummaries)
		done, sent := map[uint64]float64{}, map[uint64]float64{}
		m.onDone = func(r *modelRequest) {
			if r.finished {
				done[r.CallerHash]++
			}
		}
		rate := m.capacity() / (light + 1) * 0.8
		m.load(config.Normal, light*rate, 0, light, time.Second, 6*time.Second)
		m.load(config.Normal, 40*rate, flooding, 1, time.Second, 6*time.Second)
		m.run(9 * time.Second)
		for _, r := range m.requests {
			sent[r.CallerHash]++
		}
		for caller := range uint64(light) {
			if done[caller] < 0.95*sent[caller] {
				t.Errorf("seed %d: caller %d finished %.0f of %.0f requests beside a flooding caller", seed, caller, done[caller], sent[caller])
			}
		}
	}
}
