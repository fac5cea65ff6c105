package soak

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/monsoonthread/monsoonthread/internal/forwarder/view"
	"github.com/monsoonthread/monsoonthread/internal/standin/flows"
)

// instanceForFlow simulates the routers: it maps a flow to one of the available instances
// and keeps the choice while the set of available instances does not change.
func (d *deployment) instanceForFlow(flow int) *instance {
	var best *instance
	bestScore := -1
	for i, in := range d.instances {
		in.mu.Lock()
		usable := !in.stopping && time.Since(in.lastFault) > time.Second
		in.mu.Unlock()
		if score := (flow*31 + i*17) % 101; usable && score > bestScore {
			best, bestScore = in, score
		}
	}
	return best
}

// runClient opens flows and sends requests on them, with random pauses, until the context
// is cancelled.
func (d *deployment) runClient(ctx context.Context, c *flows.Client, rng *rand.Rand) {
	for ctx.Err() == nil {
		service := ordersAddr
		if rng.IntN(4) == 0 {
			service = catalogueAddr
		}
		port := c.Port()
		in := d.instanceForFlow(int(port))
		if in == nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		d.tried.Add(1)
		f, err := c.OpenFrom(port, service, in.datagramAddr(), 1400*time.Millisecond)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		d.runFlow(ctx, f, port, rng)
	}
}

func (d *deployment) runFlow(ctx context.Context, f *flows.Flow, port uint16, rng *rand.Rand) {
	s := d.serverForFlow(f)
	requests, pause := 1+rng.IntN(8), 200
	switch rng.IntN(3) {
	case 0: // a flow that clients keep, with pauses, until its server has ended
		requests, pause = 60, 700
	case 1: // a flow that may outlast a fault of its instance and then end
		requests, pause = 5+rng.IntN(16), 400
	}
	for range requests {
		in := d.instanceForFlow(int(port))
		if in == nil || ctx.Err() != nil {
			break
		}
		d.tried.Add(1)
		got, err := f.Request(in.datagramAddr(), "x", 2*time.Second)
		switch {
		case err == nil:
			d.served.Add(1)
			if s != nil && got != s.ID+":x" {
				d.recordViolation("flow of server %s got response %q from another server", s.ID, got)
			}
		case errors.Is(err, flows.ErrResetByForwarder):
			// A flow must not be reset while its server is running, regardless of other
			// faults.
			if s != nil && s.aliveAt(f.ResetAt()) {
				d.recordViolation("%s reset a flow of server %s, which is running", in.name, s.ID)
			}
			return
		case errors.Is(err, flows.ErrResetByServer) && s != nil && s.aliveAt(f.ResetAt()):
			d.recordViolation("a packet of a flow of server %s was delivered to another server by %s", s.ID, in.name)
			return
		case err != nil:
			return
		}
		time.Sleep(time.Duration(rng.IntN(pause)) * time.Millisecond)
	}
	if in := d.instanceForFlow(int(port)); in != nil {
		f.Close(in.datagramAddr())
	}
}

// serverForFlow returns the running server whose cookie a new flow carries, or nil if there is none.
func (d *deployment) serverForFlow(f *flows.Flow) *server {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.servers {
		if n, err := strconv.ParseUint(strings.TrimPrefix(s.ID, "i-"), 16, 64); err == nil && uint32(n) == f.Cookie() && s.alive() {
			return s
		}
	}
	return nil
}

func (s *server) alive() bool { return s.aliveAt(time.Now()) }

// aliveAt reports whether the server's process had not ended at a time.
func (s *server) aliveAt(t time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stoppedAt.IsZero() || t.Before(s.stoppedAt)
}

// checkNewFlow checks that a server only receives new flows for its own service, and none
// later than maxPropagationDelay after it was marked as draining.
func (d *deployment) checkNewFlow(s *server, via netip.Addr, to netip.AddrPort) {
	if (to.Addr() == catalogueAddr.Addr()) != (s.Service == "catalogue") {
		d.recordViolation("server %s of service %s received a flow for address %s from %s", s.ID, s.Service, to, via)
	}
	for _, in := range d.instances {
		if in.ip == via {
			d.checkEvacuated(s, in)
			d.checkColdStart(s, in)
		}
	}
	s.mu.Lock()
	drainedAt := s.drainedAt
	s.mu.Unlock()
	if drainedAt.IsZero() || time.Since(drainedAt) <= maxPropagationDelay {
		return
	}
	for _, in := range d.instances {
		if in.ip == via && in.settled() {
			d.recordViolation("server %s received a new flow from %s %v after it was marked as draining", s.ID, in.name, time.Since(drainedAt))
		}
	}
}

