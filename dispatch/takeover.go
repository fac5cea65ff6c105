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
	for _, v := range s.servers {
		v.assigned = false
	}
	s.assigned = s.assigned[:0]
	var requests []SendHandoverRequest
	for i := range servers {
		a := &servers[i]
		v := s.servers[a.Server.Name]
		if v == nil {
			v = s.addServer(now, a)
		}
		v.assigned = true
		s.assigned = append(s.assigned, v)
		s.applyConfig(now, v, &a.Server)
		if v.role == roleReleased {
			out = s.startTakeover(out, now, v, a.Previous, &requests)
		}
	}
	for _, v := range s.servers {
		if !v.assigned && v.role != roleReleased {
			s.releaseServer(now, v)
		}
	}
	for _, v := range s.assigned {
		out = s.refreshAndReport(out, now, v)
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
	v := &server{cfg: a.Server, backend: backend.New(cfg, now), role: roleReleased, heapIndex: -1, slotTime: s.virtualTime, releasedAt: now}
	v.reportedState = v.backend.State()
	if source, ok := s.drainNotices[a.Server.Name]; ok {
		v.backend.Drain(now, source)
	}
	s.servers[a.Server.Name] = v
	return v
}

func (s *Scheduler) backendConfig(b *config.BackendServer) backend.Config {
	cfg := s.cfg.Backend
	cfg.Slots, cfg.Connections, cfg.Weight, cfg.WarmUp = b.Slots, b.Connections, b.Weight, b.WarmUp.Duration()
	return cfg
}

// applyConfig applies the configuration of a server. It reverses a drain notice only if
// the notice came from the configuration.
func (s *Scheduler) applyConfig(now time.Time, v *server, b *config.BackendServer) {
	source, leaving := s.drainNotices[b.Name]
	switch {
	case b.Leaving && !leaving:
		s.drainNotices[b.Name] = backend.NoticeConfig
		v.backend.Drain(now, backend.NoticeConfig)
	case !b.Leaving && leaving && source == backend.NoticeConfig:
		delete(s.drainNotices, b.Name)
		v.backend.Reinstate(now)
	}
	if v.cfg != *b {
		v.cfg = *b
		v.backend.Update(s.backendConfig(b))
	}
}

// startTakeover starts the takeover of a server that this instance does not dispatch.
func (s *Scheduler) startTakeover(out []Action, now time.Time, v *server, previous string, requests *[]SendHandoverRequest) []Action {
	if previous == "" {
		previous = v.successor // the instance that took the server over from this one
	}
	v.takeoverIncomplete = false
	v.fromSuccessor = v.successor != "" && previous == v.successor
	v.previous, v.successor, v.takeoverStart = previous, "", now
	failedAt, dead := s.deadInstances[previous]
	switch {
	case v.fenced:
		out = s.quarantineServer(out, now, v, now, "fenced")
	case previous == "":
		v.role = roleOwner
		return append(out, Event{Name: "server_owned", Server: v.cfg.Name})
	case dead && now.Sub(failedAt) < deadInstanceRetention:
		out = s.quarantineServer(out, now, v, failedAt, "dispatcher_dead")
	default:
		v.role = roleAwaitingHandover
		v.nextHandoverRequest = now.Add(s.cfg.HandoverTimeout)
	}
	v.fenced = false
	if previous != "" {
		*requests = addHandoverRequest(*requests, previous, v.cfg.Name)
	}
	return out
}

// quarantineServer counts every slot as busy until the longest deadline has passed since
// the given time. The previous dispatcher sent no requests after that time.
func (s *Scheduler) quarantineServer(out []Action, now time.Time, v *server, since time.Time, reason string) []Action {
	v.role = roleQuarantined
	v.setInherited(now, nil)
	v.nextHandoverRequest = now.Add(quarantineRequestInterval)
	v.quarantineEnd = since.Add(s.svc.MaxDeadline.Duration())
	s.refresh(now, v)
	return append(out, Event{Name: "server_quarantined", Server: v.cfg.Name,
		Fields: []string{"reason=" + reason, "previous=" + v.previous}})
}

// releaseServer stops sending requests to a server. Running requests continue. The known
// requests of previous dispatchers are kept for the next dispatcher, which may request
// the handover after the view of this instance has changed.
func (s *Scheduler) releaseServer(now time.Time, v *server) {
	switch v.role {
	case roleQuarantined:
		v.setInherited(now, slices.Repeat([]time.Time{v.quarantineEnd}, v.backend.Slots()))
	case roleAwaitingHandover:
		v.takeoverIncomplete = true
	}
	v.role, v.releasedAt = roleReleased, now
	s.refresh(now, v)
}

// completeTakeover makes this instance the dispatcher of the server.
func (s *Scheduler) completeTakeover(out []Action, now time.Time, v *server, how string) []Action {
	v.role = roleOwner
	out = append(out, Event{Name: "server_owned", Server: v.cfg.Name, Fields: []string{"by=" + how, "previous=" + v.previous}})
	return s.refreshAndReport(out, now, v)
}

