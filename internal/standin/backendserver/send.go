package backendserver

import (
	"net/netip"
	"slices"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
)

// nextMIDLocked returns the next message ID for messages to an endpoint.
func (s *Server) nextMIDLocked(remote netip.AddrPort) uint16 {
	id, ok := s.nextMIDs[remote]
	if !ok {
		id = uint16(s.rng.Uint32())
	}
	s.nextMIDs[remote] = id + 1
	return id
}

// sendLocked encodes and writes a message and returns its datagram.
func (s *Server) sendLocked(m message.Message, to netip.AddrPort) []byte {
	b, err := encodeMessage(m)
	if err != nil {
		s.status.Malformed++
		return nil
	}
	s.writeLocked(b, to)
	return b
}

func (s *Server) writeLocked(b []byte, to netip.AddrPort) {
	// Errors are ignored, because retransmission handles lost datagrams.
	_, _ = s.conn.WriteToUDPAddrPort(b, to)
}

func (s *Server) expectAckLocked(key messageKey, datagram []byte, o *observer) {
	s.unacked[key] = &unackedMessage{
		key: key, datagram: datagram, observer: o, timeout: ackTimeout,
		next: time.Now().Add(ackTimeout),
	}
}

// sweepLoop periodically retransmits messages, removes expired message IDs and ends drains.
func (s *Server) sweepLoop() {
	defer s.loops.Done()
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case <-s.stop:
			return
		case now := <-t.C:
			s.mu.Lock()
			if !s.killed {
				s.sweepLocked(now)
			}
			s.mu.Unlock()
		}
	}
}

func (s *Server) sweepLocked(now time.Time) {
	for key, o := range s.unacked {
		if now.Before(o.next) {
			continue
		}
		if o.attempts >= maxRetransmit {
			delete(s.unacked, key)
			if o.observer != nil && s.observers[o.observer.key] == o.observer {
				s.status.LostObservers++
				delete(s.observers, o.observer.key)
			}
			continue
		}
		o.attempts++
		o.timeout *= 2
		o.next = now.Add(o.timeout)
		s.writeLocked(o.datagram, key.remote)
	}
	old := 0
	for old < len(s.exchangeExpiry) && s.exchangeExpiry[old].expires.Before(now) {
		if ex := s.exchangeExpiry[old]; s.exchanges[ex.key] == ex {
			delete(s.exchanges, ex.key)
		}
		old++
	}
	s.exchangeExpiry = slices.Delete(s.exchangeExpiry, 0, old)
	if !s.drainEnds.IsZero() && !s.drainEnded && now.After(s.drainEnds) {
		s.endDrainLocked()
	}
}
