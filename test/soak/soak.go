package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os/exec"
	"sync"
	"time"

	"github.com/monsoonthread/monsoonthread/internal/standin/flows"
)

// Options configures a run.
type Options struct {
	ForwarderPath      string // path of monsoonthread-forwarder
	Dir                string // directory for settings and logs
	Seed               uint64
	FaultDuration      time.Duration // how long faults are injected
	InstancesPerDomain int
	Clients            int
	Progress           func(Result) // if not nil, called every second
}

// Result holds the statistics and the detected violations of a run. All invariants held
// if Violations is empty.
type Result struct {
	Seed           uint64         `json:"seed"`
	Instances      int            `json:"instances"`
	ElapsedSeconds float64        `json:"elapsed_s"`
	Features       string         `json:"features"` // that the deployment of the seed uses
	RequestsTried  int64          `json:"requests_tried"`
	RequestsServed int64          `json:"requests_served"`
	Version        int            `json:"config_version"`
	Servers        int            `json:"backend_servers"`
	FaultCounts    map[string]int `json:"faults"`
	Violations     []string       `json:"violations"`
	LogDir         string         `json:"logs"` // directory of the logs
}

// BuildForwarder builds the forwarder. The working directory must be inside the repository.
func BuildForwarder(binary string) error {
	if out, err := exec.Command("go", "build", "-o", binary, "github.com/monsoonthread/monsoonthread/cmd/monsoonthread-forwarder").CombinedOutput(); err != nil {
		return fmt.Errorf("build the forwarder: %w: %s", err, out)
	}
	return nil
}

// Run injects random faults for Options.FaultDuration and lets the deployment settle. It then
// changes the configuration while watching instances are paused or killed, and finally
// kills all instances. The invariants are checked throughout. Violations are reported in
// the result; an error means that the run itself failed.
func Run(ctx context.Context, o Options) (Result, error) {
	start := time.Now()
	d, err := newDeployment(o)
	defer d.close()
	if err != nil {
		return Result{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var workers sync.WaitGroup
	defer workers.Wait()
	if d.reconnecting, err = flows.StartClient(netip.AddrPortFrom(d.nthAddr(firstClientAddr, o.Clients), d.ports[0])); err != nil {
		return Result{}, err
	}
	d.cleanups = append(d.cleanups, d.reconnecting.Stop)
	for i := range o.Clients {
		c, err := flows.StartClient(netip.AddrPortFrom(d.nthAddr(firstClientAddr, i), d.ports[0]))
		if err != nil {
			return Result{}, err
		}
		c.ReusePorts(portRest)
		d.cleanups = append(d.cleanups, c.Stop)
		rng := rand.New(rand.NewPCG(o.Seed, uint64(i)))
		workers.Go(func() { d.runClient(ctx, c, rng) })
	}
	workers.Go(func() { d.watchVersions(ctx) })
	workers.Go(func() { d.runHeartbeats(ctx) })
	workers.Go(func() { d.watchEvacuations(ctx) })
	workers.Go(func() { d.watchConnections(ctx) })
	workers.Go(func() { d.reportProgress(ctx, start) })
	if err := d.waitReady(ctx); err != nil {
		cancel()
		return d.result(start), err
	}
	d.mu.Lock()
	d.traffic = true
	d.mu.Unlock()
	for end := time.Now().Add(o.FaultDuration); time.Now().Before(end) && ctx.Err() == nil; {
		d.injectFault()
		if d.rng.IntN(4) > 0 { // else the next one comes at once
			time.Sleep(d.randomDuration(500))
		}
	}
	d.clearFaults()
	d.evacuateOneDomain()
	d.checkTakeover()
	d.checkChangeAfterCrashes()
	d.checkChangeAfterRestore()
	d.checkRecovery()
	cancel()
	workers.Wait()
	d.checkPacketIntegrity()
	return d.result(start), nil
}

// reportProgress calls Options.Progress every second until the context is cancelled.
func (d *deployment) reportProgress(ctx context.Context, start time.Time) {
	for d.options.Progress != nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Second):
			d.options.Progress(d.result(start))
		}
	}
}

func (d *deployment) result(start time.Time) Result {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := Result{
		Seed: d.options.Seed, Instances: len(d.instances), Features: d.uses.String(), ElapsedSeconds: time.Since(start).Seconds(), RequestsTried: d.tried.Load(), RequestsServed: d.served.Load(),
		Version: d.version, Servers: len(d.servers), FaultCounts: make(map[string]int), Violations: append([]string{}, d.violations...), LogDir: d.options.Dir,
	}
	for name, n := range d.faultCounts {
		r.FaultCounts[name] = n
	}
	return r
}
