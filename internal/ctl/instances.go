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
	// concurrentCalls limits the connections open at once in a large deployment.
	concurrentCalls = 32
	// maxReplyBytes limits one reply; a status with 12,000 servers takes about 1 MB.
	maxReplyBytes = 16 << 20
)

// instanceClient calls the Operator service of entry instances.
type instanceClient struct {
	app         *app
	credentials credentials.TransportCredentials
}

// instanceStatus is the status reply of one instance, or the error of the call.
type instanceStatus struct {
	address string
	reply   *peerpb.StatusReply
	err     error
}

func (a *app) newInstanceClient() (*instanceClient, error) {
	if len(a.instanceAddresses) == 0 {
		return nil, usagef("--instances is required")
	}
	for _, address := range a.instanceAddresses {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return nil, usagef("--instances: %w", err)
		}
	}
	c, err := security.ClientCredentials(a.tlsCert, a.tlsKey, a.tlsCA)
	if err != nil {
		return nil, err
	}
	return &instanceClient{a, c}, nil
}

// call runs fn with a client connected to the instance at address.
func (f *instanceClient) call(ctx context.Context, address string, fn func(context.Context, peerpb.OperatorClient) error) error {
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

// forEachAddress runs fn for every address, up to concurrentCalls at a time.
func forEachAddress(addresses []string, fn func(i int, address string)) {
	var group sync.WaitGroup
	limiter := make(chan struct{}, concurrentCalls)
	for i, address := range addresses {
		limiter <- struct{}{}
		group.Go(func() {
			fn(i, address)
			<-limiter
		})
	}
	group.Wait()
}

func (f *instanceClient) fetchStatus(ctx context.Context, addresses []string) []instanceStatus {
	out := make([]instanceStatus, len(addresses))
	forEachAddress(addresses, func(i int, address string) {
		out[i].address = address
		out[i].err = f.call(ctx, address, func(ctx context.Context, c peerpb.OperatorClient) (err error) {
			out[i].reply, err = c.Status(ctx, &peerpb.StatusRequest{})
			return err
		})
	})
	return out
}

// discover queries the configured instances and then the members that they list,
// except dead ones. It fails if no configured instance answers.
func (f *instanceClient) discover(ctx context.Context) ([]instanceStatus, error) {
	found := f.fetchStatus(ctx, f.app.instanceAddresses)
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
	found = append(found, f.fetchStatus(ctx, more)...)
	slices.SortFunc(found, func(a, b instanceStatus) int {
		return strings.Compare(a.sortKey(), b.sortKey())
	})
	return found, nil
}

func (s *instanceStatus) sortKey() string {
	self := s.reply.GetSelf()
	return self.GetDomain() + "\x00" + self.GetId() + "\x00" + s.address
}
