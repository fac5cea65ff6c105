package forwarder

import (
	"errors"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/monsoonthread/monsoonthread/forwarding"
	"github.com/monsoonthread/monsoonthread/internal/standin/flows"
)

// Guards against opening packets that count as fresh although they waited during a pause, and against fresh
// ones that count as late: after a short pause, once the socket has been empty, and after a limit.
func TestBacklog(t *testing.T) {
	const tick = tickInterval
	for _, c := range []struct {
		name  string
		pause time.Duration
		// after is the time between the end of the pause and the packet.
		after  time.Duration
		ticked bool // a tick comes before the packet
		empty  bool // the socket was empty between the end of the pause and the packet
		late   bool
	}{
		{name: "no pause", pause: tick},
		{name: "short pause", pause: forwarding.MinRouterDetection - time.Millisecond},
		{name: "read before the first tick", pause: forwarding.MinRouterDetection, late: true},
		{name: "read after the first tick", pause: forwarding.MinRouterDetection, after: tick, ticked: true, late: true},
		{name: "socket has been empty", pause: 4 * time.Second, after: tick, ticked: true, empty: true},
		{name: "socket never empty", pause: 4 * time.Second, after: maxBacklogTime, ticked: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			b, now := &backlog{}, time.Hour
			b.beforeRead(func() bool { return true })
			b.noteRunning(now)
			now += c.pause
			if c.ticked {
				b.noteRunning(now)
			}
			b.beforeRead(func() bool { return c.empty })
			if late := b.waited(now + c.after); late != c.late {
				t.Errorf("late: %v, want %v", late, c.late)
			}
		})
	}
}

// Guards against a second pause whose backlog counts as read because that of the first one was.
func TestBacklogOfSecondPause(t *testing.T) {
	b, now := &backlog{}, time.Hour
	for range 2 {
		b.noteRunning(now)
		now += time.Second
		if !b.waited(now) {
			t.Fatalf("at %v: not late", now)
		}
		b.beforeRead(func() bool { return true })
		if b.waited(now) {
			t.Fatalf("at %v: late although the socket has been empty", now)
		}
	}
}

// Guards against opening packets that waited in the socket while the instance did not run and are sent to
// a server when it runs again: the flow may be open at another server by then, through another instance.
func TestOpeningPacketsThatWaited(t *testing.T) {
	d, a, _ := startPair(t)
	d.request(d.openFlow(a), a, "i-1:x")
	var sent atomic.Int32
	d.servers["i-1"].OnOpen(func(netip.Addr, netip.AddrPort) { sent.Add(1) })

	a.mu.Lock() // neither the timers nor the reader of the socket get on
	_, err := d.client.Open(service, a.datagramAddress(), forwarding.MinRouterDetection+200*time.Millisecond)
	a.mu.Unlock()
	if !errors.Is(err, flows.ErrTimeout) {
		t.Fatalf("open: %v", err)
	}
	late := a.counters.decisions[forwarding.Drop][forwarding.Late]
	d.eventually("waiting packets read", testTimeout, func() bool { return late.Get() > 0 && a.isSocketEmpty() })
	time.Sleep(100 * time.Millisecond)
	if n := sent.Load(); n != 0 {
		t.Errorf("%d opening packets sent", n)
	}
	d.request(d.openFlow(a), a, "i-1:x")
}
