package dispatch

import (
	"time"

	"github.com/monsoonthread/monsoonthread/admission"
	"github.com/monsoonthread/monsoonthread/backend"
	"github.com/monsoonthread/monsoonthread/config"
)

// dispatch gives free slots to waiting requests, in their order.
func (s *Scheduler) dispatch(out []Action, now time.Time) []Action {
	if s.waiting == 0 {
		return out
	}
	out = s.expire(out, now)
	if len(s.held) > 0 && len(s.ready) > 0 {
		out = s.dispatchHeld(out, now)
	}
	for s.anyReady(now) {
		it, ok := s.queue.Next(now)
		if !ok {
			break
		}
		v, possible := s.place(now, &it)
		switch {
		case v != nil:
			s.waiting--
			s.queue.Granted(it.Class)
			out = s.grant(out, now, v, it)
		case possible && len(s.held) < s.cfg.MaxHeld:
			s.held = append(s.held, held{item: it})
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

func (s *Scheduler) dispatchHeld(out []Action, now time.Time) []Action {
	kept := s.held[:0]
	for i := range s.held {
		it := &s.held[i].item
		if len(s.ready) == 0 || s.moreUrgentQueued(it.Class) {
			kept = append(kept, s.held[i])
			continue
		}
		v, possible := s.place(now, it)
		switch {
		case v != nil:
			s.waiting--
			s.queue.Granted(it.Class)
			out = s.grant(out, now, v, *it)
		case possible:
			kept = append(kept, s.held[i])
		default:
			s.waiting--
			out = append(out, refuse(it, errDeadlineUnmet, 0))
		}
	}
	clear(s.held[len(kept):])
	s.held = kept
	return out
}

// moreUrgentQueued reports whether a request of a more urgent class is queued. A
// request that waits for a particular server does not go before it.
func (s *Scheduler) moreUrgentQueued(c config.Class) bool {
	for more := range c {
		if s.queue.ClassLen(more) > 0 {
			return true
		}
	}
	return false
}

// place returns the server whose free slot the request takes now. Without one,
// possible reports whether waiting for another server can meet the deadline.
//
// Free servers are taken in the order of the slot time that they were used for, so
// that each is busy for the same share of the time. A slot of a slow server stays idle
// for a request whose deadline only a faster one can meet.
func (s *Scheduler) place(now time.Time, it *admission.Item) (v *server, possible bool) {
	left := it.Deadline.Sub(now)
	exclude := s.excluded(it)
	if it.Preferred != "" {
		p := s.servers[it.Preferred]
		if p != nil && p != exclude && p.usable() && left >= p.life.ServiceTime() {
			if p.free > 0 {
				return p, true
			}
			// Waiting longer than for two completions costs more than fetching the
			// representation again from another server.
			if now.Sub(it.Arrived) < 2*p.life.Completion() && left >= 2*p.life.Completion() {
				return nil, true
			}
		}
	}
	suits := func(v *server) bool {
		return v != exclude && !s.resting(now, v) && (it.Context&contextIdempotent != 0 || !v.idempotentOnly())
	}
	if len(s.ready) > 0 {
		if v := s.ready[0]; suits(v) && left >= v.life.Completion() {
			return v, true
		}
	}
	var best, quickest *server
	for _, v := range s.ready {
		if !suits(v) {
			continue
		}
		if left >= v.life.Completion() && (best == nil || v.busy < best.busy) {
			best = v
		}
		if quickest == nil || v.life.ServiceTime() < quickest.life.ServiceTime() {
			quickest = v
		}
	}
	if best != nil {
		return best, true
	}
	for _, v := range s.owned {
		if v.usable() && v.free == 0 && suits(v) {
			// A slot of a busy server is free after its service time over its slots.
			wait := v.life.ServiceTime() / time.Duration(max(v.limit, 1))
			if left >= wait+v.life.Completion() {
				return nil, true
			}
		}
	}
	if quickest != nil && left >= quickest.life.ServiceTime() {
		return quickest, true
	}
	return nil, false
}

// anyReady reports whether a free slot may be used.
func (s *Scheduler) anyReady(now time.Time) bool {
	for _, v := range s.ready {
		if !s.resting(now, v) {
			return true
		}
	}
	return false
}

// resting reports whether the free slots of a slow server stay idle for now. A slow
// server becomes free rarely, so it would be used each time that all others are busy
// and be busy for a larger share of the time than they are. While it is ahead, a
// request waits for another server if it ends earlier there. A long queue or a
// standstill of the others ends the rest, so that no slot is idle at saturation.
func (s *Scheduler) resting(now time.Time, v *server) bool {
	// A server in another state is tried as soon as its turn comes.
	if s.usableServers < 2 || v.life.State() != backend.Active {
		return false
	}
	service := v.life.ServiceTime().Seconds()
	lead := v.busy - s.busySum/float64(s.usableServers)
	if lead < maxLead+service/float64(v.cfg.Slots) {
		return false
	}
	others := s.rate - v.rate
	otherSlots := float64(s.total - v.limit)
	wait := float64(s.waiting+1)/others + otherSlots/others
	return wait < service && now.Sub(s.lastFinish).Seconds() < service
}

// excluded returns the server that shed the request last.
func (s *Scheduler) excluded(it *admission.Item) *server {
	if i := it.Context >> excludeShift; i != 0 && int(i) <= len(s.owned) {
		return s.owned[i-1]
	}
	return nil
}

// grant sends the request to a server with a free slot.
func (s *Scheduler) grant(out []Action, now time.Time, v *server, it admission.Item) []Action {
	switch {
	case v.role != owner:
		Violations.report(ViolationNotOwner, v.cfg.Name)
	case v.occupied() >= v.life.Slots():
		Violations.report(ViolationOverrun, v.cfg.Name)
	case v.life.State() == backend.Draining:
		Violations.report(ViolationLeaving, v.cfg.Name)
	}
	var i uint32
	if n := len(s.freeSlots); n > 0 {
		i = s.freeSlots[n-1]
		s.freeSlots = s.freeSlots[:n-1]
	} else {
		i = uint32(len(s.grants))
		s.grants = append(s.grants, grant{})
	}
	g := &s.grants[i]
	g.generation++
	g.request = Request{Item: it, Idempotent: it.Context&contextIdempotent != 0}
	g.server, g.started, g.state, g.cancelled = v, now, grantRunning, false
	g.expected = v.life.ServiceTime().Seconds() / float64(v.life.Slots())
	s.virtual = max(s.virtual, v.busy)
	s.setBusy(v, v.busy+g.expected)
	v.running++
	s.running++
	v.life.Granted(now)
	s.refresh(now, v)
	run := Run{Grant: uint64(g.generation)<<32 | uint64(i+1), Server: v.cfg, Request: g.request}
	run.Request.Context = 0
	return append(out, run)
}
