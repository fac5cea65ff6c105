package forwarding

import "time"

// allowsColdStart reports whether the server is warm, or cold and this instance may send another
// opening packet to it.
func (e *Engine) allowsColdStart(now time.Duration, s *server) bool { return true }

// countOpeningPacket counts an opening packet sent to the server.
func (e *Engine) countOpeningPacket(now time.Duration, s *server) {}
