package flow

// Observe numbers have 24 bits and are compared as serial numbers (RFC 7641, 3.4).
// A holder counts with 64 bits in milliseconds of the hybrid logical clock, so the
// comparison is exact however long a stream is silent.
const (
	sequenceBits = 24
	sequenceMask = 1<<sequenceBits - 1

	// maxAhead is the time in ms (2.3 h) by which a number may be ahead of the clock,
	// which bounds the skew between holders; one that seems to be further ahead is
	// from the past.
	maxAhead = 1<<(sequenceBits-1) - 1

	// takeOverMargin in ms covers the transfer of a copy, the granularity of its
	// time stamp and the drift between clocks.
	takeOverMargin = 2000
)

// unwrap returns the number with the given lower 24 bits that is nearest to clock.
func unwrap(sequence uint32, clock uint64) uint64 {
	ahead := (uint64(sequence) - clock) & sequenceMask
	if ahead <= maxAhead {
		return clock + ahead
	}
	if clock+ahead < 1<<sequenceBits {
		return uint64(sequence)
	}
	return clock + ahead - 1<<sequenceBits
}

// later returns the later of two Observe numbers. 0 stands for "none".
func later(a, b uint32) uint32 {
	if a == 0 || (b != 0 && (b-a)&sequenceMask < 1<<(sequenceBits-1)) {
		return b
	}
	return a
}
