package membership

import (
	"slices"
	"time"

	"github.com/monsoonthread/monsoonthread/peer/peerpb"
)

const (
	// digestInterval bounds how often digests of all domains (0.4 KB at 19) are sent.
	digestInterval = 100 * time.Millisecond
	// differentInterval replaces syncInterval after a comparison that found a difference.
	differentInterval = 400 * time.Millisecond
	// maxPulls bounds the summaries of domains that are asked for; one is asked for in
	// each tick, so that a joining instance receives about 80 KB/s for a second at most.
	maxPulls = maxDomains
)

// pull is a summary to ask a peer for.
type pull struct {
	from   *member
	domain *domain
}

// vector is the digest of a domain that instances of the own domain compare.
func (m *Machine) vector(d *domain) uint64 {
	if d == m.own {
		return d.core ^ combine(2, d.configDigest())
	}
	if d.core == 0 && d.minConfig == 0 && d.record == 0 {
		return 0 // nothing known
	}
	return d.summary() ^ combine(3, d.record)
}

// combined is the digest of the whole state.
func (m *Machine) combined() uint64 {
	var x uint64
	for _, d := range m.domains {
		if v := m.vector(d); v != 0 {
			x ^= combine(hashID(d.name), v)
		}
	}
	return x
}

func (m *Machine) sendDigest(now time.Time, to *member) {
	if now.Sub(m.lastDigest) < digestInterval {
		return
	}
	m.lastDigest = now
	msg := &peerpb.Membership{Kind: kindDigest, ConfigVersion: m.config}
	for _, d := range m.domains {
		msg.Domains = append(msg.Domains, &peerpb.DomainSummary{Name: d.name, Version: m.vector(d)})
	}
	m.send(to.Instance, msg)
}

func (m *Machine) receiveDigest(sender *member, msg *peerpb.Membership) {
	for _, s := range msg.GetDomains() {
		if len(s.GetName()) > maxNameLen || s.GetVersion() == 0 {
			continue
		}
		d := m.domain(s.GetName())
		if d == nil || m.vector(d) == s.GetVersion() || len(m.pulls) >= maxPulls {
			continue
		}
		if slices.ContainsFunc(m.pulls, func(p pull) bool { return p.domain == d }) {
			continue
		}
		if d == m.own {
			m.pulls = slices.Insert(m.pulls, 0, pull{sender, d})
		} else {
			m.pulls = append(m.pulls, pull{sender, d})
		}
	}
	if len(m.pulls) == 0 {
		m.synced = true
	} else {
		m.compareSoon()
	}
}

// compareSoon brings the next comparison forward after one that found a difference.
func (m *Machine) compareSoon() {
	if next := m.last.Add(differentInterval); next.Before(m.nextSync) {
		m.nextSync = next
	}
}

func (m *Machine) tickPulls() {
	if len(m.pulls) == 0 {
		return
	}
	p := m.pulls[0]
	m.pulls = slices.Delete(m.pulls, 0, 1)
	m.synced = m.synced || len(m.pulls) == 0
	if p.from.gone {
		return
	}
	m.send(p.from.Instance, &peerpb.Membership{Kind: kindPull, ConfigVersion: m.config,
		Domains: []*peerpb.DomainSummary{{Name: p.domain.name, Version: p.domain.summary()}}})
}

func (m *Machine) receivePull(sender *member, msg *peerpb.Membership) {
	for _, s := range msg.GetDomains() {
		i := slices.IndexFunc(m.domains, func(d *domain) bool { return d.name == s.GetName() })
		if i < 0 {
			continue
		}
		d := m.domains[i]
		var after uint64
		if d != m.own { // the digest of the own domain does not cover configuration versions
			after, _ = d.since(s.GetVersion())
		}
		out := m.summarize(d, after)
		if d != m.own {
			out.Members = append(out.Members, d.wireRecord())
		}
		m.send(sender.Instance, &peerpb.Membership{Kind: kindSync, ConfigVersion: m.config,
			Domains: []*peerpb.DomainSummary{out}})
	}
}

// summarize encodes the members of a domain that changed after a change count.
func (m *Machine) summarize(d *domain, after uint64) *peerpb.DomainSummary {
	s := &peerpb.DomainSummary{Name: d.name, Version: d.summary()}
	for _, mb := range d.members {
		if mb.changed > after {
			s.Members = append(s.Members, mb.wire(mb.rank != rankDead, false))
		}
	}
	return s
}

func (m *Machine) receiveSync(now time.Time, msg *peerpb.Membership) {
	for _, s := range msg.GetDomains() {
		m.mergeSummary(now, s, fromSync)
	}
}

func (m *Machine) mergeSummary(now time.Time, s *peerpb.DomainSummary, src source) {
	for _, u := range s.GetMembers() {
		u.Domain = s.GetName()
		m.merge(now, u, src)
	}
}
