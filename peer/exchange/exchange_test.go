package exchange

import (
	"bytes"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/monsoonthread/monsoonthread/directory"
	"github.com/monsoonthread/monsoonthread/forwarding"
	"github.com/monsoonthread/monsoonthread/mesh"
	"github.com/monsoonthread/monsoonthread/result"
)

func exampleMessage() *Message {
	peer := mesh.Peer{ID: "laval-1", Domain: "laval", Address: netip.MustParseAddrPort("10.1.0.10:7720")}
	return &Message{
		Status: &mesh.Status{Peer: peer, Incarnation: 1 << 60, AsOf: 1 << 40, ConfirmationAge: 1500 * time.Millisecond, Watching: true, WatchHeldFor: 2100 * time.Millisecond, Leaving: true},
		Loads: []forwarding.Load{{Cookie: 0xdeadbeef, Rate: 12.25, ServiceTime: 22 * time.Millisecond}, {Cookie: 1}, {Cookie: 2, Flows: 300},
			{Cookie: 3, Flows: 2, SampleSum: 5 * time.Millisecond, Samples: 0.29}},
		LeastLoaded: []DomainLeastLoaded{{Domain: "levis", Loads: []forwarding.Load{{Cookie: 7, Rate: 3, Flows: 1}}}, {Domain: "empty"}},
		Update: directory.Update{Base: 8, AsOf: 11, Records: []directory.Record{
			{Key: "op/config", Revision: 9, Delta: &directory.Delta{Base: 8, Parts: []directory.Part{{Offset: 0, Length: 20}, {Insert: []byte("new")}}}},
			{Key: "servers/i-1", Value: []byte{0, 255}, Revision: 10},
			{Key: "servers/i-2", Value: []byte{}, Revision: 11, Removed: true},
		}},
		Members: []mesh.Peer{peer}, Suspects: []uint32{5, 0xffffffff}, Failures: []uint32{5, 5, 7},
	}
}

// Guards against fields that are lost or changed by encoding and decoding.
func TestRoundTrip(t *testing.T) {
	later, _ := directory.NewPosition(3, 20)
	restored := &Message{
		Status: &mesh.Status{AsOf: uint64(later), Peer: exampleMessage().Status.Peer},
		Update: directory.Update{Base: 8, AsOf: later, Complete: true, Kept: []uint64{1, 1 << 63}, Records: []directory.Record{
			{Key: "op/config", Revision: later, Delta: &directory.Delta{Base: later, BaseSum: 1 << 60}},
			{Key: "servers/i-1", Value: []byte{0}, Revision: later, Unconfirmed: true},
		}},
	}
	for _, m := range []*Message{exampleMessage(), {}, {Update: directory.Update{Base: 3}}, {Update: directory.Update{Complete: true}}, restored} {
		got, err := Decode(Append(nil, m))
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(m, got, cmpopts.EquateEmpty(), cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b })); diff != "" {
			t.Error(diff)
		}
	}
}

// Guards against frames that compression corrupts, and against frames that exceed the
// reader's limit before or after decompression.
func TestFrames(t *testing.T) {
	m := exampleMessage()
	m.Update.Records[1].Value = []byte(strings.Repeat("route ", 20000))
	var b bytes.Buffer
	if err := WriteFrame(&b, m); err != nil {
		t.Fatal(err)
	}
	if b.Len() > 20000 {
		t.Errorf("%d bytes for a compressible value of 120,000", b.Len())
	}
	frame := b.Bytes()
	got, err := ReadFrame(bytes.NewReader(frame), MaxFrameBytes)
	if err != nil || len(got.Update.Records) != 3 || !bytes.Equal(got.Update.Records[1].Value, m.Update.Records[1].Value) {
		t.Fatalf("%v", err)
	}
	if _, err := ReadFrame(bytes.NewReader(frame), 100); result.CodeOf(err) != result.PeerProtocol {
		t.Errorf("frame over the limit: %v", err)
	}
	if _, err := ReadFrame(bytes.NewReader(frame), uint32(len(frame)+10)); result.CodeOf(err) != result.PeerProtocol {
		t.Errorf("decompressed over the limit: %v", err)
	}
	if _, err := ReadFrame(bytes.NewReader(frame[:len(frame)-1]), MaxFrameBytes); err == nil {
		t.Error("a truncated frame was accepted")
	}
}

// Guards against messages of a later release that an earlier release cannot decode.
func TestUnknownFieldsAreSkipped(t *testing.T) {
	b := appendBytes(Append(nil, &Message{Update: directory.Update{Base: 3}}), 99, []byte("later"))
	if m, err := Decode(b); err != nil || m.Update.Base != 3 {
		t.Errorf("%+v, %v", m, err)
	}
}

// Guards against malformed messages that crash the decoder, the table or the mesh, and against
// decoding errors without the code PeerProtocol.
func FuzzDecode(f *testing.F) {
	f.Add(Append(nil, exampleMessage()))
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := Decode(b)
		if err != nil {
			if result.CodeOf(err) != result.PeerProtocol {
				t.Error(err)
			}
			return
		}
		table := directory.NewTable(time.Minute)
		table.Apply(0, m.Update)
		if m.Status != nil {
			mesh.New(mesh.Config{}).ApplyStatus(0, *m.Status)
		}
	})
}
