package forwarder

import (
	"errors"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/monsoonthread/monsoonthread/internal/standin/flows"
	"github.com/monsoonthread/monsoonthread/internal/standin/metastore"
	"github.com/monsoonthread/monsoonthread/platform/wire"
)

func TestBusySeedLeadsToAMember(t *testing.T) {
	d := newDeployment(t)
	d.host("i-00000001", "orders", "a", 1)
	seed := d.start("front-1", "a", 1)
	member := d.start("front-2", "a", 2, "127.0.2.1:1")
	d.eventually("both ready and acquainted", patience, func() bool {
		seed.mu.Lock()
		defer seed.mu.Unlock()
		return seed.lifecycle.isReady.Load() && member.lifecycle.isReady.Load() && seed.mesh.Alive(seed.now()) == 1
	})
	for range maxFullAnswers {
		seed.fullAnswers <- struct{}{}
	}
	d.store.SetFault(metastore.Silent)
	late := d.start("front-3", "a", 3, "127.0.2.1:1")
	d.eventually("the late one ready", patience, late.lifecycle.isReady.Load)
}

// Guards against flows that break with the instance that opened them, and against
// packets that are changed on the way.
func TestFlowSurvivesItsInstance(t *testing.T) {
	d, a, b := pair(t)
	f := d.open(a)
	d.request(f, a, "i-1:x")
	a.kill()
	d.request(f, b, "i-1:x")
	if seen := d.hosts["i-1"].Seen(); seen.Forged != 0 || seen.Unknown != 0 || seen.Foreign != 0 || seen.Data != 2 {
		t.Errorf("the host saw %+v", seen)
	}
}

// Guards against changes that stop arriving when the instance that watches the store is
// lost, and against every instance watching.
func TestWatcherIsReplaced(t *testing.T) {
	d, a, b := pair(t)
	d.eventually("one watcher", patience, func() bool { return a.watches() != b.watches() })
	watcher, other := a, b
	if b.watches() {
		watcher, other = b, a
	}
	d.configure("orders")
	d.eventually("version 2 everywhere", configurationBound, func() bool { return a.version() == 2 && b.version() == 2 })
	watcher.kill()
	d.configure("orders")
	d.eventually("version 3 after the loss of the watcher", configurationBound, func() bool { return other.version() == 3 })
}

func (i *instance) watches() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.mesh.Self(i.now(), 1, 1, false).Watching
}

// Guards against an instance that cannot start while the store is silent although a peer
// knows all records, also those of servers that have left.
func TestStartInStoreOutage(t *testing.T) {
	d, a, _ := pair(t)
	f := d.open(a)
	d.store.Remove(wire.ServerPrefix + "i-1")
	d.eventually("removal known", configurationBound, func() bool { return !a.knows(wire.ServerPrefix+"i-1", "") })
	d.store.SetFault(metastore.Silent)
	c := d.start("c", "laval", 3, "127.0.2.1:1")
	d.eventually("ready without the store", patience, func() bool { return d.ready(c) })
	d.request(f, c, "i-1:x")
}

// Guards against an instance that serves before it knows a configuration.
func TestNotReadyWithoutRecords(t *testing.T) {
	d := newDeployment(t)
	d.store.SetFault(metastore.Busy)
	a := d.start("a", "laval", 1)
	time.Sleep(500 * time.Millisecond)
	if d.ready(a) {
		t.Error("ready without store and peers")
	}
	d.store.SetFault(metastore.None)
	d.eventually("ready", patience, func() bool { return d.ready(a) })
}

// Guards against an instance that serves an old configuration after its start, because
// its first listing may be seconds old.
func TestStartFromStaleListing(t *testing.T) {
	d := newDeployment(t)
	d.host("i-1", "orders", "laval", 1)
	d.store.FreezeStaleReads()
	d.configure("orders")
	d.store.Put(wire.ServerPrefix+"i-1", d.hosts["i-1"].Entry("draining"))
	a := d.start("a", "laval", 1)
	d.eventually("ready", patience, func() bool { return d.ready(a) })
	if a.version() != 2 || !a.knows(wire.ServerPrefix+"i-1", "draining") {
		t.Errorf("ready with version %d", a.version())
	}
	d.store.FreezeStaleReads()
	d.configure("orders")
	d.store.DropHistory()
	b := d.start("b", "levis", 2)
	d.eventually("ready after a dropped history", patience, func() bool { return d.ready(b) })
	if b.version() != 3 {
		t.Errorf("ready with version %d after a dropped history", b.version())
	}
}

