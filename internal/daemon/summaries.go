package daemon

import (
	"time"

	"github.com/monsoonthread/monsoonthread/peer/peerpb"
)

func (s *scheduler) recordRequestFrom(from string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastRequestFrom[from] = now
}

// recentRequesters returns the instances that sent a request within summaryRecipientTTL
// and removes the others. s.mu is held.
func (s *scheduler) recentRequesters(now time.Time) []string {
	var ids []string
	for id, at := range s.lastRequestFrom {
		if now.Sub(at) > summaryRecipientTTL {
			delete(s.lastRequestFrom, id)
			continue
		}
		ids = append(ids, id)
	}
	return ids
}

// sendSummaries sends load summaries to the instances that use this dispatcher and
// received none within summaryInterval.
func (d *Daemon) sendSummaries(now time.Time) {
	r := d.routes.Load()
	if r == nil {
		return
	}
	live := r.liveInstances()
	for _, sch := range d.schedulers.all() {
		sch.mu.Lock()
		summary := sch.scheduler.Summary(now)
		recipients := sch.recentRequesters(now)
		sch.mu.Unlock()
		if len(live) <= maxSummaryBroadcast {
			recipients = live
		}
		if summary.TotalSlots == 0 {
			continue
		}
		d.chooser.observe(now, d.settings.InstanceID, summary)
		for _, id := range recipients {
			e, ok := r.view.Member(id)
			if ok && id != d.settings.InstanceID && d.notices.summaryDue(id, now) {
				_ = d.peers.Send(addressOf(e), &peerpb.Envelope{Body: &peerpb.Envelope_Summary{Summary: summary}})
			}
		}
	}
}
