package dispatch

import (
	"time"

	"github.com/monsoonthread/monsoonthread/admission"
	"github.com/monsoonthread/monsoonthread/backend"
	"github.com/monsoonthread/monsoonthread/result"
)

// Health records an answer of a server's health or load endpoint.
func (s *Scheduler) Health(now time.Time, name string, h backend.Health) []Action {
	if h == backend.HealthDraining {
		return s.Leave(now, name, backend.NoticeHealth)
	}
	v := s.servers[name]
	if v == nil {
		return nil
	}
	v.life.Health(now, h)
	return s.settle(nil, now, v)
}

// Leave stops new work for a server at once. The notice is kept for servers that
// this instance does not own yet.
func (s *Scheduler) Leave(now time.Time, name string, source backend.NoticeSource) []Action {
	if _, known := s.leaving[name]; known {
		return nil
	}
	s.leaving[name] = source
	v := s.servers[name]
	if v == nil {
		return nil
	}
	v.life.Leave(now, source)
	out := []Action{Event{Name: "server_leaving", Server: name, Fields: []string{"source=" + source.String()}}}
	out = s.settle(out, now, v)
	return s.refuseStranded(out)
}

// Return reverses Leave.
func (s *Scheduler) Return(now time.Time, name string) []Action {
	delete(s.leaving, name)
	v := s.servers[name]
	if v == nil {
		return nil
	}
	v.life.Return(now)
	return s.settle(nil, now, v)
}

// refuseStranded refuses what waits when no server can run it any more.
func (s *Scheduler) refuseStranded(out []Action) []Action {
	switch {
	case len(s.owned) == 0:
		return s.refuseWaiting(out, errNotDispatcher)
	case s.total == 0 && !s.expectsCapacity():
		return s.refuseWaiting(out, errNoBackendServer)
	}
	return out
}

// refuseWaiting refuses everything that waits.
func (s *Scheduler) refuseWaiting(out []Action, err *result.Error) []Action {
	for _, it := range s.queue.Clear() {
		out = append(out, refuse(&it, err, 0))
	}
	for i := range s.held {
		out = append(out, refuse(&s.held[i].item, err, 0))
	}
	clear(s.held)
	s.held = s.held[:0]
	s.waiting = 0
	return out
}

// Drain stops accepting requests. What waits is refused as not run, what runs ends.
func (s *Scheduler) Drain(time.Time) []Action {
	s.draining = true
	return s.refuseWaiting(nil, errShuttingDown)
}

func refuse(it *admission.Item, err *result.Error, after time.Duration) Action {
	return Refuse{ID: it.ID, Err: err, RetryAfter: after, Payload: it.Payload}
}

func seconds(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }
