package forwarder

import (
	"testing"
	"time"

	"github.com/monsoonthread/monsoonthread/internal/standin/metastore"
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
