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

// Options describe a run.
type Options struct {
	Binary             string // of monsoonthread-forwarder
	Dir                string // for settings and logs
	Seed               uint64
	Faults             time.Duration // how long faults are injected
	InstancesPerDomain int
	Clients            int
	Progress           func(Result) // is called each second, if it is set
}

// Result is what a run found. Without violations all rules were kept.
type Result struct {
	Seed       uint64         `json:"seed"`
	Instances  int            `json:"instances"`
	Elapsed    float64        `json:"elapsed_s"`
	Tried      int64          `json:"requests_tried"`
	Served     int64          `json:"requests_served"`
	Version    int            `json:"config_version"`
	Servers    int            `json:"backend_servers"`
	Faults     map[string]int `json:"faults"`
	Violations []string       `json:"violations"`
	Logs       string         `json:"logs"` // directory
}

// Build builds the forwarder. It must be called within the repository.
func Build(binary string) error {
	if out, err := exec.Command("go", "build", "-o", binary, "github.com/monsoonthread/monsoonthread/cmd/monsoonthread-forwarder").CombinedOutput(); err != nil {
		return fmt.Errorf("build the forwarder: %w: %s", err, out)
	}
	return nil
}

// Run injects faults for a time, lets the deployment rest, changes the configuration while
// watchers are paused or killed, kills all instances, and checks the rules all the while. The error
// says that the run itself was not possible.
func Run(ctx context.Context, o Options) (Result, error) {
	started := time.Now()
	w, err := newWorld(o)
	defer w.close()
	if err != nil {
		return Result{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var users sync.WaitGroup
	defer users.Wait()
	for i := range o.Clients {
		c, err := flows.StartClient(netip.AddrPortFrom(addressOf(clientBase, i), w.ports[0]))
		if err != nil {
			return Result{}, err
		}
		w.stops = append(w.stops, c.Stop)
		rng := rand.New(rand.NewPCG(o.Seed, uint64(i)))
		users.Go(func() { w.use(ctx, c, rng) })
	}
	users.Go(func() { w.watchVersions(ctx) })
	users.Go(func() { w.report(ctx, started) })
	if err := w.waitReady(ctx); err != nil {
		cancel()
		return w.result(started), err
	}
	for end := time.Now().Add(o.Faults); time.Now().Before(end) && ctx.Err() == nil; {
		w.fault()
		time.Sleep(w.span(500))
	}
	w.heal()
	w.checkTakeover()
	w.checkChange()
	w.checkRecovery()
	cancel()
	users.Wait()
	w.checkServers()
	return w.result(started), nil
}

// report tells the progress.
func (w *world) report(ctx context.Context, started time.Time) {
	for w.o.Progress != nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Second):
			w.o.Progress(w.result(started))
		}
	}
}

func (w *world) result(started time.Time) Result {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := Result{
		Seed: w.o.Seed, Instances: len(w.instances), Elapsed: time.Since(started).Seconds(), Tried: w.tried.Load(), Served: w.served.Load(),
		Version: w.version, Servers: len(w.servers), Faults: make(map[string]int), Violations: append([]string{}, w.violations...), Logs: w.o.Dir,
	}
	for name, n := range w.faults {
		r.Faults[name] = n
	}
	return r
}
