package backendserver

import (
	"net/netip"
	"strings"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/plgd-dev/go-coap/v3/net/blockwise"
	"github.com/plgd-dev/go-coap/v3/udp/coder"
)

// maxOptions bounds the options of a received message.
const maxOptions = 32

// maxMessageBytes exceeds the largest message of the protocol: a block of 1,024 bytes with
// its header and options.
const maxMessageBytes = 2048

func decodeMessage(b []byte, m *message.Message) error {
	if cap(m.Options) == 0 {
		m.Options = make(message.Options, 0, maxOptions)
	}
	_, err := coder.DefaultCoder.Decode(b, m)
	return err
}

func encodeMessage(m message.Message) ([]byte, error) {
	size, err := coder.DefaultCoder.Size(m)
	if err != nil {
		return nil, err
	}
	buf := make([]byte, size)
	n, err := coder.DefaultCoder.Encode(m, buf)
	if err != nil {
		return nil, err
	}
	return buf[:n], nil
}

// addUint adds an option with an unsigned value.
func addUint(o message.Options, id message.OptionID, v uint32) message.Options {
	o, _, err := o.AddUint32(make([]byte, 4), id, v)
	if err != nil {
		panic(err) // cannot happen: the buffer holds every 32-bit value
	}
	return o
}

// requestPath returns the path without its leading slash.
func requestPath(o message.Options) string {
	p, err := o.Path()
	if err != nil {
		return ""
	}
	return strings.TrimPrefix(p, "/")
}

// payloadID returns the value after "id=" at the start of a payload, up to the first space.
func payloadID(payload []byte) string {
	s, ok := strings.CutPrefix(string(payload[:min(len(payload), 128)]), "id=")
	if !ok {
		return ""
	}
	id, _, _ := strings.Cut(s, " ")
	return id
}

// block is a requested or returned block of an archive.
type block struct {
	szx    blockwise.SZX
	number int64
}

// requestedBlock decodes the Block2 option. Without the option it returns the first block
// of 1,024 bytes.
func requestedBlock(o message.Options) (block, error) {
	v, err := o.GetUint32(message.Block2)
	if err != nil {
		return block{szx: blockwise.SZX1024}, nil
	}
	szx, number, _, err := blockwise.DecodeBlockOption(v)
	return block{szx: szx, number: number}, err
}

// messageKey identifies a message of a remote endpoint.
type messageKey struct {
	remote netip.AddrPort
	id     uint16
}

// tokenKey identifies a request or an observation of a remote endpoint.
type tokenKey struct {
	remote netip.AddrPort
	token  string
}

func isRequest(c codes.Code) bool { return c >= codes.GET && c <= codes.IPATCH }
