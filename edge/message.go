// Package edge encodes and decodes the messages exchanged with callers, backend servers
// and the fabric: CoAP messages (RFC 7252) and PROXY protocol v2 headers. No other
// package of the daemon uses the CoAP library, so the packages that make routing and
// scheduling decisions do not depend on the protocol.
package edge

import (
	"bytes"
	"fmt"
	"math"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/plgd-dev/go-coap/v3/udp/coder"

	"github.com/monsoonthread/monsoonthread/result"
)

// MaxMessageBytes is the size limit of a CoAP message. It fits a 1,024-byte block
// (RFC 7959) with options into an Ethernet MTU of 1,500 bytes.
const MaxMessageBytes = 1400

// deadlineOption is an elective option from the experimental range that carries the
// remaining time for a request in milliseconds.
const deadlineOption message.OptionID = 65002

// maxOptions limits the options of a message, so that no datagram can make the decoder
// allocate without bound.
const maxOptions = 32

// Type is a CoAP message type.
type Type uint8

// The message types of RFC 7252, section 3.
const (
	Confirmable     = Type(message.Confirmable)
	NonConfirmable  = Type(message.NonConfirmable)
	Acknowledgement = Type(message.Acknowledgement)
	Reset           = Type(message.Reset)
)

// Code is a CoAP code: class in the upper three bits, detail in the lower five.
type Code uint8

// The CoAP codes that the daemon sends or checks.
const (
	Empty                   = Code(codes.Empty)
	GET                     = Code(codes.GET)
	POST                    = Code(codes.POST)
	PUT                     = Code(codes.PUT)
	DELETE                  = Code(codes.DELETE)
	FETCH              Code = 5
	PATCH              Code = 6
	IPATCH             Code = 7
	Content                 = Code(codes.Content)
	BadRequest              = Code(codes.BadRequest)
	Unauthorized            = Code(codes.Unauthorized)
	BadOption               = Code(codes.BadOption)
	NotFound                = Code(codes.NotFound)
	ServiceUnavailable      = Code(codes.ServiceUnavailable)
	GatewayTimeout          = Code(codes.GatewayTimeout)
)

var methodNames = [...]string{GET: "GET", POST: "POST", PUT: "PUT", DELETE: "DELETE",
	FETCH: "FETCH", PATCH: "PATCH", IPATCH: "iPATCH"}

// IsRequest reports whether the code is a request method.
func (c Code) IsRequest() bool { return c >= GET && c <= IPATCH }

// IsResponse reports whether the code is a response code.
func (c Code) IsResponse() bool { return c>>5 >= 2 && c>>5 <= 5 }

// IsSuccess reports whether the code is of class 2.
func (c Code) IsSuccess() bool { return c>>5 == 2 }

// Method returns the name of the request method, or "" for any other code.
func (c Code) Method() string {
	if !c.IsRequest() {
		return ""
	}
	return methodNames[c]
}

// String returns the code in dotted form, for example 2.05.
func (c Code) String() string { return fmt.Sprintf("%d.%02d", c>>5, c&0x1f) }

// Message is a decoded CoAP message.
type Message struct {
	Type    Type
	Code    Code
	ID      uint16
	Token   []byte
	Payload []byte
	options message.Options
}

// Decode parses a CoAP datagram. The returned message shares memory with datagram.
func Decode(datagram []byte) (*Message, error) {
	if len(datagram) > MaxMessageBytes {
		return nil, result.Errorf(result.OversizedDatagram, "CoAP message has %d bytes, at most %d are accepted", len(datagram), MaxMessageBytes)
	}
	m := message.Message{Options: make(message.Options, 0, maxOptions)}
	if _, err := coder.DefaultCoder.Decode(datagram, &m); err != nil {
		return nil, result.Errorf(result.MalformedDatagram, "CoAP message: %w", err)
	}
	code := Code(m.Code)
	if code != Empty && !code.IsRequest() && !code.IsResponse() {
		return nil, result.Errorf(result.UnsupportedMethod, "CoAP code %s is reserved", code)
	}
	if code == Empty && (len(m.Token) > 0 || len(m.Options) > 0 || len(m.Payload) > 0) {
		return nil, result.Errorf(result.MalformedDatagram, "empty CoAP message carries data")
	}
	return &Message{Type: Type(m.Type), Code: code, ID: uint16(m.MessageID), Token: m.Token,
		Payload: m.Payload, options: m.Options}, nil
}

// Encode serializes the message into a new slice.
func (m *Message) Encode() ([]byte, error) {
	raw := message.Message{Type: message.Type(m.Type), Code: codes.Code(m.Code), MessageID: int32(m.ID),
		Token: m.Token, Options: m.options, Payload: m.Payload}
	size, err := coder.DefaultCoder.Size(raw)
	if err != nil {
		return nil, result.Errorf(result.MalformedDatagram, "CoAP message: %w", err)
	}
	b := make([]byte, size)
	n, err := coder.DefaultCoder.Encode(raw, b)
	if err != nil {
		return nil, result.Errorf(result.MalformedDatagram, "CoAP message: %w", err)
	}
	return b[:n], nil
}

