package mesh

import "time"

// MemberView is a snapshot of another instance's state as known to this one.
type MemberView struct {
	Peer
	Alive    bool
	Watching bool          // it held the watch when it was last heard
	AsOf     uint64        // position in the store's changes up to which its records were complete
	HeardAgo time.Duration // negative if it was never heard
}

// View returns the other instances, sorted by ID.
func (m *Mesh) View(now time.Duration) []MemberView {
	var out []MemberView
	for _, p := range m.Members()[1:] {
		known := m.members[p.ID]
		v := MemberView{Peer: p, Alive: known.alive(now, m.aliveTime()), HeardAgo: -1}
		if known.heard {
			v.Watching, v.AsOf, v.HeardAgo = known.status.Watching, known.status.AsOf, now-known.heardAt
		}
		out = append(out, v)
	}
	return out
}

// Watching reports whether this instance watches the store and the store answered its last call.
func (m *Mesh) Watching() bool { return m.watch == Watching }

// WatchState returns the state after the last decision or call.
func (m *Mesh) WatchState() WatchState { return m.watch }

// WatchHolder returns the ID of the first peer in rank that holds the watch of the own failure domain;
// false if none does.
func (m *Mesh) WatchHolder(now time.Duration) (string, bool) {
	for _, p := range m.ranked[m.cfg.Self.Domain] {
		if p.ID != m.cfg.Self.ID && p.holdsWatch(now) {
			return p.ID, true
		}
	}
	return "", false
}

// ConfirmationAge returns the time since this instance's records were last known to be current;
// false if they never were.
func (m *Mesh) ConfirmationAge(now time.Duration) (time.Duration, bool) {
	return m.reportedConfirmationAge(now), m.confirmed
}
