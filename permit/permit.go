// Package permit issues and verifies permits, each of which authorises one
// non-idempotent request to run once, and records what became of the request. A
// permit is carried in a CoAP Echo option. Only the process that issued a permit
// can verify it and run its request, so at-most-once execution needs neither
// agreement between instances nor a common clock.
//
// The guarantee rests on one rule: while a permit is valid, the issuer either holds
// the record of its request or can tell that the request never ran. An Issuer is
// not safe for concurrent use.
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
	// DefaultMaxRecords holds 60 s of 1,000 permitted requests per second.
	DefaultMaxRecords = 65536
	// DefaultMaxAnswerBytes bounds the recorded responses.
	DefaultMaxAnswerBytes = 32 << 20
	// DefaultMaxWaiters is twice the transmissions of a confirmable message (5).
	DefaultMaxWaiters = 10
)

// Config holds the limits of an Issuer. Zero values select the defaults.
type Config struct {
	Lifetime       time.Duration // validity of a permit
	MaxRecords     int           // requests on record, running or answered
	MaxAnswerBytes int           // sum of the recorded responses
	MaxWaiters     int           // duplicates that wait for one running request
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

// Ref is the part of a permit that every instance can read. It is not verified.
type Ref struct {
	InstanceHash uint64 // InstanceHash of the issuer's ID
	Incarnation  uint64
	Nonce        uint64
}

// InstanceHash returns the value by which permits name an instance.
func InstanceHash(id string) uint64 { return xxhash.Sum64String(id) }

// Parse reads the issuer of a permit without verifying it.
func Parse(b []byte) (Ref, error) {
	if len(b) != Size {
		return Ref{}, result.Errorf(result.MalformedPermit, "permit has %d bytes, want %d", len(b), Size)
	}
	return Ref{
		InstanceHash: binary.BigEndian.Uint64(b),
		Incarnation:  binary.BigEndian.Uint64(b[offIncarnation:]),
		Nonce:        binary.BigEndian.Uint64(b[offNonce:]),
	}, nil
}

// Answer is the outcome of a permitted request. A Code that certifies "not run" is
// as final for the permit as a response.
type Answer struct {
	Code     result.Code
	Response []byte
}

// Decision tells what to do with a permitted request: Run, Join or Replay.
type Decision interface{ decision() }

// Run asks the caller of Begin to run the request and to call Complete with Nonce.
type Run struct{ Nonce uint64 }

// Join says that the request is running; its waiter is returned by Complete.
type Join struct{}

// Replay carries the recorded answer of a request that has ended.
type Replay struct{ Answer Answer }

func (Run) decision()    {}
func (Join) decision()   {}
func (Replay) decision() {}

// Issuer issues the permits of one instance and keeps the records of their requests.
type Issuer struct {
	cfg         Config
	instance    uint64
	incarnation uint64
	mac         hash.Hash
	macBuffer   []byte
	bindingKey  uint64
	counter     uint64

	started bool
	base    time.Time // origin of the issuer's clock
	latest  int64     // highest time seen in ms since base; the clock never goes back

	records     map[uint64]*record
	answerBytes int
	ended       expiryRing // records with an answer
	refused     expiryRing // records that certify "not run", which may be evicted
	// floor is the highest nonce that was refused or evicted without a record. A
	// valid permit up to floor that has no record never ran and never will.
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

// NewIssuer returns an Issuer with a key read from entropy. The key is never
// stored, so no other process can issue or verify its permits. A process uses one
// Issuer for its whole life: nonces are unique only within an Issuer.
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
		ended:       newExpiryRing(cfg.Lifetime),
		refused:     newExpiryRing(cfg.Lifetime),
	}, nil
}

// SetIncarnation adopts the incarnation of a rejoin. Permits of an earlier
// incarnation are answered with PermitOutOfDate from now on; requests that are
// running are completed as usual.
func (i *Issuer) SetIncarnation(incarnation uint64) { i.incarnation = incarnation }

// Issue returns a permit for one request of the flow to the service, or nil when the
// records are at their limit; the request is then refused with TableFull. It keeps
// no state per permit.
func (i *Issuer) Issue(now time.Time, flow uint64, serviceID uint32) []byte {
	ms := i.clock(now)
	if i.full() && i.refused.len == 0 {
		return nil
	}
	i.counter++
	expiry := uint64(ms + i.cfg.Lifetime.Milliseconds())
	b := make([]byte, Size)
	binary.BigEndian.PutUint64(b, i.instance)
	binary.BigEndian.PutUint64(b[offIncarnation:], i.incarnation)
	binary.BigEndian.PutUint64(b[offNonce:], expiry<<counterBits|i.counter&counterMask)
	binary.BigEndian.PutUint32(b[offBinding:], i.binding(flow, serviceID))
	copy(b[offMAC:], i.sum(b[:offMAC]))
	return b
}

// Begin verifies a permit and decides what to do with its request. The request is a
// digest of method, path, query and body. The waiter is returned by Complete unless
// the decision is Replay. Errors have one of the codes MalformedPermit, IssuerLost,
// PermitOutOfDate, ForgedPermit, PermitFlowMismatch, PermitExpired and TableFull;
// TableFull is final for the permit.
func (i *Issuer) Begin(now time.Time, b []byte, flow uint64, serviceID uint32, request uint64, waiter any) (Decision, error) {
	ms := i.clock(now)
	ref, err := i.verify(ms, b, flow, serviceID)
	if err != nil {
		return nil, err
	}
	if r, ok := i.records[ref.Nonce]; ok {
		return i.repeat(r, request, waiter)
	}
	if ref.Nonce > i.floor && i.full() && !i.evictRefused() {
		i.floor = ref.Nonce
	}
	// Evicting may have raised the floor past this permit.
	if ref.Nonce <= i.floor {
		return nil, result.Errorf(result.TableFull, "the permit is withdrawn: %d permitted requests are on record", len(i.records))
	}
	i.records[ref.Nonce] = &record{nonce: ref.Nonce, request: request, waiters: []any{waiter}}
	return Run{Nonce: ref.Nonce}, nil
}

