// Package flows contains stand-ins for the platform's clients and backend servers, which
// exchange packets of flows over UDP.
package flows

import (
	"encoding/binary"
	"hash/fnv"
	"net/netip"
)

// Flags of a packet.
const (
	SYN = 16
	ACK = 64
	FIN = 4
	RST = 8
)

const headerBytes = 34

// checksumKey is known to clients and backend servers, but not to the forwarder, so that a
// packet that the forwarder changed or made up fails the checksum.
const checksumKey = "stand-in"

// Packet is a packet of a flow.
type Packet struct {
	Source, Destination netip.AddrPort
	Flags               byte
	Cookie              uint32
	Sequence, Ack       uint32
	Data                []byte
	ChecksumValid       bool // set by Unmarshal if the checksum matches
}

// Marshal encodes the packet and its checksum.
func (p *Packet) Marshal() []byte {
	b := make([]byte, headerBytes+len(p.Data))
	binary.LittleEndian.PutUint32(b[4:], p.Cookie)
	binary.LittleEndian.PutUint32(b[8:], p.Sequence)
	binary.LittleEndian.PutUint32(b[12:], p.Ack)
	b[16] = p.Flags
	writeAddress(b[20:], p.Destination.Addr())
	binary.LittleEndian.PutUint16(b[24:], p.Source.Port())
	binary.LittleEndian.PutUint16(b[26:], p.Destination.Port())
	writeAddress(b[28:], p.Source.Addr())
	binary.LittleEndian.PutUint16(b[32:], uint16(len(p.Data)))
	copy(b[headerBytes:], p.Data)
	binary.LittleEndian.PutUint32(b, checksum(b))
	return b
}

func writeAddress(b []byte, a netip.Addr) {
	octets := a.As4()
	binary.LittleEndian.PutUint32(b, binary.BigEndian.Uint32(octets[:]))
}

func readAddress(b []byte) netip.Addr {
	var octets [4]byte
	binary.BigEndian.PutUint32(octets[:], binary.LittleEndian.Uint32(b))
	return netip.AddrFrom4(octets)
}

// checksum covers everything after the checksum and the cookie, which come first.
func checksum(b []byte) uint32 {
	h := fnv.New32a()
	h.Write([]byte(checksumKey))
	h.Write(b[8:])
	return h.Sum32()
}

// Unmarshal decodes a packet. It returns false if the packet is shorter than the header.
func Unmarshal(b []byte) (Packet, bool) {
	if len(b) < headerBytes {
		return Packet{}, false
	}
	return Packet{
		Source:      netip.AddrPortFrom(readAddress(b[28:]), binary.LittleEndian.Uint16(b[24:])),
		Destination: netip.AddrPortFrom(readAddress(b[20:]), binary.LittleEndian.Uint16(b[26:])),
		Flags:       b[16], Cookie: binary.LittleEndian.Uint32(b[4:]),
		Sequence: binary.LittleEndian.Uint32(b[8:]), Ack: binary.LittleEndian.Uint32(b[12:]),
		Data: append([]byte(nil), b[headerBytes:]...), ChecksumValid: binary.LittleEndian.Uint32(b) == checksum(b),
	}, true
}
