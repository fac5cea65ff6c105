package membership

import (
	"slices"
	"time"

	"github.com/monsoonthread/monsoonthread/peer/peerpb"
)

// Kinds of Membership messages.
const (
	kindPing        uint32 = 1 + iota // asks for an ack; may carry the digest of the whole state
	kindAck                           // answers a ping; Target is set when it is relayed
	kindPingRequest                   // asks to ping Target on behalf of the sender
	kindDigest                        // digests of all domains, sent when the digest in a ping differs
	kindPull                          // asks for the members of the named domains
	kindSync                          // answers a pull: members of a domain as known to the sender
	kindDomain                        // heartbeat between delegates: digest of the own domain, known digest of the receiver's
	kindDomainDelta                   // changes of the sender's domain since the known digest
	kindDomainFull                    // all members of the sender's domain
	kindNotice                        // only updates
)

// pingsPerSuspicion is the number of pings that each observer sends to a suspect. With 2
// pings instead of 4, a domain of 30 instances at 20% packet loss had 7 false death
// declarations in 600 s.
const pingsPerSuspicion = 4

// probe is a ping that awaits an answer.
type probe struct {
	seq        uint64
	target     *member
	sent       time.Time
	indirectAt time.Time
	deadline   time.Time
	indirect   bool
}

// relay is a ping that was sent on behalf of another instance.
type relay struct {
	seq, originSeq uint64
	origin         *member
	until          time.Time
}

// newMessage returns a message to another instance. It contains the entry of this instance
// until the receiver has acknowledged it, the receiver's own state if that is suspect or
// dead, so that the receiver can refute it, and pending updates if the receiver is in the
// own domain.
func (m *Machine) newMessage(kind uint32, seq uint64, to *member) *peerpb.Membership {
	msg := &peerpb.Membership{Kind: kind, Seq: seq, ConfigVersion: m.configVersion}
	if to.ackedIncarnation != m.self.Incarnation {
		msg.Updates = append(msg.Updates, m.self.encode(true, true))
	}
	if to.rank != rankAlive {
		msg.Updates = append(msg.Updates, to.encode(false, false))
	}
	if to.domain == m.ownDomain {
		msg.Updates = m.appendUpdates(msg.Updates)
	}
	return msg
}

func (m *Machine) ping(now time.Time, to *member) {
	m.seq++
	msg := m.newMessage(kindPing, m.seq, to)
	// The digest is sent only to live members, so that an unanswered ping does not delay the
	// comparison until the next syncInterval.
	if to.rank == rankAlive && (!m.synced || !now.Before(m.nextSync)) {
		m.nextSync = now.Add(syncInterval)
		msg.Domains = []*peerpb.DomainSummary{{Version: m.stateDigest()}}
	}
	m.send(to.Instance, msg)
}

func (m *Machine) tickProbes(now time.Time) {
	m.checkProbes(now)
	m.relays = slices.DeleteFunc(m.relays, func(r relay) bool { return now.After(r.until) })
	if !now.Before(m.nextDeadProbe) {
		m.nextDeadProbe = now.Add(deadProbeInterval)
		m.pingDead(now)
	}
	if now.Before(m.nextProbe) {
		return
	}
	// A late call must not cause a burst of probes.
	m.nextProbe = m.nextProbe.Add(m.cfg.ProbeInterval)
	if m.nextProbe.Before(now) {
		m.nextProbe = now.Add(m.cfg.ProbeInterval)
	}
	if target := m.nextProbeTarget(); target != nil {
		m.ping(now, target)
		m.probes = append(m.probes, m.newProbe(now, target))
	}
	m.pingCandidate(now)
}

// newProbe returns a probe that awaits the answer to the last ping.
func (m *Machine) newProbe(now time.Time, target *member) probe {
	return probe{seq: m.seq, target: target, sent: now,
		indirectAt: now.Add(m.cfg.ProbeTimeout), deadline: now.Add(2 * m.cfg.ProbeTimeout)}
}

// checkProbes escalates unanswered probes to indirect probes and then to suspicions.
func (m *Machine) checkProbes(now time.Time) {
	for i := range m.probes {
		p := &m.probes[i]
		if m.answered(p) {
			continue
		}
		if !p.indirect && !now.Before(p.indirectAt) {
			p.indirect = true
			m.probeIndirectly(p)
		}
		if !now.Before(p.deadline) && p.target.rank == rankAlive {
			m.addDiagnostic("membership_suspect", Field{"instance", p.target.ID})
			m.markSuspect(now, p.target)
		}
	}
	m.probes = slices.DeleteFunc(m.probes, func(p probe) bool { return m.answered(&p) || !now.Before(p.deadline) })
}

// answered reports whether a probe is complete. Any message from the target counts.
func (m *Machine) answered(p *probe) bool {
	return p.target.removed || p.target.rank == rankDead || !p.target.lastHeard.Before(p.sent)
}

