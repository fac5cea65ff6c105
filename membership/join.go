package membership

import "time"

// SetWeight announces a new size of this instance. An instance starts with weight 0,
// which owns nothing, and takes its weight when its view is complete.
func (m *Machine) SetWeight(now time.Time, weight uint32) []Action {
	m.enter(now)
	if m.self.Weight != weight {
		m.self.Weight = weight
		m.raise(m.self.Incarnation + 1)
		for _, mb := range m.randomPeers(rejoinPings, nil) {
			m.ping(now, mb)
		}
		m.nextDomain = now
	}
	return m.flush()
}