// verify checks everything about a permit that does not depend on its record.
func (i *Issuer) verify(ms int64, b []byte, flow uint64, serviceID uint32) (Ref, error) {
	ref, err := Parse(b)
	if err != nil {
		return ref, err
	}
	// A permit of another process cannot be verified, so these two checks precede
	// that of the MAC.
	if ref.InstanceHash != i.instance {
		return ref, result.Errorf(result.IssuerLost, "outcome unknown: the permit is from another instance")
	}
	if ref.Incarnation != i.incarnation {
		return ref, result.Errorf(result.PermitOutOfDate, "outcome unknown: the permit is from incarnation %d, now %d", ref.Incarnation, i.incarnation)
	}
	if subtle.ConstantTimeCompare(i.sum(b[:offMAC]), b[offMAC:]) != 1 {
		return ref, result.Errorf(result.ForgedPermit, "the permit was not issued by this instance")
	}
	if binary.BigEndian.Uint32(b[offBinding:]) != i.binding(flow, serviceID) {
		return ref, result.Errorf(result.PermitFlowMismatch, "the permit was issued for another flow or service")
	}
	if expiryOf(ref.Nonce) <= ms {
		return ref, result.Errorf(result.PermitExpired, "outcome unknown: the permit has expired")
	}
	return ref, nil
}

// repeat decides about a request whose permit has been used before.
func (i *Issuer) repeat(r *record, request uint64, waiter any) (Decision, error) {
	if r.request != request {
		return nil, result.Errorf(result.PermitFlowMismatch, "the permit was used for another request")
	}
	if r.done {
		return Replay{Answer: r.answer}, nil
	}
	if len(r.waiters) >= i.cfg.MaxWaiters {
		// The first waiter belongs to the run; the oldest duplicate gives way.
		copy(r.waiters[1:], r.waiters[2:])
		r.waiters = r.waiters[:len(r.waiters)-1]
	}
	r.waiters = append(r.waiters, waiter)
	return Join{}, nil
}

// Complete records the answer of a running request and returns everyone who waits
// for it. It does nothing for a nonce that is not running.
func (i *Issuer) Complete(now time.Time, nonce uint64, a Answer) (waiters []any) {
	ms := i.clock(now)
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
	if a.Code.NotRun() {
		i.refused.add(r)
	} else {
		i.ended.add(r)
	}
	return waiters
}

// Expire removes the records of expired permits. Requests that are still running
// stay on record until Complete. Every other method does the same when it is called
// in a new second; Expire is for an issuer without traffic.
func (i *Issuer) Expire(now time.Time) { i.expire(i.clock(now)) }

func (i *Issuer) expire(ms int64) {
	for _, ring := range []*expiryRing{&i.ended, &i.refused} {
		for r := ring.expired(ms); r != nil; r = ring.expired(ms) {
			i.drop(ring, r)
		}
	}
}

// Pending returns the number of requests on record, running or answered.
func (i *Issuer) Pending() int { return len(i.records) }

func (i *Issuer) full() bool {
	return len(i.records) >= i.cfg.MaxRecords || i.answerBytes >= i.cfg.MaxAnswerBytes
}

// evictRefused makes room by removing one record that certifies "not run". Raising
// the floor keeps that answer final.
func (i *Issuer) evictRefused() bool {
	r := i.refused.oldest()
	if r == nil {
		return false
	}
	i.floor = max(i.floor, r.nonce)
	i.drop(&i.refused, r)
	return !i.full()
}

func (i *Issuer) drop(ring *expiryRing, r *record) {
	ring.remove(r)
	i.answerBytes -= len(r.answer.Response)
	delete(i.records, r.nonce)
}

// clock returns the issuer's time in ms. It never goes back, so an expired permit
// stays expired.
func (i *Issuer) clock(now time.Time) int64 {
	if !i.started {
		i.started, i.base = true, now
	}
	ms := max(i.latest, now.Sub(i.base).Milliseconds())
	// The expiry rings cover one lifetime, so they are swept before time moves on.
	if ms/bucketMillis != i.latest/bucketMillis {
		i.expire(ms)
	}
	i.latest = ms
	return ms
}

// sum returns the MAC of b; it is valid until the next call.
func (i *Issuer) sum(b []byte) []byte {
	i.mac.Reset()
	i.mac.Write(b)
	i.macBuffer = i.mac.Sum(i.macBuffer[:0])
	return i.macBuffer[:Size-offMAC]
}

func expiryOf(nonce uint64) int64 { return int64(nonce >> counterBits) }

// binding ties a permit to a flow and a service. The MAC protects it, and its key
// keeps callers from choosing a flow with the binding of another.
func (i *Issuer) binding(flow uint64, serviceID uint32) uint32 {
	var b [20]byte
	binary.BigEndian.PutUint64(b[:], i.bindingKey)
	binary.BigEndian.PutUint64(b[8:], flow)
	binary.BigEndian.PutUint32(b[16:], serviceID)
	return uint32(xxhash.Sum64(b[:]))
}
