package membership

import (
	"slices"
	"time"

	"github.com/monsoonthread/monsoonthread/peer/peerpb"
)

// Kinds of Membership messages.
const (
	kindPing        uint32 = 1 + iota // asks for an ack; may carry the digest of the whole state
	kindAck                           // answers a ping; Target is set when it is passed on
	kindPingRequest                   // asks to ping Target on behalf of the sender
	kindDigest                        // digests of all domains, sent when those of a ping differ
	kindPull                          // asks for the members of the named domains
	kindSync                          // members of a domain as the sender knows them
	kindDomain                        // heartbeat between delegates: own digest, known digest
	kindDomainDelta                   // changes of the sender's domain since the known digest
	kindDomainFull                    // all members of the sender's domain
	kindNotice                        // only updates
)

// suspectPings is how often each observer pings a suspect. With 2 instead of 4 pings a
// domain of 30 at 20% loss saw 7 false deaths in 600 s.
const suspectPings = 4

// probe is a ping whose answer is awaited.
type probe struct {
	seq        uint64
	target     *member
	sent       time.Time
	indirectAt time.Time
	deadline   time.Time
	indirect   bool
}

// relay is a ping on behalf of another instance.
type relay struct {
	seq, originSeq uint64
	origin         *member
	until          time.Time
}

// message starts a message. It carries the own entry until the receiver has
// acknowledged it, what is held against the receiver so that it can refute that, and
// pending updates.
func (m *Machine) message(kind uint32, seq uint64, to *member) *peerpb.Membership {
	msg := &peerpb.Membership{Kind: kind, Seq: seq, ConfigVersion: m.config}
	if to.acked != m.self.Incarnation {
		msg.Updates = append(msg.Updates, m.self.wire(true, true))
	}
	if to.rank != rankAlive {
		msg.Updates = append(msg.Updates, to.wire(false, false))
	}
	if to.d == m.own {
		msg.Updates = m.gossip(msg.Updates)
	}
	return msg
}

func (m *Machine) ping(now time.Time, to *member) {
	m.seq++
	msg := m.message(kindPing, m.seq, to)
	// A ping that may stay unanswered must not use up the turn of the comparison.
	if to.rank == rankAlive && (!m.synced || !now.Before(m.nextSync)) {
		m.nextSync = now.Add(syncInterval)
		msg.Domains = []*peerpb.DomainSummary{{Version: m.combined()}}
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
	// A late call does not cause a burst of probes.
	m.nextProbe = m.nextProbe.Add(m.cfg.ProbeInterval)
	if m.nextProbe.Before(now) {
		m.nextProbe = now.Add(m.cfg.ProbeInterval)
	}
	if target := m.nextTarget(); target != nil {
		m.ping(now, target)
		m.probes = append(m.probes, m.newProbe(now, target))
	}
	m.pingCandidate(now)
}

// newProbe awaits the answer to the last ping.
func (m *Machine) newProbe(now time.Time, target *member) probe {
	return probe{seq: m.seq, target: target, sent: now,
		indirectAt: now.Add(m.cfg.ProbeTimeout), deadline: now.Add(2 * m.cfg.ProbeTimeout)}
}

// checkProbes turns unanswered probes into indirect ones and then into suspicions.
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
			m.diagnose("membership_suspect", Field{"instance", p.target.ID})
			m.suspect(now, p.target)
		}
	}
	m.probes = slices.DeleteFunc(m.probes, func(p probe) bool { return m.answered(&p) || !now.Before(p.deadline) })
}

// answered reports that a probe needs no more attention. Any sign of life counts.
func (m *Machine) answered(p *probe) bool {
	return p.target.gone || p.target.rank == rankDead || !p.target.heard.Before(p.sent)
}

func (m *Machine) probeIndirectly(p *probe) {
	// The target may have restarted or forgotten this instance.
	p.target.acked = 0
	m.send(p.target.Instance, m.message(kindPing, p.seq, p.target))
	for _, via := range m.randomPeers(m.cfg.IndirectProbes, p.target) {
		msg := m.message(kindPingRequest, p.seq, via)
		msg.Target = p.target.ID
		m.send(via.Instance, msg)
	}
}

