package fabric

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"net"
	"net/netip"

	"github.com/pires/go-proxyproto"
)

// headerPrefixBytes is the length of the fixed part of a PROXY protocol v2 header:
// signature, version and command, family and protocol, length.
const headerPrefixBytes = 16

// EncodeHeader returns a PROXY protocol v2 header for a datagram from source to
// destination.
func EncodeHeader(source, destination netip.AddrPort) ([]byte, error) {
	h := proxyproto.HeaderProxyFromAddrs(2, net.UDPAddrFromAddrPort(source), net.UDPAddrFromAddrPort(destination))
	return h.Format()
}

// headerParser separates the PROXY header of a datagram from its payload. It reuses its
// readers and is not safe for concurrent use.
type headerParser struct {
	raw bytes.Reader
	buf *bufio.Reader
}

func newHeaderParser() *headerParser { return &headerParser{buf: bufio.NewReaderSize(nil, 512)} }

// parse returns the addresses in the header, and the payload, which aliases datagram.
func (p *headerParser) parse(datagram []byte) (source, destination netip.AddrPort, payload []byte, err error) {
	if len(datagram) < headerPrefixBytes {
		return source, destination, nil, proxyproto.ErrNoProxyProtocol
	}
	p.raw.Reset(datagram)
	p.buf.Reset(&p.raw)
	h, err := proxyproto.Read(p.buf)
	if err != nil {
		return source, destination, nil, err
	}
	src, dst, ok := h.UDPAddrs()
	if !ok {
		return source, destination, nil, fmt.Errorf("PROXY header has transport protocol %v, want a datagram protocol", h.TransportProtocol)
	}
	length := headerPrefixBytes + int(binary.BigEndian.Uint16(datagram[14:16]))
	return unmap(src.AddrPort()), unmap(dst.AddrPort()), datagram[length:], nil
}

// ParseHeader returns the addresses in the header of a datagram and its payload.
func ParseHeader(datagram []byte) (source, destination netip.AddrPort, payload []byte, err error) {
	return newHeaderParser().parse(datagram)
}

func unmap(a netip.AddrPort) netip.AddrPort { return netip.AddrPortFrom(a.Addr().Unmap(), a.Port()) }
