// Package exchange encodes the messages between forwarders. Status and small sets of records
// are sent as datagrams; larger sets of records are pulled over a connection. Messages use
// the protocol buffers wire format, so that new fields can be added.
package exchange

import (
	"errors"
	"math"
	"net/netip"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/monsoonthread/monsoonthread/directory"
	"github.com/monsoonthread/monsoonthread/forwarding"
	"github.com/monsoonthread/monsoonthread/mesh"
	"github.com/monsoonthread/monsoonthread/result"
)

const (
	// MaxDatagramBytes is the maximum size of a datagram with records. A datagram of this
	// size is not fragmented.
	MaxDatagramBytes = 1200
	// MaxStatusBytes is the maximum size of a received datagram: a status with the loads of
	// several hundred servers.
	MaxStatusBytes = 16 << 10
	// MaxFrameBytes is the maximum size of a pull response: 12,000 servers and several
	// configurations.
	MaxFrameBytes = 16 << 20
	// MaxPullBytes is the maximum size of a pull request.
	MaxPullBytes = 64
)

// DomainLeastLoaded are the least loaded servers of a failure domain as reported by its
// delegate.
type DomainLeastLoaded struct {
	Domain string
	Loads  []forwarding.Load
}

// Message is a message between forwarders. A kind of message uses only some of the fields.
type Message struct {
	Status      *mesh.Status
	Loads       []forwarding.Load // caused by the sender
	LeastLoaded []DomainLeastLoaded

	Update  directory.Update
	Members []mesh.Peer

	Suspects []uint32 // cookies of servers that appear dead to the sender
	Failures []uint32 // cookies of servers, one for each failed request on the sender's flows
	Asks     []uint32 // cookies of servers that the sender asks the receiver to probe
	Resets   []uint32 // cookies of unreachable servers whose flows the sender resets
	Alive    []uint32 // cookies of servers that are alive, as the answer to such a question
}

// Field numbers of a message.
const (
	fieldStatus      = 1
	fieldLoad        = 2
	fieldLeastLoaded = 3
	fieldRecord      = 4
	fieldBase        = 5
	fieldAsOf        = 6
	fieldMember      = 7
	fieldSuspect     = 8
	fieldFailure     = 9
	fieldAsk         = 10
	fieldAlive       = 11
	fieldComplete    = 12 // in earlier versions of the program: all records follow
	fieldReset       = 13
	fieldBaseEra     = 14
	fieldAsOfEra     = 15
	fieldKept        = 16
)

// Append appends the encoded message to b and returns the extended slice.
func Append(b []byte, m *Message) []byte {
	if m.Status != nil {
		b = appendBytes(b, fieldStatus, appendStatus(nil, m.Status))
	}
	for i := range m.Loads {
		b = appendBytes(b, fieldLoad, appendLoad(nil, &m.Loads[i]))
	}
	for i := range m.LeastLoaded {
		b = appendBytes(b, fieldLeastLoaded, appendLeastLoaded(nil, &m.LeastLoaded[i]))
	}
	for i := range m.Update.Records {
		b = appendBytes(b, fieldRecord, appendRecord(nil, &m.Update.Records[i]))
	}
	b = appendPosition(b, fieldBase, fieldBaseEra, m.Update.Base)
	b = appendPosition(b, fieldAsOf, fieldAsOfEra, m.Update.AsOf)
	if m.Update.Complete {
		b = appendBytes(b, fieldKept, appendHashes(nil, m.Update.Kept))
	}
	for i := range m.Members {
		b = appendBytes(b, fieldMember, appendPeer(nil, &m.Members[i]))
	}
	b = appendCookies(b, fieldSuspect, m.Suspects)
	b = appendCookies(b, fieldFailure, m.Failures)
	b = appendCookies(b, fieldAsk, m.Asks)
	b = appendCookies(b, fieldReset, m.Resets)
	return appendCookies(b, fieldAlive, m.Alive)
}

func appendCookies(b []byte, field protowire.Number, cookies []uint32) []byte {
	for _, cookie := range cookies {
		b = protowire.AppendTag(b, field, protowire.VarintType)
		b = protowire.AppendVarint(b, uint64(cookie))
	}
	return b
}

