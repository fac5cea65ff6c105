package forwarding

import (
	"cmp"
	"slices"
	"time"

	"github.com/monsoonthread/monsoonthread/serverload"
)

const (
	// A source's load report counts for reportLifetimeFactor times the interval between its last
	// two reports, within the bounds below, so that a lost report does not make known load drop
	// out. With 45 instances in a failure domain a report arrives every 2 s.
	reportLifetimeFactor = 2.5
	peerLoadLifetime     = 2 * time.Second // lower bound
	// maxPeerLoadLifetime is the upper bound and the lifetime of a source's first report. Until it
	// ends, the load of an instance that has left counts twice.
	maxPeerLoadLifetime = 6 * time.Second
	// maxDomainLoadLifetime is the upper bound for the reports of other failure domains: new flows
	// must not go to a domain that is cut off for longer than a lost report makes necessary.
	maxDomainLoadLifetime = 3 * time.Second
	// rateInterval and rateGain let the moving average of the request rate follow a change
	// within about a second.
	rateInterval = 250 * time.Millisecond
	rateGain     = 0.2
	// Until its requests are measured, a new flow counts with the average request rate of the
	// flows of its service, within these bounds in requests per second. The lower bound keeps
	// new flows from counting as no load while the service's other flows are idle.
	minFlowRate = 0.8
	maxFlowRate = 4.0
	// minReportedSamples is the decayed number of samples below which they are left out of load
	// reports, to keep the reports small.
	minReportedSamples = 0.25
	// maxSampleRatio bounds a sample by a multiple of the mean at the server, so that a
	// retransmission of 200 ms does not decide it. Where the server has become slower, the mean
	// still grows by up to this factor in a half-life of the samples.
	maxSampleRatio = 4.0
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
	loads    []Load
	applied  []appliedLoad // what the report added to the servers
	at       time.Duration
	interval time.Duration // between the last reports; 0 after the first one
	expires  time.Duration
}

// appliedLoad is a load as it was added to a server. A cookie may start to map to a server,
// or map to another one, between two reports, so exactly what was added is subtracted.
type appliedLoad struct {
	server  *server
	service *service
	rate    float64
	flows   int
	speed   serverload.Sum
}

// meter measures the load that this instance's flows cause at a server and holds the load
// that peers reported for it.
type meter struct {
	rate         float64 // moving average of requests per second
	expectedRate float64 // requests per second expected of new flows that are not measured yet
	peerRate     float64
	peerFlows    int     // open flows of other instances
	meanFlows    float64 // moving average of own open flows
	estimate     estimate
	arrivals     int32 // requests in the current interval
	speed        serverload.Speed
	ownSpeed     serverload.Sum // of speed at the start of the interval
	peerSpeed    serverload.Sum // sum of the samples that peers reported
}

// estimate holds the times of a server that are derived from its samples.
type estimate struct {
	serviceTime time.Duration // without queueing
	response    time.Duration // with queueing
	interval    uint32        // service.interval in which they were computed; 0 if they are outdated
}

// knownSpeed returns the samples of all sources.
func (m *meter) knownSpeed() serverload.Sum {
	sum := m.ownSpeed
	sum.Add(m.peerSpeed)
	return sum
}

// Loads returns the loads that this instance causes, for its peers.
func (e *Engine) Loads() []Load {
	var out []Load
	for s := range e.activeServers {
		m := &s.meter
		l := Load{Cookie: s.cookie, Rate: m.rate + m.expectedRate, Flows: s.reportedFlows(int(s.flows))}
		if samples := m.ownSpeed.Samples(); samples >= minReportedSamples {
			l.SampleSum, l.Samples = m.ownSpeed.Time, samples
		}
		if l.Rate > minReportedRate || l.Samples > 0 || s.flowsMatter() {
			out = append(out, l)
		}
	}
	return out
}

// minReportedRate is the request rate per second below which a server is left out of load
// reports.
const minReportedRate = 0.01

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
			speed := m.knownSpeed()
			out = append(out, Load{Cookie: s.cookie, Rate: m.rate + m.expectedRate + m.peerRate, ServiceTime: time.Duration(s.requestTime(now)),
				Flows: s.reportedFlows(int(s.flows) + m.peerFlows), SampleSum: speed.Time, Samples: speed.Samples()})
		}
	}
	return out
}

