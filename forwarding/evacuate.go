package forwarding

import "time"

const (
	// maxLeastLoadedInEvacuation replaces maxLeastLoaded while a failure domain is evacuated, so that
	// all of its flows do not go to the same four servers of each other domain.
	maxLeastLoadedInEvacuation = 32
	// leastLoadedBudget bounds the servers of all services that are reported during an evacuation. At
	// 12 bytes each, a delegate passes 1.5 KB of every other domain to its peers 24 times a second.
	leastLoadedBudget = 128
)

// SetEvacuated records whether operators have evacuated a failure domain. Its servers get no new
// flows meanwhile; open flows stay. Afterwards they are cold. The domain may be one that no server
// names yet.
func (e *Engine) SetEvacuated(now time.Duration, domain string, active bool) {
	if active == e.isDomainEvacuated(domain) {
		return
	}
	if active {
		e.evacuated[domain] = struct{}{}
	} else {
		delete(e.evacuated, domain)
	}
	for _, s := range e.servers {
		if s.Domain != domain {
			continue
		}
		if s.evacuated = active; active {
			continue
		}
		e.markCold(now, s)
		if s.health.reported {
			// The settlers have not probed the server, and so not repeated their report, during the
			// evacuation. They probe it now.
			s.health.reportedUntil = max(s.health.reportedUntil, now+reportLifetime)
		}
	}
}

// markCold makes the server count as cold for as long as its service says, whatever its record says.
func (e *Engine) markCold(now time.Duration, s *server) {
	s.markedCold = now + s.service.limits.ColdStart
	s.coldUntil = max(s.coldUntil, s.markedCold)
}

// KnowsDomain reports whether a server names the failure domain.
func (e *Engine) KnowsDomain(domain string) bool {
	for _, s := range e.servers {
		if s.Domain == domain {
			return true
		}
	}
	return false
}

// isEvacuated reports whether the server is in an evacuated failure domain.
func (e *Engine) isEvacuated(s *server) bool { return s.evacuated }

func (e *Engine) isDomainEvacuated(domain string) bool {
	_, active := e.evacuated[domain]
	return active
}

// mayProbe reports whether the address that a record of the server names may be probed. In an
// evacuated failure domain, only a server with open flows is probed: flows of this instance, of a
// peer that asks, or at another server with this address.
func (e *Engine) mayProbe(s *server, record *Server) bool {
	if !e.isDomainEvacuated(record.Domain) || s.flows > 0 || s.health.askedByPeer {
		return true
	}
	for _, o := range e.byAddress[record.Address] {
		if o.flows > 0 {
			return true
		}
	}
	return false
}

// maxReported returns the number of least loaded servers per service that are reported to other
// failure domains.
func (e *Engine) maxReported() int {
	if len(e.evacuated) == 0 {
		return maxLeastLoaded
	}
	return min(max(leastLoadedBudget/max(len(e.services), 1), maxLeastLoaded), maxLeastLoadedInEvacuation)
}

// refusalWithoutServer returns the reason why no server of the route's services is eligible: the
// evacuation if one of them would be without it.
func (e *Engine) refusalWithoutServer(r *route) Reason {
	if len(e.evacuated) == 0 {
		return NoServer
	}
	for _, w := range r.services {
		for _, servers := range [][]*server{w.service.local, w.service.remote} {
			for _, s := range servers {
				if w.weight > 0 && s.usable() && e.isEvacuated(s) {
					return Evacuated
				}
			}
		}
	}
	return NoServer
}

// countEvacuated counts a new flow that goes to another failure domain because the own one is
// evacuated.
func (e *Engine) countEvacuated(s *server) {
	if !s.local && e.isDomainEvacuated(e.cfg.Domain) {
		e.evacuatedFlows++
	}
}
