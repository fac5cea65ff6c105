package membership

import (
	"time"

	"github.com/monsoonthread/monsoonthread/peer/peerpb"
)

// source identifies the origin of an update.
type source uint8

const (
	fromGossip source = iota // piggybacked by an instance of the own domain, or the sender's own entry
	fromSync                 // whole state of a peer, which may be out of date
	fromDomain               // summary from a delegate of the member's domain
)

// maxNameLen limits the length in bytes of IDs, domain names and addresses from peers.
const maxNameLen = 255

// maxIncarnation leaves room for increments. Milliseconds of wall time are below 1<<48.
const maxIncarnation = 1 << 62

// merge applies an update. Within one incarnation the highest rank wins, and a higher
// incarnation replaces all state, so that the order of updates does not matter.
func (m *Machine) merge(now time.Time, u *peerpb.Member, src source) {
	if !withinLimits(u) {
		return
	}
	switch u.GetId() {
	case "":
		m.mergeReachability(now, u)
		return
	case m.self.ID:
		m.mergeSelf(now, u)
		return
	}
	mb := m.byID[u.GetId()]
	if mb != nil && m.changedDomain(mb, u) {
		m.removeMember(mb)
		mb = nil
	}
	r := rankOf(u)
	if mb == nil {
		if r == rankDead || u.GetPeerAddress() == "" || u.GetIncarnation() == 0 {
			return
		}
		mb = m.addFromUpdate(u)
		if mb == nil {
			return
		}
		m.propagate(mb, true, src)
	}
	m.mergeMember(now, mb, u, r, src)
}

func withinLimits(u *peerpb.Member) bool {
	return len(u.GetId()) <= maxNameLen && len(u.GetDomain()) <= maxNameLen &&
		len(u.GetPeerAddress()) <= maxNameLen && u.GetIncarnation() <= maxIncarnation
}

func rankOf(u *peerpb.Member) rank { return min(rank(u.GetState()&stateRankMask), rankDead) }

// changedDomain reports whether an instance was restarted in another domain.
func (m *Machine) changedDomain(mb *member, u *peerpb.Member) bool {
	return u.GetPeerAddress() != "" && rankOf(u) != rankDead && u.GetIncarnation() > mb.Incarnation && m.domainOf(u) != mb.domain.name
}

// domainOf returns the domain of an update. The field is empty for the own domain.
func (m *Machine) domainOf(u *peerpb.Member) string {
	if u.GetDomain() == "" {
		return m.ownDomain.name
	}
	return u.GetDomain()
}

func (m *Machine) addFromUpdate(u *peerpb.Member) *member {
	m.removeCandidate(u.GetId())
	mb := m.addMember(Instance{ID: u.GetId(), Domain: m.domainOf(u), PeerAddress: u.GetPeerAddress(),
		Weight: u.GetWeight(), Incarnation: u.GetIncarnation()})
	if mb != nil && u.GetState()&stateOldAddress == 0 {
		mb.addressIncarnation = mb.Incarnation
	}
	return mb
}

func (m *Machine) mergeMember(now time.Time, mb *member, u *peerpb.Member, r rank, src source) {
	if u.GetIncarnation() < mb.Incarnation {
		return
	}
	changed := false
	if u.GetIncarnation() > mb.Incarnation {
		mb.Incarnation = u.GetIncarnation()
		mb.rank, mb.leaving, mb.listedLeaving = rankAlive, false, false
		mb.configVersion, mb.ackedIncarnation = u.GetConfigVersion(), 0
		changed = true
	}
	mb.missingSince = time.Time{}
	changed = mb.mergeAddress(u) || changed
	if u.GetState()&stateLeaving != 0 && !mb.leaving {
		mb.leaving = true
		changed = true
	}
	if u.GetConfigVersion() > mb.configVersion {
		mb.configVersion = u.GetConfigVersion()
		m.configChanged = true
		if mb.domain == m.ownDomain && !changed && src == fromGossip {
			m.enqueue(mb, false, true)
		}
	}
	switch {
	case r == rankDead && mb.rank != rankDead && src == fromSync && mb.domain == m.ownDomain:
		// After a partition, a peer from the other side still considers the members of
		// this side dead. They are notified and get the suspicion timeout to refute it.
		m.notifyDeclaredDead(mb)
		if mb.rank != rankSuspect {
			m.markSuspect(now, mb)
		}
	case r != rankDead && mb.rank == rankDead && src == fromDomain:
		// It was declared dead by a part of its domain that has since died.
		m.notifyDeclaredDead(mb)
	case r == rankDead && mb.rank != rankDead:
		m.markDead(now, mb)
		changed = true
	case r == rankSuspect && mb.rank == rankAlive && mb.domain == m.ownDomain:
		m.markSuspect(now, mb)
	}
	if !changed && r == mb.rank && u.GetConfigVersion() == mb.configVersion && src == fromGossip {
		mb.creditDuplicate()
	}
	if changed {
		m.recordChange(mb)
		m.propagate(mb, u.GetPeerAddress() != "", src)
	}
}

// notifyDeclaredDead notifies an instance that its incarnation was declared dead.
func (m *Machine) notifyDeclaredDead(mb *member) {
	m.send(mb.Instance, &peerpb.Membership{Kind: kindNotice, ConfigVersion: m.configVersion,
		Updates: []*peerpb.Member{{Id: mb.ID, Incarnation: mb.Incarnation, State: uint32(rankDead)}}})
}

// mergeAddress adopts a newer address. If two processes claim the same incarnation, the
// higher address wins, so that all views choose the same process.
func (mb *member) mergeAddress(u *peerpb.Member) bool {
	addr := u.GetPeerAddress()
	if addr == "" || u.GetState()&stateOldAddress != 0 {
		return false
	}
	if mb.addressIncarnation == mb.Incarnation && addr <= mb.PeerAddress {
		return false
	}
	changed := addr != mb.PeerAddress || u.GetWeight() != mb.Weight
	mb.PeerAddress, mb.Weight, mb.addressIncarnation = addr, u.GetWeight(), mb.Incarnation
	return changed
}

// propagate queues a change for the other members of the own domain. Changes learned from
// the whole state of a peer are skipped, because they already spread in the domain.
func (m *Machine) propagate(mb *member, withAddress bool, src source) {
	if src != fromSync && (mb.domain == m.ownDomain || len(m.gossipQueue) < maxQueueForRemoteUpdates) {
		m.enqueue(mb, withAddress, false)
	}
}

// mergeSelf handles an update about this instance.
func (m *Machine) mergeSelf(now time.Time, u *peerpb.Member) {
	inc, r := u.GetIncarnation(), rankOf(u)
	addr := u.GetPeerAddress()
	if u.GetState()&stateOldAddress != 0 {
		addr = ""
	}
	otherAddress := addr != "" && addr != m.self.PeerAddress
	switch {
	case inc > m.self.Incarnation:
		m.handleForeignIncarnation(now, u, addr, r)
	case inc == m.self.Incarnation && otherAddress:
		if addr > m.self.PeerAddress {
			m.deferToDuplicate(now, u)
		} else {
			m.enqueue(m.self, true, false)
		}
	case inc == m.self.Incarnation && (r == rankSuspect || m.fenced && r == rankDead):
		m.raiseIncarnation(inc + 1)
	case r == rankDead && inc >= m.rejoinedIncarnation && !m.fenced && m.duplicate == nil:
		// Other instances have taken over what this instance owned, even if it has
		// refuted a suspicion since.
		m.addDiagnostic("membership_declared_dead")
		m.raiseIncarnation(m.self.Incarnation + 1)
		m.rejoin()
	}
}
