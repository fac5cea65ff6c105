package callers

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/monsoonthread/monsoonthread/caller"
	"github.com/monsoonthread/monsoonthread/result"
)

const (
	// bucketMS is the time resolution of report windows.
	bucketMS = 500
	// Histograms cover 1 us to 2 minutes with a relative error below 1%.
	histogramMaxUS  = 120_000_000
	histogramDigits = 2
	// nanosleepLimit is the longest wait that uses nanosleep(2) instead of a runtime timer,
	// because runtime timers have a resolution of 1 ms.
	nanosleepLimit = 2 * time.Millisecond
)

// bucket holds the outcomes of the requests that were due in one interval of bucketMS.
type bucket struct {
	sent, done, late, refused, unknown, failed uint64
	details                                    map[string]uint64
	latency, lateness                          *hdrhistogram.Histogram
}

func newBucket() *bucket {
	return &bucket{
		details:  map[string]uint64{},
		latency:  hdrhistogram.New(1, histogramMaxUS, histogramDigits),
		lateness: hdrhistogram.New(1, histogramMaxUS, histogramDigits),
	}
}

func (b *bucket) merge(o *bucket) {
	b.sent += o.sent
	b.done += o.done
	b.late += o.late
	b.refused += o.refused
	b.unknown += o.unknown
	b.failed += o.failed
	for k, n := range o.details {
		b.details[k] += n
	}
	b.latency.Merge(o.latency)
	b.lateness.Merge(o.lateness)
}

// generator sends the requests of one Load.
type generator struct {
	load  Load
	index int
	rng   *rand.Rand

	mu      sync.Mutex    // protects buckets and orders
	clients []*flowClient // used only by run
	buckets []*bucket
	orders  []Order
}

// flowClient is the client of one flow, with the number of requests sent on the flow.
type flowClient struct {
	client   *caller.Client
	requests int
	inFlight sync.WaitGroup
}

func newGenerator(l Load, index int, seed uint64) *generator {
	return &generator{load: l, index: index, rng: rand.New(rand.NewPCG(seed, uint64(index)+1)), clients: make([]*flowClient, l.Clients)}
}

// run sends the requests that are due before the context ends, then waits for the responses.
func (g *generator) run(ctx context.Context, start time.Time) error {
	var requests sync.WaitGroup
	defer func() {
		requests.Wait()
		for _, c := range g.clients {
			if c != nil {
				_ = c.client.Close() // no request is in flight
			}
		}
	}()
	end, limited := ctx.Deadline()
	due := start
	for n := 0; ; n++ {
		rate := g.load.rateAt(int(due.Sub(start).Milliseconds()))
		if rate <= 0 {
			due = due.Add(bucketMS * time.Millisecond / 5)
			if !waitUntil(ctx, due) {
				return nil
			}
			continue
		}
		due = due.Add(time.Duration(g.rng.ExpFloat64() / rate * float64(time.Second)))
		if limited && !due.Before(end) {
			// The timer of the context may fire late on a busy machine. A request that is due
			// after the end would be in no window of the report.
			<-ctx.Done()
			return nil
		}
		if !waitUntil(ctx, due) {
			return nil
		}
		c, err := g.flow(n % len(g.clients))
		if err != nil {
			return err
		}
		g.recordSend(start, due)
		requests.Add(1)
		c.inFlight.Add(1)
		go func(due time.Time) {
			defer requests.Done()
			defer c.inFlight.Done()
			g.request(ctx, c.client, start, due, n)
		}(due)
	}
}

// flow returns the flow at an index. It replaces a flow that has reached
// RequestsPerFlow.
func (g *generator) flow(i int) (*flowClient, error) {
	c := g.clients[i]
	if c != nil && g.load.RequestsPerFlow > 0 && c.requests >= g.load.RequestsPerFlow {
		old := c
		go func() {
			old.inFlight.Wait()
			_ = old.client.Close() // no request is in flight
		}()
		c = nil
	}
	if c == nil {
		// Retries are disabled so that every refusal is counted.
		cfg := caller.Config{RetryBudget: -1, AckTimeout: time.Duration(g.load.AckTimeoutMS) * time.Millisecond}
		client, err := caller.Dial(cfg, g.load.Address)
		if err != nil {
			return nil, fmt.Errorf("load %s: %w", g.load.Name, err)
		}
		c = &flowClient{client: client}
		g.clients[i] = c
	}
	c.requests++
	return c, nil
}

