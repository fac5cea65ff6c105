package dispatch

import (
	"time"

	"github.com/monsoonthread/monsoonthread/backend"
	"github.com/monsoonthread/monsoonthread/config"
	"github.com/monsoonthread/monsoonthread/peer/peerpb"
)

// SetOwned applies a view: the servers whose computed dispatcher is this instance.
// Servers that are not in the list any more get no further request.
func (s *Scheduler) SetOwned(now time.Time, servers []Assignment, viewVersion uint64) []Action {
	var out []Action
	s.viewVersion = viewVersion
	s.fenced = false
	for _, v := range s.servers {
		v.assigned = false
	}
	s.owned = s.owned[:0]
	var asks []AskHandover
	for i := range servers {
		a := &servers[i]
		v := s.servers[a.Server.Name]
		if v == nil {
			v = s.addServer(now, a)
		}
		v.assigned = true
		s.owned = append(s.owned, v)
		s.applyConfig(now, v, &a.Server)
		if v.role == released {
			out = s.acquire(out, now, v, a.Previous, &asks)
		}
	}
	for _, v := range s.servers {
		if !v.assigned && v.role != released {
			s.release(now, v)
		}
	}
	for _, v := range s.owned {
		out = s.refreshed(out, now, v)
	}
	s.started = true
	s.applyPanic(now)
	s.recount(now)
	for _, a := range asks {
		out = append(out, a)
	}
	out = s.dispatch(out, now)
	return s.refuseStranded(out)
}

// ask adds a server to the request to an instance.
func ask(asks []AskHandover, to, name string) []AskHandover {
	for i := range asks {
		if asks[i].To == to {
			asks[i].Servers = append(asks[i].Servers, name)
			return asks
		}
	}
	return append(asks, AskHandover{To: to, Servers: []string{name}})
}

func (s *Scheduler) addServer(now time.Time, a *Assignment) *server {
	cfg := s.backendConfig(&a.Server)
	// A server that appears later and that nobody dispatched is new.
	cfg.StartCold = s.started && a.Previous == ""
	v := &server{cfg: a.Server, life: backend.New(cfg, now), role: released, heap: -1, busy: s.virtual, lostAt: now}
	v.seen = v.life.State()
	if source, ok := s.leaving[a.Server.Name]; ok {
		v.life.Leave(now, source)
	}
	s.servers[a.Server.Name] = v
	return v
}

func (s *Scheduler) backendConfig(b *config.BackendServer) backend.Config {
	cfg := s.cfg.Backend
	cfg.Slots, cfg.Connections, cfg.Weight, cfg.WarmUp = b.Slots, b.Connections, b.Weight, b.WarmUp.Duration()
	return cfg
}

// applyConfig applies the configuration of a server. It announces and reverses only
// a leave that came from the configuration.
func (s *Scheduler) applyConfig(now time.Time, v *server, b *config.BackendServer) {
	source, leaving := s.leaving[b.Name]
	switch {
	case b.Leaving && !leaving:
		s.leaving[b.Name] = backend.NoticeConfig
		v.life.Leave(now, backend.NoticeConfig)
	case !b.Leaving && leaving && source == backend.NoticeConfig:
		delete(s.leaving, b.Name)
		v.life.Return(now)
	}
	if v.cfg != *b {
		v.cfg = *b
		v.life.Update(s.backendConfig(b))
	}
}

// acquire starts to take over a server that this instance does not dispatch.
func (s *Scheduler) acquire(out []Action, now time.Time, v *server, previous string, asks *[]AskHandover) []Action {
	if previous == "" {
		previous = v.takenBy // the instance to which this one handed it over
	}
	v.returned = v.takenBy != "" && previous == v.takenBy
	v.previous, v.takenBy, v.acquired = previous, "", now
	died, dead := s.dead[previous]
	switch {
	case v.fenced:
		out = s.quarantine(out, now, v, now, "fenced")
	case previous == "":
		v.role = owner
		return append(out, Event{Name: "server_owned", Server: v.cfg.Name})
	case dead && now.Sub(died) < deadMemory:
		out = s.quarantine(out, now, v, died, "dispatcher_dead")
	default:
		v.role = asking
		v.askAgain = now.Add(s.cfg.HandoverTimeout)
	}
	v.fenced = false
	if previous != "" {
		*asks = ask(*asks, previous, v.cfg.Name)
	}
	return out
}

// quarantine counts every slot as busy until the longest deadline after the given
// time has passed. The previous dispatcher sent nothing after it.
func (s *Scheduler) quarantine(out []Action, now time.Time, v *server, since time.Time, reason string) []Action {
	v.role = quarantined
	v.askAgain = now.Add(quarantineAskInterval)
	v.until = since.Add(s.svc.MaxDeadline.Duration())
	s.refresh(now, v)
	return append(out, Event{Name: "server_quarantined", Server: v.cfg.Name,
		Fields: []string{"reason=" + reason, "previous=" + v.previous}})
}

// release stops sending to a server. Its running requests go on.
func (s *Scheduler) release(now time.Time, v *server) {
	v.role, v.lostAt = released, now
	s.refresh(now, v)
}

// own starts dispatching.
func (s *Scheduler) own(out []Action, now time.Time, v *server, how string) []Action {
	v.role = owner
	out = append(out, Event{Name: "server_owned", Server: v.cfg.Name, Fields: []string{"by=" + how, "previous=" + v.previous}})
	return s.refreshed(out, now, v)
}

