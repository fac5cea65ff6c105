package daemon

import (
	"context"
	"net/netip"
	"time"

	"github.com/monsoonthread/monsoonthread/edge"
	"github.com/monsoonthread/monsoonthread/flow"
	"github.com/monsoonthread/monsoonthread/internal/logging"
	"github.com/monsoonthread/monsoonthread/internal/timeline"
	"github.com/monsoonthread/monsoonthread/membership"
	"github.com/monsoonthread/monsoonthread/peer/peerpb"
	"github.com/monsoonthread/monsoonthread/permit"
	"github.com/monsoonthread/monsoonthread/result"
)

// maxHops bounds the relays of a packet. Views that differ temporarily can name
// different owners; the second receiver serves the packet itself.
const maxHops = 2

// packet is a caller's datagram being processed by this instance.
type packet struct {
	service  *service
	key      flow.Key
	hash     uint64
	message  *edge.Message
	datagram []byte
	hops     uint32
}

// readFabric reads datagrams from the fabric and queues them for the workers.
func (d *Daemon) readFabric() {
	buffer := make([]byte, 65536)
	for {
		n, err := d.fabric.Read(buffer)
		if err != nil {
			if d.lifecycle.stopped() {
				return
			}
			continue
		}
		d.metrics.datagrams.Inc()
		select {
		case d.datagrams <- append([]byte(nil), buffer[:n]...):
		default:
			d.metrics.dropped(result.QueueFull)
		}
	}
}

// processDatagrams runs a worker. It starts when the instance serves; datagrams that
// arrive earlier wait in the queue, because joining takes less time than a caller's
// retransmission timeout.
func (d *Daemon) processDatagrams(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-d.members.servingSignal:
	}
	for {
		select {
		case <-ctx.Done():
			return
		case datagram := <-d.datagrams:
			d.awaitCurrentConfig(ctx)
			d.handleDatagram(datagram)
		}
	}
}

// handleDatagram decodes and routes a datagram from the fabric.
func (d *Daemon) handleDatagram(datagram []byte) {
	r := d.routes.Load()
	if r == nil {
		d.metrics.dropped(result.NoConfiguration)
		return
	}
	caller, address, payload, err := edge.DecodeProxy(datagram)
	if err != nil {
		d.metrics.dropped(result.CodeOf(err))
		return
	}
	svc := r.byAddress[address]
	if svc == nil {
		d.metrics.dropped(result.UnknownService)
		return
	}
	p, err := newPacket(svc, caller, payload)
	if err != nil {
		d.rejectMalformed(svc, caller, payload, err)
		return
	}
	d.route(r, p)
}

func newPacket(svc *service, caller netip.AddrPort, datagram []byte) (*packet, error) {
	m, err := edge.Decode(datagram)
	if err != nil {
		return nil, err
	}
	key := flow.Key{Caller: caller, ServiceID: svc.ID}
	return &packet{service: svc, key: key, hash: key.Hash(), message: m, datagram: datagram}, nil
}

// rejectMalformed answers a malformed confirmable request with 4.00 if its header can
// be decoded, and drops everything else.
func (d *Daemon) rejectMalformed(svc *service, caller netip.AddrPort, datagram []byte, err error) {
	d.metrics.dropped(result.CodeOf(err))
	m := edge.DecodeHeader(datagram)
	if m == nil || m.Type != edge.Confirmable {
		return
	}
	d.send(svc, caller, errorResponse(m, edge.BadRequest, err, 0))
}

// route relays a packet to the instance responsible for it, or serves it here.
func (d *Daemon) route(r *routing, p *packet) {
	if !d.members.serving.Load() {
		d.relayWhileJoining(r, p)
		return
	}
	if p.message.Code.IsRequest() && !isStream(p.message) && !d.routeFor(p).Idempotent {
		if echo := p.message.Echo(); echo != nil {
			d.routePermitted(r, p, echo)
			return
		}
		d.routeUnpermitted(r, p)
		return
	}
	owner, ok := r.view.Owner(p.hash)
	if ok && owner.ID != d.settings.InstanceID && p.hops < maxHops && d.relay(r, owner, p, false) == nil {
		return
	}
	d.serveLocally(r, p)
}

// relayWhileJoining relays a packet while this instance is not serving yet.
func (d *Daemon) relayWhileJoining(r *routing, p *packet) {
	owner, ok := r.view.Owner(p.hash)
	if !ok || owner.ID == d.settings.InstanceID || p.hops >= maxHops || d.relay(r, owner, p, false) != nil {
		d.metrics.dropped(result.InstanceNotReady)
	}
}

// isStream reports whether a request registers or cancels an observation.
func isStream(m *edge.Message) bool {
	_, observe := m.Observe()
	return observe && (m.Code == edge.GET || m.Code == edge.FETCH)
}

