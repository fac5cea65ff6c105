package mesh

import "time"

// MemberView is what the instance knows of another one.
type MemberView struct {
	Peer
	Alive    bool
	Watching bool          // it read the store itself when it was last heard
	AsOf     uint64        // store revision up to which its records were complete
	HeardAgo time.Duration // negative if it was never heard
}

// View returns the other instances in the order of their IDs.
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

// Watching reports whether this instance reads the store, as last decided.
func (m *Mesh) Watching() bool { return m.watching }

// ContactAge returns the time since the own records were last known to be current; false
// if they never were.
func (m *Mesh) ContactAge(now time.Duration) (time.Duration, bool) {
	return m.contactAge(now), m.contacted
}
