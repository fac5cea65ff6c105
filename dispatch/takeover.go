package dispatch

import (
	"slices"
	"time"

	"github.com/monsoonthread/monsoonthread/backend"
	"github.com/monsoonthread/monsoonthread/config"
	"github.com/monsoonthread/monsoonthread/peer/peerpb"
)

// SetAssignments applies the server assignments of a membership view. Servers that are no
// longer in the list get no further requests.
func (s *Scheduler) SetAssignments(now time.Time, servers []Assignment, viewVersion uint64) []Action {
	var out []Action
	s.viewVersion = viewVersion
	s.fenced = false
	for _, srv := range s.servers {
		srv.assigned = false
	}
	s.assigned = s.assigned[:0]
	var requests []SendHandoverRequest
	for i := range servers {
		a := &servers[i]
		srv := s.servers[a.Server.Name]
		if srv == nil {
			srv = s.addServer(now, a)
		}
		srv.assigned = true
		s.assigned = append(s.assigned, srv)
		s.applyConfig(now, srv, &a.Server)
		if srv.role == roleReleased {
			out = s.startTakeover(out, now, srv, a.Previous, &requests)
		}
	}
	for _, srv := range s.servers {
		if !srv.assigned && srv.role != roleReleased {
			s.releaseServer(now, srv)
		}
	}
	for _, srv := range s.assigned {
		out = s.refreshAndReport(out, now, srv)
	}
	s.started = true
	s.applyPanicMode(now)
	s.recount(now)
	for _, a := range requests {
		out = append(out, a)
	}
	out = s.dispatchQueued(out, now)
	return s.refuseUnservable(out)
}

// addHandoverRequest adds a server to the handover request for an instance.
func addHandoverRequest(requests []SendHandoverRequest, to, name string) []SendHandoverRequest {
	for i := range requests {
		if requests[i].To == to {
			requests[i].Servers = append(requests[i].Servers, name)
			return requests
		}
	}
	return append(requests, SendHandoverRequest{To: to, Servers: []string{name}})
}

func (s *Scheduler) addServer(now time.Time, a *Assignment) *server {
	cfg := s.backendConfig(&a.Server)
	// A server that appears after the first view and had no dispatcher is new.
	cfg.StartCold = s.started && a.Previous == ""
	s.lastServerNumber++
	srv := &server{number: s.lastServerNumber, cfg: a.Server, backend: backend.New(cfg, now), role: roleReleased, heapIndex: -1, slotTime: s.virtualTime, releasedAt: now}
	srv.reportedState = srv.backend.State()
	if source, ok := s.drainNotices[a.Server.Name]; ok {
		srv.backend.Drain(now, source)
	}
	s.servers[a.Server.Name] = srv
	return srv
}

func (s *Scheduler) backendConfig(b *config.BackendServer) backend.Config {
	cfg := s.cfg.Backend
	cfg.Slots, cfg.Connections, cfg.Weight, cfg.WarmUp = b.Slots, b.Connections, b.Weight, b.WarmUp.Duration()
	return cfg
}

// applyConfig applies the configuration of a server. It reverses a drain notice only if
// the notice came from the configuration.
func (s *Scheduler) applyConfig(now time.Time, srv *server, b *config.BackendServer) {
	source, leaving := s.drainNotices[b.Name]
	switch {
	case b.Leaving && !leaving:
		s.drainNotices[b.Name] = backend.NoticeConfig
		srv.backend.Drain(now, backend.NoticeConfig)
	case !b.Leaving && leaving && source == backend.NoticeConfig:
		delete(s.drainNotices, b.Name)
		srv.backend.Reinstate(now)
	}
	if srv.cfg != *b {
		srv.cfg = *b
		srv.backend.Update(s.backendConfig(b))
	}
}

// startTakeover starts the takeover of a server that this instance does not dispatch.
func (s *Scheduler) startTakeover(out []Action, now time.Time, srv *server, previous string, requests *[]SendHandoverRequest) []Action {
	if previous == "" {
		previous = srv.successor // the instance that took the server over from this one
	}
	srv.takeoverIncomplete = false
	srv.fromSuccessor = srv.successor != "" && previous == srv.successor
	srv.previous, srv.successor, srv.takeoverStart = previous, "", now
	failedAt, dead := s.deadInstances[previous]
	switch {
	case srv.fenced:
		out = s.quarantineServer(out, now, srv, now, "fenced")
	case previous == "":
		srv.role = roleOwner
		return append(out, Event{Name: "server_owned", Server: srv.cfg.Name})
	case dead && now.Sub(failedAt) < deadInstanceRetention:
		out = s.quarantineServer(out, now, srv, failedAt, "dispatcher_dead")
	default:
		srv.role = roleAwaitingHandover
		srv.nextHandoverRequest = now.Add(s.cfg.HandoverTimeout)
	}
	srv.fenced = false
	if previous != "" {
		*requests = addHandoverRequest(*requests, previous, srv.cfg.Name)
	}
	return out
}

