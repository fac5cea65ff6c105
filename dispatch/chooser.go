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

// The policies. All except PolicySummaries serve as baselines in benchmarks.
const (
	// PolicySummaries balances the assigned work per unit of capacity and corrects it by
	// the backlog that the load summaries report.
	PolicySummaries Policy = iota
	PolicyRandom
	PolicyRoundRobin
	// PolicyNoSummary draws two dispatchers at random and picks the one that has fewer
	// unanswered requests from this instance.
	PolicyNoSummary
)

// String returns the name used in settings and reports.
func (p Policy) String() string {
	return [...]string{"summaries", "random", "round-robin", "no-summary"}[p]
}

// ChooserConfig configures a Chooser. Zero values select the defaults.
type ChooserConfig struct {
	Policy         Policy
	SummaryMaxAge  time.Duration // older summaries are ignored
	FailureBackoff time.Duration // how long a failed dispatcher is avoided
}

// Defaults of ChooserConfig.
const (
	DefaultSummaryMaxAge  = 1500 * time.Millisecond
	DefaultFailureBackoff = 500 * time.Millisecond
	// sampleSize bounds the candidates compared per choice, which keeps it under 1 us.
	sampleSize = 16
	// maxWorkLag bounds, in seconds of the dispatcher's capacity, how far the assigned
	// work of a candidate may be behind the virtual time. It limits the burst of
	// requests that a candidate gets after it was not chosen for a while.
	maxWorkLag = 0.5
	// backlogMaxAge is the age, in seconds, from which the backlog of a summary is
	// ignored: by then the requests of other instances have changed it.
	backlogMaxAge = 0.2
	// maxExtraWait, in seconds, is how far the expected wait of a dispatcher may exceed
	// the shortest one for the dispatcher to be considered.
	maxExtraWait = 0.01
	// unknownWait, in seconds, is the wait assumed without a fresh summary, so that the
	// dispatcher is used when all others have a noticeable queue.
	unknownWait = 0.05
)

// candidate is what this instance knows about one dispatcher of a service.
type candidate struct {
	instance         string
	hasSummary       bool
	closed           bool  // reports no slots and no expected wait, so it cannot dispatch soon
	observedAt       int64 // time of the last summary, in ns since the chooser's epoch
	avoidUntil       int64 // end of the backoff after a failure, in ns since the epoch
	seq              uint64
	freeSlots        float64
	expectedWait     float64 // seconds
	serviceRate      float64 // requests per second
	cost             float64 // seconds of the dispatcher's capacity per request
	sentSinceSummary float64 // requests sent since the last summary
	unanswered       float64 // unanswered requests from this instance, used by PolicyNoSummary
	assignedWork     float64 // work sent to it, in seconds of its capacity
}

// candidates are the dispatchers of one service.
type candidates struct {
	list            []candidate
	index           map[string]int
	virtualTime     float64
	maxRate         float64
	roundRobinIndex int
}

// Chooser picks a dispatcher for each request from the dispatchers of its service. It
// is not safe for concurrent use.
type Chooser struct {
	cfg          ChooserConfig
	rng          *rand.Rand
	epoch        time.Time
	services     map[uint32]*candidates
	chooserCount int          // instances that choose among the same dispatchers
	sample       []evaluation // reused between calls
}

// NewChooser returns a chooser without candidates.
func NewChooser(cfg ChooserConfig, rng *rand.Rand) *Chooser {
	setDefault(&cfg.SummaryMaxAge, DefaultSummaryMaxAge)
	setDefault(&cfg.FailureBackoff, DefaultFailureBackoff)
	return &Chooser{cfg: cfg, rng: rng, services: make(map[uint32]*candidates)}
}

// SetChooserCount sets the number of instances that choose among the same dispatchers.
func (c *Chooser) SetChooserCount(n int) { c.chooserCount = n }

// SetCandidates sets the dispatchers of a service. The state of dispatchers that were
// candidates before is kept.
func (c *Chooser) SetCandidates(service uint32, instances []string) {
	old := c.services[service]
	if len(instances) == 0 {
		delete(c.services, service)
		return
	}
	s := &candidates{index: make(map[string]int, len(instances))}
	if old != nil {
		s.virtualTime, s.roundRobinIndex = old.virtualTime, old.roundRobinIndex
	}
	for _, id := range instances {
		if _, duplicate := s.index[id]; duplicate {
			continue
		}
		d := candidate{instance: id, assignedWork: s.virtualTime}
		if old != nil {
			if i, ok := old.index[id]; ok {
				d = old.list[i]
			}
		}
		s.index[id] = len(s.list)
		s.list = append(s.list, d)
		s.maxRate = max(s.maxRate, d.serviceRate)
	}
	c.services[service] = s
}

// find returns the candidates of the service and the one of the instance, nil if
// unknown.
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

// Observe records a load summary of a dispatcher.
func (c *Chooser) Observe(now time.Time, instance string, sum *peerpb.Summary) {
	s, d := c.find(sum.GetServiceId(), instance)
	if d == nil {
		return
	}
	d.unanswered = max(0, d.unanswered-1)
	if d.hasSummary && sum.GetSeq() <= d.seq && d.seq-sum.GetSeq() < seqRestartDistance {
		return // a newer summary has already arrived
	}
	if d.seq == 0 {
		d.assignedWork = s.virtualTime // ignore work sent before the capacity was known
	}
	d.hasSummary, d.observedAt, d.seq, d.sentSinceSummary = true, c.toNanos(now), sum.GetSeq(), 0
	d.freeSlots = float64(sum.GetFreeSlots())
	d.expectedWait = float64(sum.GetExpectedWaitMs()) / 1000
	d.serviceRate = float64(sum.GetServiceRateMilli()) / 1000
	d.closed = sum.GetTotalSlots() == 0 && sum.GetExpectedWaitMs() == 0
	s.maxRate = max(s.maxRate, d.serviceRate)
	d.cost = 1 / max(d.serviceRate, minRate(s))
	d.avoidUntil = 0
}

