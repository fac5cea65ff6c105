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

// route returns an instance as the routers choose it for a flow: any that says that it is
// ready, the same one while they stay the same.
func (w *world) route(flow int) *process {
	var best *process
	bestScore := -1
	for i, p := range w.instances {
		p.mu.Lock()
		usable := !p.stopping && time.Since(p.disturbed) > time.Second
		p.mu.Unlock()
		if score := (flow*31 + i*17) % 101; usable && score > bestScore {
			best, bestScore = p, score
		}
	}
	return best
}

// use opens flows and makes requests on them, with pauses.
func (w *world) use(ctx context.Context, c *flows.Client, rng *rand.Rand) {
	for n := 0; ctx.Err() == nil; n++ {
		service := orders
		if rng.IntN(4) == 0 {
			service = catalogue
		}
		p := w.route(n)
		if p == nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		w.tried.Add(1)
		f, err := c.Open(service, p.packetsAt(), 1400*time.Millisecond)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		w.useFlow(ctx, f, n, rng)
	}
}

func (w *world) useFlow(ctx context.Context, f *flows.Flow, n int, rng *rand.Rand) {
	s := w.holder(f)
	for range 1 + rng.IntN(8) {
		p := w.route(n)
		if p == nil || ctx.Err() != nil {
			break
		}
		w.tried.Add(1)
		got, err := f.Request(p.packetsAt(), "x", 2*time.Second)
		switch {
		case err == nil:
			w.served.Add(1)
			if s != nil && got != s.ID+":x" {
				w.violate("a flow of %s got the answer %q", s.ID, got)
			}
		case errors.Is(err, flows.ErrReset):
			// No flow may be reset while its server lives, whatever disturbs the rest.
			if s != nil && s.alive() {
				w.violate("%s reset a flow of %s, which lives", p.name, s.ID)
			}
			return
		case errors.Is(err, flows.ErrEnded) && s != nil && s.alive():
			w.violate("a packet of a flow of %s reached another server through %s", s.ID, p.name)
			return
		case err != nil:
			return
		}
		time.Sleep(time.Duration(rng.IntN(200)) * time.Millisecond)
	}
	if p := w.route(n); p != nil {
		f.Close(p.packetsAt())
	}
}

// holder returns the server whose cookie the flow carries.
func (w *world) holder(f *flows.Flow) *server {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.servers {
		if n, err := strconv.ParseUint(strings.TrimPrefix(s.ID, "i-"), 16, 64); err == nil && uint32(n) == f.Echo() {
			return s
		}
	}
	return nil
}

func (s *server) alive() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopped.IsZero()
}

// checkOpen checks a new flow at a server: the right service, and not long after the
// server said that it leaves.
func (w *world) checkOpen(s *server, via netip.Addr, to netip.AddrPort) {
	if (to.Addr() == catalogue.Addr()) != (s.Service == "catalogue") {
		w.violate("server %s of %s got a flow to %s from %s", s.ID, s.Service, to, via)
	}
	s.mu.Lock()
	drained := s.drained
	s.mu.Unlock()
	if drained.IsZero() || time.Since(drained) <= bound {
		return
	}
	for _, p := range w.instances {
		if p.ip == via && p.calm() {
			w.violate("server %s got a flow from %s %v after it said that it leaves", s.ID, p.name, time.Since(drained))
		}
	}
}

// watchVersions checks that the version in force at each instance never goes down and
// follows the accepted one within its bound.
func (w *world) watchVersions(ctx context.Context) {
	for ctx.Err() == nil {
		for _, p := range w.instances {
			w.checkVersion(p)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// version returns the version in force at the instance.
func (p *process) version() (uint64, bool) {
	page, ok := p.get("/metrics")
	_, text, found := strings.Cut(page, "forwarder_configuration_version ")
	if !ok || !found {
		return 0, false
	}
	text, _, _ = strings.Cut(text, "\n")
	got, err := strconv.ParseUint(text, 10, 64)
	return got, err == nil
}

func (w *world) checkVersion(p *process) {
	w.mu.Lock()
	version, accepted := uint64(w.version), w.accepted
	w.mu.Unlock()
	p.mu.Lock()
	cmd := p.cmd
	p.mu.Unlock()
	got, ok := p.version()
	if !ok {
		return
	}
	late := p.calm() && time.Since(accepted) > bound+calm && got < version
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != cmd {
		return // another incarnation
	}
	if got < p.highest {
		w.violate("%s stepped back from version %d to %d", p.name, p.highest, got)
	}
	p.highest = max(p.highest, got)
	if late {
		w.violate("%s has version %d, %d was accepted %v ago", p.name, got, version, time.Since(accepted))
	}
}

// checkChange kills one instance of each failure domain at rest, some of which watch the
// store, and checks that the others have the next configuration within its bound.
func (w *world) checkChange() {
	time.Sleep(calm + calm/2)
	for d := range domains {
		w.instances[d+domains*w.rng.IntN(w.o.InstancesPerDomain)].signal(syscall.SIGKILL)
	}
	w.configure()
	time.Sleep(bound)
	w.checkInForce("at rest")
}

// watches reports whether the instance reads the store itself.
func (p *process) watches() bool {
	page, ok := p.get(view.StatusPath)
	var s view.Status
	return ok && json.Unmarshal([]byte(page), &s) == nil && s.Watching
}

// checkTakeover pauses the watchers while the failure domains do not hear each other, and
// checks that another instance of each domain takes over in time for the next configuration.
func (w *world) checkTakeover() {
	if w.o.InstancesPerDomain < 2 {
		return
	}
	for _, p := range w.instances {
		w.setMute(p, otherDomains(p), true)
	}
	time.Sleep(calm + calm/2)
	for _, p := range w.instances {
		if p.watches() {
			p.signal(syscall.SIGSTOP)
		}
	}
	w.configure()
	time.Sleep(bound)
	w.checkInForce("after the watchers were paused in cut-off domains")
	for _, p := range w.instances {
		p.peerAt.heal()
		p.signal(syscall.SIGCONT)
	}
}

// checkInForce checks that all calm instances have the present version.
func (w *world) checkInForce(when string) {
	for _, p := range w.instances {
		if !p.calm() {
			continue
		}
		if got, ok := p.version(); !ok || got != uint64(w.version) {
			w.violate("%s has version %d (%v), %d was accepted %v ago, %s", p.name, got, ok, w.version, bound, when)
		}
	}
}

// checkRecovery kills all instances and checks that requests are served again.
func (w *world) checkRecovery() {
	for _, p := range w.instances {
		p.signal(syscall.SIGKILL)
	}
	time.Sleep(restartAfter)
	start := w.served.Load()
	for end := time.Now().Add(recovery); w.served.Load() < start+int64(w.o.Clients); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			w.violate("%d requests served in %v after all instances were killed", w.served.Load()-start, recovery)
			return
		}
	}
}

// checkServers checks that no packet was changed on its way.
func (w *world) checkServers() {
	w.mu.Lock()
	servers := w.servers
	w.mu.Unlock()
	for _, s := range servers {
		if seen := s.Seen(); seen.Forged > 0 {
			w.violate("server %s got %d packets that their sender did not write so", s.ID, seen.Forged)
		}
	}
}
