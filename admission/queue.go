// Package admission decides which requests wait for a slot, which are refused, and
// in which order the waiting ones go. Refusals are made before a request is sent to
// any backend server, so they are always "not run".
package admission

import (
	"time"

	"github.com/monsoonthread/monsoonthread/config"
	"github.com/monsoonthread/monsoonthread/result"
)

// Item is one request.
type Item struct {
	ID         uint64
	Class      config.Class
	CallerHash uint64
	Arrived    time.Time
	Deadline   time.Time
	Retry      bool
	Preferred  string // backend server that holds what the request continues
	Payload    any
	Context    uint64 // belongs to the owner of the queue
}

// Estimate is what the dispatcher expects of the capacity behind the queue.
type Estimate struct {
	ServiceTime time.Duration // time that the request takes once it has a slot
	Rate        float64       // requests per second that all slots complete
	Delay       time.Duration // time until the first slot is usable at all
}

// Config describes a queue. Zero values take the defaults.
type Config struct {
	MinShares   [config.NumClasses]uint32 // percent
	MaxDeadline time.Duration             // longest deadline of the service
	MaxPerClass int                       // upper limit of the derived bound
	Buckets     int                       // sub-queues per class, a power of two
	Seed        uint64                    // callers must not be able to choose their sub-queue
}

// Defaults of Config.
const (
	DefaultMaxPerClass = 4096
	DefaultBuckets     = 256
	// minBound lets a burst wait at a service whose rate is still unknown or low.
	minBound = 8
	// creditLimit bounds, in requests of the class with the longest ones, what a class
	// may claim at once after waiting.
	creditLimit = 2.0
	// costGain is the weight of one sample in the mean slot time of a class.
	costGain = 1.0 / 16
	// shareMargin raises the shares a little: the costs are estimates, and with exactly
	// its share a class got up to 1% less than it.
	shareMargin = 1.03
	minCost     = 1e-6 // seconds; keeps the ratio of costs finite
	none        = int32(-1)
)

// Refusal is the error of a refused request.
type Refusal struct {
	Err        *result.Error
	RetryAfter time.Duration
}

// Error returns the text of the result.
func (r *Refusal) Error() string { return r.Err.Error() }

// Unwrap gives access to the result code.
func (r *Refusal) Unwrap() error { return r.Err }

// The refusals carry no request data, so a flood does not spend time on formatting.
var (
	errQueueFull     = result.Errorf(result.QueueFull, "queue of the class is full")
	errDeadlineUnmet = result.Errorf(result.DeadlineUnmet, "deadline cannot be met")
	errQueueShare    = result.Errorf(result.QueueShareExceeds, "caller holds its share of the queue")
)

// node is a queued item. Nodes of one sub-queue form a list; free nodes are reused.
type node struct {
	item       Item
	prev, next int32
	heap       int32 // position in the deadline heap
	bucket     uint32
}

// bucket is a sub-queue. Buckets that are not empty form the ring of their class.
type bucket struct {
	head, tail int32
	n          int32
	prev, next int32 // ring
}

// classQueue is the queue of one class.
type classQueue struct {
	buckets []bucket
	turn    int32 // bucket that is served next
	active  int   // buckets in the ring
	n       int
	share   float64
	credit  float64 // slot time that the class may claim before more urgent ones
	cost    float64 // mean slot time of a request, relative to the other classes
}

// Queue holds the waiting requests of one service at one dispatcher. The most urgent
// class goes first, but every waiting class gets its minimum share of the slot time.
// Inside a class, callers are hashed to sub-queues that are served in turn. It is not
// safe for concurrent use.
type Queue struct {
	cfg       Config
	classes   [config.NumClasses]classQueue
	nodes     []node
	free      []int32
	deadlines []int32 // heap of nodes, earliest deadline first
	byID      map[uint64]int32
	expired   []Item
	charged   bool
}

// NewQueue returns an empty queue.
func NewQueue(cfg Config) *Queue {
	if cfg.MaxPerClass == 0 {
		cfg.MaxPerClass = DefaultMaxPerClass
	}
	if cfg.Buckets == 0 {
		cfg.Buckets = DefaultBuckets
	}
	q := &Queue{cfg: cfg, byID: make(map[uint64]int32)}
	q.Configure(cfg.MinShares, cfg.MaxDeadline)
	for c := range q.classes {
		k := &q.classes[c]
		k.buckets = make([]bucket, cfg.Buckets)
		for i := range k.buckets {
			k.buckets[i] = bucket{head: none, tail: none, prev: none, next: none}
		}
		k.turn = none
		k.cost = 1
	}
	return q
}

// Configure changes the minimum shares and the longest deadline. Shares that add up
// to more than 100 percent are scaled down.
func (q *Queue) Configure(minShares [config.NumClasses]uint32, maxDeadline time.Duration) {
	q.cfg.MinShares, q.cfg.MaxDeadline = minShares, maxDeadline
	total := uint32(0)
	for _, s := range minShares {
		total += s
	}
	for c := range q.classes {
		q.classes[c].share = float64(minShares[c]) * min(shareMargin/100, 1/float64(max(total, 1)))
	}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.deadlines) }

// ClassLen returns the number of waiting requests of one class.
func (q *Queue) ClassLen(c config.Class) int { return q.classes[c].n }

// Bound returns how many requests of a class may wait: those that the slots complete
// within the longest deadline.
func (q *Queue) Bound(rate float64) int {
	return max(minBound, min(q.cfg.MaxPerClass, int(rate*q.cfg.MaxDeadline.Seconds())))
}

