package caller

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/plgd-dev/go-coap/v3/udp/coder"

	"github.com/monsoonthread/monsoonthread/permit"
	"github.com/monsoonthread/monsoonthread/result"
)

// fakeService is a UDP endpoint that handles each datagram with a callback. The mutex
// is locked during the callback.
type fakeService struct {
	sync.Mutex
	conn *net.UDPConn
	wg   sync.WaitGroup
}

// newFakeService starts a service that calls answer with each decoded datagram. answer
// sends any number of messages with reply.
func newFakeService(network string, answer func(m message.Message, reply func(message.Message))) *fakeService {
	ip := net.IPv4(127, 0, 0, 1)
	if network == "udp6" {
		ip = net.IPv6loopback
	}
	conn, err := net.ListenUDP(network, &net.UDPAddr{IP: ip})
	if err != nil {
		panic(err)
	}
	f := &fakeService{conn: conn}
	f.wg.Go(func() {
		buf := make([]byte, 2048)
		for {
			n, from, err := conn.ReadFromUDPAddrPort(buf)
			if err != nil {
				return
			}
			// decode rejects the critical options that requests carry.
			m := message.Message{Options: make(message.Options, 0, maxOptions)}
			if _, err := coder.DefaultCoder.Decode(bytes.Clone(buf[:n]), &m); err != nil {
				continue
			}
			f.Lock()
			answer(m, func(m message.Message) {
				b, err := encode(m)
				if err != nil {
					panic(err)
				}
				conn.WriteToUDPAddrPort(b, from)
			})
			f.Unlock()
		}
	})
	return f
}

func (f *fakeService) addr() netip.AddrPort { return f.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

func (f *fakeService) close() {
	f.conn.Close()
	f.wg.Wait()
}

// piggybacked returns a response that is carried in the acknowledgement of the request.
func piggybacked(request message.Message, code codes.Code, payload string, options ...message.Option) message.Message {
	m := message.Message{Type: message.Acknowledgement, Code: code, MessageID: request.MessageID, Token: request.Token, Payload: []byte(payload)}
	for _, o := range options {
		m.Options = m.Options.Add(o)
	}
	return m
}

var fastConfig = Config{AckTimeout: 30 * time.Millisecond, MaxRetransmit: 3, AckedRetransmitInterval: 60 * time.Millisecond, ResponseTimeout: 2 * time.Second, MinRegisterInterval: 20 * time.Millisecond}

func Example() {
	service := newFakeService("udp4", func(m message.Message, reply func(message.Message)) {
		path, _ := m.Options.Path()
		reply(piggybacked(m, codes.Content, "state of "+path))
	})
	defer service.close()

	client, err := Dial(Config{}, service.addr())
	if err != nil {
		panic(err)
	}
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	response, err := client.Do(ctx, Request{Method: "GET", Path: "/suite/7"})
	if err != nil {
		panic(err)
	}
	fmt.Println(response.Code, string(response.Payload))
	// Output: 2.05 state of /suite/7
}

// dial connects a client to a service and closes both at the end of the test.
func dial(t testing.TB, cfg Config, service *fakeService) *Client {
	t.Helper()
	client, err := Dial(cfg, service.addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		client.Close()
		service.close()
	})
	return client
}

func option(id message.OptionID, value ...byte) message.Option {
	return message.Option{ID: id, Value: value}
}

// Guards against a request that is not repeated with its permit (over IPv6), and against
// a rejected permit that is not reported as an error.
func TestPermitIsPresented(t *testing.T) {
	client := dial(t, fastConfig, newFakeService("udp6", func(m message.Message, reply func(message.Message)) {
		echo, err := m.Options.GetBytes(message.Echo)
		if path, _ := m.Options.Path(); err != nil || path == "/never" {
			reply(piggybacked(m, codes.Unauthorized, "", option(message.Echo, []byte("permit:")...)))
			return
		}
		reply(piggybacked(m, codes.Changed, string(echo)+string(m.Payload)))
	}))
	r, err := client.Do(t.Context(), Request{Method: "POST", Path: "lines", Payload: []byte("tulip")})
	if err != nil || string(r.Payload) != "permit:tulip" || r.Code != Changed {
		t.Errorf("got %+v, %v", r, err)
	}
	if _, err := client.Do(t.Context(), Request{Method: "POST", Path: "never"}); result.CodeOf(err) != result.PermitRequired {
		t.Errorf("error for a rejected permit: %v", err)
	}
}

