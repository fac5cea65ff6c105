// Package permit issues and verifies permits, each of which authorises one
// non-idempotent request to run once, and records the outcome of the request. A permit
// is carried in a CoAP Echo option. Only the process that issued a permit can verify it
// and run its request, so at-most-once execution requires neither consensus between
// instances nor synchronised clocks.
//
// The guarantee relies on one invariant: while a permit is valid, the issuer either has
// a record of its request or knows that the request never ran. An Issuer is not safe for
// concurrent use.
package permit

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"fmt"
	"hash"
	"io"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/monsoonthread/monsoonthread/result"
)

// Size is the length of a permit in bytes, the limit of the Echo option (RFC 9175).
const Size = 40

// Layout of a permit. The nonce holds the expiry in milliseconds of the issuer's
// monotonic clock in its upper 40 bits and a counter in its lower 24 bits, so it is
// unique unless 2^24 permits are issued in one millisecond.
const (
	offIncarnation = 8
	offNonce       = 16
	offBinding     = 24
	offMAC         = 28

	counterBits = 24
	counterMask = 1<<counterBits - 1
)

// Defaults of Config.
const (
	// DefaultLifetime exceeds MAX_TRANSMIT_SPAN (45 s, RFC 7252 4.8.2), so every
	// retransmission of a permitted request finds its record.
	DefaultLifetime = 60 * time.Second
	// DefaultMaxRecords suffices for 1,000 permitted requests per second over 60 s.
	DefaultMaxRecords = 65536
	// DefaultMaxAnswerBytes limits the total size of the recorded responses.
	DefaultMaxAnswerBytes = 32 << 20
	// DefaultMaxWaiters is twice the number of transmissions of a confirmable message (5).
	DefaultMaxWaiters = 10
)

// Config configures the limits of an Issuer. Zero values select the defaults.
type Config struct {
	Lifetime       time.Duration // how long a permit is valid
	MaxRecords     int           // recorded requests, running or answered
	MaxAnswerBytes int           // total size of the recorded responses
	MaxWaiters     int           // waiters per running request, including the first one
}

func (c Config) withDefaults() Config {
	if c.Lifetime <= 0 {
		c.Lifetime = DefaultLifetime
	}
	if c.MaxRecords <= 0 {
		c.MaxRecords = DefaultMaxRecords
	}
	if c.MaxAnswerBytes <= 0 {
		c.MaxAnswerBytes = DefaultMaxAnswerBytes
	}
	if c.MaxWaiters <= 0 {
		c.MaxWaiters = DefaultMaxWaiters
	}
	return c
}

// Header is the part of a permit that any instance can read, without verification.
type Header struct {
	InstanceHash uint64 // InstanceHash of the issuing instance's ID
	Incarnation  uint64
	Nonce        uint64
}

// InstanceHash returns the hash that identifies an instance in permits.
func InstanceHash(id string) uint64 { return xxhash.Sum64String(id) }

// Parse decodes the issuer and nonce of a permit without verifying it.
func Parse(b []byte) (Header, error) {
	if len(b) != Size {
		return Header{}, result.Errorf(result.MalformedPermit, "permit has %d bytes, want %d", len(b), Size)
	}
	return Header{
		InstanceHash: binary.BigEndian.Uint64(b),
		Incarnation:  binary.BigEndian.Uint64(b[offIncarnation:]),
		Nonce:        binary.BigEndian.Uint64(b[offNonce:]),
	}, nil
}

// Answer is the outcome of a permitted request. For the permit, a Code that means "not
// executed" is as final as a response.
type Answer struct {
	Code     result.Code
	Response []byte
}

// Decision is how to handle a permitted request: Run, Join or Replay.
type Decision interface{ decision() }

// Run means that the request must be run, and Complete called with Nonce afterwards.
type Run struct{ Nonce uint64 }

// Join means that the request is already running. Complete returns the waiter.
type Join struct{}

// Replay means that the request has ended and its recorded answer must be sent again.
type Replay struct{ Answer Answer }

func (Run) decision()    {}
func (Join) decision()   {}
func (Replay) decision() {}

// Issuer issues the permits of one instance and records their requests.
type Issuer struct {
	cfg         Config
	instance    uint64
	incarnation uint64
	mac         hash.Hash
	macBuffer   []byte
	bindingKey  uint64
	counter     uint64

	clockStarted bool
	clockOrigin  time.Time // time at which the issuer's clock is 0
	latestMillis int64     // latest time in ms since clockOrigin; it never decreases

	records     map[uint64]*record
	answerBytes int
	answered    expiryRing // records with an answer other than "not executed"
	refused     expiryRing // records answered with "not executed", which may be evicted
	// floor is the highest nonce whose record was evicted or whose request was refused
	// without a record. A request with a valid permit up to floor and without a record
	// never ran and never will.
	floor uint64
}

