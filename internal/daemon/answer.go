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

// diagnostic returns the payload of a refusal: the result code in brackets and the
// reason.
func diagnostic(err error) []byte {
	if result.CodeOf(err) == result.InternalInvariant {
		err = result.Errorf(result.InternalInvariant, "%w", err)
	}
	return []byte(err.Error())
}

// refusal returns an answer without a result. retryAfter is rounded up to seconds.
func refusal(request *edge.Message, code edge.Code, err error, retryAfter time.Duration) *edge.Message {
	m := edge.NewResponse(request, code)
	if retryAfter > 0 {
		m.SetMaxAge(uint32(math.Ceil(retryAfter.Seconds())))
	}
	m.Payload = diagnostic(err)
	return m
}

// codeFor returns the CoAP code for a result code.
func codeFor(c result.Code) edge.Code {
	switch {
	case c.NotExecuted():
		return edge.ServiceUnavailable
	case c == result.UnsupportedOption:
		return edge.BadOption
	case c >= 300 && c < 400:
		return edge.BadRequest
	default:
		return edge.GatewayTimeout
	}
}

// treatment returns the route of a request.
func (d *Daemon) treatment(p *packet) *config.Route {
	return p.service.RouteFor(p.message.Code.Method(), p.message.Path())
}

// refuse answers a request with a reason for which it did not run or its outcome is
// unknown.
func (d *Daemon) refuse(p *packet, err error, retryAfter time.Duration) {
	code := result.CodeOf(err)
	d.metrics.refused(code)
	d.respond(p, refusal(p.message, codeFor(code), err, retryAfter))
}

// respond sends the answer to a request and keeps it for retransmissions.
func (d *Daemon) respond(p *packet, m *edge.Message) {
	b := d.sendAs(p, m)
	if b != nil && p.message.Type == edge.Confirmable {
		d.exchanges.complete(exchangeKeyOf(p), b, time.Now())
	}
}

// sendAs sends m as the answer to the request of p and returns the encoded message.
func (d *Daemon) sendAs(p *packet, m *edge.Message) []byte {
	m.Token = p.message.Token
	m.Type, m.ID = edge.Acknowledgement, p.message.ID
	if p.message.Type != edge.Confirmable {
		m.Type, m.ID = edge.NonConfirmable, d.nextMessageID()
	}
	return d.send(p.service, p.key.Caller, m)
}

func (d *Daemon) nextMessageID() uint16 { return uint16(d.messages.Add(1)) }

// send passes a message to a caller through the fabric, with the service's address as
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
	framed, err := edge.AppendProxy(source, caller, b)
	if err != nil {
		d.violation("answer_addresses", err.Error())
		return
	}
	if _, err := d.fabric.WriteToUDPAddrPort(framed, d.answer); err != nil {
		d.metrics.sendErrors.Inc()
	}
}
