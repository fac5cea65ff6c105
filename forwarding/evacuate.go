package forwarding

import "time"

// SetEvacuated records whether operators have evacuated a failure domain. Its servers get no new
// flows meanwhile; open flows stay.
func (e *Engine) SetEvacuated(now time.Duration, domain string, active bool) {
	if active {
		e.evacuated[domain] = struct{}{}
		return
	}
	delete(e.evacuated, domain)
}

// isEvacuated reports whether the server is in an evacuated failure domain.
func (e *Engine) isEvacuated(s *server) bool {
	if len(e.evacuated) == 0 {
		return false
	}
	_, active := e.evacuated[s.Domain]
	return active
}
