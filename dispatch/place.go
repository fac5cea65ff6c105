package dispatch

import (
	"time"

	"github.com/monsoonthread/monsoonthread/admission"
	"github.com/monsoonthread/monsoonthread/backend"
	"github.com/monsoonthread/monsoonthread/config"
)

// dispatchQueued assigns free slots to waiting requests in queue order.
func (s *Scheduler) dispatchQueued(out []Action, now time.Time) []Action {
	if s.waiting == 0 {
		return out
	}
	out = s.expire(out, now)
	if len(s.heldRequests) > 0 && len(s.freeServers) > 0 {
		out = s.dispatchHeld(out, now)
	}
	for s.anySlotAvailable(now) {
		it, ok := s.queue.Next(now)
		if !ok {
			break
		}
		srv, possible := s.selectServer(now, &it)
		switch {
		case srv != nil:
			s.waiting--
			s.queue.ChargeGrant(it.Class)
			out = s.grant(out, now, srv, it)
		case possible && len(s.heldRequests) < s.cfg.MaxHeld:
			s.heldRequests = append(s.heldRequests, heldRequest{item: it})
		case possible:
			s.queue.Requeue(it)
			return out
		default:
			s.waiting--
			out = append(out, refuse(&it, errDeadlineUnmet, 0))
		}
	}
	return out
}

// dispatchHeld assigns free slots to held requests, unless a more urgent request is queued.
func (s *Scheduler) dispatchHeld(out []Action, now time.Time) []Action {
	kept := s.heldRequests[:0]
	for i := range s.heldRequests {
		it := &s.heldRequests[i].item
		if len(s.freeServers) == 0 || s.moreUrgentQueued(it.Class) {
			kept = append(kept, s.heldRequests[i])
			continue
		}
		srv, possible := s.selectServer(now, it)
		switch {
		case srv != nil:
			s.waiting--
			s.queue.ChargeGrant(it.Class)
			out = s.grant(out, now, srv, *it)
		case possible:
			kept = append(kept, s.heldRequests[i])
		default:
			s.waiting--
			out = append(out, refuse(it, errDeadlineUnmet, 0))
		}
	}
	clear(s.heldRequests[len(kept):])
	s.heldRequests = kept
	return out
}

// moreUrgentQueued reports whether a request of a more urgent class than c is queued.
// Such a request precedes any that waits for a particular server.
func (s *Scheduler) moreUrgentQueued(c config.Class) bool {
	for more := range c {
		if s.queue.ClassLen(more) > 0 {
			return true
		}
	}
	return false
}

// selectServer returns the server whose free slot the request takes now. If it returns
// nil, possible reports whether the deadline can be met by waiting for a server.
//
// Free servers are used in the order of their slot time, least first, so that all are
// busy for the same share of the time. A slot of a slow server is left idle if only a
// faster server can meet the deadline of the request.
func (s *Scheduler) selectServer(now time.Time, it *admission.Item) (srv *server, possible bool) {
	left := it.Deadline.Sub(now)
	exclude := s.excludedServer(it)
	if it.Preferred != "" {
		p := s.servers[it.Preferred]
		if p != nil && p != exclude && p.usable() && left >= p.backend.ServiceTime() {
			if p.free > 0 {
				return p, true
			}
			// Waiting for more than two completions costs more than fetching the
			// representation again from another server.
			if now.Sub(it.Arrived) < 2*p.backend.CompletionTime() && left >= 2*p.backend.CompletionTime() {
				return nil, true
			}
		}
	}
	eligible := func(srv *server) bool {
		return srv != exclude && !s.heldBack(now, srv) && (it.OwnerData&idempotentFlag != 0 || !srv.idempotentOnly())
	}
	if len(s.freeServers) > 0 {
		if srv := s.freeServers[0]; eligible(srv) && left >= srv.backend.CompletionTime() {
			return srv, true
		}
	}
	var best, fastest *server
	for _, srv := range s.freeServers {
		if !eligible(srv) {
			continue
		}
		if left >= srv.backend.CompletionTime() && (best == nil || srv.slotTime < best.slotTime) {
			best = srv
		}
		if fastest == nil || srv.backend.ServiceTime() < fastest.backend.ServiceTime() {
			fastest = srv
		}
	}
	if best != nil {
		return best, true
	}
	for _, srv := range s.assigned {
		if srv.usable() && srv.free == 0 && eligible(srv) {
			// The expected time until a slot is free is the service time over the slots.
			wait := srv.backend.ServiceTime() / time.Duration(max(srv.limit, 1))
			if left >= wait+srv.backend.CompletionTime() {
				return nil, true
			}
		}
	}
	if fastest != nil && left >= fastest.backend.ServiceTime() {
		return fastest, true
	}
	return nil, false
}

