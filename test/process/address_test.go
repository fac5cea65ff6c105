package process

import (
	"net/netip"
	"testing"
	"time"

	"github.com/monsoonthread/monsoonthread/internal/standin/callers"
	"github.com/monsoonthread/monsoonthread/internal/standin/fabric"
)

// Guards against packets delivered to the wrong service. An address is reassigned to
// another service while two instances are paused, so they learn of the change late and
// find packets for the new owner in their receive queues when they resume.
func TestAddressMovesToAnotherService(t *testing.T) {
	d := start(t, 801, nil)
	// The pause is below the suspicion timeout, so the instances stay members and are not fenced.
	t.Run("short pause", func(t *testing.T) { d.withT(t).testAddressMove("short", 900*time.Millisecond) })
	t.Run("long pause", func(t *testing.T) { d.withT(t).testAddressMove("long", 2*suspicionTimeout) })
	d.checkInvariants()
}

// testAddressMove reassigns the address of "orders" to "catalogue" and allocates a new
// address for "orders".
func (d *deployment) testAddressMove(name string, pause time.Duration) {
	orders, _ := d.Deployment().Service("orders")
	catalogue, _ := d.Deployment().Service("catalogue")
	d.runWithCallers(name+"-before", time.Second, callers.Plan{Loads: []callers.Load{d.readLoad("orders", 100), d.readLoad("catalogue", 100)}}, func() {})

	before := d.misdeliveredRequests()
	var fresh fabric.AddressBody
	anyPort := fabric.AddressBody{Address: netip.MustParseAddrPort("127.0.0.1:0")}
	d.requireNoError(d.FabricControl.Do(d.ctx, "POST", "/services", anyPort, &fresh))
	catalogue.Address, orders.Address = orders.Address, fresh.Address
	for _, id := range []string{"levis-1", "levis-2"} {
		in, err := d.Instance(id)
		d.requireNoError(err)
		d.requireNoError(in.Pause())
		time.AfterFunc(pause, func() { _ = in.Resume() })
	}
	version, err := d.AcceptConfiguration(d.ctx)
	d.requireNoError(err)
	accepted := time.Now()
	c := d.runWithCallers(name+"-after", pause+3*time.Second, callers.Plan{Loads: []callers.Load{d.readLoad("orders", 150), d.readLoad("catalogue", 150)}}, func() {
		d.sleep(pause)
		d.waitForVersion(version, accepted, allDomains)
	})
	r, err := c.Report(d.ctx, 0, 0)
	d.requireNoError(err)
	for _, l := range r.Loads {
		d.Logf("%s: %d of %d requests done, details %v", l.Name, l.Done, l.Sent, l.Details)
		if l.Done < l.Sent/2 || l.Details["4.04"] > 0 {
			d.Errorf("%s: %d of %d requests done, %d responses from the wrong service", l.Name, l.Done, l.Sent, l.Details["4.04"])
		}
	}
	if n := d.misdeliveredRequests() - before; n > 0 {
		d.Errorf("%d requests were delivered to backend servers of the wrong service", n)
	}
}

// misdeliveredRequests returns how many requests backend servers received that were
// addressed to another service.
func (d *deployment) misdeliveredRequests() (n uint64) {
	d.Helper()
	all, err := d.Servers(d.ctx)
	d.requireNoError(err)
	for _, st := range all {
		n += st.Misdelivered
	}
	return n
}
