package forwarder

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/monsoonthread/monsoonthread/directory"
	"github.com/monsoonthread/monsoonthread/forwarding"
	"github.com/monsoonthread/monsoonthread/internal/standin/flows"
	"github.com/monsoonthread/monsoonthread/internal/standin/metastore"
	"github.com/monsoonthread/monsoonthread/mesh"
	"github.com/monsoonthread/monsoonthread/peer/exchange"
	"github.com/monsoonthread/monsoonthread/platform/wire"
	"github.com/monsoonthread/monsoonthread/result"
)

// Guards against requests that are cut off without an answer in a planned stop under load, while
// the store does not answer: the routers go on sending to the instance until they have seen its
// readiness fail twice.
func TestPlannedStopUnderLoad(t *testing.T) {
	d, a, b := startPair(t)
	d.store.SetFault(metastore.NoResponse)
	stopped := time.Now().Add(300 * time.Millisecond)
	routersLeave := stopped.Add(time.Second)
	var wg sync.WaitGroup
	failed := make(chan error, 1)
	for range 20 {
		wg.Go(func() {
			// 500 new flows a second, below the limit for one source prefix.
			for ; time.Now().Before(routersLeave); time.Sleep(40 * time.Millisecond) {
				f, err := d.client.Open(service, a.datagramAddress(), time.Second)
				if err == nil {
					_, err = f.Request(a.datagramAddress(), "x", time.Second)
				}
				if err != nil {
					select {
					case failed <- err:
					default:
					}
				}
			}
		})
	}
	time.Sleep(time.Until(stopped))
	a.cancel()
	b.cancel() // both instances of the failure domain stop together
	wg.Wait()
	select {
	case err := <-failed:
		t.Errorf("requests failed in a planned stop, the first: %v", err)
	default:
	}
}

// Guards against a server that left and gets flows again after a restart: the listing that the
// instance starts from is older than the server's removal, and the store stops answering.
func TestServerThatLeftStaysAwayAfterRestart(t *testing.T) {
	d, a, _ := startPair(t)
	d.store.FreezeStaleReads()
	d.startServer("i-2", "orders", "laval", 2)
	d.store.Remove(wire.ServerPrefix + "i-1")
	d.eventually("removal known", configurationBound, func() bool {
		return !a.hasRecord(wire.ServerPrefix+"i-1", "") && a.hasRecord(wire.ServerPrefix+"i-2", "ready")
	})
	alone := d.startInstance("c", "levis", 3)
	d.eventually("ready without a seed", testTimeout, func() bool { return d.ready(alone) })
	d.store.SetFault(metastore.NoResponse)
	withSeed := d.startInstance("d", "laval", 4, "127.0.2.1:1")
	d.eventually("ready from a seed", testTimeout, func() bool { return d.ready(withSeed) })
	before := d.servers["i-1"].Counters().Opened
	for range 20 {
		d.openFlow(alone)
		d.openFlow(withSeed)
	}
	if got := d.servers["i-1"].Counters().Opened; got != before {
		t.Errorf("%d new flows at the server that left", got-before)
	}
}

