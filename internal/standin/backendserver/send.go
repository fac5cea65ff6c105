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
	for key, msg := range s.unacked {
		if now.Before(msg.next) {
			continue
		}
		if msg.attempts >= maxRetransmit {
			delete(s.unacked, key)
			if msg.observer != nil && s.observers[msg.observer.key] == msg.observer {
				s.status.LostObservers++
				delete(s.observers, msg.observer.key)
			}
			continue
		}
		msg.attempts++
		msg.timeout *= 2
		msg.next = now.Add(msg.timeout)
		s.writeLocked(msg.datagram, key.remote)
	}
	expired := 0
	for expired < len(s.exchangeExpiry) && s.exchangeExpiry[expired].expires.Before(now) {
		if ex := s.exchangeExpiry[expired]; s.exchanges[ex.key] == ex {
			delete(s.exchanges, ex.key)
		}
		expired++
	}
	s.exchangeExpiry = slices.Delete(s.exchangeExpiry, 0, expired)
	if !s.drainEnds.IsZero() && !s.drainEnded && now.After(s.drainEnds) {
		s.endDrainLocked()
	}
}
