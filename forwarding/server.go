package forwarding

import (
	"cmp"
	"net/netip"
	"time"

	"github.com/monsoonthread/monsoonthread/serverload"
)

const (
	// removalGracePeriod is how long a server whose record vanished without draining may
	// still get new flows: records that expire during a store outage return about 2 s after
	// its end.
	removalGracePeriod = 2 * time.Second
	// defaultServiceTime is the service time assumed while no server of the service is
	// measured.
	defaultServiceTime = 20 * time.Millisecond
	// coldFactor is the assumed slowdown of a server that has just started.
	coldFactor = 2
)

// Server is the content of a backend server's record.
type Server struct {
	Name      string // key of the record
	ID        uint64 // identifies the intended server in datagrams
	Service   string
	Address   netip.AddrPort
	Domain    string // failure domain
	Slots     int
	Draining  bool
	ColdLeft  time.Duration // remaining time for which the server is slow after its start
	StartedAt int64         // start time of the process as reported by the server; 0 if unknown
	Sequence  uint64        // counts the records that the process has written since its start
	Revision  uint64        // position of the record in the order of all changes
	// Unconfirmed marks a record that was removed and is back without a sign of life of the server.
	// The server gets new flows only after it has answered.
	Unconfirmed bool
}

// writtenBefore reports whether the record was written before the other one, by the same process or
// by an earlier one with the same name.
func (s *Server) writtenBefore(o *Server) bool {
	return cmp.Or(cmp.Compare(s.StartedAt, o.StartedAt), cmp.Compare(s.Sequence, o.Sequence)) < 0
}

type service struct {
	name              string
	named             bool // a configuration has named it
	healthPath        string
	limits            ServiceLimits
	admission         *serviceAdmission // nil without prioritised routes
	local, remote     []*server         // listed servers of the own and of other failure domains
	remoteLeastLoaded []*server         // least loaded servers as reported by other domains

	// Sums over the servers, updated once per interval.
	failures        float64 // decayed number of failed requests at the listed servers
	listedServers   int     // servers with a record; updated only while there are failures
	rate            float64 // requests per second of this instance's flows
	flows           int32
	peers           int            // instances of the own failure domain that report loads
	ownSpeed        serverload.Sum // service times that this instance has measured
	peerSpeed       serverload.Sum // service times that peers reported; updated with each report
	meanResponse    time.Duration  // mean of all samples
	meanServiceTime time.Duration  // the same without queueing
	interval        uint32         // counts the updates of the means
	ackDelay        serverload.Delay

	responseTime float64 // moving average of response times, queueing included, in nanoseconds
}

type server struct {
	Server
	service          *service
	cookie           uint32
	local            bool
	evacuated        bool          // its failure domain is evacuated
	listed           bool          // the record exists
	leaving          bool          // the process has reported that it is draining, perhaps in an earlier record
	unproven         bool          // gets new flows only after it has answered
	answeredAt       time.Duration // last answer of its process at its address; 0 without one
	addressSince     time.Duration // when the record with its address was applied
	startedAt        time.Duration // when the first record of its process, or after a removal, was applied
	claim            *claim        // a record that is not applied yet
	namedElsewhereAt time.Duration // when a record under its key that named another address was held back
	incarnation      uint32        // restarts that this instance knows of
	shadowed         bool          // another server with the same cookie has a lower ID
	removedAt        time.Duration
	coldUntil        time.Duration
	fullReported     bool          // the last report about its flows says that it is full
	leastLoadedUntil time.Duration // until when it counts as reported by its failure domain

	flows           int32 // flows in this instance's flow table that are not closing
	meter           meter
	pendingRequests int32         // flows with a pending request in this instance's flow table
	pendingSince    time.Duration // since when there is at least one

	health   serverHealth
	failures failures // kept across restarts: a flapping server restarts often
	cold     coldStart
}

func (s *server) target() Target { return Target{Address: s.Address, ID: s.ID, Cookie: s.cookie} }

// eligible reports whether new flows may go to the server as far as its records are concerned.
func (s *server) eligible() bool { return s.listed && !s.unproven && !s.Draining && !s.shadowed }

// usable reports whether new flows may go to the server.
func (s *server) usable() bool { return s.eligible() && s.health.state == trusted }

// usableAfterRemoval reports whether the server may get new flows although its record
// vanished recently.
func (s *server) usableAfterRemoval(now time.Duration) bool {
	return !s.listed && !s.Draining && !s.shadowed && s.health.state <= suspected && now-s.removedAt <= removalGracePeriod
}

// usableAsLastResort reports whether the server may get new flows although it looks
// unreachable: the instance's own link may be saturated.
func (s *server) usableAsLastResort(time.Duration) bool {
	return s.eligible() && s.health.state <= unreachable && s.health.unansweredProbes < lastResortUnansweredProbes
}

func (e *Engine) service(name string) *service {
	s := e.services[name]
	if s == nil {
		s = &service{name: name, meanResponse: defaultServiceTime, meanServiceTime: defaultServiceTime, interval: 1}
		e.services[name] = s
	}
	return s
}

// PutServer applies a record of a backend server. A record that is older than the known one is
// ignored. A record that contradicts a living process is a claim, see claims.go.
func (e *Engine) PutServer(now time.Duration, in Server) []Action {
	s := e.servers[in.Name]
	switch {
	case s == nil:
		s = e.addServer(in)
	case in.Revision < s.Revision || s.listed && s.claim == nil && in == s.Server:
		return nil
	case e.contradictedBy(s, &in):
		return e.holdClaim(now, s, in)
	}
	return e.applyRecord(now, s, in)
}

