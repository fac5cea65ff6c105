package forwarder

import (
	"errors"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/monsoonthread/monsoonthread/internal/standin/flows"
	"github.com/monsoonthread/monsoonthread/internal/standin/metastore"
	"github.com/monsoonthread/monsoonthread/platform/wire"
)

// Guards against a failed start during a store outage when the only seed is busy with other
// starting instances. The seed must refer the new instance to another member.
func TestBusySeedLeadsToAMember(t *testing.T) {
	d := newDeployment(t)
	d.startServer("i-00000001", "orders", "a", 1)
	seed := d.startInstance("front-1", "a", 1)
	member := d.startInstance("front-2", "a", 2, "127.0.2.1:1")
	d.eventually("both ready and the seed sees the member", testTimeout, func() bool {
		seed.mu.Lock()
		defer seed.mu.Unlock()
		return seed.lifecycle.isReady.Load() && member.lifecycle.isReady.Load() && seed.mesh.Alive(seed.now()) == 1
	})
	for range maxConcurrentFullPulls {
		seed.fullPullSlots <- struct{}{}
	}
	d.store.SetFault(metastore.NoResponse)
	late := d.startInstance("front-3", "a", 3, "127.0.2.1:1")
	d.eventually("late instance ready", testTimeout, late.lifecycle.isReady.Load)
}

// Guards against flows that break when the instance that opened them fails, and against
// packets that are modified in transit.
func TestFlowSurvivesItsInstance(t *testing.T) {
	d, a, b := startPair(t)
	f := d.openFlow(a)
	d.request(f, a, "i-1:x")
	a.kill()
	d.request(f, b, "i-1:x")
	if seen := d.servers["i-1"].Counters(); seen.InvalidChecksum != 0 || seen.UnknownFlow != 0 || seen.Misdelivered != 0 || seen.Data != 2 {
		t.Errorf("the server saw %+v", seen)
	}
}

// Guards against missed changes after the instance that watches the store fails, and against
// more than one watcher in a failure domain.
func TestWatcherIsReplaced(t *testing.T) {
	d, a, b := startPair(t)
	d.eventually("one watcher", testTimeout, func() bool { return a.isWatching() != b.isWatching() })
	watcher, other := a, b
	if b.isWatching() {
		watcher, other = b, a
	}
	d.configure("orders")
	d.eventually("version 2 everywhere", configurationBound, func() bool { return a.version() == 2 && b.version() == 2 })
	watcher.kill()
	d.configure("orders")
	d.eventually("version 3 after the loss of the watcher", configurationBound, func() bool { return other.version() == 3 })
}

func (i *instance) isWatching() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.mesh.OwnStatus(i.now(), 1, 1, false).Watching
}

// Guards against an instance that cannot start while the store does not respond, although a
// peer has all records, including those of servers that have left.
func TestStartInStoreOutage(t *testing.T) {
	d, a, _ := startPair(t)
	f := d.openFlow(a)
	d.store.Remove(wire.ServerPrefix + "i-1")
	d.eventually("removal known", configurationBound, func() bool { return !a.hasRecord(wire.ServerPrefix+"i-1", "") })
	d.store.SetFault(metastore.NoResponse)
	c := d.startInstance("c", "laval", 3, "127.0.2.1:1")
	d.eventually("ready without the store", testTimeout, func() bool { return d.ready(c) })
	d.request(f, c, "i-1:x")
}

// Guards against an instance that becomes ready before it has a configuration.
func TestNotReadyWithoutRecords(t *testing.T) {
	d := newDeployment(t)
	d.store.SetFault(metastore.Unavailable)
	a := d.startInstance("a", "laval", 1)
	time.Sleep(500 * time.Millisecond)
	if d.ready(a) {
		t.Error("ready without store and peers")
	}
	d.store.SetFault(metastore.NoFault)
	d.eventually("ready", testTimeout, func() bool { return d.ready(a) })
}

