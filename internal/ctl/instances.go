package ctl

import (
	"context"
	"net/netip"
	"slices"
	"strings"
	"sync"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/status"

	"github.com/monsoonthread/monsoonthread/internal/security"
	"github.com/monsoonthread/monsoonthread/membership"
	"github.com/monsoonthread/monsoonthread/peer/peerpb"
	"github.com/monsoonthread/monsoonthread/result"
)

const (
	// concurrentCalls bounds the connections of the tool at a large deployment.
	concurrentCalls = 32
	// maxReplyBytes bounds one answer; 12,000 servers in one status need about 1 MB.
	maxReplyBytes = 16 << 20
)

// fleet calls entry instances.
type fleet struct {
	app         *app
	credentials credentials.TransportCredentials
}

// instanceStatus is what one instance answered.
type instanceStatus struct {
	address string
	reply   *peerpb.StatusReply
	err     error
}

func (a *app) openFleet() (*fleet, error) {
	if len(a.instances) == 0 {
		return nil, usagef("--instances is needed")
	}
	for _, address := range a.instances {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return nil, usagef("--instances: %w", err)
		}
	}
	c, err := security.ClientCredentials(a.tlsCert, a.tlsKey, a.tlsCA)
	if err != nil {
		return nil, err
	}
	return &fleet{a, c}, nil
}

// call runs f with a client of the instance at address.
func (f *fleet) call(ctx context.Context, address string, fn func(context.Context, peerpb.OperatorClient) error) error {
	conn, err := grpc.NewClient(address, grpc.WithTransportCredentials(f.credentials),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxReplyBytes)))
	if err != nil {
		return result.Errorf(result.PeerUnreachable, "instance %s: %w", address, err)
	}
	defer conn.Close()
	ctx, cancel := context.WithTimeout(ctx, f.app.timeout)
	defer cancel()
	if err := fn(ctx, peerpb.NewOperatorClient(conn)); err != nil {
		s := status.Convert(err)
		return result.Errorf(result.PeerUnreachable, "instance %s: %s: %s", address, s.Code(), s.Message())
	}
	return nil
}

// each runs fn for each address, some at once.
func each(addresses []string, fn func(i int, address string)) {
	var group sync.WaitGroup
	slots := make(chan struct{}, concurrentCalls)
	for i, address := range addresses {
		slots <- struct{}{}
		group.Go(func() {
			fn(i, address)
			<-slots
		})
	}
	group.Wait()
}

func (f *fleet) statusOf(ctx context.Context, addresses []string) []instanceStatus {
	out := make([]instanceStatus, len(addresses))
	each(addresses, func(i int, address string) {
		out[i].address = address
		out[i].err = f.call(ctx, address, func(ctx context.Context, c peerpb.OperatorClient) (err error) {
			out[i].reply, err = c.Status(ctx, &peerpb.StatusRequest{})
			return err
		})
	})
	return out
}

// discover asks the given instances and then those that they know and that are not
// dead. It fails if none of the given ones answers.
func (f *fleet) discover(ctx context.Context) ([]instanceStatus, error) {
	found := f.statusOf(ctx, f.app.instances)
	known := make(map[string]bool)
	var answered bool
	var lastErr error
	for _, s := range found {
		known[s.address] = true
		if s.err != nil {
			lastErr = s.err
			continue
		}
		answered = true
		known[s.reply.GetSelf().GetPeerAddress()] = true
	}
	if !answered {
		return nil, lastErr
	}
	var more []string
	for _, s := range found {
		for _, d := range s.reply.GetDomains() {
			for _, m := range d.Members {
				if _, err := netip.ParseAddrPort(m.PeerAddress); err == nil && !known[m.PeerAddress] && membership.State(m.State) != membership.Dead {
					known[m.PeerAddress] = true
					more = append(more, m.PeerAddress)
				}
			}
		}
	}
	found = append(found, f.statusOf(ctx, more)...)
	slices.SortFunc(found, func(a, b instanceStatus) int {
		return strings.Compare(a.sortKey(), b.sortKey())
	})
	return found, nil
}

func (s *instanceStatus) sortKey() string {
	self := s.reply.GetSelf()
	return self.GetDomain() + "\x00" + self.GetId() + "\x00" + s.address
}
