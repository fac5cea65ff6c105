package dispatch

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/monsoonthread/monsoonthread/peer/peerpb"
)

// Policy selects how a Chooser picks a dispatcher.
type Policy uint8

// The policies. All but PolicySummaries are baselines for measurements.
const (
	// PolicySummaries prefers dispatchers with free slots, otherwise the shorter
	// expected wait of two.
	PolicySummaries Policy = iota
	PolicyRandom
	PolicyRoundRobin
	// PolicyNoSummary takes the one of two with fewer own unanswered requests.
	PolicyNoSummary
)

// String returns the name used in settings and reports.
func (p Policy) String() string {
	return [...]string{"summaries", "random", "round-robin", "no-summary"}[p]
}

// ChooserConfig describes a chooser. Zero values take the defaults.
type ChooserConfig struct {
	Policy         Policy
	SummaryMaxAge  time.Duration // an older summary counts as unknown
	FailureBackoff time.Duration // a dispatcher that failed is avoided for this long
}

// Defaults of ChooserConfig.
const (
	DefaultSummaryMaxAge  = 1500 * time.Millisecond
	DefaultFailureBackoff = 500 * time.Millisecond
	// scanLimit is the number of candidates up to which all are compared. A sample of
	// sampleSize keeps the decision flat above it.
	scanLimit  = 32
	sampleSize = 16
	// maxSentLag bounds, in seconds of the dispatcher's capacity, how much a candidate
	// that was not chosen catches up.
	maxSentLag = 0.5
)

// candidate is a dispatcher of a service as seen from this instance.
type candidate struct {
	instance string
	known    bool
	closed   bool // dispatches nothing, now or soon
	seen     time.Time
	seq      uint64
	free     float64
	wait     float64 // seconds
	rate     float64 // requests per second
	sent     float64 // requests sent since the summary
	pending  float64 // requests without an answer; PolicyNoSummary
	work     float64 // seconds of the dispatcher's capacity that were sent to it
	avoid    time.Time
}

// candidates are the dispatchers of one service.
type candidates struct {
	list    []candidate
	index   map[string]int
	virtual float64
	maxRate float64
	turn    int
}

// Chooser chooses among the dispatchers of each service. It is not safe for
// concurrent use.
type Chooser struct {
	cfg      ChooserConfig
	rng      *rand.Rand
	services map[uint32]*candidates
}

// NewChooser returns a chooser without candidates.
func NewChooser(cfg ChooserConfig, rng *rand.Rand) *Chooser {
	setDefault(&cfg.SummaryMaxAge, DefaultSummaryMaxAge)
	setDefault(&cfg.FailureBackoff, DefaultFailureBackoff)
	return &Chooser{cfg: cfg, rng: rng, services: make(map[uint32]*candidates)}
}

// SetCandidates sets the dispatchers of a service and keeps what is known of them.
func (c *Chooser) SetCandidates(service uint32, instances []string) {
	old := c.services[service]
	if len(instances) == 0 {
		delete(c.services, service)
		return
	}
	s := &candidates{index: make(map[string]int, len(instances))}
	if old != nil {
		s.virtual, s.turn = old.virtual, old.turn
	}
	for _, id := range instances {
		if _, twice := s.index[id]; twice {
			continue
		}
		d := candidate{instance: id, work: s.virtual}
		if old != nil {
			if i, ok := old.index[id]; ok {
				d = old.list[i]
			}
		}
		s.index[id] = len(s.list)
		s.list = append(s.list, d)
		s.maxRate = max(s.maxRate, d.rate)
	}
	c.services[service] = s
}

// find returns the candidate, or nil.
func (c *Chooser) find(service uint32, instance string) (*candidates, *candidate) {
	s := c.services[service]
	if s == nil {
		return nil, nil
	}
	i, ok := s.index[instance]
	if !ok {
		return s, nil
	}
	return s, &s.list[i]
}

// Observe takes in a summary of a dispatcher.
func (c *Chooser) Observe(now time.Time, instance string, sum *peerpb.Summary) {
	s, d := c.find(sum.GetServiceId(), instance)
	if d == nil {
		return
	}
	d.pending = max(0, d.pending-1)
	if d.known && sum.GetSeq() <= d.seq && d.seq-sum.GetSeq() < seqRestart {
		return // overtaken by a newer one
	}
	d.known, d.seen, d.seq, d.sent = true, now, sum.GetSeq(), 0
	d.free = float64(sum.GetFreeSlots())
	d.wait = float64(sum.GetExpectedWaitMs()) / 1000
	d.rate = float64(sum.GetServiceRateMilli()) / 1000
	d.closed = sum.GetTotalSlots() == 0 && sum.GetExpectedWaitMs() == 0
	s.maxRate = max(s.maxRate, d.rate)
	d.avoid = time.Time{}
}

// seqRestart is the distance from which a lower sequence number is a restart of the
// dispatcher and not a summary that was overtaken.
const seqRestart = 1000

