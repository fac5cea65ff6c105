// Package peer carries the protocol between entry instances: one gRPC stream for
// each ordered pair of instances, dialled when first needed, and the read-only
// services for peers and operators. Messages are defined in peerpb.
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
	// linkQueue bounds the envelopes waiting for one link. At 1,000 relayed packets
	// a second it holds two seconds of traffic.
	linkQueue = 2048
	// idleClose closes a link that sent nothing for this long, so that the number of
	// connections follows the peers that an instance talks to.
	idleClose = 2 * time.Minute
	// redialDelay is the pause after a failed dial or a broken link.
	redialDelay = 200 * time.Millisecond
	// dialTimeout bounds one attempt to open a link.
	dialTimeout = 2 * time.Second
	// maxMessageBytes bounds a received message; a batch of flow copies is the largest.
	maxMessageBytes = 1 << 20
)

// Address names a peer and where it listens.
type Address struct {
	ID     string
	Domain string
	Target string // ip:port
}

// Handler receives what arrives from and happens to links. Its methods are called
// from the link's goroutine and must not block.
type Handler interface {
	// Received delivers one envelope of the instance from.
	Received(from string, env *peerpb.Envelope)
	// Unsent reports an envelope that was certainly not sent.
	Unsent(to string, env *peerpb.Envelope)
	// LinkLost reports that envelopes sent to the peer and not answered may be lost.
	LinkLost(to string)
}

// Clock supplies and observes hybrid logical clock values.
type Clock interface {
	Now() uint64
	Observe(remote uint64)
}

// Transport holds the links of one instance. It is safe for concurrent use.
type Transport struct {
	hello   *peerpb.Hello
	clock   Clock
	handler Handler
	creds   credentials.TransportCredentials
	// cut reports whether traffic with a failure domain is dropped; it is set by
	// fault injection only.
	cut   atomic.Pointer[func(domain string) bool]
	bytes *Counters

	mu      sync.Mutex
	links   map[string]*link
	closed  bool
	closing chan struct{}
	wg      sync.WaitGroup
}

// NewTransport returns a transport without links.
func NewTransport(hello *peerpb.Hello, clock Clock, h Handler, creds credentials.TransportCredentials) *Transport {
	return &Transport{hello: hello, clock: clock, handler: h, creds: creds, bytes: newCounters(),
		links: map[string]*link{}, closing: make(chan struct{})}
}

// SetCut installs the fault injection that drops traffic with failure domains.
func (t *Transport) SetCut(cut func(domain string) bool) { t.cut.Store(&cut) }

func (t *Transport) isCut(domain string) bool {
	cut := t.cut.Load()
	return cut != nil && (*cut)(domain)
}

// Send queues an envelope for a peer. An error means that it was certainly not sent.
func (t *Transport) Send(to Address, env *peerpb.Envelope) error {
	if t.isCut(to.Domain) {
		return nil // lost on the way, as in a partition
	}
	l, err := t.link(to)
	if err != nil {
		return err
	}
	select {
	case l.queue <- env:
		return nil
	default:
		return result.Errorf(result.PeerUnreachable, "queue of %d envelopes to %s is full", linkQueue, to.ID)
	}
}

// Forget closes the link to a peer that left the membership.
func (t *Transport) Forget(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.links[id]; l != nil {
		delete(t.links, id)
		l.cancel()
	}
}

// Close ends all links.
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

// Credentials returns the credentials with which links are dialled.
func (t *Transport) Credentials() credentials.TransportCredentials { return t.creds }

// Counters returns the byte counters by kind of envelope.
func (t *Transport) Counters() *Counters { return t.bytes }

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
	l = &link{transport: t, to: to, queue: make(chan *peerpb.Envelope, linkQueue), ctx: ctx, cancel: cancel}
	t.links[to.ID] = l
	t.wg.Add(1)
	go l.run()
	return l, nil
}

// remove deletes a link that ends by itself, unless it was replaced.
func (t *Transport) remove(l *link) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.links[l.to.ID] == l {
		delete(t.links, l.to.ID)
	}
}

