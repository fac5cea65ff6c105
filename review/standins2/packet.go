package main

import (
	"encoding/binary"
	"hash/fnv"
	"net/netip"
)

// Flags of a packet.
const (
	flagFIN = 4
	flagRST = 8
	flagSYN = 16
	flagACK = 64
)

const (
	headerBytes = 34
	maxData     = 1200
	// sumKey is known to clients and hosts only.
	sumKey = "review-2"
)

// packet is a packet of a flow.
type packet struct {
	src, dst netip.AddrPort
	flags    byte
	echo     uint32
	seq, ack uint32
	data     []byte
	sum      uint32 // as received
	valid    bool   // the received sum matches
}

func (p *packet) marshal() []byte {
	b := make([]byte, headerBytes+len(p.data))
	binary.LittleEndian.PutUint32(b[4:], p.echo)
	binary.LittleEndian.PutUint32(b[8:], p.seq)
	binary.LittleEndian.PutUint32(b[12:], p.ack)
	b[16] = p.flags
	putAddr(b[20:], p.dst.Addr())
	binary.LittleEndian.PutUint16(b[24:], p.src.Port())
	binary.LittleEndian.PutUint16(b[26:], p.dst.Port())
	putAddr(b[28:], p.src.Addr())
	binary.LittleEndian.PutUint16(b[32:], uint16(len(p.data)))
	copy(b[headerBytes:], p.data)
	binary.LittleEndian.PutUint32(b, checksum(b))
	return b
}

func putAddr(b []byte, a netip.Addr) {
	o := a.As4()
	binary.LittleEndian.PutUint32(b, binary.BigEndian.Uint32(o[:]))
}

func getAddr(b []byte) netip.Addr {
	var o [4]byte
	binary.BigEndian.PutUint32(o[:], binary.LittleEndian.Uint32(b))
	return netip.AddrFrom4(o)
}

// checksum covers all fields except the echo, the padding and the BOUNCED bit.
func checksum(b []byte) uint32 {
	h := fnv.New32a()
	h.Write([]byte(sumKey))
	h.Write(b[8:16])
	h.Write([]byte{b[16] &^ 1})
	h.Write(b[20:])
	return h.Sum32()
}

func unmarshal(b []byte) (packet, bool) {
	if len(b) < headerBytes || len(b) > headerBytes+maxData || int(binary.LittleEndian.Uint16(b[32:])) != len(b)-headerBytes {
		return packet{}, false
	}
	sum := binary.LittleEndian.Uint32(b)
	return packet{
		src:   netip.AddrPortFrom(getAddr(b[28:]), binary.LittleEndian.Uint16(b[24:])),
		dst:   netip.AddrPortFrom(getAddr(b[20:]), binary.LittleEndian.Uint16(b[26:])),
		flags: b[16], echo: binary.LittleEndian.Uint32(b[4:]),
		seq: binary.LittleEndian.Uint32(b[8:]), ack: binary.LittleEndian.Uint32(b[12:]),
		data: append([]byte(nil), b[headerBytes:]...), sum: sum, valid: sum == checksum(b),
	}, true
}

// after reports whether sequence number a follows b.
func after(a, b uint32) bool { return int32(a-b) > 0 }
