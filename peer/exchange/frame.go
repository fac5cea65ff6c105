package exchange

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"io"

	"github.com/monsoonthread/monsoonthread/result"
)

const (
	// frameHeaderBytes is the size of the length field in front of a frame.
	frameHeaderBytes = 4
	// compressedFlag is the bit of the length field that marks a compressed frame.
	compressedFlag = 1 << 31
	// compressionThresholdBytes is the frame size from which compression saves more time on a
	// 10 Mbit/s link than it takes.
	compressionThresholdBytes = 4 << 10
)

// WriteFrame writes a message with a length prefix and compresses large messages.
func WriteFrame(w io.Writer, m *Message) error {
	b := Append(make([]byte, frameHeaderBytes), m)
	var flag uint32
	if len(b) >= compressionThresholdBytes {
		compressed, err := compress(b[frameHeaderBytes:])
		if err != nil {
			return err
		}
		b, flag = compressed, compressedFlag
	}
	binary.BigEndian.PutUint32(b, uint32(len(b)-frameHeaderBytes)|flag)
	_, err := w.Write(b)
	return err
}

// compress returns the compressed bytes, preceded by space for the frame header.
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

// ReadFrame reads a message. Its frame must not exceed limit bytes before or after
// decompression.
func ReadFrame(r io.Reader, limit uint32) (*Message, error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	length := binary.BigEndian.Uint32(header[:])
	n := length &^ compressedFlag
	if n > limit {
		return nil, result.Errorf(result.PeerProtocol, "frame has %d bytes, limit is %d", n, limit)
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
