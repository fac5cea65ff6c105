package edge

import (
	"bytes"
	"errors"
	"net/netip"
	"testing"

	"github.com/monsoonthread/monsoonthread/result"
)

// Guards against message fields that are lost in encoding or decoding, and against a
// wrongly decoded deadline option.
func TestMessageRoundTrip(t *testing.T) {
	m, err := NewRequest(POST, "/orders/lines")
	if err != nil {
		t.Fatal(err)
	}
	m.ID, m.Token, m.Payload = 7, []byte{1, 2, 3}, []byte("tulip")
	m.SetObserve(0)
	m.SetDeadline(2500)
	m.SetEcho([]byte("permit"))
	b, err := m.Encode()
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode(b)
	if err != nil {
		t.Fatal(err)
	}
	deadline, ok := got.Deadline()
	if !ok || deadline != 2500 {
		t.Errorf("deadline = %d, %v; want 2500", deadline, ok)
	}
	if got.Path() != "/orders/lines" || got.Code.Method() != "POST" || got.ID != 7 ||
		!bytes.Equal(got.Token, m.Token) || string(got.Payload) != "tulip" || string(got.Echo()) != "permit" {
		t.Errorf("decoded message differs: %+v path %s", got, got.Path())
	}
	if _, ok := got.Observe(); !ok {
		t.Error("Observe option is missing")
	}
}

// Guards against the same identity for two requests whose paths differ only in where
// they are split, and against a different identity for a request that is repeated with
// its permit.
func TestRequestIdentity(t *testing.T) {
	a, _ := NewRequest(POST, "/a/bc")
	b, _ := NewRequest(POST, "/ab/c")
	if bytes.Equal(a.RequestIdentity(), b.RequestIdentity()) {
		t.Error("/a/bc and /ab/c have the same identity")
	}
	before := a.RequestIdentity()
	a.SetEcho([]byte("x"))
	if !bytes.Equal(before, a.RequestIdentity()) {
		t.Error("the Echo option changed the identity")
	}
}

// Guards against swapped or lost addresses in a PROXY header.
func TestProxyRoundTrip(t *testing.T) {
	for _, pair := range [][2]string{{"127.0.0.1:40000", "127.1.0.1:5683"}, {"[::1]:40000", "[::2]:5683"}} {
		src, dst := netip.MustParseAddrPort(pair[0]), netip.MustParseAddrPort(pair[1])
		b, err := EncodeProxy(src, dst, []byte("payload"))
		if err != nil {
			t.Fatal(err)
		}
		gotSrc, gotDst, payload, err := DecodeProxy(b)
		if err != nil || gotSrc != src || gotDst != dst || string(payload) != "payload" {
			t.Errorf("DecodeProxy = %v, %v, %q, %v; want %v, %v, \"payload\", nil", gotSrc, gotDst, payload, err, src, dst)
		}
	}
}

// Guards against panics on malformed or oversized datagrams, and against decoding errors
// without a 3xx result code.
func FuzzDecode(f *testing.F) {
	m, _ := NewRequest(GET, "/stock")
	valid, _ := m.Encode()
	f.Add(valid)
	f.Add([]byte{})
	f.Add([]byte{0x40})
	f.Add([]byte{0x4f, 1, 0, 1})
	f.Add([]byte{0x40, 0xe1, 0, 1, 0xff})
	f.Add(bytes.Repeat([]byte{0x11}, MaxMessageBytes+1))
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := Decode(b)
		if err != nil {
			var coded *result.Error
			if !errors.As(err, &coded) || coded.Code/100 != 3 {
				t.Fatalf("error without a 3xx result code: %v", err)
			}
			return
		}
		m.Path()
		m.RequestIdentity()
		if _, err := m.Clone().Encode(); err != nil {
			t.Fatalf("decoded message does not encode: %v", err)
		}
	})
}

// Guards against panics on malformed PROXY headers, and against errors
// without their result code.
func FuzzDecodeProxy(f *testing.F) {
	valid, _ := EncodeProxy(netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.2:2"), []byte("x"))
	f.Add(valid)
	f.Add(valid[:20])
	f.Add([]byte("PROXY UDP4 127.0.0.1 127.0.0.2 1 2\r\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		_, _, _, err := DecodeProxy(b)
		if err != nil && result.CodeOf(err) != result.MalformedProxy {
			t.Fatalf("error with result code %d, want %d: %v", result.CodeOf(err), result.MalformedProxy, err)
		}
	})
}

func BenchmarkDecode(b *testing.B) {
	m, _ := NewRequest(GET, "/stock/tulips")
	m.SetDeadline(500)
	datagram, _ := m.Encode()
	b.ReportAllocs()
	for range b.N {
		if _, err := Decode(datagram); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkDecodeProxy(b *testing.B) {
	d, _ := EncodeProxy(netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.2:2"), []byte("x"))
	b.ReportAllocs()
	for range b.N {
		if _, _, _, err := DecodeProxy(d); err != nil {
			b.Fatal(err)
		}
	}
}
