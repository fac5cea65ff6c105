package forwarding

import (
	"cmp"
	"slices"
	"time"
)

const (
	// peerLoadLifetime is how long a peer's load report counts without being renewed.
	peerLoadLifetime = 2 * time.Second
	// rateInterval and rateGain let the moving average of the request rate follow a change
	// within about a second.
	rateInterval = 250 * time.Millisecond
	rateGain     = 0.2
	// Until its requests are measured, a new flow counts with the average request rate of the
	// flows of its service, within these bounds in requests per second. The lower bound keeps
	// new flows from counting as no load while the service's other flows are idle.
	minFlowRate = 0.8
	maxFlowRate = 4.0
	// The service time is estimated from a low quantile of the response times, since slower
	// responses include queueing, which does not depend on the server's speed.
	// meanToQuantileRatio converts the quantile to the mean for service times whose standard
	// deviation is about half the mean.
	serviceQuantile     = 0.3
	quantileStep        = 0.05
	meanToQuantileRatio = 1.4
	// minLocalSamples is the number of own samples from which peers' measurements are
	// ignored.
	minLocalSamples = 8
)

// Load is the request rate that a source causes at a server and the service time that the
// source measures there.
type Load struct {
	Cookie      uint32
	Rate        float64       // requests per second
	ServiceTime time.Duration // without queueing; 0 without samples
	Flows       int           // open flows of the source
	// SampleSum and Samples are the decayed sum and number of the service times that the source
	// has measured, so that the reports of several sources add up.
	SampleSum time.Duration
	Samples   float64
}

// peerLoads is the latest load report of a source.
type peerLoads struct {
	loads   []Load
	applied []appliedLoad // what the report added to the servers
	at      time.Duration
}

// appliedLoad is a load as it was added to a server. A cookie may start to map to a server,
// or map to another one, between two reports, so exactly what was added is subtracted.
type appliedLoad struct {
	server *server
	rate   float64
	flows  int
}

