package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	drainBound  = 3 * time.Second // drainMs
	configBound = 3 * time.Second // configApplyMs

	orderDeadline = 2500 * time.Millisecond
	longestWork   = 180 * time.Millisecond // of an order-line

	recoveryBound = 12 * time.Second // recoveryS
)

var newRoute = netip.MustParseAddrPort("198.18.0.3:8080")

// freeze: one machine freezes for 4 s while clients open flows.
func freeze(w *world, trouble bool) error {
	if err := w.startBellefleur(); err != nil {
		return err
	}
	target := w.fronts[rand.IntN(3)] // of laval
	begin := time.Now()
	if trouble {
		w.mu.Lock()
		target.inTrouble = true
		w.mu.Unlock()
		target.signal(syscall.SIGSTOP)
	} else {
		w.record("no freeze")
	}
	// Users of laval open a flow each, spread over 1.6 s, make a request and pause.
	const users = 120
	var users1 sync.WaitGroup
	flows := make([]*flow, users)
	for i := range users {
		users1.Add(1)
		go func() {
			defer users1.Done()
			time.Sleep(time.Duration(i) * 1600 * time.Millisecond / users)
			id := fmt.Sprintf("first-%d", i)
			f, err := w.clients["laval"].dial(orderLine)
			if err != nil {
				w.record("%s: flow %s: %v", id, f.local, err)
				return
			}
			stamp, err := f.request(id, "POST", "/order", orderDeadline)
			w.record("%s: flow %s: %s %v", id, f.local, stamp, err)
			if err == nil {
				flows[i] = f
			}
		}()
	}
	time.Sleep(time.Until(begin.Add(4 * time.Second)))
	if trouble {
		target.signal(syscall.SIGCONT)
		w.mu.Lock()
		target.inTrouble, target.disturbed = false, time.Now()
		w.mu.Unlock()
	}
	users1.Wait()
	// After the pause, all machines are in touch again.
	time.Sleep(time.Until(begin.Add(10 * time.Second)))
	var users2 sync.WaitGroup
	for i, f := range flows {
		if f == nil {
			continue
		}
		users2.Add(1)
		go func() {
			defer users2.Done()
			time.Sleep(time.Duration(i) * 10 * time.Millisecond)
			id := fmt.Sprintf("second-%d", i)
			stamp, err := f.request(id, "POST", "/order", orderDeadline)
			w.record("%s: flow %s of %s through %s: %s %v", id, f.local, w.ownerOf(f.local).id, f.lastVia.name, stamp, err)
		}()
	}
	users2.Wait()
	return nil
}

