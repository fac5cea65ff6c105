package exchange

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"io"

	"github.com/monsoonthread/monsoonthread/result"
)

const (
	// frameHeaderBytes is the size of a frame's length.
	frameHeaderBytes = 4
	// compressedFlag marks a compressed frame in its length.
	compressedFlag = 1 << 31
	// compressFrom is the size from which compression saves more time on a link of
	// 10 Mbit/s than it takes.
	compressFrom = 4 << 10
)

// WriteFrame writes a message with its length, compressed if it is large.
func WriteFrame(w io.Writer, m *Message) error {
	b := Append(make([]byte, frameHeaderBytes), m)
	var flag uint32
	if len(b) >= compressFrom {
		packed, err := compress(b[frameHeaderBytes:])
		if err != nil {
			return err
		}
		b, flag = packed, compressedFlag
	}
	binary.BigEndian.PutUint32(b, uint32(len(b)-frameHeaderBytes)|flag)
	_, err := w.Write(b)
	return err
}

// compress returns the compressed bytes after room for the header.
func compress(b []byte) ([]byte, error) {
	var out bytes.Buffer
	out.Write(make([]byte, frameHeaderBytes))
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(b); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// ReadFrame reads a message of at most limit bytes, before and after decompression.
func ReadFrame(r io.Reader, limit uint32) (*Message, error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	length := binary.BigEndian.Uint32(header[:])
	n := length &^ compressedFlag
	if n > limit {
		return nil, result.Errorf(result.PeerProtocol, "frame of %d bytes, at most %d", n, limit)
	}
	var body bytes.Buffer
	if _, err := io.CopyN(&body, r, int64(n)); err != nil {
		return nil, err
	}
	b := body.Bytes()
	if length&compressedFlag != 0 {
		var err error
		if b, err = io.ReadAll(io.LimitReader(flate.NewReader(&body), int64(limit)+1)); err != nil {
			return nil, result.Errorf(result.PeerProtocol, "decompress: %w", err)
		}
		if len(b) > int(limit) {
			return nil, result.Errorf(result.PeerProtocol, "decompressed frame has more than %d bytes", limit)
		}
	}
	return Decode(b)
}
