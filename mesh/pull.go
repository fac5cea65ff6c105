package mesh

import (
	"time"

	"github.com/monsoonthread/monsoonthread/placement"
)

const (
	// pullDelay lets a record that was pushed arrive before it is pulled. Instances pull in
	// generations, each twice as large as the one before and pullDelay later, from any peer
	// that is ahead, so that a large record does not fill the link of the one that read it.
	pullDelay       = 100 * time.Millisecond
	firstGeneration = 3
)

// PullFrom returns a live peer whose records are complete to a higher revision for so
// long that a pushed record must have arrived, preferring the own failure domain.
func (m *Mesh) PullFrom(now time.Duration, asOf uint64) (Peer, bool) {
	var best *member
	for _, p := range m.members {
		if !p.alive(now, m.aliveTime()) || p.status.AsOf <= asOf {
			p.behind = 0
			continue
		}
		if p.behind == 0 {
			p.behind = now
		}
		if asOf > 0 && now-p.behind < m.pullDelay() {
			continue
		}
		if best == nil || m.prefer(p, best) {
			best = p
		}
	}
	if best == nil {
		return Peer{}, false
	}
	return best.Peer, true
}

// pullDelay returns the delay of this instance by its place in the failure domain.
func (m *Mesh) pullDelay() time.Duration {
	delay, last := pullDelay, firstGeneration
	for i, p := range m.ranked[m.cfg.Self.Domain] {
		if p.ID == m.cfg.Self.ID {
			break
		}
		if i+1 == last {
			delay, last = delay+pullDelay, 2*last
		}
	}
	return delay
}

func (m *Mesh) prefer(a, b *member) bool {
	if own := m.cfg.Self.Domain; (a.Domain == own) != (b.Domain == own) {
		return a.Domain == own
	}
	if a.status.AsOf != b.status.AsOf {
		return a.status.AsOf > b.status.AsOf
	}
	// Different instances prefer different peers.
	key := placement.Key(m.cfg.Self.ID)
	return key^placement.Key(a.ID) < key^placement.Key(b.ID)
}
