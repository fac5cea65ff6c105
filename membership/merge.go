package membership

import (
	"time"

	"github.com/monsoonthread/monsoonthread/peer/peerpb"
)

// source tells where an update comes from.
type source uint8

const (
	fromGossip source = iota // piggybacked by an instance of the own domain, or about the sender
	fromSync                 // whole state of a peer, which may be old
	fromDomain               // summary by a delegate of the member's domain
)

// maxNameLen bounds IDs, domain names and addresses that peers can make a machine store.
const maxNameLen = 255

// maxIncarnation leaves room for counting up; milliseconds of wall time are below 1<<48.
const maxIncarnation = 1 << 62

// merge applies an update. For one incarnation the worst rank wins, and a higher
// incarnation replaces everything, so that the order of updates does not matter.
func (m *Machine) merge(now time.Time, u *peerpb.Member, src source) {
	if len(u.GetId()) > maxNameLen || len(u.GetDomain()) > maxNameLen || len(u.GetPeerAddress()) > maxNameLen ||
		u.GetIncarnation() > maxIncarnation {
		return
	}
	switch u.GetId() {
	case "":
		m.mergeRecord(now, u)
		return
	case m.self.ID:
		m.aboutSelf(now, u)
		return
	}
	mb := m.byID[u.GetId()]
	if mb != nil && m.moved(mb, u) {
		m.remove(mb)
		mb = nil
	}
	r := wireRankOf(u)
	if mb == nil {
		if r == rankDead || u.GetPeerAddress() == "" || u.GetIncarnation() == 0 {
			return
		}
		mb = m.addFrom(u)
		if mb == nil {
			return
		}
		m.pass(mb, true, src)
	}
	m.mergeInto(now, mb, u, r, src)
}

func wireRankOf(u *peerpb.Member) rank { return min(rank(u.GetState()&wireRank), rankDead) }

// moved reports that an instance was started again in another domain.
func (m *Machine) moved(mb *member, u *peerpb.Member) bool {
	return u.GetPeerAddress() != "" && wireRankOf(u) != rankDead && u.GetIncarnation() > mb.Incarnation && m.domainOf(u) != mb.d.name
}

// domainOf returns the domain of an update, which is left out for the own domain.
func (m *Machine) domainOf(u *peerpb.Member) string {
	if u.GetDomain() == "" {
		return m.own.name
	}
	return u.GetDomain()
}

func (m *Machine) addFrom(u *peerpb.Member) *member {
	m.dropCandidate(u.GetId())
	mb := m.add(Instance{ID: u.GetId(), Domain: m.domainOf(u), PeerAddress: u.GetPeerAddress(),
		Weight: u.GetWeight(), Incarnation: u.GetIncarnation()})
	if mb != nil && u.GetState()&wireOldAddress == 0 {
		mb.addressOf = mb.Incarnation
	}
	return mb
}

func (m *Machine) mergeInto(now time.Time, mb *member, u *peerpb.Member, r rank, src source) {
	if u.GetIncarnation() < mb.Incarnation {
		return
	}
	changed := false
	if u.GetIncarnation() > mb.Incarnation {
		mb.Incarnation = u.GetIncarnation()
		mb.rank, mb.leaving, mb.listedLeaving = rankAlive, false, false
		mb.config, mb.acked = u.GetConfigVersion(), 0
		changed = true
	}
	mb.missing = time.Time{}
	changed = mb.mergeAddress(u) || changed
	if u.GetState()&wireLeaving != 0 && !mb.leaving {
		mb.leaving = true
		changed = true
	}
	if u.GetConfigVersion() > mb.config {
		mb.config = u.GetConfigVersion()
		m.refresh = true
		if mb.d == m.own && !changed && src == fromGossip {
			m.enqueue(mb, false, true)
		}
	}
	switch {
	case r == rankDead && mb.rank != rankDead && src == fromSync && mb.d == m.own:
		// A peer from the other side of a partition that has healed holds the members of
		// this side for dead. They are told, and get the time to refute it.
		m.notifyDead(mb)
		if mb.rank != rankSuspect {
			m.suspect(now, mb)
		}
	case r != rankDead && mb.rank == rankDead && src == fromDomain:
		// A part of its domain that has died since had declared it dead.
		m.notifyDead(mb)
	case r == rankDead && mb.rank != rankDead:
		m.bury(now, mb)
		changed = true
	case r == rankSuspect && mb.rank == rankAlive && mb.d == m.own:
		m.suspect(now, mb)
	}
	if !changed && r == mb.rank && u.GetConfigVersion() == mb.config && src == fromGossip {
		mb.alreadyKnown()
	}
	if changed {
		m.touch(mb)
		m.pass(mb, u.GetPeerAddress() != "", src)
	}
}

// notifyDead tells an instance that its incarnation was declared dead.
func (m *Machine) notifyDead(mb *member) {
	m.send(mb.Instance, &peerpb.Membership{Kind: kindNotice, ConfigVersion: m.config,
		Updates: []*peerpb.Member{{Id: mb.ID, Incarnation: mb.Incarnation, State: uint32(rankDead)}}})
}

// mergeAddress adopts an address. Two processes that claim the same incarnation are
// told apart by the higher address, so that all views choose the same one.
func (mb *member) mergeAddress(u *peerpb.Member) bool {
	addr := u.GetPeerAddress()
	if addr == "" || u.GetState()&wireOldAddress != 0 {
		return false
	}
	if mb.addressOf == mb.Incarnation && addr <= mb.PeerAddress {
		return false
	}
	changed := addr != mb.PeerAddress || u.GetWeight() != mb.Weight
	mb.PeerAddress, mb.Weight, mb.addressOf = addr, u.GetWeight(), mb.Incarnation
	return changed
}

// pass queues a change for the other members of the own domain. What a peer's whole
// state contains is on its way to them already.
func (m *Machine) pass(mb *member, full bool, src source) {
	if src != fromSync && (mb.d == m.own || len(m.queue) < maxRemoteQueue) {
		m.enqueue(mb, full, false)
	}
}

// aboutSelf handles what others say about this instance.
func (m *Machine) aboutSelf(now time.Time, u *peerpb.Member) {
	inc, r := u.GetIncarnation(), wireRankOf(u)
	addr := u.GetPeerAddress()
	if u.GetState()&wireOldAddress != 0 {
		addr = ""
	}
	other := addr != "" && addr != m.self.PeerAddress
	switch {
	case inc > m.self.Incarnation:
		m.foreignIncarnation(now, u, addr, r)
	case inc == m.self.Incarnation && other:
		if addr > m.self.PeerAddress {
			m.yield(now, u)
		} else {
			m.enqueue(m.self, true, false)
		}
	case inc == m.self.Incarnation && (r == rankSuspect || m.fenced && r == rankDead):
		m.raise(inc + 1)
	case r == rankDead && inc >= m.rejoined && !m.fenced && m.rival == nil:
		// Others have taken over what this instance owns, even if it has refuted a
		// suspicion since.
		m.diagnose("membership-declared-dead")
		m.raise(m.self.Incarnation + 1)
		m.rejoin()
	}
}
