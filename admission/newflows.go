package admission

import (
	"math"
	"math/rand/v2"
	"time"
)

// MaxFlowClasses is the number of classes that a FlowController can tell apart. Class 0 stands for
// all flows without a priority, which are never refused.
const MaxFlowClasses = 16

const (
	// A backend server has two slots, queues eight more requests and sheds the rest.
	serverSlots = 2
	serverQueue = 8
	// tolerableLoss is the share of requests that a server may shed because of the randomness of
	// arrivals. Clients repeat a shed request up to twice, so that of the urgent class far less than
	// 0.03, the share that it may lose in a flood of the others, fails.
	tolerableLoss = 0.05
	// guaranteedShare of the capacity is divided equally among the priority levels but the most
	// urgent one. A class below its part is not refused because of overload.
	guaranteedShare = 0.1
	// guaranteeMargin raises the guaranteed share, because costs are estimates: the expected rate of
	// new long flows is too high while most flows have one request. Without it, a class got up to 13%
	// less than its share.
	guaranteeMargin = 1.5
	// farUtilization is the estimated utilization above which flows are refused although nothing
	// shows an overload. The estimate is twice too high while servers count as cold.
	farUtilization = 2.0
	// rampWidth is the span of utilization over which refusals rise from none to all, so that
	// instances that see the same load neither start nor stop together.
	rampWidth = 0.1

	updateInterval = 250 * time.Millisecond
	rateGain       = 0.2  // the rates follow a change within about a second
	evidenceDecay  = 0.84 // per interval: a half-life of one second
	// minEvidence and tolerableLoss together keep single bad answers from counting as overload.
	minEvidence = 3.0
	// The limits are multiplied by a factor that corrects errors of the estimated utilization: it
	// falls while flows are lost although the estimate is within the limit and rises slowly otherwise.
	factorDecrease = 0.9
	factorIncrease = 0.08
	// Late and overdue answers may have causes other than load, so they lower the limits less than
	// shed ones. The lower bounds are the errors expected of the estimate: a few long requests raise the
	// mean service time by a fifth above the one that the quantile gives.
	minFactor     = 0.75
	minFactorLate = 0.9
	// minFactorAlone applies to an instance that knows only its own part of the load. Its limits follow
	// from the share of shed requests alone.
	minFactorAlone = 0.01
	// From saturatedLoss on, servers are saturated and the share of lost requests shows their true
	// capacity: what is offered less what is lost. factorGain is the weight of one interval.
	saturatedLoss = 0.1
	factorGain    = 0.3
	// idleRatio is how much lower than the utilization of the failure domain that of the best server
	// may be before the latter counts: it lags behind by up to an exchange of loads.
	idleRatio = 2.0
	// perFlowGain is the weight of an interval in the requests a flow: flows live for many seconds.
	perFlowGain = 0.02
	// An answer that may have been shed does not count as a service time if it took less than
	// 1/shedTimeRatio of the usual one. Above fullQueueTimes usual service times, it shows that the
	// queue of eight is nearly full; the longest wait is four service times.
	shedTimeRatio  = 4.0
	fullQueueTimes = 3.5
	// intervalGain is the weight of a sample in the mean time between the requests of a flow, and
	// maxFlowRate bounds the requests per second that it yields.
	intervalGain = 1.0 / 32
	// oneRequestShare is the number of new flows per request from which flows count as having one.
	oneRequestShare = 0.7
	maxFlowRate     = 10.0
	// limitHold is the time without evidence and without need for refusals after which the limits
	// are lifted. Each instance adds a random part of the same length.
	limitHold = 2 * time.Second
	// The service time of a class is estimated from a low quantile of its response times, since
	// higher ones include queueing. classMeanRatio converts it to the mean for service times whose
	// standard deviation is about half the mean. A step is classQuantileStep of the value, longer
	// for the first samples. Queues fill within a second, so it must take longer than that.
	classQuantile     = 0.3
	classQuantileStep = 0.01
	classMeanRatio    = 1.4
)

// FlowClass describes the requests of a route.
type FlowClass struct {
	Priority  int           // 0 is the most urgent
	Objective time.Duration // response time that callers need; 0 if unknown
	Timeout   time.Duration // after which callers give up; 0 if unknown
}

// FlowLoad is the expected load of the best eligible server, the new flow included.
type FlowLoad struct {
	Utilization       float64
	ServiceTime, Wait time.Duration
	FlowRate          float64 // expected requests per second of a flow that stays open
	Remote            bool    // the server is in another failure domain
}

