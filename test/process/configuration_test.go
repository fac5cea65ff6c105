package process

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/monsoonthread/monsoonthread/config"
	"github.com/monsoonthread/monsoonthread/internal/standin/callers"
	"github.com/monsoonthread/monsoonthread/internal/standin/kvservice"
	"github.com/monsoonthread/monsoonthread/platform"
	"github.com/monsoonthread/monsoonthread/result"
)

const (
	// maxActivationDelay bounds the time from accepting a version to its use by all instances.
	maxActivationDelay  = 8 * time.Second
	versionPollInterval = 50 * time.Millisecond
	versionMetric       = "monsoonthread_config_version"
	deadlineStepMS      = 100
	acceptTimeout       = "3s"
)

// versionMonitor checks that the active configuration version never decreases within a
// process. Versions are tracked by PID, so each process of an instance is checked alone.
type versionMonitor struct {
	d      *deployment
	cancel context.CancelFunc
	done   chan struct{}

	mu           sync.Mutex // protects highestByPID
	highestByPID map[int]float64
}

// monitorVersions polls the versions until stop is called and fails the test if one
// decreases.
func (d *deployment) monitorVersions() *versionMonitor {
	ctx, cancel := context.WithCancel(d.ctx)
	v := &versionMonitor{d: d, cancel: cancel, done: make(chan struct{}), highestByPID: map[int]float64{}}
	go func() {
		defer close(v.done)
		for ctx.Err() == nil {
			v.poll()
			time.Sleep(versionPollInterval)
		}
	}()
	return v
}

func (v *versionMonitor) poll() {
	for _, in := range v.d.Instances() {
		n, err := v.d.metric(in, versionMetric)
		if err != nil {
			continue // the instance is starting or stopping
		}
		v.mu.Lock()
		if n < v.highestByPID[in.PID()] {
			v.d.Errorf("configuration version of %s decreased from %v to %v", in.ID, v.highestByPID[in.PID()], n)
		}
		v.highestByPID[in.PID()] = max(n, v.highestByPID[in.PID()])
		v.mu.Unlock()
	}
}

func (v *versionMonitor) stop() {
	v.cancel()
	<-v.done
}

// waitForVersion waits until the instances in the selected domains use a version, and
// fails if this takes longer than maxActivationDelay.
func (d *deployment) waitForVersion(version uint64, since time.Time, domains func(string) bool) {
	d.Helper()
	for {
		lagging := ""
		for _, in := range d.Instances() {
			if !domains(in.Domain) {
				continue
			}
			if n, err := d.metric(in, versionMetric); err != nil || uint64(n) < version {
				lagging = in.ID
			}
		}
		took := time.Since(since)
		if lagging == "" {
			d.Logf("version %d is active after %v", version, took.Round(time.Millisecond))
			return
		}
		if took > maxActivationDelay {
			d.Fatalf("version %d is not active on %s after %v", version, lagging, took)
		}
		d.sleep(versionPollInterval)
	}
}

func allDomains(string) bool { return true }

// raiseMaxDeadline changes the questionnaire answers, so that the next accept creates a
// new version.
func (d *deployment) raiseMaxDeadline() {
	s, _ := d.Deployment().Service("orders")
	s.MaxDeadline += config.Milliseconds(deadlineStepMS)
}

// generateProposal writes a proposal that differs from the accepted configuration and
// returns its path.
func (d *deployment) generateProposal(name string) string {
	d.Helper()
	d.raiseMaxDeadline()
	answers, err := d.WriteQuestionnaire()
	d.requireNoError(err)
	path := filepath.Join(filepath.Dir(answers), name+".json")
	_, err = d.RunMonsoonctl(d.ctx, "questionnaire", "generate", answers, "--file", path)
	d.requireNoError(err)
	return path
}

// acceptProposal accepts a proposal with a timeout below the tool's default of one minute.
func (d *deployment) acceptProposal(path string) (uint64, error) {
	out, err := d.RunMonsoonctl(d.ctx, "questionnaire", "accept", path, "--timeout", acceptTimeout)
	if err != nil {
		return 0, err
	}
	var accepted struct {
		Version uint64 `json:"version"`
	}
	return accepted.Version, json.Unmarshal(out, &accepted)
}

// Guards against an accepted configuration that is lost, late or reverted. This can
// happen when two operators accept concurrently, the store's response is lost, the store
// is down while an instance restarts, comes back from an older copy, or a network partition heals.
func TestConfigurationInForce(t *testing.T) {
	d := start(t, 601, nil)
	v := d.monitorVersions()
	runSubtest := func(name string, f func(*deployment)) {
		t.Run(name, func(t *testing.T) { f(d.withT(t)) })
	}
	runSubtest("two operators", testConcurrentAccepts)
	runSubtest("answer lost after the write", testLostStoreResponses)
	runSubtest("store restored from an older copy", testRestoredStore)
	runSubtest("store down while an instance restarts", testStoreOutage)
	runSubtest("partition heals", testPartitionHeals)
	v.stop()
	d.checkInvariants()
}

