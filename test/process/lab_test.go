// Package process holds failure tests with real processes: daemons and stand-ins that
// run as a deployment on loopback. Outcomes that callers saw are compared with the
// execution logs of the backend servers. Bounds are the requirements of
// docs/design.md, 1.2 and 1.7.
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
	// testTimeout bounds a test with its start and its end.
	testTimeout = 45 * time.Second
	// listLag keeps the start of a deployment short.
	listLag = 500 * time.Millisecond
	// suspicionTimeout is the daemon's default.
	suspicionTimeout = 1200 * time.Millisecond
	// serversPerDomain and instanceCount make a deployment small: two entry instances and
	// two backend servers of each service in each of three failure domains.
	serversPerDomain = 2
	instanceCount    = 6
	// ackTimeoutMS lets callers repeat a lost datagram within the deadline of 2 s.
	ackTimeoutMS = 400
	// tickMS is the interval in which backend servers notify each stream.
	tickMS    = 250
	orderRate = 150
)

// impaired is a network that loses, repeats and reorders datagrams.
var impaired = fabric.Impairment{Loss: 0.03, Duplicate: 0.1, Reorder: 0.1, ReorderMS: 60, JitterMS: 2}

var binaries cluster.Binaries

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "monsoonthread-process-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }() // only binaries
	if binaries, err = cluster.Build(context.Background(), dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// deployment is a running deployment of a test.
type deployment struct {
	*testing.T
	*cluster.Cluster
	ctx  context.Context
	seed uint64
}

// start starts a small deployment and waits until its instances know each other.
func start(t *testing.T, seed uint64, change func(*cluster.Config)) *deployment {
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
	if change != nil {
		change(&cfg)
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	d := &deployment{T: t, Cluster: cluster.New(cfg), ctx: ctx, seed: seed}
	t.Cleanup(func() {
		defer cancel()
		// A graceful stop waits for the lifetime of permits; TestPlannedStop checks it.
		for _, in := range d.Instances() {
			if !in.Running() {
				t.Errorf("%s ended by itself (%v): %s", in.ID, in.Err(), in.LogTail())
			}
			if err := in.Kill(); err != nil {
				t.Error(err)
			}
		}
		if err := d.Close(context.WithoutCancel(ctx)); err != nil {
			t.Errorf("end of the deployment: %v", err)
		}
	})
	d.must(d.Start(ctx))
	d.must(d.Settle(ctx))
	return d
}

func (d *deployment) must(err error) {
	d.Helper()
	if err != nil {
		d.Fatal(err)
	}
}

// sub returns the deployment for a subtest.
func (d *deployment) sub(t *testing.T) *deployment {
	c := *d
	c.T = t
	return &c
}

func (d *deployment) sleep(t time.Duration) { time.Sleep(t) }

func (d *deployment) impair(im fabric.Impairment) {
	d.Helper()
	d.must(d.FabricControl.Do(d.ctx, "PUT", "/impairment", im, nil))
}

// orders is a load of non-idempotent requests of the service "orders".
func (d *deployment) orders(name string) callers.Load {
	s, _ := d.Deployment().Service("orders")
	return callers.Load{
		Name: name, Service: s.Name, Class: "urgent", Address: s.Address, Method: "POST",
		Path: cluster.Path(s.Name, cluster.OrderPath), Rate: orderRate, UniquePayload: true, AckTimeoutMS: ackTimeoutMS,
	}
}

// reads is a load of idempotent requests of a service.
func (d *deployment) reads(service string, rate float64) callers.Load {
	s, _ := d.Deployment().Service(service)
	return callers.Load{
		Name: service + "/reads", Service: s.Name, Class: "normal", Address: s.Address, Method: "GET",
		Path: cluster.Path(s.Name, cluster.NormalPath), Rate: rate, AckTimeoutMS: ackTimeoutMS,
	}
}

// watches is a number of streams of a service.
func (d *deployment) watches(service string, count int) callers.StreamLoad {
	s, _ := d.Deployment().Service(service)
	return callers.StreamLoad{
		Service: s.Name, Address: s.Address, Path: cluster.Path(s.Name, cluster.WatchPath), Count: count,
		TickMS: tickMS, RampMS: 500,
	}
}

// during runs a plan and executes the steps while it runs. It returns the callers when
// all their requests have an outcome.
func (d *deployment) during(name string, length time.Duration, p callers.Plan, steps func()) *cluster.Callers {
	d.Helper()
	p.Seed, p.DurationMS = d.seed, int(length.Milliseconds())
	c, err := d.StartCallers(d.ctx, "callers-"+name, p)
	d.must(err)
	steps()
	d.must(c.Wait(d.ctx))
	return c
}

// tally counts outcomes of orders.
type tally struct{ done, refused, unknown, failed int }

// runs returns how often each payload ID ran.
func (d *deployment) runs() map[string]int {
	d.Helper()
	log, err := d.Executions(d.ctx)
	d.must(err)
	runs := map[string]int{}
	for _, e := range log {
		if e.PayloadID != "" && !e.Shed {
			runs[e.PayloadID]++
		}
	}
	return runs
}

// checkOrders compares the outcomes of orders with the execution logs.
func (d *deployment) checkOrders(c *cluster.Callers) tally {
	d.Helper()
	orders, err := c.Orders(d.ctx)
	d.must(err)
	runs := d.runs()
	var t tally
	details := map[string]int{}
	for _, o := range orders {
		n := runs[o.PayloadID]
		if n > 1 {
			d.Errorf("order %s ran %d times (outcome %s %s)", o.PayloadID, n, o.Outcome, o.Detail)
		}
		if o.Detail != "" {
			details[string(o.Outcome)+" "+o.Detail]++
		}
		switch o.Outcome {
		case callers.Done, callers.Late:
			t.done++
			if n == 0 {
				d.Errorf("order %s succeeded and did not run", o.PayloadID)
			}
		case callers.Refused:
			t.refused++
			if n > 0 {
				d.Errorf("order %s was refused with %s and ran", o.PayloadID, o.Detail)
			}
		case callers.Unknown:
			t.unknown++
		default:
			t.failed++
			d.Errorf("order %s failed with %s", o.PayloadID, o.Detail)
		}
	}
	d.Logf("%+v %v", t, details)
	return t
}

// metric returns the value of a metric of an instance.
func (d *deployment) metric(in *cluster.Instance, name string) (float64, error) {
	text, err := in.Metrics.Text(d.ctx, "/metrics")
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

// checkInvariants fails when an instance saw one of its own invariants violated.
func (d *deployment) checkInvariants() {
	d.Helper()
	for _, in := range d.Instances() {
		for _, name := range []string{"monsoonthread_invariant_violations_total", "monsoonthread_dispatch_violations"} {
			if v, err := d.metric(in, name); err != nil || v > 0 {
				d.Errorf("%s of %s is %v (%v)", name, in.ID, v, err)
			}
		}
	}
}

// servers returns the status of the backend servers of a service.
func (d *deployment) servers(service string) []backendserver.Status {
	d.Helper()
	all, err := d.Servers(d.ctx)
	d.must(err)
	var some []backendserver.Status
	for _, st := range all {
		if st.Service == service {
			some = append(some, st)
		}
	}
	return some
}
