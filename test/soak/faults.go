package soak

import (
	"bytes"
	"syscall"
	"time"

	"github.com/monsoonthread/monsoonthread/internal/standin/metastore"
	"github.com/monsoonthread/monsoonthread/platform/wire"
)

// fault is a kind of fault or change that the run injects.
type fault struct {
	name   string
	inject func(*deployment, *instance)
}

// faults lists the injected faults, each drawn with equal probability. "kill" is listed
// twice, so it is drawn twice as often. The instance passed to inject is chosen at random.
var faults = []fault{
	{"kill", func(_ *deployment, in *instance) { in.signal(syscall.SIGKILL) }},
	{"kill", func(_ *deployment, in *instance) { in.signal(syscall.SIGKILL) }},
	{"stop", func(_ *deployment, in *instance) { in.signal(syscall.SIGTERM) }},
	{"reload", func(_ *deployment, in *instance) { in.signal(syscall.SIGHUP) }},
	{"pause", func(d *deployment, in *instance) {
		in.signal(syscall.SIGSTOP)
		d.endFault("pause "+in.name, d.randomDuration(2500), func() { in.signal(syscall.SIGCONT) })
	}},
	{"store fault", func(d *deployment, _ *instance) {
		d.setStoreFault(metastore.Fault(1+d.rng.IntN(4)), d.randomDuration(2500))
	}},
	{"store silent for one", func(d *deployment, in *instance) {
		in.storeLink.stalled.Store(true)
		in.markFault()
		d.endFault("store link "+in.name, d.randomDuration(3000), func() { in.storeLink.stalled.Store(false); in.markFault() })
	}},
	{"store connections reset", func(_ *deployment, in *instance) { in.markFault(); in.storeLink.reset() }},
	{"store restored", func(d *deployment, _ *instance) { d.restoreStore() }},
	{"history dropped", func(d *deployment, _ *instance) { d.store.DropHistory() }},
	{"configuration", func(d *deployment, _ *instance) { d.acceptNextVersion() }},
	{"server drained", func(d *deployment, _ *instance) { d.drainRandomServer() }},
	{"server crashed", func(d *deployment, _ *instance) { d.crashRandomServer() }},
	{"server restarted", func(d *deployment, _ *instance) { d.restartRandomServer() }},
	{"late writes", func(d *deployment, _ *instance) { d.writeLate() }},
	{"late writes", func(d *deployment, _ *instance) { d.writeLate() }},
	{"entry of another writer", func(d *deployment, _ *instance) { d.writeForeignEntry() }},
	{"malformed entry", func(d *deployment, _ *instance) { d.writeMalformedEntry() }},
	{"peers not heard", func(d *deployment, in *instance) {
		in.peerLink.stalled.Store(true)
		d.markPeerFault(4 * time.Second)
		d.endFault("peer link stalled "+in.name, d.randomDuration(4000), func() { in.peerLink.stalled.Store(false) })
	}},
	{"not heard by peers", func(d *deployment, in *instance) { d.dropPeerDatagrams(in, func(*instance) bool { return true }) }},
	{"not heard in its domain", func(d *deployment, in *instance) {
		d.dropPeerDatagrams(in, func(other *instance) bool { return other.domain() == in.domain() })
	}},
	{"domain cut off", func(d *deployment, in *instance) {
		for _, member := range d.instances {
			if member.domain() == in.domain() {
				d.dropPeerDatagrams(member, otherDomains(in))
			}
		}
	}},
	{"peer link slow", func(d *deployment, in *instance) {
		in.peerLink.delay.Store(int64(d.randomDuration(400)))
		d.markPeerFault(4 * time.Second)
		d.endFault("peer link slow "+in.name, d.randomDuration(4000), func() { in.peerLink.delay.Store(0) })
	}},
	{"peer connections reset", func(d *deployment, in *instance) { d.markPeerFault(0); in.peerLink.reset() }},
}

// injectFault injects a random fault, passing it a random instance.
func (d *deployment) injectFault() {
	in := d.instances[d.rng.IntN(len(d.instances))]
	kinds := d.uses.faults()
	f := kinds[d.rng.IntN(len(kinds))]
	d.mu.Lock()
	d.faultCounts[f.name]++
	d.mu.Unlock()
	f.inject(d, in)
}

// randomDuration returns a random duration below ms milliseconds.
func (d *deployment) randomDuration(ms int) time.Duration {
	return time.Duration(d.rng.IntN(ms)) * time.Millisecond
}

// dropPeerDatagrams drops the datagrams from an instance to the selected listeners for a
// random duration.
func (d *deployment) dropPeerDatagrams(in *instance, listeners func(*instance) bool) {
	d.setPeerDatagramsDropped(in, listeners, true)
	d.markPeerFault(4 * time.Second)
	time.AfterFunc(d.randomDuration(4000), func() { d.setPeerDatagramsDropped(in, listeners, false) })
}

// endFault ends a fault after a duration. Of several faults with one key, the one that lasts
// longest decides: the end of an earlier fault must not end a later one.
func (d *deployment) endFault(key string, duration time.Duration, end func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	endsAt := time.Now().Add(duration)
	if d.faultEnds == nil {
		d.faultEnds = make(map[string]time.Time)
	}
	if d.faultEnds[key].After(endsAt) {
		return
	}
	d.faultEnds[key] = endsAt
	time.AfterFunc(duration, func() {
		d.mu.Lock()
		current := d.faultEnds[key].Equal(endsAt)
		d.mu.Unlock()
		if current {
			end()
		}
	})
}

