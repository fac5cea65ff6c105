package main

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// inForceTime is longer than a change needs to be in force everywhere.
const inForceTime = 4 * time.Second

// startSmall starts two failure domains with two instances each, and servers of two services.
func startSmall(d *deployment) error {
	if err := d.start(); err != nil {
		return err
	}
	d.accept([]route{{ordersAddr, "non_idempotent", "orders"}, {catalogueAddr, "download", "catalogue"}}, []string{"orders", "catalogue"}, defaultMaxFlows)
	for range 2 {
		for _, domain := range []string{"za", "zb"} {
			for _, service := range []string{"orders", "orders", "catalogue"} {
				if _, err := d.addBackend(service, domain); err != nil {
					return err
				}
			}
			if _, err := d.addInstance(domain, true); err != nil {
				return err
			}
		}
	}
	go d.runRouters()
	if err := d.waitReady(); err != nil {
		return err
	}
	time.Sleep(inForceTime) // the instances are in touch
	return nil
}

func (d *deployment) addClient(n int, domain string) (*client, error) {
	return startClient(d.log, netip.AddrPortFrom(d.address(4, 10+n), packetPort), d.routeWithin(domain))
}

// serverOf returns the server that holds a flow, nil if none does.
func (d *deployment) serverOf(f *clientFlow) *backend {
	for _, b := range d.backends {
		if b.holds(f) {
			return b
		}
	}
	return nil
}

// misroutes returns the flows of which three or more packets reached other servers and none their
// own for the time in the rule, within a span in which their servers lived and were in touch.
func (d *deployment) misroutes(holders map[*clientFlow]*backend, from, until time.Time) []string {
	var out []string
	for f, own := range holders {
		type arrival struct {
			at  time.Time
			own bool
		}
		var arrivals []arrival
		for _, b := range d.backends {
			b.mu.Lock()
			for _, p := range b.received {
				if p.client == f.local && p.at.After(from) && p.at.Before(until) {
					arrivals = append(arrivals, arrival{p.at, b == own})
				}
			}
			b.mu.Unlock()
		}
		slices.SortFunc(arrivals, func(a, b arrival) int { return a.at.Compare(b.at) })
		elsewhere, first := 0, time.Time{}
		for _, a := range arrivals {
			if a.own {
				elsewhere = 0
				continue
			}
			if elsewhere++; elsewhere == 1 {
				first = a.at
			}
			if elsewhere >= 3 && a.at.Sub(first) >= misrouteTime {
				out = append(out, fmt.Sprintf("FLOW: %d packets of %v reached other servers in %.1f s and none %s, which holds the flow", elsewhere, f.local, a.at.Sub(first).Seconds(), own.id))
				break
			}
		}
	}
	slices.Sort(out)
	return out
}

// openEach opens flows to the orders service at clients of both failure domains.
func openEach(d *deployment) ([]*clientFlow, error) {
	const clients, flowsEach = 4, 20
	var all []*clientFlow
	for n := range clients {
		c, err := d.addClient(n, []string{"za", "zb"}[n%2])
		if err != nil {
			return nil, err
		}
		for port := range flowsEach {
			f, err := c.open(uint16(1024+port), ordersAddr)
			if err != nil {
				d.log.printf("client %v cannot open a flow: %v", c.addr, err)
				continue
			}
			all = append(all, f)
		}
	}
	return all, nil
}

// holders returns the servers that hold the flows, and the one with the most of them.
func (d *deployment) holders(all []*clientFlow) (holders map[*clientFlow]*backend, busiest *backend, err error) {
	holders = make(map[*clientFlow]*backend)
	held := make(map[*backend]int)
	for _, f := range all {
		if b := d.serverOf(f); b != nil {
			holders[f] = b
			held[b]++
		}
	}
	for b, n := range held {
		if busiest == nil || n > held[busiest] {
			busiest = b
		}
	}
	if busiest == nil || held[busiest] < 4 {
		return nil, nil, fmt.Errorf("%w: no server has four flows", errNotRun)
	}
	d.log.printf("%s holds %d flows", busiest.id, held[busiest])
	return holders, busiest, nil
}

// resets returns the flows that were reset while the server that held them lived, and not by it.
func resets(holders map[*clientFlow]*backend) []string {
	var out []string
	for f, own := range holders {
		if f.resetBy != nil && !own.hasReset(f.local) {
			out = append(out, fmt.Sprintf("FLOW: %v was reset while %s held it: %v", f.local, own.id, f.resetBy))
		}
	}
	slices.Sort(out)
	return out
}

// foreignEntry returns an entry that names a server, as another writer would write it.
func foreignEntry(of *backend) map[string]any {
	return map[string]any{"service": of.service, "address": of.address.String(), "zone": of.domain, "version": "v1", "slots": 2, "state": "ready",
		"coldLeftMs": 0, "sequence": 1, "born": time.Now().UnixMilli()}
}

// writeForeign writes, as another writer, an entry under the key of a server.
func (d *deployment) writeForeign(under *backend, entry map[string]any) {
	value, _ := json.Marshal(entry)
	d.store.Put(serverPrefix+under.id, value)
	d.log.printf("another writer: %s = %s", serverPrefix+under.id, value)
}

