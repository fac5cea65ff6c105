package directory

import "strconv"

// Position is a place in the order of all changes of the store. When the store comes back from an
// older copy, it gives revisions out again and begins a new era, so revisions alone do not order
// changes. Positions compare like numbers: first by era, then by revision.
type Position uint64

// revisionBits is the number of low bits that hold the revision. They hold a revision that began at a
// time in milliseconds; 16 bits are left for the era, enough for a restore each day in 179 years.
const revisionBits = 48

// NewPosition returns the position of a revision in an era. It returns false if either number is
// out of range.
func NewPosition(era, revision uint64) (Position, bool) {
	if era >= 1<<(64-revisionBits) || revision >= 1<<revisionBits {
		return 0, false
	}
	return Position(era<<revisionBits | revision), true
}

// Era returns the number of the store's era.
func (p Position) Era() uint64 { return uint64(p) >> revisionBits }

// Revision returns the revision within the era.
func (p Position) Revision() uint64 { return uint64(p) & (1<<revisionBits - 1) }

// String returns the position as ERA/REVISION.
func (p Position) String() string {
	return strconv.FormatUint(p.Era(), 10) + "/" + strconv.FormatUint(p.Revision(), 10)
}