// routePermitted relays a permitted request to its issuer. If the issuer is unreachable
// it may have run the request, so the answer is "outcome unknown".
func (d *Daemon) routePermitted(r *routing, p *packet, echo []byte) {
	ref, err := permit.Parse(echo)
	if err != nil {
		d.send(p.service, p.key.Caller, errorResponse(p.message, edge.BadRequest, err, 0))
		return
	}
	if ref.InstanceHash == permit.InstanceHash(d.settings.InstanceID) {
		d.servePermitted(p, echo)
		return
	}
	issuer, ok := findIssuer(r.view, ref)
	if ok && p.hops < maxHops && d.relay(r, issuer, p, true) == nil {
		return
	}
	d.metrics.refused(result.IssuerLost)
	d.log.Debug().Uint64("issuer_hash", ref.InstanceHash).Uint64(logging.Incarnation, ref.Incarnation).Bool("known", ok).
		Uint32("hops", p.hops).Msg("permit_issuer_lost")
	err = result.Errorf(result.IssuerLost, "outcome unknown: the instance that issued the permit cannot be reached")
	d.send(p.service, p.key.Caller, errorResponse(p.message, edge.GatewayTimeout, err, 0))
}

// findIssuer returns the live instance named by a permit. A leaving instance still
// serves its permits. The incarnation is checked by the issuer only: it increases when
// the instance refutes a suspicion or leaves, while the same process can still verify
// its permits.
func findIssuer(v *membership.View, ref permit.Header) (membership.Entry, bool) {
	for i := range v.Domains {
		dom := &v.Domains[i]
		if !dom.Reachable {
			continue
		}
		for j := range dom.Members {
			e := &dom.Members[j]
			if permit.InstanceHash(e.ID) == ref.InstanceHash && e.State != membership.Dead {
				return *e, true
			}
		}
	}
	return membership.Entry{}, false
}

// routeUnpermitted answers a non-idempotent request without a permit by issuing one. A
// leaving instance relays the request to the flow's owner instead, which stays and can
// verify the permit.
func (d *Daemon) routeUnpermitted(r *routing, p *packet) {
	if d.lifecycle.leaving() && p.hops < maxHops {
		if owner, ok := r.view.Owner(p.hash); ok && owner.ID != d.settings.InstanceID && d.relay(r, owner, p, false) == nil {
			return
		}
	}
	echo, err := d.issuer.issue(time.Now(), p.hash, p.service.ID)
	if err != nil {
		d.respondError(p, err, time.Second)
		return
	}
	answer := edge.NewResponse(p.message, edge.Unauthorized)
	answer.SetEcho(echo)
	answer.Payload = diagnostic(result.Errorf(result.PermitRequired, "repeat the request with the Echo option"))
	d.metrics.permits.Inc()
	d.send(p.service, p.key.Caller, answer)
}

// relay sends a packet to another instance. An error means that the packet was not
// sent.
func (d *Daemon) relay(r *routing, to membership.Entry, p *packet, toIssuer bool) error {
	caller, _ := p.key.Caller.MarshalBinary()
	address, _ := p.service.Address.MarshalBinary()
	d.metrics.relayed.Inc()
	return d.peers.Send(addressOf(to), &peerpb.Envelope{Body: &peerpb.Envelope_Packet{Packet: &peerpb.Packet{
		ServiceId: p.service.ID, ConfigVersion: r.config.Version, Caller: caller, ServiceAddress: address,
		Datagram: p.datagram, Hops: p.hops + 1, ToIssuer: toIssuer}}})
}

// handlePacket processes a packet relayed by another instance.
func (d *Daemon) handlePacket(from string, in *peerpb.Packet) {
	r := d.routes.Load()
	if r == nil {
		d.metrics.dropped(result.NoConfiguration)
		return
	}
	var caller, address netip.AddrPort
	if caller.UnmarshalBinary(in.Caller) != nil || address.UnmarshalBinary(in.ServiceAddress) != nil || !caller.IsValid() {
		d.metrics.dropped(result.MalformedEnvelope)
		d.log.Warn().Str(logging.Peer, from).Uint16(logging.Code, uint16(result.MalformedEnvelope)).Msg("packet_dropped")
		return
	}
	// While configuration versions differ, an address can belong to different services
	// here and at the sender, so the sender's service must own it here too.
	svc := r.byID[in.ServiceId]
	if svc == nil || svc.Address != address {
		d.refuseWrongService(r, address, caller, in)
		return
	}
	p, err := newPacket(svc, caller, in.Datagram)
	if err != nil {
		d.rejectMalformed(svc, caller, in.Datagram, err)
		return
	}
	p.hops = in.Hops
	d.route(r, p)
}

// refuseWrongService rejects a relayed packet whose service does not own the address in
// the local configuration.
func (d *Daemon) refuseWrongService(r *routing, address, caller netip.AddrPort, in *peerpb.Packet) {
	d.metrics.dropped(result.WrongService)
	d.events.Record("packet_wrong_service", timeline.Field{Key: logging.Address, Value: address.String()})
	m, err := edge.Decode(in.Datagram)
	if err != nil || !m.Code.IsRequest() || !address.IsValid() {
		return
	}
	reason := result.Errorf(result.WrongService, "the configuration is changing (version %d here, %d at the sender)", r.config.Version, in.ConfigVersion)
	d.sendFrom(address, caller, errorResponse(m, edge.ServiceUnavailable, reason, time.Second))
}
