package main

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/monsoonthread/monsoonthread/config"
	"github.com/monsoonthread/monsoonthread/internal/standin/callers"
	"github.com/monsoonthread/monsoonthread/internal/standin/instancelist"
	"github.com/monsoonthread/monsoonthread/internal/standin/kvservice"
	"github.com/monsoonthread/monsoonthread/result"
	"github.com/monsoonthread/monsoonthread/test/lab/cluster"
)

// Names of the loads that measure the latency, through the instances and directly.
const (
	probeLoad  = "probe"
	directLoad = "direct"
)

// scenario describes an experiment: the load, the events and the checks that apply.
type scenario struct {
	name        string
	description string
	duration    time.Duration
	// load is the work offered to each service as a share of its capacity.
	load       float64
	equalSpeed bool
	streams    int // on the larger service, the first of the deployment
	// floodUrgent and floodBulk are the phases in which that class is offered floodFactor
	// times the capacity.
	floodUrgent, floodBulk window
	floodedClasses         map[string]bool // by class name
	before, during         window          // compared; during is also the window of other measurements
	steps                  func(context.Context, *session) error
	// skipSettling starts the load before the instances have discovered each other.
	skipSettling bool
	// checkImbalance is set if the imbalance has a target at this load.
	checkImbalance bool
	// endAfterSteps ends the load settleTime after the last step; duration is an upper limit.
	endAfterSteps bool
	// plannedOnly is set if the scenario contains only planned changes, so that no request
	// may be interrupted and every order must have a known outcome. It is not set in floods
	// and at 90% load, where a request may still wait or run at its caller's deadline.
	plannedOnly bool
	// streamsMayBreak is set for faults that may break streams, and serversMayOverrun for
	// takeovers in which a server may get more requests than it has slots.
	streamsMayBreak, serversMayOverrun bool
	// checkLatency is set if the added latency has a target at this load.
	checkLatency bool
}

// floodFactor is the rate of a flood as a multiple of the service's capacity.
const floodFactor = 2.0

func secondsWindow(from, to float64) window {
	return window{time.Duration(from * float64(time.Second)), time.Duration(to * float64(time.Second))}
}

var scenarios = []scenario{
	{
		name: "steady", description: "50% load, servers of equal speed", duration: 20 * time.Second, load: 0.5, equalSpeed: true,
		streams: 300, before: secondsWindow(5, 20), during: secondsWindow(5, 20), plannedOnly: true, checkLatency: true,
	},
	{
		name: "mixed-speeds", description: "90% load, servers of 1x to 8x", duration: 25 * time.Second, load: 0.9,
		streams: 300, before: secondsWindow(10, 25), during: secondsWindow(10, 25), checkImbalance: true,
	},
	{
		name: "cold-start", description: "the load starts before the instances have discovered each other", duration: 12 * time.Second, load: 0.5,
		streams: 100, before: secondsWindow(6, 12), during: secondsWindow(6, 12), plannedOnly: true, skipSettling: true,
	},
	{
		name: "flood-least-urgent", description: "a flood of bulk work at twice the capacity", duration: 26 * time.Second, load: 0.5,
		streams: 100, floodBulk: secondsWindow(10, 22), floodedClasses: map[string]bool{"bulk": true},
		before: secondsWindow(4, 10), during: secondsWindow(12, 22),
	},
	{
		name: "flood-most-urgent", description: "a flood of urgent work at twice the capacity", duration: 26 * time.Second, load: 0.5,
		streams: 100, floodUrgent: secondsWindow(10, 22), floodedClasses: map[string]bool{"urgent": true},
		before: secondsWindow(4, 10), during: secondsWindow(12, 22),
	},
	{
		name: "flood-both", description: "a flood of bulk work, followed by one of urgent work", duration: 30 * time.Second, load: 0.5,
		streams: 100, floodBulk: secondsWindow(8, 26), floodUrgent: secondsWindow(15, 26), floodedClasses: map[string]bool{"bulk": true, "urgent": true},
		before: secondsWindow(3, 8), during: secondsWindow(17, 26),
	},
	{
		name: "rolling-replace", description: "every instance is replaced, one after another", duration: 150 * time.Second, load: 0.5,
		streams: 300, before: secondsWindow(3, 6), during: secondsWindow(6, 150), plannedOnly: true, steps: rollingReplace, endAfterSteps: true,
	},
	{
		name: "drain-all", description: "every backend server of the larger service is drained and returned to service", duration: 50 * time.Second, load: 0.4,
		streams: 300, before: secondsWindow(3, 6), during: secondsWindow(6, 48), plannedOnly: true, steps: drainAllServers,
	},
	{
		name: "crash", description: "one instance crashes and rejoins 10 s later", duration: 30 * time.Second, load: 0.5,
		streams: 300, before: secondsWindow(4, 8), during: secondsWindow(8, 26), serversMayOverrun: true, steps: crashAndRejoin,
	},
	{
		name: "partition", description: "one domain is isolated from the others and the platform for 10 s", duration: 35 * time.Second, load: 0.4,
		streams: 300, before: secondsWindow(4, 8), during: secondsWindow(8, 18), streamsMayBreak: true, serversMayOverrun: true, steps: partitionDomain,
	},
	{
		name: "store-outage", description: "key-value service and instance list are down for 20 s, and an instance is stopped meanwhile", duration: 35 * time.Second, load: 0.5,
		streams: 300, before: secondsWindow(3, 6), during: secondsWindow(6, 26), plannedOnly: true, steps: storeOutage,
	},
	{
		name: "double-fault", description: "an instance and a backend server fail together, then another instance", duration: 35 * time.Second, load: 0.4,
		streams: 300, before: secondsWindow(4, 8), during: secondsWindow(8, 20), streamsMayBreak: true, serversMayOverrun: true, steps: doubleFault,
	},
}