// HandleHandoverRequest handles the handover request of an instance that takes servers over.
// This instance sends no further requests to them.
func (s *Scheduler) HandleHandoverRequest(now time.Time, from string, names []string) ([]Action, []*peerpb.ServerHandover) {
	var out []Action
	reply := make([]*peerpb.ServerHandover, 0, len(names))
	for _, name := range names {
		v := s.servers[name]
		h := &peerpb.ServerHandover{Server: name}
		reply = append(reply, h)
		if v == nil || v.fenced || v.takeoverIncomplete || v.role == roleAwaitingHandover || (v.role == roleReleased && v.successor != "" && v.successor != from) {
			continue // was_owner stays false: the count here may be incomplete
		}
		h.WasOwner = true
		h.Running = s.runningRequests(now, v)
		h.ServiceTimeUs = uint32(v.backend.ServiceTime().Microseconds())
		h.State = uint32(v.backend.State())
		v.successor = from
		if v.role != roleReleased {
			s.releaseServer(now, v)
			out = append(out, Event{Name: "server_handed_over", Server: name, Fields: []string{"to=" + from}})
		}
	}
	return out, reply
}

// runningRequests lists the requests that occupy or may occupy a slot of the server.
func (s *Scheduler) runningRequests(now time.Time, v *server) []*peerpb.RunningRequest {
	var list []*peerpb.RunningRequest
	if v.role == roleQuarantined {
		for range v.backend.Slots() {
			list = append(list, runningRequest(now, v.quarantineEnd))
		}
		return list
	}
	for i := range s.grants {
		if g := &s.grants[i]; g.server == v {
			list = append(list, runningRequest(now, g.request.Deadline))
		}
	}
	for _, d := range v.inherited {
		list = append(list, runningRequest(now, d.Add(-s.cfg.DeadlineGrace)))
	}
	return list
}

// ownRunning returns how many requests of this instance run on the server and are not
// about to expire.
func (s *Scheduler) ownRunning(now time.Time, v *server) (n int) {
	const margin = 50 * time.Millisecond // requests closer to expiry may have expired at the other instance
	for i := range s.grants {
		if g := &s.grants[i]; g.server == v && g.request.Deadline.Sub(now) > margin {
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
		v := s.servers[h.Server]
		if v == nil || !v.assigned || v.previous != from || (v.role != roleAwaitingHandover && v.role != roleQuarantined) {
			continue
		}
		if !h.WasOwner {
			if v.role == roleAwaitingHandover {
				out = s.quarantineServer(out, now, v, now, "previous_not_owner")
			}
			continue
		}
		deadlines := make([]time.Time, 0, len(h.Running))
		for _, r := range h.Running {
			left := time.Duration(r.DeadlineMs) * time.Millisecond
			deadlines = append(deadlines, now.Add(left+s.cfg.DeadlineGrace))
		}
		slices.SortFunc(deadlines, time.Time.Compare)
		if v.fromSuccessor {
			// The list includes requests of this instance that were handed over before
			// and are still running.
			deadlines = deadlines[min(s.ownRunning(now, v), len(deadlines)):]
		}
		v.setInherited(now, deadlines)
		v.backend.SeedServiceTime(time.Duration(h.ServiceTimeUs) * time.Microsecond)
		if backend.State(h.State) == backend.Draining {
			out = append(out, s.DrainServer(now, h.Server, backend.NoticeHealth)...)
		}
		out = s.completeTakeover(out, now, v, "handover")
	}
	return s.dispatchQueued(out, now)
}

// HandleHandoverDone handles a report that requests of the previous dispatcher have ended.
func (s *Scheduler) HandleHandoverDone(now time.Time, name string, ended uint32) []Action {
	v := s.servers[name]
	if v == nil {
		return nil
	}
	var out []Action
	if n := v.endInherited(int(ended)); n > 0 && v.role == roleReleased && v.successor != "" {
		out = append(out, SendHandoverDone{To: v.successor, Server: name, Ended: uint32(n)})
	}
	return s.refreshAndDispatch(out, now, v)
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
	for _, v := range s.assigned {
		if v.role == roleAwaitingHandover && v.previous == id {
			out = s.quarantineServer(out, now, v, now, "dispatcher_dead")
		}
	}
	return out
}

// Fence gives up all servers after a gap in the clock of this process, because another
// instance may dispatch them by now. SetAssignments takes them over again through a quarantine.
func (s *Scheduler) Fence(now time.Time) []Action {
	s.fenced = true
	for _, v := range s.servers {
		v.fenced = true
		v.successor = ""
		if v.role != roleReleased {
			s.releaseServer(now, v)
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
	for _, v := range s.assigned {
		switch {
		case v.role == roleQuarantined && !now.Before(v.quarantineEnd):
			v.setInherited(now, nil)
			out = s.completeTakeover(out, now, v, "quarantine")
		case v.role == roleAwaitingHandover && now.Sub(v.takeoverStart) >= time.Duration(s.cfg.MaxHandoverRequests)*s.cfg.HandoverTimeout:
			out = s.quarantineServer(out, now, v, now, "no_answer")
		case v.role == roleAwaitingHandover && !now.Before(v.nextHandoverRequest):
			v.nextHandoverRequest = now.Add(s.cfg.HandoverTimeout)
			requests = addHandoverRequest(requests, v.previous, v.cfg.Name)
		case v.role == roleQuarantined && v.previous != "" && !now.Before(v.nextHandoverRequest):
			v.nextHandoverRequest = now.Add(quarantineRequestInterval)
			requests = addHandoverRequest(requests, v.previous, v.cfg.Name)
		case v.role == roleReleased && now.Sub(v.releasedAt) >= reclaimDelay:
			out = s.startTakeover(out, now, v, "", &requests)
		}
	}
	for _, a := range requests {
		out = append(out, a)
	}
	return out
}