// HandoverRequest answers another instance that takes servers over. This instance
// sends nothing to them from now on.
func (s *Scheduler) HandoverRequest(now time.Time, from string, names []string) ([]Action, []*peerpb.ServerHandover) {
	var out []Action
	reply := make([]*peerpb.ServerHandover, 0, len(names))
	for _, name := range names {
		v := s.servers[name]
		h := &peerpb.ServerHandover{Server: name}
		reply = append(reply, h)
		if v == nil || v.fenced || v.role == asking || (v.role == released && v.takenBy != "" && v.takenBy != from) {
			continue // was_owner false: the count here is not the whole count
		}
		h.WasOwner = true
		if from == v.source {
			v.setForeign(nil, "") // they are known to the instance that asks
		}
		h.Running = s.runningRequests(now, v)
		h.ServiceTimeUs = uint32(v.life.ServiceTime().Microseconds())
		h.State = uint32(v.life.State())
		v.takenBy = from
		if v.role != released {
			s.release(now, v)
			out = append(out, Event{Name: "server_handed_over", Server: name, Fields: []string{"to=" + from}})
		}
	}
	return out, reply
}

// runningRequests lists everything that does or may occupy a slot of the server.
func (s *Scheduler) runningRequests(now time.Time, v *server) []*peerpb.RunningRequest {
	var list []*peerpb.RunningRequest
	add := func(deadline time.Time) {
		left := max(0, deadline.Sub(now))
		list = append(list, &peerpb.RunningRequest{DeadlineMs: uint32((left + time.Millisecond - 1) / time.Millisecond)})
	}
	for i := range s.grants {
		if g := &s.grants[i]; g.server == v {
			add(g.request.Deadline)
		}
	}
	for _, d := range v.foreign {
		add(d.Add(-s.cfg.DeadlineGrace))
	}
	for v.role == quarantined && len(list) < v.life.Slots() {
		add(v.until)
	}
	return list
}

// HandoverReply ends the takeover of the servers that the previous dispatcher has
// handed over.
func (s *Scheduler) HandoverReply(now time.Time, from string, list []*peerpb.ServerHandover) []Action {
	var out []Action
	for _, h := range list {
		v := s.servers[h.Server]
		if v == nil || !v.assigned || v.previous != from || (v.role != asking && v.role != quarantined) {
			continue
		}
		if !h.WasOwner {
			if v.role == asking {
				out = s.quarantine(out, now, v, now, "previous_not_owner")
			}
			continue
		}
		deadlines := make([]time.Time, 0, len(h.Running))
		for _, r := range h.Running {
			left := time.Duration(r.DeadlineMs) * time.Millisecond
			deadlines = append(deadlines, now.Add(left+s.cfg.DeadlineGrace))
		}
		if v.returned {
			deadlines = append(deadlines, v.foreign...) // kept since the handover to that instance
		}
		v.setForeign(deadlines, from)
		v.life.Seed(time.Duration(h.ServiceTimeUs) * time.Microsecond)
		if backend.State(h.State) == backend.Draining {
			out = append(out, s.Leave(now, h.Server, backend.NoticeHealth)...)
		}
		out = s.own(out, now, v, "handover")
	}
	return s.dispatch(out, now)
}

// HandoverDone records that requests of the previous dispatcher have ended.
func (s *Scheduler) HandoverDone(now time.Time, name string, ended uint32) []Action {
	v := s.servers[name]
	if v == nil {
		return nil
	}
	var out []Action
	if n := v.endForeign(int(ended)); n > 0 && v.role == released && v.takenBy != "" {
		out = append(out, SendHandoverDone{To: v.takenBy, Server: name, Ended: uint32(n)})
	}
	return s.settle(out, now, v)
}

// InstanceDead starts the quarantine of servers whose handover the dead instance can
// no longer answer.
func (s *Scheduler) InstanceDead(now time.Time, id string) []Action {
	var out []Action
	for other, died := range s.dead {
		if now.Sub(died) >= deadMemory {
			delete(s.dead, other)
		}
	}
	s.dead[id] = now
	for _, v := range s.owned {
		if v.role == asking && v.previous == id {
			out = s.quarantine(out, now, v, now, "dispatcher_dead")
		}
	}
	return out
}

// Fence gives up every server after a gap of the own clock: another instance may
// dispatch them by now. SetOwned acquires them again by quarantine.
func (s *Scheduler) Fence(now time.Time) []Action {
	s.fenced = true
	for _, v := range s.servers {
		v.fenced = true
		v.takenBy = ""
		if v.role != released {
			s.release(now, v)
		}
	}
	s.owned = s.owned[:0]
	out := []Action{Event{Name: "scheduler_fenced"}}
	return s.refuseWaiting(out, errFenced)
}

// tickTakeover repeats unanswered handover requests, ends quarantines and takes back
// servers that another instance took because of an older view.
func (s *Scheduler) tickTakeover(out []Action, now time.Time) []Action {
	var asks []AskHandover
	for _, v := range s.owned {
		switch {
		case v.role == quarantined && !now.Before(v.until):
			v.setForeign(nil, "")
			out = s.own(out, now, v, "quarantine")
		case v.role == asking && now.Sub(v.acquired) >= time.Duration(s.cfg.HandoverTries)*s.cfg.HandoverTimeout:
			out = s.quarantine(out, now, v, now, "no_answer")
		case v.role == asking && !now.Before(v.askAgain):
			v.askAgain = now.Add(s.cfg.HandoverTimeout)
			asks = ask(asks, v.previous, v.cfg.Name)
		case v.role == quarantined && v.previous != "" && !now.Before(v.askAgain):
			v.askAgain = now.Add(quarantineAskInterval)
			asks = ask(asks, v.previous, v.cfg.Name)
		case v.role == released && now.Sub(v.lostAt) >= reclaimAfter:
			out = s.acquire(out, now, v, "", &asks)
		}
	}
	for _, a := range asks {
		out = append(out, a)
	}
	return out
}