type record struct {
	nonce   uint64
	request uint64
	done    bool
	answer  Answer
	waiters []any

	prev, next *record
}

// NewIssuer returns an Issuer with a key read from entropy. The key is never stored, so
// no other process can issue or verify its permits. A process must use one Issuer for
// its whole lifetime, because nonces are unique only within an Issuer.
func NewIssuer(cfg Config, instance string, incarnation uint64, entropy io.Reader) (*Issuer, error) {
	key := make([]byte, sha256.Size+8)
	if _, err := io.ReadFull(entropy, key); err != nil {
		return nil, fmt.Errorf("read the permit key: %w", err)
	}
	cfg = cfg.withDefaults()
	return &Issuer{
		cfg:         cfg,
		instance:    InstanceHash(instance),
		incarnation: incarnation,
		mac:         hmac.New(sha256.New, key[:sha256.Size]),
		bindingKey:  binary.BigEndian.Uint64(key[sha256.Size:]),
		records:     make(map[uint64]*record),
		answered:    newExpiryRing(cfg.Lifetime),
		refused:     newExpiryRing(cfg.Lifetime),
	}, nil
}

// SetIncarnation sets the incarnation after a rejoin. From then on, permits of an earlier
// incarnation are refused with PermitOutOfDate. Running requests complete as usual.
func (i *Issuer) SetIncarnation(incarnation uint64) { i.incarnation = incarnation }

// Issue returns a permit for one request of the flow to the service. It returns nil if
// the records are at their limit; the request must then be refused with TableFull. Issue
// keeps no state per permit.
func (i *Issuer) Issue(now time.Time, flow uint64, serviceID uint32) []byte {
	ms := i.advanceClock(now)
	if i.atLimit() && i.refused.len == 0 {
		return nil
	}
	i.counter++
	expiry := uint64(ms + i.cfg.Lifetime.Milliseconds())
	b := make([]byte, Size)
	binary.BigEndian.PutUint64(b, i.instance)
	binary.BigEndian.PutUint64(b[offIncarnation:], i.incarnation)
	binary.BigEndian.PutUint64(b[offNonce:], expiry<<counterBits|i.counter&counterMask)
	binary.BigEndian.PutUint32(b[offBinding:], i.binding(flow, serviceID))
	copy(b[offMAC:], i.computeMAC(b[:offMAC]))
	return b
}

// Begin verifies a permit and decides how to handle its request. The parameter request
// is a digest of method, path, query and body. Complete returns the waiter unless the
// decision is Replay. Errors have one of the codes MalformedPermit, IssuerLost,
// PermitOutOfDate, ForgedPermit, PermitFlowMismatch, PermitExpired and TableFull;
// TableFull is final for the permit.
func (i *Issuer) Begin(now time.Time, b []byte, flow uint64, serviceID uint32, request uint64, waiter any) (Decision, error) {
	ms := i.advanceClock(now)
	header, err := i.verify(ms, b, flow, serviceID)
	if err != nil {
		return nil, err
	}
	if r, ok := i.records[header.Nonce]; ok {
		return i.decideDuplicate(r, request, waiter)
	}
	if header.Nonce > i.floor && i.atLimit() && !i.evictRefused() {
		i.floor = header.Nonce
	}
	// The eviction may have raised the floor above this permit.
	if header.Nonce <= i.floor {
		return nil, result.Errorf(result.TableFull, "the permit is withdrawn: %d permitted requests are on record", len(i.records))
	}
	i.records[header.Nonce] = &record{nonce: header.Nonce, request: request, waiters: []any{waiter}}
	return Run{Nonce: header.Nonce}, nil
}

// verify performs all checks of a permit that do not depend on its record.
func (i *Issuer) verify(ms int64, b []byte, flow uint64, serviceID uint32) (Header, error) {
	header, err := Parse(b)
	if err != nil {
		return header, err
	}
	// The MAC of another process cannot be verified, so these two checks come first.
	if header.InstanceHash != i.instance {
		return header, result.Errorf(result.IssuerLost, "outcome unknown: the permit is from another instance")
	}
	if header.Incarnation != i.incarnation {
		return header, result.Errorf(result.PermitOutOfDate, "outcome unknown: the permit is from incarnation %d, now %d", header.Incarnation, i.incarnation)
	}
	if subtle.ConstantTimeCompare(i.computeMAC(b[:offMAC]), b[offMAC:]) != 1 {
		return header, result.Errorf(result.ForgedPermit, "the permit was not issued by this instance")
	}
	if binary.BigEndian.Uint32(b[offBinding:]) != i.binding(flow, serviceID) {
		return header, result.Errorf(result.PermitFlowMismatch, "the permit was issued for another flow or service")
	}
	if expiryOf(header.Nonce) <= ms {
		return header, result.Errorf(result.PermitExpired, "outcome unknown: the permit has expired")
	}
	return header, nil
}

