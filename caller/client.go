// Package caller is the library with which callers use a service over CoAP and UDP.
// It retransmits requests (RFC 7252), repeats a request with the permit that it is
// asked to present (RFC 9175), keeps streams registered (RFC 7641) and fetches large
// answers in blocks (RFC 7959).
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
	// DefaultResponseTimeout bounds the wait for a separate response.
	DefaultResponseTimeout = 60 * time.Second
	// DefaultAckedRetransmit repeats a request that was acknowledged but not
	// answered, because the instance that acknowledged it may have failed.
	DefaultAckedRetransmit = 4 * time.Second
	// DefaultRegisterPause is the shortest time between two attempts to renew a
	// stream.
	DefaultRegisterPause = time.Second
	// DefaultRetryBudget is the share of first tries that may be tried again.
	DefaultRetryBudget = 0.1
	DefaultMaxBody     = 64 << 20

	// retryBurst is the number of retries that an unused budget accumulates.
	retryBurst = 10
	// retrySpread is the share of a wait by which it is extended at random.
	retrySpread = 0.25
	// tokenBytes leaves 32 random bits, the minimum of RFC 7252, 5.3.1.
	tokenBytes = 4
	// recentMessages is the number of received messages that are kept to detect
	// duplicates.
	recentMessages = 128
)

// Config holds the settings of a Client. Zero values select the defaults.
type Config struct {
	Local           netip.AddrPort // source address; zero: chosen by the system
	AckTimeout      time.Duration
	AckRandomFactor float64
	MaxRetransmit   int
	ResponseTimeout time.Duration
	AckedRetransmit time.Duration
	RegisterPause   time.Duration
	RetryBudget     float64 // negative: no retries
	MaxBody         int     // limit of an answer in blocks, in bytes
}

func (c Config) withDefaults() Config {
	setDefault(&c.AckTimeout, DefaultAckTimeout)
	setDefault(&c.MaxRetransmit, DefaultMaxRetransmit)
	setDefault(&c.ResponseTimeout, DefaultResponseTimeout)
	setDefault(&c.AckedRetransmit, DefaultAckedRetransmit)
	setDefault(&c.RegisterPause, DefaultRegisterPause)
	setDefault(&c.MaxBody, DefaultMaxBody)
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

// exchange is one confirmable request that waits for its response.
type exchange struct {
	token    token
	mid      uint16
	acked    chan struct{} // closed by the first acknowledgement
	response chan message.Message
	reset    chan struct{}
}

// Client sends requests to one service from one source address, which makes it one
// flow. It is safe for concurrent use.
type Client struct {
	cfg  Config
	conn *net.UDPConn

	mu        sync.Mutex // guards everything below
	mids      messageIDs
	exchanges map[token]*exchange
	byMID     map[uint16]*exchange
	streams   map[token]*Stream
	recent    duplicates
	budget    float64

	done chan struct{} // closed when the receiver has ended
}

// ErrClosed is the cause of the errors of a closed Client.
var ErrClosed = errors.New("client is closed")

// Dial opens a socket for requests to the service.
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
		cfg:       cfg.withDefaults(),
		conn:      conn,
		mids:      newMessageIDs(),
		exchanges: make(map[token]*exchange),
		byMID:     make(map[uint16]*exchange),
		streams:   make(map[token]*Stream),
		budget:    1,
		done:      make(chan struct{}),
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

// Do sends a request and returns the complete answer. It presents a permit when the
// service asks for one, and repeats a request that was refused as not run after the
// time that the refusal names, within the retry budget. A refusal is returned as a
// *result.Error; an answer that did not arrive has the code OutcomeUnknown.
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
	first, err := c.try(ctx, m)
	if err != nil {
		return nil, err
	}
	return c.blocks(ctx, m, first)
}

// try performs a request until it is answered or must not be repeated.
func (c *Client) try(ctx context.Context, m message.Message) (message.Message, error) {
	return c.retry(ctx, func() (message.Message, error) {
		answer, err := c.permitted(ctx, m)
		if err == nil {
			err = refusal(answer)
		}
		return answer, err
	})
}

// retry calls f until it succeeds, its error must not be retried or the budget is
// spent. The waits are spread, because many callers are refused at the same time.
func (c *Client) retry(ctx context.Context, f func() (message.Message, error)) (message.Message, error) {
	c.earnRetry()
	for {
		answer, err := f()
		if err == nil {
			return answer, nil
		}
		after, ok := retryAfter(ctx, err)
		if !ok || !c.spendRetry() {
			return answer, err
		}
		if !sleep(ctx, after+time.Duration(mathrand.Float64()*float64(after)*retrySpread)) {
			return answer, err
		}
	}
}

