package dispatch

import (
	"math"
	"time"

	"github.com/monsoonthread/monsoonthread/backend"
)

// refusalMargin is the time allowed for a refusal to reach the caller before the deadline.
const refusalMargin = 20 * time.Millisecond

// expire refuses the waiting requests whose deadline can no longer be met. It does not
// wait for the deadline itself, because the refusal would then reach the caller too
// late: in lab run flood-least-urgent, 29% of the bulk requests ended without an answer.
func (s *Scheduler) expire(out []Action, now time.Time) []Action {
	for _, it := range s.queue.Expire(now.Add(secondsToDuration(s.minServiceTime) + refusalMargin)) {
		s.waiting--
		out = append(out, refuse(&it, errDeadlineUnmet, s.retryAfter()))
	}
	if len(s.heldRequests) == 0 {
		return out
	}
	kept := s.heldRequests[:0]
	for i := range s.heldRequests {
		if it := &s.heldRequests[i].item; now.Before(it.Deadline) {
			kept = append(kept, s.heldRequests[i])
		} else {
			s.waiting--
			out = append(out, refuse(it, errDeadlineUnmet, s.retryAfter()))
		}
	}
	clear(s.heldRequests[len(kept):])
	s.heldRequests = kept
	return out
}

// Tick performs all time-driven work. It must be called every 10 ms.
func (s *Scheduler) Tick(now time.Time) []Action {
	var out []Action
	if now.Sub(s.lastTick) > maxTickGap {
		s.runningSince = now
	}
	s.lastTick = now
	out = s.releaseAbandoned(out, now)
	out = s.releaseUnfinished(out, now)
	out = s.advanceTakeovers(out, now)
	s.pollList, s.activePollList = s.activePollList[:0], s.pollList
	for _, srv := range s.activePollList {
		srv.polled = false
		srv.expireInherited(now)
		out = s.refreshAndReport(out, now, srv)
	}
	if now.Sub(s.lastRecount) >= recountInterval {
		s.recount(now)
	}
	out = s.expire(out, now)
	out = s.dispatchQueued(out, now)
	if s.waiting != s.queue.Len()+len(s.heldRequests) {
		Violations.report(ViolationAccounting, "")
		s.waiting = s.queue.Len() + len(s.heldRequests)
	}
	return out
}

// releaseAbandoned frees the slots of requests that timed out or were cancelled and whose
// deadline has passed, so that the server no longer runs them.
func (s *Scheduler) releaseAbandoned(out []Action, now time.Time) []Action {
	kept := s.abandonedGrants[:0]
	for _, i := range s.abandonedGrants {
		if now.Before(s.slotFreeAt(&s.grants[i])) {
			kept = append(kept, i)
			continue
		}
		srv := s.grants[i].server
		out = s.releaseGrant(out, now, i)
		out = s.refreshAndReport(out, now, srv)
	}
	s.abandonedGrants = kept
	return out
}

// releaseUnfinished frees the slots of grants that were not finished in time. After a pause of the
// process, the first Tick may come before the Finish calls that waited for its end, so that the
// time counts from the end of the pause. Each call checks only some entries of the grant table.
func (s *Scheduler) releaseUnfinished(out []Action, now time.Time) []Action {
	const maxGrantsPerSweep = 64
	if now.Sub(s.runningSince) < unfinishedGrantGrace {
		return out
	}
	for n := 0; n < min(maxGrantsPerSweep, len(s.grants)); n++ {
		s.sweepIndex = (s.sweepIndex + 1) % len(s.grants)
		g := &s.grants[s.sweepIndex]
		if g.state != grantRunning || now.Before(s.slotFreeAt(g).Add(unfinishedGrantGrace)) {
			continue
		}
		srv := g.server
		Violations.report(ViolationUnfinished, srv.cfg.Name)
		out = s.releaseGrant(out, now, uint32(s.sweepIndex))
		out = s.refreshAndReport(out, now, srv)
	}
	return out
}

