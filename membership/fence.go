package membership

import (
	"strconv"
	"time"
)

// Fenced reports that other instances may have declared this one dead, so that it must
// not dispatch: the machine was not called for longer than the suspicion time and has
// not rejoined since, or another process with a higher incarnation uses the same ID.
func (m *Machine) Fenced(now time.Time) bool {
	return m.fenced || m.rival != nil || now.Sub(m.last) > m.cfg.SuspicionTimeout
}

// enter is called first by every entry point: it finds gaps in the own clock.
func (m *Machine) enter(now time.Time) {
	gap := now.Sub(m.last)
	if gap <= 0 {
		return
	}
	m.last = now
	if gap <= lateCall {
		return
	}
	m.shiftTimers(gap)
	if gap > m.cfg.SuspicionTimeout {
		m.fence(now, gap)
	}
}

// shiftTimers extends everything that waits for other instances by a time in which
// this instance could not receive.
func (m *Machine) shiftTimers(gap time.Duration) {
	for i := range m.probes {
		m.probes[i].indirectAt = m.probes[i].indirectAt.Add(gap)
		m.probes[i].deadline = m.probes[i].deadline.Add(gap)
	}
	for _, mb := range m.own.members {
		mb.suspectAt = mb.suspectAt.Add(gap)
	}
	for _, d := range m.domains {
		d.heard = d.heard.Add(gap)
	}
	if m.rival != nil {
		m.rival.seen = m.rival.seen.Add(gap)
	}
}

// fence stops the instance after a gap in its own clock and starts the rejoin.
func (m *Machine) fence(now time.Time, gap time.Duration) {
	m.fenced, m.fencedSince = true, now
	m.probes = m.probes[:0]
	m.diagnose("membership_fenced", Field{"gap_ms", strconv.FormatInt(gap.Milliseconds(), 10)})
	if m.rival != nil {
		return // the other process keeps the higher incarnation
	}
	m.raise(m.self.Incarnation + 1)
	for _, mb := range m.randomPeers(rejoinPings, nil) {
		m.ping(now, mb)
	}
}

// tickFence ends the fence when nobody can be asked: an instance that is cut off
// continues to serve what it can. The call that found the gap never ends the fence.
func (m *Machine) tickFence(now time.Time) {
	wait := m.cfg.SuspicionTimeout + 2*m.cfg.ProbeTimeout
	since := now.Sub(m.fencedSince)
	if m.fenced && (since >= wait || since > 0 && m.alive() == 1) {
		m.rejoin()
	}
}

func (m *Machine) rejoin() {
	m.fenced = false
	m.rejoined = m.self.Incarnation
	m.out = append(m.out, Rejoined{m.self.Incarnation})
}

// raise gives the instance a higher incarnation and announces it. It counts up by one
// instead of taking the wall clock, so that a process that was started later with the
// same ID keeps the higher incarnation.