// Guards against clients that wait for a server that has crashed: the flow is reset, and
// a new one goes to another server.
func TestFlowsOfACrashedServerAreReset(t *testing.T) {
	d, a, _ := pair(t)
	f := d.open(a)
	d.request(f, a, "i-1:x")
	d.host("i-2", "orders", "laval", 2)
	d.eventually("second server known", configurationBound, func() bool { return a.knows(wire.ServerPrefix+"i-2", "ready") })
	d.hosts["i-1"].Stop()
	if _, err := f.Request(a.packetsAt(), "x", 3*time.Second); !errors.Is(err, flows.ErrReset) {
		t.Fatalf("request to a crashed server: %v", err)
	}
	d.request(d.open(a), a, "i-2:x")
}

// Guards against new flows at a server that is leaving.
func TestDrainingServerGetsNoNewFlow(t *testing.T) {
	d, a, b := pair(t)
	f := d.open(a)
	d.host("i-2", "orders", "laval", 2)
	d.store.Put(wire.ServerPrefix+"i-1", d.hosts["i-1"].Entry("draining"))
	for _, i := range []*instance{a, b} {
		d.eventually("drain known", configurationBound, func() bool {
			return i.knows(wire.ServerPrefix+"i-1", "draining") && i.knows(wire.ServerPrefix+"i-2", "ready")
		})
	}
	before := d.hosts["i-1"].Seen().Opened
	for range 20 {
		d.open(a)
		d.open(b)
	}
	if got := d.hosts["i-1"].Seen().Opened; got != before {
		t.Errorf("%d new flows at the draining server", got-before)
	}
	d.request(f, b, "i-1:x")
}

// Guards against a planned stop that loses packets: readiness turns 503 at once, and
// packets are forwarded until the routers have left.
func TestPlannedStop(t *testing.T) {
	d, a, _ := pair(t)
	f := d.open(a)
	a.cancel()
	d.eventually("not ready", time.Second, func() bool { return !d.ready(a) })
	d.request(f, a, "i-1:x")
	select {
	case err := <-a.done:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(6 * time.Second):
		t.Error("still running after the grace period")
	}
}

// Guards against input of strangers and of other writers that crashes an instance or
// replaces what it knew.
func TestMalformedInput(t *testing.T) {
	d, a, b := pair(t)
	f := d.open(a)
	conn, err := net.Dial("udp4", a.settings.Load().PeerAddress)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	for _, junk := range []string{"", "x", strings.Repeat("\xff", 300), strings.Repeat("\x0a\x01", 50)} {
		conn.Write([]byte(junk))
		if stranger, err := net.Dial("udp4", a.settings.Load().DatagramAddress); err == nil {
			stranger.Write([]byte(junk))
			stranger.Close()
		}
	}
	if pull, err := net.Dial("tcp4", a.settings.Load().PeerAddress); err == nil {
		pull.Write([]byte("\xff\xff\xff\xff"))
		pull.Close()
	}
	for key, value := range map[string]string{
		wire.ConfigurationKey: `{"version":9,"routes":[{"host":"nowhere"}]}`, wire.ServerPrefix + "i-1": `{"service":7}`,
		wire.ServerPrefix + "i-zz": `{}`, instancePrefix + "x": `{"domain":1}`, "other/key": "\x00",
	} {
		d.store.Put(key, []byte(value))
	}
	d.version = 9
	d.configure("orders")
	d.eventually("valid version after malformed ones", configurationBound, func() bool { return a.version() == 10 && b.version() == 10 })
	d.request(f, a, "i-1:x")
	d.request(d.open(b), b, "i-1:x")
}

// Guards against records that are lost or come back when the store drops its history.
func TestDroppedHistory(t *testing.T) {
	d, a, b := pair(t)
	d.store.Put("x/1", nil)
	d.store.DropHistory()
	d.host("i-2", "orders", "laval", 2)
	d.store.DropHistory()
	for _, i := range []*instance{a, b} {
		d.eventually("server known after a dropped history", configurationBound, func() bool { return i.knows(wire.ServerPrefix+"i-2", "ready") })
	}
}

// Guards against an instance that drops out of the directory for good when the store
// takes its lease away.
func TestRegistrationReturns(t *testing.T) {
	d, _, _ := pair(t)
	d.eventually("both registered", patience, func() bool { return len(d.store.Keys(instancePrefix)) == 2 })
	d.store.EndLeases()
	d.eventually("registered again", patience, func() bool { return len(d.store.Keys(instancePrefix)) == 2 })
}