// watchVersions checks that the active configuration version of each instance never
// decreases and reaches the accepted version in time.
func (d *deployment) watchVersions(ctx context.Context) {
	for ctx.Err() == nil {
		for _, in := range d.instances {
			d.checkVersion(in)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// activeVersion returns the configuration version that the instance uses, and false if it
// cannot be read.
func (in *instance) activeVersion() (uint64, bool) {
	page, ok := in.getPage("/metrics")
	_, text, found := strings.Cut(page, "forwarder_configuration_version ")
	if !ok || !found {
		return 0, false
	}
	text, _, _ = strings.Cut(text, "\n")
	got, err := strconv.ParseUint(text, 10, 64)
	return got, err == nil
}

func (d *deployment) checkVersion(in *instance) {
	d.mu.Lock()
	version, acceptedAt := uint64(d.version), d.acceptedAt
	d.mu.Unlock()
	in.mu.Lock()
	cmd := in.cmd
	in.mu.Unlock()
	got, ok := in.activeVersion()
	if !ok {
		return
	}
	late := in.settled() && time.Since(acceptedAt) > maxPropagationDelay+settleTime && got < version
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.cmd != cmd {
		return // the process was restarted during the check
	}
	if got < in.highestVersion {
		d.recordViolation("configuration version of %s decreased from %d to %d", in.name, in.highestVersion, got)
	}
	in.highestVersion = max(in.highestVersion, got)
	if late {
		d.recordViolation("%s uses version %d, but version %d was accepted %v ago", in.name, got, version, time.Since(acceptedAt))
	}
}

// checkChangeAfterCrashes kills one instance in each failure domain while no other faults
// are active, and checks that the remaining instances use the next configuration within
// maxPropagationDelay. Some of the killed instances may be watching the store.
func (d *deployment) checkChangeAfterCrashes() {
	if d.options.InstancesPerDomain < 2 {
		return // no instance would be left
	}
	time.Sleep(settleTime + settleTime/2)
	for domain := range domainCount {
		d.instances[domain+domainCount*d.rng.IntN(d.options.InstancesPerDomain)].signal(syscall.SIGKILL)
	}
	d.acceptNextVersion()
	time.Sleep(maxPropagationDelay)
	d.checkVersionActive("after one instance in each failure domain was killed")
}

// writeAgainAfter is how long operators need at least to write again what a restored store has lost. An
// evacuation that the store has lost holds meanwhile.
const writeAgainAfter = 1500 * time.Millisecond

// checkChangeAfterRestore restores the store from a copy that lacks the last versions, while no other
// faults are active, and checks that the next configuration is used within maxPropagationDelay.
// The store gives it a revision that it had given out before.
func (d *deployment) checkChangeAfterRestore() {
	older := d.store.Copy()
	first, second := d.evacuateAnotherDomain() // the copy has the evacuation that ends and lacks the one that begins
	time.Sleep(settleTime)
	if d.uses.connections {
		d.reconnect()
	} else {
		time.Sleep(settleTime / 2)
	}
	for range 3 {
		d.acceptNextVersion()
	}
	time.Sleep(time.Second)
	d.mu.Lock()
	d.writesLost = true
	d.mu.Unlock()
	d.store.Restore(older)
	if d.uses.evacuation {
		d.openMany(60, writeAgainAfter/60, d.instanceForFlow)
	}
	d.writeAgain()
	time.Sleep(settleTime + settleTime/2)
	d.acceptNextVersion()
	time.Sleep(maxPropagationDelay)
	d.checkVersionActive("after the store was restored from an older copy")
	d.checkEvacuations(first, second)
}

// watchesStore reports whether the instance watches the store itself.
func (in *instance) watchesStore() bool {
	page, ok := in.getPage(view.StatusPath)
	var s view.Status
	return ok && json.Unmarshal([]byte(page), &s) == nil && s.Watching
}

// checkTakeover partitions the failure domains and pauses the instances that watch the
// store. It checks that another instance in each domain takes over the watch in time to
// apply the next configuration within maxPropagationDelay.
func (d *deployment) checkTakeover() {
	if d.options.InstancesPerDomain < 2 {
		return
	}
	for _, in := range d.instances {
		d.setPeerDatagramsDropped(in, otherDomains(in), true)
	}
	d.markPeerFault(settleTime + settleTime/2 + maxPropagationDelay)
	time.Sleep(settleTime + settleTime/2)
	for _, in := range d.instances {
		if in.watchesStore() {
			in.signal(syscall.SIGSTOP)
		}
	}
	d.acceptNextVersion()
	time.Sleep(maxPropagationDelay)
	d.checkVersionActive("after the watching instances in partitioned domains were paused")
	for _, in := range d.instances {
		in.peerLink.clearFaults()
		in.signal(syscall.SIGCONT)
	}
	d.markPeerFault(0)
}

// checkVersionActive checks that all settled instances use the accepted version, and that there
// is one.
func (d *deployment) checkVersionActive(when string) {
	settled := 0
	defer func() {
		if settled == 0 {
			d.recordViolation("no instance is settled, so that the accepted version %d cannot be checked, %s", d.version, when)
		}
	}()
	for _, in := range d.instances {
		if !in.settled() {
			continue
		}
		settled++
		if got, ok := in.activeVersion(); !ok || got != uint64(d.version) {
			d.recordViolation("%s uses version %d (read: %t), but version %d was accepted %v ago, %s", in.name, got, ok, d.version, maxPropagationDelay, when)
		}
	}
}

// checkRecovery kills all instances and checks that requests are served again within
// recoveryTimeout.
func (d *deployment) checkRecovery() {
	for _, in := range d.instances {
		in.signal(syscall.SIGKILL)
	}
	time.Sleep(restartDelay)
	servedBefore := d.served.Load()
	for end := time.Now().Add(recoveryTimeout); d.served.Load() < servedBefore+int64(d.options.Clients); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			d.recordViolation("only %d requests served within %v after all instances were killed", d.served.Load()-servedBefore, recoveryTimeout)
			return
		}
	}
}

// checkPacketIntegrity checks that no packet was modified in transit.
func (d *deployment) checkPacketIntegrity() {
	d.mu.Lock()
	servers := d.servers
	d.mu.Unlock()
	for _, s := range servers {
		if seen := s.Counters(); seen.InvalidChecksum > 0 {
			d.recordViolation("server %s received %d packets that were modified in transit", s.ID, seen.InvalidChecksum)
		}
	}
}