// SetLeastLoadedServers replaces the least loaded servers that another failure domain reported.
func (e *Engine) SetLeastLoadedServers(now time.Duration, domain string, loads []Load) {
	e.setLoads(now, domainSourcePrefix+domain, loads, maxDomainLoadLifetime)
	for _, svc := range e.services {
		svc.remoteLeastLoaded = slices.DeleteFunc(svc.remoteLeastLoaded, func(s *server) bool { return s.withdrawOffer(domain) })
	}
	for _, l := range loads {
		for _, s := range e.byCookie[l.Cookie] {
			if s.Domain != domain {
				continue // it has the same cookie, but another domain's report replaces its entry
			}
			s.leastLoadedUntil = e.peerLoads[domainSourcePrefix+domain].expires
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
	e.setLoads(now, source, loads, maxPeerLoadLifetime)
}

// setLoads replaces the loads reported by a source. maxLifetime bounds how long they count.
func (e *Engine) setLoads(now time.Duration, source string, loads []Load, maxLifetime time.Duration) {
	p, renewed := e.peerLoads[source]
	lifetime, interval := maxLifetime, time.Duration(0)
	if renewed {
		// A report that was sent out of turn does not shorten the lifetime of the next one below
		// the usual interval.
		interval = max(now-p.at, p.interval/2)
		lifetime = min(max(time.Duration(reportLifetimeFactor*float64(interval)), peerLoadLifetime), maxLifetime)
	}
	subtractLoads(p.applied)
	e.peerLoads[source] = peerLoads{loads, e.addLoads(p.applied[:0], loads), now, interval, now + lifetime}
}

// addLoads adds a source's loads to the servers and appends what it added to applied.
func (e *Engine) addLoads(applied []appliedLoad, loads []Load) []appliedLoad {
	for _, l := range loads {
		speed := serverload.NewSum(l.SampleSum, l.Samples)
		if l.Samples <= 0 {
			speed = serverload.NewSum(l.ServiceTime, 1) // from a version of the program that reports no sums
		}
		for _, s := range e.byCookie[l.Cookie] {
			s.meter.peerRate += l.Rate
			s.meter.peerFlows += l.Flows
			s.meter.peerSpeed.Add(speed)
			s.meter.estimate.interval = 0
			s.service.peerSpeed.Add(speed)
			applied = append(applied, appliedLoad{s, s.service, l.Rate, l.Flows, speed})
		}
	}
	return applied
}

func subtractLoads(applied []appliedLoad) {
	for _, c := range applied {
		// Rounding errors must not make the rate negative.
		c.server.meter.peerRate = max(c.server.meter.peerRate-c.rate, 0)
		c.server.meter.peerFlows -= c.flows
		c.server.meter.peerSpeed.Subtract(c.speed)
		c.server.meter.estimate.interval = 0
		c.service.peerSpeed.Subtract(c.speed)
	}
}

// expirePeerLoads drops the reports of sources that have stopped sending.
func (e *Engine) expirePeerLoads(now time.Duration) {
	for source, p := range e.peerLoads {
		if now > p.expires {
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
		s.rate, s.flows, s.peers, s.ownSpeed = 0, 0, peers, serverload.Sum{}
	}
	var actions []Action
	for s := range e.activeServers {
		m := &s.meter
		m.rate += (float64(m.arrivals)/rateInterval.Seconds() - m.rate) * rateGain
		m.expectedRate *= 1 - rateGain
		m.arrivals = 0
		m.meanFlows += (float64(s.flows) - m.meanFlows) * flowsGain
		actions = append(actions, e.reportFull(s)...)
		m.ownSpeed = m.speed.Sum(now)
		if m.rate+m.expectedRate < minReportedRate {
			m.rate, m.expectedRate = 0, 0
			if m.ownSpeed.Samples() < minReportedSamples && !s.fullReported && !s.flowsMatter() {
				m.meanFlows, m.speed, m.ownSpeed = float64(s.flows), serverload.Speed{}, serverload.Sum{}
				delete(e.activeServers, s)
			}
		}
		s.service.rate += m.rate
		s.service.flows += s.flows
		s.service.ownSpeed.Add(m.ownSpeed)
	}
	for _, s := range e.services {
		s.averageSpeeds()
	}
	return append(actions, e.sumFailures(now)...)
}

// countRequest counts a request sent to a server.
func (e *Engine) countRequest(s *server) {
	s.meter.arrivals++
	e.activeServers[s] = struct{}{}
}

// addExpectedRate adds the request rate expected of a new flow of the route at the server. Flows
// that end after one answer add nothing: their requests are in the average already, and would
// count two to three times.
func (e *Engine) addExpectedRate(s *server, r *route) {
	rate := s.service.flowRate()
	if r != nil {
		rate *= r.answers.Continuing()
	}
	s.meter.expectedRate += rate
	e.activeServers[s] = struct{}{}
}

// flowRate returns the expected requests per second of a new flow.
func (s *service) flowRate() float64 {
	if s.flows == 0 {
		return minFlowRate
	}
	return min(max(s.rate/float64(s.flows), minFlowRate), maxFlowRate)
}

// averageSpeeds updates the means over the servers of the service, and makes the estimates of its
// servers outdated.
func (s *service) averageSpeeds() {
	known := s.ownSpeed
	known.Add(s.peerSpeed)
	s.meanResponse = known.Estimate(defaultServiceTime)
	var sum, samples float64
	for _, servers := range [][]*server{s.local, s.remoteLeastLoaded} {
		for _, o := range servers {
			if speed := o.meter.knownSpeed(); speed.Count > 0 {
				sum += float64(o.withoutQueueing(speed)) * speed.Samples()
				samples += speed.Samples()
			}
		}
	}
	s.meanServiceTime = serverload.NewSum(time.Duration(sum), samples).Estimate(defaultServiceTime)
	s.interval = max(s.interval+1, 1) // 0 marks outdated estimates
}

// serviceTime returns the mean service time over the requests of all servers, in nanoseconds.
func (s *service) serviceTime() float64 {
	return float64(s.meanServiceTime)
}

// withoutQueueing returns the mean of samples of the server without queueing at its present load.
func (s *server) withoutQueueing(speed serverload.Sum) time.Duration {
	return serverload.WithoutQueueing(speed.Mean(), s.meter.rate+s.meter.peerRate, s.Slots)
}

// estimate returns the times that requests at the server take.
func (s *server) estimate() *estimate {
	e := &s.meter.estimate
	if e.interval == 0 || e.interval != s.service.interval {
		speed := s.meter.knownSpeed()
		e.serviceTime, e.response = time.Duration(s.service.serviceTime()), s.service.meanResponse
		if speed.Count > 0 {
			e.serviceTime = serverload.Shrink(s.withoutQueueing(speed), speed.Samples(), e.serviceTime)
			e.response = speed.Estimate(e.response)
		}
		e.interval = s.service.interval
	}
	return e
}

// relativeSpeed returns the server's speed relative to the mean of its service.
func (s *server) relativeSpeed() float64 {
	return s.service.serviceTime() / float64(max(s.estimate().serviceTime, 1))
}

// requestTime returns the estimated service time at the server, without queueing, in
// nanoseconds.
func (s *server) requestTime(now time.Duration) float64 {
	t := float64(s.estimate().serviceTime)
	if now < s.coldUntil {
		t *= coldFactor
	}
	return t
}

// utilization estimates the share of the server's slots that is busy once it has one more
// flow, scaled up by the failure penalty of a failing server.
func (s *server) utilization(now time.Duration) float64 {
	return s.expectedRate() * s.requestTime(now) / float64(time.Second) / float64(s.Slots) * s.failurePenalty(now)
}

// expectedRate returns the requests per second at the server once it has one more flow.
func (s *server) expectedRate() float64 {
	m := &s.meter
	return m.rate + m.expectedRate + m.peerRate + s.service.flowRate()
}

// loads returns what the choice of a server for a new flow depends on: its utilization; its load, by
// which servers are ranked; and its capacity in requests per second. The load is the utilization
// if requests took the whole response time, so that servers with a queue rank behind, plus the
// requests in flight of this instance, the only figure that is not out of date.
func (s *server) loads(now time.Duration) (utilization, load, capacity float64) {
	t := s.estimate()
	slots := float64(max(s.Slots, 1))
	factor := s.failurePenalty(now) / float64(time.Second)
	if now < s.coldUntil {
		factor *= coldFactor
	}
	serviceTime := factor * float64(t.serviceTime) / slots
	rate := s.expectedRate()
	return rate * serviceTime, rate*factor*float64(t.response)/slots + float64(s.pendingRequests)/slots, 1 / serviceTime
}

// minSpreadSamples is the number of samples from which a server's speed counts in LoadStats.
const minSpreadSamples = 5

// LoadStats describes what is known about the load of the servers, for metrics.
type LoadStats struct {
	Measured         int           // listed servers of the own failure domain with enough samples
	Slowest, Fastest float64       // their lowest and highest speed, relative to their service; 1 without any
	Reports          int           // sources whose reports count
	OldestReport     time.Duration // age of the oldest of these reports
}

// LoadStats returns the current values.
func (e *Engine) LoadStats(now time.Duration) LoadStats {
	out := LoadStats{Slowest: 1, Fastest: 1, Reports: len(e.peerLoads)}
	for _, p := range e.peerLoads {
		out.OldestReport = max(out.OldestReport, now-p.at)
	}
	for _, s := range e.servers {
		if !s.local || !s.listed || s.meter.knownSpeed().Samples() < minSpreadSamples {
			continue
		}
		speed := s.relativeSpeed()
		out.Measured++
		out.Slowest, out.Fastest = min(out.Slowest, speed), max(out.Fastest, speed)
	}
	return out
}