// Guards against an order that runs twice, is lost or receives another order's response
// when datagrams are lost, duplicated and delayed. Like an entry instance, the service
// uses the permit package and sends separate responses; a message without a permit runs
// nothing.
func TestAtMostOnceOverLossyPath(t *testing.T) {
	issuer, err := permit.NewIssuer(permit.Config{}, "entry-1", 1, rand.NewChaCha8([32]byte{1}))
	if err != nil {
		t.Fatal(err)
	}
	rng := rand.New(rand.NewPCG(1, 2))
	runs := map[string]int{}
	mid := int32(0)
	answer := func(m message.Message, reply func(message.Message)) {
		echo, err := m.Options.GetBytes(message.Echo)
		if err != nil {
			reply(piggybacked(m, codes.Unauthorized, "", option(message.Echo, issuer.Issue(time.Now(), 1, 1)...)))
			return
		}
		d, err := issuer.Begin(time.Now(), echo, 1, 1, xxhash.Sum64(m.Payload), nil)
		if err != nil {
			reply(piggybacked(m, codes.BadRequest, err.Error()))
			return
		}
		reply(message.Message{Type: message.Acknowledgement, MessageID: m.MessageID})
		text := ""
		switch d := d.(type) {
		case permit.Run:
			runs[string(m.Payload)]++
			text = "ran " + string(m.Payload)
			issuer.Complete(time.Now(), d.Nonce, permit.Answer{Response: []byte(text)})
		case permit.Replay:
			text = string(d.Answer.Response)
		}
		mid++
		r := piggybacked(m, codes.Changed, text)
		r.Type, r.MessageID = message.Confirmable, mid
		reply(r)
	}
	var late []func()
	service := newFakeService("udp4", func(m message.Message, reply func(message.Message)) {
		if m.Code == codes.Empty {
			return
		}
		for _, f := range late {
			f()
		}
		late = nil
		lossy := func(r message.Message) {
			switch rng.IntN(5) {
			case 0: // lost
			case 1: // delayed until the next message arrives
				late = append(late, func() { reply(r) })
			case 2:
				reply(r)
				reply(r)
			default:
				reply(r)
			}
		}
		if rng.IntN(4) > 0 {
			answer(m, lossy)
		}
		if rng.IntN(4) == 0 {
			answer(m, lossy)
		}
	})
	client, answered := dial(t, fastConfig, service), 0
	for n := range 60 {
		order := fmt.Sprint("order ", n)
		r, err := client.Do(t.Context(), Request{Method: "POST", Path: "orders", Payload: []byte(order)})
		service.Lock()
		ran := runs[order]
		service.Unlock()
		switch {
		case err == nil && (string(r.Payload) != "ran "+order || ran != 1):
			t.Fatalf("%s ran %d times and was answered %q", order, ran, r.Payload)
		case err == nil:
			answered++
		case !result.CodeOf(err).OutcomeUnknown() || ran > 1:
			t.Fatalf("%s ran %d times: %v", order, ran, err)
		}
	}
	if answered < 50 {
		t.Errorf("%d of 60 orders were answered, want at least 50", answered)
	}
}

// Guards against a lost request that is not retransmitted, a retransmission that differs
// from the first transmission, and a missing Deadline option.
func TestRetransmission(t *testing.T) {
	var seen []string
	service := newFakeService("udp4", func(m message.Message, reply func(message.Message)) {
		seen = append(seen, fmt.Sprint(m.MessageID, m.Token, m.Options))
		if len(seen) == 3 {
			ms, err := m.Options.GetUint32(OptionDeadline)
			reply(piggybacked(m, codes.Content, fmt.Sprint(ms > 1000 && ms <= 2000, err)))
		}
	})
	r, err := dial(t, fastConfig, service).Do(t.Context(), Request{Method: "GET", Path: "a", Deadline: 2 * time.Second})
	if err != nil || string(r.Payload) != "true <nil>" {
		t.Fatalf("got %+v, %v", r, err)
	}
	service.Lock()
	defer service.Unlock()
	if seen[0] != seen[1] || seen[1] != seen[2] {
		t.Errorf("transmissions differ: %q", seen)
	}
}

