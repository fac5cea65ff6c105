package membership

import (
	"strconv"
	"time"

	"github.com/monsoonthread/monsoonthread/peer/peerpb"
)

// duplicateProcess is another process with the same ID that was started later. While it
// answers, this process stays fenced and sends no probes or heartbeats to other instances.
type duplicateProcess struct {
	Instance
	lastHeard time.Time
	nextPing  time.Time
}

// handleForeignIncarnation handles a higher incarnation of the own ID that this process did
// not issue. It belongs to an earlier run, if the wall clock was set back before the
// restart, or to another live process.
func (m *Machine) handleForeignIncarnation(now time.Time, u *peerpb.Member, addr string, r rank) {
	switch {
	case r == rankDead || addr == m.self.PeerAddress:
		// No other process can listen on the own address.
		m.reclaimID(u.GetIncarnation() + 1)
	case addr != "":
		m.deferToDuplicate(now, u)
	default:
		// The own entry is sent again; peers answer it with the address of the other process.
		for _, mb := range m.ownDomain.members {
			mb.ackedIncarnation = 0
		}
	}
}

// deferToDuplicate keeps this process fenced while the other process with its ID answers.
func (m *Machine) deferToDuplicate(now time.Time, u *peerpb.Member) {
	if m.duplicate == nil {
		m.addDiagnostic("membership_duplicate_id", Field{"address", u.GetPeerAddress()},
			Field{"incarnation", strconv.FormatUint(u.GetIncarnation(), 10)})
		m.duplicate = &duplicateProcess{lastHeard: now}
		m.probes = m.probes[:0]
	}
	if u.GetIncarnation() >= m.duplicate.Incarnation {
		m.duplicate.Instance = Instance{ID: m.self.ID, Domain: m.ownDomain.name, PeerAddress: u.GetPeerAddress(),
			Weight: u.GetWeight(), Incarnation: u.GetIncarnation()}
	}
}

func (m *Machine) reclaimID(incarnation uint64) {
	m.duplicate = nil
	m.raiseIncarnation(incarnation)
	m.rejoin()
}

// tickDuplicate pings the other process and reclaims the ID when it does not answer.
func (m *Machine) tickDuplicate(now time.Time) {
	if now.Sub(m.duplicate.lastHeard) > m.cfg.SuspicionTimeout+2*m.cfg.ProbeTimeout {
		m.reclaimID(m.duplicate.Incarnation + 1)
		return
	}
	if !now.Before(m.duplicate.nextPing) {
		m.duplicate.nextPing = now.Add(m.cfg.ProbeInterval)
		m.sendOwnEntry(m.duplicate.Instance, kindPing)
	}
}

func (m *Machine) sendOwnEntry(to Instance, kind uint32) {
	m.seq++
	m.send(to, &peerpb.Membership{Kind: kind, Seq: m.seq, Updates: []*peerpb.Member{m.self.encode(true, true)}})
}

// receiveFromDuplicate handles a message from another process with the own ID.
func (m *Machine) receiveFromDuplicate(now time.Time, msg *peerpb.Membership) {
	u := findUpdate(msg, m.self.ID)
	if u == nil || u.GetPeerAddress() == m.self.PeerAddress {
		return
	}
	if m.duplicate != nil && msg.GetKind() == kindAck {
		m.duplicate.lastHeard = now
	}
	m.mergeSelf(now, u)
	if m.duplicate == nil && msg.GetKind() == kindPing {
		m.sendOwnEntry(Instance{ID: m.self.ID, Domain: m.ownDomain.name, PeerAddress: u.GetPeerAddress()}, kindAck)
	}
}

func findUpdate(msg *peerpb.Membership, id string) *peerpb.Member {
	for _, u := range msg.GetUpdates() {
		if u.GetId() == id && u.GetPeerAddress() != "" && withinLimits(u) {
			return u
		}
	}
	return nil
}

// answerStaleSender notifies the sender if a newer process or run uses its ID. The answer is
// sent to the address in the message, which may differ from the one in the view.
func (m *Machine) answerStaleSender(from string, msg *peerpb.Membership) bool {
	mb, u := m.byID[from], findUpdate(msg, from)
	if mb == nil || u == nil {
		return false
	}
	sameRun := u.GetIncarnation() == mb.Incarnation &&
		(u.GetPeerAddress() >= mb.PeerAddress || mb.addressIncarnation != mb.Incarnation)
	if u.GetIncarnation() > mb.Incarnation || sameRun {
		return false
	}
	m.send(Instance{ID: from, Domain: mb.domain.name, PeerAddress: u.GetPeerAddress()},
		&peerpb.Membership{Kind: kindAck, Updates: []*peerpb.Member{mb.encode(true, true)}})
	return true
}
