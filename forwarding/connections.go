package forwarding

import (
	"slices"
	"strings"

	"github.com/monsoonthread/monsoonthread/connlimit"
)

// flowsGain makes the average of a server's own flows follow them within 2 s, the greatest age of a
// peer's report.
const flowsGain = 1.0 / 8

// full reports whether the server holds as many open flows as it accepts, as far as this instance
// and its peers know.
func (s *server) full() bool {
	limit := s.service.limits.MaxFlows
	return limit > 0 && connlimit.Full(int(s.flows), s.flowsOfPeers(), limit)
}

// flowsOfPeers estimates the open flows of other instances at the server.
func (s *server) flowsOfPeers() int {
	return s.meter.peerFlows + connlimit.Unreported(int(s.flows), s.meter.meanFlows, s.service.peers)
}

// flowsMatter reports whether peers need to know this instance's flows at the server even if hardly
// any request comes on them.
func (s *server) flowsMatter() bool {
	return connlimit.Matters(int(s.flows), s.service.peers, s.service.limits.MaxFlows)
}

// reportedFlows returns the flows in a load report. Without a limit they are left out, because
// nobody needs them.
func (s *server) reportedFlows(flows int) int {
	if s.service.limits.MaxFlows == 0 {
		return 0
	}
	return flows
}

// withRoom returns the servers that are not full; all of them if all are, since one of them then
// gets the flow.
func withRoom(servers []*server) []*server {
	if !slices.ContainsFunc(servers, func(s *server) bool { return !s.full() }) {
		return servers
	}
	return slices.DeleteFunc(servers, (*server).full)
}

// reportingPeers returns the number of instances of the own failure domain that report loads.
func (e *Engine) reportingPeers() int {
	n := 0
	for source := range e.peerLoads {
		if !strings.HasPrefix(source, domainSourcePrefix) {
			n++
		}
	}
	return n
}

// reportFull returns the actions for a server that has become full or is not full any more.
func (e *Engine) reportFull(s *server) []Action {
	full := s.full()
	if full == s.fullReported {
		return nil
	}
	s.fullReported = full
	kind := ReportNotFull
	if full {
		kind = ReportFull
	}
	return []Action{{Kind: kind, Target: s.target(), Server: s.Name, Flows: int(s.flows) + s.flowsOfPeers(), MaxFlows: s.service.limits.MaxFlows}}
}
