package membership

import (
	"time"

	"github.com/monsoonthread/monsoonthread/peer/peerpb"
)

const (
	// domainSilenceTimeout is the time without messages after which delegates report a
	// domain as unreachable. Replacing two delegates that crashed together takes up to
	// 3 s: 1.8 s until they are declared dead, gossip dissemination, and one DomainInterval.
	domainSilenceTimeout = 4 * time.Second
	// maxPresumption bounds how long a delegate relies on the reachability reported by
	// another delegate.
	maxPresumption = 5 * time.Minute
	// minReplyHeartbeatInterval limits the rate of heartbeats sent in reply to a domain
	// whose digest has changed.
	minReplyHeartbeatInterval = 100 * time.Millisecond
	// minEarlyHeartbeatInterval limits the rate of heartbeats sent ahead of schedule
	// because the own domain has changed.
	minEarlyHeartbeatInterval = 200 * time.Millisecond
	// minFullSummaryInterval limits the rate of full summaries (4 KB at 70 members) to
	// one domain.
	minFullSummaryInterval = time.Second
	// missingMemberTimeout is how long a member must be absent from the full summaries of
	// its own domain before it is declared dead. A new member appears in them within 2 s.
	missingMemberTimeout = 10 * time.Second
)

// encodeReachability encodes the reachability of a domain as seen by the delegates. On
// the wire it is a member without an ID.
func (d *domain) encodeReachability() *peerpb.Member {
	u := &peerpb.Member{Domain: d.name, Incarnation: d.reachabilityVersion, ConfigVersion: d.minConfigVersion}
	if !d.reachable {
		u.State = uint32(rankDead)
	}
	return u
}

func (m *Machine) mergeReachability(now time.Time, u *peerpb.Member) {
	d := m.domain(u.GetDomain())
	if d == nil || d == m.ownDomain {
		return
	}
	changed := false
	if u.GetIncarnation() > d.reachabilityVersion {
		d.reachabilityVersion = u.GetIncarnation()
		m.setReachable(now, d, u.GetState() == 0)
		changed = true
		if d.reachable && !d.heardRecently && m.isDelegate() {
			d.presumeReachable(now)
		}
	}
	if u.GetConfigVersion() > d.minConfigVersion {
		d.minConfigVersion = u.GetConfigVersion()
		m.configChanged, changed = true, true
	}
	if changed {
		m.enqueueReachability(d)
	}
}

func (m *Machine) setReachable(now time.Time, d *domain, reachable bool) {
	if d.reachable == reachable {
		return
	}
	d.reachable = reachable
	if !reachable {
		d.unreachableSince = now
	}
	d.dirty, m.viewChanged = true, true
}

func (m *Machine) isDelegate() bool {
	return m.ownDomain.delegates[0] == m.self || m.ownDomain.delegates[1] == m.self
}

// tickDomains sends heartbeats to the delegates of all other domains and updates which
// domains are reachable. It does nothing on instances that are not delegates.
func (m *Machine) tickDomains(now time.Time) {
	if !m.isDelegate() {
		m.delegates = [2]*member{}
		return
	}
	if m.ownDomain.delegates != m.delegates {
		m.adoptReachability(now, m.delegates == [2]*member{})
		m.delegates = m.ownDomain.delegates
	}
	m.ownDomain.raiseMinConfigVersion()
	due := !now.Before(m.nextHeartbeat) || m.ownDomain.digest() != m.heartbeatDigest && now.Sub(m.lastHeartbeat) >= minEarlyHeartbeatInterval
	if due {
		m.nextHeartbeat = now.Add(m.cfg.DomainInterval)
		m.lastHeartbeat, m.heartbeatDigest = now, m.ownDomain.digest()
	}
	for _, d := range m.domains {
		if d == m.ownDomain || !d.configured {
			continue
		}
		m.updateReachability(now, d)
		if due {
			m.sendHeartbeat(now, d)
		}
	}
}

// adoptReachability makes this delegate responsible for the domains that an earlier
// delegate reported as reachable: each becomes unreachable unless this instance hears it
// in time. Messages that a new delegate received before it became one are ignored, because
// other domains did not send to it regularly.
func (m *Machine) adoptReachability(now time.Time, isNew bool) {
	for _, d := range m.domains {
		if d.reachable && (isNew || !d.heardRecently) {
			d.presumeReachable(now)
		}
	}
}

// presumeReachable accepts another delegate's report that a domain is reachable. That
// delegate may die, so the domain becomes unreachable unless this instance also hears it
// within the presumption period. The period doubles with each such report, so that a
// delegate with a bad connection rarely contradicts one with a good connection.
func (d *domain) presumeReachable(now time.Time) {
	d.presumption = min(max(2*d.presumption, domainSilenceTimeout), maxPresumption)
	d.heardRecently, d.lastHeard = true, now.Add(d.presumption-domainSilenceTimeout)
}

// recordHeard records that a message from the domain has arrived.
func (d *domain) recordHeard(now time.Time) { d.lastHeard, d.presumption = now, 0 }

// heardDirectly reports whether this instance itself receives messages from the domain.
func (d *domain) heardDirectly() bool { return d.heardRecently && d.presumption == 0 }

