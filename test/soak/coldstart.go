package soak

import (
	"context"
	"sync"
	"time"
)

// coldRule tells which instances the limit of a cold server holds for.
type coldRule int

const (
	// unannounced: the process started before the traffic, or instances cannot know of the start yet, because the process before it ended
	// shortly before and had the same ID.
	unannounced coldRule = iota
	// forSettled: the record of the process before it was removed early enough for settled instances
	// to know that the server was down.
	forSettled
	// forAll: no process had the ID before, so that instances know the server by the record that
	// says that it is cold.
	forAll
)

// recordLapse is the time after which the store removes the record of a server that has ended.
const recordLapse = 2 * time.Second

// compareWithEarlier sets what instances can know of a process that starts now: for how long it is
// cold, and whether its record names another failure domain than that of the process before. The
// caller holds d.mu.
func (d *deployment) compareWithEarlier(s *server) {
	cold := d.uses.coldStart && d.traffic
	if cold {
		s.SetCold(coldTime)
		s.cold = forAll
	}
	for _, other := range d.servers {
		if other.ID != s.ID {
			continue
		}
		if other.Domain != s.Domain {
			s.movedAt = time.Now()
		}
		if !cold {
			continue
		}
		s.cold = unannounced
		other.mu.Lock()
		if !other.stoppedAt.IsZero() && time.Since(other.stoppedAt) > recordLapse+maxPropagationDelay {
			s.cold = forSettled
		}
		other.mu.Unlock()
	}
}

// checkColdStart checks that a cold server gets at most coldLimit opening packets within any
// second, summed over the instances that the limit can be held for. A server is also cold after
// the end of an evacuation of its domain, for the instances that had applied it.
func (d *deployment) checkColdStart(s *server, in *instance) {
	if !d.uses.coldStart {
		return
	}
	now := time.Now()
	settled := in.settled()
	in.mu.Lock()
	cmd := in.cmd
	in.mu.Unlock()
	d.mu.Lock()
	e := d.evacuations[s.Domain]
	returned := e != nil && !e.active() && now.Sub(e.endedAt) < coldTime && e.appliedBy[in] == cmd
	d.mu.Unlock()

	started, n := s.countColdOpening(now, settled, returned)
	if n != coldLimit+1 {
		return // within the limit, or recorded already
	}
	why := "its start"
	if !started {
		why = "the end of the evacuation of " + s.Domain
	}
	d.recordViolation("cold server %s received %d opening packets within a second, limit %d, after %s; it runs for %v; the last packet is from %s",
		s.ID, n, coldLimit, why, now.Sub(s.StartedAt()).Round(time.Millisecond), in.name)
}

// countColdOpening counts an opening packet if the server is cold for the instance that sent it. It returns
// whether the server is cold because it has started, and the number of the last second.
func (s *server) countColdOpening(now time.Time, settled, returned bool) (started bool, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	started = now.Sub(s.StartedAt()) < coldTime && (s.cold == forAll || s.cold == forSettled && settled)
	if !started && !returned {
		return started, 0
	}
	for len(s.coldOpenings) > 0 && now.Sub(s.coldOpenings[0]) >= time.Second {
		s.coldOpenings = s.coldOpenings[1:]
	}
	s.coldOpenings = append(s.coldOpenings, now)
	return started, len(s.coldOpenings)
}

// restartDomain stops all servers of a failure domain. They come back together under their IDs, long
// enough after their records have gone for instances to know that they were down. Some records
// come up to 1.5 s after the process. It does nothing if a service would have no server left.
func (d *deployment) restartDomain(domain int) {
	d.mu.Lock()
	var stopping []*server
	outside := make(map[string]bool)
	for _, s := range d.servers {
		s.mu.Lock()
		if usable := s.stoppedAt.IsZero() && s.drainedAt.IsZero(); usable && s.Domain == domainName(domain) {
			stopping = append(stopping, s)
		} else if usable {
			outside[s.Service] = true
		}
		s.mu.Unlock()
	}
	d.mu.Unlock()
	if !outside["orders"] || !outside["catalogue"] {
		return
	}
	down := recordLapse + maxPropagationDelay + 100*time.Millisecond + d.randomDuration(500)
	for _, s := range stopping {
		s.stop()
		d.lapse(s.key(), recordLapse)
		late := max(0, d.randomDuration(3000)-1500*time.Millisecond)
		time.AfterFunc(down, func() { d.startServer(s.ID, s.Service, s.Domain, s.Address(), late) })
	}
	time.AfterFunc(down-100*time.Millisecond, d.reconnectSoon)
}

