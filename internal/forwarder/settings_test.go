package forwarder

import (
	"strings"
	"testing"
	"time"

	"github.com/spf13/pflag"

	"github.com/monsoonthread/monsoonthread/result"
)

const settingsFile = `
# comment
instance-id=front-laval-1
failure-domain=laval
datagram-address=10.1.0.10:8172
ready-address=10.1.0.10:8167
peer-address=10.1.0.10:7720
seeds=10.1.0.10:8166,10.2.0.40:8166
store-address=10.200.1.7:8169
memory-mb=284
max-flow-lifetime=60s
a-field-of-the-future=7
`

func parse(text string, args ...string) (Settings, error) {
	var s Settings
	f := pflag.NewFlagSet("test", pflag.ContinueOnError)
	s.AddFlags(f)
	if err := f.Parse(args); err != nil {
		return s, err
	}
	if err := ApplyFile(f, strings.NewReader(text)); err != nil {
		return s, err
	}
	return s, s.Check()
}

// Guards against a settings file that fails because of an unknown field, and against a file
// that takes precedence over a flag.
func TestSettingsFile(t *testing.T) {
	s, err := parse(settingsFile, "--memory-mb=100")
	if err != nil {
		t.Fatal(err)
	}
	if s.InstanceID != "front-laval-1" || s.MemoryMB != 100 || s.MaxFlowLifetime != time.Minute || s.GracePeriod != 6*time.Second {
		t.Errorf("%+v", s)
	}
	seeds, err := s.SeedAddresses()
	if err != nil || len(seeds) != 1 || seeds[0].String() != "10.2.0.40:7720" {
		t.Errorf("seeds %v, %v", seeds, err)
	}
}

// Guards against invalid values that are accepted or reported without the setting's name.
func TestBadSettings(t *testing.T) {
	for change, name := range map[[2]string]string{
		{"instance-id=front-laval-1", ""}:                "instance-id",
		{"failure-domain=laval", ""}:                     "failure-domain",
		{"8172", "0"}:                                    "datagram-address",
		{"10.1.0.10:8167", "[::1]:8167"}:                 "ready-address",
		{"10.1.0.10:7720", "host:7720"}:                  "peer-address",
		{"10.200.1.7:8169", ""}:                          "store-address",
		{"10.2.0.40:8166", "somewhere"}:                  "seeds",
		{"memory-mb=284", "memory-mb=1"}:                 "memory-mb",
		{"memory-mb=284", "memory-mb=many"}:              "memory-mb",
		{"memory-mb=284", "grace-period=1ms"}:            "grace-period",
		{"memory-mb=284", "metrics-address=here"}:        "metrics-address",
		{"memory-mb=284", "not a setting"}:               "not a setting",
		{"memory-mb=284", "configuration-bound=-1s"}:     "configuration-bound",
		{"max-flow-lifetime=60s", "max-flow-lifetime=s"}: "max-flow-lifetime",
	} {
		_, err := parse(strings.Replace(settingsFile, change[0], change[1], 1))
		if result.CodeOf(err) != result.SettingsInvalid && !strings.Contains(errText(err), "[601]") {
			t.Errorf("%q for %q: %v", change[1], change[0], err)
		}
		if !strings.Contains(errText(err), name) {
			t.Errorf("%q for %q: the error does not name %s: %v", change[1], change[0], name, err)
		}
	}
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// Guards against transitions that make a leaving instance ready again.
func TestLifecycle(t *testing.T) {
	d := newDeployment(t)
	l := d.startInstance("a", "laval", 1).lifecycle
	for _, step := range []struct {
		trigger string
		ready   bool
	}{{triggerCaughtUp, true}, {triggerCaughtUp, true}, {triggerFellBehind, false}, {triggerFellBehind, false}, {triggerCaughtUp, true}, {triggerStop, false}, {triggerCaughtUp, false}, {triggerStop, false}} {
		l.fire(step.trigger)
		if l.isReady.Load() != step.ready {
			t.Errorf("ready %v after %s", l.isReady.Load(), step.trigger)
		}
	}
	if !l.leaving.Load() {
		t.Error("not leaving")
	}
}

// Guards against settings files that crash the parser or are accepted without an instance ID or
// with a memory limit that leaves no room for flows.
func FuzzSettingsFile(f *testing.F) {
	f.Add(settingsFile)
	f.Fuzz(func(t *testing.T, text string) {
		if s, err := parse(text); err == nil && (s.InstanceID == "" || s.MaxFlows() <= 0) {
			t.Errorf("%+v", s)
		}
	})
}

// Guards against a takeover whose steps together take longer than the bound, although each of them is
// short, and against more calls to the store than the bounds require. Deployments with larger failure
// domains have larger bounds.
func TestTakeoverFitsIntoTheBound(t *testing.T) {
	for bound, instances := range map[time.Duration]int{3 * time.Second: 6, 4 * time.Second: 90, 5 * time.Second: 90, 6 * time.Second: 90} {
		s := Settings{ConfigurationBound: bound, DrainBound: bound, EvacuationBound: bound}
		got := newTiming(&s)
		if took := got.takeoverTime(instances); took > bound {
			t.Errorf("%d instances: the steps of a takeover take %v, the bound is %v", instances, took, bound)
		}
		if took := got.recoveryTime(instances); took > bound {
			t.Errorf("%d instances: the steps after an outage take %v, the bound is %v", instances, took, bound)
		}
		if got.watchWait != maxWatchWait || got.batchDelay != maxBatchDelay {
			t.Errorf("bound %v: %+v", bound, got)
		}
	}
}

// Guards against a watch that waits too long: an unresponsive watch, its timeout and the
// takeover by another instance must fit within ConfigurationBound and DrainBound.
func TestTimingFollowsTheBounds(t *testing.T) {
	for _, bound := range []time.Duration{time.Second, 3 * time.Second, 5 * time.Second, time.Minute} {
		s := Settings{ConfigurationBound: time.Minute, DrainBound: bound}
		got := newTiming(&s)
		if got.watchWait > bound/2 || got.watchWait > maxWatchWait || got.batchDelay > bound/10 || got.maxRecordAge <= got.watchWait {
			t.Errorf("bound %v: %+v", bound, got)
		}
	}
}
