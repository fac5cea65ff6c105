package daemon

import (
	"encoding/binary"
	"net"
	"net/netip"

	"github.com/monsoonthread/monsoonthread/edge"
	"github.com/monsoonthread/monsoonthread/result"
)

func (b *backendClient) read(socket int, conn *net.UDPConn) {
	buffer := make([]byte, 65536)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if b.daemon.lifecycle.stopped() {
				return
			}
			continue
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		m, err := edge.Decode(append([]byte(nil), buffer[:n]...))
		if err != nil {
			b.daemon.metrics.dropped(result.CodeOf(err))
			continue
		}
		b.received(socket, from, m)
	}
}

// received matches a message of a backend server to its exchange or observation. The
// sender's address must match too.
func (b *backendClient) received(socket int, from netip.AddrPort, m *edge.Message) {
	if m.Code == edge.Empty {
		b.receivedEmpty(socket, from, m)
		return
	}
	if len(m.Token) != tokenBytes {
		b.daemon.metrics.lateAnswers.Inc()
		return
	}
	token := binary.BigEndian.Uint64(m.Token)
	b.mu.Lock()
	x := b.byToken[token]
	if x != nil && (x.server.Address != from || !x.isAnsweredBy(m)) {
		x = nil
	}
	if x != nil {
		b.remove(x)
	}
	o := b.observations[token]
	if o != nil && o.addr != from {
		o = nil
	}
	b.mu.Unlock()
	if o != nil && b.daemon.dropsTrafficFrom(o.server) {
		return
	}
	if m.Type == edge.Confirmable {
		b.acknowledge(socket, from, m, x != nil || o != nil)
	}
	switch {
	case x != nil:
		x.end(m)
	case o != nil:
		b.daemon.streams.handleNotification(o, token, m)
	default:
		b.daemon.metrics.lateAnswers.Inc()
		if _, observe := m.Observe(); observe && m.Type == edge.NonConfirmable {
			// Reset makes the server end the unknown observation.
			b.write(socket, from, edge.NewEmptyMessage(edge.Reset, m.ID))
		}
	}
}

// acknowledge answers a confirmable message. A notification of an unknown observation
// is answered with Reset, which ends it (RFC 7641, 3.6).
func (b *backendClient) acknowledge(socket int, from netip.AddrPort, m *edge.Message, known bool) {
	kind := edge.Acknowledgement
	if _, observe := m.Observe(); observe && !known {
		kind = edge.Reset
	}
	b.write(socket, from, edge.NewEmptyMessage(kind, m.ID))
}

// receivedEmpty processes an empty acknowledgement or reset.
func (b *backendClient) receivedEmpty(socket int, from netip.AddrPort, m *edge.Message) {
	b.mu.Lock()
	token, ok := b.byMessage[messageKey{from, socket, m.ID}]
	x := b.byToken[token]
	if !ok || x == nil {
		b.mu.Unlock()
		return
	}
	if m.Type == edge.Acknowledgement {
		x.acked = true
		b.mu.Unlock()
		return
	}
	b.remove(x)
	b.mu.Unlock()
	x.end(m)
}