// Guards against an endless wait for an instance that acknowledged a request and failed
// before it responded.
func TestAcknowledgedRequestIsRepeated(t *testing.T) {
	count := 0
	client := dial(t, fastConfig, newFakeService("udp4", func(m message.Message, reply func(message.Message)) {
		if count++; count < 3 {
			reply(message.Message{Type: message.Acknowledgement, MessageID: m.MessageID})
			return
		}
		reply(piggybacked(m, codes.Content, "from the new instance"))
	}))
	if r, err := client.Do(t.Context(), Request{Method: "GET"}); err != nil || string(r.Payload) != "from the new instance" {
		t.Fatalf("got %+v, %v", r, err)
	}
}

// Guards against a refusal that is not recognised, and against a refused request that is
// retried although it may have run, before the stated time or beyond the retry budget.
func TestRefusals(t *testing.T) {
	count := map[string]int{}
	service := newFakeService("udp4", func(m message.Message, reply func(message.Message)) {
		path, _ := m.Options.Path()
		count[path]++
		switch path {
		case "/full":
			reply(piggybacked(m, codes.ServiceUnavailable, "[101] queue is full", option(message.MaxAge, 1)))
		case "/unknown":
			reply(piggybacked(m, codes.GatewayTimeout, "[203] outcome unknown: no answer", option(message.MaxAge, 1)))
		case "/plain":
			reply(piggybacked(m, codes.NotFound, "[no code] here"))
		}
	})
	client := dial(t, fastConfig, service)
	tries := func(path string) int {
		service.Lock()
		defer service.Unlock()
		return count[path]
	}
	if _, err := client.Do(t.Context(), Request{Method: "GET", Path: "unknown"}); result.CodeOf(err) != result.BackendTimeout || tries("/unknown") != 1 {
		t.Errorf("unknown outcome: %v after %d tries", err, tries("/unknown"))
	}
	begin := time.Now()
	_, err := client.Do(t.Context(), Request{Method: "GET", Path: "full"})
	var refused *result.Error
	if !errors.As(err, &refused) || refused.Code != result.QueueFull || refused.Detail != "queue is full" {
		t.Errorf("refusal: %v", err)
	}
	if took := time.Since(begin); tries("/full") != 2 || took < time.Second {
		t.Errorf("%d tries in %s, want 2 tries at least 1 s apart", tries("/full"), took)
	}
	if r, err := client.Do(t.Context(), Request{Method: "GET", Path: "plain"}); err != nil || r.Code != NotFound {
		t.Errorf("answer of the backend server: %+v, %v", r, err)
	}
}

// Guards against a blockwise response that mixes blocks of two versions of a resource or
// contains one block in place of another.
func TestFetchRestartsOnChange(t *testing.T) {
	bodies := [][]byte{bytes.Repeat([]byte("old!"), 100), bytes.Repeat([]byte("new."), 90)}
	version, requests := 0, 0
	client := dial(t, fastConfig, newFakeService("udp4", func(m message.Message, reply func(message.Message)) {
		const szx, size = 2, 64
		if requests++; requests == 4 {
			version = 1
		}
		b, _ := block2(m)
		offset := b.number * b.size()
		if b.number == 0 {
			offset = 0
		}
		body := bodies[version]
		end := min(offset+size, len(body))
		r := piggybacked(m, codes.Content, string(body[offset:end]), option(message.ETag, byte(version)))
		more := uint32(0)
		if path, _ := m.Options.Path(); path == "/broken" {
			offset, end = 0, size
		}
		if end < len(body) {
			more = moreBit
		}
		setUintOption(&r, message.Block2, uint32(offset/size)<<4|more|szx)
		reply(r)
	}))
	got, err := client.Fetch(t.Context(), "archive")
	if err != nil || !bytes.Equal(got, bodies[1]) {
		t.Fatalf("got %q, %v", got, err)
	}
	var failed *result.Error
	if got, err := client.Fetch(t.Context(), "broken"); !errors.As(err, &failed) || failed.Detail != "received block 0, requested block 1" {
		t.Errorf("wrong block: got %d bytes, %v", len(got), err)
	}
}