func testConcurrentAccepts(d *deployment) {
	paths := []string{d.generateProposal("first"), d.generateProposal("second")}
	deadlines := []config.Milliseconds{d.proposedDeadline(paths[0]), d.proposedDeadline(paths[1])}
	var accepted [2]uint64
	var errs [2]error
	var both sync.WaitGroup
	begin := time.Now()
	for i := range paths {
		both.Go(func() { accepted[i], errs[i] = d.acceptProposal(paths[i]) })
	}
	both.Wait()
	winner := 0
	if errs[0] != nil {
		winner = 1
	}
	if errs[winner] != nil || result.CodeOf(errs[1-winner]) != result.ConfigConflict {
		d.Fatalf("concurrent accepts returned %v and %v; want one success and one conflict", errs[0], errs[1])
	}
	d.waitForVersion(accepted[winner], begin, allDomains)
	// The stored configuration must be the winner's, not a mixture of both.
	stored, err := config.Load(d.ctx, platform.NewStore(platform.StoreConfig{URL: d.StoreControl.URL}))
	d.requireNoError(err)
	if got := orderDeadline(stored); got != deadlines[winner] || deadlines[0] == deadlines[1] {
		d.Errorf("stored deadline is %v, want %v from the successful proposal; proposed deadlines: %v", got, deadlines[winner], deadlines)
	}
}

// proposedDeadline reads the maximum deadline of "orders" from a proposal; the proposals
// of a test differ in this value.
func (d *deployment) proposedDeadline(proposal string) config.Milliseconds {
	d.Helper()
	b, err := os.ReadFile(proposal)
	d.requireNoError(err)
	var p struct {
		Config config.Config `json:"config"`
	}
	d.requireNoError(json.Unmarshal(b, &p))
	return orderDeadline(&p.Config)
}

func orderDeadline(c *config.Config) config.Milliseconds {
	for _, s := range c.Services {
		if s.Name == "orders" {
			return s.MaxDeadline
		}
	}
	return 0
}

func testLostStoreResponses(d *deployment) {
	before := d.activeVersion()
	path := d.generateProposal("lost")
	// An accept writes one service value and the head; both responses are lost.
	d.requireNoError(d.SetStoreFaults(d.ctx, kvservice.Faults{LoseNextAnswers: 2}))
	begin := time.Now()
	version, err := d.acceptProposal(path)
	d.requireNoError(err)
	d.requireNoError(d.SetStoreFaults(d.ctx, kvservice.Faults{}))
	if version != before+1 {
		d.Errorf("one accept changed the version from %d to %d", before, version)
	}
	d.waitForVersion(version, begin, allDomains)
}

// activeVersion returns the configuration version that the first instance uses.
func (d *deployment) activeVersion() uint64 {
	d.Helper()
	n, err := d.metric(d.Instances()[0], versionMetric)
	d.requireNoError(err)
	return uint64(n)
}

func testStoreOutage(d *deployment) {
	version, path := d.activeVersion(), d.generateProposal("outage")
	in, err := d.Instance("laval-1")
	d.requireNoError(err)
	c := d.runWithCallers("store-down", 7*time.Second, callers.Plan{Loads: []callers.Load{d.readLoad("orders", 100)}}, func() {
		d.requireNoError(d.SetStoreFaults(d.ctx, kvservice.Faults{Outage: true}))
		d.requireNoError(d.StopInstance(d.ctx, in.ID))
		begin := time.Now()
		_, err := d.StartInstance(d.ctx, in.InstanceSpec)
		d.requireNoError(err)
		d.waitForVersion(version, begin, allDomains)
		_, err = d.acceptProposal(path)
		if code := result.CodeOf(err); code != result.StoreUnavailable && code != result.AcceptUnresolved {
			d.Errorf("accept during the store outage returned %v, want StoreUnavailable or AcceptUnresolved", err)
		}
		d.requireNoError(d.SetStoreFaults(d.ctx, kvservice.Faults{}))
	})
	d.expectAllDone(c)
}

// testRestoredStore loses two accepted versions in the store and accepts another one.
func testRestoredStore(d *deployment) {
	d.requireNoError(d.CopyStore(d.ctx))
	var accepted uint64
	for _, name := range []string{"lost-1", "lost-2"} {
		begin := time.Now()
		version, err := d.acceptProposal(d.generateProposal(name))
		d.requireNoError(err)
		d.waitForVersion(version, begin, allDomains)
		accepted = version
	}
	d.requireNoError(d.SetStoreFaults(d.ctx, kvservice.Faults{Outage: true}))
	d.sleep(time.Second)
	d.requireNoError(d.RestoreStore(d.ctx))
	d.requireNoError(d.SetStoreFaults(d.ctx, kvservice.Faults{}))
	restored := time.Now()
	store := platform.NewStore(platform.StoreConfig{URL: d.StoreControl.URL})
	for {
		stored, err := config.Load(d.ctx, store)
		if err == nil && stored.Version == accepted {
			break
		}
		if time.Since(restored) > maxActivationDelay {
			d.Fatalf("the store does not have accepted version %d %v after it was restored: %v", accepted, maxActivationDelay, err)
		}
		d.sleep(versionPollInterval)
	}
	path := d.generateProposal("after-restore")
	begin := time.Now()
	version, err := d.acceptProposal(path)
	d.requireNoError(err)
	if version != accepted+1 {
		d.Errorf("version %d was accepted after the restore, want %d", version, accepted+1)
	}
	d.waitForVersion(version, begin, allDomains)
}

func testPartitionHeals(d *deployment) {
	path := d.generateProposal("partition")
	d.requireNoError(d.Partition(d.ctx, "levis"))
	begin := time.Now()
	version, err := d.acceptProposal(path)
	d.requireNoError(err)
	d.waitForVersion(version, begin, func(domain string) bool { return domain != "levis" })
	d.sleep(time.Until(begin.Add(2 * suspicionTimeout)))
	d.requireNoError(d.Heal(d.ctx))
	d.waitForVersion(version, time.Now(), allDomains)
}
