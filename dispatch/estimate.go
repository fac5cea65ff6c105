package dispatch

import (
	"math"
	"time"

	"github.com/monsoonthread/monsoonthread/admission"
	"github.com/monsoonthread/monsoonthread/backend"
)

// expectsCapacity reports whether an assigned server can become usable by itself.
func (s *Scheduler) expectsCapacity() bool {
	for _, v := range s.owned {
		if v.life.State() != backend.Draining {
			return true
		}
	}
	return false
}

// takeoverPending reports whether a server is not dispatched yet.
func (s *Scheduler) takeoverPending() bool {
	for _, v := range s.owned {
		if v.role != owner {
			return true
		}
	}
	return false
}

// estimate describes the present capacity to the queue.
func (s *Scheduler) estimate(now time.Time) admission.Estimate {
	if s.total > 0 {
		return admission.Estimate{Rate: s.rate, ServiceTime: seconds(s.fastest)}
	}
	delay := time.Duration(math.MaxInt64 / 4)
	rate := 0.0
	for _, v := range s.owned {
		if v.life.State() == backend.Draining {
			continue
		}
		rate += float64(v.cfg.Slots) / v.life.ServiceTime().Seconds()
		switch v.role {
		case asking:
			delay = min(delay, s.cfg.HandoverTimeout)
		case quarantined:
			delay = min(delay, v.until.Sub(now))
		case owner: // between probes, or after shed answers
			delay = min(delay, backend.DefaultShedRecovery)
		}
	}
	return admission.Estimate{Rate: rate, Delay: delay, ServiceTime: seconds(s.fastest)}
}
