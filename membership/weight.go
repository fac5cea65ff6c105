package membership

import "time"

// SetWeight announces a new weight of this instance. An instance starts with weight 0, so
// that it owns nothing, and sets its weight when its view is complete.
func (m *Machine) SetWeight(now time.Time, weight uint32) []Action {
	m.advanceClock(now)
	if m.self.Weight != weight {
		m.self.Weight = weight
		m.raiseIncarnation(m.self.Incarnation + 1)
		for _, mb := range m.randomPeers(rejoinPings, nil) {
			m.ping(now, mb)
		}
		m.nextHeartbeat = now
	}
	return m.takeActions()
}
