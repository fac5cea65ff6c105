package process

import (
	"testing"
	"time"

	"github.com/monsoonthread/monsoonthread/internal/standin/callers"
)

// Guards against a dispatcher that continues to dispatch after a pause during which other
// instances took over its backend servers. Requests could then be executed twice, exceed
// the slots of a server, or be refused although they were executed.
func TestPausedDispatcher(t *testing.T) {
	d := start(t, 901, nil)
	s, _ := d.Deployment().Service("orders")
	// After a takeover, slots stay quarantined for the longest request deadline.
	takeover := suspicionTimeout + s.MaxDeadline.Duration()
	const pause = 2 * suspicionTimeout
	length := time.Second + pause + takeover + 2*time.Second
	t.Logf("maximum request deadline %v", s.MaxDeadline.Duration())
	in, err := d.Instance("sherbrooke-1")
	d.requireNoError(err)
	c := d.runWithCallers("pause", length, callers.Plan{Loads: []callers.Load{d.orderLoad("pause"), d.readLoad("orders", ordersPerSecond)}}, func() {
		d.sleep(time.Second)
		d.checkOverruns("before the pause", 0)
		d.requireNoError(in.Pause())
		d.sleep(pause)
		d.requireNoError(in.Resume())
		d.sleep(takeover)
		overrunsUntilTakeover := d.overrunCount()
		d.sleep(1500 * time.Millisecond)
		d.checkOverruns("after the takeover", overrunsUntilTakeover)
		d.Logf("%d overruns until the end of the takeover", overrunsUntilTakeover)
	})
	d.checkOrders(c)
	d.checkInvariants()
}

// overrunCount returns how many requests arrived at servers of "orders" with all slots busy.
func (d *deployment) overrunCount() (n uint64) {
	d.Helper()
	for _, st := range d.servers("orders") {
		n += st.Overruns
	}
	return n
}

func (d *deployment) checkOverruns(when string, want uint64) {
	d.Helper()
	if n := d.overrunCount(); n != want {
		d.Errorf("%d overruns %s, want %d", n, when, want)
	}
}
