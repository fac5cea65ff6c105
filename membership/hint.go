package membership

import (
	"slices"
	"time"
)

const (
	// forgottenRetention is how long a dead member is still pinged now and then after
	// the views have forgotten it, so that a long partition heals without the list.
	forgottenRetention = time.Hour
	// listRetention is how long a listed instance that never answered is pinged.
	listRetention = time.Minute
	// maxCandidates bounds the instances that are pinged without being members.
	maxCandidates = 512
	// hintPings is the number of unknown listed instances that are pinged at once.
	hintPings = 3
)

// candidate is an instance of the own domain that is not a member but may be alive.
type candidate struct {
	Instance
	until time.Time
}

// Hint takes the instance list of the platform. The list lags, so it only says whom to
// ask: unknown instances are pinged, and listed leaving ones are not waited for when
// they also fail to answer. It never removes an instance.
func (m *Machine) Hint(now time.Time, list []ListEntry) []Action {
	m.enter(now)
	m.hintSelf(now, list)
	unknown := m.hintOwn(now, list)
	m.hintDomains(now, list)
	for range min(hintPings, unknown) {
		m.pingCandidate(now)
	}
	return m.flush()
}

// hintSelf leaves when the list says so. A list that has shown only the leaving state
// since the start may mean an earlier run with the same ID.
func (m *Machine) hintSelf(now time.Time, list []ListEntry) {
	for _, l := range list {
		switch {
		case l.ID != m.self.ID:
		case l.PeerAddress != m.self.PeerAddress:
			if l.PeerAddress != "" { // perhaps another process with the same ID
				m.sendSelf(l.Instance, kindPing)
			}
		case !l.Leaving:
			m.listedSelf = true
		case m.listedSelf && !m.self.leaving:
			m.diagnose("membership_listed_leaving")
			m.leave(now)
		}
	}
}

func (m *Machine) hintOwn(now time.Time, list []ListEntry) (unknown int) {
	for _, l := range list {
		if l.Domain != m.own.name || l.ID == "" || l.PeerAddress == "" || l.ID == m.self.ID || len(l.ID) > maxNameLen {
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
			mb.d.dirty, m.changed = true, m.changed || mb.rank == rankSuspect
		}
	}
	return unknown
}

// hintDomains notes whom to contact in other domains, and which domains are vacant.
func (m *Machine) hintDomains(now time.Time, list []ListEntry) {
	credible := false // a list without any instance of the own domain is not believed
	for _, d := range m.domains {
		d.listed = d.listed[:0]
	}
	for _, l := range list {
		credible = credible || l.Domain == m.own.name
		if l.Domain == m.own.name || l.ID == "" || l.PeerAddress == "" || len(l.Domain) > maxNameLen {
			continue
		}
		if d := m.domain(l.Domain); d != nil && len(d.listed) < maxCandidates {
			d.listed = append(d.listed, l.Instance)
		}
	}
	for _, d := range m.domains {
		if d == m.own || !credible {
			continue
		}
		if vacant := m.vacantLongEnough(now, d); vacant != d.vacant {
			d.vacant = vacant
			d.dirty, m.changed = true, true
		}
	}
}

// vacantLongEnough reports that a domain has been vacant for the takeover delay. The
// list lags, so a domain whose instances have just started can look vacant at first.
func (m *Machine) vacantLongEnough(now time.Time, d *domain) bool {
	if !m.isVacant(d) {
		d.vacantSince = time.Time{}
		return false
	}
	if d.vacantSince.IsZero() {
		d.vacantSince = now
	}
	return now.Sub(d.vacantSince) >= m.cfg.TakeoverDelay
}

// isVacant reports that a domain has no instance that could still dispatch its servers:
// none that is listed, except those that have announced to leave, and none that answers.
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

func (m *Machine) dropCandidate(id string) {
	m.candidates = slices.DeleteFunc(m.candidates, func(c *candidate) bool { return c.ID == id })
}

// pingCandidate pings the next candidate; its answer makes it a member.
func (m *Machine) pingCandidate(now time.Time) {
	m.candidates = slices.DeleteFunc(m.candidates, func(c *candidate) bool { return now.After(c.until) })
	if len(m.candidates) == 0 {
		return
	}
	m.nextCand = (m.nextCand + 1) % len(m.candidates)
	m.sendSelf(m.candidates[m.nextCand].Instance, kindPing)
}
