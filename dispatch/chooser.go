package dispatch

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/monsoonthread/monsoonthread/peer/peerpb"
)

// Policy selects how a Chooser picks a dispatcher.
type Policy uint8

// The policies. All but PolicySummaries are baselines for measurements.
const (
	// PolicySummaries balances the work per capacity and corrects it by the backlog in
	// the summaries.
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
	// sampleSize bounds the candidates of one choice, which keeps it under 1 us.
	sampleSize = 16
	// maxSentLag bounds, in seconds of the dispatcher's capacity, how much a candidate
	// that was not chosen catches up.
	maxSentLag = 0.5
	// backlogMemory is the age, in seconds, at which the backlog of a summary no longer
	// counts: by then the requests of others have changed it.
	backlogMemory = 0.2
	// maxExtraWait, in seconds, is how much longer than the shortest the expected wait
	// may be for a dispatcher to be considered.
	maxExtraWait = 0.01
	// unknownWait, in seconds, is assumed without a fresh summary: the dispatcher is used
	// when all others have a noticeable queue.
	unknownWait = 0.05
)

// candidate is a dispatcher of a service as seen from this instance.
type candidate struct {
	instance string
	known    bool
	closed   bool  // dispatches nothing, now or soon
	seen     int64 // ns since the chooser's epoch
	avoid    int64 // not used before
	seq      uint64
	free     float64
	wait     float64 // seconds
	rate     float64 // requests per second
	cost     float64 // seconds of its capacity per request
	sent     float64 // requests sent since the summary
	pending  float64 // requests without an answer; PolicyNoSummary
	work     float64 // seconds of the dispatcher's capacity that were sent to it
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
	epoch    time.Time
	services map[uint32]*candidates
	holders  int          // instances that choose
	sample   []evaluation // scratch
}

// NewChooser returns a chooser without candidates.
func NewChooser(cfg ChooserConfig, rng *rand.Rand) *Chooser {
	setDefault(&cfg.SummaryMaxAge, DefaultSummaryMaxAge)
	setDefault(&cfg.FailureBackoff, DefaultFailureBackoff)
	return &Chooser{cfg: cfg, rng: rng, services: make(map[uint32]*candidates)}
}

// SetHolders sets how many instances choose among the same dispatchers.
func (c *Chooser) SetHolders(n int) { c.holders = n }

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
	if d.seq == 0 {
		d.work = s.virtual // what was sent before its capacity was known does not count
	}
	d.known, d.seen, d.seq, d.sent = true, c.time(now), sum.GetSeq(), 0
	d.free = float64(sum.GetFreeSlots())
	d.wait = float64(sum.GetExpectedWaitMs()) / 1000
	d.rate = float64(sum.GetServiceRateMilli()) / 1000
	d.closed = sum.GetTotalSlots() == 0 && sum.GetExpectedWaitMs() == 0
	s.maxRate = max(s.maxRate, d.rate)
	d.cost = 1 / max(d.rate, minRate(s))
	d.avoid = 0
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
	cost := d.cost
	if cost == 0 && s.maxRate > 0 {
		cost = 1 / s.maxRate // not known yet
	}
	d.work = min(d.work+cost, s.virtual+maxSentLag)
}

// minRate is assumed for a dispatcher of unknown or zero rate.
func minRate(s *candidates) float64 { return max(s.maxRate/16, 1) }

// Failed records that a dispatcher could not be reached or did not answer.
func (c *Chooser) Failed(now time.Time, service uint32, instance string) {
	if _, d := c.find(service, instance); d != nil {
		d.known = false
		d.pending = max(0, d.pending-1)
		d.avoid = c.time(now.Add(c.cfg.FailureBackoff))
	}
}

// bySummary takes the dispatcher with the lowest score among those with a short
// expected wait; see evaluate. Of many candidates, some at a random distance from each
// other are compared; neighbours alone would never be compared with the rest.
func (c *Chooser) bySummary(now time.Time, s *candidates, exclude []string) int {
	t := c.time(now)
	n := len(s.list)
	i := c.rng.IntN(n)
	part := 1 / float64(max(n, c.holders))
	c.sample = c.sample[:0]
	shortest := math.Inf(1)
	step := 1
	if n > sampleSize {
		step += c.rng.IntN(n - 1)
	}
	for range min(n, sampleSize) {
		if i += step; i >= n {
			i -= n
		}
		d := &s.list[i]
		if t < d.avoid || d.closed && c.fresh(t, d) || slices.Contains(exclude, d.instance) {
			continue
		}
		e := evaluation{index: i}
		e.wait, e.score = c.evaluate(t, s, d, part)
		shortest = min(shortest, e.wait)
		c.sample = append(c.sample, e)
	}
	best := -1
	lowest := math.Inf(1)
	for k := range c.sample {
		if e := &c.sample[k]; e.wait <= shortest+maxExtraWait && e.score < lowest {
			best, lowest = e.index, e.score
		}
	}
	if best < 0 {
		return c.uniform(s, exclude)
	}
	return best
}

// evaluation is a candidate's part in one choice. Both values are seconds.
type evaluation struct {
	index       int
	wait, score float64
}

// evaluate computes the expected wait of a candidate and its score. The score is the
// work that this instance sent to it, in seconds of its capacity, plus this instance's
// part of its backlog. A backlog is negative while slots are free.
//
// Equal work per capacity balances the dispatchers, and the backlog corrects for what
// others send. All instances that choose see the same backlog, so each corrects only its
// part. With the part computed from the candidates alone, 9 instances before 3 dispatchers
// corrected three times too much, and one dispatcher was saturated while others had free
// slots. When each went to the free slots of the
// summaries first, the 99th percentile of the wait was 2 times as long with 8 instances
// and 6 times with 70.
func (c *Chooser) evaluate(t int64, s *candidates, d *candidate, part float64) (wait, score float64) {
	score = max(d.work, s.virtual-maxSentLag)
	if !c.fresh(t, d) {
		return unknownWait, score
	}
	age := float64(t-d.seen) / float64(time.Second)
	backlog := d.wait + (d.sent-d.free)*d.cost
	return max(0, backlog-age), score + backlog*part*max(0, 1-age/backlogMemory)
}

// time converts to nanoseconds since the epoch, which are cheaper to compare.
func (c *Chooser) time(now time.Time) int64 {
	if c.epoch.IsZero() {
		c.epoch = now.Add(-time.Second)
	}
	return int64(now.Sub(c.epoch))
}

func (c *Chooser) fresh(t int64, d *candidate) bool {
	return d.known && t-d.seen <= int64(c.cfg.SummaryMaxAge) && t >= d.avoid
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