// meter measures the load that this instance's flows cause at a server and holds the load
// that peers reported for it.
type meter struct {
	arrivals        int32   // requests in the current interval
	rate            float64 // moving average of requests per second
	expectedRate    float64 // requests per second expected of new flows that are not measured yet
	quantile        float64 // of response times, in nanoseconds
	samples         int32
	peerRate        float64
	peerFlows       int     // open flows of other instances
	meanFlows       float64 // moving average of own open flows
	peerServiceTime float64 // service time measured by a peer, in nanoseconds
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

// Loads returns the loads that this instance causes, for its peers.
func (e *Engine) Loads() []Load {
	var out []Load
	for s := range e.activeServers {
		if rate := s.meter.rate + s.meter.expectedRate; rate > minReportedRate || s.flowsMatter() {
			out = append(out, Load{Cookie: s.cookie, Rate: rate, ServiceTime: time.Duration(s.meter.meanTime()), Flows: s.reportedFlows(int(s.flows))})
		}
	}
	return out
}

// minReportedRate is the request rate per second below which a server is left out of load
// reports.
const minReportedRate = 0.01

// meanTime returns the mean service time measured by this instance, in nanoseconds; 0 without
// samples.
func (m *meter) meanTime() float64 { return m.quantile * meanToQuantileRatio }

// maxLeastLoaded is the number of servers per service that a failure domain reports to
// others: enough to spread the flows that spill over, few enough to keep messages small with
// 12,000 servers.
const maxLeastLoaded = 4

// LeastLoadedServers returns the least loaded servers of each service in the own failure
// domain, with the load of all instances of the domain. Other domains spill over only to
// these servers. An evacuated domain has none.
func (e *Engine) LeastLoadedServers(now time.Duration) []Load {
	if e.isDomainEvacuated(e.cfg.Domain) {
		return nil
	}
	var out []Load
	most := e.maxReported()
	for _, svc := range e.services {
		usable := make([]*server, 0, len(svc.local))
		for _, s := range svc.local {
			if s.usable() && !e.isCold(now, s) {
				usable = append(usable, s)
			}
		}
		usable = withRoom(usable)
		slices.SortFunc(usable, func(a, b *server) int { return cmp.Compare(a.utilization(now), b.utilization(now)) })
		for _, s := range usable[:min(most, len(usable))] {
			m := &s.meter
			out = append(out, Load{Cookie: s.cookie, Rate: m.rate + m.expectedRate + m.peerRate, ServiceTime: time.Duration(s.requestTime(now)), Flows: s.reportedFlows(int(s.flows) + m.peerFlows)})
		}
	}
	return out
}

// SetLeastLoadedServers replaces the least loaded servers that another failure domain reported.
func (e *Engine) SetLeastLoadedServers(now time.Duration, domain string, loads []Load) {
	e.SetPeerLoads(now, domainSourcePrefix+domain, loads)
	for _, svc := range e.services {
		svc.remoteLeastLoaded = slices.DeleteFunc(svc.remoteLeastLoaded, func(s *server) bool { return s.withdrawOffer(domain) })
	}
	for _, l := range loads {
		for _, s := range e.byCookie[l.Cookie] {
			if s.Domain != domain {
				continue // it has the same cookie, but another domain's report replaces its entry
			}
			s.leastLoadedUntil = now + peerLoadLifetime
			s.service.remoteLeastLoaded = append(s.service.remoteLeastLoaded, s)
		}
	}
}

// LeastLoadedServersOf returns the least loaded servers that another failure domain reported,
// unless its report has expired.
func (e *Engine) LeastLoadedServersOf(domain string) ([]Load, bool) {
	p, ok := e.peerLoads[domainSourcePrefix+domain]
	return p.loads, ok
}

// domainSourcePrefix distinguishes failure domains from instances among the sources of load
// reports.
const domainSourcePrefix = "domain:"

// SetPeerLoads replaces the loads reported by a peer of the own failure domain.
func (e *Engine) SetPeerLoads(now time.Duration, source string, loads []Load) {
	p := e.peerLoads[source]
	subtractLoads(p.applied)
	e.peerLoads[source] = peerLoads{loads, e.addLoads(p.applied[:0], loads), now}
}

// addLoads adds a source's loads to the servers and appends what it added to applied.
func (e *Engine) addLoads(applied []appliedLoad, loads []Load) []appliedLoad {
	for _, l := range loads {
		for _, s := range e.byCookie[l.Cookie] {
			s.meter.peerRate += l.Rate
			s.meter.peerFlows += l.Flows
			if l.ServiceTime > 0 {
				s.meter.peerServiceTime = float64(l.ServiceTime)
			}
			applied = append(applied, appliedLoad{s, l.Rate, l.Flows})
		}
	}
	return applied
}

func subtractLoads(applied []appliedLoad) {
	for _, c := range applied {
		// Rounding errors must not make the rate negative.
		c.server.meter.peerRate = max(c.server.meter.peerRate-c.rate, 0)
		c.server.meter.peerFlows -= c.flows
	}
}

// expirePeerLoads drops the reports of sources that have stopped sending.
func (e *Engine) expirePeerLoads(now time.Duration) {
	for source, p := range e.peerLoads {
		if now-p.at > peerLoadLifetime {
			subtractLoads(p.applied)
			delete(e.peerLoads, source)
		}
	}
}

// measureRates updates request rates, service times and failure sums once per interval.
func (e *Engine) measureRates(now time.Duration) []Action {
	if now < e.nextRates {
		return nil
	}
	e.nextRates = now + rateInterval
	peers := e.reportingPeers()
	for _, s := range e.services {
		s.rate, s.flows, s.serviceTimeSum, s.measuredServers, s.peers = 0, 0, 0, 0, peers
	}
	var actions []Action
	for s := range e.activeServers {
		m := &s.meter
		m.rate += (float64(m.arrivals)/rateInterval.Seconds() - m.rate) * rateGain
		m.expectedRate *= 1 - rateGain
		m.arrivals = 0
		m.meanFlows += (float64(s.flows) - m.meanFlows) * flowsGain
		actions = append(actions, e.reportFull(s)...)
		if m.rate+m.expectedRate < minReportedRate {
			m.rate, m.expectedRate = 0, 0
			if !s.fullReported && !s.flowsMatter() {
				m.meanFlows = float64(s.flows)
				delete(e.activeServers, s)
			}
		}
		s.service.rate += m.rate
		s.service.flows += s.flows
		if m.samples >= minLocalSamples {
			s.service.serviceTimeSum += m.meanTime()
			s.service.measuredServers++
		}
	}
	return append(actions, e.sumFailures(now)...)
}

// countRequest counts a request sent to a server.
func (e *Engine) countRequest(s *server) {
	s.meter.arrivals++
	e.activeServers[s] = struct{}{}
}

// addExpectedRate adds the request rate expected of a new flow at the server.
func (e *Engine) addExpectedRate(s *server) {
	s.meter.expectedRate += s.service.flowRate()
	e.activeServers[s] = struct{}{}
}

// flowRate returns the expected requests per second of a new flow.
func (s *service) flowRate() float64 {
	if s.flows == 0 {
		return minFlowRate
	}
	return min(max(s.rate/float64(s.flows), minFlowRate), maxFlowRate)
}

// serviceTime returns the mean service time over the measured servers, in nanoseconds.
func (s *service) serviceTime() float64 {
	if s.measuredServers == 0 {
		return float64(defaultServiceTime)
	}
	return s.serviceTimeSum / float64(s.measuredServers)
}

// requestTime returns the estimated service time at the server, without queueing, in
// nanoseconds.
func (s *server) requestTime(now time.Duration) float64 {
	m := &s.meter
	t := m.meanTime()
	if m.samples < minLocalSamples && m.peerServiceTime > 0 {
		t = m.peerServiceTime
	}
	if t == 0 {
		t = s.service.serviceTime()
	}
	if now < s.coldUntil {
		t *= coldFactor
	}
	return t
}

// utilization estimates the share of the server's slots that is busy once it has one more
// flow, scaled up by the failure penalty of a failing server.
func (s *server) utilization(now time.Duration) float64 {
	m := &s.meter
	rate := m.rate + m.expectedRate + m.peerRate + s.service.flowRate()
	return rate * s.requestTime(now) / float64(time.Second) / float64(s.Slots) * s.failurePenalty(now)
}