func scenarioByName(name string) (*scenario, error) {
	var names []string
	for i := range scenarios {
		if scenarios[i].name == name {
			return &scenarios[i], nil
		}
		names = append(names, scenarios[i].name)
	}
	return nil, fmt.Errorf("unknown scenario %q; known scenarios: %v", name, names)
}

// requestMix holds the share of the offered load by kind of request.
var requestMix = []struct {
	name, method, path string
	class              config.Class
	share              float64
	uniquePayload      bool
}{
	{"urgent", "GET", cluster.UrgentPath, config.Urgent, 0.15, false},
	{"order", "POST", cluster.OrderPath, config.Urgent, 0.20, true},
	{"normal", "GET", cluster.NormalPath, config.Normal, 0.45, false},
	{"bulk", "GET", cluster.BulkPath, config.Bulk, 0.20, false},
}

const (
	// probeRate is the rate of each probe load in requests per second. At 1 ms of work per
	// request, the probes use less than 1% of the slots.
	probeRate = 100
	// requestsPerFlow makes the callers of idempotent requests open new flows regularly.
	requestsPerFlow = 50
	// ackTimeoutMS lets callers retransmit a lost datagram within the deadline of 2 s.
	ackTimeoutMS = 500
	// brokenStreamSilence is the time without a notification after which a stream counts as
	// broken. It exceeds the detection of a crash (1.2 s) plus one retransmission of a
	// registration (3 s).
	brokenStreamSilence = 5 * time.Second
	// smallServiceStreams is the number of streams on the smaller service.
	smallServiceStreams = 40
)

