// Package process holds fault-injection tests that run daemons and stand-ins (callers,
// backend servers, platform services) as separate processes on loopback. The tests compare
// the outcomes that callers observe with the execution logs of the backend servers. Time
// limits follow the requirements in docs/design.md, sections 1.2 and 1.7.
package process

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/monsoonthread/monsoonthread/internal/standin/backendserver"
	"github.com/monsoonthread/monsoonthread/internal/standin/callers"
	"github.com/monsoonthread/monsoonthread/internal/standin/fabric"
	"github.com/monsoonthread/monsoonthread/test/lab/cluster"
)

const (
	// testTimeout covers a test including setup and cleanup.
	testTimeout = 45 * time.Second
	// listLag is short so that a deployment starts quickly.
	listLag = 500 * time.Millisecond
	// suspicionTimeout is the daemon's default.
	suspicionTimeout = 1200 * time.Millisecond
	// serversPerDomain and instanceCount reduce a deployment to two entry instances, and
	// two backend servers for each service, in each of three failure domains.
	serversPerDomain = 2
	instanceCount    = 6
	// ackTimeoutMS lets callers retransmit a lost datagram within the deadline of 2 s.
	ackTimeoutMS = 400
	// tickMS is the interval between the notifications on each stream.
	tickMS          = 250
	ordersPerSecond = 150
)

// impairedNetwork drops, duplicates, reorders and delays datagrams.
var impairedNetwork = fabric.Impairment{Loss: 0.03, Duplicate: 0.1, Reorder: 0.1, ReorderMS: 60, JitterMS: 2}

