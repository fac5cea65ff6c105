package directory

import "bytes"

// Delta describes a value by what it shares with the value of the same key at an earlier
// revision, because a change of a large configuration concerns few of its routes.
type Delta struct {
	Base  uint64 // revision of the earlier value
	Parts []Part
}

// Part is either a range of the earlier value or new bytes.
type Part struct {
	Offset, Length int    // of the earlier value; Length 0 for new bytes
	Insert         []byte // new bytes
}

// minCopy is the length from which a range is worth naming instead of its bytes.
const minCopy = 16

// diff describes value by ranges of base. Values are cut after each closing brace, which
// ends a route or another object.
func diff(base, value []byte) []Part {
	offsets := make(map[string]int)
	for at, piece := range pieces(base) {
		offsets[string(piece)] = at
	}
	var parts []Part
	for _, piece := range pieces(value) {
		at, found := offsets[string(piece)]
		last := len(parts) - 1
		switch {
		case last >= 0 && parts[last].Length > 0 && bytes.HasPrefix(base[parts[last].Offset+parts[last].Length:], piece):
			parts[last].Length += len(piece)
		case !found || len(piece) < minCopy:
			if last >= 0 && parts[last].Length == 0 {
				parts[last].Insert = append(parts[last].Insert, piece...)
			} else {
				parts = append(parts, Part{Insert: append([]byte(nil), piece...)})
			}
		default:
			parts = append(parts, Part{Offset: at, Length: len(piece)})
		}
	}
	return parts
}

// pieces iterates over the offsets and pieces of a value.
func pieces(value []byte) func(func(int, []byte) bool) {
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

// apply rebuilds a value. It reports false for a part outside of base.
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