// link is the sending side towards one peer.
type link struct {
	transport *Transport
	to        Address
	queue     chan *peerpb.Envelope
	ctx       context.Context
	cancel    context.CancelFunc
}

func (l *link) run() {
	defer l.transport.wg.Done()
	defer l.drain()
	defer l.transport.remove(l)
	for l.ctx.Err() == nil {
		idle, err := l.session()
		if idle {
			return
		}
		if err != nil {
			l.drainQueued()
		}
		select {
		case <-l.ctx.Done():
		case <-time.After(redialDelay):
		}
	}
}

// session dials the peer and sends queued envelopes until the link breaks.
func (l *link) session() (idle bool, err error) {
	conn, err := grpc.NewClient(l.to.Target, grpc.WithTransportCredentials(l.transport.creds),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: backoff.DefaultConfig, MinConnectTimeout: dialTimeout}))
	if err != nil {
		return false, fmt.Errorf("dial %s: %w", l.to.Target, err)
	}
	defer conn.Close()
	ctx, cancel := context.WithCancel(l.ctx)
	defer cancel()
	open := time.AfterFunc(dialTimeout, cancel)
	stream, err := peerpb.NewPeerClient(conn).Link(ctx)
	if err != nil || !open.Stop() {
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
	timer := time.NewTimer(idleClose)
	defer timer.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return false, l.ctx.Err()
		case <-broken:
			l.lost()
			return false, io.ErrUnexpectedEOF
		case env := <-l.queue:
			if err := l.send(stream, env); err != nil {
				l.lost()
				return false, err
			}
			timer.Reset(idleClose)
		case <-timer.C:
			return true, nil
		}
	}
}

func (l *link) send(stream grpc.ClientStreamingClient[peerpb.Envelope, peerpb.LinkReply], env *peerpb.Envelope) error {
	env.Hlc = l.transport.clock.Now()
	l.transport.bytes.add(env, true)
	return stream.Send(env)
}

// drainQueued reports the envelopes that wait for a link that cannot be opened.
func (l *link) drainQueued() {
	for {
		select {
		case env := <-l.queue:
			l.transport.handler.Unsent(l.to.ID, env)
		default:
			return
		}
	}
}

// lost reports a broken link. The envelopes that still wait are reported as unsent
// first: what was certainly not sent must not count as possibly lost.
func (l *link) lost() {
	l.drainQueued()
	l.transport.handler.LinkLost(l.to.ID)
}

func (l *link) drain() {
	l.cancel()
	l.lost()
}

// Receive serves one incoming link; it is the body of the Link method.
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
		if t.isCut(hello.Domain) {
			continue
		}
		t.clock.Observe(env.Hlc)
		t.bytes.add(env, false)
		t.handler.Received(hello.Instance, env)
	}
}

// ServerOptions returns the options that peers expect of a gRPC server.
func ServerOptions(creds credentials.TransportCredentials) []grpc.ServerOption {
	return []grpc.ServerOption{grpc.Creds(creds), grpc.MaxRecvMsgSize(maxMessageBytes)}
}

// Counters counts payload bytes by kind of envelope and direction.
type Counters struct {
	mu    sync.Mutex
	kinds map[string]*KindCounter
}

// KindCounter holds the totals of one kind of envelope.
type KindCounter struct {
	SentBytes, SentCount, ReceivedBytes, ReceivedCount atomic.Uint64
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
		k.SentCount.Add(1)
		return
	}
	k.ReceivedBytes.Add(size)
	k.ReceivedCount.Add(1)
}

// DataKinds are the kinds of envelope that grow with requests; all others are
// control traffic.
var DataKinds = map[string]bool{"packet": true, "dispatch": true, "dispatch_result": true, "cancel": true}

// Kinds are the names of all kinds of envelope.
var Kinds = []string{"hello", "packet", "dispatch", "dispatch_result", "membership", "summary",
	"flow_copies", "handover_request", "handover_reply", "handover_done", "cancel", "server_notice"}

// KindOf names the kind of an envelope.
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