// FlowReason tells why a flow is admitted or refused.
type FlowReason uint8

// The reasons.
const (
	FlowAdmitted      FlowReason = iota
	FlowOverloaded               // more urgent flows need the capacity that is left
	FlowDeadlineUnmet            // callers give up before the expected answer

	NumFlowReasons
)

// FlowDecision is a decision and what it was based on.
type FlowDecision struct {
	Reason      FlowReason
	Utilization float64 // by classes that are at least as urgent as the flow's
	Limit       float64 // of that utilization
}

// FlowOutcome is how a request on an admitted flow ended.
type FlowOutcome uint8

// The outcomes.
const (
	FlowAnswered      FlowOutcome = iota // within the elapsed time, which may exceed the objective
	FlowAnsweredShort                    // likewise, but the size cannot tell whether the server shed it
	FlowShed                             // refused by the server
	FlowOverdue                          // no answer for too long
)

// flowClass is a class as a FlowController knows it.
type flowClass struct {
	FlowClass
	known       bool
	requests    float64 // in the current interval
	rate        float64 // requests per second at this instance
	expected    float64 // requests per second of new flows that are not in rate yet
	flows       float64 // new flows in the current interval
	flowRate    float64 // slow average of new flows per second
	requestRate float64 // slow average of requests per second
	interval    float64 // mean time between the requests of a flow, in seconds
	quantile    float64 // of response times, in nanoseconds
	samples     float64
	ceiling     float64 // quantile before the limits applied
	load        float64 // slots that the requests of this instance's flows use
	least       bool    // no class is less urgent
	most        bool    // no class is more urgent
	cumulative  float64 // share of the load of the classes that are at least as urgent
	share       float64 // share of the load
	costRatio   float64 // service time over the mean of the classes of the same priority
	utilization float64 // last utilization by classes that are at least as urgent
}

// FlowController decides which new flows of one service are admitted when capacity is short. The
// limits follow from the priorities: the load of all classes may reach the utilization at which
// servers shed a tolerable share because of random arrivals, and the load of the most urgent level
// may reach the capacity. A class below its guaranteed share is admitted. Flows are refused only with evidence
// of overload, in the manner of the queueing time of DAGOR (Zhou et al., SoCC 2018), or if the
// estimate is far beyond capacity. The limits are corrected by additive increase and multiplicative
// decrease as the credits of Breakwater (Cho et al., OSDI 2020). Decisions take no locks and do not
// allocate; a FlowController is not safe for concurrent use.
//
// The mix of classes and the evidence come from the flows of this instance. They are a random sample
// of the failure domain's flows, so instances agree on average without exchanging them.
type FlowController struct {
	rng        rand.PCG
	classes    [MaxFlowClasses]flowClass
	levels     int // distinct priorities
	nextUpdate time.Duration
	updatedAt  time.Duration
	slots      float64 // this instance's part of the slots of the failure domain
	alone      bool    // no other instance reports its load
	busy       float64 // slots that the flows of this instance need
	offered    float64 // average utilization over the time that the evidence covers
	answers    float64 // decayed number of outcomes
	bad, shed  float64 // of these, those that show an overload, and those that servers shed
	badServer  uint32  // server of the last bad outcome
	limiting   bool
	factor     float64
	onset      float64       // factor when the limits began to apply
	needed     bool          // a flow came close to a limit since the last update
	neededAt   time.Duration // last evidence, or last flow that came close to a limit
	loweredAt  time.Duration
	hold       time.Duration
	switches   int
}

// NewFlowController returns a controller without classes.
func NewFlowController(seed uint64) *FlowController {
	c := &FlowController{factor: 1}
	c.rng.Seed(seed, 0x9e3779b97f4a7c15)
	return c
}

// SetClass adds or replaces the class with an index from 1 to MaxFlowClasses-1.
func (c *FlowController) SetClass(index int, class FlowClass) {
	k := &c.classes[index]
	if k.FlowClass != class {
		*k = flowClass{FlowClass: class}
	}
	k.known = true
	c.refresh()
}

// ClearClasses removes all classes. What was learned of a class remains until its index gets another.
func (c *FlowController) ClearClasses() {
	for i := range c.classes {
		c.classes[i].known = false
	}
	c.refresh()
}

// Enabled reports whether the controller has any class with a priority.
func (c *FlowController) Enabled() bool { return c.levels > 0 }

