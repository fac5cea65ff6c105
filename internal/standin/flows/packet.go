// Package flows contains stand-ins of the platform's clients and backend servers, which
// exchange the packets of flows over UDP.
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

// sumKey is known to clients and backend servers only.
const sumKey = "stand-in"

// Packet is a packet of a flow.
type Packet struct {
	Source, Destination netip.AddrPort
	Flags               byte
	Echo                uint32
	Sequence, Ack       uint32
	Data                []byte
	Genuine             bool // the sum is right
}

// Marshal returns the packet with its sum.
func (p *Packet) Marshal() []byte {
	b := make([]byte, headerBytes+len(p.Data))
	binary.LittleEndian.PutUint32(b[4:], p.Echo)
	binary.LittleEndian.PutUint32(b[8:], p.Sequence)
	binary.LittleEndian.PutUint32(b[12:], p.Ack)
	b[16] = p.Flags
	putAddress(b[20:], p.Destination.Addr())
	binary.LittleEndian.PutUint16(b[24:], p.Source.Port())
	binary.LittleEndian.PutUint16(b[26:], p.Destination.Port())
	putAddress(b[28:], p.Source.Addr())
	binary.LittleEndian.PutUint16(b[32:], uint16(len(p.Data)))
	copy(b[headerBytes:], p.Data)
	binary.LittleEndian.PutUint32(b, sum(b))
	return b
}

func putAddress(b []byte, a netip.Addr) {
	four := a.As4()
	binary.LittleEndian.PutUint32(b, binary.BigEndian.Uint32(four[:]))
}

func address(b []byte) netip.Addr {
	var four [4]byte
	binary.BigEndian.PutUint32(four[:], binary.LittleEndian.Uint32(b))
	return netip.AddrFrom4(four)
}

// sum covers all but the sum itself and the echo.
func sum(b []byte) uint32 {
	h := fnv.New32a()
	h.Write([]byte(sumKey))
	h.Write(b[8:])
	return h.Sum32()
}

// Unmarshal reads a packet; it reports false for one that is too short.
func Unmarshal(b []byte) (Packet, bool) {
	if len(b) < headerBytes {
		return Packet{}, false
	}
	return Packet{
		Source:      netip.AddrPortFrom(address(b[28:]), binary.LittleEndian.Uint16(b[24:])),
		Destination: netip.AddrPortFrom(address(b[20:]), binary.LittleEndian.Uint16(b[26:])),
		Flags:       b[16], Echo: binary.LittleEndian.Uint32(b[4:]),
		Sequence: binary.LittleEndian.Uint32(b[8:]), Ack: binary.LittleEndian.Uint32(b[12:]),
		Data: append([]byte(nil), b[headerBytes:]...), Genuine: binary.LittleEndian.Uint32(b) == sum(b),
	}, true
}
