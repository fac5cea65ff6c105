package directory

import (
	"bytes"

	"github.com/cespare/xxhash/v2"
)

// Delta describes a value by its differences from the value of the same key at an earlier
// position. A change of a large configuration affects only a few of its routes.
type Delta struct {
	Base    Position // of the earlier value
	BaseSum uint64   // hash of the earlier value; tables may hold different values for one position after a restore
	Parts   []Part
}

// newDelta returns the delta from an earlier record to a value of the same key.
func newDelta(base *Record, value []byte) *Delta {
	return &Delta{Base: base.Revision, BaseSum: xxhash.Sum64(base.Value), Parts: diff(base.Value, value)}
}

// Part is either a range of the earlier value or new bytes.
type Part struct {
	Offset, Length int    // range of the earlier value; Length 0 for new bytes
	Insert         []byte // new bytes
}

// minCopyBytes is the minimum length of a range that is copied from the earlier value.
// Shorter ones are inserted.
const minCopyBytes = 16

// diff returns the parts that build value from base. Values are split after each closing
// brace, which ends a route or another object.
func diff(base, value []byte) []Part {
	offsets := make(map[string]int)
	for at, chunk := range chunks(base) {
		offsets[string(chunk)] = at
	}
	var parts []Part
	for _, chunk := range chunks(value) {
		at, found := offsets[string(chunk)]
		last := len(parts) - 1
		switch {
		case last >= 0 && parts[last].Length > 0 && bytes.HasPrefix(base[parts[last].Offset+parts[last].Length:], chunk):
			parts[last].Length += len(chunk)
		case !found || len(chunk) < minCopyBytes:
			if last >= 0 && parts[last].Length == 0 {
				parts[last].Insert = append(parts[last].Insert, chunk...)
			} else {
				parts = append(parts, Part{Insert: append([]byte(nil), chunk...)})
			}
		default:
			parts = append(parts, Part{Offset: at, Length: len(chunk)})
		}
	}
	return parts
}

// chunks iterates over the chunks of a value and their offsets.
func chunks(value []byte) func(func(int, []byte) bool) {
	return func(yield func(int, []byte) bool) {
		for at := 0; at < len(value); {
			n := bytes.IndexByte(value[at:], '}') + 1
			if n == 0 {
				n = len(value) - at
			}
			if !yield(at, value[at:at+n]) {
				return
			}
			at += n
		}
	}
}

// apply rebuilds the value from base. It returns false if a part lies outside of base.
func (d *Delta) apply(base []byte) ([]byte, bool) {
	var value []byte
	for _, p := range d.Parts {
		if p.Length == 0 {
			value = append(value, p.Insert...)
			continue
		}
		if p.Offset < 0 || p.Length < 0 || p.Offset > len(base)-p.Length {
			return nil, false
		}
		value = append(value, base[p.Offset:p.Offset+p.Length]...)
	}
	return value, true
}
