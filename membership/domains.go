package membership

import (
	"time"

	"github.com/monsoonthread/monsoonthread/peer/peerpb"
)

const (
	// domainTimeout is the silence after which delegates report a domain as unreachable.
	// Replacing two delegates that crashed together takes up to 3 s: 1.8 s until they
	// are declared dead, the spread, and one domain interval.
	domainTimeout = 4 * time.Second
	// maxDoubt bounds the time for which a delegate relies on the record of another one.
	maxDoubt = 5 * time.Minute
	// minPushInterval bounds the extra messages to a domain whose state has changed.
	minPushInterval = 100 * time.Millisecond
	// minChangePush bounds the heartbeats that are sent early because of a change.
	minChangePush = 200 * time.Millisecond
	// minFullInterval bounds full summaries (4 KB at 70 members) to one domain.
	minFullInterval = time.Second
	// missingTimeout is how long a member must be absent from the full summaries of its
	// own domain before it counts as dead. A new member is known there after 2 s.
	missingTimeout = 10 * time.Second
)

// wireRecord encodes what delegates found out about a domain as a member without ID.
func (d *domain) wireRecord() *peerpb.Member {
	u := &peerpb.Member{Domain: d.name, Incarnation: d.record, ConfigVersion: d.minConfig}
	if !d.reachable {
		u.State = uint32(rankDead)
	}
	return u
}

func (m *Machine) mergeRecord(now time.Time, u *peerpb.Member) {
	d := m.domain(u.GetDomain())
	if d == nil || d == m.own {
		return
	}
	changed := false
	if u.GetIncarnation() > d.record {
		d.record = u.GetIncarnation()
		m.setReachable(now, d, u.GetState() == 0)
		changed = true
		if d.reachable && !d.evidence && m.isDelegate() {
			d.presume(now)
		}
	}
	if u.GetConfigVersion() > d.minConfig {
		d.minConfig = u.GetConfigVersion()
		m.refresh, changed = true, true
	}
	if changed {
		m.enqueueRecord(d)
	}
}

func (m *Machine) setReachable(now time.Time, d *domain, reachable bool) {
	if d.reachable == reachable {
		return
	}
	d.reachable = reachable
	if !reachable {
		d.unreachable = now
	}
	d.dirty, m.changed = true, true
}

func (m *Machine) isDelegate() bool {
	return m.own.delegates[0] == m.self || m.own.delegates[1] == m.self
}

// tickDomains exchanges heartbeats with the delegates of all other domains and decides
// which domains are reachable.
func (m *Machine) tickDomains(now time.Time) {
	if !m.isDelegate() {
		m.delegates = [2]*member{}
		return
	}
	if m.own.delegates != m.delegates {
		m.inheritRecords(now, m.delegates == [2]*member{})
		m.delegates = m.own.delegates
	}
	m.own.raiseMinConfig()
	due := !now.Before(m.nextDomain) || m.own.summary() != m.pushed && now.Sub(m.lastPush) >= minChangePush
	if due {
		m.nextDomain = now.Add(m.cfg.DomainInterval)
		m.lastPush, m.pushed = now, m.own.summary()
	}
	for _, d := range m.domains {
		if d == m.own || !d.configured {
			continue
		}
		m.judge(now, d)
		if due {
			m.push(now, d)
		}
	}
}

// inheritRecords makes this instance answer for the domains that an earlier delegate
// reported as reachable: they become unreachable unless they are heard from now on.
// What a new delegate heard before was not regular and does not count.
func (m *Machine) inheritRecords(now time.Time, isNew bool) {
	for _, d := range m.domains {
		if d.reachable && (isNew || !d.evidence) {
			d.presume(now)
		}
	}
}

// presume accepts that another delegate hears a domain. That one may die, so the domain
// becomes unreachable unless this instance hears it too. The time doubles with each such
// record, so that a delegate with a bad connection does not contradict a good one often.
func (d *domain) presume(now time.Time) {
	d.doubt = min(max(2*d.doubt, domainTimeout), maxDoubt)
	d.evidence, d.heard = true, now.Add(d.doubt-domainTimeout)
}

// hear notes a message from a domain.
func (d *domain) hear(now time.Time) { d.heard, d.doubt = now, 0 }

// confirmed reports that this instance itself hears the domain.
func (d *domain) confirmed() bool { return d.evidence && d.doubt == 0 }

// judge publishes whether a domain is reachable. A delegate that hears the domain
// corrects the record at once; one that does not publishes this when it stops hearing it.
func (m *Machine) judge(now time.Time, d *domain) {
	evidence := !d.heard.IsZero() && now.Sub(d.heard) < domainTimeout
	lost := d.evidence && !evidence
	d.evidence = evidence
	if d.confirmed() && !d.reachable || lost && d.reachable {
		d.record = max(d.record+1, uint64(max(now.UnixMilli(), 0)))
		m.setReachable(now, d, evidence)
		m.enqueueRecord(d)
		m.diagnose("membership-domain", Field{"domain", d.name}, Field{"reachable", boolName(evidence)})
	}
}