// newPlan returns the load plan of a scenario. reference is the address of the backend
// server for direct calls.
func newPlan(d *cluster.Deployment, sc *scenario, reference netip.AddrPort) callers.Plan {
	p := callers.Plan{Seed: d.Seed, DurationMS: int(sc.duration.Milliseconds())}
	for i := range d.Answers.Services {
		svc := &d.Answers.Services[i]
		capacity := d.Capacity(svc.Name)
		for _, m := range requestMix {
			l := callers.Load{
				Name: svc.Name + "/" + m.name, Service: svc.Name, Class: m.class.String(), Address: svc.Address,
				Method: m.method, Path: cluster.Path(svc.Name, m.path), Rate: capacity * sc.load * m.share,
				RequestsPerFlow: requestsPerFlow, UniquePayload: m.uniquePayload, PayloadBytes: 64, AckTimeoutMS: ackTimeoutMS,
			}
			if m.uniquePayload {
				l.RequestsPerFlow = 0
			}
			if i == 0 && m.name == "urgent" {
				l.Phases = floodPhases(sc.floodUrgent, capacity)
			}
			if i == 0 && m.name == "bulk" {
				l.Phases = floodPhases(sc.floodBulk, capacity)
			}
			p.Loads = append(p.Loads, l)
		}
		streamCount := smallServiceStreams
		if i == 0 {
			streamCount = sc.streams
		}
		p.Streams = append(p.Streams, callers.StreamLoad{
			Service: svc.Name, Address: svc.Address, Path: cluster.Path(svc.Name, cluster.WatchPath), Count: streamCount,
			TickMS: d.Workload.TickMS, BrokenAfterMS: int(brokenStreamSilence.Milliseconds()), RampMS: 2000,
		})
	}
	larger, smaller := &d.Answers.Services[0], &d.Answers.Services[len(d.Answers.Services)-1]
	p.Loads = append(p.Loads, callers.Load{
		Name: probeLoad, Service: larger.Name, Class: config.Normal.String(), Address: larger.Address,
		Method: "GET", Path: cluster.Path(larger.Name, cluster.ProbePath), Rate: probeRate,
	})
	if reference.IsValid() {
		p.Loads = append(p.Loads, callers.Load{
			Name: directLoad, Service: larger.Name, Class: config.Normal.String(), Address: reference,
			Method: "GET", Path: cluster.Path(larger.Name, cluster.ProbePath), Rate: probeRate,
		})
	}
	p.Archives = []callers.ArchiveLoad{{
		Service: smaller.Name, Address: smaller.Address, Path: cluster.Path(smaller.Name, cluster.ArchivePath),
		Names: []string{"log-1", "log-2"}, Seed: d.Seed, Bytes: d.Workload.ArchiveBytes, Readers: 2,
	}}
	return p
}

func floodPhases(w window, capacity float64) []callers.Phase {
	if w.to == 0 {
		return nil
	}
	return []callers.Phase{{FromMS: int(w.from.Milliseconds()), ToMS: int(w.to.Milliseconds()), Rate: capacity * floodFactor}}
}

// replaceInstance starts a successor and then stops the instance, like a rolling update.
func replaceInstance(ctx context.Context, s *session, spec cluster.InstanceSpec) error {
	next := spec
	next.ID += "-new"
	if _, err := s.cluster.StartInstance(ctx, next); err != nil {
		return err
	}
	s.recordEvent("instance %s is ready", next.ID)
	begin := time.Now()
	if err := s.cluster.StopInstance(ctx, spec.ID); err != nil {
		return err
	}
	s.recordEvent("instance %s has stopped after %d ms", spec.ID, time.Since(begin).Milliseconds())
	return nil
}

func rollingReplace(ctx context.Context, s *session) error {
	if err := s.waitUntil(ctx, 6*time.Second); err != nil {
		return err
	}
	for _, spec := range s.cluster.Deployment().Instances {
		if err := replaceInstance(ctx, s, spec); err != nil {
			return err
		}
	}
	return nil
}

func drainAllServers(ctx context.Context, s *session) error {
	const firstDrain, drainDuration, drainTimeout = 6 * time.Second, 2500 * time.Millisecond, 30 * time.Second
	for i, b := range s.cluster.Deployment().Answers.Services[0].BackendServers {
		if err := s.waitUntil(ctx, firstDrain+time.Duration(i)*drainDuration*11/10); err != nil {
			return err
		}
		if err := s.cluster.DrainServer(ctx, b.Name, drainTimeout); err != nil {
			return err
		}
		s.recordEvent("server %s drains", b.Name)
		if err := s.waitUntil(ctx, firstDrain+time.Duration(i)*drainDuration*11/10+drainDuration); err != nil {
			return err
		}
		if err := s.cluster.EndDrain(ctx, b.Name); err != nil {
			return err
		}
	}
	return nil
}

