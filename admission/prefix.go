package admission

import (
	"net/netip"
	"time"
)

const (
	prefixBits4, prefixBits6 = 24, 56
	prefixWays               = 8
	// DefaultPrefixEntries bounds the table to 512 KB.
	DefaultPrefixEntries = 32768
)

// PrefixLimiter limits the new flows per second of each source prefix (/24 for
// IPv4, /56 for IPv6). The table has a fixed size. In a full set of 8 entries the
// prefix that is furthest below its limit is evicted first: it loses the least,
// because a prefix without an entry has its full burst.
type PrefixLimiter struct {
	interval, burst int64 // nanoseconds per flow, and of saved allowance
	entries         []prefixEntry
	sets            uint64
	seed            uint64
	epoch           time.Time
}

// prefixEntry holds the time (ns since the epoch) at which the prefix has its full
// burst again.
type prefixEntry struct {
	key  uint64
	full int64
}

// NewPrefixLimiter allows perSecond new flows per prefix and bursts of burst flows.
// The seed keeps callers from choosing prefixes that share a set.
func NewPrefixLimiter(perSecond float64, burst, entries int, seed uint64, now time.Time) *PrefixLimiter {
	if entries <= 0 {
		entries = DefaultPrefixEntries
	}
	sets := uint64((entries + prefixWays - 1) / prefixWays)
	interval := int64(float64(time.Second) / perSecond)
	return &PrefixLimiter{
		interval: interval, burst: int64(max(burst, 1)) * interval,
		entries: make([]prefixEntry, sets*prefixWays), sets: sets, seed: seed, epoch: now.Add(-time.Second),
	}
}

// Allow reports whether a new flow from the address is within the limit, and
// otherwise how long to wait.
func (l *PrefixLimiter) Allow(now time.Time, addr netip.Addr) (ok bool, retryAfter time.Duration) {
	key := l.key(addr)
	t := now.Sub(l.epoch).Nanoseconds()
	first := (key % l.sets) * prefixWays
	set := l.entries[first : first+prefixWays]
	slot := 0
	for i := range set {
		if set[i].key == key {
			slot = i
			break
		}
		if set[i].full < set[slot].full {
			slot = i
		}
	}
	e := &set[slot]
	if e.key != key {
		*e = prefixEntry{key: key}
	}
	next := max(e.full, t) + l.interval
	if over := next - t - l.burst; over > 0 {
		return false, time.Duration(over)
	}
	e.full = next
	return true, 0
}

// key hashes the prefix of the address; 0 marks an empty entry.
func (l *PrefixLimiter) key(addr netip.Addr) uint64 {
	addr = addr.Unmap()
	b := addr.As16()
	bits := prefixBits6
	if addr.Is4() {
		bits = 96 + prefixBits4
	}
	h := l.seed
	for _, x := range b[:bits/8] {
		h = (h ^ uint64(x)) * 0x9e3779b97f4a7c15
		h ^= h >> 29
	}
	return h | 1
}
