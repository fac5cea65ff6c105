package forwarder

import (
	"testing"
	"time"

	"github.com/monsoonthread/monsoonthread/internal/standin/metastore"
	"github.com/monsoonthread/monsoonthread/platform/kv"
	"github.com/monsoonthread/monsoonthread/platform/wire"
)

// restore brings the store back from the copy after a short outage.
func (d *deployment) restore(older *metastore.Copy) {
	d.store.SetFault(metastore.Unavailable)
	time.Sleep(300 * time.Millisecond)
	d.store.Restore(older)
	d.store.SetFault(metastore.NoFault)
}

// Guards against a configuration that is not in force because the store came back from an older
// copy and wrote it under a revision that it had given out before.
func TestVersionWrittenAfterARestoreIsInForce(t *testing.T) {
	d, a, b := startPair(t)
	older := d.store.Copy()
	d.configure("orders")
	d.configure("orders")
	for _, i := range []*instance{a, b} {
		d.eventually("version 3 before the restore", configurationBound, func() bool { return i.version() == 3 })
	}
	d.restore(older)
	d.configure("orders")
	for _, i := range []*instance{a, b} {
		d.eventually("version 4 after the restore", configurationBound, func() bool { return i.version() == 4 })
	}
	c := d.startInstance("c", "laval", 3, "127.0.2.1:1")
	d.eventually("new instance ready", testTimeout, func() bool { return d.ready(c) })
	if c.version() != 4 {
		t.Errorf("the new instance is ready with version %d", c.version())
	}
}

// openFlows opens flows through the instances and returns how many the server got.
func (d *deployment) openFlows(server string, via ...*instance) int {
	before := d.servers[server].Counters().Opened
	for range 20 {
		for _, i := range via {
			d.openFlow(i)
		}
	}
	return d.servers[server].Counters().Opened - before
}

// Guards against new flows at a server that had left and is listed again by the older copy, also
// at an instance that starts afterwards.
func TestServerThatLeftStaysAwayAfterARestore(t *testing.T) {
	d, a, b := startPair(t)
	d.startServer("i-2", "orders", "laval", 2)
	for _, i := range []*instance{a, b} {
		d.eventually("second server known", configurationBound, func() bool { return i.hasRecord(wire.ServerPrefix+"i-2", "ready") })
	}
	older := d.store.Copy()
	d.store.Remove(wire.ServerPrefix + "i-2")
	for _, i := range []*instance{a, b} {
		d.eventually("removal known", configurationBound, func() bool { return !i.hasRecord(wire.ServerPrefix+"i-2", "") })
	}
	d.servers["i-2"].StopAnswering()
	d.restore(older)
	for _, i := range []*instance{a, b} {
		d.eventually("record back", configurationBound, func() bool { return i.hasRecord(wire.ServerPrefix+"i-2", "") })
	}
	c := d.startInstance("c", "laval", 3, "127.0.2.1:1")
	d.eventually("new instance ready", testTimeout, func() bool { return d.ready(c) })
	if got := d.openFlows("i-2", a, b, c); got != 0 {
		t.Errorf("%d new flows at the server that had left", got)
	}
}

// Guards against new flows at a draining server whose older copy says that it is ready, until the
// server writes again.
func TestDrainingServerStaysDrainingAfterARestore(t *testing.T) {
	d, a, b := startPair(t)
	d.startServer("i-2", "orders", "laval", 2)
	older := d.store.Copy()
	d.store.Put(wire.ServerPrefix+"i-2", d.servers["i-2"].Record("draining"))
	for _, i := range []*instance{a, b} {
		d.eventually("drain known", configurationBound, func() bool { return i.hasRecord(wire.ServerPrefix+"i-2", "draining") })
	}
	d.restore(older)
	for _, i := range []*instance{a, b} {
		d.eventually("restore noticed", configurationBound, func() bool { return i.statusView().Era == 2 })
	}
	if got := d.openFlows("i-2", a, b); got != 0 {
		t.Errorf("%d new flows at the draining server", got)
	}
}

// Guards against listings and watches that alternate without a pause while the store refuses all
// watches. Each refused watch takes two calls, at intervals that grow to maxRetryDelay.
func TestRefusedWatchesAreNotRepeatedAtOnce(t *testing.T) {
	const observed = 3 * time.Second
	d := newDeployment(t)
	d.startServer("i-1", "orders", "laval", 1)
	a := d.startInstance("a", "laval", 1)
	d.eventually("ready", testTimeout, func() bool { return d.ready(a) })
	d.store.SetFault(metastore.HistoryLost)
	before, _ := a.store.Calls()
	time.Sleep(observed)
	after, _ := a.store.Calls()
	if limit := uint64(2*observed/maxRetryDelay + 2*4); after-before > limit {
		t.Errorf("%d calls in %v, want at most %d", after-before, observed, limit)
	}
	d.store.SetFault(metastore.NoFault)
	d.configure("orders")
	d.eventually("version 2", configurationBound, func() bool { return a.version() == 2 })
}

// Guards against an entry that is written under the lease of another holder, to which the restored
// store gave the same ID.
func TestLeaseOfAnEarlierEraIsNotUsed(t *testing.T) {
	d := newDeployment(t)
	d.startServer("i-1", "orders", "laval", 1)
	older := d.store.Copy()
	d.startInstance("a", "laval", 1)
	key := instancePrefix + "a"
	d.eventually("registered", testTimeout, func() bool { return d.store.Lease(key) != 0 })
	lost := d.store.Lease(key)
	d.store.Restore(older)
	other := kv.New(d.storeAddr, time.Second)
	for granted := uint64(0); granted < lost; {
		lease, err := other.Grant(t.Context(), time.Minute)
		if err != nil {
			t.Fatal(err)
		}
		granted = lease.ID
	}
	d.eventually("registered again", testTimeout, func() bool { return d.store.Lease(key) != 0 })
	if got := d.store.Lease(key); got == lost {
		t.Errorf("registered under lease %d, which another holder has", got)
	}
}
