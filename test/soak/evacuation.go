package soak

import (
	"context"
	"maps"
	"os/exec"
	"slices"
	"time"

	"github.com/monsoonthread/monsoonthread/platform/wire"
)

// evacuationRecord is the value that operators write.
var evacuationRecord = []byte(`{"reason":"maintenance"}`)

// evacuation is the evacuation of a failure domain, or the end of one.
type evacuation struct {
	acknowledgedAt time.Time // when the store had the record; later if it lost the record and got it again
	endedAt        time.Time // when the store acknowledged the removal; zero while the domain is evacuated
	// appliedBy holds the processes that were in touch with the store until after the bound. Such a
	// process keeps the evacuation whatever happens, also to the store.
	appliedBy map[*instance]*exec.Cmd
	violators map[*instance]bool // instances whose violation is recorded
}

func (e *evacuation) active() bool { return e != nil && e.endedAt.IsZero() }

// beginEvacuation writes the record of a domain into the store.
func (d *deployment) beginEvacuation(domain string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.evacuations[domain].active() {
		return
	}
	d.store.Put(wire.EvacuationPrefix+domain, evacuationRecord)
	d.evacuations[domain] = &evacuation{acknowledgedAt: time.Now(), appliedBy: make(map[*instance]*exec.Cmd), violators: make(map[*instance]bool)}
}

// endEvacuation removes the record of a domain from the store. The end is recorded before the
// removal, since instances may open flows as soon as the record is gone.
func (d *deployment) endEvacuation(domain string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e := d.evacuations[domain]; e.active() {
		e.endedAt = time.Now()
		d.store.Remove(wire.EvacuationPrefix + domain)
	}
}

func (d *deployment) evacuated(domain string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.evacuations[domain].active()
}

// evacuateForAWhile evacuates a domain for up to twice the bound.
func (d *deployment) evacuateForAWhile(domain string) {
	d.beginEvacuation(domain)
	d.endFault("evacuation "+domain, d.randomDuration(int(2*evacuationBound.Milliseconds())), func() {
		d.mu.Lock()
		over := d.faultsOver
		d.mu.Unlock()
		if !over { // the evacuations of the later checks have no end of their own
			d.endEvacuation(domain)
		}
	})
}

func (d *deployment) endAllEvacuations() {
	d.mu.Lock()
	domains := slices.Sorted(maps.Keys(d.evacuations))
	d.mu.Unlock()
	for _, domain := range domains {
		d.endEvacuation(domain)
	}
}

// correctEvacuation writes the record of an evacuated domain again, over one that cannot be read.
func (d *deployment) correctEvacuation(domain string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.evacuations[domain].active() {
		d.store.Put(wire.EvacuationPrefix+domain, evacuationRecord)
		return
	}
	d.store.Remove(wire.EvacuationPrefix + domain)
}

// writeEvacuationsAgain writes and removes what a restored store has lost. The caller holds d.mu.
func (d *deployment) writeEvacuationsAgain() {
	for domain, e := range d.evacuations {
		key := wire.EvacuationPrefix + domain
		switch known := d.store.Value(key) != nil; {
		case e.active() && !known:
			d.store.Put(key, evacuationRecord)
			e.acknowledgedAt = time.Now()
			clear(e.appliedBy)
		case !e.active() && known:
			d.store.Remove(key)
			e.endedAt = time.Now()
		}
	}
}

// watchEvacuations records which processes were in touch until after the bound of an evacuation.
func (d *deployment) watchEvacuations(ctx context.Context) {
	for ; ctx.Err() == nil; time.Sleep(100 * time.Millisecond) {
		for _, in := range d.instances {
			in.mu.Lock()
			cmd := in.cmd
			in.mu.Unlock()
			if !in.settled() {
				continue
			}
			d.mu.Lock()
			for _, e := range d.evacuations {
				if e.active() && time.Since(e.acknowledgedAt) > evacuationBound {
					e.appliedBy[in] = cmd
				}
			}
			d.mu.Unlock()
		}
	}
}