// refreshAndReport refreshes the server, reports a change of its state, and updates
// panic mode if the server was ejected or readmitted.
func (s *Scheduler) refreshAndReport(out []Action, now time.Time, srv *server) []Action {
	s.refresh(now, srv)
	state := srv.backend.State()
	if state == srv.reportedState {
		return out
	}
	if srv.assigned {
		out = append(out, Event{Name: "server_state", Server: srv.cfg.Name,
			Fields: []string{"from=" + srv.reportedState.String(), "to=" + state.String()}})
	}
	ejection := state == backend.Ejected || srv.reportedState == backend.Ejected
	srv.reportedState = state
	if ejection {
		s.applyPanicMode(now)
	}
	return out
}

// applyPanicMode allows requests to ejected servers while the share of ejected servers
// exceeds the panic threshold.
func (s *Scheduler) applyPanicMode(now time.Time) {
	states := make([]backend.State, len(s.assigned))
	for i, srv := range s.assigned {
		states[i] = srv.backend.State()
	}
	for i, usable := range backend.PanicFilter(states, s.cfg.PanicThreshold) {
		srv := s.assigned[i]
		panicking := usable && states[i] == backend.Ejected
		if srv.panicMode != panicking {
			srv.panicMode = panicking
			s.refresh(now, srv)
		}
	}
}

// refresh recomputes the limit, free slots and rate of a server, and the sums over all
// servers.
func (s *Scheduler) refresh(now time.Time, srv *server) {
	limit := 0
	if srv.role == roleOwner {
		limit = srv.backend.Limit(now)
		if srv.panicMode {
			limit = max(limit, 1)
		}
	}
	rate := float64(limit) / srv.backend.ServiceTime().Seconds()
	free := max(0, limit-srv.occupiedSlots())
	s.totalSlots += limit - srv.limit
	s.freeSlots += free - srv.free
	s.serviceRate += rate - srv.serviceRate
	if usable := limit > 0; usable != (srv.limit > 0) {
		// Bound how much slot time a server catches up after it was unusable.
		s.setSlotTime(srv, max(srv.slotTime, s.virtualTime-maxSlotTimeLag))
		if usable {
			s.usableServers++
			s.slotTimeSum += srv.slotTime
		} else {
			s.usableServers--
			s.slotTimeSum -= srv.slotTime
		}
	}
	srv.limit, srv.free, srv.serviceRate = limit, free, rate
	s.freeServers.update(srv)
	if !srv.polled && srv.role != roleReleased && (len(srv.inherited) > 0 || srv.backend.LimitChangesWithTime()) {
		srv.polled = true
		s.pollList = append(s.pollList, srv)
	}
}

// setSlotTime sets the slot time by which servers are ordered.
func (s *Scheduler) setSlotTime(srv *server, slotTime float64) {
	if srv.limit > 0 {
		s.slotTimeSum += slotTime - srv.slotTime
	}
	srv.slotTime = slotTime
}

// recount recomputes the incremental sums, checks those that must be exact, and forgets
// servers that were released long ago.
func (s *Scheduler) recount(now time.Time) {
	s.lastRecount = now
	rate, slotTimeSum, minServiceTime, total, free, running := 0.0, 0.0, math.Inf(1), 0, 0, 0
	for name, srv := range s.servers {
		running += srv.running
		if !srv.assigned && srv.running == 0 && !srv.polled && now.Sub(srv.releasedAt) > releasedServerRetention+s.svc.MaxDeadline.Duration() {
			delete(s.servers, name)
		}
	}
	for _, srv := range s.assigned {
		rate += srv.serviceRate
		total += srv.limit
		free += srv.free
		if srv.usable() {
			slotTimeSum += srv.slotTime
			minServiceTime = min(minServiceTime, srv.backend.ServiceTime().Seconds())
		}
	}
	if total != s.totalSlots || free != s.freeSlots || running != s.running {
		Violations.report(ViolationAccounting, "")
	}
	s.serviceRate, s.slotTimeSum, s.totalSlots, s.freeSlots = rate, slotTimeSum, total, free
	s.minServiceTime = 0
	if !math.IsInf(minServiceTime, 1) {
		s.minServiceTime = minServiceTime
	}
}
