package mesh

import "time"

const (
	// storeFailureBackoff is how long an instance does not call the store after a failed call if
	// another instance watches, or another one precedes it in rank.
	storeFailureBackoff = 4 * time.Second
	// takeoverStagger is the delay between consecutive instances in rank for taking over a watch
	// that no instance holds. The first one usually confirms its watch within that time, so that the
	// next one makes no call. It is short because the first ones may be unable to reach the store.
	takeoverStagger = 150 * time.Millisecond
	// After promptSuccessors instances, the store probably answers nobody, and the delay becomes
	// lateTakeoverStagger. Calls that fail are billed too.
	promptSuccessors    = 4
	lateTakeoverStagger = 500 * time.Millisecond
)

// WatchState is what an instance does to watch the store.
type WatchState int

const (
	// Following instances make no calls. Their records come from an instance that watches.
	Following WatchState = iota
	// Trying instances call the store, but their last call failed or none has ended. They do not
	// hold the watch, so that others take it over meanwhile.
	Trying
	// Watching instances call the store, and it answered the last call. They hold the watch until
	// the next answer is overdue.
	Watching
)

var watchStateNames = [...]string{"following", "trying", "watching"}

func (s WatchState) String() string { return watchStateNames[s] }

// StoreAnswered records that the store confirmed or updated this instance's records.
func (m *Mesh) StoreAnswered(now time.Duration) {
	m.confirmedAt, m.confirmed, m.failed = now, true, false
	if m.watch != Following {
		m.watch, m.answeredAt = Watching, now
	}
}

// StoreFailed records a failed store call.
func (m *Mesh) StoreFailed(now time.Duration) {
	m.failedAt, m.failed = now, true
	if m.watch == Watching {
		m.watch = Trying
	}
}

// OwnStatus returns this instance's status, without loads.
func (m *Mesh) OwnStatus(now time.Duration, incarnation, asOf uint64, leaving bool) Status {
	held := m.heldFor(now)
	return Status{Peer: m.cfg.Self, Incarnation: incarnation, AsOf: asOf, ConfirmationAge: m.reportedConfirmationAge(now), Watching: held > 0, WatchHeldFor: held, Leaving: leaving}
}

// heldFor returns how long this instance still holds the watch if the store does not answer.
func (m *Mesh) heldFor(now time.Duration) time.Duration {
	if m.watch != Watching {
		return 0
	}
	return max(m.answeredAt+m.cfg.MaxRecordAge-now, 0)
}

// neverConfirmedAge is the reported age of records that have not been confirmed yet.
const neverConfirmedAge = time.Hour

func (m *Mesh) reportedConfirmationAge(now time.Duration) time.Duration {
	if !m.confirmed {
		return neverConfirmedAge
	}
	return now - m.confirmedAt
}

// UpdateWatch decides whether this instance calls the store. In each failure domain, the first
// instance in rank whose calls succeed watches. The others take over as soon as its watch is no
// longer held: it reports a failed call at once, and a call that hangs ends its hold.
func (m *Mesh) UpdateWatch(now time.Duration) WatchState {
	failing := m.failed && now-m.failedAt < storeFailureBackoff
	preceding, precedes, held := 0, true, false
	for _, p := range m.ranked[m.cfg.Self.Domain] {
		// After a start, no peer has been heard yet. Without counting them, all instances that
		// start together would watch.
		notHeardYet := !p.heard && now < minAliveTime
		switch {
		case p.ID == m.cfg.Self.ID:
			precedes = false
		case p.holdsWatch(now):
			held = held || precedes || failing
		case precedes && (notHeardYet || p.alive(now, m.aliveTime()) && !p.lostWatch(now)):
			preceding++
		}
	}
	if held || failing && preceding > 0 {
		m.watch, m.unwatched = Following, false
		return m.watch
	}
	if m.watch != Following {
		return m.watch
	}
	if !m.unwatched {
		m.unwatched, m.unwatchedSince = true, now
	}
	wait := TakeoverDelay(preceding)
	if preceding > 0 && m.unwatchedSince < minAliveTime {
		wait += minAliveTime // after the start, until a watch that is already held has been heard of
	}
	if now-m.unwatchedSince >= wait {
		m.watch = Trying
	}
	return m.watch
}

// TakeoverDelay returns how long an instance waits for those that precede it in rank before it takes
// over a watch that is no longer held.
func TakeoverDelay(preceding int) time.Duration {
	prompt := min(preceding, promptSuccessors)
	return time.Duration(prompt)*takeoverStagger + time.Duration(preceding-prompt)*lateTakeoverStagger
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
