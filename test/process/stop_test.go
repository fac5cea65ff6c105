package process

import (
	"syscall"
	"testing"
	"time"

	"github.com/monsoonthread/monsoonthread/internal/standin/callers"
	"github.com/monsoonthread/monsoonthread/test/lab/cluster"
)

// stopTimeout is the daemon's default time limit for a graceful stop.
const stopTimeout = 30 * time.Second

// Guards against a planned stop that interrupts or refuses a request, exceeds its time
// limit or exits with an error, including when SIGTERM arrives before the fabric
// withdraws the instance.
func TestPlannedStop(t *testing.T) {
	d := start(t, 401, func(c *cluster.Config) {
		// An issuer keeps running until its permits have expired; a shorter lifetime shortens
		// the test.
		c.DaemonArgs = append(c.DaemonArgs, "--permit-lifetime", "4s")
	})
	runSubtest := func(name string, steps func(*deployment)) {
		t.Run(name, func(t *testing.T) {
			d := d.withT(t)
			p := callers.Plan{Loads: []callers.Load{d.orderLoad(name), d.readLoad("orders", 100), d.readLoad("catalogue", 100)}}
			c := d.runWithCallers(name, 9*time.Second, p, func() {
				d.sleep(time.Second)
				begin := time.Now()
				steps(d)
				took := time.Since(begin)
				d.Logf("instance stopped after %v", took)
				if took > stopTimeout {
					d.Errorf("the stop took %v, longer than the limit of %v", took, stopTimeout)
				}
			})
			d.expectAllDone(c)
		})
	}
	runSubtest("withdrawn", func(d *deployment) { d.requireNoError(d.StopInstance(d.ctx, "laval-1")) })
	runSubtest("not-withdrawn", func(d *deployment) {
		in, err := d.Instance("levis-1")
		d.requireNoError(err)
		d.requireNoError(in.Signal(syscall.SIGTERM))
		d.sleep(cluster.DefaultFabricWithdrawalDelay)
		d.requireNoError(d.StopInstance(d.ctx, "levis-1"))
	})
	d.checkInvariants()
}

// expectAllDone fails unless all requests succeeded.
func (d *deployment) expectAllDone(c *cluster.Callers) {
	d.Helper()
	if t := d.checkOrders(c); t.refused+t.unknown+t.failed > 0 {
		d.Errorf("order outcomes %+v; a planned change must not interrupt a request", t)
	}
	r, err := c.Report(d.ctx, 0, 0)
	d.requireNoError(err)
	for _, l := range r.Loads {
		if l.Refused+l.Unknown+l.Failed+l.Late > 0 || l.Done != l.Sent || l.Sent == 0 {
			d.Errorf("%s: %d of %d requests done, details of the others %v", l.Name, l.Done, l.Sent, l.Details)
		}
	}
}
