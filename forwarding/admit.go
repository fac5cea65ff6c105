package forwarding

import (
	"time"

	"github.com/monsoonthread/monsoonthread/admission"
	"github.com/monsoonthread/monsoonthread/serverload"
)

const (
	// admitAllTime is the time after a start or a pause of the process in which all new flows are
	// admitted: rates and evidence are incomplete.
	admitAllTime = time.Second
	// An answer is short if it has at most 1/shortAnswerRatio of the usual size of its class.
	shortAnswerRatio = 4
	// queuedShedFactor is the number of service times from which a short answer counts as shed after a
	// wait in the queue of the server. Shed requests were seen to wait for four to six of them.
	queuedShedFactor = 2
	// answerSizeGain is the weight of an answer in the usual size of its class.
	answerSizeGain = 1.0 / 16
	// maxAnswerSize bounds what one acknowledgement of a download adds to the usual size.
	maxAnswerSize = 1 << 20
	// ownPartGain averages the instance's part of the requests over about five seconds.
	ownPartGain = 0.05
)

// flowClass is what admission control knows about the flows of a route.
type flowClass struct {
	prioritised bool
	priority    int
	objective   time.Duration
	timeout     time.Duration
	kind        RouteKind
}

func newFlowClass(r *Route) flowClass {
	return flowClass{prioritised: r.Prioritised, priority: r.Priority, objective: r.Objective, timeout: r.Timeout, kind: r.Kind}
}

// flowClasses assigns indices to the classes of the prioritised routes.
type flowClasses struct {
	classes [admission.MaxFlowClasses]flowClass
	inForce [admission.MaxFlowClasses]bool // used by the configuration in force
}

// index returns the index of a class of the configuration that is being applied and whether it had
// another class before. It is 0 for flows that are never refused: those without a priority, and those
// of further classes when all indices are taken.
func (t *flowClasses) index(c flowClass) (index uint8, replaced bool) {
	if !c.prioritised {
		return 0, false
	}
	free := 0
	for i := len(t.classes) - 1; i > 0; i-- {
		if t.classes[i] == c {
			t.inForce[i] = true
			return uint8(i), false
		}
		// Unused indices first, then those of earlier configurations.
		if !t.inForce[i] && (free == 0 || !t.classes[i].prioritised || t.classes[free].prioritised) {
			free = i
		}
	}
	if free > 0 {
		t.classes[free], t.inForce[free] = c, true
	}
	return uint8(free), true
}

// serviceAdmission is the admission control of a service with prioritised routes.
type serviceAdmission struct {
	controller *admission.FlowController
	usualSize  [admission.MaxFlowClasses]float64 // of answers, in bytes
	decisions  [admission.MaxFlowClasses][admission.NumFlowReasons]uint64
	used       [admission.MaxFlowClasses]bool // by the configuration in force
	nextSlots  time.Duration
	// ownRate and allRate are averages of the requests per second of this instance and of all.
	ownRate, allRate float64
}

// clearClasses forgets which classes the last configuration used.
func (e *Engine) clearClasses() {
	e.flowClasses.inForce = [admission.MaxFlowClasses]bool{}
	for _, svc := range e.services {
		if a := svc.admission; a != nil {
			a.used = [admission.MaxFlowClasses]bool{}
			a.controller.ClearClasses()
		}
	}
}

// enableAdmission enables admission control for the services of a prioritised route.
func (e *Engine) enableAdmission(r *route) {
	index, replaced := e.flowClasses.index(r.class)
	if r.classIndex = index; index == 0 {
		return
	}
	if replaced {
		for _, svc := range e.services {
			if a := svc.admission; a != nil {
				a.usualSize[index], a.decisions[index] = 0, [admission.NumFlowReasons]uint64{}
			}
		}
	}
	for _, w := range r.services {
		a := w.service.admission
		if a == nil {
			a = &serviceAdmission{controller: admission.NewFlowController(e.rng.Uint64())}
			w.service.admission = a
		}
		a.used[index] = true
		a.controller.SetClass(int(index), admission.FlowClass{Priority: r.class.priority, Objective: r.class.objective, Timeout: r.class.timeout})
	}
}

// FlowRefusal holds what the refusal of a new flow was based on.
type FlowRefusal struct {
	Service            string
	Server             string // the best eligible one
	Priority           int
	Utilization, Limit float64 // by classes that are at least as urgent
	ServerUtilization  float64
	Wait               time.Duration
	Timeout            time.Duration
}

// LastRefusal returns the last refusal by admission control.
func (e *Engine) LastRefusal() FlowRefusal { return e.lastRefusal }

