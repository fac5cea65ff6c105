// Package peer implements the transport between entry instances: one gRPC stream for
// each ordered pair of instances, opened on first use. Messages and services are
// defined in peerpb.
package peer

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/protobuf/proto"

	"github.com/monsoonthread/monsoonthread/peer/peerpb"
	"github.com/monsoonthread/monsoonthread/result"
)

const (
	// linkQueueLen bounds the envelopes queued for one link. At 1,000 relayed packets a
	// second it holds two seconds of traffic.
	linkQueueLen = 2048
	// idleTimeout is the time after which a link that sent nothing is closed, so that
	// an instance keeps connections only to the peers it uses.
	idleTimeout = 2 * time.Minute
	// redialDelay is the delay after a failed dial or a broken link.
	redialDelay = 200 * time.Millisecond
	// dialTimeout bounds one attempt to open a link.
	dialTimeout = 2 * time.Second
	// maxMessageBytes bounds a received message; batches of flow copies are the
	// largest.
	maxMessageBytes = 1 << 20
)

// Address is the identity and network address of a peer.
type Address struct {
	ID     string
	Domain string
	Target string // ip:port
}

// Handler receives envelopes and link events. Its methods are called from the goroutine
// of a link and must not block.
type Handler interface {
	// Received handles an envelope sent by the instance from.
	Received(from string, env *peerpb.Envelope)
	// Unsent reports an envelope that was certainly not sent.
	Unsent(to string, env *peerpb.Envelope)
	// LinkLost reports a broken link. Envelopes that were sent to the peer and not
	// answered may be lost.
	LinkLost(to string)
}

// Clock is a hybrid logical clock.
type Clock interface {
	Now() uint64
	Observe(remote uint64)
}

// Transport manages the links of one instance. It is safe for concurrent use.
type Transport struct {
	hello   *peerpb.Hello
	clock   Clock
	handler Handler
	creds   credentials.TransportCredentials
	// partitioned reports whether traffic with a failure domain is dropped. It is set
	// by fault injection only.
	partitioned atomic.Pointer[func(domain string) bool]
	counters    *Counters

	mu      sync.Mutex
	links   map[string]*link
	closed  bool
	closing chan struct{}
	wg      sync.WaitGroup
}

// NewTransport returns a transport without links.
func NewTransport(hello *peerpb.Hello, clock Clock, h Handler, creds credentials.TransportCredentials) *Transport {
	return &Transport{hello: hello, clock: clock, handler: h, creds: creds, counters: newCounters(),
		links: map[string]*link{}, closing: make(chan struct{})}
}

// SetPartition installs a function that reports the failure domains whose traffic is
// dropped, for fault injection.
func (t *Transport) SetPartition(partitioned func(domain string) bool) {
	t.partitioned.Store(&partitioned)
}

func (t *Transport) isPartitioned(domain string) bool {
	partitioned := t.partitioned.Load()
	return partitioned != nil && (*partitioned)(domain)
}

// Send queues an envelope for a peer. An error means that it was certainly not sent.
func (t *Transport) Send(to Address, env *peerpb.Envelope) error {
	if t.isPartitioned(to.Domain) {
		return nil // dropped as by a network partition
	}
	l, err := t.link(to)
	if err != nil {
		return err
	}
	select {
	case l.queue <- env:
		return nil
	default:
		return result.Errorf(result.PeerUnreachable, "queue of %d envelopes to %s is full", linkQueueLen, to.ID)
	}
}

// Disconnect closes the link to a peer that left the membership.
func (t *Transport) Disconnect(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.links[id]; l != nil {
		delete(t.links, id)
		l.cancel()
	}
}

// Close closes all links and waits for their goroutines.
func (t *Transport) Close() {
	t.mu.Lock()
	if !t.closed {
		t.closed = true
		close(t.closing)
		for _, l := range t.links {
			l.cancel()
		}
	}
	t.mu.Unlock()
	t.wg.Wait()
}

// Credentials returns the credentials used to dial peers.
func (t *Transport) Credentials() credentials.TransportCredentials { return t.creds }

// Counters returns the traffic counters.
func (t *Transport) Counters() *Counters { return t.counters }

func (t *Transport) link(to Address) (*link, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return nil, result.Errorf(result.ShuttingDown, "transport is closed")
	}
	l := t.links[to.ID]
	if l != nil && l.to.Target == to.Target {
		return l, nil
	}
	if l != nil {
		l.cancel()
	}
	ctx, cancel := context.WithCancel(context.Background())
	l = &link{transport: t, to: to, queue: make(chan *peerpb.Envelope, linkQueueLen), ctx: ctx, cancel: cancel}
	t.links[to.ID] = l
	t.wg.Add(1)
	go l.run()
	return l, nil
}

// remove deletes a link that has ended, unless it was replaced.
func (t *Transport) remove(l *link) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.links[l.to.ID] == l {
		delete(t.links, l.to.ID)
	}
}

// link is the sending side of a connection to one peer.
type link struct {
	transport *Transport
	to        Address
	queue     chan *peerpb.Envelope
	ctx       context.Context
	cancel    context.CancelFunc
}

func (l *link) run() {
	defer l.transport.wg.Done()
	defer l.shutdown()
	defer l.transport.remove(l)
	for l.ctx.Err() == nil {
		idle, err := l.session()
		if idle {
			return
		}
		if err != nil {
			l.reportUnsent()
		}
		select {
		case <-l.ctx.Done():
		case <-time.After(redialDelay):
		}
	}
}