func appendBytes(b []byte, field protowire.Number, v []byte) []byte {
	b = protowire.AppendTag(b, field, protowire.BytesType)
	return protowire.AppendBytes(b, v)
}

// appendUint appends a number. Zero is the default and is omitted.
func appendUint(b []byte, field protowire.Number, v uint64) []byte {
	if v == 0 {
		return b
	}
	b = protowire.AppendTag(b, field, protowire.VarintType)
	return protowire.AppendVarint(b, v)
}

func appendBool(b []byte, field protowire.Number, v bool) []byte {
	return appendUint(b, field, protowire.EncodeBool(v))
}

func appendPeer(b []byte, p *mesh.Peer) []byte {
	b = appendBytes(b, 1, []byte(p.ID))
	b = appendBytes(b, 2, []byte(p.Domain))
	return appendBytes(b, 3, []byte(p.Address.String()))
}

func appendStatus(b []byte, s *mesh.Status) []byte {
	b = appendBytes(b, 1, appendPeer(nil, &s.Peer))
	b = appendUint(b, 2, s.Incarnation)
	b = appendPosition(b, 3, 7, directory.Position(s.AsOf))
	b = appendUint(b, 4, uint64(s.ConfirmationAge/time.Millisecond))
	b = appendBool(b, 5, s.Watching)
	b = appendUint(b, 8, uint64(s.WatchHeldFor/time.Millisecond))
	return appendBool(b, 6, s.Leaving)
}

func appendLoad(b []byte, l *forwarding.Load) []byte {
	b = protowire.AppendVarint(b, uint64(l.Cookie))
	b = protowire.AppendVarint(b, uint64(l.Rate*rateScale))
	b = protowire.AppendVarint(b, uint64(l.ServiceTime/time.Microsecond))
	if l.Flows <= 0 && l.Samples <= 0 {
		return b
	}
	b = protowire.AppendVarint(b, uint64(max(l.Flows, 0)))
	if l.Samples <= 0 {
		return b
	}
	b = protowire.AppendVarint(b, uint64(l.SampleSum/time.Microsecond))
	return protowire.AppendVarint(b, uint64(math.Round(l.Samples*rateScale)))
}

func appendLeastLoaded(b []byte, d *DomainLeastLoaded) []byte {
	b = appendBytes(b, 1, []byte(d.Domain))
	for i := range d.Loads {
		b = appendBytes(b, 2, appendLoad(nil, &d.Loads[i]))
	}
	return b
}

// Decode decodes a message. It skips unknown fields and fails with code 506 if the message is
// malformed.
func Decode(b []byte) (*Message, error) {
	m := new(Message)
	var base, asOf position
	err := forEachField(b, func(field protowire.Number, bytes []byte, number uint64) error {
		switch field {
		case fieldStatus:
			m.Status = new(mesh.Status)
			return decodeStatus(bytes, m.Status)
		case fieldLoad:
			return decodeLoad(bytes, &m.Loads)
		case fieldLeastLoaded:
			return decodeLeastLoaded(bytes, &m.LeastLoaded)
		case fieldRecord:
			return decodeRecord(bytes, &m.Update.Records)
		case fieldBase:
			base.revision = number
		case fieldBaseEra:
			base.era = number
		case fieldAsOf:
			asOf.revision = number
		case fieldAsOfEra:
			asOf.era = number
		case fieldComplete:
			m.Update.Complete = number != 0
		case fieldKept:
			m.Update.Complete = true
			return decodeHashes(bytes, &m.Update.Kept)
		case fieldSuspect:
			m.Suspects = append(m.Suspects, uint32(number))
		case fieldFailure:
			m.Failures = append(m.Failures, uint32(number))
		case fieldAsk:
			m.Asks = append(m.Asks, uint32(number))
		case fieldReset:
			m.Resets = append(m.Resets, uint32(number))
		case fieldAlive:
			m.Alive = append(m.Alive, uint32(number))
		case fieldMember:
			var p mesh.Peer
			if err := decodePeer(bytes, &p); err != nil {
				return err
			}
			m.Members = append(m.Members, p)
		}
		return nil
	})
	if err = errors.Join(err, base.decode(&m.Update.Base), asOf.decode(&m.Update.AsOf)); err != nil {
		return nil, result.Errorf(result.PeerProtocol, "message: %w", err)
	}
	return m, nil
}

