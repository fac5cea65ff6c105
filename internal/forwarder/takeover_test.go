package forwarder

import (
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/monsoonthread/monsoonthread/directory"
	"github.com/monsoonthread/monsoonthread/mesh"
	"github.com/monsoonthread/monsoonthread/peer/exchange"
	"github.com/monsoonthread/monsoonthread/platform/wire"
)

// storePath is a TCP proxy between one instance and the store.
type storePath struct {
	listener net.Listener

	mu     sync.Mutex
	silent bool // nothing passes, and connections stay open
	refuse bool // connections are closed, also new ones
	open   *sync.Cond
	conns  []net.Conn
}

func newStorePath(t *testing.T, store string) *storePath {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &storePath{listener: l}
	p.open = sync.NewCond(&p.mu)
	t.Cleanup(func() { l.Close(); p.set(false, false) })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go p.relay(conn, store)
		}
	}()
	return p
}

// set changes whether the path is silent or refuses connections.
func (p *storePath) set(silent, refuse bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent, p.refuse = silent, refuse
	p.open.Broadcast()
	if refuse {
		for _, c := range p.conns {
			c.Close()
		}
		p.conns = nil
	}
}

// accept reports whether a new connection stays open.
func (p *storePath) accept(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns = append(p.conns, c)
	return !p.refuse
}

func (p *storePath) relay(client net.Conn, store string) {
	defer client.Close()
	if !p.accept(client) {
		return
	}
	server, err := net.Dial("tcp4", store)
	if err != nil {
		return
	}
	go func() {
		defer client.Close()
		p.copy(client, server)
	}()
	defer server.Close()
	p.copy(server, client)
}

func (p *storePath) copy(to io.Writer, from io.Reader) {
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		if n == 0 && err != nil {
			return
		}
		p.mu.Lock()
		for p.silent {
			p.open.Wait()
		}
		p.mu.Unlock()
		if _, err := to.Write(b[:n]); err != nil {
			return
		}
	}
}

// startWithStorePaths starts instances in a failure domain, each with its own path to the store, and waits
// until they are ready.
func startWithStorePaths(d *deployment, domain string, first, count int) ([]*instance, []*storePath) {
	store := d.storeAddr
	var instances []*instance
	var paths []*storePath
	for n := range count {
		p := newStorePath(d.t, store)
		d.storeAddr = p.listener.Addr().String()
		seed := []string{"127.0.2.1:1"}
		if first+n == 1 {
			seed = nil
		}
		instances = append(instances, d.startInstance(fmt.Sprint(domain, "-", n), domain, first+n, seed...))
		paths = append(paths, p)
	}
	d.storeAddr = store
	for _, i := range instances {
		d.eventually("ready", testTimeout, func() bool { return d.ready(i) })
	}
	return instances, paths
}

// watcher waits until exactly one of the instances watches the store, and returns its index.
func (d *deployment) watcher(instances []*instance) int {
	d.t.Helper()
	var watching []int
	d.eventually("one watcher", testTimeout, func() bool {
		watching = watching[:0]
		for n, i := range instances {
			if i.isWatching() {
				watching = append(watching, n)
			}
		}
		return len(watching) == 1
	})
	return watching[0]
}

// Guards against a configuration and a drain that are in force later than their bounds at instances that
// reach the store, because the instances that read it for their failure domains are cut off from it all
// at the same moment, without a reset or with one.
func TestChangesArriveWhenTheReadersLoseTheStore(t *testing.T) {
	for _, refuse := range []bool{false, true} {
		t.Run(fmt.Sprint("refused ", refuse), func(t *testing.T) {
			d := newDeployment(t)
			d.startServer("i-1", "orders", "laval", 1)
			laval, lavalPaths := startWithStorePaths(d, "laval", 1, 3)
			levis, levisPaths := startWithStorePaths(d, "levis", 11, 2)
			instances, paths := append(laval, levis...), append(lavalPaths, levisPaths...)
			time.Sleep(2 * time.Second) // more than one instance of a domain may read the store after a start
			lost := []int{d.watcher(laval), len(laval) + d.watcher(levis)}
			d.configure("orders")
			time.Sleep(250 * time.Millisecond)
			for _, n := range lost {
				paths[n].set(!refuse, refuse)
			}
			time.Sleep(100 * time.Millisecond)
			d.configure("orders")
			d.store.Put(wire.ServerPrefix+"i-1", d.servers["i-1"].Record("draining"))
			time.Sleep(configurationBound)
			for n, i := range instances {
				if n == lost[0] || n == lost[1] {
					continue
				}
				if i.version() != uint64(d.version) || !i.hasRecord(wire.ServerPrefix+"i-1", "draining") {
					t.Errorf("%v after the change, %s has version %d of %d, drain known: %v", configurationBound, i.self.ID, i.version(), d.version, i.hasRecord(wire.ServerPrefix+"i-1", "draining"))
				}
			}
		})
	}
}

