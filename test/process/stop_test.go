package process

import (
	"syscall"
	"testing"
	"time"

	"github.com/monsoonthread/monsoonthread/internal/standin/callers"
	"github.com/monsoonthread/monsoonthread/test/lab/cluster"
)

// stopTimeout is the daemon's default limit of a graceful stop.
const stopTimeout = 30 * time.Second

// Guards against a planned stop that cuts or refuses a request, takes longer than its
// limit or ends with a failure; also when SIGTERM comes before the fabric withdraws the
// instance.
func TestPlannedStop(t *testing.T) {
	d := start(t, 401, func(c *cluster.Config) {
		// An issuer stays until its permits have expired; a shorter life shortens the test.
		c.DaemonArgs = append(c.DaemonArgs, "--permit-lifetime", "4s")
	})
	stop := func(name string, steps func(*deployment)) {
		t.Run(name, func(t *testing.T) {
			d := d.sub(t)
			p := callers.Plan{Loads: []callers.Load{d.orders(name), d.reads("orders", 100), d.reads("catalogue", 100)}}
			c := d.during(name, 9*time.Second, p, func() {
				d.sleep(time.Second)
				begin := time.Now()
				steps(d)
				took := time.Since(begin)
				d.Logf("stopped after %v", took)
				if took > stopTimeout {
					d.Errorf("the stop took %v", took)
				}
			})
			d.expectAll(c)
		})
	}
	stop("withdrawn", func(d *deployment) { d.must(d.StopInstance(d.ctx, "laval-1")) })
	stop("not-withdrawn", func(d *deployment) {
		in, err := d.Instance("levis-1")
		d.must(err)
		d.must(in.Signal(syscall.SIGTERM))
		d.sleep(cluster.DefaultFabricLag)
		d.must(d.StopInstance(d.ctx, "levis-1"))
	})
	d.checkInvariants()
}

// expectAll fails unless every request succeeded.
func (d *deployment) expectAll(c *cluster.Callers) {
	d.Helper()
	if t := d.checkOrders(c); t.refused+t.unknown+t.failed > 0 {
		d.Errorf("orders: %+v; a planned change must not interrupt a request", t)
	}
	r, err := c.Report(d.ctx, 0, 0)
	d.must(err)
	for _, l := range r.Loads {
		if l.Refused+l.Unknown+l.Failed+l.Late > 0 || l.Done != l.Sent || l.Sent == 0 {
			d.Errorf("%s: %d of %d requests done, others %v", l.Name, l.Done, l.Sent, l.Details)
		}
	}
}