// checkEvacuated checks that no opening packet reaches a server of an evacuated failure domain
// later than evacuationBound after the store acknowledged the record. As for other changes, the
// bound holds for settled instances. It also holds for processes that were settled after the
// bound and for processes that started after it, when all faults were over: an instance that is not
// ready forwards no opening packet, and one that is ready has the evacuations.
func (d *deployment) checkEvacuated(s *server, in *instance) {
	s.mu.Lock()
	movedAt := s.movedAt
	s.mu.Unlock()
	in.mu.Lock()
	cmd, startedAt, cleanStart := in.cmd, in.startedAt, in.cleanStart
	in.mu.Unlock()
	settled := in.settled()

	d.mu.Lock()
	e := d.evacuations[s.Domain]
	var since time.Duration
	applied, startedLater, recorded := false, false, false
	if e.active() {
		begun := e.acknowledgedAt
		if movedAt.After(begun) {
			begun = movedAt
		}
		since = time.Since(begun)
		applied = e.appliedBy[in] == cmd && movedAt.IsZero()
		startedLater = cleanStart && startedAt.Sub(begun) > evacuationBound
		recorded = e.violators[in]
	}
	violated := since > evacuationBound && (settled || applied || startedLater) && !recorded
	if violated {
		e.violators[in] = true
	}
	d.mu.Unlock()
	if violated {
		d.recordViolation("server %s received an opening packet from %s %v after its failure domain %s was evacuated (settled: %t, was in touch after the bound: %t, started later: %t)",
			s.ID, in.name, since.Round(time.Millisecond), s.Domain, settled, applied, startedLater)
	}
}

// evacuableDomain returns a domain other than the given one outside of which both services have a running server.
func (d *deployment) evacuableDomain(other string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, n := range d.rng.Perm(domainCount) {
		outside := make(map[string]bool)
		for _, s := range d.servers {
			s.mu.Lock()
			if s.stoppedAt.IsZero() && s.drainedAt.IsZero() && s.Domain != domainName(n) {
				outside[s.Service] = true
			}
			s.mu.Unlock()
		}
		if domainName(n) != other && outside["orders"] && outside["catalogue"] {
			return domainName(n)
		}
	}
	return ""
}

// evacuateOneDomain evacuates a domain after all faults have ended.
func (d *deployment) evacuateOneDomain() {
	if domain := d.evacuableDomain(""); d.uses.evacuation && domain != "" {
		d.beginEvacuation(domain)
	}
}

// evacuateAnotherDomain ends the evacuation that is in effect and evacuates another domain.
func (d *deployment) evacuateAnotherDomain() (first, second string) {
	if !d.uses.evacuation {
		return "", ""
	}
	for n := range domainCount {
		if d.evacuated(domainName(n)) {
			first = domainName(n)
		}
	}
	d.endEvacuation(first)
	if second = d.evacuableDomain(first); second != "" {
		d.beginEvacuation(second)
	}
	return first, second
}

// checkEvacuations checks that the domain whose evacuation has ended gets new flows again, and that the other
// one is in effect, without which checkEvacuated has nothing to check.
func (d *deployment) checkEvacuations(ended, active string) {
	if !d.uses.evacuation {
		return
	}
	d.mu.Lock()
	var servers []*server
	for _, s := range d.servers {
		if s.Domain == ended && s.Service == "orders" && s.alive() {
			servers = append(servers, s)
		}
	}
	if e := d.evacuations[active]; active != "" && !(e.active() && time.Since(e.acknowledgedAt) > evacuationBound) {
		defer d.recordViolation("the evacuation of %s cannot be checked: it is not in effect", active)
	}
	d.mu.Unlock()
	opened := func() (n int) {
		for _, s := range servers {
			n += s.Counters().Opened
		}
		return n
	}
	before := opened()
	for end := time.Now().Add(recoveryTimeout); len(servers) > 0 && opened() == before; {
		d.openMany(12, 20*time.Millisecond, d.instanceForFlow)
		if time.Now().After(end) {
			d.recordViolation("%d servers of %s received no opening packet within %v although its evacuation has ended (still in the store: %t)",
				len(servers), ended, recoveryTimeout, d.store.Value(wire.EvacuationPrefix+ended) != nil)
			return
		}
	}
}