// Clone returns a deep copy, which stays valid when the datagram buffer is reused.
func (m *Message) Clone() *Message {
	c := &Message{Type: m.Type, Code: m.Code, ID: m.ID, Token: bytes.Clone(m.Token),
		Payload: bytes.Clone(m.Payload), options: make(message.Options, len(m.options))}
	for i, o := range m.options {
		c.options[i] = message.Option{ID: o.ID, Value: bytes.Clone(o.Value)}
	}
	return c
}

// Path returns the request path with a leading slash.
func (m *Message) Path() string {
	p, err := m.options.Path()
	if err != nil || p == "" {
		return "/"
	}
	if p[0] != '/' {
		return "/" + p
	}
	return p
}

// SetPath replaces the request path.
func (m *Message) SetPath(path string) error {
	options, _, err := m.options.SetPath(make([]byte, len(path)+1), path)
	if err != nil {
		return fmt.Errorf("set CoAP path %q: %w", path, err)
	}
	m.options = options
	return nil
}

// Observe returns the value of the Observe option (RFC 7641) and whether it is present.
func (m *Message) Observe() (uint32, bool) { return m.uintOption(message.Observe) }

func (m *Message) SetObserve(v uint32) { m.setUintOption(message.Observe, v) }

func (m *Message) RemoveObserve() { m.options = m.options.Remove(message.Observe) }

// Block2 returns the block number of the Block2 option (RFC 7959) and whether the
// option is present.
func (m *Message) Block2() (number uint32, ok bool) {
	v, ok := m.uintOption(message.Block2)
	return v >> 4, ok
}

// Deadline returns the remaining time for the request in milliseconds and whether the
// message states it.
func (m *Message) Deadline() (uint32, bool) { return m.uintOption(deadlineOption) }

// SetDeadline sets the remaining time for the request in milliseconds.
func (m *Message) SetDeadline(ms uint32) { m.setUintOption(deadlineOption, ms) }

// SetMaxAge sets the number of seconds for which a response is fresh. On a refusal,
// this is the time to wait before a retry.
func (m *Message) SetMaxAge(seconds uint32) { m.setUintOption(message.MaxAge, seconds) }

// MaxAge returns the Max-Age option in seconds, or the default of 60 if it is absent
// (RFC 7252, 5.10.5).
func (m *Message) MaxAge() uint32 {
	if v, ok := m.uintOption(message.MaxAge); ok {
		return v
	}
	return 60
}

// Echo returns the value of the Echo option (RFC 9175), or nil if it is absent.
func (m *Message) Echo() []byte {
	v, err := m.options.GetBytes(message.Echo)
	if err != nil {
		return nil
	}
	return v
}

func (m *Message) SetEcho(v []byte) {
	m.options = m.options.Set(message.Option{ID: message.Echo, Value: v})
}

// RemoveEcho removes the Echo option, which is used only between caller and entry
// instance.
func (m *Message) RemoveEcho() { m.options = m.options.Remove(message.Echo) }

// RequestIdentity returns an encoding of the code, options and payload that identify a
// request. It excludes the options that may change when the request is repeated (Echo
// and deadline).
func (m *Message) RequestIdentity() []byte {
	b := []byte{byte(m.Code)}
	for _, o := range m.options {
		if o.ID == message.Echo || o.ID == deadlineOption {
			continue
		}
		b = append(b, byte(o.ID>>8), byte(o.ID), byte(len(o.Value)>>8), byte(len(o.Value)))
		b = append(b, o.Value...)
	}
	b = append(b, math.MaxUint8) // separates the options from the payload
	return append(b, m.Payload...)
}

func (m *Message) uintOption(id message.OptionID) (uint32, bool) {
	v, err := m.options.GetUint32(id)
	return v, err == nil
}

func (m *Message) setUintOption(id message.OptionID, v uint32) {
	options, _, err := m.options.SetUint32(make([]byte, 4), id, v)
	if err == nil {
		m.options = options
	}
}

// NewResponse returns a piggybacked response with the token and message ID of request.
// For a separate response, set the type and the message ID before sending.
func NewResponse(request *Message, code Code) *Message {
	return &Message{Type: Acknowledgement, Code: code, ID: request.ID, Token: request.Token,
		options: make(message.Options, 0, 4)}
}

// NewRequest returns a confirmable request without message ID, token and payload.
func NewRequest(code Code, path string) (*Message, error) {
	m := &Message{Type: Confirmable, Code: code, options: make(message.Options, 0, 8)}
	if err := m.SetPath(path); err != nil {
		return nil, err
	}
	return m, nil
}

// NewEmptyMessage returns an empty message, such as an Acknowledgement or Reset for the message
// with the given ID.
func NewEmptyMessage(t Type, id uint16) *Message { return &Message{Type: t, Code: Empty, ID: id} }

// DecodeHeader returns the type, code, ID and token of a datagram whose options cannot be
// decoded, or nil if the header is malformed too.
func DecodeHeader(datagram []byte) *Message {
	const headerBytes = 4
	if len(datagram) < headerBytes || datagram[0]>>6 != 1 {
		return nil
	}
	tokenBytes := int(datagram[0] & 0xf)
	if tokenBytes > message.MaxTokenSize || len(datagram) < headerBytes+tokenBytes {
		return nil
	}
	return &Message{Type: Type(datagram[0] >> 4 & 3), Code: Code(datagram[1]),
		ID: uint16(datagram[2])<<8 | uint16(datagram[3]), Token: datagram[headerBytes : headerBytes+tokenBytes]}
}
