package dispatch

import (
	"math"
	"time"

	"github.com/monsoonthread/monsoonthread/peer/peerpb"
)

// Running returns the number of slots occupied by requests of this instance.
func (s *Scheduler) Running() int { return s.running }

// Queued returns the number of requests that wait for a slot: those in the queue and the
// held requests, which have left the queue to wait for a particular server.
func (s *Scheduler) Queued() int { return s.waiting }

// Summary returns the load summary of this dispatcher, by which the Choosers of all
// instances compare it with the other dispatchers of the service.
func (s *Scheduler) Summary(now time.Time) *peerpb.Summary {
	s.seq++
	sum := &peerpb.Summary{ServiceId: s.svc.ID, Queued: uint32(s.waiting), Seq: s.seq}
	if s.fenced || s.draining {
		return sum
	}
	sum.TotalSlots = uint32(s.totalSlots)
	sum.ServiceRateMilli = uint32(min(s.serviceRate*1000, math.MaxUint32))
	switch {
	case s.totalSlots == 0:
		// No slot is usable, so the service rate is 0. A request waits until the first slot
		// can be used.
		est := s.estimate(now)
		sum.ExpectedWaitMs = uint32(min(est.Delay.Milliseconds(), math.MaxUint32))
	case s.waiting < s.freeSlots:
		sum.FreeSlots = uint32(s.freeSlots - s.waiting)
	default:
		sum.ExpectedWaitMs = uint32(float64(s.waiting+1) / s.serviceRate * 1000)
	}
	return sum
}

// Status returns the status of all backend servers known to this instance.
func (s *Scheduler) Status(time.Time) []*peerpb.ServerStatus {
	var list []*peerpb.ServerStatus
	for _, srv := range s.servers {
		list = append(list, &peerpb.ServerStatus{
			Name: srv.cfg.Name, Service: s.svc.Name, State: srv.backend.State().String(), Role: srv.role.String(),
			Running: uint32(srv.occupiedSlots()), Slots: uint32(srv.cfg.Slots), Queued: uint32(s.waiting),
		})
	}
	return list
}
