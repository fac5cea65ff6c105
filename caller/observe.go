package caller

import (
	"context"
	"errors"
	mathrand "math/rand/v2"
	"sync"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"

	"github.com/monsoonthread/monsoonthread/result"
)

const (
	observeRegister = 0
	observeCancel   = 1

	// A stream without a notification is refreshed after this share of Max-Age, which
	// is spread so that streams do not stay in step. The rest is left for
	// retransmissions.
	refreshShare  = 0.75
	refreshSpread = 0.15
	// notificationQueue bounds the notifications that wait for the callback. Those
	// beyond it are not acknowledged, so the service repeats them.
	notificationQueue = 64
	// reorderWindow is the time after which any Observe number is fresh (RFC 7641,
	// 3.4).
	reorderWindow = 128 * time.Second
)

// Notification is one state of an observed resource. Notifications are passed on in
// the order of their Observe numbers; a late one is dropped.
type Notification struct {
	Response
	Sequence uint32
	Received time.Time
}

// StreamStats counts what happened to a stream.
type StreamStats struct {
	Notifications uint64 // passed to the callback
	Stale         uint64 // dropped because a later one had arrived
	Refreshes     uint64 // registrations renewed before Max-Age
	Silences      uint64 // refreshes that were not answered or were refused
}

// Stream is an observed resource. It stays registered until its context ends, Close
// is called, or the service answers with an error that is not a refusal.
type Stream struct {
	client  *Client
	request message.Message
	fn      func(Notification)
	cancel  context.CancelFunc
	queue   chan message.Message
	done    chan struct{}

	// Used only by the goroutine of run.
	token    token
	last     uint32
	received time.Time
	maxAge   time.Duration

	mu    sync.Mutex // guards stats and err
	stats StreamStats
	err   error
}

// Observe registers for a resource and calls fn with its states, one at a time. The
// registration is refreshed before Max-Age passes without a notification, and made
// anew when the service does not answer.
func (c *Client) Observe(ctx context.Context, path string, fn func(Notification)) (*Stream, error) {
	m, err := newMessage(Request{Method: "GET", Path: path})
	if err != nil {
		return nil, err
	}
	setUint(&m, message.Observe, observeRegister)
	s := &Stream{
		client:  c,
		request: m,
		fn:      fn,
		queue:   make(chan message.Message, notificationQueue),
		done:    make(chan struct{}),
	}
	first, err := c.retry(ctx, func() (message.Message, error) { return s.register(ctx) })
	if err != nil {
		c.removeStream(s)
		return nil, err
	}
	ctx, s.cancel = context.WithCancel(ctx)
	go s.run(ctx, first)
	return s, nil
}

// Done is closed when the stream has ended.
func (s *Stream) Done() <-chan struct{} { return s.done }

// Err returns why the stream ended, or nil while it has not or after Close.
func (s *Stream) Err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err
}

// Stats returns the counters of the stream.
func (s *Stream) Stats() StreamStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// Close cancels the registration. It returns the error of the cancellation; the
// stream has ended in any case. The callback must not call it.
func (s *Stream) Close(ctx context.Context) error {
	s.cancel()
	<-s.done
	m := s.request
	m.Options = withOption(m.Options, message.Observe, nil)
	setUint(&m, message.Observe, observeCancel)
	_, err := s.client.exchange(ctx, m, &s.token)
	return err
}

// register performs the first registration. Its token becomes that of the stream.
func (s *Stream) register(ctx context.Context) (message.Message, error) {
	m := s.request
	for range 2 {
		s.client.removeStream(s) // of an earlier attempt
		s.client.addStream(s)
		answer, err := s.client.exchange(ctx, m, &s.token)
		if err != nil {
			return answer, err
		}
		if echo, missing := answer.Options.GetBytes(message.Echo); Code(answer.Code) == Unauthorized && missing == nil {
			m.Options = withOption(s.request.Options, message.Echo, echo)
			continue
		}
		return answer, s.check(answer)
	}
	return message.Message{}, result.Errorf(result.PermitRequired, "the permit was not accepted")
}

// check returns an error for an answer that does not keep the stream registered.
func (s *Stream) check(answer message.Message) error {
	if err := refusal(answer); err != nil {
		return err
	}
	if !Code(answer.Code).Success() {
		return result.Errorf(result.BackendFailed, "observe: %s %.64q", Code(answer.Code), answer.Payload)
	}
	if !answer.Options.HasOption(message.Observe) {
		// A server may answer without adding the caller to the observers (RFC 7641,
		// 4.1); a later attempt can succeed.
		return result.Errorf(result.ConnectionsInUse, "the service answered without registering the stream")
	}
	return nil
}

