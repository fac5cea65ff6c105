package membership

import (
	"strconv"
	"time"

	"github.com/monsoonthread/monsoonthread/peer/peerpb"
)

// rival is another process with the own ID that was started later. This process stays
// fenced and silent while the other one answers.
type rival struct {
	Instance
	seen time.Time
	next time.Time
}

// foreignIncarnation handles a higher own incarnation that this process did not issue:
// a run before a restart whose wall clock was set back, or another live process.
func (m *Machine) foreignIncarnation(now time.Time, u *peerpb.Member, addr string, r rank) {
	switch {
	case r == rankDead || addr == m.self.PeerAddress:
		// No other process can listen on the own address.
		m.takeOver(u.GetIncarnation() + 1)
	case addr != "":
		m.yield(now, u)
	default:
		// Peers that see the own entry answer with the address of the other process.
		for _, mb := range m.own.members {
			mb.acked = 0
		}
	}
}

func (m *Machine) yield(now time.Time, u *peerpb.Member) {
	if m.rival == nil {
		m.diagnose("membership_duplicate_id", Field{"address", u.GetPeerAddress()},
			Field{"incarnation", strconv.FormatUint(u.GetIncarnation(), 10)})
		m.rival = &rival{seen: now}
		m.probes = m.probes[:0]
	}
	if u.GetIncarnation() >= m.rival.Incarnation {
		m.rival.Instance = Instance{ID: m.self.ID, Domain: m.own.name, PeerAddress: u.GetPeerAddress(),
			Weight: u.GetWeight(), Incarnation: u.GetIncarnation()}
	}
}

func (m *Machine) takeOver(incarnation uint64) {
	m.rival = nil
	m.raise(incarnation)
	m.rejoin()
}

// tickRival pings the other process and takes the ID back when it does not answer.
func (m *Machine) tickRival(now time.Time) {
	if now.Sub(m.rival.seen) > m.cfg.SuspicionTimeout+2*m.cfg.ProbeTimeout {
		m.takeOver(m.rival.Incarnation + 1)
		return
	}
	if !now.Before(m.rival.next) {
		m.rival.next = now.Add(m.cfg.ProbeInterval)
		m.sendSelf(m.rival.Instance, kindPing)
	}
}

func (m *Machine) sendSelf(to Instance, kind uint32) {
	m.seq++
	m.send(to, &peerpb.Membership{Kind: kind, Seq: m.seq, Updates: []*peerpb.Member{m.self.wire(true, true)}})
}

// receiveRival handles a message of a process with the own ID.
func (m *Machine) receiveRival(now time.Time, msg *peerpb.Membership) {
	u := entryOf(msg, m.self.ID)
	if u == nil || u.GetPeerAddress() == m.self.PeerAddress {
		return
	}
	if m.rival != nil && msg.GetKind() == kindAck {
		m.rival.seen = now
	}
	m.aboutSelf(now, u)
	if m.rival == nil && msg.GetKind() == kindPing {
		m.sendSelf(Instance{ID: m.self.ID, Domain: m.own.name, PeerAddress: u.GetPeerAddress()}, kindAck)
	}
}

func entryOf(msg *peerpb.Membership, id string) *peerpb.Member {
	for _, u := range msg.GetUpdates() {
		if u.GetId() == id && u.GetPeerAddress() != "" && plausible(u) {
			return u
		}
	}
	return nil
}

// answerStale tells the sender when a newer process or run has its ID. The answer goes
// to the address in the message, which is not the one in the view.
func (m *Machine) answerStale(from string, msg *peerpb.Membership) bool {
	mb, u := m.byID[from], entryOf(msg, from)
	if mb == nil || u == nil {
		return false
	}
	sameRun := u.GetIncarnation() == mb.Incarnation &&
		(u.GetPeerAddress() >= mb.PeerAddress || mb.addressOf != mb.Incarnation)
	if u.GetIncarnation() > mb.Incarnation || sameRun {
		return false
	}
	m.send(Instance{ID: from, Domain: mb.d.name, PeerAddress: u.GetPeerAddress()},
		&peerpb.Membership{Kind: kindAck, Updates: []*peerpb.Member{mb.wire(true, true)}})
	return true
}