// seqRestartDistance is how far a sequence number must be below the last one to count
// as a restart of the dispatcher instead of a reordered summary.
const seqRestartDistance = 1000

// Choose returns the dispatcher for the next request. ok is false if there is no
// candidate or all are excluded.
func (c *Chooser) Choose(now time.Time, service uint32, exclude []string) (instance string, ok bool) {
	s := c.services[service]
	if s == nil {
		return "", false
	}
	var i int
	switch c.cfg.Policy {
	case PolicyRandom:
		i = c.pickUniform(s, exclude)
	case PolicyRoundRobin:
		i = s.pickRoundRobin(exclude)
	case PolicyNoSummary:
		i = c.pickUniform(s, exclude)
		if j := c.pickUniform(s, exclude); i >= 0 && s.list[j].unanswered < s.list[i].unanswered {
			i = j
		}
	default:
		i = c.pickBySummary(now, s, exclude)
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
	d.sentSinceSummary++
	d.unanswered++
	d.assignedWork = max(d.assignedWork, s.virtualTime-maxWorkLag)
	s.virtualTime = max(s.virtualTime, d.assignedWork)
	cost := d.cost
	if cost == 0 && s.maxRate > 0 {
		cost = 1 / s.maxRate // capacity not known yet
	}
	d.assignedWork = min(d.assignedWork+cost, s.virtualTime+maxWorkLag)
}

// minRate returns the lowest service rate that is assumed for a dispatcher, including
// one whose rate is unknown or zero.
func minRate(s *candidates) float64 { return max(s.maxRate/16, 1) }

// RecordFailure records that a dispatcher could not be reached or did not answer.
func (c *Chooser) RecordFailure(now time.Time, service uint32, instance string) {
	if _, d := c.find(service, instance); d != nil {
		d.hasSummary = false
		d.unanswered = max(0, d.unanswered-1)
		d.avoidUntil = c.toNanos(now.Add(c.cfg.FailureBackoff))
	}
}

// pickBySummary returns the candidate with the lowest score among those with a short
// expected wait (see evaluate). Of more than sampleSize candidates, it compares a sample
// with a random stride: with a stride of 1, a candidate would only ever be compared with
// its neighbours in the list.
func (c *Chooser) pickBySummary(now time.Time, s *candidates, exclude []string) int {
	t := c.toNanos(now)
	n := len(s.list)
	i := c.rng.IntN(n)
	share := 1 / float64(max(n, c.chooserCount))
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
		if t < d.avoidUntil || d.closed && c.fresh(t, d) || slices.Contains(exclude, d.instance) {
			continue
		}
		e := evaluation{index: i}
		e.wait, e.score = c.evaluate(t, s, d, share)
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
		return c.pickUniform(s, exclude)
	}
	return best
}

// evaluation is the result of evaluate for one candidate, in seconds.
type evaluation struct {
	index       int
	wait, score float64
}

// evaluate returns the expected wait of a candidate and its score. The score is the
// work that this instance has sent to it, in seconds of its capacity, plus this
// instance's share of its backlog. The backlog is negative while slots are free.
//
// Equal work per unit of capacity balances the dispatchers, and the backlog corrects for
// the requests of other instances. All choosing instances see the same backlog, so each
// corrects only its share. A share of 1/candidates overcorrects when more instances
// choose than dispatch: with 9 instances and 3 dispatchers the correction was three
// times too large, and one dispatcher was saturated while others had free slots.
// Preferring the free slots of the summaries doubled the 99th percentile of the wait
// with 8 instances and raised it sixfold with 70.
func (c *Chooser) evaluate(t int64, s *candidates, d *candidate, share float64) (wait, score float64) {
	score = max(d.assignedWork, s.virtualTime-maxWorkLag)
	if !c.fresh(t, d) {
		return unknownWait, score
	}
	age := float64(t-d.observedAt) / float64(time.Second)
	backlog := d.expectedWait + (d.sentSinceSummary-d.freeSlots)*d.cost
	return max(0, backlog-age), score + backlog*share*max(0, 1-age/backlogMaxAge)
}

// toNanos converts a time to nanoseconds since the epoch, which are cheaper to compare.
func (c *Chooser) toNanos(now time.Time) int64 {
	if c.epoch.IsZero() {
		c.epoch = now.Add(-time.Second)
	}
	return int64(now.Sub(c.epoch))
}

func (c *Chooser) fresh(t int64, d *candidate) bool {
	return d.hasSummary && t-d.observedAt <= int64(c.cfg.SummaryMaxAge) && t >= d.avoidUntil
}

// pickUniform returns a random candidate that is not excluded, or -1.
func (c *Chooser) pickUniform(s *candidates, exclude []string) int {
	start := c.rng.IntN(len(s.list))
	for k := range s.list {
		if i := (start + k) % len(s.list); !slices.Contains(exclude, s.list[i].instance) {
			return i
		}
	}
	return -1
}

func (s *candidates) pickRoundRobin(exclude []string) int {
	for range s.list {
		s.roundRobinIndex = (s.roundRobinIndex + 1) % len(s.list)
		if !slices.Contains(exclude, s.list[s.roundRobinIndex].instance) {
			return s.roundRobinIndex
		}
	}
	return -1
}
