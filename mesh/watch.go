package mesh

import "time"

const (
	// storeFailureBackoff is how long an instance does not watch after a failed store call if
	// another instance can.
	storeFailureBackoff = 4 * time.Second
	// takeoverStagger is the delay between consecutive instances in rank for taking over a
	// watch that no instance holds, so that they do not all start at once.
	takeoverStagger = 150 * time.Millisecond
)

// StoreAnswered records that the store confirmed or updated this instance's records.
func (m *Mesh) StoreAnswered(now time.Duration) {
	m.confirmedAt, m.confirmed, m.failed = now, true, false
}

// StoreFailed records a failed store call.
func (m *Mesh) StoreFailed(now time.Duration) { m.failedAt, m.failed = now, true }

// OwnStatus returns this instance's status, without loads.
func (m *Mesh) OwnStatus(now time.Duration, incarnation, asOf uint64, leaving bool) Status {
	return Status{Peer: m.cfg.Self, Incarnation: incarnation, AsOf: asOf, ConfirmationAge: m.reportedConfirmationAge(now), Watching: m.watching, Leaving: leaving}
}

// neverConfirmedAge is the reported age of records that have not been confirmed yet.
const neverConfirmedAge = time.Hour

func (m *Mesh) reportedConfirmationAge(now time.Duration) time.Duration {
	if !m.confirmed {
		return neverConfirmedAge
	}
	return now - m.confirmedAt
}

// UpdateWatch decides whether this instance watches the store. In each failure domain, the
// first instance in rank whose store calls succeed watches.
func (m *Mesh) UpdateWatch(now time.Duration) bool {
	storeFailing := m.failed && now-m.failedAt < storeFailureBackoff
	precedingCandidates, otherCanWatch := 0, false
	for _, p := range m.ranked[m.cfg.Self.Domain] {
		if p.ID == m.cfg.Self.ID {
			if !storeFailing {
				break
			}
			continue
		}
		if p.watches(now, m.cfg.MaxRecordAge) {
			m.unwatched, m.watching = false, false
			return false
		}
		// After a start, no peer has been heard yet. Without counting them, all instances that
		// start together would watch.
		notHeardYet := !p.heard && now < minAliveTime
		if notHeardYet || p.alive(now, m.aliveTime()) && !p.lostWatch(now) {
			precedingCandidates, otherCanWatch = precedingCandidates+1, true
		}
	}
	if m.watching && (!storeFailing || !otherCanWatch) {
		return true
	}
	if !m.unwatched {
		m.unwatched, m.unwatchedSince = true, now
	}
	wait := time.Duration(precedingCandidates) * takeoverStagger
	if precedingCandidates > 0 {
		wait += minAliveTime // an instance of higher rank is alive and may be about to watch
	}
	m.watching = now-m.unwatchedSince >= wait
	return m.watching
}

// ApplyConfirmations applies the confirmations that watchers of any failure domain have passed
// on: records that are complete up to a watcher's position are as current as the watcher's.
func (m *Mesh) ApplyConfirmations(now time.Duration, asOf uint64) {
	for _, p := range m.members {
		if !p.alive(now, m.aliveTime()) || p.status.AsOf > asOf {
			continue
		}
		if at := p.heardAt - p.status.ConfirmationAge; at > m.confirmedAt || !m.confirmed && p.status.ConfirmationAge < neverConfirmedAge {
			m.confirmedAt, m.confirmed = max(at, 0), true
		}
	}
}

// Fresh reports whether this instance's records count as current.
func (m *Mesh) Fresh(now time.Duration) bool {
	return m.confirmed && now-m.confirmedAt < m.cfg.MaxRecordAge
}
