package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/monsoonthread/monsoonthread/internal/standin/metastore"
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
	const clients, flowsEach = 4, 10
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

// held returns the number of flows that a server holds.
func held(holders map[*clientFlow]*backend, server *backend) int {
	n := 0
	for _, b := range holders {
		if b == server {
			n++
		}
	}
	return n
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

// writeForeign writes, as another writer, an entry of a service that no configuration names under the key
// of a server. It names the address of other.
func (d *deployment) writeForeign(of, other *backend) {
	value, _ := json.Marshal(map[string]any{"service": other.service, "address": other.address.String(), "zone": other.domain, "version": "v1", "slots": 2, "state": "ready",
		"coldLeftMs": 0, "sequence": 1, "born": time.Now().UnixMilli()})
	d.store.Put(serverPrefix+of.id, value)
	d.log.printf("another writer: %s = %s", serverPrefix+of.id, value)
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
		d.writeForeign(leaving, other)
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
	requestOnEach(d, mine, "order", 600*time.Millisecond)
	breaches := append(d.misroutes(holders, time.Time{}, time.Now()), resets(holders)...)
	leaving.end(true)
	return breaches, nil
}

// longRequest is about the time of the longest requests of a small deployment: 140 to 180 ms, at a slow
// server.
const longRequest = 200 * time.Millisecond

const (
	outageTime   = 4500 * time.Millisecond
	lapseTime    = 3 * heartbeatInterval
	stableWindow = 4 * time.Second
	returnTime   = 2 * time.Second // in which the entries that lapsed in an outage are back
)

// playForeignLapse: the store is down for some seconds, and the servers' entries lapse meanwhile. When it is
// back, another writer writes an entry of an unnamed service under the free key of a server, before that
// server writes its own entry again.
func playForeignLapse(d *deployment, trouble bool) ([]string, error) {
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
	slices.SortFunc(d.backends, func(a, b *backend) int { return cmp.Compare(held(holders, a), held(holders, b)) }) // the named one is back last
	named = d.backends[len(d.backends)-1]
	other, err := startBackend(d.log, d.store, "i-00c0ffee", "reports", "zc", netip.AddrPortFrom(d.address(3, 200), serverPort)) // of a service that no configuration names
	if err != nil {
		return nil, err
	}
	defer func() { other.end(false) }()
	switch {
	case trouble:
		d.storeOutage(func() { d.writeForeign(named, other) })
	case os.Getenv("OUTAGE") == "1": // shows the outage alone
		d.storeOutage(func() {})
	}
	time.Sleep(stableWindow + time.Second)
	calm := time.Now()
	requestOnEach(d, all, "order", 0)
	d.backends = append(d.backends, other)
	return append(d.misroutes(holders, calm, time.Now()), resets(holders)...), nil
}

// storeOutage lets the store refuse all calls for some seconds. The servers' entries lapse meanwhile. All
// are back within two seconds of the store's return, each at its own time. whenBack is called
// before the last one.
func (d *deployment) storeOutage(whenBack func()) {
	d.log.printf("store: down")
	d.store.SetFault(metastore.Unavailable)
	for _, b := range d.backends {
		b.setCutOff(true)
	}
	time.Sleep(lapseTime)
	for _, b := range d.backends {
		d.store.Remove(serverPrefix + b.id)
	}
	d.log.printf("store: the servers' entries have lapsed")
	time.Sleep(outageTime - lapseTime)
	d.store.SetFault(metastore.NoFault)
	d.log.printf("store: back")
	last := len(d.backends) - 1
	for i, b := range d.backends {
		pause := returnTime / 2 / time.Duration(last)
		if i == last {
			whenBack()
			pause = returnTime / 3
		}
		time.Sleep(pause)
		b.setCutOff(false)
		b.write()
	}
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
