package forwarding

import (
	"net/netip"
	"time"
)

const (
	// entryReturnTime is how long a record that vanished without a drain may come back:
	// entries that lapse in a store outage return about 2 s after its end.
	entryReturnTime = 2 * time.Second
	// defaultServiceTime stands for the response time of a server without samples.
	defaultServiceTime = 20 * time.Millisecond
	// coldFactor is the assumed slow-down of a server that has just started.
	coldFactor = 2
)

// Server is what the records say about one backend server.
type Server struct {
	Name     string // key of the record
	ID       uint64 // names the intended server in datagrams
	Service  string
	Address  netip.AddrPort
	Domain   string // failure domain
	Slots    int
	Draining bool
	ColdLeft time.Duration // how much longer the server is slow after its start
	Born     int64         // start of the process as the server states it; 0 if unknown
	Revision uint64        // of the record
}

type service struct {
	name          string
	healthPath    string
	local, remote []*server // listed servers of the own and of other failure domains
	heads         []*server // that other domains offer

	// Sums over the servers, taken once per interval.
	failures float64 // weight of the failed requests at the listed servers
	listed   int     // servers with a record; counted while requests fail
	rate     float64 // requests per second of the own flows
	flows    int32
	service  float64 // request times of the measured servers, in nanoseconds
	measured int32
}

type server struct {
	Server
	service   *service
	cookie    uint32
	local     bool
	listed    bool // a record exists
	shadowed  bool // another server has the same cookie and the lower ID
	removedAt time.Duration
	coldUntil time.Duration
	headUntil time.Duration // until when its failure domain's statement counts

	flows       int32 // open flows in the own table
	meter       meter
	waiting     int32         // requests under way in the own table
	waitingFrom time.Duration // since when at least one is

	evidence evidence
	failures failures // kept over restarts: a server that flaps restarts often
}

func (s *server) target() Target { return Target{Address: s.Address, ID: s.ID, Cookie: s.cookie} }

// usable reports whether new flows may go to the server.
func (s *server) usable() bool {
	return s.listed && !s.Draining && !s.shadowed && s.evidence.state == trusted
}

// usableAfterRemoval reports whether the server may still take flows although its
// record has vanished.
func (s *server) usableAfterRemoval(now time.Duration) bool {
	return !s.listed && !s.Draining && !s.shadowed && s.evidence.state <= suspected && now-s.removedAt <= entryReturnTime
}

// usableAsLastResort reports whether the server may take flows although it looks
// unreachable: the instance's own link may be full.
func (s *server) usableAsLastResort(time.Duration) bool {
	return s.listed && !s.Draining && !s.shadowed && s.evidence.state <= unreachable && s.evidence.silent < lastResortProbes
}

func (e *Engine) service(name string) *service {
	s := e.services[name]
	if s == nil {
		s = &service{name: name}
		e.services[name] = s
	}
	return s
}

// PutServer applies a record of a backend server. Records with a revision that is not
// newer than the known one are ignored.
func (e *Engine) PutServer(now time.Duration, in Server) []Action {
	s := e.servers[in.Name]
	if s == nil {
		s = e.addServer(in)
	} else if in.Revision <= s.Revision {
		return nil
	}
	restarted := !s.listed || in.Born != s.Born
	e.setRecord(s, in)
	s.listed = true
	s.coldUntil = now + in.ColdLeft
	if restarted {
		e.setState(s, trusted)
		s.evidence = evidence{}
	}
	return e.regroup(now, s)
}

// RemoveServer applies the removal of a record; in holds its last value and the
// revision of the removal. Open flows keep their server: a removal does not prove that
// it has ended.
func (e *Engine) RemoveServer(now time.Duration, in Server) []Action {
	s := e.servers[in.Name]
	switch {
	case s == nil:
		s = e.addServer(in)
		e.setRecord(s, in)
		s.removedAt = now - entryReturnTime
		return e.regroup(now, s)
	case in.Revision <= s.Revision:
		return nil
	}
	s.Revision = in.Revision
	if !s.listed {
		return nil
	}
	s.listed, s.removedAt = false, now
	actions := e.regroup(now, s)
	if s.flows > 0 {
		actions = append(actions, e.suspect(now, s)...)
	}
	return actions
}

func (e *Engine) addServer(in Server) *server {
	s := &server{cookie: uint32(in.ID)}
	e.servers[in.Name] = s
	e.byCookie[s.cookie] = append(e.byCookie[s.cookie], s)
	return s
}

// setRecord takes over a record and moves the server between the lists that choices are
// made from and the index by address.
func (e *Engine) setRecord(s *server, in Server) {
	known := s.service != nil
	moved := known && (s.Service != in.Service || s.Domain != in.Domain)
	if moved {
		s.service.drop(s)
	}
	if known && s.Address != in.Address {
		e.byAddress[s.Address] = remove(e.byAddress[s.Address], s)
	}
	if !known || s.Address != in.Address {
		e.byAddress[in.Address] = append(e.byAddress[in.Address], s)
	}
	s.Server, s.service = in, e.service(in.Service)
	s.local = in.Domain == e.cfg.Domain
	switch {
	case known && !moved:
	case s.local:
		s.service.local = append(s.service.local, s)
	default:
		s.service.remote = append(s.service.remote, s)
	}
}

// drop takes a server out of the lists of its service.
func (svc *service) drop(s *server) {
	svc.local, svc.remote, svc.heads = remove(svc.local, s), remove(svc.remote, s), remove(svc.heads, s)
}

// supersedes reports whether s has the address that o had: an address is given to
// another server only after the earlier one has ended.
func (s *server) supersedes(o *server) bool {
	return s != o && s.Address == o.Address && s.listed && (!o.listed || o.Revision < s.Revision)
}

// regroup recomputes what follows from the records of a server and of those that share
// its cookie or address. It takes the same time with any number of other servers.
func (e *Engine) regroup(now time.Duration, s *server) []Action {
	same := e.byCookie[s.cookie]
	lowest := lowestID(same)
	for _, o := range same {
		o.shadowed = o.cookie == 0 || lowest != nil && o != lowest
	}
	owner := s
	for _, o := range e.byAddress[s.Address] {
		if o.supersedes(owner) {
			owner = o
		}
	}
	var actions []Action
	for _, o := range e.byAddress[s.Address] {
		replaced := owner.supersedes(o)
		if replaced && !o.evidence.replaced {
			actions = append(actions, e.declareDead(now, o)...)
		}
		o.evidence.replaced = replaced
	}
	return actions
}

// lowestID returns the listed server with the lowest ID, so that all instances agree
// which of two servers with one cookie takes new flows.
func lowestID(servers []*server) *server {
	var lowest *server
	for _, s := range servers {
		if s.listed && (lowest == nil || s.ID < lowest.ID) {
			lowest = s
		}
	}
	return lowest
}

// forgetServers deletes servers whose record vanished longer ago than a flow lives.
func (e *Engine) forgetServers(now time.Duration) {
	for name, s := range e.servers {
		if s.listed || now-s.removedAt < e.cfg.CookieLifetime {
			continue
		}
		e.forget(name, s)
	}
}

func (e *Engine) forget(name string, s *server) {
	delete(e.servers, name)
	delete(e.doubted, s)
	delete(e.active, s)
	delete(e.failed, s)
	s.service.drop(s)
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
