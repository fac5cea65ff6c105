package mesh

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// fullRecipients is how many peers get the loads with each status message, by turns,
	// so that the traffic of a large failure domain stays below 22 KB a second.
	fullRecipients = 6
	// foreignTargets is how many instances of another failure domain a delegate speaks
	// to, so that the loss of one does not stop the exchange.
	foreignTargets = 2
)

// Delegate reports whether this instance speaks for its failure domain to others.
func (m *Mesh) Delegate(now time.Duration) bool {
	for _, p := range m.ranked[m.cfg.Self.Domain] {
		if p.ID == m.cfg.Self.ID {
			return true
		}
		if p.alive(now, m.aliveTime()) {
			return false
		}
	}
	return true
}

// DomainPeers returns the addresses in the own failure domain that a message goes to
// now: some get the whole status by turns, and from a watcher the others a bare one.
func (m *Mesh) DomainPeers(now time.Duration) (full, bare []netip.AddrPort) {
	own := m.ranked[m.cfg.Self.Domain]
	for i := range own {
		p := own[(m.turn+i)%len(own)]
		if p.ID == m.cfg.Self.ID {
			continue
		}
		switch {
		case len(full) < fullRecipients && p.due(now, m.aliveTime()):
			full = append(full, p.Address)
		case m.watching && p.due(now, m.aliveTime()):
			bare = append(bare, p.Address)
		}
	}
	m.turn = (m.turn + fullRecipients) % len(own)
	return full, bare
}

// AliveDomainPeers returns the addresses of the peers in the own failure domain that are
// alive or were not heard yet: after a start, the turns of a large domain take seconds.
func (m *Mesh) AliveDomainPeers(now time.Duration) []netip.AddrPort {
	var out []netip.AddrPort
	for _, p := range m.ranked[m.cfg.Self.Domain] {
		if p.ID != m.cfg.Self.ID && (!p.heard || p.alive(now, m.aliveTime())) {
			out = append(out, p.Address)
		}
	}
	return out
}

// ForeignPeers returns the addresses in other failure domains that a delegate speaks to.
func (m *Mesh) ForeignPeers(now time.Duration) []netip.AddrPort {
	var out []netip.AddrPort
	for domain, members := range m.ranked {
		if domain == m.cfg.Self.Domain {
			continue
		}
		n := 0
		for _, p := range members {
			if n < foreignTargets && p.alive(now, m.aliveTime()) {
				out, n = append(out, p.Address), n+1
			}
		}
		for _, p := range members {
			if n < foreignTargets && !p.alive(now, m.aliveTime()) && p.due(now, m.aliveTime()) {
				out, n = append(out, p.Address), n+1
			}
		}
	}
	return out
}

// ForeignDomains returns the other failure domains.
func (m *Mesh) ForeignDomains() []string {
	var out []string
	for domain := range m.ranked {
		if domain != m.cfg.Self.Domain {
			out = append(out, domain)
		}
	}
	slices.Sort(out)
	return out
}

// due reports whether a message may go to the member now: always while it is alive, at
// times otherwise.
func (m *member) due(now, within time.Duration) bool {
	if !m.alive(now, within) && m.sent && now-m.sentAt < retryInterval {
		return false
	}
	m.sentAt, m.sent = now, true
	return true
}
