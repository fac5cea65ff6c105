// Package caller is the client library for callers that use a service over CoAP and
// UDP. It retransmits requests (RFC 7252), repeats a request with a permit when the
// service requires one (RFC 9175), keeps observe streams registered (RFC 7641) and
// fetches large responses in blocks (RFC 7959).
package caller

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	mathrand "math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"

	"github.com/monsoonthread/monsoonthread/result"
)

// Defaults of Config. The first three are those of RFC 7252, 4.8.
const (
	DefaultAckTimeout      = 2 * time.Second
	DefaultAckRandomFactor = 1.5
	DefaultMaxRetransmit   = 4
	// DefaultResponseTimeout limits the wait for a separate response.
	DefaultResponseTimeout = 60 * time.Second
	// DefaultAckedRetransmitInterval is the interval at which an acknowledged but
	// unanswered request is sent again, because the instance that acknowledged it may
	// have failed.
	DefaultAckedRetransmitInterval = 4 * time.Second
	// DefaultMinRegisterInterval is the minimum time before a failed registration of
	// a stream is attempted again.
	DefaultMinRegisterInterval = time.Second
	// DefaultRetryBudget is the number of retries allowed per request, on average.
	DefaultRetryBudget  = 0.1
	DefaultMaxBodyBytes = 64 << 20

	// maxRetryTokens limits the retries that an unused budget accumulates.
	maxRetryTokens = 10
	// retryJitter is the largest random extension of a wait, as a fraction of it.
	retryJitter = 0.25
	// tokenBytes gives 32 random bits, the minimum of RFC 7252, 5.3.1.
	tokenBytes = 4
	// duplicateFilterSize is the number of received messages remembered to detect
	// duplicates.
	duplicateFilterSize = 128
)

// Config holds the settings of a Client. Zero values select the defaults.
type Config struct {
	Local                   netip.AddrPort // source address; the zero value lets the system choose
	AckTimeout              time.Duration
	AckRandomFactor         float64
	MaxRetransmit           int
	ResponseTimeout         time.Duration
	AckedRetransmitInterval time.Duration
	MinRegisterInterval     time.Duration
	RetryBudget             float64 // a negative value disables retries
	MaxBodyBytes            int     // limit of a blockwise response
}

func (c Config) withDefaults() Config {
	setDefault(&c.AckTimeout, DefaultAckTimeout)
	setDefault(&c.MaxRetransmit, DefaultMaxRetransmit)
	setDefault(&c.ResponseTimeout, DefaultResponseTimeout)
	setDefault(&c.AckedRetransmitInterval, DefaultAckedRetransmitInterval)
	setDefault(&c.MinRegisterInterval, DefaultMinRegisterInterval)
	setDefault(&c.MaxBodyBytes, DefaultMaxBodyBytes)
	if c.AckRandomFactor < 1 {
		c.AckRandomFactor = DefaultAckRandomFactor
	}
	if c.RetryBudget == 0 {
		c.RetryBudget = DefaultRetryBudget
	}
	return c
}

func setDefault[T int | time.Duration](v *T, value T) {
	if *v <= 0 {
		*v = value
	}
}

type token [tokenBytes]byte

// exchange is a confirmable request that awaits its response.
type exchange struct {
	token    token
	mid      uint16
	acked    chan struct{} // closed by the first acknowledgement
	response chan message.Message
	reset    chan struct{}
}

// Client sends requests to one service from one source address, so all its traffic
// is a single flow. It is safe for concurrent use.
type Client struct {
	cfg  Config
	conn *net.UDPConn

	mu          sync.Mutex // guards everything below
	mids        messageIDs
	exchanges   map[token]*exchange
	byMID       map[uint16]*exchange
	streams     map[token]*Stream
	recent      duplicateFilter
	retryTokens float64

	done chan struct{} // closed when the receive loop has ended
}

// ErrClosed is returned, possibly wrapped, by requests and streams of a closed Client.
var ErrClosed = errors.New("client is closed")

