package daemon

import (
	"fmt"
	"math"
	"net/netip"
	"time"

	"github.com/monsoonthread/monsoonthread/config"
	"github.com/monsoonthread/monsoonthread/edge"
	"github.com/monsoonthread/monsoonthread/result"
)

// diagnostic returns a diagnostic payload (RFC 7252, 5.5.2): the result code in
// brackets and the reason.
func diagnostic(err error) []byte {
	if result.CodeOf(err) == result.InternalInvariant {
		err = result.Errorf(result.InternalInvariant, "%w", err)
	}
	return []byte(err.Error())
}

// errorResponse returns a response with the diagnostic payload of err. Max-Age is
// retryAfter, rounded up to seconds.
func errorResponse(request *edge.Message, code edge.Code, err error, retryAfter time.Duration) *edge.Message {
	m := edge.NewResponse(request, code)
	if retryAfter > 0 {
		m.SetMaxAge(uint32(math.Ceil(retryAfter.Seconds())))
	}
	m.Payload = diagnostic(err)
	return m
}

// coapCode maps a result code to a CoAP response code.
func coapCode(c result.Code) edge.Code {
	switch {
	case c.NotExecuted():
		return edge.ServiceUnavailable
	case c == result.UnsupportedOption:
		return edge.BadOption
	case c >= 300 && c < 400: // malformed input
		return edge.BadRequest
	default:
		return edge.GatewayTimeout
	}
}

// routeFor returns the configured route of a request.
func (d *Daemon) routeFor(p *packet) *config.Route {
	return p.service.RouteFor(p.message.Code.Method(), p.message.Path())
}

// respondError answers a request that was not run or whose outcome is unknown.
func (d *Daemon) respondError(p *packet, err error, retryAfter time.Duration) {
	code := result.CodeOf(err)
	d.metrics.refused(code)
	d.respond(p, errorResponse(p.message, coapCode(code), err, retryAfter))
}

// respond answers a request and records the answer for retransmissions.
func (d *Daemon) respond(p *packet, m *edge.Message) {
	b := d.sendResponse(p, m)
	if b != nil && p.message.Type == edge.Confirmable {
		d.exchanges.complete(exchangeKeyOf(p), b, time.Now())
	}
}

// sendResponse sends m as the response to p and returns the encoded message.
func (d *Daemon) sendResponse(p *packet, m *edge.Message) []byte {
	m.Token = p.message.Token
	m.Type, m.ID = edge.Acknowledgement, p.message.ID
	if p.message.Type != edge.Confirmable {
		m.Type, m.ID = edge.NonConfirmable, d.nextMessageID()
	}
	return d.send(p.service, p.key.Caller, m)
}

func (d *Daemon) nextMessageID() uint16 { return uint16(d.lastMessageID.Add(1)) }

// send sends a message to a caller through the fabric, with the service's address as
// source, and returns the encoded message.
func (d *Daemon) send(svc *service, caller netip.AddrPort, m *edge.Message) []byte {
	return d.sendFrom(svc.Address, caller, m)
}

func (d *Daemon) sendFrom(source, caller netip.AddrPort, m *edge.Message) []byte {
	b, err := m.Encode()
	if err != nil {
		d.violation("answer_encodes", fmt.Sprintf("code %s: %v", m.Code, err))
		return nil
	}
	d.sendBytes(source, caller, b)
	return b
}

func addrPortOf(b []byte) (netip.AddrPort, error) {
	var a netip.AddrPort
	err := a.UnmarshalBinary(b)
	return a, err
}

func (d *Daemon) sendBytes(source, caller netip.AddrPort, b []byte) {
	framed, err := edge.EncodeProxy(source, caller, b)
	if err != nil {
		d.violation("answer_addresses", err.Error())
		return
	}
	if _, err := d.fabric.WriteToUDPAddrPort(framed, d.fabricAddr); err != nil {
		d.metrics.sendErrors.Inc()
	}
}