// Wait estimates how long a new request of the class and caller waits.
func (q *Queue) Wait(c config.Class, callerHash uint64, est Estimate) time.Duration {
	if est.Rate <= 0 {
		return est.Delay
	}
	k := &q.classes[c]
	b := &k.buckets[q.bucketOf(callerHash)]
	// The sub-queues are served in turn: each of the others has at most as many
	// turns before this request as its own sub-queue.
	ahead := min(k.n, int(b.n)*max(k.active, 1)+k.active)
	more, lower := 0, 0.0
	for i := range q.classes {
		o := &q.classes[i]
		switch {
		case o.n == 0:
		case config.Class(i) < c:
			more += o.n
		case config.Class(i) > c:
			lower += o.share
		}
	}
	wait := float64(more+ahead) / (est.Rate * (1 - lower))
	if more > 0 && k.share > 0 {
		wait = min(wait, float64(ahead+1)/(est.Rate*k.share))
	}
	return est.Delay + time.Duration(wait*float64(time.Second))
}

// Offer queues the request, or returns a *Refusal with code 101, 102 or 122.
func (q *Queue) Offer(now time.Time, it Item, est Estimate) error {
	k := &q.classes[it.Class]
	left := it.Deadline.Sub(now)
	wait := q.Wait(it.Class, it.CallerHash, est)
	if over := wait + est.ServiceTime - left; over > 0 {
		return &Refusal{errDeadlineUnmet, max(over, time.Millisecond)}
	}
	bound := q.Bound(est.Rate)
	if k.n >= bound {
		return &Refusal{errQueueFull, max(wait/2, time.Millisecond)}
	}
	// A sub-queue may grow to the room that is left. One caller alone gets half of
	// the queue, and there is always room for a caller that has nothing queued.
	index := q.bucketOf(it.CallerHash)
	if b := &k.buckets[index]; int(b.n) >= max(1, bound-k.n) {
		return &Refusal{errQueueShare, max(wait/2, time.Millisecond)}
	}
	q.push(it, index)
	return nil
}

// Requeue puts back a request that had left the queue and did not run. It keeps the
// order of its arrival in its sub-queue and is not refused.
func (q *Queue) Requeue(it Item) {
	index := q.bucketOf(it.CallerHash)
	i := q.push(it, index)
	k := &q.classes[it.Class]
	b := &k.buckets[index]
	if b.head != i {
		q.unlink(b, i)
		q.nodes[i].next = b.head
		q.nodes[b.head].prev = i
		b.head = i
		b.n++
	}
}

// Next removes the request that goes next. Requests past their deadline must have
// been removed by Expire. Granted must follow if the request gets a slot.
func (q *Queue) Next(time.Time) (Item, bool) {
	c := q.nextClass()
	if c < 0 {
		return Item{}, false
	}
	k := &q.classes[c]
	b := &k.buckets[k.turn]
	i := b.head
	k.turn = b.next
	it := q.nodes[i].item
	q.remove(i)
	return it, true
}

// nextClass returns the class with the largest due claim, else the most urgent one.
func (q *Queue) nextClass() int {
	first, claim, best := -1, -1, 0.0
	for c := range q.classes {
		k := &q.classes[c]
		if k.n == 0 {
			continue
		}
		if first < 0 {
			first = c
			continue
		}
		if k.credit >= k.cost && k.credit/k.cost > best {
			claim, best = c, k.credit/k.cost
		}
	}
	if claim >= 0 {
		return claim
	}
	return first
}

// Granted charges the slot time of a request of class c that left the queue for a
// slot. Every class that waits gains its share of it, and class c pays. A request that
// left the queue to be refused costs its class nothing.
func (q *Queue) Granted(c config.Class) {
	cost, longest := q.classes[c].cost, 0.0
	for i := range q.classes {
		longest = max(longest, q.classes[i].cost)
	}
	for i := range q.classes {
		k := &q.classes[i]
		if k.n > 0 || config.Class(i) == c {
			k.credit = min(k.credit+k.share*cost, creditLimit*longest)
		}
	}
	q.classes[c].credit = max(0, q.classes[c].credit-cost)
}

// Charge records the slot time that a request of the class has taken, so that shares
// are shares of slot time and not of requests.
func (q *Queue) Charge(c config.Class, slotTime time.Duration) {
	x := max(slotTime.Seconds(), minCost)
	if !q.charged {
		// Until its own first sample, a class is assumed to cost what the first one did.
		q.charged = true
		for i := range q.classes {
			q.classes[i].cost = x
		}
	}
	k := &q.classes[c]
	k.cost += costGain * (x - k.cost)
}

// Expire removes and returns the requests whose deadline has passed, earliest first.
// The slice is valid until the next call.
func (q *Queue) Expire(now time.Time) []Item {
	q.expired = q.expired[:0]
	for len(q.deadlines) > 0 {
		i := q.deadlines[0]
		if now.Before(q.nodes[i].item.Deadline) {
			break
		}
		q.expired = append(q.expired, q.nodes[i].item)
		q.remove(i)
	}
	return q.expired
}

// Cancel removes the request with the ID.
func (q *Queue) Cancel(id uint64) (Item, bool) {
	i, ok := q.byID[id]
	if !ok {
		return Item{}, false
	}
	it := q.nodes[i].item
	q.remove(i)
	return it, true
}

// Clear removes and returns all requests.
func (q *Queue) Clear() []Item {
	var items []Item
	for len(q.deadlines) > 0 {
		i := q.deadlines[0]
		items = append(items, q.nodes[i].item)
		q.remove(i)
	}
	return items
}
