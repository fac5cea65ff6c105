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

// headerPrefix is the fixed part of a PROXY protocol v2 header: signature, version and
// command, family and protocol, length.
const headerPrefix = 16

// EncodeHeader returns a PROXY protocol v2 header for a datagram from source to
// destination.
func EncodeHeader(source, destination netip.AddrPort) ([]byte, error) {
	h := proxyproto.HeaderProxyFromAddrs(2, net.UDPAddrFromAddrPort(source), net.UDPAddrFromAddrPort(destination))
	return h.Format()
}

// splitter separates the header of a datagram from its payload. It reuses its readers
// and is not safe for concurrent use.
type splitter struct {
	raw bytes.Reader
	buf *bufio.Reader
}

func newSplitter() *splitter { return &splitter{buf: bufio.NewReaderSize(nil, 512)} }

// split returns the addresses in the header and the payload, which aliases datagram.
func (s *splitter) split(datagram []byte) (source, destination netip.AddrPort, payload []byte, err error) {
	if len(datagram) < headerPrefix {
		return source, destination, nil, proxyproto.ErrNoProxyProtocol
	}
	s.raw.Reset(datagram)
	s.buf.Reset(&s.raw)
	h, err := proxyproto.Read(s.buf)
	if err != nil {
		return source, destination, nil, err
	}
	src, dst, ok := h.UDPAddrs()
	if !ok {
		return source, destination, nil, fmt.Errorf("PROXY header carries %v, not a datagram protocol", h.TransportProtocol)
	}
	length := headerPrefix + int(binary.BigEndian.Uint16(datagram[14:16]))
	return unmap(src.AddrPort()), unmap(dst.AddrPort()), datagram[length:], nil
}

// SplitHeader returns the addresses in the header of a datagram and its payload.
func SplitHeader(datagram []byte) (source, destination netip.AddrPort, payload []byte, err error) {
	return newSplitter().split(datagram)
}

func unmap(a netip.AddrPort) netip.AddrPort { return netip.AddrPortFrom(a.Addr().Unmap(), a.Port()) }
