package mesh

import "time"

const (
	// unfitTime keeps an instance whose store calls fail from watching while another
	// one can.
	unfitTime = 4 * time.Second
	// takeoverStep is the pause before the next instance in rank takes over a watch
	// that nobody holds, so that not all start at once.
	takeoverStep = 150 * time.Millisecond
)

// StoreAnswered notes that the store confirmed or brought the own records up to date.
func (m *Mesh) StoreAnswered(now time.Duration) {
	m.contactAt, m.contacted, m.failed = now, true, false
}

// StoreFailed notes a failed call.
func (m *Mesh) StoreFailed(now time.Duration) { m.failedAt, m.failed = now, true }

// Self returns the own status without loads.
func (m *Mesh) Self(now time.Duration, incarnation, asOf uint64, leaving bool) Status {
	return Status{Peer: m.cfg.Self, Incarnation: incarnation, AsOf: asOf, ContactAge: m.contactAge(now), Watching: m.watching, Leaving: leaving}
}

// noContact is the age of records that nothing has confirmed yet.
const noContact = time.Hour

func (m *Mesh) contactAge(now time.Duration) time.Duration {
	if !m.contacted {
		return noContact
	}
	return now - m.contactAt
}

// Watch decides whether this instance reads the store. Of the instances of a failure
// domain whose calls succeed, the first in rank does.
func (m *Mesh) Watch(now time.Duration) bool {
	unfit := m.failed && now-m.failedAt < unfitTime
	position, someoneFit := 0, false
	for _, p := range m.ranked[m.cfg.Self.Domain] {
		if p.ID == m.cfg.Self.ID {
			if !unfit {
				break
			}
			continue
		}
		if p.watches(now, m.cfg.FreshTime) {
			m.vacant, m.watching = false, false
			return false
		}
		if p.alive(now, m.aliveTime()) && !p.lostWatch(now) {
			position, someoneFit = position+1, true
		}
	}
	if m.watching && (!unfit || !someoneFit) {
		return true
	}
	if !m.vacant {
		m.vacant, m.vacantAt = true, now
	}
	wait := time.Duration(position) * takeoverStep
	if position > 0 {
		wait += minAliveTime // a better placed instance is alive and may be about to watch
	}
	m.watching = now-m.vacantAt >= wait
	return m.watching
}

// Confirmed notes the confirmation that a watcher of the own or another domain passed
// on: records complete up to its revision are as current as its own.
func (m *Mesh) Confirmed(now time.Duration, asOf uint64) {
	for _, p := range m.members {
		if !p.alive(now, m.aliveTime()) || p.status.AsOf > asOf {
			continue
		}
		if at := p.heardAt - p.status.ContactAge; at > m.contactAt || !m.contacted && p.status.ContactAge < noContact {
			m.contactAt, m.contacted = max(at, 0), true
		}
	}
}

// Fresh reports whether the own records count as current.
func (m *Mesh) Fresh(now time.Duration) bool {
	return m.contacted && now-m.contactAt < m.cfg.FreshTime
}
