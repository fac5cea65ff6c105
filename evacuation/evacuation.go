// Package evacuation decides which failure domains are under evacuation, from the operators' records
// in the store. While a domain is under evacuation, its backend servers get no new flows. The package
// performs no I/O. Times are monotonic durations since the start of the process.
package evacuation

import (
	"maps"
	"slices"
	"time"
)

// endedRetention is how long a domain stays among those that Domains returns after the end of its
// evacuation, so that an operator sees that the end has arrived.
const endedRetention = 10 * time.Minute

// Set holds the failure domains under evacuation, as this instance knows them. It is not safe for
// concurrent use.
type Set struct {
	restoreHold time.Duration
	domains     map[string]*state
}

// state is the evacuation of one failure domain.
type state struct {
	era       uint64 // of the last record or removal
	active    bool
	since     time.Duration // begin, if active
	endedAt   time.Duration // end, if not active
	held      bool          // active, although a restored store lacks the record
	heldEra   uint64
	heldUntil time.Duration
	told      bool // whether the last Tick that returned the domain found it active
}

// View describes the evacuation of a failure domain.
type View struct {
	Domain string
	Active bool
	Since  time.Duration // time since the begin, if active
	// EndedSince is the time since the end, if not active.
	EndedSince time.Duration
	// Held is the remaining time for which a removal is held back that only a restored store
	// implies; 0 if none is.
	Held time.Duration
}

// NewSet returns an empty set. A removal that only a restored store implies is held back for
// restoreHold, in which operators write their records again; 0 for no hold.
func NewSet(restoreHold time.Duration) *Set {
	return &Set{restoreHold: restoreHold, domains: make(map[string]*state)}
}

// Begin handles a record of an era of the store that evacuates the domain. It cancels a held
// removal, unless that is of a later era.
func (s *Set) Begin(now time.Duration, domain string, era uint64) {
	d := s.domains[domain]
	if d == nil {
		d = &state{}
		s.domains[domain] = d
	}
	if era < d.era || d.held && era < d.heldEra {
		return
	}
	d.era, d.held = era, false
	if !d.active {
		d.active, d.since = true, now
	}
}

// End handles a removal of the domain's record in an era of the store. If the record is of an earlier
// era, the removal may only mean that the store was restored from a copy without it.
func (s *Set) End(now time.Duration, domain string, era uint64) {
	d := s.domains[domain]
	switch {
	case d == nil || !d.active || era < d.era || d.held && era <= d.heldEra:
	case era > d.era && s.restoreHold > 0:
		d.held, d.heldEra, d.heldUntil = true, era, now+s.restoreHold
	default:
		d.end(now, era)
	}
}

func (d *state) end(now time.Duration, era uint64) {
	d.era, d.active, d.held, d.endedAt = era, false, false, now
}

// Tick ends the evacuations whose held removals are due. It returns the domains whose evacuation has
// begun or ended since the last call, sorted.
func (s *Set) Tick(now time.Duration) (changed []string) {
	for domain, d := range s.domains {
		if d.held && now >= d.heldUntil {
			d.end(now, d.heldEra)
		}
		if d.active != d.told {
			d.told = d.active
			changed = append(changed, domain)
		}
		if !d.active && now-d.endedAt > endedRetention {
			delete(s.domains, domain)
		}
	}
	slices.Sort(changed)
	return changed
}

// Active reports whether the domain is under evacuation.
func (s *Set) Active(domain string) bool {
	d := s.domains[domain]
	return d != nil && d.active
}

// Held reports whether the domain is under evacuation only because a removal is held back.
func (s *Set) Held(domain string) bool {
	d := s.domains[domain]
	return d != nil && d.held
}

// Domains returns the domains under evacuation and those whose evacuation ended recently, sorted.
func (s *Set) Domains(now time.Duration) []View {
	out := make([]View, 0, len(s.domains))
	for _, domain := range slices.Sorted(maps.Keys(s.domains)) {
		d := s.domains[domain]
		v := View{Domain: domain, Active: d.active}
		switch {
		case !d.active:
			v.EndedSince = now - d.endedAt
		case d.held:
			v.Held = max(d.heldUntil-now, 0)
			fallthrough
		default:
			v.Since = now - d.since
		}
		out = append(out, v)
	}
	return out
}
