package process

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/plgd-dev/go-coap/v3/udp/coder"

	"github.com/monsoonthread/monsoonthread/permit"
	"github.com/monsoonthread/monsoonthread/result"
	"github.com/monsoonthread/monsoonthread/test/lab/cluster"
)

// permitted is a non-idempotent request whose caller holds the permit. Package caller
// presents a permit at once and only with its own retransmissions; a permitted request
// can be presented at any time and in any number of copies.
type permitted struct {
	id      string
	conn    *net.UDPConn
	permit  []byte
	issuer  uint64 // permit.InstanceHash
	mid     uint16
	success int
	refused []result.Code
	unknown []result.Code
}

func (p *permitted) encode(echo []byte, mid uint16, token byte) ([]byte, error) {
	m := message.Message{
		Code: codes.POST, Type: message.Confirmable, Token: message.Token{token, 1, 2, 3}, MessageID: int32(mid), Payload: []byte("id=" + p.id),
		Options: message.Options{
			{ID: message.URIPath, Value: []byte("orders")}, {ID: message.URIPath, Value: []byte(cluster.OrderPath)},
		},
	}
	if echo != nil {
		m.Options = m.Options.Set(message.Option{ID: message.Echo, Value: echo})
	}
	b := make([]byte, 1280)
	n, err := coder.DefaultCoder.Encode(m, b)
	return b[:n], err
}

// read returns the next response, or an error when the time has passed.
func (p *permitted) read(until time.Time) (message.Message, error) {
	b := make([]byte, 2048)
	for {
		m := message.Message{Options: make(message.Options, 0, 16)}
		if err := p.conn.SetReadDeadline(until); err != nil {
			return m, err
		}
		n, err := p.conn.Read(b)
		if err != nil {
			return m, err
		}
		if _, err := coder.DefaultCoder.Decode(b[:n], &m); err == nil && m.Code != codes.Empty {
			return m, nil
		}
	}
}

// obtain gets n permits of the service "orders".
func (d *deployment) obtain(prefix string, n int) []*permitted {
	d.Helper()
	all := make([]*permitted, n)
	s, _ := d.Deployment().Service("orders")
	var wg sync.WaitGroup
	for i := range all {
		conn, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(s.Address))
		d.must(err)
		d.Cleanup(func() { _ = conn.Close() })
		p := &permitted{id: fmt.Sprintf("%s-%d", prefix, i), conn: conn, mid: uint16(i)}
		all[i] = p
		wg.Go(func() {
			for range 10 {
				b, err := p.encode(nil, p.mid, 0)
				if err != nil {
					d.Error(err)
					return
				}
				_, _ = conn.Write(b) // a lost datagram is repeated
				m, err := p.read(time.Now().Add(ackTimeoutMS * time.Millisecond))
				if err != nil {
					continue
				}
				if p.permit, err = m.Options.GetBytes(message.Echo); err != nil {
					d.Errorf("request without a permit was answered with %v %s", m.Code, m.Payload)
					return
				}
				p.permit = append([]byte(nil), p.permit...)
				ref, err := permit.Parse(p.permit)
				if err != nil {
					d.Error(err)
				}
				p.issuer = ref.InstanceHash
				return
			}
			d.Errorf("request %s got no permit", p.id)
		})
	}
	wg.Wait()
	if d.Failed() {
		d.FailNow()
	}
	return all
}

// issuedBy returns the requests whose permits an instance issued.
func issuedBy(all []*permitted, id string) []*permitted {
	var some []*permitted
	for _, p := range all {
		if p.issuer == permit.InstanceHash(id) {
			some = append(some, p)
		}
	}
	return some
}

// present sends copies of each permitted request and collects the answers to all of
// them. Every second copy has a message ID of its own, so that only the permit tells
// that it is a copy.
func (d *deployment) present(all []*permitted, copies int, wait time.Duration) {
	d.Helper()
	var wg sync.WaitGroup
	for _, p := range all {
		wg.Go(func() {
			for i := range copies {
				mid, token := p.mid+20000, byte(1)
				if i%2 == 1 {
					mid, token = mid+uint16(1000*i), byte(1+i)
				}
				b, err := p.encode(p.permit, mid, token)
				if err != nil {
					d.Error(err)
					return
				}
				_, _ = p.conn.Write(b) // a lost datagram is one copy less
			}
			until := time.Now().Add(wait)
			for {
				m, err := p.read(until)
				if errors.Is(err, os.ErrDeadlineExceeded) {
					return
				}
				if err != nil {
					continue // an ICMP error of an earlier datagram
				}
				p.note(m)
			}
		})
	}
	wg.Wait()
}

// note records an answer to a permitted request; the first copy has the token 0.
func (p *permitted) note(m message.Message) {
	if len(m.Token) == 0 || m.Token[0] == 0 {
		return
	}
	var code result.Code
	switch _, err := fmt.Sscanf(string(m.Payload), "[%d]", &code); {
	case m.Code>>5 == 2:
		p.success++
	case err == nil && code.NotExecuted():
		p.refused = append(p.refused, code)
	default:
		p.unknown = append(p.unknown, code)
	}
}

// checkPermitted compares the answers with the execution logs.
func (d *deployment) checkPermitted(all []*permitted) (t tally) {
	d.Helper()
	runs := d.runs()
	for _, p := range all {
		n := runs[p.id]
		if n > 1 {
			d.Errorf("request %s ran %d times", p.id, n)
		}
		if len(p.refused) > 0 && n > 0 {
			d.Errorf("request %s was refused with %v and ran", p.id, p.refused)
		}
		if p.success > 0 && n == 0 {
			d.Errorf("request %s succeeded and did not run", p.id)
		}
		switch {
		case p.success > 0:
			t.done++
		case len(p.refused) > 0:
			t.refused++
		default:
			t.unknown++
		}
	}
	d.Logf("permitted requests: %+v", t)
	return t
}
