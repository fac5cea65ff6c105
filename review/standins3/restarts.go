package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// portBlock is the number of ports that a client uses in turn, like one behind an address translator.
const portBlock = 8

// playReusedPort: clients end their flows and use the ports again, while an instance of each failure
// domain is restarted some times.
func playReusedPort(d *deployment, trouble bool) ([]string, error) {
	if err := startSmall(d); err != nil {
		return nil, err
	}
	const clients, length = 60, 40 * time.Second
	var mu sync.Mutex
	var breaches []string
	var wg sync.WaitGroup
	end := time.Now().Add(length)
	for n := range clients {
		c, err := d.addClient(n, []string{"za", "zb"}[n%2])
		if err != nil {
			return nil, err
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := 0; time.Now().Before(end); i++ {
				if b := d.session(c, uint16(1024+i%portBlock), i); b != "" {
					mu.Lock()
					breaches = append(breaches, b)
					mu.Unlock()
				}
			}
		}()
	}
	if trouble {
		for range 3 {
			for _, in := range d.instances[2:] { // one in each failure domain
				in.restart()
				time.Sleep(1300 * time.Millisecond)
			}
			time.Sleep(3 * time.Second)
		}
	}
	wg.Wait()
	return breaches, nil
}

// session opens a flow, sends some requests with pauses and ends the flow. It returns the breach of the
// rule that it has seen, "" without one.
func (d *deployment) session(c *client, port uint16, number int) string {
	f, err := c.open(port, ordersAddr)
	if err != nil {
		d.log.printf("client %v:%d cannot open a flow: %v", c.addr, port, err)
		time.Sleep(100 * time.Millisecond)
		return ""
	}
	own := d.serverOf(f)
	for i := range 2 {
		_, err := f.request(fmt.Sprintf("order %d.%d", number, i), 2500*time.Millisecond)
		if errors.Is(err, errResetByServer) || errors.Is(err, errResetBySystem) {
			if own != nil && own.holds(f) && !own.hasReset(f.local) {
				return fmt.Sprintf("FLOW: %v is reset, but not by %s, which lives and holds it: %v", f.local, own.id, err)
			}
			return ""
		}
		if err != nil {
			break
		}
		time.Sleep(200*time.Millisecond + rand.N(400*time.Millisecond))
	}
	_ = f.finish() // the server forgets an idle flow by itself
	return ""
}

// fullTime is how long the server of the old service is full: until after the first copy of an opening
// packet, and before the second one.
const fullTime = 400 * time.Millisecond

// playOldService: a server of the old service is full for a moment, and so leaves opening packets without
// an answer, while a new version gives their route to another service.
func playOldService(d *deployment, trouble bool) ([]string, error) {
	if err := d.start(); err != nil {
		return nil, err
	}
	const held = 30
	services := []string{"orders", "orders-next"}
	d.accept([]route{{ordersAddr, "non_idempotent", "orders"}}, services, held)
	before, err := d.addBackend("orders", "za")
	if err != nil {
		return nil, err
	}
	before.mu.Lock()
	before.maxFlows = held
	before.mu.Unlock()
	after, err := d.addBackend("orders-next", "za")
	if err != nil {
		return nil, err
	}
	if _, err := d.addInstance("za", true); err != nil {
		return nil, err
	}
	go d.runRouters()
	if err := d.waitReady(); err != nil {
		return nil, err
	}
	time.Sleep(inForceTime)
	holder, err := d.addClient(0, "za")
	if err != nil {
		return nil, err
	}
	var idle []*clientFlow
	for n := range held {
		f, err := holder.open(uint16(1024+n), ordersAddr)
		if err != nil {
			return nil, fmt.Errorf("%w: open a flow: %w", errNotRun, err)
		}
		idle = append(idle, f)
	}
	d.log.printf("%s of orders is full", before.id)

	const clients = 10
	var wg sync.WaitGroup
	start := time.Now()
	for n := range clients {
		c, err := d.addClient(1+n, "za")
		if err != nil {
			return nil, err
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			f, err := c.open(1024, ordersAddr)
			if err != nil {
				d.log.printf("client %v cannot open a flow: %v", c.addr, err)
				return
			}
			_, _ = f.request(fmt.Sprintf("order %d", n), 2*time.Second) // the record has the outcome
		}()
	}
	time.Sleep(20 * time.Millisecond)
	if trouble {
		d.accept([]route{{ordersAddr, "non_idempotent", "orders-next"}}, services, held)
	}
	time.Sleep(20 * time.Millisecond)
	witness, err := d.addClient(1+clients, "za")
	if err != nil {
		return nil, err
	}
	if f, err := witness.open(1024, ordersAddr); err == nil {
		_, _ = f.request("witness", 300*time.Millisecond)
	}
	time.Sleep(time.Until(start.Add(fullTime)))
	for _, f := range idle[:20] {
		_ = f.finish()
	}
	wg.Wait()
	return staleOpenings(before, after), nil
}

// staleOpenings returns the flows that the server of the old service opened by a packet that was sent
// later than the slack after the server of the new service had seen the effect of the new version. The
// way to the server takes less than the margin.
func staleOpenings(before, after *backend) []string {
	const margin = 20 * time.Millisecond
	after.mu.Lock()
	defer after.mu.Unlock()
	if len(after.openings) == 0 {
		return nil
	}
	effect := after.openings[0].at
	var out []string
	before.mu.Lock()
	defer before.mu.Unlock()
	for _, o := range before.openings {
		if late := o.at.Add(-margin).Sub(effect); late > rollbackSlack {
			out = append(out, fmt.Sprintf("CONFIG: opening packet %d of %v went to %s of the old service %.0f ms after %s of the new service had seen the new version", o.copy, o.client, before.id, late.Seconds()*1000, after.id))
		}
	}
	return out
}
