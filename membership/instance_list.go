package membership

import (
	"slices"
	"time"
)

const (
	// removedMemberRetention is how long a dead member is still pinged periodically after it
	// was removed from the views, so that a long partition heals without the instance list.
	removedMemberRetention = time.Hour
	// listRetention is how long a listed instance that never answers is pinged.
	listRetention = time.Minute
	// maxCandidates limits the number of instances that are pinged without being members.
	maxCandidates = 512
	// listPings is the number of unknown listed instances that are pinged at once.
	listPings = 3
)

// candidate is an instance of the own domain that is not a member but may be alive.
type candidate struct {
	Instance
	until time.Time
}

// ApplyInstanceList applies the instance list of the platform. The list may be out of date,
// so it only selects which instances to contact: unknown instances are pinged, and an
// instance listed as leaving counts as leaving once it also fails to answer. It never removes
// an instance.
func (m *Machine) ApplyInstanceList(now time.Time, list []ListEntry) []Action {
	m.advanceClock(now)
	m.applyListToSelf(now, list)
	unknown := m.applyListToOwnDomain(now, list)
	m.applyListToDomains(now, list)
	for range min(listPings, unknown) {
		m.pingCandidate(now)
	}
	return m.takeActions()
}

// applyListToSelf leaves when the list marks this instance as leaving. The mark is ignored
// until the list has shown this run as not leaving, because it may refer to an earlier run
// with the same ID.
func (m *Machine) applyListToSelf(now time.Time, list []ListEntry) {
	for _, l := range list {
		switch {
		case l.ID != m.self.ID:
		case l.PeerAddress != m.self.PeerAddress:
			if l.PeerAddress != "" { // perhaps another process with the same ID
				m.sendOwnEntry(l.Instance, kindPing)
			}
		case !l.Leaving:
			m.selfListed = true
		case m.selfListed && !m.self.leaving:
			m.addDiagnostic("membership_listed_leaving")
			m.leave(now)
		}
	}
}

func (m *Machine) applyListToOwnDomain(now time.Time, list []ListEntry) (unknown int) {
	for _, l := range list {
		if l.Domain != m.ownDomain.name || l.ID == "" || l.PeerAddress == "" || l.ID == m.self.ID || len(l.ID) > maxNameLen {
			continue
		}
		mb := m.byID[l.ID]
		if mb == nil {
			unknown++
			m.addCandidate(l.Instance, now.Add(listRetention))
			continue
		}
		if l.PeerAddress != mb.PeerAddress {
			continue // another run than the one in the view
		}
		if l.Leaving && !mb.listedLeaving && mb.rank == rankAlive && !mb.leaving {
			m.ping(now, mb)
			m.probes = append(m.probes, m.newProbe(now, mb))
		}
		if mb.listedLeaving != l.Leaving {
			mb.listedLeaving = l.Leaving
			mb.domain.dirty, m.viewChanged = true, m.viewChanged || mb.rank == rankSuspect
		}
	}
	return unknown
}

// applyListToDomains updates the contacts in other domains and determines which domains are
// vacant.
func (m *Machine) applyListToDomains(now time.Time, list []ListEntry) {
	credible := false // a list without any instance of the own domain proves no vacancy
	for _, d := range m.domains {
		d.listed = d.listed[:0]
	}
	for _, l := range list {
		credible = credible || l.Domain == m.ownDomain.name
		if l.Domain == m.ownDomain.name || l.ID == "" || l.PeerAddress == "" || len(l.Domain) > maxNameLen {
			continue
		}
		if d := m.domain(l.Domain); d != nil && len(d.listed) < maxCandidates {
			d.listed = append(d.listed, l.Instance)
		}
	}
	for _, d := range m.domains {
		if d == m.ownDomain || !credible {
			continue
		}
		if vacant := m.vacantForTakeover(now, d); vacant != d.vacant {
			d.vacant = vacant
			d.dirty, m.viewChanged = true, true
		}
	}
}

// vacantForTakeover reports whether a domain has been vacant for TakeoverDelay. The list
// may be out of date, so a domain whose instances have just started can appear vacant.
func (m *Machine) vacantForTakeover(now time.Time, d *domain) bool {
	if !m.isVacant(d) {
		d.vacantSince = time.Time{}
		return false
	}
	if d.vacantSince.IsZero() {
		d.vacantSince = now
	}
	return now.Sub(d.vacantSince) >= m.cfg.TakeoverDelay
}

// isVacant reports whether a domain has no instance that could still dispatch its servers:
// none that is listed, except those that have announced that they are leaving, and none
// that answers.
func (m *Machine) isVacant(d *domain) bool {
	for _, l := range d.listed {
		if mb := m.byID[l.ID]; mb == nil || !mb.leaving {
			return false
		}
	}
	return !d.reachable || !slices.ContainsFunc(d.members, func(mb *member) bool {
		return mb.rank != rankDead && !mb.leaving
	})
}

func (m *Machine) addCandidate(inst Instance, until time.Time) {
	for _, c := range m.candidates {
		if c.ID == inst.ID {
			c.Instance = inst
			if until.After(c.until) {
				c.until = until
			}
			return
		}
	}
	if len(m.candidates) < maxCandidates {
		m.candidates = append(m.candidates, &candidate{inst, until})
	}
}

func (m *Machine) removeCandidate(id string) {
	m.candidates = slices.DeleteFunc(m.candidates, func(c *candidate) bool { return c.ID == id })
}

// pingCandidate pings the next candidate. A candidate that answers becomes a member.
func (m *Machine) pingCandidate(now time.Time) {
	m.candidates = slices.DeleteFunc(m.candidates, func(c *candidate) bool { return now.After(c.until) })
	if len(m.candidates) == 0 {
		return
	}
	m.nextCandidate = (m.nextCandidate + 1) % len(m.candidates)
	m.sendOwnEntry(m.candidates[m.nextCandidate].Instance, kindPing)
}