// notification returns a confirmable notification to a registration.
func notification(register message.Message, mid, sequence int, payload string, maxAge byte) message.Message {
	m := piggybacked(register, codes.Content, payload, option(message.MaxAge, maxAge))
	m.Type, m.MessageID = message.Confirmable, int32(mid)
	setUintOption(&m, message.Observe, uint32(sequence))
	return m
}

// Guards against notifications out of order, states that are delivered twice and missing
// acknowledgements. Also guards against a registration that is not refreshed before
// Max-Age, not renewed after a missing response, a refusal or a response without Observe,
// or not cancelled, and against a notification for an ended stream that is not reset.
func TestObserve(t *testing.T) {
	const ended = 99
	registrations, tokens, acked, cancelled := 0, map[string]bool{}, map[int32]int{}, false
	reset := make(chan int32, 1)
	var registered, refreshed time.Time
	service := newFakeService("udp4", func(m message.Message, reply func(message.Message)) {
		if m.Type == message.Acknowledgement {
			acked[m.MessageID]++
			return
		}
		if m.Type == message.Reset {
			reset <- m.MessageID
			return
		}
		if v, _ := m.Options.Observe(); v == observeCancel {
			cancelled = true
			reply(piggybacked(m, codes.Content, ""))
			reply(notification(m, ended, 1000, "late", 1))
			return
		}
		tokens[string(m.Token)] = true
		registrations++
		first := notification(m, int(m.MessageID), 10*registrations, fmt.Sprint("registered ", registrations), 1)
		first.Type = message.Acknowledgement
		switch registrations {
		case 1:
			registered = time.Now()
			reply(first)
			reply(notification(m, 2, 13, "third", 1))
			reply(notification(m, 1, 12, "second", 1))
			reply(notification(m, 3, 14, "fourth", 2))
			reply(notification(m, 3, 14, "fourth", 2))
		case 2: // first transmission of a refresh that gets no response
			refreshed = time.Now()
		case 3, 4, 5: // its retransmissions
		case 6:
			reply(piggybacked(m, codes.ServiceUnavailable, "[108] shutting down", option(message.MaxAge, 0)))
		case 7:
			reply(piggybacked(m, codes.Content, "not registered"))
		default:
			reply(first)
		}
	})
	client := dial(t, fastConfig, service)
	states := make(chan string, 100)
	s, err := client.Observe(t.Context(), "suite/7", func(n Notification) { states <- string(n.Payload) })
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"registered 1", "third", "fourth", "registered 8", "registered 9"} {
		select {
		case got := <-states:
			if got != want {
				t.Fatalf("got state %q, want %q", got, want)
			}
		case <-time.After(8 * time.Second):
			t.Fatalf("no state %q: %+v", want, s.Stats())
		}
	}
	if err := s.Close(t.Context()); err != nil {
		t.Error(err)
	}
	select {
	case mid := <-reset:
		if mid != ended {
			t.Errorf("message %d was reset, want %d", mid, ended)
		}
	case <-time.After(2 * time.Second):
		t.Error("the notification after the end of the stream was not reset")
	}
	service.Lock()
	defer service.Unlock()
	if after := refreshed.Sub(registered); after > 2*time.Second {
		t.Errorf("refreshed after %s with a Max-Age of 2 s", after)
	}
	if len(tokens) != 1 || acked[1] != 1 || acked[2] != 1 || acked[3] != 2 || !cancelled {
		t.Errorf("%d tokens, acknowledgements %v, cancelled %v", len(tokens), acked, cancelled)
	}
	if st := s.Stats(); st.Stale != 1 || st.RegistrationFailures != 3 || st.Refreshes != 2 || s.Err() != nil {
		t.Errorf("stream statistics %+v, error %v", st, s.Err())
	}
}

// Guards against comparing Observe sequence numbers as plain integers, without wraparound.
func TestFresh(t *testing.T) {
	const wrap = 1 << 24
	for _, c := range []struct {
		last, next uint32
		elapsed    time.Duration
		want       bool
	}{
		{1, 2, 0, true}, {2, 1, 0, false}, {5, 5, 0, false},
		{wrap - 1, 0, 0, true}, {0, wrap - 1, 0, false},
		{2, 1, reorderWindow + 1, true},
	} {
		if got := fresh(c.last, c.next, c.elapsed); got != c.want {
			t.Errorf("fresh(%d, %d, %s) = %v, want %v", c.last, c.next, c.elapsed, got, c.want)
		}
	}
}

