package mesh

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// fullRecipients is the number of peers that get the loads with each status message,
	// round-robin. It keeps the traffic of a large failure domain below 22 KB a second per
	// instance.
	fullRecipients = 6
	// foreignDomainRecipients is the number of instances per other failure domain that a
	// delegate sends to, so that the loss of one does not interrupt the exchange.
	foreignDomainRecipients = 2
)

// IsDelegate reports whether this instance sends its failure domain's status to other domains.
func (m *Mesh) IsDelegate(now time.Duration) bool {
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

// DomainPeers returns the addresses in the own failure domain that the next status message
// goes to. Those in full, chosen round-robin, get it with the loads; those in withoutLoads,
// none unless this instance holds the watch, get it without them.
func (m *Mesh) DomainPeers(now time.Duration) (full, withoutLoads []netip.AddrPort) {
	own := m.ranked[m.cfg.Self.Domain]
	holdsWatch := m.heldFor(now) > 0
	for i := range own {
		p := own[(m.nextRecipient+i)%len(own)]
		if p.ID == m.cfg.Self.ID {
			continue
		}
		switch {
		case len(full) < fullRecipients && p.allowSend(now, m.aliveTime()):
			full = append(full, p.Address)
		case holdsWatch && p.allowSend(now, m.aliveTime()):
			withoutLoads = append(withoutLoads, p.Address)
		}
	}
	m.nextRecipient = (m.nextRecipient + fullRecipients) % len(own)
	return full, withoutLoads
}

// AliveDomainPeers returns the addresses of the peers in the own failure domain that are
// alive or have not been heard yet: after a start, one round through a large domain takes
// seconds.
func (m *Mesh) AliveDomainPeers(now time.Duration) []netip.AddrPort {
	var out []netip.AddrPort
	for _, p := range m.ranked[m.cfg.Self.Domain] {
		if p.ID != m.cfg.Self.ID && (!p.heard || p.alive(now, m.aliveTime())) {
			out = append(out, p.Address)
		}
	}
	return out
}

// AliveDomainMembers returns the peers in the own failure domain that are alive.
func (m *Mesh) AliveDomainMembers(now time.Duration) []Peer {
	var out []Peer
	for _, p := range m.ranked[m.cfg.Self.Domain] {
		if p.ID != m.cfg.Self.ID && p.alive(now, m.aliveTime()) {
			out = append(out, p.status.Peer)
		}
	}
	return out
}

// SilentDomainMembers returns the IDs of the members of the own failure domain that have not been
// heard for the given time.
func (m *Mesh) SilentDomainMembers(now, silence time.Duration) []string {
	var out []string
	for _, p := range m.ranked[m.cfg.Self.Domain] {
		if p.ID != m.cfg.Self.ID && now-p.heardAt >= silence {
			out = append(out, p.ID)
		}
	}
	return out
}

// ForeignPeers returns the addresses in other failure domains that a delegate sends to.
func (m *Mesh) ForeignPeers(now time.Duration) []netip.AddrPort {
	var out []netip.AddrPort
	for domain, members := range m.ranked {
		if domain == m.cfg.Self.Domain {
			continue
		}
		n := 0
		for _, p := range members {
			if n < foreignDomainRecipients && p.alive(now, m.aliveTime()) {
				out, n = append(out, p.Address), n+1
			}
		}
		for _, p := range members {
			if n < foreignDomainRecipients && !p.alive(now, m.aliveTime()) && p.allowSend(now, m.aliveTime()) {
				out, n = append(out, p.Address), n+1
			}
		}
	}
	return out
}

// ForeignDomains returns the other failure domains, sorted.
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

// allowSend reports whether a message may be sent to the member now and, if so, records it as
// sent. Members that are not alive get a message once per retryInterval.
func (m *member) allowSend(now, within time.Duration) bool {
	if !m.alive(now, within) && m.sent && now-m.sentAt < retryInterval {
		return false
	}
	m.sentAt, m.sent = now, true
	return true
}
