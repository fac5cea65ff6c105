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

// permittedRequest is a non-idempotent request for which a permit was obtained. Package
// caller sends a permit immediately and only with its own retransmissions; the tests need
// to send it at any time and in any number of copies.
type permittedRequest struct {
	id        string
	conn      *net.UDPConn
	permit    []byte
	issuer    uint64 // hash of the ID of the issuing instance; see permit.InstanceHash
	messageID uint16
	successes int
	refused   []result.Code
	unknown   []result.Code
}

func (p *permittedRequest) encode(echo []byte, messageID uint16, token byte) ([]byte, error) {
	m := message.Message{
		Code: codes.POST, Type: message.Confirmable, Token: message.Token{token, 1, 2, 3}, MessageID: int32(messageID), Payload: []byte("id=" + p.id),
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

// readResponse returns the next response that is not an empty message, or an error after
// the deadline.
func (p *permittedRequest) readResponse(until time.Time) (message.Message, error) {
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

// obtainPermits obtains n permits for the service "orders".
func (d *deployment) obtainPermits(prefix string, n int) []*permittedRequest {
	d.Helper()
	all := make([]*permittedRequest, n)
	s, _ := d.Deployment().Service("orders")
	var wg sync.WaitGroup
	for i := range all {
		conn, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(s.Address))
		d.requireNoError(err)
		d.Cleanup(func() { _ = conn.Close() })
		p := &permittedRequest{id: fmt.Sprintf("%s-%d", prefix, i), conn: conn, messageID: uint16(i)}
		all[i] = p
		wg.Go(func() {
			for range 10 {
				b, err := p.encode(nil, p.messageID, 0)
				if err != nil {
					d.Error(err)
					return
				}
				_, _ = conn.Write(b) // the loop retransmits a lost datagram
				m, err := p.readResponse(time.Now().Add(ackTimeoutMS * time.Millisecond))
				if err != nil {
					continue
				}
				if p.permit, err = m.Options.GetBytes(message.Echo); err != nil {
					d.Errorf("request without a permit got response %v %s, want a permit", m.Code, m.Payload)
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
			d.Errorf("request %s did not obtain a permit", p.id)
		})
	}
	wg.Wait()
	if d.Failed() {
		d.FailNow()
	}
	return all
}

// issuedBy returns the requests whose permits were issued by an instance.
func issuedBy(all []*permittedRequest, id string) []*permittedRequest {
	var issued []*permittedRequest
	for _, p := range all {
		if p.issuer == permit.InstanceHash(id) {
			issued = append(issued, p)
		}
	}
	return issued
}

// sendCopies sends copies of each permitted request and records all responses. Every
// second copy has its own message ID, so it can only be identified as a copy by its
// permit.
func (d *deployment) sendCopies(all []*permittedRequest, copies int, wait time.Duration) {
	d.Helper()
	var wg sync.WaitGroup
	for _, p := range all {
		wg.Go(func() {
			for i := range copies {
				messageID, token := p.messageID+20000, byte(1)
				if i%2 == 1 {
					messageID, token = messageID+uint16(1000*i), byte(1+i)
				}
				b, err := p.encode(p.permit, messageID, token)
				if err != nil {
					d.Error(err)
					return
				}
				_, _ = p.conn.Write(b) // a lost datagram only reduces the number of copies
			}
			until := time.Now().Add(wait)
			for {
				m, err := p.readResponse(until)
				if errors.Is(err, os.ErrDeadlineExceeded) {
					return
				}
				if err != nil {
					continue // an ICMP error for an earlier datagram
				}
				p.recordResponse(m)
			}
		})
	}
	wg.Wait()
}

// recordResponse records a response to a permitted request. It ignores late responses to
// the request that obtained the permit, whose token starts with 0.
func (p *permittedRequest) recordResponse(m message.Message) {
	if len(m.Token) == 0 || m.Token[0] == 0 {
		return
	}
	var code result.Code
	switch _, err := fmt.Sscanf(string(m.Payload), "[%d]", &code); {
	case m.Code>>5 == 2:
		p.successes++
	case err == nil && code.NotExecuted():
		p.refused = append(p.refused, code)
	default:
		p.unknown = append(p.unknown, code)
	}
}

// checkPermitted compares the responses with the execution logs.
func (d *deployment) checkPermitted(all []*permittedRequest) (t outcomeCounts) {
	d.Helper()
	executions := d.executionCounts()
	for _, p := range all {
		n := executions[p.id]
		if n > 1 {
			d.Errorf("request %s was executed %d times", p.id, n)
		}
		if len(p.refused) > 0 && n > 0 {
			d.Errorf("request %s was refused with %v but was executed", p.id, p.refused)
		}
		if p.successes > 0 && n == 0 {
			d.Errorf("request %s succeeded but was not executed", p.id)
		}
		switch {
		case p.successes > 0:
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