// nextTarget goes through all members in random order, so that the time until a member
// is probed is bounded.
func (m *Machine) nextTarget() *member {
	for range 2 {
		for len(m.round) > 0 {
			mb := m.round[len(m.round)-1]
			m.round = m.round[:len(m.round)-1]
			if !mb.gone && mb.rank != rankDead {
				return mb
			}
		}
		m.round = m.randomPeers(len(m.own.members), nil)
	}
	return nil
}

func (m *Machine) pingDead(now time.Time) {
	var dead []*member
	for _, mb := range m.own.members {
		if mb.rank == rankDead && !mb.leaving {
			dead = append(dead, mb)
		}
	}
	if len(dead) > 0 {
		mb := dead[m.rng.Intn(len(dead))]
		mb.acked = 0
		m.ping(now, mb)
	}
}

func (m *Machine) receivePing(now time.Time, sender *member, msg *peerpb.Membership) {
	m.send(sender.Instance, m.message(kindAck, msg.GetSeq(), sender))
	if d := msg.GetDomains(); len(d) == 1 && d[0].GetName() == "" {
		if d[0].GetVersion() == m.combined() {
			m.synced = true
		} else {
			m.sendDigest(now, sender)
			m.compareSoon()
		}
	}
}

func (m *Machine) receiveAck(now time.Time, sender *member, msg *peerpb.Membership) {
	if t := msg.GetTarget(); t != "" {
		if mb := m.byID[t]; mb != nil {
			mb.heard = now
		}
		return
	}
	// A ping after the last change of the own incarnation has carried it.
	if msg.GetSeq() > m.raisedSeq && msg.GetSeq() <= m.seq {
		sender.acked = m.self.Incarnation
		if m.fenced {
			m.rejoin()
		}
	}
	for _, r := range m.relays {
		if r.seq == msg.GetSeq() && !r.origin.gone {
			reply := m.message(kindAck, r.originSeq, r.origin)
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

// suspect marks a member and pings it, so that it learns of the suspicion and this
// instance gets its own evidence.
func (m *Machine) suspect(now time.Time, mb *member) {
	mb.rank, mb.suspectAt, mb.suspectPings = rankSuspect, now, 1
	mb.d.dirty, m.changed = true, true
	m.enqueue(mb, false, false)
	m.ping(now, mb)
}

// tickMembers ends suspicions and forgets dead members.
func (m *Machine) tickMembers(now time.Time) {
	for _, mb := range m.own.members {
		if mb.rank == rankSuspect {
			m.checkSuspicion(now, mb)
		}
	}
	if now.Before(m.nextSweep) {
		return
	}
	m.nextSweep = now.Add(time.Second)
	for _, d := range m.domains {
		for i := len(d.members) - 1; i >= 0; i-- {
			mb := d.members[i]
			if mb.rank == rankDead && now.Sub(mb.deadAt) >= m.cfg.DeadRetention {
				m.remove(mb)
				if d == m.own && !mb.leaving {
					m.addCandidate(mb.Instance, now.Add(forgottenRetention))
				}
			}
		}
	}
}

// checkSuspicion declares a suspect dead at the end of the suspicion time. Until then
// every observer pings it itself, because the answer carries the refutation.
func (m *Machine) checkSuspicion(now time.Time, mb *member) {
	elapsed := now.Sub(mb.suspectAt)
	switch {
	case elapsed >= m.cfg.SuspicionTimeout:
		m.diagnose("membership_dead", Field{"instance", mb.ID})
		m.bury(now, mb)
		m.enqueue(mb, false, false)
	case elapsed*suspectPings >= m.cfg.SuspicionTimeout*time.Duration(mb.suspectPings):
		mb.suspectPings++
		m.ping(now, mb)
	}
}

func (m *Machine) bury(now time.Time, mb *member) {
	mb.rank, mb.deadAt = rankDead, now
	m.touch(mb)
}