// decideDuplicate decides how to handle a request whose permit was used before.
func (i *Issuer) decideDuplicate(r *record, request uint64, waiter any) (Decision, error) {
	if r.request != request {
		return nil, result.Errorf(result.PermitFlowMismatch, "the permit was used for another request")
	}
	if r.done {
		return Replay{Answer: r.answer}, nil
	}
	if len(r.waiters) >= i.cfg.MaxWaiters {
		// Remove the oldest duplicate. The first waiter is the one that got Run.
		copy(r.waiters[1:], r.waiters[2:])
		r.waiters = r.waiters[:len(r.waiters)-1]
	}
	r.waiters = append(r.waiters, waiter)
	return Join{}, nil
}

// Complete records the answer of a running request and returns its waiters. It does
// nothing if no request with the nonce is running.
func (i *Issuer) Complete(now time.Time, nonce uint64, a Answer) (waiters []any) {
	ms := i.advanceClock(now)
	r, ok := i.records[nonce]
	if !ok || r.done {
		return nil
	}
	waiters, r.waiters = r.waiters, nil
	if expiryOf(nonce) <= ms {
		delete(i.records, nonce)
		return waiters
	}
	r.done, r.answer = true, a
	i.answerBytes += len(a.Response)
	if a.Code.NotExecuted() {
		i.refused.add(r)
	} else {
		i.answered.add(r)
	}
	return waiters
}

// Expire removes the records of expired permits. Running requests stay on record until
// Complete. Issue, Begin and Complete also remove expired records when a new second has
// begun; Expire is needed only without traffic.
func (i *Issuer) Expire(now time.Time) { i.expire(i.advanceClock(now)) }

func (i *Issuer) expire(ms int64) {
	for _, ring := range []*expiryRing{&i.answered, &i.refused} {
		for r := ring.expired(ms); r != nil; r = ring.expired(ms) {
			i.removeRecord(ring, r)
		}
	}
}

// RecordCount returns the number of recorded requests, running or answered.
func (i *Issuer) RecordCount() int { return len(i.records) }

func (i *Issuer) atLimit() bool {
	return len(i.records) >= i.cfg.MaxRecords || i.answerBytes >= i.cfg.MaxAnswerBytes
}

// evictRefused removes the oldest record that was answered with "not executed" and reports
// whether there is room for another one. Raising the floor keeps that answer final.
func (i *Issuer) evictRefused() bool {
	r := i.refused.oldest()
	if r == nil {
		return false
	}
	i.floor = max(i.floor, r.nonce)
	i.removeRecord(&i.refused, r)
	return !i.atLimit()
}

func (i *Issuer) removeRecord(ring *expiryRing, r *record) {
	ring.remove(r)
	i.answerBytes -= len(r.answer.Response)
	delete(i.records, r.nonce)
}

// advanceClock advances the issuer's clock to now and returns it in ms. The clock never
// goes back, so an expired permit stays expired.
func (i *Issuer) advanceClock(now time.Time) int64 {
	if !i.clockStarted {
		i.clockStarted, i.clockOrigin = true, now
	}
	ms := max(i.latestMillis, now.Sub(i.clockOrigin).Milliseconds())
	// The expiry rings cover one lifetime, so expired records are removed before the
	// clock advances.
	if ms/bucketMillis != i.latestMillis/bucketMillis {
		i.expire(ms)
	}
	i.latestMillis = ms
	return ms
}

// computeMAC returns the MAC of b. The result is valid until the next call.
func (i *Issuer) computeMAC(b []byte) []byte {
	i.mac.Reset()
	i.mac.Write(b)
	i.macBuffer = i.mac.Sum(i.macBuffer[:0])
	return i.macBuffer[:Size-offMAC]
}

func expiryOf(nonce uint64) int64 { return int64(nonce >> counterBits) }

// binding returns a hash that binds a permit to a flow and a service. It is protected by
// the MAC, and its key prevents callers from choosing a flow that collides with another.
func (i *Issuer) binding(flow uint64, serviceID uint32) uint32 {
	var b [20]byte
	binary.BigEndian.PutUint64(b[:], i.bindingKey)
	binary.BigEndian.PutUint64(b[8:], flow)
	binary.BigEndian.PutUint32(b[16:], serviceID)
	return uint32(xxhash.Sum64(b[:]))
}
