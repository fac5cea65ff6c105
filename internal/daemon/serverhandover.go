package daemon

import (
	"time"

	"github.com/monsoonthread/monsoonthread/dispatch"
	"github.com/monsoonthread/monsoonthread/peer/peerpb"
)

// handleHandoverRequest releases servers to the instance that dispatches them now.
func (d *Daemon) handleHandoverRequest(from string, in *peerpb.HandoverRequest) {
	now := time.Now()
	reply := &peerpb.HandoverReply{}
	if d.vouchForUnused(from, in.Servers) {
		return
	}
	for _, sch := range d.schedulers.all() {
		names := ownServers(sch, in.Servers)
		if len(names) == 0 {
			continue
		}
		d.schedulers.with(sch, func(s *dispatch.Scheduler) []dispatch.Action {
			actions, released := s.HandleHandoverRequest(now, from, names)
			reply.Servers = append(reply.Servers, released...)
			return actions
		})
	}
	d.sendTo(from, &peerpb.Envelope{Body: &peerpb.Envelope_HandoverReply{HandoverReply: reply}})
}

// vouchForUnused answers for servers that this instance would have taken itself, as
// one that starts the domain: nobody dispatched them. Without it, an instance that
// joins a starting domain would quarantine its servers for the longest deadline.
func (d *Daemon) vouchForUnused(from string, names []string) bool {
	d.members.viewMu.Lock()
	starting := d.members.starting()
	d.members.viewMu.Unlock()
	if !starting {
		return false
	}
	reply := &peerpb.HandoverReply{}
	for _, name := range names {
		reply.Servers = append(reply.Servers, &peerpb.ServerHandover{Server: name, WasOwner: true})
	}
	d.sendTo(from, &peerpb.Envelope{Body: &peerpb.Envelope_HandoverReply{HandoverReply: reply}})
	return true
}

// ownServers returns the names that belong to the scheduler's service.
func ownServers(sch *scheduler, names []string) []string {
	sch.mu.Lock()
	defer sch.mu.Unlock()
	known := map[string]bool{}
	for i := range sch.service.BackendServers {
		known[sch.service.BackendServers[i].Name] = true
	}
	var own []string
	for _, n := range names {
		if known[n] {
			own = append(own, n)
		}
	}
	return own
}

func (d *Daemon) handleHandoverReply(from string, in *peerpb.HandoverReply) {
	now := time.Now()
	d.schedulers.each(func(s *dispatch.Scheduler) []dispatch.Action { return s.HandleHandoverReply(now, from, in.Servers) })
}

func (d *Daemon) handleHandoverDone(in *peerpb.HandoverDone) {
	now := time.Now()
	d.schedulers.each(func(s *dispatch.Scheduler) []dispatch.Action { return s.HandleHandoverDone(now, in.Server, in.Ended) })
}