func (c *FlowController) random() float64 { return float64(c.rng.Uint64()>>11) / (1 << 53) }

// Admit decides about a new flow of the class with the index.
func (c *FlowController) Admit(now time.Duration, index int, load FlowLoad) FlowDecision {
	k := &c.classes[index]
	if !k.known {
		return FlowDecision{Reason: FlowAdmitted, Utilization: load.Utilization}
	}
	total := c.estimate(load)
	u := total * k.cumulative
	k.utilization = u
	d := FlowDecision{Reason: FlowAdmitted, Utilization: u, Limit: c.limit(k)}
	if k.Timeout > 0 {
		// Without evidence, the estimate has to be far off for a false refusal.
		expected := load.Wait + load.ServiceTime
		if expected > k.Timeout && (c.limiting || expected > time.Duration(farUtilization*float64(k.Timeout))) {
			d.Reason = FlowDeadlineUnmet
			return d
		}
	}
	excess := (u-d.Limit)/rampWidth + 0.5
	if excess > 0 {
		if c.limiting {
			c.needed, c.neededAt = true, now
		}
		// Of classes with the same priority, the one with less work for each request is refused less.
		if total*k.share >= c.guarantee(k) && c.random() < min(excess, 1)*k.costRatio {
			d.Reason = FlowOverloaded
			return d
		}
	}
	if !load.Remote {
		c.addFlow(k, load.FlowRate)
	}
	return d
}

// estimate returns the expected utilization. That of the failure domain comes from the flows of this
// instance and therefore includes the newest ones; the reports of other instances are up to two
// seconds old, and in that time a flood opens more long flows than the servers can bear.
func (c *FlowController) estimate(load FlowLoad) float64 {
	if load.Remote || c.slots == 0 {
		return load.Utilization
	}
	return min(c.busy/c.slots, idleRatio*load.Utilization)
}

// addFlow adds the load that a new flow will bring. A flow that stays open brings a stream of
// requests; the first request of each flow is counted when it is sent.
func (c *FlowController) addFlow(k *flowClass, rate float64) {
	k.flows++
	if k.flowRate > 0 && k.requestRate > 0 && k.interval > 0 {
		rate = min(1/k.interval, maxFlowRate) * max(1-k.flowRate/k.requestRate, 0)
	}
	k.expected += rate
	c.busy += rate * k.serviceTime()
}

// serviceTime returns the mean service time in seconds, 0 if it is not known.
func (k *flowClass) serviceTime() float64 { return k.quantile * classMeanRatio / float64(time.Second) }

// StaysOpen reports whether flows of the class usually carry several requests.
func (c *FlowController) StaysOpen(index int) bool {
	k := &c.classes[index]
	return k.requestRate == 0 || k.flowRate < oneRequestShare*k.requestRate
}

// SetSlots sets this instance's part of the slots of the failure domain: its part of the flows is a
// random sample, so it may use the same part of the slots. alone tells that no other instance reports
// its load, so that the part may be smaller.
func (c *FlowController) SetSlots(slots float64, alone bool) { c.slots, c.alone = slots, alone }

// limit returns the utilization by classes that are at least as urgent up to which the class is
// admitted.
func (c *FlowController) limit(k *flowClass) float64 {
	if !c.limiting {
		return farUtilization
	}
	limit := randomArrivalLimit
	if k.most {
		// A lower limit lost more of the most urgent class than its repeated requests save.
		limit = 1
	}
	if k.most && !c.alone {
		return limit * max(c.factor, 1)
	}
	return limit * c.factor
}

// guarantee returns the utilization up to which the class is admitted regardless of the others.
func (c *FlowController) guarantee(k *flowClass) float64 {
	if k.most {
		return 0
	}
	if c.alone {
		return c.levelShare() * c.factor
	}
	return c.levelShare() * max(c.factor, 1)
}

// levelShare returns the share of the capacity that each priority level but the most urgent one is
// guaranteed, as the estimates have it.
func (c *FlowController) levelShare() float64 {
	return guaranteedShare * guaranteeMargin / float64(max(c.levels-1, 1))
}

// CountRequest counts a request of the class at a server of the own failure domain. interval is the time since the flow's last request, or
// since it was opened.
func (c *FlowController) CountRequest(index int, interval time.Duration) {
	k := &c.classes[index]
	k.requests++
	if k.interval == 0 {
		k.interval = interval.Seconds()
	}
	k.interval += (interval.Seconds() - k.interval) * intervalGain
}

