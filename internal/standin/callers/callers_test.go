package callers

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/monsoonthread/monsoonthread/internal/standin/backendserver"
)

func startServer(t *testing.T, spec backendserver.Spec) (*backendserver.Host, *backendserver.Server) {
	t.Helper()
	h := backendserver.NewHost()
	t.Cleanup(h.Close)
	spec.Name, spec.Service, spec.Seed = "s1", "orders", 3
	spec.Address = netip.MustParseAddrPort("127.0.0.1:0")
	s, err := h.Start(spec)
	if err != nil {
		t.Fatal(err)
	}
	return h, s
}

func run(t *testing.T, p Plan) *Runner {
	t.Helper()
	r, err := New(p)
	if err != nil {
		t.Fatal(err)
	}
	if err := r.Run(context.Background()); err != nil {
		t.Fatal(err)
	}
	return r
}

// Guards against a generator whose rate drops with a slow server, against lost outcomes,
// and against duplicate payload IDs.
func TestLoadIsOpenLoopAndAccountsForEveryRequest(t *testing.T) {
	h, s := startServer(t, backendserver.Spec{MeanWorkMS: 100, Sigma: 0.01, Slots: 2})
	r := run(t, Plan{Seed: 1, DurationMS: 1000, Loads: []Load{{
		Name: "order", Service: "orders", Address: s.Address(), Method: "POST", Path: "/orders/order", Rate: 200,
		UniquePayload: true, Clients: 4, RequestsPerFlow: 10, DeadlineMS: 1000,
	}}})
	l := r.Report(0, 0).Loads[0]
	if l.Sent < 150 || l.Sent > 250 {
		t.Fatalf("sent %d requests, want about 200", l.Sent)
	}
	orders := map[string]Outcome{}
	for _, o := range r.Orders() {
		orders[o.PayloadID] = o.Outcome
	}
	if l.Done+l.Late+l.Refused+l.Unknown+l.Failed != l.Sent || uint64(len(orders)) != l.Sent {
		t.Fatalf("%d orders, report %+v", len(orders), l)
	}
	log, _ := h.Log().After(0)
	executed := uint64(0)
	for _, e := range log {
		if done := orders[e.PayloadID] == Done; done == e.Shed {
			t.Fatalf("order %s with shed=%v has the outcome %q", e.PayloadID, e.Shed, orders[e.PayloadID])
		}
		if !e.Shed {
			executed++
		}
	}
	if executed != l.Done || uint64(len(log)) != l.Sent || l.P50US < 99_000 {
		t.Fatalf("%d arrivals, %d executions, report %+v", len(log), executed, l)
	}
}

// lateContext is a context whose timer fires later than its deadline, as on a busy machine.
type lateContext struct {
	context.Context
	deadline time.Time
}

func (c lateContext) Deadline() (time.Time, bool) { return c.deadline, true }

// Guards against requests that are due after the end of the plan: they are executed and have an
// outcome, but no window of the report counts them.
func TestNoRequestIsDueAfterTheEnd(t *testing.T) {
	_, s := startServer(t, backendserver.Spec{MeanWorkMS: 1, Slots: 4})
	const planMS = 500
	g := newGenerator(Load{
		Name: "order", Service: "orders", Address: s.Address(), Method: "POST", Path: "/orders/order", Rate: 200,
		UniquePayload: true, Clients: 4, DeadlineMS: 1000,
	}, 0, 1)
	start := time.Now()
	ctx, cancel := context.WithDeadline(context.Background(), start.Add((planMS+200)*time.Millisecond))
	defer cancel()
	if err := g.run(lateContext{ctx, start.Add(planMS * time.Millisecond)}, start); err != nil {
		t.Fatal(err)
	}
	if sent := g.report(0, planMS).Sent; sent == 0 || uint64(len(g.orders)) != sent {
		t.Fatalf("%d orders, %d requests in the report of the plan", len(g.orders), sent)
	}
}

// Guards against stream checks that miss a silent server or count a healthy stream as
// broken.
func TestStreamsReportSilence(t *testing.T) {
	_, s := startServer(t, backendserver.Spec{TickMS: 50})
	r, err := New(Plan{DurationMS: 1500, Streams: []StreamLoad{{
		Service: "orders", Address: s.Address(), Path: "/orders/watch", Count: 5, TickMS: 50, BrokenAfterMS: 400,
	}}})
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error)
	go func() { done <- r.Run(context.Background()) }()
	time.Sleep(500 * time.Millisecond)
	if rep := r.Report(0, 0).Streams[0]; rep.Established != 5 || rep.Broken != 0 || rep.WrongPath+rep.StepsBack+rep.MissedTicks != 0 {
		t.Fatalf("healthy streams are reported as %+v", rep)
	}
	s.Kill(true)
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	if rep := r.Report(0, 0).Streams[0]; rep.Broken != 5 || rep.LongestSilenceMS < 900 {
		t.Fatalf("silent streams are reported as %+v", rep)
	}
}

// Guards against an archive with wrong content that is counted as complete.
func TestArchivesAreCompared(t *testing.T) {
	_, s := startServer(t, backendserver.Spec{ArchiveSeed: 9, ArchiveBytes: 3000, BlockWorkMS: 0.1})
	load := ArchiveLoad{Service: "orders", Address: s.Address(), Path: "/orders/archive", Names: []string{"a"}, Seed: 9, Bytes: 3000, Fetches: 2}
	if rep := run(t, Plan{DurationMS: 5000, Archives: []ArchiveLoad{load}}).Report(0, 0).Archives[0]; rep.Complete != 2 || rep.Incomplete+rep.Wrong != 0 {
		t.Fatalf("report %+v", rep)
	}
	load.Seed = 10
	if rep := run(t, Plan{DurationMS: 5000, Archives: []ArchiveLoad{load}}).Report(0, 0).Archives[0]; rep.Wrong != 2 {
		t.Fatalf("archives with other content are reported as %+v", rep)
	}
}
