package main

import (
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/monsoonthread/monsoonthread/internal/standin/flows"
)

const (
	configApply = 3 * time.Second
	drainBound  = 3 * time.Second
	history     = 20 * time.Second // that the store keeps (historyS)
	stormLength = 2 * time.Second
	stormGap    = 80 * time.Millisecond
	valueBytes  = 1 << 20 // largest value of the store
	// bigRoutes is the number of routes of the large configuration: one for each address of the target
	// that the brief states.
	bigRoutes = 2800
)

// bigConfiguration returns routes that see no traffic, as a large configuration has.
func bigConfiguration() []map[string]any {
	var out []map[string]any
	for i := range bigRoutes {
		out = append(out, map[string]any{"name": fmt.Sprintf("catalogue-of-garden-centre-%05d", i), "host": fmt.Sprintf("127.0.%d.%d", 100+i/250, 1+i%250),
			"prefix": "/8443/", "service": "orders", "kind": "idempotent", "timeoutMs": 2500, "targetLatencyMs": 150, "priority": 1, "trafficSplit": []any{}, "maxAttempts": 2})
	}
	return out
}

func addedRoute(version int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("127.0.18.9"), uint16(10000+version))
}

// acceptVersion accepts a version that has the large configuration's routes and one of its own.
func (d *deployment) acceptVersion(version int, big []map[string]any) error {
	a := addedRoute(version)
	route := map[string]any{"name": fmt.Sprint("added-", version), "host": a.Addr().String(), "prefix": fmt.Sprintf("/%d/", a.Port()), "service": "orders",
		"kind": "idempotent", "timeoutMs": 2500, "targetLatencyMs": 150, "priority": 1}
	return d.accept(version, append([]map[string]any{route}, big...))
}

// storm accepts a large configuration, later 26 versions of it within two seconds. With trouble, the
// connections that are open when they begin go silent. Flows to the route of the last version are then
// sent to each instance that is ready, and a host leaves.
func storm(d *deployment, trouble bool) error {
	big := bigConfiguration()
	version := 10
	if err := d.acceptVersion(version, big); err != nil {
		return err
	}
	if n := len(d.store.Value("op/config")); n > valueBytes {
		return fmt.Errorf("the configuration has %d bytes", n)
	}
	d.rec.say("a configuration of %d routes (%d bytes) is acknowledged", bigRoutes+2, len(d.store.Value("op/config")))
	time.Sleep(history) // the store forgets what came before
	d.store.DropHistory()
	time.Sleep(5 * time.Second)
	began := time.Now()
	if trouble {
		n := 0
		for _, in := range d.instances {
			n += in.proxy.silence()
		}
		d.rec.say("%d open connections to the store go silent; new ones work", n)
	}
	for next := began; time.Since(began) < stormLength; next = next.Add(stormGap) {
		time.Sleep(time.Until(next))
		version++
		if err := d.acceptVersion(version, big); err != nil {
			return err
		}
	}
	acknowledged := time.Now()
	d.rec.say("version %d is acknowledged %.2f s after the first", version, time.Since(began).Seconds())
	var leaving *host
	var mu sync.Mutex
	refused := make(map[string]int)
	var last time.Duration
	for time.Since(began) < history+stormLength {
		time.Sleep(500 * time.Millisecond)
		if time.Since(acknowledged) < configApply+100*time.Millisecond || time.Since(began) < stableWindow+100*time.Millisecond {
			continue
		}
		if leaving == nil {
			leaving = d.hosts[0]
			d.drain(leaving)
		}
		var all sync.WaitGroup
		for _, in := range d.instances {
			if !in.ready() {
				continue
			}
			all.Go(func() {
				answer := d.probe(in, addedRoute(version))
				d.rec.add("a flow to the route of version %d through %s: %s", version, in.name, answer)
				if answer != "reset by the system" {
					return
				}
				mu.Lock()
				defer mu.Unlock()
				refused[in.name]++
				last = time.Since(acknowledged)
				d.rec.add("CONFIG broken: %s refuses the route of version %d, %.1f s after the acknowledgement", in.name, version, last.Seconds())
			})
		}
		all.Wait()
	}
	d.store.DropHistory()
	n := 0
	for _, v := range refused {
		n += v
	}
	d.rec.say("CONFIG: %d flows to the route of the last version were refused by %d instances, the last %.1f s after its acknowledgement", n, len(refused), last.Seconds())
	d.configBroken = n
	late := leaving.openedAfter(drainBound)
	d.rec.say("DRAIN: %d flows were opened at host %s later than %v after its report to drain was acknowledged", late, leaving.id, drainBound)
	d.drainBroken = late
	return nil
}

func (in *instance) ready() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.inTurn
}

// probe opens a flow to a service address through an instance and reports what comes back.
func (d *deployment) probe(in *instance, service netip.AddrPort) string {
	c := d.prober
	c.mu.Lock()
	c.nextPort++
	f := &flow{client: c, local: netip.AddrPortFrom(c.ip, c.nextPort), service: service, received: make(chan flows.Packet, 8), sequence: 1}
	c.flows[c.nextPort] = f
	c.mu.Unlock()
	defer f.forget()
	p := flows.Packet{Flags: flagSYN, Sequence: f.sequence, Source: f.local, Destination: service}
	c.conn.WriteToUDPAddrPort(p.Marshal(), in.datagramAddress())
	select {
	case got := <-f.received:
		if err := f.take(got, false); err != nil {
			return strings.TrimSpace(err.Error())
		}
		return "accepted by a host"
	case <-time.After(openTimeout):
		return "no answer"
	}
}
