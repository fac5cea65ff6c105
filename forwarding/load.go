package forwarding

import (
	"cmp"
	"slices"
	"time"
)

const (
	// peerLoadLifetime is how long a peer's loads count without being stated again.
	peerLoadLifetime = 2 * time.Second
	// rateInterval and rateGain let the measured rate of requests follow a change
	// within about a second.
	rateInterval = 250 * time.Millisecond
	rateGain     = 0.2
	// A new flow counts with the requests per second that flows of its service make,
	// within these bounds, until its requests are measured. Idle flows would otherwise
	// make new ones look free of load.
	minFlowRate = 0.8
	maxFlowRate = 4.0
	// Response times are followed by a low quantile, since the slower ones contain
	// waiting, which says nothing about the server's speed. meanOverQuantile leads back
	// to the mean, for work that varies by half.
	serviceQuantile  = 0.3
	quantileStep     = 0.05
	meanOverQuantile = 1.4
	// trustedSamples is the number of own samples that outweighs what peers measure.
	trustedSamples = 8
)

// Load is the rate of requests that a source causes at a server and the time that one
// takes there as the source measures it.
type Load struct {
	Cookie      uint32
	Rate        float64       // requests per second
	ServiceTime time.Duration // without waiting; 0 without samples
}

// peerLoads is what a source last stated.
type peerLoads struct {
	loads   []Load
	counted []countedLoad
	at      time.Duration
}

// countedLoad is a load as it was added to a server. A cookie may become known, or known
// at another server, between two statements; what is taken off has to be what was added.
type countedLoad struct {
	server *server
	rate   float64
}

// meter measures what the own flows cause at a server.
type meter struct {
	arrivals    int32   // in the current interval
	rate        float64 // moving average of requests per second
	expected    float64 // requests per second of new flows that are not measured yet
	quantile    float64 // of response times, in nanoseconds
	samples     int32
	peerRate    float64
	peerService float64 // time of a request as a peer measures it, in nanoseconds
}

func (m *meter) addSample(d time.Duration) {
	x := float64(d)
	switch {
	case m.samples == 0:
		m.quantile = x
	case x < m.quantile:
		m.quantile -= m.quantile * quantileStep * (1 - serviceQuantile) * 2
	default:
		m.quantile += m.quantile * quantileStep * serviceQuantile * 2
	}
	m.samples++
}

// Loads returns the loads that this instance causes.
func (e *Engine) Loads() []Load {
	var out []Load
	for s := range e.active {
		if rate := s.meter.rate + s.meter.expected; rate > minStatedRate {
			out = append(out, Load{Cookie: s.cookie, Rate: rate, ServiceTime: time.Duration(s.meter.meanTime())})
		}
	}
	return out
}

// minStatedRate leaves out servers that get next to nothing.
const minStatedRate = 0.01

// meanTime returns the time of a request as measured here, in nanoseconds; 0 without
// samples.
func (m *meter) meanTime() float64 { return m.quantile * meanOverQuantile }

// headSize is the number of servers of a service that a failure domain states to others:
// enough for the flows that spill over, few enough for 12,000 servers.
const headSize = 4

// DomainHeads returns the least busy servers of each service in the own failure domain,
// with what all instances of the domain cause there. Other domains spill only to these.
func (e *Engine) DomainHeads(now time.Duration) []Load {
	var out []Load
	for _, svc := range e.services {
		usable := make([]*server, 0, len(svc.local))
		for _, s := range svc.local {
			if s.usable() {
				usable = append(usable, s)
			}
		}
		slices.SortFunc(usable, func(a, b *server) int { return cmp.Compare(a.utilization(now), b.utilization(now)) })
		for _, s := range usable[:min(headSize, len(usable))] {
			m := &s.meter
			out = append(out, Load{Cookie: s.cookie, Rate: m.rate + m.expected + m.peerRate, ServiceTime: time.Duration(s.requestTime(now))})
		}
	}
	return out
}

// SetDomainHeads replaces the heads that another failure domain states.
func (e *Engine) SetDomainHeads(now time.Duration, domain string, heads []Load) {
	e.SetPeerLoads(now, domainSource+domain, heads)
	for _, svc := range e.services {
		svc.heads = slices.DeleteFunc(svc.heads, func(s *server) bool { return s.Domain == domain })
	}
	for _, l := range heads {
		for _, s := range e.byCookie[l.Cookie] {
			s.headUntil = now + peerLoadLifetime
			s.service.heads = append(s.service.heads, s)
		}
	}
}

