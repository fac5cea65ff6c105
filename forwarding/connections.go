package forwarding

// full reports whether the server holds as many open flows as it accepts, as far as this instance
// and its peers know.
func (s *server) full() bool { return false }
