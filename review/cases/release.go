package main

import (
	"net/netip"
	"time"
)

const (
	// exitAfter is how long a draining host serves after the store has acknowledged its report: drainMs
	// and a little longer.
	exitAfter = drainBound + 500*time.Millisecond
	// requestBeforeExit is how long before that a client sends a request on a flow that was idle.
	requestBeforeExit = 60 * time.Millisecond
)

// release replaces four of nine hosts one after the other: the new one starts first, the old one drains and, with
// trouble, leaves. A client in the host's zone has a flow at the host that is idle while the host drains,
// and sends a request on it shortly before the host stops listening.
func release(d *deployment, trouble bool) error {
	for n, h := range append([]*host(nil), d.hosts[:4]...) {
		c, err := newClient(d, "client-pausing-"+h.id, h.zone, d.ip(40, 1+n))
		if err != nil {
			return err
		}
		f, err := c.openAt(h.id, ordersAddress)
		if err != nil {
			return err
		}
		d.rec.say("client %s has a flow at host %s and pauses", c.name, h.id)
		if _, err := d.addHost(newID(), h.service, h.zone, netip.AddrPortFrom(d.ip(15, 1+n), d.ports.host)); err != nil {
			return err
		}
		d.drain(h)
		d.finished.Go(func() {
			time.Sleep(exitAfter)
			if trouble {
				h.leave()
				d.store.Remove("servers/" + h.id)
				d.rec.say("host %s has left", h.id)
			}
		})
		time.Sleep(exitAfter - requestBeforeExit)
		id, err := f.request("POST", longWorkHeader)
		if err != nil {
			d.flowFailed(f, id, err)
			d.rec.say("client %s: request %s at host %s: %v", c.name, id, h.id, err)
		} else {
			d.rec.say("client %s has the answer to request %s from host %s", c.name, id, f.host)
		}
		f.close()
		time.Sleep(time.Second)
	}
	time.Sleep(time.Second)
	return nil
}
