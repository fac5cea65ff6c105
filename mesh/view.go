package mesh

import "time"

// MemberView is a snapshot of another instance's state as known to this one.
type MemberView struct {
	Peer
	Alive    bool
	Watching bool          // it watched the store when it was last heard
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

// Watching reports the last decision of UpdateWatch.
func (m *Mesh) Watching() bool { return m.watching }

// ConfirmationAge returns the time since this instance's records were last known to be current;
// false if they never were.
func (m *Mesh) ConfirmationAge(now time.Duration) (time.Duration, bool) {
	return m.reportedConfirmationAge(now), m.confirmed
}
