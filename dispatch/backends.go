package dispatch

import (
	"time"

	"github.com/monsoonthread/monsoonthread/admission"
	"github.com/monsoonthread/monsoonthread/backend"
	"github.com/monsoonthread/monsoonthread/result"
)

// RecordHealth records a response of a server's health or load endpoint.
func (s *Scheduler) RecordHealth(now time.Time, name string, h backend.Health) []Action {
	if h == backend.HealthDraining {
		return s.DrainServer(now, name, backend.NoticeHealth)
	}
	srv := s.servers[name]
	if srv == nil {
		return nil
	}
	srv.backend.RecordHealth(now, h)
	return s.refreshAndDispatch(nil, now, srv)
}

// DrainServer immediately stops new requests to a server. The drain request is remembered,
// so that it also applies to a server that is assigned to this instance later.
func (s *Scheduler) DrainServer(now time.Time, name string, source backend.NoticeSource) []Action {
	if _, known := s.drainNotices[name]; known {
		return nil
	}
	s.drainNotices[name] = source
	srv := s.servers[name]
	if srv == nil {
		return nil
	}
	srv.backend.Drain(now, source)
	out := []Action{Event{Name: "server_leaving", Server: name, Fields: []string{"source=" + source.String()}}}
	out = s.refreshAndDispatch(out, now, srv)
	return s.refuseUnservable(out)
}

// ReinstateServer reverses DrainServer.
func (s *Scheduler) ReinstateServer(now time.Time, name string) []Action {
	delete(s.drainNotices, name)
	srv := s.servers[name]
	if srv == nil {
		return nil
	}
	srv.backend.Reinstate(now)
	return s.refreshAndDispatch(nil, now, srv)
}

// refuseUnservable refuses all waiting requests when no server can run them any more.
func (s *Scheduler) refuseUnservable(out []Action) []Action {
	switch {
	case len(s.assigned) == 0:
		return s.refuseWaiting(out, errNotDispatcher)
	case s.totalSlots == 0 && !s.expectsCapacity():
		return s.refuseWaiting(out, errNoBackendServer)
	}
	return out
}

// refuseWaiting refuses all queued and held requests.
func (s *Scheduler) refuseWaiting(out []Action, err *result.Error) []Action {
	for _, it := range s.queue.Clear() {
		out = append(out, refuse(&it, err, 0))
	}
	for i := range s.heldRequests {
		out = append(out, refuse(&s.heldRequests[i].item, err, 0))
	}
	clear(s.heldRequests)
	s.heldRequests = s.heldRequests[:0]
	s.waiting = 0
	return out
}

// Drain stops accepting requests. Waiting requests are refused and not executed; running
// requests complete.
func (s *Scheduler) Drain(time.Time) []Action {
	s.draining = true
	return s.refuseWaiting(nil, errShuttingDown)
}

func refuse(it *admission.Item, err *result.Error, retryAfter time.Duration) Action {
	return Refuse{ID: it.ID, Err: err, RetryAfter: retryAfter, Payload: it.Payload}
}

func secondsToDuration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}
