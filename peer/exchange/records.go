package exchange

import (
	"encoding/binary"
	"errors"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/monsoonthread/monsoonthread/directory"
)

// appendPosition appends the revision and the era as two fields. Earlier versions of the program
// read only the revision.
func appendPosition(b []byte, revision, era protowire.Number, p directory.Position) []byte {
	return appendUint(appendUint(b, revision, p.Revision()), era, p.Era())
}

// position is a position whose two fields arrive in any order.
type position struct{ era, revision uint64 }

func (p position) decode(out *directory.Position) error {
	decoded, ok := directory.NewPosition(p.era, p.revision)
	if !ok {
		return errors.New("position out of range")
	}
	*out = decoded
	return nil
}

// appendHashes appends hashes of keys, 8 bytes each.
func appendHashes(b []byte, hashes []uint64) []byte {
	for _, h := range hashes {
		b = binary.LittleEndian.AppendUint64(b, h)
	}
	return b
}

func decodeHashes(b []byte, out *[]uint64) error {
	if len(b)%8 != 0 {
		return errors.New("hashes of keys are not 8 bytes each")
	}
	for ; len(b) > 0; b = b[8:] {
		*out = append(*out, binary.LittleEndian.Uint64(b))
	}
	return nil
}

func appendRecord(b []byte, r *directory.Record) []byte {
	b = appendBytes(b, 1, []byte(r.Key))
	if r.Value != nil {
		b = appendBytes(b, 2, r.Value)
	}
	b = appendPosition(b, 3, 7, r.Revision)
	b = appendBool(b, 4, r.Removed)
	b = appendBool(b, 8, r.Unconfirmed)
	if r.Delta == nil {
		return b
	}
	b = appendPosition(b, 5, 9, r.Delta.Base)
	b = appendUint(b, 10, r.Delta.BaseSum)
	for i := range r.Delta.Parts {
		b = appendBytes(b, 6, appendPart(nil, &r.Delta.Parts[i]))
	}
	return b
}

func appendPart(b []byte, p *directory.Part) []byte {
	b = appendUint(b, 1, uint64(p.Offset))
	b = appendUint(b, 2, uint64(p.Length))
	if len(p.Insert) > 0 {
		b = appendBytes(b, 3, p.Insert)
	}
	return b
}

func decodeRecord(b []byte, out *[]directory.Record) error {
	var r directory.Record
	var revision, base position
	err := forEachField(b, func(field protowire.Number, bytes []byte, number uint64) error {
		switch field {
		case 1:
			r.Key = string(bytes)
		case 2:
			r.Value = append([]byte{}, bytes...)
		case 3:
			revision.revision = number
		case 7:
			revision.era = number
		case 4:
			r.Removed = number != 0
		case 8:
			r.Unconfirmed = number != 0
		case 5:
			r.Delta, base.revision = new(directory.Delta), number
		case 9:
			base.era = number
		case 10:
			if r.Delta != nil {
				r.Delta.BaseSum = number
			}
		case 6:
			if r.Delta == nil {
				return errors.New("part of a delta without its base")
			}
			return decodePart(bytes, &r.Delta.Parts)
		}
		return nil
	})
	err = errors.Join(err, revision.decode(&r.Revision))
	if r.Delta != nil {
		err = errors.Join(err, base.decode(&r.Delta.Base))
	}
	*out = append(*out, r)
	return err
}

func decodePart(b []byte, out *[]directory.Part) error {
	var p directory.Part
	err := forEachField(b, func(field protowire.Number, bytes []byte, number uint64) error {
		switch field {
		case 1:
			p.Offset = int(min(number, MaxFrameBytes))
		case 2:
			p.Length = int(min(number, MaxFrameBytes))
		case 3:
			p.Insert = append([]byte{}, bytes...)
		}
		return nil
	})
	*out = append(*out, p)
	return err
}
