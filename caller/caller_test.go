package caller

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/plgd-dev/go-coap/v3/udp/coder"
)

// fakeService is a UDP endpoint whose answers are made by a function.
type fakeService struct {
	conn *net.UDPConn
	wg   sync.WaitGroup
}

// newFakeService calls answer with each datagram, one at a time; answer sends what
// it likes with reply.
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
			m, err := parseAny(append([]byte(nil), buf[:n]...))
			if err != nil {
				continue
			}
			answer(m, func(m message.Message) {
				b, err := encode(m)
				if err != nil {
					panic(err)
				}
				conn.WriteToUDPAddrPort(b, from)
			})
		}
	})
	return f
}

func (f *fakeService) addr() netip.AddrPort { return f.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

func (f *fakeService) close() {
	f.conn.Close()
	f.wg.Wait()
}

// parseAny decodes requests, which decode rejects for their critical options.
func parseAny(b []byte) (message.Message, error) {
	m := message.Message{Options: make(message.Options, 0, maxOptions)}
	_, err := coder.DefaultCoder.Decode(b, &m)
	return m, err
}

// piggyback returns a response inside the acknowledgement of the request.
func piggyback(request message.Message, code codes.Code, payload string, options ...message.Option) message.Message {
	m := message.Message{Type: message.Acknowledgement, Code: code, MessageID: request.MessageID, Token: request.Token, Payload: []byte(payload)}
	for _, o := range options {
		m.Options = m.Options.Add(o)
	}
	return m
}

var fast = Config{AckTimeout: 30 * time.Millisecond, MaxRetransmit: 3, AckedRetransmit: 60 * time.Millisecond, ResponseTimeout: 2 * time.Second}

func Example() {
	service := newFakeService("udp4", func(m message.Message, reply func(message.Message)) {
		path, _ := m.Options.Path()
		reply(piggyback(m, codes.Content, "state of "+path))
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

// Guards against a request that is never repeated with its permit.
func TestPermitIsPresented(t *testing.T) {
	service := newFakeService("udp6", func(m message.Message, reply func(message.Message)) {
		if echo, err := m.Options.GetBytes(message.Echo); err == nil {
			reply(piggyback(m, codes.Changed, string(echo)+string(m.Payload)))
			return
		}
		reply(piggyback(m, codes.Unauthorized, "", message.Option{ID: message.Echo, Value: []byte("permit:")}))
	})
	defer service.close()
	client, err := Dial(fast, service.addr())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	r, err := client.Do(t.Context(), Request{Method: "POST", Path: "lines", Payload: []byte("tulip")})
	if err != nil || string(r.Payload) != "permit:tulip" || r.Code != Changed {
		t.Fatalf("got %+v, %v", r, err)
	}
}
