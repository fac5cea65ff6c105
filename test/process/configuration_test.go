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
	// inForceBound is the time within which an accepted version is in force everywhere.
	inForceBound   = 8 * time.Second
	versionPoll    = 50 * time.Millisecond
	versionMetric  = "monsoonthread_config_version"
	deadlineStepMS = 100
	acceptTimeout  = "3s"
)

// versions watches the version in force at each process of an instance.
type versions struct {
	d    *deployment
	stop context.CancelFunc
	done chan struct{}

	mu      sync.Mutex // protects highest
	highest map[int]float64
}

// watchVersions polls the versions until end is called, and fails the test when one goes
// down at a process.
func (d *deployment) watchVersions() *versions {
	ctx, cancel := context.WithCancel(d.ctx)
	v := &versions{d: d, stop: cancel, done: make(chan struct{}), highest: map[int]float64{}}
	go func() {
		defer close(v.done)
		for ctx.Err() == nil {
			v.poll()
			time.Sleep(versionPoll)
		}
	}()
	return v
}

func (v *versions) poll() {
	for _, in := range v.d.Instances() {
		n, err := v.d.metric(in, versionMetric)
		if err != nil {
			continue // an instance that starts or stops
		}
		v.mu.Lock()
		if n < v.highest[in.PID()] {
			v.d.Errorf("version at %s went from %v down to %v", in.ID, v.highest[in.PID()], n)
		}
		v.highest[in.PID()] = max(n, v.highest[in.PID()])
		v.mu.Unlock()
	}
}

func (v *versions) end() {
	v.stop()
	<-v.done
}

// inForce waits until a version is in force at the instances that the filter selects and
// fails when this takes longer than the bound.
func (d *deployment) inForce(version uint64, since time.Time, domains func(string) bool) {
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
			d.Logf("version %d in force after %v", version, took.Round(time.Millisecond))
			return
		}
		if took > inForceBound {
			d.Fatalf("version %d is not in force at %s after %v", version, lagging, took)
		}
		d.sleep(versionPoll)
	}
}

func everywhere(string) bool { return true }

// change alters the answers, so that an accept makes a new version.
func (d *deployment) change() {
	s, _ := d.Deployment().Service("orders")
	s.MaxDeadline += config.Milliseconds(deadlineStepMS)
}

// proposal generates a proposal with a change from the accepted configuration.
func (d *deployment) proposal(name string) string {
	d.Helper()
	d.change()
	answers, err := d.Questionnaire()
	d.must(err)
	path := filepath.Join(filepath.Dir(answers), name+".json")
	_, err = d.Ctl(d.ctx, "questionnaire", "generate", answers, "--file", path)
	d.must(err)
	return path
}

// acceptProposal gives up after some seconds; the default of the tool is a minute.
func (d *deployment) acceptProposal(path string) (uint64, error) {
	out, err := d.Ctl(d.ctx, "questionnaire", "accept", path, "--timeout", acceptTimeout)
	if err != nil {
		return 0, err
	}
	var accepted struct {
		Version uint64 `json:"version"`
	}
	return accepted.Version, json.Unmarshal(out, &accepted)
}

// Guards against an accepted configuration that is lost, late or reverted: when two
// operators accept at once, the store's answer is lost, the store is down while an
// instance restarts, or the network was partitioned.
func TestConfigurationInForce(t *testing.T) {
	d := start(t, 601, nil)
	v := d.watchVersions()
	part := func(name string, f func(*deployment)) {
		t.Run(name, func(t *testing.T) { f(d.sub(t)) })
	}
	part("two operators", twoOperators)
	part("answer lost after the write", answerLost)
	part("store down while an instance restarts", storeDown)
	part("partition heals", partitionHeals)
	v.end()
	d.checkInvariants()
}

func twoOperators(d *deployment) {
	paths := []string{d.proposal("first"), d.proposal("second")}
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
		d.Fatalf("two accepts: %v and %v; one must win and the other get a conflict", errs[0], errs[1])
	}
	d.inForce(accepted[winner], begin, everywhere)
	// The winner's content is what is in force, not a mixture.
	stored, err := config.Load(d.ctx, platform.NewStore(platform.StoreConfig{URL: d.StoreControl.URL}))
	d.must(err)
	if got := deadlineOf(stored); got != deadlines[winner] || deadlines[0] == deadlines[1] {
		d.Errorf("the store has the deadline %v, the winner proposed %v of %v", got, deadlines[winner], deadlines)
	}
}

// proposedDeadline reads the deadline that proposals of this test differ in.
func (d *deployment) proposedDeadline(proposal string) config.Milliseconds {
	d.Helper()
	b, err := os.ReadFile(proposal)
	d.must(err)
	var p struct {
		Config config.Config `json:"config"`
	}
	d.must(json.Unmarshal(b, &p))
	return deadlineOf(&p.Config)
}

func deadlineOf(c *config.Config) config.Milliseconds {
	for _, s := range c.Services {
		if s.Name == "orders" {
			return s.MaxDeadline
		}
	}
	return 0
}

func answerLost(d *deployment) {
	before := d.version()
	path := d.proposal("lost")
	// One new service value and the head are written; both answers are lost.
	d.must(d.SetStoreFaults(d.ctx, kvservice.Faults{LoseNextAnswers: 2}))
	begin := time.Now()
	version, err := d.acceptProposal(path)
	d.must(err)
	d.must(d.SetStoreFaults(d.ctx, kvservice.Faults{}))
	if version != before+1 {
		d.Errorf("one accept led from version %d to %d", before, version)
	}
	d.inForce(version, begin, everywhere)
}

// version returns the version in force at the first instance.
func (d *deployment) version() uint64 {
	d.Helper()
	n, err := d.metric(d.Instances()[0], versionMetric)
	d.must(err)
	return uint64(n)
}

func storeDown(d *deployment) {
	version, path := d.version(), d.proposal("outage")
	in, err := d.Instance("laval-1")
	d.must(err)
	c := d.during("store-down", 7*time.Second, callers.Plan{Loads: []callers.Load{d.reads("orders", 100)}}, func() {
		d.must(d.SetStoreFaults(d.ctx, kvservice.Faults{Outage: true}))
		d.must(d.StopInstance(d.ctx, in.ID))
		begin := time.Now()
		_, err := d.StartInstance(d.ctx, in.InstanceSpec)
		d.must(err)
		d.inForce(version, begin, everywhere)
		_, err = d.acceptProposal(path)
		if code := result.CodeOf(err); code != result.StoreUnavailable && code != result.AcceptUnresolved {
			d.Errorf("accept while the store is down: %v", err)
		}
		d.must(d.SetStoreFaults(d.ctx, kvservice.Faults{}))
	})
	d.expectAll(c)
}

func partitionHeals(d *deployment) {
	path := d.proposal("partition")
	d.must(d.Partition(d.ctx, "levis"))
	begin := time.Now()
	version, err := d.acceptProposal(path)
	d.must(err)
	d.inForce(version, begin, func(domain string) bool { return domain != "levis" })
	d.sleep(time.Until(begin.Add(2 * suspicionTimeout)))
	d.must(d.Heal(d.ctx))
	d.inForce(version, time.Now(), everywhere)
}
