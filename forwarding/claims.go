package forwarding

import (
	"net/netip"
	"time"
)

// Records are claims of their writers. The store may execute a write late, so that the record of an
// earlier process replaces that of a later one, and others write records too. The order of the
// store's writes therefore never decides between two processes; the answer of the one that is at
// the address does.
const (
	// claimLifetime is how long a record that contradicts a living process is held back. A living
	// process writes its record again before the store gives it up, after three heartbeat
	// intervals of 1.2 s.
	claimLifetime = 4 * time.Second
	// replacedProbeInterval is the time between probes of a server whose address has answered for
	// another one. Its record may stay for good.
	replacedProbeInterval = 5 * time.Second
)

// claim is a record that is not applied yet.
type claim struct {
	Server
	service *service
	since   time.Duration
	nextAsk time.Duration // earliest time of the next probe at its address
	removed bool          // the record was removed, but its process may live at the address
}

// claimsElsewhere reports whether the server's process may be at the address of the claim instead of
// its own. A record of a service that no configuration has named is another writer's, so that its
// address says nothing about the process.
func (s *server) claimsElsewhere() bool {
	return s.claim != nil && s.claim.service.named && s.claim.Address != s.Address
}

// hasMoved reports whether a later record than the one in force names another address. Once the
// server's own address does not answer for it any more, its process is there.
func (s *server) hasMoved() bool { return s.claimsElsewhere() && s.writtenBefore(&s.claim.Server) }

// contradictedBy reports whether a record contradicts what is known about the server's process: it
// was written before the known record or before a claim that is being asked about, it moves a
// process that is not known to be down, or it names a service that no configuration has named. If
// only the known record names such a service, that one is another writer's and contradicts nothing.
func (e *Engine) contradictedBy(s *server, in *Server) bool {
	named := e.service(in.Service).named
	switch {
	case s.claimsElsewhere() && in.writtenBefore(&s.claim.Server):
		return true
	case s.service.named != named:
		return s.service.named
	}
	return in.writtenBefore(&s.Server) || s.listed && in.Address != s.Address && s.health.state <= suspected
}

// holdClaim holds a record back. If it names another address, that address is asked. Of several
// claims, the one that was written last is kept, and the first one's time counts. A record of a
// service that no configuration has named does not replace a claim of a named one.
func (e *Engine) holdClaim(now time.Duration, s *server, in Server) []Action {
	s.Revision = in.Revision
	c := &claim{Server: in, service: e.service(in.Service), since: now}
	if in.Address != s.Address {
		s.namedElsewhereAt = now
	}
	if in.Draining && c.service.named {
		s.leaving = true
		s.Draining = s.Draining || in.StartedAt == s.StartedAt
	}
	if o := s.claim; o != nil {
		switch {
		case o.service.named && !c.service.named:
			return nil
		case o.service.named == c.service.named:
			o.removed = false
			if in.writtenBefore(&o.Server) {
				return nil
			}
			c.since = o.since
		}
	}
	s.claim = c
	e.claimants[s] = struct{}{}
	return e.askClaim(now, s)
}

// askClaim probes the address of a claim if it differs from the server's.
func (e *Engine) askClaim(now time.Duration, s *server) []Action {
	if !s.claimsElsewhere() || now < s.claim.nextAsk || !e.mayProbe(s, &s.claim.Server) {
		return nil
	}
	s.claim.nextAsk = now + downProbeInterval
	t := s.target()
	t.Address = s.claim.Address
	return []Action{{Kind: Probe, Target: t, Server: s.Name, Path: e.healthPathAt(s.claim.service, t.Address), Incarnation: s.incarnation}}
}

// settleClaims applies the claims that no later record has replaced in time. A claim to another
// address waits as long as the server may live at its own. A claim of a service that no
// configuration has named is never applied: the server gets no new flows, and its open ones stay.
func (e *Engine) settleClaims(now time.Duration) []Action {
	var actions []Action
	for s := range e.claimants {
		switch {
		case !s.claim.service.named:
			if s.listed && now-s.claim.since >= claimLifetime {
				actions = append(actions, e.unlist(now, s)...)
			}
		case s.claimsElsewhere() && s.listed && s.health.state <= suspected:
			actions = append(actions, e.askClaim(now, s)...)
		case now-s.claim.since < claimLifetime:
		case s.claim.removed:
			e.dropClaim(s)
		default:
			actions = append(actions, e.applyClaim(now, s)...)
		}
	}
	return actions
}