// Guards against the reuse of a message ID while a receiver may still treat it as a
// duplicate (RFC 7252, 4.4).
func TestMessageIDsAreNotReused(t *testing.T) {
	ids, now, used := newMessageIDs(), time.Unix(0, 0), map[uint16]time.Time{}
	refused := 0
	for range 1_000_000 {
		now = now.Add(time.Millisecond)
		id, ok := ids.next(now)
		if !ok {
			refused++
			continue
		}
		if at, ok := used[id]; ok && now.Sub(at) < exchangeLifetime {
			t.Fatalf("message ID %d is reused after %s", id, now.Sub(at))
		}
		used[id] = now
	}
	if refused == 0 || refused > 800_000 {
		t.Errorf("%d of 1,000,000 requests at 1,000/s were refused, want 1 to 800,000", refused)
	}
}

// Guards against panics on arbitrary datagrams, replies other than ACK and RST, and a
// response that is matched to the wrong request.
func FuzzHandle(f *testing.F) {
	request := message.Message{Token: message.Token{1, 2, 3, 4}, MessageID: 7}
	for _, m := range []message.Message{
		piggybacked(request, codes.Content, "body", option(message.Block2, 0x0a), option(message.ETag, 1)),
		piggybacked(request, codes.ServiceUnavailable, "[101] full", option(message.MaxAge, 5)),
		notification(request, 9, 5, "state", 60),
		{Type: message.Acknowledgement, MessageID: 7},
		{Type: message.Reset, MessageID: 7},
		{Type: message.Confirmable, MessageID: 8},
	} {
		b, err := encode(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
		f.Add(b[:len(b)-1])
	}
	f.Add([]byte{})
	f.Add([]byte{0x40, 0x45, 0, 1, 0xff})
	f.Fuzz(func(t *testing.T, b []byte) {
		c := newClient(Config{}, nil)
		e, err := c.openExchange(&token{1, 2, 3, 4})
		if err != nil {
			t.Fatal(err)
		}
		delete(c.byMID, e.mid)
		e.mid = 7
		c.byMID[7] = e
		s := &Stream{client: c, queue: make(chan message.Message, 1)}
		c.streams[token{5, 6, 7, 8}] = s
		reply := c.handle(bytes.Clone(b))
		if reply != nil && (len(reply) != 4 || reply[1] != 0 || !bytes.Equal(reply[2:], b[2:4]) || b[0]>>4 != 0x4) {
			t.Fatalf("reply % x to % x", reply, b)
		}
		select {
		case m := <-e.response:
			if !bytes.Equal(m.Token, e.token[:]) || !isResponse(m.Code) || (m.Type == message.Acknowledgement && m.MessageID != 7) {
				t.Fatalf("% x was accepted as the response", b)
			}
			_ = diagnosticError(m)
			block2(m)
			newResponse(m)
		default:
		}
	})
}

// Guards against a request that ends with an unknown outcome because one copy reached an
// instance that cannot reach the issuer of its permit.
func TestPermitIsPresentedAgainWhenTheIssuerIsNotReached(t *testing.T) {
	presented := 0
	service := newFakeService("udp4", func(m message.Message, reply func(message.Message)) {
		echo, err := m.Options.GetBytes(message.Echo)
		switch {
		case err != nil:
			reply(piggybacked(m, codes.Unauthorized, "", option(message.Echo, []byte("permit")...)))
		case presented < 3:
			presented++
			reply(piggybacked(m, codes.GatewayTimeout, "[202] outcome unknown: the issuer cannot be reached"))
		default:
			reply(piggybacked(m, codes.Changed, string(echo)))
		}
	})
	c := dial(t, fastConfig, service)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	r, err := c.Do(ctx, Request{Method: "POST", Path: "/orders", Payload: []byte("tulip")})
	if err != nil || r.Code != Changed || presented != 3 {
		t.Errorf("got %v, %v after %d presentations that did not reach the issuer", r, err, presented)
	}
}
