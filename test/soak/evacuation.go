package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"syscall"
	"time"

	"github.com/monsoonthread/monsoonthread/internal/standin/flows"
	"github.com/monsoonthread/monsoonthread/platform/wire"
)

// evacuationStream is the stream of the random numbers for evacuations. They have their own, so that a
// seed draws the same faults as before there were evacuations.
const evacuationStream = 1 << 32

// evacuate writes the record that evacuates a failure domain.
func (d *deployment) evacuate(domain string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.store.Put(wire.EvacuationPrefix+domain, []byte("{}"))
	d.evacuated[domain] = time.Now()
}

// endEvacuation removes the record of a failure domain.
func (d *deployment) endEvacuation(domain string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.store.Remove(wire.EvacuationPrefix + domain)
	delete(d.evacuated, domain)
}

// writeEvacuationsAgain makes the store's evacuation records those of the operator. The caller must
// hold mu.
func (d *deployment) writeEvacuationsAgain() {
	for n := range domainCount {
		domain := fmt.Sprint("d", n)
		_, evacuated := d.evacuated[domain]
		switch listed := d.store.Value(wire.EvacuationPrefix+domain) != nil; {
		case evacuated && !listed:
			d.store.Put(wire.EvacuationPrefix+domain, []byte("{}"))
		case !evacuated && listed:
			d.store.Remove(wire.EvacuationPrefix + domain)
		}
	}
}

// runEvacuations evacuates one random failure domain after the other until the context is cancelled.
func (d *deployment) runEvacuations(ctx context.Context) {
	rng := rand.New(rand.NewPCG(d.options.Seed, evacuationStream))
	for {
		domain := fmt.Sprint("d", rng.IntN(domainCount))
		for _, change := range []func(string){d.evacuate, d.endEvacuation} {
			change(domain)
			select {
			case <-ctx.Done():
				d.endEvacuation(domain)
				return
			case <-time.After(time.Duration(rng.IntN(6000)) * time.Millisecond):
			}
		}
	}
}

// checkNotEvacuated checks that a server receives no new flow later than maxPropagationDelay after the
// evacuation of its failure domain.
func (d *deployment) checkNotEvacuated(s *server, via netip.Addr) {
	d.mu.Lock()
	at, evacuated := d.evacuated[s.Domain]
	everyInstance := d.evacuationKnown
	d.mu.Unlock()
	if !evacuated || time.Since(at) <= maxPropagationDelay {
		return
	}
	for _, in := range d.instances {
		if in.ip == via && (everyInstance || in.settled()) {
			d.recordViolation("server %s received a new flow from %s %v after the evacuation of %s", s.ID, in.name, time.Since(at), s.Domain)
		}
	}
}

// checkEvacuation evacuates a failure domain while no other faults are active, kills an instance in
// each domain, whose new processes must not open flows there either, and checks that the domain gets
// new flows again after the end. It opens flows of its own, as the other clients keep theirs for long.
func (d *deployment) checkEvacuation() error {
	c, err := flows.StartClient(netip.AddrPortFrom(d.nthAddr(firstClientAddr, d.options.Clients), d.ports[0]))
	if err != nil {
		return err
	}
	defer c.Stop()
	time.Sleep(settleTime + settleTime/2)
	domain, _ := d.openedIn("")
	d.evacuate(domain)
	time.Sleep(maxPropagationDelay)
	d.setEvacuationKnown(true)
	for n := range domainCount {
		if d.options.InstancesPerDomain > 1 {
			d.instances[n].signal(syscall.SIGKILL)
		}
	}
	for end := time.Now().Add(maxPropagationDelay); time.Now().Before(end); {
		d.openThroughAll(c)
	}
	d.setEvacuationKnown(false)
	d.endEvacuation(domain)
	_, before := d.openedIn(domain)
	time.Sleep(maxPropagationDelay)
	d.openThroughAll(c)
	if _, after := d.openedIn(domain); after == before {
		d.recordViolation("%s got no new flow within %v after its evacuation", domain, maxPropagationDelay)
	}
	return nil
}

// openThroughAll opens flows through each instance that the routers use.
func (d *deployment) openThroughAll(c *flows.Client) {
	for _, in := range d.instances {
		in.mu.Lock()
		usable := !in.stopping && time.Since(in.lastFault) > time.Second
		in.mu.Unlock()
		for range 10 {
			if !usable {
				break
			}
			if f, err := c.Open(ordersAddr, in.datagramAddr(), time.Second); err == nil {
				f.Close(in.datagramAddr())
			}
		}
	}
	time.Sleep(50 * time.Millisecond)
}

// setEvacuationKnown sets whether every instance must know the evacuations in force, also one that has
// just started.
func (d *deployment) setEvacuationKnown(known bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.evacuationKnown = known
}

// openedIn returns the number of flows that the living servers of orders in a failure domain have got;
// with an empty name, of a domain that has such servers.
func (d *deployment) openedIn(domain string) (string, int) {
	d.mu.Lock()
	servers := d.servers
	d.mu.Unlock()
	n := 0
	for _, s := range servers {
		s.mu.Lock()
		usable := s.drainedAt.IsZero() && s.stoppedAt.IsZero() && s.Service == "orders"
		s.mu.Unlock()
		if domain == "" && usable {
			domain = s.Domain
		}
		if usable && s.Domain == domain {
			n += s.Counters().Opened
		}
	}
	return domain, n
}
