package mesh

import (
	"cmp"
	"slices"
	"time"

	"github.com/monsoonthread/monsoonthread/placement"
)

// Only one instance, the owner, sends opening packets to a cold server, so that a limit over all
// instances holds without messages. The owner is the first in rendezvous order of the listed
// instances of the server's failure domain, alive or not: all instances with the same records agree
// on it, also while they cannot reach each other.
//
// An instance counts itself only if its own record is listed, as the others do. It is registered
// by another one up to seconds after its start (or by itself after 15 s), and owns nothing until it
// has seen that. An instance that knows no listed instance therefore owns nothing either.
//
// An instance that was cut off may miss that another one has become the owner. It therefore owns
// nothing once its records do not count as current, after MaxRecordAge, which is at most 2.1 s.
const (
	// ownershipDelay is how long an instance that becomes an owner waits. By then, the previous
	// owner knows the change or its records are too old: it is longer than MaxRecordAge.
	ownershipDelay = 3 * time.Second
)

// coldKey distinguishes the order of owners from the other uses of package placement.
var coldKey = placement.Key("cold")

// OwnsColdStart reports whether this instance sends the opening packets to the server with the
// cookie while the server is cold.
func (m *Mesh) OwnsColdStart(now time.Duration, cookie uint32) bool {
	if !m.selfListed || now-m.gainedAt < ownershipDelay || !m.Fresh(now) {
		return false
	}
	first := placement.Pick(coldKey^uint64(cookie), m.owners)
	return m.owners[first].ID == m.cfg.Self.ID
}

// List records that the directory contains an instance.
func (m *Mesh) List(now time.Duration, p Peer) {
	if p.ID == m.cfg.Self.ID {
		m.setSelfListed(now, p.Domain == m.cfg.Self.Domain)
		return
	}
	m.AddPeer(p)
	known := m.members[p.ID]
	if known == nil || known.listed && known.listedDomain == p.Domain {
		return
	}
	if known.listed && known.listedDomain == m.cfg.Self.Domain {
		m.gainedAt = now // its servers have new owners
	}
	known.listed, known.listedDomain = true, p.Domain
	m.orderOwners()
}

// Unlist records that an instance's record has vanished. The instance stays a member while it
// sends messages: a lease may expire while its holder is alive.
func (m *Mesh) Unlist(now time.Duration, id string) {
	if id == m.cfg.Self.ID {
		m.setSelfListed(now, false)
		return
	}
	p := m.members[id]
	if p == nil || !p.listed {
		return
	}
	if p.listedDomain == m.cfg.Self.Domain {
		m.gainedAt = now
	}
	p.listed = false
	m.orderOwners()
}

// setSelfListed records whether the directory contains this instance in its failure domain.
func (m *Mesh) setSelfListed(now time.Duration, listed bool) {
	if listed == m.selfListed {
		return
	}
	m.selfListed, m.gainedAt = listed, now
	m.orderOwners()
}

// orderOwners updates the candidates for the owner of a cold server.
func (m *Mesh) orderOwners() {
	m.owners = m.owners[:0]
	if m.selfListed {
		m.owners = append(m.owners, placement.NewMember(m.cfg.Self.ID, 1))
	}
	for id, p := range m.members {
		if p.listed && p.listedDomain == m.cfg.Self.Domain {
			m.owners = append(m.owners, placement.NewMember(id, 1))
		}
	}
	// Equal scores are decided by the position.
	slices.SortFunc(m.owners, func(a, b placement.Member) int { return cmp.Compare(a.ID, b.ID) })
}