// moveRandomServer evacuates a domain and restarts a server there, under its ID.
func (d *deployment) moveRandomServer(domain int) {
	d.evacuateForAWhile(domainName(domain))
	s := d.pickServer()
	if s == nil || s.Domain == domainName(domain) {
		return
	}
	s.stop()
	time.AfterFunc(d.randomDuration(700), func() { d.startServer(s.ID, s.Service, domainName(domain), s.Address(), 0) })
}

// reconnectSoon opens many flows at once in the background, through random instances.
func (d *deployment) reconnectSoon() {
	const count, spacing = 120, 10 * time.Millisecond
	go d.openMany(count, spacing, d.instanceForFlow)
}

// openMany opens flows to "orders" one after the other, keeps them until all have been answered, and
// closes them.
func (d *deployment) openMany(count int, spacing time.Duration, through func(n int) *instance) {
	var opening sync.WaitGroup
	for n := range count {
		in := through(n)
		if in == nil {
			continue
		}
		opening.Go(func() {
			f, err := d.reconnecting.Open(ordersAddr, in.datagramAddr(), 1400*time.Millisecond)
			if err != nil {
				return
			}
			defer f.Close(in.datagramAddr())
			time.Sleep(time.Duration(count-n)*spacing + 500*time.Millisecond)
		})
		time.Sleep(spacing)
	}
	opening.Wait()
}

// reconnect opens flows through the instances of one failure domain, as clients do that have lost the
// others: 60% of what the servers may hold.
func (d *deployment) reconnect() {
	count := len(d.eligibleServers("orders")) * maxConnections * 6 / 10
	d.openMany(count, time.Second/time.Duration(max(count, 1)), func(n int) *instance { return d.instances[domainCount*(n%d.options.InstancesPerDomain)] })
}

// eligibleServers returns the servers of a service that have been able to get new flows for settleTime.
func (d *deployment) eligibleServers(service string) []*server {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []*server
	for _, s := range d.servers {
		e := d.evacuations[s.Domain]
		s.mu.Lock()
		if s.Service == service && s.stoppedAt.IsZero() && s.drainedAt.IsZero() && time.Since(s.StartedAt()) > settleTime &&
			(e == nil || !e.active() && time.Since(e.endedAt) > settleTime) {
			out = append(out, s)
		}
		s.mu.Unlock()
	}
	return out
}

// watchConnections checks that no server holds more open flows than maxConnections while another
// server of its service has room, and while all instances are settled and hear each other.
func (d *deployment) watchConnections(ctx context.Context) {
	recorded := make(map[*server]bool)
	for ; d.uses.connections && ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
		if !d.allInTouch() {
			continue
		}
		for _, service := range []string{"orders", "catalogue"} {
			servers := d.eligibleServers(service)
			counts := make([]int, len(servers))
			least := maxConnections
			for i, s := range servers {
				counts[i] = s.OpenFlows(idleTimeout)
				least = min(least, counts[i])
			}
			for i, s := range servers {
				if counts[i] > maxConnections && least < maxConnections*3/4 && !recorded[s] {
					recorded[s] = true
					d.recordViolation("server %s holds %d open flows, limit %d, while another server of %s holds %d", s.ID, counts[i], maxConnections, service, least)
				}
			}
		}
	}
}

// allInTouch reports whether all instances are settled and have heard each other for settleTime.
func (d *deployment) allInTouch() bool {
	d.mu.Lock()
	peersHeard := time.Since(d.peerFaultsEnd) > settleTime
	d.mu.Unlock()
	for _, in := range d.instances {
		if !in.settled() {
			return false
		}
	}
	return peersHeard
}

// markPeerFault records a fault between instances that ends within a duration.
func (d *deployment) markPeerFault(duration time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if end := time.Now().Add(duration); end.After(d.peerFaultsEnd) {
		d.peerFaultsEnd = end
	}
}
