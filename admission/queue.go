// Package admission implements admission control: it decides which requests may wait for
// a slot, which are refused, and in which order waiting requests are served. A request
// is refused before it is sent to any backend server, so refusals always mean "not executed".
package admission

import (
	"time"

	"github.com/monsoonthread/monsoonthread/config"
	"github.com/monsoonthread/monsoonthread/result"
)

// Item is a request in the queue.
type Item struct {
	ID         uint64
	Class      config.Class
	CallerHash uint64
	Arrived    time.Time
	Deadline   time.Time
	Retry      bool
	Preferred  string // server that sent the first block of the block-wise transfer that the request continues
	Payload    any
	OwnerData  uint64 // reserved for the user of the queue
}

// Estimate is the expected capacity of the backend servers behind the queue.
type Estimate struct {
	ServiceTime time.Duration // expected service time of the request
	Rate        float64       // requests per second that all slots complete
	Delay       time.Duration // time until any slot can be used
}

// Config configures a Queue. Zero values select the defaults.
type Config struct {
	MinShares   [config.NumClasses]uint32 // percent
	MaxDeadline time.Duration             // longest deadline of the service
	MaxPerClass int                       // upper limit of MaxWaiting
	Buckets     int                       // sub-queues per class, a power of two
	Seed        uint64                    // hash seed, so that callers cannot choose their sub-queue
}

// Defaults of Config.
const (
	DefaultMaxPerClass = 4096
	DefaultBuckets     = 256
	// minQueueBound lets a burst wait at a service whose rate is unknown or low.
	minQueueBound = 8
	// creditLimit bounds the credit of a class, in mean requests of the most expensive
	// class. It limits the burst that a class can claim after it has waited.
	creditLimit = 2.0
	// costSmoothing is the weight of one sample in the mean slot time of a class.
	costSmoothing = 1.0 / 16
	// shareMargin raises the shares slightly, because costs are estimates: without it, a
	// class got up to 1% less than its share.
	shareMargin = 1.03
	minCost     = 1e-6 // seconds; keeps the ratio of costs finite
	noIndex     = int32(-1)
)

// Refusal is the error returned for a refused request.
type Refusal struct {
	Err        *result.Error
	RetryAfter time.Duration
}

// Error returns the text of Err.
func (r *Refusal) Error() string { return r.Err.Error() }

// Unwrap returns Err, which holds the result code.
func (r *Refusal) Unwrap() error { return r.Err }

// The refusals carry no request data, so that a flood does not spend time on formatting.
var (
	errQueueFull     = result.Errorf(result.QueueFull, "queue of the class is full")
	errDeadlineUnmet = result.Errorf(result.DeadlineUnmet, "deadline cannot be met")
	errQueueShare    = result.Errorf(result.QueueShareExceeds, "caller holds its share of the queue")
)

// node is a queued item. The nodes of a sub-queue form a doubly linked list of indices;
// free nodes are reused.
type node struct {
	item       Item
	prev, next int32
	heap       int32 // position in the deadline heap
	bucket     uint32
}

// bucket is a sub-queue. The non-empty buckets of a class form a ring.
type bucket struct {
	head, tail int32
	n          int32 // queued items
	prev, next int32 // neighbours in the ring
}

// classQueue is the queue of one class.
type classQueue struct {
	buckets       []bucket
	nextBucket    int32   // bucket that is served next
	activeBuckets int     // buckets in the ring
	n             int     // queued items
	share         float64 // minimum share of the slot time, 0 to 1
	credit        float64 // slot time that the class may claim ahead of more urgent classes
	cost          float64 // mean slot time of a request in seconds; 1 until the first sample of any class
}

// Queue holds the waiting requests of one service at one dispatcher. The most urgent
// class is served first, but every waiting class gets its minimum share of the slot
// time. Within a class, callers are hashed to sub-queues that are served round robin.
// A Queue is not safe for concurrent use.
type Queue struct {
	cfg           Config
	classes       [config.NumClasses]classQueue
	nodes         []node
	freeNodes     []int32
	deadlines     []int32 // heap of nodes, earliest deadline first
	byID          map[uint64]int32
	expired       []Item
	hasCostSample bool
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
			k.buckets[i] = bucket{head: noIndex, tail: noIndex, prev: noIndex, next: noIndex}
		}
		k.nextBucket = noIndex
		k.cost = 1
	}
	return q
}

// Configure sets the minimum shares and the longest deadline. Shares that add up to more
// than 100 percent are scaled down.
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