// applyRecord makes a record the one in force.
func (e *Engine) applyRecord(now time.Duration, s *server, in Server) []Action {
	known := s.service != nil
	newProcess := !known || in.StartedAt != s.StartedAt || in.Address != s.Address
	restarted := !s.listed || newProcess
	returned := known && !s.listed && !s.writtenBefore(&in)
	s.leaving = in.Draining || s.leaving && in.StartedAt <= s.StartedAt
	s.unproven = in.Unconfirmed || returned || s.unproven && !newProcess
	if newProcess {
		s.answeredAt, s.addressSince = 0, now
		s.meter.speed, s.meter.ownSpeed, s.meter.estimate.interval = serverload.Speed{}, serverload.Sum{}, 0 // of the earlier process
	}
	e.dropClaim(s)
	e.setRecord(s, in)
	s.listed = true
	e.applyColdLeft(now, s)
	if restarted && known {
		s.incarnation++
	}
	e.updateShadows(s)
	if !restarted {
		return nil
	}
	s.startedAt = now
	wasDown := s.health.wasDown
	e.markColdAfterRecord(now, s, newProcess, returned || in.StartedAt == 0, wasDown)
	e.setState(s, trusted)
	s.health = serverHealth{}
	actions := e.contest(now, s)
	if wasDown && e.limitsColdStarts() {
		// The record may be older than what made the server count as down. If so, its next answer
		// is that of yet another process.
		actions = append(actions, e.suspectWithProbe(now, s)...)
	}
	return actions
}

// RemoveServer applies the removal of a record. in holds the record's last value and the
// revision of the removal. Open flows stay at the server, since a removal does not prove that
// its process has ended.
func (e *Engine) RemoveServer(now time.Duration, in Server) []Action {
	s := e.servers[in.Name]
	switch {
	case s == nil:
		s = e.addServer(in)
		e.setRecord(s, in)
		s.removedAt, s.addressSince = now-removalGracePeriod, now
		e.updateShadows(s)
		return nil
	case in.Revision <= s.Revision:
		return nil
	}
	s.Revision = in.Revision
	if s.claimsElsewhere() {
		s.claim.removed = true
	} else {
		e.dropClaim(s)
	}
	if !s.listed {
		return nil
	}
	return e.unlist(now, s)
}

// unlist regards the server as one without a record. Its open flows stay.
func (e *Engine) unlist(now time.Duration, s *server) []Action {
	s.listed, s.removedAt = false, now
	e.updateShadows(s)
	if s.flows > 0 {
		return e.suspect(now, s)
	}
	return nil
}

func (e *Engine) addServer(in Server) *server {
	s := &server{cookie: uint32(in.ID)}
	e.servers[in.Name] = s
	e.byCookie[s.cookie] = append(e.byCookie[s.cookie], s)
	return s
}

// setRecord stores a record and updates the lists of its service and the index by address.
func (e *Engine) setRecord(s *server, in Server) {
	known := s.service != nil
	moved := known && (s.Service != in.Service || s.Domain != in.Domain)
	if moved {
		s.service.removeServer(s)
	}
	if known && s.Address != in.Address {
		e.byAddress[s.Address] = remove(e.byAddress[s.Address], s)
	}
	if !known || s.Address != in.Address {
		e.byAddress[in.Address] = append(e.byAddress[in.Address], s)
	}
	s.Server, s.service = in, e.service(in.Service)
	s.local, s.evacuated = in.Domain == e.cfg.Domain, e.isDomainEvacuated(in.Domain)
	switch {
	case known && !moved:
	case s.local:
		s.service.local = append(s.service.local, s)
	default:
		s.service.remote = append(s.service.remote, s)
	}
}

// removeServer removes a server from the lists of its service.
func (svc *service) removeServer(s *server) {
	svc.local, svc.remote, svc.remoteLeastLoaded = remove(svc.local, s), remove(svc.remote, s), remove(svc.remoteLeastLoaded, s)
}

// updateShadows recomputes which of the servers that share the server's cookie gets new flows. Its
// cost does not depend on the number of other servers.
func (e *Engine) updateShadows(s *server) {
	sameCookie := e.byCookie[s.cookie]
	lowest := lowestID(sameCookie)
	for _, o := range sameCookie {
		o.shadowed = o.cookie == 0 || lowest != nil && o != lowest
	}
}

// lowestID returns the listed server with the lowest ID. All instances thus agree which of
// several servers with one cookie gets new flows.
func lowestID(servers []*server) *server {
	var lowest *server
	for _, s := range servers {
		if s.listed && (lowest == nil || s.ID < lowest.ID) {
			lowest = s
		}
	}
	return lowest
}

// forgetServers deletes servers whose record vanished at least a cookie lifetime ago.
func (e *Engine) forgetServers(now time.Duration) {
	for name, s := range e.servers {
		if s.listed || now-s.removedAt < e.cfg.CookieLifetime {
			continue
		}
		e.deleteServer(name, s)
	}
}

func (e *Engine) deleteServer(name string, s *server) {
	delete(e.servers, name)
	delete(e.untrustedServers, s)
	delete(e.activeServers, s)
	delete(e.failedServers, s)
	delete(e.claimants, s)
	delete(e.coldServers, s)
	s.service.removeServer(s)
	if e.byCookie[s.cookie] = remove(e.byCookie[s.cookie], s); len(e.byCookie[s.cookie]) == 0 {
		delete(e.byCookie, s.cookie)
	}
	if e.byAddress[s.Address] = remove(e.byAddress[s.Address], s); len(e.byAddress[s.Address]) == 0 {
		delete(e.byAddress, s.Address)
	}
}

func remove(servers []*server, s *server) []*server {
	for i, o := range servers {
		if o == s {
			return append(servers[:i], servers[i+1:]...)
		}
	}
	return servers
}
