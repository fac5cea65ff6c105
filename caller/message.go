package caller

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/plgd-dev/go-coap/v3/udp/coder"

	"github.com/monsoonthread/monsoonthread/result"
)

// OptionDeadline is the elective CoAP option that carries the remaining time for a
// request in milliseconds. Its number is from the experimental range.
const OptionDeadline message.OptionID = 65002

const (
	// maxDatagramBytes is the minimum MTU of IPv6; larger messages may be fragmented.
	maxDatagramBytes = 1280
	// maxSegmentBytes limits a path segment and a query parameter (RFC 7252, 5.10).
	maxSegmentBytes = 255
	// maxOptions limits the options of a received message.
	maxOptions = 64
	// defaultMaxAge applies to responses without a Max-Age option (RFC 7252, 5.10.5).
	defaultMaxAge = 60 * time.Second
)

// Code is a CoAP code: class in the upper three bits, detail in the lower five.
type Code uint8

// Response codes that callers commonly test for.
const (
	Created            = Code(codes.Created)
	Changed            = Code(codes.Changed)
	Content            = Code(codes.Content)
	Unauthorized       = Code(codes.Unauthorized)
	NotFound           = Code(codes.NotFound)
	ServiceUnavailable = Code(codes.ServiceUnavailable)
	GatewayTimeout     = Code(codes.GatewayTimeout)
)

// String returns the dotted form, such as "2.05".
func (c Code) String() string { return fmt.Sprintf("%d.%02d", c>>5, c&0x1f) }

// IsSuccess reports whether the class is 2.
func (c Code) IsSuccess() bool { return c>>5 == 2 }

// Request is a request to the service.
type Request struct {
	Method   string // GET, POST, PUT, DELETE, FETCH, PATCH or iPATCH
	Path     string
	Query    []string
	Payload  []byte
	Deadline time.Duration // time limit for the response; 0 means that of the context
}

// Response is the response to a request.
type Response struct {
	Code    Code
	Payload []byte
	ETag    []byte
	MaxAge  time.Duration
}

// RetryAfter is wrapped by the error of a refusal that states when a retry may
// succeed. Use errors.As to obtain it.
type RetryAfter struct{ After time.Duration }

func (r *RetryAfter) Error() string { return fmt.Sprintf("retry after %s", r.After) }

var methods = map[string]codes.Code{
	"GET": codes.GET, "POST": codes.POST, "PUT": codes.PUT, "DELETE": codes.DELETE,
	"FETCH": codes.FETCH, "PATCH": codes.PATCH, "iPATCH": codes.IPATCH,
}

// newMessage builds the message of a request without token, message ID and the options
// that are added on sending.
func newMessage(r Request) (message.Message, error) {
	code, ok := methods[r.Method]
	if !ok {
		return message.Message{}, result.Errorf(result.UnsupportedMethod, "unknown method %q", r.Method)
	}
	m := message.Message{Code: code, Type: message.Confirmable, Payload: r.Payload}
	for segment := range strings.SplitSeq(r.Path, "/") {
		if len(segment) > maxSegmentBytes {
			return m, result.Errorf(result.OversizedDatagram, "path segment has %d bytes, at most %d are allowed", len(segment), maxSegmentBytes)
		}
		if segment != "" {
			m.Options = m.Options.Add(message.Option{ID: message.URIPath, Value: []byte(segment)})
		}
	}
	for _, q := range r.Query {
		if len(q) > maxSegmentBytes {
			return m, result.Errorf(result.OversizedDatagram, "query parameter has %d bytes, at most %d are allowed", len(q), maxSegmentBytes)
		}
		m.Options = m.Options.Add(message.Option{ID: message.URIQuery, Value: []byte(q)})
	}
	return m, nil
}

// setUintOption sets an option of format uint in its shortest encoding.
func setUintOption(m *message.Message, id message.OptionID, v uint32) {
	var b [4]byte
	n, _ := message.EncodeUint32(b[:], v) // four bytes always suffice
	m.Options = m.Options.Set(message.Option{ID: id, Value: b[:n:n]})
}

func encode(m message.Message) ([]byte, error) {
	b := make([]byte, maxDatagramBytes)
	n, err := coder.DefaultCoder.Encode(m, b)
	if errors.Is(err, message.ErrTooSmall) {
		return nil, result.Errorf(result.OversizedDatagram, "request has %d bytes, at most %d are allowed", n, maxDatagramBytes)
	}
	if err != nil {
		return nil, result.Errorf(result.MalformedDatagram, "encode request: %w", err)
	}
	return b[:n], nil
}

// decode parses a datagram. The returned message shares memory with b.
func decode(b []byte) (message.Message, error) {
	m := message.Message{Options: make(message.Options, 0, maxOptions)}
	if _, err := coder.DefaultCoder.Decode(b, &m); err != nil {
		return m, result.Errorf(result.MalformedDatagram, "decode datagram: %w", err)
	}
	if m.Code == codes.Empty && (len(m.Token) > 0 || len(m.Options) > 0 || len(m.Payload) > 0) {
		return m, result.Errorf(result.MalformedDatagram, "empty CoAP message carries data")
	}
	for _, o := range m.Options {
		if critical := o.ID&1 == 1; critical && !isRecognized(o.ID) {
			return m, result.Errorf(result.UnsupportedOption, "unrecognized critical option %d", o.ID)
		}
	}
	return m, nil
}

// isRecognized reports whether the client supports a critical option in a response.
func isRecognized(id message.OptionID) bool {
	return id == message.Block2 || id == message.Block1
}

func isResponse(c codes.Code) bool { return c>>5 >= 2 && c>>5 <= 5 }

func newResponse(m message.Message) *Response {
	r := &Response{Code: Code(m.Code), Payload: m.Payload, MaxAge: defaultMaxAge}
	if etag, err := m.Options.GetBytes(message.ETag); err == nil {
		r.ETag = etag
	}
	if seconds, err := m.Options.GetUint32(message.MaxAge); err == nil {
		r.MaxAge = time.Duration(seconds) * time.Second
	}
	return r
}

// diagnosticError returns the error for an error response whose diagnostic payload has
// the form "[code] text", or nil for any other response.
func diagnosticError(m message.Message) error {
	if m.Code>>5 < 4 {
		return nil
	}
	code, text, ok := parseDiagnostic(m.Payload)
	if !ok {
		return nil
	}
	e := &result.Error{Code: code, Detail: text}
	if seconds, err := m.Options.GetUint32(message.MaxAge); err == nil {
		e.Err = &RetryAfter{After: time.Duration(seconds) * time.Second}
	}
	return e
}

// parseDiagnostic parses a diagnostic payload of the form "[code] text".
func parseDiagnostic(payload []byte) (result.Code, string, bool) {
	rest, ok := strings.CutPrefix(string(payload), "[")
	if !ok {
		return 0, "", false
	}
	digits, text, ok := strings.Cut(rest, "]")
	if !ok {
		return 0, "", false
	}
	code, err := strconv.ParseUint(digits, 10, 16)
	if err != nil || code == 0 {
		return 0, "", false
	}
	return result.Code(code), strings.TrimPrefix(text, " "), true
}