// Dial opens a UDP socket for requests to the service.
func Dial(cfg Config, service netip.AddrPort) (*Client, error) {
	var local *net.UDPAddr
	if cfg.Local.IsValid() {
		local = net.UDPAddrFromAddrPort(cfg.Local)
	}
	service = netip.AddrPortFrom(service.Addr().Unmap(), service.Port())
	conn, err := net.DialUDP("udp", local, net.UDPAddrFromAddrPort(service))
	if err != nil {
		return nil, fmt.Errorf("dial service %s: %w", service, err)
	}
	c := newClient(cfg, conn)
	go c.receive()
	return c, nil
}

func newClient(cfg Config, conn *net.UDPConn) *Client {
	return &Client{
		cfg:         cfg.withDefaults(),
		conn:        conn,
		mids:        newMessageIDs(),
		exchanges:   make(map[token]*exchange),
		byMID:       make(map[uint16]*exchange),
		streams:     make(map[token]*Stream),
		retryTokens: 1,
		done:        make(chan struct{}),
	}
}

// LocalAddr returns the source address of the flow.
func (c *Client) LocalAddr() netip.AddrPort {
	return c.conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Close closes the socket. Requests in progress and streams end with ErrClosed.
func (c *Client) Close() error {
	err := c.conn.Close()
	<-c.done
	return err
}

// Do sends a request and returns the complete response. It presents a permit when the
// service requires one. If the service refuses a request without running it and states
// a retry time, Do retries after that time, within the retry budget. A refusal is
// returned as a *result.Error; a missing response has the code OutcomeUnknown.
func (c *Client) Do(ctx context.Context, r Request) (*Response, error) {
	m, err := newMessage(r)
	if err != nil {
		return nil, err
	}
	if r.Deadline > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, r.Deadline)
		defer cancel()
	}
	first, err := c.requestWithRetry(ctx, m)
	if err != nil {
		return nil, err
	}
	return c.completeBody(ctx, m, first)
}

// requestWithRetry performs a request and retries refusals that may be retried.
func (c *Client) requestWithRetry(ctx context.Context, m message.Message) (message.Message, error) {
	return c.retry(ctx, func() (message.Message, error) {
		response, err := c.requestWithPermit(ctx, m)
		if err == nil {
			err = diagnosticError(response)
		}
		return response, err
	})
}

// retry calls f until it succeeds, returns an error that must not be retried or the
// retry budget is exhausted. Waits are jittered, because many callers are refused at
// the same time.
func (c *Client) retry(ctx context.Context, f func() (message.Message, error)) (message.Message, error) {
	c.depositRetry()
	for {
		response, err := f()
		if err == nil {
			return response, nil
		}
		wait, ok := retryAfter(ctx, err)
		if !ok || !c.withdrawRetry() {
			return response, err
		}
		if !sleep(ctx, wait+time.Duration(mathrand.Float64()*float64(wait)*retryJitter)) {
			return response, err
		}
	}
}

// retryAfter returns the wait before a refused request is retried. A request may be
// retried only if it certainly did not run and the refusal states a retry time.
func retryAfter(ctx context.Context, err error) (time.Duration, bool) {
	var hint *RetryAfter
	if !result.CodeOf(err).NotExecuted() || !errors.As(err, &hint) {
		return 0, false
	}
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) <= hint.After {
		return 0, false
	}
	return hint.After, true
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (c *Client) depositRetry() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retryTokens = min(c.retryTokens+c.cfg.RetryBudget, maxRetryTokens)
}

func (c *Client) withdrawRetry() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.retryTokens < 1 {
		return false
	}
	c.retryTokens--
	return true
}

