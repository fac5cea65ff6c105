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

// proxyReaderBytes covers the longest PROXY v2 header that the fabric sends (IPv6,
// 52 bytes) with room for type-length-value extensions.
const proxyReaderBytes = 4096

var proxyReaders = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, proxyReaderBytes) }}

// ParseProxy splits a datagram from the fabric into source, destination and payload.
func ParseProxy(datagram []byte) (src, dst netip.AddrPort, payload []byte, err error) {
	source := bytes.NewReader(datagram)
	r := proxyReaders.Get().(*bufio.Reader)
	defer proxyReaders.Put(r)
	r.Reset(source)
	header, err := proxyproto.Read(r)
	if err != nil {
		return src, dst, nil, result.Errorf(result.MalformedProxy, "PROXY header: %w", err)
	}
	from, to, ok := header.UDPAddrs()
	if !ok || header.Version != 2 {
		return src, dst, nil, result.Errorf(result.MalformedProxy, "PROXY header does not describe a UDP datagram")
	}
	consumed := len(datagram) - source.Len() - r.Buffered()
	return addrPort(from), addrPort(to), datagram[consumed:], nil
}

// AppendProxy returns payload behind a PROXY v2 header with src and dst.
func AppendProxy(src, dst netip.AddrPort, payload []byte) ([]byte, error) {
	header := proxyproto.HeaderProxyFromAddrs(2, net.UDPAddrFromAddrPort(src), net.UDPAddrFromAddrPort(dst))
	b, err := header.Format()
	if err != nil {
		return nil, result.Errorf(result.MalformedProxy, "PROXY header: %w", err)
	}
	return append(b, payload...), nil
}

func addrPort(a *net.UDPAddr) netip.AddrPort {
	ap := a.AddrPort()
	return netip.AddrPortFrom(ap.Addr().Unmap(), ap.Port())
}
