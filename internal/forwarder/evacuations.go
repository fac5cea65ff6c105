package forwarder

import (
	"time"

	"github.com/monsoonthread/monsoonthread/directory"
	"github.com/monsoonthread/monsoonthread/evacuation"
	"github.com/monsoonthread/monsoonthread/internal/forwarder/view"
	"github.com/monsoonthread/monsoonthread/internal/logging"
	"github.com/monsoonthread/monsoonthread/platform/wire"
	"github.com/monsoonthread/monsoonthread/result"
)

// evacuations holds the operators' evacuations of failure domains.
type evacuations struct {
	set       *evacuation.Set
	revisions map[string]directory.Position // of the last record or removal of each domain
	checked   map[string]struct{}           // domains under evacuation whose name has been checked
}

func newEvacuations(restoreHold time.Duration) evacuations {
	return evacuations{set: evacuation.NewSet(restoreHold), revisions: make(map[string]directory.Position), checked: make(map[string]struct{})}
}

// active returns the number of failure domains under evacuation.
func (e *evacuations) active(now time.Duration) int {
	n := 0
	for _, v := range e.set.Domains(now) {
		if v.Active {
			n++
		}
	}
	return n
}

// view returns the failure domains under evacuation and those whose evacuation ended recently.
func (e *evacuations) view(now time.Duration) []view.Evacuation {
	out := []view.Evacuation{}
	for _, v := range e.set.Domains(now) {
		out = append(out, view.Evacuation{Domain: v.Domain, Active: v.Active, For: v.Since.Seconds(), EndedAgo: v.EndedSince.Seconds(), Held: v.Held.Seconds()})
	}
	return out
}

// applyEvacuation handles a change of an evacuation record. Changes may be applied in another order
// than the table took them in, so the table's record decides. A record that cannot be decoded changes
// nothing.
func (f *Forwarder) applyEvacuation(r directory.Record) {
	domain, err := wire.EvacuatedDomain(r.Key)
	if err != nil {
		f.logMalformedEvacuation(&r, err)
		return
	}
	f.mu.Lock()
	known, exists := f.table.Get(r.Key)
	if exists {
		_, err = wire.DecodeEvacuation(known.Key, known.Value)
	}
	now, held := f.now(), f.evacuations.set.Held(domain)
	switch {
	case err != nil:
	case exists:
		f.evacuations.set.Begin(now, domain, known.Revision.Era())
		f.evacuations.revisions[domain] = known.Revision
	case r.Removed && f.evacuations.set.Active(domain):
		f.evacuations.set.End(now, domain, r.Revision.Era())
		f.evacuations.revisions[domain] = r.Revision
	}
	newlyHeld := !held && f.evacuations.set.Held(domain)
	f.mu.Unlock()
	if err != nil {
		f.logMalformedEvacuation(&known, err)
	}
	if newlyHeld {
		f.logEvacuation(domain, r.Revision, "evacuation_held")
	}
	f.tickEvacuations()
}

// tickEvacuations passes the evacuations that have begun or ended to the engine.
func (f *Forwarder) tickEvacuations() {
	type change struct {
		domain   string
		revision directory.Position
		event    string
	}
	var changes []change
	f.mu.Lock()
	now := f.now()
	for _, v := range f.evacuations.set.Domains(now) {
		if v.Active {
			f.confirmEvacuation(now, v.Domain)
		}
	}
	for _, domain := range f.evacuations.set.Tick(now) {
		active := f.evacuations.set.Active(domain)
		f.engine.SetEvacuated(now, domain, active)
		c := change{domain, f.evacuations.revisions[domain], "evacuation_begun"}
		if !active {
			c.event = "evacuation_ended"
			delete(f.evacuations.revisions, domain)
			delete(f.evacuations.checked, domain)
		}
		changes = append(changes, c)
	}
	f.mu.Unlock()
	for _, c := range changes {
		f.logEvacuation(c.domain, c.revision, c.event)
	}
	f.checkEvacuatedNames()
}

// confirmEvacuation tells the set the era of an unchanged record that a restored store has too, so
// that its later removal is not taken for one that the restore implies. The caller must hold mu.
func (f *Forwarder) confirmEvacuation(now time.Duration, domain string) {
	if r, exists := f.table.Get(wire.EvacuationPrefix + domain); exists {
		f.evacuations.set.Begin(now, domain, r.Revision.Era())
	}
}

// checkEvacuatedNames logs the evacuated failure domains that no server and no instance names. They
// may be spelt wrongly; servers that register there later are evacuated. The check waits for the
// initial records, because evacuations are listed before servers.
func (f *Forwarder) checkEvacuatedNames() {
	if !f.initialSyncDone.Load() {
		return
	}
	var unknown []string
	f.mu.Lock()
	for _, v := range f.evacuations.set.Domains(f.now()) {
		if _, checked := f.evacuations.checked[v.Domain]; checked || !v.Active {
			continue
		}
		f.evacuations.checked[v.Domain] = struct{}{}
		if !f.engine.KnowsDomain(v.Domain) && !f.knowsInstanceIn(v.Domain) {
			unknown = append(unknown, v.Domain)
		}
	}
	f.mu.Unlock()
	for _, domain := range unknown {
		err := result.Errorf(result.StoreMalformed, "record %s%s: no backend server and no instance is in failure domain %q", wire.EvacuationPrefix, domain, domain)
		f.log.Warn().Uint16(logging.Code, errorCode(err)).Str(logging.Domain, domain).Err(err).Msg("evacuation_domain_unknown")
	}
}

// knowsInstanceIn reports whether an instance is in the failure domain. The caller must hold mu.
func (f *Forwarder) knowsInstanceIn(domain string) bool {
	for _, m := range f.mesh.Members() { // the first one is this instance
		if m.Domain == domain {
			return true
		}
	}
	return false
}

func (f *Forwarder) logEvacuation(domain string, at directory.Position, event string) {
	f.log.Info().Str(logging.Domain, domain).Stringer(logging.Revision, at).Msg(event)
}

func (f *Forwarder) logMalformedEvacuation(r *directory.Record, err error) {
	f.log.Error().Uint16(logging.Code, errorCode(err)).Stringer(logging.Revision, r.Revision).Err(err).Msg("evacuation_malformed")
}
