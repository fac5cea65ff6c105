package membership

import (
	"strconv"
	"time"
)

// Fenced reports whether other instances may have declared this one dead, in which case it
// must not dispatch: the machine was not called for longer than the suspicion timeout and
// has not rejoined since, or another process with a higher incarnation uses the same ID.
func (m *Machine) Fenced(now time.Time) bool {
	return m.fenced || m.duplicate != nil || now.Sub(m.lastCall) > m.cfg.SuspicionTimeout
}

// advanceClock is called first by every entry point. It detects gaps between calls, for
// example after the process was suspended.
func (m *Machine) advanceClock(now time.Time) {
	gap := now.Sub(m.lastCall)
	if gap <= 0 {
		return
	}
	m.lastCall = now
	if gap <= maxCallGap {
		return
	}
	m.extendTimers(gap)
	if gap > m.cfg.SuspicionTimeout {
		m.fence(now, gap)
	}
}

// extendTimers extends all timers that wait for other instances by the time in which this
// instance could not receive messages.
func (m *Machine) extendTimers(gap time.Duration) {
	for i := range m.probes {
		m.probes[i].indirectAt = m.probes[i].indirectAt.Add(gap)
		m.probes[i].deadline = m.probes[i].deadline.Add(gap)
	}
	for _, mb := range m.ownDomain.members {
		mb.suspectAt = mb.suspectAt.Add(gap)
	}
	for _, d := range m.domains {
		d.lastHeard = d.lastHeard.Add(gap)
	}
	if m.duplicate != nil {
		m.duplicate.lastHeard = m.duplicate.lastHeard.Add(gap)
	}
}

// fence marks the instance as fenced after a gap between calls and starts the rejoin.
func (m *Machine) fence(now time.Time, gap time.Duration) {
	m.fenced, m.fencedSince = true, now
	m.probes = m.probes[:0]
	m.addDiagnostic("membership_fenced", Field{"gap_ms", strconv.FormatInt(gap.Milliseconds(), 10)})
	if m.duplicate != nil {
		return // the duplicate process keeps the higher incarnation
	}
	m.raiseIncarnation(m.self.Incarnation + 1)
	for _, mb := range m.randomPeers(rejoinPings, nil) {
		m.ping(now, mb)
	}
}

// tickFence ends fencing when no peer confirms the rejoin in time, so that an isolated
// instance continues to serve what it can. The call that detected the gap never ends
// fencing.
func (m *Machine) tickFence(now time.Time) {
	wait := m.cfg.SuspicionTimeout + 2*m.cfg.ProbeTimeout
	since := now.Sub(m.fencedSince)
	if m.fenced && (since >= wait || since > 0 && m.liveMembers() == 1) {
		m.rejoin()
	}
}

func (m *Machine) rejoin() {
	m.fenced = false
	m.rejoinedIncarnation = m.self.Incarnation
	m.pendingActions = append(m.pendingActions, Rejoined{m.self.Incarnation})
}