var binaries cluster.Binaries

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "monsoonthread-process-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }() // contains only the built binaries
	if binaries, err = cluster.Build(context.Background(), dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// deployment is a running cluster together with the test that uses it.
type deployment struct {
	*testing.T
	*cluster.Cluster
	ctx  context.Context
	seed uint64
}

// start starts a small deployment and waits until its instances have discovered each
// other. configure, if not nil, adjusts the cluster settings.
func start(t *testing.T, seed uint64, configure func(*cluster.Config)) *deployment {
	t.Helper()
	t.Logf("seed %d", seed)
	spec, err := cluster.NewDeployment("bellefleur", seed, cluster.Workload{MeanWorkMS: 20, Sigma: 0.5, BlockWorkMS: 0.3, TickMS: tickMS, ArchiveBytes: 200_000, EqualSpeed: true})
	if err != nil {
		t.Fatal(err)
	}
	spec.Instances = spec.Instances[:instanceCount]
	for i := range spec.Answers.Services {
		s := &spec.Answers.Services[i]
		count := map[string]int{}
		kept := s.BackendServers[:0]
		for _, b := range s.BackendServers {
			if count[b.Domain]++; count[b.Domain] <= serversPerDomain {
				kept = append(kept, b)
			}
		}
		s.BackendServers = kept
	}
	cfg := cluster.Config{Deployment: spec, Daemon: binaries.Daemon, Ctl: binaries.Ctl, Lab: binaries.Lab, Dir: t.TempDir(), ListLag: listLag}
	if configure != nil {
		configure(&cfg)
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	d := &deployment{T: t, Cluster: cluster.New(cfg), ctx: ctx, seed: seed}
	t.Cleanup(func() {
		defer cancel()
		// Instances are killed because a graceful stop waits for permits to expire;
		// TestPlannedStop covers the graceful stop.
		for _, in := range d.Instances() {
			if !in.Running() {
				t.Errorf("instance %s exited unexpectedly (%v): %s", in.ID, in.Err(), in.LogTail())
			}
			if err := in.Kill(); err != nil {
				t.Error(err)
			}
		}
		if err := d.Close(context.WithoutCancel(ctx)); err != nil {
			t.Errorf("close the deployment: %v", err)
		}
	})
	d.requireNoError(d.Start(ctx))
	d.requireNoError(d.WaitForDiscovery(ctx))
	return d
}

func (d *deployment) requireNoError(err error) {
	d.Helper()
	if err != nil {
		d.Fatal(err)
	}
}

// withT returns a copy of the deployment that reports to a subtest.
func (d *deployment) withT(t *testing.T) *deployment {
	c := *d
	c.T = t
	return &c
}

func (d *deployment) sleep(t time.Duration) { time.Sleep(t) }

func (d *deployment) impair(im fabric.Impairment) {
	d.Helper()
	d.requireNoError(d.FabricControl.Do(d.ctx, "PUT", "/impairment", im, nil))
}

// orderLoad returns a load of non-idempotent requests to the service "orders".
func (d *deployment) orderLoad(name string) callers.Load {
	s, _ := d.Deployment().Service("orders")
	return callers.Load{
		Name: name, Service: s.Name, Class: "urgent", Address: s.Address, Method: "POST",
		Path: cluster.Path(s.Name, cluster.OrderPath), Rate: ordersPerSecond, UniquePayload: true, AckTimeoutMS: ackTimeoutMS,
	}
}

// readLoad returns a load of idempotent requests to a service.
func (d *deployment) readLoad(service string, rate float64) callers.Load {
	s, _ := d.Deployment().Service(service)
	return callers.Load{
		Name: service + "/reads", Service: s.Name, Class: "normal", Address: s.Address, Method: "GET",
		Path: cluster.Path(s.Name, cluster.NormalPath), Rate: rate, AckTimeoutMS: ackTimeoutMS,
	}
}

// streamLoad returns a load of count streams of a service.
func (d *deployment) streamLoad(service string, count int) callers.StreamLoad {
	s, _ := d.Deployment().Service(service)
	return callers.StreamLoad{
		Service: s.Name, Address: s.Address, Path: cluster.Path(s.Name, cluster.WatchPath), Count: count,
		TickMS: tickMS, RampMS: 500,
	}
}

// runWithCallers starts callers with a plan, executes steps while they run, and returns
// the callers when all their requests have an outcome.
func (d *deployment) runWithCallers(name string, length time.Duration, p callers.Plan, steps func()) *cluster.Callers {
	d.Helper()
	p.Seed, p.DurationMS = d.seed, int(length.Milliseconds())
	c, err := d.StartCallers(d.ctx, "callers-"+name, p)
	d.requireNoError(err)
	steps()
	d.requireNoError(c.Wait(d.ctx))
	return c
}

// outcomeCounts counts requests by outcome.
type outcomeCounts struct{ done, refused, unknown, failed int }

// executionCounts returns the number of executions by payload ID.
func (d *deployment) executionCounts() map[string]int {
	d.Helper()
	log, err := d.Executions(d.ctx)
	d.requireNoError(err)
	counts := map[string]int{}
	for _, e := range log {
		if e.PayloadID != "" && !e.Shed {
			counts[e.PayloadID]++
		}
	}
	return counts
}

// checkOrders compares the outcomes of orders with the execution logs.
func (d *deployment) checkOrders(c *cluster.Callers) outcomeCounts {
	d.Helper()
	orders, err := c.Orders(d.ctx)
	d.requireNoError(err)
	executions := d.executionCounts()
	var t outcomeCounts
	details := map[string]int{}
	for _, o := range orders {
		n := executions[o.PayloadID]
		if n > 1 {
			d.Errorf("order %s was executed %d times (outcome %s %s)", o.PayloadID, n, o.Outcome, o.Detail)
		}
		if o.Detail != "" {
			details[string(o.Outcome)+" "+o.Detail]++
		}
		switch o.Outcome {
		case callers.Done, callers.Late:
			t.done++
			if n == 0 {
				d.Errorf("order %s succeeded but was not executed", o.PayloadID)
			}
		case callers.Refused:
			t.refused++
			if n > 0 {
				d.Errorf("order %s was refused with %s but was executed", o.PayloadID, o.Detail)
			}
		case callers.Unknown:
			t.unknown++
		default:
			t.failed++
			d.Errorf("order %s failed with %s", o.PayloadID, o.Detail)
		}
	}
	d.Logf("order outcomes: %+v, details %v", t, details)
	return t
}

// metric returns the value of a metric of an instance.
func (d *deployment) metric(in *cluster.Instance, name string) (float64, error) {
	text, err := in.Metrics.GetText(d.ctx, "/metrics")
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(text) {
		if v, ok := strings.CutPrefix(strings.TrimSpace(line), name+" "); ok {
			return strconv.ParseFloat(v, 64)
		}
	}
	return 0, fmt.Errorf("instance %s has no metric %s", in.ID, name)
}

// checkInvariants fails if an instance detected a violation of an internal invariant.
func (d *deployment) checkInvariants() {
	d.Helper()
	for _, in := range d.Instances() {
		for _, name := range []string{"monsoonthread_invariant_violations_total", "monsoonthread_dispatch_violations"} {
			if v, err := d.metric(in, name); err != nil || v > 0 {
				d.Errorf("metric %s of %s is %v, want 0 (error: %v)\n%s", name, in.ID, v, err, in.LogLines("invariant_violated"))
			}
		}
	}
}

// servers returns the status of the backend servers of a service.
func (d *deployment) servers(service string) []backendserver.Status {
	d.Helper()
	all, err := d.Servers(d.ctx)
	d.requireNoError(err)
	var matching []backendserver.Status
	for _, st := range all {
		if st.Service == service {
			matching = append(matching, st)
		}
	}
	return matching
}