// checkNewRoute writes a configuration with the route newRoute and checks that its flows are served
// later than configApplyMs after the acknowledgement.
func (w *world) checkNewRoute(c configuration) error {
	acknowledged := w.putConfig(c)
	time.Sleep(time.Until(acknowledged.Add(configBound + 200*time.Millisecond)))
	for i := range 12 {
		for _, zone := range zones {
			id := fmt.Sprintf("new-%s-%d", zone, i)
			since := time.Since(acknowledged)
			f, err := w.clients[zone].dial(newRoute)
			if err == nil {
				var stamp string
				stamp, err = f.request(id, "GET", "/new", 2*time.Second)
				w.record("%s: %s %v", id, stamp, err)
				f.close()
				continue
			}
			w.record("%s: %v by %s", id, err, f.resetBy)
			if err == errReset && f.lastVia.inTouch() {
				w.violate("CONFIG: %d ms after the acknowledgement, %s, in touch, refuses a flow of a route that the configuration has", since.Milliseconds(), f.lastVia.name)
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	return nil
}

// timeouts: a configuration sets a time-out of two hours and adds a route. Then all machines lose power.
func timeouts(w *world, trouble bool) error {
	if err := w.startBellefleur(); err != nil {
		return err
	}
	c := baseConfiguration()
	c.Routes = append(c.Routes, route{Name: "new", Host: "198.18.0.3", Prefix: "/8080/", Kind: "idempotent", Timeout: 2000, Aim: 120, Prio: 2, Service: "orders", Most: 2})
	if trouble {
		c.Routes[0].Timeout = 2 * 3600 * 1000
	}
	if err := w.checkNewRoute(c); err != nil {
		return err
	}
	before, of := w.serve("before")
	w.record("%d of %d requests are served before the final fault", before, of)
	for _, f := range w.fronts {
		f.disturb(true)
		f.signal(syscall.SIGKILL)
		<-f.ended
	}
	time.Sleep(time.Second)
	for _, f := range w.fronts {
		if err := f.writeSettings(w.seeds(), false); err != nil {
			return err
		}
		if err := f.startProcess(); err != nil {
			return err
		}
		f.disturb(false)
	}
	w.record("all processes run again")
	time.Sleep(recoveryBound)
	served, sent := w.serve("after")
	w.record("%d of %d requests are served later than recoveryS after the machines are back", served, sent)
	if 4*before >= of && 4*served < sent {
		w.violate("RECOVER: %d of %d requests are served later than recoveryS after the machines are back", served, sent)
	}
	return nil
}

// serve sends orders from all zones within 2 s and returns how many were served, and their number.
func (w *world) serve(name string) (served, sent int64) {
	var ok, all atomic.Int64
	var users sync.WaitGroup
	for i := range 20 {
		for _, zone := range zones {
			users.Add(1)
			go func() {
				defer users.Done()
				time.Sleep(time.Duration(i) * 100 * time.Millisecond)
				id := fmt.Sprintf("%s-%s-%d", name, zone, i)
				all.Add(1)
				f, err := w.clients[zone].dial(orderLine)
				if err == nil {
					if _, err = f.request(id, "POST", "/order", orderDeadline); err == nil {
						ok.Add(1)
					}
					f.close()
				}
				w.record("%s: %v", id, err)
			}()
		}
	}
	users.Wait()
	return ok.Load(), all.Load()
}

// entry: another writer leaves an entry without a version under the key of a host.
func entry(w *world, trouble bool) error {
	if err := w.startBellefleur(); err != nil {
		return err
	}
	victim := w.hosts[rand.IntN(5)] // of service orders in laval
	if trouble {
		b, _ := json.Marshal(map[string]any{"service": "catalogue", "address": victim.addr.String(), "zone": victim.zone,
			"slots": 2, "state": "ready", "coldLeftMs": 0, "sequence": 1, "born": time.Now().UnixMilli()})
		w.store.Put("servers/"+victim.id, b)
		w.record("another writer writes servers/%s: %s", victim.id, b)
	}
	var all sync.WaitGroup
	for i := range 60 {
		all.Add(1)
		go func() {
			defer all.Done()
			time.Sleep(time.Duration(i) * 100 * time.Millisecond)
			id := fmt.Sprintf("page-%d", i)
			f, err := w.clients["laval"].dial(catalogue)
			if err == nil {
				var stamp string
				stamp, err = f.request(id, "GET", "/page", 8*time.Second)
				w.record("%s: %s", id, stamp)
				f.close()
			}
			if err != nil {
				w.record("%s: %v", id, err)
			}
		}()
	}
	all.Wait()
	return nil
}

// cut: the machine of each zone that reads the store is partitioned from it, without a reset, just
// before a configuration is accepted.
func cut(w *world, trouble bool) error {
	w.perFront = true
	if err := w.startBellefleur(); err != nil {
		return err
	}
	c := baseConfiguration()
	c.Routes = append(c.Routes, route{Name: "first", Host: "198.18.0.4", Prefix: "/8080/", Kind: "idempotent", Timeout: 2000, Aim: 120, Prio: 2, Service: "orders", Most: 2})
	time.Sleep(15 * time.Second) // more than one machine of a zone may read the store after a start
	w.putConfig(c)
	time.Sleep(250 * time.Millisecond)
	var readers []*front
	for _, zone := range zones {
		var reader *front
		for _, f := range w.fronts {
			if f.zone == zone && (reader == nil || f.link.used.Load() > reader.link.used.Load()) {
				reader = f
			}
		}
		readers = append(readers, reader)
	}
	if trouble {
		for _, f := range readers {
			w.record("%s is partitioned from the store", f.name)
			f.disturb(true)
			f.link.mode.Store(silent)
		}
	}
	time.Sleep(100 * time.Millisecond)
	c.Routes = append(c.Routes, route{Name: "new", Host: "198.18.0.3", Prefix: "/8080/", Kind: "idempotent", Timeout: 2000, Aim: 120, Prio: 2, Service: "orders", Most: 2})
	acknowledged := w.putConfig(c)
	// A host of laval leaves, too. Its entry is what rule DRAIN is judged by; see host.handle.
	leaving := w.hosts[rand.IntN(5)]
	leaving.mu.Lock()
	leaving.draining = true
	leaving.mu.Unlock()
	leaving.register()
	var all sync.WaitGroup
	for i := range 10 {
		time.Sleep(time.Until(acknowledged.Add(configBound + time.Duration(20+100*i)*time.Millisecond)))
		for k := range 10 {
			all.Add(1)
			go func() {
				defer all.Done()
				id := fmt.Sprintf("order-%d-%d", i, k)
				f, err := w.clients["laval"].dial(orderLine)
				if err == nil {
					_, err = f.request(id, "POST", "/order", orderDeadline)
				}
				w.record("%s through %s: %v", id, f.lastVia.name, err)
				f.close()
			}()
		}
		for _, f := range w.fronts {
			if !f.inTouch() {
				continue
			}
			all.Add(1)
			go func() {
				defer all.Done()
				since := time.Since(acknowledged)
				fl, err := w.clients[f.zone].dialVia(newRoute, f)
				w.record("%d ms after the acknowledgement, through %s: %v", since.Milliseconds(), f.name, err)
				if err == errReset {
					w.violate("CONFIG: %d ms after the acknowledgement, %s, in touch, refuses a flow of a route that the configuration has", since.Milliseconds(), f.name)
				}
				fl.close()
			}()
		}
	}
	all.Wait()
	time.Sleep(time.Until(acknowledged.Add(5200 * time.Millisecond)))
	for _, f := range readers {
		f.link.mode.Store(passing)
	}
	return nil
}

// leave: a host is replaced, as in a release. The new one starts first; the old one drains, closes its
// health port when drainMs has passed, and serves its flows for some seconds more.
func leave(w *world, trouble bool) error {
	if err := w.startBellefleur(); err != nil {
		return err
	}
	const users = 120
	flows := make([]*flow, users)
	count := map[*host]int{}
	for i := range users {
		f, err := w.clients["laval"].dial(orderLine)
		if err != nil {
			return err
		}
		if _, err := f.request(fmt.Sprintf("first-%d", i), "POST", "/order", orderDeadline); err != nil {
			return err
		}
		flows[i] = f
		count[w.ownerOf(f.local)]++
	}
	var old *host
	for h, n := range count {
		if old == nil || n > count[old] {
			old = h
		}
	}
	flows = slices.DeleteFunc(flows, func(f *flow) bool { return w.ownerOf(f.local) != old })
	w.record("%s has %d of %d flows", old.id, len(flows), users)
	old.mu.Lock()
	old.work = longestWork
	old.mu.Unlock()
	if trouble {
		if _, err := w.startHost(newID(), old.service, old.zone, w.addr(20, 50)); err != nil {
			return err
		}
		old.mu.Lock()
		old.draining = true
		old.mu.Unlock()
		old.register()
	}
	begin := time.Now()
	time.Sleep(drainBound + 100*time.Millisecond)
	if trouble {
		old.health.Close()
		w.record("%s closes its health port", old.id)
	}
	// One user orders; the next half of them 3.07 s later, when the forwarders have been refused for 3 s
	// by their next probe; the others after a longer pause.
	var all sync.WaitGroup
	for i, f := range flows {
		pause := 4 * time.Second
		switch {
		case i > len(flows)/2:
			pause = 10 * time.Second
		case i > 0:
			pause += 3070 * time.Millisecond
		}
		all.Add(1)
		go func() {
			defer all.Done()
			time.Sleep(time.Until(begin.Add(pause)))
			id := fmt.Sprintf("second-%d", i)
			stamp, err := f.request(id, "POST", "/order", orderDeadline)
			if err == errEnded { // the user opens another flow
				if f, err = w.clients["laval"].dial(orderLine); err == nil {
					stamp, err = f.request(id, "POST", "/order", orderDeadline)
				}
			}
			w.record("%s: flow %s through %s: %s %v", id, f.local, f.lastVia.name, stamp, err)
			if err != nil {
				time.Sleep(orderDeadline)
				if w.hasRun(id) {
					w.record("%s has run and its user gets no answer", id)
				}
			}
		}()
	}
	all.Wait()
	return nil
}