// Guards against an instance that becomes ready with an old configuration because its first
// listing is stale.
func TestStartFromStaleListing(t *testing.T) {
	d := newDeployment(t)
	d.startServer("i-1", "orders", "laval", 1)
	d.store.FreezeStaleReads()
	d.configure("orders")
	d.store.Put(wire.ServerPrefix+"i-1", d.servers["i-1"].Record("draining"))
	a := d.startInstance("a", "laval", 1)
	d.eventually("ready", testTimeout, func() bool { return d.ready(a) })
	if a.version() != 2 || !a.hasRecord(wire.ServerPrefix+"i-1", "draining") {
		t.Errorf("ready with version %d", a.version())
	}
	d.store.FreezeStaleReads()
	d.configure("orders")
	d.store.DropHistory()
	b := d.startInstance("b", "levis", 2)
	d.eventually("ready after a dropped history", testTimeout, func() bool { return d.ready(b) })
	if b.version() != 3 {
		t.Errorf("ready with version %d after a dropped history", b.version())
	}
}

// Guards against clients that keep waiting for a crashed server: their flow must be reset,
// and a new flow must go to another server.
func TestFlowsOfACrashedServerAreReset(t *testing.T) {
	d, a, _ := startPair(t)
	f := d.openFlow(a)
	d.request(f, a, "i-1:x")
	d.startServer("i-2", "orders", "laval", 2)
	d.eventually("second server known", configurationBound, func() bool { return a.hasRecord(wire.ServerPrefix+"i-2", "ready") })
	d.servers["i-1"].Stop()
	if _, err := f.Request(a.datagramAddress(), "x", 3*time.Second); !errors.Is(err, flows.ErrResetByForwarder) {
		t.Fatalf("request to a crashed server: %v", err)
	}
	d.request(d.openFlow(a), a, "i-2:x")
}

// Guards against a reset of a flow at a server that leaves: it has stopped listening for
// connections and its record is removed while it works on its last request.
func TestLeavingServerAnswersItsLastRequest(t *testing.T) {
	d, a, b := startPair(t)
	leaving := d.startServer("i-2", "orders", "laval", 2)
	leaving.SetWork(400 * time.Millisecond)
	for range 3 {
		f := d.openFlow(a)
		for f.Cookie() != 2 {
			f = d.openFlow(a)
		}
		idle := d.openFlow(a)
		for idle.Cookie() != 2 {
			idle = d.openFlow(a)
		}
		d.store.Put(wire.ServerPrefix+"i-2", leaving.Record("draining"))
		for _, i := range []*instance{a, b} {
			d.eventually("drain known", configurationBound, func() bool { return i.hasRecord(wire.ServerPrefix+"i-2", "draining") })
		}
		answer := make(chan error, 1)
		go func() {
			_, err := f.Request(a.datagramAddress(), "x", 2*time.Second)
			answer <- err
		}()
		time.Sleep(60 * time.Millisecond)
		left := make(chan struct{})
		go func() { leaving.Leave(0); close(left) }()
		d.store.Remove(wire.ServerPrefix + "i-2")
		if err := <-answer; err != nil {
			t.Fatalf("the last request at a leaving server: %v", err)
		}
		select {
		case <-left:
		case <-time.After(testTimeout):
			t.Fatal("the server stand-in did not end")
		}
		// The server has ended: a request on the idle flow ends with a reset.
		if _, err := idle.Request(a.datagramAddress(), "x", 3*time.Second); !errors.Is(err, flows.ErrResetByForwarder) {
			t.Fatalf("request to a server that has left: %v", err)
		}
		leaving = d.startServer("i-2", "orders", "laval", 2)
		leaving.SetWork(400 * time.Millisecond)
	}
}

