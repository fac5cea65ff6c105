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

// recorder notes what a transport reports, in order.
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

type noClock struct{}

func (noClock) Now() uint64    { return 1 }
func (noClock) Observe(uint64) {}

// service passes incoming links to a transport.
type service struct {
	peerpb.UnimplementedPeerServer
	transport *Transport
}

func (s *service) Link(stream grpc.ClientStreamingServer[peerpb.Envelope, peerpb.LinkReply]) error {
	return s.transport.Receive(stream)
}

// newInstance returns a transport that serves on loopback.
func newInstance(t *testing.T, id, domain string) (*Transport, *recorder, Address, *grpc.Server) {
	t.Helper()
	r := &recorder{}
	tr := NewTransport(&peerpb.Hello{Instance: id, Domain: domain}, noClock{}, r, insecure.NewCredentials())
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
	t.Fatalf("%s did not happen", what)
}

func dispatchEnvelope(id uint64) *peerpb.Envelope {
	return &peerpb.Envelope{Body: &peerpb.Envelope_Dispatch{Dispatch: &peerpb.Dispatch{Id: id}}}
}

// Guards against envelopes that are lost without a report, and against a broken link
// that nobody hears of: requests over it would wait for their deadline.
func TestLinkDeliversAndReportsItsEnd(t *testing.T) {
	a, heard, _, _ := newInstance(t, "a", "laval")
	_, got, address, server := newInstance(t, "b", "levis")
	for i := range 100 {
		if err := a.Send(address, dispatchEnvelope(uint64(i))); err != nil {
			t.Fatal(err)
		}
	}
	eventually(t, "delivery of 100 envelopes", func() bool { n, _ := got.counts(); return n == 100 })
	server.Stop()
	eventually(t, "report of the broken link", func() bool { _, n := heard.counts(); return n > 0 })
}

// Guards against an envelope that was certainly not sent and counts as possibly lost:
// a non-idempotent request would end with an unknown outcome instead of a retry.
func TestUnreachablePeerReportsUnsentFirst(t *testing.T) {
	a, heard, _, _ := newInstance(t, "a", "laval")
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed.Close()
	if err := a.Send(Address{ID: "b", Domain: "levis", Target: closed.Addr().String()}, dispatchEnvelope(1)); err != nil {
		t.Fatal(err)
	}
	eventually(t, "report of the unsent envelope", func() bool { _, n := heard.counts(); return n > 0 })
	heard.mu.Lock()
	defer heard.mu.Unlock()
	if heard.reports[0] != "unsent dispatch" {
		t.Errorf("reports: %v", heard.reports)
	}
}

// Guards against a cut that lets packets through in one direction.
func TestCutDropsBothDirections(t *testing.T) {
	a, fromB, addressA, _ := newInstance(t, "a", "laval")
	b, fromA, addressB, _ := newInstance(t, "b", "levis")
	for _, pair := range []struct {
		tr *Transport
		to Address
	}{{a, addressB}, {b, addressA}} {
		if err := pair.tr.Send(pair.to, dispatchEnvelope(1)); err != nil {
			t.Fatal(err)
		}
	}
	eventually(t, "delivery before the cut", func() bool {
		na, _ := fromA.counts()
		nb, _ := fromB.counts()
		return na == 1 && nb == 1
	})
	a.SetCut(func(domain string) bool { return domain == "levis" })
	_ = a.Send(addressB, dispatchEnvelope(2))
	_ = b.Send(addressA, dispatchEnvelope(2))
	time.Sleep(100 * time.Millisecond)
	na, _ := fromA.counts()
	nb, _ := fromB.counts()
	if na != 1 || nb != 1 {
		t.Errorf("after the cut %d and %d envelopes arrived, want 1 and 1", na, nb)
	}
}