func (m *Machine) probeIndirectly(p *probe) {
	// The target may have restarted or removed this instance from its state, so the own
	// entry is sent again.
	p.target.ackedIncarnation = 0
	m.send(p.target.Instance, m.newMessage(kindPing, p.seq, p.target))
	for _, via := range m.randomPeers(m.cfg.IndirectProbes, p.target) {
		msg := m.newMessage(kindPingRequest, p.seq, via)
		msg.Target = p.target.ID
		m.send(via.Instance, msg)
	}
}

// nextProbeTarget iterates over all members in shuffled rounds, so that the time until each
// member is probed is bounded.
func (m *Machine) nextProbeTarget() *member {
	for range 2 {
		for len(m.probeOrder) > 0 {
			mb := m.probeOrder[len(m.probeOrder)-1]
			m.probeOrder = m.probeOrder[:len(m.probeOrder)-1]
			if !mb.removed && mb.rank != rankDead {
				return mb
			}
		}
		m.probeOrder = m.randomPeers(len(m.ownDomain.members), nil)
	}
	return nil
}

func (m *Machine) pingDead(now time.Time) {
	var dead []*member
	for _, mb := range m.ownDomain.members {
		if mb.rank == rankDead && !mb.leaving {
			dead = append(dead, mb)
		}
	}
	if len(dead) > 0 {
		mb := dead[m.rng.Intn(len(dead))]
		mb.ackedIncarnation = 0
		m.ping(now, mb)
	}
}

func (m *Machine) receivePing(now time.Time, sender *member, msg *peerpb.Membership) {
	m.send(sender.Instance, m.newMessage(kindAck, msg.GetSeq(), sender))
	if d := msg.GetDomains(); len(d) == 1 && d[0].GetName() == "" {
		if d[0].GetVersion() == m.stateDigest() {
			m.synced = true
		} else {
			m.sendDigest(now, sender)
			m.scheduleResync()
		}
	}
}

func (m *Machine) receiveAck(now time.Time, sender *member, msg *peerpb.Membership) {
	if t := msg.GetTarget(); t != "" {
		if mb := m.byID[t]; mb != nil {
			mb.lastHeard = now
		}
		return
	}
	// Pings sent after the last change of the own incarnation contained it.
	if msg.GetSeq() > m.incarnationSeq && msg.GetSeq() <= m.seq {
		sender.ackedIncarnation = m.self.Incarnation
		if m.fenced {
			m.rejoin()
		}
	}
	for _, r := range m.relays {
		if r.seq == msg.GetSeq() && !r.origin.removed {
			reply := m.newMessage(kindAck, r.originSeq, r.origin)
			reply.Target = sender.ID
			m.send(r.origin.Instance, reply)
		}
	}
	m.relays = slices.DeleteFunc(m.relays, func(r relay) bool { return r.seq == msg.GetSeq() })
}

func (m *Machine) receivePingRequest(now time.Time, sender *member, msg *peerpb.Membership) {
	target := m.byID[msg.GetTarget()]
	if target == nil {
		return
	}
	m.ping(now, target)
	m.relays = append(m.relays, relay{seq: m.seq, originSeq: msg.GetSeq(), origin: sender, until: now.Add(m.cfg.ProbeTimeout)})
}

// markSuspect marks a member as suspect and pings it, so that it can refute the suspicion
// and this instance checks the member itself.
func (m *Machine) markSuspect(now time.Time, mb *member) {
	mb.rank, mb.suspectAt, mb.suspectPings = rankSuspect, now, 1
	mb.domain.dirty, m.viewChanged = true, true
	m.enqueue(mb, false, false)
	m.ping(now, mb)
}

// tickMembers checks suspicions and removes dead members after DeadRetention.
func (m *Machine) tickMembers(now time.Time) {
	for _, mb := range m.ownDomain.members {
		if mb.rank == rankSuspect {
			m.checkSuspicion(now, mb)
		}
	}
	if now.Before(m.nextDeadRemoval) {
		return
	}
	m.nextDeadRemoval = now.Add(time.Second)
	for _, d := range m.domains {
		for i := len(d.members) - 1; i >= 0; i-- {
			mb := d.members[i]
			if mb.rank == rankDead && now.Sub(mb.deadAt) >= m.cfg.DeadRetention {
				m.removeMember(mb)
				if d == m.ownDomain && !mb.leaving {
					m.addCandidate(mb.Instance, now.Add(removedMemberRetention))
				}
			}
		}
	}
}

// checkSuspicion declares a suspect dead after the suspicion timeout. Until then every
// observer pings it directly, because the answer contains the refutation.
func (m *Machine) checkSuspicion(now time.Time, mb *member) {
	elapsed := now.Sub(mb.suspectAt)
	switch {
	case elapsed >= m.cfg.SuspicionTimeout:
		m.addDiagnostic("membership_dead", Field{"instance", mb.ID})
		m.markDead(now, mb)
		m.enqueue(mb, false, false)
	case elapsed*pingsPerSuspicion >= m.cfg.SuspicionTimeout*time.Duration(mb.suspectPings):
		mb.suspectPings++
		m.ping(now, mb)
	}
}

func (m *Machine) markDead(now time.Time, mb *member) {
	mb.rank, mb.deadAt = rankDead, now
	m.recordChange(mb)
}
