package daemon

import (
	"time"

	"github.com/monsoonthread/monsoonthread/peer/peerpb"
)

func (s *scheduler) noteAsked(from string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked[from] = now
}

// askers returns the instances that sent requests lately, and forgets the others.
// s.mu is held.
func (s *scheduler) askers(now time.Time) []string {
	var ids []string
	for id, at := range s.asked {
		if now.Sub(at) > summaryMemory {
			delete(s.asked, id)
			continue
		}
		ids = append(ids, id)
	}
	return ids
}

// sendSummaries sends the load of this dispatcher to instances that sent requests
// lately and did not get it with an answer since.
func (d *Daemon) sendSummaries(now time.Time) {
	r := d.routes.Load()
	if r == nil {
		return
	}
	live := r.liveInstances()
	for _, sch := range d.schedulers.all() {
		sch.mu.Lock()
		summary := sch.scheduler.Summary(now)
		askers := sch.askers(now)
		sch.mu.Unlock()
		if len(live) <= summariesToAll {
			askers = live
		}
		if summary.TotalSlots == 0 {
			continue
		}
		d.chooser.observe(now, d.settings.InstanceID, summary)
		for _, id := range askers {
			e, ok := r.view.Member(id)
			if ok && id != d.settings.InstanceID && d.notices.summaryDue(id, now) {
				_ = d.peers.Send(addressOf(e), &peerpb.Envelope{Body: &peerpb.Envelope_Summary{Summary: summary}})
			}
		}
	}
}