// quarantineServer counts every slot as busy until the longest deadline has passed since
// the given time. The previous dispatcher sent no requests after that time.
func (s *Scheduler) quarantineServer(out []Action, now time.Time, srv *server, since time.Time, reason string) []Action {
	srv.role = roleQuarantined
	srv.setInherited(now, nil)
	srv.nextHandoverRequest = now.Add(quarantineRequestInterval)
	srv.quarantineEnd = since.Add(s.svc.MaxDeadline.Duration())
	s.refresh(now, srv)
	return append(out, Event{Name: "server_quarantined", Server: srv.cfg.Name,
		Fields: []string{"reason=" + reason, "previous=" + srv.previous}})
}

// releaseServer stops sending requests to a server. Running requests continue. The known
// requests of previous dispatchers are kept for the next dispatcher, which may request
// the handover after the view of this instance has changed.
func (s *Scheduler) releaseServer(now time.Time, srv *server) {
	switch srv.role {
	case roleQuarantined:
		srv.setInherited(now, slices.Repeat([]time.Time{srv.quarantineEnd}, srv.backend.Slots()))
	case roleAwaitingHandover:
		srv.takeoverIncomplete = true
	}
	srv.role, srv.releasedAt = roleReleased, now
	s.refresh(now, srv)
}

// completeTakeover makes this instance the dispatcher of the server.
func (s *Scheduler) completeTakeover(out []Action, now time.Time, srv *server, how string) []Action {
	srv.role = roleOwner
	out = append(out, Event{Name: "server_owned", Server: srv.cfg.Name, Fields: []string{"by=" + how, "previous=" + srv.previous}})
	return s.refreshAndReport(out, now, srv)
}

// HandleHandoverRequest handles the handover request of an instance that takes servers over.
// This instance sends no further requests to them.
func (s *Scheduler) HandleHandoverRequest(now time.Time, from string, names []string) ([]Action, []*peerpb.ServerHandover) {
	var out []Action
	reply := make([]*peerpb.ServerHandover, 0, len(names))
	for _, name := range names {
		srv := s.servers[name]
		h := &peerpb.ServerHandover{Server: name}
		reply = append(reply, h)
		if srv == nil || srv.fenced || srv.takeoverIncomplete || srv.role == roleAwaitingHandover || (srv.role == roleReleased && srv.successor != "" && srv.successor != from) {
			continue // was_owner stays false: the count here may be incomplete
		}
		h.WasOwner = true
		h.Running = s.runningRequests(now, srv)
		h.ServiceTimeUs = uint32(srv.backend.ServiceTime().Microseconds())
		h.State = uint32(srv.backend.State())
		srv.successor = from
		if srv.role != roleReleased {
			s.releaseServer(now, srv)
			out = append(out, Event{Name: "server_handed_over", Server: name, Fields: []string{"to=" + from}})
		}
	}
	return out, reply
}

// runningRequests lists the requests that occupy or may occupy a slot of the server.
func (s *Scheduler) runningRequests(now time.Time, srv *server) []*peerpb.RunningRequest {
	var list []*peerpb.RunningRequest
	if srv.role == roleQuarantined {
		for range srv.backend.Slots() {
			list = append(list, runningRequest(now, srv.quarantineEnd))
		}
		return list
	}
	for i := range s.grants {
		if g := &s.grants[i]; g.server == srv {
			list = append(list, runningRequest(now, g.request.Deadline))
		}
	}
	for _, d := range srv.inherited {
		list = append(list, runningRequest(now, d.Add(-s.cfg.DeadlineGrace)))
	}
	return list
}

// ownRunning returns how many requests of this instance run on the server and are not
// about to expire.
func (s *Scheduler) ownRunning(now time.Time, srv *server) (n int) {
	const margin = 50 * time.Millisecond // requests closer to expiry may have expired at the other instance
	for i := range s.grants {
		if g := &s.grants[i]; g.server == srv && g.request.Deadline.Sub(now) > margin {
			n++
		}
	}
	return n
}

// runningRequest returns a request with its remaining time, rounded up to milliseconds.
func runningRequest(now, deadline time.Time) *peerpb.RunningRequest {
	left := max(0, deadline.Sub(now))
	return &peerpb.RunningRequest{DeadlineMs: uint32((left + time.Millisecond - 1) / time.Millisecond)}
}

