package edge

import (
	"bufio"
	"bytes"
	"net"
	"net/netip"
	"sync"

	"github.com/pires/go-proxyproto"

	"github.com/monsoonthread/monsoonthread/result"
)

// proxyReaderBytes is the buffer size for PROXY v2 headers. The longest header that the
// fabric sends has 52 bytes (IPv6); the rest is room for type-length-value extensions.
const proxyReaderBytes = 4096

var proxyReaders = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, proxyReaderBytes) }}

// DecodeProxy parses the PROXY v2 header of a datagram from the fabric and returns the
// source, the destination and the payload. The payload shares memory with datagram.
func DecodeProxy(datagram []byte) (src, dst netip.AddrPort, payload []byte, err error) {
	reader := bytes.NewReader(datagram)
	buffered := proxyReaders.Get().(*bufio.Reader)
	defer proxyReaders.Put(buffered)
	buffered.Reset(reader)
	header, err := proxyproto.Read(buffered)
	if err != nil {
		return src, dst, nil, result.Errorf(result.MalformedProxy, "decode PROXY header: %w", err)
	}
	from, to, ok := header.UDPAddrs()
	if !ok || header.Version != 2 {
		return src, dst, nil, result.Errorf(result.MalformedProxy, "PROXY header is not version 2 or does not describe a UDP datagram")
	}
	consumed := len(datagram) - reader.Len() - buffered.Buffered()
	return unmappedAddrPort(from), unmappedAddrPort(to), datagram[consumed:], nil
}

// EncodeProxy returns a datagram that consists of a PROXY v2 header with src and dst,
// followed by payload.
func EncodeProxy(src, dst netip.AddrPort, payload []byte) ([]byte, error) {
	header := proxyproto.HeaderProxyFromAddrs(2, net.UDPAddrFromAddrPort(src), net.UDPAddrFromAddrPort(dst))
	b, err := header.Format()
	if err != nil {
		return nil, result.Errorf(result.MalformedProxy, "encode PROXY header: %w", err)
	}
	return append(b, payload...), nil
}

func unmappedAddrPort(a *net.UDPAddr) netip.AddrPort {
	ap := a.AddrPort()
	return netip.AddrPortFrom(ap.Addr().Unmap(), ap.Port())
}