func crashAndRejoin(ctx context.Context, s *session) error {
	if err := s.waitUntil(ctx, 8*time.Second); err != nil {
		return err
	}
	spec := s.cluster.Deployment().Instances[0]
	if err := s.cluster.CrashInstance(ctx, spec.ID); err != nil {
		return err
	}
	s.recordEvent("instance %s crashed", spec.ID)
	if err := s.waitUntil(ctx, 18*time.Second); err != nil {
		return err
	}
	if _, err := s.cluster.StartInstance(ctx, spec); err != nil {
		return err
	}
	s.recordEvent("instance %s has joined again", spec.ID)
	return nil
}

func partitionDomain(ctx context.Context, s *session) error {
	if err := s.waitUntil(ctx, 8*time.Second); err != nil {
		return err
	}
	domain := s.cluster.Deployment().Answers.Domains[0].Name
	if err := s.cluster.Partition(ctx, domain); err != nil {
		return err
	}
	s.recordEvent("domain %s is cut off", domain)
	if err := s.waitUntil(ctx, 18*time.Second); err != nil {
		return err
	}
	s.recordEvent("domain %s is connected again", domain)
	return s.cluster.Heal(ctx)
}

func storeOutage(ctx context.Context, s *session) error {
	if err := s.waitUntil(ctx, 6*time.Second); err != nil {
		return err
	}
	if err := s.cluster.SetStoreFaults(ctx, kvservice.Faults{Outage: true}); err != nil {
		return err
	}
	if err := s.cluster.SetListFaults(ctx, instancelist.Faults{Outage: true}); err != nil {
		return err
	}
	s.recordEvent("key-value service and list are down")
	unavailable := fmt.Sprintf("[%d]", result.StoreUnavailable)
	switch _, err := s.cluster.AcceptConfiguration(ctx); {
	case err == nil:
		return fmt.Errorf("a configuration was accepted during an outage of the key-value service")
	case !strings.Contains(err.Error(), unavailable):
		return fmt.Errorf("a configuration was rejected during an outage of the key-value service with %w, want code %s", err, unavailable)
	}
	if err := s.waitUntil(ctx, 10*time.Second); err != nil {
		return err
	}
	if err := s.cluster.StopInstance(ctx, s.cluster.Deployment().Instances[0].ID); err != nil {
		return err
	}
	s.recordEvent("an instance has stopped in the outage")
	if err := s.waitUntil(ctx, 26*time.Second); err != nil {
		return err
	}
	if err := s.cluster.SetStoreFaults(ctx, kvservice.Faults{}); err != nil {
		return err
	}
	if err := s.cluster.SetListFaults(ctx, instancelist.Faults{}); err != nil {
		return err
	}
	s.recordEvent("key-value service and list are up")
	_, err := s.cluster.StartInstance(ctx, s.cluster.Deployment().Instances[0])
	return err
}

func doubleFault(ctx context.Context, s *session) error {
	if err := s.waitUntil(ctx, 8*time.Second); err != nil {
		return err
	}
	d := s.cluster.Deployment()
	server := d.Answers.Services[0].BackendServers[3].Name
	if err := s.cluster.CrashInstance(ctx, d.Instances[0].ID); err != nil {
		return err
	}
	if err := s.cluster.KillServer(ctx, server, true); err != nil {
		return err
	}
	s.recordEvent("instance %s and server %s failed", d.Instances[0].ID, server)
	if err := s.waitUntil(ctx, 9*time.Second); err != nil {
		return err
	}
	if err := s.cluster.CrashInstance(ctx, d.Instances[4].ID); err != nil {
		return err
	}
	s.recordEvent("instance %s failed", d.Instances[4].ID)
	if err := s.waitUntil(ctx, 20*time.Second); err != nil {
		return err
	}
	s.recordEvent("both instances and the server return")
	if err := s.cluster.RestartServer(ctx, server); err != nil {
		return err
	}
	for _, i := range []int{0, 4} {
		if _, err := s.cluster.StartInstance(ctx, d.Instances[i]); err != nil {
			return err
		}
	}
	return nil
}