// Guards against a malformed message of a peer or packet of a client that takes the process down:
// valid ones are changed at random and handled by a running instance.
func TestMutatedMessagesDoNotCrash(t *testing.T) {
	d, a, b := startPair(t)
	rng := rand.New(rand.NewPCG(1, 1))
	peer := mesh.Peer{ID: "x", Domain: "laval", Address: netip.MustParseAddrPort("127.0.2.9:1")}
	cookie := uint32(1)
	messages := [][]byte{
		exchange.Append(nil, &exchange.Message{Status: &mesh.Status{Peer: peer, Incarnation: 1, AsOf: 3}, Loads: []forwarding.Load{{Cookie: cookie, Rate: 2}}}),
		exchange.Append(nil, &exchange.Message{Members: []mesh.Peer{peer}, Suspects: []uint32{cookie}, Failures: []uint32{cookie}, Asks: []uint32{cookie}, Alive: []uint32{cookie}, Resets: []uint32{cookie}}),
		exchange.Append(nil, &exchange.Message{LeastLoaded: []exchange.DomainLeastLoaded{{Domain: "levis", Loads: []forwarding.Load{{Cookie: cookie, Rate: 1}}}}}),
		exchange.Append(nil, &exchange.Message{Update: directory.Update{Base: 1, AsOf: 2, Records: []directory.Record{
			{Key: wire.ServerPrefix + "i-9", Value: d.servers["i-1"].Record("ready"), Revision: 2},
			{Key: wire.ConfigurationKey, Revision: 3, Delta: &directory.Delta{Base: 1, Parts: []directory.Part{{Offset: 1, Length: 9}, {Insert: []byte("x")}}}},
		}}}),
	}
	from := netip.MustParseAddrPort("127.0.2.9:1")
	packet := flows.Packet{Source: netip.MustParseAddrPort("127.0.9.1:4000"), Destination: service, Flags: 16, Sequence: 7}
	for range 20_000 {
		m := append([]byte(nil), messages[rng.IntN(len(messages))]...)
		mutate(rng, m)
		if decoded, err := exchange.Decode(m); err == nil {
			decoded.Members = nil
			a.handleMessage(decoded, from)
			if decoded.Update.Complete {
				a.applyUpdate(decoded.Update)
			}
		}
		p := append(make([]byte, wire.EnvelopeBytes), packet.Marshal()...)
		mutate(rng, p[wire.EnvelopeBytes:])
		a.handlePacket(p, from)
	}
	d.request(d.openFlow(b), b, "i-1:x")
	d.eventually("instance still answers", time.Second, func() bool { _, err := net.Dial("tcp4", a.settings.Load().ReadyAddress); return err == nil })
}

// mutate changes up to four random bytes.
func mutate(rng *rand.Rand, b []byte) {
	for range rng.IntN(5) {
		b[rng.IntN(len(b))] = byte(rng.IntN(256))
	}
}

// Guards against a pull that broke off halfway and counts as complete, at each byte of the answer,
// and against its error counting as an unreachable peer.
func TestPullThatBreaksOffChangesNothing(t *testing.T) {
	d, a, _ := startPair(t)
	f, err := newTruncatedPeer(t, d, &exchange.Message{Update: directory.Update{AsOf: 1 << 40, Records: []directory.Record{{Key: "k", Value: []byte("v"), Revision: 1 << 40}}}})
	if err != nil {
		t.Fatal(err)
	}
	for n := range f.frame {
		f.limit = n
		if err := a.pull(t.Context(), f.address, 1); err == nil {
			t.Fatalf("pull with %d of %d bytes succeeded", n, len(f.frame))
		}
		if a.hasRecord("k", "v") {
			t.Fatalf("a record of a pull with %d of %d bytes is in force", n, len(f.frame))
		}
	}
	f.frame, f.limit = []byte{0, 0, 0, 2, 0xff, 0xff}, 6
	if err := a.pull(t.Context(), f.address, 1); result.CodeOf(err) != result.PeerProtocol {
		t.Errorf("malformed frame: %v, want code %d", err, result.PeerProtocol)
	}
}

// truncatedPeer answers pulls with the first bytes of a frame.
type truncatedPeer struct {
	address netip.AddrPort
	frame   []byte
	limit   int
}

func newTruncatedPeer(t *testing.T, d *deployment, m *exchange.Message) (*truncatedPeer, error) {
	var frame frameBuffer
	if err := exchange.WriteFrame(&frame, m); err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp4", fmt.Sprint("127.0.2.9:", d.ports[2]))
	if err != nil {
		return nil, err
	}
	t.Cleanup(func() { l.Close() })
	p := &truncatedPeer{address: netip.MustParseAddrPort(l.Addr().String()), frame: frame}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = exchange.ReadFrame(conn, exchange.MaxPullBytes)
			conn.Write(p.frame[:p.limit])
			conn.Close()
		}
	}()
	return p, nil
}

type frameBuffer []byte

func (b *frameBuffer) Write(p []byte) (int, error) { *b = append(*b, p...); return len(p), nil }
