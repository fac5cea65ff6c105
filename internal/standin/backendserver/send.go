package backendserver

import (
	"net/netip"
	"slices"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
)

func (s *Server) midLocked(remote netip.AddrPort) uint16 {
	id, ok := s.nextMID[remote]
	if !ok {
		id = uint16(s.rng.Uint32())
	}
	s.nextMID[remote] = id + 1
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
	// A lost datagram is repaired by retransmission.
	_, _ = s.conn.WriteToUDPAddrPort(b, to)
}

func (s *Server) expectAckLocked(key messageKey, datagram []byte, o *observer) {
	s.outbox[key] = &outgoing{
		key: key, datagram: datagram, observer: o, timeout: ackTimeout,
		next: time.Now().Add(ackTimeout),
	}
}

// sweepLoop retransmits, forgets old message IDs and ends drains.
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
			if !s.dead {
				s.sweepLocked(now)
			}
			s.mu.Unlock()
		}
	}
}

func (s *Server) sweepLocked(now time.Time) {
	for key, o := range s.outbox {
		if now.Before(o.next) {
			continue
		}
		if o.attempts >= maxRetransmit {
			delete(s.outbox, key)
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
	for old < len(s.expiry) && s.expiry[old].expires.Before(now) {
		if ex := s.expiry[old]; s.exchanges[ex.key] == ex {
			delete(s.exchanges, ex.key)
		}
		old++
	}
	s.expiry = slices.Delete(s.expiry, 0, old)
	if !s.drainEnds.IsZero() && !s.ended && now.After(s.drainEnds) {
		s.endDrainLocked()
	}
}