// retryAfter returns the wait before a repeat of a refused request. Only a refusal
// that is certain not to have run and names a time may be repeated.
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

func (c *Client) earnRetry() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.budget = min(c.budget+c.cfg.RetryBudget, retryBurst)
}

func (c *Client) spendRetry() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.budget < 1 {
		return false
	}
	c.budget--
	return true
}

// exchange sends a confirmable message until it is answered. A nil token is chosen
// at random. Every transmission has the same bytes, so that a receiver recognises
// the duplicates.
func (c *Client) exchange(ctx context.Context, m message.Message, use *token) (message.Message, error) {
	if deadline, ok := ctx.Deadline(); ok {
		left := max(time.Until(deadline).Milliseconds(), 1)
		m.Options = withOption(m.Options, OptionDeadline, nil)
		setUint(&m, OptionDeadline, uint32(min(left, 1<<32-1)))
	}
	e, err := c.open(use)
	if err != nil {
		return message.Message{}, err
	}
	defer c.forget(e)
	m.Token, m.MessageID = e.token[:], int32(e.mid)
	datagram, err := encode(m)
	if err != nil {
		return message.Message{}, err
	}
	return c.await(ctx, e, datagram)
}

// await transmits the datagram of an exchange by the rules of RFC 7252, 4.2, and
// waits for the response.
func (c *Client) await(ctx context.Context, e *exchange, datagram []byte) (message.Message, error) {
	spread := 1 + mathrand.Float64()*(c.cfg.AckRandomFactor-1)
	interval := time.Duration(float64(c.cfg.AckTimeout) * spread)
	limit := time.NewTimer(c.cfg.ResponseTimeout)
	defer limit.Stop()
	timer := time.NewTimer(interval)
	defer timer.Stop()
	acked := e.acked
	c.send(datagram)
	for sent := 1; ; {
		select {
		case m := <-e.response:
			return m, nil
		case <-acked:
			acked = nil
			interval = c.cfg.AckedRetransmit
			timer.Reset(interval)
		case <-timer.C:
			if acked != nil {
				if sent > c.cfg.MaxRetransmit {
					return message.Message{}, result.Errorf(result.OutcomeUnknown, "outcome unknown: no answer to %d transmissions", sent)
				}
				interval *= 2
			}
			sent++
			c.send(datagram)
			timer.Reset(interval)
		case <-e.reset:
			return message.Message{}, result.Errorf(result.OutcomeUnknown, "outcome unknown: the service rejected the message")
		case <-limit.C:
			return message.Message{}, result.Errorf(result.OutcomeUnknown, "outcome unknown: no answer within %s", c.cfg.ResponseTimeout)
		case <-ctx.Done():
			return message.Message{}, result.Errorf(result.OutcomeUnknown, "outcome unknown: no answer: %w", ctx.Err())
		case <-c.done:
			return message.Message{}, result.Errorf(result.OutcomeUnknown, "outcome unknown: no answer: %w", ErrClosed)
		}
	}
}

func (c *Client) open(use *token) (*exchange, error) {
	e := &exchange{
		acked:    make(chan struct{}),
		response: make(chan message.Message, 1),
		reset:    make(chan struct{}),
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	mid, ok := c.mids.next(time.Now())
	if !ok {
		return nil, result.Errorf(result.QueueFull, "all message IDs were used within %s", exchangeLifetime)
	}
	e.mid = mid
	if use != nil {
		e.token = *use
	} else {
		e.token = c.newToken()
	}
	c.exchanges[e.token] = e
	c.byMID[e.mid] = e
	return e, nil
}

// newToken returns a random token that is not in use; c.mu is held.
func (c *Client) newToken() token {
	for {
		var t token
		_, _ = rand.Read(t[:]) // never fails (crypto/rand)
		if c.exchanges[t] == nil && c.streams[t] == nil {
			return t
		}
	}
}

func (c *Client) forget(e *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.exchanges[e.token] == e {
		delete(c.exchanges, e.token)
	}
	if c.byMID[e.mid] == e {
		delete(c.byMID, e.mid)
	}
}

// send writes a datagram. To the protocol, a datagram that cannot be written is a lost
// one, so the error is dropped.
func (c *Client) send(b []byte) { _, _ = c.conn.Write(b) }
