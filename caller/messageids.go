package caller

import (
	mathrand "math/rand/v2"
	"time"
)

const (
	// exchangeLifetime is the time during which a message ID must not be reused
	// (EXCHANGE_LIFETIME, RFC 7252, 4.8.2).
	exchangeLifetime = 247 * time.Second
	// midSegments is the number of ranges of message IDs whose last use is tracked.
	midSegments    = 16
	midsPerSegment = (1 << 16) / midSegments
)

// messageIDs allocates message IDs in order and never one that was used within
// exchangeLifetime, which limits a client to about 265 requests per second.
type messageIDs struct {
	last     uint16
	lastUsed [midSegments]time.Time // per segment
}

func newMessageIDs() messageIDs { return messageIDs{last: uint16(mathrand.Uint32())} }

func (m *messageIDs) next(now time.Time) (uint16, bool) {
	id := m.last + 1
	segment, current := id/midsPerSegment, m.last/midsPerSegment
	if segment != current {
		if used := m.lastUsed[segment]; !used.IsZero() && now.Sub(used) < exchangeLifetime {
			return 0, false
		}
	}
	m.lastUsed[segment] = now
	m.last = id
	return id, true
}

// duplicateFilter remembers the hashes of received messages. A message ID alone does
// not identify a message, because the instances behind a service address choose their
// IDs independently.
type duplicateFilter struct {
	seen map[uint64]struct{}
	ring [duplicateFilterSize]uint64
	next int
}

func (d *duplicateFilter) contains(hash uint64) bool {
	_, ok := d.seen[hash]
	return ok
}

func (d *duplicateFilter) add(hash uint64) {
	if d.seen == nil {
		d.seen = make(map[uint64]struct{}, duplicateFilterSize)
	}
	delete(d.seen, d.ring[d.next])
	d.seen[hash] = struct{}{}
	d.ring[d.next] = hash
	d.next = (d.next + 1) % duplicateFilterSize
}