// Choose returns the dispatcher for the next request; ok is false if all candidates
// are excluded.
func (c *Chooser) Choose(now time.Time, service uint32, exclude []string) (instance string, ok bool) {
	s := c.services[service]
	if s == nil {
		return "", false
	}
	var i int
	switch c.cfg.Policy {
	case PolicyRandom:
		i = c.uniform(s, exclude)
	case PolicyRoundRobin:
		i = s.roundRobin(exclude)
	case PolicyNoSummary:
		i = c.uniform(s, exclude)
		if j := c.uniform(s, exclude); i >= 0 && s.list[j].pending < s.list[i].pending {
			i = j
		}
	default:
		i = c.bySummary(now, s, exclude)
	}
	if i < 0 {
		return "", false
	}
	return s.list[i].instance, true
}

// Sent records that a request was sent to a dispatcher.
func (c *Chooser) Sent(service uint32, instance string) {
	s, d := c.find(service, instance)
	if d == nil {
		return
	}
	d.sent++
	d.pending++
	d.work = max(d.work, s.virtual-maxSentLag)
	s.virtual = max(s.virtual, d.work)
	if s.maxRate > 0 {
		d.work += 1 / max(d.rate, minRate(s))
	}
	d.work = min(d.work, s.virtual+maxSentLag)
}

// minRate is assumed for a dispatcher of unknown or zero rate.
func minRate(s *candidates) float64 { return max(s.maxRate/float64(sampleSize), 1) }

// Failed records that a dispatcher could not be reached or did not answer.
func (c *Chooser) Failed(now time.Time, service uint32, instance string) {
	if _, d := c.find(service, instance); d != nil {
		d.known = false
		d.pending = max(0, d.pending-1)
		d.avoid = now.Add(c.cfg.FailureBackoff)
	}
}

// bySummary takes a dispatcher with a free slot. Among several it takes the one that
// was sent the least work in relation to its capacity.
func (c *Chooser) bySummary(now time.Time, s *candidates, exclude []string) int {
	best := -1
	consider := func(i int) {
		d := &s.list[i]
		if !c.fresh(now, d) || d.free-d.sent < 1 || slices.Contains(exclude, d.instance) {
			return
		}
		if best < 0 || d.work < s.list[best].work {
			best = i
		}
	}
	n := len(s.list)
	start := c.rng.IntN(n)
	if n <= scanLimit {
		for k := range n {
			consider((start + k) % n)
		}
	} else {
		for range sampleSize {
			consider(c.rng.IntN(n))
		}
	}
	if best >= 0 {
		return best
	}
	return c.shorterWait(now, s, exclude)
}

// shorterWait takes the shorter expected wait of two dispatchers that are drawn in
// proportion to their capacity.
func (c *Chooser) shorterWait(now time.Time, s *candidates, exclude []string) int {
	i, j := c.weighted(now, s, exclude), c.weighted(now, s, exclude)
	if i < 0 || j < 0 {
		return max(i, j)
	}
	if c.expectedWait(now, s, j) < c.expectedWait(now, s, i) {
		return j
	}
	return i
}

func (c *Chooser) fresh(now time.Time, d *candidate) bool {
	return d.known && now.Sub(d.seen) <= c.cfg.SummaryMaxAge && !now.Before(d.avoid)
}

// expectedWait returns seconds; the requests sent since the summary are ahead.
func (c *Chooser) expectedWait(now time.Time, s *candidates, i int) float64 {
	d := &s.list[i]
	if !c.fresh(now, d) {
		return unknownWait
	}
	return d.wait + max(0, d.sent-d.free+1)/max(d.rate, minRate(s))
}

// unknownWait, in seconds, is assumed for a dispatcher without a fresh summary: it is
// used when the others have a noticeable queue.
const unknownWait = 0.05

// weighted draws a dispatcher in proportion to its rate, by rejection.
func (c *Chooser) weighted(now time.Time, s *candidates, exclude []string) int {
	const tries = 16
	last := -1
	for range tries {
		i := c.rng.IntN(len(s.list))
		d := &s.list[i]
		if slices.Contains(exclude, d.instance) || now.Before(d.avoid) || d.closed && c.fresh(now, d) {
			continue
		}
		last = i
		if c.rng.Float64()*s.maxRate <= max(d.rate, minRate(s)) {
			return i
		}
	}
	if last >= 0 {
		return last
	}
	return c.uniform(s, exclude)
}

// uniform draws any candidate that is not excluded, or -1.
func (c *Chooser) uniform(s *candidates, exclude []string) int {
	start := c.rng.IntN(len(s.list))
	for k := range s.list {
		if i := (start + k) % len(s.list); !slices.Contains(exclude, s.list[i].instance) {
			return i
		}
	}
	return -1
}

func (s *candidates) roundRobin(exclude []string) int {
	for range s.list {
		s.turn = (s.turn + 1) % len(s.list)
		if !slices.Contains(exclude, s.list[s.turn].instance) {
			return s.turn
		}
	}
	return -1
}
