package dispatch

import (
	"math"
	"time"

	"github.com/monsoonthread/monsoonthread/backend"
)

// answerMargin is the time that a refusal needs to reach the caller before the deadline.
const answerMargin = 20 * time.Millisecond

// expire refuses the waiting requests whose deadline can no longer be met. Refused at
// the deadline itself, they ended without an answer at the caller: 29% of a flood of
// bulk requests in lab run flood-least-urgent.
func (s *Scheduler) expire(out []Action, now time.Time) []Action {
	for _, it := range s.queue.Expire(now.Add(seconds(s.fastest) + answerMargin)) {
		s.waiting--
		out = append(out, refuse(&it, errDeadlineUnmet, s.retryAfter()))
	}
	if len(s.held) == 0 {
		return out
	}
	kept := s.held[:0]
	for i := range s.held {
		if it := &s.held[i].item; now.Before(it.Deadline) {
			kept = append(kept, s.held[i])
		} else {
			s.waiting--
			out = append(out, refuse(it, errDeadlineUnmet, s.retryAfter()))
		}
	}
	clear(s.held[len(kept):])
	s.held = kept
	return out
}

// Tick handles everything that happens by time alone; call it every 10 ms.
func (s *Scheduler) Tick(now time.Time) []Action {
	var out []Action
	out = s.endGhosts(out, now)
	out = s.endUnfinished(out, now)
	out = s.tickTakeover(out, now)
	s.watch, s.watching = s.watching[:0], s.watch
	for _, v := range s.watching {
		v.watched = false
		v.expireForeign(now)
		out = s.refreshed(out, now, v)
	}
	if now.Sub(s.recounted) >= recountInterval {
		s.recount(now)
	}
	out = s.expire(out, now)
	out = s.dispatch(out, now)
	if s.waiting != s.queue.Len()+len(s.held) {
		Violations.report(ViolationAccounting, "")
		s.waiting = s.queue.Len() + len(s.held)
	}
	return out
}

// endGhosts frees the slots of unanswered requests whose deadline has passed.
func (s *Scheduler) endGhosts(out []Action, now time.Time) []Action {
	kept := s.ghosts[:0]
	for _, i := range s.ghosts {
		if now.Before(s.slotEnd(&s.grants[i])) {
			kept = append(kept, i)
			continue
		}
		v := s.grants[i].server
		out = s.endGrant(out, now, i)
		out = s.refreshed(out, now, v)
	}
	s.ghosts = kept
	return out
}

// endUnfinished frees slots whose Finish never came, a few entries per call.
func (s *Scheduler) endUnfinished(out []Action, now time.Time) []Action {
	const perCall = 64
	for n := 0; n < min(perCall, len(s.grants)); n++ {
		s.sweep = (s.sweep + 1) % len(s.grants)
		g := &s.grants[s.sweep]
		if g.state != grantRunning || now.Before(s.slotEnd(g).Add(finishGrace)) {
			continue
		}
		v := g.server
		Violations.report(ViolationUnfinished, v.cfg.Name)
		out = s.endGrant(out, now, uint32(s.sweep))
		out = s.refreshed(out, now, v)
	}
	return out
}

// refreshed refreshes the server, reports a change of its state, and applies the
// panic level.
func (s *Scheduler) refreshed(out []Action, now time.Time, v *server) []Action {
	s.refresh(now, v)
	state := v.life.State()
	if state == v.seen {
		return out
	}
	if v.assigned {
		out = append(out, Event{Name: "server_state", Server: v.cfg.Name,
			Fields: []string{"from=" + v.seen.String(), "to=" + state.String()}})
	}
	ejection := state == backend.Out || v.seen == backend.Out
	v.seen = state
	if ejection {
		s.applyPanic(now)
	}
	return out
}

// applyPanic uses ejected servers when more than the panic share is ejected.
func (s *Scheduler) applyPanic(now time.Time) {
	states := make([]backend.State, len(s.owned))
	for i, v := range s.owned {
		states[i] = v.life.State()
	}
	for i, usable := range backend.PanicFilter(states, s.cfg.PanicShare) {
		v := s.owned[i]
		panicking := usable && states[i] == backend.Out
		if v.panicking != panicking {
			v.panicking = panicking
			s.refresh(now, v)
		}
	}
}

// refresh recomputes what depends on a server's usable slots.
func (s *Scheduler) refresh(now time.Time, v *server) {
	limit := 0
	if v.role == owner {
		limit = v.life.Limit(now)
		if v.panicking {
			limit = max(limit, 1)
		}
	}
	rate := float64(limit) / v.life.ServiceTime().Seconds()
	free := max(0, limit-v.occupied())
	s.total += limit - v.limit
	s.free += free - v.free
	s.rate += rate - v.rate
	if usable := limit > 0; usable != (v.limit > 0) {
		// A server that could not be used does not catch up all of it.
		s.setBusy(v, max(v.busy, s.virtual-maxLag))
		if usable {
			s.usableServers++
			s.busySum += v.busy
		} else {
			s.usableServers--
			s.busySum -= v.busy
		}
	}
	v.limit, v.free, v.rate = limit, free, rate
	s.ready.update(v)
	if !v.watched && v.role != released && (len(v.foreign) > 0 || v.life.Unsettled()) {
		v.watched = true
		s.watch = append(s.watch, v)
	}
}

// setBusy changes the slot time that orders the server.
func (s *Scheduler) setBusy(v *server, busy float64) {
	if v.limit > 0 {
		s.busySum += busy - v.busy
	}
	v.busy = busy
}

// recount recomputes the incremental sums and checks those that must be exact.
func (s *Scheduler) recount(now time.Time) {
	s.recounted = now
	rate, busy, fastest, total, free, running := 0.0, 0.0, math.Inf(1), 0, 0, 0
	for name, v := range s.servers {
		running += v.running
		if !v.assigned && v.running == 0 && !v.watched && now.Sub(v.lostAt) > releasedMemory+s.svc.MaxDeadline.Duration() {
			delete(s.servers, name)
		}
	}
	for _, v := range s.owned {
		rate += v.rate
		total += v.limit
		free += v.free
		if v.usable() {
			busy += v.busy
			fastest = min(fastest, v.life.ServiceTime().Seconds())
		}
	}
	if total != s.total || free != s.free || running != s.running {
		Violations.report(ViolationAccounting, "")
	}
	s.rate, s.busySum, s.total, s.free = rate, busy, total, free
	s.fastest = 0
	if !math.IsInf(fastest, 1) {
		s.fastest = fastest
	}
}