// DomainHeadsOf returns the heads that another domain stated, if they still count.
func (e *Engine) DomainHeadsOf(domain string) ([]Load, bool) {
	p, ok := e.peerLoads[domainSource+domain]
	return p.loads, ok
}

// domainSource marks the heads of a failure domain among the sources of loads.
const domainSource = "domain:"

// SetPeerLoads replaces the loads that an instance of the own failure domain states.
func (e *Engine) SetPeerLoads(now time.Duration, source string, loads []Load) {
	p := e.peerLoads[source]
	subtractLoads(p.counted)
	e.peerLoads[source] = peerLoads{loads, e.addLoads(p.counted[:0], loads), now}
}

// addLoads adds a source's loads to the servers and notes them in counted.
func (e *Engine) addLoads(counted []countedLoad, loads []Load) []countedLoad {
	for _, l := range loads {
		for _, s := range e.byCookie[l.Cookie] {
			s.meter.peerRate += l.Rate
			if l.ServiceTime > 0 {
				s.meter.peerService = float64(l.ServiceTime)
			}
			counted = append(counted, countedLoad{s, l.Rate})
		}
	}
	return counted
}

func subtractLoads(counted []countedLoad) {
	for _, c := range counted {
		// Rounding may leave a little less than nothing.
		c.server.meter.peerRate = max(c.server.meter.peerRate-c.rate, 0)
	}
}

// expirePeerLoads drops the loads of sources that are not heard any more.
func (e *Engine) expirePeerLoads(now time.Duration) {
	for source, p := range e.peerLoads {
		if now-p.at > peerLoadLifetime {
			subtractLoads(p.counted)
			delete(e.peerLoads, source)
		}
	}
}

// measureRates updates the rates of requests and failures once per interval.
func (e *Engine) measureRates(now time.Duration) []Action {
	if now < e.nextRates {
		return nil
	}
	e.nextRates = now + rateInterval
	for _, s := range e.services {
		s.rate, s.flows, s.service, s.measured = 0, 0, 0, 0
	}
	for s := range e.active {
		m := &s.meter
		m.rate += (float64(m.arrivals)/rateInterval.Seconds() - m.rate) * rateGain
		m.expected *= 1 - rateGain
		m.arrivals = 0
		if m.rate+m.expected < minStatedRate {
			m.rate, m.expected = 0, 0
			delete(e.active, s)
		}
		s.service.rate += m.rate
		s.service.flows += s.flows
		if m.samples >= trustedSamples {
			s.service.service += m.meanTime()
			s.service.measured++
		}
	}
	return e.sumFailures(now)
}

// countRequest counts a request at a server.
func (e *Engine) countRequest(s *server) {
	s.meter.arrivals++
	e.active[s] = struct{}{}
}

// expect adds the requests that a new flow is expected to make.
func (e *Engine) expect(s *server) {
	s.meter.expected += s.service.flowRate()
	e.active[s] = struct{}{}
}

// flowRate returns the requests per second that a new flow is expected to make.
func (s *service) flowRate() float64 {
	if s.flows == 0 {
		return minFlowRate
	}
	return min(max(s.rate/float64(s.flows), minFlowRate), maxFlowRate)
}

// serviceTime returns the mean time of a request at the measured servers.
func (s *service) serviceTime() float64 {
	if s.measured == 0 {
		return float64(defaultServiceTime)
	}
	return s.service / float64(s.measured)
}

// requestTime returns the time that a request takes at the server without waiting, in
// nanoseconds.
func (s *server) requestTime(now time.Duration) float64 {
	m := &s.meter
	t := m.meanTime()
	if m.samples < trustedSamples && m.peerService > 0 {
		t = m.peerService
	}
	if t == 0 {
		t = s.service.serviceTime()
	}
	if now < s.coldUntil {
		t *= coldFactor
	}
	return t
}

// utilization estimates the share of the server's slots that is busy once it has one
// more flow, and takes a failing server to be busier than it is.
func (s *server) utilization(now time.Duration) float64 {
	m := &s.meter
	rate := m.rate + m.expected + m.peerRate + s.service.flowRate()
	return rate * s.requestTime(now) / float64(time.Second) / float64(s.Slots) * s.failurePenalty(now)
}
