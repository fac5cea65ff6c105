package forwarding

import "time"

const (
	// peerLoadLifetime is how long a peer's loads count without being stated again.
	peerLoadLifetime = 2 * time.Second
	// rateInterval and rateDecay let the requests per flow follow within about 5 s.
	rateInterval = time.Second
	rateDecay    = 0.8
	// priorFlowSeconds stands for the measurements before the first ones: one request a
	// second and flow.
	priorFlowSeconds = 5
)

// Load is the number of open flows that a source keeps on a server and the response
// time that it measures there.
type Load struct {
	Cookie      uint32
	Flows       int32
	ServiceTime time.Duration // 0 without samples
}

type peerLoads struct {
	loads []Load
	at    time.Duration
}

// Loads returns the loads that this instance causes.
func (e *Engine) Loads() []Load {
	var out []Load
	for _, s := range e.servers {
		if s.flows > 0 {
			out = append(out, Load{Cookie: s.cookie, Flows: s.flows, ServiceTime: time.Duration(s.serviceTime)})
		}
	}
	return out
}

// DomainLoads returns the loads that this instance and the named sources cause together.
func (e *Engine) DomainLoads(sources []string) []Load {
	sum := make(map[uint32]Load)
	add := func(loads []Load) {
		for _, l := range loads {
			t := sum[l.Cookie]
			t.Cookie = l.Cookie
			t.Flows += l.Flows
			t.ServiceTime = max(t.ServiceTime, l.ServiceTime)
			sum[l.Cookie] = t
		}
	}
	add(e.Loads())
	for _, source := range sources {
		add(e.peerLoads[source].loads)
	}
	out := make([]Load, 0, len(sum))
	for _, l := range sum {
		out = append(out, l)
	}
	return out
}

// SetPeerLoads replaces the loads that a source states.
func (e *Engine) SetPeerLoads(now time.Duration, source string, loads []Load) {
	e.addPeerLoads(e.peerLoads[source].loads, -1)
	e.addPeerLoads(loads, 1)
	e.peerLoads[source] = peerLoads{loads, now}
}

// PeerLoads returns the loads that a source stated, if they still count.
func (e *Engine) PeerLoads(source string) ([]Load, bool) {
	p, ok := e.peerLoads[source]
	return p.loads, ok
}

func (e *Engine) addPeerLoads(loads []Load, sign int32) {
	for _, l := range loads {
		for _, s := range e.byCookie[l.Cookie] {
			s.peerFlows += sign * l.Flows
			if sign > 0 && l.ServiceTime > 0 {
				s.peerTime = float64(l.ServiceTime)
			}
		}
	}
}

// expirePeerLoads drops the loads of sources that are not heard any more.
func (e *Engine) expirePeerLoads(now time.Duration) {
	for source, p := range e.peerLoads {
		if now-p.at > peerLoadLifetime {
			e.addPeerLoads(p.loads, -1)
			delete(e.peerLoads, source)
		}
	}
}

// measureRates updates the requests per second of a service's open flows.
func (e *Engine) measureRates(now time.Duration) {
	if now < e.nextRates {
		return
	}
	e.nextRates = now + rateInterval
	for _, s := range e.services {
		s.requests *= rateDecay
		s.flowSeconds *= rateDecay
	}
	for _, s := range e.servers {
		s.service.flowSeconds += float64(s.flows) * rateInterval.Seconds()
	}
}

// flowRate returns the requests per second of one open flow.
func (s *service) flowRate() float64 {
	return (s.requests + priorFlowSeconds/10) / (s.flowSeconds + priorFlowSeconds/10)
}

// responseTime returns the estimated response time of the server in nanoseconds.
func (s *server) responseTime(now time.Duration) float64 {
	t := s.serviceTime
	if t == 0 {
		t = s.peerTime
	}
	if t == 0 {
		t = s.service.serviceTime
	}
	if now < s.coldUntil {
		t *= coldFactor
	}
	return t
}

// utilization estimates the share of the server's slots that its flows keep busy once it
// has one more.
func (s *server) utilization(now time.Duration) float64 {
	flows := float64(max(s.flows+s.peerFlows, 0) + 1)
	return flows * s.service.flowRate() * s.responseTime(now) / float64(time.Second) / float64(s.Slots)
}
