package forwarder

import (
	"net/netip"

	"github.com/monsoonthread/monsoonthread/forwarding"
	"github.com/monsoonthread/monsoonthread/peer/exchange"
	"github.com/monsoonthread/monsoonthread/platform/health"
	"github.com/monsoonthread/monsoonthread/platform/wire"
	"github.com/monsoonthread/monsoonthread/result"
)

// servePackets receives and forwards packets until the socket is closed.
func (f *Forwarder) servePackets() error {
	// The buffer has room for the envelope in front of the packet, so that the packet can be
	// sent without copying it.
	buffer := make([]byte, wire.EnvelopeBytes+wire.MaxPacketBytes+1)
	for {
		f.backlog.beforeRead(f.isSocketEmpty)
		n, from, err := f.packets.ReadFromUDPAddrPort(buffer[wire.EnvelopeBytes:])
		if err != nil {
			if isClosed(err) {
				return nil
			}
			// The delivery error of an earlier datagram is reported by a later read.
			f.counters.socketErrors.Inc()
			continue
		}
		f.handlePacket(buffer[:wire.EnvelopeBytes+n], from)
	}
}

func (f *Forwarder) handlePacket(b []byte, from netip.AddrPort) {
	raw := b[wire.EnvelopeBytes:]
	p, err := wire.DecodePacket(raw)
	if err != nil {
		f.counters.malformedPackets.Inc()
		f.events.logMalformed(from, err)
		return
	}
	now := f.now()
	f.lastPacketAt.Store(int64(now))
	f.mu.Lock()
	p.Late = p.Open && f.backlog.waited(bootTime())
	decision, actions := f.engine.Packet(now, p, raw)
	version, _ := f.engine.Version()
	var refusal forwarding.FlowRefusal
	if decision.Reason == forwarding.Overloaded || decision.Reason == forwarding.DeadlineUnmet {
		refusal = f.engine.LastRefusal()
	}
	f.mu.Unlock()
	f.counters.recordDecision(decision)
	switch decision.Verdict {
	case forwarding.Forward:
		f.sendToServer(b, decision.Target)
	case forwarding.ResetFlow:
		f.sendReset(p.Flow, p.Acknowledgement)
	}
	f.events.logDecision(p, decision, version, refusal)
	if decision.ReplacedServer != 0 {
		f.counters.entriesReplaced.Inc()
		f.events.logReplaced(p, decision)
	}
	if len(actions) > 0 {
		f.perform(actions)
	}
}

// sendToServer writes the envelope and the cookie into b and sends b to the server.
func (f *Forwarder) sendToServer(b []byte, to forwarding.Target) {
	wire.PutServerID(b, to.ID)
	wire.PutCookie(b[wire.EnvelopeBytes:], to.Cookie)
	if _, err := f.packets.WriteToUDPAddrPort(b, to.Address); err != nil {
		f.counters.socketErrors.Inc()
	}
}

func (f *Forwarder) sendReset(flow forwarding.FlowKey, sequence uint32) {
	var b [wire.HeaderBytes]byte
	packet := wire.AppendReset(b[:0], flow, sequence)
	if _, err := f.packets.WriteToUDPAddrPort(packet, netip.AddrPortFrom(flow.ClientAddr(), f.clientPort)); err != nil {
		f.counters.socketErrors.Inc()
	}
}

// perform carries out the actions that the engine requested.
func (f *Forwarder) perform(actions []forwarding.Action) {
	for _, a := range actions {
		f.events.logAction(a)
		switch a.Kind {
		case forwarding.SendReset:
			f.counters.proactiveResets.Inc()
			f.sendReset(a.Flow, a.Sequence)
		case forwarding.SendPacket:
			f.counters.openingPacketsMoved.Inc()
			b := make([]byte, wire.EnvelopeBytes, wire.EnvelopeBytes+len(a.Packet))
			f.sendToServer(append(b, a.Packet...), a.Target)
		case forwarding.ReportToPeers:
			f.counters.suspectsSent.Inc()
			f.sendToDomain(&exchange.Message{Suspects: []uint32{a.Target.Cookie}})
		case forwarding.ConfirmToPeers:
			f.sendToDomain(&exchange.Message{Resets: []uint32{a.Target.Cookie}})
		case forwarding.AskSettlers:
			f.counters.questionsSent.Inc()
			f.askSettlers(a.Target.Cookie)
		case forwarding.TellAlive, forwarding.TellDown:
			f.tellAskers(a.Target.Cookie, a.Kind == forwarding.TellAlive)
		case forwarding.Probe:
			go f.probe(a)
		}
	}
}

// probe checks whether the server responds at its address and passes the outcome to the
// engine.
func (f *Forwarder) probe(a forwarding.Action) {
	started := f.now()
	select {
	case f.probeSlots <- struct{}{}:
		defer func() { <-f.probeSlots }()
	default:
		// Without a free slot, the probe counts as stalled on this instance.
		f.mu.Lock()
		f.engine.ApplyProbeResult(started, a.Server, forwarding.ProbeResult{Outcome: forwarding.ConnectTimeout, Stalled: true, Incarnation: a.Incarnation, Address: a.Target.Address})
		f.mu.Unlock()
		return
	}
	reference := make(chan forwarding.ReferenceOutcome, 1)
	go func() { reference <- connectToReference(a.Reference) }()
	outcome, answerer, err := health.Check(a.Target.Address, a.Path, a.Server)
	f.counters.probes[outcome].Inc()
	now := f.now()
	r := forwarding.ProbeResult{Outcome: outcome, Elapsed: now - started, Incarnation: a.Incarnation, Address: a.Target.Address, Answerer: answerer}
	if outcome == forwarding.ConnectTimeout {
		r.Reference = <-reference
		// A late timer means that this process was stalled.
		r.Stalled = r.Elapsed > health.ConnectTimeout+health.ConnectTimeout/2
	}
	f.mu.Lock()
	actions := f.engine.ApplyProbeResult(now, a.Server, r)
	f.mu.Unlock()
	f.events.logProbe(a.Server, r, err)
	f.perform(actions)
}

// connectToReference connects to the reference server of the probe, if there is one.
func connectToReference(t forwarding.Target) forwarding.ReferenceOutcome {
	if !t.Address.IsValid() {
		return forwarding.NoReference
	}
	if health.CanConnect(t.Address, health.ConnectTimeout/2) {
		return forwarding.ReferenceAnswered
	}
	return forwarding.ReferenceLate
}

// errorCode returns the result code of an error for log lines.
func errorCode(err error) uint16 { return uint16(result.CodeOf(err)) }