// applyClaim makes the claim the record in force.
func (e *Engine) applyClaim(now time.Duration, s *server) []Action {
	c := s.claim
	c.Revision = s.Revision
	actions := e.applyRecord(now, s, c.Server)
	if c.removed {
		s.listed, s.removedAt = false, now
		e.updateShadows(s)
	}
	return actions
}

func (e *Engine) dropClaim(s *server) {
	s.claim = nil
	delete(e.claimants, s)
}

// contest finds out who has the address of a server with a new record, if other servers may have it
// too. The server gets new flows only after it has answered if one of them is listed and not
// known to be down. This instance probes the address by itself if it has flows at one of them.
func (e *Engine) contest(now time.Duration, s *server) []Action {
	flows := false
	for _, o := range e.byAddress[s.Address] {
		if o == s || o.health.replaced {
			continue
		}
		s.unproven = s.unproven || o.listed && o.health.state <= suspected
		flows = flows || o.flows > 0
	}
	switch {
	case flows:
		return e.suspectWithProbe(now, s)
	case s.unproven:
		return e.suspect(now, s)
	}
	return nil
}

// confirmOwner handles an answer of the server at its address, to a probe that began at a time: no
// other server can have been there since.
func (e *Engine) confirmOwner(now time.Duration, s *server, began time.Duration) []Action {
	s.unproven, s.answeredAt = false, now
	var actions []Action
	for _, o := range e.byAddress[s.Address] {
		if o != s && !o.health.replaced {
			actions = append(actions, e.replaced(now, o, began)...)
		}
	}
	return actions
}

// replaced handles an answer of another server at the server's address, to a probe that began at
// a time. An answer of an earlier process says nothing about one that came later.
func (e *Engine) replaced(now time.Duration, s *server, began time.Duration) []Action {
	switch {
	case s.changedSince(began):
		return e.suspect(now, s)
	case s.hasMoved():
		return e.applyClaim(now, s)
	case e.mayBeElsewhere(now, s):
		return e.keepFlows(now, s)
	}
	actions := e.declareDead(now, s)
	s.health.replaced, s.health.nextProbe = true, now+replacedProbeInterval
	return actions
}

// changedSince reports whether the server has answered, or a record of a new process was applied,
// after a time.
func (s *server) changedSince(t time.Duration) bool { return max(s.startedAt, s.answeredAt) > t }

// mayBeElsewhere reports whether the server's present process may be at another address than that
// of its record: at one that a record under its key has named, whether or not that record is the claim
// that is kept, or at an unknown one, if the record in force may be a late write that names the address
// of an earlier process.
func (e *Engine) mayBeElsewhere(now time.Duration, s *server) bool {
	return s.claimsElsewhere() || s.namedElsewhereAt > 0 && now-s.namedElsewhereAt < claimLifetime ||
		s.answeredAt == 0 && now-s.addressSince < claimLifetime
}

// healthPath returns the path at which the server's address says who it is.
func (e *Engine) healthPath(s *server) string { return e.healthPathAt(s.service, s.Address) }

// healthPathAt returns the path at which a server of a service at an address says who it is. The record of
// another writer may name a service without one; then a server that may have the address tells it.
func (e *Engine) healthPathAt(svc *service, at netip.AddrPort) string {
	if svc.healthPath != "" {
		return svc.healthPath
	}
	for _, o := range e.byAddress[at] {
		if o.service.healthPath != "" {
			return o.service.healthPath
		}
	}
	return ""
}

// applyAnswerer handles an answer of a server that was not the one asked.
func (e *Engine) applyAnswerer(now time.Duration, at netip.AddrPort, name string, began time.Duration) []Action {
	s := e.servers[name]
	if s == nil || s.Address != at {
		return nil
	}
	e.trustAfterAnswer(now, s)
	return e.confirmOwner(now, s, began)
}

// applyClaimResult handles the result of a probe at the address of a claim.
func (e *Engine) applyClaimResult(now time.Duration, s *server, r ProbeResult) []Action {
	if !s.claimsElsewhere() || s.claim.Address != r.Address {
		return nil
	}
	began := now - r.Elapsed
	switch {
	case r.Outcome == Answered:
		return append(e.applyClaim(now, s), e.confirmOwner(now, s, began)...)
	case r.Outcome == OtherServer:
		e.dropClaim(s)
		return e.applyAnswerer(now, r.Address, r.Answerer, began)
	case r.Outcome == Refused && now-s.claim.since >= claimLifetime:
		e.dropClaim(s)
	}
	return nil
}