// admit reports whether a new flow of the route may go to the server, the best one for it.
func (e *Engine) admit(now time.Duration, r *route, s *server) (bool, Reason) {
	a := s.service.admission
	if r.classIndex == 0 || a == nil {
		return true, Chosen
	}
	load := e.flowLoad(now, s)
	d := a.controller.Admit(now, int(r.classIndex), load)
	if !e.complete || now < max(e.configuredAt, e.runningSince)+admitAllTime {
		d.Reason = admission.FlowAdmitted
	}
	a.decisions[r.classIndex][d.Reason]++
	if d.Reason == admission.FlowAdmitted {
		return true, Chosen
	}
	e.lastRefusal = FlowRefusal{Service: s.service.name, Server: s.Name, Priority: r.class.priority, Utilization: d.Utilization, Limit: d.Limit,
		ServerUtilization: load.Utilization, Wait: load.Wait, Timeout: r.class.timeout}
	if d.Reason == admission.FlowDeadlineUnmet {
		return false, DeadlineUnmet
	}
	return false, Overloaded
}

// flowLoad returns the load of a server with one more flow. Failures of single servers must not
// count as load.
func (e *Engine) flowLoad(now time.Duration, s *server) admission.FlowLoad {
	utilization := s.utilization(now) / s.failurePenalty(now)
	serviceTime := s.requestTime(now)
	return admission.FlowLoad{Utilization: utilization, ServiceTime: time.Duration(serviceTime),
		Wait: time.Duration(serviceTime * admission.ExpectedWait(max(s.Slots, 1), utilization)), FlowRate: s.service.flowRate(), Remote: !s.local}
}

// updateAdmission updates the limits of all services.
func (e *Engine) updateAdmission(now time.Duration) {
	for _, svc := range e.services {
		a := svc.admission
		if a == nil {
			continue
		}
		if now >= a.nextSlots {
			a.nextSlots = now + rateInterval
			a.controller.SetSlots(svc.ownSlots(a), e.reportingPeers() == 0)
		}
		a.controller.Update(now)
	}
}

// ownSlots returns this instance's part of the slots of the own failure domain. Rates of other
// instances lag behind, so the part is averaged over several seconds.
func (s *service) ownSlots(a *serviceAdmission) float64 {
	var slots, own, all float64
	for _, o := range s.local {
		if !o.usable() {
			continue
		}
		m := &o.meter
		slots += float64(o.Slots)
		own += m.rate + m.expectedRate
		all += m.rate + m.expectedRate + m.peerRate
	}
	a.ownRate += (own - a.ownRate) * ownPartGain
	a.allRate += (all - a.allRate) * ownPartGain
	if a.allRate < minReportedRate {
		return 0
	}
	return slots * a.ownRate / a.allRate
}

// countClassRequest counts a request of an open flow, before the flow's state records it.
func (e *Engine) countClassRequest(now time.Duration, f *flow) {
	if a := f.server.service.admission; a != nil && f.server.local {
		a.controller.CountRequest(int(f.class), now-duration(f.sentAt))
	}
}

// observeAnswer learns from the answer to a request of an open flow: the time since the request was
// sent and the bytes that the client acknowledges.
func (e *Engine) observeAnswer(now time.Duration, f *flow, elapsed time.Duration, bytes uint32) {
	a := f.server.service.admission
	if a == nil {
		return
	}
	if bytes < serverload.ImmediateBytes && a.controller.StaysOpen(int(f.class)) {
		delay, _ := e.ackDelayOf(f.server.service)
		elapsed = max(elapsed-delay, 0) // the acknowledgement was probably delayed
	}
	size := &a.usualSize[f.class]
	x := float64(min(bytes, maxAnswerSize))
	// A server sheds a request with a short answer, at once or after the request has waited in its
	// queue. A class whose answers are all short has no shorter ones, so they count as answers.
	serviceTime := time.Duration(f.server.requestTime(now))
	if x*shortAnswerRatio <= *size && (elapsed < serviceTime || elapsed > queuedShedFactor*serviceTime) {
		a.controller.Observe(int(f.class), f.server.cookie, elapsed, admission.FlowShed)
		return
	}
	if *size == 0 {
		*size = x
	}
	*size += (x - *size) * answerSizeGain
	elapsed = max(elapsed-time.Duration(e.handshake), elapsed/2) // without the time on the network
	outcome := admission.FlowAnswered
	if *size < serverload.ImmediateBytes {
		outcome = admission.FlowAnsweredShort
	}
	a.controller.Observe(int(f.class), f.server.cookie, elapsed, outcome)
}

// observeOverdue learns from a request that has made no progress for too long.
func (e *Engine) observeOverdue(now time.Duration, f *flow) {
	if a := f.server.service.admission; a != nil {
		a.controller.Observe(int(f.class), f.server.cookie, now-duration(f.sentAt), admission.FlowOverdue)
	}
}