// setPeerDatagramsDropped starts or stops dropping the datagrams from an instance to the
// selected listeners.
func (d *deployment) setPeerDatagramsDropped(in *instance, listeners func(*instance) bool, drop bool) {
	for _, other := range d.instances {
		if other != in && listeners(other) {
			other.peerLink.setSenderDropped(in.ip, drop)
		}
	}
}

// otherDomains returns a filter for the instances outside the failure domain of in.
func otherDomains(in *instance) func(*instance) bool {
	return func(other *instance) bool { return other.domain() != in.domain() }
}

func (d *deployment) setStoreFault(f metastore.Fault, duration time.Duration) {
	apply := func(f metastore.Fault) {
		d.mu.Lock()
		d.lastStoreFault = time.Now()
		d.mu.Unlock()
		d.store.SetFault(f)
	}
	apply(f)
	d.endFault("store", duration, func() { apply(metastore.NoFault) })
}

// restoreStore brings the store back from a copy that is some seconds old, after a short outage. The
// operator and the servers then write again what was lost, and the records of servers that have
// ended lapse.
func (d *deployment) restoreStore() {
	older := d.store.Copy()
	outage, writeAgain := d.randomDuration(1500), d.randomDuration(2000)
	time.AfterFunc(d.randomDuration(4000), func() {
		d.mu.Lock()
		over := d.faultsOver
		d.writesLost = d.writesLost || !over
		d.mu.Unlock()
		if over {
			return
		}
		d.setStoreFault(metastore.Unavailable, outage)
		d.store.Restore(older)
		time.AfterFunc(outage+writeAgain, d.writeAgain)
	})
}

// writeAgain writes what the store lost, unless that has been done since the last restore.
func (d *deployment) writeAgain() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.writesLost {
		return
	}
	d.writesLost, d.lastStoreFault = false, time.Now()
	if !bytes.Equal(d.store.Value(wire.ConfigurationKey), d.configuration) {
		d.store.Put(wire.ConfigurationKey, d.configuration)
	}
	d.writeEvacuationsAgain()
	for _, s := range d.servers {
		s.mu.Lock()
		stopped := !s.stoppedAt.IsZero()
		s.mu.Unlock()
		if stopped {
			d.lapse(s.key(), 2*time.Second)
		}
	}
}

// pickServer chooses a random server that is neither draining nor stopped. It returns nil
// if the chosen server is the only one left of its service.
func (d *deployment) pickServer() *server {
	d.mu.Lock()
	defer d.mu.Unlock()
	var usable []*server
	count := make(map[string]int)
	for _, s := range d.servers {
		s.mu.Lock()
		if s.drainedAt.IsZero() && s.stoppedAt.IsZero() {
			usable = append(usable, s)
			count[s.Service]++
		}
		s.mu.Unlock()
	}
	if len(usable) == 0 {
		return nil
	}
	s := usable[d.rng.IntN(len(usable))]
	if count[s.Service] < 2 {
		return nil
	}
	return s
}

// drainRandomServer replaces a server: it adds the new server, then marks the old one as
// draining and stops it later.
func (d *deployment) drainRandomServer() {
	s := d.pickServer()
	if s == nil {
		return
	}
	d.addServer(s.Service, d.rng.IntN(domainCount))
	s.mu.Lock()
	s.drainedAt = time.Now()
	s.mu.Unlock()
	s.write(d.store)
	leaves := maxPropagationDelay + 200*time.Millisecond + d.randomDuration(2500)
	time.AfterFunc(leaves, s.leave)
	time.AfterFunc(leaves+d.randomDuration(600), func() { d.store.Remove(s.key()) })
}

// crashRandomServer stops a server without notice and adds a replacement. The record of
// the stopped server is removed from the store 2 s later.
func (d *deployment) crashRandomServer() {
	s := d.pickServer()
	if s == nil {
		return
	}
	s.stop()
	service := s.Service
	d.lapse(s.key(), 2*time.Second)
	d.addServer(service, d.rng.IntN(domainCount))
}

func (s *server) stop() {
	s.mu.Lock()
	s.stoppedAt = time.Now()
	s.mu.Unlock()
	s.Stop()
}

// leavingServeTime is how long servers that leave serve their flows after they have stopped listening,
// by the last digit of their address.
var leavingServeTime = []time.Duration{0, 2500 * time.Millisecond, 5 * time.Second}

// leave ends a draining server, which serves its flows for some time first.
func (s *server) leave() {
	b := s.Address().Addr().As4()
	s.Leave(leavingServeTime[int(b[3])%len(leavingServeTime)])
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stoppedAt = time.Now()
}

// clearFaults ends all active store and link faults, prevents pending restores and resumes paused
// processes.
func (d *deployment) clearFaults() {
	d.mu.Lock()
	d.faultsOver = true
	d.mu.Unlock()
	d.setStoreFault(metastore.NoFault, 0)
	d.writeAgain()
	d.endAllEvacuations()
	for _, in := range d.instances {
		in.storeLink.clearFaults()
		in.peerLink.clearFaults()
		in.signal(syscall.SIGCONT)
	}
}