// offer queues a notification; it reports false when the queue is full.
func (s *Stream) offer(m message.Message) bool {
	select {
	case s.queue <- m:
		return true
	default:
		return false
	}
}

func (c *Client) addStream(s *Stream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s.token = c.newToken()
	c.streams[s.token] = s
}

func (c *Client) removeStream(s *Stream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.streams[s.token] == s {
		delete(c.streams, s.token)
	}
}

// run passes on notifications and keeps the stream registered.
func (s *Stream) run(ctx context.Context, first message.Message) {
	defer close(s.done)
	defer s.client.removeStream(s)
	defer s.cancel()
	err := s.receive(ctx, first)
	timer := time.NewTimer(s.refreshAfter())
	defer timer.Stop()
	for err == nil {
		select {
		case m := <-s.queue:
			err = s.next(timer, s.receive(ctx, m))
		case <-timer.C:
			err = s.refresh(ctx, timer)
		case <-ctx.Done():
			return
		case <-s.client.done:
			err = ErrClosed
		}
	}
	if ctx.Err() == nil {
		s.mu.Lock()
		s.err = err
		s.mu.Unlock()
	}
}

// refresh renews the registration with the token of the stream.
func (s *Stream) refresh(ctx context.Context, timer *time.Timer) error {
	answer, err := s.client.exchange(ctx, s.request, &s.token)
	if err == nil {
		if err = s.receive(ctx, answer); err == nil {
			s.count(func(st *StreamStats) { st.Refreshes++ })
		}
	}
	return s.next(timer, err)
}

// next sets the timer for the next registration. After a refusal or a silence the
// stream registers again; any other error ends it and is returned.
func (s *Stream) next(timer *time.Timer, err error) error {
	if err == nil {
		timer.Reset(s.refreshAfter())
		return nil
	}
	code := result.CodeOf(err)
	if errors.Is(err, ErrClosed) || code == result.BackendFailed || !code.NotExecuted() && !code.OutcomeUnknown() {
		return err
	}
	s.count(func(st *StreamStats) { st.Silences++ })
	timer.Reset(s.registerWait(err))
	return nil
}

// registerWait returns the time until the next attempt after a failed one.
func (s *Stream) registerWait(err error) time.Duration {
	pause := s.client.cfg.RegisterPause
	wait := pause
	var hint *RetryAfter
	if errors.As(err, &hint) {
		wait = max(wait, hint.After)
	}
	return wait + time.Duration(mathrand.Float64()*float64(pause))
}

// receive passes on a state that is later than the last one. Of a state in blocks,
// the notification carries the first; the others are fetched.
func (s *Stream) receive(ctx context.Context, m message.Message) error {
	if err := s.check(m); err != nil {
		return err
	}
	now := time.Now()
	sequence, err := m.Options.Observe()
	if err != nil {
		return result.Errorf(result.MalformedDatagram, "Observe option: %w", err)
	}
	if !s.received.IsZero() && !fresh(s.last, sequence, now.Sub(s.received)) {
		s.count(func(st *StreamStats) { st.Stale++ })
		return nil
	}
	get := s.request
	get.Options = withOption(get.Options, message.Observe, nil).Remove(message.Observe)
	r, err := s.client.blocks(ctx, get, m)
	if err != nil {
		return err
	}
	s.last, s.received, s.maxAge = sequence, now, r.MaxAge
	s.count(func(st *StreamStats) { st.Notifications++ })
	s.fn(Notification{Response: *r, Sequence: sequence, Received: now})
	return nil
}

func (s *Stream) refreshAfter() time.Duration {
	share := refreshShare - mathrand.Float64()*refreshSpread
	return max(time.Duration(float64(s.maxAge)*share), s.client.cfg.RegisterPause/4)
}

func (s *Stream) count(f func(*StreamStats)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.stats)
}

// fresh implements the reordering check of RFC 7641, 3.4.
func fresh(last, next uint32, elapsed time.Duration) bool {
	const half = 1 << 23
	return (last < next && next-last < half) || (last > next && last-next > half) || elapsed > reorderWindow
}
