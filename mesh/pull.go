package mesh

import (
	"slices"
	"time"

	"github.com/monsoonthread/monsoonthread/placement"
)

const (
	// pullDelay gives a pushed record time to arrive before it is pulled. Instances pull in
	// generations, each starting pullDelay after the previous one and doubling the number of
	// instances that pull, from any peer that is ahead. A large record thus does not saturate
	// the link of the instance that read it from the store.
	pullDelay           = 100 * time.Millisecond
	firstGenerationSize = 3
	// pullBackoff is how long a peer that did not answer a pull is passed over if another one is ahead.
	// In a large failure domain, a peer that has failed counts as alive for longer than a change may take.
	pullBackoff = 2 * time.Second
)

// PullFrom returns a live peer whose records have been complete up to a later position for
// so long that a pushed record should have arrived. Peers of the own failure domain are
// preferred, and those that have answered.
func (m *Mesh) PullFrom(now time.Duration, asOf uint64) (Peer, bool) {
	var best *member
	for _, p := range m.members {
		if !p.alive(now, m.aliveTime()) || p.status.AsOf <= asOf {
			p.aheadSince = 0
			continue
		}
		if p.aheadSince == 0 {
			p.aheadSince = max(p.advancedAt, 1)
		}
		if asOf > 0 && now-p.aheadSince < m.pullDelay() {
			continue
		}
		if best == nil || m.prefer(now, p, best) {
			best = p
		}
	}
	if best == nil {
		return Peer{}, false
	}
	return best.Peer, true
}

// pullDelay returns the delay of this instance according to its rank in the failure domain.
func (m *Mesh) pullDelay() time.Duration {
	own := m.ranked[m.cfg.Self.Domain]
	return PullDelay(slices.IndexFunc(own, func(p *member) bool { return p.ID == m.cfg.Self.ID }))
}

// PullDelay returns the delay of the instance with a rank in its failure domain, counted from 0.
func PullDelay(rank int) time.Duration {
	delay := pullDelay
	for generationEnd := firstGenerationSize; rank >= generationEnd; generationEnd *= 2 {
		delay += pullDelay
	}
	return delay
}

// PullFailed records that a peer did not answer a pull.
func (m *Mesh) PullFailed(now time.Duration, id string) {
	if p := m.members[id]; p != nil {
		p.pullFailedAt, p.pullFailed = now, true
	}
}

// pullFailing reports whether the member recently did not answer a pull.
func (m *member) pullFailing(now time.Duration) bool {
	return m.pullFailed && now-m.pullFailedAt < pullBackoff
}

// prefer reports whether to pull from a rather than from b.
func (m *Mesh) prefer(now time.Duration, a, b *member) bool {
	if a.pullFailing(now) != b.pullFailing(now) {
		return b.pullFailing(now)
	}
	if own := m.cfg.Self.Domain; (a.Domain == own) != (b.Domain == own) {
		return a.Domain == own
	}
	if a.status.AsOf != b.status.AsOf {
		return a.status.AsOf > b.status.AsOf
	}
	// Breaks ties differently on each instance, which spreads the pulls.
	key := placement.Key(m.cfg.Self.ID)
	return key^placement.Key(a.ID) < key^placement.Key(b.ID)
}