// anySlotAvailable reports whether there is a free slot on a server that is not held
// back.
func (s *Scheduler) anySlotAvailable(now time.Time) bool {
	for _, srv := range s.freeServers {
		if !s.heldBack(now, srv) {
			return true
		}
	}
	return false
}

// heldBack reports whether the free slots of a slow server are left idle for now. A slow
// server rarely has a free slot, so it would be used whenever all others are busy and
// would be busy for a larger share of the time than they are. While its slot time is
// ahead of the mean, a request waits for another server if it completes earlier there.
// The server is used again when the queue is long or the others make no progress, so
// that no slot is idle at saturation.
func (s *Scheduler) heldBack(now time.Time, srv *server) bool {
	// A server that is not active is not held back, so that its state can be tested.
	if s.usableServers < 2 || srv.backend.State() != backend.Active {
		return false
	}
	service := srv.backend.ServiceTime().Seconds()
	lead := srv.slotTime - s.slotTimeSum/float64(s.usableServers)
	if lead < maxSlotTimeLead+service/float64(srv.cfg.Slots) {
		return false
	}
	others := s.serviceRate - srv.serviceRate
	otherSlots := float64(s.totalSlots - srv.limit)
	wait := float64(s.waiting+1)/others + otherSlots/others
	return wait < service && now.Sub(s.lastFinish).Seconds() < service
}

// excludedServer returns the server that shed the request last, or nil.
func (s *Scheduler) excludedServer(it *admission.Item) *server {
	number := it.OwnerData >> excludeShift
	if number == 0 {
		return nil
	}
	for _, srv := range s.assigned {
		if srv.number == number {
			return srv
		}
	}
	return nil
}

// grant sends the request to a server with a free slot.
func (s *Scheduler) grant(out []Action, now time.Time, srv *server, it admission.Item) []Action {
	switch {
	case srv.role != roleOwner:
		Violations.report(ViolationNotOwner, srv.cfg.Name)
	case srv.occupiedSlots() >= srv.backend.Slots():
		Violations.report(ViolationOverrun, srv.cfg.Name)
	case srv.backend.State() == backend.Draining:
		Violations.report(ViolationLeaving, srv.cfg.Name)
	}
	var i uint32
	if n := len(s.freeGrants); n > 0 {
		i = s.freeGrants[n-1]
		s.freeGrants = s.freeGrants[:n-1]
	} else {
		i = uint32(len(s.grants))
		s.grants = append(s.grants, grant{})
	}
	g := &s.grants[i]
	g.generation++
	g.request = Request{Item: it, Idempotent: it.OwnerData&idempotentFlag != 0}
	g.server, g.started, g.state, g.cancelled = srv, now, grantRunning, false
	g.chargedSlotTime = srv.backend.ServiceTime().Seconds() / float64(srv.backend.Slots())
	s.virtualTime = max(s.virtualTime, srv.slotTime)
	s.setSlotTime(srv, srv.slotTime+g.chargedSlotTime)
	srv.running++
	s.running++
	srv.backend.RecordGrant(now)
	s.refresh(now, srv)
	run := Run{GrantID: uint64(g.generation)<<32 | uint64(i+1), Server: srv.cfg, Request: g.request}
	run.Request.OwnerData = 0
	return append(out, run)
}
