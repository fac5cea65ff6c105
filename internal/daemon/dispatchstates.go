package daemon

import (
	"time"

	"github.com/monsoonthread/monsoonthread/backend"
	"github.com/monsoonthread/monsoonthread/dispatch"
	"github.com/monsoonthread/monsoonthread/internal/logging"
	"github.com/monsoonthread/monsoonthread/internal/timeline"
	"github.com/monsoonthread/monsoonthread/peer/peerpb"
)

// tickSchedulers advances time in every scheduler.
func (d *Daemon) tickSchedulers(now time.Time) {
	d.schedulers.each(func(s *dispatch.Scheduler) []dispatch.Action { return s.Tick(now) })
}

// tickStates reports state changes of backend servers and removes idle schedulers.
func (d *Daemon) tickStates(now time.Time) {
	for _, sch := range d.schedulers.all() {
		d.reportStates(sch, now)
	}
	d.schedulers.removeIdle(now)
}

// removeIdle removes the schedulers that had no server and no request for
// idleSchedulerTTL.
func (s *schedulers) removeIdle(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, sch := range s.byService {
		sch.mu.Lock()
		if sch.inUse(now) {
			sch.lastUsed = now
		}
		idle := now.Sub(sch.lastUsed) > idleSchedulerTTL
		sch.mu.Unlock()
		if idle {
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

// reportStates broadcasts a notice for each dispatched backend server whose state
// changed.
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
		notice := &peerpb.ServerNotice{Server: st.Name, Available: availableForStreams(st.State), Draining: st.State == backend.Draining.String()}
		d.notices.set(notice)
		d.flows.Replan()
		d.broadcast(func() *peerpb.Envelope {
			return &peerpb.Envelope{Body: &peerpb.Envelope_ServerNotice{ServerNotice: notice}}
		})
	}
}

// Roles of an instance for a backend server, as reported by the scheduler.
const (
	roleOwner    = "owner"    // dispatches the server
	roleReleased = "released" // no longer dispatches it
)

// availableForStreams reports whether streams may stay on a server. They also leave a
// suspect one: the new registration is made before the old one ends, so a wrong
// suspicion loses no notification.
func availableForStreams(state string) bool {
	return state != backend.Draining.String() && state != backend.Ejected.String() && state != backend.Suspect.String()
}
