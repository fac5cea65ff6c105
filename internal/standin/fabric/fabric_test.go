package fabric

import (
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"
)

// receiveTimeout bounds the wait for an expected datagram.
const receiveTimeout = 5 * time.Second

var anyPort = netip.MustParseAddrPort("127.0.0.1:0")

// newFabric starts a fabric with one service.
func newFabric(t testing.TB) (*Fabric, netip.AddrPort) {
	t.Helper()
	f, err := New(Config{Listen: anyPort, Seed: 11})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = f.Close() })
	service, err := f.AddService(anyPort)
	if err != nil {
		t.Fatal(err)
	}
	return f, service
}

// echoInstance registers an instance that returns every datagram to its caller, and
// returns the count of datagrams that it received.
func echoInstance(t testing.TB, f *Fabric, id, domain string) *atomic.Uint64 {
	t.Helper()
	conn, address, err := listenUDP(anyPort)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if err := f.SetInstance(Instance{ID: id, Domain: domain, Address: address}); err != nil {
		t.Fatal(err)
	}
	var received atomic.Uint64
	go func() {
		buf := make([]byte, maxDatagramBytes)
		for {
			n, from, err := conn.ReadFromUDPAddrPort(buf)
			if err != nil {
				return
			}
			received.Add(1)
			caller, service, payload, err := ParseHeader(buf[:n])
			if err != nil {
				continue
			}
			header, err := EncodeHeader(service, caller)
			if err != nil {
				continue
			}
			_, _ = conn.WriteToUDPAddrPort(append(header, payload...), from)
		}
	}()
	return &received
}

func dialService(t testing.TB, service netip.AddrPort) *net.UDPConn {
	t.Helper()
	conn, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(service))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetReadBuffer(socketBufferBytes)
	return conn
}

// exchange sends one datagram and reports whether it came back.
func exchange(t testing.TB, conn *net.UDPConn, wait time.Duration) bool {
	t.Helper()
	if _, err := conn.Write([]byte("ping")); err != nil {
		t.Fatal(err)
	}
	if err := conn.SetReadDeadline(time.Now().Add(wait)); err != nil {
		t.Fatal(err)
	}
	buf := make([]byte, 64)
	n, err := conn.Read(buf)
	return err == nil && string(buf[:n]) == "ping"
}

// Guards against responses sent from an address other than the service address, and
// against a random choice that never selects one of the instances.
func TestDatagramsReachAllInstancesAndReturn(t *testing.T) {
	f, service := newFabric(t)
	a, b := echoInstance(t, f, "a", "x"), echoInstance(t, f, "b", "y")
	conn := dialService(t, service) // a connected socket accepts datagrams from the service address only
	for range 100 {
		if !exchange(t, conn, receiveTimeout) {
			t.Fatal("no response")
		}
	}
	if a.Load() < 25 || b.Load() < 25 {
		t.Fatalf("instances received %d and %d of 100 datagrams", a.Load(), b.Load())
	}
	if !f.RemoveInstance("a") || f.RemoveInstance("a") {
		t.Fatal("RemoveInstance does not report whether the instance was registered")
	}
	before := a.Load()
	for range 20 {
		if !exchange(t, conn, receiveTimeout) {
			t.Fatal("no response after the removal of an instance")
		}
	}
	if a.Load() != before {
		t.Fatal("removed instance still receives datagrams")
	}
}

// Guards against a cut that lets datagrams pass, and against datagrams lost to a domain
// whose routes are withdrawn.
func TestCut(t *testing.T) {
	f, service := newFabric(t)
	a := echoInstance(t, f, "a", "x")
	conn := dialService(t, service)
	f.SetCuts([]Cut{{Domain: "x"}})
	if exchange(t, conn, 100*time.Millisecond) || a.Load() != 0 || f.Counters().CutDropped != 1 {
		t.Fatalf("datagram passed the cut: %+v", f.Counters())
	}
	echoInstance(t, f, "b", "y")
	f.SetCuts([]Cut{{Domain: "x", Withdrawn: true}})
	for range 20 {
		if !exchange(t, conn, receiveTimeout) {
			t.Fatal("datagram lost although the routes to the domain are withdrawn")
		}
	}
}

// Guards against impairments that occur at another rate than the configured one.
func TestImpairment(t *testing.T) {
	f, service := newFabric(t)
	received := echoInstance(t, f, "a", "x")
	conn := dialService(t, service)
	f.SetImpairment(Impairment{Loss: 0.5})
	const n = 2000
	for range n {
		if _, err := conn.Write([]byte("ping")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Microsecond)
	}
	waitFor(t, func() bool { return f.Counters().Received == n })
	if got := received.Load(); got < n*4/10 || got > n*6/10 {
		t.Fatalf("%d of %d datagrams arrived at a loss rate of 0.5", got, n)
	}
	f.SetImpairment(Impairment{DelayMS: 30})
	begin := time.Now()
	if !exchange(t, conn, receiveTimeout) {
		t.Fatal("delayed datagram is lost")
	}
	for time.Since(begin) < 60*time.Millisecond {
		if !exchange(t, conn, receiveTimeout) {
			t.Fatal("delayed datagram is lost")
		}
	}
	if f.Counters().Delayed == 0 {
		t.Fatal("no datagram was delayed")
	}
}

func waitFor(t testing.TB, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(receiveTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("condition not met within the time limit")
		}
	}
}

// Guards against a fabric that becomes the bottleneck of an experiment: it must carry
// 50,000 datagrams/s. The reported rate counts both directions.
func BenchmarkRoundTrip(b *testing.B) {
	f, service := newFabric(b)
	for i := range 4 {
		echoInstance(b, f, fmt.Sprintf("i%d", i), "x")
	}
	const callers, window = 4, 64
	var returned atomic.Uint64
	tokens := make(chan struct{}, callers*window)
	var conns []*net.UDPConn
	for range callers {
		conn := dialService(b, service)
		conns = append(conns, conn)
		go func() {
			buf := make([]byte, 256)
			for {
				if _, err := conn.Read(buf); err != nil {
					return
				}
				returned.Add(1)
				<-tokens
			}
		}()
	}
	payload := make([]byte, 100)
	b.ResetTimer()
	for i := range b.N {
		tokens <- struct{}{}
		if _, err := conns[i%callers].Write(payload); err != nil {
			b.Fatal(err)
		}
	}
	waitFor(b, func() bool { return returned.Load() == uint64(b.N) })
	b.ReportMetric(2*float64(b.N)/b.Elapsed().Seconds(), "datagrams/s")
}
