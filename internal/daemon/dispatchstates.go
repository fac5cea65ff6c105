package daemon

import (
	"time"

	"github.com/monsoonthread/monsoonthread/backend"
	"github.com/monsoonthread/monsoonthread/dispatch"
	"github.com/monsoonthread/monsoonthread/internal/logging"
	"github.com/monsoonthread/monsoonthread/internal/timeline"
	"github.com/monsoonthread/monsoonthread/peer/peerpb"
)

// tickSchedulers advances time in every scheduler and reports changes of backend
// servers to the holders of streams.
func (d *Daemon) tickSchedulers(now time.Time) {
	d.schedulers.each(func(s *dispatch.Scheduler) []dispatch.Action { return s.Tick(now) })
}

// tickStates reports the states of backend servers and forgets unused schedulers.
func (d *Daemon) tickStates(now time.Time) {
	for _, sch := range d.schedulers.all() {
		d.reportStates(sch, now)
	}
	d.schedulers.forgetUnused(now)
}

// forgetUnused drops the schedulers that had neither a server nor a request for a while.
func (s *schedulers) forgetUnused(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, sch := range s.byService {
		sch.mu.Lock()
		if sch.inUse(now) {
			sch.usedAt = now
		}
		unused := now.Sub(sch.usedAt) > schedulerMemory
		sch.mu.Unlock()
		if unused {
			delete(s.byService, id)
		}
	}
}

// inUse reports whether the scheduler has a server or a request. s.mu is held.
func (s *scheduler) inUse(now time.Time) bool {
	if s.scheduler.Running() > 0 || s.scheduler.Queued() > 0 {
		return true
	}
	for _, st := range s.scheduler.Status(now) {
		if st.Role != roleReleased {
			return true
		}
	}
	return false
}

// reportStates sends a notice for each backend server whose state changed.
func (d *Daemon) reportStates(sch *scheduler, now time.Time) {
	sch.mu.Lock()
	var changed []*peerpb.ServerStatus
	for _, st := range sch.scheduler.Status(now) {
		if st.Role == roleOwner && sch.states[st.Name] != st.State {
			sch.states[st.Name] = st.State
			changed = append(changed, st)
		}
	}
	sch.mu.Unlock()
	for _, st := range changed {
		d.event("backend_server_state", timeline.Field{Key: logging.Server, Value: st.Name}, timeline.Field{Key: logging.State, Value: st.State})
		notice := &peerpb.ServerNotice{Server: st.Name, Available: serverAvailable(st.State), Draining: st.State == backend.Draining.String()}
		d.notices.set(notice)
		d.flows.Replan()
		d.broadcast(func() *peerpb.Envelope {
			return &peerpb.Envelope{Body: &peerpb.Envelope_ServerNotice{ServerNotice: notice}}
		})
	}
}

// The roles of an instance towards a server, as the scheduler reports them.
const (
	roleOwner    = "owner"
	roleReleased = "released"
)

// serverAvailable reports whether streams may stay on a server. They leave a suspect
// one too: a move makes before it breaks, so a wrong suspicion costs no notification.
func serverAvailable(state string) bool {
	return state != backend.Draining.String() && state != backend.Ejected.String() && state != backend.Suspect.String()
}