// Guards against resets of flows, idle or at work, at a server that serves them for many seconds
// after it has stopped listening, and whose record is gone.
func TestServerServesItsFlowsForLongAfterItStoppedListening(t *testing.T) {
	d, a, b := startPair(t)
	leaving := d.startServer("i-2", "orders", "laval", 2)
	openAt := func(i *instance) *flows.Flow {
		for {
			if f := d.openFlow(i); f.Cookie() == 2 {
				return f
			}
		}
	}
	busy, idle := openAt(a), map[*instance]*flows.Flow{a: openAt(a), b: openAt(b)}
	leaving.SetWork(180 * time.Millisecond) // longer than an instance waits until it probes
	d.store.Put(wire.ServerPrefix+"i-2", leaving.Record("draining"))
	for _, i := range []*instance{a, b} {
		d.eventually("drain known", configurationBound, func() bool { return i.hasRecord(wire.ServerPrefix+"i-2", "draining") })
	}
	leaving.StopAnswering()
	d.request(busy, a, "i-2:x")
	d.store.Remove(wire.ServerPrefix + "i-2")
	for start := time.Now(); time.Since(start) < 5*time.Second; time.Sleep(time.Second) {
		d.request(busy, a, "i-2:x")
	}
	for i, f := range idle {
		d.request(f, i, "i-2:x")
	}
}

// startRestartedPair starts a pair whose server i-1 has ended and is followed by i-2 at its address. It
// returns a record that i-1 wrote, and open flows at i-2.
func startRestartedPair(t *testing.T) (d *deployment, pair [2]*instance, record []byte, open []*flows.Flow) {
	d, a, b := startPair(t)
	pair = [2]*instance{a, b}
	record = d.servers["i-1"].Record("ready")
	d.servers["i-1"].Stop()
	d.startServer("i-2", "orders", "laval", 1)
	d.store.Remove(wire.ServerPrefix + "i-1")
	for _, i := range pair {
		d.eventually("new process known", configurationBound, func() bool {
			return i.hasRecord(wire.ServerPrefix+"i-2", "ready") && !i.hasRecord(wire.ServerPrefix+"i-1", "")
		})
		open = append(open, d.openFlow(i), d.openFlow(i))
	}
	return d, pair, record, open
}

// checkFlowsOfLivingServer checks for a second that the flows at i-2 go on and that new ones open there.
func (d *deployment) checkFlowsOfLivingServer(pair [2]*instance, open []*flows.Flow) {
	d.t.Helper()
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(30 * time.Millisecond) {
		for n, f := range open {
			via := pair[n/2]
			d.request(f, via, "i-2:x")
			d.request(d.openFlow(via), via, "i-2:x")
		}
	}
}

// Guards against resets of a living server's flows when the store executes a write of an earlier
// process at its address late, twice in a row.
func TestLateWriteResetsNoFlow(t *testing.T) {
	d, pair, late, open := startRestartedPair(t)
	for range 2 {
		d.store.Put(wire.ServerPrefix+"i-1", late)
		for _, i := range pair {
			d.eventually("late write known", configurationBound, func() bool { return i.hasRecord(wire.ServerPrefix+"i-1", "ready") })
		}
		d.checkFlowsOfLivingServer(pair, open)
		d.store.Remove(wire.ServerPrefix + "i-1")
		d.checkFlowsOfLivingServer(pair, open)
	}
}

// Guards against resets of a living server's flows by an entry of another writer that names the
// server's address or its key.
func TestEntryOfAnotherWriterResetsNoFlow(t *testing.T) {
	for name, test := range map[string]struct{ key, service string }{
		"unknown service":                 {"i-a1", "inventory-agent"},
		"service of the server":           {"i-a2", "orders"},
		"unknown service under its key":   {"i-2", "inventory-agent"},
		"its service, later, at its key":  {"i-2", "orders"},
		"its ID under another key's name": {"x-2", "inventory-agent"},
	} {
		t.Run(name, func(t *testing.T) {
			d, pair, _, open := startRestartedPair(t)
			living := d.servers["i-2"]
			d.store.Put(wire.ServerPrefix+test.key, []byte(fmt.Sprintf(`{"service":%q,"address":%q,"zone":"laval","version":"v1","slots":2,"state":"ready","coldLeftMs":0,"sequence":1,"born":%d}`,
				test.service, living.Address(), time.Now().UnixMilli())))
			for _, i := range pair {
				d.eventually("entry known", configurationBound, func() bool { return i.hasRecord(wire.ServerPrefix+test.key, test.service) })
			}
			d.checkFlowsOfLivingServer(pair, open)
			d.store.Put(wire.ServerPrefix+"i-2", living.Record("ready"))
			d.checkFlowsOfLivingServer(pair, open)
		})
	}
}

