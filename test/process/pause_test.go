package process

import (
	"testing"
	"time"

	"github.com/monsoonthread/monsoonthread/internal/standin/callers"
)

// Guards against a dispatcher that goes on dispatching after a pause in which its backend
// servers were taken over: requests would run twice or overrun a server, or be refused
// although they ran.
func TestPausedDispatcher(t *testing.T) {
	d := start(t, 901, nil)
	s, _ := d.Deployment().Service("orders")
	// The slots of the paused dispatcher are quarantined for the longest deadline.
	takeover := suspicionTimeout + s.MaxDeadline.Duration()
	const pause = 2 * suspicionTimeout
	length := time.Second + pause + takeover + 2*time.Second
	t.Logf("longest deadline %v", s.MaxDeadline.Duration())
	in, err := d.Instance("sherbrooke-1")
	d.must(err)
	c := d.during("pause", length, callers.Plan{Loads: []callers.Load{d.orders("pause"), d.reads("orders", orderRate)}}, func() {
		d.sleep(time.Second)
		d.checkOverruns("before the pause", 0)
		d.must(in.Pause())
		d.sleep(pause)
		d.must(in.Resume())
		d.sleep(takeover)
		during := d.overruns()
		d.sleep(1500 * time.Millisecond)
		d.checkOverruns("after the takeover", during)
		d.Logf("%d overruns in the takeover", during)
	})
	d.checkOrders(c)
	d.checkInvariants()
}

func (d *deployment) overruns() (n uint64) {
	d.Helper()
	for _, st := range d.servers("orders") {
		n += st.Overruns
	}
	return n
}

func (d *deployment) checkOverruns(when string, want uint64) {
	d.Helper()
	if n := d.overruns(); n != want {
		d.Errorf("%d overruns %s, want %d", n, when, want)
	}
}