// Observe learns from the outcome of a request of the class at a server. Consecutive bad outcomes
// at the same server count once, so that a single slow or failing server is no overload.
func (c *FlowController) Observe(index int, server uint32, elapsed time.Duration, outcome FlowOutcome) {
	k := &c.classes[index]
	c.answers++
	if outcome == FlowAnswered || outcome == FlowAnsweredShort {
		usual := k.quantile * classMeanRatio
		inTime := k.Objective == 0 || elapsed <= k.Objective
		if outcome == FlowAnsweredShort {
			if float64(elapsed)*shedTimeRatio < usual {
				return // perhaps shed
			}
			inTime = inTime && (usual == 0 || float64(elapsed) <= fullQueueTimes*usual)
		}
		k.addSample(float64(elapsed), c.limiting)
		if inTime {
			return
		}
	}
	if c.badServer == server {
		return
	}
	c.badServer = server
	c.bad++
	if outcome == FlowShed {
		c.shed++
	}
}

// addSample adds a response time. In an overload, all response times include queueing, so the
// estimate does not rise above its value before; the factor of the limits allows for servers that
// have become slower.
func (k *flowClass) addSample(x float64, overloaded bool) {
	k.samples++
	step := 2 * k.quantile * max(classQuantileStep, 0.5/k.samples)
	switch {
	case k.samples == 1:
		k.quantile = x
	case x < k.quantile:
		k.quantile -= step * (1 - classQuantile)
	default:
		k.quantile += step * classQuantile
	}
	if !overloaded {
		k.ceiling = k.quantile
	}
	k.quantile = min(k.quantile, k.ceiling)
}

// Update updates rates and limits. The owner calls it more often than every 200 ms.
func (c *FlowController) Update(now time.Duration) {
	if now < c.nextUpdate {
		return
	}
	// The random part keeps instances from changing their limits together.
	c.nextUpdate = now + time.Duration((0.75+0.5*c.random())*float64(updateInterval))
	seconds := max(now-c.updatedAt, updateInterval/2).Seconds()
	c.updatedAt = now
	for i := range c.classes {
		k := &c.classes[i]
		k.rate += (k.requests/seconds - k.rate) * rateGain
		k.expected *= 1 - rateGain
		k.requestRate += (k.requests/seconds - k.requestRate) * perFlowGain
		k.flowRate += (k.flows/seconds - k.flowRate) * perFlowGain
		k.requests, k.flows = 0, 0
	}
	c.refresh()
	if c.slots > 0 {
		c.offered += (c.busy/c.slots - c.offered) * (1 - evidenceDecay)
	}
	c.adjust(now)
	c.answers *= evidenceDecay
	c.bad *= evidenceDecay
	c.shed *= evidenceDecay
}

// adjust changes the limits according to the evidence.
func (c *FlowController) adjust(now time.Duration) {
	overloaded := c.bad >= minEvidence && c.bad >= tolerableLoss*c.answers
	switch {
	case overloaded && !c.limiting:
		c.limiting, c.factor, c.loweredAt = true, 1, now
		if c.alone {
			// The evidence appears when the load has just exceeded the capacity.
			c.factor = min(c.busy/max(c.slots, 1), 1)
		}
		c.onset = c.factor
		c.hold = limitHold + time.Duration(c.random()*float64(limitHold))
		c.switches++
	case overloaded && c.slots > 0 && (c.shed >= saturatedLoss*c.answers || c.alone && c.shed >= tolerableLoss*c.answers):
		capacity := c.offered * (1 - c.shed/c.answers)
		lowest := minFactor
		if c.alone {
			lowest = minFactorAlone
		}
		c.factor = min(max(c.factor+(capacity-c.factor)*factorGain, lowest), farUtilization)
	case overloaded && !c.beyondLimit() && now-c.loweredAt >= time.Second:
		lowest := minFactorLate * c.onset
		if c.shed >= tolerableLoss*c.answers {
			lowest = minFactor * c.onset
		}
		c.factor, c.loweredAt = min(c.factor, max(c.factor*factorDecrease, lowest)), now
	case !overloaded && c.needed:
		c.factor = min(c.factor*(1+factorIncrease), farUtilization)
	}
	if overloaded {
		c.neededAt = now
	}
	c.needed = false
	if c.limiting && now-c.neededAt > c.hold {
		c.limiting = false
		c.switches++
	}
}

