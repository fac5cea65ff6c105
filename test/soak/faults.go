package soak

import (
	"fmt"
	"syscall"
	"time"

	"github.com/monsoonthread/monsoonthread/internal/standin/metastore"
	"github.com/monsoonthread/monsoonthread/platform/wire"
)

// fault is something that happens to the world.
type fault struct {
	name string
	do   func(*world, *process)
}

// faults are drawn with equal chances; p is a random instance.
var faults = []fault{
	{"kill", func(_ *world, p *process) { p.signal(syscall.SIGKILL) }},
	{"kill", func(_ *world, p *process) { p.signal(syscall.SIGKILL) }},
	{"stop", func(_ *world, p *process) { p.signal(syscall.SIGTERM) }},
	{"reload", func(_ *world, p *process) { p.signal(syscall.SIGHUP) }},
	{"pause", func(w *world, p *process) {
		p.signal(syscall.SIGSTOP)
		time.AfterFunc(w.span(2500), func() { p.signal(syscall.SIGCONT) })
	}},
	{"store fault", func(w *world, _ *process) { w.setStoreFault(metastore.Fault(1+w.rng.IntN(4)), w.span(2500)) }},
	{"store silent for one", func(w *world, p *process) {
		p.storeAt.silent.Store(true)
		p.disturb()
		time.AfterFunc(w.span(3000), func() { p.storeAt.silent.Store(false); p.disturb() })
	}},
	{"store connections reset", func(_ *world, p *process) { p.disturb(); p.storeAt.reset() }},
	{"history dropped", func(w *world, _ *process) { w.store.DropHistory() }},
	{"configuration", func(w *world, _ *process) { w.configure() }},
	{"server drained", func(w *world, _ *process) { w.drainOne() }},
	{"server crashed", func(w *world, _ *process) { w.crashOne() }},
	{"malformed entry", func(w *world, _ *process) {
		w.store.Put(wire.ServerPrefix+fmt.Sprintf("i-%08x", 0xff000000+w.rng.IntN(9)), []byte(`{"service":"orders","address":7}`))
	}},
	{"peers not heard", func(w *world, p *process) {
		p.peerAt.silent.Store(true)
		time.AfterFunc(w.span(4000), func() { p.peerAt.silent.Store(false) })
	}},
	{"not heard by peers", func(w *world, p *process) { w.mute(p, func(*process) bool { return true }) }},
	{"not heard in its domain", func(w *world, p *process) { w.mute(p, func(o *process) bool { return o.domain() == p.domain() }) }},
	{"domain cut off", func(w *world, p *process) {
		for _, member := range w.instances {
			if member.domain() == p.domain() {
				w.mute(member, otherDomains(p))
			}
		}
	}},
	{"peer link slow", func(w *world, p *process) {
		p.peerAt.delay.Store(int64(w.span(400)))
		time.AfterFunc(w.span(4000), func() { p.peerAt.delay.Store(0) })
	}},
	{"peer connections reset", func(_ *world, p *process) { p.peerAt.reset() }},
}

// fault does one random thing to the world.
func (w *world) fault() {
	p := w.instances[w.rng.IntN(len(w.instances))]
	f := faults[w.rng.IntN(len(faults))]
	w.mu.Lock()
	w.faults[f.name]++
	w.mu.Unlock()
	f.do(w, p)
}

// span returns a random time below a number of milliseconds.
func (w *world) span(ms int) time.Duration { return time.Duration(w.rng.IntN(ms)) * time.Millisecond }

// mute keeps some instances from hearing p for a while.
func (w *world) mute(p *process, listeners func(*process) bool) {
	w.setMute(p, listeners, true)
	time.AfterFunc(w.span(4000), func() { w.setMute(p, listeners, false) })
}

// setMute keeps some instances from hearing p, or lets them hear it again.
func (w *world) setMute(p *process, listeners func(*process) bool, mute bool) {
	for _, o := range w.instances {
		if o != p && listeners(o) {
			o.peerAt.setMute(p.ip, mute)
		}
	}
}

// otherDomains selects the instances outside the failure domain of p.
func otherDomains(p *process) func(*process) bool {
	return func(o *process) bool { return o.domain() != p.domain() }
}

func (w *world) setStoreFault(f metastore.Fault, d time.Duration) {
	mark := func(f metastore.Fault) {
		w.mu.Lock()
		w.storeFault = time.Now()
		w.mu.Unlock()
		w.store.SetFault(f)
	}
	mark(f)
	time.AfterFunc(d, func() { mark(metastore.None) })
}

// pick returns a server that is in use, if its service has another one.
func (w *world) pick() *server {
	w.mu.Lock()
	defer w.mu.Unlock()
	var usable []*server
	count := make(map[string]int)
	for _, s := range w.servers {
		s.mu.Lock()
		if s.drained.IsZero() && s.stopped.IsZero() {
			usable = append(usable, s)
			count[s.Service]++
		}
		s.mu.Unlock()
	}
	s := usable[w.rng.IntN(len(usable))]
	if count[s.Service] < 2 {
		return nil
	}
	return s
}

// drainOne replaces a server: the new one first, then the old one says that it leaves and
// ends later.
func (w *world) drainOne() {
	s := w.pick()
	if s == nil {
		return
	}
	w.addServer(s.Service, w.rng.IntN(domains))
	w.store.Put(wire.ServerPrefix+s.ID, s.Entry("draining"))
	s.mu.Lock()
	s.drained = time.Now()
	s.mu.Unlock()
	time.AfterFunc(bound+2*time.Second, func() {
		s.stop()
		w.store.Remove(wire.ServerPrefix + s.ID)
	})
}

// crashOne ends a server at once; its record vanishes later.
func (w *world) crashOne() {
	s := w.pick()
	if s == nil {
		return
	}
	s.stop()
	service := s.Service
	time.AfterFunc(2*time.Second, func() { w.store.Remove(wire.ServerPrefix + s.ID) })
	w.addServer(service, w.rng.IntN(domains))
}

func (s *server) stop() {
	s.mu.Lock()
	s.stopped = time.Now()
	s.mu.Unlock()
	s.Stop()
}

// heal ends all faults that last.
func (w *world) heal() {
	w.setStoreFault(metastore.None, 0)
	for _, p := range w.instances {
		p.storeAt.heal()
		p.peerAt.heal()
		p.signal(syscall.SIGCONT)
	}
}
