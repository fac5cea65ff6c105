package peer

import (
	"net"
	"sync"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/monsoonthread/monsoonthread/peer/peerpb"
)

// recorder is a Handler that records its calls in order.
type recorder struct {
	mu       sync.Mutex
	received []string
	reports  []string
}

func (r *recorder) Received(from string, env *peerpb.Envelope) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.received = append(r.received, from+":"+KindOf(env))
}

func (r *recorder) Unsent(to string, env *peerpb.Envelope) { r.report("unsent " + KindOf(env)) }
func (r *recorder) LinkLost(to string)                     { r.report("lost") }

func (r *recorder) report(s string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reports = append(r.reports, s)
}

func (r *recorder) counts() (received, reports int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.received), len(r.reports)
}

type fixedClock struct{}

func (fixedClock) Now() uint64    { return 1 }
func (fixedClock) Observe(uint64) {}

// service passes incoming links to a transport.
type service struct {
	peerpb.UnimplementedPeerServer
	transport *Transport
}

func (s *service) Link(stream grpc.ClientStreamingServer[peerpb.Envelope, peerpb.LinkReply]) error {
	return s.transport.Receive(stream)
}

// newInstance returns a transport that serves on loopback, with its handler, address
// and server.
func newInstance(t *testing.T, id, domain string) (*Transport, *recorder, Address, *grpc.Server) {
	t.Helper()
	r := &recorder{}
	tr := NewTransport(&peerpb.Hello{Instance: id, Domain: domain}, fixedClock{}, r, insecure.NewCredentials())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer(ServerOptions(insecure.NewCredentials())...)
	peerpb.RegisterPeerServer(server, &service{transport: tr})
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { tr.Close(); server.Stop() })
	return tr, r, Address{ID: id, Domain: domain, Target: l.Addr().String()}, server
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("timed out waiting for %s", what)
}

func dispatchEnvelope(id uint64) *peerpb.Envelope {
	return &peerpb.Envelope{Body: &peerpb.Envelope_Dispatch{Dispatch: &peerpb.Dispatch{Id: id}}}
}

// Guards against envelopes lost without a report, and against an unreported broken
// link: requests sent over it would wait for their deadline.
func TestLinkDeliversAndReportsItsEnd(t *testing.T) {
	a, recorderA, _, _ := newInstance(t, "a", "laval")
	_, recorderB, address, server := newInstance(t, "b", "levis")
	for i := range 100 {
		if err := a.Send(address, dispatchEnvelope(uint64(i))); err != nil {
			t.Fatal(err)
		}
	}
	eventually(t, "delivery of 100 envelopes", func() bool { n, _ := recorderB.counts(); return n == 100 })
	server.Stop()
	eventually(t, "report of the broken link", func() bool { _, n := recorderA.counts(); return n > 0 })
}

// Guards against a certainly unsent envelope that is reported as possibly lost: a
// non-idempotent request would end with an unknown outcome instead of being retried.
func TestUnreachablePeerReportsUnsentFirst(t *testing.T) {
	a, recorderA, _, _ := newInstance(t, "a", "laval")
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed.Close()
	if err := a.Send(Address{ID: "b", Domain: "levis", Target: closed.Addr().String()}, dispatchEnvelope(1)); err != nil {
		t.Fatal(err)
	}
	eventually(t, "report of the unsent envelope", func() bool { _, n := recorderA.counts(); return n > 0 })
	recorderA.mu.Lock()
	defer recorderA.mu.Unlock()
	if recorderA.reports[0] != "unsent dispatch" {
		t.Errorf("reports: %v", recorderA.reports)
	}
}

// Guards against an injected partition that lets envelopes through in one direction.
func TestPartitionDropsBothDirections(t *testing.T) {
	a, recorderA, addressA, _ := newInstance(t, "a", "laval")
	b, recorderB, addressB, _ := newInstance(t, "b", "levis")
	for _, pair := range []struct {
		tr *Transport
		to Address
	}{{a, addressB}, {b, addressA}} {
		if err := pair.tr.Send(pair.to, dispatchEnvelope(1)); err != nil {
			t.Fatal(err)
		}
	}
	eventually(t, "delivery before the partition", func() bool {
		receivedB, _ := recorderB.counts()
		receivedA, _ := recorderA.counts()
		return receivedB == 1 && receivedA == 1
	})
	a.SetPartition(func(domain string) bool { return domain == "levis" })
	_ = a.Send(addressB, dispatchEnvelope(2))
	_ = b.Send(addressA, dispatchEnvelope(2))
	time.Sleep(100 * time.Millisecond)
	receivedB, _ := recorderB.counts()
	receivedA, _ := recorderA.counts()
	if receivedB != 1 || receivedA != 1 {
		t.Errorf("received %d and %d envelopes after the partition, want 1 and 1", receivedB, receivedA)
	}
}
