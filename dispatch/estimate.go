package dispatch

import (
	"math"
	"time"

	"github.com/monsoonthread/monsoonthread/admission"
	"github.com/monsoonthread/monsoonthread/backend"
)

// expectsCapacity reports whether any assigned server is not draining, and so can become
// usable without being put back into service.
func (s *Scheduler) expectsCapacity() bool {
	for _, srv := range s.assigned {
		if srv.backend.State() != backend.Draining {
			return true
		}
	}
	return false
}

// takeoverPending reports whether the takeover of an assigned server is not finished.
func (s *Scheduler) takeoverPending() bool {
	for _, srv := range s.assigned {
		if srv.role != roleOwner {
			return true
		}
	}
	return false
}

// estimate returns the expected capacity, as used by the queue for admission.
func (s *Scheduler) estimate(now time.Time) admission.Estimate {
	if s.totalSlots > 0 {
		return admission.Estimate{Rate: s.serviceRate, ServiceTime: secondsToDuration(s.minServiceTime)}
	}
	delay := time.Duration(math.MaxInt64 / 4) // unlimited, but the queue can add waits without overflow
	rate := 0.0
	for _, srv := range s.assigned {
		if srv.backend.State() == backend.Draining {
			continue
		}
		rate += float64(srv.cfg.Slots) / srv.backend.ServiceTime().Seconds()
		switch srv.role {
		case roleAwaitingHandover:
			delay = min(delay, s.cfg.HandoverTimeout)
		case roleQuarantined:
			delay = min(delay, srv.quarantineEnd.Sub(now))
		case roleOwner: // between probes, or recovering slots after shed responses
			delay = min(delay, backend.DefaultShedRecovery)
		}
	}
	return admission.Estimate{Rate: rate, Delay: delay, ServiceTime: secondsToDuration(s.minServiceTime)}
}
