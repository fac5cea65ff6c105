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

	// Without a notification, a stream is refreshed after refreshFraction of Max-Age,
	// less a random part of up to refreshJitter so that streams do not refresh in
	// lockstep. The remaining time allows for retransmissions.
	refreshFraction = 0.75
	refreshJitter   = 0.15
	// notificationQueueSize limits the notifications that wait for the callback.
	// Further ones are not acknowledged, so the service retransmits them.
	notificationQueueSize = 64
	// reorderWindow is the time after which any Observe sequence number counts as
	// newer (RFC 7641, 3.4).
	reorderWindow = 128 * time.Second
)

// Notification is one state of an observed resource. Notifications are delivered in
// the order of their Observe sequence numbers; out-of-order ones are dropped.
type Notification struct {
	Response
	Sequence uint32
	Received time.Time
}

// StreamStats holds the counters of a stream.
type StreamStats struct {
	Notifications        uint64 // notifications passed to the callback
	Stale                uint64 // notifications dropped because a newer one had arrived
	Refreshes            uint64 // successful refreshes of the registration
	RegistrationFailures uint64 // failures after which the stream registers again
}

// Stream is an observed resource. It stays registered until its context ends, Close
// is called, the client is closed, or the service answers with an error that is not a
// refusal.
type Stream struct {
	client  *Client
	request message.Message
	fn      func(Notification)
	cancel  context.CancelFunc
	queue   chan message.Message
	done    chan struct{}

	// The fields below are used only by the goroutine that executes run.
	token    token
	last     uint32
	received time.Time
	maxAge   time.Duration

	mu    sync.Mutex // guards stats and err
	stats StreamStats
	err   error
}