// playForeignClaim: another writer writes an entry of an unnamed service under the key of a server. Later,
// that server leaves as planned while it holds open flows.
func playForeignClaim(d *deployment, trouble bool) ([]string, error) {
	if err := startSmall(d); err != nil {
		return nil, err
	}
	all, err := openEach(d)
	if err != nil {
		return nil, err
	}
	requestOnEach(d, all, "warm-up", 0)
	holders, leaving, err := d.holders(all)
	if err != nil {
		return nil, err
	}
	other, err := d.startBackend("reports", "zc") // of a service that no configuration names
	if err != nil {
		return nil, err
	}
	if trouble {
		d.writeForeign(leaving, foreignEntry(other))
	}
	time.Sleep(inForceTime)

	leaving.drain()
	time.Sleep(drainBound + 500*time.Millisecond)
	leaving.stopListening()
	leaving.mu.Lock()
	leaving.workTime = longRequest
	leaving.mu.Unlock()
	var mine []*clientFlow
	for f, b := range holders {
		if b == leaving {
			mine = append(mine, f)
		}
	}
	slices.SortFunc(mine, func(a, b *clientFlow) int { return a.local.Compare(b.local) })
	requestOnEach(d, mine, "order", 300*time.Millisecond)
	breaches := append(d.misroutes(holders, time.Time{}, time.Now()), resets(holders)...)
	leaving.end(true)
	return breaches, nil
}

// longRequest is about the time of the longest requests of a small deployment: 140 to 180 ms, at a slow
// server.
const longRequest = 200 * time.Millisecond

const (
	stableWindow = 4 * time.Second
	// The other writer's entries follow a heartbeat of the server after firstEntryAfter and
	// secondEntryAfter, both before its next one.
	firstEntryAfter  = 100 * time.Millisecond
	secondEntryAfter = 600 * time.Millisecond
)

// playForeignPair: another writer writes an entry that lacks a field under the key of a server, and half a
// second later one of an unnamed service with all fields.
func playForeignPair(d *deployment, trouble bool) ([]string, error) {
	if err := startSmall(d); err != nil {
		return nil, err
	}
	all, err := openEach(d)
	if err != nil {
		return nil, err
	}
	requestOnEach(d, all, "warm-up", 0)
	holders, named, err := d.holders(all)
	if err != nil {
		return nil, err
	}
	other, err := d.startBackend("reports", "zc") // of a service that no configuration names
	if err != nil {
		return nil, err
	}
	named.awaitHeartbeat()
	beat := named.lastHeartbeat()
	if trouble {
		time.Sleep(time.Until(beat.Add(firstEntryAfter)))
		entry := foreignEntry(other)
		delete(entry, "version")
		d.writeForeign(named, entry)
		time.Sleep(time.Until(beat.Add(secondEntryAfter)))
		d.writeForeign(named, foreignEntry(other))
	}
	time.Sleep(stableWindow + 2*time.Second)
	calm := time.Now()
	requestOnEach(d, all, "order", 0)
	return append(d.misroutes(holders, calm, time.Now()), resets(holders)...), nil
}

// requestOnEach sends a request on each flow, each a time after the one before, and waits for all
// answers.
func requestOnEach(d *deployment, all []*clientFlow, text string, apart time.Duration) {
	var wg sync.WaitGroup
	for i, f := range all {
		wg.Add(1)
		go func() {
			defer wg.Done()
			_, _ = f.request(fmt.Sprintf("%s %d", text, i), 5*time.Second) // the record has the outcome
		}()
		time.Sleep(apart)
	}
	wg.Wait()
}

// playForeignFields: another writer writes an entry whose fields are spelled otherwise than on the pages.
func playForeignFields(d *deployment, trouble bool) ([]string, error) {
	if err := startSmall(d); err != nil {
		return nil, err
	}
	other, err := d.startBackend("reports", "za")
	if err != nil {
		return nil, err
	}
	if trouble {
		value, _ := json.Marshal(map[string]any{"Service": "orders", "Address": other.address.String(), "Zone": "za", "Version": "v1", "Slots": 2, "State": "ready",
			"ColdLeftMs": 0, "Sequence": 1, "Born": time.Now().UnixMilli()})
		d.store.Put(serverPrefix+other.id, value)
		d.log.printf("another writer: %s = %s", serverPrefix+other.id, value)
	}
	time.Sleep(inForceTime)
	c, err := d.addClient(0, "za")
	if err != nil {
		return nil, err
	}
	for n := range 100 {
		f, err := c.open(uint16(1024+n), ordersAddr)
		if err != nil {
			d.log.printf("client %v cannot open a flow: %v", c.addr, err)
			continue
		}
		_, _ = f.request(fmt.Sprintf("order %d", n), 2*time.Second)
		_ = f.finish()
		time.Sleep(20 * time.Millisecond)
	}
	return d.wrongServices(), nil
}

// wrongServices returns the requests that ran at a service to which no configuration lets them go.
func (d *deployment) wrongServices() []string {
	allowed := map[netip.AddrPort]string{ordersAddr: "orders", catalogueAddr: "catalogue"}
	var out []string
	for _, b := range d.backends {
		b.mu.Lock()
		for _, r := range b.ran {
			if allowed[r.service] != b.service {
				out = append(out, fmt.Sprintf("ROUTE: %q to %v ran at %s of service %s", r.text, r.service, b.id, b.service))
			}
		}
		b.mu.Unlock()
	}
	return out
}
