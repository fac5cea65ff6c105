package forwarding

import "time"

const (
	// spillUtilization is the utilization of the own failure domain's least busy server
	// from which flows may go to other domains: below it, requests rarely wait on two
	// slots. A flow that crosses does not survive a cut and pays the delay both ways.
	spillUtilization = 0.7
	// spillGain is how much less busy the other domain's server must be.
	spillGain = 0.7
	// sampleSize bounds the servers compared for one flow, so that a choice takes the
	// same time with 19 and with 12,000 servers. Up to this number all are compared.
	sampleSize = 8
)

// choose returns the server for a new flow on the route, or nil if none can take it.
func (e *Engine) choose(now time.Duration, r *route) *server {
	if r.total == 0 {
		return nil
	}
	ticket := uint32(e.rng.Uint64N(uint64(r.total)))
	first := 0
	for i, w := range r.services {
		if ticket < w.weight {
			first = i
			break
		}
		ticket -= w.weight
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

// best returns the least loaded usable server of a service.
func (e *Engine) best(now time.Duration, svc *service) *server {
	local, localBusy := e.leastLoaded(now, svc.local, (*server).usableAt)
	if local != nil && localBusy < spillUtilization {
		return local
	}
	remote, remoteBusy := e.leastLoaded(now, svc.heads, (*server).usableHead)
	if remote != nil && (local == nil || remoteBusy < localBusy*spillGain) {
		return remote
	}
	if local != nil {
		return local
	}
	for _, usable := range []func(*server, time.Duration) bool{(*server).usableAt, (*server).usableAfterRemoval, (*server).usableAsLastResort} {
		for _, servers := range [][]*server{svc.local, svc.remote} {
			if s, _ := e.leastLoaded(now, servers, usable); s != nil {
				return s
			}
		}
	}
	return nil
}

// usableHead reports whether the server is one that its failure domain offers to others.
func (s *server) usableHead(now time.Duration) bool { return now < s.headUntil && s.usable() }

func (s *server) usableAt(time.Duration) bool { return s.usable() }

// leastLoaded compares a sample of the servers that pass the filter.
func (e *Engine) leastLoaded(now time.Duration, servers []*server, usable func(*server, time.Duration) bool) (*server, float64) {
	n := len(servers)
	if n == 0 {
		return nil, 0
	}
	var best *server
	var bestLoad float64
	start := int(e.rng.Uint64N(uint64(n)))
	seen := 0
	for i := 0; i < n && seen < sampleSize; i++ {
		s := servers[(start+i)%n]
		if !usable(s, now) {
			continue
		}
		seen++
		if load := s.utilization(now); best == nil || load < bestLoad {
			best, bestLoad = s, load
		}
	}
	return best, bestLoad
}