// waitUntil sleeps until due. It returns false if the context has ended.
func waitUntil(ctx context.Context, due time.Time) bool {
	if d := time.Until(due); d > nanosleepLimit {
		t := time.NewTimer(d - nanosleepLimit)
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return false
		}
	}
	if d := time.Until(due); d > 0 {
		ts := syscall.NsecToTimespec(int64(d))
		_ = syscall.Nanosleep(&ts, nil) // an interrupted sleep makes the request slightly early
	}
	return ctx.Err() == nil
}

// recordSend counts a request at its intended send time and records how late it was sent.
func (g *generator) recordSend(start, due time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.bucketLocked(start, due)
	b.sent++
	_ = b.lateness.RecordValue(histogramUS(time.Since(due)))
}

func (g *generator) bucketLocked(start, due time.Time) *bucket {
	i := int(due.Sub(start).Milliseconds() / bucketMS)
	for len(g.buckets) <= i {
		g.buckets = append(g.buckets, newBucket())
	}
	return g.buckets[i]
}

func histogramUS(d time.Duration) int64 { return min(max(d.Microseconds(), 1), histogramMaxUS) }

func (g *generator) request(ctx context.Context, c *caller.Client, start, due time.Time, n int) {
	deadline := time.Duration(g.load.DeadlineMS) * time.Millisecond
	id := ""
	r := caller.Request{Method: g.load.Method, Path: g.load.Path, Deadline: deadline}
	if g.load.UniquePayload {
		id = g.load.Name + "-" + strconv.Itoa(g.index) + "-" + strconv.Itoa(n)
		r.Payload = []byte("id=" + id + " ")
	}
	if pad := g.load.PayloadBytes - len(r.Payload); pad > 0 {
		r.Payload = append(r.Payload, strings.Repeat("x", pad)...)
	}
	// The end of the plan must not cancel requests that were already sent.
	resp, err := c.Do(context.WithoutCancel(ctx), r)
	latency := time.Since(due)
	outcome, detail := classify(resp, err, latency <= deadline)

	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.bucketLocked(start, due)
	switch outcome {
	case Done:
		b.done++
	case Late:
		b.late++
	case Refused:
		b.refused++
	case Unknown:
		b.unknown++
	case Failed:
		b.failed++
	}
	if outcome != Done {
		b.details[detail]++
	}
	if outcome == Done || outcome == Late {
		_ = b.latency.RecordValue(histogramUS(latency))
	}
	if id != "" {
		g.orders = append(g.orders, Order{PayloadID: id, Service: g.load.Service, Outcome: outcome, Detail: detail})
	}
}

// classify returns the outcome and, unless the outcome is Done, a detail such as the code.
func classify(resp *caller.Response, err error, inTime bool) (Outcome, string) {
	if err == nil {
		switch {
		case resp.Code == caller.GatewayTimeout:
			return Unknown, resp.Code.String() // the server abandoned the request while it ran
		case !resp.Code.IsSuccess():
			return Failed, resp.Code.String()
		case !inTime:
			return Late, "late"
		}
		return Done, ""
	}
	code := result.CodeOf(err)
	detail := strconv.Itoa(int(code))
	switch {
	case code.NotExecuted():
		return Refused, detail
	case code.OutcomeUnknown() && errors.Is(err, context.DeadlineExceeded):
		return Unknown, detail + " deadline"
	case code.OutcomeUnknown():
		return Unknown, detail
	}
	return Failed, detail
}

func (g *generator) report(fromMS, toMS int) LoadReport {
	g.mu.Lock()
	defer g.mu.Unlock()
	sum := newBucket()
	for i, b := range g.buckets {
		if i*bucketMS >= fromMS && (i+1)*bucketMS <= toMS {
			sum.merge(b)
		}
	}
	seconds := float64(toMS-fromMS) / 1000
	return LoadReport{
		Name: g.load.Name, Service: g.load.Service, Class: g.load.Class,
		Sent: sum.sent, Done: sum.done, Late: sum.late, Refused: sum.refused, Unknown: sum.unknown,
		Failed: sum.failed, Details: sum.details, Goodput: float64(sum.done) / seconds,
		P50US: sum.latency.ValueAtQuantile(50), P99US: sum.latency.ValueAtQuantile(99), MaxUS: sum.latency.Max(),
		SendLateP99US: sum.lateness.ValueAtQuantile(99),
	}
}
