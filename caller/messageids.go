package caller

import (
	mathrand "math/rand/v2"
	"time"
)

const (
	// exchangeLifetime is the time for which a message ID must not be reused
	// (EXCHANGE_LIFETIME, RFC 7252, 4.8.2).
	exchangeLifetime = 247 * time.Second
	// midSegments is the granularity at which the use of message IDs is tracked.
	midSegments = 16
	midsPerSeg  = (1 << 16) / midSegments
)

// messageIDs hands out message IDs in order and never one that was used within
// exchangeLifetime, which limits a client to about 265 requests a second.
type messageIDs struct {
	last  uint16
	ended [midSegments]time.Time // last use of each segment
}

func newMessageIDs() messageIDs { return messageIDs{last: uint16(mathrand.Uint32())} }

func (m *messageIDs) next(now time.Time) (uint16, bool) {
	id := m.last + 1
	segment, current := id/midsPerSeg, m.last/midsPerSeg
	if segment != current {
		if used := m.ended[segment]; !used.IsZero() && now.Sub(used) < exchangeLifetime {
			return 0, false
		}
	}
	m.ended[segment] = now
	m.last = id
	return id, true
}

// duplicates remembers received messages by the hash of their bytes. The message ID
// alone does not identify them, because the instances behind a service address
// choose their IDs independently.
type duplicates struct {
	seen map[uint64]struct{}
	ring [recentMessages]uint64
	next int
}

func (d *duplicates) contains(hash uint64) bool {
	_, ok := d.seen[hash]
	return ok
}

func (d *duplicates) add(hash uint64) {
	if d.seen == nil {
		d.seen = make(map[uint64]struct{}, recentMessages)
	}
	delete(d.seen, d.ring[d.next])
	d.seen[hash] = struct{}{}
	d.ring[d.next] = hash
	d.next = (d.next + 1) % recentMessages
}