// forEachField calls f for each field, with bytes for a length-delimited field and with number
// for a varint.
func forEachField(b []byte, f func(field protowire.Number, bytes []byte, number uint64) error) error {
	for len(b) > 0 {
		field, kind, n := protowire.ConsumeTag(b)
		if n < 0 {
			return protowire.ParseError(n)
		}
		b = b[n:]
		var bytes []byte
		var number uint64
		switch kind {
		case protowire.BytesType:
			bytes, n = protowire.ConsumeBytes(b)
		case protowire.VarintType:
			number, n = protowire.ConsumeVarint(b)
		default:
			n = protowire.ConsumeFieldValue(field, kind, b)
		}
		if n < 0 {
			return protowire.ParseError(n)
		}
		if err := f(field, bytes, number); err != nil {
			return err
		}
		b = b[n:]
	}
	return nil
}

func decodePeer(b []byte, p *mesh.Peer) error {
	return forEachField(b, func(field protowire.Number, bytes []byte, _ uint64) (err error) {
		switch field {
		case 1:
			p.ID = string(bytes)
		case 2:
			p.Domain = string(bytes)
		case 3:
			p.Address, err = netip.ParseAddrPort(string(bytes))
		}
		return err
	})
}

const (
	// maxAge is the upper limit of a received age in milliseconds; higher ages are equivalent.
	maxAge = uint64(time.Hour / time.Millisecond)
	// maxServiceTime is the upper limit of a received service time in microseconds.
	maxServiceTime = uint64(time.Hour / time.Microsecond)
)

func decodeStatus(b []byte, s *mesh.Status) error {
	var asOf position
	err := forEachField(b, func(field protowire.Number, bytes []byte, number uint64) error {
		switch field {
		case 1:
			return decodePeer(bytes, &s.Peer)
		case 2:
			s.Incarnation = number
		case 3:
			asOf.revision = number
		case 7:
			asOf.era = number
		case 4:
			s.ConfirmationAge = time.Duration(min(number, maxAge)) * time.Millisecond
		case 5:
			s.Watching = number != 0
		case 8:
			s.WatchHeldFor = time.Duration(min(number, maxAge)) * time.Millisecond
		case 6:
			s.Leaving = number != 0
		}
		return nil
	})
	var decoded directory.Position
	err = errors.Join(err, asOf.decode(&decoded))
	s.AsOf = uint64(decoded)
	return err
}

const (
	// rateScale converts requests per second into integers on the wire.
	rateScale = 100
	// maxRate is the upper limit of a received rate, in hundredths of requests per second.
	maxRate = 1 << 30
	// maxFlows is the upper limit of a received number of open flows.
	maxFlows = 1 << 30
	// requiredLoadNumbers is the length of a load from a version of the program that reports
	// neither flows nor samples.
	requiredLoadNumbers = 3
)

func decodeLoad(b []byte, out *[]forwarding.Load) error {
	var numbers [6]uint64
	for i := range numbers {
		if i >= requiredLoadNumbers && len(b) == 0 {
			break
		}
		v, n := protowire.ConsumeVarint(b)
		if n < 0 {
			return protowire.ParseError(n)
		}
		numbers[i], b = v, b[n:]
	}
	*out = append(*out, forwarding.Load{
		Cookie: uint32(numbers[0]), Rate: float64(min(numbers[1], maxRate)) / rateScale,
		ServiceTime: time.Duration(min(numbers[2], maxServiceTime)) * time.Microsecond,
		Flows:       int(min(numbers[3], maxFlows)),
		SampleSum:   time.Duration(min(numbers[4], maxServiceTime)) * time.Microsecond, Samples: float64(min(numbers[5], maxRate)) / rateScale,
	})
	return nil
}

func decodeLeastLoaded(b []byte, out *[]DomainLeastLoaded) error {
	var d DomainLeastLoaded
	err := forEachField(b, func(field protowire.Number, bytes []byte, _ uint64) error {
		switch field {
		case 1:
			d.Domain = string(bytes)
		case 2:
			return decodeLoad(bytes, &d.Loads)
		}
		return nil
	})
	*out = append(*out, d)
	return err
}