// session dials the peer and sends queued envelopes until the link breaks, is closed or
// has been idle for idleTimeout.
func (l *link) session() (idle bool, err error) {
	conn, err := grpc.NewClient(l.to.Target, grpc.WithTransportCredentials(l.transport.creds),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: backoff.DefaultConfig, MinConnectTimeout: dialTimeout}))
	if err != nil {
		return false, fmt.Errorf("dial %s: %w", l.to.Target, err)
	}
	defer conn.Close()
	ctx, cancel := context.WithCancel(l.ctx)
	defer cancel()
	openTimer := time.AfterFunc(dialTimeout, cancel)
	stream, err := peerpb.NewPeerClient(conn).Link(ctx)
	if err != nil || !openTimer.Stop() {
		return false, result.Errorf(result.PeerUnreachable, "open link to %s: %w", l.to.ID, err)
	}
	if err := l.send(stream, &peerpb.Envelope{Body: &peerpb.Envelope_Hello{Hello: l.transport.hello}}); err != nil {
		return false, err
	}
	broken := make(chan struct{})
	go func() {
		defer close(broken)
		var reply peerpb.LinkReply
		_ = stream.RecvMsg(&reply) // returns when the peer ends the link
	}()
	timer := time.NewTimer(idleTimeout)
	defer timer.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return false, l.ctx.Err()
		case <-broken:
			l.reportLost()
			return false, io.ErrUnexpectedEOF
		case env := <-l.queue:
			if err := l.send(stream, env); err != nil {
				l.reportLost()
				return false, err
			}
			timer.Reset(idleTimeout)
		case <-timer.C:
			return true, nil
		}
	}
}

func (l *link) send(stream grpc.ClientStreamingClient[peerpb.Envelope, peerpb.LinkReply], env *peerpb.Envelope) error {
	env.Hlc = l.transport.clock.Now()
	l.transport.counters.add(env, true)
	return stream.Send(env)
}

// reportUnsent reports all queued envelopes as unsent.
func (l *link) reportUnsent() {
	for {
		select {
		case env := <-l.queue:
			l.transport.handler.Unsent(l.to.ID, env)
		default:
			return
		}
	}
}

// reportLost reports a broken link. Queued envelopes are reported as unsent first,
// because envelopes that were certainly not sent must not count as possibly lost.
func (l *link) reportLost() {
	l.reportUnsent()
	l.transport.handler.LinkLost(l.to.ID)
}

func (l *link) shutdown() {
	l.cancel()
	l.reportLost()
}

// Receive implements the Link method for one incoming link.
func (t *Transport) Receive(stream grpc.ClientStreamingServer[peerpb.Envelope, peerpb.LinkReply]) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	hello := first.GetHello()
	if hello == nil || hello.Instance == "" {
		return result.Errorf(result.PeerProtocol, "the first envelope of a link is not a Hello")
	}
	for {
		env, err := stream.Recv()
		if err == io.EOF {
			return stream.SendAndClose(&peerpb.LinkReply{})
		}
		if err != nil {
			return err
		}
		if t.isPartitioned(hello.Domain) {
			continue
		}
		t.clock.Observe(env.Hlc)
		t.counters.add(env, false)
		t.handler.Received(hello.Instance, env)
	}
}

// ServerOptions returns the gRPC server options required by the transport.
func ServerOptions(creds credentials.TransportCredentials) []grpc.ServerOption {
	return []grpc.ServerOption{grpc.Creds(creds), grpc.MaxRecvMsgSize(maxMessageBytes)}
}

// Counters counts bytes and envelopes by kind and direction.
type Counters struct {
	mu    sync.Mutex
	kinds map[string]*KindCounter
}

// KindCounter holds the totals of one kind of envelope.
type KindCounter struct {
	SentBytes, SentMessages, ReceivedBytes, ReceivedMessages atomic.Uint64
}

func newCounters() *Counters { return &Counters{kinds: map[string]*KindCounter{}} }

// Kind returns the counter of a kind of envelope.
func (c *Counters) Kind(name string) *KindCounter {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.kinds[name]
	if k == nil {
		k = &KindCounter{}
		c.kinds[name] = k
	}
	return k
}

func (c *Counters) add(env *peerpb.Envelope, sent bool) {
	k := c.Kind(KindOf(env))
	size := uint64(proto.Size(env))
	if sent {
		k.SentBytes.Add(size)
		k.SentMessages.Add(1)
		return
	}
	k.ReceivedBytes.Add(size)
	k.ReceivedMessages.Add(1)
}

// DataKinds are the kinds of envelope whose volume grows with the request rate; all
// others are control traffic.
var DataKinds = map[string]bool{"packet": true, "dispatch": true, "dispatch_result": true, "cancel": true}

// Kinds are the names of all kinds of envelope.
var Kinds = []string{"hello", "packet", "dispatch", "dispatch_result", "membership", "summary",
	"flow_copies", "handover_request", "handover_reply", "handover_done", "cancel", "server_notice"}

// KindOf returns the kind of an envelope.
func KindOf(env *peerpb.Envelope) string {
	switch env.Body.(type) {
	case *peerpb.Envelope_Hello:
		return "hello"
	case *peerpb.Envelope_Packet:
		return "packet"
	case *peerpb.Envelope_Dispatch:
		return "dispatch"
	case *peerpb.Envelope_DispatchResult:
		return "dispatch_result"
	case *peerpb.Envelope_Membership:
		return "membership"
	case *peerpb.Envelope_Summary:
		return "summary"
	case *peerpb.Envelope_FlowCopies:
		return "flow_copies"
	case *peerpb.Envelope_HandoverRequest:
		return "handover_request"
	case *peerpb.Envelope_HandoverReply:
		return "handover_reply"
	case *peerpb.Envelope_HandoverDone:
		return "handover_done"
	case *peerpb.Envelope_Cancel:
		return "cancel"
	case *peerpb.Envelope_ServerNotice:
		return "server_notice"
	}
	return "unknown"
}
