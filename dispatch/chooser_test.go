package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/monsoonthread/monsoonthread/peer/peerpb"
)

// chooserFixture is a chooser with the candidates i0, i1, ... for service 1.
type chooserFixture struct {
	c   *Chooser
	now time.Time
	seq uint64
}

func newChooserFixture(n int) *chooserFixture {
	f := &chooserFixture{c: NewChooser(ChooserConfig{}, rand.New(rand.NewPCG(1, 2))), now: time.Unix(1000, 0)}
	var ids []string
	for i := range n {
		ids = append(ids, fmt.Sprint("i", i))
	}
	f.c.SetCandidates(1, ids)
	return f
}

func (f *chooserFixture) summary(i int, free, waitMs, rate uint32) {
	f.seq++
	f.c.Observe(f.now, fmt.Sprint("i", i), &peerpb.Summary{ServiceId: 1, FreeSlots: free, TotalSlots: 4,
		ExpectedWaitMs: waitMs, ServiceRateMilli: rate * 1000, Seq: f.seq})
}

// sendRequests sends n requests and returns the number of requests per candidate.
func (f *chooserFixture) sendRequests(n int, exclude ...string) map[string]int {
	counts := map[string]int{}
	for range n {
		id, ok := f.c.Choose(f.now, 1, exclude)
		if !ok {
			id = "none"
		} else {
			f.c.Sent(1, id)
		}
		counts[id]++
	}
	return counts
}

// Guards against queueing at one dispatcher while another has free slots, and against
// sending more requests on one summary than the free slots it reports.
func TestChooserUsesFreeSlotsFirst(t *testing.T) {
	f := newChooserFixture(3)
	f.summary(0, 0, 20, 1000)
	f.summary(1, 5, 0, 100)
	f.summary(2, 0, 20, 1000)
	if got := f.sendRequests(5); got["i1"] != 5 {
		t.Errorf("5 requests went to %v, want i1 with 5 free slots", got)
	}
	if got := f.sendRequests(40); got["i1"] > 5 {
		t.Errorf("without free slots, requests went to %v, want few to the slow i1", got)
	}
}

// Guards against a herd effect, in which all instances send to the free slots of the
// same summary. Each instance may use only its share, so that together they fill the
// free slots once on average, in addition to the dispatcher's regular share. The
// instances start with different amounts of assigned work.
func TestChoosersDoNotHerd(t *testing.T) {
	const instances, trials, requests, free = 20, 30, 2, 4
	rng := rand.New(rand.NewPCG(1, 2))
	sent := 0
	for range trials * instances {
		f := newChooserFixture(instances)
		for range 2 {
			for i := range instances {
				f.summary(i, 1, 0, uint32(50+rng.IntN(100)))
			}
			f.sendRequests(20 + rng.IntN(40))
		}
		for i := range instances {
			f.summary(i, 1, 0, 100)
		}
		f.summary(7, free, 0, 100)
		sent += f.sendRequests(requests)["i7"]
	}
	if got, want := float64(sent)/trials, float64(free+requests); got > want {
		t.Errorf("%d instances sent %.1f requests to a dispatcher with %d free slots, want %.1f", instances, got, free, want)
	}
}

// Guards against load that is not proportional to capacity, including when only a
// sample of the candidates is compared.
func TestChooserFollowsCapacity(t *testing.T) {
	for _, n := range []int{8, 70, 300} {
		f := newChooserFixture(n)
		total := 0.0
		for i := range n {
			f.summary(i, 4, 0, uint32(100+700*i/(n-1)))
			total += float64(100 + 700*i/(n-1))
		}
		const requests = 200000
		got := f.sendRequests(requests)
		for i := range n {
			want := requests * float64(100+700*i/(n-1)) / total
			if x := float64(got[fmt.Sprint("i", i)]); x > 1.05*want || x < 0.95*want {
				t.Errorf("%d candidates: i%d got %.0f requests, want %.0f", n, i, x, want)
			}
		}
	}
}

// Guards against choices based on summaries that are stale or reordered, or that come
// from a dispatcher that failed or has no capacity.
func TestChooserIgnoresUnusableSummaries(t *testing.T) {
	prepare := map[string]func(f *chooserFixture){
		"stale":     func(f *chooserFixture) { f.now = f.now.Add(DefaultSummaryMaxAge + 1) },
		"failed":    func(f *chooserFixture) { f.c.RecordFailure(f.now, 1, "i0") },
		"closed":    func(f *chooserFixture) { f.c.Observe(f.now, "i0", &peerpb.Summary{ServiceId: 1, Seq: 99}) },
		"reordered": func(f *chooserFixture) { f.summary(0, 0, 500, 100); f.seq = 0; f.summary(0, 100, 0, 100) },
	}
	for name, change := range prepare {
		t.Run(name, func(t *testing.T) {
			f := newChooserFixture(2)
			f.summary(0, 100, 0, 100)
			f.seq = 0
			f.summary(1, 1, 0, 100)
			f.seq = 2
			change(f)
			f.seq = 100
			f.summary(1, 20, 0, 100)
			if got := f.sendRequests(20); got["i1"] != 20 {
				t.Errorf("requests went to %v, want only i1", got)
			}
		})
	}
}

// Guards against choosing an excluded candidate, and against choosing none although one
// is left.
func TestChooserExcludes(t *testing.T) {
	for p := range PolicyNoSummary + 1 {
		f := newChooserFixture(3)
		f.c.cfg.Policy = p
		if got := f.sendRequests(50, "i0", "i2"); got["i1"] != 50 {
			t.Errorf("%v: requests went to %v, want i1", p, got)
		}
		if got := f.sendRequests(1, "i0", "i1", "i2"); got["none"] != 1 {
			t.Errorf("%v: an excluded candidate was chosen: %v", p, got)
		}
	}
}
