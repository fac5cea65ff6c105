package main

import (
	"encoding/json"
	"time"
)

// lateBy is how long after its call the store executes the write whose answer was lost.
const lateBy = 5800 * time.Millisecond

// lateWrite restarts a host under a new ID. With trouble, the last write of its earlier incarnation gets
// no answer and is executed by the store lateBy later.
func lateWrite(d *deployment, trouble bool) error {
	old := d.hosts[0]
	lost := old.entry()
	sentAt := time.Now()
	if trouble {
		d.rec.say("host %s writes its entry; the store neither executes nor answers the call yet", old.id)
	}
	time.Sleep(50 * time.Millisecond)
	old.stop("crash")
	time.Sleep(200 * time.Millisecond)
	h, err := d.addHost(newID(), old.service, old.zone, old.address)
	if err != nil {
		return err
	}
	d.rec.say("the host is back at %s as %s", h.address, h.id)
	time.Sleep(3*heartbeat - time.Since(sentAt))
	d.store.Remove("servers/" + old.id)
	d.rec.say("the entry of %s is removed after three heartbeat intervals of silence", old.id)
	time.Sleep(lateBy - time.Since(sentAt))
	if trouble {
		d.store.Put("servers/"+old.id, lost)
		d.rec.say("the store executes the late write of %s", old.id)
	}
	time.Sleep(3 * heartbeat)
	if trouble {
		d.store.Remove("servers/" + old.id)
		d.rec.say("the entry of %s is removed after three heartbeat intervals of silence", old.id)
	}
	time.Sleep(2 * time.Second)
	return nil
}

// foreignEntry writes an entry of another writer: it has a service that no configuration names, and the
// address of a host that serves.
func foreignEntry(d *deployment, trouble bool) error {
	if trouble {
		h := d.hosts[0]
		id := newID()
		b, err := json.Marshal(map[string]any{"service": "inventory-agent", "address": h.address.String(), "zone": h.zone, "version": "v1",
			"slots": slots, "state": "ready", "coldLeftMs": 0, "sequence": 1, "born": time.Now().UnixMilli()})
		if err != nil {
			return err
		}
		d.store.Put("servers/"+id, b)
		d.rec.say("another writer's entry servers/%s names the service inventory-agent and the address of host %s", id, h.id)
	}
	time.Sleep(6 * time.Second)
	return nil
}
