// Package flow stores the flows and streams of one entry instance: the known callers, the
// streams that the instance owns, and copies of the streams for which it is the standby
// instance. Table is safe for concurrent use.
//
// When the limit of flows is reached, idle flows without a stream are evicted, preferably
// those idle for longest. A flow with a stream is never evicted. If no flow can be evicted,
// or another limit is reached, new flows, streams and copies are refused.
package flow

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Key identifies a flow.
type Key struct {
	Caller    netip.AddrPort
	ServiceID uint32
}

// Hash returns the placement key of the flow, equal on every instance.
func (k Key) Hash() uint64 {
	p := pack(k)
	return xxhash.Sum64(p[:])
}

// packedKey is the encoded address, port and service ID of a Key. IPv4 addresses are stored
// in their IPv4-mapped IPv6 form, so that a caller has the same key in either notation.
type packedKey [22]byte

func pack(k Key) (p packedKey) {
	addr := k.Caller.Addr().As16()
	copy(p[:], addr[:])
	binary.BigEndian.PutUint16(p[16:], k.Caller.Port())
	binary.BigEndian.PutUint32(p[18:], k.ServiceID)
	return p
}

func (p *packedKey) unpack() Key {
	addr := netip.AddrFrom16([16]byte(p[:16])).Unmap()
	return Key{
		Caller:    netip.AddrPortFrom(addr, binary.BigEndian.Uint16(p[16:])),
		ServiceID: binary.BigEndian.Uint32(p[18:]),
	}
}

// MaxTokenLen is the length limit of a CoAP token.
const MaxTokenLen = 8

// packedToken is a CoAP token with its length.
type packedToken struct {
	bytes [MaxTokenLen]byte
	len   uint8
}

func packToken(b []byte) (p packedToken) {
	p.len = uint8(copy(p.bytes[:], b))
	return p
}

func (p packedToken) unpack() []byte { return append([]byte(nil), p.bytes[:p.len]...) }

// Record describes a stream, which is an Observe registration on a flow. Token and Request
// must not be modified.
type Record struct {
	Key
	ID        uint64 // set by the table
	Token     []byte
	Request   []byte // registration request, options and path
	Server    string // backend server; sent to other instances only if Exception is set
	Exception bool   // Server differs from the computed one
	Sequence  uint32 // last Observe number
	Created   time.Time
	Removed   bool // in copies: the stream has ended or has another standby instance
}

// WireSize estimates the size in bytes of the record as an encoded peerpb.FlowRecord.
func (r Record) WireSize() int {
	// Tags and lengths of the record, caller, service ID and token.
	size := 8 + len(r.Token)
	if r.Caller.Addr().Unmap().Is4() {
		size += 6
	} else {
		size += 18
	}
	if r.Removed {
		return size + 2
	}
	size += 2 + len(r.Request)
	if r.Exception {
		size += 2 + len(r.Server)
	}
	return size + 5 + 4 // sequence and age with their tags
}

// Move is a planned change of a stream's backend server. The new registration must
// deliver a notification before the old one is cancelled.
type Move struct {
	ID   uint64
	From string
	To   string
}

// NewFlowLimiter limits new flows by source prefix. Implementations must be safe for
// concurrent use.
type NewFlowLimiter interface {
	// Allow reports whether a new flow of the caller may be admitted.
	Allow(now time.Time, caller netip.Addr) bool
}

// Defaults of Config.
const (
	// DefaultShards avoids lock contention between the workers of a 10-core machine;
	// identical requests are stored once per shard.
	DefaultShards      = 64
	DefaultMaxFlows    = 1 << 20
	DefaultMaxStreams  = 1 << 19
	DefaultMaxCopies   = 1 << 19
	DefaultIdleTimeout = 5 * time.Minute
	// DefaultMinCopyAge excludes short-lived streams from the control traffic.
	DefaultMinCopyAge  = 2 * time.Second
	DefaultMoveTimeout = 10 * time.Second
	// DefaultReplanInterval is the time after which PlanMoves examines all streams
	// again if Replan is not called.
	DefaultReplanInterval = 30 * time.Second
)

// Config holds the settings of a Table. Zero values select the defaults.
type Config struct {
	Shards         int // rounded up to a power of two, at most maxShards
	MaxFlows       int
	MaxStreams     int
	MaxCopies      int
	IdleTimeout    time.Duration // idle time after which flows without a stream expire
	MinCopyAge     time.Duration // age from which streams are copied
	MoveTimeout    time.Duration // time after which an unfinished move may be planned again
	ReplanInterval time.Duration
	Limiter        NewFlowLimiter // nil: no limit
	// Clock returns the hybrid logical clock in ms. It keeps Observe numbers
	// increasing across a change of owner when the clocks of the owners differ.
	Clock func() uint64
}

func (c Config) withDefaults() Config {
	setDefault(&c.Shards, DefaultShards)
	setDefault(&c.MaxFlows, DefaultMaxFlows)
	setDefault(&c.MaxStreams, DefaultMaxStreams)
	setDefault(&c.MaxCopies, DefaultMaxCopies)
	setDefault(&c.IdleTimeout, DefaultIdleTimeout)
	setDefault(&c.MinCopyAge, DefaultMinCopyAge)
	setDefault(&c.MoveTimeout, DefaultMoveTimeout)
	setDefault(&c.ReplanInterval, DefaultReplanInterval)
	shards := 1
	for shards < min(c.Shards, maxShards) {
		shards *= 2
	}
	c.Shards = shards
	return c
}

func setDefault[T int | time.Duration](v *T, value T) {
	if *v <= 0 {
		*v = value
	}
}
