package daemon

import (
	"context"
	"time"

	"google.golang.org/grpc"

	"github.com/monsoonthread/monsoonthread/membership"
	"github.com/monsoonthread/monsoonthread/peer/peerpb"
)

// maxTimelineEvents bounds the events in one Timeline reply.
const maxTimelineEvents = 4096

// peerService implements the Peer service for other instances.
type peerService struct {
	peerpb.UnimplementedPeerServer
	daemon *Daemon
}

// Link receives the envelopes of one instance.
func (s *peerService) Link(stream grpc.ClientStreamingServer[peerpb.Envelope, peerpb.LinkReply]) error {
	return s.daemon.peers.Receive(stream)
}

// FetchConfig returns the local configuration if it is newer than the caller's.
func (s *peerService) FetchConfig(_ context.Context, req *peerpb.FetchConfigRequest) (*peerpb.FetchConfigReply, error) {
	b, err := s.daemon.current.EncodeSince(req.KnownVersion)
	if err != nil {
		return nil, err
	}
	return &peerpb.FetchConfigReply{Version: s.daemon.current.Version(), Config: b}, nil
}

// operatorService implements the read-only Operator service for the operators' tool.
type operatorService struct {
	peerpb.UnimplementedOperatorServer
	daemon *Daemon
}

// Status returns the status of this instance.
func (s *operatorService) Status(context.Context, *peerpb.StatusRequest) (*peerpb.StatusReply, error) {
	d := s.daemon
	flows, streams, _ := d.flows.Len()
	reply := &peerpb.StatusReply{Self: d.selfMember(), Ready: d.lifecycle.serving(), Flows: uint64(flows), Streams: uint64(streams),
		ConfigVersion: d.current.Version(), Counters: d.metrics.snapshot(), Domains: domainsOf(d.view())}
	now := time.Now()
	for _, sch := range d.schedulers.all() {
		sch.mu.Lock()
		for _, st := range sch.scheduler.Status(now) {
			if st.Role != roleReleased || st.Running > 0 {
				reply.Servers = append(reply.Servers, st)
			}
		}
		sch.mu.Unlock()
	}
	return reply, nil
}

// InForce returns the configuration version of each instance as known to this one.
func (s *operatorService) InForce(context.Context, *peerpb.InForceRequest) (*peerpb.InForceReply, error) {
	reply := &peerpb.InForceReply{HeadVersion: s.daemon.current.Version(), Domains: domainsOf(s.daemon.view())}
	for _, dom := range reply.Domains {
		for _, m := range dom.Members {
			reply.HeadVersion = max(reply.HeadVersion, m.ConfigVersion)
		}
	}
	return reply, nil
}

// Timeline returns the timeline events of this instance.
func (s *operatorService) Timeline(_ context.Context, req *peerpb.TimelineRequest) (*peerpb.TimelineReply, error) {
	limit := int(req.Limit)
	if limit == 0 || limit > maxTimelineEvents {
		limit = maxTimelineEvents
	}
	events, dropped := s.daemon.events.After(req.AfterHlc, limit)
	return &peerpb.TimelineReply{Events: events, Dropped: dropped}, nil
}

func (d *Daemon) view() *membership.View {
	d.members.mu.Lock()
	defer d.members.mu.Unlock()
	return d.members.machine.View()
}

func (d *Daemon) selfMember() *peerpb.Member {
	if e, ok := d.view().Member(d.settings.InstanceID); ok {
		return memberOf(e)
	}
	return &peerpb.Member{Id: d.settings.InstanceID, Domain: d.settings.FailureDomain, PeerAddress: d.settings.PeerAddress, Weight: d.settings.Weight}
}

func memberOf(e membership.Entry) *peerpb.Member {
	return &peerpb.Member{Id: e.ID, Domain: e.Domain, PeerAddress: e.PeerAddress, Weight: e.Weight,
		Incarnation: e.Incarnation, State: uint32(e.State), ConfigVersion: e.ConfigVersion}
}

func domainsOf(v *membership.View) []*peerpb.DomainSummary {
	out := make([]*peerpb.DomainSummary, 0, len(v.Domains))
	for i := range v.Domains {
		dom := &peerpb.DomainSummary{Name: v.Domains[i].Name, Version: v.Version}
		for _, e := range v.Domains[i].Members {
			dom.Members = append(dom.Members, memberOf(e))
		}
		out = append(out, dom)
	}
	return out
}
