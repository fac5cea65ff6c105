package membership

import (
	"slices"
	"time"

	"github.com/monsoonthread/monsoonthread/peer/peerpb"
)

const (
	// digestInterval limits the rate of messages with digests of all domains (0.4 KB at 19
	// domains).
	digestInterval = 100 * time.Millisecond
	// resyncInterval replaces syncInterval after a comparison has found a difference.
	resyncInterval = 400 * time.Millisecond
	// maxPulls limits the number of queued pulls. One is sent in each tick, so that a
	// joining instance receives about 80 KB/s for a second at most.
	maxPulls = maxDomains
)

// pull is a summary of a domain to request from a peer.
type pull struct {
	from   *member
	domain *domain
}

// syncDigest returns the digest of a domain that is compared within the own domain.
func (m *Machine) syncDigest(d *domain) uint64 {
	if d == m.ownDomain {
		return d.membersDigest ^ hashPair(2, d.configDigest())
	}
	if d.membersDigest == 0 && d.minConfigVersion == 0 && d.reachabilityVersion == 0 {
		return 0 // no state for this domain
	}
	return d.digest() ^ hashPair(3, d.reachabilityVersion)
}

// stateDigest returns the digest of the whole state.
func (m *Machine) stateDigest() uint64 {
	var x uint64
	for _, d := range m.domains {
		if v := m.syncDigest(d); v != 0 {
			x ^= hashPair(hashID(d.name), v)
		}
	}
	return x
}

func (m *Machine) sendDigest(now time.Time, to *member) {
	if now.Sub(m.lastDigest) < digestInterval {
		return
	}
	m.lastDigest = now
	msg := &peerpb.Membership{Kind: kindDigest, ConfigVersion: m.configVersion}
	for _, d := range m.domains {
		msg.Domains = append(msg.Domains, &peerpb.DomainSummary{Name: d.name, Version: m.syncDigest(d)})
	}
	m.send(to.Instance, msg)
}

func (m *Machine) receiveDigest(sender *member, msg *peerpb.Membership) {
	for _, s := range msg.GetDomains() {
		if len(s.GetName()) > maxNameLen || s.GetVersion() == 0 {
			continue
		}
		d := m.domain(s.GetName())
		if d == nil || m.syncDigest(d) == s.GetVersion() || len(m.pendingPulls) >= maxPulls {
			continue
		}
		if slices.ContainsFunc(m.pendingPulls, func(p pull) bool { return p.domain == d }) {
			continue
		}
		if d == m.ownDomain {
			m.pendingPulls = slices.Insert(m.pendingPulls, 0, pull{sender, d})
		} else {
			m.pendingPulls = append(m.pendingPulls, pull{sender, d})
		}
	}
	if len(m.pendingPulls) == 0 {
		m.synced = true
	} else {
		m.scheduleResync()
	}
}

// scheduleResync moves the next comparison forward after one has found a difference.
func (m *Machine) scheduleResync() {
	if next := m.lastCall.Add(resyncInterval); next.Before(m.nextSync) {
		m.nextSync = next
	}
}

func (m *Machine) tickPulls() {
	if len(m.pendingPulls) == 0 {
		return
	}
	p := m.pendingPulls[0]
	m.pendingPulls = slices.Delete(m.pendingPulls, 0, 1)
	m.synced = m.synced || len(m.pendingPulls) == 0
	if p.from.removed {
		return
	}
	m.send(p.from.Instance, &peerpb.Membership{Kind: kindPull, ConfigVersion: m.configVersion,
		Domains: []*peerpb.DomainSummary{{Name: p.domain.name, Version: p.domain.digest()}}})
}

func (m *Machine) receivePull(sender *member, msg *peerpb.Membership) {
	for _, s := range msg.GetDomains() {
		i := slices.IndexFunc(m.domains, func(d *domain) bool { return d.name == s.GetName() })
		if i < 0 {
			continue
		}
		d := m.domains[i]
		var after uint64
		if d != m.ownDomain { // the digest of the own domain does not cover configuration versions
			after, _ = d.changeSeqAt(s.GetVersion())
		}
		out := m.summarize(d, after)
		if d != m.ownDomain {
			out.Members = append(out.Members, d.encodeReachability())
		}
		m.send(sender.Instance, &peerpb.Membership{Kind: kindSync, ConfigVersion: m.configVersion,
			Domains: []*peerpb.DomainSummary{out}})
	}
}

// summarize encodes the members of a domain whose changeSeq is higher than after.
func (m *Machine) summarize(d *domain, after uint64) *peerpb.DomainSummary {
	s := &peerpb.DomainSummary{Name: d.name, Version: d.digest()}
	for _, mb := range d.members {
		if mb.changeSeq > after {
			s.Members = append(s.Members, mb.encode(mb.rank != rankDead, false))
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