// beyondLimit reports whether the load is clearly beyond a limit: open flows keep it there, and
// a lower limit would not help.
func (c *FlowController) beyondLimit() bool {
	for i := range c.classes {
		if k := &c.classes[i]; k.known && k.least && k.utilization > c.limit(k)+rampWidth {
			return true
		}
	}
	return false
}

// refresh recomputes what the decisions need to know about each class.
func (c *FlowController) refresh() {
	total := 0.0
	c.levels = 0
	for i := range c.classes {
		k := &c.classes[i]
		k.load = (k.rate + k.expected) * k.serviceTime()
		total += k.load
		first := k.known
		for j := range c.classes[:i] {
			first = first && !(c.classes[j].known && c.classes[j].Priority == k.Priority)
		}
		if first {
			c.levels++
		}
	}
	c.busy = total
	for i := range c.classes {
		if k := &c.classes[i]; k.known {
			c.relate(i, k, total)
		}
	}
}

// relate compares a class with the others.
func (c *FlowController) relate(index int, k *flowClass, total float64) {
	k.least, k.most, k.cumulative, k.share, k.costRatio = true, true, 1, 1, 1
	if total > 0 {
		k.cumulative, k.share = 0, k.load/total
	}
	var sameTime, same float64
	for j := range c.classes {
		o := &c.classes[j]
		moreUrgent := !o.known || o.Priority < k.Priority
		switch {
		case moreUrgent:
			k.most = k.most && !o.known
		case o.Priority > k.Priority:
			k.least = false
		case o.quantile > 0:
			sameTime += o.quantile
			same++
		}
		if total > 0 && (moreUrgent || o.Priority == k.Priority) {
			k.cumulative += o.load / total
		}
	}
	if same > 1 && k.quantile > 0 {
		k.costRatio = min(max(k.quantile*same/sameTime, 0.5), 2)
	}
}

// FlowClassState is the state of a class for operators.
type FlowClassState struct {
	Share       float64 // of the load, by this instance's flows
	Utilization float64 // last one by classes that are at least as urgent
	Limit       float64
	ServiceTime time.Duration
}

// Class returns the state of the class with the index.
func (c *FlowController) Class(index int) FlowClassState {
	k := &c.classes[index]
	return FlowClassState{Share: k.share, Utilization: k.utilization, Limit: c.limit(k), ServiceTime: time.Duration(k.quantile * classMeanRatio)}
}

// FlowControllerState is the state of a FlowController for operators.
type FlowControllerState struct {
	Limiting    bool    // the limits apply
	Evidence    float64 // share of the recent requests that shows an overload
	Factor      float64 // correction of the limits
	Utilization float64 // of the failure domain, estimated from this instance's flows; 0 if unknown
	Switches    int     // times that Limiting has changed
}

// State returns the state of the controller.
func (c *FlowController) State() FlowControllerState {
	s := FlowControllerState{Limiting: c.limiting, Evidence: c.bad / max(c.answers, 1), Factor: c.factor, Switches: c.switches}
	if c.slots > 0 {
		s.Utilization = c.busy / c.slots
	}
	return s
}

// randomArrivalLimit is the utilization at which a server sheds tolerableLoss of its requests
// because of random arrivals.
var randomArrivalLimit = utilizationWithLoss(serverSlots, serverQueue, tolerableLoss)

// utilizationWithLoss returns the utilization at which a server rejects a share of its requests.
// It assumes exponential times between arrivals and of service.
func utilizationWithLoss(slots, queue int, loss float64) float64 {
	low, high := 0.0, 1.0
	for high-low > 1e-4 {
		if mid := (low + high) / 2; rejectedShare(slots, queue, mid) < loss {
			low = mid
		} else {
			high = mid
		}
	}
	return low
}

// rejectedShare returns the probability that all slots and queue positions are taken.
func rejectedShare(slots, queue int, utilization float64) float64 {
	state, sum := 1.0, 1.0
	for n := 1; n <= slots+queue; n++ {
		state *= utilization * float64(slots) / math.Min(float64(n), float64(slots))
		sum += state
	}
	return state / sum
}

// ExpectedWait returns the expected wait at a server with slots and a queue of eight
// (Sakasegawa's approximation), in service times.
func ExpectedWait(slots int, utilization float64) float64 {
	longest := float64(serverQueue) / float64(slots)
	if utilization >= 1 {
		return longest
	}
	c := float64(slots)
	return min(math.Pow(utilization, math.Sqrt(2*(c+1))-1)/(c*(1-utilization)), longest)
}