// Observe registers for a resource and calls fn with each of its states, one at a
// time. It refreshes the registration if no notification arrives before Max-Age
// expires, and registers again if the service does not answer.
func (c *Client) Observe(ctx context.Context, path string, fn func(Notification)) (*Stream, error) {
	m, err := newMessage(Request{Method: "GET", Path: path})
	if err != nil {
		return nil, err
	}
	setUintOption(&m, message.Observe, observeRegister)
	s := &Stream{
		client:  c,
		request: m,
		fn:      fn,
		queue:   make(chan message.Message, notificationQueueSize),
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

// Done returns a channel that is closed when the stream has ended.
func (s *Stream) Done() <-chan struct{} { return s.done }

// Err returns the error that ended the stream. It returns nil while the stream is
// active, after Close and if the context ended.
func (s *Stream) Err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err
}

func (s *Stream) Stats() StreamStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// Close ends the stream and cancels its registration. The stream has ended even if
// the cancellation returns an error. The callback must not call Close.
func (s *Stream) Close(ctx context.Context) error {
	s.cancel()
	<-s.done
	m := s.request
	m.Options = withOption(m.Options, message.Observe, nil)
	setUintOption(&m, message.Observe, observeCancel)
	_, err := s.client.roundTrip(ctx, m, &s.token)
	return err
}

// register performs the first registration with a new token, which the stream keeps.
func (s *Stream) register(ctx context.Context) (message.Message, error) {
	m := s.request
	for range 2 {
		s.client.removeStream(s) // left over from an earlier attempt
		s.client.addStream(s)
		response, err := s.client.roundTrip(ctx, m, &s.token)
		if err != nil {
			return response, err
		}
		if echo, echoErr := response.Options.GetBytes(message.Echo); Code(response.Code) == Unauthorized && echoErr == nil {
			m.Options = withOption(s.request.Options, message.Echo, echo)
			continue
		}
		return response, s.checkRegistration(response)
	}
	return message.Message{}, result.Errorf(result.PermitRequired, "the service did not accept the permit")
}

// checkRegistration returns an error if the response does not confirm that the stream
// is registered.
func (s *Stream) checkRegistration(response message.Message) error {
	if err := diagnosticError(response); err != nil {
		return err
	}
	if !Code(response.Code).IsSuccess() {
		return result.Errorf(result.BackendFailed, "observe: %s %.64q", Code(response.Code), response.Payload)
	}
	if !response.Options.HasOption(message.Observe) {
		// A server may respond without adding the caller to its observers (RFC 7641,
		// 4.1); a later attempt can succeed.
		return result.Errorf(result.ConnectionsInUse, "the service responded without registering the stream")
	}
	return nil
}

// enqueue queues a notification for the callback. It returns false if the queue is full.
func (s *Stream) enqueue(m message.Message) bool {
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

// run delivers notifications and keeps the stream registered until it ends.
func (s *Stream) run(ctx context.Context, first message.Message) {
	defer close(s.done)
	defer s.client.removeStream(s)
	defer s.cancel()
	err := s.receive(ctx, first)
	timer := time.NewTimer(s.refreshDelay())
	defer timer.Stop()
	for err == nil {
		select {
		case m := <-s.queue:
			err = s.scheduleRegistration(timer, s.receive(ctx, m))
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

// refresh renews the registration with the existing token of the stream.
func (s *Stream) refresh(ctx context.Context, timer *time.Timer) error {
	response, err := s.client.roundTrip(ctx, s.request, &s.token)
	if err == nil {
		if err = s.receive(ctx, response); err == nil {
			s.updateStats(func(st *StreamStats) { st.Refreshes++ })
		}
	}
	return s.scheduleRegistration(timer, err)
}

// scheduleRegistration sets the timer for the next registration, depending on the
// result of the last operation. After a refusal or a missing response the stream
// registers again; any other error ends the stream and is returned.
func (s *Stream) scheduleRegistration(timer *time.Timer, err error) error {
	if err == nil {
		timer.Reset(s.refreshDelay())
		return nil
	}
	code := result.CodeOf(err)
	if errors.Is(err, ErrClosed) || code == result.BackendFailed || !code.NotExecuted() && !code.OutcomeUnknown() {
		return err
	}
	s.updateStats(func(st *StreamStats) { st.RegistrationFailures++ })
	timer.Reset(s.registrationDelay(err))
	return nil
}

// registrationDelay returns the delay before the next registration after a failure.
func (s *Stream) registrationDelay(err error) time.Duration {
	interval := s.client.cfg.MinRegisterInterval
	wait := interval
	var hint *RetryAfter
	if errors.As(err, &hint) {
		wait = max(wait, hint.After)
	}
	return wait + time.Duration(mathrand.Float64()*float64(interval))
}

// receive delivers a state that is newer than the last one. If the state spans several
// blocks, the notification carries only the first and receive fetches the others.
func (s *Stream) receive(ctx context.Context, m message.Message) error {
	if err := s.checkRegistration(m); err != nil {
		return err
	}
	now := time.Now()
	sequence, err := m.Options.Observe()
	if err != nil {
		return result.Errorf(result.MalformedDatagram, "Observe option: %w", err)
	}
	if !s.received.IsZero() && !fresh(s.last, sequence, now.Sub(s.received)) {
		s.updateStats(func(st *StreamStats) { st.Stale++ })
		return nil
	}
	get := s.request
	get.Options = withOption(get.Options, message.Observe, nil).Remove(message.Observe)
	r, err := s.client.completeBody(ctx, get, m)
	if err != nil {
		return err
	}
	s.last, s.received, s.maxAge = sequence, now, r.MaxAge
	s.updateStats(func(st *StreamStats) { st.Notifications++ })
	s.fn(Notification{Response: *r, Sequence: sequence, Received: now})
	return nil
}

func (s *Stream) refreshDelay() time.Duration {
	fraction := refreshFraction - mathrand.Float64()*refreshJitter
	return max(time.Duration(float64(s.maxAge)*fraction), s.client.cfg.MinRegisterInterval/4)
}

func (s *Stream) updateStats(f func(*StreamStats)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.stats)
}

// fresh implements the reordering check of RFC 7641, 3.4.
func fresh(last, next uint32, elapsed time.Duration) bool {
	const halfRange = 1 << 23
	return (last < next && next-last < halfRange) || (last > next && last-next > halfRange) || elapsed > reorderWindow
}