// MaxWaiting returns how many requests of a class may wait: as many as the slots complete
// within the longest deadline.
func (q *Queue) MaxWaiting(rate float64) int {
	return max(minQueueBound, min(q.cfg.MaxPerClass, int(rate*q.cfg.MaxDeadline.Seconds())))
}

// EstimateWait returns the expected wait of a new request of the class and caller.
func (q *Queue) EstimateWait(c config.Class, callerHash uint64, est Estimate) time.Duration {
	if est.Rate <= 0 {
		return est.Delay
	}
	k := &q.classes[c]
	b := &k.buckets[q.bucketOf(callerHash)]
	// Sub-queues are served round robin, so each other one is served at most as often
	// as the sub-queue of this request before the request itself.
	ahead := min(k.n, int(b.n)*max(k.activeBuckets, 1)+k.activeBuckets)
	moreUrgent, lowerShares := 0, 0.0
	for i := range q.classes {
		o := &q.classes[i]
		switch {
		case o.n == 0:
		case config.Class(i) < c:
			moreUrgent += o.n
		case config.Class(i) > c:
			lowerShares += o.share
		}
	}
	wait := float64(moreUrgent+ahead) / (est.Rate * (1 - lowerShares))
	if moreUrgent > 0 && k.share > 0 {
		wait = min(wait, float64(ahead+1)/(est.Rate*k.share))
	}
	return est.Delay + time.Duration(wait*float64(time.Second))
}

// Offer queues the request, or returns a *Refusal with code QueueFull, DeadlineUnmet or
// QueueShareExceeds of package result.
func (q *Queue) Offer(now time.Time, it Item, est Estimate) error {
	k := &q.classes[it.Class]
	left := it.Deadline.Sub(now)
	wait := q.EstimateWait(it.Class, it.CallerHash, est)
	if over := wait + est.ServiceTime - left; over > 0 {
		return &Refusal{errDeadlineUnmet, max(over, time.Millisecond)}
	}
	bound := q.MaxWaiting(est.Rate)
	if k.n >= bound {
		return &Refusal{errQueueFull, max(wait/2, time.Millisecond)}
	}
	// A sub-queue may be as long as the remaining room. A single caller thus gets half
	// of the queue, and a caller without queued requests finds room until it is full.
	index := q.bucketOf(it.CallerHash)
	if b := &k.buckets[index]; int(b.n) >= max(1, bound-k.n) {
		return &Refusal{errQueueShare, max(wait/2, time.Millisecond)}
	}
	q.push(it, index)
	return nil
}

// Requeue puts back a request that left the queue and did not run. The request goes to
// the head of its sub-queue and is not refused.
func (q *Queue) Requeue(it Item) {
	index := q.bucketOf(it.CallerHash)
	i := q.push(it, index)
	k := &q.classes[it.Class]
	b := &k.buckets[index]
	if b.head != i {
		q.unlinkNode(b, i)
		q.nodes[i].next = b.head
		q.nodes[b.head].prev = i
		b.head = i
		b.n++
	}
}

// Next removes and returns the next request to serve. Requests past their deadline must
// have been removed by Expire before. If the request gets a slot, ChargeGrant must be
// called.
func (q *Queue) Next(time.Time) (Item, bool) {
	c := q.nextClass()
	if c < 0 {
		return Item{}, false
	}
	k := &q.classes[c]
	b := &k.buckets[k.nextBucket]
	i := b.head
	k.nextBucket = b.next
	it := q.nodes[i].item
	q.remove(i)
	return it, true
}

// nextClass returns the class with the most credit relative to its cost, if the credit
// covers a request, and otherwise the most urgent waiting class.
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

// ChargeGrant charges class c for a request that left the queue for a slot, and credits
// every waiting class with its share of the slot time. It must not be called for a
// request that left the queue to be refused.
func (q *Queue) ChargeGrant(c config.Class) {
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

// RecordSlotTime records the slot time that a request of the class took, so that shares
// apply to slot time instead of the number of requests.
func (q *Queue) RecordSlotTime(c config.Class, slotTime time.Duration) {
	x := max(slotTime.Seconds(), minCost)
	if !q.hasCostSample {
		// Until a class has its own sample, the first sample of any class is its cost.
		q.hasCostSample = true
		for i := range q.classes {
			q.classes[i].cost = x
		}
	}
	k := &q.classes[c]
	k.cost += costSmoothing * (x - k.cost)
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

// Cancel removes and returns the request with the ID.
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
