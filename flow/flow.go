// Package flow keeps the flows and streams of one entry instance: which callers are
// known, which streams the instance holds, and copies of the streams for which it is
// the runner-up. It is safe for concurrent use.
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
	var b [22]byte
	addr := k.Caller.Addr().As16()
	copy(b[:], addr[:])
	binary.BigEndian.PutUint16(b[16:], k.Caller.Port())
	binary.BigEndian.PutUint32(b[18:], k.ServiceID)
	return xxhash.Sum64(b[:])
}

// MaxToken is the length limit of a CoAP token.
const MaxToken = 8

// Record is a stream: a flow with an Observe registration. Token and Request must
// not be modified.
type Record struct {
	Key
	ID        uint64 // set by the table
	Token     []byte
	Request   []byte // registration request, options and path
	Server    string // backend server; in a copy, empty unless Exception
	Exception bool   // Server is not the computed one
	Sequence  uint32 // last Observe number
	Created   time.Time
	Removed   bool // in copies: the stream has ended
}

// Move is a planned change of a stream's backend server.
type Move struct {
	ID   uint64
	From string
	To   string
}

// NewFlowLimiter limits new flows by source prefix.
type NewFlowLimiter interface {
	// Allow reports whether a new flow of the caller may be admitted.
	Allow(now time.Time, caller netip.Addr) bool
}

// Defaults of Config.
const (
	DefaultShards      = 256
	DefaultMaxFlows    = 1 << 20
	DefaultMaxStreams  = 1 << 19
	DefaultMaxCopies   = 1 << 19
	DefaultIdleTimeout = 5 * time.Minute
	// DefaultCopyAge keeps short streams out of the control traffic.
	DefaultCopyAge     = 2 * time.Second
	DefaultMoveTimeout = 10 * time.Second
)

// Config holds the limits of a Table. Zero values select the defaults.
type Config struct {
	Shards      int // rounded up to a power of two
	MaxFlows    int
	MaxStreams  int
	MaxCopies   int
	IdleTimeout time.Duration // flows without a stream are forgotten after it
	CopyAge     time.Duration // streams are copied from this age on
	MoveTimeout time.Duration // a planned move may be planned again after it
	Limiter     NewFlowLimiter
	// Clock returns the hybrid logical clock in ms. It keeps Observe numbers
	// monotonic over a take-over when the clocks of the holders differ.
	Clock func() uint64
}

func (c Config) withDefaults() Config {
	setDefault(&c.Shards, DefaultShards)
	setDefault(&c.MaxFlows, DefaultMaxFlows)
	setDefault(&c.MaxStreams, DefaultMaxStreams)
	setDefault(&c.MaxCopies, DefaultMaxCopies)
	setDefault(&c.IdleTimeout, DefaultIdleTimeout)
	setDefault(&c.CopyAge, DefaultCopyAge)
	setDefault(&c.MoveTimeout, DefaultMoveTimeout)
	if c.Clock == nil {
		c.Clock = func() uint64 { return 0 }
	}
	return c
}

func setDefault[T int | time.Duration](v *T, value T) {
	if *v <= 0 {
		*v = value
	}
}