// Guards against new flows at a draining server.
func TestDrainingServerGetsNoNewFlow(t *testing.T) {
	d, a, b := startPair(t)
	f := d.openFlow(a)
	d.startServer("i-2", "orders", "laval", 2)
	d.store.Put(wire.ServerPrefix+"i-1", d.servers["i-1"].Record("draining"))
	for _, i := range []*instance{a, b} {
		d.eventually("drain known", configurationBound, func() bool {
			return i.hasRecord(wire.ServerPrefix+"i-1", "draining") && i.hasRecord(wire.ServerPrefix+"i-2", "ready")
		})
	}
	before := d.servers["i-1"].Counters().Opened
	for range 20 {
		d.openFlow(a)
		d.openFlow(b)
	}
	if got := d.servers["i-1"].Counters().Opened; got != before {
		t.Errorf("%d new flows at the draining server", got-before)
	}
	d.request(f, b, "i-1:x")
}

// Guards against packet loss in a planned stop: readiness must return 503 at once, and
// packets must be forwarded until the routers stop sending.
func TestPlannedStop(t *testing.T) {
	d, a, _ := startPair(t)
	f := d.openFlow(a)
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

// Guards against malformed datagrams, pulls or store records that crash an instance or
// replace valid state.
func TestMalformedInput(t *testing.T) {
	d, a, b := startPair(t)
	f := d.openFlow(a)
	conn, err := net.Dial("udp4", a.settings.Load().PeerAddress)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	for _, junk := range []string{"", "x", strings.Repeat("\xff", 300), strings.Repeat("\x0a\x01", 50)} {
		conn.Write([]byte(junk))
		if sender, err := net.Dial("udp4", a.settings.Load().DatagramAddress); err == nil {
			sender.Write([]byte(junk))
			sender.Close()
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
	d.request(d.openFlow(b), b, "i-1:x")
}

// oddEntries are values that another writer may leave under a server's key.
var oddEntries = map[string]string{
	"deeply nested":        `{"service":` + strings.Repeat("[", 200_000) + strings.Repeat("]", 200_000) + `}`,
	"nested, cut off":      strings.Repeat(`{"a":`, 200_000),
	"number too large":     `{"service":"orders","address":"127.0.3.1:80","zone":"laval","slots":1e999,"state":"ready","version":"v1","coldLeftMs":0,"born":9e99,"sequence":-1}`,
	"integer too large":    `{"service":"orders","address":"127.0.3.1:80","zone":"laval","slots":99999999999999999999999,"state":"ready","version":"v1","coldLeftMs":0,"sequence":1,"born":1700000000000}`,
	"port out of range":    `{"service":"orders","address":"127.0.3.1:99999","zone":"laval","slots":2,"state":"ready","version":"v1","coldLeftMs":0,"sequence":1,"born":1700000000000}`,
	"port below range":     `{"service":"orders","address":"127.0.3.1:-1","zone":"laval","slots":2,"state":"ready","version":"v1","coldLeftMs":0,"sequence":1,"born":1700000000000}`,
	"other types":          `{"service":["orders"],"address":7,"zone":{},"slots":"2","state":null}`,
	"state not named":      `{"service":"orders","address":"127.0.3.1:80","zone":"laval","slots":2,"state":"` + strings.Repeat("x", 100_000) + `","version":"v1","coldLeftMs":0,"sequence":1,"born":1700000000000}`,
	"name of 100,000 byte": `{"service":"` + strings.Repeat("s", 100_000) + `","address":"127.0.3.1:80","zone":"laval","slots":2,"state":"ready","version":"v1","coldLeftMs":0,"sequence":1,"born":1700000000000}`,
	"no text":              "\x00\xff\xfe",
	"no object":            `[1,2,3]`,
	"nothing":              "",
}

// Guards against instances that end, or stop following the store, because of one odd entry among
// those of the servers, and against new flows at a server whose entry turns unreadable and is then
// removed.
func TestOddEntriesLeaveTheOthersInForce(t *testing.T) {
	d, a, b := startPair(t)
	n := 0
	for name, value := range oddEntries {
		n++
		d.store.Put(fmt.Sprintf("%si-%x", wire.ServerPrefix, 0xa0+n), []byte(value))
		key := fmt.Sprint("i-", 10+n)
		server := d.startServer(key, "orders", "laval", 10+n)
		for _, i := range []*instance{a, b} {
			d.eventually(name+": server after the entry", configurationBound, func() bool { return i.hasRecord(wire.ServerPrefix+key, "ready") })
		}
		d.store.Put(wire.ServerPrefix+key, []byte(value))
		d.store.Remove(wire.ServerPrefix + key)
		if n%2 == 0 { // each change in a batch of its own
			continue
		}
		d.store.Put(wire.ServerPrefix+key, server.Record("ready"))
		for _, i := range []*instance{a, b} {
			d.eventually(name+": record is back", configurationBound, func() bool { return i.hasRecord(wire.ServerPrefix+key, "ready") })
		}
		d.store.Put(wire.ServerPrefix+key, []byte(value))
		time.Sleep(2 * maxBatchDelay)
		d.store.Remove(wire.ServerPrefix + key)
	}
	time.Sleep(configurationBound)
	c := d.startInstance("c", "levis", 3)
	d.eventually("ready from a listing with odd entries", testTimeout, func() bool { return d.ready(c) })
	d.configure("orders")
	d.eventually("version after the entries", configurationBound, func() bool { return a.version() == 2 && b.version() == 2 && c.version() == 2 })
	for range 60 {
		for _, i := range []*instance{a, b, c} {
			d.request(d.openFlow(i), i, "i-1:x")
		}
	}
}

// Guards against a watch that is repeated until the store drops its history: the versions that were
// written while the store did not answer do not fit into one response.
func TestChangesTooLargeForOneResponse(t *testing.T) {
	d, a, b := startPair(t)
	d.store.SetFault(metastore.NoResponse)
	padding := strings.Repeat("x", 600_000)
	for range 20 {
		d.configure("orders")
		value := d.store.Value(wire.ConfigurationKey)
		d.store.Put(wire.ConfigurationKey, append(value[:len(value)-1], `,"padding":"`+padding+`"}`...))
	}
	time.Sleep(time.Second)
	d.store.SetFault(metastore.NoFault)
	want := uint64(d.version)
	d.eventually("last version", 2*configurationBound, func() bool { return a.version() == want && b.version() == want })
	f := d.openFlow(a)
	d.request(f, a, "i-1:x")
}

// Guards against records that are lost or reappear when the store drops its change history.
func TestDroppedHistory(t *testing.T) {
	d, a, b := startPair(t)
	d.store.Put("x/1", nil)
	d.store.DropHistory()
	d.startServer("i-2", "orders", "laval", 2)
	d.store.DropHistory()
	for _, i := range []*instance{a, b} {
		d.eventually("server known after a dropped history", configurationBound, func() bool { return i.hasRecord(wire.ServerPrefix+"i-2", "ready") })
	}
}

// Guards against an instance that stays unregistered after the store revokes its lease.
func TestRegistrationReturns(t *testing.T) {
	d, _, _ := startPair(t)
	d.eventually("both registered", testTimeout, func() bool { return len(d.store.Keys(instancePrefix)) == 2 })
	d.store.ExpireLeases()
	d.eventually("registered again", testTimeout, func() bool { return len(d.store.Keys(instancePrefix)) == 2 })
}
