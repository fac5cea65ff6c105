package directory

import "testing"

// Guards against a store whose answers are all rejected because its revisions began at a high number,
// for example at the time in milliseconds or microseconds, and against positions of two eras that compare wrongly.
func TestRevisionsThatAreTimes(t *testing.T) {
	for _, revision := range []uint64{1, 1_796_500_000_000, 1<<revisionBits - 1} {
		before, ok := NewPosition(3, revision)
		after, okAfter := NewPosition(4, 1)
		if !ok || !okAfter || before.Era() != 3 || before.Revision() != revision || before >= after {
			t.Errorf("revision %d of era 3: %v, revision 1 of era 4: %v", revision, before, after)
		}
	}
	for _, p := range [][2]uint64{{0, 1 << revisionBits}, {1 << (64 - revisionBits), 0}} {
		if position, ok := NewPosition(p[0], p[1]); ok {
			t.Errorf("revision %d of era %d is out of range, got %v", p[1], p[0], position)
		}
	}
}