// HandleHandoverReply handles the reply of a previous dispatcher and completes the takeover of
// the servers that it handed over.
func (s *Scheduler) HandleHandoverReply(now time.Time, from string, list []*peerpb.ServerHandover) []Action {
	var out []Action
	for _, h := range list {
		srv := s.servers[h.Server]
		if srv == nil || !srv.assigned || srv.previous != from || (srv.role != roleAwaitingHandover && srv.role != roleQuarantined) {
			continue
		}
		if !h.WasOwner {
			if srv.role == roleAwaitingHandover {
				out = s.quarantineServer(out, now, srv, now, "previous_not_owner")
			}
			continue
		}
		deadlines := make([]time.Time, 0, len(h.Running))
		for _, r := range h.Running {
			left := time.Duration(r.DeadlineMs) * time.Millisecond
			deadlines = append(deadlines, now.Add(left+s.cfg.DeadlineGrace))
		}
		slices.SortFunc(deadlines, time.Time.Compare)
		if srv.fromSuccessor {
			// The list includes requests of this instance that were handed over before
			// and are still running.
			deadlines = deadlines[min(s.ownRunning(now, srv), len(deadlines)):]
		}
		srv.setInherited(now, deadlines)
		srv.backend.SeedServiceTime(time.Duration(h.ServiceTimeUs) * time.Microsecond)
		if backend.State(h.State) == backend.Draining {
			out = append(out, s.DrainServer(now, h.Server, backend.NoticeHealth)...)
		}
		out = s.completeTakeover(out, now, srv, "handover")
	}
	return s.dispatchQueued(out, now)
}

// HandleHandoverDone handles a report that requests of the previous dispatcher have ended.
func (s *Scheduler) HandleHandoverDone(now time.Time, name string, ended uint32) []Action {
	srv := s.servers[name]
	if srv == nil {
		return nil
	}
	var out []Action
	if n := srv.endInherited(int(ended)); n > 0 && srv.role == roleReleased && srv.successor != "" {
		out = append(out, SendHandoverDone{To: srv.successor, Server: name, Ended: uint32(n)})
	}
	return s.refreshAndDispatch(out, now, srv)
}

// HandleInstanceDead handles the failure of an instance. It quarantines the servers whose
// handover was requested from that instance.
func (s *Scheduler) HandleInstanceDead(now time.Time, id string) []Action {
	var out []Action
	for other, failedAt := range s.deadInstances {
		if now.Sub(failedAt) >= deadInstanceRetention {
			delete(s.deadInstances, other)
		}
	}
	s.deadInstances[id] = now
	for _, srv := range s.assigned {
		if srv.role == roleAwaitingHandover && srv.previous == id {
			out = s.quarantineServer(out, now, srv, now, "dispatcher_dead")
		}
	}
	return out
}

// Fence gives up all servers after a gap in the clock of this process, because another
// instance may dispatch them by now. SetAssignments takes them over again through a quarantine.
func (s *Scheduler) Fence(now time.Time) []Action {
	s.fenced = true
	for _, srv := range s.servers {
		srv.fenced = true
		srv.successor = ""
		if srv.role != roleReleased {
			s.releaseServer(now, srv)
		}
	}
	s.assigned = s.assigned[:0]
	out := []Action{Event{Name: "scheduler_fenced"}}
	return s.refuseWaiting(out, errFenced)
}

// advanceTakeovers repeats unanswered handover requests, ends quarantines and reclaims
// servers that another instance took over because of an older view.
func (s *Scheduler) advanceTakeovers(out []Action, now time.Time) []Action {
	var requests []SendHandoverRequest
	for _, srv := range s.assigned {
		switch {
		case srv.role == roleQuarantined && !now.Before(srv.quarantineEnd):
			srv.setInherited(now, nil)
			out = s.completeTakeover(out, now, srv, "quarantine")
		case srv.role == roleAwaitingHandover && now.Sub(srv.takeoverStart) >= time.Duration(s.cfg.MaxHandoverRequests)*s.cfg.HandoverTimeout:
			out = s.quarantineServer(out, now, srv, now, "no_answer")
		case srv.role == roleAwaitingHandover && !now.Before(srv.nextHandoverRequest):
			srv.nextHandoverRequest = now.Add(s.cfg.HandoverTimeout)
			requests = addHandoverRequest(requests, srv.previous, srv.cfg.Name)
		case srv.role == roleQuarantined && srv.previous != "" && !now.Before(srv.nextHandoverRequest):
			srv.nextHandoverRequest = now.Add(quarantineRequestInterval)
			requests = addHandoverRequest(requests, srv.previous, srv.cfg.Name)
		case srv.role == roleReleased && now.Sub(srv.releasedAt) >= reclaimDelay:
			out = s.startTakeover(out, now, srv, "", &requests)
		}
	}
	for _, a := range requests {
		out = append(out, a)
	}
	return out
}