// Guards against records that count as current for longer than they are, because their confirmation is
// dated at the end of the delay after a watch.
func TestConfirmationIsAsOldAsTheAnswer(t *testing.T) {
	d := newDeployment(t)
	a := d.startInstance("a", "laval", 1)
	d.eventually("ready", testTimeout, func() bool { return d.ready(a) && a.isWatching() })
	time.Sleep(2 * maxBatchDelay) // the watch after the start has begun
	d.configure("orders")
	d.eventually("version in force", configurationBound, func() bool { return a.version() == uint64(d.version) })
	answered := time.Now()
	time.Sleep(maxBatchDelay + maxBatchDelay/2) // the next watch is in progress
	a.mu.Lock()
	age, _ := a.mesh.ConfirmationAge(a.now())
	a.mu.Unlock()
	if since := time.Since(answered); age < since-100*time.Millisecond {
		t.Errorf("the records were confirmed %v ago, the store answered %v ago", age, since)
	}
}

// Guards against a version that arrives late, and against a pause in the status messages, because a peer
// that is ahead accepts pulls and does not answer them. The version is too large for a datagram.
func TestPeerThatDoesNotAnswerPullsDelaysNothing(t *testing.T) {
	d, a, b := startPair(t)
	instances := []*instance{a, b}
	time.Sleep(2 * time.Second) // more than one instance may read the store after a start
	watcher := d.watcher(instances)
	follower := instances[1-watcher]
	silent, err := net.Listen("tcp4", fmt.Sprint("127.0.2.9:", d.ports[2]))
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	stop := make(chan struct{})
	defer close(stop)
	ahead, _ := directory.NewPosition(1, 1<<30)
	go func() {
		peer := mesh.Peer{ID: "silent", Domain: "laval", Address: netip.MustParseAddrPort(silent.Addr().String())}
		for tick := time.Tick(100 * time.Millisecond); ; {
			select {
			case <-stop:
				return
			case <-tick:
				follower.handleMessage(&exchange.Message{Status: &mesh.Status{Peer: peer, Incarnation: 1, AsOf: uint64(ahead)}}, peer.Address)
			}
		}
	}()
	for range 4 {
		time.Sleep(700 * time.Millisecond)
		d.configureMany(400)
		accepted := time.Now()
		var silence time.Duration
		d.eventually("large version", configurationBound, func() bool {
			other := instances[watcher]
			other.mu.Lock()
			for _, m := range other.mesh.View(other.now()) {
				if m.ID == follower.self.ID {
					silence = max(silence, m.HeardAgo)
				}
			}
			other.mu.Unlock()
			return follower.version() == uint64(d.version)
		})
		if silence > 3*mesh.StatusInterval {
			t.Errorf("no status for %v", silence)
		}
		t.Logf("in force after %v", time.Since(accepted))
	}
}

// Guards against a takeover whose cause and moment the logs do not show.
func TestTakeoverIsLogged(t *testing.T) {
	d := newDeployment(t)
	log := &logLines{}
	d.log = zerolog.New(log)
	instances, paths := startWithStorePaths(d, "laval", 1, 2)
	paths[d.watcher(instances)].set(false, true)
	for _, want := range []string{`"before":"watching","state":"trying"`, `"before":"trying","state":"watching"`, `"before":"trying","state":"following","holder":"laval-`} {
		d.eventually("log line with "+want, testTimeout, func() bool { return log.contains("store_watch", want) })
	}
}

// contains reports whether a line with the message contains a text.
func (l *logLines) contains(message, text string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, line := range l.lines {
		if strings.Contains(string(line), `"`+message+`"`) && strings.Contains(string(line), text) {
			return true
		}
	}
	return false
}

// configureMany stores a new configuration with many routes to the service orders.
func (d *deployment) configureMany(routes int) {
	d.version++
	var list []string
	for i := range routes {
		list = append(list, fmt.Sprintf(`{"host":"198.18.1.%d","prefix":"/%d/","kind":"idempotent","service":"orders","timeoutMs":%d}`, i%250, 1000+i, d.version))
	}
	d.store.Put(wire.ConfigurationKey, []byte(fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":"orders","healthPath":"/health"}]}`, d.version, strings.Join(list, ","))))
}