func boolName(b bool) string {
	if b {
		return "true"
	}
	return "false"
}

// push sends a heartbeat to a domain: the digest of the own domain, and the digest that
// is known of the other one, which answers with the difference.
func (m *Machine) push(now time.Time, d *domain) {
	for _, mb := range d.delegates {
		if mb != nil {
			m.pushTo(now, d, mb.Instance)
		}
	}
	// All known members of a domain that was cut off may have been replaced.
	if d.delegates[0] == nil || !d.confirmed() {
		if n := len(d.listed); n > 0 {
			m.pushTo(now, d, d.listed[m.rng.Intn(n)])
		}
		if n := len(d.members); n > 0 {
			m.pushTo(now, d, d.members[m.rng.Intn(n)].Instance)
		}
	}
}

func (m *Machine) pushTo(now time.Time, d *domain, to Instance) {
	d.lastPush = now
	msg := m.domainMessage(kindDomain, d)
	msg.Domains = []*peerpb.DomainSummary{
		{Name: m.own.name, Version: m.own.summary()}, {Name: d.name, Version: d.summary()}}
	m.send(to, msg)
}

func (m *Machine) domainMessage(kind uint32, d *domain) *peerpb.Membership {
	msg := &peerpb.Membership{Kind: kind, ConfigVersion: m.config}
	if d.known != m.own.summary() || !d.confirmed() {
		// The receiver may not know this instance yet and could not answer.
		msg.Updates = []*peerpb.Member{m.self.wire(true, true)}
	}
	return msg
}

// summaries checks the form of a message between domains.
func (m *Machine) summaries(sender *member, msg *peerpb.Membership) (theirs, ours *peerpb.DomainSummary) {
	s := msg.GetDomains()
	if len(s) != 2 || s[0].GetName() != sender.d.name || s[1].GetName() != m.own.name || sender.d == m.own {
		return nil, nil
	}
	return s[0], s[1]
}

func (m *Machine) receiveDomain(now time.Time, sender *member, msg *peerpb.Membership) {
	theirs, ours := m.summaries(sender, msg)
	if theirs == nil {
		return
	}
	d := sender.d
	d.hear(now)
	d.known = ours.GetVersion()
	m.own.raiseMinConfig()
	if ours.GetVersion() != m.own.summary() {
		m.replyDomain(now, d, sender, ours.GetVersion())
	}
	if theirs.GetVersion() != d.summary() && now.Sub(d.lastPush) >= minPushInterval {
		m.pushTo(now, d, sender.Instance) // the answer brings the difference
	}
}

// replyDomain sends the changes of the own domain since a digest, or all of it.
func (m *Machine) replyDomain(now time.Time, d *domain, to *member, known uint64) {
	kind := kindDomainDelta
	after, ok := m.own.since(known)
	if !ok {
		if now.Sub(d.lastFull) < minFullInterval {
			return
		}
		d.lastFull = now
		kind = kindDomainFull
	}
	s := m.summarize(m.own, after)
	s.Members = append(s.Members, &peerpb.Member{Domain: m.own.name, ConfigVersion: m.own.minConfig})
	msg := m.domainMessage(kind, d)
	msg.Domains = []*peerpb.DomainSummary{s, {Name: d.name, Version: d.summary()}}
	m.send(to.Instance, msg)
}

func (m *Machine) receiveDomainReply(now time.Time, sender *member, msg *peerpb.Membership) {
	theirs, ours := m.summaries(sender, msg)
	if theirs == nil {
		return
	}
	d := sender.d
	d.hear(now)
	d.known = ours.GetVersion()
	m.mergeSummary(now, theirs, fromDomain)
	if msg.GetKind() == kindDomainFull {
		m.markMissing(now, d, theirs)
	}
}

// markMissing finds members that their own domain has forgotten, because they died while
// it was cut off, or whose last incarnation it never saw.
func (m *Machine) markMissing(now time.Time, d *domain, full *peerpb.DomainSummary) {
	present := make(map[string]uint64, len(full.GetMembers()))
	for _, u := range full.GetMembers() {
		present[u.GetId()] = u.GetIncarnation()
	}
	for _, mb := range d.members {
		switch {
		case present[mb.ID] >= mb.Incarnation || mb.rank == rankDead:
		case mb.missing.IsZero():
			mb.missing = now
		case now.Sub(mb.missing) > missingTimeout:
			m.bury(now, mb)
			m.enqueue(mb, false, false)
		}
	}
}
