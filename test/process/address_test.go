package process

import (
	"net/netip"
	"testing"
	"time"

	"github.com/monsoonthread/monsoonthread/internal/standin/callers"
	"github.com/monsoonthread/monsoonthread/internal/standin/fabric"
)

// Guards against a packet that reaches another service: an address moves to another
// service while two instances are stopped, so that they learn of it late and find
// packets for the new owner in their queues when they continue.
func TestAddressMovesToAnotherService(t *testing.T) {
	d := start(t, 801, nil)
	// Shorter than the suspicion time, the instances stay members and are not fenced.
	t.Run("short pause", func(t *testing.T) { d.sub(t).moveAddress("short", 900*time.Millisecond) })
	t.Run("long pause", func(t *testing.T) { d.sub(t).moveAddress("long", 2*suspicionTimeout) })
	d.checkInvariants()
}

// moveAddress gives the address of "orders" to "catalogue" and a new one to "orders".
func (d *deployment) moveAddress(name string, pause time.Duration) {
	orders, _ := d.Deployment().Service("orders")
	catalogue, _ := d.Deployment().Service("catalogue")
	d.during(name+"-before", time.Second, callers.Plan{Loads: []callers.Load{d.reads("orders", 100), d.reads("catalogue", 100)}}, func() {})

	before := d.misdelivered()
	var fresh fabric.AddressBody
	anyPort := fabric.AddressBody{Address: netip.MustParseAddrPort("127.0.0.1:0")}
	d.must(d.FabricControl.Do(d.ctx, "POST", "/services", anyPort, &fresh))
	catalogue.Address, orders.Address = orders.Address, fresh.Address
	for _, id := range []string{"levis-1", "levis-2"} {
		in, err := d.Instance(id)
		d.must(err)
		d.must(in.Pause())
		time.AfterFunc(pause, func() { _ = in.Resume() })
	}
	version, err := d.Accept(d.ctx)
	d.must(err)
	accepted := time.Now()
	c := d.during(name+"-after", pause+3*time.Second, callers.Plan{Loads: []callers.Load{d.reads("orders", 150), d.reads("catalogue", 150)}}, func() {
		d.sleep(pause)
		d.inForce(version, accepted, everywhere)
	})
	r, err := c.Report(d.ctx, 0, 0)
	d.must(err)
	for _, l := range r.Loads {
		d.Logf("%s: %d of %d done %v", l.Name, l.Done, l.Sent, l.Details)
		if l.Done < l.Sent/2 || l.Details["4.04"] > 0 {
			d.Errorf("%s: %d of %d done, %d answers of another service", l.Name, l.Done, l.Sent, l.Details["4.04"])
		}
	}
	if n := d.misdelivered() - before; n > 0 {
		d.Errorf("%d requests reached backend servers of another service", n)
	}
}

// misdelivered returns the number of requests for another service that backend servers got.
func (d *deployment) misdelivered() (n uint64) {
	d.Helper()
	all, err := d.Servers(d.ctx)
	d.must(err)
	for _, st := range all {
		n += st.Misdelivered
	}
	return n
}
