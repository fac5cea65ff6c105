package forwarding

import "time"

const (
	// spillUtilization is the utilization of the least loaded server in the own failure
	// domain from which new flows may spill over to other domains. Below it, requests rarely
	// queue at servers with two slots. A flow that crosses domains does not survive a
	// partition between them and pays the latency in both directions.
	spillUtilization = 0.7
	// maxSpillLoadRatio is the utilization of the remote server relative to the local one
	// below which a flow spills over.
	maxSpillLoadRatio = 0.7
	// sampleSize bounds the servers compared for one flow, so that a choice takes the same
	// time with 19 and with 12,000 servers. With fewer eligible servers, all are compared.
	sampleSize = 8
	// overloadMargin is the load above that of the least loaded server of the sample from which
	// a server gets no new flows, so that two overloaded servers are not drawn together.
	overloadMargin = 1.0
)

// choose returns the server for a new flow on the route, or nil if none is eligible. It picks
// a service by weight and falls back to the route's other services.
func (e *Engine) choose(now time.Duration, r *route) *server {
	if r.totalWeight == 0 {
		return nil
	}
	draw := e.rng.Uint64N(r.totalWeight)
	first := 0
	for i, w := range r.services {
		if draw < w.weight {
			first = i
			break
		}
		draw -= w.weight
	}
	if s := e.best(now, r.services[first].service); s != nil {
		return s
	}
	for i, w := range r.services {
		if i == first || w.weight == 0 {
			continue
		}
		if s := e.best(now, w.service); s != nil {
			return s
		}
	}
	return nil
}

// best returns the least loaded eligible server of a service, preferring the own failure
// domain.
func (e *Engine) best(now time.Duration, svc *service) *server {
	local, localUtilization := e.leastLoaded(now, svc.local, (*server).usableAt)
	if local != nil && localUtilization < spillUtilization {
		return local
	}
	remote, remoteUtilization := e.leastLoaded(now, svc.remoteLeastLoaded, (*server).usableLeastLoaded)
	if remote != nil && (local == nil || remoteUtilization < localUtilization*maxSpillLoadRatio) {
		return remote
	}
	if local != nil {
		return local
	}
	for _, usable := range []func(*server, time.Duration) bool{(*server).usableAt, (*server).usableBeyondLimit, (*server).usableAfterRemoval, (*server).usableAsLastResort} {
		for _, servers := range [][]*server{svc.local, svc.remote} {
			if s, _ := e.leastLoaded(now, servers, usable); s != nil {
				return s
			}
		}
	}
	return nil
}

// keepsCopies reports whether a copy of an opening packet may follow the earlier ones to the server. A server
// may accept the flow by the copy alone, so this is decided like the choice for a new flow, except that a
// suspected or full server keeps its copies: it may have answered already.
func (e *Engine) keepsCopies(now time.Duration, r *route, s *server) bool {
	return r.uses(s.service) && (s.eligible() && s.health.state <= suspected || s.usableAfterRemoval(now)) && e.accepts(now, s)
}

// accepts reports whether new flows may go to the server as far as evacuations and its slow start
// are concerned. Nothing else overrides it.
func (e *Engine) accepts(now time.Duration, s *server) bool {
	return !e.isEvacuated(s) && e.allowsColdStart(now, s)
}

// usableLeastLoaded reports whether the server is usable and currently among the least loaded
// servers that its failure domain reports.
func (s *server) usableLeastLoaded(now time.Duration) bool {
	return now < s.leastLoadedUntil && s.usable() && !s.full()
}

// usableAt reports whether the server is usable. It has the signature of the filters of
// leastLoaded.
func (s *server) usableAt(time.Duration) bool { return s.usable() && !s.full() }

// usableBeyondLimit reports whether the server is usable apart from its limit of open flows. The
// count is an estimate, and the server itself decides.
func (s *server) usableBeyondLimit(time.Duration) bool { return s.usable() }

// candidate is an eligible server with its load as defined by server.loads.
type candidate struct {
	server   *server
	load     float64
	capacity float64 // requests per second that it serves
}

// leastLoaded returns a lightly loaded server of a sample of those that pass the filter, and the
// lowest utilization in the sample. The sample starts at a random position. The server is the less
// loaded one of two that are drawn by their capacity: reported loads are up to a few seconds old, and
// if all instances chose the least loaded server, it would get all new flows meanwhile.
func (e *Engine) leastLoaded(now time.Duration, servers []*server, usable func(*server, time.Duration) bool) (*server, float64) {
	n := len(servers)
	// The local servers share one failure domain. If it is evacuated, looking at each of hundreds
	// would take 45 µs for a new flow.
	if n == 0 || servers[0].local && e.isEvacuated(servers[0]) {
		return nil, 0
	}
	var sample [sampleSize]candidate
	var lowestUtilization, lowestLoad float64
	start, seen := 0, 0
	if n > sampleSize {
		start = int(e.rng.Uint64N(uint64(n)))
	}
	for i := 0; i < n && seen < sampleSize; i++ {
		s := servers[(start+i)%n]
		if !usable(s, now) || !e.accepts(now, s) {
			continue
		}
		utilization, load, capacity := s.loads(now)
		if seen == 0 || utilization < lowestUtilization {
			lowestUtilization = utilization
		}
		if seen == 0 || load < lowestLoad {
			lowestLoad = load
		}
		sample[seen] = candidate{s, load, capacity}
		seen++
	}
	return e.betterOfTwo(sample[:seen], lowestLoad+overloadMargin), lowestUtilization
}

// betterOfTwo returns the less loaded of two servers drawn from the sample, or nil if the sample is
// empty. Servers with more load than the limit are not drawn. The probability of the others is
// proportional to their capacity, so that their load is even also where reports are missing.
func (e *Engine) betterOfTwo(sample []candidate, limit float64) *server {
	var total float64
	for i := range sample {
		if sample[i].load > limit {
			sample[i].capacity = 0
		}
		total += sample[i].capacity
	}
	first := e.draw(sample, total)
	if first == nil {
		return nil
	}
	total -= first.capacity
	first.capacity = 0
	if second := e.draw(sample, total); second != nil && second.load < first.load {
		return second.server
	}
	return first.server
}

// draw returns a random candidate with a probability proportional to its capacity, or nil if none
// has any. total is the sum of the capacities.
func (e *Engine) draw(sample []candidate, total float64) *candidate {
	var drawn *candidate
	x := e.rng.Float64() * total
	for i := range sample {
		if c := &sample[i]; c.capacity > 0 {
			drawn = c
			if x -= c.capacity; x < 0 {
				break
			}
		}
	}
	return drawn
}
