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
	for _, it := range s.queue.Expire(now.Add(durationOf(s.minServiceTime) + refusalMargin)) {
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
	out = s.releaseUnanswered(out, now)
	out = s.releaseUnfinished(out, now)
	out = s.advanceTakeovers(out, now)
	s.pollList, s.activePollList = s.activePollList[:0], s.pollList
	for _, v := range s.activePollList {
		v.polled = false
		v.expireInherited(now)
		out = s.refreshAndReport(out, now, v)
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

// releaseUnanswered frees the slots of unanswered requests whose deadline has passed.
func (s *Scheduler) releaseUnanswered(out []Action, now time.Time) []Action {
	kept := s.unanswered[:0]
	for _, i := range s.unanswered {
		if now.Before(s.slotFreeAt(&s.grants[i])) {
			kept = append(kept, i)
			continue
		}
		v := s.grants[i].server
		out = s.releaseGrant(out, now, i)
		out = s.refreshAndReport(out, now, v)
	}
	s.unanswered = kept
	return out
}

// releaseUnfinished frees the slots of grants that were not finished in time. Each call
// checks only some entries of the grant table.
func (s *Scheduler) releaseUnfinished(out []Action, now time.Time) []Action {
	const perCall = 64
	for n := 0; n < min(perCall, len(s.grants)); n++ {
		s.sweepIndex = (s.sweepIndex + 1) % len(s.grants)
		g := &s.grants[s.sweepIndex]
		if g.state != grantRunning || now.Before(s.slotFreeAt(g).Add(unfinishedGrantGrace)) {
			continue
		}
		v := g.server
		Violations.report(ViolationUnfinished, v.cfg.Name)
		out = s.releaseGrant(out, now, uint32(s.sweepIndex))
		out = s.refreshAndReport(out, now, v)
	}
	return out
}

// refreshAndReport refreshes the server, reports a change of its state, and updates
// panic mode if the server was ejected or readmitted.
func (s *Scheduler) refreshAndReport(out []Action, now time.Time, v *server) []Action {
	s.refresh(now, v)
	state := v.backend.State()
	if state == v.reportedState {
		return out
	}
	if v.assigned {
		out = append(out, Event{Name: "server_state", Server: v.cfg.Name,
			Fields: []string{"from=" + v.reportedState.String(), "to=" + state.String()}})
	}
	ejection := state == backend.Ejected || v.reportedState == backend.Ejected
	v.reportedState = state
	if ejection {
		s.applyPanicMode(now)
	}
	return out
}

// applyPanicMode allows requests to ejected servers while the share of ejected servers
// exceeds the panic threshold.
func (s *Scheduler) applyPanicMode(now time.Time) {
	states := make([]backend.State, len(s.assigned))
	for i, v := range s.assigned {
		states[i] = v.backend.State()
	}
	for i, usable := range backend.PanicFilter(states, s.cfg.PanicThreshold) {
		v := s.assigned[i]
		panicking := usable && states[i] == backend.Ejected
		if v.panicMode != panicking {
			v.panicMode = panicking
			s.refresh(now, v)
		}
	}
}

// refresh recomputes the limit, free slots and rate of a server, and the sums over all
// servers.
func (s *Scheduler) refresh(now time.Time, v *server) {
	limit := 0
	if v.role == roleOwner {
		limit = v.backend.Limit(now)
		if v.panicMode {
			limit = max(limit, 1)
		}
	}
	rate := float64(limit) / v.backend.ServiceTime().Seconds()
	free := max(0, limit-v.occupiedSlots())
	s.totalSlots += limit - v.limit
	s.freeSlots += free - v.free
	s.rate += rate - v.rate
	if usable := limit > 0; usable != (v.limit > 0) {
		// Bound how much slot time a server catches up after it was unusable.
		s.setSlotTime(v, max(v.slotTime, s.virtualTime-maxSlotTimeLag))
		if usable {
			s.usableServers++
			s.slotTimeSum += v.slotTime
		} else {
			s.usableServers--
			s.slotTimeSum -= v.slotTime
		}
	}
	v.limit, v.free, v.rate = limit, free, rate
	s.freeServers.update(v)
	if !v.polled && v.role != roleReleased && (len(v.inherited) > 0 || v.backend.LimitChangesWithTime()) {
		v.polled = true
		s.pollList = append(s.pollList, v)
	}
}

// setSlotTime sets the slot time by which servers are ordered.
func (s *Scheduler) setSlotTime(v *server, slotTime float64) {
	if v.limit > 0 {
		s.slotTimeSum += slotTime - v.slotTime
	}
	v.slotTime = slotTime
}

// recount recomputes the incremental sums, checks those that must be exact, and forgets
// servers that were released long ago.
func (s *Scheduler) recount(now time.Time) {
	s.lastRecount = now
	rate, busy, fastest, total, free, running := 0.0, 0.0, math.Inf(1), 0, 0, 0
	for name, v := range s.servers {
		running += v.running
		if !v.assigned && v.running == 0 && !v.polled && now.Sub(v.releasedAt) > releasedServerRetention+s.svc.MaxDeadline.Duration() {
			delete(s.servers, name)
		}
	}
	for _, v := range s.assigned {
		rate += v.rate
		total += v.limit
		free += v.free
		if v.usable() {
			busy += v.slotTime
			fastest = min(fastest, v.backend.ServiceTime().Seconds())
		}
	}
	if total != s.totalSlots || free != s.freeSlots || running != s.running {
		Violations.report(ViolationAccounting, "")
	}
	s.rate, s.slotTimeSum, s.totalSlots, s.freeSlots = rate, busy, total, free
	s.minServiceTime = 0
	if !math.IsInf(fastest, 1) {
		s.minServiceTime = fastest
	}
}
