package admission

import (
	"net/netip"
	"time"
)

const (
	prefixBits4, prefixBits6 = 24, 56
	prefixWays               = 8
	// DefaultPrefixEntries limits the table to 512 KB.
	DefaultPrefixEntries = 32768
)

// PrefixLimiter limits the new flows per second of each source prefix (/24 for
// IPv4, /56 for IPv6). The table is set-associative and has a fixed size. In a full set
// of 8 entries, the prefix that is furthest below its limit is evicted: eviction resets
// a prefix to its full burst, so this changes its limit the least.
type PrefixLimiter struct {
	interval, burst int64 // in ns: time per flow, and unused time that may accumulate
	entries         []prefixEntry
	sets            uint64
	seed            uint64
	epoch           time.Time
}

// prefixEntry holds the time, in ns since the epoch, at which the prefix has its full
// burst again.
type prefixEntry struct {
	key    uint64
	fullAt int64
}

// NewPrefixLimiter returns a limiter that allows perSecond new flows per prefix and bursts
// of burst flows. The seed prevents callers from choosing prefixes that share a set.
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

// Allow reports whether a new flow from the address is within the limit and, if not, how
// long to wait.
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
		if set[i].fullAt < set[slot].fullAt {
			slot = i
		}
	}
	e := &set[slot]
	if e.key != key {
		*e = prefixEntry{key: key}
	}
	next := max(e.fullAt, t) + l.interval
	if over := next - t - l.burst; over > 0 {
		return false, time.Duration(over)
	}
	e.fullAt = next
	return true, 0
}

// key returns the hash of the address prefix. It is never 0, which marks an empty entry.
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