// updateReachability publishes whether a domain is reachable. A delegate that hears the
// domain corrects an unreachable status at once; a delegate that does not hear it reports
// it as unreachable only at the moment when the domain falls silent or the presumption
// expires.
func (m *Machine) updateReachability(now time.Time, d *domain) {
	heard := !d.lastHeard.IsZero() && now.Sub(d.lastHeard) < domainSilenceTimeout
	lost := d.heardRecently && !heard
	d.heardRecently = heard
	if d.heardDirectly() && !d.reachable || lost && d.reachable {
		d.reachabilityVersion = max(d.reachabilityVersion+1, uint64(max(now.UnixMilli(), 0)))
		m.setReachable(now, d, heard)
		m.enqueueReachability(d)
		m.addDiagnostic("membership_domain", Field{"domain", d.name}, Field{"reachable", formatBool(heard)})
	}
}

func formatBool(b bool) string {
	if b {
		return "true"
	}
	return "false"
}

// sendHeartbeat sends a heartbeat to the delegates of a domain. It contains the digest of
// the own domain and the last known digest of the other domain, which answers with the
// difference.
func (m *Machine) sendHeartbeat(now time.Time, d *domain) {
	for _, mb := range d.delegates {
		if mb != nil {
			m.sendHeartbeatTo(now, d, mb.Instance)
		}
	}
	// After a partition all known members of the domain may have been replaced.
	if d.delegates[0] == nil || !d.heardDirectly() {
		if n := len(d.listed); n > 0 {
			m.sendHeartbeatTo(now, d, d.listed[m.rng.Intn(n)])
		}
		if n := len(d.members); n > 0 {
			m.sendHeartbeatTo(now, d, d.members[m.rng.Intn(n)].Instance)
		}
	}
}

func (m *Machine) sendHeartbeatTo(now time.Time, d *domain, to Instance) {
	d.lastHeartbeat = now
	msg := m.newDomainMessage(kindDomain, d)
	msg.Domains = []*peerpb.DomainSummary{
		{Name: m.ownDomain.name, Version: m.ownDomain.digest()}, {Name: d.name, Version: d.digest()}}
	m.send(to, msg)
}

func (m *Machine) newDomainMessage(kind uint32, d *domain) *peerpb.Membership {
	msg := &peerpb.Membership{Kind: kind, ConfigVersion: m.configVersion}
	if d.ackedDigest != m.ownDomain.digest() || !d.heardDirectly() {
		// The receiver may not know this instance yet and needs its address to answer.
		msg.Updates = []*peerpb.Member{m.self.encode(true, true)}
	}
	return msg
}

// parseSummaries returns the summaries of the sender's and the own domain from a message
// between domains, or nil if the message is malformed.
func (m *Machine) parseSummaries(sender *member, msg *peerpb.Membership) (theirs, ours *peerpb.DomainSummary) {
	s := msg.GetDomains()
	if len(s) != 2 || s[0].GetName() != sender.domain.name || s[1].GetName() != m.ownDomain.name || sender.domain == m.ownDomain {
		return nil, nil
	}
	return s[0], s[1]
}

func (m *Machine) receiveDomain(now time.Time, sender *member, msg *peerpb.Membership) {
	theirs, ours := m.parseSummaries(sender, msg)
	if theirs == nil {
		return
	}
	d := sender.domain
	d.recordHeard(now)
	d.ackedDigest = ours.GetVersion()
	m.ownDomain.raiseMinConfigVersion()
	if ours.GetVersion() != m.ownDomain.digest() {
		m.replyDomain(now, d, sender, ours.GetVersion())
	}
	if theirs.GetVersion() != d.digest() && now.Sub(d.lastHeartbeat) >= minReplyHeartbeatInterval {
		m.sendHeartbeatTo(now, d, sender.Instance) // the reply contains the difference
	}
}

// replyDomain sends the changes of the own domain since the digest known to the receiver,
// or all its members if that digest is no longer in the history.
func (m *Machine) replyDomain(now time.Time, d *domain, to *member, known uint64) {
	kind := kindDomainDelta
	after, ok := m.ownDomain.changeSeqAt(known)
	if !ok {
		if now.Sub(d.lastFullSummary) < minFullSummaryInterval {
			return
		}
		d.lastFullSummary = now
		kind = kindDomainFull
	}
	s := m.summarize(m.ownDomain, after)
	s.Members = append(s.Members, &peerpb.Member{Domain: m.ownDomain.name, ConfigVersion: m.ownDomain.minConfigVersion})
	msg := m.newDomainMessage(kind, d)
	msg.Domains = []*peerpb.DomainSummary{s, {Name: d.name, Version: d.digest()}}
	m.send(to.Instance, msg)
}

func (m *Machine) receiveDomainReply(now time.Time, sender *member, msg *peerpb.Membership) {
	theirs, ours := m.parseSummaries(sender, msg)
	if theirs == nil {
		return
	}
	d := sender.domain
	d.recordHeard(now)
	d.ackedDigest = ours.GetVersion()
	m.mergeSummary(now, theirs, fromDomain)
	if msg.GetKind() == kindDomainFull {
		m.markMissing(now, d, theirs)
	}
}

// markMissing declares members dead that stay absent from the full summaries of their own
// domain: they died there during a partition, or their domain never saw their last
// incarnation.
func (m *Machine) markMissing(now time.Time, d *domain, full *peerpb.DomainSummary) {
	present := make(map[string]uint64, len(full.GetMembers()))
	for _, u := range full.GetMembers() {
		present[u.GetId()] = u.GetIncarnation()
	}
	for _, mb := range d.members {
		switch {
		case present[mb.ID] >= mb.Incarnation || mb.rank == rankDead:
		case mb.missingSince.IsZero():
			mb.missingSince = now
		case now.Sub(mb.missingSince) > missingMemberTimeout:
			m.markDead(now, mb)
			m.enqueue(mb, false, false)
		}
	}
}