// roundTrip sends a confirmable message, with retransmissions, and returns its
// response. If fixed is nil, it uses a random token. All transmissions have the same
// bytes, so that a receiver recognises duplicates.
func (c *Client) roundTrip(ctx context.Context, m message.Message, fixed *token) (message.Message, error) {
	if deadline, ok := ctx.Deadline(); ok {
		remaining := max(time.Until(deadline).Milliseconds(), 1)
		m.Options = withOption(m.Options, OptionDeadline, nil)
		setUintOption(&m, OptionDeadline, uint32(min(remaining, 1<<32-1)))
	}
	e, err := c.openExchange(fixed)
	if err != nil {
		return message.Message{}, err
	}
	defer c.closeExchange(e)
	m.Token, m.MessageID = e.token[:], int32(e.mid)
	datagram, err := encode(m)
	if err != nil {
		return message.Message{}, err
	}
	return c.awaitResponse(ctx, e, datagram)
}

// awaitResponse transmits the datagram of an exchange as specified in RFC 7252, 4.2,
// and waits for the response. An acknowledged request is sent again at a fixed interval.
func (c *Client) awaitResponse(ctx context.Context, e *exchange, datagram []byte) (message.Message, error) {
	jitter := 1 + mathrand.Float64()*(c.cfg.AckRandomFactor-1)
	interval := time.Duration(float64(c.cfg.AckTimeout) * jitter)
	responseTimer := time.NewTimer(c.cfg.ResponseTimeout)
	defer responseTimer.Stop()
	retransmitTimer := time.NewTimer(interval)
	defer retransmitTimer.Stop()
	acked := e.acked
	c.send(datagram)
	for sent := 1; ; {
		select {
		case m := <-e.response:
			return m, nil
		case <-acked:
			acked = nil
			interval = c.cfg.AckedRetransmitInterval
			retransmitTimer.Reset(interval)
		case <-retransmitTimer.C:
			if acked != nil {
				if sent > c.cfg.MaxRetransmit {
					return message.Message{}, result.Errorf(result.OutcomeUnknown, "outcome unknown: no response to %d transmissions", sent)
				}
				interval *= 2
			}
			sent++
			c.send(datagram)
			retransmitTimer.Reset(interval)
		case <-e.reset:
			return message.Message{}, result.Errorf(result.OutcomeUnknown, "outcome unknown: the service reset the exchange")
		case <-responseTimer.C:
			return message.Message{}, result.Errorf(result.OutcomeUnknown, "outcome unknown: no response within %s", c.cfg.ResponseTimeout)
		case <-ctx.Done():
			return message.Message{}, result.Errorf(result.OutcomeUnknown, "outcome unknown: no response: %w", ctx.Err())
		case <-c.done:
			return message.Message{}, result.Errorf(result.OutcomeUnknown, "outcome unknown: no response: %w", ErrClosed)
		}
	}
}

func (c *Client) openExchange(fixed *token) (*exchange, error) {
	e := &exchange{
		acked:    make(chan struct{}),
		response: make(chan message.Message, 1),
		reset:    make(chan struct{}),
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	mid, ok := c.mids.next(time.Now())
	if !ok {
		return nil, result.Errorf(result.QueueFull, "all CoAP message IDs were used within the last %s", exchangeLifetime)
	}
	e.mid = mid
	if fixed != nil {
		e.token = *fixed
	} else {
		e.token = c.newToken()
	}
	c.exchanges[e.token] = e
	c.byMID[e.mid] = e
	return e, nil
}

// newToken returns a random token that is not in use. The caller must hold c.mu.
func (c *Client) newToken() token {
	for {
		var t token
		_, _ = rand.Read(t[:]) // crypto/rand.Read never returns an error
		if c.exchanges[t] == nil && c.streams[t] == nil {
			return t
		}
	}
}

func (c *Client) closeExchange(e *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.exchanges[e.token] == e {
		delete(c.exchanges, e.token)
	}
	if c.byMID[e.mid] == e {
		delete(c.byMID, e.mid)
	}
}

// send writes a datagram. It ignores write errors, because the protocol treats an
// unsent datagram like a lost one.
func (c *Client) send(b []byte) { _, _ = c.conn.Write(b) }
