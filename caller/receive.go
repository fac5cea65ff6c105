package caller

import (
	"encoding/binary"
	"errors"
	"net"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"github.com/monsoonthread/monsoonthread/result"
)

func (c *Client) receive() {
	defer close(c.done)
	buf := make([]byte, 1<<16)
	for {
		n, err := c.conn.Read(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// An ICMP error caused by an earlier datagram leaves the socket usable. The
			// pause prevents a busy loop on any other persistent error.
			time.Sleep(time.Millisecond)
			continue
		}
		if reply := c.handle(append([]byte(nil), buf[:n]...)); reply != nil {
			c.send(reply)
		}
	}
}

// handle processes a received datagram and returns the datagram to send in reply, or
// nil. It retains b.
func (c *Client) handle(b []byte) []byte {
	m, err := decode(b)
	if err != nil {
		if len(b) >= 4 && message.Type(b[0]>>4&3) == message.Confirmable && b[0]>>6 == 1 {
			return emptyMessage(message.Reset, binary.BigEndian.Uint16(b[2:]))
		}
		return nil
	}
	mid := uint16(m.MessageID)
	hash := xxhash.Sum64(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case m.Type == message.Reset:
		if e := c.byMID[mid]; e != nil && m.Code == codes.Empty {
			delete(c.byMID, mid)
			close(e.reset)
		}
		return nil
	case m.Type == message.Acknowledgement:
		c.handleAck(mid, m)
		return nil
	case m.Type == message.Confirmable:
		if c.recent.contains(hash) {
			return emptyMessage(message.Acknowledgement, mid)
		}
		accepted, known := isResponse(m.Code) && c.deliver(m), c.knowsToken(m.Token)
		switch {
		case accepted:
			c.recent.add(hash)
			return emptyMessage(message.Acknowledgement, mid)
		case known:
			return nil // without an acknowledgement, the sender retransmits it
		}
		return emptyMessage(message.Reset, mid)
	}
	if isResponse(m.Code) && !c.recent.contains(hash) && c.deliver(m) {
		c.recent.add(hash)
	}
	return nil
}

// handleAck handles an ACK, which is either empty or carries the response. The caller
// must hold c.mu.
func (c *Client) handleAck(mid uint16, m message.Message) {
	e := c.byMID[mid]
	if e == nil {
		return
	}
	if m.Code == codes.Empty {
		select {
		case <-e.acked:
		default:
			close(e.acked)
		}
		return
	}
	if t, ok := toToken(m.Token); ok && t == e.token && isResponse(m.Code) {
		c.deliver(m)
	}
}

func (c *Client) knowsToken(b []byte) bool {
	t, ok := toToken(b)
	return ok && (c.exchanges[t] != nil || c.streams[t] != nil)
}

// deliver passes a response to the exchange or stream with its token and reports
// whether it was accepted. The caller must hold c.mu.
func (c *Client) deliver(m message.Message) bool {
	t, ok := toToken(m.Token)
	if !ok {
		return false
	}
	// A notification may arrive while a refresh of its stream awaits the response.
	// Both carry the current state, so either completes the refresh.
	if e := c.exchanges[t]; e != nil {
		// The exchange is complete; a later notification belongs to the stream.
		delete(c.exchanges, t)
		e.response <- m
		return true
	}
	if s := c.streams[t]; s != nil {
		return s.enqueue(m)
	}
	return false
}

func toToken(b []byte) (token, bool) {
	var t token
	if len(b) != tokenBytes {
		return t, false
	}
	copy(t[:], b)
	return t, true
}

func emptyMessage(typ message.Type, mid uint16) []byte {
	return []byte{1<<6 | byte(typ)<<4, 0, byte(mid >> 8), byte(mid)}
}

// diagnosticCode returns the result code in the diagnostic payload of an error
// response, or OK for any other response.
func diagnosticCode(m message.Message) result.Code {
	code, _, ok := parseDiagnostic(m.Payload)
	if m.Code>>5 < 4 || !ok {
		return result.OK
	}
	return code
}
