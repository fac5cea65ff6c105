package flow

// Observe numbers have 24 bits and are compared as serial numbers (RFC 7641, 3.4).
// An owner counts with 64 bits in milliseconds of the hybrid logical clock, so its
// comparisons are exact regardless of how long a stream has no notification.
const (
	sequenceBits = 24
	sequenceMask = 1<<sequenceBits - 1

	// maxAheadMillis is the time (2.3 h) by which a number may be ahead of the clock, which
	// limits the clock skew between owners. A number that appears to be further ahead is
	// interpreted as one from the past.
	maxAheadMillis = 1<<(sequenceBits-1) - 1

	// takeOverMarginMillis covers the transfer time of a copy, the resolution of its
	// timestamp and the drift between clocks.
	takeOverMarginMillis = 2000
)

// unwrapSequence returns the number nearest to clock whose lower 24 bits are sequence.
func unwrapSequence(sequence uint32, clock uint64) uint64 {
	ahead := (uint64(sequence) - clock) & sequenceMask
	if ahead <= maxAheadMillis {
		return clock + ahead
	}
	if clock+ahead < 1<<sequenceBits {
		return uint64(sequence)
	}
	return clock + ahead - 1<<sequenceBits
}

// laterSequence returns the later of two Observe numbers. 0 stands for "none".
func laterSequence(a, b uint32) uint32 {
	if a == 0 || (b != 0 && (b-a)&sequenceMask < 1<<(sequenceBits-1)) {
		return b
	}
	return a
}
